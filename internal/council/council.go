// Package council replicates a log of records among a few drivers. It wraps the RawNode of
// go.etcd.io/raft and adds a leader lease that depends only on clock rates, protection against
// voters whose disks were restored from old copies, are slow or hang, and membership changes. It
// does no I/O, reads no clock and starts no goroutines: the caller passes in ticks, packets and
// completed writes, and gets back packets to send and writes to make durable.
//
// Without a quorum nothing is committed, and after the last lease has ended no voter acts as
// leader. The council recovers by itself when a quorum is back.
package council

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// VoterID identifies a voter and is never reused. 0 means none.
type VoterID uint64

// Timing holds the timing parameters of a council; they must be the same at all voters.
type Timing struct {
	Tick          int64   // nanoseconds between two calls of Node.Tick
	ElectionTicks int     // minimum election timeout in ticks, at least 4
	MaxDrift      float64 // bound on the rate error of any voter's clock, as a fraction
}

// LeaderLease returns how long a leader may act after it sent a heartbeat that a quorum
// acknowledged, by its own clock:
//
//	(ElectionTicks - 2) * Tick * (1 - MaxDrift) / (1 + MaxDrift)
//
// A voter that received a leader's message grants no other candidate its vote for ElectionTicks of
// its own ticks. The first tick may be due already, so at least ElectionTicks - 2 whole ticks pass,
// corrected for the drift of both clocks.
func (t Timing) LeaderLease() int64 {
	return int64(float64(t.ElectionTicks-2) * float64(t.Tick) * (1 - t.MaxDrift) / (1 + t.MaxDrift))
}

// LogPosition is the furthest term and log entry that a voter's disk is known to have held. A disk that
// is behind it was replaced by an older copy.
type LogPosition struct {
	Term      uint64 `json:"term"` // highest term seen or voted in
	LastTerm  uint64 `json:"last_term"`
	LastIndex uint64 `json:"last"` // highest acknowledged index of LastTerm
}

// exceeds reports whether p is ahead of other in its term or its last entry.
func (p LogPosition) exceeds(other LogPosition) bool {
	return p.Term > other.Term || p.LastTerm > other.LastTerm || p.LastTerm == other.LastTerm && p.LastIndex > other.LastIndex
}

// merge returns the maximum of two positions.
func (p LogPosition) merge(other LogPosition) LogPosition {
	next := p
	next.Term = max(p.Term, other.Term)
	if other.LastTerm > next.LastTerm || other.LastTerm == next.LastTerm && other.LastIndex > next.LastIndex {
		next.LastTerm, next.LastIndex = other.LastTerm, other.LastIndex
	}
	return next
}

// Packet is a message from one voter to another.
type Packet struct {
	From      VoterID                 `json:"from"`
	To        VoterID                 `json:"to"`
	Messages  [][]byte                `json:"messages,omitempty"` // encoded raft messages
	IsQuery   bool                    `json:"hello,omitempty"`    // From is starting and asks for its last known position
	IsReply   bool                    `json:"reply,omitempty"`    // reply to a query, with the answer in Positions
	Positions map[VoterID]LogPosition `json:"seen,omitempty"`     // positions that From knows
}

// DiskState is the durable state of a voter.
type DiskState struct {
	HardState      *raftpb.HardState // nil on a new disk
	Snapshot       *raftpb.Snapshot  // nil on the new disk of a joining voter
	Entries        []*raftpb.Entry
	Position       LogPosition             // furthest position this disk has reached
	KnownPositions map[VoterID]LogPosition // of the voters, as this voter knows them
}

// NewDiskState returns the initial durable state of each voter of a new council.
func NewDiskState(voters []VoterID) DiskState {
	initial := uint64(1)
	confState := &raftpb.ConfState{}
	for _, v := range slices.Sorted(slices.Values(voters)) {
		confState.Voters = append(confState.Voters, uint64(v))
	}
	return DiskState{HardState: &raftpb.HardState{Term: &initial, Commit: &initial},
		Snapshot: &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{ConfState: confState, Index: &initial, Term: &initial}}}
}

// validateVoterCount rejects even sizes, which tolerate no more failures than the next smaller odd
// size, and large ones.
func validateVoterCount(voters int) error {
	if voters != 1 && voters != 3 && voters != 5 && voters != 7 {
		return fmt.Errorf("%d voters: a council has 1, 3, 5 or 7", voters)
	}
	return nil
}
