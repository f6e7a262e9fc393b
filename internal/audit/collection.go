package audit

import (
	"cmp"
	"fmt"
	"slices"

	"sedgespread/internal/versions"
)

// Collection is the trails of many starts, as far as they were heard.
type Collection struct {
	maxEntries int // entries of one start
	trails     map[versions.Instance]*trail
	faults     []string
}

// trail is what was heard of one start's: pieces with holes between them.
type trail struct {
	token         string
	fragments     []fragment
	offset        int64 // the least that was heard
	isOffsetKnown bool
}

// fragment is entries that follow one another, with the hash before the first.
type fragment struct {
	previousHash string
	entries      []Entry
}

// toLocalTime is a time of a start's own clock by the clock of those who heard it.
func (t *trail) toLocalTime(at int64) int64 { return at + t.offset }

// NewCollection makes an empty one that holds so many entries of a start at the most, the newest.
func NewCollection(maxEntries int) *Collection {
	return &Collection{maxEntries: maxEntries, trails: map[versions.Instance]*trail{}}
}

// maxFaults is how many faults are remembered.
const maxFaults = 64

// Add takes in a part of a trail as its driver tells it, and gives up to which entry the start's trail is held. A part that
// does not hold together is taken up to where it does, and the fault is kept. One behind a hole is not taken if its driver
// still has what belongs there: it is told up to where the trail is held, and tells that first.
func (c *Collection) Add(segment Segment) (lastSeq uint64) {
	t := c.trails[segment.Instance]
	if t != nil && len(segment.Entries) > 0 && segment.Entries[0].Seq > t.lastSeq()+1 && segment.OldestSeq <= t.lastSeq()+1 {
		return t.lastSeq()
	}
	return c.addSegment(segment)
}

// AddFinal takes in what a driver tells that leaves: what is missing before it can't be told any more, and is a hole.
func (c *Collection) AddFinal(segment Segment) (lastSeq uint64) { return c.addSegment(segment) }

// Extent is from when to when the trail of a start is held, with holes or without, by the clock of those who heard it.
type Extent struct {
	Instance versions.Instance
	From, To int64
}

// Extents are those of all starts of a name, in their order.
func (c *Collection) Extents(name string) (all []Extent) {
	for _, instance := range c.instances() {
		t := c.trails[instance]
		if instance.Name != name || len(t.fragments) == 0 {
			continue
		}
		last := t.fragments[len(t.fragments)-1].entries
		all = append(all, Extent{instance, t.toLocalTime(t.fragments[0].entries[0].At), t.toLocalTime(last[len(last)-1].At)})
	}
	return all
}

// addSegment takes in a part wherever it belongs behind what is held.
func (c *Collection) addSegment(segment Segment) (lastSeq uint64) {
	valid, err := segment.Verify()
	if err != nil {
		c.addFault(err.Error())
	}
	t := c.trails[segment.Instance]
	if t == nil {
		t = &trail{token: segment.Token}
		c.trails[segment.Instance] = t
	}
	if t.token != segment.Token {
		c.addFault(fmt.Sprintf("%s start %d: two trails say that they are its", segment.Instance.Name, segment.Instance.Start))
		return t.lastSeq()
	}
	if segment.IsClockOffsetKnown && (!t.isOffsetKnown || segment.ClockOffset < t.offset) {
		t.offset, t.isOffsetKnown = segment.ClockOffset, true
	}
	previousHash := segment.PreviousHash
	for _, e := range segment.Entries[:valid] {
		if !t.add(previousHash, e) {
			c.addFault(fmt.Sprintf("%s start %d: entry %d was told in two ways", segment.Instance.Name, segment.Instance.Start, e.Seq))
		}
		previousHash = e.Hash
	}
	t.trim(c.maxEntries)
	return t.lastSeq()
}

// add adds an entry at the end, if it is not held; false tells that another is held in its place.
func (t *trail) add(previousHash string, e Entry) bool {
	lastSeq := t.lastSeq()
	if e.Seq <= lastSeq {
		for _, f := range t.fragments {
			if i := int(e.Seq) - int(f.entries[0].Seq); i >= 0 && i < len(f.entries) {
				return f.entries[i].Hash == e.Hash
			}
		}
		return true // what lies in a hole is left to those who hold it
	}
	if n := len(t.fragments); n > 0 && e.Seq == lastSeq+1 {
		t.fragments[n-1].entries = append(t.fragments[n-1].entries, e)
	} else {
		t.fragments = append(t.fragments, fragment{previousHash, []Entry{e}})
	}
	return true
}

