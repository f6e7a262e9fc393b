package versions

import "slices"

// Fence is a fencing token that is sent with a call-out to a store, so that the store can reject
// requests under an obsolete version, also those that were delayed or come from a driver with a
// faulty lease, clock or build.
type Fence struct {
	Version Number
	Epoch   Epoch    // of the assignment that the driver follows
	Valid   []Number // versions that some driver may act on at that epoch
}

// valid returns the versions that some driver may act on at the version's stage.
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

// Fence returns the fencing token for call-outs under a version of a resource.
func (d *DriverState) Fence(resource Resource, number Number) Fence {
	s := d.resources[resource]
	if s == nil {
		return Fence{}
	}
	return Fence{Version: number, Epoch: s.epoch, Valid: s.valid}
}

// MarkFenced records that a store rejected a version: the driver stops acting on it until a grant
// that it requests later. It reports whether the version was active.
func (d *DriverState) MarkFenced(now int64, resource Resource, number Number) bool {
	s := d.resources[resource]
	if s == nil || s.active != number || number == 0 {
		return false
	}
	s.active, s.fencedAt = 0, max(now, 1)
	return true
}

// FenceChecker is a store's side for one resource: the latest epoch in any driver's fencing token,
// and the versions valid in that epoch.
//
//	fencing token                        action
//	no version                           accept: the driver belongs to no fleet
//	a newer epoch than known             adopt its epoch and valid versions, then as below
//	a version valid in the known epoch   accept
//	another version                      reject before execution
//
// A store learns of a new epoch only from call-outs, so it may accept obsolete versions until then,
// but never rejects valid ones. It adds to leases and does not replace them.
type FenceChecker struct {
	Epoch Epoch
	Valid []Number
}

// Accept updates the checker from a fencing token and reports whether the call-out may run.
func (c *FenceChecker) Accept(fence Fence) bool {
	if fence.Version == 0 {
		return true
	}
	if fence.Epoch > c.Epoch {
		c.Epoch, c.Valid = fence.Epoch, slices.Clone(fence.Valid)
	}
	return c.Epoch == 0 || slices.Contains(c.Valid, fence.Version)
}
