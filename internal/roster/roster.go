// Package roster decides which drivers there are: who has joined under which name, whose lease may still hold, who has
// left, is gone or is shut out, and at which feature level all of them act. It does no I/O, reads no clock and starts no
// goroutine. What must outlast its holder is a Record, written down by the council before it counts.
package roster

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// StartNumber numbers a driver's starts under its name, from 1, by the council's order and nobody's clock.
type StartNumber uint64

// State is how a driver stands.
//
//	from              what has been seen                                   to
//	nobody, Left, Gone, ShutOut, Present
//	                  a start that was offered its number has confirmed it  Present
//	Present           it said that it leaves, and acts no more              Left
//	Present           its lease is over, and was for as long as Forget      Gone
//	Present           it did not keep up with a version, or is too old      ShutOut
//	ShutOut           its start was let back in by an operator              Present
//
// A later start takes the name over from whatever state. The earlier one gets no lease any more and is told so.
type State int

const (
	StateUnknown State = iota
	StatePresent
	StateLeft
	StateGone
	StateShutOut
)

var stateNames = [...]string{"nobody", "present", "left", "gone", "shut out"}

func (s State) String() string { return stateNames[s] }

// Kind says what a Record is of.
type Kind string

// Kinds of records. A build that does not know one keeps it and goes on.
const (
	KindJoin       Kind = "joins"
	KindLeave      Kind = "leaves"
	KindExpire     Kind = "vanishes"
	KindShutOut    Kind = "shuts out"
	KindReadmit    Kind = "readmits"
	KindRaiseLevel Kind = "raises"
)

// Record is what the council agrees on.
type Record struct {
	Kind       Kind        `json:"kind"`
	Claim      Claim       `json:"claim,omitzero"` // of Joins
	Name       string      `json:"name,omitempty"`
	Start      StartNumber `json:"start,omitempty"`
	Level      int         `json:"level,omitempty"` // of Raises
	Reason     string      `json:"why,omitempty"`
	ProposedAt int64       `json:"when"` // by the clock of whoever proposed it, Unix time in nanoseconds: for people, never compared
}

// Claim is what a start says of itself.
type Claim struct {
	Name    string `json:"name"`
	Token   string `json:"token"` // drawn at its start, so that no other has it
	Address string `json:"at"`    // where it takes clients
	Build   string `json:"build"`
	Level   int    `json:"level"` // the highest feature level that it knows
	IsVoter bool   `json:"votes,omitempty"`
}

// Driver is one name.
type Driver struct {
	Claim
	Start     StartNumber `json:"start"`
	State     State       `json:"state"`
	Reason    string      `json:"why,omitempty"`
	ChangedAt int64       `json:"when"` // of the last record

	JoinedAt      int64        `json:"joined"`            // as When
	EarlierStarts []EndedStart `json:"earlier,omitempty"` // starts of the name before this one, the newest last
}

// EndedStart is a start that a later one has followed.
type EndedStart struct {
	Start    StartNumber `json:"start"`
	JoinedAt int64       `json:"joined"`
	EndedAt  int64       `json:"when"` // the later one joined then, after which this one got no lease
	Token    string      `json:"token"`
}

// mostEarlier is how many earlier starts of a name are remembered.
const mostEarlier = 16

// Roster is all drivers.
type Roster struct {
	drivers map[string]*Driver
	level   int
	strange []Record // of a newer build, kept for it

	// What only whoever acts for the council knows, and a successor finds out anew.
	lease  int64
	margin int64 // by which a lease is waited for longer than it lasts
	forget int64
	until  map[string]int64       // by name, when its lease has provably run out
	coming map[string]StartNumber // by name, a start whose record is on its way: no earlier one gets a lease any more

	// Starts that a later one has followed, which may hold a lease from before: by start, until when, by the own clock of
	// each that holds the records. One that was killed can't be told from one that runs on.
	ghosts map[SupersededStart]int64

	hearings map[string]hearing
	silent   map[string]int64 // since when
}

// SupersededStart is a start that a later one has followed.
type SupersededStart struct {
	Name  string
	Start StartNumber
}

