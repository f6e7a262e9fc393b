package rules

import "slices"

const (
	latencyWindow               = 15 * ms // width of the latency window above the fastest member
	latencyWindowShare          = 0.25    // added width, as a share of the fastest time
	largeFleetWindowShare       = 1.0     // the same in a large fleet, where latency samples are few
	maxReplicaProbes            = 2       // replicas probed for one read
	primaryReadShare            = 0.6     // share of the primary's concurrency limit open to reads
	primaryCostFactor           = 2.0     // a read goes to the primary if that is faster by this factor
	largeFleetPrimaryCostFactor = 1.3     // the same in a large fleet
)

// pickMember returns the member for the next attempt of an RPC, or noMember if it has to wait. In
// a large fleet, if no member is eligible, it may pick a replica with an outdated position and
// probe it first, which keeps reads of drivers with few samples off the primary. It could do harm
// where probes are costly.
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

// hasLatencyHeadroom reports whether a member's latency leaves room for a read. It applies in a
// large fleet, where the concurrency limit of one driver says little. The threshold is drawn per
// RPC so that not all drivers switch at once, and rises as the latency sample ages. Guards the
// primary, and replicas that answer whatever they hold, which fall behind when they are crowded.
func (d *Driver) hasLatencyHeadroom(m member, c *call) bool {
	age := float64(d.host.Now()-d.latencyUpdated[m]) / float64(sec)
	return !d.isInLargeFleet() || !c.isRead() || d.latencyRatio[m] < (lowLatencyRatio+c.latencyDraw*(2*highLatencyRatio-lowLatencyRatio))*(1+age)
}

// canTake reports whether a member may get an attempt: it is below its concurrency limit and
// expected to answer in time. Guards against load from requests whose clients would not wait for
// the answer, which would keep a busy member busy.
func (d *Driver) canTake(m member, c *call, share float64) bool {
	inTime := d.host.Now()+int64(d.latency[m]) <= c.usefulUntil()
	return inTime && float64(d.inFlight[m]+1) <= max(1, d.limit[m]*share) && d.isUsable(m) && d.mayRetry(c, m)
}

// pickInLatencyWindow picks at random among the eligible members in the latency window, weighted
// by capacity and inverse squared latency, so that drivers do not all choose the same member, and
// small members are not crowded beside large ones. A member already probed for the RPC is picked
// directly.
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
	draw := sum * (1 - d.rng.Float64()) // above 0, so that no member outside the window is drawn
	return eligible[slices.IndexFunc(cumulativeWeights, func(cumulative float64) bool { return draw <= cumulative })]
}

// expectedTime returns the expected time until a member has served an attempt, retries after
// errors included.
func (d *Driver) expectedTime(m member) float64 {
	errorFade := max(0, 1-float64(d.host.Now()-d.lastError[m])/float64(errorMemory))
	return d.latency[m] * (1 + float64(d.inFlight[m])) / (1.01 - d.errorRate[m]*errorFade)
}

// isUsable reports whether a member may get any attempts now.
func (d *Driver) isUsable(m member) bool {
	isKnown := d.isKnown(m) || !d.policy.Probing // guards against unreachable members in the list
	return isKnown && d.acceptsNewWork(m) && !d.isUnresponsive[m] && d.host.Now() >= d.ejectedUntil[m]
}

// AttemptAllowed reports whether a pending attempt may still begin; it is checked just before the
// first byte is sent. Guards against changes while the attempt waited for a connection:
// membership, primary, positions, deduplication window, deadline, a client that disconnected.
func (d *Driver) AttemptAllowed(id RPCID, to MemberID) bool {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known || !d.acceptsNewWork(m) || d.host.Now() >= c.deadline || !d.mayRetry(c, m) {
		return false
	}
	return d.eligibility(m, c) != notEligible
}

// mayRetry reports whether the method's effect allows an attempt after one that may have executed.
func (d *Driver) mayRetry(c *call, m member) bool {
	inScope := c.method.DedupScope != DedupInZone || d.zone[m] == c.mayHaveExecutedZone
	isDeduplicated := c.method.Effect == IdempotentByToken && d.host.Now()-c.mayHaveExecutedAt < c.method.DedupWindow && inScope
	return c.mayHaveExecutedAt == 0 || c.method.Effect == Idempotent || isDeduplicated
}
