package audit

import (
	"cmp"
	"maps"
	"slices"

	"sedgespread/internal/versions"
)

// Trail is a driver's own audit trail, bounded by a number of entries. Entries that the voters have
// acknowledged are kept while there is room. KindRPC entries beyond rpcEntriesShare that are not
// acknowledged are dropped: a KindDropped entry then tells their number and time, and spans still
// count them. If too many other entries are unacknowledged the oldest are removed, which leaves a
// gap.
type Trail struct {
	instance           versions.Instance
	token              string
	maxEntries         int
	nearChange         int64 // RPCs attempted this soon after a change of version get a KindRPC entry
	oldestPreviousHash string
	lastHash           string
	seq                uint64
	entries            []Entry
	chained            int // number of entries whose hashes are computed
	openSpans          map[spanKey]*span
	active             map[versions.Resource]versions.Number
	changedAt          map[versions.Resource]int64 // when the active version changed last
	flushedAt          int64                       // when spans were recorded last
	flushedForSendAt   int64                       // when spans were recorded last before sending
	acknowledgedSeq    uint64                      // last entry that the voters acknowledged
	unacknowledgedRPCs int                         // KindRPC entries after acknowledgedSeq
	dropped            map[spanKey]*droppedRPCs    // dropped and not yet recorded as KindDropped
}

// droppedRPCs counts the KindRPC entries of a version that were dropped.
type droppedRPCs struct {
	from, to int64
	count    uint64
}

type spanKey struct {
	resource versions.Resource
	version  versions.Number
}

// span collects counts for a version that is active or has RPCs in flight.
type span struct {
	from            int64 // end of the last recorded span
	counts          Counts
	inFlight        int
	inFlightAtStart int
}

// FlushInterval is how often spans are recorded, in nanoseconds.
const FlushInterval = int64(250_000_000)

const (
	rpcEntriesShare        = 0.75 // of the entries, for KindRPC entries that are not acknowledged
	maxUnacknowledgedShare = 0.5  // of the entries; if more are unacknowledged, spans are recorded only before sending
)

const minEntries = 16

// NewTrail begins the trail of an instance, which keeps maxEntries entries, at least minEntries.
func NewTrail(now int64, instance versions.Instance, token string, maxEntries int, nearChange int64) *Trail {
	t := &Trail{instance: instance, token: token, maxEntries: max(maxEntries, minEntries), nearChange: nearChange,
		openSpans: map[spanKey]*span{}, active: map[versions.Resource]versions.Number{},
		changedAt: map[versions.Resource]int64{}, dropped: map[spanKey]*droppedRPCs{}, flushedAt: now}
	t.oldestPreviousHash = rootHash(instance, token)
	t.lastHash = t.oldestPreviousHash
	t.append(Entry{Kind: KindStart, At: now})
	return t
}

// append adds an entry. Hashes are computed later, to keep them off the path of RPCs.
func (t *Trail) append(e Entry) {
	t.seq++
	e.Seq = t.seq
	t.entries = append(t.entries, e)
	if len(t.entries) > t.maxEntries+t.maxEntries/8 {
		t.removeUpTo(t.seq - uint64(t.maxEntries)) // in batches, as this computes hashes
	}
}

// computeHashes computes the hashes that are still missing.
func (t *Trail) computeHashes() {
	for i := t.chained; i < len(t.entries); i++ {
		t.entries[i].Hash = t.entries[i].computeHash(t.lastHash)
		t.lastHash = t.entries[i].Hash
	}
	t.chained = len(t.entries)
}

// removeUpTo removes the entries up to and including seq.
func (t *Trail) removeUpTo(seq uint64) {
	t.computeHashes()
	for len(t.entries) > 0 && t.entries[0].Seq <= seq {
		t.oldestPreviousHash, t.entries, t.chained = t.entries[0].Hash, t.entries[1:], t.chained-1
	}
}

// RecordEpoch records that the driver learned of an epoch, and the version that it acts on from now
// on.
func (t *Trail) RecordEpoch(now int64, resource versions.Resource, epoch versions.Epoch, active versions.Number) {
	t.append(Entry{Kind: KindEpoch, At: now, Resource: resource, Epoch: epoch, Version: active})
	t.RecordActive(now, resource, active)
}

// RecordActive sets the version that the driver acts on from now on, 0 for none.
func (t *Trail) RecordActive(now int64, resource versions.Resource, active versions.Number) {
	if t.active[resource] == active {
		return
	}
	t.active[resource], t.changedAt[resource] = active, now
	if active != 0 {
		t.span(now, resource, active)
	}
}

