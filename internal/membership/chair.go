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
	decisions[cells.Record]
	fill  FillFunc
	log   logrus.FieldLogger
	clock clock.Clock

	mu      sync.Mutex
	c       *cells.Coordinator
	changed bell // rings at the next entry
	asked   map[cells.Tenant]cells.Epoch
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
	stepEvery = 10 * time.Millisecond
	fillAgain = 500 * time.Millisecond
	mostWait  = time.Minute
)

// NewCoordinatorServer takes up what a journal holds. Leases that were given before are waited for.
func NewCoordinatorServer(book *cells.Directory, j *store.Journal, lease, hold time.Duration, fill FillFunc, log logrus.FieldLogger) (*CoordinatorServer, error) {
	h := newChair(fill, log)
	records, err := store.ReadAll[cells.Record](j)
	if err != nil {
		return nil, err
	}
	h.ledger = &alone{h: h, journal: j}
	h.c, err = cells.NewCoordinator(h.now(), book, int64(lease), int64(hold), 0, fill != nil, records)
	return h, err
}

// NewReplicatedCoordinatorServer makes a chair that is one of a council's, and Join its place there.
func NewReplicatedCoordinatorServer(book *cells.Directory, lease, hold, skew time.Duration, fill FillFunc, log logrus.FieldLogger) (*CoordinatorServer, error) {
	h := newChair(fill, log)
	var err error
	h.c, err = cells.NewCoordinator(h.now(), book, int64(lease), int64(hold), int64(skew), fill != nil, nil)
	return h, err
}

// StateMachine is what the council's chamber is to be opened with.
func (h *CoordinatorServer) StateMachine() CoordinatorStateMachine { return CoordinatorStateMachine{h} }

// AttachCouncil says where the council is, before anything is asked of the chair.
func (h *CoordinatorServer) AttachCouncil(c *chamber.Server) {
	h.ledger = together[cells.Record]{c, CoordinatorStateMachineName}
}

func newChair(fill FillFunc, log logrus.FieldLogger) *CoordinatorServer {
	return &CoordinatorServer{fill: fill, log: log, clock: clock.New(), changed: newBell(), asked: map[cells.Tenant]cells.Epoch{}}
}

func (h *CoordinatorServer) now() int64 { return h.clock.Now() }

// apply lets a record count that was written down. The lock is held.
func (h *CoordinatorServer) apply(r cells.Record) error {
	if err := h.c.Apply(h.now(), r); err != nil {
		return err
	}
	if e := r.Entry; e != nil {
		h.log.WithFields(logrus.Fields{"tenant": e.Tenant, "stage": e.Stage, "cell": e.Cell, "to": e.To, "epoch": e.Epoch,
			"why": e.Reason}).Info("move")
		h.changed.ring()
	}
	return nil
}

// Run takes moves on until the context ends.
func (h *CoordinatorServer) Run(ctx context.Context) { again(ctx, h.step) }

// step takes all moves on as far as they can go now.
func (h *CoordinatorServer) step(ctx context.Context) {
	for {
		recorded, err := h.decide(ctx, &h.mu, func() ([]cells.Record, error) { return h.c.Step(h.now()), nil })
		if err != nil {
			return
		}
		if !recorded {
			break
		}
	}
	if h.fill == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.fillings() {
		h.asked[f.Tenant] = f.Epoch
		go h.filling(ctx, f)
	}
}

// fillSteps are what the store is asked at a stage.
var fillSteps = map[cells.Stage]string{cells.StagePrepared: "begin", cells.StageSwitched: "end", cells.StageRollingBack: "drop"}

// fillings are what the store has to be asked and has not been. The lock is held.
func (h *CoordinatorServer) fillings() (due []FillRequest) {
	l := h.c.Directory().Layout()
	for _, e := range h.c.Directory().Moving() {
		step, asks := fillSteps[e.Stage]
		if !asks || h.asked[e.Tenant] == e.Epoch {
			continue
		}
		f := FillRequest{Step: step, Tenant: e.Tenant, Epoch: e.Epoch, CutoverPosition: e.CutoverPosition}
		from, to := l.Find(e.Cell), l.Find(e.To)
		if from == cells.NoCell || to == cells.NoCell {
			continue // this voter's file does not have it: it must not lead for long
		}
		if e.Stage == cells.StageSwitched {
			from, to = to, from
		}
		f.From, f.To = l.TenantGroups(e.Tenant, from), l.TenantGroups(e.Tenant, to)
		due = append(due, f)
	}
	return due
}

