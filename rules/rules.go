// Package rules decides where a driver sends each RPC of a replicated store. Build a Driver with New, hand it
// every change of the list, every RPC taken and each whose client left. It acts through its Host (api.go),
// which keeps the closures left behind and hands them their results. Calls must come one after another.
//
// The way of a request stands in this file, what a Driver knows in state.go, and what it decides by in the others: list.go, probing.go,
// gossip.go, observations.go and store_clock.go for what it learns; choice.go, freshness.go, slow_start.go and health.go for which member
// gets what. docs/design.md tells what comes from the source.
package rules

import (
	"cmp"
	"math/rand"
	"slices"
)

const (
	ms, sec = int64(1_000_000), int64(1_000_000_000)

	retentionTime          = 60 * sec // members that left and commits of sessions are kept so long
	holdPollInterval       = 100 * ms // an RPC held looks again this often
	unreachedHoldShare     = 0.45     // share of its client's time for which an RPC that no member got is held
	defaultLatency         = 100 * ms // answer time to expect before any was seen
	defaultRequestInterval = 2 * sec  // time between attempts of a group to expect
	defaultFleetLimit      = 9.0      // attempts of all drivers that a member may hold, before its answers teach better
	overtakingAnswers      = 2        // answers out of turn that show an attempt lost or heavy, and its member sound
)

// New makes a driver that knows nothing yet; the first List follows at once.
func New(host Host, seed int64, methods []Method, fleet Fleet, store Store, policy Policy, slowStart SlowStart,
	discovery Discovery) *Driver {
	d := &Driver{host: host, rng: rand.New(rand.NewSource(seed)), methods: methods, policy: policy,
		membership: membership{discovery: discovery}, observations: observations{store: store, fleet: fleet},
		health:         health{initialLimit: max(1, defaultFleetLimit/float64(max(1, fleet.Drivers)))},
		slowStartState: slowStartState{SlowStart: slowStart}, retryTokens: 5, retrySuccessRate: 0.5, index: map[MemberID]member{},
		groups: map[GroupID]*group{}, calls: map[RPCID]*call{}, sessionCommits: map[string]int64{}}
	refreshInterval := maxMemberProbeInterval // of the smallest bound
	for _, m := range methods {
		d.meanSoftDeadline += m.SoftDeadline / int64(len(methods))
		if m.Consistency == ConsistencyBounded {
			refreshInterval = min(refreshInterval, d.boundedRefreshInterval(m))
		}
	}
	refreshInterval = max(refreshInterval, minPositionRefresh/2)
	d.positionMaxAge = min(maxPositionRefresh, max(minPositionRefresh, refreshInterval))
	d.maxProbeInterval = min(maxMemberProbeInterval, d.positionMaxAge*int64(max(1, fleet.Drivers/2)))
	if fleet.ReportsPerMessage == 0 { // else the fellow drivers' probes serve as well
		d.maxProbeInterval = min(d.maxProbeInterval, refreshInterval)
	}
	d.heartbeatInterval, d.startedAt, d.lastRPC, d.rpcInterval = d.positionMaxAge/2, host.Now(), host.Now(), float64(defaultRequestInterval)
	return d
}

// Submit accepts an RPC; it gets exactly one final answer.
func (d *Driver) Submit(rpc RPC) {
	now := d.host.Now()
	d.rpcInterval, d.lastRPC = d.rpcInterval+0.02*(float64(now-d.lastRPC)-d.rpcInterval), now
	method, g := &d.methods[rpc.Method], d.groups[rpc.Group]
	if g == nil { // the list names no member of it
		d.host.RejectWithRetryAfter(rpc.ID, d.policy.MaxRetryAfter)
		return
	}
	c := &call{RPC: rpc, method: method, group: g, deadline: now + rpc.TimeLeft,
		softDeadline: now + method.SoftDeadline - rpc.Waited, probedReplica: noMember, latencyDraw: d.rng.Float64()}
	if method.Consistency == ConsistencySession && !d.store.CarriesSessionToken {
		c.SessionToken = max(d.sessionCommits[rpc.Session], d.olderSessionCommits[rpc.Session])
	}
	if rpc.IsRetry { // its client counts from its first try, and has Left of the whole time now
		c.softDeadline -= max(0, method.Deadline-rpc.TimeLeft-rpc.Waited)
	}
	d.calls[rpc.ID] = c
	if c.usefulUntil() < now+int64(g.latency/2) { // no answer could still be of use: guards against storms of repeats
		d.giveUp(c)
		return
	}
	d.retryTokens = min(10, d.retryTokens+0.02+0.15*d.retrySuccessRate)
	d.startNextAttempt(c)
}

