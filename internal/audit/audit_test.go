package audit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/versions"
)

const (
	second = int64(1_000_000_000)
	book   = versions.Resource("book")
)

var who = versions.Instance{Name: "a", Start: 1}

func newTrail(most int) *Trail { return NewTrail(0, who, "token", most, second) }

// Guards against counts that are lost or told twice, and spans that end too early.
func TestCountsAndRPCEntries(t *testing.T) {
	r := newTrail(100)
	r.RecordEpoch(1, book, 1, 1)
	r.BeginRPC(2, book, 1)
	r.BeginRPC(2, book, 1)
	r.EndRPC(3, book, 1, "w1", NonIdempotent, Served, 3)
	r.Flush(10)
	r.RecordEpoch(20, book, 2, 2)
	r.BeginRPC(21, book, 2)
	r.EndRPC(22, book, 2, "r1", Read, PushedBack, 22)
	r.EndRPC(30, book, 1, "w2", Deduplicated, Aborted, 30)
	r.Flush(40)
	r.EndRPC(50+3*second, book, 2, "late", NonIdempotent, Served, 50+3*second)
	r.Flush(60 + 3*second)
	p := r.Since(0, 100)
	holds, err := p.Verify()
	require.NoError(t, err)
	require.Len(t, p.Entries, holds)
	c := NewCollection(100)
	require.EqualValues(t, holds, c.Add(p))
	all := c.Activities(Query{Resource: book})
	require.Len(t, all, 2)
	require.Equal(t, Counts{NonIdempotent: {Served: 1}, Deduplicated: {Aborted: 1}}, all[0].Counts)
	require.Equal(t, 2, all[0].RPCEntries)
	require.EqualValues(t, 1, all[0].From)
	require.EqualValues(t, 40, all[0].To, "as long as something was in flight")
	require.EqualValues(t, 1, all[1].RPCEntries+int(all[1].Counts.ByOutcome(PushedBack))+0)
	require.EqualValues(t, 2, all[1].Counts.Total())
	require.Len(t, c.Activities(Query{Resource: book, Version: 2, From: 30}), 1)
	require.Empty(t, c.Activities(Query{Resource: "other"}))
	require.Empty(t, c.Activities(Query{Driver: "b"}))
	require.Empty(t, c.Activities(Query{Version: 1, From: second}))
	require.Empty(t, c.LateActivities(book, 2, 3, 45, 100), "what had begun and ended before the closing")
}

