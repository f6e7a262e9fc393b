package rules

import (
	"fmt"
	"math/rand"
	"slices"
)

type member int // dense index of a member in the parallel arrays of the parts below

const nobody member = -1

// roster is what the list tells, and how it is kept up.
type roster struct {
	notice  Discovery
	asked   bool
	pausing bool  // before it is asked for again
	looking int64 // when the last new member is looked at for the first time
	ids     []MemberID
	of      []*group
	zone    []string
	state   []MemberState
	size    []float64
	kept    []bool   // member of its group, looked at by a probe loop where probes are allowed
	keeping int      // members that are
	free    []member // places of members that were dropped
}

// observations are the positions and roles observed. Times are 0 for never, here and below.
type observations struct {
	store                 Store
	clock                 storeClock
	interval, due, rarest int64          // the estimate's; when positions are old; most between own probes
	known                 []replicaState // of each member
	fleet                 Fleet
	told                  int64 // when the last news went to the fellow drivers
	telling               bool
	untold                []bool
	answered              []int64 // answer time not yet told
	erred                 []bool  // and whether the last answer was an error
}

// health is how members answer this driver.
type health struct {
	heard, asking, aside []int64   // last answer; the unanswered probe's time; set aside until
	lookedAt             []int64   // when its last probe ended
	silent, back         []bool    // does not answer; on a trickle that doubles
	out, lost, refused   []int     // attempts out, and those lost and refused in a row
	first                float64   // room before answers teach better
	room, took, strain   []float64 // attempts it may hold; smoothed answer time, and over soft deadline
	errors               []float64 // smoothed share of answers that were errors
	wrong                []int64   // when the last of them came
	since                []int64   // when it fell silent
	timed                []int64   // when its answer time was last learned
	scarce               int64     // until when connections are
}

// warming is the budget of members that have just started.
type warming struct {
	SlowStart
	lastLot   []int64 // when the last lot was drawn for it
	served    []int64 // requests that it answered ok
	listing   []int64 // start by the list, on the store's clock
	restarted []int64 // start by a silence that is taken for a restart, on the driver's clock
	guessed   []int64 // when that silence began
	opened    []int64 // when the connection was that its last answer came on
}

type group struct {
	id        GroupID
	members   []member
	primary   member
	newest    int64 // position of its members
	since     int64 // date of the evidence that named the primary
	held      []*call
	last      int64
	gap, took float64 // smoothed: between this driver's requests; answer time
	load      groupLoad
}

// call is an RPC being worked on.
type call struct {
	RPC
	method               *Method
	group                *group
	deadline, soft       int64
	tries                int
	out                  []int // numbers of the attempts still out
	tried                []member
	risk                 int64 // when the first attempt that may have run was sent, 0 for none
	riskZone             string
	held, started, ended bool   // started: its answer has begun to stream
	reached              bool   // a member got an attempt for it
	looked               member // the replica probed for it last
	looks                int
	asks                 int     // probes by which the primary was asked for it whether it still is one
	askedAt              int64   // when the first of them was made
	lot                  float64 // drawn once, for whether it may go to a strained primary
}

// picking is the memory that picks use one after another.
type picking struct {
	passers, unknown []member
	costs, lots      []float64
}

// Driver decides for one instance.
type Driver struct {
	roster
	observations
	health
	warming
	picking       picking
	spare         float64 // further attempts that may be made now
	success       float64 // share of recent further attempts that were ok
	host          Host
	rng           *rand.Rand
	methods       []Method
	allowed       Policy
	index         map[MemberID]member
	groups        map[GroupID]*group
	calls         map[RPCID]*call
	tokens, older map[string]int64 // last commits of sessions by answers; those of the time before
	swept, floor  int64            // when the oldest were dropped; the newest of them, which all must see
	soft          int64            // mean soft deadline of the methods
	begun, taken  int64            // when this driver began, and when its last RPC came
	gap           float64          // smoothed time between RPCs
}

// place gives a place in the arrays, with nothing of whoever had it before.
func (d *Driver) place() member {
	m := member(len(d.ids))
	if last := len(d.free) - 1; last >= 0 {
		m, d.free = d.free[last], d.free[:last]
	}
	blank(m, &d.ids)
	blank(m, &d.of)
	blank(m, &d.zone)
	blank(m, &d.state)
	blank(m, &d.known)
	blank(m, &d.heard, &d.asking, &d.lookedAt, &d.aside, &d.lastLot, &d.answered, &d.timed, &d.served, &d.since, &d.wrong,
		&d.listing, &d.restarted, &d.guessed, &d.opened)
	blank(m, &d.silent, &d.back, &d.untold, &d.kept, &d.erred)
	blank(m, &d.out, &d.lost, &d.refused)
	blank(m, &d.room, &d.took, &d.strain, &d.size, &d.errors)
	return m
}

func blank[T any](m member, arrays ...*[]T) {
	for _, a := range arrays {
		if int(m) == len(*a) {
			*a = append(*a, *new(T))
		}
		(*a)[m] = *new(T)
	}
}

