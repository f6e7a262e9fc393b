package council

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

// testCluster simulates a council with random faults: clocks drift, packets are delayed, lost,
// duplicated and reordered, disks are slow, hang or are restored from old copies, and voters crash
// and pause.
type testCluster struct {
	rng           *rand.Rand
	fault         fault
	now           int64
	timing        Timing
	voters        []*voter
	inFlight      []Packet
	blockedLinks  map[[2]VoterID]bool
	committed     map[uint64]string // by index
	acknowledged  map[string]uint64 // index by record, for records that an acting proposer applied
	proposed      int
	violation     string
	actingSteps   int // steps at which a voter acted as leader
	restoredDisks int
	noFaults      bool // no random crashes and compactions
	hasSlowDisks  bool // some disks are slow, and some hang temporarily
}

// fault is a deliberate bug that the simulation must detect.
type fault int

const (
	noFault           fault = iota
	longLease               // a leader acts after its lease has ended
	earlyVotes              // a voter votes too early after its start
	sendsBeforeWrite        // a write is completed before it is durable
	missingPositions        // known positions are not exchanged
	actsBeforeApplied       // a leader acts before it has applied earlier records
)

type voter struct {
	id            VoterID
	clockRate     float64
	node          *Node
	disk          DiskState
	oldDisk       *DiskState // an earlier copy
	pendingWrites []*Write   // not durable yet
	isDiskSlow    bool       // its disk writes only occasionally
	isDiskHung    bool       // its disk completes no writes
	isUp          bool
	isPaused      bool
	startedAt     int64 // simulation time at which its clock was 0
	nextTick      int64 // by its own clock
	applied       map[uint64]bool
	lastApplied   uint64
	starts        int64
}

var testTiming = Timing{Tick: 10, ElectionTicks: 8, MaxDrift: 0.02}

func newCluster(seed int64, voterCount int, planted fault) *testCluster {
	cluster := &testCluster{rng: rand.New(rand.NewSource(seed)), fault: planted, timing: testTiming, blockedLinks: map[[2]VoterID]bool{},
		committed: map[uint64]string{}, acknowledged: map[string]uint64{}, hasSlowDisks: seed%2 == 1}
	var ids []VoterID
	for i := range voterCount {
		ids = append(ids, VoterID(i+1))
	}
	for _, id := range ids {
		v := &voter{id: id, clockRate: 1 + cluster.timing.MaxDrift*(2*cluster.rng.Float64()-1), disk: NewDiskState(ids), isDiskSlow: cluster.hasSlowDisks && cluster.rng.Intn(3) == 0}
		cluster.voters = append(cluster.voters, v)
		cluster.start(v)
	}
	return cluster
}

func (c *testCluster) clock(v *voter) int64 { return int64(float64(c.now-v.startedAt) * v.clockRate) }

// start starts a voter from its disk.
func (c *testCluster) start(v *voter) {
	v.starts++
	diskState := v.disk
	diskState.Entries = slices.Clone(v.disk.Entries)
	node, err := NewNode(v.id, c.timing, diskState, c.rng.Int63())
	if err != nil {
		c.violation = err.Error()
		return
	}
	v.pendingWrites, v.isDiskHung = nil, false
	v.node, v.isUp, v.isPaused, v.startedAt, v.nextTick, v.applied = node, true, false, c.now, c.timing.Tick, map[uint64]bool{}
	v.lastApplied = v.disk.Snapshot.GetMetadata().GetIndex()
	if c.fault == earlyVotes {
		for range c.timing.ElectionTicks {
			v.node.ticksSinceStart++
		}
	}
}

// apply makes a write durable.
func (d *DiskState) apply(w *Write) {
	if w.IsEmpty() {
		return
	}
	d.KnownPositions, d.Position = w.KnownPositions, w.Position
	if w.HardState != nil {
		d.HardState = w.HardState
	}
	if w.ReplacesLog {
		d.Entries = nil
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		count := slices.IndexFunc(d.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		if count < 0 {
			count = len(d.Entries)
		}
		d.Entries = append(slices.Clone(d.Entries[:count]), w.Entries...)
	}
	if w.Snapshot != nil {
		d.Snapshot = w.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool {
			return e.GetIndex() < w.DropBefore || e.GetIndex() <= w.Snapshot.GetMetadata().GetIndex()
		})
	}
}

// processReady processes all ready work of a voter, which may crash between any two steps.
func (c *testCluster) processReady(v *voter) {
	for v.isUp {
		ready, hasWork := v.node.Ready()
		if !hasWork {
			break
		}
		c.send(ready.Packets)
		if ready.Write != nil {
			v.pendingWrites = append(v.pendingWrites, ready.Write)
			if c.fault == sendsBeforeWrite {
				c.completeWrite(v, ready.Write)
			}
		}
		if c.mayCrash(v) {
			return
		}
		if !v.isDiskSlow && !v.isDiskHung {
			c.write(v, len(v.pendingWrites))
		}
	}
	snapshot, _ := v.node.storage.Snapshot()
	canCompact := v.isUp && v.node.IsActive() && v.node.AppliedIndex() > snapshot.GetMetadata().GetIndex()
	if canCompact && (v.node.confChanged || !c.noFaults && c.rng.Intn(400) == 0) {
		c.compact(v)
	}
}

