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

// Against a plain list: everything falls due once, no sooner than asked and up to a tick later, in the order of times.
func TestTimingWheel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 10
		now := rapid.Int64Range(0, 1_000_000).Draw(t, "start")
		w := NewTimingWheel(now, tick)
		want := map[int32]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				place := rapid.Int32Range(0, 20).Draw(t, "place")
				span := []int64{50, 700, 50_000, 3_000_000, 400_000_000}[rapid.IntRange(0, 4).Draw(t, "scale")]
				at := now + rapid.Int64Range(-20, span).Draw(t, "in")
				w.Set(place, at)
				want[place] = max(at, now) // what is past falls due with the next tick
			case 2:
				place := rapid.Int32Range(0, 20).Draw(t, "clear")
				w.Clear(place)
				delete(want, place)
			case 3:
				now += rapid.Int64Range(0, []int64{30, 1000, 100_000, 500_000_000}[rapid.IntRange(0, 3).Draw(t, "far")]).Draw(t, "passes")
				last := int64(0)
				for _, place := range w.Advance(now) {
					at, is := want[place]
					require.True(t, is, "%d was not set", place)
					require.LessOrEqual(t, at, now)
					require.GreaterOrEqual(t, w.at[place], last)
					last = w.at[place]
					delete(want, place)
				}
				for place, at := range want {
					require.Greater(t, at, now-2*tick, "%d should have fallen due", place)
				}
			}
			require.Equal(t, len(want), w.Count())
		}
	})
}

func open(t *testing.T) (*Ledger, func(now int64, a Request) Decision) {
	l := New(0, 100, 50)
	for _, name := range []string{"a", "b"} {
		_, joined := l.Join(name, 1)
		require.True(t, joined)
	}
	return l, func(now int64, a Request) Decision {
		if a.Deadline == 0 {
			a.Deadline = 1000 * ms
		}
		d := l.Decide(now, a)
		if d.Action == ActionGrant {
			l.Granted(now, a, d.Grant)
		}
		return d
	}
}

// Each row of the table at state, by what an RPC's effect allows.
func TestRetryDecisions(t *testing.T) {
	type try struct {
		report Outcome // of the first grant; -1 for none
		again  Request
		at     int64
		want   Action
		why    Reason
	}
	none := Outcome(-1)
	write := Request{ID: "1", Effect: rules.NonIdempotent, Group: 1}
	token := Request{ID: "1", Effect: rules.IdempotentByToken, Group: 1, Window: 300 * ms}
	read := Request{ID: "1", Effect: rules.Idempotent, Group: 1}
	other := token
	other.Group = 2
	for i, c := range []try{
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
		{MayHaveRun, other, 10 * ms, ActionAbort, ReasonOutsideWindow},
		{NeverRan, other, 10 * ms, ActionGrant, ReasonNone},
		{NeverRan, token, 400 * ms, ActionGrant, ReasonNone},
		{none, read, 10 * ms, ActionGrant, ReasonNone},
		{MayHaveRun, read, 10 * ms, ActionGrant, ReasonNone},
		{none, Request{ID: "1", Effect: rules.Idempotent, Group: 1, Caller: 1}, 10 * ms, ActionGrant, ReasonNone},
	} {
		l, do := open(t)
		first := c.again
		first.Group, first.Caller = 1, 0
		d := do(0, first)
		require.Equal(t, ActionGrant, d.Action)
		if c.report != none {
			require.True(t, l.Report(0, 1, d.Grant, c.report))
		}
		again := do(c.at, c.again)
		require.Equal(t, []any{c.want, c.why}, []any{again.Action, again.Reason}, "row %d", i)
	}
	_, do := open(t)
	do(0, write)
	require.Equal(t, ActionAbort, do(ms, read).Action, "one that says now that a repeat is harmless does not make it so")
}

// Guards against callers that report twice, for others, or after they have started anew.
func TestReports(t *testing.T) {
	l, do := open(t)
	write := Request{ID: "1", Effect: rules.NonIdempotent, Group: 1}
	g := do(0, write).Grant
	require.False(t, l.Report(1, 1, g, NeverRan), "not its grant")
	require.False(t, l.Report(0, 2, g, NeverRan), "not its start")
	require.True(t, l.Report(0, 1, g, MayHaveRun))
	require.False(t, l.Report(0, 1, g, NeverRan), "twice")
	require.Equal(t, ActionAbort, do(ms, write).Action)
	late := Request{ID: "2", Effect: rules.NonIdempotent, Group: 1}
	g = do(0, late).Grant
	_, joined := l.Join("a", 2)
	require.True(t, joined)
	require.False(t, l.Report(0, 1, g, NeverRan), "from before it started anew")
	require.Equal(t, ActionAbort, do(ms, late).Action)
	_, joined = l.Join("a", 1)
	require.False(t, joined, "an older start")
	require.Equal(t, Counts{UnknownReports: 2, ForeignReports: 2, Grants: 2, Rejected: l.counts.Rejected}, l.Counts())
	l.Answer("2")
	require.Equal(t, ActionReplay, do(ms, late).Action)
}

