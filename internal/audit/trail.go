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
	instance           versions.Instance
	token              string
	maxEntries         int
	nearChange         int64 // after a change of version, what is attempted in this time has a single entry
	oldestPreviousHash string
	lastHash           string
	seq                uint64
	entries            []Entry
	chained            int // of those kept
	openSpans          map[spanKey]*span
	active             map[versions.Resource]versions.Number
	changedAt          map[versions.Resource]int64 // when the version acted on changed last
	flushedAt          int64                       // when spans were entered last
	flushedForSendAt   int64                       // and when for somebody who was about to tell the trail
	acknowledgedSeq    uint64                      // entry up to which the voters hold the trail, as they said last
	unacknowledgedRPCs int                         // single entries after that one
	dropped            map[spanKey]*droppedRPCs    // what there was no room for, and is not entered yet
}

// droppedRPCs are single entries of a version that were not kept.
type droppedRPCs struct {
	from, to int64
	count    uint64
}

type spanKey struct {
	resource versions.Resource
	version  versions.Number
}

// span is a version that is acted on, or under which something is in flight.
type span struct {
	from            int64 // of what has not been entered yet
	counts          Counts
	inFlight        int
	inFlightAtStart int // of those in flight at from
}

// FlushInterval is how often spans are entered, in nanoseconds.
const FlushInterval = int64(250_000_000)

const (
	rpcEntriesShare = 0.75 // of the entries kept are for single ones that the voters do not hold
	unsentShare     = 0.5  // of them may wait to be told before spans are entered only as they are told
)

// NewTrail begins the trail of a start, which keeps so many entries.
func NewTrail(now int64, instance versions.Instance, token string, maxEntries int, nearChange int64) *Trail {
	t := &Trail{instance: instance, token: token, maxEntries: max(maxEntries, 16), nearChange: nearChange, openSpans: map[spanKey]*span{}, active: map[versions.Resource]versions.Number{},
		changedAt: map[versions.Resource]int64{}, dropped: map[spanKey]*droppedRPCs{}, flushedAt: now}
	t.oldestPreviousHash = rootHash(instance, token)
	t.lastHash = t.oldestPreviousHash
	t.append(Entry{Kind: KindStart, At: now})
	return t
}

// append adds an entry to those before. It is chained to them when somebody asks: hashes are no part of an RPC's way.
func (t *Trail) append(e Entry) {
	t.seq++
	e.Seq = t.seq
	t.entries = append(t.entries, e)
	if len(t.entries) > t.maxEntries+t.maxEntries/8 {
		t.removeUpTo(t.seq - uint64(t.maxEntries))
	}
}

// computeHashes chains the entries that are not chained yet.
func (t *Trail) computeHashes() {
	for i := t.chained; i < len(t.entries); i++ {
		t.entries[i].Hash = t.entries[i].computeHash(t.lastHash)
		t.lastHash = t.entries[i].Hash
	}
	t.chained = len(t.entries)
}

// removeUpTo lets go of entries up to one.
func (t *Trail) removeUpTo(seq uint64) {
	t.computeHashes()
	for len(t.entries) > 0 && t.entries[0].Seq <= seq {
		t.oldestPreviousHash, t.entries, t.chained = t.entries[0].Hash, t.entries[1:], t.chained-1
	}
}

// RecordEpoch notes an order, and on which version of its thing the driver acts from now on.
func (t *Trail) RecordEpoch(now int64, resource versions.Resource, epoch versions.Epoch, active versions.Number) {
	t.append(Entry{Kind: KindEpoch, At: now, Resource: resource, Epoch: epoch, Version: active})
	t.RecordActive(now, resource, active)
}

// RecordActive notes on which version the driver acts from now on, 0 for none.
func (t *Trail) RecordActive(now int64, resource versions.Resource, active versions.Number) {
	if t.active[resource] == active {
		return
	}
	t.active[resource], t.changedAt[resource] = active, now
	if active != 0 {
		t.span(now, resource, active)
	}
}

// RecordObserved notes on which version of a thing that the council does not decide the driver acts from now on.
func (t *Trail) RecordObserved(now int64, resource versions.Resource, version versions.Number) {
	if t.active[resource] != version {
		t.active[resource] = version
		t.append(Entry{Kind: KindObserved, At: now, Resource: resource, Version: version})
	}
}

func (t *Trail) span(now int64, resource versions.Resource, version versions.Number) *span {
	key := spanKey{resource, version}
	if t.openSpans[key] == nil {
		t.openSpans[key] = &span{from: now}
	}
	return t.openSpans[key]
}