// RecordObserved records the version of a resource that the council does not decide.
func (t *Trail) RecordObserved(now int64, resource versions.Resource, version versions.Number) {
	if t.active[resource] != version {
		t.active[resource] = version
		t.append(Entry{Kind: KindObserved, At: now, Resource: resource, Version: version})
	}
}

// span returns the open span of a version, and opens one if there is none.
func (t *Trail) span(now int64, resource versions.Resource, version versions.Number) *span {
	key := spanKey{resource, version}
	if t.openSpans[key] == nil {
		t.openSpans[key] = &span{from: now}
	}
	return t.openSpans[key]
}

// BeginRPC records that an RPC begins under a version.
func (t *Trail) BeginRPC(now int64, resource versions.Resource, version versions.Number) {
	t.flushIfDue(now)
	t.span(now, resource, version).inFlight++
}

// EndRPC records how an RPC ended and when its last attempt began, 0 if it had none. Only RPCs with
// an effect that were attempted near a change of version, or under another than the active one, get
// an entry of their own.
func (t *Trail) EndRPC(now int64, resource versions.Resource, version versions.Number, rpc string, effect Effect,
	outcome Outcome, attemptedAt int64) {
	t.flushIfDue(now)
	s := t.span(now, resource, version)
	s.inFlight = max(0, s.inFlight-1)
	s.counts[effect][outcome]++
	if attemptedAt == 0 || effect < Deduplicated ||
		version == t.active[resource] && attemptedAt-t.changedAt[resource] > t.nearChange {
		return
	}
	if t.unacknowledgedRPCs >= int(float64(t.maxEntries)*rpcEntriesShare) {
		t.countDropped(now, spanKey{resource, version})
		return
	}
	t.unacknowledgedRPCs++
	t.append(Entry{Kind: KindRPC, At: now, Resource: resource, Version: version, RPC: rpc, Effect: effect,
		Outcome: outcome, From: attemptedAt})
}

// countDropped counts a KindRPC entry that there is no room for.
func (t *Trail) countDropped(now int64, key spanKey) {
	d := t.dropped[key]
	if d == nil {
		d = &droppedRPCs{from: now}
		t.dropped[key] = d
	}
	d.to = now
	d.count++
}

// flushIfDue flushes once per interval while there is room.
func (t *Trail) flushIfDue(now int64) {
	unacknowledged := float64(t.seq - t.acknowledgedSeq)
	if now-t.flushedAt >= FlushInterval && unacknowledged < float64(t.maxEntries)*maxUnacknowledgedShare {
		t.Flush(now)
	}
}

// sortedKeys returns the keys in order, so that trails are deterministic.
func sortedKeys[T any](m map[spanKey]T) []spanKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b spanKey) int {
		return cmp.Or(cmp.Compare(a.resource, b.resource), cmp.Compare(a.version, b.version))
	})
}

// Flush records all open spans, and closes those that are neither active nor have RPCs in flight.
func (t *Trail) Flush(now int64) {
	t.flushedAt = now
	for _, key := range sortedKeys(t.openSpans) {
		s := t.openSpans[key]
		counts := s.counts
		t.append(Entry{Kind: KindSpan, At: now, Resource: key.resource, Version: key.version, From: s.from, To: now,
			Counts: &counts, Count: uint64(s.inFlightAtStart)})
		s.from, s.counts, s.inFlightAtStart = now, Counts{}, s.inFlight
		if s.inFlight == 0 && t.active[key.resource] != key.version {
			delete(t.openSpans, key)
		}
	}
}

// FlushBeforeSend flushes before the trail is sent, at most once per FlushInterval, even if
// flushIfDue has just flushed: the last entry sent then carries the current time, from which the
// receiver derives the clock offset.
func (t *Trail) FlushBeforeSend(now int64) {
	if now-t.flushedForSendAt >= FlushInterval {
		t.flushedForSendAt = now
		t.Flush(now)
	}
}

// appendDropped records the dropped entries.
func (t *Trail) appendDropped() {
	for _, key := range sortedKeys(t.dropped) {
		d := t.dropped[key]
		t.append(Entry{Kind: KindDropped, At: d.to, Resource: key.resource, Version: key.version, From: d.from, To: d.to,
			Count: d.count})
	}
	clear(t.dropped)
}

// Since returns up to maxEntries entries after seq, the last entry that the voters hold.
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

// acknowledge sets the last entry that the voters hold. It may go back, as a new leader may have
// received less.
func (t *Trail) acknowledge(seq uint64) {
	t.acknowledgedSeq, t.unacknowledgedRPCs = seq, 0
	for _, e := range t.entries {
		if e.Kind == KindRPC && e.Seq > seq {
			t.unacknowledgedRPCs++
		}
	}
}
