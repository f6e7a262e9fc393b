package cells

import (
	"cmp"
	"fmt"
	"slices"
)

// Stage is how far a tenant's move has come.
//
//	from       what has been seen                            to         what drivers do with the tenant's RPCs in it
//	Resting    a move is asked for, and allowed              Prepared   all to the old cell
//	Prepared   every driver knows of it                      Holding    writes are held, reads to the old cell
//	Holding    no write is in flight anywhere: the cut       Catching   as before; the new cell nears the cut
//	Catching   the new cell's members have reached the cut   Closing    all are held
//	Closing    nothing is in flight anywhere                 Switched   all to the new cell, from the cut on
//	Switched   every driver acts on it                       Resting    the move is done
//	Prepared, Holding, Catching, Closing
//	           it is called off, or has held writes too long Returning  all to the old cell
//	Returning  every driver acts on it                       Resting    the move is undone
//
// "Every driver" and "anywhere" mean: each driver that may still act has said so, and all others' leases have provably
// run out. After Switched there is no way back but another move.
type Stage int

const (
	StageIdle Stage = iota
	StagePrepared
	StageHoldingWrites
	StageCatchingUp
	StageHoldingAll
	StageSwitched
	StageRollingBack
)

var stageNames = [...]string{"resting", "prepared", "holding", "catching", "closing", "switched", "returning"}

func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return fmt.Sprintf("stage %d", int(s))
	}
	return stageNames[s]
}

// before lists, for each stage, those that it may follow.
var before = map[Stage][]Stage{
	StagePrepared:      {StageIdle},
	StageHoldingWrites: {StagePrepared},
	StageCatchingUp:    {StageHoldingWrites},
	StageHoldingAll:    {StageCatchingUp},
	StageSwitched:      {StageHoldingAll},
	StageRollingBack:   {StagePrepared, StageHoldingWrites, StageCatchingUp, StageHoldingAll},
	StageIdle:          {StageSwitched, StageRollingBack},
}

// Entry is where one tenant is, by a decision of its own. It is what is written down and what drivers are sent.
// Times and positions are Unix time in nanoseconds.
type Entry struct {
	Epoch           Epoch  `json:"epoch"`
	Tenant          Tenant `json:"tenant"`
	Cell            string `json:"cell"` // where it is; the old cell until Switched
	Stage           Stage  `json:"stage"`
	To              string `json:"to,omitempty"`    // of a move under way: the new cell, or the one it came from where it returns
	MinPosition     int64  `json:"floor,omitempty"` // position that a member must have reached to be read from
	CutoverPosition int64  `json:"cut,omitempty"`   // position that the new cell has to reach
	DecidedAt       int64  `json:"at"`              // when it was decided
	HoldStartedAt   int64  `json:"begun,omitempty"` // when the move began to hold writes, 0 for not yet
	Reason          string `json:"why,omitempty"`
}

// Directory is where tenants are that are not where their names hash to, by the newest epoch known here.
type Directory struct {
	layout  *Layout
	pins    map[Tenant]Cell
	entries map[Tenant]Entry
	moving  map[Tenant]bool // those whose entry is of a move under way
	newest  Epoch
}

// NewDirectory makes a book in which nothing but pins is known.
func NewDirectory(l *Layout, pins map[Tenant]Cell) *Directory {
	return &Directory{layout: l, pins: pins, entries: map[Tenant]Entry{}, moving: map[Tenant]bool{}}
}

// Placement is what a driver goes by for a tenant's RPCs.
type Placement struct {
	Cell        Cell
	Epoch       Epoch
	Stage       Stage
	MinPosition int64
}

// Placement is where a tenant is: where a move has put it, else where it is pinned, else where its name hashes to.
func (b *Directory) Placement(t Tenant) Placement {
	if len(b.entries) > 0 {
		if e, known := b.entries[t]; known {
			return Placement{Cell: b.layout.Find(e.Cell), Epoch: e.Epoch, Stage: e.Stage, MinPosition: e.MinPosition}
		}
	}
	if c, pinned := b.pins[t]; pinned {
		return Placement{Cell: c}
	}
	return Placement{Cell: b.layout.HomeCell(t)}
}

// Entry is what a decision of its own says of a tenant.
func (b *Directory) Entry(t Tenant) (e Entry, known bool) {
	e, known = b.entries[t]
	return e, known
}

