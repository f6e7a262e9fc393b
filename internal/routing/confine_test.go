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

// confined gives a router whose tenants have cells: t is in the first, which is group 1, until it is moved.
func confined(t testing.TB, leased bool) *Router {
	r := begin(t, "a", "b")
	l := cells.NewLayout(1)
	l.Add("one", cells.Groups{1}, 1, 0, "")
	l.Add("two", cells.Groups{2}, 0, 0, "")
	y := cells.NewTenantResolver(nil, nil, nil, cells.DefaultNone, "t")
	limits := cells.NewLimits(cells.Budget{cells.RPCs: 100, cells.Attempts: 100}, 0.5, l, nil)
	r.EnableAdmission(cells.NewAdmissionController(cells.NewDirectory(l, nil), y, limits, leased, 2))
	for _, name := range []string{"a", "b"} {
		id, _ := r.MemberID(name)
		r.mu.Lock()
		r.driver.ReceiveReports([]rules.PeerReport{{Member: id, Observation: rules.Observation{Role: map[string]rules.Role{"a": rules.RolePrimary, "b": rules.RoleReplica}[name],
			Position: r.now()}}})
		r.mu.Unlock()
	}
	return r
}

var asked int

func admit(t *testing.T, r *Router, method string) *ActiveRPC {
	asked++
	trip, err := r.Admit(&Request{ID: fmt.Sprint(asked), Method: method, Key: "k", IsWrite: method == "write", Group: 77, TimeLeft: 2000 * milli})
	require.NoError(t, err)
	return trip
}

func grant(t *testing.T, r *Router, lease time.Duration, e ...cells.Entry) {
	g := cells.Grant{Lease: int64(lease), Entries: e}
	for _, n := range e {
		g.LatestEpoch = max(g.LatestEpoch, n.Epoch)
	}
	require.NoError(t, r.ReportGrant(r.now(), g))
}

// pick waits for a trip's next step while what falls due is done.
func pick(t *testing.T, trip *ActiveRPC) Step {
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(time.Millisecond) {
		select {
		case s := <-trip.steps:
			return s
		default:
			trip.r.turn()
		}
	}
	require.Fail(t, "no step comes")
	return Step{}
}

// Guards against RPCs that are lost between the gate and the module.
func TestRPCAdmittedToItsCell(t *testing.T) {
	r := confined(t, false)
	trip := admit(t, r, "write")
	step := pick(t, trip)
	require.Equal(t, ActionAttempt, step.Action, "the group is the cell's, not the client's")
	trip.ReportAttempt(step.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionServe, pick(t, trip).Action)
	figures := func() cells.Stats {
		return ReadAdmission(r, func(now int64, g *cells.AdmissionController) cells.Stats { return g.Stats(now, 5) })
	}
	require.Equal(t, 1, figures().Tenants, "until its answer is passed on")
	trip.AnswerDelivered()
	require.Zero(t, figures().Cells[0].RPCs+figures().Cells[0].Attempts)
	left := admit(t, r, "write")
	pick(t, left)
	left.ClientLeft()
	require.Equal(t, ActionDrop, pick(t, left).Action)
}

// Guards against a driver that does not know where its tenant is: RPCs are pushed back before an attempt; after one, a
// read is, and a write that may have run is aborted, whatever its answer says.
func TestExpiredLeaseEndsRPCs(t *testing.T) {
	r := confined(t, true)
	require.Equal(t, ActionReject, pick(t, admit(t, r, "write")).Action)
	grant(t, r, 150*time.Millisecond)
	write, read, quick := admit(t, r, "write"), admit(t, r, "read"), admit(t, r, "write")
	w, d, q := pick(t, write), pick(t, read), pick(t, quick)
	quick.ReportAttempt(q.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionServe, pick(t, quick).Action)
	time.Sleep(200 * time.Millisecond)
	write.ReportAttempt(w.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionAbort, pick(t, write).Action, "it ran, and its tenant may be elsewhere")
	read.ReportAttempt(d.AttemptNumber, ok(r.now()/milli, true))
	require.Equal(t, ActionReject, pick(t, read).Action)
}

