package rules

// source says where an observation of a role and position comes from.
type source int

const (
	fromAnswer     source = iota // the member's own answer, true at some time since the request
	fromLoadReport               // its load report, which may be much older than the answer
	fromPeerReport               // a report of a peer
)

var sourceNames = [...]string{"answer", "report", "gossip"}

// positionRounding is the largest difference between two positions of the same time: commits are
// rounded up, applied positions down.
const positionRounding = 2 * ms

// handoverTime is how long a member's claims to be primary are ignored after it denied the role or
// rejected a write.
const handoverTime = 200 * ms

// replicationState is what is known of one member's role and log position.
//
// Statements of a role are ordered by when they were made, not by position, as positions stand
// still while a group has no primary. A denial by the member always counts. A claim counts only if
// it was certainly made after the last denial was received: after the request (fromAnswer) or
// after the time that its position names. A denial in a load report is older than a claim with a
// higher position.
type replicationState struct {
	role     Role
	position int64 // up to which it has applied the log, on the store's clock; 0 if unknown
	heardAt  int64 // when that was received, on the driver's clock, as all times below
	lag      int64 // by how much it was behind then

	claimPosition      int64 // position of its last claim to be primary
	claimsIgnoredUntil int64 // claims made up to then are ignored
	ceasedPrimaryAt    int64 // when it lost the role, on the store's clock; 0 once its position has passed that
	minLead            int64 // smallest lag of its position behind the clock in this term as primary

	primaryHeardAt  int64 // when its last claim to be primary was received
	primaryStatedAt int64 // earliest time at which that claim was made
	unansweredAt    int64 // when an attempt last ended without an answer, which may have stated its role

	rejectedRead bool // it rejected its last read
	omitsRole    bool // its last probe answer did not state its role
}

// mayHaveLostStatement reports whether a statement of its role may have been lost since its last
// claim to be primary.
func (s *replicationState) mayHaveLostStatement() bool {
	return s.unansweredAt != 0 && s.primaryStatedAt < s.unansweredAt
}

// observe applies an observation of a member. askedAt is when it was requested, 0 if it was not.
func (d *Driver) observe(m member, observation Observation, from source, askedAt int64) {
	if observation.Role == RoleUnknown {
		return
	}
	d.observeClock(observation, from, askedAt)
	d.observePosition(m, observation, from, askedAt)
	if observation.Role == RoleReplica {
		d.observeReplica(m, observation.Position, from)
	} else {
		d.observePrimary(m, observation.Position, from, askedAt)
	}
}

// observeClock relates the store's clock to the driver's by a position. Positions from peers are
// already converted and don't count.
func (d *Driver) observeClock(observation Observation, from source, askedAt int64) {
	if observation.Position == 0 || from == fromPeerReport {
		return
	}
	now := d.host.Now()
	wasInSync := d.clock.isInSync()
	d.clock.observePosition(observation.Position, now)
	if from == fromAnswer && observation.Role == RolePrimary {
		d.clock.observePrimary(observation.Position, askedAt, now)
	}
	if wasInSync != d.clock.isInSync() {
		ahead, known := d.clock.offset()
		d.logf("clock right=%t store_ahead_ms=%d known=%t", d.clock.isInSync(), ahead/ms, known)
	}
}

// observePosition applies a position. A lower position than the known one is outdated, as logs
// only grow, unless it answers a request made after the known one was received. This replaces
// corrupted positions and positions in the future, which would otherwise persist.
func (d *Driver) observePosition(m member, observation Observation, from source, askedAt int64) {
	now, state, g := d.host.Now(), &d.replication[m], d.groupOf[m]
	if observation.Position == 0 || !d.isPlausible(observation.Position) {
		return
	}
	isNewer := from == fromAnswer && askedAt > state.heardAt || !d.isPlausible(state.position)
	if observation.Position < state.position && !isNewer {
		return
	}
	age := now - state.heardAt
	if observation.Role != state.role || age >= 2*d.positionMaxAge || age >= d.heartbeatInterval && observation.Role == RoleReplica {
		d.scheduleReport(m)
	}
	isLowered := observation.Position < state.position
	state.position, state.heardAt, state.lag = observation.Position, now, max(0, d.clock.toStore(now)-observation.Position)
	if isLowered {
		g.newestPosition = d.newestPosition(g)
	}
	g.newestPosition = max(g.newestPosition, observation.Position)
}

