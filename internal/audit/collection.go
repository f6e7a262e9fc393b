package audit

import (
	"cmp"
	"fmt"
	"slices"

	"sedgespread/internal/versions"
)

// Collection holds the received parts of the trails of many instances.
type Collection struct {
	maxEntries int // of one instance
	trails     map[versions.Instance]*receivedTrail
	faults     []string
}

// receivedTrail holds the received fragments of one instance's trail, in order, with gaps between
// them.
type receivedTrail struct {
	token              string
	fragments          []fragment
	clockOffset        int64 // smallest received, which has the least transmission delay
	isClockOffsetKnown bool
}

// fragment is a run of consecutive entries with the hash of the entry before them.
type fragment struct {
	previousHash string
	entries      []Entry
}

// toReceiverTime converts a time of the instance's clock to the receiver's.
func (t *receivedTrail) toReceiverTime(at int64) int64 { return at + t.clockOffset }

// NewCollection returns an empty collection that keeps the latest maxEntries entries of each
// instance.
func NewCollection(maxEntries int) *Collection {
	return &Collection{maxEntries: maxEntries, trails: map[versions.Instance]*receivedTrail{}}
}

const maxFaults = 64

// Add adds a segment received from its driver and returns the last entry held of the trail. Of an
// invalid segment only the valid entries are added, and the fault is kept. A segment after a gap is
// ignored while the driver still has the missing entries: it learns from the result which ones to
// send first.
func (c *Collection) Add(segment Segment) (lastSeq uint64) {
	t := c.trails[segment.Instance]
	if t != nil && len(segment.Entries) > 0 && segment.Entries[0].Seq > t.lastSeq()+1 && segment.OldestSeq <= t.lastSeq()+1 {
		return t.lastSeq()
	}
	return c.addSegment(segment)
}

// AddFinal adds the last segment of a driver that leaves, also after a gap, which the driver will
// not fill any more.
func (c *Collection) AddFinal(segment Segment) (lastSeq uint64) { return c.addSegment(segment) }

// Extent is the time between the first and last held entry of an instance, by the receiver's clock.
type Extent struct {
	Instance versions.Instance
	From, To int64
}

// Extents returns the extents of all instances of a driver, in the order of their starts.
func (c *Collection) Extents(name string) (all []Extent) {
	for _, instance := range c.instances() {
		t := c.trails[instance]
		if instance.Name != name || len(t.fragments) == 0 {
			continue
		}
		last := t.fragments[len(t.fragments)-1].entries
		all = append(all, Extent{instance, t.toReceiverTime(t.fragments[0].entries[0].At), t.toReceiverTime(last[len(last)-1].At)})
	}
	return all
}

// addSegment verifies a segment and adds its new entries, after a gap if need be.
func (c *Collection) addSegment(segment Segment) (lastSeq uint64) {
	validCount, err := segment.Verify()
	if err != nil {
		c.addFault(err.Error())
	}
	t := c.trails[segment.Instance]
	if t == nil {
		t = &receivedTrail{token: segment.Token}
		c.trails[segment.Instance] = t
	}
	if t.token != segment.Token {
		c.addFault(fmt.Sprintf("%s start %d: two trails say that they are its", segment.Instance.Name, segment.Instance.Start))
		return t.lastSeq()
	}
	if segment.IsClockOffsetKnown && (!t.isClockOffsetKnown || segment.ClockOffset < t.clockOffset) {
		t.clockOffset, t.isClockOffsetKnown = segment.ClockOffset, true
	}
	previousHash := segment.PreviousHash
	for _, e := range segment.Entries[:validCount] {
		if !t.add(previousHash, e) {
			c.addFault(fmt.Sprintf("%s start %d: entry %d was told in two ways", segment.Instance.Name, segment.Instance.Start, e.Seq))
		}
		previousHash = e.Hash
	}
	t.trim(c.maxEntries)
	return t.lastSeq()
}

// add appends an entry unless it is held. It returns false if another entry is held at its place.
func (t *receivedTrail) add(previousHash string, e Entry) bool {
	lastSeq := t.lastSeq()
	if e.Seq <= lastSeq {
		for _, f := range t.fragments {
			if i := int(e.Seq) - int(f.entries[0].Seq); i >= 0 && i < len(f.entries) {
				return f.entries[i].Hash == e.Hash
			}
		}
		return true // entries in gaps are not filled in
	}
	if n := len(t.fragments); n > 0 && e.Seq == lastSeq+1 {
		t.fragments[n-1].entries = append(t.fragments[n-1].entries, e)
	} else {
		t.fragments = append(t.fragments, fragment{previousHash, []Entry{e}})
	}
	return true
}

