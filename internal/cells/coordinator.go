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
	book   *Directory
	leases leases
	hold   int64            // a move may hold writes so long
	skew   int64            // the clocks of coordinators may differ by so much
	since  map[Tenant]held  // moves that hold writes
	fills  bool             // the store has to be asked to fill a new cell
	filled map[Tenant]Epoch // the entries of which it has taken what they ask
}

// held is since when a move holds writes, by the clock of the coordinator that sees to it now. The entry's own time is that
// of the one before, whose clock may be minutes off.
type held struct {
	begun int64 // as the entry says, to tell one move from the next
	here  int64
}

// mostMoves is how many moves may be under way at once: each is a part of every report.
const mostMoves = 256

// NewCoordinator starts at a time, over the records of the time before. A driver that they name may hold a lease given
// just before that time. Where fills is set, moves wait for Filled. The clocks of those who coordinate one after another
// may differ by skew.
func NewCoordinator(now int64, b *Directory, lease, hold, skew int64, fills bool, records []Record) (*Coordinator, error) {
	c := &Coordinator{book: b, leases: leases{lease: lease, drivers: map[string]*holder{}}, hold: hold, skew: skew, fills: fills}
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
		h.until, h.acts, h.moves, h.promised = c.leases.over(now), 0, nil, 0
	}
	c.filled, c.since = map[Tenant]Epoch{}, map[Tenant]held{}
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
	p := Snapshot{Entries: c.book.Since(0), Drivers: c.leases.holders(), Incarnations: map[string]uint64{}}
	for _, name := range p.Drivers {
		h := c.leases.drivers[name]
		p.Incarnations[name] = h.started
		if h.shaded {
			p.WithPredecessors = append(p.WithPredecessors, name)
		}
	}
	return p
}

// Restore takes over at a time a past that is newer than what is known here.
func (c *Coordinator) Restore(now int64, p Snapshot) {
	for _, name := range p.Drivers {
		c.leases.restored(now, name, p.Incarnations[name], slices.Contains(p.WithPredecessors, name))
	}
	for _, e := range p.Entries {
		if held, known := c.book.entries[e.Tenant]; !known || e.Epoch > held.Epoch {
			c.book.take(e)
		}
	}
}

// Apply takes in, at a time of the own clock, a record that has been written down.
func (c *Coordinator) Apply(now int64, r Record) error {
	switch {
	case r.PredecessorsExpired:
		c.leases.alone(r.Driver, r.Incarnation)
	case r.Driver != "":
		c.leases.starts(now, r.Driver, r.Incarnation)
	}
	if r.Entry == nil {
		return nil
	}
	if !c.book.follows(*r.Entry) {
		return fmt.Errorf("tenant %q, epoch %d: %v does not follow %v at epoch %d", r.Entry.Tenant, r.Entry.Epoch,
			r.Entry.Stage, c.book.entries[r.Entry.Tenant].Stage, c.book.newest)
	}
	if r.Entry.Stage == StageIdle {
		delete(c.filled, r.Entry.Tenant)
		delete(c.since, r.Entry.Tenant)
	}
	c.book.take(*r.Entry) // also one of a cell that this coordinator's file lacks: all that coordinate must hold the same
	return nil
}

// Directory is where tenants are.
func (c *Coordinator) Directory() *Directory { return c.book }

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
	case r.Incarnation <= h.started || r.Incarnation < h.promised:
		return nil, nil
	}
	h.promised = r.Incarnation
	return []Record{{Driver: r.Driver, Incarnation: r.Incarnation}}, nil
}

// Grant gives a driver its lease, with what is newer than what it acts on. Steps of moves are proposed by Step.
func (c *Coordinator) Grant(now int64, r Report) Grant {
	if r.Epoch > c.book.newest || !c.leases.take(now, r) {
		return Grant{}
	}
	return Grant{Lease: c.leases.lease, LatestEpoch: c.book.newest, Entries: c.book.Since(r.Epoch)}
}

// CurrentGrant is what Grant would say now, for an answer that waited: the report of its start was taken then.
func (c *Coordinator) CurrentGrant(r Report) Grant {
	return Grant{Lease: c.leases.lease, LatestEpoch: c.book.newest, Entries: c.book.Since(r.Epoch)}
}

// MarkFilled notes that the store has taken what the entry of an epoch asks of it.
func (c *Coordinator) MarkFilled(t Tenant, e Epoch) { c.filled[t] = e }

