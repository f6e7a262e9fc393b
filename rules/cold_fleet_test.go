package rules_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/rules"
)

// simulatedClock is a clock with scheduled events that all drivers of a fleet share.
type simulatedClock struct {
	now      int64
	queue    []scheduledEvent
	sequence int
}

type scheduledEvent struct {
	at       int64
	order    int
	callback func()
}

func (c *simulatedClock) Len() int { return len(c.queue) }
func (c *simulatedClock) Less(i, j int) bool {
	a, b := c.queue[i], c.queue[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (c *simulatedClock) Swap(i, j int) { c.queue[i], c.queue[j] = c.queue[j], c.queue[i] }
func (c *simulatedClock) Push(x any)    { c.queue = append(c.queue, x.(scheduledEvent)) }
func (c *simulatedClock) Pop() any {
	last := len(c.queue) - 1
	x := c.queue[last]
	c.queue = c.queue[:last]
	return x
}

func (c *simulatedClock) schedule(wait int64, callback func()) {
	c.sequence++
	heap.Push(c, scheduledEvent{c.now + max(wait, 0), c.sequence, callback})
}

func (c *simulatedClock) run(until int64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		event := heap.Pop(c).(scheduledEvent)
		c.now = event.at
		event.callback()
	}
	c.now = until
}

// simulatedFleet is a fleet of drivers, and members with equal latency of which some are
// restarted.
type simulatedFleet struct {
	simulatedClock
	rng             *rand.Rand
	drivers         []*simulatedHost
	coldMembers     []rules.MemberID
	restartedAt     int64
	attemptTimes    map[rules.MemberID][]int64 // of cold members, from drivers that know of the restart
	errorShare      float64                    // share of attempts that end in an error
	losesReports    bool                       // half of the reports among drivers are lost
	rejectsOverload bool                       // members reject attempts above their capacity
	freeAt          map[rules.MemberID]int64   // when a member has served what it accepted
	probes          int
	answered        int
	latency         int64
	rate            float64                    // RPCs per second of all drivers
	capacity        float64                    // RPCs per second that a warm member of weight 1 can serve
	weights         map[rules.MemberID]float64 // of members whose weight is not 1
	driverCount     int
}

// simulatedHost is the host of one driver.
type simulatedHost struct {
	*simulatedFleet
	driver       *rules.Driver
	lastRPC      rules.RPCID
	knowsRestart bool
	open         map[rules.RPCID]bool
	trafficShare float64 // share of the fleet's traffic
}

func (h *simulatedHost) Now() int64                                   { return h.now }
func (h *simulatedHost) After(wait int64, next func())                { h.schedule(wait, next) }
func (h *simulatedHost) Cancel(rules.RPCID, int)                      {}
func (h *simulatedHost) CloseIdle(rules.MemberID)                     {}
func (h *simulatedHost) Forget(rules.MemberID)                        {}
func (h *simulatedHost) Watch()                                       {}
func (h *simulatedHost) Log(string)                                   {}
func (h *simulatedHost) RejectWithRetryAfter(id rules.RPCID, _ int64) { delete(h.open, id) }
func (h *simulatedHost) Abort(id rules.RPCID)                         { delete(h.open, id) }

func (h *simulatedHost) observation(m rules.MemberID) rules.Observation {
	if m == 1 {
		return rules.Observation{Role: rules.RolePrimary, Position: h.now}
	}
	return rules.Observation{Role: rules.RoleReplica, Position: h.now - int64(5*time.Millisecond)}
}

func (h *simulatedHost) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	h.probes++
	h.schedule(int64(time.Millisecond), func() { next(rules.ProbeResult{Report: h.observation(to)}) })
}

func (h *simulatedHost) SendReports(reports []rules.PeerReport) {
	for _, other := range h.drivers {
		if other != h && !(h.losesReports && h.rng.Float64() < 0.5) {
			h.schedule(int64(10*time.Millisecond), func() { other.driver.ReceiveReports(reports) })
		}
	}
}

func (h *simulatedHost) Attempt(id rules.RPCID, to rules.MemberID, _ int64, next func(rules.Result)) int {
	if h.knowsRestart && slices.Contains(h.coldMembers, to) {
		h.attemptTimes[to] = append(h.attemptTimes[to], h.now)
	}
	r := rules.Result{Outcome: rules.OK, Final: true, Latency: h.latency, Observation: h.observation(to)}
	latency := h.latency
	if h.rng.Float64() < h.errorShare {
		r.Outcome, r.Cause, r.Final = rules.MayHaveExecuted, rules.ServerError, false
	}
	if h.rejectsOverload && !h.accepts(to) {
		latency = int64(2 * time.Millisecond)
		r = rules.Result{Outcome: rules.NotExecuted, Cause: rules.Overloaded, Latency: latency}
	}
	h.schedule(latency, func() {
		if r.Cause != rules.Overloaded {
			r.Observation = h.observation(to)
		}
		r.Final = r.Final || !h.open[id]
		if r.Outcome == rules.OK {
			h.answered++
			delete(h.open, id)
		}
		next(r)
	})
	return 0
}

