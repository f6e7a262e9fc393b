package versions

import (
	"maps"
	"slices"
)

// DriverState is a driver's side: what it holds, what it acts on, and what it has in flight. Times are its own clock's.
type DriverState struct {
	lease    int64 // it may act until then
	things   map[Resource]*held
	observed map[Resource]Report
}

type held struct {
	epoch  Epoch
	act    Number // it is told to act on this
	keep   Number // and may on this until it does
	acts   Number // and does on this
	holds  Number
	texts  map[Number]string
	valid  []Number // that some driver may act on
	fares  []RPCStats
	flight map[Number]int
	ill    string
	fenced int64 // since when it acts on nothing, since a store turned it away; 0 for not
}

// NewDriverState makes the holder of a driver that has just started: it acts on nothing.
func NewDriverState() *DriverState {
	return &DriverState{things: map[Resource]*held{}, observed: map[Resource]Report{}}
}

// thing gives what is held of a thing. With its first lease a driver was told of all that have versions; on any other it acts
// as it started.
func (h *DriverState) thing(of Resource) *held {
	t := h.things[of]
	if t == nil {
		t = &held{act: InitialVersion, acts: InitialVersion, texts: map[Number]string{}, flight: map[Number]int{}}
		h.things[of] = t
	}
	return t
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
func (h *DriverState) ApplyGrant(asked int64, g Grant) (due []Adoption) {
	if g.Lease > 0 {
		h.lease = max(h.lease, asked+g.Lease)
	}
	for _, o := range g.Assignments {
		t := h.thing(o.Resource)
		if o.Epoch < t.epoch {
			continue
		}
		t.take(o)
		if t.acts != t.act && t.acts != t.keep {
			t.acts = 0 // it has missed that the version was closed, or must not overlap with the next
		}
		if a, can := t.due(o.Resource); can {
			due = append(due, a)
		}
	}
	if g.Lease > 0 {
		due = append(due, h.unfenced(asked)...)
	}
	return due
}

// due is what a thing's version is that it is told to act on and does not, if it can.
func (t *held) due(of Resource) (a Adoption, can bool) {
	text, have := t.texts[t.act]
	return Adoption{of, t.act, text}, (have || t.act == InitialVersion) && t.acts != t.act
}

// unfenced are versions that stores turned away before a time: what the council has told since then is what counts.
func (h *DriverState) unfenced(asked int64) (due []Adoption) {
	for _, name := range slices.Sorted(maps.Keys(h.things)) {
		t := h.things[name]
		if t.fenced == 0 || asked < t.fenced {
			continue
		}
		t.fenced = 0
		if a, can := t.due(name); can {
			due = append(due, a)
		}
	}
	return due
}

// take takes an order in.
func (t *held) take(o Assignment) {
	if o.Epoch > t.epoch {
		t.ill, t.fenced = "", 0
	}
	t.epoch, t.act, t.keep, t.valid = o.Epoch, o.Active, o.Allowed, o.Valid
	t.forgetFares()
	if o.Text != "" {
		t.texts[o.Stored] = o.Text
	}
	if o.ActiveText != "" {
		t.texts[o.Active] = o.ActiveText
	}
	if _, have := t.texts[o.Stored]; have {
		t.holds = o.Stored
	}
	maps.DeleteFunc(t.texts, func(n Number, _ string) bool { return n != o.Stored && n != o.Active })
}

// MarkAdopted says that the driver acts on a version from now on, if it is still told to.
func (h *DriverState) MarkAdopted(a Adoption) {
	if t := h.things[a.Resource]; t != nil && t.act == a.Number {
		t.acts, t.ill = a.Number, ""
	}
}

// MarkFailed says that the driver can't act on a version.
func (h *DriverState) MarkFailed(a Adoption, why string) {
	if t := h.things[a.Resource]; t != nil && t.act == a.Number {
		t.ill = why
	}
}

// Begin tells on which version of a thing something that begins now acts, and whether anything may: not once the lease is
// over. What has begun must be ended.
func (h *DriverState) Begin(now int64, of Resource) (Number, bool) {
	t := h.thing(of)
	if t.acts == 0 || now >= h.lease {
		return 0, false
	}
	t.flight[t.acts]++
	return t.acts, true
}

// MayContinue tells whether what has begun under a version may do something more now.
func (h *DriverState) MayContinue(now int64, of Resource, n Number) bool {
	t := h.things[of]
	return t != nil && now < h.lease && t.flight[n] > 0 && (n == t.act || n == t.keep)
}

// End says that something that has begun is over.
func (h *DriverState) End(of Resource, n Number) {
	t := h.things[of]
	if t == nil || t.flight[n] == 0 {
		return
	}
	if t.flight[n]--; t.flight[n] == 0 {
		delete(t.flight, n)
	}
}

// LeaseExpiry is until when the driver may act.
func (h *DriverState) LeaseExpiry() int64 { return h.lease }

// Reports are what the council is told: of what it decides first.
func (h *DriverState) Reports() (all []Report) {
	for _, name := range slices.Sorted(maps.Keys(h.things)) {
		t := h.things[name]
		all = append(all, Report{Resource: name, Epoch: t.epoch, Stored: t.holds, Active: t.acts,
			InFlight: slices.Sorted(maps.Keys(t.flight)), Failure: t.ill, Stats: slices.Clone(t.fares)})
	}
	for _, name := range slices.Sorted(maps.Keys(h.observed)) {
		all = append(all, h.observed[name])
	}
	return all
}
