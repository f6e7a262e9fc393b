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

// enableVersions lets a router act on version 2 of the rulebook, with a trail if asked.
func enableVersions(t testing.TB, r *Router, withTrail bool) {
	r.EnableVersions(versions.NewHolder())
	if withTrail {
		r.StartTrail(versions.Sign{Name: "n", Start: 1}, "token")
	}
	applyOrder(t, r, time.Hour, versions.Order{Epoch: 1, Act: 2, Valid: []versions.Number{2}, Hold: 2, Text: "text"})
}

func applyOrder(t testing.TB, r *Router, lease time.Duration, order versions.Order) {
	order.Thing = Rulebook
	for _, adoption := range r.ApplyOrders(r.now(), versions.Grant{Lease: int64(lease), Orders: []versions.Order{order}}) {
		r.ReportAdoption(adoption, nil)
	}
	require.Equal(t, order.Act, r.holder.Sightings()[0].Acts)
}

// Guards against RPCs that begin without a version to act on, and attempts that do not say under which they are made.
func TestRPCsRequireVersion(t *testing.T) {
	r := newRouterWithCells(t, false)
	r.EnableVersions(versions.NewHolder())
	require.Equal(t, ActionReject, nextStep(t, admitRPC(t, r, "write")).Action, "no lease")
	enableVersions(t, r, true)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	require.Equal(t, ActionAttempt, step.Action)
	require.Equal(t, protocol.Fence{Version: 2, Epoch: 1, Valid: []uint64{2}}, step.Fence)
	require.Equal(t, []versions.Number{2}, r.holder.Sightings()[0].Flight)
	require.True(t, active.MayBegin(step.AttemptNumber))
	active.ReportAttempt(step.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionServe, nextStep(t, active).Action)
	require.Equal(t, []versions.Number{2}, r.holder.Sightings()[0].Flight, "its answer is not passed on yet")
	active.AnswerDelivered()
	require.Empty(t, r.holder.Sightings()[0].Flight)
	var single *audit.Entry
	for _, entry := range r.FlushTrail(0).Entries {
		if entry.Kind == audit.Single {
			single = &entry
		}
	}
	require.NotNil(t, single)
	require.Equal(t, audit.Served, single.Outcome)
	require.NotZero(t, single.From, "when its attempt began")
	require.EqualValues(t, 2, single.Version)
}

// Guards against an answer that is passed on, or a further attempt, under a version that was closed meanwhile.
func TestClosedVersionEndsRPCs(t *testing.T) {
	r := newRouterWithCells(t, false)
	enableVersions(t, r, false)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	applyOrder(t, r, time.Hour, versions.Order{Epoch: 2, Act: 3, Hold: 3, Text: "next"})
	active.ReportAttempt(step.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionAbort, nextStep(t, active).Action)
	held := admitRPC(t, r, "write")
	step = nextStep(t, held)
	applyOrder(t, r, time.Hour, versions.Order{Epoch: 3, Act: 4, Hold: 4, Text: "after", Keep: 3})
	held.ReportAttempt(step.AttemptNumber, Outcome{Answer: nil, CloseReason: 0, WasSent: false})
	nextAttempt := nextStep(t, held)
	require.Equal(t, ActionAttempt, nextAttempt.Action, "one that may be acted on until then is")
	require.EqualValues(t, 3, nextAttempt.Fence.Version)
	applyOrder(t, r, time.Hour, versions.Order{Epoch: 4, Act: 4, Hold: 4, Text: "after"})
	held.ReportAttempt(nextAttempt.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionAbort, nextStep(t, held).Action)
}

// Guards against a driver that goes on under a version which a store knows to be over: the RPC ends honestly, nothing more
// begins before the council was asked again, and then it does.
func TestFencedVersion(t *testing.T) {
	r := newRouterWithCells(t, false)
	enableVersions(t, r, false)
	fenced := Outcome{WasSent: true, Answer: &protocol.Answer{Failure: &protocol.Failure{SQLState: protocol.StateFenced}}}
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	active.ReportAttempt(step.AttemptNumber, fenced)
	require.Equal(t, ActionReject, nextStep(t, active).Action, "it never ran")
	require.Equal(t, ActionReject, nextStep(t, admitRPC(t, r, "write")).Action)
	askedAt := r.now()
	for _, adoption := range r.ApplyOrders(askedAt, versions.Grant{Lease: int64(time.Hour)}) {
		r.ReportAdoption(adoption, nil)
	}
	active = admitRPC(t, r, "write")
	step = nextStep(t, active)
	require.Equal(t, ActionAttempt, step.Action, "the council still holds it valid")
	active.ReportAttempt(step.AttemptNumber, Outcome{WasSent: true, CloseReason: 1})
	last := nextStep(t, active)
	require.NotEqual(t, ActionReject, last.Action, "a write that may have run")
}

// Guards against a version that is said to have nothing in flight while an attempt that was given up may still run.
func TestAbandonedAttemptKeepsVersionInFlight(t *testing.T) {
	r := newRouterWithCells(t, false)
	enableVersions(t, r, false)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	active.ClientLeft()
	active.ReportAttempt(step.AttemptNumber, Outcome{WasSent: true, CloseReason: 1})
	require.Equal(t, ActionDrop, nextStep(t, active).Action)
	require.Equal(t, []versions.Number{2}, r.holder.Sightings()[0].Flight)
	for startedAt := time.Now(); len(r.holder.Sightings()[0].Flight) > 0; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(startedAt), 5*time.Second)
		r.runTimers()
	}
}

// Each kind of method has its effect.
func TestAuditEffect(t *testing.T) {
	require.Equal(t, audit.Read, auditEffect(&rules.Method{Need: rules.NeedSession, Effect: rules.NonIdempotent}))
	require.Equal(t, audit.Tokened, auditEffect(&rules.Method{Need: rules.NeedPrimary, Effect: rules.Tokened}))
	require.Equal(t, audit.NonIdempotent, auditEffect(&rules.Method{Need: rules.NeedPrimary, Effect: rules.NonIdempotent}))
}
