package rules

const (
	newsApart = 3 * ms // a driver hears no more than one message of its fellows in this time
	newsRare  = 8 * ms // nor need they be rarer than this
	newsFor   = 12.0   // else a driver sends one for so many RPCs that it takes
)

// tell passes on to the fellow drivers what was learned first-hand and they are likely not to know, at once
// or when their number allows.
func (d *Driver) tell(m member) {
	d.untold[m] = d.fleet.ReportsPerMessage > 0
	if d.telling || !d.untold[m] {
		return
	}
	d.telling = true
	fleet := int64(d.fleet.Drivers)
	apart := min(newsRare*fleet, max(newsApart*fleet, int64(newsFor*d.gap)))
	d.host.After(d.told+max(d.interval, apart)-d.host.Now(), func() {
		d.telling = false
		var news []PeerReport
		for m, untold := range d.untold {
			d.untold[m] = false
			if untold && len(news) < d.fleet.ReportsPerMessage && d.host.Now()-d.known[m].learned < d.due {
				ran := int64(0)
				if d.opened[m] != 0 {
					ran = d.heard[m] - d.opened[m]
				}
				news = append(news, PeerReport{d.ids[m], Observation{Role: d.known[m].role, Position: d.known[m].position}, d.answered[m],
					d.erred[m], ran})
				d.answered[m], d.erred[m] = 0, false
			}
		}
		if len(news) > 0 {
			d.told = d.host.Now()
			d.host.SendReports(news)
		}
	})
}

// ReceiveReports takes in a fellow driver's news. A position once true stays true, whoever saw it.
func (d *Driver) ReceiveReports(news []PeerReport) {
	for _, n := range news {
		if m, known := d.index[n.Member]; known && d.isNew(m, n.Observation) {
			d.observe(m, n.Observation, byGossip, 0)
			d.untold[m] = false
			if n.Latency > 0 {
				d.learn(m, float64(n.Latency), d.soft)
			}
			if n.Latency > 0 || n.Failed {
				d.fares(m, n.Failed)
			}
			d.ranOn(m, n.Uptime)
			if d.silent[m] { // it has moved on: look for ourselves, not all at once
				d.host.After(d.upTo(hush), func() { d.probe(m) })
			}
			d.wake(d.of[m])
		}
	}
}

// isNew tells whether a peer's word of a member says more than is known: a higher position, or another role at the same one.
func (d *Driver) isNew(m member, s Observation) bool {
	k := &d.known[m]
	return s.Position > k.position || s.Role != k.role && s.Position+rounding >= k.position
}

// ranOn hears from a fellow driver for how long a member has run. Guards against links that were cut: a
// member that only some drivers could not reach is not cold. A restart that the list tells of stays one.
func (d *Driver) ranOn(m member, ran int64) {
	if d.guessed[m] != 0 && !d.silent[m] && d.host.Now()-ran < d.guessed[m] {
		d.logf("ran on member=%d for_ms=%d", d.ids[m], ran/ms)
		d.restarted[m], d.guessed[m] = 0, 0
	}
}
