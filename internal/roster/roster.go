// Package roster tracks the registered drivers, the leases they may hold and the feature level of
// the fleet. It is deterministic: it does no I/O, reads no clock and starts no goroutines. Its durable
// state changes only through Records that the council has committed.
package roster

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// StartNumber counts the starts of the drivers of one name, from 1, in the order in which the council
// committed them.
type StartNumber uint64

// State is the registration state of a driver.
//
//	from      event                                               to
//	any       a start confirmed the number it was offered         Present
//	Present   it reported that it leaves and has stopped acting   Left
//	Present   its lease ended longer ago than forgetAfter         Gone
//	Present   it did not follow a version in time                 ShutOut
//	ShutOut   an operator readmitted it                           Present
//
// A later start takes over the name in any state. The earlier one is then refused further leases.
type State int

// States of a driver. See State for the transitions.
const (
	StateUnknown State = iota
	StatePresent
	StateLeft
	StateGone
	StateShutOut
)

var stateNames = [...]string{"nobody", "present", "left", "gone", "shut out"}

func (s State) String() string { return stateNames[s] }

// Kind is the type of a Record.
type Kind string

// Kinds of records. A build keeps records of kinds that it does not know.
const (
	KindJoin       Kind = "joins"
	KindLeave      Kind = "leaves"
	KindExpire     Kind = "vanishes"
	KindShutOut    Kind = "shuts out"
	KindReadmit    Kind = "readmits"
	KindRaiseLevel Kind = "raises"
)

// Record is a change of the roster that the council replicates.
type Record struct {
	Kind       Kind        `json:"kind"`
	Claim      Claim       `json:"claim,omitzero"` // for KindJoin
	Name       string      `json:"name,omitempty"`
	Start      StartNumber `json:"start,omitempty"`
	Level      int         `json:"level,omitempty"` // for KindRaiseLevel
	Reason     string      `json:"why,omitempty"`
	ProposedAt int64       `json:"when"` // Unix nanoseconds on the proposer's clock; informational, never compared
}

// Claim describes a start of a driver that registers.
type Claim struct {
	Name    string `json:"name"`
	Token   string `json:"token"` // random, identifies this start
	Address string `json:"at"`    // where it accepts clients
	Build   string `json:"build"`
	Level   int    `json:"level"` // highest feature level that it supports
	IsVoter bool   `json:"votes,omitempty"`
}

// Driver is the registration of one driver name.
type Driver struct {
	Claim
	Start     StartNumber `json:"start"`
	State     State       `json:"state"`
	Reason    string      `json:"why,omitempty"`
	ChangedAt int64       `json:"when"` // time of the last record

	JoinedAt      int64        `json:"joined"`            // on the proposer's clock
	EarlierStarts []EndedStart `json:"earlier,omitempty"` // earlier starts of this name, newest last
}

// EndedStart describes a superseded start.
type EndedStart struct {
	Start    StartNumber `json:"start"`
	JoinedAt int64       `json:"joined"`
	EndedAt  int64       `json:"when"` // when the later start joined; no lease was granted after it
	Token    string      `json:"token"`
}

// maxEarlierStarts limits the earlier starts kept per name.
const maxEarlierStarts = 16

// Roster holds all drivers, their leases and the feature level.
type Roster struct {
	drivers        map[string]*Driver
	level          int
	unknownRecords []Record // of kinds that only newer builds know

	// Volatile state of the leader, which a new leader builds anew.
	lease         int64
	leaseMargin   int64 // added to a lease's duration before it counts as ended
	forgetAfter   int64
	leaseEnds     map[string]int64       // by name, when the lease has certainly ended
	pendingStarts map[string]StartNumber // by name, the start whose record is proposed; earlier ones get no lease

	// Lease ends, on the local clock, of superseded starts. Such a start may still run, so every voter
	// assumes that it holds a lease.
	supersededLeaseEnds map[SupersededStart]int64

	unreachableReports map[string]unreachableReport
	unreachableSince   map[string]int64 // by name, when it was first found unreachable
}

// SupersededStart identifies a start whose name a later start has taken over.
type SupersededStart struct {
	Name  string
	Start StartNumber
}

