package audit

import (
	"cmp"
	"maps"
	"slices"

	"sedgespread/internal/versions"
)

// Trail is a driver's own record. Entries are kept until the voters hold them, and after that as long as there is room.
//
// Its memory is bounded by a count of entries. Three quarters of them are for single entries that the voters do not hold: a driver that can't reach
// them has room for so many, however long that takes and whatever its rate. Those beyond are dropped, and the trail says of which version they were,
// how many, and from when to when; they stay in the counts of spans. If more than the whole count is not told, the oldest entries go,
// which shows as a hole. Spans are entered by the trail's own clock, and only as they are told while half of the count waits for that.
type Trail struct {
	who     versions.Instance
	token   string
	most    int
	near    int64 // after a change of version, what is attempted in this time has a single entry
	before  string
	last    string
	seq     uint64
	kept    []Entry
	chained int // of those kept
	open    map[spanKey]*span
	acts    map[versions.Resource]versions.Number
	turned  map[versions.Resource]int64 // when the version acted on changed last
	flushed int64                       // when spans were entered last
	marked  int64                       // and when for somebody who was about to tell the trail
	held    uint64                      // entry up to which the voters hold the trail, as they said last
	singles int                         // single entries after that one
	dropped map[spanKey]*drops          // what there was no room for, and is not entered yet
}

// drops are single entries of a version that were not kept.
type drops struct {
	from, to int64
	count    uint64
}

type spanKey struct {
	thing   versions.Resource
	version versions.Number
}

// span is a version that is acted on, or under which something is in flight.
type span struct {
	from    int64 // of what has not been entered yet
	tally   Counts
	flight  int
	carried int // of those in flight at from
}

// FlushInterval is how often spans are entered, in nanoseconds.
const FlushInterval = int64(250_000_000)

const (
	singlesShare = 0.75 // of the entries kept are for single ones that the voters do not hold
	spansShare   = 0.5  // of them may wait to be told before spans are entered only as they are told
)

// NewTrail begins the trail of a start, which keeps so many entries.
func NewTrail(now int64, who versions.Instance, token string, most int, near int64) *Trail {
	t := &Trail{who: who, token: token, most: max(most, 16), near: near, open: map[spanKey]*span{}, acts: map[versions.Resource]versions.Number{},
		turned: map[versions.Resource]int64{}, dropped: map[spanKey]*drops{}, flushed: now}
	t.before = root(who, token)
	t.last = t.before
	t.enter(Entry{Kind: KindStart, At: now})
	return t
}

// enter adds an entry to those before. It is chained to them when somebody asks: hashes are no part of an RPC's way.
func (t *Trail) enter(e Entry) {
	t.seq++
	e.Seq = t.seq
	t.kept = append(t.kept, e)
	if len(t.kept) > t.most+t.most/8 {
		t.forget(t.seq - uint64(t.most))
	}
}

// chain chains the entries that are not chained yet.
func (t *Trail) chain() {
	for i := t.chained; i < len(t.kept); i++ {
		t.kept[i].Hash = t.kept[i].hashed(t.last)
		t.last = t.kept[i].Hash
	}
	t.chained = len(t.kept)
}

// forget lets go of entries up to one.
func (t *Trail) forget(seq uint64) {
	t.chain()
	for len(t.kept) > 0 && t.kept[0].Seq <= seq {
		t.before, t.kept, t.chained = t.kept[0].Hash, t.kept[1:], t.chained-1
	}
}

// RecordEpoch notes an order, and on which version of its thing the driver acts from now on.
func (t *Trail) RecordEpoch(now int64, thing versions.Resource, epoch versions.Epoch, acts versions.Number) {
	t.enter(Entry{Kind: KindEpoch, At: now, Resource: thing, Epoch: epoch, Version: acts})
	t.RecordActive(now, thing, acts)
}

// RecordActive notes on which version the driver acts from now on, 0 for none.
func (t *Trail) RecordActive(now int64, thing versions.Resource, acts versions.Number) {
	if t.acts[thing] == acts {
		return
	}
	t.acts[thing], t.turned[thing] = acts, now
	if acts != 0 {
		t.span(now, thing, acts)
	}
}

// RecordObserved notes on which version of a thing that the council does not decide the driver acts from now on.
func (t *Trail) RecordObserved(now int64, thing versions.Resource, n versions.Number) {
	if t.acts[thing] != n {
		t.acts[thing] = n
		t.enter(Entry{Kind: KindObserved, At: now, Resource: thing, Version: n})
	}
}

