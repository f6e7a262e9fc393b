// Package council is how a few drivers agree on one log of records. It drives the step function of go.etcd.io/raft and
// adds what this program needs on top: a leader's tenure in terms of clock rates alone, voters whose disks have come back
// old, are slow or stand still, and who votes. It does no I/O, reads no clock and starts no goroutine: ticks, packets and
// what the disk has written come in; packets to send at once and writes for the disk go out, and what rests on a write
// goes out once that is said to be written. docs/fleet.md weighs the ways.
//
// What goes on without a quorum: nothing new is recorded, and nobody has a tenure once the last one is over, so no lease
// is given and drivers act on those they hold until their end. A quorum that comes back elects by itself and goes on.
package council

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// VoterID is a voter's number, never used again for another. 0 is nobody.
type VoterID uint64

// Timing is how a council counts time.
type Timing struct {
	Tick          int64   // nanoseconds between two calls of Seat.Tick
	ElectionTicks int     // a leader is looked for after so many ticks without one at the earliest, at least 4
	MaxDrift      float64 // the most by which any voter's clock runs fast or slow, as a part of 1
}

// LeaderLease is how long a leader may act for the council after it sent what a quorum has acknowledged, by its own clock:
//
//	(Election - 2) * Tick * (1 - Drift) / (1 + Drift)
//
// A voter that took in a leader's message gives nobody else its vote for Election of its own ticks. The first of them may
// have been due already when the message was taken in, and the next follow at a ticker's pace, so that Election - 2 whole
// ticks pass at the least, each shorter by the drift of the voter's clock and longer by that of the leader's.
func (p Timing) LeaderLease() int64 {
	return int64(float64(p.ElectionTicks-2) * float64(p.Tick) * (1 - p.MaxDrift) / (1 + p.MaxDrift))
}

// LogPosition is how far a voter's disk was when it last showed others: what it must hold whenever it comes back.
type LogPosition struct {
	Term      uint64 `json:"term"` // that it has seen, or voted in
	LastTerm  uint64 `json:"last_term"`
	LastIndex uint64 `json:"last"` // of the entry of LastTerm that it acknowledged
}

// ahead tells whether a disk that is at s lacks something that a voter had shown.
func (shown LogPosition) ahead(s LogPosition) bool {
	return shown.Term > s.Term || shown.LastTerm > s.LastTerm || shown.LastTerm == s.LastTerm && shown.LastIndex > s.LastIndex
}

// joined is the most of two.
func (shown LogPosition) joined(s LogPosition) LogPosition {
	next := shown
	next.Term = max(shown.Term, s.Term)
	if s.LastTerm > next.LastTerm || s.LastTerm == next.LastTerm && s.LastIndex > next.LastIndex {
		next.LastTerm, next.LastIndex = s.LastTerm, s.LastIndex
	}
	return next
}

// Packet is what one voter sends another.
type Packet struct {
	From      VoterID                 `json:"from"`
	To        VoterID                 `json:"to"`
	Messages  [][]byte                `json:"messages,omitempty"` // of raft
	IsQuery   bool                    `json:"hello,omitempty"`    // From has started: what is known of it?
	IsReply   bool                    `json:"reply,omitempty"`    // the answer is in Seen
	Positions map[VoterID]LogPosition `json:"seen,omitempty"`     // what From knows that voters have shown
}

// DiskState is what a voter's disk holds.
type DiskState struct {
	HardState      *raftpb.HardState // nil on a new disk
	Snapshot       *raftpb.Snapshot  // nil on the new disk of a voter that joins
	Entries        []*raftpb.Entry
	Position       LogPosition             // how far this voter's disk ever was
	KnownPositions map[VoterID]LogPosition // what others have shown
}

// NewDiskState is the new disk of a voter of a council that begins with these voters, the same at each of them.
func NewDiskState(voters []VoterID) DiskState {
	one := uint64(1)
	conf := &raftpb.ConfState{}
	for _, v := range slices.Sorted(slices.Values(voters)) {
		conf.Voters = append(conf.Voters, uint64(v))
	}
	return DiskState{HardState: &raftpb.HardState{Term: &one, Commit: &one},
		Snapshot: &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}}}
}

// Sizes of a council that are worth having: an even one bears no more losses than the odd one below it.
func sizeAllowed(voters int) error {
	if voters != 1 && voters != 3 && voters != 5 && voters != 7 {
		return fmt.Errorf("%d voters: a council has 1, 3, 5 or 7", voters)
	}
	return nil
}
