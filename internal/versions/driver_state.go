package versions

import (
	"maps"
	"slices"
)

// DriverState is the driver's side: the versions that it stores, acts on and has requests in flight
// under. Times are by the driver's clock.
type DriverState struct {
	leaseExpiry int64
	resources   map[Resource]*resourceState
	observed    map[Resource]Report
}

// resourceState is the state of one resource at a driver.
type resourceState struct {
	epoch    Epoch
	target   Number // assigned version
	allowed  Number // may be acted on until target is active
	active   Number // acted on, 0 for none
	stored   Number
	texts    map[Number]string
	valid    []Number // versions that some driver may act on
	stats    []RPCStats
	inFlight map[Number]int
	failure  string
	fencedAt int64 // when a store rejected the active version; 0 if none did
}

// NewDriverState returns the state of a driver that has just started; without a lease it acts on
// nothing.
func NewDriverState() *DriverState {
	return &DriverState{resources: map[Resource]*resourceState{}, observed: map[Resource]Report{}}
}

// stateOf returns the state of a resource. A driver's first lease comes with assignments for all
// resources that have versions, so any other resource is at its initial version.
func (d *DriverState) stateOf(resource Resource) *resourceState {
	s := d.resources[resource]
	if s == nil {
		s = &resourceState{target: InitialVersion, active: InitialVersion, texts: map[Number]string{}, inFlight: map[Number]int{}}
		d.resources[resource] = s
	}
	return s
}

// Grant answers a driver's request: a lease that runs from the time of the request, and
// assignments.
type Grant struct {
	Lease       int64        `json:"lease_ns"`           // 0 for none, while the assignments it would need are paced
	RetryAfter  int64        `json:"again_ns,omitempty"` // when to ask again
	Assignments []Assignment `json:"orders,omitempty"`
}

// Adoption is a version that a driver should activate; Text is empty for the initial version. The
// caller activates it and then calls MarkAdopted or MarkFailed.
type Adoption struct {
	Resource Resource
	Number   Number
	Text     string
}

// ApplyGrant applies the grant for a request and returns the versions to activate. The driver stops
// acting at once on versions that are not allowed any more. Assignments older than the known epoch
// are ignored.
func (d *DriverState) ApplyGrant(requestedAt int64, grant Grant) (adoptions []Adoption) {
	if grant.Lease > 0 {
		d.leaseExpiry = max(d.leaseExpiry, requestedAt+grant.Lease)
	}
	for _, assignment := range grant.Assignments {
		s := d.stateOf(assignment.Resource)
		if assignment.Epoch < s.epoch {
			continue
		}
		s.apply(assignment)
		if s.active != s.target && s.active != s.allowed {
			s.active = 0 // a rollout completed without this driver, or is exclusive
		}
		if adoption, isPending := s.pendingAdoption(assignment.Resource); isPending {
			adoptions = append(adoptions, adoption)
		}
	}
	if grant.Lease > 0 {
		adoptions = append(adoptions, d.liftFences(requestedAt)...)
	}
	return adoptions
}

// pendingAdoption returns the assigned version if its text is stored and it is not active.
func (s *resourceState) pendingAdoption(resource Resource) (adoption Adoption, isPending bool) {
	text, isStored := s.texts[s.target]
	return Adoption{resource, s.target, text}, (isStored || s.target == InitialVersion) && s.active != s.target
}

// liftFences returns the versions to activate again: those that a store rejected before a grant was
// requested. The assignment is then newer than the rejection.
func (d *DriverState) liftFences(requestedAt int64) (adoptions []Adoption) {
	for _, resource := range slices.Sorted(maps.Keys(d.resources)) {
		s := d.resources[resource]
		if s.fencedAt == 0 || requestedAt < s.fencedAt {
			continue
		}
		s.fencedAt = 0
		if adoption, isPending := s.pendingAdoption(resource); isPending {
			adoptions = append(adoptions, adoption)
		}
	}
	return adoptions
}

// apply replaces the assignment, and keeps only the texts that it needs.
func (s *resourceState) apply(assignment Assignment) {
	if assignment.Epoch > s.epoch {
		s.failure, s.fencedAt = "", 0
	}
	s.epoch, s.target, s.allowed, s.valid = assignment.Epoch, assignment.Active, assignment.Allowed, assignment.Valid
	s.trimStats()
	if assignment.Text != "" {
		s.texts[assignment.Stored] = assignment.Text
	}
	if assignment.ActiveText != "" {
		s.texts[assignment.Active] = assignment.ActiveText
	}
	if _, isStored := s.texts[assignment.Stored]; isStored {
		s.stored = assignment.Stored
	}
	maps.DeleteFunc(s.texts, func(n Number, _ string) bool { return n != assignment.Stored && n != assignment.Active })
}

// MarkAdopted records that the driver has activated a version, if it is still the assigned one.
func (d *DriverState) MarkAdopted(adoption Adoption) {
	if s := d.resources[adoption.Resource]; s != nil && s.target == adoption.Number {
		s.active, s.failure = adoption.Number, ""
	}
}

// MarkFailed records that the driver can't activate a version.
func (d *DriverState) MarkFailed(adoption Adoption, reason string) {
	if s := d.resources[adoption.Resource]; s != nil && s.target == adoption.Number {
		s.failure = reason
	}
}

// Begin starts a request under the active version of a resource, and returns that version. It
// returns false if there is none or the lease has expired. Each request that was begun must be
// ended by End.
func (d *DriverState) Begin(now int64, resource Resource) (Number, bool) {
	s := d.stateOf(resource)
	if s.active == 0 || now >= d.leaseExpiry {
		return 0, false
	}
	s.inFlight[s.active]++
	return s.active, true
}

// MayContinue reports whether a request that began under a version may make another attempt.
func (d *DriverState) MayContinue(now int64, resource Resource, number Number) bool {
	s := d.resources[resource]
	return s != nil && now < d.leaseExpiry && s.inFlight[number] > 0 && (number == s.target || number == s.allowed)
}

// End records the end of a request that began under a version.
func (d *DriverState) End(resource Resource, number Number) {
	s := d.resources[resource]
	if s == nil || s.inFlight[number] == 0 {
		return
	}
	if s.inFlight[number]--; s.inFlight[number] == 0 {
		delete(s.inFlight, number)
	}
}

// LeaseExpiry returns the time until which the driver may act.
func (d *DriverState) LeaseExpiry() int64 { return d.leaseExpiry }

// Reports returns the reports to the council, those of resources that it decides first.
func (d *DriverState) Reports() (all []Report) {
	for _, resource := range slices.Sorted(maps.Keys(d.resources)) {
		s := d.resources[resource]
		all = append(all, Report{Resource: resource, Epoch: s.epoch, Stored: s.stored, Active: s.active,
			InFlight: slices.Sorted(maps.Keys(s.inFlight)), Failure: s.failure, Stats: slices.Clone(s.stats)})
	}
	for _, resource := range slices.Sorted(maps.Keys(d.observed)) {
		all = append(all, d.observed[resource])
	}
	return all
}
