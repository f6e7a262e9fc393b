package council

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"
)

// calm lets a world run without troubles until something holds.
func (w *world) calm(t *testing.T, what string, ok func() bool) {
	for range 20_000 {
		if ok() {
			return
		}
		if w.rng.Intn(5) == 0 {
			w.now++
			w.ticks()
		} else if len(w.air) > 0 {
			p := w.air[0]
			w.air = w.air[1:]
			if v := w.voters[p.To-1]; v.up && !v.still {
				require.NoError(t, v.seat.Receive(p))
				w.work(v)
			}
		} else {
			for _, v := range w.voters {
				if v.slow && !v.hung && w.rng.Intn(40) == 0 {
					w.write(v, len(v.writes))
					w.work(v)
				}
			}
		}
		require.Empty(t, w.broken)
	}
	t.Fatal(what)
}

func (w *world) acting() *voter {
	for _, v := range w.voters {
		if w.acts(v) {
			return v
		}
	}
	return nil
}

func calmWorld(t *testing.T, voters int) *world { return calmWorldOf(t, 11, voters) }

func calmWorldOf(t *testing.T, seed int64, voters int) *world {
	w := newWorld(seed, voters, sound)
	w.calmly = true
	w.calm(t, "nobody acts", func() bool { return w.acting() != nil })
	return w
}

// The bound on a tenure, as its formula says.
func TestLeaderLease(t *testing.T) {
	p := Timing{Tick: 1000, ElectionTicks: 10, MaxDrift: 0.01}
	require.EqualValues(t, 7841, p.LeaderLease())
	require.Less(t, float64(p.LeaderLease())/(1-p.MaxDrift), float64(p.ElectionTicks-2)*float64(p.Tick)/(1+p.MaxDrift), "by any two clocks")
}

// Guards against a voter that lost its disk and votes as if it had not.
func TestOldOrEmptyDiskIsRefused(t *testing.T) {
	for lag := range VoterID(2) { // the leader itself, and one that follows it
		loses(t, lag)
	}
}

func loses(t *testing.T, lag VoterID) {
	w := calmWorld(t, 3)
	lead := w.acting()
	lost := w.voters[(lead.id-1+lag)%3]
	old := lost.disk
	for range 5 {
		require.NoError(t, lead.seat.Propose([]byte("x")))
		w.work(lead)
	}
	w.calm(t, "not recorded", func() bool { return lost.last >= lead.last && lead.last > 5 })
	for _, disk := range []DiskState{old, NewDiskState([]VoterID{1, 2, 3})} {
		whole := lost.disk
		lost.disk = disk
		w.start(lost)
		w.calm(t, "not refused", func() bool { return lost.seat.RefusalReason() != "" })
		require.Contains(t, lost.seat.RefusalReason(), "is older than what it had told")
		require.False(t, lost.seat.IsActive())
		lost.disk = whole
		w.start(lost)
		w.calm(t, "not sworn again", func() bool { return lost.seat.IsActive() })
	}
	w.calm(t, "the others do not go on", func() bool { return w.acting() != nil })
}

// Guards against evidence that comes only when a voter has begun already.
func TestOldDiskIsRefusedAfterActivation(t *testing.T) {
	w := calmWorld(t, 3)
	v := w.voters[0]
	require.True(t, v.seat.IsActive())
	require.NoError(t, v.seat.Receive(Packet{From: 2, To: 1, Positions: map[VoterID]LogPosition{1: {Term: 1, LastTerm: 1, LastIndex: 1}}}))
	require.True(t, v.seat.IsActive(), "no more than it has")
	require.NoError(t, v.seat.Receive(Packet{From: 2, To: 1, Positions: map[VoterID]LogPosition{1: {Term: 900}}}))
	require.False(t, v.seat.IsActive())
	require.Error(t, v.seat.Propose([]byte("x")))
	require.Zero(t, v.seat.LeaseEnd())
}