// accepts reports whether a member has room in its queue of half a second, and takes it if so.
func (f *simulatedFleet) accepts(m rules.MemberID) bool {
	share := 1.0
	if slices.Contains(f.coldMembers, m) {
		share = coldShare(f.now - f.restartedAt)
	}
	if f.freeAt[m] > f.now+int64(time.Second/2) {
		return false
	}
	f.freeAt[m] = max(f.freeAt[m], f.now) + int64(float64(time.Second)/(f.capacity*f.weight(m)*share))
	return true
}

func (f *simulatedFleet) weight(m rules.MemberID) float64 {
	if weight, known := f.weights[m]; known {
		return weight
	}
	return 1
}

// coldShare returns the least share of its capacity that a member has at an age.
func coldShare(age int64) float64 {
	return initialShare + (1-initialShare)*min(1, float64(age)/float64(warmUpTime))
}

const (
	memberCount    = 4
	initialShare   = 0.15
	overloadFactor = 2.0
	warmUpTime     = 17 * time.Second
	overloadWindow = 2 * time.Second // a cold member fails under an overload of this duration
	targetLoad     = 0.7             // share of the members' capacity that is requested
)

// newFleet creates a fleet that has run for a while, with the given total rate.
func newFleet(drivers int, rate float64, seed int64) *simulatedFleet {
	return newWeightedFleet(drivers, rate, seed, nil)
}

// newWeightedFleet creates a fleet with members of different weights.
func newWeightedFleet(drivers int, rate float64, seed int64, weights map[rules.MemberID]float64) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewSource(seed)), latency: int64(40 * time.Millisecond), rate: rate, capacity: rate / memberCount / targetLoad, driverCount: drivers,
		attemptTimes: map[rules.MemberID][]int64{}, freeAt: map[rules.MemberID]int64{}, weights: weights}
	f.now = int64(time.Hour)
	trafficWeights, sum := make([]float64, drivers), 0.0
	for i := range trafficWeights {
		trafficWeights[i] = f.rng.ExpFloat64() + 0.1 // some drivers carry several times the mean
		sum += trafficWeights[i]
	}
	for i := range drivers {
		h := &simulatedHost{simulatedFleet: f, open: map[rules.RPCID]bool{}, trafficShare: trafficWeights[i] / sum}
		f.drivers = append(f.drivers, h)
		h.restart()
		h.generateRPCs()
	}
	f.run(f.now + int64(20*time.Second))
	return f
}

// restart replaces the driver by one that knows only the membership.
func (h *simulatedHost) restart() {
	methods := []rules.Method{
		{Name: "read", SoftDeadline: int64(400 * time.Millisecond), Deadline: int64(2 * time.Second), Utility: 1, LateUtility: 0.2},
		{Name: "write", Consistency: rules.ConsistencyWrite, Effect: rules.NonIdempotent, SoftDeadline: int64(600 * time.Millisecond),
			Deadline: int64(2 * time.Second), Utility: 5, LateUtility: 0.5},
	}
	h.open = map[rules.RPCID]bool{}
	h.driver = rules.New(h, h.rng.Int63(), methods, rules.Fleet{Drivers: h.driverCount, ReportsPerMessage: 31}, rules.Store{},
		rules.Policy{MaxAttempts: 10, Cancellation: true, Probing: true}, rules.SlowStart{InitialShare: initialShare, WarmUpTime: int64(warmUpTime), OverloadFactor: overloadFactor}, rules.Discovery{})
	h.updateMembers(true)
}

// updateMembers passes the current membership to the driver.
func (h *simulatedHost) updateMembers(isComplete bool) {
	var entries []rules.MemberEntry
	for m := rules.MemberID(1); m <= memberCount; m++ {
		entry := rules.MemberEntry{Member: m, Group: 1, Weight: h.weight(m)}
		if slices.Contains(h.coldMembers, m) {
			entry.Started = h.restartedAt
		}
		entries = append(entries, entry)
	}
	h.knowsRestart = h.restartedAt != 0
	h.driver.UpdateMembers(entries, isComplete)
}

// generateRPCs submits RPCs, one in five of them a write.
func (h *simulatedHost) generateRPCs() {
	h.schedule(int64(h.rng.ExpFloat64()/(h.rate*h.trafficShare)*float64(time.Second)), func() {
		h.lastRPC++
		h.open[h.lastRPC] = true
		rpc := rules.RPC{ID: h.lastRPC, Group: 1, TimeLeft: int64(2 * time.Second)}
		if h.rng.Intn(5) == 0 {
			rpc.Method = 1
		}
		h.driver.Submit(rpc)
		h.generateRPCs()
	})
}

