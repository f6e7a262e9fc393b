// Package versions decides how each thing that drivers act on passes from one version to the next, and from which moment on
// provably no driver acts on an older one. It does no I/O, reads no clock and starts no goroutine. Ledger is the council's
// side; what must outlast its holder is a Record, written down before it counts. Holder is a driver's side.
package versions

import (
	"fmt"
	"slices"
)

// Resource is what has versions: a part of the operator's file, a book, limits, a program.
type Resource string

// Number is a version's within its thing, by the council's order. 0 is none.
type Number uint64

// InitialVersion is what each driver acts on that was told of no version: what it started with.
const InitialVersion Number = 1

// Epoch numbers the records of all things. A driver never follows an older one than it knows.
type Epoch uint64

// Stage is how far a version has come.
//
//	from         what has been seen                                        to           drivers then act on
//	nothing      it is proposed, and none of its thing is under way        Told         the older
//	Told         all hold it; it is tried first                            Trying       canaries the new, others the older
//	Told, Trying all hold it (its canaries have acted on it for Trial)     Opening      the new
//	Told         all hold it; two must not overlap                         Stopping     nothing
//	Stopping     nobody acts on anything, nothing is in flight             Opening      the new
//	Opening      all act on it                                             Closing      the new
//	Closing      nothing is in flight under another                        Closed       the new
//	Trying       a canary's lease has run out, most of its fellows do not hear it, it started anew, is ill, or RPCs fare worse
//	             there than at the others (Worse)
//	                                                                       Withdrawing  the older
//	Told, Stopping, Trying, and Opening where two may overlap
//	             it is called off                                          Withdrawing  the older
//	Withdrawing  all act on the older, nothing is in flight under it       Withdrawn    the older
//
// "All" means: each driver that may act has said so of this very step, and all others' leases have provably run out.
// Without a quorum no step is recorded; drivers go on as told until their leases are over, and then act on nothing.
type Stage int

const (
	StageUnknown Stage = iota
	StageAnnounced
	StageCanary
	StageStopping
	StageActivating
	StageDraining
	StageCompleted
	StageRollingBack
	StageRolledBack
)

var stageNames = [...]string{"unknown", "told", "trying", "stopping", "opening", "closing", "closed", "withdrawing", "withdrawn"}

func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return fmt.Sprintf("stage %d", int(s))
	}
	return stageNames[s]
}

// before lists, for each stage, those that it may follow.
var before = map[Stage][]Stage{
	StageAnnounced:   {StageUnknown},
	StageCanary:      {StageAnnounced},
	StageStopping:    {StageAnnounced},
	StageActivating:  {StageAnnounced, StageCanary, StageStopping},
	StageDraining:    {StageActivating},
	StageCompleted:   {StageDraining},
	StageRollingBack: {StageAnnounced, StageCanary, StageStopping, StageActivating},
	StageRolledBack:  {StageRollingBack},
}

// over tells whether nothing more happens to a version.
func (s Stage) over() bool { return s == StageCompleted || s == StageRolledBack }

// Plan is how a version is to come. Times are nanoseconds.
type Plan struct {
	Exclusive       bool    `json:"exclusive,omitempty"` // no two drivers may act on different versions at one time
	CanaryFraction  float64 `json:"canaries,omitempty"`  // the part of the drivers that tries it first, 0 for none
	TrialTime       int64   `json:"trial,omitempty"`     // for so long
	FalseAlarmRate  float64 `json:"alarm,omitempty"`     // the chance of withdrawing a sound version for how its canaries fare; 0 for 0.01
	ToleratedRatio  float64 `json:"bears,omitempty"`     // so many times as bad at its canaries is borne; 0 for 1.25
	AnnounceTimeout int64   `json:"tell"`                // in which all must hold it
	AdoptTimeout    int64   `json:"adopt"`               // in which all must act on it, or on nothing, or on the older again
	DrainTimeout    int64   `json:"close"`               // in which what is in flight must have ended
}

// Version is one version of a thing.
type Version struct {
	Resource    Resource   `json:"thing"`
	Number      Number     `json:"number"`
	Base        Number     `json:"base"` // the one that is acted on until it opens
	Digest      string     `json:"digest"`
	Text        string     `json:"text,omitempty"` // none once it can't be needed any more
	Plan        Plan       `json:"plan"`
	Stage       Stage      `json:"stage"`
	Epoch       Epoch      `json:"epoch"` // of the last record
	Reason      string     `json:"why,omitempty"`
	UpdatedAt   int64      `json:"when"`             // of the last record, by its proposer's clock, for people
	Evidence    *Evidence  `json:"basis,omitempty"`  // of the last record
	CompletedAt int64      `json:"closes,omitempty"` // when it was closed, as When
	Canaries    []Instance `json:"tried,omitempty"`  // its canaries with their starts
	TrialResult string     `json:"judged,omitempty"` // how they fared
}

