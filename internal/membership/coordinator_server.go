// Package membership connects drivers with the coordinator of tenant placement and with the fleet's
// registration: leases, placement entries, versions and audit trails. It adds journal, clock and HTTP to
// the decisions made in packages cells, roster and versions.
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
	"sedgespread/internal/council/server"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/store"
)

// CoordinatorServer serves the coordinator of tenant placement and advances moves. It publishes only
// durable state, recorded in a local journal or in the council's log.
type CoordinatorServer struct {
	proposer[cells.Record]
	fill  FillFunc
	log   logrus.FieldLogger
	clock clock.Clock

	mu             sync.Mutex
	coordinator    *cells.Coordinator
	changed        changeSignal // on each new entry
	requestedFills map[cells.Tenant]cells.Epoch
}

// FillFunc makes the store begin to copy a tenant's data from its old groups to its new ones, end the
// copy at a position, or drop the copied data. It is retried after failures and repeated after a
// restart. It is nil if the store always fills all groups.
type FillFunc func(ctx context.Context, f FillRequest) error

// FillRequest is one step of copying a tenant's data.
type FillRequest struct {
	Step            string       `json:"step"` // begin, end or drop
	Tenant          cells.Tenant `json:"tenant"`
	Epoch           cells.Epoch  `json:"epoch"` // of the entry that caused the request; higher epochs supersede it
	From            cells.Groups `json:"from"`
	To              cells.Groups `json:"to"`
	CutoverPosition int64        `json:"cut_ns,omitempty"` // for end: last position to copy
}

const (
	stepInterval   = 10 * time.Millisecond
	fillRetryDelay = 500 * time.Millisecond
	maxWait        = time.Minute
)

// NewCoordinatorServer returns a single coordinator that resumes from its journal. It waits for leases
// granted before.
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

// NewReplicatedCoordinatorServer returns a coordinator for a voter of a council. Call AttachCouncil
// before serving.
func NewReplicatedCoordinatorServer(directory *cells.Directory, lease, hold, maxClockSkew time.Duration, fill FillFunc, log logrus.FieldLogger) (*CoordinatorServer, error) {
	s := newUnattachedServer(fill, log)
	var err error
	s.coordinator, err = cells.NewCoordinator(s.now(), directory, int64(lease), int64(hold), int64(maxClockSkew), fill != nil, nil)
	return s, err
}

// StateMachine returns the state machine to register with the council's server.
func (s *CoordinatorServer) StateMachine() CoordinatorStateMachine { return CoordinatorStateMachine{s} }

// AttachCouncil sets the council's server. It is called before the first request.
func (s *CoordinatorServer) AttachCouncil(c *server.Server) {
	s.recorder = councilRecorder[cells.Record]{c, CoordinatorStateMachineName}
}

func newUnattachedServer(fill FillFunc, log logrus.FieldLogger) *CoordinatorServer {
	return &CoordinatorServer{fill: fill, log: log, clock: clock.New(), changed: newChangeSignal(), requestedFills: map[cells.Tenant]cells.Epoch{}}
}

func (s *CoordinatorServer) now() int64 { return s.clock.Now() }

// apply applies a durable record. The lock is held.
func (s *CoordinatorServer) apply(record cells.Record) error {
	if err := s.coordinator.Apply(s.now(), record); err != nil {
		return err
	}
	if entry := record.Entry; entry != nil {
		s.log.WithFields(logrus.Fields{"tenant": entry.Tenant, "stage": entry.Stage, "cell": entry.Cell, "to": entry.To, "epoch": entry.Epoch,
			"why": entry.Reason}).Info("tenant move changed stage")
		s.changed.broadcast()
	}
	return nil
}

// Run advances moves until the context ends.
func (s *CoordinatorServer) Run(ctx context.Context) { runPeriodically(ctx, s.step) }

// step advances all moves as far as possible.
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

// fillSteps maps the stage of a move to the step that the store has to take.
var fillSteps = map[cells.Stage]string{cells.StagePrepared: "begin", cells.StageSwitched: "end", cells.StageRollingBack: "drop"}

// dueFills returns the fill requests that are not yet made. The lock is held.
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
			continue // not in this voter's settings file; another leader has to request it
		}
		if entry.Stage == cells.StageSwitched {
			from, to = to, from
		}
		request.From, request.To = layout.TenantGroups(entry.Tenant, from), layout.TenantGroups(entry.Tenant, to)
		due = append(due, request)
	}
	return due
}

// requestFill makes a fill request, and marks it as due again if it failed.
func (s *CoordinatorServer) requestFill(ctx context.Context, request FillRequest) {
	err := s.fill(ctx, request)
	if err != nil {
		s.log.WithError(err).WithField("tenant", request.Tenant).WithField("step", request.Step).Warn("fill request to the store failed; retrying")
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

// Renew grants a lease in answer to a driver's report. It answers at once if the driver is out of date,
// and else on the next change or at the end of the wait.
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
		return cells.Grant{}, server.ErrNotLeading
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

// Move begins moves in order, up to the first that is refused.
func (s *CoordinatorServer) Move(ctx context.Context, moves []MoveRequest) error {
	for _, m := range moves {
		_, err := s.propose(ctx, &s.mu, func() ([]cells.Record, error) { return s.coordinator.Move(s.now(), m.Tenant, m.To, m.Reason) })
		if err != nil {
			return err
		}
	}
	return nil
}

// Abort aborts a tenant's move.
func (s *CoordinatorServer) Abort(ctx context.Context, tenant cells.Tenant, reason string) error {
	_, err := s.propose(ctx, &s.mu, func() ([]cells.Record, error) { return s.coordinator.Abort(s.now(), tenant, reason) })
	return err
}

// MoveRequest asks to move a tenant to a cell, or to abort its move.
type MoveRequest struct {
	Tenant cells.Tenant `json:"tenant"`
	To     string       `json:"to"`
	Reason string       `json:"why"`
}

// CoordinatorState describes the coordinator, its drivers and its moves.
type CoordinatorState struct {
	Voter   council.VoterID    `json:"voter,omitempty"` // that answered, if there is a council
	Epoch   cells.Epoch        `json:"epoch"`
	Drivers []cells.Driver     `json:"drivers"`
	Now     int64              `json:"now"`
	Loads   []cells.TenantLoad `json:"loads"`   // RPCs per second, heaviest tenants first
	Entries []cells.Entry      `json:"entries"` // latest of each tenant ever moved, by epoch
}

// State returns the state of the coordinator and its moves.
func (s *CoordinatorServer) State() CoordinatorState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CoordinatorState{Voter: s.recorder.voterID(), Epoch: s.coordinator.Directory().LatestEpoch(), Drivers: s.coordinator.Drivers(), Now: s.now(), Loads: s.coordinator.Loads(s.now()), Entries: s.coordinator.Directory().Since(0)}
}

// UpdateLayout applies reloaded settings.
func (s *CoordinatorServer) UpdateLayout(layout *cells.Layout, pins map[cells.Tenant]string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.Directory().Update(layout, pins)
}

// Handle registers the handlers for drivers and operators, which run on the leader.
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

// Serve answers requests until the context ends.
func (s *CoordinatorServer) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	s.Handle(mux)
	return jsonhttp.Serve(ctx, l, mux)
}

// renewalRequest is a driver's request for a lease from the coordinator.
type renewalRequest struct {
	cells.Report
	WaitMs int64 `json:"wait_ms"`
}
