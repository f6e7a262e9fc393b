package cells

import (
	"fmt"
	"slices"
)

// Record is a change that a coordinator persists: an entry, the start of a driver, or the expiry
// of all leases of earlier starts of a driver.
type Record struct {
	Entry               *Entry `json:"entry,omitempty"`
	Driver              string `json:"driver,omitempty"`
	Incarnation         uint64 `json:"start,omitempty"` // 0 in records of old builds, which stored names only
	PredecessorsExpired bool   `json:"alone,omitempty"`
}

// Coordinator decides on moves for all drivers. Its methods propose records; the caller persists
// them, passes them to Apply in order, and only then sends anything that depends on them. The
// state can be rebuilt from the records. Times are Unix time in nanoseconds from a monotonic
// clock.
type Coordinator struct {
	directory    *Directory
	leases       leases
	maxHold      int64               // how long a move may hold writes
	maxClockSkew int64               // between the clocks of coordinators
	holds        map[Tenant]moveHold // moves that hold writes
	waitsForFill bool                // moves wait for MarkFilled
	filled       map[Tenant]Epoch    // last entry of each tenant that the store has acted on
}

// moveHold is when a move began to hold writes, by this coordinator's clock. The time in the entry
// may be from another coordinator, whose clock may differ.
type moveHold struct {
	startedAt  int64 // HoldStartedAt of the entry, which identifies the move
	observedAt int64
}

// maxConcurrentMoves limits the size of reports, which contain each move.
const maxConcurrentMoves = 256

// NewCoordinator returns a coordinator that starts at time now with the persisted records. Drivers
// in the records may hold a lease granted just before now. If waitsForFill is set, moves wait for
// MarkFilled. The clocks of successive coordinators may differ by maxClockSkew.
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

// TakeOver makes this coordinator the active one. Each known driver may hold a lease granted just
// before now by the previous coordinator, and drivers and the store must report again.
func (c *Coordinator) TakeOver(now int64) {
	for _, h := range c.leases.drivers {
		h.expiresAt, h.epoch, h.moves, h.pendingIncarnation = c.leases.expiry(now), 0, nil, 0
	}
	c.filled, c.holds = map[Tenant]Epoch{}, map[Tenant]moveHold{}
}

// Snapshot is the state that results from all records.
type Snapshot struct {
	Entries          []Entry           `json:"entries"`
	Drivers          []string          `json:"drivers"`
	Incarnations     map[string]uint64 `json:"starts,omitempty"` // latest of each driver
	WithPredecessors []string          `json:"shaded,omitempty"` // drivers of which an earlier start may hold a lease
}

// Snapshot returns the state for Restore.
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

// Restore applies a snapshot that is newer than the current state.
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

// Apply applies a persisted record at time now of the local clock.
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
	c.directory.store(*r.Entry) // even if the cell is not configured here: all coordinators must have the same state
	return nil
}

// Directory returns the placement of tenants.
func (c *Coordinator) Directory() *Directory { return c.directory }

// Renew proposes the records to persist before Grant may answer a report. From then on earlier
// starts of the driver get no lease, since other coordinators may apply the record first.
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

// Grant renews a driver's lease and returns the entries that are new to it.
func (c *Coordinator) Grant(now int64, r Report) Grant {
	if r.Epoch > c.directory.latestEpoch || !c.leases.renew(now, r) {
		return Grant{}
	}
	return Grant{Lease: c.leases.duration, LatestEpoch: c.directory.latestEpoch, Entries: c.directory.Since(r.Epoch)}
}

// CurrentGrant returns what Grant would return now, without processing the report again. It serves
// delayed responses.
func (c *Coordinator) CurrentGrant(r Report) Grant {
	return Grant{Lease: c.leases.duration, LatestEpoch: c.directory.latestEpoch, Entries: c.directory.Since(r.Epoch)}
}

// MarkFilled records that the store has acted on the tenant's entry of an epoch.
func (c *Coordinator) MarkFilled(t Tenant, e Epoch) { c.filled[t] = e }

