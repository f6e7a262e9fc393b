package rules

import "fmt"

const (
	// minElectionTime is how soon after it was certainly primary a member may have a successor that has acted. No setting tells what a store
	// promises of its elections: this is an assumption, on which session and fresh reads at primaries rest.
	minElectionTime = 500 * ms

	minProbeInterval     = 50 * ms // between two rounds of a member's own probes
	primaryProbeInterval = 90 * ms // between two probes by which a primary is asked whether it still is one
	maxPrimaryProbes     = 4       // such probes for one read, over 0.3 s, by which reports may lag
)

// eligibility says why a member may answer a read, or that it may not.
type eligibility int

const (
	notEligible              eligibility = iota
	eligibleAsPrimary                    // it is the primary, and was heard to be lately
	eligibleAsClaimedPrimary             // it is the primary by the last word that could be had of it
	eligibleAsAnyMember                  // any data will do
	eligibleByPosition                   // its position is known to be within the bound, or at the token or past it
	eligibleBySelfCheck                  // it is likely to be within the bound, and turns the read away if it is not
)

var eligibilityNames = [...]string{"none", "primary", "claimed primary", "any member", "position", "checks itself"}

// eligibility tells on what ground a member may answer an RPC at this moment. It is asked when the member is chosen and again just before the first
// byte of the attempt, for every attempt alike.
func (d *Driver) eligibility(m member, c *call) eligibility {
	state := &d.replication[m]
	if state.position < c.MinPosition {
		return notEligible
	}
	primary := c.group.primary == m
	switch {
	case c.method.Consistency == ConsistencyWrite && primary:
		return eligibleAsPrimary
	case !c.isRead() && !primary:
		return notEligible
	case c.method.Consistency == ConsistencyAny:
		return eligibleAsAnyMember
	case c.isRead() && d.isPositionSufficient(m, c):
		return eligibleByPosition
	case primary:
		return d.primaryEligibility(m, c)
	case c.method.Consistency == ConsistencyBounded && d.isLikelyFresh(m, c):
		return eligibleBySelfCheck
	}
	return notEligible
}

// primaryEligibility tells whether a primary may answer a read by its role. One whose word is too old, or with a word of which may have been lost,
// is asked first. Guards against a former primary that says so in an answer that breaks off, or that nobody hears, and against one that was cut
// off and goes on believing in itself: it answers from data that grows older, and its position stands still. One that can't be asked, or whose
// probes tell nothing of its role, is taken at its last word: the read itself is the question then. So is one whose position moves, but whose
// reports lag too far to show more.
func (d *Driver) primaryEligibility(m member, c *call) eligibility {
	state := &d.replication[m]
	isProbedOut := c.primaryProbes >= maxPrimaryProbes
	switch {
	case d.hasRecentPrimaryClaim(m, c.method):
		return eligibleAsPrimary
	case !d.policy.Probing, isProbedOut && state.omitsRole, isProbedOut && state.primaryHeardAt >= c.primaryProbedAt && !state.mayHaveLostStatement():
		return eligibleAsClaimedPrimary
	}
	return notEligible
}

// hasRecentPrimaryClaim tells whether a member's word that it is primary is recent enough for a read.
func (d *Driver) hasRecentPrimaryClaim(m member, method *Method) bool {
	state := &d.replication[m]
	return state.primaryStatedAt != 0 && !state.mayHaveLostStatement() && d.host.Now()-state.primaryStatedAt <= d.maxRoleAge(method)
}

// maxRoleAge is how old a primary's word may be for a read. For a bounded one it follows from the bound: when it gave its word it had all data,
// which can't have grown older than that since, whoever was elected meanwhile. Where that leaves less time than it takes to ask, reads rest on
// what is assumed of elections, as session and fresh ones do.
func (d *Driver) maxRoleAge(method *Method) int64 {
	if positionAge := d.maxPositionAge(method); method.Consistency == ConsistencyBounded && positionAge >= primaryProbeInterval {
		return positionAge
	}
	return minElectionTime
}

