package cells

import (
	"fmt"
	"slices"
)

// Record is what a coordinator writes down: an entry, or a driver's start that it gives leases to, or that no earlier start
// of that name acts any more.
type Record struct {
	Entry               *Entry `json:"entry,omitempty"`
	Driver              string `json:"driver,omitempty"`
	Incarnation         uint64 `json:"start,omitempty"` // its incarnation, 0 in records of builds that wrote down names alone
	PredecessorsExpired bool   `json:"alone,omitempty"`
}

// Coordinator decides on moves for all drivers. Its methods propose records; whoever drives it writes them down and
// then hands them to Apply, in their order and before anything is sent that rests on them. Records alone rebuild it.
// Times are Unix time in nanoseconds, of one clock that does not go back.
type Coordinator struct {
	directory    *Directory
	leases       leases
	maxHold      int64               // a move may hold writes so long
	maxClockSkew int64               // the clocks of coordinators may differ by so much
	holds        map[Tenant]moveHold // moves that hold writes
	waitsForFill bool                // the store has to be asked to fill a new cell
	filled       map[Tenant]Epoch    // the entries of which it has taken what they ask
}

// moveHold is since when a move holds writes, by the clock of the coordinator that sees to it now. The entry's own time is that
// of the one before, whose clock may be minutes off.
type moveHold struct {
	startedAt  int64 // as the entry says, to tell one move from the next
	observedAt int64
}

// maxConcurrentMoves is how many moves may be under way at once: each is a part of every report.
const maxConcurrentMoves = 256

// NewCoordinator starts at a time, over the records of the time before. A driver that they name may hold a lease given
// just before that time. Where fills is set, moves wait for Filled. The clocks of those who coordinate one after another
// may differ by skew.
func NewCoordinator(now int64, directory *Directory, lease, maxHold, maxClockSkew int64, waitsForFill bool, records []Record) (*Coordinator, error) {
	c := &Coordinator{directory: directory, leases: leases{duration: lease, drivers: map[string]*leaseHolder{}}, maxHold: maxHold, maxClockSkew: maxClockSkew, waitsForFill: waitsForFill}
	for _, r := range records {
		if err := c.Apply(now, r); err != nil {
			return nil, err
		}
	}
	c.TakeOver(now)
	return c, nil
}

// TakeOver says that this coordinator begins to act at a time, after which no other gives leases. Whoever is known may hold
// one given just before it, and what drivers and the store told another one has to be heard again.
func (c *Coordinator) TakeOver(now int64) {
	for _, h := range c.leases.drivers {
		h.expiresAt, h.epoch, h.moves, h.pendingIncarnation = c.leases.expiry(now), 0, nil, 0
	}
	c.filled, c.holds = map[Tenant]Epoch{}, map[Tenant]moveHold{}
}

// Snapshot is all that records have said, in short.
type Snapshot struct {
	Entries          []Entry           `json:"entries"`
	Drivers          []string          `json:"drivers"`
	Incarnations     map[string]uint64 `json:"starts,omitempty"` // the newest of each
	WithPredecessors []string          `json:"shaded,omitempty"` // of which an earlier start may act
}

// Snapshot gives it for Restore.
func (c *Coordinator) Snapshot() Snapshot {
	snapshot := Snapshot{Entries: c.directory.Since(0), Drivers: c.leases.names(), Incarnations: map[string]uint64{}}
	for _, name := range snapshot.Drivers {
		h := c.leases.drivers[name]
		snapshot.Incarnations[name] = h.recordedIncarnation
		if h.hasPredecessor {
			snapshot.WithPredecessors = append(snapshot.WithPredecessors, name)
		}
	}
	return snapshot
}

// Restore takes over at a time a past that is newer than what is known here.
func (c *Coordinator) Restore(now int64, snapshot Snapshot) {
	for _, name := range snapshot.Drivers {
		c.leases.restore(now, name, snapshot.Incarnations[name], slices.Contains(snapshot.WithPredecessors, name))
	}
	for _, e := range snapshot.Entries {
		if current, known := c.directory.entries[e.Tenant]; !known || e.Epoch > current.Epoch {
			c.directory.store(e)
		}
	}
}