// Instance is a driver's start.
type Instance struct {
	Name  string `json:"name"`
	Start uint64 `json:"start"`
}

// Evidence is what a step rests on.
type Evidence struct {
	Confirmed []Instance `json:"said"`   // drivers that said so
	Expired   []Instance `json:"waited"` // those whose leases had run out
}

// Record is what the council agrees on: a version as it is from here on.
type Record struct {
	Version Version `json:"version"`
}

// Report is what a driver says of one thing.
type Report struct {
	Resource Resource   `json:"thing"`
	Epoch    Epoch      `json:"epoch"` // of the order that it follows
	Stored   Number     `json:"holds"` // the newest whose text it has
	Active   Number     `json:"acts"`  // 0 for nothing
	InFlight []Number   `json:"flight,omitempty"`
	Failure  string     `json:"ill,omitempty"` // why it can't act on what it was told to
	Stats    []RPCStats `json:"fares,omitempty"`
	Digest   string     `json:"digest,omitempty"` // of what it acts on, of things that the council does not decide
}

// Assignment is what a driver is told of one thing.
type Assignment struct {
	Resource   Resource `json:"thing"`
	Epoch      Epoch    `json:"epoch"`
	Active     Number   `json:"act"`              // on this, 0 for nothing
	Allowed    Number   `json:"keep,omitempty"`   // what acts on this may until it acts on that; 0 for nothing may
	Valid      []Number `json:"valid,omitempty"`  // that some driver may act on
	Stored     Number   `json:"hold"`             // have the text of this one ready
	Text       string   `json:"text,omitempty"`   // of Hold, if the driver does not say that it has it
	ActiveText string   `json:"before,omitempty"` // text of Act, likewise
	Digest     string   `json:"digest,omitempty"` // of Hold
}

// DriverStatus is a driver as the roster knows it.
type DriverStatus struct {
	Instance
	MayAct        bool // it may act, as far as is known
	IsVoter       bool // in the council
	IsUnreachable bool // most of its fellows do not hear it
}

// Controller is all things with their versions.
type Controller struct {
	lines  map[Resource]*line
	newest Epoch

	// What only whoever acts for the council knows, and a successor finds out anew.
	said  map[string]*saying
	since map[Resource]since
	lags  map[lagKey]lag
}

type line struct {
	acted    Number // the newest that was closed
	versions []*Version
}

// saying is what a driver said last.
type saying struct {
	start     uint64
	sightings map[Resource]Report
}

// since is when something began, by the own clock.
type since struct {
	epoch Epoch
	at    int64
	trial *trial // nil until all canaries act
}

// mostVersions is how many of a thing are remembered, and mostText how long one may be.
const (
	mostVersions = 64
	mostText     = 1 << 20
)

// NewController makes an empty ledger.
func NewController() *Controller {
	return &Controller{lines: map[Resource]*line{}, said: map[string]*saying{}, since: map[Resource]since{}}
}

// StartLeading says that this ledger begins to be acted by: what drivers told another has to be heard again.
func (l *Controller) StartLeading() {
	l.said, l.since, l.lags = map[string]*saying{}, map[Resource]since{}, nil
}

// LatestEpoch is the epoch of the last record.
func (l *Controller) LatestEpoch() Epoch { return l.newest }

// last is a thing's newest version, nil for none.
func (n *line) last() *Version {
	if n == nil || len(n.versions) == 0 {
		return nil
	}
	return n.versions[len(n.versions)-1]
}

