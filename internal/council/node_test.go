package council

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"
)

// runUntil runs the cluster without faults until isDone returns true.
func (c *testCluster) runUntil(t *testing.T, failure string, isDone func() bool) {
	for range 20_000 {
		if isDone() {
			return
		}
		if c.rng.Intn(5) == 0 {
			c.now++
			c.tickDue()
		} else if len(c.inFlight) > 0 {
			p := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			if v := c.voters[p.To-1]; v.isUp && !v.isPaused {
				require.NoError(t, v.node.Receive(p))
				c.processReady(v)
			}
		} else {
			for _, v := range c.voters {
				if v.isDiskSlow && !v.isDiskHung && c.rng.Intn(40) == 0 {
					c.write(v, len(v.pendingWrites))
					c.processReady(v)
				}
			}
		}
		require.Empty(t, c.violation)
	}
	t.Fatal(failure)
}

func (c *testCluster) actingVoter() *voter {
	for _, v := range c.voters {
		if c.isActing(v) {
			return v
		}
	}
	return nil
}

func newSettledCluster(t *testing.T, voters int) *testCluster {
	return newSettledClusterWithSeed(t, 11, voters)
}

func newSettledClusterWithSeed(t *testing.T, seed int64, voters int) *testCluster {
	cluster := newCluster(seed, voters, noFault)
	cluster.noFaults = true
	cluster.runUntil(t, "no voter acts as leader", func() bool { return cluster.actingVoter() != nil })
	return cluster
}

func TestLeaderLease(t *testing.T) {
	timing := Timing{Tick: 1000, ElectionTicks: 10, MaxDrift: 0.01}
	require.EqualValues(t, 7841, timing.LeaderLease())
	require.Less(t, float64(timing.LeaderLease())/(1-timing.MaxDrift), float64(timing.ElectionTicks-2)*float64(timing.Tick)/(1+timing.MaxDrift), "lease outlasts the time without votes with clocks at opposite ends of the drift")
}

// Guards against a voter that votes after it lost its disk or got an old copy back.
func TestOldOrEmptyDiskIsRefused(t *testing.T) {
	for offset := range VoterID(2) { // the leader and a follower
		testStaleDiskRefused(t, offset)
	}
}

func testStaleDiskRefused(t *testing.T, offset VoterID) {
	cluster := newSettledCluster(t, 3)
	leader := cluster.actingVoter()
	victim := cluster.voters[(leader.id-1+offset)%3]
	stale := victim.disk
	for range 5 {
		require.NoError(t, leader.node.Propose([]byte("x")))
		cluster.processReady(leader)
	}
	cluster.runUntil(t, "the record is not committed", func() bool { return victim.lastApplied >= leader.lastApplied && leader.lastApplied > 5 })
	for _, disk := range []DiskState{stale, NewDiskState([]VoterID{1, 2, 3})} {
		current := victim.disk
		victim.disk = disk
		cluster.start(victim)
		cluster.runUntil(t, "the voter is not refused", func() bool { return victim.node.RefusalReason() != "" })
		require.Contains(t, victim.node.RefusalReason(), "is older than what it had told")
		require.False(t, victim.node.IsActive())
		victim.disk = current
		cluster.start(victim)
		cluster.runUntil(t, "the voter is not active with its current disk", func() bool { return victim.node.IsActive() })
	}
	cluster.runUntil(t, "the remaining voters elect no leader", func() bool { return cluster.actingVoter() != nil })
}

// Guards against a stale disk that is discovered only after the voter became active.
func TestOldDiskIsRefusedAfterActivation(t *testing.T) {
	cluster := newSettledCluster(t, 3)
	v := cluster.voters[0]
	require.True(t, v.node.IsActive())
	require.NoError(t, v.node.Receive(Packet{From: 2, To: 1, Positions: map[VoterID]LogPosition{1: {Term: 1, LastTerm: 1, LastIndex: 1}}}))
	require.True(t, v.node.IsActive(), "the reported position is not ahead of its disk")
	require.NoError(t, v.node.Receive(Packet{From: 2, To: 1, Positions: map[VoterID]LogPosition{1: {Term: 900}}}))
	require.False(t, v.node.IsActive())
	require.Error(t, v.node.Propose([]byte("x")))
	require.Zero(t, v.node.LeaseEnd())
}

