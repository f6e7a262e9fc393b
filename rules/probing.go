package rules

const (
	minPositionRefresh     = 100 * ms // bounds on the age at which positions are refreshed
	maxPositionRefresh     = 250 * ms
	maxMemberProbeInterval = 10 * sec // longest time between own probes of a member
	probeTimeout           = 150 * ms // a member is unresponsive if a probe is unanswered for this long
	restartOutage          = sec      // a longer outage may have been a restart
)

// probeLoop probes a member until it is removed. A position learned meanwhile from an answer or a
// peer replaces a probe. On average a driver makes no more probes than it takes RPCs.
func (d *Driver) probeLoop(m member) {
	now := d.host.Now()
	isIdle := d.inFlight[m] == 0 && d.probeStarted[m] == 0
	if isIdle && d.state[m] != Healthy && now-max(d.lastHeard[m], d.replication[m].heardAt) > retentionTime {
		d.removeMember(m)
		return
	}
	heardAt := d.replication[m].heardAt
	wait, age := min(d.maxProbeInterval, max(2*d.positionMaxAge, int64(d.rpcInterval*float64(d.groupedCount)))), now-heardAt
	maxUnprobedAge := wait
	if d.fleet.ReportsPerMessage == 0 || !d.isInLargeFleet() {
		maxUnprobedAge = min(wait, 2*d.positionMaxAge)
	}
	if d.acceptsNewWork(m) && (d.isUnresponsive[m] || heardAt == 0 || d.needsRefresh(m) && age >= maxUnprobedAge) {
		d.probe(m)
	} else if age < d.positionMaxAge {
		wait -= age
	}
	wait = max(wait, minProbeInterval)
	d.after(wait+d.randomBelow(wait/4), func() { d.probeLoop(m) })
}

// needsRefresh reports whether a probe may bring a better position. A replica that lags far behind
// is given time to catch up.
func (d *Driver) needsRefresh(m member) bool {
	state := &d.replication[m]
	return state.heardAt == 0 || d.host.Now()-state.heardAt >= max(d.positionMaxAge, min(state.lag, 4*sec)/2)
}

// probe sends a probe unless one is pending or the member accepts no new work.
func (d *Driver) probe(m member) {
	now := d.host.Now()
	if d.probeStarted[m] != 0 || !d.isInGroup[m] || !d.acceptsNewWork(m) {
		return
	}
	d.probeStarted[m] = now
	d.host.Probe(d.ids[m], func(r ProbeResult) { d.handleProbeResult(m, r) })
	d.after(probeTimeout, func() { d.judgeSilence(m, now) })
}

// judgeSilence takes a member for unresponsive that has not answered a probe of some time ago, unless this process
// was held up meanwhile.
func (d *Driver) judgeSilence(m member, askedAt int64) {
	if d.probeStarted[m] != askedAt || d.lastHeard[m] > askedAt {
		return
	}
	if wait := d.ownDelaySince(m, askedAt); wait > 0 {
		d.after(wait, func() { d.judgeSilence(m, askedAt) })
		return
	}
	d.markUnresponsive(m)
}

// handleProbeResult applies the result of a probe.
func (d *Driver) handleProbeResult(m member, r ProbeResult) {
	askedAt := d.probeStarted[m]
	d.probeStarted[m] = 0
	if r.Cause == NotSent {
		return
	}
	d.lastProbeEnd[m] = d.host.Now()
	// Any answer shows that it is alive.
	if r.Cause == NoCause || r.Cause == Overloaded || r.Cause == ServerError {
		d.markResponsive(m, r.ConnectedAt)
		d.replication[m].omitsRole = r.Report.Role == RoleUnknown && r.Role == RoleUnknown
		d.observe(m, r.Report, fromLoadReport, askedAt)
		d.observe(m, r.Observation, fromAnswer, askedAt)
	} else if wait := d.ownDelaySince(m, askedAt); wait > 0 && !d.isUnresponsive[m] { // it may have answered in time
		d.after(wait, func() { d.probe(m) })
	} else if d.host.Now()-d.lastHeard[m] >= probeTimeout { // otherwise only the probe's connection failed
		d.markUnresponsive(m)
		if d.fleet.ReportsPerMessage == 0 { // probe again soon: the outage may be short
			d.after(max(d.positionMaxAge, d.host.Now()-d.unresponsiveSince[m]), func() { d.probe(m) })
		}
	}
	d.retryHeld(d.groupOf[m])
}

// ProbeAllowed reports whether a pending probe may still begin.
func (d *Driver) ProbeAllowed(to MemberID) bool {
	m, known := d.index[to]
	return known && d.acceptsNewWork(m)
}

// markUnresponsive stops attempts to a member that does not answer until it answers again. Guards
// against crashed, partitioned and hung members: no attempt is lost on one before it answers again.
// It could do harm where only probes get lost.
func (d *Driver) markUnresponsive(m member) {
	if !d.isUnresponsive[m] {
		d.isUnresponsive[m], d.unresponsiveSince[m] = true, d.host.Now()-probeTimeout
		d.logf("silent member=%d unheard_ms=%d out=%d", d.ids[m], (d.host.Now()-d.lastHeard[m])/ms, d.inFlight[m])
	}
}

// markResponsive records an answer. After a long outage the member is assumed to have restarted,
// unless the connection is older than the outage.
func (d *Driver) markResponsive(m member, connectedAt int64) {
	now := d.host.Now()
	if d.isUnresponsive[m] {
		d.isUnresponsive[m] = false
		d.logf("answers again member=%d after_ms=%d", d.ids[m], (now-d.unresponsiveSince[m])/ms)
		if now-d.unresponsiveSince[m] > restartOutage && (connectedAt == 0 || connectedAt >= d.unresponsiveSince[m]) {
			d.limit[m], d.isRecovering[m] = 1, true
			d.inferredStart[m], d.inferredOutageStart[m] = now-probeTimeout, d.unresponsiveSince[m]
		}
	}
	d.lastHeard[m], d.connectedAt[m] = now, connectedAt
}