// Guards against a caller that never reports, and against a full ledger that forgets what may have run.
func TestCapacityAndExpiry(t *testing.T) {
	l, do := open(t)
	for i := range 50 {
		require.Equal(t, ActionGrant, do(0, Request{ID: ID(fmt.Sprint("a", i)), Effect: rules.NonIdempotent}).Action)
	}
	require.Equal(t, ReasonQuota, do(0, Request{ID: "more", Effect: rules.NonIdempotent}).Reason)
	for i := range 50 {
		require.Equal(t, ActionGrant, do(0, Request{ID: ID(fmt.Sprint("b", i)), Caller: 1, Effect: rules.NonIdempotent}).Action)
	}
	require.Equal(t, ReasonFull, do(0, Request{ID: "more", Caller: 1}).Reason)
	require.Equal(t, ReasonUnknownCaller, do(0, Request{ID: "more", Caller: 7}).Reason)
	l.Advance(1000 * ms)
	require.Equal(t, ActionAbort, do(1000*ms, Request{ID: "a1", Effect: rules.NonIdempotent}).Action, "inside its time nothing is forgotten")
	l.Advance(1000*ms + grace + tick)
	known, out := l.Open()
	require.Zero(t, known+out)
	require.EqualValues(t, 100, l.Counts().ExpiredGrants)
	require.Equal(t, ActionGrant, do(2000*ms, Request{ID: "more", Effect: rules.NonIdempotent, Deadline: 3000 * ms}).Action)
	l.MarkRecordsLost(2500 * ms)
	require.Equal(t, ReasonRecordsLost, do(2000*ms, Request{ID: "x", Effect: rules.NonIdempotent, Deadline: 3000 * ms, IsRetry: true}).Reason)
	require.Equal(t, ActionGrant, do(2500*ms, Request{ID: "x", Effect: rules.NonIdempotent, Deadline: 3000 * ms, IsRetry: true}).Action)
}

// Whatever is asked and reported, and wherever the records are cut, a non-idempotent RPC is never granted again once it
// may have run, and a tokened one only in its group and window.
func TestNonIdempotentRPCsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const begun = 1000 * ms
		now := begun
		l := New(now, 40, 30)
		var records []Record
		type sent struct {
			ask   Request
			grant Grant
			epoch uint64
			ran   bool
			at    int64
		}
		var out []sent
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
				a := Request{ID: ID(fmt.Sprint(n)), Effect: effects[n%3], Caller: Caller(rapid.IntRange(0, 1).Draw(t, "caller")),
					Group: rules.GroupID(rapid.IntRange(1, 2).Draw(t, "group")), Window: 100 * ms * int64(n%3%2), Deadline: begun + 400*ms}
				d := l.Decide(now, a)
				if d.Action != ActionGrant {
					continue
				}
				if r, needed := l.Record(now, a, d.Grant); needed {
					records = append(records, r)
				}
				l.Granted(now, a, d.Grant)
				out = append(out, sent{ask: a, grant: d.Grant, epoch: epochs[a.Caller], at: now})
			case 3: // a member does it
				if len(out) > 0 {
					s := &out[rapid.IntRange(0, len(out)-1).Draw(t, "runs")]
					if !s.ran {
						s.ran = true
						ran[s.ask.ID] = append(ran[s.ask.ID], *s)
					}
				}
			case 4: // an honest report
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "reports")
					s := out[i]
					fate := MayHaveRun
					if !s.ran && rapid.Bool().Draw(t, "unsent") {
						fate = NeverRan
						out = slices.Delete(out, i, i+1) // and it never will be
					} else if s.ran {
						fate = Ran
					}
					if l.Report(s.ask.Caller, s.epoch, s.grant, fate) && s.ask.Effect != rules.Idempotent && rapid.Bool().Draw(t, "recorded") {
						records = append(records, Record{Grant: s.grant, Outcome: fate, At: now})
					}
				}
			case 5:
				now += rapid.Int64Range(0, 60).Draw(t, "ms") * ms
				l.Advance(now)
			case 6:
				c := rapid.IntRange(0, 1).Draw(t, "restarts")
				epochs[c]++
				join()
			case 7: // it dies, and what was written down is all there is
				now += ms
				l = New(now, 40, 30)
				l.Recover(now, records)
				join()
			}
			for id, all := range ran {
				for i, s := range all[1:] {
					first := all[0]
					require.NotEqual(t, rules.NonIdempotent, s.ask.Effect, "%s ran %d times", id, i+2)
					if s.ask.Effect == rules.IdempotentByToken {
						require.Equal(t, first.ask.Group, s.ask.Group)
						require.Less(t, max(s.at, first.at)-min(s.at, first.at), s.ask.Window)
					}
				}
			}
		}
	})
}

// plain is a heap of what falls due, for comparison.
type plain []struct {
	at    int64
	place int32
}

func (p plain) Len() int           { return len(p) }
func (p plain) Less(i, j int) bool { return p[i].at < p[j].at }
func (p plain) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *plain) Push(x any) {
	*p = append(*p, x.(struct {
		at    int64
		place int32
	}))
}
func (p *plain) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// A million open entries: one more is set and one falls due.
func BenchmarkExpiry(b *testing.B) {
	const openOnes = 1_000_000
	rng := rand.New(rand.NewSource(1))
	b.Run("wheel", func(b *testing.B) {
		w := NewTimingWheel(0, tick)
		for i := range openOnes {
			w.Set(int32(i), 1+rng.Int63n(2000*ms))
		}
		now := int64(0)
		b.ReportAllocs()
		b.ResetTimer()
		for done := 0; done < b.N; {
			now += tick
			for _, place := range w.Advance(now) {
				w.Set(place, now+1+rng.Int63n(2000*ms))
				done++
			}
		}
	})
	b.Run("heap", func(b *testing.B) {
		var h plain
		for i := range openOnes {
			heap.Push(&h, struct {
				at    int64
				place int32
			}{1 + rng.Int63n(2000*ms), int32(i)})
		}
		now := int64(0)
		b.ReportAllocs()
		b.ResetTimer()
		for done := 0; done < b.N; {
			now += tick
			for h[0].at <= now {
				p := heap.Pop(&h).(struct {
					at    int64
					place int32
				})
				p.at = now + 1 + rng.Int63n(2000*ms)
				heap.Push(&h, p)
				done++
			}
		}
	})
}