// New makes an empty roster for leases of so long, that are waited for by a margin longer; a driver that was not heard for
// forget after that is gone.
func New(lease, margin, forget int64) *Roster {
	return &Roster{drivers: map[string]*Driver{}, lease: lease, margin: margin, forget: forget, until: map[string]int64{},
		coming: map[string]StartNumber{}, ghosts: map[SupersededStart]int64{}, hearings: map[string]hearing{}}
}

// RefusedError is why a start gets no lease, with what would help. Again says that asking for a number would.
type RefusedError struct {
	Reason, Remedy string
	ShouldRejoin   bool
}

func (r *RefusedError) Error() string { return r.Reason + "; " + r.Remedy }

// Offer is the number that a start would have under its name: the first of two steps, so that a message of a start that is
// long over, and comes late, takes nobody's name away.
func (r *Roster) Offer(c Claim) (StartNumber, error) {
	d := r.drivers[c.Name]
	switch {
	case c.Name == "" || c.Token == "":
		return 0, fmt.Errorf("a driver needs a name and a token")
	case c.Level < r.level:
		return 0, r.tooOld(c)
	case d == nil:
		return 1, nil
	case d.Token == c.Token && d.State == StateShutOut:
		return 0, shutOut(d)
	case d.Token == c.Token:
		return d.Start, nil
	}
	return d.Start + 1, nil
}

func (r *Roster) tooOld(c Claim) error {
	return &RefusedError{Reason: fmt.Sprintf("build %s knows levels up to %d, and the fleet is at %d", c.Build, c.Level, r.level),
		Remedy: "start a newer build"}
}

func shutOut(d *Driver) error {
	return &RefusedError{Reason: "it was shut out: " + d.Reason,
		Remedy: "start it again, or let it back in with `sedgespread fleet readmit " + d.Name + "`"}
}

// Confirm proposes that a start takes the number it was offered. Nothing is proposed for one that has it. From then on no
// earlier start gets a lease here: others may have the record before this roster has, and count its lease from then.
func (r *Roster) Confirm(now int64, c Claim, s StartNumber) ([]Record, error) {
	offered, err := r.Offer(c)
	if err != nil {
		return nil, err
	}
	if s != offered {
		return nil, &RefusedError{Reason: fmt.Sprintf("start %d of %q was offered, and it is %d by now", s, c.Name, offered), Remedy: "ask again",
			ShouldRejoin: true}
	}
	if d := r.drivers[c.Name]; d != nil && d.Token == c.Token && d.State == StatePresent {
		return nil, nil
	}
	r.coming[c.Name] = s
	return []Record{{Kind: KindJoin, Claim: c, Name: c.Name, Start: s, ProposedAt: now}}, nil
}

// RenewLease gives a start its lease from now on, or says why it gets none.
func (r *Roster) RenewLease(now int64, name, token string) error {
	d := r.drivers[name]
	switch {
	case d == nil:
		return &RefusedError{Reason: fmt.Sprintf("no start of %q is known", name), Remedy: "ask for a number", ShouldRejoin: true}
	case d.Token != token:
		return &RefusedError{Reason: fmt.Sprintf("a later start of %q, number %d at %s, has taken its name over", name, d.Start, d.Address),
			Remedy: "end one of the two"}
	case r.coming[name] > d.Start:
		return &RefusedError{Reason: fmt.Sprintf("a later start of %q, number %d, is taking its name over", name, r.coming[name]),
			Remedy: "end one of the two"}
	case d.Level < r.level:
		return r.tooOld(d.Claim)
	case d.State == StateShutOut:
		return shutOut(d)
	case d.State != StatePresent:
		return &RefusedError{Reason: fmt.Sprintf("%q has %v", name, d.State), Remedy: "ask for a number", ShouldRejoin: true}
	}
	r.until[name] = r.over(now)
	return nil
}

// over is when a lease asked for now has provably run out.
func (r *Roster) over(now int64) int64 { return now + r.lease + r.margin }