// startNextAttempt makes the next attempt of an RPC, or holds it.
func (d *Driver) startNextAttempt(c *call) {
	if m := d.pickMember(c); m != noMember {
		d.startAttempt(c, m)
		return
	}
	for _, m := range c.group.members { // nobody told of it yet
		if d.policy.Probing && d.isInLargeFleet() && !d.isKnown(m) {
			d.probe(m)
		}
	}
	c.isHeld = true
	c.group.held = append(c.group.held, c)
	d.pollHeld(c)
}

// pollHeld looks at a held RPC now and then, until it goes out or no answer could be of use any more. One that
// no member got yet is given up sooner, with time left to ask again. Guards against clients kept waiting in
// vain while a primary is away; could harm where one that is away comes back within moments.
func (d *Driver) pollHeld(c *call) {
	now := d.host.Now()
	remaining := c.usefulUntil() - int64(c.group.latency) - now
	if !c.hasReachedMember {
		remaining = min(remaining, c.deadline-int64((1-unreachedHoldShare)*float64(c.TimeLeft+c.Waited))-now)
	}
	switch {
	case c.hasEnded || !c.isHeld:
	case remaining <= 0:
		d.giveUp(c)
	default:
		d.host.After(min(remaining, holdPollInterval), func() {
			c.tried = c.tried[:0]
			d.retryHeld(c.group)
			d.pollHeld(c)
		})
	}
}

// retryHeld looks again at the RPCs held for a group, those of most utility first.
func (d *Driver) retryHeld(g *group) {
	if g == nil || len(g.held) == 0 {
		return
	}
	queue, now := slices.DeleteFunc(g.held, func(c *call) bool { return c.hasEnded }), d.host.Now()
	g.held = nil
	slices.SortStableFunc(queue, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.utility(now), a.utility(now)), cmp.Compare(b.softDeadline, a.softDeadline))
	})
	blocked := make([]bool, len(d.methods))
	for _, c := range queue {
		if probesBefore := c.replicaProbes; !blocked[c.Method] {
			if m := d.pickMember(c); m != noMember {
				d.startAttempt(c, m)
				continue
			}
			isInterchangeable := c.method.Consistency != ConsistencySession && c.MinPosition == 0 && len(c.tried) == 0 && c.mayHaveExecutedAt == 0
			blocked[c.Method] = isInterchangeable && c.replicaProbes == probesBefore
		}
		g.held = append(g.held, c)
	}
}

func (d *Driver) startAttempt(c *call, m member) {
	now := d.host.Now()
	c.attempts++
	c.tried = append(c.tried, m)
	d.inFlight[m]++
	g := c.group
	if c.attempts == 1 {
		g.observeRequest(now, !c.isHeld && len(g.held) == 0)
	}
	c.isHeld = false
	number, holdsSlot, slowAfter := 0, true, d.slowThreshold(c, m)
	answersBefore := d.answered[m] + int64(d.inFlight[m]) // answers to come first where none overtakes another
	number = d.host.Attempt(c.ID, d.ids[m], d.attemptTimeout(c, m), func(r Result) {
		if r.Outcome != Started && holdsSlot {
			d.inFlight[m]--
		}
		d.recordResult(c, m, now, r, r.Latency >= slowAfter && d.answered[m] < answersBefore+overtakingAnswers)
		d.handleResult(c, m, now, number, r)
	})
	c.inFlight = append(c.inFlight, number)
	d.host.After(slowAfter, func() {
		if holdsSlot = d.handleSlowAttempt(c, m, number); !holdsSlot {
			d.inFlight[m]--
			d.retryHeld(g)
		}
	})
}

// observeRequest notes that a request has gone out for the first time. Those that come while others are held back show too little of the traffic,
// unless they come sooner than is known.
func (g *group) observeRequest(now int64, isUnheld bool) {
	interval := min(float64(max(now-g.lastRequest, ms/10)), 4*g.requestInterval)
	if isUnheld || interval < g.requestInterval {
		g.requestInterval += 0.05 * (interval - g.requestInterval)
	}
	g.lastRequest = now
}

