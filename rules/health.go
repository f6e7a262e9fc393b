package rules

const (
	overloadBackoff       = 40 * ms  // a member that turned work away is left alone so long
	connectionsScarceTime = 2 * sec  // connections are scarce so long after a live member refused one
	highLatencyRatio      = 0.33     // smoothed share of the soft deadline that answers may take
	lowLatencyRatio       = 0.2      // strain below which what is overdue was lost, not slow
	ejectAfterLosses      = 3        // attempts lost in a row that set a member aside
	errorWeight           = 0.2      // of an answer in the smoothed share of errors
	errorMemory           = 10 * sec // errors count ever less, and no more after this time
)

// recordResult learns from a result how its member fares, but not where its client had little time to wait for it.
func (d *Driver) recordResult(c *call, m member, sentAt int64, r Result, isSlow bool) {
	now := d.host.Now()
	switch cause := r.Cause; {
	case cause == ConnectFailed:
		d.handleConnectFailure(m, now)
	case cause == TimedOut && now-d.lastHeard[m] >= d.positionMaxAge && (!d.isInLargeFleet() || d.latencyRatio[m] <= lowLatencyRatio || d.consecutiveLosses[m] > 0):
		d.probe(m)
	case cause == NoCause || cause == ServerError || cause == Ineligible || cause == Overloaded:
		d.markResponsive(m, r.ConnectedAt)
	}
	d.observeResult(c, m, r, sentAt)
	if r.Outcome == OK || r.Cause == ServerError {
		d.recordErrorRate(m, r.Cause == ServerError)
		d.lastAnswerFailed[m] = r.Cause == ServerError
	}
	switch {
	case !isSlow && now-d.latencyUpdated[m] < probeTimeout && (r.Cause == ServerError || r.Cause == Reset): // it finishes others
	case r.Cause == ServerError || r.Cause == Reset || isSlow && (r.Cause == TimedOut || r.Cause == Cancelled):
		d.recordLoss(m, now)
		if isSlow {
			d.adjustLimit(m, max(float64(r.Latency), d.latency[m]), c.method.latencyTarget(), false)
		}
	case r.Outcome == OK:
		d.recordThroughput(m)
		d.consecutiveLosses[m], d.consecutiveRejections[m], d.unsentLatency[m] = 0, 0, r.Latency
		d.replication[m].rejectedRead = d.replication[m].rejectedRead && c.method.Consistency == ConsistencyAny
		c.group.latency += 0.03 * (float64(r.Latency) - c.group.latency)
		d.adjustLimit(m, float64(r.Latency), c.method.latencyTarget(), true)
	case r.Cause == Ineligible && c.isRead():
		d.replication[m].rejectedRead = true
	case r.Cause == Overloaded:
		d.backOff(m)
		d.limit[m] = max(1, min(d.limit[m], float64(d.inFlight[m]+1))*0.8)
	}
}

// observeResult takes in what the end of an attempt tells of its member's role: what it stated, that it turned away what only a primary takes,
// or that its word may have been lost.
func (d *Driver) observeResult(c *call, m member, r Result, sentAt int64) {
	s := r.Observation
	if r.Cause == Ineligible && !c.isRead() {
		s.Role = RoleReplica
	}
	d.observe(m, s, fromAnswer, sentAt)
	if r.Outcome == MayHaveExecuted && s.Role == RoleUnknown {
		d.replication[m].unansweredAt = d.host.Now()
	}
}

// recordErrorRate learns how often a member answers with errors, by its own answers and by what fellows tell. Guards
// against members that fail fast, which look the fastest of all; one that has not failed for a while is tried
// again.
func (d *Driver) recordErrorRate(m member, failed bool) {
	d.errorRate[m] *= 1 - errorWeight
	if failed {
		d.errorRate[m] += errorWeight
		d.lastError[m] = d.host.Now()
	}
}

// latencyTarget is how long an answer may take without losing much: past the soft deadline by what late ones are
// worth.
func (m *Method) latencyTarget() int64 {
	return m.SoftDeadline + int64(m.LateUtility*float64(max(0, m.Deadline-m.SoftDeadline)))
}

// adjustLimit learns how long a member takes, also from an attempt waited for in vain: guards against members so
// crowded that none of their answers counts. Its room grows while answers come well in time, doubling on a
// trickle, and shrinks while they strain the soft deadline: such work is better held than done in vain.
func (d *Driver) adjustLimit(m member, latency float64, target int64, ok bool) {
	d.recordLatency(m, latency, target)
	minLimit := max(1, min(d.limit[m], d.initialLimit/2)) // so few do not queue: what is slow then is slow by itself
	switch {
	case !ok && d.latencyRatio[m] > lowLatencyRatio:
		d.limit[m] = max(minLimit, d.limit[m]*0.85)
	case d.latencyRatio[m] > highLatencyRatio:
		d.limit[m] = max(minLimit, d.limit[m]*0.95)
		d.isRecovering[m] = false
	case ok && d.isRecovering[m]:
		d.limit[m] *= 2
		if d.limit[m] >= d.initialLimit {
			d.isRecovering[m] = false
			d.logf("back member=%d room=%.0f", d.ids[m], d.limit[m])
		}
	case ok && float64(d.inFlight[m])+2 >= d.limit[m]:
		d.limit[m] += 0.5 / d.limit[m]
	}
}

// handleConnectFailure deals with a connection refused. A member that answers probes has too few for all drivers: it
// is left alone for a moment, and idle connections are given up to the others while that lasts. Guards
// against any shortage of connections; one that is down shows in the probe. Could harm where they are dear.
func (d *Driver) handleConnectFailure(m member, now int64) {
	d.probe(m)
	if now >= d.connectionsScarceUntil {
		d.logf("connections scarce member=%d unheard_ms=%d", d.ids[m], (now-d.lastHeard[m])/ms)
	}
	d.connectionsScarceUntil = now + connectionsScarceTime
	d.backOff(m)
}

// backOff leaves a member alone that refused work, longer each time: many drivers would come back at once.
func (d *Driver) backOff(m member) {
	d.consecutiveRejections[m] = min(d.consecutiveRejections[m]+1, 5)
	wait := overloadBackoff/2<<d.consecutiveRejections[m]/2 + d.randomBelow(overloadBackoff/2<<d.consecutiveRejections[m])
	d.ejectedUntil[m] = max(d.ejectedUntil[m], d.host.Now()+wait)
	d.host.After(wait, func() { d.retryHeld(d.groupOf[m]) })
}

// recordLatency smooths a member's answer time and strain; what comes after a long time weighs more.
func (d *Driver) recordLatency(m member, latency float64, target int64) {
	now := d.host.Now()
	weight := min(0.5, max(0.1, float64(now-d.latencyUpdated[m])/float64(4*sec)))
	d.latencyUpdated[m] = now
	d.latency[m] += min(1, 1.5*weight) * (latency - d.latency[m])
	d.latencyRatio[m] += weight * (latency/float64(target) - d.latencyRatio[m])
}

// recordLoss counts attempts lost in a row. Guards against members that answer probes but finish nothing.
func (d *Driver) recordLoss(m member, now int64) {
	d.consecutiveLosses[m]++
	if d.consecutiveLosses[m] >= ejectAfterLosses && now >= d.ejectedUntil[m] {
		wait := min(8*sec, sec/2<<min(4, d.consecutiveLosses[m]-ejectAfterLosses))
		d.ejectedUntil[m] = now + wait
		d.limit[m], d.isRecovering[m] = 1, true
		d.logf("set aside member=%d lost=%d for_ms=%d", d.ids[m], d.consecutiveLosses[m], wait/ms)
	}
}
