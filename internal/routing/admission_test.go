package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/audit"
	"sedgespread/internal/cells"
	"sedgespread/internal/transport"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// newRouterWithCells returns a router with cells one (group 1) and two (group 2). Tenant t starts in cell
// one.
func newRouterWithCells(t testing.TB, leased bool) *Router {
	r := newTestRouter(t, "a", "b")
	layout := cells.NewLayout(1)
	layout.Add("one", cells.Groups{1}, 1, 0, "")
	layout.Add("two", cells.Groups{2}, 0, 0, "")
	resolver := cells.NewTenantResolver(nil, nil, nil, cells.DefaultNone, "t")
	limits := cells.NewLimits(cells.Budget{cells.RPCs: 100, cells.Attempts: 100}, 0.5, layout, nil)
	r.EnableAdmission(cells.NewAdmissionController(cells.NewDirectory(layout, nil), resolver, limits, leased, 2))
	for _, name := range []string{"a", "b"} {
		id, _ := r.MemberID(name)
		r.mu.Lock()
		r.driver.ReceiveReports([]rules.PeerReport{{Member: id, Observation: rules.Observation{
			Role: map[string]rules.Role{"a": rules.RolePrimary, "b": rules.RoleReplica}[name], Position: r.now()}}})
		r.mu.Unlock()
	}
	return r
}

var requestCount int

// admitRPC admits an RPC of the only tenant under a new id.
func admitRPC(t *testing.T, r *Router, method string) *ActiveRPC {
	requestCount++
	active, err := r.Admit(&Request{ID: fmt.Sprint(requestCount), Method: method, Key: "k", IsWrite: method == "write",
		Group: 77, TimeLeft: 2000 * nanosPerMilli})
	require.NoError(t, err)
	return active
}

// applyGrant applies a grant of the coordinator with a lease from now on.
func applyGrant(t *testing.T, r *Router, lease time.Duration, entries ...cells.Entry) {
	grant := cells.Grant{Lease: int64(lease), Entries: entries}
	for _, entry := range entries {
		grant.LatestEpoch = max(grant.LatestEpoch, entry.Epoch)
	}
	require.NoError(t, r.ApplyCellGrant(r.now(), grant))
}

// nextStep waits for an RPC's next step and runs due timers meanwhile.
func nextStep(t *testing.T, active *ActiveRPC) Step {
	for startedAt := time.Now(); time.Since(startedAt) < 3*time.Second; time.Sleep(time.Millisecond) {
		select {
		case step := <-active.steps:
			return step
		default:
			active.router.runTimers()
		}
	}
	require.Fail(t, "timed out waiting for the next step")
	return Step{}
}

// Guards against RPCs that are lost between admission control and routing.
func TestRPCAdmittedToItsCell(t *testing.T) {
	r := newRouterWithCells(t, false)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	require.Equal(t, ActionAttempt, step.Action, "the cell must decide the group, not the client")
	active.ReportAttempt(step.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionServe, nextStep(t, active).Action)
	stats := func() cells.Stats {
		return ReadAdmission(r, func(now int64, controller *cells.AdmissionController) cells.Stats {
			return controller.Stats(now, 5)
		})
	}
	require.Equal(t, 1, stats().Tenants, "the RPC counts until its answer is delivered")
	active.AnswerDelivered()
	require.Zero(t, stats().Cells[0].RPCs+stats().Cells[0].Attempts)
	left := admitRPC(t, r, "write")
	nextStep(t, left)
	left.ClientLeft()
	require.Equal(t, ActionDrop, nextStep(t, left).Action)
}

// Guards against a driver that goes on after its lease has expired: RPCs are rejected, and writes that may
// have run aborted whatever their answer.
func TestExpiredLeaseEndsRPCs(t *testing.T) {
	r := newRouterWithCells(t, true)
	require.Equal(t, ActionReject, nextStep(t, admitRPC(t, r, "write")).Action)
	applyGrant(t, r, 150*time.Millisecond)
	write, read, quick := admitRPC(t, r, "write"), admitRPC(t, r, "read"), admitRPC(t, r, "write")
	writeStep, readStep, quickStep := nextStep(t, write), nextStep(t, read), nextStep(t, quick)
	quick.ReportAttempt(quickStep.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionServe, nextStep(t, quick).Action)
	time.Sleep(200 * time.Millisecond)
	write.ReportAttempt(writeStep.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionAbort, nextStep(t, write).Action, "the write ran, but its tenant may be in another cell")
	read.ReportAttempt(readStep.AttemptNumber, answered(r.now()/nanosPerMilli, true))
	require.Equal(t, ActionReject, nextStep(t, read).Action)
}