// attemptTimeout is the time-out of an attempt. Where copies are not allowed an idempotent read leaves a member
// that keeps it waiting too long while there is time for another; else it waits to the deadline.
func (d *Driver) attemptTimeout(c *call, m member) int64 {
	if wait := d.slowThreshold(c, m) * 2; !d.policy.Hedging && d.canRetryRead(c, wait) {
		return wait
	}
	return c.deadline - d.host.Now()
}

func (d *Driver) slowThreshold(c *call, m member) int64 {
	return max(int64(4*d.latency[m]), c.method.SoftDeadline*6/10)
}

// canRetryRead tells whether a further attempt of an idempotent read may be made after a wait, and be in time.
func (d *Driver) canRetryRead(c *call, wait int64) bool {
	isAllowed := c.method.Effect == Idempotent && c.isRead() && c.attempts < d.policy.MaxAttempts && d.retryTokens >= 1
	return isAllowed && d.host.Now()+wait+int64(c.group.latency) <= c.deadline
}

// handleSlowAttempt deals with an attempt that has taken too long, and tells whether it still holds room of its member.
// On a member that answers others quickly it is lost, not slow: guards against members and links that lose a
// part of what they are sent. Could harm where a few RPCs take far longer than all others, by crowding.
func (d *Driver) handleSlowAttempt(c *call, m member, number int) (holdsSlot bool) {
	if c.isStreaming || !slices.Contains(c.inFlight, number) {
		return true
	}
	if !c.hasEnded && d.policy.Hedging && len(c.inFlight) == 1 && d.canRetryRead(c, 0) {
		if to := d.pickMember(c); to != noMember { // a second copy
			d.retryTokens--
			d.startAttempt(c, to)
		}
	}
	return d.latencyRatio[m] > lowLatencyRatio
}

// handleResult takes the result of an attempt and decides what follows.
func (d *Driver) handleResult(c *call, m member, sentAt int64, number int, r Result) {
	if r.Outcome == Started { // the attempt is the client's now; what it ends with ends the RPC
		c.isStreaming = true
		d.cancelInFlight(c, number)
		return
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(n int) bool { return n == number })
	c.hasReachedMember = c.hasReachedMember || r.Cause != ConnectFailed && r.Cause != NotSent
	if d.host.Now() < d.connectionsScarceUntil && d.inFlight[m] == 0 && r.Cause != ConnectFailed && !d.isUnresponsive[m] {
		d.host.CloseIdle(d.ids[m])
	}
	if c.attempts > 1 && r.Outcome != NotExecuted {
		d.retrySuccessRate += 0.1 * (map[Outcome]float64{OK: 1}[r.Outcome] - d.retrySuccessRate)
	}
	if !c.hasEnded {
		d.finishOrRetry(c, m, sentAt, r)
	}
	d.retryHeld(c.group)
}

func (d *Driver) finishOrRetry(c *call, m member, sentAt int64, r Result) {
	if r.Final || r.Outcome == OK {
		d.recordCommit(c, r.Position, retentionTime)
		d.endCall(c)
		return
	}
	if r.Outcome == MayHaveExecuted && c.mayHaveExecutedAt == 0 {
		c.mayHaveExecutedAt, c.mayHaveExecutedZone = sentAt, d.zone[m]
	}
	isExhausted := c.isStreaming || c.attempts >= d.policy.MaxAttempts || d.host.Now() >= c.deadline
	switch {
	case len(c.inFlight) > 0:
	case isExhausted || !d.mayRetry(c, m) || r.Outcome == MayHaveExecuted && d.retryTokens < 1:
		d.giveUp(c)
	default:
		if r.Outcome == MayHaveExecuted {
			d.retryTokens--
		}
		d.startNextAttempt(c)
	}
}

// giveUp gives up on an RPC: pushed back where a further try of the client does no harm, aborted otherwise.
func (d *Driver) giveUp(c *call) {
	isRetrySafe := c.mayHaveExecutedAt == 0 && len(c.inFlight) == 0 || c.method.Effect == Idempotent ||
		c.method.Effect == IdempotentByToken && c.method.DedupScope == DedupEverywhere
	if isRetrySafe && d.host.Now() < c.deadline {
		d.host.RejectWithRetryAfter(c.ID, min(d.policy.MaxRetryAfter, int64(c.group.latency)))
	} else {
		d.host.Abort(c.ID)
	}
	d.endCall(c)
}
