package rules

import "fmt"

const (
	// minElectionTime is the shortest assumed time after which a confirmed primary may have been
	// succeeded by another that accepts writes. Session and linearizable reads at primaries rely
	// on it, because no setting states the store's election time-out.
	minElectionTime = 500 * ms

	minProbeInterval     = 50 * ms // between two periodic probes of a member
	primaryProbeInterval = 90 * ms // between two probes that ask a primary whether it still is one
	maxPrimaryProbes     = 4       // such probes for one read; together they outlast the lag of load reports
)

// eligibility says on what grounds a member may serve an RPC, if any.
type eligibility int

const (
	notEligible              eligibility = iota
	eligibleAsPrimary                    // it is the primary, confirmed recently
	eligibleAsClaimedPrimary             // it is the primary by its latest statement, which cannot be confirmed
	eligibleAsAnyMember                  // the read accepts data of any age
	eligibleByPosition                   // its position satisfies the bound or the session token
	eligibleBySelfCheck                  // it is likely within the bound and rejects the read itself otherwise
)

var eligibilityNames = [...]string{"none", "primary", "claimed primary", "any member", "position", "checks itself"}

// eligibility returns on what grounds a member may serve an RPC now. It is checked when the member
// is picked and again just before the first byte of each attempt.
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

// primaryEligibility returns whether a primary may serve a read by its role. It is probed first if
// its last claim is too old or a later denial may have been lost. Guards against a former primary
// whose denial comes in an answer that breaks off, or that nobody hears, and against an isolated one
// that goes on believing in itself: it answers from data that grows older, and its position stands
// still. If probes cannot settle its role, its last claim counts, as the read itself is the question
// then; so does that of one whose position moves, but whose reports lag too far to show more.
func (d *Driver) primaryEligibility(m member, c *call) eligibility {
	state := &d.replication[m]
	probesExhausted := c.primaryProbes >= maxPrimaryProbes
	switch {
	case d.hasRecentPrimaryClaim(m, c.method):
		return eligibleAsPrimary
	case !d.policy.Probing, probesExhausted && state.omitsRole, probesExhausted && state.primaryHeardAt >= c.primaryProbedAt && !state.mayHaveLostStatement():
		return eligibleAsClaimedPrimary
	}
	return notEligible
}

// hasRecentPrimaryClaim reports whether a member's claim to be primary is recent enough for a
// read.
func (d *Driver) hasRecentPrimaryClaim(m member, method *Method) bool {
	state := &d.replication[m]
	return state.primaryStatedAt != 0 && !state.mayHaveLostStatement() && d.host.Now()-state.primaryStatedAt <= d.maxRoleAge(method)
}

// maxRoleAge returns how old a primary's claim may be for a read. For a bounded read it follows
// from the staleness bound: the primary had all data when it made the claim. Where the bound
// leaves too little time to probe, the assumed election time applies.
func (d *Driver) maxRoleAge(method *Method) int64 {
	if positionAge := d.maxPositionAge(method); method.Consistency == ConsistencyBounded && positionAge >= primaryProbeInterval {
		return positionAge
	}
	return minElectionTime
}

// isPositionSufficient reports whether a member's known position alone qualifies it for a read,
// whatever its role.
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

// maxPositionAge returns how old a position may be for a bounded read: the bound less the time
// that may pass before the last byte is sent.
func (d *Driver) maxPositionAge(method *Method) int64 {
	return method.MaxStaleness - d.store.MaxSendDelay - ms
}

// isLikelyFresh reports whether a replica that checks its own staleness is expected to be within
// the bound.
func (d *Driver) isLikelyFresh(m member, c *call) bool {
	return d.trustsSelfCheck(m) && d.replication[m].position != 0 && d.isWithinBound(m, c)
}

// trustsSelfCheck reports whether a member can be relied on to reject reads for which it is too
// stale: not if the store lacks the check, not if it rejected its last read, and not if it was
// primary and has not been seen to follow another since.
func (d *Driver) trustsSelfCheck(m member) bool {
	state := &d.replication[m]
	return d.store.RejectsStaleReads && !state.rejectedRead && state.ceasedPrimaryAt == 0
}

// isWithinBound reports whether a member's estimated staleness is within the bound of the read.
func (d *Driver) isWithinBound(m member, c *call) bool {
	return c.group.primary == m || d.staleness(m) <= c.method.MaxStaleness
}

// staleness estimates a replica's staleness by the max-staleness formula of the MongoDB drivers,
// with two changes: it uses the primary's smallest lead in its term, because a slow answer of the
// primary would make replicas look fresher, and it counts the time since the replica was last
// heard if that exceeds the heartbeat interval.
func (d *Driver) staleness(m member) int64 {
	g, state := d.groupOf[m], &d.replication[m]
	sinceHeard := max(d.heartbeatInterval, d.host.Now()-state.heardAt)
	if primary := g.primary; primary != noMember && d.replication[primary].minLead != 0 {
		return state.heardAt - state.position - d.replication[primary].minLead + sinceHeard
	}
	return g.newestPosition - state.position + sinceHeard
}

// confirmPrimary probes a primary for a read that waits for confirmation of its role.
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

// IsStale reports whether the state that an answer carries proves that its data was too old for
// the read when the attempt was made. This guards against a former primary that got the read on its
// last claim, or on one that crossed the read: such an answer earns nothing, and another member may serve.
// Rounding and clock differences count in favour of the answer.
func (d *Driver) IsStale(id RPCID, observation Observation, attemptedAt int64) bool {
	c := d.calls[id]
	if c == nil {
		return false
	}
	switch ahead, known := d.clock.offset(); c.method.Consistency {
	case ConsistencyLinearizable:
		return observation.Role == RoleReplica
	case ConsistencySession:
		return observation.Position != 0 && observation.Position+positionRounding < c.SessionToken
	case ConsistencyBounded:
		return observation.Position != 0 && known && observation.Position+clockTolerance < attemptedAt+ahead-c.method.MaxStaleness
	}
	return false
}

// Eligibility describes for the log on what grounds a member may serve an RPC.
func (d *Driver) Eligibility(id RPCID, to MemberID) string {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known {
		return eligibilityNames[notEligible]
	}
	state, now := &d.replication[m], d.host.Now()
	return fmt.Sprintf("%s age_ms=%d confirmed_ms=%d", eligibilityNames[d.eligibility(m, c)], (d.clock.toStore(now)-state.position)/ms, (now-state.primaryHeardAt)/ms)
}

// boundedRefreshInterval returns the age at which a position is refreshed for a bounded method:
// half of the usable staleness.
func (d *Driver) boundedRefreshInterval(m Method) int64 {
	if d.store.RejectsStaleReads {
		return m.MaxStaleness / 2
	}
	return (m.MaxStaleness - d.store.MaxSendDelay) / 2
}
