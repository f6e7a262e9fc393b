package rules

const (
	maxAccruedAttempts = 2.0  // attempts of a group for which a cold member's share is saved up
	answerWeight       = 0.05 // weight of the latest answer in the load of warm members

	priorAnswers = 10.0 // that the load to expect weighs before any came
)

// warmThroughput is the rate at which warm members serve this driver, which is what a cold member's budget is a share of: members serve no more than
// they can do, whatever they are sent. Attempts don't tell that: under overload most of them are turned away, and made again. Answers of cold
// members and time in which no member was warm don't count, so that a budget does not shrink by itself. Rates are those of a member of size 1.
type warmThroughput struct {
	answers    float64 // that warm members gave, smoothed
	memberTime float64 // in which they gave them, in nanoseconds of one member, each times its size
	updatedAt  int64   // up to when that is counted
}

// recordAnswer notes an answer of a warm member; all that are warm have a size of so much.
func (t *warmThroughput) recordAnswer(now int64, weight float64) {
	t.answers += 1 - answerWeight*t.answers
	t.memberTime += float64(now-t.updatedAt)*weight - answerWeight*t.memberTime
	t.updatedAt = now
}

// rate is the number of answers that a warm member gives in a nanosecond, if those that are warm now have a size of so much. What is expected weighs
// the less the more answers were seen.
func (t *warmThroughput) rate(now int64, weight, expected float64) float64 {
	prior := priorAnswers * (1 - answerWeight*t.answers)
	return (t.answers + prior) / (t.memberTime + float64(now-t.updatedAt)*weight + prior/expected)
}

// groupThroughput is what a group's warm members serve, in the mean, and what its primary does while it is warm, which may be more: each member can do
// as much.
type groupThroughput struct{ mean, primary warmThroughput }

// setPrimary makes a member its group's primary. What primaries served before it does not tell of the time in between.
func (d *Driver) setPrimary(g *group, m member) {
	g.primary, g.throughput.primary.updatedAt = m, d.host.Now()
}

// recordThroughput notes that a member has served an attempt.
func (d *Driver) recordThroughput(m member) {
	d.answered[m]++
	if !d.isWarm(m) {
		return
	}
	now, g := d.host.Now(), d.groupOf[m]
	g.throughput.mean.recordAnswer(now, d.warmWeight(g))
	if g.primary == m {
		g.throughput.primary.recordAnswer(now, d.weight[m])
	}
}

// throughputPerWeight is how many answers a nanosecond a warm member of size 1 is known to be able to give this driver. Before answers tell, as much is expected
// as requests come.
func (d *Driver) throughputPerWeight(g *group) float64 {
	now, primaryWeight, totalWeight := d.host.Now(), 0.0, 0.0
	if g.primary != noMember && d.isWarm(g.primary) {
		primaryWeight = d.weight[g.primary]
	}
	for _, m := range g.members {
		totalWeight += d.weight[m]
	}
	mean := g.throughput.mean.rate(now, d.warmWeight(g), 1/(g.requestInterval*totalWeight))
	return max(mean, g.throughput.primary.rate(now, primaryWeight, mean))
}

// warmWeight is the size of all members of a group that answer and are warm.
func (d *Driver) warmWeight(g *group) (weight float64) {
	for _, m := range g.members {
		if d.state[m] == Healthy && !d.isUnresponsive[m] && d.isWarm(m) {
			weight += d.weight[m]
		}
	}
	return weight
}

// isWarm tells whether a member has not started lately.
func (d *Driver) isWarm(m member) bool {
	started := d.startTime(m)
	return started == 0 || d.host.Now()-started >= d.WarmUpTime
}

// admittedBySlowStart keeps a cold member's budget: 0.8 of the stated multiple of what it can do at the least, 0.7 with
// many drivers, as a share of what this driver is served by a warm member. So it holds for all without agreement.
// Lots are drawn, since the floors of many small budgets would add up, and nothing is saved up for long.
func (d *Driver) admittedBySlowStart(m member) bool {
	if d.isWarm(m) {
		return true
	}
	now, g, started := d.host.Now(), d.groupOf[m], d.startTime(m)
	capacityShare := d.InitialShare + (1-d.InitialShare)*float64(now-started)/float64(d.WarmUpTime)
	elapsed := min(maxAccruedAttempts*g.requestInterval, float64(now-max(d.lastDraw[m], started))) // since the last lot
	d.lastDraw[m] = now
	ownRate := float64(d.answered[m]) / float64(max(10*sec, now-d.startedAt)) // what it served itself, in the mean
	rate := max(ownRate, d.throughputPerWeight(g)*d.weight[m])
	return d.rng.Float64() < elapsed*rate*min(2, capacityShare*d.OverloadFactor*min(0.8, 0.7*d.initialLimit))
}

// startTime is when a member started last, by the list or by a silence that is taken for a restart, on the driver's clock; 0 for long ago.
func (d *Driver) startTime(m member) int64 {
	if d.listedStart[m] == 0 {
		return d.inferredStart[m]
	}
	now := d.host.Now()
	return max(d.listedStart[m]-d.clock.estimate(now)+now, d.inferredStart[m])
}
