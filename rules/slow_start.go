package rules

const (
	savedUp      = 2.0  // attempts of a group for which a cold member's share is saved up
	latestAnswer = 0.05 // weight of the latest answer in the load of warm members
)

// warmLoad is the rate at which the warm members of a group serve this driver, which is what a cold member's budget is a share of: members
// serve no more than they can do, whatever they are sent. Attempts don't tell that: under overload most of them are turned away, and made
// again. Answers of cold members and time in which no member was warm don't count, so that a budget does not shrink by itself.
type warmLoad struct {
	answers float64 // that warm members gave, smoothed
	time    float64 // in which they gave them, in nanoseconds of one member
	at      int64   // up to when that is counted
}

// served notes an answer of a warm member, of so many that are warm.
func (l *warmLoad) served(now int64, warm int) {
	l.answers += 1 - latestAnswer*l.answers
	l.time += float64(now-l.at)*float64(warm) - latestAnswer*l.time
	l.at = now
}

// rate is the number of answers that one warm member gives in a nanosecond.
func (l *warmLoad) rate(now int64, warm int) float64 {
	return l.answers / (l.time + float64(now-l.at)*float64(warm))
}

// expectedLoad is the load of a group to reckon with before any answer came, which as many answers outweigh as are smoothed over.
func expectedLoad(now int64, members int) warmLoad {
	return warmLoad{answers: 1 / latestAnswer, time: float64(firstGap) / latestAnswer * float64(members), at: now}
}

// warmMembers counts the members of a group that answer and are warm.
func (d *Driver) warmMembers(g *group) (count int) {
	for _, m := range g.members {
		if d.state[m] == Healthy && !d.silent[m] && d.warm(m) {
			count++
		}
	}
	return count
}

// observeLoad notes that a member has served an attempt.
func (d *Driver) observeLoad(m member) {
	d.borne[m]++
	if d.warm(m) {
		g := d.of[m]
		d.expectLoad(g)
		g.load.served(d.host.Now(), d.warmMembers(g))
	}
}

// expectLoad begins with what is to be expected of a group, which is known once its members are.
func (d *Driver) expectLoad(g *group) {
	if g.load.at == 0 {
		g.load = expectedLoad(d.host.Now(), len(g.members))
	}
}

// warm tells whether a member has not started lately.
func (d *Driver) warm(m member) bool {
	started := d.startOf(m)
	return started == 0 || d.host.Now()-started >= d.WarmAfter
}

// admittedBySlowStart keeps a cold member's budget: 0.8 of the stated multiple of what it can do at the least, 0.7 with
// many drivers, as a share of what this driver is served by a warm member. So it holds for all without agreement.
// Lots are drawn, since the floors of many small budgets would add up, and nothing is saved up for long.
func (d *Driver) admittedBySlowStart(m member) bool {
	if d.warm(m) {
		return true
	}
	now, g, started := d.host.Now(), d.of[m], d.startOf(m)
	d.expectLoad(g)
	able := d.Share + (1-d.Share)*float64(now-started)/float64(d.WarmAfter)
	span := min(savedUp*g.gap, float64(now-max(d.fed[m], started))) // since the last lot
	d.fed[m] = now
	bore := float64(d.borne[m]) / float64(max(10*sec, now-d.begun)) // itself, in the mean
	rate := max(bore, g.load.rate(now, d.warmMembers(g)))
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
