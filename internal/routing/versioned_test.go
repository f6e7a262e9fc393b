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

// enableVersions puts version 2 of the rulebook in force on a router, optionally with an audit trail.
func enableVersions(t testing.TB, r *Router, withTrail bool) {
	r.EnableVersions(versions.NewDriverState())
	if withTrail {
		r.StartTrail(versions.Instance{Name: "n", Start: 1}, "token")
	}
	applyOrder(t, r, time.Hour, versions.Assignment{Epoch: 1, Active: 2, Valid: []versions.Number{2}, Stored: 2, Text: "text"})
}

// applyOrder applies an order for the rulebook and adopts its version.
func applyOrder(t testing.TB, r *Router, lease time.Duration, order versions.Assignment) {
	order.Resource = Rulebook
	for _, adoption := range r.ApplyVersionGrant(r.now(), versions.Grant{Lease: int64(lease), Assignments: []versions.Assignment{order}}) {
		r.ReportAdoption(adoption, nil)
	}
	require.Equal(t, order.Active, r.holder.Reports()[0].Active)
}

// Guards against RPCs that begin without a version in force, and attempts without its fence.
func TestRPCsRequireVersion(t *testing.T) {
	r := newRouterWithCells(t, false)
	r.EnableVersions(versions.NewDriverState())
	require.Equal(t, ActionReject, nextStep(t, admitRPC(t, r, "write")).Action, "no lease")
	enableVersions(t, r, true)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	require.Equal(t, ActionAttempt, step.Action)
	require.Equal(t, protocol.Fence{Version: 2, Epoch: 1, Valid: []uint64{2}}, step.Fence)
	require.Equal(t, []versions.Number{2}, r.holder.Reports()[0].InFlight)
	require.True(t, active.MayBegin(step.AttemptNumber))
	active.ReportAttempt(step.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionServe, nextStep(t, active).Action)
	require.Equal(t, []versions.Number{2}, r.holder.Reports()[0].InFlight, "the RPC is in flight until its answer is delivered")
	active.AnswerDelivered()
	require.Empty(t, r.holder.Reports()[0].InFlight)
	var writeEntry *audit.Entry
	for _, entry := range r.FlushTrail(0).Entries {
		if entry.Kind == audit.KindRPC {
			writeEntry = &entry
		}
	}
	require.NotNil(t, writeEntry)
	require.Equal(t, audit.Served, writeEntry.Outcome)
	require.NotZero(t, writeEntry.From, "the entry must hold when the attempt began")
	require.EqualValues(t, 2, writeEntry.Version)
}

// Guards against answers delivered or attempts made under a version that has been closed meanwhile.
func TestSupersededVersionEndsRPCs(t *testing.T) {
	r := newRouterWithCells(t, false)
	enableVersions(t, r, false)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	applyOrder(t, r, time.Hour, versions.Assignment{Epoch: 2, Active: 3, Stored: 3, Text: "next"})
	active.ReportAttempt(step.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionAbort, nextStep(t, active).Action)
	held := admitRPC(t, r, "write")
	step = nextStep(t, held)
	applyOrder(t, r, time.Hour, versions.Assignment{Epoch: 3, Active: 4, Stored: 4, Text: "after", Allowed: 3})
	held.ReportAttempt(step.AttemptNumber, Outcome{Answer: nil, CloseReason: 0, WasSent: false})
	nextAttempt := nextStep(t, held)
	require.Equal(t, ActionAttempt, nextAttempt.Action, "a version that is kept may still be used")
	require.EqualValues(t, 3, nextAttempt.Fence.Version)
	applyOrder(t, r, time.Hour, versions.Assignment{Epoch: 4, Active: 4, Stored: 4, Text: "after"})
	held.ReportAttempt(nextAttempt.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionAbort, nextStep(t, held).Action)
}

// Guards against a driver that goes on under a version that a store has rejected, before the council has
// confirmed it, or that does not resume afterwards.
func TestFencedVersion(t *testing.T) {
	r := newRouterWithCells(t, false)
	enableVersions(t, r, false)
	fenced := Outcome{WasSent: true, Answer: &protocol.Answer{Failure: &protocol.Failure{SQLState: protocol.StateFenced}}}
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	active.ReportAttempt(step.AttemptNumber, fenced)
	require.Equal(t, ActionReject, nextStep(t, active).Action, "the attempt never ran")
	require.Equal(t, ActionReject, nextStep(t, admitRPC(t, r, "write")).Action)
	askedAt := r.now()
	for _, adoption := range r.ApplyVersionGrant(askedAt, versions.Grant{Lease: int64(time.Hour)}) {
		r.ReportAdoption(adoption, nil)
	}
	active = admitRPC(t, r, "write")
	step = nextStep(t, active)
	require.Equal(t, ActionAttempt, step.Action, "the council still considers the version valid")
	active.ReportAttempt(step.AttemptNumber, Outcome{WasSent: true, CloseReason: 1})
	last := nextStep(t, active)
	require.NotEqual(t, ActionReject, last.Action, "a write that may have run must not be rejected as safe to retry")
}

// Guards against reporting a version as idle while an abandoned attempt may still be running.
func TestAbandonedAttemptKeepsVersionInFlight(t *testing.T) {
	r := newRouterWithCells(t, false)
	enableVersions(t, r, false)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	active.ClientLeft()
	active.ReportAttempt(step.AttemptNumber, Outcome{WasSent: true, CloseReason: 1})
	require.Equal(t, ActionDrop, nextStep(t, active).Action)
	require.Equal(t, []versions.Number{2}, r.holder.Reports()[0].InFlight)
	for startedAt := time.Now(); len(r.holder.Reports()[0].InFlight) > 0; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(startedAt), 5*time.Second)
		r.runTimers()
	}
}

// Guards against methods recorded in the audit trail with the wrong effect.
func TestAuditEffect(t *testing.T) {
	require.Equal(t, audit.Read, auditEffect(&rules.Method{Consistency: rules.ConsistencySession, Effect: rules.NonIdempotent}))
	require.Equal(t, audit.Deduplicated, auditEffect(&rules.Method{Consistency: rules.ConsistencyWrite, Effect: rules.IdempotentByToken}))
	require.Equal(t, audit.NonIdempotent, auditEffect(&rules.Method{Consistency: rules.ConsistencyWrite, Effect: rules.NonIdempotent}))
}