// keep makes a member one of its group.
func (d *Driver) keep(m member) {
	d.kept[m] = true
	d.keeping++
	d.of[m].members = append(d.of[m].members, m)
}

// Known tells whether anything was heard of a member, from itself or from a fellow driver.
func (d *Driver) Known(id MemberID) bool {
	m, known := d.index[id]
	return known && d.met(m)
}

func (d *Driver) met(m member) bool { return d.heard[m] != 0 || d.known[m].learned != 0 }

// many tells whether this is one of so many drivers that it sees little of a member by itself.
func (d *Driver) many() bool { return d.first <= 1 }

// fewOrMany gives what holds for a driver of few, or else for one of many.
func fewOrMany[T any](d *Driver, few, many T) T {
	if d.many() {
		return many
	}
	return few
}

// CaughtUp tells whether all of a group's members that answer and are to serve, its primary among them, were seen at a
// position or past it.
func (d *Driver) CaughtUp(id GroupID, position int64) bool {
	g := d.groups[id]
	if g == nil || g.primary == nobody || d.silent[g.primary] || d.known[g.primary].position < position {
		return false
	}
	for _, m := range g.members {
		if d.state[m] == Healthy && !d.silent[m] && d.known[m].position < position {
			return false
		}
	}
	return true
}

// ProbeGroup probes a group's members, for somebody who waits until they are Reached.
func (d *Driver) ProbeGroup(id GroupID) {
	if g := d.groups[id]; g != nil && d.allowed.Probing {
		for _, m := range g.members {
			if d.state[m] == Healthy {
				d.probe(m)
			}
		}
	}
}

// drop gives a member's place back. Nothing may be out for it.
func (d *Driver) drop(m member) {
	g := d.of[m]
	g.members = slices.DeleteFunc(g.members, func(o member) bool { return o == m })
	if g.primary == m {
		g.primary = nobody
	}
	g.newest = d.newest(g)
	d.kept[m] = false
	d.keeping--
	delete(d.index, d.ids[m])
	d.free = append(d.free, m)
	d.host.Forget(d.ids[m])
}

// add makes room for a member in the arrays; took, gap and room are what to expect at first.
func (d *Driver) add(l MemberEntry, took, gap, room float64) member {
	m := d.place()
	g := d.groups[l.Group]
	if g == nil {
		g = newGroup(l.Group, d.host.Now(), took, gap)
		d.groups[l.Group] = g
	}
	d.index[l.Member] = m
	d.ids[m], d.of[m], d.zone[m], d.state[m] = l.Member, g, l.Zone, l.State
	d.room[m], d.took[m], d.size[m] = room, g.took, 1
	return m
}

func newGroup(id GroupID, now int64, took, gap float64) *group {
	begins := warmLoad{at: now}
	return &group{id: id, primary: nobody, took: took, gap: gap, load: groupLoad{begins, begins}}
}

// isRead tells whether a replica may answer.
func (c *call) isRead() bool {
	return c.method.Consistency != ConsistencyWrite && c.method.Consistency != ConsistencyLinearizable
}

// last is when an answer is of use at the latest.
func (c *call) last() int64 {
	if c.method.LateUtility == 0 {
		return min(c.deadline, c.soft)
	}
	return c.deadline
}

func (c *call) worth(now int64) float64 {
	if now > c.soft {
		return c.method.Utility * c.method.LateUtility
	}
	return c.method.Utility
}

// ClientLeft hears that the client of an RPC has gone.
func (d *Driver) ClientLeft(id RPCID) {
	if c := d.calls[id]; c != nil {
		d.end(c)
	}
}

func (d *Driver) end(c *call) {
	c.ended = true
	delete(d.calls, c.ID)
	d.cancelOut(c, -1)
}

// cancelOut calls off what is out for an RPC, but for one attempt.
func (d *Driver) cancelOut(c *call, but int) {
	for _, n := range c.out {
		if d.allowed.Cancellation && n != but {
			d.host.Cancel(c.ID, n)
		}
	}
}

// remember keeps a session's last commit for one to two spans; of those dropped the newest holds for all sessions.
func (d *Driver) remember(c *call, commit, span int64) {
	if c.method.Consistency == ConsistencyWrite && !d.store.CarriesSessionToken {
		d.tokens[c.Session] = max(d.tokens[c.Session], commit)
	}
	if now := d.host.Now(); now > d.swept+span {
		for _, t := range d.older {
			d.floor = max(d.floor, t)
		}
		d.older, d.tokens, d.swept = d.tokens, map[string]int64{}, now
	}
}

// upTo draws a span below another, 0 where that is none.
func (d *Driver) upTo(span int64) int64 {
	if span <= 0 {
		return 0
	}
	return d.rng.Int63n(span)
}

func (d *Driver) logf(format string, args ...any) { d.host.Log(fmt.Sprintf(format, args...)) }
