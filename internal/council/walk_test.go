package council

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

// cluster simulates a council with random faults: clocks drift, packets are delayed, lost,
// duplicated and reordered, disks are slow, hang or are restored from old copies, and voters crash
// and pause.
type cluster struct {
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

// fault is a deliberate bug that the random walk must detect.
type fault int

const (
	noFault           fault = iota
	longLease               // a leader acts after its lease has ended
	earlyVotes              // a voter votes too early after its start
	sendsBeforeWrite        // a write is completed before it is durable
	noPositions             // known positions are not exchanged
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

func newCluster(seed int64, voterCount int, planted fault) *cluster {
	w := &cluster{rng: rand.New(rand.NewSource(seed)), fault: planted, timing: testTiming, blockedLinks: map[[2]VoterID]bool{},
		committed: map[uint64]string{}, acknowledged: map[string]uint64{}, hasSlowDisks: seed%2 == 1}
	var ids []VoterID
	for i := range voterCount {
		ids = append(ids, VoterID(i+1))
	}
	for _, id := range ids {
		v := &voter{id: id, clockRate: 1 + w.timing.MaxDrift*(2*w.rng.Float64()-1), disk: NewDiskState(ids), isDiskSlow: w.hasSlowDisks && w.rng.Intn(3) == 0}
		w.voters = append(w.voters, v)
		w.start(v)
	}
	return w
}

func (w *cluster) clock(v *voter) int64 { return int64(float64(w.now-v.startedAt) * v.clockRate) }

// start starts a voter from its disk.
func (w *cluster) start(v *voter) {
	v.starts++
	diskState := v.disk
	diskState.Entries = slices.Clone(v.disk.Entries)
	node, err := NewNode(v.id, w.timing, diskState, w.rng.Int63())
	if err != nil {
		w.violation = err.Error()
		return
	}
	v.pendingWrites, v.isDiskHung = nil, false
	v.node, v.isUp, v.isPaused, v.startedAt, v.nextTick, v.applied = node, true, false, w.now, w.timing.Tick, map[uint64]bool{}
	v.lastApplied = v.disk.Snapshot.GetMetadata().GetIndex()
	if w.fault == earlyVotes {
		for range w.timing.ElectionTicks {
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
func (w *cluster) processReady(v *voter) {
	for v.isUp {
		ready, hasWork := v.node.Ready()
		if !hasWork {
			break
		}
		w.send(ready.Packets)
		if ready.Write != nil {
			v.pendingWrites = append(v.pendingWrites, ready.Write)
			if w.fault == sendsBeforeWrite {
				w.completeWrite(v, ready.Write)
			}
		}
		if w.mayCrash(v) {
			return
		}
		if !v.isDiskSlow && !v.isDiskHung {
			w.write(v, len(v.pendingWrites))
		}
	}
	snapshot, _ := v.node.storage.Snapshot()
	canCompact := v.isUp && v.node.IsActive() && v.node.AppliedIndex() > snapshot.GetMetadata().GetIndex()
	if canCompact && (v.node.confChanged || !w.noFaults && w.rng.Intn(400) == 0) {
		w.compact(v)
	}
}

// write completes up to most of the oldest pending writes.
func (w *cluster) write(v *voter, maxWrites int) {
	for n := 0; v.isUp && n < maxWrites && len(v.pendingWrites) > 0; n++ {
		write := v.pendingWrites[0]
		v.pendingWrites = v.pendingWrites[1:]
		v.disk.apply(write)
		if !w.mayCrash(v) && w.fault != sendsBeforeWrite {
			w.completeWrite(v, write)
		}
	}
}

func (w *cluster) completeWrite(v *voter, write *Write) {
	snapshot, commits, err := v.node.CompleteWrite(write)
	if err != nil {
		w.violation = err.Error()
	}
	if snapshot != nil {
		v.lastApplied = snapshot.GetMetadata().GetIndex()
	}
	for _, c := range commits {
		w.apply(v, c)
	}
}

func (w *cluster) compact(v *voter) {
	write, err := v.node.Compact([]byte("all"))
	if err != nil {
		w.violation = err.Error()
		return
	}
	v.pendingWrites = append(v.pendingWrites, write)
	if !v.isDiskSlow && !v.isDiskHung {
		w.write(v, len(v.pendingWrites))
	}
}

func (w *cluster) mayCrash(v *voter) bool {
	if !w.noFaults && w.rng.Intn(300) == 0 {
		v.isUp = false
	}
	return !v.isUp
}

// apply checks that all voters apply the same entry at an index.
func (w *cluster) apply(v *voter, c CommittedEntry) {
	record := string(c.Record)
	if c.Change != nil {
		record = "a change"
	}
	if previous, known := w.committed[c.Index]; known && previous != record {
		w.violation = fmt.Sprintf("entry %d is %q at voter %d, but was %q elsewhere", c.Index, record, v.id, previous)
	}
	w.committed[c.Index] = record
	v.lastApplied = c.Index
	if len(c.Record) > 0 && v.applied[0] && w.isActing(v) {
		w.acknowledged[record] = c.Index
	}
}

const maxInFlight = 300 // packets; further ones are dropped

func (w *cluster) send(packets []Packet) {
	for _, p := range packets {
		if w.fault == noPositions {
			p.Positions = nil
		}
		if !w.blockedLinks[[2]VoterID{p.From, p.To}] && len(w.inFlight) < maxInFlight {
			w.inFlight = append(w.inFlight, p)
		}
	}
}

// isActing reports whether a voter would act as leader now.
func (w *cluster) isActing(v *voter) bool {
	if !v.isUp || v.isPaused {
		return false
	}
	leaseEnd := v.node.LeaseEnd()
	if w.fault == actsBeforeApplied && v.node.IsActive() && v.node.isLeader {
		leaseEnd = w.clock(v) + 1
	}
	if w.fault == longLease && leaseEnd > 0 {
		leaseEnd += 3 * w.timing.Tick
	}
	return w.clock(v) < leaseEnd
}

// step executes one random event.
func (w *cluster) step() {
	v := w.voters[w.rng.Intn(len(w.voters))]
	switch n := w.rng.Intn(1000); {
	case n < 300:
		w.now += 1 + w.rng.Int63n(w.timing.Tick/2)
		w.tickDue()
	case n < 865:
		w.deliverOne()
	case n < 880:
		if !v.isDiskHung {
			w.write(v, 1+w.rng.Intn(3))
			w.processReady(v)
		}
	case n < 940:
		if w.isActing(v) {
			w.propose(v)
		}
	case n < 946:
		v.isUp = false
	case n < 956:
		if !v.isUp {
			w.start(v)
		}
	case n < 962:
		v.isPaused = true
	case n < 980:
		v.isPaused = false
	case n < 984:
		other := w.voters[w.rng.Intn(len(w.voters))]
		w.blockedLinks[[2]VoterID{v.id, other.id}] = true
	case n < 990:
		w.blockedLinks = map[[2]VoterID]bool{}
	case n < 992:
		copied := v.disk
		copied.Entries = slices.Clone(v.disk.Entries)
		v.oldDisk = &copied
	case n < 993:
		w.restoreOldDisk(v)
	case n < 994:
		v.isDiskHung = w.hasSlowDisks
	default:
		v.isDiskHung = false
	}
	w.checkInvariants()
}

// propose proposes a new record at an acting voter.
func (w *cluster) propose(v *voter) {
	w.proposed++
	v.applied[0] = true
	v.node.Propose(fmt.Appendf(nil, "r%d", w.proposed))
	w.processReady(v)
}

// restoreOldDisk replaces a voter's disk by an old copy. It does so at most once, and only while
// all peers are up to detect it; a council of one voter cannot.
func (w *cluster) restoreOldDisk(v *voter) {
	for _, peer := range w.voters {
		if !peer.isUp || peer != v && peer.node.RefusalReason() != "" {
			return
		}
	}
	if v.oldDisk != nil && w.restoredDisks == 0 && len(w.voters) > 1 {
		v.disk = *v.oldDisk
		w.restoredDisks++
		w.start(v)
	}
}

// tickDue ticks all voters whose tick is due. A voter that was paused makes up for one tick only.
func (w *cluster) tickDue() {
	for _, v := range w.voters {
		for v.isUp && !v.isPaused && w.clock(v) >= v.nextTick {
			v.nextTick += w.timing.Tick
			if delay := w.clock(v) - v.nextTick; delay > 0 {
				v.nextTick += delay / w.timing.Tick * w.timing.Tick
			}
			v.node.Tick(w.clock(v))
			w.processReady(v)
		}
	}
}

// deliverOne delivers a random packet, and occasionally duplicates or drops it.
func (w *cluster) deliverOne() {
	if len(w.inFlight) == 0 {
		return
	}
	index := w.rng.Intn(min(len(w.inFlight), 12))
	p := w.inFlight[index]
	outcome := w.rng.Intn(40)
	if outcome != 0 || len(w.inFlight) > 200 {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	v := w.voters[p.To-1]
	if outcome == 1 || !v.isUp {
		return
	}
	if v.isPaused {
		w.inFlight = append(w.inFlight, p)
		return
	}
	if err := v.node.Receive(p); err != nil {
		w.violation = err.Error()
	}
	w.processReady(v)
}

// checkInvariants checks that at most one voter acts, and that it has applied all acknowledged
// records.
func (w *cluster) checkInvariants() {
	var acting []VoterID
	for _, v := range w.voters {
		if !w.isActing(v) {
			continue
		}
		acting = append(acting, v.id)
		for record, index := range w.acknowledged {
			if index > v.lastApplied {
				w.violation = fmt.Sprintf("voter %d acts at entry %d without having applied %q, entry %d", v.id, v.lastApplied, record, index)
			}
		}
	}
	if len(acting) > 0 {
		w.actingSteps++
	}
	if len(acting) > 1 {
		w.violation = fmt.Sprintf("voters %v act at the same time", acting)
	}
}

// recover ends all faults and reports whether the council then commits records.
func (w *cluster) recover() bool {
	w.blockedLinks = map[[2]VoterID]bool{}
	w.fault, w.noFaults, w.inFlight = noFault, true, nil
	before := len(w.acknowledged)
	for range 40_000 {
		for _, v := range w.voters {
			v.isPaused, v.isDiskSlow, v.isDiskHung = false, false, false
			if !v.isUp {
				w.start(v)
			}
		}
		v := w.voters[w.rng.Intn(len(w.voters))]
		switch n := w.rng.Intn(10); {
		case n < 2:
			w.now += 1 + w.rng.Int63n(w.timing.Tick/2)
			w.tickDue()
		case n < 9:
			for range 10 {
				w.deliverOne()
			}
			w.write(v, len(v.pendingWrites))
			w.processReady(v)
		case w.isActing(v):
			w.propose(v)
		}
		w.checkInvariants()
		if w.violation != "" || len(w.acknowledged) > before+2 {
			return w.violation == ""
		}
	}
	return false
}

// run executes random steps and reports a panic in raft as a violation.
func (w *cluster) run(steps int) {
	defer func() {
		if r := recover(); r != nil {
			w.violation = fmt.Sprint("panic: ", r)
		}
	}()
	for range steps {
		if w.step(); w.violation != "" {
			return
		}
	}
}

// Guards against two voters acting at once, against lost, changed or reordered records, against a
// leader with stale state, and against a council that does not recover by itself.
func TestCouncilsInAnyOrder(t *testing.T) {
	actingSteps, acknowledged, refusedVoters := 0, 0, 0
	for seed := range int64(120) {
		w := newCluster(seed, []int{3, 5, 3, 7, 1}[seed%5], noFault)
		w.run(6000)
		require.Empty(t, w.violation, "seed %d", seed)
		require.True(t, w.recover(), "seed %d: the council did not recover: %s", seed, w.violation)
		actingSteps, acknowledged = actingSteps+w.actingSteps, acknowledged+len(w.acknowledged)
		for _, v := range w.voters {
			if v.node.RefusalReason() != "" {
				refusedVoters++
			}
		}
	}
	t.Logf("a voter acted at %d of %d steps; %d records; %d voters with old disks refused", actingSteps, 120*6000, acknowledged, refusedVoters)
	require.Greater(t, actingSteps, 120*6000/20)
	require.Greater(t, refusedVoters, 3)
}

// Guards against a random walk that misses deliberate faults.
func TestCouncilsWithPlantedFaults(t *testing.T) {
	for name, p := range map[string]fault{"a lease too long": longLease, "votes just after a start": earlyVotes,
		"sent before written": sendsBeforeWrite, "old disks accepted": noPositions,
		"acting before knowing": actsBeforeApplied} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(3000) {
				w := newCluster(seed, 3, p)
				if w.run(6000); w.violation != "" {
					t.Logf("found with seed %d: %s", seed, w.violation)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