// trim lets go of the oldest entries beyond so many.
func (t *trail) trim(maxEntries int) {
	for excess := t.count() - maxEntries; excess > 0; excess = t.count() - maxEntries {
		first := &t.fragments[0]
		if len(first.entries) <= excess {
			t.fragments = t.fragments[1:]
			continue
		}
		first.previousHash, first.entries = first.entries[excess-1].Hash, slices.Clone(first.entries[excess:])
	}
}

func (t *trail) count() (n int) {
	for _, f := range t.fragments {
		n += len(f.entries)
	}
	return n
}

// each gives all entries, the oldest first.
func (t *trail) each(visit func(e *Entry)) {
	for _, f := range t.fragments {
		for i := range f.entries {
			visit(&f.entries[i])
		}
	}
}

func (c *Collection) addFault(fault string) {
	if len(c.faults) < maxFaults && !slices.Contains(c.faults, fault) {
		c.faults = append(c.faults, fault)
	}
}

// lastSeq is the number of the newest entry held, 0 for none.
func (t *trail) lastSeq() uint64 {
	if len(t.fragments) == 0 {
		return 0
	}
	entries := t.fragments[len(t.fragments)-1].entries
	return entries[len(entries)-1].Seq
}

// LastSeq is up to which entry a start's trail is held.
func (c *Collection) LastSeq(instance versions.Instance) uint64 {
	if t := c.trails[instance]; t != nil {
		return t.lastSeq()
	}
	return 0
}

// Faults are what did not hold together.
func (c *Collection) Faults() []string { return slices.Clone(c.faults) }

// Segments are all trails held, by name and start.
func (c *Collection) Segments() (segments []Segment) {
	for _, instance := range c.instances() {
		t := c.trails[instance]
		for _, f := range t.fragments {
			segments = append(segments, Segment{Instance: instance, Token: t.token, PreviousHash: f.previousHash, Entries: slices.Clone(f.entries), ClockOffset: t.offset,
				IsClockOffsetKnown: t.isOffsetKnown})
		}
	}
	return segments
}

func (c *Collection) instances() []versions.Instance {
	all := make([]versions.Instance, 0, len(c.trails))
	for instance := range c.trails {
		all = append(all, instance)
	}
	slices.SortFunc(all, func(a, b versions.Instance) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
	})
	return all
}

// Query narrows a question down.
type Query struct {
	Resource versions.Resource
	Version  versions.Number // 0 for all
	Driver   string          // empty for all
	From, To int64           // Unix time in nanoseconds, 0 for no end
}

// Activity is one driver's start on one version.
type Activity struct {
	Instance   versions.Instance `json:"who"`
	Resource   versions.Resource `json:"thing"`
	Version    versions.Number   `json:"version"`
	From, To   int64
	Counts     Counts `json:"tally"`
	RPCEntries int    `json:"singles"`
	Dropped    uint64 `json:"dropped"` // single entries that were not kept
}

// Activities tells who acted on what from when to when, by each driver's own clock.
func (c *Collection) Activities(query Query) (all []Activity) {
	for _, instance := range c.instances() {
		if query.Driver != "" && query.Driver != instance.Name {
			continue
		}
		found, observed := map[spanKey]*Activity{}, observedVersions{}
		c.trails[instance].each(func(e *Entry) {
			observed.add(e)
			isActivity := e.Kind == KindSpan || e.Kind == KindRPC || e.Kind == KindDropped
			if !isActivity || query.Resource != "" && e.Resource != query.Resource || query.Version != 0 && e.Version != query.Version {
				return
			}
			from, to := e.From, e.To
			if e.Kind == KindRPC {
				from, to = e.At, e.At
			}
			if query.To != 0 && from > query.To || query.From != 0 && to < query.From {
				return
			}
			key := spanKey{e.Resource, e.Version}
			activity := found[key]
			if activity == nil {
				activity = &Activity{Instance: instance, Resource: e.Resource, Version: e.Version, From: from, To: to}
				found[key] = activity
			}
			activity.From, activity.To = min(activity.From, from), max(activity.To, to)
			switch e.Kind {
			case KindRPC:
				activity.RPCEntries++
			case KindDropped:
				activity.Dropped += e.Count
			default:
				activity.Counts.add(e.Counts)
			}
		})
		for _, activity := range found {
			all = append(all, *activity)
		}
		all = append(all, observed.matching(instance, query)...)
	}
	slices.SortFunc(all, func(activity, b Activity) int {
		return cmp.Or(cmp.Compare(activity.Resource, b.Resource), cmp.Compare(activity.Version, b.Version), cmp.Compare(activity.Instance.Name, b.Instance.Name),
			cmp.Compare(activity.Instance.Start, b.Instance.Start))
	})
	return all
}

