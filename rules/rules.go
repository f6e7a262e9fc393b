// Package rules decides to which member of a replicated store a driver sends each RPC. Create a
// Driver with New and pass it all membership updates, RPCs and client disconnects. It acts through
// its Host and is not safe for concurrent use.
package rules

import (
	"cmp"
	"math/rand"
	"slices"
)

const (
	ms, sec = int64(1_000_000), int64(1_000_000_000)

	retentionTime    = 60 * sec // how long departed members and commits of sessions are kept
	holdPollInterval = 100 * ms // time between two checks of a held RPC
	// Share of the client's time for which an RPC that reached no member is held.
	unreachedHoldShare     = 0.45
	defaultLatency         = 100 * ms // latency assumed before any answer
	defaultRequestInterval = 2 * sec  // time between requests assumed before any
	defaultFleetLimit      = 9.0      // initial concurrency limit of a member, shared by all drivers
	// Later attempts answered first that show a slow attempt is lost, not queued.
	overtakingAnswers = 2

	initialRetryTokens         = 5.0
	maxRetryTokens             = 10.0
	retryTokensPerRPC          = 0.02
	retryTokensPerRPCAtSuccess = 0.15 // added per RPC, times the success rate of retries

	rpcIntervalWeight      = 0.02 // weights of the latest sample in smoothed values
	requestIntervalWeight  = 0.05
	retrySuccessRateWeight = 0.1
)

// New creates a driver without any state; the caller passes it the members next.
func New(host Host, seed int64, methods []Method, fleet Fleet, store Store, policy Policy, slowStart SlowStart,
	discovery Discovery) *Driver {
	d := &Driver{host: host, rng: rand.New(rand.NewSource(seed)), methods: methods, policy: policy,
		membership: membership{discovery: discovery}, observations: observations{store: store, fleet: fleet},
		health:         health{initialLimit: max(1, defaultFleetLimit/float64(max(1, fleet.Drivers)))},
		slowStartState: slowStartState{SlowStart: slowStart}, retryTokens: initialRetryTokens, retrySuccessRate: 0.5, index: map[MemberID]member{},
		groups: map[GroupID]*group{}, calls: map[RPCID]*call{}, sessionCommits: map[string]int64{}}
	refreshInterval := maxMemberProbeInterval // of the tightest bound
	for _, m := range methods {
		d.meanSoftDeadline += m.SoftDeadline / int64(len(methods))
		if m.Consistency == ConsistencyBounded {
			refreshInterval = min(refreshInterval, d.boundedRefreshInterval(m))
		}
	}
	refreshInterval = max(refreshInterval, minPositionRefresh/2)
	d.positionMaxAge = min(maxPositionRefresh, max(minPositionRefresh, refreshInterval))
	d.maxProbeInterval = min(maxMemberProbeInterval, d.positionMaxAge*int64(max(1, fleet.Drivers/2)))
	if fleet.ReportsPerMessage == 0 { // otherwise the probes of peers serve as well
		d.maxProbeInterval = min(d.maxProbeInterval, refreshInterval)
	}
	d.heartbeatInterval, d.startedAt, d.lastRPC, d.rpcInterval = d.positionMaxAge/2, host.Now(), host.Now(), float64(defaultRequestInterval)
	return d
}

// Submit accepts an RPC, which gets exactly one final answer.
func (d *Driver) Submit(rpc RPC) {
	now := d.host.Now()
	d.rpcInterval, d.lastRPC = d.rpcInterval+rpcIntervalWeight*(float64(now-d.lastRPC)-d.rpcInterval), now
	method, g := &d.methods[rpc.Method], d.groups[rpc.Group]
	if g == nil { // the group has no known members
		d.host.RejectWithRetryAfter(rpc.ID, d.policy.MaxRetryAfter)
		return
	}
	c := &call{RPC: rpc, method: method, group: g, deadline: now + rpc.TimeLeft,
		softDeadline: now + method.SoftDeadline - rpc.Waited, probedReplica: noMember, latencyDraw: d.rng.Float64()}
	if method.Consistency == ConsistencySession && !d.store.CarriesSessionToken {
		c.SessionToken = max(d.sessionCommits[rpc.Session], d.olderSessionCommits[rpc.Session])
	}
	if rpc.IsRetry { // the soft deadline counts from the client's first try
		c.softDeadline -= max(0, method.Deadline-rpc.TimeLeft-rpc.Waited)
	}
	d.calls[rpc.ID] = c
	if c.usefulUntil() < now+int64(g.latency/2) { // no answer could arrive in time; guards against retry storms
		d.giveUp(c)
		return
	}
	d.retryTokens = min(maxRetryTokens, d.retryTokens+retryTokensPerRPC+retryTokensPerRPCAtSuccess*d.retrySuccessRate)
	d.startNextAttempt(c)
}

