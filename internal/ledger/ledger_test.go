package ledger

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sedgespread/rules"
)

const ms = int64(1_000_000)

// Compares the wheel with a map: each id expires once, in order, not early and up to one tick
// late.
func TestTimingWheel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 10
		now := rapid.Int64Range(0, 1_000_000).Draw(t, "start")
		wheel := NewTimingWheel(now, tick)
		want := map[int32]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := rapid.Int32Range(0, 20).Draw(t, "id")
				span := []int64{50, 700, 50_000, 3_000_000, 400_000_000}[rapid.IntRange(0, 4).Draw(t, "scale")]
				at := now + rapid.Int64Range(-20, span).Draw(t, "in")
				wheel.Set(id, at)
				want[id] = max(at, now) // ids in the past expire with the next tick
			case 2:
				id := rapid.Int32Range(0, 20).Draw(t, "clear")
				wheel.Clear(id)
				delete(want, id)
			case 3:
				now += rapid.Int64Range(0, []int64{30, 1000, 100_000, 500_000_000}[rapid.IntRange(0, 3).Draw(t, "far")]).Draw(t, "elapsed")
				last := int64(0)
				for _, id := range wheel.Advance(now) {
					at, scheduled := want[id]
					require.True(t, scheduled, "%d was not set", id)
					require.LessOrEqual(t, at, now)
					require.GreaterOrEqual(t, wheel.dueTick[id], last)
					last = wheel.dueTick[id]
					delete(want, id)
				}
				for id, at := range want {
					require.Greater(t, at, now-2*tick, "%d should have expired", id)
				}
			}
			require.Equal(t, len(want), wheel.Count())
		}
	})
}

func newTestLedger(t *testing.T) (*Ledger, func(now int64, request Request) Decision) {
	l := New(0, 100, 50)
	for _, name := range []string{"a", "b"} {
		_, joined := l.Join(name, 1)
		require.True(t, joined)
	}
	return l, func(now int64, request Request) Decision {
		if request.Deadline == 0 {
			request.Deadline = 1000 * ms
		}
		d := l.Decide(now, request)
		if d.Action == ActionGrant {
			l.Granted(now, request, d.Grant)
		}
		return d
	}
}

// Checks the transitions at state for each effect.
func TestRetryDecisions(t *testing.T) {
	type testCase struct {
		report Outcome // for the first grant; -1 for none
		again  Request
		at     int64
		want   Action
		reason Reason
	}
	none := Outcome(-1)
	write := Request{ID: "1", Effect: rules.NonIdempotent, Group: 1}
	token := Request{ID: "1", Effect: rules.IdempotentByToken, Group: 1, Window: 300 * ms}
	read := Request{ID: "1", Effect: rules.Idempotent, Group: 1}
	otherGroup := token
	otherGroup.Group = 2
	for i, c := range []testCase{
		{none, write, 10 * ms, ActionAbort, ReasonGrantOutstanding},
		{NeverRan, write, 10 * ms, ActionGrant, ReasonNone},
		{MayHaveRun, write, 10 * ms, ActionAbort, ReasonMayHaveRun},
		{Ran, write, 10 * ms, ActionReplay, ReasonNone},
		{NeverRan, write, 1000 * ms, ActionReject, ReasonDeadlineExceeded},
		{MayHaveRun, write, 1000 * ms, ActionAbort, ReasonDeadlineExceeded},
		{none, token, 10 * ms, ActionGrant, ReasonNone},
		{MayHaveRun, token, 299 * ms, ActionGrant, ReasonNone},
		{MayHaveRun, token, 300 * ms, ActionAbort, ReasonOutsideWindow},
		{none, token, 300 * ms, ActionAbort, ReasonOutsideWindow},
		{MayHaveRun, otherGroup, 10 * ms, ActionAbort, ReasonOutsideWindow},
		{NeverRan, otherGroup, 10 * ms, ActionGrant, ReasonNone},
		{NeverRan, token, 400 * ms, ActionGrant, ReasonNone},
		{none, read, 10 * ms, ActionGrant, ReasonNone},
		{MayHaveRun, read, 10 * ms, ActionGrant, ReasonNone},
		{none, Request{ID: "1", Effect: rules.Idempotent, Group: 1, Caller: 1}, 10 * ms, ActionGrant, ReasonNone},
	} {
		l, decide := newTestLedger(t)
		first := c.again
		first.Group, first.Caller = 1, 0
		d := decide(0, first)
		require.Equal(t, ActionGrant, d.Action)
		if c.report != none {
			require.True(t, l.Report(0, 1, d.Grant, c.report))
		}
		again := decide(c.at, c.again)
		require.Equal(t, []any{c.want, c.reason}, []any{again.Action, again.Reason}, "row %d", i)
	}
	_, decide := newTestLedger(t)
	decide(0, write)
	require.Equal(t, ActionAbort, decide(ms, read).Action, "a retry cannot change the effect of an RPC")
}

