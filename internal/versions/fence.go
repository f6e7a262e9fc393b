package versions

import "slices"

// Fence is what a call-out tells a store, so that the store can turn away what comes under a version that is over: also from a
// driver whose lease, clock or build is at fault, or whose call-out was held up on its way.
type Fence struct {
	Version Number
	Epoch   Epoch    // of the order that the driver follows
	Valid   []Number // versions that some driver may act on at that epoch
}

// valid are the versions that some driver may act on at a version's stage.
func (v *Version) valid() []Number {
	switch v.Stage {
	case StageAnnounced, StageStopping, StageRolledBack:
		return []Number{v.Base}
	case StageCompleted:
		return []Number{v.Number}
	}
	if v.Plan.Exclusive {
		return []Number{v.Number}
	}
	return []Number{v.Base, v.Number}
}

// Fence is what a call-out under a version of a thing tells a store.
func (h *DriverState) Fence(of Resource, n Number) Fence {
	t := h.things[of]
	if t == nil {
		return Fence{}
	}
	return Fence{Version: n, Epoch: t.epoch, Valid: t.valid}
}

// MarkFenced takes in that a store has turned a version of a thing away at a time: the driver acts on nothing until it has asked
// the council again. It tells whether it did act on it.
func (h *DriverState) MarkFenced(now int64, of Resource, n Number) bool {
	t := h.things[of]
	if t == nil || t.acts != n || n == 0 {
		return false
	}
	t.acts, t.fenced = 0, max(now, 1)
	return true
}

// FenceChecker is a store's side of one thing: the newest epoch that any driver's call-out told, and what is valid there.
//
//	what is told                                       what it does
//	no version                                         takes it: its driver stands in no fleet
//	a newer epoch than is known                        takes over what is valid there, then as below
//	a version that is valid at the newest epoch known  takes it
//	another version                                    turns it away; it never runs
//
// A store learns of a version's end with the first call-out of any driver that was told: until then it takes older ones. So it
// never turns away what its fleet holds valid, and is a second lock beside leases, not one in place of them.
type FenceChecker struct {
	Epoch Epoch
	Valid []Number
}

// Accept takes in what a call-out tells, and tells whether it may run.
func (w *FenceChecker) Accept(f Fence) bool {
	if f.Version == 0 {
		return true
	}
	if f.Epoch > w.Epoch {
		w.Epoch, w.Valid = f.Epoch, slices.Clone(f.Valid)
	}
	return w.Epoch == 0 || slices.Contains(w.Valid, f.Version)
}