// Move proposes a move of a tenant to another cell.
func (c *Coordinator) Move(now int64, t Tenant, to string, reason string) ([]Record, error) {
	placement, current := c.directory.Placement(t), c.directory.entries[t]
	target := c.directory.layout.Find(to)
	switch {
	case t == "":
		return nil, fmt.Errorf("a move needs a tenant name")
	case target == NoCell:
		return nil, fmt.Errorf("there is no cell %q", to)
	case current.Stage != StageIdle:
		return nil, fmt.Errorf("tenant %q is being moved: %v, to %q, since epoch %d", t, current.Stage, current.To, current.Epoch)
	case placement.Cell == target:
		return nil, fmt.Errorf("tenant %q is in cell %q already", t, to)
	case len(c.directory.Moving()) >= maxConcurrentMoves:
		return nil, fmt.Errorf("%d moves are in progress, which is the maximum", maxConcurrentMoves)
	}
	entry := Entry{Tenant: t, Cell: c.directory.layout.Name(placement.Cell), Stage: StagePrepared, To: to, MinPosition: current.MinPosition, Reason: reason}
	return c.propose(now, entry), nil
}

// Abort proposes to abort a move.
func (c *Coordinator) Abort(now int64, t Tenant, reason string) ([]Record, error) {
	entry, known := c.directory.entries[t]
	switch {
	case !known || entry.Stage == StageIdle:
		return nil, fmt.Errorf("tenant %q is not being moved", t)
	case entry.Stage == StageRollingBack:
		return nil, fmt.Errorf("tenant %q is already being moved back", t)
	case entry.Stage == StageSwitched:
		return nil, fmt.Errorf("tenant %q has been switched to cell %q: only another move can return it", t, entry.Cell)
	}
	entry.Stage, entry.Reason = StageRollingBack, reason
	return c.propose(now, entry), nil
}

// propose sets the epoch and the time of an entry.
func (c *Coordinator) propose(now int64, e Entry) []Record {
	e.Epoch, e.DecidedAt = c.directory.latestEpoch+1, now
	return []Record{{Entry: &e}}
}

// Step proposes the next stage of a move that is ready for it, or else the expiry of leases of
// earlier driver starts. The caller applies the records and repeats until there are none.
func (c *Coordinator) Step(now int64) []Record {
	for _, e := range c.directory.Moving() {
		if next, ready := c.nextEntry(now, e); ready {
			return c.propose(now, next)
		}
	}
	return c.leases.expiredPredecessors(now)
}

// nextEntry returns the next stage of a move and whether the move is ready for it; see Stage.
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

// holdDuration returns how long a move has held writes under this coordinator.
func (c *Coordinator) holdDuration(now int64, e Entry) int64 {
	if c.holds[e.Tenant].startedAt != e.HoldStartedAt {
		c.holds[e.Tenant] = moveHold{startedAt: e.HoldStartedAt, observedAt: now}
	}
	return now - c.holds[e.Tenant].observedAt
}

func anyReport(MoveReport) bool { return true }

// isFilled reports whether the store has acted on an entry, if moves wait for the store.
func (c *Coordinator) isFilled(e Entry) bool { return !c.waitsForFill || c.filled[e.Tenant] == e.Epoch }

// cutoverPosition returns a position after every acknowledged write: reported commits are known,
// and drivers with expired leases acknowledged their last write before now, give or take the clock
// skew.
func (c *Coordinator) cutoverPosition(now int64, e Entry) int64 {
	position := now + c.maxClockSkew
	for _, h := range c.leases.drivers {
		position = max(position, h.moves[e.Tenant].LastCommit)
	}
	return position
}

// Driver is the state of a driver's lease.
type Driver struct {
	Name           string `json:"name"`
	LeaseExpiresAt int64  `json:"until"` // Unix time in nanoseconds
	Epoch          Epoch  `json:"acts"`
}

// Drivers returns the drivers that have had leases, sorted by name.
func (c *Coordinator) Drivers() (drivers []Driver) {
	for _, name := range c.leases.names() {
		h := c.leases.drivers[name]
		drivers = append(drivers, Driver{Name: name, LeaseExpiresAt: h.expiresAt, Epoch: h.epoch})
	}
	return drivers
}

// Loads returns the tenants with the highest load in RPCs per second, summed over all drivers.
func (c *Coordinator) Loads(now int64) []TenantLoad { return c.leases.loads(now) }
