package audit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/versions"
)

const (
	second       = int64(1_000_000_000)
	testResource = versions.Resource("book")
)

var testInstance = versions.Instance{Name: "a", Start: 1}

func newTrail(maxEntries int) *Trail { return NewTrail(0, testInstance, "token", maxEntries, second) }

// Guards against RPCs that are lost or counted twice, and spans that end too early.
func TestCountsAndRPCEntries(t *testing.T) {
	trail := newTrail(100)
	trail.RecordEpoch(1, testResource, 1, 1)
	trail.BeginRPC(2, testResource, 1)
	trail.BeginRPC(2, testResource, 1)
	trail.EndRPC(3, testResource, 1, "w1", NonIdempotent, Served, 3)
	trail.Flush(10)
	trail.RecordEpoch(20, testResource, 2, 2)
	trail.BeginRPC(21, testResource, 2)
	trail.EndRPC(22, testResource, 2, "r1", Read, PushedBack, 22)
	trail.EndRPC(30, testResource, 1, "w2", Deduplicated, Aborted, 30)
	trail.Flush(40)
	trail.EndRPC(50+3*second, testResource, 2, "late", NonIdempotent, Served, 50+3*second)
	trail.Flush(60 + 3*second)
	segment := trail.Since(0, 100)
	validCount, err := segment.Verify()
	require.NoError(t, err)
	require.Len(t, segment.Entries, validCount)
	collection := NewCollection(100)
	require.EqualValues(t, validCount, collection.Add(segment))
	activities := collection.Activities(Query{Resource: testResource})
	require.Len(t, activities, 2)
	require.Equal(t, Counts{NonIdempotent: {Served: 1}, Deduplicated: {Aborted: 1}}, activities[0].Counts)
	require.Equal(t, 2, activities[0].RPCEntries)
	require.EqualValues(t, 1, activities[0].From)
	require.EqualValues(t, 40, activities[0].To, "until the last RPC ended")
	require.EqualValues(t, 1, activities[1].RPCEntries+int(activities[1].Counts.ByOutcome(PushedBack))+0)
	require.EqualValues(t, 2, activities[1].Counts.Total())
	require.Len(t, collection.Activities(Query{Resource: testResource, Version: 2, From: 30}), 1)
	require.Empty(t, collection.Activities(Query{Resource: "other"}))
	require.Empty(t, collection.Activities(Query{Driver: "b"}))
	require.Empty(t, collection.Activities(Query{Version: 1, From: second}))
	require.Empty(t, collection.LateActivities(testResource, 2, 3, 45, 100), "ended before the rollout completed")
}

