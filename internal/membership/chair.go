// Package membership keeps drivers and their coordinator in touch: leases, and the entries that say where tenants are.
// What is decided is decided in package cells; here are the journal, the clock and the connections.
package membership

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/cells"
	"sedgespread/internal/clock"
	"sedgespread/internal/council"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/store"
)

// CoordinatorServer is the coordinator at work: it answers drivers and takes moves on. All that it tells anybody was written down
// before. It has a journal of its own, or is one of several on a council's log of which one decides.
type CoordinatorServer struct {
	proposer[cells.Record]
	fill  FillFunc
	log   logrus.FieldLogger
	clock clock.Clock

	mu             sync.Mutex
	coordinator    *cells.Coordinator
	changed        changeSignal // rings at the next entry
	requestedFills map[cells.Tenant]cells.Epoch
}

// FillFunc asks the store for one step, and returns once it has taken it: to begin filling a tenant's new groups with what
// its old ones have, to end that at a position, or to drop what has come. It is asked again after a failure, and after a
// restart. Nil where the store fills all groups always.
type FillFunc func(ctx context.Context, f FillRequest) error

// FillRequest is what the store is asked.
type FillRequest struct {
	Step            string       `json:"step"` // begin, end or drop
	Tenant          cells.Tenant `json:"tenant"`
	Epoch           cells.Epoch  `json:"epoch"` // of the decision that it is asked for; higher ones supersede it
	From            cells.Groups `json:"from"`
	To              cells.Groups `json:"to"`
	CutoverPosition int64        `json:"cut_ns,omitempty"` // of end: nothing later may come
}

const (
	stepInterval   = 10 * time.Millisecond
	fillRetryDelay = 500 * time.Millisecond
	maxWait        = time.Minute
)

// NewCoordinatorServer takes up what a journal holds. Leases that were given before are waited for.
func NewCoordinatorServer(directory *cells.Directory, journal *store.Journal, lease, hold time.Duration, fill FillFunc, log logrus.FieldLogger) (*CoordinatorServer, error) {
	s := newUnattachedServer(fill, log)
	records, err := store.ReadAll[cells.Record](journal)
	if err != nil {
		return nil, err
	}
	s.recorder = &journalRecorder{server: s, journal: journal}
	s.coordinator, err = cells.NewCoordinator(s.now(), directory, int64(lease), int64(hold), 0, fill != nil, records)
	return s, err
}

// NewReplicatedCoordinatorServer makes a chair that is one of a council's, and Join its place there.
func NewReplicatedCoordinatorServer(directory *cells.Directory, lease, hold, maxClockSkew time.Duration, fill FillFunc, log logrus.FieldLogger) (*CoordinatorServer, error) {
	s := newUnattachedServer(fill, log)
	var err error
	s.coordinator, err = cells.NewCoordinator(s.now(), directory, int64(lease), int64(hold), int64(maxClockSkew), fill != nil, nil)
	return s, err
}

// StateMachine is what the council's chamber is to be opened with.
func (s *CoordinatorServer) StateMachine() CoordinatorStateMachine { return CoordinatorStateMachine{s} }

// AttachCouncil says where the council is, before anything is asked of the chair.
func (s *CoordinatorServer) AttachCouncil(c *chamber.Server) {
	s.recorder = councilRecorder[cells.Record]{c, CoordinatorStateMachineName}
}

func newUnattachedServer(fill FillFunc, log logrus.FieldLogger) *CoordinatorServer {
	return &CoordinatorServer{fill: fill, log: log, clock: clock.New(), changed: newChangeSignal(), requestedFills: map[cells.Tenant]cells.Epoch{}}
}

func (s *CoordinatorServer) now() int64 { return s.clock.Now() }

// apply lets a record count that was written down. The lock is held.
func (s *CoordinatorServer) apply(record cells.Record) error {
	if err := s.coordinator.Apply(s.now(), record); err != nil {
		return err
	}
	if entry := record.Entry; entry != nil {
		s.log.WithFields(logrus.Fields{"tenant": entry.Tenant, "stage": entry.Stage, "cell": entry.Cell, "to": entry.To, "epoch": entry.Epoch,
			"why": entry.Reason}).Info("move")
		s.changed.broadcast()
	}
	return nil
}

// Run takes moves on until the context ends.
func (s *CoordinatorServer) Run(ctx context.Context) { runPeriodically(ctx, s.step) }

// step takes all moves on as far as they can go now.
func (s *CoordinatorServer) step(ctx context.Context) {
	for {
		recorded, err := s.propose(ctx, &s.mu, func() ([]cells.Record, error) { return s.coordinator.Step(s.now()), nil })
		if err != nil {
			return
		}
		if !recorded {
			break
		}
	}
	if s.fill == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.dueFills() {
		s.requestedFills[f.Tenant] = f.Epoch
		go s.requestFill(ctx, f)
	}
}

// fillSteps are what the store is asked at a stage.
var fillSteps = map[cells.Stage]string{cells.StagePrepared: "begin", cells.StageSwitched: "end", cells.StageRollingBack: "drop"}

