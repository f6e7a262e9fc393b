package rules

import (
	"fmt"
	"math/rand"
	"slices"
)

type member int // dense index of a member in the parallel arrays of the parts below

const noMember member = -1

// membership is what the list tells, and how it is kept up.
type membership struct {
	discovery      Discovery
	isWatching     bool
	retryPending   bool  // before it is asked for again
	nextFirstProbe int64 // when the last new member is looked at for the first time
	ids            []MemberID
	groupOf        []*group
	zone           []string
	state          []MemberState
	weight         []float64
	isInGroup      []bool   // member of its group, looked at by a probe loop where probes are allowed
	groupedCount   int      // members that are
	freeSlots      []member // places of members that were dropped
}

// observations are the positions and roles observed. Times are 0 for never, here and below.
type observations struct {
	store                                               Store
	clock                                               storeClock
	heartbeatInterval, positionMaxAge, maxProbeInterval int64              // the estimate's; when positions are old; most between own probes
	replication                                         []replicationState // of each member
	fleet                                               Fleet
	lastGossip                                          int64 // when the last news went to the fellow drivers
	gossipPending                                       bool
	hasUnsentReport                                     []bool
	unsentLatency                                       []int64 // answer time not yet told
	lastAnswerFailed                                    []bool  // and whether the last answer was an error
}

// health is how members answer this driver.
type health struct {
	lastHeard, probeStarted, ejectedUntil              []int64   // last answer; the unanswered probe's time; set aside until
	lastProbeEnd                                       []int64   // when its last probe ended
	isUnresponsive, isRecovering                       []bool    // does not answer; on a trickle that doubles
	inFlight, consecutiveLosses, consecutiveRejections []int     // attempts out, and those lost and refused in a row
	initialLimit                                       float64   // room before answers teach better
	limit, latency, latencyRatio                       []float64 // attempts it may hold; smoothed answer time, and over soft deadline
	errorRate                                          []float64 // smoothed share of answers that were errors
	lastError                                          []int64   // when the last of them came
	unresponsiveSince                                  []int64   // when it fell silent
	latencyUpdated                                     []int64   // when its answer time was last learned
	connectionsScarceUntil                             int64     // until when connections are
}

// slowStartState is the budget of members that have just started.
type slowStartState struct {
	SlowStart
	lastDraw            []int64 // when the last lot was drawn for it
	answered            []int64 // requests that it answered ok
	listedStart         []int64 // start by the list, on the store's clock
	inferredStart       []int64 // start by a silence that is taken for a restart, on the driver's clock
	inferredOutageStart []int64 // when that silence began
	connectedAt         []int64 // when the connection was that its last answer came on
}

type group struct {
	id                       GroupID
	members                  []member
	primary                  member
	newestPosition           int64 // position of its members
	primarySince             int64 // date of the evidence that named the primary
	held                     []*call
	lastRequest              int64
	requestInterval, latency float64 // smoothed: between this driver's requests; answer time
	throughput               groupThroughput
}

// call is an RPC being worked on.
type call struct {
	RPC
	method                        *Method
	group                         *group
	deadline, softDeadline        int64
	attempts                      int
	inFlight                      []int // numbers of the attempts still out
	tried                         []member
	mayHaveExecutedAt             int64 // when the first attempt that may have run was sent, 0 for none
	mayHaveExecutedZone           string
	isHeld, isStreaming, hasEnded bool   // started: its answer has begun to stream
	hasReachedMember              bool   // a member got an attempt for it
	probedReplica                 member // the replica probed for it last
	replicaProbes                 int
	primaryProbes                 int     // probes by which the primary was asked for it whether it still is one
	primaryProbedAt               int64   // when the first of them was made
	latencyDraw                   float64 // drawn once, for whether it may go to a strained primary
}

// pickScratch is the memory that picks use one after another.
type pickScratch struct {
	eligible, outdated       []member
	costs, cumulativeWeights []float64
}