// Move proposes to move a tenant.
func (c *Coordinator) Move(now int64, t Tenant, to string, why string) ([]Record, error) {
	seat, held := c.book.Placement(t), c.book.entries[t]
	target := c.book.layout.Find(to)
	switch {
	case t == "":
		return nil, fmt.Errorf("a move needs a tenant's name")
	case target == NoCell:
		return nil, fmt.Errorf("there is no cell %q", to)
	case held.Stage != StageIdle:
		return nil, fmt.Errorf("tenant %q is being moved: %v, to %q, since epoch %d", t, held.Stage, held.To, held.Epoch)
	case seat.Cell == target:
		return nil, fmt.Errorf("tenant %q is in cell %q already", t, to)
	case len(c.book.Moving()) >= mostMoves:
		return nil, fmt.Errorf("%d moves are under way, which is the most", mostMoves)
	}
	e := Entry{Tenant: t, Cell: c.book.layout.Name(seat.Cell), Stage: StagePrepared, To: to, MinPosition: held.MinPosition, Reason: why}
	return c.propose(now, e), nil
}

// Abort proposes to call a move off.
func (c *Coordinator) Abort(now int64, t Tenant, why string) ([]Record, error) {
	e, known := c.book.entries[t]
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
	e.Epoch, e.DecidedAt = c.book.newest+1, now
	return []Record{{Entry: &e}}
}

// Step proposes the next step of a move that is ready for one, or nothing. Whoever drives it calls again until nothing
// is proposed.
func (c *Coordinator) Step(now int64) []Record {
	for _, e := range c.book.Moving() {
		if next, ready := c.next(now, e); ready {
			return c.propose(now, next)
		}
	}
	return c.leases.passed(now)
}

// next is the step that a move is ready for: the table at Stage.
func (c *Coordinator) next(now int64, e Entry) (next Entry, ready bool) {
	next = e
	switch e.Stage {
	case StagePrepared:
		next.Stage, next.HoldStartedAt = StageHoldingWrites, now
		return next, c.fillsAs(e) && c.leases.all(now, e, acts)
	case StageHoldingWrites, StageCatchingUp, StageHoldingAll:
		if c.heldFor(now, e) > c.hold {
			next.Stage, next.Reason = StageRollingBack, fmt.Sprintf("writes were held for over %d ms, at %v", c.hold/1_000_000, e.Stage)
			return next, true
		}
	}
	switch e.Stage {
	case StageHoldingWrites:
		next.Stage, next.CutoverPosition = StageCatchingUp, c.cut(now, e)
		return next, c.leases.all(now, e, func(m MoveReport) bool { return m.Writes == 0 })
	case StageCatchingUp:
		next.Stage = StageHoldingAll
		return next, c.leases.any(e, func(m MoveReport) bool { return m.CaughtUp })
	case StageHoldingAll:
		next.Stage, next.Cell, next.To, next.MinPosition = StageSwitched, e.To, e.Cell, max(e.MinPosition, e.CutoverPosition)
		return next, c.leases.all(now, e, func(m MoveReport) bool { return m.OpenRPCs == 0 })
	case StageSwitched, StageRollingBack:
		next.Stage, next.To, next.HoldStartedAt, next.CutoverPosition = StageIdle, "", 0, 0
		return next, c.fillsAs(e) && c.leases.all(now, e, acts)
	}
	return next, false
}

// heldFor is how long a move has held writes under this coordinator.
func (c *Coordinator) heldFor(now int64, e Entry) int64 {
	if c.since[e.Tenant].begun != e.HoldStartedAt {
		c.since[e.Tenant] = held{begun: e.HoldStartedAt, here: now}
	}
	return now - c.since[e.Tenant].here
}

func acts(MoveReport) bool { return true }

// fillsAs tells whether the store has taken what an entry asks of it: to begin filling the new cell, or to end that.
func (c *Coordinator) fillsAs(e Entry) bool { return !c.fills || c.filled[e.Tenant] == e.Epoch }

// cut is the position that the new cell has to reach: past every write that was answered. Those of drivers that told are
// known; one whose lease ran out answered none after that, which is before now, and so, by any coordinator's clock, before
// now and what clocks may differ by.
func (c *Coordinator) cut(now int64, e Entry) int64 {
	cut := now + c.skew
	for _, h := range c.leases.drivers {
		cut = max(cut, h.moves[e.Tenant].LastCommit)
	}
	return cut
}

// Driver is what the coordinator knows of a driver.
type Driver struct {
	Name           string `json:"name"`
	LeaseExpiresAt int64  `json:"until"` // its lease, Unix time in nanoseconds
	Epoch          Epoch  `json:"acts"`
}

// Drivers are those that have had leases, by name.
func (c *Coordinator) Drivers() (drivers []Driver) {
	for _, name := range c.leases.holders() {
		h := c.leases.drivers[name]
		drivers = append(drivers, Driver{Name: name, LeaseExpiresAt: h.until, Epoch: h.acts})
	}
	return drivers
}

// Loads are the heaviest tenants that drivers tell of, in RPCs a second over all of them.
func (c *Coordinator) Loads(now int64) []TenantLoad { return c.leases.loads(now) }