// write completes up to maxWrites of the oldest pending writes.
func (c *testCluster) write(v *voter, maxWrites int) {
	for n := 0; v.isUp && n < maxWrites && len(v.pendingWrites) > 0; n++ {
		write := v.pendingWrites[0]
		v.pendingWrites = v.pendingWrites[1:]
		v.disk.apply(write)
		if !c.mayCrash(v) && c.fault != sendsBeforeWrite {
			c.completeWrite(v, write)
		}
	}
}

func (c *testCluster) completeWrite(v *voter, write *Write) {
	snapshot, committed, err := v.node.CompleteWrite(write)
	if err != nil {
		c.violation = err.Error()
	}
	if snapshot != nil {
		v.lastApplied = snapshot.GetMetadata().GetIndex()
	}
	for _, entry := range committed {
		c.apply(v, entry)
	}
}

func (c *testCluster) compact(v *voter) {
	write, err := v.node.Compact([]byte("all"))
	if err != nil {
		c.violation = err.Error()
		return
	}
	v.pendingWrites = append(v.pendingWrites, write)
	if !v.isDiskSlow && !v.isDiskHung {
		c.write(v, len(v.pendingWrites))
	}
}

func (c *testCluster) mayCrash(v *voter) bool {
	if !c.noFaults && c.rng.Intn(300) == 0 {
		v.isUp = false
	}
	return !v.isUp
}

// apply checks that all voters apply the same entry at an index.
func (c *testCluster) apply(v *voter, entry CommittedEntry) {
	record := string(entry.Record)
	if entry.Change != nil {
		record = "a change"
	}
	if previous, known := c.committed[entry.Index]; known && previous != record {
		c.violation = fmt.Sprintf("entry %d is %q at voter %d, but was %q elsewhere", entry.Index, record, v.id, previous)
	}
	c.committed[entry.Index] = record
	v.lastApplied = entry.Index
	if len(entry.Record) > 0 && v.applied[0] && c.isActing(v) {
		c.acknowledged[record] = entry.Index
	}
}

const maxInFlight = 300 // packets; further ones are dropped

func (c *testCluster) send(packets []Packet) {
	for _, p := range packets {
		if c.fault == missingPositions {
			p.Positions = nil
		}
		if !c.blockedLinks[[2]VoterID{p.From, p.To}] && len(c.inFlight) < maxInFlight {
			c.inFlight = append(c.inFlight, p)
		}
	}
}

// isActing reports whether a voter would act as leader now.
func (c *testCluster) isActing(v *voter) bool {
	if !v.isUp || v.isPaused {
		return false
	}
	leaseEnd := v.node.LeaseEnd()
	if c.fault == actsBeforeApplied && v.node.IsActive() && v.node.isLeader {
		leaseEnd = c.clock(v) + 1
	}
	if c.fault == longLease && leaseEnd > 0 {
		leaseEnd += 3 * c.timing.Tick
	}
	return c.clock(v) < leaseEnd
}

// step executes one random event.
func (c *testCluster) step() {
	v := c.voters[c.rng.Intn(len(c.voters))]
	switch n := c.rng.Intn(1000); {
	case n < 300:
		c.now += 1 + c.rng.Int63n(c.timing.Tick/2)
		c.tickDue()
	case n < 865:
		c.deliverOne()
	case n < 880:
		if !v.isDiskHung {
			c.write(v, 1+c.rng.Intn(3))
			c.processReady(v)
		}
	case n < 940:
		if c.isActing(v) {
			c.propose(v)
		}
	case n < 946:
		v.isUp = false
	case n < 956:
		if !v.isUp {
			c.start(v)
		}
	case n < 962:
		v.isPaused = true
	case n < 980:
		v.isPaused = false
	case n < 984:
		other := c.voters[c.rng.Intn(len(c.voters))]
		c.blockedLinks[[2]VoterID{v.id, other.id}] = true
	case n < 990:
		c.blockedLinks = map[[2]VoterID]bool{}
	case n < 992:
		copied := v.disk
		copied.Entries = slices.Clone(v.disk.Entries)
		v.oldDisk = &copied
	case n < 993:
		c.restoreOldDisk(v)
	case n < 994:
		v.isDiskHung = c.hasSlowDisks
	default:
		v.isDiskHung = false
	}
	c.checkInvariants()
}

// propose proposes a new record at an acting voter.
func (c *testCluster) propose(v *voter) {
	c.proposed++
	v.applied[0] = true
	v.node.Propose(fmt.Appendf(nil, "r%d", c.proposed))
	c.processReady(v)
}

// restoreOldDisk replaces a voter's disk by an old copy. It does so at most once, and only while
// all peers are up to detect it; a council of one voter cannot.
func (c *testCluster) restoreOldDisk(v *voter) {
	for _, peer := range c.voters {
		if !peer.isUp || peer != v && peer.node.RefusalReason() != "" {
			return
		}
	}
	if v.oldDisk != nil && c.restoredDisks == 0 && len(c.voters) > 1 {
		v.disk = *v.oldDisk
		c.restoredDisks++
		c.start(v)
	}
}

