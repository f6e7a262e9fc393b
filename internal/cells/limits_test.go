package cells

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = second / 1000

// newTestController is a gate over two cells with a budget of RPCs; tenant a0… are pinned to the first, b0… to the second.
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

// admitRequests asks for so many RPCs and gives those that were let in.
func admitRequests(g *AdmissionController, tenant string, count int, now int64) (admitted []*Ticket, rejected map[Reason]int) {
	rejected = map[Reason]int{}
	for range count {
		t, v, decided := g.Admit(now, newRequest(tenant, 1), func(Decision) {})
		if decided && v.Reason == ReasonNone {
			admitted = append(admitted, t)
		} else {
			rejected[v.Reason]++
		}
	}
	return admitted, rejected
}

func finishAll(g *AdmissionController, admitted []*Ticket, now int64) {
	for _, t := range admitted {
		g.Finished(t, true, now)
		g.Settle(t, now)
	}
}

// Guards the other cells against a flood into one: it may borrow what is idle, and no more than is lent.
func TestCellBorrowsOnlyLentCapacity(t *testing.T) {
	g := newTestController(100, 0.5)
	borrowing, rejected := admitRequests(g, "a0", 200, second)
	require.Len(t, borrowing, 75, "its own 50 and half of the other's")
	require.Equal(t, 125, rejected[ReasonTenantOverShare]+rejected[ReasonCellFull])
	own, _ := admitRequests(g, "b0", 30, second)
	require.GreaterOrEqual(t, len(own), 25, "what is not lent is there at once")
	finishAll(g, append(borrowing, own...), second)
	require.Zero(t, g.limits.bulkheads.totalUsed[RPCs])
}

// Guards against a lender that has to wait for its own.
func TestLentCapacityIsReclaimed(t *testing.T) {
	g := newTestController(100, 1)
	var reclaimed []Reason
	var borrowing []*Ticket
	for range 100 {
		ticket, v, _ := g.Admit(second, newRequest("a0", 1), func(v Decision) { reclaimed = append(reclaimed, v.Reason) })
		require.Equal(t, ReasonNone, v.Reason)
		borrowing = append(borrowing, ticket)
	}
	for _, ticket := range borrowing[:90] { // members have these
		g.AttemptStarted(ticket, second)
	}
	own, rejected := admitRequests(g, "b0", 20, second)
	require.Len(t, own, 10, "all that no member got was taken back")
	require.Equal(t, []Reason{ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull}, reclaimed)
	require.Equal(t, 10, rejected[ReasonDriverFull])
	finishAll(g, borrowing[:20], second+ms)
	more, _ := admitRequests(g, "a0", 20, second+2*ms)
	require.Empty(t, more, "nothing is lent while its owner wants it")
	own, _ = admitRequests(g, "b0", 20, second+2*ms)
	require.Len(t, own, 20)
}

// Guards a cell's tenants against a neighbour: it has what is idle, and its fair share once they come.
func TestTenantFairShare(t *testing.T) {
	g := newTestController(40, 0) // 20 of them the first cell's
	admitted, _ := admitRequests(g, "a0", 100, second)
	require.Len(t, admitted, 20, "alone it has all of the cell")
	finishAll(g, admitted[:10], second)
	for range 200 { // it comes again and again, and its neighbour slowly
		admitRequests(g, "a0", 3, second+ms)
	}
	for _, ticket := range admitted[10:] {
		finishAll(g, []*Ticket{ticket}, second+2*ms)
		other, _ := admitRequests(g, "a1", 1, second+2*ms)
		require.Len(t, other, 1)
		again, _ := admitRequests(g, "a0", 1, second+2*ms)
		require.Empty(t, again, "its neighbour of weight 3 is below its share")
	}
	require.EqualValues(t, 10, g.limits.shares.cells[0].active["a1"].used)
}

// Guards against RPCs of little worth that take the last of the room.
func TestRemainingCapacityIsReservedForHighUtility(t *testing.T) {
	g := newTestController(200, 0)
	g.Admit(second, newRequest("a0", 10), func(Decision) {})
	for i := range 50 {
		admitRequests(g, fmt.Sprint("a", i), 5, second)
	}
	_, v, _ := g.Admit(second, newRequest("a40", 1), func(Decision) {})
	require.Equal(t, ReasonLowUtility, v.Reason)
	_, v, _ = g.Admit(second, newRequest("a40", 10), func(Decision) {})
	require.Equal(t, ReasonNone, v.Reason)
}

// Guards against work in vain: a cell that answers late gets less, and more again once it is in time.
func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	g := newTestController(200, 0)
	now := second
	limitAfter := func(latency int64) int64 {
		in, _ := admitRequests(g, "a0", 1, now)
		finishAll(g, in, now+latency)
		now += latency
		return g.limits.concurrencyLimit(0, now)
	}
	require.EqualValues(t, 100, limitAfter(10*ms))
	for range 10 {
		limitAfter(500 * ms)
	}
	low := g.limits.concurrencyLimit(0, now)
	require.Less(t, low, int64(40))
	require.Equal(t, int64(100), g.limits.concurrencyLimit(1, now), "another cell's answers are its own matter")
	for range 200 {
		in, _ := admitRequests(g, "a0", int(low), now)
		now += 10 * ms
		finishAll(g, in, now)
	}
	require.Greater(t, g.limits.concurrencyLimit(0, now), low)
}

