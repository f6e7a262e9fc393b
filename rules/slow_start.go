package rules

const (
	savedUp = 2.0 // attempts of a group for which a cold member's share is saved up
)

// admittedBySlowStart keeps a cold member's budget: 0.8 of the stated multiple of what it can do at the least, 0.7 with
// many drivers, as a share of its driver's mean traffic a member. So it holds for all without agreement.
// Lots are drawn, since the floors of many small budgets would add up, and nothing is saved up for long.
func (d *Driver) admittedBySlowStart(m member) bool {
	now := d.host.Now()
	started := d.startOf(m)
	age := now - started
	if started == 0 || age >= d.WarmAfter {
		return true
	}
	g := d.of[m]
	able := d.Share + (1-d.Share)*float64(age)/float64(d.WarmAfter)
	span := min(savedUp*g.gap, float64(now-max(d.fed[m], started))) // since the last lot
	d.fed[m] = now
	bore := float64(d.borne[m]) / float64(max(10*sec, now-d.begun)) // itself, in the mean
	rate := max(bore, 1/(g.gap*max(1, g.bore)))
	return d.rng.Float64() < span*rate*min(2, able*d.Multiple*min(0.8, 0.7*d.first))
}

// startOf is when a member started last, by the list or by a silence that is taken for a restart, on the driver's clock; 0 for long ago.
func (d *Driver) startOf(m member) int64 {
	if d.listing[m] == 0 {
		return d.restarted[m]
	}
	now := d.host.Now()
	return max(d.listing[m]-d.clock.around(now)+now, d.restarted[m])
}