// startNextAttempt starts the next attempt of an RPC, or holds the RPC if no member may take it.
func (d *Driver) startNextAttempt(c *call) {
	if m := d.pickMember(c); m != noMember {
		d.startAttempt(c, m)
		return
	}
	for _, m := range c.group.members { // members that no peer has reported yet
		if d.policy.Probing && d.isInLargeFleet() && !d.isKnown(m) {
			d.probe(m)
		}
	}
	c.isHeld = true
	c.group.held = append(c.group.held, c)
	d.pollHeld(c)
}

// pollHeld rechecks a held RPC until it is sent or no answer could arrive in time. One that has
// reached no member is given up earlier, so that its client has time to retry elsewhere while a
// primary is unavailable. It could do harm where one that is away comes back within moments.
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
		d.after(min(remaining, holdPollInterval), func() {
			c.tried = c.tried[:0]
			d.retryHeld(c.group)
			d.pollHeld(c)
		})
	}
}

// retryHeld tries again to send the RPCs held for a group, in order of utility.
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

// startAttempt sends an attempt of an RPC to a member.
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
	answersBefore := d.answered[m] + int64(d.inFlight[m]) // answers due first if none overtakes another
	number = d.host.Attempt(c.ID, d.ids[m], d.attemptTimeout(c, m), func(r Result) {
		if r.Outcome != Started && holdsSlot {
			d.inFlight[m]--
		}
		d.recordResult(c, m, now, r, r.Latency >= slowAfter && d.answered[m] < answersBefore+overtakingAnswers)
		d.handleResult(c, m, now, number, r)
	})
	c.inFlight = append(c.inFlight, number)
	d.after(slowAfter, func() {
		if holdsSlot = d.handleSlowAttempt(c, m, number); !holdsSlot {
			d.inFlight[m]--
			d.retryHeld(g)
		}
	})
}

// observeRequest updates the request interval at the first attempt of an RPC. While RPCs are held
// the intervals understate the traffic, so that only shorter ones count.
func (g *group) observeRequest(now int64, nothingHeld bool) {
	interval := min(float64(max(now-g.lastRequest, ms/10)), 4*g.requestInterval)
	if nothingHeld || interval < g.requestInterval {
		g.requestInterval += requestIntervalWeight * (interval - g.requestInterval)
	}
	g.lastRequest = now
}

// attemptTimeout returns the time-out of an attempt: the client's deadline, or sooner for an
// idempotent read that may be retried and not hedged.
func (d *Driver) attemptTimeout(c *call, m member) int64 {
	if wait := d.slowThreshold(c, m) * 2; !d.policy.Hedging && d.canRetryRead(c, wait) {
		return wait
	}
	return c.deadline - d.host.Now()
}

// slowThreshold returns the time after which an attempt counts as slow.
func (d *Driver) slowThreshold(c *call, m member) int64 {
	return max(int64(4*d.latency[m]), c.method.SoftDeadline*6/10)
}

// canRetryRead reports whether an idempotent read may be attempted again after a wait and still
// meet its deadline.
func (d *Driver) canRetryRead(c *call, wait int64) bool {
	isAllowed := c.method.Effect == Idempotent && c.isRead() && c.attempts < d.policy.MaxAttempts && d.retryTokens >= 1
	return isAllowed && d.host.Now()+wait+int64(c.group.latency) <= c.deadline
}

// handleSlowAttempt hedges a slow attempt where allowed, and reports whether it still counts
// against its member's concurrency limit. On a member that answers others quickly the attempt is
// taken for lost: guards against members and links that drop requests. It could do harm, by crowding,
// where a few requests take far longer than all others.
func (d *Driver) handleSlowAttempt(c *call, m member, number int) (holdsSlot bool) {
	if c.isStreaming || !slices.Contains(c.inFlight, number) {
		return true
	}
	if !c.hasEnded && d.policy.Hedging && len(c.inFlight) == 1 && d.canRetryRead(c, 0) {
		if to := d.pickMember(c); to != noMember { // hedged attempt
			d.retryTokens--
			d.startAttempt(c, to)
		}
	}
	return d.latencyRatio[m] > lowLatencyRatio
}

// handleResult processes the result of an attempt.
func (d *Driver) handleResult(c *call, m member, sentAt int64, number int, r Result) {
	if r.Outcome == Started { // the response is streaming to the client; its end ends the RPC
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
		d.retrySuccessRate += retrySuccessRateWeight * (map[Outcome]float64{OK: 1}[r.Outcome] - d.retrySuccessRate)
	}
	if !c.hasEnded {
		d.finishOrRetry(c, m, sentAt, r)
	}
	d.retryHeld(c.group)
}

// finishOrRetry ends an RPC, waits for its other attempts, or retries it, according to the result
// of one attempt.
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

// giveUp ends an RPC without success: rejected with a retry delay if a retry by the client is
// safe, aborted otherwise.
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
