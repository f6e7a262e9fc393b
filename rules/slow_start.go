package rules

const (
	savedUp      = 2.0  // attempts of a group for which a cold member's share is saved up
	latestAnswer = 0.05 // weight of the latest answer in the load of warm members

	expectedAnswers = 10.0 // that the load to expect weighs before any came
)

// warmLoad is the rate at which warm members serve this driver, which is what a cold member's budget is a share of: members serve no more than
// they can do, whatever they are sent. Attempts don't tell that: under overload most of them are turned away, and made again. Answers of cold
// members and time in which no member was warm don't count, so that a budget does not shrink by itself. Rates are those of a member of size 1.
type warmLoad struct {
	answers float64 // that warm members gave, smoothed
	time    float64 // in which they gave them, in nanoseconds of one member, each times its size
	at      int64   // up to when that is counted
}

// served notes an answer of a warm member; all that are warm have a size of so much.
func (l *warmLoad) served(now int64, warm float64) {
	l.answers += 1 - latestAnswer*l.answers
	l.time += float64(now-l.at)*warm - latestAnswer*l.time
	l.at = now
}

// rate is the number of answers that a warm member gives in a nanosecond, if those that are warm now have a size of so much. What is expected weighs
// the less the more answers were seen.
func (l *warmLoad) rate(now int64, warm, expected float64) float64 {
	prior := expectedAnswers * (1 - latestAnswer*l.answers)
	return (l.answers + prior) / (l.time + float64(now-l.at)*warm + prior/expected)
}

// groupLoad is what a group's warm members serve, in the mean, and what its primary does while it is warm, which may be more: each member can do
// as much.
type groupLoad struct{ mean, primary warmLoad }

// setPrimary makes a member its group's primary. What primaries served before it does not tell of the time in between.
func (d *Driver) setPrimary(g *group, m member) {
	g.primary, g.load.primary.at = m, d.host.Now()
}

// observeLoad notes that a member has served an attempt.
func (d *Driver) observeLoad(m member) {
	d.served[m]++
	if !d.warm(m) {
		return
	}
	now, g := d.host.Now(), d.of[m]
	g.load.mean.served(now, d.warmSize(g))
	if g.primary == m {
		g.load.primary.served(now, d.size[m])
	}
}

// loadPerSize is how many answers a nanosecond a warm member of size 1 is known to be able to give this driver. Before answers tell, as much is expected
// as requests come.
func (d *Driver) loadPerSize(g *group) float64 {
	now, warmPrimary, all := d.host.Now(), 0.0, 0.0
	if g.primary != nobody && d.warm(g.primary) {
		warmPrimary = d.size[g.primary]
	}
	for _, m := range g.members {
		all += d.size[m]
	}
	mean := g.load.mean.rate(now, d.warmSize(g), 1/(g.gap*all))
	return max(mean, g.load.primary.rate(now, warmPrimary, mean))
}

// warmSize is the size of all members of a group that answer and are warm.
func (d *Driver) warmSize(g *group) (size float64) {
	for _, m := range g.members {
		if d.state[m] == Healthy && !d.silent[m] && d.warm(m) {
			size += d.size[m]
		}
	}
	return size
}

// warm tells whether a member has not started lately.
func (d *Driver) warm(m member) bool {
	started := d.startOf(m)
	return started == 0 || d.host.Now()-started >= d.WarmUpTime
}

// admittedBySlowStart keeps a cold member's budget: 0.8 of the stated multiple of what it can do at the least, 0.7 with
// many drivers, as a share of what this driver is served by a warm member. So it holds for all without agreement.
// Lots are drawn, since the floors of many small budgets would add up, and nothing is saved up for long.
func (d *Driver) admittedBySlowStart(m member) bool {
	if d.warm(m) {
		return true
	}
	now, g, started := d.host.Now(), d.of[m], d.startOf(m)
	able := d.InitialShare + (1-d.InitialShare)*float64(now-started)/float64(d.WarmUpTime)
	span := min(savedUp*g.gap, float64(now-max(d.lastLot[m], started))) // since the last lot
	d.lastLot[m] = now
	own := float64(d.served[m]) / float64(max(10*sec, now-d.begun)) // what it served itself, in the mean
	rate := max(own, d.loadPerSize(g)*d.size[m])
	return d.rng.Float64() < span*rate*min(2, able*d.OverloadFactor*min(0.8, 0.7*d.first))
}

// startOf is when a member started last, by the list or by a silence that is taken for a restart, on the driver's clock; 0 for long ago.
func (d *Driver) startOf(m member) int64 {
	if d.listing[m] == 0 {
		return d.restarted[m]
	}
	now := d.host.Now()
	return max(d.listing[m]-d.clock.around(now)+now, d.restarted[m])
}
