package rules

const (
	firstProbeSpacing      = ms     // as many new members are looked at at once as follow in a hush so far apart
	largeFleetProbeSpacing = 8 * ms // of many drivers that start one looks at a member for the first time in this time
)

// UpdateMembers takes the list or, when whole is false, what changed in it.
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

// setState notes a member's state. One that drained and then left still drains, where only draining binds.
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

// scheduleFirstProbe begins to probe a new member: the first driver to look tells the others. Where drivers tell
// nothing each looks at once, but not at more than it may have connections: who is kept waiting seems silent.
func (d *Driver) scheduleFirstProbe(m member) {
	if d.fleet.ReportsPerMessage > 0 {
		spacing := byFleetSize(d, ms, largeFleetProbeSpacing)
		d.host.After(d.randomBelow(spacing*int64(d.fleet.Drivers)), func() { d.probeLoop(m) })
		return
	}
	now := d.host.Now()
	if d.nextFirstProbe = max(now-probeTimeout, d.nextFirstProbe+firstProbeSpacing); d.nextFirstProbe > now {
		d.host.After(d.nextFirstProbe-now, func() { d.probeLoop(m) })
		return
	}
	d.probeLoop(m)
}

// WatchFailed hears that asking for the list failed, or that the watch broke off: it is asked for again. An
// agent has no other callers, and what it has when it is back counts at once: it is asked within the grace.
// One pause at a time, lest calls that fail while another is awaited multiply.
func (d *Driver) WatchFailed() {
	d.isWatching = false
	if d.retryPending {
		return
	}
	d.retryPending = true
	pause := sec/2 + d.randomBelow(3*sec/2)
	if d.discovery.ViaAgent {
		pause = min(pause, d.discovery.DrainGrace/4)
	}
	d.host.After(pause, func() {
		d.retryPending = false
		d.watch()
	})
}

func (d *Driver) watch() {
	if d.discovery.OnRequest && !d.isWatching {
		d.isWatching = true
		d.host.Watch()
	}
}

// acceptsNewWork tells whether the list lets a member have anything new.
func (d *Driver) acceptsNewWork(m member) bool {
	return d.state[m] == Healthy || d.state[m] == Deregistered && d.discovery.OnlyDrainBinds
}