// Guards against duplicate reports and reports by another caller or an earlier start.
func TestReports(t *testing.T) {
	l, decide := newTestLedger(t)
	write := Request{ID: "1", Effect: rules.NonIdempotent, Group: 1}
	grant := decide(0, write).Grant
	require.False(t, l.Report(1, 1, grant, NeverRan), "the grant belongs to another caller")
	require.False(t, l.Report(0, 2, grant, NeverRan), "the caller has another epoch")
	require.True(t, l.Report(0, 1, grant, MayHaveRun))
	require.False(t, l.Report(0, 1, grant, NeverRan), "duplicate report")
	require.Equal(t, ActionAbort, decide(ms, write).Action)
	late := Request{ID: "2", Effect: rules.NonIdempotent, Group: 1}
	grant = decide(0, late).Grant
	_, joined := l.Join("a", 2)
	require.True(t, joined)
	require.False(t, l.Report(0, 1, grant, NeverRan), "the grant is from before the restart")
	require.Equal(t, ActionAbort, decide(ms, late).Action)
	_, joined = l.Join("a", 1)
	require.False(t, joined, "the epoch is older")
	require.Equal(t, Counts{UnknownReports: 2, ForeignReports: 2, Grants: 2, Rejected: l.counts.Rejected}, l.Counts())
	l.Answer("2")
	require.Equal(t, ActionReplay, decide(ms, late).Action)
}

// Guards against a caller that never reports, and a full ledger that removes RPCs that may have
// run.
func TestCapacityAndExpiry(t *testing.T) {
	l, decide := newTestLedger(t)
	for i := range 50 {
		require.Equal(t, ActionGrant, decide(0, Request{ID: ID(fmt.Sprint("a", i)), Effect: rules.NonIdempotent}).Action)
	}
	require.Equal(t, ReasonQuota, decide(0, Request{ID: "more", Effect: rules.NonIdempotent}).Reason)
	for i := range 50 {
		require.Equal(t, ActionGrant, decide(0, Request{ID: ID(fmt.Sprint("b", i)), Caller: 1, Effect: rules.NonIdempotent}).Action)
	}
	require.Equal(t, ReasonFull, decide(0, Request{ID: "more", Caller: 1}).Reason)
	require.Equal(t, ReasonUnknownCaller, decide(0, Request{ID: "more", Caller: 7}).Reason)
	l.Advance(1000 * ms)
	require.Equal(t, ActionAbort, decide(1000*ms, Request{ID: "a1", Effect: rules.NonIdempotent}).Action, "RPCs are kept until they expire")
	l.Advance(1000*ms + reportGrace + expiryTick)
	known, outstanding := l.Open()
	require.Zero(t, known+outstanding)
	require.EqualValues(t, 100, l.Counts().ExpiredGrants)
	require.Equal(t, ActionGrant, decide(2000*ms, Request{ID: "more", Effect: rules.NonIdempotent, Deadline: 3000 * ms}).Action)
	l.MarkRecordsLost(2500 * ms)
	require.Equal(t, ReasonRecordsLost, decide(2000*ms, Request{ID: "x", Effect: rules.NonIdempotent, Deadline: 3000 * ms, IsRetry: true}).Reason)
	require.Equal(t, ActionGrant, decide(2500*ms, Request{ID: "x", Effect: rules.NonIdempotent, Deadline: 3000 * ms, IsRetry: true}).Action)
}