// Guards against packets that went astray, or can't be read.
func TestInvalidPacketsAreRejected(t *testing.T) {
	w := calmWorld(t, 3)
	v := w.voters[0]
	require.ErrorContains(t, v.seat.Receive(Packet{From: 2, To: 3}), "came to 1")
	require.ErrorContains(t, v.seat.Receive(Packet{From: 1, To: 1}), "came to 1")
	require.Error(t, v.seat.Receive(Packet{From: 2, To: 1, Messages: [][]byte{{0xff}}}))
	forged, err := proto.Marshal(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: proto.Uint64(3), To: proto.Uint64(1)})
	require.NoError(t, err)
	require.ErrorContains(t, v.seat.Receive(Packet{From: 2, To: 1, Messages: [][]byte{forged}}), "in a packet from 2")
}

// Guards against a council that can't be mended: a voter lost for good is replaced, all at once, and the new one learns all.
func TestVoterReplacement(t *testing.T) {
	w := calmWorld(t, 3)
	lead := w.acting()
	gone := w.voters[lead.id%3]
	gone.up = false
	require.NoError(t, lead.seat.Propose([]byte("before")))
	w.work(lead)
	require.ErrorContains(t, lead.seat.ChangeVoters([]VoterID{4}, nil, nil), "a council has 1, 3, 5 or 7")
	require.ErrorContains(t, lead.seat.ChangeVoters([]VoterID{lead.id}, nil, nil), "is one already")
	require.ErrorContains(t, lead.seat.ChangeVoters(nil, []VoterID{9}, nil), "is none")
	fresh := &voter{id: 4, rate: 1}
	w.voters = append(w.voters, fresh)
	w.start(fresh)
	require.NoError(t, lead.seat.ChangeVoters([]VoterID{4}, []VoterID{gone.id}, []byte("said")))
	w.work(lead)
	want := []VoterID{1, 2, 3, 4}
	want = append(want[:gone.id-1], want[gone.id:]...)
	w.calm(t, "not replaced", func() bool {
		return fresh.last == lead.last && lead.seat.others() != nil && len(lead.seat.Voters()) == 3
	})
	require.Equal(t, want, lead.seat.Voters())
	w.calm(t, "the new one does not know", func() bool { return len(fresh.seat.Voters()) == 3 })
	require.Equal(t, want, fresh.seat.Voters())
	other := w.voters[0]
	for _, v := range w.voters {
		if v != lead && v != fresh && v != gone {
			other = v
		}
	}
	other.up = false
	at := lead.last
	require.NoError(t, lead.seat.Propose([]byte("after")))
	w.work(lead)
	w.calm(t, "the new one's voice does not count", func() bool { return lead.last > at })
}

// Guards against a log that grows for ever, and a voter that comes back to a log that was cut.
func TestLogCompaction(t *testing.T) {
	w := calmWorld(t, 3)
	lead := w.acting()
	away := w.voters[lead.id%3]
	away.up = false
	for range compactAfter + 10 {
		require.NoError(t, lead.seat.Propose([]byte("x")))
		w.work(lead)
		w.calm(t, "not recorded", func() bool { return len(w.air) == 0 })
	}
	require.True(t, lead.seat.NeedsCompaction())
	w.compact(lead)
	require.False(t, lead.seat.NeedsCompaction())
	require.LessOrEqual(t, len(lead.disk.Entries), compactLeaves+1)
	w.start(away)
	w.calm(t, "it does not come back", func() bool { return away.seat.AppliedIndex() == lead.seat.AppliedIndex() })
	w.start(lead)
	w.calm(t, "nobody acts", func() bool { return w.acting() != nil })
}