// filling asks the store, and lets it be asked again where that failed.
func (h *CoordinatorServer) filling(ctx context.Context, f FillRequest) {
	err := h.fill(ctx, f)
	if err != nil {
		h.log.WithError(err).WithField("tenant", f.Tenant).WithField("step", f.Step).Warn("the store did not take a filling")
		time.Sleep(fillAgain)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.c.MarkFilled(f.Tenant, f.Epoch)
	} else if h.asked[f.Tenant] == f.Epoch {
		delete(h.asked, f.Tenant)
	}
}

// Renew answers a driver's report, at once where it is out of date and else once something has changed or the wait is
// over.
func (h *CoordinatorServer) Renew(ctx context.Context, r cells.Report, wait time.Duration) (cells.Grant, error) {
	h.mu.Lock()
	named, err := h.c.Renew(r)
	h.mu.Unlock()
	if err == nil && len(named) > 0 {
		_, err = h.decide(ctx, &h.mu, func() ([]cells.Record, error) { return h.c.Renew(r) })
	}
	if err != nil {
		return cells.Grant{}, err
	}
	h.mu.Lock()
	if !h.ledger.acts() {
		h.mu.Unlock()
		return cells.Grant{}, chamber.ErrNotLeading
	}
	grant, changed := h.c.Grant(h.now(), r), h.changed.rings
	h.mu.Unlock()
	if len(grant.Entries) > 0 || grant.Lease == 0 || wait <= 0 {
		return grant, nil
	}
	if err := await(ctx, changed, wait); err != nil {
		return cells.Grant{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.c.CurrentGrant(r), nil
}

// Move begins to move tenants, one after another until one can't be moved.
func (h *CoordinatorServer) Move(ctx context.Context, moves []MoveRequest) error {
	for _, m := range moves {
		_, err := h.decide(ctx, &h.mu, func() ([]cells.Record, error) { return h.c.Move(h.now(), m.Tenant, m.To, m.Reason) })
		if err != nil {
			return err
		}
	}
	return nil
}

// Abort calls a move off.
func (h *CoordinatorServer) Abort(ctx context.Context, t cells.Tenant, why string) error {
	_, err := h.decide(ctx, &h.mu, func() ([]cells.Record, error) { return h.c.Abort(h.now(), t, why) })
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
func (h *CoordinatorServer) State() CoordinatorState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return CoordinatorState{Voter: h.ledger.voter(), Epoch: h.c.Directory().LatestEpoch(), Drivers: h.c.Drivers(), Now: h.now(), Loads: h.c.Loads(h.now()), Entries: h.c.Directory().Since(0)}
}

// UpdateLayout takes over a file read again.
func (h *CoordinatorServer) UpdateLayout(l *cells.Layout, pins map[cells.Tenant]string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.c.Directory().Update(l, pins)
}

// Handle lets a chair answer drivers and operators, or pass on what they ask to the one that decides.
func (h *CoordinatorServer) Handle(mux *http.ServeMux) {
	handle := func(what string, answer http.HandlerFunc) { mux.Handle("POST /v1/"+what, h.ledger.leader(answer)) }
	handle("renew", jsonhttp.Handler(func(ctx context.Context, r renewal) (cells.Grant, error) {
		return h.Renew(ctx, r.Report, time.Duration(r.WaitMs)*time.Millisecond)
	}))
	handle("move", jsonhttp.ActionHandler(h.Move))
	handle("abort", jsonhttp.ActionHandler(func(ctx context.Context, m MoveRequest) error { return h.Abort(ctx, m.Tenant, m.Reason) }))
	handle("state", jsonhttp.QueryHandler(func(context.Context) (CoordinatorState, error) { return h.State(), nil }))
}

// Serve answers until the context ends.
func (h *CoordinatorServer) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	h.Handle(mux)
	return jsonhttp.Serve(ctx, l, mux)
}

// renewal is what a driver sends.
type renewal struct {
	cells.Report
	WaitMs int64 `json:"wait_ms"`
}
