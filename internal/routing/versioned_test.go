package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/audit"
	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// heeds lets a router act on version 2 of the rulebook, with a trail if asked.
func heeds(t testing.TB, r *Router, trail bool) {
	r.EnableVersions(versions.NewDriverState())
	if trail {
		r.StartTrail(versions.Instance{Name: "n", Start: 1}, "token")
	}
	orders(t, r, time.Hour, versions.Assignment{Epoch: 1, Active: 2, Valid: []versions.Number{2}, Stored: 2, Text: "text"})
}

func orders(t testing.TB, r *Router, lease time.Duration, o versions.Assignment) {
	o.Resource = Rulebook
	for _, a := range r.ApplyOrders(r.now(), versions.Grant{Lease: int64(lease), Assignments: []versions.Assignment{o}}) {
		r.ReportAdoption(a, nil)
	}
	require.Equal(t, o.Active, r.holder.Reports()[0].Active)
}

// Guards against RPCs that begin without a version to act on, and attempts that do not say under which they are made.
func TestRPCsRequireVersion(t *testing.T) {
	r := confined(t, false)
	r.EnableVersions(versions.NewDriverState())
	require.Equal(t, ActionReject, pick(t, admit(t, r, "write")).Action, "no lease")
	heeds(t, r, true)
	trip := admit(t, r, "write")
	step := pick(t, trip)
	require.Equal(t, ActionAttempt, step.Action)
	require.Equal(t, protocol.Fence{Version: 2, Epoch: 1, Valid: []uint64{2}}, step.Fence)
	require.Equal(t, []versions.Number{2}, r.holder.Reports()[0].InFlight)
	require.True(t, trip.MayBegin(step.AttemptNumber))
	trip.ReportAttempt(step.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionServe, pick(t, trip).Action)
	require.Equal(t, []versions.Number{2}, r.holder.Reports()[0].InFlight, "its answer is not passed on yet")
	trip.AnswerDelivered()
	require.Empty(t, r.holder.Reports()[0].InFlight)
	var single *audit.Entry
	for _, e := range r.FlushTrail(0).Entries {
		if e.Kind == audit.KindRPC {
			single = &e
		}
	}
	require.NotNil(t, single)
	require.Equal(t, audit.Served, single.Outcome)
	require.NotZero(t, single.From, "when its attempt began")
	require.EqualValues(t, 2, single.Version)
}

// Guards against an answer that is passed on, or a further attempt, under a version that was closed meanwhile.
func TestClosedVersionEndsRPCs(t *testing.T) {
	r := confined(t, false)
	heeds(t, r, false)
	trip := admit(t, r, "write")
	step := pick(t, trip)
	orders(t, r, time.Hour, versions.Assignment{Epoch: 2, Active: 3, Stored: 3, Text: "next"})
	trip.ReportAttempt(step.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionAbort, pick(t, trip).Action)
	held := admit(t, r, "write")
	step = pick(t, held)
	orders(t, r, time.Hour, versions.Assignment{Epoch: 3, Active: 4, Stored: 4, Text: "after", Allowed: 3})
	held.ReportAttempt(step.AttemptNumber, Outcome{Answer: nil, CloseReason: 0, WasSent: false})
	next := pick(t, held)
	require.Equal(t, ActionAttempt, next.Action, "one that may be acted on until then is")
	require.EqualValues(t, 3, next.Fence.Version)
	orders(t, r, time.Hour, versions.Assignment{Epoch: 4, Active: 4, Stored: 4, Text: "after"})
	held.ReportAttempt(next.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionAbort, pick(t, held).Action)
}

// Guards against a driver that goes on under a version which a store knows to be over: the RPC ends honestly, nothing more
// begins before the council was asked again, and then it does.
func TestFencedVersion(t *testing.T) {
	r := confined(t, false)
	heeds(t, r, false)
	turned := Outcome{WasSent: true, Answer: &protocol.Answer{Failure: &protocol.Failure{SQLState: protocol.StateFenced}}}
	trip := admit(t, r, "write")
	step := pick(t, trip)
	trip.ReportAttempt(step.AttemptNumber, turned)
	require.Equal(t, ActionReject, pick(t, trip).Action, "it never ran")
	require.Equal(t, ActionReject, pick(t, admit(t, r, "write")).Action)
	asked := r.now()
	for _, a := range r.ApplyOrders(asked, versions.Grant{Lease: int64(time.Hour)}) {
		r.ReportAdoption(a, nil)
	}
	trip = admit(t, r, "write")
	step = pick(t, trip)
	require.Equal(t, ActionAttempt, step.Action, "the council still holds it valid")
	trip.ReportAttempt(step.AttemptNumber, Outcome{WasSent: true, CloseReason: 1})
	next := pick(t, trip)
	require.NotEqual(t, ActionReject, next.Action, "a write that may have run")
}

// Guards against a version that is said to have nothing in flight while an attempt that was given up may still run.
func TestAbandonedAttemptKeepsVersionInFlight(t *testing.T) {
	r := confined(t, false)
	heeds(t, r, false)
	trip := admit(t, r, "write")
	step := pick(t, trip)
	trip.ClientLeft()
	trip.ReportAttempt(step.AttemptNumber, Outcome{WasSent: true, CloseReason: 1})
	require.Equal(t, ActionDrop, pick(t, trip).Action)
	require.Equal(t, []versions.Number{2}, r.holder.Reports()[0].InFlight)
	for begun := time.Now(); len(r.holder.Reports()[0].InFlight) > 0; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(begun), 5*time.Second)
		r.turn()
	}
}

// Each kind of method has its effect.
func TestAuditEffect(t *testing.T) {
	require.Equal(t, audit.Read, effectOf(&rules.Method{Consistency: rules.ConsistencySession, Effect: rules.NonIdempotent}))
	require.Equal(t, audit.Deduplicated, effectOf(&rules.Method{Consistency: rules.ConsistencyWrite, Effect: rules.IdempotentByToken}))
	require.Equal(t, audit.NonIdempotent, effectOf(&rules.Method{Consistency: rules.ConsistencyWrite, Effect: rules.NonIdempotent}))
}