// A non-idempotent RPC that may have run is never granted again, and an RPC deduplicated by token
// only in its group and window, whatever the order of requests, reports and crashes.
func TestNonIdempotentRPCsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const startTime = 1000 * ms
		now := startTime
		l := New(now, 40, 30)
		var records []Record
		type sent struct {
			request Request
			grant   Grant
			epoch   uint64
			ran     bool
			at      int64
		}
		var sentRPCs []sent
		ran := map[ID][]sent{}
		epochs := []uint64{1, 1}
		join := func() {
			for c, name := range []string{"a", "b"} {
				l.Join(name, epochs[c])
			}
		}
		join()
		effects := []rules.Effect{rules.NonIdempotent, rules.IdempotentByToken, rules.Idempotent}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				n := rapid.IntRange(0, 5).Draw(t, "id")
				request := Request{ID: ID(fmt.Sprint(n)), Effect: effects[n%3], Caller: Caller(rapid.IntRange(0, 1).Draw(t, "caller")),
					Group: rules.GroupID(rapid.IntRange(1, 2).Draw(t, "group")), Window: 100 * ms * int64(n%3%2), Deadline: startTime + 400*ms}
				d := l.Decide(now, request)
				if d.Action != ActionGrant {
					continue
				}
				if r, needed := l.Record(now, request, d.Grant); needed {
					records = append(records, r)
				}
				l.Granted(now, request, d.Grant)
				sentRPCs = append(sentRPCs, sent{request: request, grant: d.Grant, epoch: epochs[request.Caller], at: now})
			case 3: // a member executes the RPC
				if len(sentRPCs) > 0 {
					s := &sentRPCs[rapid.IntRange(0, len(sentRPCs)-1).Draw(t, "runs")]
					if !s.ran {
						s.ran = true
						ran[s.request.ID] = append(ran[s.request.ID], *s)
					}
				}
			case 4: // a truthful report
				if len(sentRPCs) > 0 {
					i := rapid.IntRange(0, len(sentRPCs)-1).Draw(t, "reports")
					s := sentRPCs[i]
					outcome := MayHaveRun
					if !s.ran && rapid.Bool().Draw(t, "unsent") {
						outcome = NeverRan
						sentRPCs = slices.Delete(sentRPCs, i, i+1) // it will not be sent
					} else if s.ran {
						outcome = Ran
					}
					if l.Report(s.request.Caller, s.epoch, s.grant, outcome) && s.request.Effect != rules.Idempotent && rapid.Bool().Draw(t, "recorded") {
						records = append(records, Record{Grant: s.grant, Outcome: outcome, At: now})
					}
				}
			case 5:
				now += rapid.Int64Range(0, 60).Draw(t, "ms") * ms
				l.Advance(now)
			case 6:
				c := rapid.IntRange(0, 1).Draw(t, "restarts")
				epochs[c]++
				join()
			case 7: // crash and recovery from the records
				now += ms
				l = New(now, 40, 30)
				l.Recover(now, records)
				join()
			}
			for id, executions := range ran {
				for i, s := range executions[1:] {
					first := executions[0]
					require.NotEqual(t, rules.NonIdempotent, s.request.Effect, "%s ran %d times", id, i+2)
					if s.request.Effect == rules.IdempotentByToken {
						require.Equal(t, first.request.Group, s.request.Group)
						require.Less(t, max(s.at, first.at)-min(s.at, first.at), s.request.Window)
					}
				}
			}
		}
	})
}

// expiryHeap is the binary heap that the wheel is compared with.
type expiryHeap []struct {
	at int64
	id int32
}

func (p expiryHeap) Len() int           { return len(p) }
func (p expiryHeap) Less(i, j int) bool { return p[i].at < p[j].at }
func (p expiryHeap) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *expiryHeap) Push(x any) {
	*p = append(*p, x.(struct {
		at int64
		id int32
	}))
}
func (p *expiryHeap) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// Compares setting and expiring ids with a million open entries.
func BenchmarkExpiry(b *testing.B) {
	const entryCount = 1_000_000
	rng := rand.New(rand.NewSource(1))
	b.Run("wheel", func(b *testing.B) {
		w := NewTimingWheel(0, expiryTick)
		for i := range entryCount {
			w.Set(int32(i), 1+rng.Int63n(2000*ms))
		}
		now := int64(0)
		b.ReportAllocs()
		b.ResetTimer()
		for done := 0; done < b.N; {
			now += expiryTick
			for _, id := range w.Advance(now) {
				w.Set(id, now+1+rng.Int63n(2000*ms))
				done++
			}
		}
	})
	b.Run("heap", func(b *testing.B) {
		var entries expiryHeap
		for i := range entryCount {
			heap.Push(&entries, struct {
				at int64
				id int32
			}{1 + rng.Int63n(2000*ms), int32(i)})
		}
		now := int64(0)
		b.ReportAllocs()
		b.ResetTimer()
		for done := 0; done < b.N; {
			now += expiryTick
			for entries[0].at <= now {
				p := heap.Pop(&entries).(struct {
					at int64
					id int32
				})
				p.at = now + 1 + rng.Int63n(2000*ms)
				heap.Push(&entries, p)
				done++
			}
		}
	})
}