// Driver decides for one instance.
type Driver struct {
	membership
	observations
	health
	slowStartState
	scratch                             pickScratch
	retryTokens                         float64 // further attempts that may be made now
	retrySuccessRate                    float64 // share of recent further attempts that were ok
	host                                Host
	rng                                 *rand.Rand
	methods                             []Method
	policy                              Policy
	index                               map[MemberID]member
	groups                              map[GroupID]*group
	calls                               map[RPCID]*call
	sessionCommits, olderSessionCommits map[string]int64 // last commits of sessions by answers; those of the time before
	lastCommitSweep, droppedCommitMax   int64            // when the oldest were dropped; the newest of them, which all must see
	meanSoftDeadline                    int64            // mean soft deadline of the methods
	startedAt, lastRPC                  int64            // when this driver began, and when its last RPC came
	rpcInterval                         float64          // smoothed time between RPCs
}

// allocateSlot gives a place in the arrays, with nothing of whoever had it before.
func (d *Driver) allocateSlot() member {
	m := member(len(d.ids))
	if last := len(d.freeSlots) - 1; last >= 0 {
		m, d.freeSlots = d.freeSlots[last], d.freeSlots[:last]
	}
	resetSlot(m, &d.ids)
	resetSlot(m, &d.groupOf)
	resetSlot(m, &d.zone)
	resetSlot(m, &d.state)
	resetSlot(m, &d.replication)
	resetSlot(m, &d.lastHeard, &d.probeStarted, &d.lastProbeEnd, &d.ejectedUntil, &d.lastDraw, &d.unsentLatency, &d.latencyUpdated, &d.answered, &d.unresponsiveSince, &d.lastError,
		&d.listedStart, &d.inferredStart, &d.inferredOutageStart, &d.connectedAt)
	resetSlot(m, &d.isUnresponsive, &d.isRecovering, &d.hasUnsentReport, &d.isInGroup, &d.lastAnswerFailed)
	resetSlot(m, &d.inFlight, &d.consecutiveLosses, &d.consecutiveRejections)
	resetSlot(m, &d.limit, &d.latency, &d.latencyRatio, &d.weight, &d.errorRate)
	return m
}

func resetSlot[T any](m member, arrays ...*[]T) {
	for _, a := range arrays {
		if int(m) == len(*a) {
			*a = append(*a, *new(T))
		}
		(*a)[m] = *new(T)
	}
}

// addToGroup makes a member one of its group.
func (d *Driver) addToGroup(m member) {
	d.isInGroup[m] = true
	d.groupedCount++
	d.groupOf[m].members = append(d.groupOf[m].members, m)
}

// Known tells whether anything was heard of a member, from itself or from a fellow driver.
func (d *Driver) Known(id MemberID) bool {
	m, known := d.index[id]
	return known && d.isKnown(m)
}

func (d *Driver) isKnown(m member) bool { return d.lastHeard[m] != 0 || d.replication[m].heardAt != 0 }

// isInLargeFleet tells whether this is one of so many drivers that it sees little of a member by itself.
func (d *Driver) isInLargeFleet() bool { return d.initialLimit <= 1 }

// byFleetSize gives what holds for a driver of few, or else for one of many.
func byFleetSize[T any](d *Driver, small, large T) T {
	if d.isInLargeFleet() {
		return large
	}
	return small
}

// CaughtUp tells whether all of a group's members that answer and are to serve, its primary among them, were seen at a
// position or past it.
func (d *Driver) CaughtUp(id GroupID, position int64) bool {
	g := d.groups[id]
	if g == nil || g.primary == noMember || d.isUnresponsive[g.primary] || d.replication[g.primary].position < position {
		return false
	}
	for _, m := range g.members {
		if d.state[m] == Healthy && !d.isUnresponsive[m] && d.replication[m].position < position {
			return false
		}
	}
	return true
}

