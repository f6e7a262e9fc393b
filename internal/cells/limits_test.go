package cells

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = second / 1000

// newTestController returns a controller for two cells. Tenants a0 to a49 are pinned to the first
// and b0 to b49 to the second.
func newTestController(rpcs int64, lendRatio float64) *AdmissionController {
	l := newTestLayout(1, 1, 1, 1)
	pins := map[Tenant]Cell{}
	for i := range 50 {
		pins[Tenant(fmt.Sprint("a", i))], pins[Tenant(fmt.Sprint("b", i))] = 0, 1
	}
	resolver := NewTenantResolver(nil, nil, nil, DefaultUser, "rest")
	limits := NewLimits(Budget{RPCs: rpcs, Attempts: 4 * rpcs, ResponseBytes: 1 << 20}, lendRatio, l, map[Tenant]float64{"a1": 3})
	return NewAdmissionController(NewDirectory(l, pins), resolver, limits, false, 100)
}

func newRequest(tenant string, utility float64) Request {
	return Request{Tenant: Tenant(tenant), Key: tenant, SoftDeadline: 100 * ms, TimeLeft: second, Utility: utility}
}

// admitRequests submits RPCs and returns the admitted tickets and the rejections by reason.
func admitRequests(controller *AdmissionController, tenant string, count int, now int64) (admitted []*Ticket, rejected map[Reason]int) {
	rejected = map[Reason]int{}
	for range count {
		t, decision, decided := controller.Admit(now, newRequest(tenant, 1), func(Decision) {})
		if decided && decision.Reason == ReasonNone {
			admitted = append(admitted, t)
		} else {
			rejected[decision.Reason]++
		}
	}
	return admitted, rejected
}

func finishAll(controller *AdmissionController, admitted []*Ticket, now int64) {
	for _, t := range admitted {
		controller.Finished(t, true, now)
		controller.Settle(t, now)
	}
}

// Guards against an overloaded cell that takes more of other cells' capacity than they lend.
func TestCellBorrowsOnlyLentCapacity(t *testing.T) {
	controller := newTestController(100, 0.5)
	borrowing, rejected := admitRequests(controller, "a0", 200, second)
	require.Len(t, borrowing, 75, "its own 50 and half of the other share")
	require.Equal(t, 125, rejected[ReasonTenantOverShare]+rejected[ReasonCellFull])
	admitted, _ := admitRequests(controller, "b0", 30, second)
	require.GreaterOrEqual(t, len(admitted), 25, "capacity that is not lent is available at once")
	finishAll(controller, append(borrowing, admitted...), second)
	require.Zero(t, controller.limits.bulkheads.totalUsed[RPCs])
}

// Guards against a lender that has to wait for the return of its capacity.
func TestLentCapacityIsReclaimed(t *testing.T) {
	controller := newTestController(100, 1)
	var reclaimed []Reason
	var borrowing []*Ticket
	for range 100 {
		ticket, decision, _ := controller.Admit(second, newRequest("a0", 1), func(decision Decision) { reclaimed = append(reclaimed, decision.Reason) })
		require.Equal(t, ReasonNone, decision.Reason)
		borrowing = append(borrowing, ticket)
	}
	for _, ticket := range borrowing[:90] { // these have been sent to members
		controller.AttemptStarted(ticket, second)
	}
	admitted, rejected := admitRequests(controller, "b0", 20, second)
	require.Len(t, admitted, 10, "all unsent RPCs are rejected")
	require.Equal(t, []Reason{ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull}, reclaimed)
	require.Equal(t, 10, rejected[ReasonDriverFull])
	finishAll(controller, borrowing[:20], second+ms)
	more, _ := admitRequests(controller, "a0", 20, second+2*ms)
	require.Empty(t, more, "lending is paused after a denial")
	admitted, _ = admitRequests(controller, "b0", 20, second+2*ms)
	require.Len(t, admitted, 20)
}

// Guards against a tenant that takes more than its fair share of a contended cell.
func TestTenantFairShare(t *testing.T) {
	controller := newTestController(40, 0) // 20 for each cell
	admitted, _ := admitRequests(controller, "a0", 100, second)
	require.Len(t, admitted, 20, "a single tenant may use the whole cell")
	finishAll(controller, admitted[:10], second)
	for range 200 { // a0 retries often while a1 makes few requests
		admitRequests(controller, "a0", 3, second+ms)
	}
	for _, ticket := range admitted[10:] {
		finishAll(controller, []*Ticket{ticket}, second+2*ms)
		other, _ := admitRequests(controller, "a1", 1, second+2*ms)
		require.Len(t, other, 1)
		again, _ := admitRequests(controller, "a0", 1, second+2*ms)
		require.Empty(t, again, "the tenant of weight 3 is below its fair share")
	}
	require.EqualValues(t, 10, controller.limits.shares.cells[0].active["a1"].used)
}

// Guards against RPCs of low utility that use up the remaining capacity.
func TestRemainingCapacityIsReservedForHighUtility(t *testing.T) {
	controller := newTestController(200, 0)
	controller.Admit(second, newRequest("a0", 10), func(Decision) {})
	for i := range 50 {
		admitRequests(controller, fmt.Sprint("a", i), 5, second)
	}
	_, decision, _ := controller.Admit(second, newRequest("a40", 1), func(Decision) {})
	require.Equal(t, ReasonLowUtility, decision.Reason)
	_, decision, _ = controller.Admit(second, newRequest("a40", 10), func(Decision) {})
	require.Equal(t, ReasonNone, decision.Reason)
}