// Guards against a second attempt in the old cell once its tenant is in the new one.
func TestNoAttemptAfterCellSwitch(t *testing.T) {
	r := confined(t, true)
	grant(t, r, time.Minute)
	trip := admit(t, r, "write")
	step := pick(t, trip)
	grant(t, r, time.Minute, cells.Entry{Epoch: 9, Tenant: "t", Cell: "two", Stage: cells.StageIdle, MinPosition: 5})
	trip.ReportAttempt(step.AttemptNumber, Outcome{CloseReason: transport.DialRefused}) // it never ran, and would be sent again
	require.Equal(t, ActionReject, pick(t, trip).Action)
	r.turn()
	require.Empty(t, r.trips)
}

// Held RPCs go on in the new cell, or are pushed back while their clients can ask again.
func TestRPCsHeldDuringMove(t *testing.T) {
	r := confined(t, true)
	grant(t, r, time.Minute, cells.Entry{Epoch: 1, Tenant: "t", Cell: "one", Stage: cells.StageHoldingWrites, To: "two"})
	held, gone, over := admit(t, r, "write"), admit(t, r, "write"), admit(t, r, "write")
	require.Equal(t, ActionReject, pick(t, over).Action, "no more than may be held")
	require.Equal(t, ActionAttempt, pick(t, admit(t, r, "read")).Action, "reads go on")
	gone.ClientLeft()
	require.Equal(t, ActionDrop, pick(t, gone).Action)
	report, _ := r.Report("n", 1)
	require.Zero(t, report.Moves[0].Writes, "those that are held are not in flight")
	grant(t, r, time.Minute, cells.Entry{Epoch: 2, Tenant: "t", Cell: "one", Stage: cells.StageRollingBack, To: "two"})
	require.Equal(t, ActionAttempt, pick(t, held).Action, "the move was called off")
	grant(t, r, time.Minute, cells.Entry{Epoch: 3, Tenant: "t", Cell: "one", Stage: cells.StageHoldingAll, To: "two"})
	asked++
	short, err := r.Admit(&Request{ID: fmt.Sprint(asked), Method: "read", Key: "k", TimeLeft: 50 * milli})
	require.NoError(t, err)
	require.Equal(t, ActionReject, pick(t, short).Action)
}

// A floor keeps reads from members behind it, the primary included.
func TestMinPositionRestrictsReads(t *testing.T) {
	r := confined(t, true)
	grant(t, r, time.Minute, cells.Entry{Epoch: 1, Tenant: "t", Cell: "one", Stage: cells.StageIdle, MinPosition: math.MaxInt64 / 2})
	trip := admit(t, r, "read")
	select {
	case s := <-trip.steps:
		require.NotEqual(t, ActionAttempt, s.Action)
	case <-time.After(20 * time.Millisecond):
	}
	trip.ClientLeft()
}

// Cost of the ordinary path: `make results-cost` keeps the figures.
func BenchmarkRouting(b *testing.B) {
	for _, on := range []string{"cells off", "cells on", "versions on", "audit on", "audit near a change"} {
		b.Run(on, func(b *testing.B) {
			r := confined(b, false)
			switch on {
			case "cells off":
				r.gate = nil
			case "cells on":
			default:
				heeds(b, r, false)
			}
			if near, audited := map[string]int64{"audit on": 0, "audit near a change": math.MaxInt64}[on]; audited {
				r.trail = audit.NewTrail(r.now(), versions.Instance{Name: "n", Start: 1}, "token", mostEntries, near)
				r.trail.RecordActive(r.now(), Rulebook, 2)
			}
			names := make([]string, b.N)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				trip, err := r.Admit(&Request{ID: names[i], Method: "write", Key: "club/7", IsWrite: true, Group: 1, TimeLeft: 2000 * milli})
				if err != nil {
					b.Fatal(err)
				}
				step := trip.NextStep()
				trip.ReportAttempt(step.AttemptNumber, ok(r.now()/milli, true))
				trip.NextStep()
				trip.AnswerDelivered()
				for r.timers.Len() > 1000 {
					r.timers.due(math.MaxInt64)
				}
				r.duties = r.duties[:0]
				if i%256 == 0 && r.trail != nil {
					r.trail.Flush(r.now())
				}
			}
		})
	}
}
