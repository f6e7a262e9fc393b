package routing

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"
	"unsafe"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sedgespread/internal/briefing"
	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// Guards against an effect done twice because an end was taken for a proof that it never ran, and against
// members blamed for what they did not do.
func TestClassifyOutcome(t *testing.T) {
	failed := func(state string) Outcome {
		return Outcome{WasSent: true, Answer: &protocol.Answer{Failure: &protocol.Failure{SQLState: state}}}
	}
	for _, c := range []struct {
		o     Outcome
		proof rules.Outcome
		cause rules.Cause
	}{
		{Outcome{WasSent: true, Answer: &protocol.Answer{}}, rules.OK, rules.NoCause},
		{Outcome{WasSent: true, Answer: &protocol.Answer{}, CloseReason: transport.ResetByPeer}, rules.OK, rules.NoCause},
		{failed("25006"), rules.NotExecuted, rules.Ineligible},
		{failed("72000"), rules.NotExecuted, rules.Ineligible},
		{failed("53300"), rules.NotExecuted, rules.Overloaded},
		{failed("XX000"), rules.MayHaveExecuted, rules.ServerError},
		{failed("08P01"), rules.MayHaveExecuted, rules.ServerError},
		{Outcome{CloseReason: transport.DialRefused}, rules.NotExecuted, rules.ConnectFailed},
		{Outcome{CloseReason: transport.DialTimedOut}, rules.NotExecuted, rules.ConnectFailed},
		{Outcome{CloseReason: transport.Rejected}, rules.NotExecuted, rules.ConnectFailed},
		{Outcome{CloseReason: transport.ResetByPeer}, rules.NotExecuted, rules.ConnectFailed},
		{Outcome{CloseReason: transport.Malformed}, rules.NotExecuted, rules.ConnectFailed},
		{Outcome{CloseReason: transport.TimedOut}, rules.NotExecuted, rules.TimedOut},
		{Outcome{CloseReason: transport.Cancelled}, rules.NotExecuted, rules.Cancelled},
		{Outcome{WasSent: true, CloseReason: transport.ResetByPeer}, rules.MayHaveExecuted, rules.Reset},
		{Outcome{WasSent: true, CloseReason: transport.ClosedByPeer}, rules.MayHaveExecuted, rules.Reset},
		{Outcome{WasSent: true, CloseReason: transport.Truncated}, rules.MayHaveExecuted, rules.Reset},
		{Outcome{WasSent: true, CloseReason: transport.Malformed}, rules.MayHaveExecuted, rules.ServerError},
		{Outcome{WasSent: true, CloseReason: transport.TimedOut}, rules.MayHaveExecuted, rules.TimedOut},
		{Outcome{WasSent: true, CloseReason: transport.Cancelled}, rules.MayHaveExecuted, rules.Cancelled},
	} {
		require.Equal(t, verdict{c.proof, c.cause}, c.o.verdict(), "%+v", c.o)
	}
	for end := transport.DialRefused; end <= transport.Withheld; end++ {
		require.Contains(t, causes, end, "each end has its cause")
	}
	require.Equal(t, rules.Overloaded, Outcome{CloseReason: transport.Rejected}.found().Cause, "a full member lives")
}