// Guards against sending RPCs that will time out: the limit falls with late responses and recovers
// with timely ones.
func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	controller := newTestController(200, 0)
	now := second
	limitAfter := func(latency int64) int64 {
		admitted, _ := admitRequests(controller, "a0", 1, now)
		finishAll(controller, admitted, now+latency)
		now += latency
		return controller.limits.concurrencyLimit(0, now)
	}
	require.EqualValues(t, 100, limitAfter(10*ms))
	for range 10 {
		limitAfter(500 * ms)
	}
	reducedLimit := controller.limits.concurrencyLimit(0, now)
	require.Less(t, reducedLimit, int64(40))
	require.Equal(t, int64(100), controller.limits.concurrencyLimit(1, now), "the limit of another cell does not change")
	for range 200 {
		admitted, _ := admitRequests(controller, "a0", int(reducedLimit), now)
		now += 10 * ms
		finishAll(controller, admitted, now)
	}
	require.Greater(t, controller.limits.concurrencyLimit(0, now), reducedLimit)
}

// Guards against memory that grows with the number of tenant names.
func TestManyTenantNamesUseBoundedMemory(t *testing.T) {
	controller := newTestController(40, 0)
	suffix := 0
	for i := range 20_000 {
		name := fmt.Sprint("name-", i)
		for controller.layout.HomeCell(Tenant(name)) != 0 {
			suffix++
			name = fmt.Sprint("name-", i, "-", suffix)
		}
		admitted, _ := admitRequests(controller, name, 1, second+int64(i)*ms/100)
		finishAll(controller, admitted, second+int64(i)*ms/100)
	}
	require.LessOrEqual(t, len(controller.limits.shares.cells[0].active), maxOwnShares)
	require.LessOrEqual(t, len(controller.limits.heavyHitters.entries), maxTrackedTenants)
	require.Empty(t, controller.tenants)
	now := 10 * second
	admitted, _ := admitRequests(controller, "a0", 1, now)
	require.Len(t, admitted, 1)
	require.Len(t, controller.limits.shares.cells[0].active, 1, "idle tenants are removed")
}

// Each further attempt counts as an RPC of its tenant, and response bytes count until they are
// passed on.
func TestAttemptAndResponseAccounting(t *testing.T) {
	controller := newTestController(40, 0)
	admitted, _ := admitRequests(controller, "a0", 1, second)
	ticket := admitted[0]
	controller.AttemptStarted(ticket, second)
	require.EqualValues(t, 1, ticket.usage.used)
	controller.AttemptStarted(ticket, second)
	require.EqualValues(t, 2, ticket.usage.used)
	controller.AttemptEnded(ticket, 0, 1000, second)
	controller.AttemptEnded(ticket, 0, 0, second)
	require.EqualValues(t, 1000, controller.limits.bulkheads.Used(ResponseBytes, 0))
	controller.Finished(ticket, true, second)
	require.EqualValues(t, 1000, controller.limits.bulkheads.Used(ResponseBytes, 0))
	controller.Settle(ticket, second)
	require.Zero(t, controller.limits.bulkheads.Used(ResponseBytes, 0))
	require.Zero(t, ticket.usage.used)
}

// Guards against one cell's clients using up the connections of other cells.
func TestMostOverConnectionShare(t *testing.T) {
	l := newTestLayout(1, 1, 1, 3)
	limits := NewLimits(Budget{RPCs: 10, Attempts: 10, ClientConnections: 40}, 0, l, nil) // 10 and 30 connections
	controller := NewAdmissionController(NewDirectory(l, nil), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), limits, false, 1)
	connect := func(c Cell, n int) {
		for range n {
			controller.MoveConnection(NoCell, c)
		}
	}
	connect(0, 10)
	connect(1, 30)
	require.Equal(t, NoCell, controller.MostOverConnectionShare(), "both cells are within their shares")
	connect(1, 3)
	require.Equal(t, Cell(1), controller.MostOverConnectionShare())
	connect(0, 5)
	require.Equal(t, Cell(0), controller.MostOverConnectionShare())
	for range 6 {
		controller.MoveConnection(0, 1)
	}
	require.Equal(t, Cell(1), controller.MostOverConnectionShare())
	for range 10 {
		controller.MoveConnection(1, NoCell)
	}
	require.Equal(t, NoCell, controller.MostOverConnectionShare())
}

// All resources in use are returned, whatever the order of events.
func TestResourceUseIsReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newTestController(int64(rapid.IntRange(2, 60).Draw(t, "rpcs")), rapid.Float64Range(0, 1).Draw(t, "lend"))
		var open []*Ticket
		now := second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*ms).Draw(t, "elapsed")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "cell"), rapid.IntRange(0, 4).Draw(t, "tenant"))
				admitted, _ := admitRequests(controller, name, 1, now)
				open = append(open, admitted...)
			case 2:
				if len(open) > 0 && !open[0].finished {
					controller.AttemptStarted(open[0], now)
					controller.AttemptEnded(open[0], 0, rapid.IntRange(0, 5000).Draw(t, "bytes"), now)
				}
			case 3:
				if len(open) > 0 {
					finishAll(controller, open[:1], now)
					open = open[1:]
				}
			}
			require.LessOrEqual(t, controller.limits.bulkheads.totalUsed[RPCs], controller.limits.bulkheads.budget[RPCs])
		}
		finishAll(controller, open, now)
		for c := range controller.layout.names {
			for resource := range controller.limits.bulkheads.used {
				require.Zero(t, controller.limits.bulkheads.used[resource][c])
			}
			for _, usage := range controller.limits.shares.cells[c].active {
				require.Zero(t, usage.used)
			}
		}
		require.Empty(t, controller.tenants)
	})
}
