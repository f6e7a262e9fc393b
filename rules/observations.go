package rules

// source says on whose word a role and a position are known.
type source int

const (
	fromAnswer     source = iota // the member's own answer to what it was asked: true of a moment between the two
	fromLoadReport               // its load report, which it may hand out long after it was made, also while it hangs
	fromGossip                   // a peer's word of some time before
)

var sourceNames = [...]string{"answer", "report", "gossip"}

// positionRounding is by how much two positions of one moment may differ: the commit of a write is rounded up, what is applied is rounded down.
const positionRounding = 2 * ms

// handoverTime is how long a member that turned a write away, or said that it is none, is not believed to be primary again.
const handoverTime = 200 * ms

// replicationState is what is known of one member's role and log position.
//
// Which statement supersedes which is decided by when they were made, never by the position beside a role: while a group has no primary no
// position in it moves, and that is just when roles change. Of a statement two times are certain: it was made before it was heard, and after
// the member was asked (byAnswer) or after the moment that its position names (all). So a member's own word that it is no primary always
// counts, and a claim to be primary counts only if it was certainly made after the last such word was heard. A lagging report that it is no
// primary is older than a claim whose position is higher.
type replicationState struct {
	role     Role
	position int64 // up to which it has applied the log, by the store's clock; 0 where not known
	heardAt  int64 // when that was heard, by the driver's clock, as all times below
	lag      int64 // by how much it was behind then

	claimPosition      int64 // the position beside its last claim to be primary, which is the time of that claim by the store's clock
	claimsIgnoredUntil int64 // claims made up to then are not believed
	ceasedPrimaryAt    int64 // when it was heard to be primary no longer, by the store's clock, until its position is past that; else 0
	minLead            int64 // the least time between its position and now in this term as primary

	primaryHeardAt  int64 // when it last was heard to be primary
	primaryStatedAt int64 // and when that was said, at the earliest
	unansweredAt    int64 // when something sent to it last ended without an answer, with which a word of its role may have been lost

	rejectedRead bool // it turned its last read away
	omitsRole    bool // it answered its last probe and said nothing of its role
}

// mayHaveLostStatement tells whether a word of its role may have been lost since it last said that it is primary.
func (s *replicationState) mayHaveLostStatement() bool {
	return s.unansweredAt != 0 && s.primaryStatedAt < s.unansweredAt
}

// observe takes in what was stated of a member's role and position. Asked is when the member was asked for it, where it was.
func (d *Driver) observe(m member, s Observation, from source, askedAt int64) {
	if s.Role == RoleUnknown {
		return
	}
	d.observeClock(s, from, askedAt)
	d.observePosition(m, s, from, askedAt)
	if s.Role == RoleReplica {
		d.observeReplica(m, s.Position, from)
	} else {
		d.observePrimary(m, s.Position, from, askedAt)
	}
}

// observeClock relates the store's clock to the driver's by a position, but not by a peer's word, which is put into this driver's terms.
func (d *Driver) observeClock(s Observation, from source, askedAt int64) {
	if s.Position == 0 || from == fromGossip {
		return
	}
	now := d.host.Now()
	wasInSync := d.clock.isInSync()
	d.clock.observePosition(s.Position, now)
	if from == fromAnswer && s.Role == RolePrimary {
		d.clock.observePrimary(s.Position, askedAt, now)
	}
	if wasInSync != d.clock.isInSync() {
		ahead, known := d.clock.offset()
		d.logf("clock right=%t store_ahead_ms=%d known=%t", d.clock.isInSync(), ahead/ms, known)
	}
}

// observePosition takes in a position. A member's log only grows: a lower position is an older one, or one up to rounding the same, unless it
// comes with an answer that was asked for after the known one was heard. Then the known one was wrong. Guards against positions that were
// spoilt or put into the future, which would else stand for ever.
func (d *Driver) observePosition(m member, s Observation, from source, askedAt int64) {
	now, state, g := d.host.Now(), &d.replication[m], d.groupOf[m]
	if s.Position == 0 || !d.isPlausible(s.Position) {
		return
	}
	isNewer := from == fromAnswer && askedAt > state.heardAt || !d.isPlausible(state.position)
	if s.Position < state.position && !isNewer {
		return
	}
	age := now - state.heardAt
	if s.Role != state.role || age >= 2*d.positionMaxAge || age >= d.heartbeatInterval && s.Role == RoleReplica {
		d.scheduleReport(m)
	}
	isLowered := s.Position < state.position
	state.position, state.heardAt, state.lag = s.Position, now, max(0, d.clock.toStore(now)-s.Position)
	if isLowered {
		g.newestPosition = d.newestPosition(g)
	}
	g.newestPosition = max(g.newestPosition, s.Position)
}

// isPlausible tells whether a position is not from the future, as far as can be told.
func (d *Driver) isPlausible(position int64) bool {
	ahead, known := d.clock.offset()
	return !known || position <= d.host.Now()+ahead+clockTolerance
}

// observeReplica takes in that a member is no primary.
func (d *Driver) observeReplica(m member, position int64, from source) {
	state, g, now := &d.replication[m], d.groupOf[m], d.host.Now()
	// It was made before the member's last claim, as far as positions tell.
	isOutdated := position != 0 && position+positionRounding < state.claimPosition && d.isPlausible(state.claimPosition)
	switch {
	case from != fromAnswer && isOutdated:
		return
	case from == fromLoadReport, isOutdated:
		state.claimsIgnoredUntil = max(state.claimsIgnoredUntil, now)
	case from == fromAnswer: // it may still claim to be primary while it hands over
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

// observePrimary takes in a claim to be primary.
func (d *Driver) observePrimary(m member, position int64, from source, askedAt int64) {
	state, g, now := &d.replication[m], d.groupOf[m], d.host.Now()
	evidenceTime := now // a primary stands at the present
	if position != 0 {
		evidenceTime = min(now, d.clock.toDriver(position))
	}
	statedAt := int64(0) // at the earliest
	if from == fromAnswer {
		statedAt = askedAt
	}
	if position != 0 {
		statedAt = max(statedAt, evidenceTime)
	}
	if state.claimsIgnoredUntil != 0 && statedAt <= state.claimsIgnoredUntil {
		return // from before the word that it is none, or from a member about to hand over
	}
	// A primary stands at the present: one whose position has not moved since its last claim was heard hangs, or was cut off and does not know.
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

// newestPosition is the position of the most advanced member of a group.
func (d *Driver) newestPosition(g *group) (position int64) {
	for _, m := range g.members {
		position = max(position, d.replication[m].position)
	}
	return position
}

// StoreNow is the time by the clock that positions count by, more or less.
func (d *Driver) StoreNow() int64 { return d.clock.estimate(d.host.Now()) }

// NotPrimary hears that a member has said that it is no primary where nothing else of what it said may be relied on: before an answer that may yet
// break off, or at the start of a connection. It counts from then on.
func (d *Driver) NotPrimary(id MemberID) {
	if m, known := d.index[id]; known {
		d.observeReplica(m, 0, fromAnswer)
	}
}