// begin gives a router that knows members a and b of group 1.
func begin(t testing.TB, names ...string) *Router {
	told := briefing.Flatten("settings", map[string]any{
		"classes": []any{
			map[string]any{"name": "read", "effect": "repeatable", "aimUs": 200_000, "giveUpUs": 2_000_000},
			map[string]any{"name": "write", "effect": "once", "aimUs": 200_000, "giveUpUs": 2_000_000},
		},
		"extra":     map[string]any{"readLevel": []any{"loose", "update"}},
		"limits":    map[string]any{"probing": true, "cancelling": true, "mostTries": 3, "peerMessages": true},
		"discovery": "subscribe", "fleetSize": 2})
	known := protocol.Targets{IsFull: true}
	for _, name := range names {
		known.Entries = append(known.Entries, protocol.Target{ID: name, Address: "at-" + name, Group: 1})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := New(told, 1, known, log)
	require.NoError(t, err)
	return r
}

func next[T Task](t *testing.T, r *Router) T {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	for {
		duty, err := r.NextTask(ctx)
		require.NoError(t, err)
		if d, ok := duty.(T); ok {
			return d
		}
	}
}

func ok(position int64, primary bool) Outcome {
	return Outcome{WasSent: true, Answer: &protocol.Answer{IsPrimary: primary, IsReplica: !primary, PositionMillis: position}}
}

func take(r *Router, rpc rules.RPC) *ActiveRPC {
	r.mu.Lock()
	defer r.mu.Unlock()
	trip := r.open("")
	trip.take(rpc)
	return trip
}

// Guards against clients that pass for others, by an id that is open or was a moment ago, and against RPCs that no
// member would take; an id must be free again in the end.
func TestAdmitChecksRequests(t *testing.T) {
	r := begin(t, "a")
	s := Request{ID: "7", Method: "read", TimeLeft: 4000 * milli, Group: 9}
	admit := func(change func(s *Request)) error {
		other := s
		change(&other)
		_, err := r.Admit(&other)
		return err
	}
	require.Equal(t, errMethod, admit(func(s *Request) { s.Method = "reads" }))
	require.Equal(t, errKind, admit(func(s *Request) { s.IsWrite = true }))
	require.Equal(t, errKind, admit(func(s *Request) { s.Method = "write" }))
	require.Equal(t, errLeft, admit(func(s *Request) { s.TimeLeft = 4000*milli + 1 }))
	trip, err := r.Admit(&s)
	require.NoError(t, err)
	require.Equal(t, ActionReject, trip.NextStep().Action)
	for id := range r.ids.held {
		require.NotSame(t, unsafe.StringData(s.ID), unsafe.StringData(id), "an id must not hold its whole statement in memory")
	}
	require.Equal(t, errID, admit(func(s *Request) {}))
	require.True(t, r.ids.open("8", time.Now().Add(idKept)))
	require.Equal(t, map[string]bool{"8": true}, r.ids.held)
	for range 2 * mostIDs {
		r.ids.end("9", time.Now())
		r.ids.open("9", time.Now())
	}
	require.LessOrEqual(t, len(r.ids.ended), mostIDs+1)
}

// Guards against RPCs that get no final answer or two, and that leave something behind.
func TestActiveRPCLifecycle(t *testing.T) {
	r := begin(t, "a")
	require.NotNil(t, next[WatchDiscovery](t, r))
	look := next[ProbeMember](t, r)
	require.Equal(t, "at-a", look.Address)
	r.ReportProbe(look.Member, ok(time.Now().UnixMilli(), true))

	served := take(r, rules.RPC{Group: 1, TimeLeft: int64(time.Second)})
	step := served.NextStep()
	require.Equal(t, ActionAttempt, step.Action)
	require.Equal(t, "at-a", step.Address)
	answer := ok(time.Now().UnixMilli(), true)
	served.ReportAttempt(step.AttemptNumber, answer)
	served.ReportAttempt(step.AttemptNumber, answer)
	last := served.NextStep()
	require.Equal(t, ActionServe, last.Action)
	require.Same(t, answer.Answer, last.Answer)

	left := take(r, rules.RPC{Group: 1, TimeLeft: int64(time.Second)})
	step = left.NextStep()
	left.ClientLeft()
	left.ClientLeft()
	require.Equal(t, ActionDrop, left.NextStep().Action)
	<-step.Context.Done()
	require.Equal(t, transport.Cancelled, transport.CloseReasonOf(step.Context))
	left.ReportAttempt(step.AttemptNumber, Outcome{CloseReason: transport.Cancelled})

	aborted := take(r, rules.RPC{Group: 1, Method: 1, TimeLeft: int64(time.Second)})
	aborted.ReportAttempt(aborted.NextStep().AttemptNumber, Outcome{WasSent: true, CloseReason: transport.ResetByPeer})
	require.Equal(t, ActionAbort, aborted.NextStep().Action)

	require.Equal(t, ActionReject, take(r, rules.RPC{Group: 9, TimeLeft: int64(time.Second)}).NextStep().Action)
	require.Empty(t, r.trips)
}

// Guards against a driver that grows with each member that comes and goes, and against a number that is used again:
// what is late and names the one that had it would be taken for the newcomer's.
func TestMemberChurn(t *testing.T) {
	r := begin(t, "a")
	numbers := map[rules.MemberID]bool{}
	gone := 0
	for turn := range 5 {
		t := protocol.Targets{IsFull: true}
		for i := range 100 {
			t.Entries = append(t.Entries, protocol.Target{ID: fmt.Sprint(turn, "-", i), Address: "there", Group: 1})
		}
		t.Entries = append(t.Entries, protocol.Target{ID: fmt.Sprint("left-", turn), Group: 1, Lifecycle: protocol.Deleted})
		r.ApplyList(t)
		for id := range r.registry.known {
			numbers[id] = true
		}
	}
	for gone < 406 { // 5 were never more than leaving
		switch duty := next[Task](t, r).(type) {
		case ProbeMember:
			r.ReportProbe(duty.Member, Outcome{CloseReason: transport.DialRefused})
		case ForgetMember:
			gone++
		}
	}
	require.Len(t, r.registry.known, 100)
	require.Len(t, r.registry.numbers, 100)
	require.Len(t, r.registry.byKey, 100)
	require.Len(t, numbers, 501)
}

// Guards against news that name another member at a driver that knows the members in another order.
func TestObservationsIdentifyMembersByKey(t *testing.T) {
	one, other := begin(t, "a", "b"), begin(t, "c", "b", "a")
	position := time.Now().UnixMilli()
	for told := 0; told < 2; {
		switch duty := next[Task](t, one).(type) {
		case ProbeMember:
			one.ReportProbe(duty.Member, ok(position, duty.Address == "at-a"))
		case SendToPeers:
			news, _ := protocol.ParseObservations(duty.Message, position)
			told += len(news)
			require.True(t, other.ReceiveObservations(duty.Message))
		}
	}
	trip := take(other, rules.RPC{Group: 1, Method: 1, TimeLeft: int64(time.Second)})
	require.Equal(t, "at-a", trip.NextStep().Address)
	require.False(t, other.ReceiveObservations([]byte("\xff")))
}

// Guards against reads at a replica of which a peer's message tells that is new though it waited for a minute. A message holds 16 bits of a position,
// in milliseconds: a process that was stopped for 66 s and goes on reads what waited in its socket, and took a position of 66 s before for one of 0.5 s.
func TestObservationsDroppedAfterStall(t *testing.T) {
	r := begin(t, "a")
	a, _ := r.MemberID("a")
	stop := func(span int64) {
		for i := range r.timers.queue {
			r.timers.queue[i].at -= span
		}
	}
	tell := func(age int64) {
		position := r.now()/milli - age
		require.True(t, r.ReceiveObservations(protocol.AppendObservation(nil, protocol.Observation{Member: r.registry.known[a].key, Role: 2, PositionMillis: position}, position)))
	}
	stop(66_000 * milli)
	tell(66_000)
	require.False(t, r.HasObservation(a))
	for _, ok, _ := r.turn(); ok; _, ok, _ = r.turn() { // its timers run, and more is read from the socket
	}
	tell(66_000)
	require.False(t, r.HasObservation(a))
	r.drained -= drainsNews
	tell(10)
	require.True(t, r.HasObservation(a), "what comes later counts")
}

// Guards against datagrams that say nothing: a position over 30 s old can't be told.
func TestStaleObservationsNotSent(t *testing.T) {
	r := begin(t, "a")
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.duties)
	tell := func(age time.Duration) {
		(*host)(r).SendReports([]rules.PeerReport{{Member: 1, Observation: rules.Observation{Role: rules.RoleReplica, Position: r.now() - int64(age)}}})
	}
	tell(40 * time.Second)
	require.Len(t, r.duties, before)
	tell(time.Second)
	require.Len(t, r.duties, before+1)
}

