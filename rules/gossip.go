package rules

const (
	minMessageSpacing = 3 * ms // times the fleet size: least time between messages of a driver
	maxMessageSpacing = 8 * ms // times the fleet size: most time between messages of a driver
	rpcsPerMessage    = 12.0   // RPCs per message, within these spacings
)

// scheduleReport schedules a report on a member to peers, which probably lack what this driver
// observed itself. Messages are spaced by the size of the fleet and this driver's traffic.
func (d *Driver) scheduleReport(m member) {
	d.hasUnsentReport[m] = d.fleet.ReportsPerMessage > 0
	if d.sendPending || !d.hasUnsentReport[m] {
		return
	}
	d.sendPending = true
	fleet := int64(d.fleet.Drivers)
	spacing := min(maxMessageSpacing*fleet, max(minMessageSpacing*fleet, int64(rpcsPerMessage*d.rpcInterval)))
	d.after(d.reportsSentAt+max(d.heartbeatInterval, spacing)-d.host.Now(), func() {
		d.sendPending = false
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
			d.reportsSentAt = d.host.Now()
			d.host.SendReports(reports)
		}
	})
}

// ReceiveReports applies the reports of a peer. Positions only grow, so a reported one stays
// valid.
func (d *Driver) ReceiveReports(reports []PeerReport) {
	for _, report := range reports {
		if m, known := d.index[report.Member]; known && d.isNew(m, report.Observation) {
			d.observe(m, report.Observation, fromPeerReport, 0)
			d.hasUnsentReport[m] = false
			if report.Latency > 0 {
				d.updateLatency(m, float64(report.Latency), d.meanSoftDeadline)
			}
			if report.Latency > 0 || report.Failed {
				d.updateErrorRate(m, report.Failed)
			}
			d.recordUptime(m, report.Uptime)
			// It answers a peer: probe it, at a random time so that drivers do not probe all at once.
			if d.isUnresponsive[m] {
				d.after(d.randomBelow(probeTimeout), func() { d.probe(m) })
			}
			d.retryHeld(d.groupOf[m])
		}
	}
}

// isNew reports whether a peer's observation adds to what is known: a higher position, or another
// role at the same position.
func (d *Driver) isNew(m member, observation Observation) bool {
	state := &d.replication[m]
	return observation.Position > state.position || observation.Role != state.role && observation.Position+positionRounding >= state.position
}

// recordUptime cancels an inferred restart if a peer's connection to the member outlived the
// outage. Guards against treating a member as cold after a network partition. Starts stated by
// discovery are not affected.
func (d *Driver) recordUptime(m member, uptime int64) {
	if d.inferredOutageStart[m] != 0 && !d.isUnresponsive[m] && d.host.Now()-uptime < d.inferredOutageStart[m] {
		d.logf("ran on member=%d for_ms=%d", d.ids[m], uptime/ms)
		d.inferredStart[m], d.inferredOutageStart[m] = 0, 0
	}
}