// observedVersions are the versions that a start had of things that the council does not decide, each until the next, and the last
// until the last entry that is held.
type observedVersions struct {
	all         []Activity
	latest      map[versions.Resource]int // index of the last of each
	lastEntryAt int64
}

func (o *observedVersions) add(e *Entry) {
	o.lastEntryAt = e.At
	if e.Kind != KindObserved {
		return
	}
	if i, isKnown := o.latest[e.Resource]; isKnown {
		o.all[i].To = e.At
	}
	if o.latest == nil {
		o.latest = map[versions.Resource]int{}
	}
	o.latest[e.Resource] = len(o.all)
	o.all = append(o.all, Activity{Resource: e.Resource, Version: e.Version, From: e.At})
}

func (o *observedVersions) matching(instance versions.Instance, query Query) (all []Activity) {
	for i, activity := range o.all {
		if activity.Instance = instance; o.latest[activity.Resource] == i {
			activity.To = o.lastEntryAt
		}
		if (query.Resource == "" || query.Resource == activity.Resource) && (query.Version == 0 || query.Version == activity.Version) && (query.To == 0 || activity.From <= query.To) && activity.To >= query.From {
			all = append(all, activity)
		}
	}
	return all
}

// LateActivity is something that was done under a version after a newer one was closed.
type LateActivity struct {
	Instance  versions.Instance `json:"who"`
	Version   versions.Number   `json:"version"`
	At        int64             `json:"at"`
	RPC       string            `json:"rpc,omitempty"`
	Reason    string            `json:"why"`
	IsCertain bool              `json:"sure"` // by what the driver knew; else by clocks, which may differ by the stated error
}

// LateActivities looks for what acted on versions of a thing below one that was closed at an epoch, at a time of the closer's clock.
// What a driver did after it had learned of that epoch is late for sure. What it did before is put in order by clocks alone: it is late if it lies
// beyond what they may differ by, and not told of otherwise. What counts is when an attempt was let begin, not when its RPC ended: a driver that
// stood still ends, long after, what it did before. Of RPCs that are only counted those count that began within their span. Where a driver's clock was
// never compared nothing is late by clocks.
func (c *Collection) LateActivities(resource versions.Resource, completed versions.Number, epoch versions.Epoch, completedAt, clockError int64) (late []LateActivity) {
	for _, instance := range c.instances() {
		learnedAt, rpcEntries := int64(0), map[versions.Number]uint64{} // since the last span of each version, which counts them too
		c.trails[instance].each(func(e *Entry) {
			if e.Resource != resource {
				return
			}
			if e.Kind == KindEpoch && e.Epoch >= epoch && learnedAt == 0 {
				learnedAt = e.At
			}
			if e.Version >= completed || e.Version == 0 {
				return
			}
			attemptedAt, isCertain := e.From, false
			switch e.Kind {
			case KindRPC:
				rpcEntries[e.Version]++
				if attemptedAt == 0 { // an older build does not say
					attemptedAt = e.At
				}
				isCertain = learnedAt != 0 && attemptedAt >= learnedAt
			case KindSpan:
				excluded := rpcEntries[e.Version] + e.Count // what has an entry of its own, and what may have acted before
				rpcEntries[e.Version] = 0
				if e.Counts.Total() <= excluded {
					return
				}
			default:
				return
			}
			switch {
			case isCertain:
				late = append(late, LateActivity{instance, e.Version, attemptedAt, e.RPC, fmt.Sprintf("entry %d, after it had learned of epoch %d", e.Seq, epoch), true})
			case c.trails[instance].isOffsetKnown && c.trails[instance].toLocalTime(attemptedAt) > completedAt+clockError:
				late = append(late, LateActivity{instance, e.Version, attemptedAt, e.RPC, fmt.Sprintf("entry %d, beyond the clocks' error", e.Seq), false})
			}
		})
	}
	return late
}

