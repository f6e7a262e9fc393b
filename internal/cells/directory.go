package cells

import (
	"cmp"
	"fmt"
	"slices"
)

// Stage is the progress of a tenant's move.
//
//	from               condition                              to                 routing of the tenant's RPCs in from
//	StageIdle          a move is requested and allowed        StagePrepared      all to the old cell
//	StagePrepared      every driver knows of the move         StageHoldingWrites all to the old cell
//	StageHoldingWrites no write is in flight on any driver    StageCatchingUp    writes held, reads to the old cell
//	StageCatchingUp    the new cell reached CutoverPosition   StageHoldingAll    writes held, reads to the old cell
//	StageHoldingAll    no RPC is in flight on any driver      StageSwitched      all held
//	StageSwitched      every driver uses the new cell         StageIdle          all to the new cell
//	StagePrepared to   the move is aborted or held writes     StageRollingBack
//	StageHoldingAll    for too long
//	StageRollingBack   every driver uses the old cell         StageIdle          all to the old cell
//
// "Every driver" means that each driver with a valid lease has reported it and that the leases of
// all others have expired. After StageSwitched only another move can move the tenant back.
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

// allowedPredecessors lists the stages that each stage may follow.
var allowedPredecessors = map[Stage][]Stage{
	StagePrepared:      {StageIdle},
	StageHoldingWrites: {StagePrepared},
	StageCatchingUp:    {StageHoldingWrites},
	StageHoldingAll:    {StageCatchingUp},
	StageSwitched:      {StageHoldingAll},
	StageRollingBack:   {StagePrepared, StageHoldingWrites, StageCatchingUp, StageHoldingAll},
	StageIdle:          {StageSwitched, StageRollingBack},
}

// Entry is a placement decision for one tenant, as persisted and sent to drivers. Times and
// positions are Unix time in nanoseconds.
type Entry struct {
	Epoch           Epoch  `json:"epoch"`
	Tenant          Tenant `json:"tenant"`
	Cell            string `json:"cell"` // current cell; the old cell until StageSwitched
	Stage           Stage  `json:"stage"`
	To              string `json:"to,omitempty"`    // other cell of a move: the new cell, or the old one once switched
	MinPosition     int64  `json:"floor,omitempty"` // position that a member must have reached to serve reads
	CutoverPosition int64  `json:"cut,omitempty"`   // position that the new cell must reach
	DecidedAt       int64  `json:"at"`
	HoldStartedAt   int64  `json:"begun,omitempty"` // when the move began to hold writes, 0 if it has not
	Reason          string `json:"why,omitempty"`
}

// Directory stores the placement of tenants that are moved or pinned, up to the latest known
// epoch.
type Directory struct {
	layout      *Layout
	pinned      map[Tenant]Cell
	entries     map[Tenant]Entry
	moving      map[Tenant]bool // tenants with a move in progress
	latestEpoch Epoch
}

// NewDirectory returns a directory that contains only the pinned tenants.
func NewDirectory(l *Layout, pins map[Tenant]Cell) *Directory {
	return &Directory{layout: l, pinned: pins, entries: map[Tenant]Entry{}, moving: map[Tenant]bool{}}
}

// Placement determines how a driver routes a tenant's RPCs.
type Placement struct {
	Cell        Cell
	Epoch       Epoch
	Stage       Stage
	MinPosition int64
}

// Placement returns the tenant's placement: its latest entry, else its pinned cell, else its home
// cell.
func (d *Directory) Placement(t Tenant) Placement {
	if len(d.entries) > 0 {
		if e, known := d.entries[t]; known {
			return Placement{Cell: d.layout.Find(e.Cell), Epoch: e.Epoch, Stage: e.Stage, MinPosition: e.MinPosition}
		}
	}
	if c, pinned := d.pinned[t]; pinned {
		return Placement{Cell: c}
	}
	return Placement{Cell: d.layout.HomeCell(t)}
}

// Entry returns the latest placement decision for a tenant.
func (d *Directory) Entry(t Tenant) (e Entry, known bool) {
	e, known = d.entries[t]
	return e, known
}

// Layout returns the layout of the cells.
func (d *Directory) Layout() *Layout { return d.layout }

// LatestEpoch returns the highest epoch in the directory.
func (d *Directory) LatestEpoch() Epoch { return d.latestEpoch }

