package rules

import (
	"fmt"
	"math/rand"
	"slices"
)

// member is a dense index into the per-member slices below.
type member int

const noMember member = -1

// membership is the state known from discovery, and of the watch that delivers it.
type membership struct {
	discovery         Discovery
	isWatching        bool
	watchRetryPending bool  // a failed watch is about to be retried
	nextFirstProbe    int64 // time of the latest first probe scheduled for a new member
	ids               []MemberID
	groupOf           []*group
	zone              []string
	state             []MemberState
	weight            []float64
	isInGroup         []bool   // the member belongs to its group and is probed periodically, where probing is allowed
	groupedCount      int      // number of members with isInGroup set
	freeSlots         []member // slots of removed members
}

// observations are the observed positions and roles. A time of 0 means never, here and below.
type observations struct {
	store                                               Store
	clock                                               storeClock
	heartbeatInterval, positionMaxAge, maxProbeInterval int64 // of the staleness estimate; age at which positions are refreshed; limit between own probes
	replication                                         []replicationState
	fleet                                               Fleet
	reportsSentAt                                       int64 // when reports were last sent to peers
	sendPending                                         bool  // a message to peers is scheduled
	hasUnsentReport                                     []bool
	unsentLatency                                       []int64 // latency not yet reported to peers
	lastAnswerFailed                                    []bool
}

// health is how members respond to this driver.
type health struct {
	lastHeard, probeStarted, ejectedUntil              []int64 // last answer; start of the pending probe; end of ejection or backoff
	lastProbeEnd                                       []int64
	isUnresponsive, isRecovering                       []bool    // does not answer; limit doubles with each answer
	inFlight, consecutiveLosses, consecutiveRejections []int     // attempts in flight, and those lost and rejected in a row
	initialLimit                                       float64   // concurrency limit before any answer
	limit, latency, latencyRatio                       []float64 // concurrency limit; smoothed latency, and its ratio to the soft deadline
	errorRate                                          []float64 // smoothed share of answers that were errors
	lastError                                          []int64
	unresponsiveSince                                  []int64
	latencyUpdated                                     []int64
	connectionsScarceUntil                             int64 // idle connections are closed until then
}

// slowStartState holds the budgets of members that started recently.
type slowStartState struct {
	SlowStart
	lastDraw            []int64 // last random admission draw
	answered            []int64 // attempts answered successfully
	listedStart         []int64 // start time by discovery, on the store's clock
	inferredStart       []int64 // start time inferred from an outage, on the driver's clock
	inferredOutageStart []int64 // when that outage began
	connectedAt         []int64 // when the connection of the last answer was opened
}

// group is the state of one group of members.
type group struct {
	id                       GroupID
	members                  []member
	primary                  member
	newestPosition           int64 // highest position of the group's members
	primarySince             int64 // time of the evidence that named the primary
	held                     []*call
	lastRequest              int64
	requestInterval, latency float64 // smoothed: time between this driver's requests; latency
	throughput               groupThroughput
}

// call is an RPC in progress.
type call struct {
	RPC
	method                        *Method
	group                         *group
	deadline, softDeadline        int64
	attempts                      int
	inFlight                      []int // numbers of the attempts in flight
	tried                         []member
	mayHaveExecutedAt             int64 // when the first attempt that may have executed was sent, 0 if none
	mayHaveExecutedZone           string
	isHeld, isStreaming, hasEnded bool // isStreaming: its response has begun to stream
	hasReachedMember              bool
	probedReplica                 member // replica last probed for it
	replicaProbes                 int
	primaryProbes                 int     // probes that asked the primary for this RPC whether it still is one
	primaryProbedAt               int64   // when the first of them was sent
	latencyDraw                   float64 // random draw that sets the latency threshold of hasLatencyHeadroom
}

// pickScratch holds slices that pickMember reuses.
type pickScratch struct {
	eligible, outdated       []member
	costs, cumulativeWeights []float64
}

// Driver makes the routing decisions of one driver instance.
type Driver struct {
	membership
	observations
	health
	slowStartState
	ownDelay
	scratch                             pickScratch
	retryTokens                         float64 // retry budget
	retrySuccessRate                    float64 // smoothed share of retries that succeeded
	host                                Host
	rng                                 *rand.Rand
	methods                             []Method
	policy                              Policy
	index                               map[MemberID]member
	groups                              map[GroupID]*group
	calls                               map[RPCID]*call
	sessionCommits, olderSessionCommits map[string]int64 // last commits by session; those of the previous retention period
	lastCommitSweep, droppedCommitMax   int64            // last start of a period; newest dropped commit, which all session reads must see
	meanSoftDeadline                    int64            // over all methods
	startedAt, lastRPC                  int64            // when this driver started, and when its last RPC arrived
	rpcInterval                         float64          // smoothed time between RPCs
}

// allocateSlot returns a zeroed slot in the per-member slices.
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

// addToGroup adds a member to its group.
func (d *Driver) addToGroup(m member) {
	d.isInGroup[m] = true
	d.groupedCount++
	d.groupOf[m].members = append(d.groupOf[m].members, m)
}

// Known reports whether a member was heard of, from itself or from a peer.
func (d *Driver) Known(id MemberID) bool {
	m, known := d.index[id]
	return known && d.isKnown(m)
}

func (d *Driver) isKnown(m member) bool { return d.lastHeard[m] != 0 || d.replication[m].heardAt != 0 }

// isInLargeFleet reports whether there are so many drivers that each has few samples of a member.
func (d *Driver) isInLargeFleet() bool { return d.initialLimit <= 1 }

// byFleetSize returns the value that applies to the size of the fleet.
func byFleetSize[T any](d *Driver, small, large T) T {
	if d.isInLargeFleet() {
		return large
	}
	return small
}

// CaughtUp reports whether all responsive healthy members of a group, its primary included, have
// reached a position.
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

// ProbeGroup probes a group's members, for a caller that waits for CaughtUp.
func (d *Driver) ProbeGroup(id GroupID) {
	if g := d.groups[id]; g != nil && d.policy.Probing {
		for _, m := range g.members {
			if d.state[m] == Healthy {
				d.probe(m)
			}
		}
	}
}

// removeMember frees a member's slot. It must have no attempts or probes in flight.
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

// addMember allocates a slot for a member, with initial values for its limit and a new group's
// estimates.
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

// isRead reports whether a replica may serve the RPC.
func (c *call) isRead() bool {
	return c.method.Consistency != ConsistencyWrite && c.method.Consistency != ConsistencyLinearizable
}

// usefulUntil returns the latest time at which an answer is of use.
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

// ClientLeft ends an RPC whose client has disconnected.
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

// cancelInFlight cancels the attempts of an RPC that are in flight, except one.
func (d *Driver) cancelInFlight(c *call, except int) {
	for _, n := range c.inFlight {
		if d.policy.Cancellation && n != except {
			d.host.Cancel(c.ID, n)
		}
	}
}

// recordCommit records a session's last commit, which is kept for one to two retention periods.
// The newest dropped commit then applies to all sessions.
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

// randomBelow returns a random duration in [0, limit), or 0 if limit is not positive.
func (d *Driver) randomBelow(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return d.rng.Int63n(limit)
}

func (d *Driver) logf(format string, args ...any) { d.host.Log(fmt.Sprintf(format, args...)) }
