package rules_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/rules"
)

// still is a host on which time stands still and attempts stay out.
type still struct {
	timers   int
	pushed   int
	attempts int
}

func (h *still) Now() int64                                    { return int64(time.Hour) }
func (h *still) After(int64, func())                           { h.timers++ }
func (h *still) Cancel(rules.RPCID, int)                       {}
func (h *still) CloseIdle(rules.MemberID)                      {}
func (h *still) Forget(rules.MemberID)                         {}
func (h *still) Watch()                                        {}
func (h *still) Log(string)                                    {}
func (h *still) RejectWithRetryAfter(rules.RPCID, int64)       { h.pushed++ }
func (h *still) Abort(rules.RPCID)                             {}
func (h *still) SendReports([]rules.PeerReport)                {}
func (h *still) Probe(rules.MemberID, func(rules.ProbeResult)) {}
func (h *still) Attempt(rules.RPCID, rules.MemberID, int64, func(rules.Result)) int {
	h.attempts++
	return h.attempts
}

// sized is a driver with so many members in groups of so many, of which the positions are known but no primary.
func sized(members, group int) (d *rules.Driver, lines []rules.MemberEntry) {
	sec := int64(time.Second)
	methods := []rules.Method{{Name: "read", Consistency: rules.ConsistencyBounded, MaxStaleness: sec, SoftDeadline: sec, Deadline: 2 * sec, Effect: rules.Idempotent, Utility: 1, LateUtility: 0.5},
		{Name: "write", Consistency: rules.ConsistencyWrite, SoftDeadline: sec, Deadline: 2 * sec, Utility: 1, LateUtility: 0.5}}
	h := &still{}
	d = rules.New(h, 1, methods, rules.Fleet{Drivers: 300, ReportsPerMessage: 20}, rules.Store{RejectsStaleReads: true}, rules.Policy{Probing: true, MaxAttempts: 4, MaxRetryAfter: 1}, rules.SlowStart{}, rules.Discovery{})
	var news []rules.PeerReport
	for m := range members {
		lines = append(lines, rules.MemberEntry{Member: rules.MemberID(m + 1), Group: rules.GroupID(m / group), State: rules.Healthy, Weight: 1})
		news = append(news, rules.PeerReport{Member: rules.MemberID(m + 1), Observation: rules.Observation{Role: rules.RoleReplica, Position: h.Now() - 1000 - int64(m)}, Latency: 1_000_000})
	}
	d.UpdateMembers(lines, true)
	d.ReceiveReports(news)
	return d, lines
}

// layouts is how many times each thing is built: where its arrays come to lie in memory makes it up to twice as slow (seen: a pick among 300
// takes 86 or 168 us, each steadily in one process).
const layouts = 6

// least are the times that the quickest of some rounds of each of several things take, in the best of some layouts, which other work on the
// machine changes least. They take turns, since the machine itself may run at another speed for a while.
func least(rounds int, things []func() (do func())) (took []float64) {
	for range things {
		took = append(took, math.MaxFloat64)
	}
	for range layouts {
		var laid []func()
		for _, build := range things {
			laid = append(laid, build())
		}
		for range rounds {
			for i, do := range laid {
				begun := time.Now()
				do()
				took[i] = min(took[i], float64(time.Since(begun)))
			}
		}
	}
	return took
}

// Guards against work that grows faster than what it is about: a pick with the members of its group, a list with its lines,
// also while RPCs are held.
func TestCostsGrowWithMembers(t *testing.T) {
	sizes := []int{100, 300, 1000}
	var picking, listing []func() (do func())
	for _, n := range sizes {
		picking = append(picking, func() func() {
			d, _ := sized(n, n)
			last := rules.RPCID(0)
			return func() {
				for range 20 {
					last++
					d.Submit(rules.RPC{ID: last, Method: 0, TimeLeft: int64(time.Second)})
					d.ClientLeft(last)
				}
			}
		})
		listing = append(listing, func() func() {
			d, lines := sized(n, 20)
			for i := range 500 { // writes, for which there is no primary
				d.Submit(rules.RPC{ID: rules.RPCID(i + 1), Method: 1, Group: rules.GroupID(i % (n / 20)), TimeLeft: int64(time.Second)})
			}
			return func() { d.UpdateMembers(lines, true) }
		})
	}
	picks, lists := least(41, picking), least(21, listing)
	t.Logf("members %v: picks %.0f ns, lists %.0f ns", sizes, picks, lists)
	for i, n := range sizes[1:] {
		most := math.Pow(float64(n)/float64(sizes[0]), 1.5) // halfway between in step and with the square
		require.Less(t, picks[i+1]/picks[0], most, "a pick among %d", n)
		require.Less(t, lists[i+1]/lists[0], most, "a list of %d", n)
	}
}