// Apply takes in, at a time of the own clock, a record that has been written down.
func (c *Coordinator) Apply(now int64, r Record) error {
	switch {
	case r.PredecessorsExpired:
		c.leases.clearPredecessor(r.Driver, r.Incarnation)
	case r.Driver != "":
		c.leases.recordStart(now, r.Driver, r.Incarnation)
	}
	if r.Entry == nil {
		return nil
	}
	if !c.directory.isValidTransition(*r.Entry) {
		return fmt.Errorf("tenant %q, epoch %d: %v does not follow %v at epoch %d", r.Entry.Tenant, r.Entry.Epoch,
			r.Entry.Stage, c.directory.entries[r.Entry.Tenant].Stage, c.directory.latestEpoch)
	}
	if r.Entry.Stage == StageIdle {
		delete(c.filled, r.Entry.Tenant)
		delete(c.holds, r.Entry.Tenant)
	}
	c.directory.store(*r.Entry) // also one of a cell that this coordinator's file lacks: all that coordinate must hold the same
	return nil
}

// Directory is where tenants are.
func (c *Coordinator) Directory() *Directory { return c.directory }

// Renew proposes what must be written down before Grant may answer a driver's report. From then on no earlier start of its
// name gets a lease: others may have the record before this coordinator has.
func (c *Coordinator) Renew(r Report) ([]Record, error) {
	if r.Driver == "" {
		return nil, fmt.Errorf("a driver needs a name")
	}
	h := c.leases.drivers[r.Driver]
	switch {
	case h == nil:
		return []Record{{Driver: r.Driver, Incarnation: r.Incarnation}}, nil
	case r.Incarnation <= h.recordedIncarnation || r.Incarnation < h.pendingIncarnation:
		return nil, nil
	}
	h.pendingIncarnation = r.Incarnation
	return []Record{{Driver: r.Driver, Incarnation: r.Incarnation}}, nil
}

// Grant gives a driver its lease, with what is newer than what it acts on. Steps of moves are proposed by Step.
func (c *Coordinator) Grant(now int64, r Report) Grant {
	if r.Epoch > c.directory.latestEpoch || !c.leases.renew(now, r) {
		return Grant{}
	}
	return Grant{Lease: c.leases.duration, LatestEpoch: c.directory.latestEpoch, Entries: c.directory.Since(r.Epoch)}
}

// CurrentGrant is what Grant would say now, for an answer that waited: the report of its start was taken then.
func (c *Coordinator) CurrentGrant(r Report) Grant {
	return Grant{Lease: c.leases.duration, LatestEpoch: c.directory.latestEpoch, Entries: c.directory.Since(r.Epoch)}
}

// MarkFilled notes that the store has taken what the entry of an epoch asks of it.
func (c *Coordinator) MarkFilled(t Tenant, e Epoch) { c.filled[t] = e }

// Move proposes to move a tenant.
func (c *Coordinator) Move(now int64, t Tenant, to string, why string) ([]Record, error) {
	placement, current := c.directory.Placement(t), c.directory.entries[t]
	target := c.directory.layout.Find(to)
	switch {
	case t == "":
		return nil, fmt.Errorf("a move needs a tenant's name")
	case target == NoCell:
		return nil, fmt.Errorf("there is no cell %q", to)
	case current.Stage != StageIdle:
		return nil, fmt.Errorf("tenant %q is being moved: %v, to %q, since epoch %d", t, current.Stage, current.To, current.Epoch)
	case placement.Cell == target:
		return nil, fmt.Errorf("tenant %q is in cell %q already", t, to)
	case len(c.directory.Moving()) >= maxConcurrentMoves:
		return nil, fmt.Errorf("%d moves are under way, which is the most", maxConcurrentMoves)
	}
	e := Entry{Tenant: t, Cell: c.directory.layout.Name(placement.Cell), Stage: StagePrepared, To: to, MinPosition: current.MinPosition, Reason: why}
	return c.propose(now, e), nil
}

// Abort proposes to call a move off.
func (c *Coordinator) Abort(now int64, t Tenant, why string) ([]Record, error) {
	e, known := c.directory.entries[t]
	switch {
	case !known || e.Stage == StageIdle:
		return nil, fmt.Errorf("tenant %q is not being moved", t)
	case e.Stage == StageRollingBack:
		return nil, fmt.Errorf("tenant %q is on its way back already", t)
	case e.Stage == StageSwitched:
		return nil, fmt.Errorf("tenant %q has been switched to cell %q: only another move brings it back", t, e.Cell)
	}
	e.Stage, e.Reason = StageRollingBack, why
	return c.propose(now, e), nil
}

