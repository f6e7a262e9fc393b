package rules

const (
	minMessageSpacing = 3 * ms // a driver hears no more than one message of its fellows in this time
	maxMessageSpacing = 8 * ms // nor need they be rarer than this
	rpcsPerMessage    = 12.0   // else a driver sends one for so many RPCs that it takes
)

// scheduleReport passes on to the fellow drivers what was learned first-hand and they are likely not to know, at once
// or when their number allows.
func (d *Driver) scheduleReport(m member) {
	d.hasUnsentReport[m] = d.fleet.ReportsPerMessage > 0
	if d.gossipPending || !d.hasUnsentReport[m] {
		return
	}
	d.gossipPending = true
	fleet := int64(d.fleet.Drivers)
	spacing := min(maxMessageSpacing*fleet, max(minMessageSpacing*fleet, int64(rpcsPerMessage*d.rpcInterval)))
	d.host.After(d.lastGossip+max(d.heartbeatInterval, spacing)-d.host.Now(), func() {
		d.gossipPending = false
		var reports []PeerReport
		for m, isUnsent := range d.hasUnsentReport {
			d.hasUnsentReport[m] = false
			if isUnsent && len(reports) < d.fleet.ReportsPerMessage && d.host.Now()-d.replication[m].heardAt < d.positionMaxAge {
				uptime := int64(0)
				if d.connectedAt[m] != 0 {
					uptime = d.lastHeard[m] - d.connectedAt[m]
				}
				reports = append(reports, PeerReport{d.ids[m], Observation{Role: d.replication[m].role, Position: d.replication[m].position}, d.unsentLatency[m],
					d.lastAnswerFailed[m], uptime})
				d.unsentLatency[m], d.lastAnswerFailed[m] = 0, false
			}
		}
		if len(reports) > 0 {
			d.lastGossip = d.host.Now()
			d.host.SendReports(reports)
		}
	})
}

// ReceiveReports takes in a fellow driver's news. A position once true stays true, whoever saw it.
func (d *Driver) ReceiveReports(reports []PeerReport) {
	for _, report := range reports {
		if m, known := d.index[report.Member]; known && d.isNew(m, report.Observation) {
			d.observe(m, report.Observation, fromGossip, 0)
			d.hasUnsentReport[m] = false
			if report.Latency > 0 {
				d.recordLatency(m, float64(report.Latency), d.meanSoftDeadline)
			}
			if report.Latency > 0 || report.Failed {
				d.recordErrorRate(m, report.Failed)
			}
			d.recordUptime(m, report.Uptime)
			if d.isUnresponsive[m] { // it has moved on: look for ourselves, not all at once
				d.host.After(d.randomBelow(probeTimeout), func() { d.probe(m) })
			}
			d.retryHeld(d.groupOf[m])
		}
	}
}

// isNew tells whether a peer's word of a member says more than is known: a higher position, or another role at the same one.
func (d *Driver) isNew(m member, s Observation) bool {
	state := &d.replication[m]
	return s.Position > state.position || s.Role != state.role && s.Position+positionRounding >= state.position
}

// recordUptime hears from a fellow driver for how long a member has run. Guards against links that were cut: a
// member that only some drivers could not reach is not cold. A restart that the list tells of stays one.
func (d *Driver) recordUptime(m member, uptime int64) {
	if d.inferredOutageStart[m] != 0 && !d.isUnresponsive[m] && d.host.Now()-uptime < d.inferredOutageStart[m] {
		d.logf("ran on member=%d for_ms=%d", d.ids[m], uptime/ms)
		d.inferredStart[m], d.inferredOutageStart[m] = 0, 0
	}
}