// BeginRPC notes that an RPC begins under a version.
func (t *Trail) BeginRPC(now int64, resource versions.Resource, version versions.Number) {
	t.flushIfDue(now)
	t.span(now, resource, version).inFlight++
}

// EndRPC notes how an RPC that began has ended, and when its last attempt began, 0 for none: what had none has no entry of its own.
func (t *Trail) EndRPC(now int64, resource versions.Resource, version versions.Number, rpc string, effect Effect, outcome Outcome, attemptedAt int64) {
	t.flushIfDue(now)
	s := t.span(now, resource, version)
	s.inFlight = max(0, s.inFlight-1)
	s.counts[effect][outcome]++
	if attemptedAt == 0 || effect < Deduplicated || version == t.active[resource] && attemptedAt-t.changedAt[resource] > t.nearChange {
		return
	}
	if t.unacknowledgedRPCs >= int(float64(t.maxEntries)*rpcEntriesShare) {
		t.countDropped(now, spanKey{resource, version})
		return
	}
	t.unacknowledgedRPCs++
	t.append(Entry{Kind: KindRPC, At: now, Resource: resource, Version: version, RPC: rpc, Effect: effect, Outcome: outcome, From: attemptedAt})
}

// countDropped counts a single entry that there is no room for.
func (t *Trail) countDropped(now int64, key spanKey) {
	d := t.dropped[key]
	if d == nil {
		d = &droppedRPCs{from: now}
		t.dropped[key] = d
	}
	d.to = now
	d.count++
}

// flushIfDue flushes if it is time and there is room.
func (t *Trail) flushIfDue(now int64) {
	unsent := float64(t.seq - t.acknowledgedSeq)
	if now-t.flushedAt >= FlushInterval && unsent < float64(t.maxEntries)*unsentShare {
		t.Flush(now)
	}
}

// sortedKeys are the keys of a map in their order, so that the same acts make the same trail.
func sortedKeys[T any](spans map[spanKey]T) []spanKey {
	return slices.SortedFunc(maps.Keys(spans), func(a, b spanKey) int {
		return cmp.Or(cmp.Compare(a.resource, b.resource), cmp.Compare(a.version, b.version))
	})
}

// Flush enters what has gathered in spans, and ends those that are over.
func (t *Trail) Flush(now int64) {
	t.flushedAt = now
	for _, key := range sortedKeys(t.openSpans) {
		s := t.openSpans[key]
		counts := s.counts
		t.append(Entry{Kind: KindSpan, At: now, Resource: key.resource, Version: key.version, From: s.from, To: now, Counts: &counts, Count: uint64(s.inFlightAtStart)})
		s.from, s.counts, s.inFlightAtStart = now, Counts{}, s.inFlight
		if s.inFlight == 0 && t.active[key.resource] != key.version {
			delete(t.openSpans, key)
		}
	}
}

// FlushBeforeSend flushes for somebody who is about to tell the trail, but not more often than spans are entered: the last entry of what is told then says what
// this driver's clock showed at that time, whatever was flushed in between.
func (t *Trail) FlushBeforeSend(now int64) {
	if now-t.flushedForSendAt >= FlushInterval {
		t.flushedForSendAt = now
		t.Flush(now)
	}
}

// appendDropped enters what there was no room for.
func (t *Trail) appendDropped() {
	for _, key := range sortedKeys(t.dropped) {
		d := t.dropped[key]
		t.append(Entry{Kind: KindDropped, At: d.to, Resource: key.resource, Version: key.version, From: d.from, To: d.to, Count: d.count})
	}
	clear(t.dropped)
}

// Since gives the entries after one, which is the last that the voters hold, at most so many, the oldest first.
func (t *Trail) Since(seq uint64, maxEntries int) Segment {
	t.appendDropped()
	t.computeHashes()
	t.acknowledge(seq)
	segment := Segment{Instance: t.instance, Token: t.token, PreviousHash: t.oldestPreviousHash}
	if len(t.entries) > 0 {
		segment.OldestSeq = t.entries[0].Seq
	}
	for i, e := range t.entries {
		if e.Seq > seq {
			segment.Entries = slices.Clone(t.entries[i:min(len(t.entries), i+maxEntries)])
			break
		}
		segment.PreviousHash = e.Hash
	}
	return segment
}

// acknowledge notes up to which entry the voters hold the trail, which may be less than before: a successor may not have heard all.
func (t *Trail) acknowledge(seq uint64) {
	t.acknowledgedSeq, t.unacknowledgedRPCs = seq, 0
	for _, e := range t.entries {
		if e.Kind == KindRPC && e.Seq > seq {
			t.unacknowledgedRPCs++
		}
	}
}
