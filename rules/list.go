package rules

const (
	firstProbeSpacing      = ms     // between first probes of new members where drivers send no reports
	largeFleetProbeSpacing = 8 * ms // per driver, between first probes of one member by a large fleet

	minWatchRetryDelay = sec / 2
	watchRetryJitter   = 3 * sec / 2 // added at random, so that drivers do not retry all at once
)

// UpdateMembers applies the full membership or, if isComplete is false, a change to it.
func (d *Driver) UpdateMembers(entries []MemberEntry, isComplete bool) {
	for m := 0; isComplete && m < len(d.state); m++ {
		d.setState(member(m), Deregistered) // unless it is listed below
	}
	for _, entry := range entries {
		m, known := d.index[entry.Member]
		if !known && entry.State != Healthy {
			d.host.Forget(entry.Member)
			continue
		} else if !known {
			m = d.addMember(entry, float64(defaultLatency), float64(defaultRequestInterval), d.initialLimit)
		}
		d.setState(m, entry.State)
		if entry.Weight > 0 {
			d.weight[m] = entry.Weight
		}
		d.listedStart[m] = max(d.listedStart[m], entry.Started)
		if g := d.groupOf[m]; entry.Primary && g.primary == noMember && d.replication[m].role == RoleUnknown {
			d.setPrimary(g, m)
		}
	}
	d.watch()
	for _, entry := range entries {
		d.retryHeld(d.groups[entry.Group])
	}
}

// setState sets a member's state. A draining member that is deregistered stays draining, because
// deregistration alone may not be binding.
func (d *Driver) setState(m member, s MemberState) {
	if s != Deregistered || d.state[m] != Draining {
		d.state[m] = s
	}
	if s == Healthy && !d.isInGroup[m] {
		d.addToGroup(m)
		if d.policy.Probing {
			d.scheduleFirstProbe(m)
		}
	}
}

// scheduleFirstProbe starts the probe loop of a new member. Where drivers send reports, the start
// is random and the first driver to probe informs the others. Otherwise first probes are spaced,
// because a probe that waits for a connection would look unanswered.
func (d *Driver) scheduleFirstProbe(m member) {
	if d.fleet.ReportsPerMessage > 0 {
		spacing := byFleetSize(d, ms, largeFleetProbeSpacing)
		d.after(d.randomBelow(spacing*int64(d.fleet.Drivers)), func() { d.probeLoop(m) })
		return
	}
	now := d.host.Now()
	if d.nextFirstProbe = max(now-probeTimeout, d.nextFirstProbe+firstProbeSpacing); d.nextFirstProbe > now {
		d.after(d.nextFirstProbe-now, func() { d.probeLoop(m) })
		return
	}
	d.probeLoop(m)
}

// WatchFailed schedules a new watch after one failed or broke off. An agent is asked again within
// the drain grace, because its updates bind at once. Only one retry is pending at a time, so that
// failures do not multiply calls.
func (d *Driver) WatchFailed() {
	d.isWatching = false
	if d.watchRetryPending {
		return
	}
	d.watchRetryPending = true
	pause := minWatchRetryDelay + d.randomBelow(watchRetryJitter)
	if d.discovery.ViaAgent {
		pause = min(pause, d.discovery.DrainGrace/4)
	}
	d.after(pause, func() {
		d.watchRetryPending = false
		d.watch()
	})
}

func (d *Driver) watch() {
	if d.discovery.OnRequest && !d.isWatching {
		d.isWatching = true
		d.host.Watch()
	}
}

// acceptsNewWork reports whether discovery permits new attempts to a member.
func (d *Driver) acceptsNewWork(m member) bool {
	return d.state[m] == Healthy || d.state[m] == Deregistered && d.discovery.OnlyDrainBinds
}
