package rules

const (
	lookApart = ms     // as many new members are looked at at once as follow in a hush so far apart
	newcomers = 8 * ms // of many drivers that start one looks at a member for the first time in this time
)

// UpdateMembers takes the list or, when whole is false, what changed in it.
func (d *Driver) UpdateMembers(lines []MemberEntry, whole bool) {
	for m := 0; whole && m < len(d.state); m++ {
		d.listed(member(m), Deregistered) // unless it is listed below
	}
	for _, l := range lines {
		m, known := d.index[l.Member]
		if !known && l.State != Healthy {
			d.host.Forget(l.Member)
			continue
		} else if !known {
			m = d.add(l, float64(firstTook), float64(firstGap), d.first)
		}
		d.listed(m, l.State)
		if l.Weight > 0 {
			d.size[m] = l.Weight
		}
		d.listing[m] = max(d.listing[m], l.Started)
		if g := d.of[m]; l.Primary && g.primary == nobody && d.known[m].role == RoleUnknown {
			d.setPrimary(g, m)
		}
	}
	d.watch()
	for _, l := range lines {
		d.wake(d.groups[l.Group])
	}
}

// listed notes a member's state. One that drained and then left still drains, where only draining binds.
func (d *Driver) listed(m member, s MemberState) {
	if s != Deregistered || d.state[m] != Draining {
		d.state[m] = s
	}
	if s == Healthy && !d.kept[m] {
		d.keep(m)
		if d.allowed.Probing {
			d.firstLook(m)
		}
	}
}

// firstLook begins to probe a new member: the first driver to look tells the others. Where drivers tell
// nothing each looks at once, but not at more than it may have connections: who is kept waiting seems silent.
func (d *Driver) firstLook(m member) {
	if d.fleet.ReportsPerMessage > 0 {
		apart := fewOrMany(d, ms, newcomers)
		d.host.After(d.upTo(apart*int64(d.fleet.Drivers)), func() { d.probeLoop(m) })
		return
	}
	now := d.host.Now()
	if d.looking = max(now-hush, d.looking+lookApart); d.looking > now {
		d.host.After(d.looking-now, func() { d.probeLoop(m) })
		return
	}
	d.probeLoop(m)
}

// WatchFailed hears that asking for the list failed, or that the watch broke off: it is asked for again. An
// agent has no other callers, and what it has when it is back counts at once: it is asked within the grace.
// One pause at a time, lest calls that fail while another is awaited multiply.
func (d *Driver) WatchFailed() {
	d.asked = false
	if d.pausing {
		return
	}
	d.pausing = true
	pause := sec/2 + d.upTo(3*sec/2)
	if d.notice.ViaAgent {
		pause = min(pause, d.notice.DrainGrace/4)
	}
	d.host.After(pause, func() {
		d.pausing = false
		d.watch()
	})
}

func (d *Driver) watch() {
	if d.notice.OnRequest && !d.asked {
		d.asked = true
		d.host.Watch()
	}
}

// here tells whether the list lets a member have anything new.
func (d *Driver) here(m member) bool {
	return d.state[m] == Healthy || d.state[m] == Deregistered && d.notice.OnlyDrainBinds
}
