package versions

import (
	"maps"
	"slices"
)

// DriverState is a driver's side: what it holds, what it acts on, and what it has in flight. Times are its own clock's.
type DriverState struct {
	leaseExpiry int64 // it may act until then
	resources   map[Resource]*resourceState
	observed    map[Resource]Report
}

type resourceState struct {
	epoch    Epoch
	target   Number // it is told to act on this
	allowed  Number // and may on this until it does
	active   Number // and does on this
	stored   Number
	texts    map[Number]string
	valid    []Number // that some driver may act on
	stats    []RPCStats
	inFlight map[Number]int
	failure  string
	fencedAt int64 // since when it acts on nothing, since a store turned it away; 0 for not
}

// NewDriverState makes the holder of a driver that has just started: it acts on nothing.
func NewDriverState() *DriverState {
	return &DriverState{resources: map[Resource]*resourceState{}, observed: map[Resource]Report{}}
}

// resource gives what is held of a thing. With its first lease a driver was told of all that have versions; on any other it acts
// as it started.
func (d *DriverState) resource(resource Resource) *resourceState {
	s := d.resources[resource]
	if s == nil {
		s = &resourceState{target: InitialVersion, active: InitialVersion, texts: map[Number]string{}, inFlight: map[Number]int{}}
		d.resources[resource] = s
	}
	return s
}

// Grant is what a driver is given: a lease from when it asked, and orders.
type Grant struct {
	Lease       int64        `json:"lease_ns"`           // 0 for none: what it would have to be told first has its turn later
	RetryAfter  int64        `json:"again_ns,omitempty"` // it should ask again after so long
	Assignments []Assignment `json:"orders,omitempty"`
}

// Adoption is a version that a driver is to act on from now on, without a text for what it started with. Whoever drives the
// holder does what it takes, and then calls Adopted, or Fails.
type Adoption struct {
	Resource Resource
	Number   Number
	Text     string
}

// ApplyGrant takes in what was granted to what was asked at a time, and tells what is to be adopted. What it is told to stop
// acting on it stops acting on at once. Older orders than it knows change nothing.
func (d *DriverState) ApplyGrant(requestedAt int64, grant Grant) (adoptions []Adoption) {
	if grant.Lease > 0 {
		d.leaseExpiry = max(d.leaseExpiry, requestedAt+grant.Lease)
	}
	for _, assignment := range grant.Assignments {
		s := d.resource(assignment.Resource)
		if assignment.Epoch < s.epoch {
			continue
		}
		s.apply(assignment)
		if s.active != s.target && s.active != s.allowed {
			s.active = 0 // it has missed that the version was closed, or must not overlap with the next
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

// pendingAdoption is what a thing's version is that it is told to act on and does not, if it can.
func (s *resourceState) pendingAdoption(resource Resource) (adoption Adoption, isPending bool) {
	text, isStored := s.texts[s.target]
	return Adoption{resource, s.target, text}, (isStored || s.target == InitialVersion) && s.active != s.target
}

// liftFences are versions that stores turned away before a time: what the council has told since then is what counts.
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

// apply takes an order in.
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
	if _, have := s.texts[assignment.Stored]; have {
		s.stored = assignment.Stored
	}
	maps.DeleteFunc(s.texts, func(n Number, _ string) bool { return n != assignment.Stored && n != assignment.Active })
}

// MarkAdopted says that the driver acts on a version from now on, if it is still told to.
func (d *DriverState) MarkAdopted(adoption Adoption) {
	if s := d.resources[adoption.Resource]; s != nil && s.target == adoption.Number {
		s.active, s.failure = adoption.Number, ""
	}
}

// MarkFailed says that the driver can't act on a version.
func (d *DriverState) MarkFailed(adoption Adoption, reason string) {
	if s := d.resources[adoption.Resource]; s != nil && s.target == adoption.Number {
		s.failure = reason
	}
}

// Begin tells on which version of a thing something that begins now acts, and whether anything may: not once the lease is
// over. What has begun must be ended.
func (d *DriverState) Begin(now int64, resource Resource) (Number, bool) {
	s := d.resource(resource)
	if s.active == 0 || now >= d.leaseExpiry {
		return 0, false
	}
	s.inFlight[s.active]++
	return s.active, true
}

// MayContinue tells whether what has begun under a version may do something more now.
func (d *DriverState) MayContinue(now int64, resource Resource, number Number) bool {
	s := d.resources[resource]
	return s != nil && now < d.leaseExpiry && s.inFlight[number] > 0 && (number == s.target || number == s.allowed)
}

// End says that something that has begun is over.
func (d *DriverState) End(resource Resource, number Number) {
	s := d.resources[resource]
	if s == nil || s.inFlight[number] == 0 {
		return
	}
	if s.inFlight[number]--; s.inFlight[number] == 0 {
		delete(s.inFlight, number)
	}
}

// LeaseExpiry is until when the driver may act.
func (d *DriverState) LeaseExpiry() int64 { return d.leaseExpiry }

// Reports are what the council is told: of what it decides first.
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