// MayAct tells whether a driver may still act as far as is known: it is to be waited for. One that was shut out or followed
// by a later start may until its lease is over.
func (r *Roster) MayAct(now int64, name string) bool {
	until, had := r.until[name]
	return had && until >= now
}

// SupersededStarts are the starts that were followed by later ones and may still act, in order.
func (r *Roster) SupersededStarts(now int64) (all []SupersededStart) {
	for s, until := range r.ghosts {
		if until >= now {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b SupersededStart) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
	})
	return all
}

// LeaseEnd is when a driver's lease has provably run out.
func (r *Roster) LeaseEnd(name string) int64 { return r.until[name] }

// TakeOver says that this roster begins to be acted by, after which no other gives leases: whoever is known may hold one
// given just before.
func (r *Roster) TakeOver(now int64) {
	for name := range r.drivers {
		r.until[name] = r.over(now)
	}
	r.coming, r.hearings, r.silent = map[string]StartNumber{}, map[string]hearing{}, nil
}

// Leave proposes that a start has left, and gives its lease up.
func (r *Roster) Leave(now int64, name, token string) []Record {
	d := r.drivers[name]
	if d == nil || d.Token != token || d.State != StatePresent {
		return nil
	}
	delete(r.until, name)
	return []Record{{Kind: KindLeave, Name: name, Start: d.Start, ProposedAt: now}}
}

// Step proposes whatever time has brought about.
func (r *Roster) Step(now int64) (records []Record) {
	maps.DeleteFunc(r.ghosts, func(_ SupersededStart, until int64) bool { return until < now })
	for _, d := range r.Drivers() {
		if _, had := r.until[d.Name]; !had {
			r.until[d.Name] = now - 1 // it has just joined, and has no lease yet
		}
		if d.State == StatePresent && now-r.until[d.Name] > r.forget {
			records = append(records, Record{Kind: KindExpire, Name: d.Name, Start: d.Start, ProposedAt: now,
				Reason: "it asked for no lease"})
		}
	}
	return records
}

// ShutOut proposes to shut starts out. Never may so many be out at once that less than a share is left of those that may act:
// a wrong version must not shut out the fleet.
func (r *Roster) ShutOut(now int64, names []string, why string, most float64) ([]Record, error) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		d := r.drivers[name]
		return d == nil || d.State != StatePresent
	})
	may, out := 0, 0
	for _, d := range r.drivers {
		if d.State == StatePresent && r.MayAct(now, d.Name) {
			may++
		} else if d.State == StateShutOut {
			out++
		}
	}
	if float64(out+len(names)) > most*float64(may+out) {
		return nil, fmt.Errorf("%d of %d drivers would be shut out, and no more than %.0f%% may be", out+len(names), may+out, 100*most)
	}
	var records []Record
	for _, name := range slices.Sorted(slices.Values(names)) {
		records = append(records, Record{Kind: KindShutOut, Name: name, Start: r.drivers[name].Start, Reason: why, ProposedAt: now})
	}
	return records, nil
}

// Readmit proposes to let a driver back in that was shut out.
func (r *Roster) Readmit(now int64, name, why string) ([]Record, error) {
	d := r.drivers[name]
	if d == nil || d.State != StateShutOut {
		return nil, fmt.Errorf("%q is not shut out", name)
	}
	return []Record{{Kind: KindReadmit, Name: name, Start: d.Start, Reason: why, ProposedAt: now}}, nil
}

// Level is what all act at.
func (r *Roster) Level() int { return r.level }

// HighestCommonLevel is the highest level that all drivers know that may act or are to come back, 0 for none.
func (r *Roster) HighestCommonLevel(now int64) (level int) {
	for _, d := range r.drivers {
		if (d.State == StatePresent || r.MayAct(now, d.Name)) && (level == 0 || d.Level < level) {
			level = d.Level
		}
	}
	return level
}