// New returns an empty roster for leases of the given duration. A lease counts as ended leaseMargin
// after its duration; a driver that does not renew for forgetAfter more is gone. All are nanoseconds.
func New(lease, leaseMargin, forgetAfter int64) *Roster {
	return &Roster{drivers: map[string]*Driver{}, lease: lease, leaseMargin: leaseMargin, forgetAfter: forgetAfter, leaseEnds: map[string]int64{},
		pendingStarts: map[string]StartNumber{}, supersededLeaseEnds: map[SupersededStart]int64{}, unreachableReports: map[string]unreachableReport{}}
}

// RefusedError says why a start is refused and how to remedy it. ShouldRejoin is set if the start
// should register again.
type RefusedError struct {
	Reason, Remedy string
	ShouldRejoin   bool
}

func (e *RefusedError) Error() string { return e.Reason + "; " + e.Remedy }

// Offer returns the number that a start would get. It is the first of two steps, so that a delayed
// message of a start that has ended can't take over the name.
func (r *Roster) Offer(claim Claim) (StartNumber, error) {
	d := r.drivers[claim.Name]
	switch {
	case claim.Name == "" || claim.Token == "":
		return 0, fmt.Errorf("a driver needs a name and a token")
	case claim.Level < r.level:
		return 0, r.buildTooOldError(claim)
	case d == nil:
		return 1, nil
	case d.Token == claim.Token && d.State == StateShutOut:
		return 0, shutOutError(d)
	case d.Token == claim.Token:
		return d.Start, nil
	}
	return d.Start + 1, nil
}

func (r *Roster) buildTooOldError(claim Claim) error {
	return &RefusedError{Reason: fmt.Sprintf("build %s knows levels up to %d, and the fleet is at %d", claim.Build, claim.Level, r.level),
		Remedy: "start a newer build"}
}

func shutOutError(d *Driver) error {
	return &RefusedError{Reason: "it was shut out: " + d.Reason,
		Remedy: "start it again, or let it back in with `sedgespread fleet readmit " + d.Name + "`"}
}

// Confirm proposes that a start takes the number it was offered, or nothing if it has it already.
// Earlier starts get no lease from here on: other voters may apply the record first, and count the
// remaining lease from then.
func (r *Roster) Confirm(now int64, claim Claim, start StartNumber) ([]Record, error) {
	offered, err := r.Offer(claim)
	if err != nil {
		return nil, err
	}
	if start != offered {
		return nil, &RefusedError{Reason: fmt.Sprintf("start %d of %q was offered, and it is %d by now", start, claim.Name, offered), Remedy: "ask again",
			ShouldRejoin: true}
	}
	if d := r.drivers[claim.Name]; d != nil && d.Token == claim.Token && d.State == StatePresent {
		return nil, nil
	}
	r.pendingStarts[claim.Name] = start
	return []Record{{Kind: KindJoin, Claim: claim, Name: claim.Name, Start: start, ProposedAt: now}}, nil
}

// RenewLease renews the lease of a start from now, or returns why it is refused.
func (r *Roster) RenewLease(now int64, name, token string) error {
	d := r.drivers[name]
	switch {
	case d == nil:
		return &RefusedError{Reason: fmt.Sprintf("no start of %q is known", name), Remedy: "ask for a number", ShouldRejoin: true}
	case d.Token != token:
		return &RefusedError{Reason: fmt.Sprintf("a later start of %q, number %d at %s, has taken its name over", name, d.Start, d.Address),
			Remedy: "end one of the two"}
	case r.pendingStarts[name] > d.Start:
		return &RefusedError{Reason: fmt.Sprintf("a later start of %q, number %d, is taking its name over", name, r.pendingStarts[name]),
			Remedy: "end one of the two"}
	case d.Level < r.level:
		return r.buildTooOldError(d.Claim)
	case d.State == StateShutOut:
		return shutOutError(d)
	case d.State != StatePresent:
		return &RefusedError{Reason: fmt.Sprintf("%q has %v", name, d.State), Remedy: "ask for a number", ShouldRejoin: true}
	}
	r.leaseEnds[name] = r.leaseEndAt(now)
	return nil
}

// leaseEndAt returns when a lease granted now has certainly ended.
func (r *Roster) leaseEndAt(now int64) int64 { return now + r.lease + r.leaseMargin }

// MayAct reports whether a driver may still hold a lease and has to be waited for, whatever its
// state.
func (r *Roster) MayAct(now int64, name string) bool {
	leaseEnd, isKnown := r.leaseEnds[name]
	return isKnown && leaseEnd >= now
}