// isPositionSufficient tells whether a member's known position by itself is enough for a read, whatever its role.
func (d *Driver) isPositionSufficient(m member, c *call) bool {
	state := &d.replication[m]
	switch {
	case state.position == 0 || !d.isPlausible(state.position):
		return false
	case c.method.Consistency == ConsistencySession:
		return state.position >= max(c.SessionToken, d.droppedCommitMax)
	case c.method.Consistency == ConsistencyBounded && (c.group.primary == m || !d.trustsSelfCheck(m)):
		ahead, known := d.clock.offset()
		return known && state.position >= d.host.Now()+ahead-d.maxPositionAge(c.method) && d.isWithinBound(m, c)
	}
	return false
}

// maxPositionAge is how old a position may be for a bounded read: the bound, less the time that may pass before the last byte is sent.
func (d *Driver) maxPositionAge(method *Method) int64 {
	return method.MaxStaleness - d.store.MaxSendDelay - ms
}

// isLikelyFresh tells whether a replica that checks the age of its data itself is expected to be within the bound.
func (d *Driver) isLikelyFresh(m member, c *call) bool {
	return d.trustsSelfCheck(m) && d.replication[m].position != 0 && d.isWithinBound(m, c)
}

// trustsSelfCheck tells whether a member is left to turn away a read for which it lags too far: not where none does, not after it just turned one
// away, and not while it has been primary and was not seen to follow another since.
func (d *Driver) trustsSelfCheck(m member) bool {
	state := &d.replication[m]
	return d.store.RejectsStaleReads && !state.rejectedRead && state.ceasedPrimaryAt == 0
}

// isWithinBound tells whether the source's estimate of a replica's staleness is within the bound.
func (d *Driver) isWithinBound(m member, c *call) bool {
	return c.group.primary == m || d.staleness(m) <= c.method.MaxStaleness
}

// staleness is the source's estimate, but for the primary's term, the least of its office, lest its slow
// answer make replicas look fresher, and for an overdue replica, which grows staler.
func (d *Driver) staleness(m member) int64 {
	g, state := d.groupOf[m], &d.replication[m]
	sinceHeard := max(d.heartbeatInterval, d.host.Now()-state.heardAt)
	if primary := g.primary; primary != noMember && d.replication[primary].minLead != 0 {
		return state.heardAt - state.position - d.replication[primary].minLead + sinceHeard
	}
	return g.newestPosition - state.position + sinceHeard
}

// confirmPrimary asks a primary whether it still is one, for a read that waits for that.
func (d *Driver) confirmPrimary(m member, c *call) {
	now := d.host.Now()
	if d.probeStarted[m] != 0 || now-d.lastProbeEnd[m] < primaryProbeInterval || c.primaryProbes >= maxPrimaryProbes {
		return
	}
	if c.primaryProbes == 0 {
		c.primaryProbedAt = now
	}
	c.primaryProbes++
	d.probe(m)
}

// IsStale tells whether an answer to a read shows by what it states of its member that its data was too old for the read when the attempt was made.
// Guards against a former primary that got the read on its last word, or on one that crossed the read: what it answers earns nothing, and another
// member may serve. Positions are rounded, and clocks differ a little: only what is certain counts.
func (d *Driver) IsStale(id RPCID, s Observation, attemptedAt int64) bool {
	c := d.calls[id]
	if c == nil {
		return false
	}
	switch ahead, known := d.clock.offset(); c.method.Consistency {
	case ConsistencyLinearizable:
		return s.Role == RoleReplica
	case ConsistencySession:
		return s.Position != 0 && s.Position+positionRounding < c.SessionToken
	case ConsistencyBounded:
		return s.Position != 0 && known && s.Position+clockTolerance < attemptedAt+ahead-c.method.MaxStaleness
	}
	return false
}

// Eligibility tells for the log why an attempt at a member may begin.
func (d *Driver) Eligibility(id RPCID, to MemberID) string {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known {
		return eligibilityNames[notEligible]
	}
	state, now := &d.replication[m], d.host.Now()
	return fmt.Sprintf("%s age_ms=%d confirmed_ms=%d", eligibilityNames[d.eligibility(m, c)], (d.clock.toStore(now)-state.position)/ms, (now-state.primaryHeardAt)/ms)
}

// boundedRefreshInterval is how old a position may grow before a probe for a bounded method's sake: half of what is usable.
func (d *Driver) boundedRefreshInterval(m Method) int64 {
	if d.store.RejectsStaleReads {
		return m.MaxStaleness / 2
	}
	return (m.MaxStaleness - d.store.MaxSendDelay) / 2
}
