package rules_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/rules"
)

// frozenHost is a host whose clock stands still and whose attempts never end.
type frozenHost struct {
	timers     int
	rejections int
	attempts   int
}

func (h *frozenHost) Now() int64                                    { return int64(time.Hour) }
func (h *frozenHost) After(int64, func())                           { h.timers++ }
func (h *frozenHost) Cancel(rules.RPCID, int)                       {}
func (h *frozenHost) CloseIdle(rules.MemberID)                      {}
func (h *frozenHost) Forget(rules.MemberID)                         {}
func (h *frozenHost) Watch()                                        {}
func (h *frozenHost) Log(string)                                    {}
func (h *frozenHost) RejectWithRetryAfter(rules.RPCID, int64)       { h.rejections++ }
func (h *frozenHost) Abort(rules.RPCID)                             {}
func (h *frozenHost) SendReports([]rules.PeerReport)                {}
func (h *frozenHost) Probe(rules.MemberID, func(rules.ProbeResult)) {}
func (h *frozenHost) Attempt(rules.RPCID, rules.MemberID, int64, func(rules.Result)) int {
	h.attempts++
	return h.attempts
}

// newSizedDriver returns a driver that knows the positions of its members but no primary.
func newSizedDriver(members, group int) (d *rules.Driver, entries []rules.MemberEntry) {
	sec := int64(time.Second)
	methods := []rules.Method{{Name: "read", Consistency: rules.ConsistencyBounded, MaxStaleness: sec, SoftDeadline: sec, Deadline: 2 * sec, Effect: rules.Idempotent, Utility: 1, LateUtility: 0.5},
		{Name: "write", Consistency: rules.ConsistencyWrite, SoftDeadline: sec, Deadline: 2 * sec, Utility: 1, LateUtility: 0.5}}
	host := &frozenHost{}
	d = rules.New(host, 1, methods, rules.Fleet{Drivers: 300, ReportsPerMessage: 20}, rules.Store{RejectsStaleReads: true}, rules.Policy{Probing: true, MaxAttempts: 4, MaxRetryAfter: 1}, rules.SlowStart{}, rules.Discovery{})
	var reports []rules.PeerReport
	for m := range members {
		entries = append(entries, rules.MemberEntry{Member: rules.MemberID(m + 1), Group: rules.GroupID(m / group), State: rules.Healthy, Weight: 1})
		reports = append(reports, rules.PeerReport{Member: rules.MemberID(m + 1), Observation: rules.Observation{Role: rules.RoleReplica, Position: host.Now() - 1000 - int64(m)}, Latency: 1_000_000})
	}
	d.UpdateMembers(entries, true)
	d.ReceiveReports(reports)
	return d, entries
}

// rebuilds is how often each structure is built; its memory layout changes the timing.
const rebuilds = 6

// fastestTimes returns the shortest duration of each operation over all builds and rounds. The
// operations alternate so that a change in machine speed affects all of them.
func fastestTimes(rounds int, builders []func() (operation func())) (times []float64) {
	for range builders {
		times = append(times, math.MaxFloat64)
	}
	for range rebuilds {
		var operations []func()
		for _, build := range builders {
			operations = append(operations, build())
		}
		for range rounds {
			for i, operation := range operations {
				start := time.Now()
				operation()
				times[i] = min(times[i], float64(time.Since(start)))
			}
		}
	}
	return times
}

// Guards against picks and membership updates whose cost grows much faster than the number of
// members, also while RPCs are held.
func TestCostsGrowWithMembers(t *testing.T) {
	sizes := []int{100, 300, 1000}
	var pickBuilders, listBuilders []func() (do func())
	for _, n := range sizes {
		pickBuilders = append(pickBuilders, func() func() {
			d, _ := newSizedDriver(n, n)
			last := rules.RPCID(0)
			return func() {
				for range 20 {
					last++
					d.Submit(rules.RPC{ID: last, Method: 0, TimeLeft: int64(time.Second)})
					d.ClientLeft(last)
				}
			}
		})
		listBuilders = append(listBuilders, func() func() {
			d, entries := newSizedDriver(n, 20)
			for i := range 500 { // writes, which are held without a primary
				d.Submit(rules.RPC{ID: rules.RPCID(i + 1), Method: 1, Group: rules.GroupID(i % (n / 20)), TimeLeft: int64(time.Second)})
			}
			return func() { d.UpdateMembers(entries, true) }
		})
	}
	picks, lists := fastestTimes(41, pickBuilders), fastestTimes(21, listBuilders)
	t.Logf("members %v: picks %.0f ns, lists %.0f ns", sizes, picks, lists)
	for i, n := range sizes[1:] {
		maxGrowth := math.Pow(float64(n)/float64(sizes[0]), 1.5) // halfway between linear and quadratic
		require.Less(t, picks[i+1]/picks[0], maxGrowth, "a pick among %d", n)
		require.Less(t, lists[i+1]/lists[0], maxGrowth, "a list of %d", n)
	}
}