// Guards against another attempt in the old cell after its tenant has switched to the new one.
func TestNoAttemptAfterCellSwitch(t *testing.T) {
	r := newRouterWithCells(t, true)
	applyGrant(t, r, time.Minute)
	active := admitRPC(t, r, "write")
	step := nextStep(t, active)
	applyGrant(t, r, time.Minute, cells.Entry{Epoch: 9, Tenant: "t", Cell: "two", Stage: cells.StageIdle, MinPosition: 5})
	// The attempt never ran and would be retried.
	active.ReportAttempt(step.AttemptNumber, Outcome{CloseReason: transport.DialRefused})
	require.Equal(t, ActionReject, nextStep(t, active).Action)
	r.runTimers()
	require.Empty(t, r.activeRPCs)
}

// Guards against RPCs held for a move that are neither resumed nor rejected in time for a retry.
func TestRPCsHeldDuringMove(t *testing.T) {
	r := newRouterWithCells(t, true)
	applyGrant(t, r, time.Minute, cells.Entry{Epoch: 1, Tenant: "t", Cell: "one", Stage: cells.StageHoldingWrites, To: "two"})
	held, cancelled, overLimit := admitRPC(t, r, "write"), admitRPC(t, r, "write"), admitRPC(t, r, "write")
	require.Equal(t, ActionReject, nextStep(t, overLimit).Action, "over the limit of held RPCs")
	require.Equal(t, ActionAttempt, nextStep(t, admitRPC(t, r, "read")).Action, "reads must not be held yet")
	cancelled.ClientLeft()
	require.Equal(t, ActionDrop, nextStep(t, cancelled).Action)
	report, _ := r.CellReport("n", 1)
	require.Zero(t, report.Moves[0].Writes, "held writes are not in flight")
	applyGrant(t, r, time.Minute, cells.Entry{Epoch: 2, Tenant: "t", Cell: "one", Stage: cells.StageRollingBack, To: "two"})
	require.Equal(t, ActionAttempt, nextStep(t, held).Action, "held writes must resume after a rollback")
	applyGrant(t, r, time.Minute, cells.Entry{Epoch: 3, Tenant: "t", Cell: "one", Stage: cells.StageHoldingAll, To: "two"})
	requestCount++
	short, err := r.Admit(&Request{ID: fmt.Sprint(requestCount), Method: "read", Key: "k", TimeLeft: 50 * nanosPerMilli})
	require.NoError(t, err)
	require.Equal(t, ActionReject, nextStep(t, short).Action)
}

// Guards against reads from members behind the tenant's minimum position, the primary included.
func TestMinPositionRestrictsReads(t *testing.T) {
	r := newRouterWithCells(t, true)
	applyGrant(t, r, time.Minute, cells.Entry{Epoch: 1, Tenant: "t", Cell: "one", Stage: cells.StageIdle,
		MinPosition: math.MaxInt64 / 2})
	active := admitRPC(t, r, "read")
	select {
	case step := <-active.steps:
		require.NotEqual(t, ActionAttempt, step.Action)
	case <-time.After(20 * time.Millisecond):
	}
	active.ClientLeft()
}

// BenchmarkRouting measures an RPC served at the first attempt. `make results-cost` records the results.
func BenchmarkRouting(b *testing.B) {
	for _, mode := range []string{"cells off", "cells on", "versions on", "audit on", "audit near a change"} {
		b.Run(mode, func(b *testing.B) {
			r := newRouterWithCells(b, false)
			switch mode {
			case "cells off":
				r.admissionController = nil
			case "cells on":
			default:
				enableVersions(b, r, false)
			}
			if near, audited := map[string]int64{"audit on": 0, "audit near a change": math.MaxInt64}[mode]; audited {
				r.trail = audit.NewTrail(r.now(), versions.Instance{Name: "n", Start: 1}, "token", maxTrailEntries, near)
				r.trail.RecordActive(r.now(), Rulebook, 2)
			}
			ids := make([]string, b.N)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				active, err := r.Admit(&Request{ID: ids[i], Method: "write", Key: "club/7", IsWrite: true, Group: 1,
					TimeLeft: 2000 * nanosPerMilli})
				if err != nil {
					b.Fatal(err)
				}
				step := active.NextStep()
				active.ReportAttempt(step.AttemptNumber, answered(r.now()/nanosPerMilli, true))
				active.NextStep()
				active.AnswerDelivered()
				for r.timers.Len() > 1000 {
					r.timers.popDue(math.MaxInt64)
				}
				r.tasks = r.tasks[:0]
				if i%256 == 0 && r.trail != nil {
					r.trail.Flush(r.now())
				}
			}
		})
	}
}
