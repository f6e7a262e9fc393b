package rules

const (
	shortestProbe = 100 * ms // a position is old after half of the smallest bound, kept within these
	longestProbe  = 250 * ms
	rarestProbe   = 10 * sec // most time between own probes of a member
	hush          = 150 * ms // a probe unanswered for so long makes its member silent
	longHush      = sec      // after so long a silence a member may have restarted
)

// probeLoop probes a member for as long as the list has it. An answer, or a fellow driver's news, that
// brought a position since stands in for the probe. In the mean it makes no more probes than it takes RPCs.
func (d *Driver) probeLoop(m member) {
	now := d.host.Now()
	idle := d.out[m] == 0 && d.asking[m] == 0
	if idle && d.state[m] != Healthy && now-max(d.heard[m], d.known[m].learned) > forgetAfter {
		d.drop(m)
		return
	}
	learned := d.known[m].learned
	wait, age := min(d.rarest, max(2*d.due, int64(d.gap*float64(d.keeping)))), now-learned
	enough := wait
	if d.fleet.ReportsPerMessage == 0 || !d.many() {
		enough = min(wait, 2*d.due)
	}
	if d.here(m) && (d.silent[m] || learned == 0 || d.old(m) && age >= enough) {
		d.probe(m)
	} else if age < d.due {
		wait -= age
	}
	wait = max(wait, soonestLook)
	d.host.After(wait+d.upTo(wait/4), func() { d.probeLoop(m) })
}

// old tells whether a probe could bring a better position: who was far behind needs half of that to catch up.
func (d *Driver) old(m member) bool {
	k := &d.known[m]
	return k.learned == 0 || d.host.Now()-k.learned >= max(d.due, min(k.lag, 4*sec)/2)
}

func (d *Driver) probe(m member) {
	now := d.host.Now()
	if d.asking[m] != 0 || !d.kept[m] || !d.here(m) {
		return // one is on its way, or the member was dropped, or is to get nothing new
	}
	d.asking[m] = now
	d.host.Probe(d.ids[m], func(r ProbeResult) { d.probed(m, r) })
	d.host.After(hush, func() {
		if d.asking[m] == now && d.heard[m] <= now {
			d.hushed(m)
		}
	})
}

func (d *Driver) probed(m member, r ProbeResult) {
	asked := d.asking[m]
	d.asking[m] = 0
	if r.Cause == NotSent { // it was never sent
		return
	}
	d.lookedAt[m] = d.host.Now()
	if r.Cause == NoCause || r.Cause == Overloaded || r.Cause == ServerError { // whatever it answers it is alive
		d.alive(m, r.ConnectedAt)
		d.known[m].mute = r.Report.Role == RoleUnknown && r.Role == RoleUnknown
		d.observe(m, r.Report, byReport, asked)
		d.observe(m, r.Observation, byAnswer, asked)
	} else if d.host.Now()-d.heard[m] >= hush { // else it lives, and only the probe's connection broke
		d.hushed(m)
		if d.fleet.ReportsPerMessage == 0 { // look again soon: it may have stood still for a moment
			d.host.After(max(d.due, d.host.Now()-d.since[m]), func() { d.probe(m) })
		}
	}
	d.wake(d.of[m])
}

// ProbeAllowed tells whether a probe that was made may still begin.
func (d *Driver) ProbeAllowed(to MemberID) bool {
	m, known := d.index[to]
	return known && d.here(m)
}

// hushed marks a member that does not answer. Guards against crashed, cut off and hung members: nothing is
// lost on it before it answers again. Could harm where only probes get lost.
func (d *Driver) hushed(m member) {
	if !d.silent[m] {
		d.silent[m], d.since[m] = true, d.host.Now()-hush
		d.logf("silent member=%d unheard_ms=%d out=%d", d.ids[m], (d.host.Now()-d.heard[m])/ms, d.out[m])
	}
}

// alive hears from a member. After a long silence it may have restarted, unless a connection outlived that.
func (d *Driver) alive(m member, opened int64) {
	now := d.host.Now()
	if d.silent[m] {
		d.silent[m] = false
		d.logf("answers again member=%d after_ms=%d", d.ids[m], (now-d.since[m])/ms)
		if now-d.since[m] > longHush && (opened == 0 || opened >= d.since[m]) {
			d.room[m], d.back[m] = 1, true
			d.restarted[m], d.guessed[m] = now-hush, d.since[m]
		}
	}
	d.heard[m], d.opened[m] = now, opened
}