// Guards against memory that grows with names, and against a share for each name of a flood.
func TestManyTenantNamesUseBoundedMemory(t *testing.T) {
	g := newTestController(40, 0)
	suffix := 0
	for i := range 20_000 {
		name := fmt.Sprint("name-", i)
		for g.layout.HomeCell(Tenant(name)) != 0 {
			suffix++
			name = fmt.Sprint("name-", i, "-", suffix)
		}
		in, _ := admitRequests(g, name, 1, second+int64(i)*ms/100)
		finishAll(g, in, second+int64(i)*ms/100)
	}
	require.LessOrEqual(t, len(g.limits.shares.cells[0].active), maxOwnShares)
	require.LessOrEqual(t, len(g.limits.heavyHitters.entries), maxTrackedTenants)
	require.Empty(t, g.tenants)
	now := 10 * second
	in, _ := admitRequests(g, "a0", 1, now)
	require.Len(t, in, 1)
	require.Len(t, g.limits.shares.cells[0].active, 1, "those that left are forgotten")
}

// A further call-out counts as a further RPC of its tenant; an answer counts until it is passed on.
func TestAttemptAndResponseAccounting(t *testing.T) {
	g := newTestController(40, 0)
	admitted, _ := admitRequests(g, "a0", 1, second)
	ticket := admitted[0]
	g.AttemptStarted(ticket, second)
	require.EqualValues(t, 1, ticket.usage.used)
	g.AttemptStarted(ticket, second)
	require.EqualValues(t, 2, ticket.usage.used)
	g.AttemptEnded(ticket, 0, 1000, second)
	g.AttemptEnded(ticket, 0, 0, second)
	require.EqualValues(t, 1000, g.limits.bulkheads.Used(ResponseBytes, 0))
	g.Finished(ticket, true, second)
	require.EqualValues(t, 1000, g.limits.bulkheads.Used(ResponseBytes, 0))
	g.Settle(ticket, second)
	require.Zero(t, g.limits.bulkheads.Used(ResponseBytes, 0))
	require.Zero(t, ticket.usage.used)
}

// Guards the clients of other cells against one cell's that hold connections by hundreds.
func TestMostOverConnectionShare(t *testing.T) {
	l := newTestLayout(1, 1, 1, 3)
	m := NewLimits(Budget{RPCs: 10, Attempts: 10, ClientConnections: 40}, 0, l, nil) // 10 and 30
	g := NewAdmissionController(NewDirectory(l, nil), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), m, false, 1)
	connect := func(c Cell, n int) {
		for range n {
			g.MoveConnection(NoCell, c)
		}
	}
	connect(0, 10)
	connect(1, 30)
	require.Equal(t, NoCell, g.MostOverConnectionShare(), "each has its share")
	connect(1, 3)
	require.Equal(t, Cell(1), g.MostOverConnectionShare())
	connect(0, 5)
	require.Equal(t, Cell(0), g.MostOverConnectionShare())
	for range 6 {
		g.MoveConnection(0, 1)
	}
	require.Equal(t, Cell(1), g.MostOverConnectionShare())
	for range 10 {
		g.MoveConnection(1, NoCell)
	}
	require.Equal(t, NoCell, g.MostOverConnectionShare())
}

// Whatever comes, all that is used is given back, and no cell below its share is turned away while there is room.
func TestResourceUseIsReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestController(int64(rapid.IntRange(2, 60).Draw(t, "rpcs")), rapid.Float64Range(0, 1).Draw(t, "lend"))
		var open []*Ticket
		now := second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*ms).Draw(t, "passes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "cell"), rapid.IntRange(0, 4).Draw(t, "tenant"))
				in, _ := admitRequests(g, name, 1, now)
				open = append(open, in...)
			case 2:
				if len(open) > 0 && !open[0].finished {
					g.AttemptStarted(open[0], now)
					g.AttemptEnded(open[0], 0, rapid.IntRange(0, 5000).Draw(t, "bytes"), now)
				}
			case 3:
				if len(open) > 0 {
					finishAll(g, open[:1], now)
					open = open[1:]
				}
			}
			require.LessOrEqual(t, g.limits.bulkheads.totalUsed[RPCs], g.limits.bulkheads.budget[RPCs])
		}
		finishAll(g, open, now)
		for c := range g.layout.names {
			for k := range g.limits.bulkheads.used {
				require.Zero(t, g.limits.bulkheads.used[k][c])
			}
			for _, p := range g.limits.shares.cells[c].active {
				require.Zero(t, p.used)
			}
		}
		require.Empty(t, g.tenants)
	})
}
