package audit

import (
	"cmp"
	"fmt"
	"slices"

	"sedgespread/internal/versions"
)

// Collection is the trails of many starts, as far as they were heard.
type Collection struct {
	most   int // entries of one start
	trails map[versions.Instance]*trail
	faults []string
}

// trail is what was heard of one start's: pieces with holes between them.
type trail struct {
	token  string
	pieces []piece
	offset int64 // the least that was heard
	placed bool
}

// piece is entries that follow one another, with the hash before the first.
type piece struct {
	before  string
	entries []Entry
}

// place is a time of a start's own clock by the clock of those who heard it.
func (t *trail) place(at int64) int64 { return at + t.offset }

// NewCollection makes an empty one that holds so many entries of a start at the most, the newest.
func NewCollection(most int) *Collection {
	return &Collection{most: most, trails: map[versions.Instance]*trail{}}
}

// mostFaults is how many faults are remembered.
const mostFaults = 64

// Add takes in a part of a trail as its driver tells it, and gives up to which entry the start's trail is held. A part that
// does not hold together is taken up to where it does, and the fault is kept. One behind a hole is not taken if its driver
// still has what belongs there: it is told up to where the trail is held, and tells that first.
func (c *Collection) Add(p Segment) (held uint64) {
	t := c.trails[p.Instance]
	if t != nil && len(p.Entries) > 0 && p.Entries[0].Seq > t.last()+1 && p.OldestSeq <= t.last()+1 {
		return t.last()
	}
	return c.take(p)
}

// AddFinal takes in what a driver tells that leaves: what is missing before it can't be told any more, and is a hole.
func (c *Collection) AddFinal(p Segment) (held uint64) { return c.take(p) }

// Extent is from when to when the trail of a start is held, with holes or without, by the clock of those who heard it.
type Extent struct {
	Instance versions.Instance
	From, To int64
}

// Extents are those of all starts of a name, in their order.
func (c *Collection) Extents(name string) (all []Extent) {
	for _, who := range c.starts() {
		t := c.trails[who]
		if who.Name != name || len(t.pieces) == 0 {
			continue
		}
		last := t.pieces[len(t.pieces)-1].entries
		all = append(all, Extent{who, t.place(t.pieces[0].entries[0].At), t.place(last[len(last)-1].At)})
	}
	return all
}

// take takes in a part wherever it belongs behind what is held.
func (c *Collection) take(p Segment) (held uint64) {
	holds, err := p.Verify()
	if err != nil {
		c.fault(err.Error())
	}
	t := c.trails[p.Instance]
	if t == nil {
		t = &trail{token: p.Token}
		c.trails[p.Instance] = t
	}
	if t.token != p.Token {
		c.fault(fmt.Sprintf("%s start %d: two trails say that they are its", p.Instance.Name, p.Instance.Start))
		return t.last()
	}
	if p.IsClockOffsetKnown && (!t.placed || p.ClockOffset < t.offset) {
		t.offset, t.placed = p.ClockOffset, true
	}
	before := p.PreviousHash
	for _, e := range p.Entries[:holds] {
		if !t.add(before, e) {
			c.fault(fmt.Sprintf("%s start %d: entry %d was told in two ways", p.Instance.Name, p.Instance.Start, e.Seq))
		}
		before = e.Hash
	}
	t.cut(c.most)
	return t.last()
}

// add adds an entry at the end, if it is not held; false tells that another is held in its place.
func (t *trail) add(before string, e Entry) bool {
	last := t.last()
	if e.Seq <= last {
		for _, p := range t.pieces {
			if at := int(e.Seq) - int(p.entries[0].Seq); at >= 0 && at < len(p.entries) {
				return p.entries[at].Hash == e.Hash
			}
		}
		return true // what lies in a hole is left to those who hold it
	}
	if n := len(t.pieces); n > 0 && e.Seq == last+1 {
		t.pieces[n-1].entries = append(t.pieces[n-1].entries, e)
	} else {
		t.pieces = append(t.pieces, piece{before, []Entry{e}})
	}
	return true
}

// cut lets go of the oldest entries beyond so many.
func (t *trail) cut(most int) {
	for over := t.count() - most; over > 0; over = t.count() - most {
		first := &t.pieces[0]
		if len(first.entries) <= over {
			t.pieces = t.pieces[1:]
			continue
		}
		first.before, first.entries = first.entries[over-1].Hash, slices.Clone(first.entries[over:])
	}
}