func (n *line) find(number Number) *Version {
	for _, v := range n.versions {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// Resources are those that have versions, in order.
func (l *Controller) Resources() []Resource {
	things := make([]Resource, 0, len(l.lines))
	for t := range l.lines {
		things = append(things, t)
	}
	slices.Sort(things)
	return things
}

// Versions are those remembered of a thing, the oldest first.
func (l *Controller) Versions(t Resource) (all []Version) {
	if n := l.lines[t]; n != nil {
		for _, v := range n.versions {
			all = append(all, *v)
		}
	}
	return all
}

// Propose proposes a new version of a thing.
func (l *Controller) Propose(now int64, t Resource, digest, text, why string, p Plan) ([]Record, error) {
	last, number, base := l.lines[t].last(), InitialVersion+1, InitialVersion
	switch {
	case t == "" || digest == "" || text == "":
		return nil, fmt.Errorf("a version needs a thing, a digest and a text")
	case len(text) > mostText:
		return nil, fmt.Errorf("%d bytes are more than %d", len(text), mostText)
	case p.AnnounceTimeout <= 0 || p.AdoptTimeout <= 0 || p.DrainTimeout <= 0 || p.TrialTime < 0:
		return nil, fmt.Errorf("a plan needs a time for each of its steps")
	case !(p.FalseAlarmRate >= 0 && p.FalseAlarmRate < 1):
		return nil, fmt.Errorf("%v is no chance of a false alarm", p.FalseAlarmRate)
	case p.ToleratedRatio != 0 && !(p.ToleratedRatio >= 1):
		return nil, fmt.Errorf("%v times as bad is no worse", p.ToleratedRatio)
	case p.Exclusive && p.CanaryFraction > 0:
		return nil, fmt.Errorf("what must not overlap can't be tried by some first")
	case !(p.CanaryFraction >= 0 && p.CanaryFraction <= 1):
		return nil, fmt.Errorf("a part of %v can't try it", p.CanaryFraction)
	case last != nil && !last.Stage.over():
		return nil, fmt.Errorf("version %d of %s is under way: %v since epoch %d", last.Number, t, last.Stage, last.Epoch)
	}
	if last != nil {
		number, base = last.Number+1, l.lines[t].acted
	}
	return []Record{{Version{Resource: t, Number: number, Base: base, Digest: digest, Text: text, Plan: p, Stage: StageAnnounced,
		Epoch: l.newest + 1, Reason: why, UpdatedAt: now}}}, nil
}

// RollBack proposes to go back to the older version.
func (l *Controller) RollBack(now int64, t Resource, why string) ([]Record, error) {
	v := l.lines[t].last()
	switch {
	case v == nil || v.Stage.over():
		return nil, fmt.Errorf("no version of %s is under way", t)
	case !slices.Contains(before[StageRollingBack], v.Stage) || v.Stage == StageActivating && v.Plan.Exclusive:
		return nil, fmt.Errorf("version %d of %s is %v: only another version undoes it", v.Number, t, v.Stage)
	}
	return []Record{l.next(now, v, StageRollingBack, why, nil)}, nil
}

// next is a version's next step.
func (l *Controller) next(now int64, v *Version, s Stage, why string, b *Evidence) Record {
	n := *v
	n.Stage, n.Epoch, n.UpdatedAt, n.Reason, n.Evidence = s, l.newest+1, now, why, b
	if s == StageCompleted {
		n.CompletedAt = now
	}
	return Record{n}
}

// Apply takes in a record that has been written down. One that does not follow from those before counts for nobody, and is
// an error.
func (l *Controller) Apply(k Record) error {
	v := k.Version
	n := l.lines[v.Resource]
	have := StageUnknown
	if n == nil && v.Number != InitialVersion+1 {
		return fmt.Errorf("version %d of %s does not follow %d", v.Number, v.Resource, InitialVersion)
	}
	if n != nil {
		if last := n.last(); last != nil && last.Number == v.Number {
			have = last.Stage
		} else if last != nil && (last.Number+1 != v.Number || !last.Stage.over()) {
			return fmt.Errorf("version %d of %s does not follow %d, %v", v.Number, v.Resource, last.Number, last.Stage)
		}
	}
	if !slices.Contains(before[v.Stage], have) || v.Epoch <= l.newest {
		return fmt.Errorf("version %d of %s, epoch %d: %v does not follow %v at epoch %d", v.Number, v.Resource, v.Epoch, v.Stage, have,
			l.newest)
	}
	l.take(v)
	return nil
}

func (l *Controller) take(v Version) {
	n := l.lines[v.Resource]
	if n == nil {
		n = &line{acted: InitialVersion}
		l.lines[v.Resource] = n
	}
	if at := n.find(v.Number); at != nil {
		*at = v
	} else {
		n.versions = append(n.versions, &v)
	}
	if v.Stage == StageCompleted {
		n.acted = v.Number
	}
	l.newest = max(l.newest, v.Epoch)
	if len(n.versions) > mostVersions {
		n.versions = slices.Delete(n.versions, 0, len(n.versions)-mostVersions)
	}
	for _, old := range n.versions {
		if old.Number != n.acted && old.Number != v.Number {
			old.Text = ""
		}
	}
}

// Snapshot is all that records have said, in short.
type Snapshot struct {
	Versions    []Version `json:"versions"`
	LatestEpoch Epoch     `json:"newest"`
}

// Snapshot gives it for Restore.
func (l *Controller) Snapshot() (p Snapshot) {
	for _, t := range l.Resources() {
		p.Versions = append(p.Versions, l.Versions(t)...)
	}
	p.LatestEpoch = l.newest
	return p
}

// Restore takes a past over in place of what is known.
func (l *Controller) Restore(p Snapshot) {
	l.lines, l.newest = map[Resource]*line{}, p.LatestEpoch
	for _, v := range p.Versions {
		l.take(v)
	}
}