// Apply stores an entry. It returns false if the tenant already has an entry of the same or a
// newer epoch, and an error if the entry refers to an unknown cell.
func (d *Directory) Apply(e Entry) (applied bool, err error) {
	current, known := d.entries[e.Tenant]
	if known && e.Epoch <= current.Epoch {
		return false, nil
	}
	if d.layout.Find(e.Cell) == NoCell {
		return false, fmt.Errorf("tenant %q, epoch %d: cell %q is not configured", e.Tenant, e.Epoch, e.Cell)
	}
	if e.To != "" && d.layout.Find(e.To) == NoCell {
		return false, fmt.Errorf("tenant %q, epoch %d: cell %q is not configured", e.Tenant, e.Epoch, e.To)
	}
	d.store(e)
	return true, nil
}

// store saves an entry that is newer than the tenant's current one.
func (d *Directory) store(e Entry) {
	d.entries[e.Tenant] = e
	if e.Stage == StageIdle {
		delete(d.moving, e.Tenant)
	} else {
		d.moving[e.Tenant] = true
	}
	d.latestEpoch = max(d.latestEpoch, e.Epoch)
}

// isValidTransition reports whether an entry is a valid next stage with a new epoch.
func (d *Directory) isValidTransition(e Entry) bool {
	return slices.Contains(allowedPredecessors[e.Stage], d.entries[e.Tenant].Stage) && e.Epoch > d.latestEpoch
}

// Since returns the entries newer than an epoch, in order of epoch.
func (d *Directory) Since(known Epoch) (newer []Entry) {
	if known >= d.latestEpoch {
		return nil
	}
	for _, e := range d.entries {
		if e.Epoch > known {
			newer = append(newer, e)
		}
	}
	return sortByEpoch(newer)
}

func sortByEpoch(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return entries
}

// Moving returns the entries of moves in progress, in order of epoch.
func (d *Directory) Moving() (moving []Entry) {
	for t := range d.moving {
		moving = append(moving, d.entries[t])
	}
	return sortByEpoch(moving)
}

// Overrides returns the cells of the tenants that are pinned or have been moved.
func (d *Directory) Overrides() map[Tenant]Cell {
	overrides := make(map[Tenant]Cell, len(d.pinned)+len(d.entries))
	for t, cell := range d.pinned {
		overrides[t] = cell
	}
	for t, e := range d.entries {
		overrides[t] = d.layout.Find(e.Cell)
	}
	return overrides
}

// Update applies the cells and pinned tenants of a reloaded configuration, or returns an error and
// changes nothing. It fails if it would change the cell of a tenant that has not been moved.
func (d *Directory) Update(l *Layout, pins map[Tenant]string) error {
	if err := d.checkPins(d.resolvePins(l, pins)); err != nil {
		return err
	}
	if err := d.layout.Update(l, d.Overrides()); err != nil {
		return err
	}
	d.pinned = d.resolvePins(d.layout, pins)
	return nil
}

// resolvePins maps pinned tenants to cells of the current layout. A cell that only l contains gets
// the index that the update will give it.
func (d *Directory) resolvePins(l *Layout, pins map[Tenant]string) map[Tenant]Cell {
	resolved := make(map[Tenant]Cell, len(pins))
	for t, name := range pins {
		if resolved[t] = d.layout.Find(name); resolved[t] == NoCell {
			resolved[t] = Cell(d.layout.Cells()) + l.Find(name)
		}
	}
	return resolved
}

// checkPins returns an error if the pins would change the cell of a tenant.
func (d *Directory) checkPins(pins map[Tenant]Cell) error {
	var tenants []Tenant
	for t := range pins {
		tenants = append(tenants, t)
	}
	for t := range d.pinned {
		tenants = append(tenants, t)
	}
	slices.Sort(tenants)
	for _, t := range slices.Compact(tenants) {
		if _, moved := d.entries[t]; moved {
			continue
		}
		next, pinned := pins[t]
		if !pinned {
			next = d.layout.HomeCell(t)
		}
		if current := d.Placement(t).Cell; current != next {
			return fmt.Errorf("tenant %q is in cell %q, which reloading the configuration cannot change: move it", t, d.layout.Name(current))
		}
	}
	return nil
}

// Pinned reports whether the configuration pins a tenant to a cell.
func (d *Directory) Pinned(t Tenant) bool {
	_, pinned := d.pinned[t]
	return pinned
}