// Guards against misdirected and malformed packets.
func TestInvalidPacketsAreRejected(t *testing.T) {
	cluster := newSettledCluster(t, 3)
	v := cluster.voters[0]
	require.ErrorContains(t, v.node.Receive(Packet{From: 2, To: 3}), "received by voter 1")
	require.ErrorContains(t, v.node.Receive(Packet{From: 1, To: 1}), "received by voter 1")
	require.Error(t, v.node.Receive(Packet{From: 2, To: 1, Messages: [][]byte{{0xff}}}))
	forged, err := proto.Marshal(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: proto.Uint64(3), To: proto.Uint64(1)})
	require.NoError(t, err)
	require.ErrorContains(t, v.node.Receive(Packet{From: 2, To: 1, Messages: [][]byte{forged}}), "in a packet from voter 2")
}

// Guards against a council that cannot replace a lost voter in one change, or whose new voter does
// not catch up.
func TestVoterReplacement(t *testing.T) {
	cluster := newSettledCluster(t, 3)
	leader := cluster.actingVoter()
	removed := cluster.voters[leader.id%3]
	removed.isUp = false
	require.NoError(t, leader.node.Propose([]byte("before")))
	cluster.processReady(leader)
	require.ErrorContains(t, leader.node.ChangeVoters([]VoterID{4}, nil, nil), "a council has 1, 3, 5 or 7")
	require.ErrorContains(t, leader.node.ChangeVoters([]VoterID{leader.id}, nil, nil), "is one already")
	require.ErrorContains(t, leader.node.ChangeVoters(nil, []VoterID{9}, nil), "is none")
	added := &voter{id: 4, clockRate: 1}
	cluster.voters = append(cluster.voters, added)
	cluster.start(added)
	require.NoError(t, leader.node.ChangeVoters([]VoterID{4}, []VoterID{removed.id}, []byte("said")))
	cluster.processReady(leader)
	want := []VoterID{1, 2, 3, 4}
	want = append(want[:removed.id-1], want[removed.id:]...)
	cluster.runUntil(t, "the voter is not replaced", func() bool {
		return added.lastApplied == leader.lastApplied && leader.node.peers() != nil && len(leader.node.Voters()) == 3
	})
	require.Equal(t, want, leader.node.Voters())
	cluster.runUntil(t, "the added voter does not learn the new configuration", func() bool { return len(added.node.Voters()) == 3 })
	require.Equal(t, want, added.node.Voters())
	other := cluster.voters[0]
	for _, v := range cluster.voters {
		if v != leader && v != added && v != removed {
			other = v
		}
	}
	other.isUp = false
	lastApplied := leader.lastApplied
	require.NoError(t, leader.node.Propose([]byte("after")))
	cluster.processReady(leader)
	cluster.runUntil(t, "the added voter does not count towards the quorum", func() bool { return leader.lastApplied > lastApplied })
}

// Guards against a log that grows without bound, and a lagging voter that cannot catch up from a
// snapshot.
func TestLogCompaction(t *testing.T) {
	cluster := newSettledCluster(t, 3)
	leader := cluster.actingVoter()
	lagging := cluster.voters[leader.id%3]
	lagging.isUp = false
	for range compactAfterEntries + 10 {
		require.NoError(t, leader.node.Propose([]byte("x")))
		cluster.processReady(leader)
		cluster.runUntil(t, "the record is not committed", func() bool { return len(cluster.inFlight) == 0 })
	}
	require.True(t, leader.node.NeedsCompaction())
	cluster.compact(leader)
	require.False(t, leader.node.NeedsCompaction())
	require.LessOrEqual(t, len(leader.disk.Entries), retainedEntries+1)
	cluster.start(lagging)
	cluster.runUntil(t, "the lagging voter does not catch up", func() bool { return lagging.node.AppliedIndex() == leader.node.AppliedIndex() })
	cluster.start(leader)
	cluster.runUntil(t, "no voter acts as leader", func() bool { return cluster.actingVoter() != nil })
}

// Guards against leader changes when a disk write takes longer than the election timeout:
// heartbeats must not wait for writes, and candidates must back off.
func TestSlowDisks(t *testing.T) {
	cluster := newCluster(12, 3, noFault)
	cluster.noFaults = true
	for _, v := range cluster.voters {
		v.isDiskSlow = true
	}
	runUntil := cluster.withWriteDelay(3 * cluster.timing.LeaderLease())
	runUntil(t, "no voter acts as leader", 200, func() bool { return cluster.actingVoter() != nil })
	leader := cluster.actingVoter()
	for n := range 5 {
		lastApplied := leader.lastApplied
		require.NoError(t, leader.node.Propose(fmt.Appendf(nil, "%d", n)))
		cluster.processReady(leader)
		runUntil(t, "the record is not committed", 20, func() bool {
			require.Equal(t, leader, cluster.actingVoter(), "slow disks alone must not change the leader")
			return leader.lastApplied > lastApplied
		})
	}
}

