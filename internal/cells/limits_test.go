package cells

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = second / 1000

// trialGate is a gate over two cells with a budget of RPCs; tenant a0… are pinned to the first, b0… to the second.
func trialGate(rpcs int64, lend float64) *AdmissionController {
	l := layoutOf(1, 1, 1, 1)
	pins := map[Tenant]Cell{}
	for i := range 50 {
		pins[Tenant(fmt.Sprint("a", i))], pins[Tenant(fmt.Sprint("b", i))] = 0, 1
	}
	y := NewTenantResolver(nil, nil, nil, DefaultUser, "rest")
	m := NewLimits(Budget{RPCs: rpcs, Attempts: 4 * rpcs, ResponseBytes: 1 << 20}, lend, l, map[Tenant]float64{"a1": 3})
	return NewAdmissionController(NewDirectory(l, pins), y, m, false, 100)
}

func ask(tenant string, utility float64) Request {
	return Request{Tenant: Tenant(tenant), Key: tenant, SoftDeadline: 100 * ms, TimeLeft: second, Utility: utility}
}

// fill asks for so many RPCs and gives those that were let in.
func fill(g *AdmissionController, tenant string, count int, now int64) (in []*Ticket, turned map[Reason]int) {
	turned = map[Reason]int{}
	for range count {
		t, v, decided := g.Admit(now, ask(tenant, 1), func(Decision) {})
		if decided && v.Reason == ReasonNone {
			in = append(in, t)
		} else {
			turned[v.Reason]++
		}
	}
	return in, turned
}

func end(g *AdmissionController, in []*Ticket, now int64) {
	for _, t := range in {
		g.Finished(t, true, now)
		g.Settle(t, now)
	}
}

// Guards the other cells against a flood into one: it may borrow what is idle, and no more than is lent.
func TestCellBorrowsOnlyLentCapacity(t *testing.T) {
	g := trialGate(100, 0.5)
	in, turned := fill(g, "a0", 200, second)
	require.Len(t, in, 75, "its own 50 and half of the other's")
	require.Equal(t, 125, turned[ReasonTenantOverShare]+turned[ReasonCellFull])
	own, _ := fill(g, "b0", 30, second)
	require.GreaterOrEqual(t, len(own), 25, "what is not lent is there at once")
	end(g, append(in, own...), second)
	require.Zero(t, g.limits.heads.sum[RPCs])
}

// Guards against a lender that has to wait for its own.
func TestLentCapacityIsReclaimed(t *testing.T) {
	g := trialGate(100, 1)
	var back []Reason
	var in []*Ticket
	for range 100 {
		tk, v, _ := g.Admit(second, ask("a0", 1), func(v Decision) { back = append(back, v.Reason) })
		require.Equal(t, ReasonNone, v.Reason)
		in = append(in, tk)
	}
	for _, tk := range in[:90] { // members have these
		g.AttemptStarted(tk, second)
	}
	own, turned := fill(g, "b0", 20, second)
	require.Len(t, own, 10, "all that no member got was taken back")
	require.Equal(t, []Reason{ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull, ReasonDriverFull}, back)
	require.Equal(t, 10, turned[ReasonDriverFull])
	end(g, in[:20], second+ms)
	more, _ := fill(g, "a0", 20, second+2*ms)
	require.Empty(t, more, "nothing is lent while its owner wants it")
	own, _ = fill(g, "b0", 20, second+2*ms)
	require.Len(t, own, 20)
}

// Guards a cell's tenants against a neighbour: it has what is idle, and its fair share once they come.
func TestTenantFairShare(t *testing.T) {
	g := trialGate(40, 0) // 20 of them the first cell's
	in, _ := fill(g, "a0", 100, second)
	require.Len(t, in, 20, "alone it has all of the cell")
	end(g, in[:10], second)
	for range 200 { // it comes again and again, and its neighbour slowly
		fill(g, "a0", 3, second+ms)
	}
	for _, tk := range in[10:] {
		end(g, []*Ticket{tk}, second+2*ms)
		other, _ := fill(g, "a1", 1, second+2*ms)
		require.Len(t, other, 1)
		again, _ := fill(g, "a0", 1, second+2*ms)
		require.Empty(t, again, "its neighbour of weight 3 is below its share")
	}
	require.EqualValues(t, 10, g.limits.shares.cells[0].present["a1"].used)
}

// Guards against RPCs of little worth that take the last of the room.
func TestRemainingCapacityIsReservedForHighUtility(t *testing.T) {
	g := trialGate(200, 0)
	g.Admit(second, ask("a0", 10), func(Decision) {})
	for i := range 50 {
		fill(g, fmt.Sprint("a", i), 5, second)
	}
	_, v, _ := g.Admit(second, ask("a40", 1), func(Decision) {})
	require.Equal(t, ReasonLowUtility, v.Reason)
	_, v, _ = g.Admit(second, ask("a40", 10), func(Decision) {})
	require.Equal(t, ReasonNone, v.Reason)
}