// dueFills are what the store has to be asked and has not been. The lock is held.
func (s *CoordinatorServer) dueFills() (due []FillRequest) {
	layout := s.coordinator.Directory().Layout()
	for _, entry := range s.coordinator.Directory().Moving() {
		step, needsFill := fillSteps[entry.Stage]
		if !needsFill || s.requestedFills[entry.Tenant] == entry.Epoch {
			continue
		}
		request := FillRequest{Step: step, Tenant: entry.Tenant, Epoch: entry.Epoch, CutoverPosition: entry.CutoverPosition}
		from, to := layout.Find(entry.Cell), layout.Find(entry.To)
		if from == cells.NoCell || to == cells.NoCell {
			continue // this voter's file does not have it: it must not lead for long
		}
		if entry.Stage == cells.StageSwitched {
			from, to = to, from
		}
		request.From, request.To = layout.TenantGroups(entry.Tenant, from), layout.TenantGroups(entry.Tenant, to)
		due = append(due, request)
	}
	return due
}

// requestFill asks the store, and lets it be asked again where that failed.
func (s *CoordinatorServer) requestFill(ctx context.Context, request FillRequest) {
	err := s.fill(ctx, request)
	if err != nil {
		s.log.WithError(err).WithField("tenant", request.Tenant).WithField("step", request.Step).Warn("the store did not take a filling")
		time.Sleep(fillRetryDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.coordinator.MarkFilled(request.Tenant, request.Epoch)
	} else if s.requestedFills[request.Tenant] == request.Epoch {
		delete(s.requestedFills, request.Tenant)
	}
}

// Renew answers a driver's report, at once where it is out of date and else once something has changed or the wait is
// over.
func (s *CoordinatorServer) Renew(ctx context.Context, report cells.Report, wait time.Duration) (cells.Grant, error) {
	s.mu.Lock()
	records, err := s.coordinator.Renew(report)
	s.mu.Unlock()
	if err == nil && len(records) > 0 {
		_, err = s.propose(ctx, &s.mu, func() ([]cells.Record, error) { return s.coordinator.Renew(report) })
	}
	if err != nil {
		return cells.Grant{}, err
	}
	s.mu.Lock()
	if !s.recorder.isActing() {
		s.mu.Unlock()
		return cells.Grant{}, chamber.ErrNotLeading
	}
	grant, changed := s.coordinator.Grant(s.now(), report), s.changed.channel
	s.mu.Unlock()
	if len(grant.Entries) > 0 || grant.Lease == 0 || wait <= 0 {
		return grant, nil
	}
	if err := waitForChange(ctx, changed, wait); err != nil {
		return cells.Grant{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.CurrentGrant(report), nil
}

// Move begins to move tenants, one after another until one can't be moved.
func (s *CoordinatorServer) Move(ctx context.Context, moves []MoveRequest) error {
	for _, m := range moves {
		_, err := s.propose(ctx, &s.mu, func() ([]cells.Record, error) { return s.coordinator.Move(s.now(), m.Tenant, m.To, m.Reason) })
		if err != nil {
			return err
		}
	}
	return nil
}

// Abort calls a move off.
func (s *CoordinatorServer) Abort(ctx context.Context, tenant cells.Tenant, reason string) error {
	_, err := s.propose(ctx, &s.mu, func() ([]cells.Record, error) { return s.coordinator.Abort(s.now(), tenant, reason) })
	return err
}

// MoveRequest is what is asked of a coordinator.
type MoveRequest struct {
	Tenant cells.Tenant `json:"tenant"`
	To     string       `json:"to"`
	Reason string       `json:"why"`
}

// CoordinatorState is what a coordinator tells of itself.
type CoordinatorState struct {
	Voter   council.VoterID    `json:"voter,omitempty"` // that tells it, of a council
	Epoch   cells.Epoch        `json:"epoch"`
	Drivers []cells.Driver     `json:"drivers"`
	Now     int64              `json:"now"`
	Loads   []cells.TenantLoad `json:"loads"`   // RPCs a second, the heaviest tenants first
	Entries []cells.Entry      `json:"entries"` // of all tenants that were ever moved, the one decided on last last
}

// State tells where moves stand.
func (s *CoordinatorServer) State() CoordinatorState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CoordinatorState{Voter: s.recorder.voterID(), Epoch: s.coordinator.Directory().LatestEpoch(), Drivers: s.coordinator.Drivers(), Now: s.now(), Loads: s.coordinator.Loads(s.now()), Entries: s.coordinator.Directory().Since(0)}
}

// UpdateLayout takes over a file read again.
func (s *CoordinatorServer) UpdateLayout(layout *cells.Layout, pins map[cells.Tenant]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.Directory().Update(layout, pins)
}

// Handle lets a chair answer drivers and operators, or pass on what they ask to the one that decides.
func (s *CoordinatorServer) Handle(mux *http.ServeMux) {
	handle := func(path string, handler http.HandlerFunc) {
		mux.Handle("POST /v1/"+path, s.recorder.onLeader(handler))
	}
	handle("renew", jsonhttp.Handler(func(ctx context.Context, request renewalRequest) (cells.Grant, error) {
		return s.Renew(ctx, request.Report, time.Duration(request.WaitMs)*time.Millisecond)
	}))
	handle("move", jsonhttp.ActionHandler(s.Move))
	handle("abort", jsonhttp.ActionHandler(func(ctx context.Context, m MoveRequest) error { return s.Abort(ctx, m.Tenant, m.Reason) }))
	handle("state", jsonhttp.QueryHandler(func(context.Context) (CoordinatorState, error) { return s.State(), nil }))
}

// Serve answers until the context ends.
func (s *CoordinatorServer) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	s.Handle(mux)
	return jsonhttp.Serve(ctx, l, mux)
}

// renewalRequest is what a driver sends.
type renewalRequest struct {
	cells.Report
	WaitMs int64 `json:"wait_ms"`
}