// tickDue ticks all voters whose tick is due. A voter that was paused makes up for one tick only.
func (c *testCluster) tickDue() {
	for _, v := range c.voters {
		for v.isUp && !v.isPaused && c.clock(v) >= v.nextTick {
			v.nextTick += c.timing.Tick
			if delay := c.clock(v) - v.nextTick; delay > 0 {
				v.nextTick += delay / c.timing.Tick * c.timing.Tick
			}
			v.node.Tick(c.clock(v))
			c.processReady(v)
		}
	}
}

// deliverOne delivers a random packet, and occasionally duplicates or drops it.
func (c *testCluster) deliverOne() {
	if len(c.inFlight) == 0 {
		return
	}
	index := c.rng.Intn(min(len(c.inFlight), 12))
	p := c.inFlight[index]
	outcome := c.rng.Intn(40)
	if outcome != 0 || len(c.inFlight) > 200 {
		c.inFlight = slices.Delete(c.inFlight, index, index+1)
	}
	v := c.voters[p.To-1]
	if outcome == 1 || !v.isUp {
		return
	}
	if v.isPaused {
		c.inFlight = append(c.inFlight, p)
		return
	}
	if err := v.node.Receive(p); err != nil {
		c.violation = err.Error()
	}
	c.processReady(v)
}

// checkInvariants checks that at most one voter acts, and that it has applied all acknowledged
// records.
func (c *testCluster) checkInvariants() {
	var acting []VoterID
	for _, v := range c.voters {
		if !c.isActing(v) {
			continue
		}
		acting = append(acting, v.id)
		for record, index := range c.acknowledged {
			if index > v.lastApplied {
				c.violation = fmt.Sprintf("voter %d acts at entry %d without having applied %q, entry %d", v.id, v.lastApplied, record, index)
			}
		}
	}
	if len(acting) > 0 {
		c.actingSteps++
	}
	if len(acting) > 1 {
		c.violation = fmt.Sprintf("voters %v act at the same time", acting)
	}
}

// recover ends all faults and reports whether the council then commits records.
func (c *testCluster) recover() bool {
	c.blockedLinks = map[[2]VoterID]bool{}
	c.fault, c.noFaults, c.inFlight = noFault, true, nil
	before := len(c.acknowledged)
	for range 40_000 {
		for _, v := range c.voters {
			v.isPaused, v.isDiskSlow, v.isDiskHung = false, false, false
			if !v.isUp {
				c.start(v)
			}
		}
		v := c.voters[c.rng.Intn(len(c.voters))]
		switch n := c.rng.Intn(10); {
		case n < 2:
			c.now += 1 + c.rng.Int63n(c.timing.Tick/2)
			c.tickDue()
		case n < 9:
			for range 10 {
				c.deliverOne()
			}
			c.write(v, len(v.pendingWrites))
			c.processReady(v)
		case c.isActing(v):
			c.propose(v)
		}
		c.checkInvariants()
		if c.violation != "" || len(c.acknowledged) > before+2 {
			return c.violation == ""
		}
	}
	return false
}

// run executes random steps and reports a panic in raft as a violation.
func (c *testCluster) run(steps int) {
	defer func() {
		if r := recover(); r != nil {
			c.violation = fmt.Sprint("panic: ", r)
		}
	}()
	for range steps {
		if c.step(); c.violation != "" {
			return
		}
	}
}

// Guards against two voters acting at once, against lost, changed or reordered records, against a
// leader with stale state, and against a council that does not recover by itself.
func TestCouncilsInAnyOrder(t *testing.T) {
	actingSteps, acknowledged, refusedVoters := 0, 0, 0
	for seed := range int64(120) {
		cluster := newCluster(seed, []int{3, 5, 3, 7, 1}[seed%5], noFault)
		cluster.run(6000)
		require.Empty(t, cluster.violation, "seed %d", seed)
		require.True(t, cluster.recover(), "seed %d: the council did not recover: %s", seed, cluster.violation)
		actingSteps, acknowledged = actingSteps+cluster.actingSteps, acknowledged+len(cluster.acknowledged)
		for _, v := range cluster.voters {
			if v.node.RefusalReason() != "" {
				refusedVoters++
			}
		}
	}
	t.Logf("a voter acted at %d of %d steps; %d records; %d voters with old disks refused", actingSteps, 120*6000, acknowledged, refusedVoters)
	require.Greater(t, actingSteps, 120*6000/20)
	require.Greater(t, refusedVoters, 3)
}

// Guards against a simulation that misses deliberate faults.
func TestCouncilsWithPlantedFaults(t *testing.T) {
	for name, planted := range map[string]fault{"lease used after its end": longLease, "vote just after a start": earlyVotes,
		"write completed before it is durable": sendsBeforeWrite, "old disks accepted": missingPositions,
		"acting before earlier records are applied": actsBeforeApplied} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(3000) {
				cluster := newCluster(seed, 3, planted)
				if cluster.run(6000); cluster.violation != "" {
					t.Logf("found with seed %d: %s", seed, cluster.violation)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