// propose numbers and dates an entry.
func (c *Coordinator) propose(now int64, e Entry) []Record {
	e.Epoch, e.DecidedAt = c.directory.latestEpoch+1, now
	return []Record{{Entry: &e}}
}

// Step proposes the next step of a move that is ready for one, or nothing. Whoever drives it calls again until nothing
// is proposed.
func (c *Coordinator) Step(now int64) []Record {
	for _, e := range c.directory.Moving() {
		if next, ready := c.nextEntry(now, e); ready {
			return c.propose(now, next)
		}
	}
	return c.leases.expiredPredecessors(now)
}

// nextEntry is the step that a move is ready for: the table at Stage.
func (c *Coordinator) nextEntry(now int64, e Entry) (next Entry, ready bool) {
	next = e
	switch e.Stage {
	case StagePrepared:
		next.Stage, next.HoldStartedAt = StageHoldingWrites, now
		return next, c.isFilled(e) && c.leases.allHolders(now, e, anyReport)
	case StageHoldingWrites, StageCatchingUp, StageHoldingAll:
		if c.holdDuration(now, e) > c.maxHold {
			next.Stage, next.Reason = StageRollingBack, fmt.Sprintf("writes were held for over %d ms, at %v", c.maxHold/1_000_000, e.Stage)
			return next, true
		}
	}
	switch e.Stage {
	case StageHoldingWrites:
		next.Stage, next.CutoverPosition = StageCatchingUp, c.cutoverPosition(now, e)
		return next, c.leases.allHolders(now, e, func(m MoveReport) bool { return m.Writes == 0 })
	case StageCatchingUp:
		next.Stage = StageHoldingAll
		return next, c.leases.anyHolder(e, func(m MoveReport) bool { return m.CaughtUp })
	case StageHoldingAll:
		next.Stage, next.Cell, next.To, next.MinPosition = StageSwitched, e.To, e.Cell, max(e.MinPosition, e.CutoverPosition)
		return next, c.leases.allHolders(now, e, func(m MoveReport) bool { return m.OpenRPCs == 0 })
	case StageSwitched, StageRollingBack:
		next.Stage, next.To, next.HoldStartedAt, next.CutoverPosition = StageIdle, "", 0, 0
		return next, c.isFilled(e) && c.leases.allHolders(now, e, anyReport)
	}
	return next, false
}

// holdDuration is how long a move has held writes under this coordinator.
func (c *Coordinator) holdDuration(now int64, e Entry) int64 {
	if c.holds[e.Tenant].startedAt != e.HoldStartedAt {
		c.holds[e.Tenant] = moveHold{startedAt: e.HoldStartedAt, observedAt: now}
	}
	return now - c.holds[e.Tenant].observedAt
}

func anyReport(MoveReport) bool { return true }

// isFilled tells whether the store has taken what an entry asks of it: to begin filling the new cell, or to end that.
func (c *Coordinator) isFilled(e Entry) bool { return !c.waitsForFill || c.filled[e.Tenant] == e.Epoch }

// cutoverPosition is the position that the new cell has to reach: past every write that was answered. Those of drivers that told are
// known; one whose lease ran out answered none after that, which is before now, and so, by any coordinator's clock, before
// now and what clocks may differ by.
func (c *Coordinator) cutoverPosition(now int64, e Entry) int64 {
	position := now + c.maxClockSkew
	for _, h := range c.leases.drivers {
		position = max(position, h.moves[e.Tenant].LastCommit)
	}
	return position
}

// Driver is what the coordinator knows of a driver.
type Driver struct {
	Name           string `json:"name"`
	LeaseExpiresAt int64  `json:"until"` // its lease, Unix time in nanoseconds
	Epoch          Epoch  `json:"acts"`
}

// Drivers are those that have had leases, by name.
func (c *Coordinator) Drivers() (drivers []Driver) {
	for _, name := range c.leases.names() {
		h := c.leases.drivers[name]
		drivers = append(drivers, Driver{Name: name, LeaseExpiresAt: h.expiresAt, Epoch: h.epoch})
	}
	return drivers
}

// Loads are the heaviest tenants that drivers tell of, in RPCs a second over all of them.
func (c *Coordinator) Loads(now int64) []TenantLoad { return c.leases.loads(now) }
