package rules

const (
	minPositionRefresh     = 100 * ms // a position is old after half of the smallest bound, kept within these
	maxPositionRefresh     = 250 * ms
	maxMemberProbeInterval = 10 * sec // most time between own probes of a member
	probeTimeout           = 150 * ms // a probe unanswered for so long makes its member silent
	restartOutage          = sec      // after so long a silence a member may have restarted
)

// probeLoop probes a member for as long as the list has it. An answer, or a fellow driver's news, that
// brought a position since stands in for the probe. In the mean it makes no more probes than it takes RPCs.
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
	d.host.After(wait+d.randomBelow(wait/4), func() { d.probeLoop(m) })
}

// needsRefresh tells whether a probe could bring a better position: who was far behind needs half of that to catch up.
func (d *Driver) needsRefresh(m member) bool {
	state := &d.replication[m]
	return state.heardAt == 0 || d.host.Now()-state.heardAt >= max(d.positionMaxAge, min(state.lag, 4*sec)/2)
}

func (d *Driver) probe(m member) {
	now := d.host.Now()
	if d.probeStarted[m] != 0 || !d.isInGroup[m] || !d.acceptsNewWork(m) {
		return // one is on its way, or the member was dropped, or is to get nothing new
	}
	d.probeStarted[m] = now
	d.host.Probe(d.ids[m], func(r ProbeResult) { d.handleProbeResult(m, r) })
	d.host.After(probeTimeout, func() {
		if d.probeStarted[m] == now && d.lastHeard[m] <= now {
			d.markUnresponsive(m)
		}
	})
}

func (d *Driver) handleProbeResult(m member, r ProbeResult) {
	askedAt := d.probeStarted[m]
	d.probeStarted[m] = 0
	if r.Cause == NotSent { // it was never sent
		return
	}
	d.lastProbeEnd[m] = d.host.Now()
	if r.Cause == NoCause || r.Cause == Overloaded || r.Cause == ServerError { // whatever it answers it is alive
		d.markResponsive(m, r.ConnectedAt)
		d.replication[m].omitsRole = r.Report.Role == RoleUnknown && r.Role == RoleUnknown
		d.observe(m, r.Report, fromLoadReport, askedAt)
		d.observe(m, r.Observation, fromAnswer, askedAt)
	} else if d.host.Now()-d.lastHeard[m] >= probeTimeout { // else it lives, and only the probe's connection broke
		d.markUnresponsive(m)
		if d.fleet.ReportsPerMessage == 0 { // look again soon: it may have stood still for a moment
			d.host.After(max(d.positionMaxAge, d.host.Now()-d.unresponsiveSince[m]), func() { d.probe(m) })
		}
	}
	d.retryHeld(d.groupOf[m])
}

// ProbeAllowed tells whether a probe that was made may still begin.
func (d *Driver) ProbeAllowed(to MemberID) bool {
	m, known := d.index[to]
	return known && d.acceptsNewWork(m)
}

// markUnresponsive marks a member that does not answer. Guards against crashed, cut off and hung members: nothing is
// lost on it before it answers again. Could harm where only probes get lost.
func (d *Driver) markUnresponsive(m member) {
	if !d.isUnresponsive[m] {
		d.isUnresponsive[m], d.unresponsiveSince[m] = true, d.host.Now()-probeTimeout
		d.logf("silent member=%d unheard_ms=%d out=%d", d.ids[m], (d.host.Now()-d.lastHeard[m])/ms, d.inFlight[m])
	}
}

// markResponsive hears from a member. After a long silence it may have restarted, unless a connection outlived that.
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