// trim removes the oldest entries beyond maxEntries.
func (t *receivedTrail) trim(maxEntries int) {
	for excess := t.count() - maxEntries; excess > 0; excess = t.count() - maxEntries {
		first := &t.fragments[0]
		if len(first.entries) <= excess {
			t.fragments = t.fragments[1:]
			continue
		}
		first.previousHash, first.entries = first.entries[excess-1].Hash, slices.Clone(first.entries[excess:])
	}
}

func (t *receivedTrail) count() (n int) {
	for _, f := range t.fragments {
		n += len(f.entries)
	}
	return n
}

// each calls visit for all entries, oldest first.
func (t *receivedTrail) each(visit func(e *Entry)) {
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

// lastSeq returns the number of the last entry held, 0 for none.
func (t *receivedTrail) lastSeq() uint64 {
	if len(t.fragments) == 0 {
		return 0
	}
	entries := t.fragments[len(t.fragments)-1].entries
	return entries[len(entries)-1].Seq
}

// LastSeq returns the number of the last entry held of an instance, 0 for none.
func (c *Collection) LastSeq(instance versions.Instance) uint64 {
	if t := c.trails[instance]; t != nil {
		return t.lastSeq()
	}
	return 0
}

// Faults returns what was found wrong with added segments.
func (c *Collection) Faults() []string { return slices.Clone(c.faults) }

// Segments returns all held entries, sorted by driver name and start.
func (c *Collection) Segments() (segments []Segment) {
	for _, instance := range c.instances() {
		t := c.trails[instance]
		for _, f := range t.fragments {
			segments = append(segments, Segment{Instance: instance, Token: t.token, PreviousHash: f.previousHash,
				Entries: slices.Clone(f.entries), ClockOffset: t.clockOffset, IsClockOffsetKnown: t.isClockOffsetKnown})
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

// Query selects activities.
type Query struct {
	Resource versions.Resource
	Version  versions.Number // 0 for all
	Driver   string          // empty for all
	From, To int64           // Unix time in nanoseconds, 0 for no end
}

// Activity sums up what an instance did under one version.
type Activity struct {
	Instance   versions.Instance `json:"who"`
	Resource   versions.Resource `json:"thing"`
	Version    versions.Number   `json:"version"`
	From, To   int64
	Counts     Counts `json:"tally"`
	RPCEntries int    `json:"singles"`
	Dropped    uint64 `json:"dropped"` // KindRPC entries that the driver dropped
}

// Activities returns the activities that match a query. Times are by each driver's own clock.
func (c *Collection) Activities(query Query) (all []Activity) {
	for _, instance := range c.instances() {
		if query.Driver != "" && query.Driver != instance.Name {
			continue
		}
		found, observed := map[spanKey]*Activity{}, observedVersions{}
		c.trails[instance].each(func(e *Entry) {
			observed.add(e)
			isActivity := e.Kind == KindSpan || e.Kind == KindRPC || e.Kind == KindDropped
			if !isActivity || query.Resource != "" && e.Resource != query.Resource ||
				query.Version != 0 && e.Version != query.Version {
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
	slices.SortFunc(all, func(a, b Activity) int {
		return cmp.Or(cmp.Compare(a.Resource, b.Resource), cmp.Compare(a.Version, b.Version),
			cmp.Compare(a.Instance.Name, b.Instance.Name), cmp.Compare(a.Instance.Start, b.Instance.Start))
	})
	return all
}

// observedVersions collects an instance's versions of resources that the council does not decide.
// Each lasts until the next, and the last until the last held entry.
type observedVersions struct {
	all         []Activity
	latest      map[versions.Resource]int // index in all of the latest version
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
		if (query.Resource == "" || query.Resource == activity.Resource) &&
			(query.Version == 0 || query.Version == activity.Version) &&
			(query.To == 0 || activity.From <= query.To) && activity.To >= query.From {
			all = append(all, activity)
		}
	}
	return all
}

// LateActivity is activity under a version after a newer one was completed.
type LateActivity struct {
	Instance  versions.Instance `json:"who"`
	Version   versions.Number   `json:"version"`
	At        int64             `json:"at"`
	RPC       string            `json:"rpc,omitempty"`
	Reason    string            `json:"why"`
	IsCertain bool              `json:"sure"` // the driver knew of the newer epoch; otherwise judged by clocks
}

// LateActivities returns acts on versions below one that was completed in an epoch, at completedAt
// by the council's clock. An act is certainly late if the driver knew of the epoch, and otherwise
// if it is later by more than the clock error; without a clock offset only the former counts. The
// time of an act is when its last attempt began, as a paused driver may end old RPCs late. RPCs
// without an entry are late if they began within a late span.
func (c *Collection) LateActivities(resource versions.Resource, completed versions.Number, epoch versions.Epoch,
	completedAt, clockError int64) (late []LateActivity) {
	for _, instance := range c.instances() {
		// rpcEntries counts those since the last span of each version, whose counts include them.
		learnedAt, rpcEntries := int64(0), map[versions.Number]uint64{}
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
				if attemptedAt == 0 { // not set by older builds
					attemptedAt = e.At
				}
				isCertain = learnedAt != 0 && attemptedAt >= learnedAt
			case KindSpan:
				// RPCs with an entry of their own, and those that began before the span.
				excluded := rpcEntries[e.Version] + e.Count
				rpcEntries[e.Version] = 0
				if e.Counts.Total() <= excluded {
					return
				}
			default:
				return
			}
			switch {
			case isCertain:
				late = append(late, LateActivity{instance, e.Version, attemptedAt, e.RPC,
					fmt.Sprintf("entry %d, after it had learned of epoch %d", e.Seq, epoch), true})
			case c.trails[instance].isClockOffsetKnown && c.trails[instance].toReceiverTime(attemptedAt) > completedAt+clockError:
				late = append(late, LateActivity{instance, e.Version, attemptedAt, e.RPC,
					fmt.Sprintf("entry %d, beyond the clocks' error", e.Seq), false})
			}
		})
	}
	return late
}

// Lifetime is the time in which an instance may have acted, according to the roster.
type Lifetime struct {
	Instance versions.Instance
	From     int64 // when it joined
	Until    int64 // when its last lease ended
	IsLive   bool  // it may still act
}

// Gap is a time for which the record of an instance is incomplete, by the receiver's clock.
type Gap struct {
	Instance versions.Instance `json:"who"`
	From     int64             `json:"from"`
	To       int64             `json:"to"`
	Reason   string            `json:"why"`
}

// Gaps returns the gaps before, between and after the held fragments, and those with dropped
// entries.
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
				all = append(all, Gap{lifetime.Instance, from, t.toReceiverTime(first.At),
					fmt.Sprintf("entries %d to %d are not held", seq+1, first.Seq-1)})
			}
			last := f.entries[len(f.entries)-1]
			from, seq = t.toReceiverTime(last.At), last.Seq
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

// UnorderedActivities returns the instances that acted on versions below a completed one at unknown
// times, as their clock offsets are not known.
func (c *Collection) UnorderedActivities(resource versions.Resource, completed versions.Number,
	lifetimes []Lifetime) (all []Gap) {
	for _, lifetime := range lifetimes {
		t, isActive := c.trails[lifetime.Instance], false
		if t == nil || t.isClockOffsetKnown {
			continue
		}
		t.each(func(e *Entry) {
			isOlder := e.Resource == resource && e.Version != 0 && e.Version < completed
			isActive = isActive || isOlder && (e.Kind == KindRPC || e.Kind == KindSpan && e.Counts.Total() > 0)
		})
		if isActive {
			reason := fmt.Sprintf("its clock was not compared: when it acted on versions of %s below %d is not known",
				resource, completed)
			all = append(all, Gap{lifetime.Instance, lifetime.From, lifetime.Until, reason})
		}
	}
	return all
}

// droppedGaps returns the times in which an instance dropped KindRPC entries.
func (c *Collection) droppedGaps(instance versions.Instance) (all []Gap) {
	t := c.trails[instance]
	if t == nil {
		return nil
	}
	t.each(func(e *Entry) {
		if e.Kind == KindDropped {
			reason := fmt.Sprintf("%d single entries of version %d of %s were not kept", e.Count, e.Version, e.Resource)
			all = append(all, Gap{instance, t.toReceiverTime(e.From), t.toReceiverTime(e.To), reason})
		}
	})
	return all
}

// Merge adds the segments that several collections hold.
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
