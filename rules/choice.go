package rules

import "slices"

const (
	latencyWindow               = 15 * ms // width of the latency window above the fastest
	latencyWindowShare          = 0.25    // and this share of the fastest on top
	largeFleetWindowShare       = 1.0     // or this, of many drivers, each of which knows answer times by few
	maxReplicaProbes            = 2       // replicas probed for one read
	primaryReadShare            = 0.6     // of the primary's room that reads may fill
	primaryCostFactor           = 2.0     // the primary helps out when it would answer so many times sooner
	largeFleetPrimaryCostFactor = 1.3     // or so many times, of many drivers
)

// pickMember names the member for the next attempt of an RPC, or nobody if it has to wait. Where none passes, one
// of many drivers may choose a replica whose position is old: it is probed first. Guards the primary against
// reads of drivers that see little. Could harm where probes are dear.
func (d *Driver) pickMember(c *call) member {
	g, primary := c.group, c.group.primary
	eligible, outdated := d.scratch.eligible[:0], d.scratch.outdated[:0]
	mayProbe := d.isInLargeFleet() && c.replicaProbes < maxReplicaProbes && c.isRead() && d.policy.Probing
	for _, m := range g.members {
		switch {
		case m == primary || (!d.store.RejectsStaleReads || d.isInLargeFleet()) && !d.hasLatencyHeadroom(m, c):
		case !d.canTake(m, c, 1) || slices.Contains(c.tried, m):
		case d.eligibility(m, c) != notEligible:
			eligible = append(eligible, m)
		case mayProbe && d.needsRefresh(m):
			outdated = append(outdated, m)
		}
	}
	d.scratch.eligible, d.scratch.outdated = eligible, outdated
	if len(eligible) == 0 {
		eligible = outdated
	}
	share, primaryUntried := 1.0, true
	if c.isRead() {
		share, primaryUntried = primaryReadShare, !slices.Contains(c.tried, primary)
	}
	costFactor := byFleetSize(d, primaryCostFactor, largeFleetPrimaryCostFactor)
	primaryEligible := primary != noMember && primaryUntried && d.replication[primary].position >= c.MinPosition && d.hasLatencyHeadroom(primary, c) && d.canTake(primary, c, share)
	if primaryEligible && d.eligibility(primary, c) == notEligible {
		primaryEligible = false
		if len(eligible) == 0 {
			d.confirmPrimary(primary, c)
		}
	}
	for primaryEligible || len(eligible) > 0 {
		m := d.pickInLatencyWindow(eligible, c.probedReplica)
		if m == noMember || primaryEligible && d.expectedTime(primary)*costFactor < d.expectedTime(m) {
			m = primary
		} else if d.eligibility(m, c) == notEligible {
			c.probedReplica, c.replicaProbes = m, c.replicaProbes+1
			d.probe(m)
			return noMember
		}
		if d.admittedBySlowStart(m) {
			return m
		}
		primaryEligible = primaryEligible && m != primary
		eligible = slices.DeleteFunc(eligible, func(o member) bool { return o == m })
	}
	return noMember
}

// hasLatencyHeadroom tells whether a member has time for a read. One of many drivers cannot tell by its room: the more it
// is strained the fewer reads go, by lot, lest all drivers turn at once; strain not seen for long fades.
// Guards the primary, and replicas that answer whatever they hold, which fall behind when they are crowded.
func (d *Driver) hasLatencyHeadroom(m member, c *call) bool {
	age := float64(d.host.Now()-d.latencyUpdated[m]) / float64(sec)
	return !d.isInLargeFleet() || !c.isRead() || d.latencyRatio[m] < (lowLatencyRatio+c.latencyDraw*(2*highLatencyRatio-lowLatencyRatio))*(1+age)
}

// canTake tells whether a member may get an attempt of an RPC: it has room, and is expected to answer while that
// is of use. Guards against work in vain for clients of little patience, which would keep a busy member busy.
func (d *Driver) canTake(m member, c *call, share float64) bool {
	inTime := d.host.Now()+int64(d.latency[m]) <= c.usefulUntil()
	return inTime && float64(d.inFlight[m]+1) <= max(1, d.limit[m]*share) && d.isUsable(m) && d.mayRetry(c, m)
}

// pickInLatencyWindow picks at random among passers in the latency window, by what each can do; one that was looked at
// is the pick already. Guards small members beside large ones, and whoever looked fastest to all at once.
func (d *Driver) pickInLatencyWindow(eligible []member, probed member) member {
	if len(eligible) == 0 {
		return noMember
	}
	if slices.Contains(eligible, probed) {
		return probed
	}
	costs, cumulativeWeights, sum := d.scratch.costs[:0], d.scratch.cumulativeWeights[:0], 0.0
	for _, m := range eligible {
		costs = append(costs, d.expectedTime(m))
	}
	limit := slices.Min(costs)*(1+byFleetSize(d, latencyWindowShare, largeFleetWindowShare)) + float64(latencyWindow)
	for i, m := range eligible {
		if costs[i] <= limit {
			sum += d.weight[m] / (costs[i] * costs[i])
		}
		cumulativeWeights = append(cumulativeWeights, sum)
	}
	d.scratch.costs, d.scratch.cumulativeWeights = costs, cumulativeWeights
	draw := sum * (1 - d.rng.Float64()) // more than 0, so that none outside the window is drawn
	return eligible[slices.IndexFunc(cumulativeWeights, func(cumulative float64) bool { return draw <= cumulative })]
}

// expectedTime is the time to expect until a member has served: what fails has to be sent again.
func (d *Driver) expectedTime(m member) float64 {
	errorFade := max(0, 1-float64(d.host.Now()-d.lastError[m])/float64(errorMemory))
	return d.latency[m] * (1 + float64(d.inFlight[m])) / (1.01 - d.errorRate[m]*errorFade)
}

// isUsable tells whether a member may get anything at all.
func (d *Driver) isUsable(m member) bool {
	isKnown := d.isKnown(m) || !d.policy.Probing // guards against strangers in the list
	return isKnown && d.acceptsNewWork(m) && !d.isUnresponsive[m] && d.host.Now() >= d.ejectedUntil[m]
}

// AttemptAllowed tells whether an attempt that was made may still begin: it is asked just before its first byte is
// written. Guards against whatever changed since the decision, while a connection was waited for: the list,
// the primary, positions, the window for repeats, the deadline, a client that left.
func (d *Driver) AttemptAllowed(id RPCID, to MemberID) bool {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known || !d.acceptsNewWork(m) || d.host.Now() >= c.deadline || !d.mayRetry(c, m) {
		return false
	}
	return d.eligibility(m, c) != notEligible
}

// mayRetry keeps the rule on effects for an attempt that would follow others.
func (d *Driver) mayRetry(c *call, m member) bool {
	inScope := c.method.DedupScope != DedupInZone || d.zone[m] == c.mayHaveExecutedZone
	isDeduplicated := c.method.Effect == IdempotentByToken && d.host.Now()-c.mayHaveExecutedAt < c.method.DedupWindow && inScope
	return c.mayHaveExecutedAt == 0 || c.method.Effect == Idempotent || isDeduplicated
}