func (t *trail) count() (n int) {
	for _, p := range t.pieces {
		n += len(p.entries)
	}
	return n
}

// each gives all entries, the oldest first.
func (t *trail) each(do func(e *Entry)) {
	for _, p := range t.pieces {
		for i := range p.entries {
			do(&p.entries[i])
		}
	}
}

func (c *Collection) fault(what string) {
	if len(c.faults) < mostFaults && !slices.Contains(c.faults, what) {
		c.faults = append(c.faults, what)
	}
}

// last is the number of the newest entry held, 0 for none.
func (t *trail) last() uint64 {
	if len(t.pieces) == 0 {
		return 0
	}
	entries := t.pieces[len(t.pieces)-1].entries
	return entries[len(entries)-1].Seq
}

// LastSeq is up to which entry a start's trail is held.
func (c *Collection) LastSeq(who versions.Instance) uint64 {
	if t := c.trails[who]; t != nil {
		return t.last()
	}
	return 0
}

// Faults are what did not hold together.
func (c *Collection) Faults() []string { return slices.Clone(c.faults) }

// Segments are all trails held, by name and start.
func (c *Collection) Segments() (parts []Segment) {
	for _, who := range c.starts() {
		t := c.trails[who]
		for _, p := range t.pieces {
			parts = append(parts, Segment{Instance: who, Token: t.token, PreviousHash: p.before, Entries: slices.Clone(p.entries), ClockOffset: t.offset,
				IsClockOffsetKnown: t.placed})
		}
	}
	return parts
}

