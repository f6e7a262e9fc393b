package rules

const (
	maxAccruedAttempts = 2.0  // most request intervals for which a cold member accrues budget
	answerWeight       = 0.05 // weight of the latest answer in the smoothed throughput

	budgetShare           = 0.8 // share of the load that a cold member tolerates
	largeFleetBudgetShare = 0.7 // the same in a large fleet

	minOwnRateTime = 10 * sec // shortest time over which a member's own answer rate is averaged

	priorAnswers = 10.0 // weight of the expected throughput before any answer, in answers
)

// warmThroughput estimates the rate at which warm members serve this driver, per unit of member
// weight. It counts answers, not attempts: under overload most attempts are rejected and retried.
// Answers of cold members, and time in which no member was warm, are left out so that a slow-start
// budget does not shrink by itself.
type warmThroughput struct {
	answers    float64 // smoothed number of answers of warm members
	memberTime float64 // smoothed time of serving, in nanoseconds times member weight
	updatedAt  int64
}

// recordAnswer counts an answer of a warm member; weight is the total weight of the warm members.
func (t *warmThroughput) recordAnswer(now int64, weight float64) {
	t.answers += 1 - answerWeight*t.answers
	t.memberTime += float64(now-t.updatedAt)*weight - answerWeight*t.memberTime
	t.updatedAt = now
}

// rate returns the answers per nanosecond and unit of weight, given the total weight of the
// members that are warm now. The expected rate counts less the more answers were seen.
func (t *warmThroughput) rate(now int64, weight, expected float64) float64 {
	prior := priorAnswers * (1 - answerWeight*t.answers)
	return (t.answers + prior) / (t.memberTime + float64(now-t.updatedAt)*weight + prior/expected)
}

// groupThroughput holds the mean throughput of a group's warm members and that of its primary. The
// primary's may be higher, and shows what each member is able to serve.
type groupThroughput struct{ mean, primary warmThroughput }

// setPrimary makes a member its group's primary. The time without a primary does not count towards
// the primary's throughput.
func (d *Driver) setPrimary(g *group, m member) {
	g.primary, g.throughput.primary.updatedAt = m, d.host.Now()
}

// recordThroughput counts an attempt that a member has served.
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

// throughputPerWeight returns the answers per nanosecond that a warm member of weight 1 can give
// this driver. Before any answers it is derived from the request rate.
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

// warmWeight returns the total weight of a group's responsive warm members.
func (d *Driver) warmWeight(g *group) (weight float64) {
	for _, m := range g.members {
		if d.state[m] == Healthy && !d.isUnresponsive[m] && d.isWarm(m) {
			weight += d.weight[m]
		}
	}
	return weight
}

// isWarm reports whether a member has completed its warm-up time.
func (d *Driver) isWarm(m member) bool {
	started := d.startTime(m)
	return started == 0 || d.host.Now()-started >= d.WarmUpTime
}

// admittedBySlowStart reports whether a cold member's budget admits an attempt. The budget stays
// below the load that would overload the member, as a share of what warm members serve this
// driver, so that the sum over all drivers is bounded without coordination. Admission is random,
// because rounding up many small budgets would exceed that sum.
func (d *Driver) admittedBySlowStart(m member) bool {
	if d.isWarm(m) {
		return true
	}
	now, g, started := d.host.Now(), d.groupOf[m], d.startTime(m)
	capacityShare := d.InitialShare + (1-d.InitialShare)*float64(now-started)/float64(d.WarmUpTime)
	// The budget accrues since the last draw.
	elapsed := min(maxAccruedAttempts*g.requestInterval, float64(now-max(d.lastDraw[m], started)))
	d.lastDraw[m] = now
	// The mean rate at which the member itself has answered this driver.
	ownRate := float64(d.answered[m]) / float64(max(minOwnRateTime, now-d.startedAt))
	rate := max(ownRate, d.throughputPerWeight(g)*d.weight[m])
	return d.rng.Float64() < elapsed*rate*min(2, capacityShare*d.OverloadFactor*min(budgetShare, largeFleetBudgetShare*d.initialLimit))
}

// startTime returns when a member last started, by discovery or inferred from an outage, on the
// driver's clock; 0 if long ago.
func (d *Driver) startTime(m member) int64 {
	if d.listedStart[m] == 0 {
		return d.inferredStart[m]
	}
	now := d.host.Now()
	return max(d.listedStart[m]-d.clock.estimate(now)+now, d.inferredStart[m])
}