// RaiseLevel proposes a higher level: the highest that all know. Drivers that know it only in part are named.
func (r *Roster) RaiseLevel(now int64, to int) ([]Record, error) {
	if to <= r.level {
		return nil, fmt.Errorf("the fleet is at level %d already, and it is never lowered", r.level)
	}
	for _, d := range r.Drivers() {
		if (d.State == StatePresent || r.MayAct(now, d.Name)) && d.Level < to {
			return nil, fmt.Errorf("%q, build %s, knows levels up to %d only", d.Name, d.Build, d.Level)
		}
	}
	return []Record{{Kind: KindRaiseLevel, Level: to, ProposedAt: now}}, nil
}

// Apply takes in a record that has been written down. One that does not follow from those before counts for nobody, and is
// an error. It is applied at a time of the own clock.
func (r *Roster) Apply(now int64, k Record) error {
	if k.Kind == KindRaiseLevel {
		if k.Level <= r.level {
			return fmt.Errorf("level %d follows %d", k.Level, r.level)
		}
		r.level = k.Level
		return nil
	}
	d := r.drivers[k.Name]
	if k.Kind == KindJoin {
		return r.join(now, d, k)
	}
	next, known := map[Kind]State{KindLeave: StateLeft, KindExpire: StateGone, KindShutOut: StateShutOut, KindReadmit: StatePresent}[k.Kind]
	if !known {
		r.strange = append(r.strange, k)
		return nil
	}
	from := StatePresent
	if k.Kind == KindReadmit {
		from = StateShutOut
	}
	if d == nil || d.Start != k.Start || d.State != from {
		return fmt.Errorf("%q start %d: %s does not follow", k.Name, k.Start, k.Kind)
	}
	d.State, d.Reason, d.ChangedAt = next, k.Reason, k.ProposedAt
	return nil
}

func (r *Roster) join(now int64, d *Driver, k Record) error {
	again := d != nil && d.Token == k.Claim.Token && d.Start == k.Start && d.State != StateShutOut
	if d != nil && k.Start != d.Start+1 && !again || d == nil && k.Start != 1 {
		return fmt.Errorf("%q start %d does not follow", k.Name, k.Start)
	}
	next := &Driver{Claim: k.Claim, Start: k.Start, State: StatePresent, ChangedAt: k.ProposedAt, JoinedAt: k.ProposedAt}
	if d != nil {
		next.EarlierStarts = d.EarlierStarts
	}
	if again {
		next.JoinedAt = d.JoinedAt
	}
	if d != nil && !again && d.State != StateLeft {
		r.ghosts[SupersededStart{k.Name, d.Start}] = r.over(now)
	}
	if d != nil && !again {
		next.EarlierStarts = append(slices.Clone(d.EarlierStarts), EndedStart{d.Start, d.JoinedAt, k.ProposedAt, d.Token})
		next.EarlierStarts = next.EarlierStarts[max(0, len(next.EarlierStarts)-mostEarlier):]
	}
	if r.drivers[k.Name] = next; r.coming[k.Name] <= k.Start {
		delete(r.coming, k.Name)
	}
	return nil
}

// Find gives a driver by its name.
func (r *Roster) Find(name string) (Driver, bool) {
	if d := r.drivers[name]; d != nil {
		return *d, true
	}
	return Driver{}, false
}

// Drivers are all that were ever known, by name.
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

// Snapshot is all that records have said, in short.
type Snapshot struct {
	Drivers        []Driver `json:"drivers"`
	Level          int      `json:"level"`
	UnknownRecords []Record `json:"strange,omitempty"`
}

// Snapshot gives it for Restore.
func (r *Roster) Snapshot() Snapshot {
	return Snapshot{Drivers: r.Drivers(), Level: r.level, UnknownRecords: r.strange}
}

// Restore takes a past over at a time, in place of what is known.
func (r *Roster) Restore(now int64, p Snapshot) {
	r.drivers, r.level, r.strange = map[string]*Driver{}, p.Level, p.UnknownRecords
	for _, d := range p.Drivers {
		r.drivers[d.Name] = &d
		if n := len(d.EarlierStarts); n > 0 { // when it was followed is not known here
			r.ghosts[SupersededStart{d.Name, d.EarlierStarts[n-1].Start}] = r.over(now)
		}
	}
}