// worstLoad returns the highest load of a cold member in any overload window, as a share of its
// bound: the N calls of the budget plus 2*sqrt(N) + 2 for random variation.
func (f *simulatedFleet) worstLoad() (worst float64, description string) {
	for m, times := range f.attemptTimes {
		from := 0
		for to, at := range times {
			for at-times[from] >= int64(overloadWindow) {
				from++
			}
			n := overloadFactor * coldShare(times[from]-f.restartedAt) * f.capacity * f.weight(m) * overloadWindow.Seconds()
			bound, calls := n+2*math.Sqrt(n)+2, float64(to-from+1)
			if calls/bound > worst {
				worst = calls / bound
				description = fmt.Sprintf("%.0f calls, budget %.1f, bound %.1f", calls, n, bound)
			}
		}
	}
	return worst, description
}

// restartAndCheck restarts the cold members, of which the drivers learn at different times, and
// checks their load until they are warm.
func (f *simulatedFleet) restartAndCheck(t *testing.T, rate float64) {
	f.restartedAt = f.now
	for _, h := range f.drivers {
		f.schedule(f.rng.Int63n(int64(3*time.Second)), func() { h.updateMembers(false) })
	}
	f.run(f.now + int64(warmUpTime))
	require.NotEmpty(t, f.attemptTimes, "cold members get attempts")
	worst, description := f.worstLoad()
	t.Logf("%.0f RPCs per second: highest load %.2f of the bound: %s", rate, worst, description)
	require.LessOrEqual(t, worst, 1.0, description)
}

// Guards against a cold member that fails under the total load of all drivers, although each sends
// little: in small and large fleets, with lost reports, retries, several cold members, restarted
// drivers and a burst.
func TestSlowStartAcrossFleet(t *testing.T) {
	faults := map[string]func(f *simulatedFleet){
		"one replica":  func(f *simulatedFleet) { f.coldMembers = []rules.MemberID{3} },
		"reports lost": func(f *simulatedFleet) { f.coldMembers, f.losesReports = []rules.MemberID{3}, true },
		"errors":       func(f *simulatedFleet) { f.coldMembers, f.errorShare = []rules.MemberID{3}, 0.2 },
		"most members": func(f *simulatedFleet) { f.coldMembers = []rules.MemberID{1, 2, 3} },
		"the primary":  func(f *simulatedFleet) { f.coldMembers = []rules.MemberID{1} },
		"a burst":      func(f *simulatedFleet) { f.coldMembers = []rules.MemberID{3}; f.rate *= 1.5 },
		"restarted drivers": func(f *simulatedFleet) {
			f.coldMembers = []rules.MemberID{2, 3}
			for i, h := range f.drivers {
				if i%3 != 0 {
					f.schedule(f.rng.Int63n(int64(3*time.Second)), h.restart)
				}
			}
		},
	}
	for _, drivers := range []int{20, 30, 300} {
		for name, inject := range faults {
			t.Run(fmt.Sprintf("%d drivers, %s", drivers, name), func(t *testing.T) {
				t.Parallel()
				for seed, rate := range []float64{40, 150} {
					f := newFleet(drivers, rate, int64(seed+1))
					inject(f)
					f.restartAndCheck(t, rate)
				}
			})
		}
	}
}

// Guards against a slow-start budget derived from attempts: under overload most attempts are
// rejected and retried, so that a cold member got several times its capacity.
func TestSlowStartUnderOverload(t *testing.T) {
	for _, drivers := range []int{4, 30, 135, 300} {
		for _, overload := range []float64{1.5, 3} {
			t.Run(fmt.Sprintf("%d drivers, %.1f times the load", drivers, overload), func(t *testing.T) {
				t.Parallel()
				runOverload(t, drivers, overload, nil)
			})
		}
	}
}

// Guards against sending a small cold member what a larger one can serve: throughput counts per
// weight.
func TestSlowStartOfSmallMemberUnderOverload(t *testing.T) {
	for _, drivers := range []int{4, 30, 135, 300} {
		t.Run(fmt.Sprintf("%d drivers", drivers), func(t *testing.T) {
			t.Parallel()
			runOverload(t, drivers, 1.5, map[rules.MemberID]float64{1: 1.6, 2: 1.3, 3: 0.3, 4: 0.8})
		})
	}
}

// runOverload restarts a member of a fleet whose load exceeds its capacity.
func runOverload(t *testing.T, drivers int, overload float64, weights map[rules.MemberID]float64) {
	for seed, rate := range []float64{40, 150} {
		f := newWeightedFleet(drivers, rate, int64(seed+1), weights)
		f.rate, f.rejectsOverload = f.rate*overload, true
		f.run(f.now + int64(20*time.Second))
		f.coldMembers = []rules.MemberID{3}
		f.restartAndCheck(t, rate)
	}
}