func (c *Collection) starts() []versions.Instance {
	all := make([]versions.Instance, 0, len(c.trails))
	for who := range c.trails {
		all = append(all, who)
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
func (c *Collection) Activities(q Query) (all []Activity) {
	for _, who := range c.starts() {
		if q.Driver != "" && q.Driver != who.Name {
			continue
		}
		found, holds := map[spanKey]*Activity{}, holdings{}
		c.trails[who].each(func(e *Entry) {
			holds.take(e)
			acts := e.Kind == KindSpan || e.Kind == KindRPC || e.Kind == KindDropped
			if !acts || q.Resource != "" && e.Resource != q.Resource || q.Version != 0 && e.Version != q.Version {
				return
			}
			from, to := e.From, e.To
			if e.Kind == KindRPC {
				from, to = e.At, e.At
			}
			if q.To != 0 && from > q.To || q.From != 0 && to < q.From {
				return
			}
			key := spanKey{e.Resource, e.Version}
			a := found[key]
			if a == nil {
				a = &Activity{Instance: who, Resource: e.Resource, Version: e.Version, From: from, To: to}
				found[key] = a
			}
			a.From, a.To = min(a.From, from), max(a.To, to)
			switch e.Kind {
			case KindRPC:
				a.RPCEntries++
			case KindDropped:
				a.Dropped += e.Count
			default:
				a.Counts.add(e.Counts)
			}
		})
		for _, a := range found {
			all = append(all, *a)
		}
		all = append(all, holds.asked(who, q)...)
	}
	slices.SortFunc(all, func(a, b Activity) int {
		return cmp.Or(cmp.Compare(a.Resource, b.Resource), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Instance.Name, b.Instance.Name),
			cmp.Compare(a.Instance.Start, b.Instance.Start))
	})
	return all
}

// holdings are the versions that a start had of things that the council does not decide, each until the next, and the last
// until the last entry that is held.
type holdings struct {
	all []Activity
	now map[versions.Resource]int // index of the last of each
	at  int64
}

func (h *holdings) take(e *Entry) {
	h.at = e.At
	if e.Kind != KindObserved {
		return
	}
	if i, had := h.now[e.Resource]; had {
		h.all[i].To = e.At
	}
	if h.now == nil {
		h.now = map[versions.Resource]int{}
	}
	h.now[e.Resource] = len(h.all)
	h.all = append(h.all, Activity{Resource: e.Resource, Version: e.Version, From: e.At})
}

func (h *holdings) asked(who versions.Instance, q Query) (all []Activity) {
	for i, a := range h.all {
		if a.Instance = who; h.now[a.Resource] == i {
			a.To = h.at
		}
		if (q.Resource == "" || q.Resource == a.Resource) && (q.Version == 0 || q.Version == a.Version) && (q.To == 0 || a.From <= q.To) && a.To >= q.From {
			all = append(all, a)
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
func (c *Collection) LateActivities(thing versions.Resource, closed versions.Number, epoch versions.Epoch, at, clockError int64) (late []LateActivity) {
	for _, who := range c.starts() {
		knew, singles := int64(0), map[versions.Number]uint64{} // since the last span of each version, which counts them too
		c.trails[who].each(func(e *Entry) {
			if e.Resource != thing {
				return
			}
			if e.Kind == KindEpoch && e.Epoch >= epoch && knew == 0 {
				knew = e.At
			}
			if e.Version >= closed || e.Version == 0 {
				return
			}
			when, sure := e.From, false
			switch e.Kind {
			case KindRPC:
				singles[e.Version]++
				if when == 0 { // an older build does not say
					when = e.At
				}
				sure = knew != 0 && when >= knew
			case KindSpan:
				told := singles[e.Version] + e.Count // what has an entry of its own, and what may have acted before
				singles[e.Version] = 0
				if e.Counts.Total() <= told {
					return
				}
			default:
				return
			}
			switch {
			case sure:
				late = append(late, LateActivity{who, e.Version, when, e.RPC, fmt.Sprintf("entry %d, after it had learned of epoch %d", e.Seq, epoch), true})
			case c.trails[who].placed && c.trails[who].place(when) > at+clockError:
				late = append(late, LateActivity{who, e.Version, when, e.RPC, fmt.Sprintf("entry %d, beyond the clocks' error", e.Seq), false})
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
func (c *Collection) Gaps(starts []Lifetime) (all []Gap) {
	for _, s := range starts {
		t := c.trails[s.Instance]
		if t == nil || len(t.pieces) == 0 {
			all = append(all, Gap{s.Instance, s.From, s.Until, "nothing of its trail was heard"})
			continue
		}
		from, seq := s.From, uint64(0)
		for _, p := range t.pieces {
			if first := p.entries[0]; first.Seq > seq+1 {
				all = append(all, Gap{s.Instance, from, t.place(first.At), fmt.Sprintf("entries %d to %d are not held", seq+1, first.Seq-1)})
			}
			last := p.entries[len(p.entries)-1]
			from, seq = t.place(last.At), last.Seq
		}
		if !s.IsLive && from < s.Until {
			all = append(all, Gap{s.Instance, from, s.Until, "it ended, or was not heard, after its last entry"})
		}
	}
	for _, s := range starts {
		all = append(all, c.dropped(s.Instance)...)
	}
	return all
}

// UnorderedActivities tells which of some starts acted on versions of a thing below one that was closed, and at what time is not known, since their clocks were
// never compared with those of the voters.
func (c *Collection) UnorderedActivities(thing versions.Resource, closed versions.Number, starts []Lifetime) (all []Gap) {
	for _, s := range starts {
		t, acted := c.trails[s.Instance], false
		if t == nil || t.placed {
			continue
		}
		t.each(func(e *Entry) {
			older := e.Resource == thing && e.Version != 0 && e.Version < closed
			acted = acted || older && (e.Kind == KindRPC || e.Kind == KindSpan && e.Counts.Total() > 0)
		})
		if acted {
			why := fmt.Sprintf("its clock was not compared: when it acted on versions of %s below %d is not known", thing, closed)
			all = append(all, Gap{s.Instance, s.From, s.Until, why})
		}
	}
	return all
}

// dropped are the times of a start in which its trail had no room for single entries.
func (c *Collection) dropped(who versions.Instance) (all []Gap) {
	t := c.trails[who]
	if t == nil {
		return nil
	}
	t.each(func(e *Entry) {
		if e.Kind == KindDropped {
			why := fmt.Sprintf("%d single entries of version %d of %s were not kept", e.Count, e.Version, e.Resource)
			all = append(all, Gap{who, t.place(e.From), t.place(e.To), why})
		}
	})
	return all
}

// Merge takes in what several hold, each maybe another piece of a trail.
func (c *Collection) Merge(parts []Segment) {
	parts = slices.Clone(parts)
	first := func(p Segment) uint64 {
		if len(p.Entries) == 0 {
			return 0
		}
		return p.Entries[0].Seq
	}
	slices.SortStableFunc(parts, func(a, b Segment) int { return cmp.Compare(first(a), first(b)) })
	for _, p := range parts {
		c.take(p)
	}
}