// Lifetime is a start that the roster knows, and when it may have acted. Times are the roster's.
type Lifetime struct {
	Instance versions.Instance
	From     int64 // it joined then
	Until    int64 // it may have acted until then
	IsLive   bool  // it may still act
}

// Gap is a time in which a start may have done what nobody was told, by the clock of those who heard it.
type Gap struct {
	Instance versions.Instance `json:"who"`
	From     int64             `json:"from"`
	To       int64             `json:"to"`
	Reason   string            `json:"why"`
}

// Gaps tells what is not known of starts: before, between and after the pieces of their trails that are held.
func (c *Collection) Gaps(lifetimes []Lifetime) (all []Gap) {
	for _, lifetime := range lifetimes {
		t := c.trails[lifetime.Instance]
		if t == nil || len(t.fragments) == 0 {
			all = append(all, Gap{lifetime.Instance, lifetime.From, lifetime.Until, "nothing of its trail was heard"})
			continue
		}
		from, seq := lifetime.From, uint64(0)
		for _, f := range t.fragments {
			if first := f.entries[0]; first.Seq > seq+1 {
				all = append(all, Gap{lifetime.Instance, from, t.toLocalTime(first.At), fmt.Sprintf("entries %d to %d are not held", seq+1, first.Seq-1)})
			}
			last := f.entries[len(f.entries)-1]
			from, seq = t.toLocalTime(last.At), last.Seq
		}
		if !lifetime.IsLive && from < lifetime.Until {
			all = append(all, Gap{lifetime.Instance, from, lifetime.Until, "it ended, or was not heard, after its last entry"})
		}
	}
	for _, lifetime := range lifetimes {
		all = append(all, c.droppedGaps(lifetime.Instance)...)
	}
	return all
}

// UnorderedActivities tells which of some starts acted on versions of a thing below one that was closed, and at what time is not known, since their clocks were
// never compared with those of the voters.
func (c *Collection) UnorderedActivities(resource versions.Resource, completed versions.Number, lifetimes []Lifetime) (all []Gap) {
	for _, lifetime := range lifetimes {
		t, isActive := c.trails[lifetime.Instance], false
		if t == nil || t.isOffsetKnown {
			continue
		}
		t.each(func(e *Entry) {
			isOlder := e.Resource == resource && e.Version != 0 && e.Version < completed
			isActive = isActive || isOlder && (e.Kind == KindRPC || e.Kind == KindSpan && e.Counts.Total() > 0)
		})
		if isActive {
			reason := fmt.Sprintf("its clock was not compared: when it acted on versions of %s below %d is not known", resource, completed)
			all = append(all, Gap{lifetime.Instance, lifetime.From, lifetime.Until, reason})
		}
	}
	return all
}

// droppedGaps are the times of a start in which its trail had no room for single entries.
func (c *Collection) droppedGaps(instance versions.Instance) (all []Gap) {
	t := c.trails[instance]
	if t == nil {
		return nil
	}
	t.each(func(e *Entry) {
		if e.Kind == KindDropped {
			reason := fmt.Sprintf("%d single entries of version %d of %s were not kept", e.Count, e.Version, e.Resource)
			all = append(all, Gap{instance, t.toLocalTime(e.From), t.toLocalTime(e.To), reason})
		}
	})
	return all
}

// Merge takes in what several hold, each maybe another piece of a trail.
func (c *Collection) Merge(segments []Segment) {
	segments = slices.Clone(segments)
	firstSeq := func(segment Segment) uint64 {
		if len(segment.Entries) == 0 {
			return 0
		}
		return segment.Entries[0].Seq
	}
	slices.SortStableFunc(segments, func(a, b Segment) int { return cmp.Compare(firstSeq(a), firstSeq(b)) })
	for _, segment := range segments {
		c.addSegment(segment)
	}
}