// Guards against a trail that was changed, cut, or has a piece of another in it.
func TestVerifyHashChain(t *testing.T) {
	r := newTrail(1000)
	r.RecordEpoch(0, book, 1, 1)
	for i := range 20 {
		r.BeginRPC(int64(i), book, 1)
		r.EndRPC(int64(i), book, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	whole := r.Since(0, 1000)
	n := len(whole.Entries)
	for i := range n {
		p := whole
		p.Entries = append([]Entry(nil), whole.Entries...)
		p.Entries[i].Version = 7
		holds, err := p.Verify()
		require.ErrorContains(t, err, fmt.Sprintf("entry %d was changed", i+1))
		require.Equal(t, i, holds)
		p.Entries = append(append([]Entry(nil), whole.Entries[:i]...), whole.Entries[i+1:]...)
		holds, err = p.Verify()
		require.True(t, err != nil || i == n-1, "an entry left out")
		require.Equal(t, i, holds)
	}
	other := whole
	other.Instance.Start = 2
	_, err := other.Verify()
	require.ErrorContains(t, err, "not rooted in its start")
	c := NewCollection(1000)
	require.Zero(t, c.Add(other))
	require.Len(t, c.Faults(), 1)
	part := r.Since(5, 3)
	_, err = part.Verify()
	require.NoError(t, err, "a piece from the middle holds together")
	part.PreviousHash = "x"
	_, err = part.Verify()
	require.Error(t, err)
}

// Guards against pieces that come late, twice, in another order or from several voters.
func TestMergeSegments(t *testing.T) {
	r := newTrail(1000)
	r.RecordEpoch(0, book, 1, 1)
	for i := range 30 {
		r.BeginRPC(int64(i), book, 1)
		r.EndRPC(int64(i), book, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	one, other := NewCollection(1000), NewCollection(1000)
	one.Add(r.Since(0, 10))
	one.Add(r.Since(0, 10))
	one.Add(r.Since(5, 10))
	other.Add(r.Since(15, 100))
	require.EqualValues(t, 15, one.LastSeq(who))
	all := NewCollection(1000)
	all.Merge(append(other.Segments(), one.Segments()...))
	require.Empty(t, all.Faults())
	require.Len(t, all.Segments()[0].Entries, 32)
	require.EqualValues(t, 15, one.Add(r.Since(20, 3)), "what lies between is to be told first")
	behind := r.Since(20, 3)
	behind.OldestSeq = 20
	require.EqualValues(t, 23, one.Add(behind), "unless its driver does not have it any more")
	require.Len(t, one.Segments(), 2)
	require.Contains(t, fmt.Sprint(one.Gaps([]Lifetime{{who, 0, 0, true}})), "entries 16 to 20 are not held")
	for _, p := range one.Segments() {
		_, err := p.Verify()
		require.NoError(t, err)
	}
	one.Merge(other.Segments())
	require.Empty(t, one.Faults())
	require.EqualValues(t, 32, one.LastSeq(who))
	forged := r.Since(0, 1)
	forged.Token = "another"
	forged.PreviousHash = root(who, "another")
	forged.Entries[0].Hash = forged.Entries[0].hashed(forged.PreviousHash)
	all.Add(forged)
	require.Contains(t, strings.Join(all.Faults(), " "), "two trails say that they are its")
}

func (p Segment) verify() (int, error) { return p.Verify() }

// A driver that is cut off from the council tells nothing, and it is its acts that the audit is for. Its trail used to keep 512 single entries
// between two flushes, and was flushed only as it was told: in a night (seed 305 of a trial) 11 of 1,846 writes went missing, all in the last 16 ms of
// 600 in which 523 had ended. Now it flushes by its own clock, and keeps what nobody was told of as long as it has room.
func TestUnsentTrailKeepsRPCEntries(t *testing.T) {
	const writes = 3000
	r := NewTrail(0, who, "token", 8192, 10*second)
	r.RecordEpoch(0, book, 1, 1)
	for i := range int64(writes) {
		r.BeginRPC(i*second/2000, book, 1)
		r.EndRPC(i*second/2000, book, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	p := r.Since(0, 10_000)
	singles, spans := 0, 0
	for _, e := range p.Entries {
		switch e.Kind {
		case KindRPC:
			singles++
		case KindSpan:
			spans++
			require.LessOrEqual(t, e.To-e.From, 2*FlushInterval)
		case KindDropped:
			require.Fail(t, "entries were dropped", e)
		}
	}
	require.Equal(t, writes, singles, "all of them are near the change")
	require.GreaterOrEqual(t, spans, int(writes*second/2000/FlushInterval)-1)
}

// Where a trail has no more room for single entries that nobody was told of, it says which version they were of, how many, and from when to when;
// the audit then calls that time unknown, and has them in the counts.
func TestDroppedRPCEntriesAreCounted(t *testing.T) {
	const room, writes = 64, 500
	r := newTrail(room)
	r.RecordEpoch(0, book, 1, 1)
	for i := range int64(writes) {
		r.BeginRPC(i, book, 1)
		r.EndRPC(i, book, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
	}
	r.Flush(writes)
	c := NewCollection(1000)
	c.Add(r.Since(0, 1000))
	require.Empty(t, c.Faults())
	acted := c.Activities(Query{Resource: book, Version: 1})
	require.Len(t, acted, 1)
	require.EqualValues(t, writes, acted[0].Counts.Total(), "all are counted")
	require.EqualValues(t, writes, acted[0].RPCEntries+int(acted[0].Dropped), "each is entered or said to be dropped")
	require.Positive(t, acted[0].RPCEntries)
	unknown := c.Gaps([]Lifetime{{who, 0, 0, true}})
	require.Len(t, unknown, 1)
	require.Equal(t, Gap{who, int64(acted[0].RPCEntries), writes - 1, fmt.Sprintf("%d single entries of version 1 of book were not kept", acted[0].Dropped)}, unknown[0])
	require.Empty(t, c.Activities(Query{Version: 2, Resource: book}), "another version has none")
}

// Guards against memory that grows: the oldest go first, also where nobody was told of them, and what is left still holds together.
func TestTrailsAreBounded(t *testing.T) {
	const most, writes = 20, 1024
	r := newTrail(most)
	r.RecordEpoch(0, book, 1, 1)
	for i := range writes {
		r.BeginRPC(1, book, 1)
		r.EndRPC(1, book, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
		if i%8 == 0 {
			r.RecordEpoch(1, "other", versions.Epoch(i), 1)
		}
	}
	r.Flush(2)
	p := r.Since(0, 1000)
	require.LessOrEqual(t, len(p.Entries), most+most/8)
	require.GreaterOrEqual(t, len(p.Entries), most-most/8)
	_, err := p.Verify()
	require.NoError(t, err)
	last := p.Entries[len(p.Entries)-1]
	require.Equal(t, KindDropped, last.Kind)
	require.EqualValues(t, writes-most*singlesShare, last.Count)
	c := NewCollection(8)
	c.Add(p)
	require.Len(t, c.Segments()[0].Entries, 8)
	_, err = c.Segments()[0].verify()
	require.NoError(t, err)
	require.EqualValues(t, last.Count, c.Activities(Query{Resource: book})[0].Dropped)
}

// Guards against room that is not given back: once the voters hold what was entered, single entries are kept again.
func TestAcknowledgedEntriesFreeRoom(t *testing.T) {
	r := newTrail(64)
	r.RecordEpoch(0, book, 1, 1)
	write := func(count int) {
		for i := range count {
			r.BeginRPC(1, book, 1)
			r.EndRPC(1, book, 1, fmt.Sprint("w", i), NonIdempotent, Served, 1)
		}
	}
	c := NewCollection(1000)
	for range 10 {
		write(40)
		for had := uint64(1); c.LastSeq(who) != had; {
			had = c.LastSeq(who)
			c.Add(r.Since(had, 16))
		}
	}
	r.Flush(2)
	c.Add(r.Since(c.LastSeq(who), 1000))
	acted := c.Activities(Query{Resource: book})
	require.Equal(t, 400, acted[0].RPCEntries)
	require.Zero(t, acted[0].Dropped)
}

// Guards against an act on a closed version that nobody finds, and one that is found where clocks can't tell.
func TestLateActivities(t *testing.T) {
	r := NewTrail(0, who, "token", 100, 10*second)
	r.RecordEpoch(0, book, 1, 1)
	r.BeginRPC(5*second, book, 1)
	r.EndRPC(5*second, book, 1, "in doubt", NonIdempotent, Served, 5*second)
	r.RecordEpoch(6*second, book, 9, 2)
	r.EndRPC(6*second, book, 1, "sure", NonIdempotent, Served, 6*second)
	c := NewCollection(100)
	c.Add(compared(r.Since(0, 100)))
	late := c.LateActivities(book, 2, 9, 4*second, 2*second)
	require.Len(t, late, 1)
	require.True(t, late[0].IsCertain)
	require.Equal(t, "sure", late[0].RPC)
	require.Len(t, c.LateActivities(book, 2, 9, 4*second, second/2), 2, "clocks that differ by less tell more")
	require.Empty(t, c.LateActivities(book, 1, 9, 0, 0))
}

// Guards against a write that reached a member just before the time near a change was over and ended after it: seed 40 of TestAuditSoak missed one that
// came 4.998 s after the change. What counts is when it was attempted.
func TestRPCEntryDependsOnAttemptTime(t *testing.T) {
	r := newTrail(100)
	r.RecordEpoch(0, book, 1, 1)
	r.BeginRPC(second-1, book, 1)
	r.EndRPC(second+1, book, 1, "near", NonIdempotent, Served, second-1)
	r.BeginRPC(second+1, book, 1)
	r.EndRPC(second+2, book, 1, "after", NonIdempotent, Served, second+1)
	c := NewCollection(100)
	c.Add(r.Since(0, 100))
	require.Equal(t, 1, c.Activities(Query{Resource: book})[0].RPCEntries)
}

// The night of 1,000 versions called 12 acts late that were not. A driver that stands still past its lease ends, when it goes on, what it had begun:
// entries were dated by that end. What counts is when the last attempt was let begin; an RPC that had none did nothing.
func TestLateEndOfEarlierAttempt(t *testing.T) {
	r := newTrail(100)
	r.RecordEpoch(0, book, 1, 1)
	for range 4 {
		r.BeginRPC(second, book, 1)
	}
	r.Flush(second)
	r.EndRPC(9*second, book, 1, "acted before", NonIdempotent, Aborted, second)
	r.EndRPC(9*second, book, 1, "never acted", NonIdempotent, PushedBack, 0)
	r.EndRPC(9*second, book, 1, "read before", Read, ClientLeft, second)
	r.Flush(9 * second)
	r.RecordEpoch(9*second, book, 9, 2)
	r.EndRPC(9*second, book, 1, "before it learned", Deduplicated, ClientLeft, second)
	r.Flush(10 * second)
	c := NewCollection(100)
	c.Add(compared(r.Since(0, 100)))
	require.Empty(t, c.LateActivities(book, 2, 9, 5*second, second))
	require.EqualValues(t, 4, c.Activities(Query{Version: 1})[0].Counts.Total())

	r.BeginRPC(11*second, book, 1)
	r.EndRPC(11*second, book, 1, "read after", Read, Served, 11*second)
	r.Flush(11 * second)
	c.Add(r.Since(c.LastSeq(who), 100))
	late := c.LateActivities(book, 2, 9, 5*second, second)
	require.Len(t, late, 1, "what began after the closing is late, also where it is only counted")
	require.Empty(t, late[0].RPC)
}

// compared is a part of a trail whose driver's clock is that of the voters.
func compared(p Segment) Segment {
	p.IsClockOffsetKnown = true
	return p
}

// A driver whose clock was minutes ahead was said to be late 472 times in a night of 300 versions: its spans were entered by its own clock between two
// tellings, so that none of what it told ended in one made just then, by which clocks are compared.
func TestClockOffsetFromSentSegments(t *testing.T) {
	const ahead = 100 * second
	r := NewTrail(ahead, who, "token", 1000, 10*second)
	r.RecordEpoch(ahead, book, 1, 1)
	c := NewCollection(1000)
	for now := int64(0); now < 5*second; now += second / 100 {
		r.BeginRPC(ahead+now, book, 1)
		r.EndRPC(ahead+now, book, 1, "w", NonIdempotent, Served, ahead+now)
		if now%(second/3) < second/100 { // told three times a second
			r.FlushBeforeSend(ahead + now)
			c.Add(r.Since(c.LastSeq(who), 64).WithClockOffset(now))
		}
	}
	require.Empty(t, c.LateActivities(book, 2, 9, 6*second, 0))
	require.Empty(t, c.Gaps([]Lifetime{{who, 0, 5 * second, true}}))
	require.NotEmpty(t, c.LateActivities(book, 2, 9, 2*second, 0))

	strange := NewCollection(1000)
	part := r.Since(0, 50)
	strange.Add(part)
	require.Empty(t, strange.LateActivities(book, 2, 9, 2*second, 0), "nobody knows what its clock shows")
	starts := []Lifetime{{who, 0, 5 * second, true}}
	require.Contains(t, fmt.Sprint(strange.UnorderedActivities(book, 2, starts)), "its clock was not compared")
	require.Empty(t, strange.UnorderedActivities(book, 1, starts))
	require.Empty(t, c.UnorderedActivities(book, 2, starts))
}

// Guards against clocks that are minutes off: times are placed by when they were heard.
func TestGapsUseClockOffset(t *testing.T) {
	r := NewTrail(500*second, who, "token", 100, second)
	r.RecordEpoch(500*second, book, 1, 1)
	c := NewCollection(100)
	for i := range int64(3) {
		r.Flush((501 + i) * second)
		c.Add(r.Since(c.LastSeq(who), 100).WithClockOffset((1+i)*second + i*second/10))
	}
	all := c.Gaps([]Lifetime{{who, 0, 5 * second, false}})
	require.Equal(t, []Gap{{who, 3 * second, 5 * second, "it ended, or was not heard, after its last entry"}}, all)
	next := NewCollection(100)
	next.Merge(c.Segments())
	require.Equal(t, all, next.Gaps([]Lifetime{{who, 0, 5 * second, false}}))
}

// Guards against a time of which nobody was told that is passed over.
func TestGaps(t *testing.T) {
	r := newTrail(100)
	r.RecordEpoch(5, book, 1, 1)
	c := NewCollection(100)
	c.Add(r.Since(1, 100))
	gone, never := who, versions.Instance{Name: "b", Start: 3}
	all := c.Gaps([]Lifetime{{gone, 1, 50, false}, {never, 60, 70, true}, {who, 1, 90, true}})
	require.Len(t, all, 4)
	require.Equal(t, Gap{gone, 1, 5, "entries 1 to 1 are not held"}, all[0])
	require.Equal(t, Gap{gone, 5, 50, "it ended, or was not heard, after its last entry"}, all[1])
	require.Equal(t, Gap{never, 60, 70, "nothing of its trail was heard"}, all[2])
}

// Guards against a question that is not answered: which list, or program, a driver acted on at some time.
func TestActivitiesOfObservedResources(t *testing.T) {
	who := versions.Instance{Name: "a", Start: 1}
	trail := NewTrail(0, who, "token", 100, 0)
	trail.RecordObserved(10, versions.DiscoveryList, 7)
	trail.RecordObserved(20, versions.DiscoveryList, 7)
	trail.RecordObserved(30, versions.Build, 1)
	trail.RecordObserved(40, versions.DiscoveryList, 9)
	trail.Flush(50)
	trail.RecordActive(60, "x", 2)
	trail.Flush(70)
	c := NewCollection(100)
	c.Add(trail.Since(0, 100))
	require.Empty(t, c.Faults())
	require.Equal(t, []Activity{{Instance: who, Resource: versions.DiscoveryList, Version: 7, From: 10, To: 40}, {Instance: who, Resource: versions.DiscoveryList, Version: 9, From: 40, To: 70}},
		c.Activities(Query{Resource: versions.DiscoveryList}))
	require.Len(t, c.Activities(Query{Resource: versions.DiscoveryList, From: 41}), 1)
	require.Len(t, c.Activities(Query{Resource: versions.DiscoveryList, To: 39}), 1)
	require.Len(t, c.Activities(Query{Resource: versions.Build, Version: 1}), 1)
	require.Len(t, c.Activities(Query{}), 4)
	require.Empty(t, c.LateActivities(versions.DiscoveryList, 9, 0, 0, 0), "nobody closes what is not decided")
}