// Layout is the cells that there are.
func (b *Directory) Layout() *Layout { return b.layout }

// LatestEpoch is the newest epoch that the book knows.
func (b *Directory) LatestEpoch() Epoch { return b.newest }

// Apply takes in an entry. One whose epoch is not newer than what is known of its tenant changes nothing, and applied is
// false. One that does not follow from what is known is an error: the book would not be what its writer held.
func (b *Directory) Apply(e Entry) (applied bool, err error) {
	held, known := b.entries[e.Tenant]
	if known && e.Epoch <= held.Epoch {
		return false, nil
	}
	if b.layout.Find(e.Cell) == NoCell {
		return false, fmt.Errorf("tenant %q, epoch %d: cell %q is not in the file", e.Tenant, e.Epoch, e.Cell)
	}
	if e.To != "" && b.layout.Find(e.To) == NoCell {
		return false, fmt.Errorf("tenant %q, epoch %d: cell %q is not in the file", e.Tenant, e.Epoch, e.To)
	}
	b.take(e)
	return true, nil
}

// take takes in an entry that is newer than what is known of its tenant.
func (b *Directory) take(e Entry) {
	b.entries[e.Tenant] = e
	if e.Stage == StageIdle {
		delete(b.moving, e.Tenant)
	} else {
		b.moving[e.Tenant] = true
	}
	b.newest = max(b.newest, e.Epoch)
}

// follows tells whether an entry is a step of the table from what the book holds.
func (b *Directory) follows(e Entry) bool {
	return slices.Contains(before[e.Stage], b.entries[e.Tenant].Stage) && e.Epoch > b.newest
}

// Since gives the entries with epochs above one, the oldest first.
func (b *Directory) Since(known Epoch) (newer []Entry) {
	if known >= b.newest {
		return nil
	}
	for _, e := range b.entries {
		if e.Epoch > known {
			newer = append(newer, e)
		}
	}
	return byEpoch(newer)
}

func byEpoch(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return entries
}

// Moving are the entries of moves under way, the oldest first.
func (b *Directory) Moving() (moving []Entry) {
	for t := range b.moving {
		moving = append(moving, b.entries[t])
	}
	return byEpoch(moving)
}

// Overrides are the cells of the tenants that are not where their names hash to.
func (b *Directory) Overrides() map[Tenant]Cell {
	seats := make(map[Tenant]Cell, len(b.pins)+len(b.entries))
	for t, c := range b.pins {
		seats[t] = c
	}
	for t, e := range b.entries {
		seats[t] = b.layout.Find(e.Cell)
	}
	return seats
}

// Update takes over the cells and the pins of a file read again: all of it, or an error and nothing. A tenant that has not
// been moved must stay where it is.
func (b *Directory) Update(l *Layout, pins map[Tenant]string) error {
	if err := b.repinnable(b.places(l, pins)); err != nil {
		return err
	}
	if err := b.layout.Update(l, b.Overrides()); err != nil {
		return err
	}
	b.pins = b.places(b.layout, pins)
	return nil
}

// places are the pins with the places of their cells here; one in a cell that is new here has the place that it will get.
func (b *Directory) places(l *Layout, pins map[Tenant]string) map[Tenant]Cell {
	placed := make(map[Tenant]Cell, len(pins))
	for t, name := range pins {
		if placed[t] = b.layout.Find(name); placed[t] == NoCell {
			placed[t] = Cell(b.layout.Cells()) + l.Find(name)
		}
	}
	return placed
}

// repinnable tells whether other pins leave every tenant where it is.
func (b *Directory) repinnable(pins map[Tenant]Cell) error {
	var both []Tenant
	for t := range pins {
		both = append(both, t)
	}
	for t := range b.pins {
		both = append(both, t)
	}
	slices.Sort(both)
	for _, t := range slices.Compact(both) {
		if _, moved := b.entries[t]; moved {
			continue
		}
		next, pinned := pins[t]
		if !pinned {
			next = b.layout.HomeCell(t)
		}
		if now := b.Placement(t).Cell; now != next {
			return fmt.Errorf("tenant %q is in cell %q, and a file can't bring it into another: move it", t, b.layout.Name(now))
		}
	}
	return nil
}

// Pinned tells whether the file pins a tenant.
func (b *Directory) Pinned(t Tenant) bool {
	_, pinned := b.pins[t]
	return pinned
}