// SupersededStarts returns the superseded starts that may still hold a lease, sorted.
func (r *Roster) SupersededStarts(now int64) (starts []SupersededStart) {
	for s, leaseEnd := range r.supersededLeaseEnds {
		if leaseEnd >= now {
			starts = append(starts, s)
		}
	}
	slices.SortFunc(starts, func(a, b SupersededStart) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
	})
	return starts
}

// LeaseEnd returns when a driver's lease has certainly ended.
func (r *Roster) LeaseEnd(name string) int64 { return r.leaseEnds[name] }

// TakeOver is called when this process becomes the leader. It assumes that each known driver holds a
// lease that the previous leader has just granted.
func (r *Roster) TakeOver(now int64) {
	for name := range r.drivers {
		r.leaseEnds[name] = r.leaseEndAt(now)
	}
	r.pendingStarts, r.unreachableReports, r.unreachableSince = map[string]StartNumber{}, map[string]unreachableReport{}, nil
}

// Leave proposes that a start has left, and releases its lease.
func (r *Roster) Leave(now int64, name, token string) []Record {
	d := r.drivers[name]
	if d == nil || d.Token != token || d.State != StatePresent {
		return nil
	}
	delete(r.leaseEnds, name)
	return []Record{{Kind: KindLeave, Name: name, Start: d.Start, ProposedAt: now}}
}

// Step proposes that drivers whose leases ended longer ago than forgetAfter are gone.
func (r *Roster) Step(now int64) (records []Record) {
	maps.DeleteFunc(r.supersededLeaseEnds, func(_ SupersededStart, leaseEnd int64) bool { return leaseEnd < now })
	for _, d := range r.Drivers() {
		if _, isKnown := r.leaseEnds[d.Name]; !isKnown {
			r.leaseEnds[d.Name] = now - 1 // just joined, no lease yet
		}
		if d.State == StatePresent && now-r.leaseEnds[d.Name] > r.forgetAfter {
			records = append(records, Record{Kind: KindExpire, Name: d.Name, Start: d.Start, ProposedAt: now,
				Reason: "it asked for no lease"})
		}
	}
	return records
}

// ShutOut proposes to shut out drivers. At most maxShare of the active and shut-out drivers may be
// shut out at once, so that a bad version can't shut out the whole fleet.
func (r *Roster) ShutOut(now int64, names []string, reason string, maxShare float64) ([]Record, error) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		d := r.drivers[name]
		return d == nil || d.State != StatePresent
	})
	activeCount, shutOutCount := 0, 0
	for _, d := range r.drivers {
		if d.State == StatePresent && r.MayAct(now, d.Name) {
			activeCount++
		} else if d.State == StateShutOut {
			shutOutCount++
		}
	}
	if float64(shutOutCount+len(names)) > maxShare*float64(activeCount+shutOutCount) {
		return nil, fmt.Errorf("%d of %d drivers would be shut out, and no more than %.0f%% may be", shutOutCount+len(names), activeCount+shutOutCount, 100*maxShare)
	}
	var records []Record
	for _, name := range slices.Sorted(slices.Values(names)) {
		records = append(records, Record{Kind: KindShutOut, Name: name, Start: r.drivers[name].Start, Reason: reason, ProposedAt: now})
	}
	return records, nil
}

// Readmit proposes to readmit a driver that was shut out.
func (r *Roster) Readmit(now int64, name, reason string) ([]Record, error) {
	d := r.drivers[name]
	if d == nil || d.State != StateShutOut {
		return nil, fmt.Errorf("%q is not shut out", name)
	}
	return []Record{{Kind: KindReadmit, Name: name, Start: d.Start, Reason: reason, ProposedAt: now}}, nil
}

// Level returns the feature level of the fleet.
func (r *Roster) Level() int { return r.level }

// HighestCommonLevel returns the highest feature level that all present or still active drivers
// support, 0 if there are none.
func (r *Roster) HighestCommonLevel(now int64) (level int) {
	for _, d := range r.drivers {
		if (d.State == StatePresent || r.MayAct(now, d.Name)) && (level == 0 || d.Level < level) {
			level = d.Level
		}
	}
	return level
}

// RaiseLevel proposes a higher feature level. It fails if a present or still active driver does not
// support it.
func (r *Roster) RaiseLevel(now int64, level int) ([]Record, error) {
	if level <= r.level {
		return nil, fmt.Errorf("the fleet is at level %d already, and it is never lowered", r.level)
	}
	for _, d := range r.Drivers() {
		if (d.State == StatePresent || r.MayAct(now, d.Name)) && d.Level < level {
			return nil, fmt.Errorf("%q, build %s, knows levels up to %d only", d.Name, d.Build, d.Level)
		}
	}
	return []Record{{Kind: KindRaiseLevel, Level: level, ProposedAt: now}}, nil
}