// Guards against a member that turns a session away, on no connection at all, and is taken for one that ran all along.
func TestMissingConnectionHasNoOpenTime(t *testing.T) {
	r := begin(t, "a")
	require.Zero(t, r.at(Outcome{CloseReason: transport.Rejected}.OpenedAt))
	require.Positive(t, r.at(time.Now()))
}

// Guards against news of one member that are taken for another's, where both have the same key.
func TestMembersWithCollidingKeys(t *testing.T) {
	r := begin(t, "a", "b")
	a, _ := r.MemberID("a")
	r.registry.byKey[r.registry.known[a].key] = 0 // as the second member of that key leaves it
	now := r.now() / milli
	message := protocol.AppendObservation(nil, protocol.Observation{Member: r.registry.known[a].key, Role: 1, PositionMillis: now}, now)
	require.True(t, r.ReceiveObservations(message))
	require.False(t, r.HasObservation(a))
	b := r.registry.number("b")
	delete(r.registry.numbers, "b")
	require.NotEqual(t, b, r.registry.number("b"), "a name that comes anew")
	require.Zero(t, r.registry.byKey[r.registry.known[b].key], "and shares the key with the one before")
}

// Guards against timers that run early, late behind others, or out of the order in which they were set.
func TestTimersRunInOrder(t *testing.T) {
	var q timers
	var got []int
	for i, at := range []int64{30, 10, 20, 10, 30} {
		q.add(at, func() { got = append(got, i) })
	}
	for now := range int64(31) {
		for next, ok := q.due(now); ok; next, ok = q.due(now) {
			next()
		}
	}
	require.Equal(t, []int{1, 3, 2, 0, 4}, got)
}

// Guards against a driver that starts on less than it has to know.
func TestNewRejectsIncompleteSettings(t *testing.T) {
	_, err := New(briefing.Flatten("settings", map[string]any{"classes": []any{map[string]any{"name": "x"}}}), 1,
		protocol.Targets{}, logrus.New())
	require.ErrorContains(t, err, "settings: classes.0.effect is missing")
}