func (t *Trail) span(now int64, thing versions.Resource, n versions.Number) *span {
	key := spanKey{thing, n}
	if t.open[key] == nil {
		t.open[key] = &span{from: now}
	}
	return t.open[key]
}

// BeginRPC notes that an RPC begins under a version.
func (t *Trail) BeginRPC(now int64, thing versions.Resource, n versions.Number) {
	t.flushDue(now)
	t.span(now, thing, n).flight++
}

// EndRPC notes how an RPC that began has ended, and when its last attempt began, 0 for none: what had none has no entry of its own.
func (t *Trail) EndRPC(now int64, thing versions.Resource, n versions.Number, rpc string, e Effect, o Outcome, acted int64) {
	t.flushDue(now)
	s := t.span(now, thing, n)
	s.flight = max(0, s.flight-1)
	s.tally[e][o]++
	if acted == 0 || e < Deduplicated || n == t.acts[thing] && acted-t.turned[thing] > t.near {
		return
	}
	if t.singles >= int(float64(t.most)*singlesShare) {
		t.drop(now, spanKey{thing, n})
		return
	}
	t.singles++
	t.enter(Entry{Kind: KindRPC, At: now, Resource: thing, Version: n, RPC: rpc, Effect: e, Outcome: o, From: acted})
}

// drop counts a single entry that there is no room for.
func (t *Trail) drop(now int64, key spanKey) {
	d := t.dropped[key]
	if d == nil {
		d = &drops{from: now}
		t.dropped[key] = d
	}
	d.to = now
	d.count++
}

// flushDue flushes if it is time and there is room.
func (t *Trail) flushDue(now int64) {
	waiting := float64(t.seq - t.held)
	if now-t.flushed >= FlushInterval && waiting < float64(t.most)*spansShare {
		t.Flush(now)
	}
}

// sorted are the keys of a map in their order, so that the same acts make the same trail.
func sorted[T any](of map[spanKey]T) []spanKey {
	return slices.SortedFunc(maps.Keys(of), func(a, b spanKey) int {
		return cmp.Or(cmp.Compare(a.thing, b.thing), cmp.Compare(a.version, b.version))
	})
}

// Flush enters what has gathered in spans, and ends those that are over.
func (t *Trail) Flush(now int64) {
	t.flushed = now
	for _, key := range sorted(t.open) {
		s := t.open[key]
		tally := s.tally
		t.enter(Entry{Kind: KindSpan, At: now, Resource: key.thing, Version: key.version, From: s.from, To: now, Counts: &tally, Count: uint64(s.carried)})
		s.from, s.tally, s.carried = now, Counts{}, s.flight
		if s.flight == 0 && t.acts[key.thing] != key.version {
			delete(t.open, key)
		}
	}
}

// FlushBeforeSend flushes for somebody who is about to tell the trail, but not more often than spans are entered: the last entry of what is told then says what
// this driver's clock showed at that time, whatever was flushed in between.
func (t *Trail) FlushBeforeSend(now int64) {
	if now-t.marked >= FlushInterval {
		t.marked = now
		t.Flush(now)
	}
}

// enterDrops enters what there was no room for.
func (t *Trail) enterDrops() {
	for _, key := range sorted(t.dropped) {
		d := t.dropped[key]
		t.enter(Entry{Kind: KindDropped, At: d.to, Resource: key.thing, Version: key.version, From: d.from, To: d.to, Count: d.count})
	}
	clear(t.dropped)
}

// Since gives the entries after one, which is the last that the voters hold, at most so many, the oldest first.
func (t *Trail) Since(seq uint64, most int) Segment {
	t.enterDrops()
	t.chain()
	t.holds(seq)
	p := Segment{Instance: t.who, Token: t.token, PreviousHash: t.before}
	if len(t.kept) > 0 {
		p.OldestSeq = t.kept[0].Seq
	}
	for i, e := range t.kept {
		if e.Seq > seq {
			p.Entries = slices.Clone(t.kept[i:min(len(t.kept), i+most)])
			break
		}
		p.PreviousHash = e.Hash
	}
	return p
}

// holds notes up to which entry the voters hold the trail, which may be less than before: a successor may not have heard all.
func (t *Trail) holds(seq uint64) {
	t.held, t.singles = seq, 0
	for _, e := range t.kept {
		if e.Kind == KindRPC && e.Seq > seq {
			t.singles++
		}
	}
}