// Guards against changed, missing or foreign entries that are not detected.
func TestVerifyHashChain(t *testing.T) {
	trail := newTrail(1000)
	trail.RecordEpoch(0, testResource, 1, 1)
	for i := range 20 {
		trail.BeginRPC(int64(i), testResource, 1)
		trail.EndRPC(int64(i), testResource, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	segment := trail.Since(0, 1000)
	n := len(segment.Entries)
	for i := range n {
		changed := segment
		changed.Entries = append([]Entry(nil), segment.Entries...)
		changed.Entries[i].Version = 7
		validCount, err := changed.Verify()
		require.ErrorContains(t, err, fmt.Sprintf("entry %d was changed", i+1))
		require.Equal(t, i, validCount)
		changed.Entries = append(append([]Entry(nil), segment.Entries[:i]...), segment.Entries[i+1:]...)
		validCount, err = changed.Verify()
		require.True(t, err != nil || i == n-1, "missing entry")
		require.Equal(t, i, validCount)
	}
	foreign := segment
	foreign.Instance.Start = 2
	_, err := foreign.Verify()
	require.ErrorContains(t, err, "not rooted in its start")
	collection := NewCollection(1000)
	require.Zero(t, collection.Add(foreign))
	require.Len(t, collection.Faults(), 1)
	middle := trail.Since(5, 3)
	_, err = middle.Verify()
	require.NoError(t, err, "segment from the middle")
	middle.PreviousHash = "x"
	_, err = middle.Verify()
	require.Error(t, err)
}

// Guards against segments that arrive late, twice, out of order or from several voters.
func TestMergeSegments(t *testing.T) {
	trail := newTrail(1000)
	trail.RecordEpoch(0, testResource, 1, 1)
	for i := range 30 {
		trail.BeginRPC(int64(i), testResource, 1)
		trail.EndRPC(int64(i), testResource, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	first, second := NewCollection(1000), NewCollection(1000)
	first.Add(trail.Since(0, 10))
	first.Add(trail.Since(0, 10))
	first.Add(trail.Since(5, 10))
	second.Add(trail.Since(15, 100))
	require.EqualValues(t, 15, first.LastSeq(testInstance))
	merged := NewCollection(1000)
	merged.Merge(append(second.Segments(), first.Segments()...))
	require.Empty(t, merged.Faults())
	require.Len(t, merged.Segments()[0].Entries, 32)
	require.EqualValues(t, 15, first.Add(trail.Since(20, 3)), "the missing entries come first")
	afterGap := trail.Since(20, 3)
	afterGap.OldestSeq = 20
	require.EqualValues(t, 23, first.Add(afterGap), "unless the driver removed them")
	require.Len(t, first.Segments(), 2)
	require.Contains(t, fmt.Sprint(first.Gaps([]Lifetime{{testInstance, 0, 0, true}})), "entries 16 to 20 are not held")
	for _, segment := range first.Segments() {
		_, err := segment.Verify()
		require.NoError(t, err)
	}
	first.Merge(second.Segments())
	require.Empty(t, first.Faults())
	require.EqualValues(t, 32, first.LastSeq(testInstance))
	forged := trail.Since(0, 1)
	forged.Token = "another"
	forged.PreviousHash = rootHash(testInstance, "another")
	forged.Entries[0].Hash = forged.Entries[0].computeHash(forged.PreviousHash)
	merged.Add(forged)
	require.Contains(t, strings.Join(merged.Faults(), " "), "two trails say that they are its")
}

func (s Segment) verify() (int, error) { return s.Verify() }

// Guards against RPC entries that are lost while a driver can't reach the council, although the
// trail has room.
func TestUnacknowledgedTrailKeepsRPCEntries(t *testing.T) {
	const writes = 3000
	trail := NewTrail(0, testInstance, "token", 8192, 10*second)
	trail.RecordEpoch(0, testResource, 1, 1)
	for i := range int64(writes) {
		trail.BeginRPC(i*second/2000, testResource, 1)
		trail.EndRPC(i*second/2000, testResource, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	segment := trail.Since(0, 10_000)
	rpcEntries, spans := 0, 0
	for _, e := range segment.Entries {
		switch e.Kind {
		case KindRPC:
			rpcEntries++
		case KindSpan:
			spans++
			require.LessOrEqual(t, e.To-e.From, 2*FlushInterval)
		case KindDropped:
			require.Fail(t, "entries were dropped", e)
		}
	}
	require.Equal(t, writes, rpcEntries, "all are near the change")
	require.GreaterOrEqual(t, spans, int(writes*second/2000/FlushInterval)-1)
}

// Guards against RPC entries that are dropped without a record: they must stay in the counts and
// show as a gap.
func TestDroppedRPCEntriesAreCounted(t *testing.T) {
	const maxEntries, writes = 64, 500
	trail := newTrail(maxEntries)
	trail.RecordEpoch(0, testResource, 1, 1)
	for i := range int64(writes) {
		trail.BeginRPC(i, testResource, 1)
		trail.EndRPC(i, testResource, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	trail.Flush(writes)
	collection := NewCollection(1000)
	collection.Add(trail.Since(0, 1000))
	require.Empty(t, collection.Faults())
	activities := collection.Activities(Query{Resource: testResource, Version: 1})
	require.Len(t, activities, 1)
	require.EqualValues(t, writes, activities[0].Counts.Total(), "all are counted")
	require.EqualValues(t, writes, activities[0].RPCEntries+int(activities[0].Dropped), "each has an entry or is counted as dropped")
	require.Positive(t, activities[0].RPCEntries)
	gaps := collection.Gaps([]Lifetime{{testInstance, 0, 0, true}})
	require.Len(t, gaps, 1)
	require.Equal(t, Gap{testInstance, int64(activities[0].RPCEntries), writes - 1,
		fmt.Sprintf("%d single entries of version 1 of book were not kept", activities[0].Dropped)}, gaps[0])
	require.Empty(t, collection.Activities(Query{Version: 2, Resource: testResource}), "no activity under another version")
}

// Guards against unbounded memory, and trails that can't be verified after their oldest entries
// were removed.
func TestTrailsAreBounded(t *testing.T) {
	const maxEntries, writes = 20, 1024
	trail := newTrail(maxEntries)
	trail.RecordEpoch(0, testResource, 1, 1)
	for i := range writes {
		trail.BeginRPC(1, testResource, 1)
		trail.EndRPC(1, testResource, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
		if i%8 == 0 {
			trail.RecordEpoch(1, "other", versions.Epoch(i), 1)
		}
	}
	trail.Flush(2)
	segment := trail.Since(0, 1000)
	require.LessOrEqual(t, len(segment.Entries), maxEntries+maxEntries/8)
	require.GreaterOrEqual(t, len(segment.Entries), maxEntries-maxEntries/8)
	_, err := segment.Verify()
	require.NoError(t, err)
	last := segment.Entries[len(segment.Entries)-1]
	require.Equal(t, KindDropped, last.Kind)
	require.EqualValues(t, writes-maxEntries*rpcEntriesShare, last.Count)
	collection := NewCollection(8)
	collection.Add(segment)
	require.Len(t, collection.Segments()[0].Entries, 8)
	_, err = collection.Segments()[0].verify()
	require.NoError(t, err)
	require.EqualValues(t, last.Count, collection.Activities(Query{Resource: testResource})[0].Dropped)
}

// Guards against entries that are still dropped after the voters have acknowledged the earlier
// ones.
func TestAcknowledgedEntriesFreeRoom(t *testing.T) {
	trail := newTrail(64)
	trail.RecordEpoch(0, testResource, 1, 1)
	write := func(count int) {
		for i := range count {
			trail.BeginRPC(1, testResource, 1)
			trail.EndRPC(1, testResource, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
		}
	}
	collection := NewCollection(1000)
	for range 10 {
		write(40)
		for acknowledged := uint64(1); collection.LastSeq(testInstance) != acknowledged; {
			acknowledged = collection.LastSeq(testInstance)
			collection.Add(trail.Since(acknowledged, 16))
		}
	}
	trail.Flush(2)
	collection.Add(trail.Since(collection.LastSeq(testInstance), 1000))
	activities := collection.Activities(Query{Resource: testResource})
	require.Equal(t, 400, activities[0].RPCEntries)
	require.Zero(t, activities[0].Dropped)
}

// Guards against a late act that is not found, and one that is reported within the clock error.
func TestLateActivities(t *testing.T) {
	trail := NewTrail(0, testInstance, "token", 100, 10*second)
	trail.RecordEpoch(0, testResource, 1, 1)
	trail.BeginRPC(5*second, testResource, 1)
	trail.EndRPC(5*second, testResource, 1, "uncertain", NonIdempotent, Served, 5*second)
	trail.RecordEpoch(6*second, testResource, 9, 2)
	trail.EndRPC(6*second, testResource, 1, "certain", NonIdempotent, Served, 6*second)
	collection := NewCollection(100)
	collection.Add(withKnownOffset(trail.Since(0, 100)))
	late := collection.LateActivities(testResource, 2, 9, 4*second, 2*second)
	require.Len(t, late, 1)
	require.True(t, late[0].IsCertain)
	require.Equal(t, "certain", late[0].RPC)
	require.Len(t, collection.LateActivities(testResource, 2, 9, 4*second, second/2), 2, "a smaller clock error finds more")
	require.Empty(t, collection.LateActivities(testResource, 1, 9, 0, 0))
}

// Guards against a missing entry for an RPC that was attempted near a change of version but ended
// later.
func TestRPCEntryDependsOnAttemptTime(t *testing.T) {
	trail := newTrail(100)
	trail.RecordEpoch(0, testResource, 1, 1)
	trail.BeginRPC(second-1, testResource, 1)
	trail.EndRPC(second+1, testResource, 1, "near", NonIdempotent, Served, second-1)
	trail.BeginRPC(second+1, testResource, 1)
	trail.EndRPC(second+2, testResource, 1, "after", NonIdempotent, Served, second+1)
	collection := NewCollection(100)
	collection.Add(trail.Since(0, 100))
	require.Equal(t, 1, collection.Activities(Query{Resource: testResource})[0].RPCEntries)
}

// Guards against RPCs reported as late because a paused driver ended them late: what counts is the
// last attempt.
func TestLateEndOfEarlierAttempt(t *testing.T) {
	trail := newTrail(100)
	trail.RecordEpoch(0, testResource, 1, 1)
	for range 4 {
		trail.BeginRPC(second, testResource, 1)
	}
	trail.Flush(second)
	trail.EndRPC(9*second, testResource, 1, "acted before", NonIdempotent, Aborted, second)
	trail.EndRPC(9*second, testResource, 1, "never acted", NonIdempotent, PushedBack, 0)
	trail.EndRPC(9*second, testResource, 1, "read before", Read, ClientLeft, second)
	trail.Flush(9 * second)
	trail.RecordEpoch(9*second, testResource, 9, 2)
	trail.EndRPC(9*second, testResource, 1, "before it learned", Deduplicated, ClientLeft, second)
	trail.Flush(10 * second)
	collection := NewCollection(100)
	collection.Add(withKnownOffset(trail.Since(0, 100)))
	require.Empty(t, collection.LateActivities(testResource, 2, 9, 5*second, second))
	require.EqualValues(t, 4, collection.Activities(Query{Version: 1})[0].Counts.Total())

	trail.BeginRPC(11*second, testResource, 1)
	trail.EndRPC(11*second, testResource, 1, "read after", Read, Served, 11*second)
	trail.Flush(11 * second)
	collection.Add(trail.Since(collection.LastSeq(testInstance), 100))
	late := collection.LateActivities(testResource, 2, 9, 5*second, second)
	require.Len(t, late, 1, "late although it has no entry of its own")
	require.Empty(t, late[0].RPC)
}

// withKnownOffset returns the segment with a clock offset of 0.
func withKnownOffset(segment Segment) Segment {
	segment.IsClockOffsetKnown = true
	return segment
}

// Guards against a driver with a wrong clock being reported as late: a segment must end in a span
// recorded just before sending, from which the clock offset is derived.
func TestClockOffsetFromSentSegments(t *testing.T) {
	const ahead = 100 * second
	trail := NewTrail(ahead, testInstance, "token", 1000, 10*second)
	trail.RecordEpoch(ahead, testResource, 1, 1)
	collection := NewCollection(1000)
	for now := int64(0); now < 5*second; now += second / 100 {
		trail.BeginRPC(ahead+now, testResource, 1)
		trail.EndRPC(ahead+now, testResource, 1, "w", NonIdempotent, Served, ahead+now)
		if now%(second/3) < second/100 { // sent three times a second
			trail.FlushBeforeSend(ahead + now)
			collection.Add(trail.Since(collection.LastSeq(testInstance), 64).WithClockOffset(now))
		}
	}
	require.Empty(t, collection.LateActivities(testResource, 2, 9, 6*second, 0))
	require.Empty(t, collection.Gaps([]Lifetime{{testInstance, 0, 5 * second, true}}))
	require.NotEmpty(t, collection.LateActivities(testResource, 2, 9, 2*second, 0))

	unsynchronized := NewCollection(1000)
	segment := trail.Since(0, 50)
	unsynchronized.Add(segment)
	require.Empty(t, unsynchronized.LateActivities(testResource, 2, 9, 2*second, 0), "clock offset is not known")
	lifetimes := []Lifetime{{testInstance, 0, 5 * second, true}}
	require.Contains(t, fmt.Sprint(unsynchronized.UnorderedActivities(testResource, 2, lifetimes)), "its clock was not compared")
	require.Empty(t, unsynchronized.UnorderedActivities(testResource, 1, lifetimes))
	require.Empty(t, collection.UnorderedActivities(testResource, 2, lifetimes))
}

// Guards against gaps that are reported in the driver's own time, with a clock that is minutes off.
func TestGapsUseClockOffset(t *testing.T) {
	trail := NewTrail(500*second, testInstance, "token", 100, second)
	trail.RecordEpoch(500*second, testResource, 1, 1)
	collection := NewCollection(100)
	for i := range int64(3) {
		trail.Flush((501 + i) * second)
		collection.Add(trail.Since(collection.LastSeq(testInstance), 100).WithClockOffset((1+i)*second + i*second/10))
	}
	gaps := collection.Gaps([]Lifetime{{testInstance, 0, 5 * second, false}})
	require.Equal(t, []Gap{{testInstance, 3 * second, 5 * second, "it ended, or was not heard, after its last entry"}}, gaps)
	merged := NewCollection(100)
	merged.Merge(collection.Segments())
	require.Equal(t, gaps, merged.Gaps([]Lifetime{{testInstance, 0, 5 * second, false}}))
}

// Guards against gaps that are not reported.
func TestGaps(t *testing.T) {
	trail := newTrail(100)
	trail.RecordEpoch(5, testResource, 1, 1)
	collection := NewCollection(100)
	collection.Add(trail.Since(1, 100))
	ended, unheard := testInstance, versions.Instance{Name: "b", Start: 3}
	gaps := collection.Gaps([]Lifetime{{ended, 1, 50, false}, {unheard, 60, 70, true}, {testInstance, 1, 90, true}})
	require.Len(t, gaps, 4)
	require.Equal(t, Gap{ended, 1, 5, "entries 1 to 1 are not held"}, gaps[0])
	require.Equal(t, Gap{ended, 5, 50, "it ended, or was not heard, after its last entry"}, gaps[1])
	require.Equal(t, Gap{unheard, 60, 70, "nothing of its trail was heard"}, gaps[2])
}

// Guards against missing answers to which discovery list or build a driver used at a given time.
func TestActivitiesOfObservedResources(t *testing.T) {
	instance := versions.Instance{Name: "a", Start: 1}
	trail := NewTrail(0, instance, "token", 100, 0)
	trail.RecordObserved(10, versions.DiscoveryList, 7)
	trail.RecordObserved(20, versions.DiscoveryList, 7)
	trail.RecordObserved(30, versions.Build, 1)
	trail.RecordObserved(40, versions.DiscoveryList, 9)
	trail.Flush(50)
	trail.RecordActive(60, "x", 2)
	trail.Flush(70)
	collection := NewCollection(100)
	collection.Add(trail.Since(0, 100))
	require.Empty(t, collection.Faults())
	require.Equal(t, []Activity{
		{Instance: instance, Resource: versions.DiscoveryList, Version: 7, From: 10, To: 40},
		{Instance: instance, Resource: versions.DiscoveryList, Version: 9, From: 40, To: 70},
	}, collection.Activities(Query{Resource: versions.DiscoveryList}))
	require.Len(t, collection.Activities(Query{Resource: versions.DiscoveryList, From: 41}), 1)
	require.Len(t, collection.Activities(Query{Resource: versions.DiscoveryList, To: 39}), 1)
	require.Len(t, collection.Activities(Query{Resource: versions.Build, Version: 1}), 1)
	require.Len(t, collection.Activities(Query{}), 4)
	require.Empty(t, collection.LateActivities(versions.DiscoveryList, 9, 0, 0, 0), "observed resources have no rollouts")
}