// Guards against disks so slow that a write takes longer than a voter waits for a leader: heartbeats don't wait for them, and
// whoever looks for a leader in vain looks more seldom.
func TestSlowDisks(t *testing.T) {
	w := newWorld(12, 3, sound)
	w.calmly = true
	for _, v := range w.voters {
		v.slow = true
	}
	late := w.slowly(3 * w.pace.LeaderLease())
	late(t, "nobody acts", 200, func() bool { return w.acting() != nil })
	lead := w.acting()
	for n := range 5 {
		at := lead.last
		require.NoError(t, lead.seat.Propose(fmt.Appendf(nil, "%d", n)))
		w.work(lead)
		late(t, "not recorded", 20, func() bool {
			require.Equal(t, lead, w.acting(), "a leader is lost by nothing but a slow disk")
			return lead.last > at
		})
	}
}

// slowly lets a world run with disks that take a time for each write, for so many of these at the most.
func (w *world) slowly(write int64) func(t *testing.T, what string, most int64, ok func() bool) {
	due := map[*voter]int64{}
	return func(t *testing.T, what string, most int64, ok func() bool) {
		for end := w.now + most*write; !ok(); {
			require.Less(t, w.now, end, what)
			w.now++
			w.ticks()
			for len(w.air) > 0 {
				w.deliver()
			}
			for _, v := range w.voters {
				switch {
				case v.hung || len(v.writes) == 0:
					due[v] = 0
				case due[v] == 0:
					due[v] = w.now + write
				case w.now >= due[v]:
					due[v] = 0
					w.write(v, len(v.writes))
					w.work(v)
				}
			}
			require.Empty(t, w.broken)
		}
	}
}

// Guards against a leader that can record nothing, since its disk hangs, and keeps all others from it with its heartbeats:
//
//	another acts within (bearsStalled + 4) * Election ticks after its disk was asked first
//
// And against a record that is given out before the leader's disk has what it knows of those that it rests on.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	worst, bound := int64(0), int64(bearsStalled+4)*int64(walkPace.ElectionTicks)*walkPace.Tick
	for seed := range int64(40) {
		worst = max(worst, followed(t, calmWorldOf(t, 2*seed, 3)))
	}
	t.Logf("followed after %d of %d at the most", worst, bound)
	require.LessOrEqual(t, worst, bound)
}

// followed is how long it takes until another acts in place of the leader, whose disk hangs.
func followed(t *testing.T, w *world) (after int64) {
	lead := w.acting()
	lead.slow, lead.hung = true, true
	at, begun := lead.last, w.now
	require.NoError(t, lead.seat.Propose([]byte("hung")))
	w.work(lead)
	w.calm(t, "its records are on the others' disks", func() bool {
		on := 0
		for _, v := range w.voters {
			if n := len(v.disk.Entries); v != lead && n > 0 && string(v.disk.Entries[n-1].GetData()) == "hung" {
				on++
			}
		}
		return on == 2
	})
	w.calm(t, "nobody follows it", func() bool {
		require.Equal(t, at, lead.last)
		return w.acting() != nil && w.acting() != lead
	})
	after = w.now - begun
	require.Error(t, lead.seat.Propose([]byte("more")))
	lead.hung = false
	w.calm(t, "it comes back", func() bool { return lead.last == w.acting().last && lead.last > at })
	return after
}

// Guards against a sound disk that is refused: entries that a voter had acknowledged were replaced by a newer leader's, and it
// crashed half-way.
func TestDiskWithOverwrittenTailIsAccepted(t *testing.T) {
	one, three := uint64(1), uint64(3)
	kept := NewDiskState([]VoterID{1, 2, 3})
	kept.HardState = &raftpb.HardState{Term: &three, Commit: &one}
	shown := Packet{From: 2, To: 1, IsReply: true, Positions: map[VoterID]LogPosition{1: {Term: 3, LastTerm: 2, LastIndex: 9}}}
	for _, reached := range []LogPosition{{Term: 3, LastTerm: 2, LastIndex: 9}, {}} {
		kept.Position = reached
		s, err := NewNode(1, walkPace, kept, 1)
		require.NoError(t, err)
		require.NoError(t, s.Receive(shown))
		shown.From = 3
		require.NoError(t, s.Receive(shown))
		shown.From = 2
		require.Equal(t, reached.Term == 0, s.RefusalReason() != "", s.RefusalReason())
	}
}