// ProbeGroup probes a group's members, for somebody who waits until they are Reached.
func (d *Driver) ProbeGroup(id GroupID) {
	if g := d.groups[id]; g != nil && d.policy.Probing {
		for _, m := range g.members {
			if d.state[m] == Healthy {
				d.probe(m)
			}
		}
	}
}

// removeMember gives a member's place back. Nothing may be out for it.
func (d *Driver) removeMember(m member) {
	g := d.groupOf[m]
	g.members = slices.DeleteFunc(g.members, func(o member) bool { return o == m })
	if g.primary == m {
		g.primary = noMember
	}
	g.newestPosition = d.newestPosition(g)
	d.isInGroup[m] = false
	d.groupedCount--
	delete(d.index, d.ids[m])
	d.freeSlots = append(d.freeSlots, m)
	d.host.Forget(d.ids[m])
}

// addMember makes room for a member in the arrays; took, gap and room are what to expect at first.
func (d *Driver) addMember(entry MemberEntry, latency, requestInterval, limit float64) member {
	m := d.allocateSlot()
	g := d.groups[entry.Group]
	if g == nil {
		g = newGroup(entry.Group, d.host.Now(), latency, requestInterval)
		d.groups[entry.Group] = g
	}
	d.index[entry.Member] = m
	d.ids[m], d.groupOf[m], d.zone[m], d.state[m] = entry.Member, g, entry.Zone, entry.State
	d.limit[m], d.latency[m], d.weight[m] = limit, g.latency, 1
	return m
}

func newGroup(id GroupID, now int64, latency, requestInterval float64) *group {
	initial := warmThroughput{updatedAt: now}
	return &group{id: id, primary: noMember, latency: latency, requestInterval: requestInterval, throughput: groupThroughput{initial, initial}}
}

// isRead tells whether a replica may answer.
func (c *call) isRead() bool {
	return c.method.Consistency != ConsistencyWrite && c.method.Consistency != ConsistencyLinearizable
}

// usefulUntil is when an answer is of use at the latest.
func (c *call) usefulUntil() int64 {
	if c.method.LateUtility == 0 {
		return min(c.deadline, c.softDeadline)
	}
	return c.deadline
}

func (c *call) utility(now int64) float64 {
	if now > c.softDeadline {
		return c.method.Utility * c.method.LateUtility
	}
	return c.method.Utility
}

// ClientLeft hears that the client of an RPC has gone.
func (d *Driver) ClientLeft(id RPCID) {
	if c := d.calls[id]; c != nil {
		d.endCall(c)
	}
}

func (d *Driver) endCall(c *call) {
	c.hasEnded = true
	delete(d.calls, c.ID)
	d.cancelInFlight(c, -1)
}

// cancelInFlight calls off what is out for an RPC, but for one attempt.
func (d *Driver) cancelInFlight(c *call, except int) {
	for _, n := range c.inFlight {
		if d.policy.Cancellation && n != except {
			d.host.Cancel(c.ID, n)
		}
	}
}

// recordCommit keeps a session's last commit for one to two spans; of those dropped the newest holds for all sessions.
func (d *Driver) recordCommit(c *call, commit, retention int64) {
	if c.method.Consistency == ConsistencyWrite && !d.store.CarriesSessionToken {
		d.sessionCommits[c.Session] = max(d.sessionCommits[c.Session], commit)
	}
	if now := d.host.Now(); now > d.lastCommitSweep+retention {
		for _, t := range d.olderSessionCommits {
			d.droppedCommitMax = max(d.droppedCommitMax, t)
		}
		d.olderSessionCommits, d.sessionCommits, d.lastCommitSweep = d.sessionCommits, map[string]int64{}, now
	}
}

// randomBelow draws a span below another, 0 where that is none.
func (d *Driver) randomBelow(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return d.rng.Int63n(limit)
}

func (d *Driver) logf(format string, args ...any) { d.host.Log(fmt.Sprintf(format, args...)) }
