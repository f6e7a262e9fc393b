package rules

// source says on whose word a role and a position are known.
type source int

const (
	byAnswer source = iota // the member's own answer to what it was asked: true of a moment between the two
	byReport               // its load report, which it may hand out long after it was made, also while it hangs
	byGossip               // a peer's word of some time before
)

var sourceNames = [...]string{"answer", "report", "gossip"}

// rounding is by how much two positions of one moment may differ: the commit of a write is rounded up, what is applied is rounded down.
const rounding = 2 * ms

// handover is how long a member that turned a write away, or said that it is none, is not believed to be primary again.
const handover = 200 * ms

// replicaState is what is known of one member's role and log position.
//
// Which statement supersedes which is decided by when they were made, never by the position beside a role: while a group has no primary no
// position in it moves, and that is just when roles change. Of a statement two times are certain: it was made before it was heard, and after
// the member was asked (byAnswer) or after the moment that its position names (all). So a member's own word that it is no primary always
// counts, and a claim to be primary counts only if it was certainly made after the last such word was heard. A lagging report that it is no
// primary is older than a claim whose position is higher.
type replicaState struct {
	role     Role
	position int64 // up to which it has applied the log, by the store's clock; 0 where not known
	learned  int64 // when that was heard, by the driver's clock, as all times below
	lag      int64 // by how much it was behind then

	claimed   int64 // the position beside its last claim to be primary, which is the time of that claim by the store's clock
	deniedTo  int64 // claims made up to then are not believed
	formerAt  int64 // when it was heard to be primary no longer, by the store's clock, until its position is past that; else 0
	leastLead int64 // the least time between its position and now in this term as primary

	confirmed  int64 // when it last was heard to be primary
	made       int64 // and when that was said, at the earliest
	unanswered int64 // when something sent to it last ended without an answer, with which a word of its role may have been lost

	missed bool // it turned its last read away
	mute   bool // it answered its last probe and said nothing of its role
}

// lostWord tells whether a word of its role may have been lost since it last said that it is primary.
func (k *replicaState) lostWord() bool { return k.unanswered != 0 && k.made < k.unanswered }

// observe takes in what was stated of a member's role and position. Asked is when the member was asked for it, where it was.
func (d *Driver) observe(m member, s Observation, by source, asked int64) {
	if s.Role == RoleUnknown {
		return
	}
	d.observeClock(s, by, asked)
	d.observePosition(m, s, by, asked)
	if s.Role == RoleReplica {
		d.observeReplica(m, s.Position, by)
	} else {
		d.observePrimary(m, s.Position, by, asked)
	}
}

// observeClock relates the store's clock to the driver's by a position, but not by a peer's word, which is put into this driver's terms.
func (d *Driver) observeClock(s Observation, by source, asked int64) {
	if s.Position == 0 || by == byGossip {
		return
	}
	now := d.host.Now()
	right := d.clock.right()
	d.clock.note(s.Position, now)
	if by == byAnswer && s.Role == RolePrimary {
		d.clock.notePrimary(s.Position, asked, now)
	}
	if right != d.clock.right() {
		ahead, known := d.clock.offset()
		d.logf("clock right=%t store_ahead_ms=%d known=%t", d.clock.right(), ahead/ms, known)
	}
}

// observePosition takes in a position. A member's log only grows: a lower position is an older one, or one up to rounding the same, unless it
// comes with an answer that was asked for after the known one was heard. Then the known one was wrong. Guards against positions that were
// spoilt or put into the future, which would else stand for ever.
func (d *Driver) observePosition(m member, s Observation, by source, asked int64) {
	now, k, g := d.host.Now(), &d.known[m], d.of[m]
	if s.Position == 0 || !d.plausible(s.Position) {
		return
	}
	later := by == byAnswer && asked > k.learned || !d.plausible(k.position)
	if s.Position < k.position && !later {
		return
	}
	age := now - k.learned
	if s.Role != k.role || age >= 2*d.due || age >= d.interval && s.Role == RoleReplica {
		d.tell(m)
	}
	lowered := s.Position < k.position
	k.position, k.learned, k.lag = s.Position, now, max(0, d.clock.at(now)-s.Position)
	if lowered {
		g.newest = d.newest(g)
	}
	g.newest = max(g.newest, s.Position)
}

// plausible tells whether a position is not from the future, as far as can be told.
func (d *Driver) plausible(position int64) bool {
	ahead, known := d.clock.offset()
	return !known || position <= d.host.Now()+ahead+clockTolerance
}

// observeReplica takes in that a member is no primary.
func (d *Driver) observeReplica(m member, position int64, by source) {
	k, g, now := &d.known[m], d.of[m], d.host.Now()
	// It was made before the member's last claim, as far as positions tell.
	before := position != 0 && position+rounding < k.claimed && d.plausible(k.claimed)
	switch {
	case by != byAnswer && before:
		return
	case by == byReport, before:
		k.deniedTo = max(k.deniedTo, now)
	case by == byAnswer: // it may still claim to be primary while it hands over
		k.deniedTo = now + handover
	}
	if k.role == RolePrimary {
		k.formerAt = d.clock.at(now)
	} else if position > k.formerAt+rounding {
		k.formerAt = 0
	}
	k.role = RoleReplica
	if g.primary == m {
		g.primary = nobody
		d.logf("primary lost group=%d member=%d by=%s confirmed_ms=%d", g.id, d.ids[m], sourceNames[by], (now-k.confirmed)/ms)
	}
}

// observePrimary takes in a claim to be primary.
func (d *Driver) observePrimary(m member, position int64, by source, asked int64) {
	k, g, now := &d.known[m], d.of[m], d.host.Now()
	dated := now // a primary stands at the present
	if position != 0 {
		dated = min(now, d.clock.from(position))
	}
	made := int64(0) // at the earliest
	if by == byAnswer {
		made = asked
	}
	if position != 0 {
		made = max(made, dated)
	}
	if k.deniedTo != 0 && made <= k.deniedTo {
		return // from before the word that it is none, or from a member about to hand over
	}
	// A primary stands at the present: one whose position has not moved since its last claim was heard hangs, or was cut off and does not know.
	asWhenHeard := by != byAnswer || position != 0 && asked > k.confirmed+rounding
	standsStill := asWhenHeard && position <= k.claimed && d.plausible(k.claimed)
	if lead := now - position; position != 0 && (k.role != RolePrimary || lead < k.leastLead) {
		k.leastLead = lead
	}
	k.role, k.formerAt = RolePrimary, 0
	if d.plausible(position) && (position > k.claimed || !d.plausible(k.claimed)) {
		k.claimed = position
	}
	if !standsStill {
		k.confirmed, k.made = now, made
	}
	if g.primary != m && dated >= g.since {
		d.setPrimary(g, m)
		d.logf("primary group=%d member=%d by=%s evidence_ms=%d", g.id, d.ids[m], sourceNames[by], (now-dated)/ms)
	}
	g.since = max(g.since, dated)
}

// newest is the position of the most advanced member of a group.
func (d *Driver) newest(g *group) (position int64) {
	for _, m := range g.members {
		position = max(position, d.known[m].position)
	}
	return position
}

// StoreNow is the time by the clock that positions count by, more or less.
func (d *Driver) StoreNow() int64 { return d.clock.around(d.host.Now()) }

// NotPrimary hears that a member has said that it is no primary where nothing else of what it said may be relied on: before an answer that may yet
// break off, or at the start of a connection. It counts from then on.
func (d *Driver) NotPrimary(id MemberID) {
	if m, known := d.index[id]; known {
		d.observeReplica(m, 0, byAnswer)
	}
}