// withWriteDelay returns a function that runs the cluster with disks that need delay per write
// until isDone returns true, for at most maxDelays delays.
func (c *testCluster) withWriteDelay(delay int64) func(t *testing.T, failure string, maxDelays int64, isDone func() bool) {
	dueAt := map[*voter]int64{}
	return func(t *testing.T, failure string, maxDelays int64, isDone func() bool) {
		for end := c.now + maxDelays*delay; !isDone(); {
			require.Less(t, c.now, end, failure)
			c.now++
			c.tickDue()
			for len(c.inFlight) > 0 {
				c.deliverOne()
			}
			for _, v := range c.voters {
				switch {
				case v.isDiskHung || len(v.pendingWrites) == 0:
					dueAt[v] = 0
				case dueAt[v] == 0:
					dueAt[v] = c.now + delay
				case c.now >= dueAt[v]:
					dueAt[v] = 0
					c.write(v, len(v.pendingWrites))
					c.processReady(v)
				}
			}
			require.Empty(t, c.violation)
		}
	}
}

// Guards against a leader with a hung disk that blocks elections with its heartbeats. Another voter
// must act within (maxStalledElections + 4) * ElectionTicks ticks of the first pending write. Also
// guards against entries that are handed out before the leader's disk holds the positions of the
// voters that acknowledged them.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	worst, bound := int64(0), int64(maxStalledElections+4)*int64(testTiming.ElectionTicks)*testTiming.Tick
	for seed := range int64(40) {
		worst = max(worst, timeToFailover(t, newSettledClusterWithSeed(t, 2*seed, 3)))
	}
	t.Logf("longest failover took %d, bound %d", worst, bound)
	require.LessOrEqual(t, worst, bound)
}

// timeToFailover returns how long it takes until another voter acts after the leader's disk hangs.
func timeToFailover(t *testing.T, cluster *testCluster) (elapsed int64) {
	leader := cluster.actingVoter()
	leader.isDiskSlow, leader.isDiskHung = true, true
	lastApplied, start := leader.lastApplied, cluster.now
	require.NoError(t, leader.node.Propose([]byte("hung")))
	cluster.processReady(leader)
	cluster.runUntil(t, "the record is not on the followers' disks", func() bool {
		copies := 0
		for _, v := range cluster.voters {
			if n := len(v.disk.Entries); v != leader && n > 0 && string(v.disk.Entries[n-1].GetData()) == "hung" {
				copies++
			}
		}
		return copies == 2
	})
	cluster.runUntil(t, "no other voter acts as leader", func() bool {
		require.Equal(t, lastApplied, leader.lastApplied)
		return cluster.actingVoter() != nil && cluster.actingVoter() != leader
	})
	elapsed = cluster.now - start
	require.Error(t, leader.node.Propose([]byte("more")))
	leader.isDiskHung = false
	cluster.runUntil(t, "the former leader does not catch up", func() bool {
		return leader.lastApplied == cluster.actingVoter().lastApplied && leader.lastApplied > lastApplied
	})
	return elapsed
}

// Guards against refusing an intact disk whose acknowledged tail was being overwritten by a newer
// leader when the voter crashed.
func TestDiskWithOverwrittenTailIsAccepted(t *testing.T) {
	commitIndex, term := uint64(1), uint64(3)
	diskState := NewDiskState([]VoterID{1, 2, 3})
	diskState.HardState = &raftpb.HardState{Term: &term, Commit: &commitIndex}
	reply := Packet{From: 2, To: 1, IsReply: true, Positions: map[VoterID]LogPosition{1: {Term: 3, LastTerm: 2, LastIndex: 9}}}
	for _, position := range []LogPosition{{Term: 3, LastTerm: 2, LastIndex: 9}, {}} {
		diskState.Position = position
		node, err := NewNode(1, testTiming, diskState, 1)
		require.NoError(t, err)
		require.NoError(t, node.Receive(reply))
		reply.From = 3
		require.NoError(t, node.Receive(reply))
		reply.From = 2
		require.Equal(t, position.Term == 0, node.RefusalReason() != "", node.RefusalReason())
	}
}
