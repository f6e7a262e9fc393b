package rules

import "fmt"

const (
	// soonestElection is how soon after it was certainly primary a member may have a successor that has acted. No setting tells what a store
	// promises of its elections: this is an assumption, on which session and fresh reads at primaries rest.
	soonestElection = 500 * ms

	soonestLook = 50 * ms // between two rounds of a member's own probes
	looksApart  = 90 * ms // between two probes by which a primary is asked whether it still is one
	mostAsks    = 4       // such probes for one read, over 0.3 s, by which reports may lag
)

// basis says why a member may answer a read, or that it may not.
type basis int

const (
	noBasis     basis = iota
	asPrimary         // it is the primary, and was heard to be lately
	asClaimed         // it is the primary by the last word that could be had of it
	asAnyMember       // any data will do
	asFresh           // its position is known to be within the bound, or at the token or past it
	asChecking        // it is likely to be within the bound, and turns the read away if it is not
)

var basisNames = [...]string{"none", "primary", "claimed primary", "any member", "position", "checks itself"}

// basis tells on what ground a member may answer an RPC at this moment. It is asked when the member is chosen and again just before the first
// byte of the attempt, for every attempt alike.
func (d *Driver) basis(m member, c *call) basis {
	k := &d.known[m]
	if k.position < c.MinPosition {
		return noBasis
	}
	primary := c.group.primary == m
	switch {
	case c.method.Consistency == ConsistencyWrite && primary:
		return asPrimary
	case !c.isRead() && !primary:
		return noBasis
	case c.method.Consistency == ConsistencyAny:
		return asAnyMember
	case c.isRead() && d.reaches(m, c):
		return asFresh
	case primary:
		return d.primaryBasis(m, c)
	case c.method.Consistency == ConsistencyBounded && d.likelyFresh(m, c):
		return asChecking
	}
	return noBasis
}

// primaryBasis tells whether a primary may answer a read by its role. One whose word is too old, or with a word of which may have been lost,
// is asked first. Guards against a former primary that says so in an answer that breaks off, or that nobody hears, and against one that was cut
// off and goes on believing in itself: it answers from data that grows older, and its position stands still. One that can't be asked, or whose
// probes tell nothing of its role, is taken at its last word: the read itself is the question then. So is one whose position moves, but whose
// reports lag too far to show more.
func (d *Driver) primaryBasis(m member, c *call) basis {
	k := &d.known[m]
	asked := c.asks >= mostAsks
	switch {
	case d.confirmed(m, c.method):
		return asPrimary
	case !d.allowed.Probing, asked && k.mute, asked && k.confirmed >= c.askedAt && !k.lostWord():
		return asClaimed
	}
	return noBasis
}

// confirmed tells whether a member's word that it is primary is recent enough for a read.
func (d *Driver) confirmed(m member, method *Method) bool {
	k := &d.known[m]
	return k.made != 0 && !k.lostWord() && d.host.Now()-k.made <= d.roleTrusted(method)
}

// roleTrusted is how old a primary's word may be for a read. For a bounded one it follows from the bound: when it gave its word it had all data,
// which can't have grown older than that since, whoever was elected meanwhile. Where that leaves less time than it takes to ask, reads rest on
// what is assumed of elections, as session and fresh ones do.
func (d *Driver) roleTrusted(method *Method) int64 {
	if usable := d.usableAge(method); method.Consistency == ConsistencyBounded && usable >= looksApart {
		return usable
	}
	return soonestElection
}

// reaches tells whether a member's known position by itself is enough for a read, whatever its role.
func (d *Driver) reaches(m member, c *call) bool {
	k := &d.known[m]
	switch {
	case k.position == 0 || !d.plausible(k.position):
		return false
	case c.method.Consistency == ConsistencySession:
		return k.position >= max(c.SessionToken, d.floor)
	case c.method.Consistency == ConsistencyBounded && (c.group.primary == m || !d.trustsCheck(m)):
		ahead, known := d.clock.offset()
		return known && k.position >= d.host.Now()+ahead-d.usableAge(c.method) && d.fresher(m, c)
	}
	return false
}

// usableAge is how old a position may be for a bounded read: the bound, less the time that may pass before the last byte is sent.
func (d *Driver) usableAge(method *Method) int64 {
	return method.MaxStaleness - d.store.MaxSendDelay - ms
}

// likelyFresh tells whether a replica that checks the age of its data itself is expected to be within the bound.
func (d *Driver) likelyFresh(m member, c *call) bool {
	return d.trustsCheck(m) && d.known[m].position != 0 && d.fresher(m, c)
}

// trustsCheck tells whether a member is left to turn away a read for which it lags too far: not where none does, not after it just turned one
// away, and not while it has been primary and was not seen to follow another since.
func (d *Driver) trustsCheck(m member) bool {
	k := &d.known[m]
	return d.store.RejectsStaleReads && !k.missed && k.formerAt == 0
}

// fresher tells whether the source's estimate of a replica's staleness is within the bound.
func (d *Driver) fresher(m member, c *call) bool {
	return c.group.primary == m || d.staleness(m) <= c.method.MaxStaleness
}

// staleness is the source's estimate, but for the primary's term, the least of its office, lest its slow
// answer make replicas look fresher, and for an overdue replica, which grows staler.
func (d *Driver) staleness(m member) int64 {
	g, k := d.of[m], &d.known[m]
	unheard := max(d.interval, d.host.Now()-k.learned)
	if p := g.primary; p != nobody && d.known[p].leastLead != 0 {
		return k.learned - k.position - d.known[p].leastLead + unheard
	}
	return g.newest - k.position + unheard
}

// confirm asks a primary whether it still is one, for a read that waits for that.
func (d *Driver) confirm(m member, c *call) {
	now := d.host.Now()
	if d.asking[m] != 0 || now-d.lookedAt[m] < looksApart || c.asks >= mostAsks {
		return
	}
	if c.asks == 0 {
		c.askedAt = now
	}
	c.asks++
	d.probe(m)
}

// IsStale tells whether an answer to a read shows by what it states of its member that its data was too old for the read when the attempt was made.
// Guards against a former primary that got the read on its last word, or on one that crossed the read: what it answers earns nothing, and another
// member may serve. Positions are rounded, and clocks differ a little: only what is certain counts.
func (d *Driver) IsStale(id RPCID, s Observation, made int64) bool {
	c := d.calls[id]
	if c == nil {
		return false
	}
	switch ahead, known := d.clock.offset(); c.method.Consistency {
	case ConsistencyLinearizable:
		return s.Role == RoleReplica
	case ConsistencySession:
		return s.Position != 0 && s.Position+rounding < c.SessionToken
	case ConsistencyBounded:
		return s.Position != 0 && known && s.Position+clockTolerance < made+ahead-c.method.MaxStaleness
	}
	return false
}

// Eligibility tells for the log why an attempt at a member may begin.
func (d *Driver) Eligibility(id RPCID, to MemberID) string {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known {
		return basisNames[noBasis]
	}
	k, now := &d.known[m], d.host.Now()
	return fmt.Sprintf("%s age_ms=%d confirmed_ms=%d", basisNames[d.basis(m, c)], (d.clock.at(now)-k.position)/ms, (now-k.confirmed)/ms)
}

// probeWithin is how old a position may grow before a probe for a bounded method's sake: half of what is usable.
func (d *Driver) probeWithin(m Method) int64 {
	if d.store.RejectsStaleReads {
		return m.MaxStaleness / 2
	}
	return (m.MaxStaleness - d.store.MaxSendDelay) / 2
}