// isPlausible reports whether a position is not in the future, as far as is known.
func (d *Driver) isPlausible(position int64) bool {
	ahead, known := d.clock.offset()
	return !known || position <= d.host.Now()+ahead+clockTolerance
}

// observeReplica applies a statement that a member is not primary.
func (d *Driver) observeReplica(m member, position int64, from source) {
	state, g, now := &d.replication[m], d.groupOf[m], d.host.Now()
	// Positions show that it was made before the member's last claim.
	isOutdated := position != 0 && position+positionRounding < state.claimPosition && d.isPlausible(state.claimPosition)
	switch {
	case from != fromAnswer && isOutdated:
		return
	case from == fromLoadReport, isOutdated:
		state.claimsIgnoredUntil = max(state.claimsIgnoredUntil, now)
	case from == fromAnswer: // it may still claim to be primary during the handover
		state.claimsIgnoredUntil = now + handoverTime
	}
	if state.role == RolePrimary {
		state.ceasedPrimaryAt = d.clock.toStore(now)
	} else if position > state.ceasedPrimaryAt+positionRounding {
		state.ceasedPrimaryAt = 0
	}
	state.role = RoleReplica
	if g.primary == m {
		g.primary = noMember
		d.logf("primary lost group=%d member=%d by=%s confirmed_ms=%d", g.id, d.ids[m], sourceNames[from], (now-state.primaryHeardAt)/ms)
	}
}

// observePrimary applies a claim to be primary.
func (d *Driver) observePrimary(m member, position int64, from source, askedAt int64) {
	state, g, now := &d.replication[m], d.groupOf[m], d.host.Now()
	evidenceTime := now // a primary's position is the current time
	if position != 0 {
		evidenceTime = min(now, d.clock.toDriver(position))
	}
	statedAt := int64(0) // earliest time of the claim
	if from == fromAnswer {
		statedAt = askedAt
	}
	if position != 0 {
		statedAt = max(statedAt, evidenceTime)
	}
	if state.claimsIgnoredUntil != 0 && statedAt <= state.claimsIgnoredUntil {
		return // made before the last denial, or during a handover
	}
	// A primary's position follows the clock: one that has not moved since the last claim shows a hung or isolated member.
	isComparable := from != fromAnswer || position != 0 && askedAt > state.primaryHeardAt+positionRounding
	isStuck := isComparable && position <= state.claimPosition && d.isPlausible(state.claimPosition)
	if lead := now - position; position != 0 && (state.role != RolePrimary || lead < state.minLead) {
		state.minLead = lead
	}
	state.role, state.ceasedPrimaryAt = RolePrimary, 0
	if d.isPlausible(position) && (position > state.claimPosition || !d.isPlausible(state.claimPosition)) {
		state.claimPosition = position
	}
	if !isStuck {
		state.primaryHeardAt, state.primaryStatedAt = now, statedAt
	}
	if g.primary != m && evidenceTime >= g.primarySince {
		d.setPrimary(g, m)
		d.logf("primary group=%d member=%d by=%s evidence_ms=%d", g.id, d.ids[m], sourceNames[from], (now-evidenceTime)/ms)
	}
	g.primarySince = max(g.primarySince, evidenceTime)
}

// newestPosition returns the highest position of a group.
func (d *Driver) newestPosition(g *group) (position int64) {
	for _, m := range g.members {
		position = max(position, d.replication[m].position)
	}
	return position
}

// StoreNow returns the approximate time on the store's clock.
func (d *Driver) StoreNow() int64 { return d.clock.estimate(d.host.Now()) }

// NotPrimary records that a member denied being primary outside a complete answer: before an
// answer that may still break off, or at the start of a connection.
func (d *Driver) NotPrimary(id MemberID) {
	if m, known := d.index[id]; known {
		d.observeReplica(m, 0, fromAnswer)
	}
}
