package rules

const (
	overloadBackoff       = 40 * ms // base delay before a member that rejected an attempt gets another
	connectionsScarceTime = 2 * sec // how long idle connections are closed after a refused connection
	highLatencyRatio      = 0.33    // ratio of latency to soft deadline above which the limit shrinks
	lowLatencyRatio       = 0.2     // ratio below which a slow attempt is taken for lost
	maxBackoffExponent    = 5       // rejections in a row after which the delay stops growing
	ejectAfterLosses      = 3       // consecutive lost attempts that eject a member
	minEjectionTime       = sec / 2 // after ejectAfterLosses losses; doubles with each further one
	maxEjectionTime       = 8 * sec
	errorWeight           = 0.2      // weight of one answer in the smoothed error rate
	errorMemory           = 10 * sec // time over which the error rate fades without new errors
	groupLatencyWeight    = 0.03     // weight of one answer in a group's smoothed latency
	lossDecrease          = 0.85     // factor of the limit after a slow attempt without an answer
	latencyDecrease       = 0.95     // factor of the limit after an answer above highLatencyRatio
	overloadDecrease      = 0.8      // factor of the limit after an overload rejection
)

// recordResult updates a member's health from the result of an attempt. Losses count only if the
// client allowed the member enough time.
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
		d.updateErrorRate(m, r.Cause == ServerError)
		d.lastAnswerFailed[m] = r.Cause == ServerError
	}
	switch {
	case !isSlow && now-d.latencyUpdated[m] < probeTimeout && (r.Cause == ServerError || r.Cause == Reset): // the member completes other attempts
	case r.Cause == ServerError || r.Cause == Reset || isSlow && (r.Cause == TimedOut || r.Cause == Cancelled):
		d.recordLoss(m, now)
		if isSlow {
			d.adjustLimit(m, max(float64(r.Latency), d.latency[m]), c.method.latencyTarget(), false)
		}
	case r.Outcome == OK:
		d.recordThroughput(m)
		d.consecutiveLosses[m], d.consecutiveRejections[m], d.unsentLatency[m] = 0, 0, r.Latency
		d.replication[m].rejectedRead = d.replication[m].rejectedRead && c.method.Consistency == ConsistencyAny
		c.group.latency += groupLatencyWeight * (float64(r.Latency) - c.group.latency)
		d.adjustLimit(m, float64(r.Latency), c.method.latencyTarget(), true)
	case r.Cause == Ineligible && c.isRead():
		d.replication[m].rejectedRead = true
	case r.Cause == Overloaded:
		d.backOff(m)
		d.limit[m] = max(1, min(d.limit[m], float64(d.inFlight[m]+1))*overloadDecrease)
	}
}

// observeResult records what a result shows of its member's role: a stated role, the rejection of
// a write, or that a statement may have been lost with the answer.
func (d *Driver) observeResult(c *call, m member, r Result, sentAt int64) {
	observation := r.Observation
	if r.Cause == Ineligible && !c.isRead() {
		observation.Role = RoleReplica
	}
	d.observe(m, observation, fromAnswer, sentAt)
	if r.Outcome == MayHaveExecuted && observation.Role == RoleUnknown {
		d.replication[m].unansweredAt = d.host.Now()
	}
}

// updateErrorRate updates a member's error rate from its own answers and from peers. Guards
// against members that fail fast, which would otherwise look like the fastest. One that has not
// failed for a while is tried again.
func (d *Driver) updateErrorRate(m member, failed bool) {
	d.errorRate[m] *= 1 - errorWeight
	if failed {
		d.errorRate[m] += errorWeight
		d.lastError[m] = d.host.Now()
	}
}

// latencyTarget returns the latency up to which an answer keeps most of its utility.
func (m *Method) latencyTarget() int64 {
	return m.SoftDeadline + int64(m.LateUtility*float64(max(0, m.Deadline-m.SoftDeadline)))
}

// adjustLimit adapts a member's concurrency limit to its latency. Attempts that ended without an
// answer count too, because an overloaded member may complete none. The limit grows while answers
// are fast, doubling during recovery, and shrinks while they approach the soft deadline: such work
// is better held than done in vain.
func (d *Driver) adjustLimit(m member, latency float64, target int64, ok bool) {
	d.updateLatency(m, latency, target)
	// At this concurrency attempts do not queue; latency has another cause.
	minLimit := max(1, min(d.limit[m], d.initialLimit/2))
	switch {
	case !ok && d.latencyRatio[m] > lowLatencyRatio:
		d.limit[m] = max(minLimit, d.limit[m]*lossDecrease)
	case d.latencyRatio[m] > highLatencyRatio:
		d.limit[m] = max(minLimit, d.limit[m]*latencyDecrease)
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

// handleConnectFailure handles a refused connection. The member may be out of connections, so the
// driver backs off and closes idle ones for a while, so that other drivers get them; a member that
// is down is detected by the probe. It could do harm where connections are costly.
func (d *Driver) handleConnectFailure(m member, now int64) {
	d.probe(m)
	if now >= d.connectionsScarceUntil {
		d.logf("connections scarce member=%d unheard_ms=%d", d.ids[m], (now-d.lastHeard[m])/ms)
	}
	d.connectionsScarceUntil = now + connectionsScarceTime
	d.backOff(m)
}

// backOff pauses attempts to a member that rejected one, with exponential, randomized delays so
// that drivers do not return all at once.
func (d *Driver) backOff(m member) {
	d.consecutiveRejections[m] = min(d.consecutiveRejections[m]+1, maxBackoffExponent)
	wait := overloadBackoff/2<<d.consecutiveRejections[m]/2 + d.randomBelow(overloadBackoff/2<<d.consecutiveRejections[m])
	d.ejectedUntil[m] = max(d.ejectedUntil[m], d.host.Now()+wait)
	d.after(wait, func() { d.retryHeld(d.groupOf[m]) })
}

// updateLatency updates a member's smoothed latency and latency ratio. Samples weigh more after a
// long gap.
func (d *Driver) updateLatency(m member, latency float64, target int64) {
	now := d.host.Now()
	weight := min(0.5, max(0.1, float64(now-d.latencyUpdated[m])/float64(4*sec)))
	d.latencyUpdated[m] = now
	d.latency[m] += min(1, 1.5*weight) * (latency - d.latency[m])
	d.latencyRatio[m] += weight * (latency/float64(target) - d.latencyRatio[m])
}

// recordLoss counts consecutive lost attempts and ejects a member after too many. Guards against
// members that answer probes but complete no requests.
func (d *Driver) recordLoss(m member, now int64) {
	d.consecutiveLosses[m]++
	if d.consecutiveLosses[m] >= ejectAfterLosses && now >= d.ejectedUntil[m] {
		wait := min(maxEjectionTime, minEjectionTime<<min(4, d.consecutiveLosses[m]-ejectAfterLosses))
		d.ejectedUntil[m] = now + wait
		d.limit[m], d.isRecovering[m] = 1, true
		d.logf("set aside member=%d lost=%d for_ms=%d", d.ids[m], d.consecutiveLosses[m], wait/ms)
	}
}