// Apply applies a committed record, at a time of the local clock. A record that is not a valid
// transition is ignored and returned as an error.
func (r *Roster) Apply(now int64, record Record) error {
	if record.Kind == KindRaiseLevel {
		if record.Level <= r.level {
			return fmt.Errorf("cannot raise feature level to %d: already at %d", record.Level, r.level)
		}
		r.level = record.Level
		return nil
	}
	d := r.drivers[record.Name]
	if record.Kind == KindJoin {
		return r.join(now, d, record)
	}
	nextState, isKnown := map[Kind]State{KindLeave: StateLeft, KindExpire: StateGone, KindShutOut: StateShutOut, KindReadmit: StatePresent}[record.Kind]
	if !isKnown {
		r.unknownRecords = append(r.unknownRecords, record)
		return nil
	}
	requiredState := StatePresent
	if record.Kind == KindReadmit {
		requiredState = StateShutOut
	}
	if d == nil || d.Start != record.Start || d.State != requiredState {
		return fmt.Errorf("driver %q, start %d: record %q is not valid in its state", record.Name, record.Start, record.Kind)
	}
	d.State, d.Reason, d.ChangedAt = nextState, record.Reason, record.ProposedAt
	return nil
}

func (r *Roster) join(now int64, current *Driver, record Record) error {
	isSameStart := current != nil && current.Token == record.Claim.Token && current.Start == record.Start && current.State != StateShutOut
	if current != nil && record.Start != current.Start+1 && !isSameStart || current == nil && record.Start != 1 {
		return fmt.Errorf("driver %q: start %d is not the next one", record.Name, record.Start)
	}
	next := &Driver{Claim: record.Claim, Start: record.Start, State: StatePresent, ChangedAt: record.ProposedAt, JoinedAt: record.ProposedAt}
	if current != nil {
		next.EarlierStarts = current.EarlierStarts
	}
	if isSameStart {
		next.JoinedAt = current.JoinedAt
	}
	if current != nil && !isSameStart && current.State != StateLeft {
		r.supersededLeaseEnds[SupersededStart{record.Name, current.Start}] = r.leaseEndAt(now)
	}
	if current != nil && !isSameStart {
		next.EarlierStarts = append(slices.Clone(current.EarlierStarts), EndedStart{current.Start, current.JoinedAt, record.ProposedAt, current.Token})
		next.EarlierStarts = next.EarlierStarts[max(0, len(next.EarlierStarts)-maxEarlierStarts):]
	}
	if r.drivers[record.Name] = next; r.pendingStarts[record.Name] <= record.Start {
		delete(r.pendingStarts, record.Name)
	}
	return nil
}

// Find returns a driver by its name.
func (r *Roster) Find(name string) (Driver, bool) {
	if d := r.drivers[name]; d != nil {
		return *d, true
	}
	return Driver{}, false
}

// Drivers returns all drivers that ever registered, sorted by name.
func (r *Roster) Drivers() []Driver {
	all := make([]Driver, 0, len(r.drivers))
	for _, d := range r.drivers {
		all = append(all, *d)
	}
	slices.SortFunc(all, func(a, b Driver) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Snapshot is the state that results from all applied records.
type Snapshot struct {
	Drivers        []Driver `json:"drivers"`
	Level          int      `json:"level"`
	UnknownRecords []Record `json:"strange,omitempty"`
}

// Snapshot returns the durable state, for Restore.
func (r *Roster) Snapshot() Snapshot {
	return Snapshot{Drivers: r.Drivers(), Level: r.level, UnknownRecords: r.unknownRecords}
}

// Restore replaces the durable state by a snapshot, at a time of the local clock.
func (r *Roster) Restore(now int64, snapshot Snapshot) {
	r.drivers, r.level, r.unknownRecords = map[string]*Driver{}, snapshot.Level, snapshot.UnknownRecords
	for _, d := range snapshot.Drivers {
		r.drivers[d.Name] = &d
		if n := len(d.EarlierStarts); n > 0 { // the local time of the takeover is unknown
			r.supersededLeaseEnds[SupersededStart{d.Name, d.EarlierStarts[n-1].Start}] = r.leaseEndAt(now)
		}
	}
}