// Guards against work in vain: a cell that answers late gets less, and more again once it is in time.
func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	g := trialGate(200, 0)
	now := second
	late := func(took int64) int64 {
		in, _ := fill(g, "a0", 1, now)
		end(g, in, now+took)
		now += took
		return g.limits.room(0, now)
	}
	require.EqualValues(t, 100, late(10*ms))
	for range 10 {
		late(500 * ms)
	}
	low := g.limits.room(0, now)
	require.Less(t, low, int64(40))
	require.Equal(t, int64(100), g.limits.room(1, now), "another cell's answers are its own matter")
	for range 200 {
		in, _ := fill(g, "a0", int(low), now)
		now += 10 * ms
		end(g, in, now)
	}
	require.Greater(t, g.limits.room(0, now), low)
}

// Guards against memory that grows with names, and against a share for each name of a flood.
func TestManyTenantNamesUseBoundedMemory(t *testing.T) {
	g := trialGate(40, 0)
	y := 0
	for i := range 20_000 {
		name := fmt.Sprint("name-", i)
		for g.layout.HomeCell(Tenant(name)) != 0 {
			y++
			name = fmt.Sprint("name-", i, "-", y)
		}
		in, _ := fill(g, name, 1, second+int64(i)*ms/100)
		end(g, in, second+int64(i)*ms/100)
	}
	require.LessOrEqual(t, len(g.limits.shares.cells[0].present), mostNamed)
	require.LessOrEqual(t, len(g.limits.heavy.places), heavyKept)
	require.Empty(t, g.tenants)
	now := 10 * second
	in, _ := fill(g, "a0", 1, now)
	require.Len(t, in, 1)
	require.Len(t, g.limits.shares.cells[0].present, 1, "those that left are forgotten")
}

// A further call-out counts as a further RPC of its tenant; an answer counts until it is passed on.
func TestAttemptAndResponseAccounting(t *testing.T) {
	g := trialGate(40, 0)
	in, _ := fill(g, "a0", 1, second)
	tk := in[0]
	g.AttemptStarted(tk, second)
	require.EqualValues(t, 1, tk.presence.used)
	g.AttemptStarted(tk, second)
	require.EqualValues(t, 2, tk.presence.used)
	g.AttemptEnded(tk, 0, 1000, second)
	g.AttemptEnded(tk, 0, 0, second)
	require.EqualValues(t, 1000, g.limits.heads.Used(ResponseBytes, 0))
	g.Finished(tk, true, second)
	require.EqualValues(t, 1000, g.limits.heads.Used(ResponseBytes, 0))
	g.Settle(tk, second)
	require.Zero(t, g.limits.heads.Used(ResponseBytes, 0))
	require.Zero(t, tk.presence.used)
}

// Guards the clients of other cells against one cell's that hold connections by hundreds.
func TestMostOverConnectionShare(t *testing.T) {
	l := layoutOf(1, 1, 1, 3)
	m := NewLimits(Budget{RPCs: 10, Attempts: 10, ClientConnections: 40}, 0, l, nil) // 10 and 30
	g := NewAdmissionController(NewDirectory(l, nil), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), m, false, 1)
	seat := func(c Cell, n int) {
		for range n {
			g.MoveConnection(NoCell, c)
		}
	}
	seat(0, 10)
	seat(1, 30)
	require.Equal(t, NoCell, g.MostOverConnectionShare(), "each has its share")
	seat(1, 3)
	require.Equal(t, Cell(1), g.MostOverConnectionShare())
	seat(0, 5)
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
		g := trialGate(int64(rapid.IntRange(2, 60).Draw(t, "rpcs")), rapid.Float64Range(0, 1).Draw(t, "lend"))
		var open []*Ticket
		now := second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*ms).Draw(t, "passes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "cell"), rapid.IntRange(0, 4).Draw(t, "tenant"))
				in, _ := fill(g, name, 1, now)
				open = append(open, in...)
			case 2:
				if len(open) > 0 && !open[0].ended {
					g.AttemptStarted(open[0], now)
					g.AttemptEnded(open[0], 0, rapid.IntRange(0, 5000).Draw(t, "bytes"), now)
				}
			case 3:
				if len(open) > 0 {
					end(g, open[:1], now)
					open = open[1:]
				}
			}
			require.LessOrEqual(t, g.limits.heads.sum[RPCs], g.limits.heads.all[RPCs])
		}
		end(g, open, now)
		for c := range g.layout.names {
			for k := range g.limits.heads.used {
				require.Zero(t, g.limits.heads.used[k][c])
			}
			for _, p := range g.limits.shares.cells[c].present {
				require.Zero(t, p.used)
			}
		}
		require.Empty(t, g.tenants)
	})
}
