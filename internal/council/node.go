package council

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sedgespread/internal/failpoint"
)

// Node is the raft node of one voter. Its methods must not be called concurrently; after each call,
// call Ready until it reports no more work.
//
//	state      entered when                                  behaviour
//	starting   it is created                                 asks its peers for its last known log position; nothing else
//	active     all peers have replied, or a majority         takes part in the council, but grants no vote within
//	           (itself included) after 2 * ElectionTicks,    ElectionTicks of its start, since before a restart it may
//	           and its disk is not behind that position      have acknowledged a lease that still runs
//	refused    a peer knows a position beyond its disk       nothing, permanently: its voter ID must not vote again
type Node struct {
	id        VoterID
	timing    Timing
	rng       *rand.Rand
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	confState *raftpb.ConfState

	knownPositions     map[VoterID]LogPosition
	hasReplied         map[VoterID]bool
	isActive           bool
	refusalReason      string
	ticksSinceStart    int
	ticksWithoutLeader int // since the last message of a leader, or the last vote granted
	electionTimeout    int // ticks without a leader before it campaigns
	failedElections    int // campaigns since the last message of a leader

	durablePosition LogPosition // furthest position the disk has reached
	pendingPosition LogPosition // position of the disk once all pending writes are durable
	pendingWrites   int         // handed out by Ready or Compact and not completed
	stalledTicks    int         // ticks since a write last completed while writes are pending

	term         uint64
	leader       VoterID
	isLeader     bool
	appliedIndex uint64
	appliedTerm  uint64 // term of the last applied entry
	leaseEnd     int64  // by this voter's clock
	packets      []Packet
	hardState    *raftpb.HardState // as durable on disk
	confChanged  bool              // the configuration changed after the last snapshot
}

// Limits of the raft node.
const (
	maxMessageBytes      = 1 << 20
	maxInflightMessages  = 64
	maxUncommittedBytes  = 16 << 20
	compactAfterEntries  = 2048 // entries in the log before it is compacted
	retainedEntries      = 256  // entries kept for followers that lag slightly
	maxStalledElections  = 8    // multiples of ElectionTicks without a completed write
	maxElectionDoublings = 3    // cap on doublings of the election timeout after failed elections
)

// NewNode returns a node that resumes from diskState. The seed sets its random election timeouts.
func NewNode(id VoterID, timing Timing, diskState DiskState, seed int64) (*Node, error) {
	n := &Node{id: id, timing: timing, rng: rand.New(rand.NewSource(seed)), storage: raft.NewMemoryStorage(), hardState: diskState.HardState,
		knownPositions: map[VoterID]LogPosition{}, hasReplied: map[VoterID]bool{}, confState: &raftpb.ConfState{}, durablePosition: diskState.Position}
	maps.Copy(n.knownPositions, diskState.KnownPositions)
	if diskState.Snapshot != nil {
		if err := n.restore(diskState.Snapshot); err != nil {
			return nil, err
		}
	}
	if diskState.HardState != nil {
		n.storage.SetHardState(diskState.HardState)
	}
	if err := n.storage.Append(diskState.Entries); err != nil {
		return nil, err
	}
	last, _ := n.storage.LastIndex()
	term, _ := n.storage.Term(last)
	n.durablePosition = n.durablePosition.merge(LogPosition{Term: n.hardState.GetTerm(), LastTerm: term, LastIndex: last})
	n.pendingPosition = n.durablePosition
	var err error
	n.rawNode, err = raft.NewRawNode(&raft.Config{ID: uint64(id), ElectionTick: timing.ElectionTicks, HeartbeatTick: 1, Storage: n.storage,
		Applied: n.appliedIndex, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, AsyncStorageWrites: true,
		Logger: panicLogger{}})
	if err != nil {
		return nil, err
	}
	n.electionTimeout = n.randomElectionTimeout()
	n.tryActivate()
	return n, nil
}

// restore resets the configuration, the applied position and the storage to a snapshot.
func (n *Node) restore(snapshot *raftpb.Snapshot) error {
	meta := snapshot.GetMetadata()
	n.confState, n.appliedIndex, n.appliedTerm = meta.GetConfState(), meta.GetIndex(), meta.GetTerm()
	return n.storage.ApplySnapshot(snapshot)
}

// randomElectionTimeout returns a timeout in ticks whose range doubles with each failed election.
// An election needs two disk writes, and their duration on the peers is unknown.
func (n *Node) randomElectionTimeout() int {
	return n.timing.ElectionTicks + n.rng.Intn(n.timing.ElectionTicks<<min(n.failedElections, maxElectionDoublings))
}

// positions returns all known log positions, including its own durable one.
func (n *Node) positions() map[VoterID]LogPosition {
	positions := maps.Clone(n.knownPositions)
	positions[n.id] = positions[n.id].merge(n.durablePosition)
	return positions
}

// Voters returns the voters of the latest applied configuration, including outgoing ones of a joint
// configuration.
func (n *Node) Voters() (voters []VoterID) {
	for _, v := range slices.Concat(n.confState.GetVoters(), n.confState.GetVotersOutgoing()) {
		voters = append(voters, VoterID(v))
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}

func (n *Node) peers() (peers []VoterID) {
	for _, v := range n.Voters() {
		if v != n.id {
			peers = append(peers, v)
		}
	}
	return peers
}

// Tick advances the node by one tick. now is the time of this voter's monotonic clock in
// nanoseconds.
func (n *Node) Tick(now int64) {
	if n.refusalReason != "" {
		return
	}
	n.ticksSinceStart++
	if n.pendingWrites > 0 {
		n.stalledTicks++
	}
	switch {
	case !n.isActive:
		for _, v := range n.peers() {
			if !n.hasReplied[v] {
				n.packets = append(n.packets, Packet{From: n.id, To: v, IsQuery: true, Positions: n.positions()})
			}
		}
		n.tryActivate()
	case n.isLeader && n.IsDiskStalled():
		// Sends no heartbeats, so that the followers elect a leader whose disk works.
	case n.isLeader:
		n.rawNode.Tick()
		n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, uint64(now)))
	default:
		n.rawNode.TickQuiesced() // keeps raft's leader stickiness timer; campaigns are started below
		n.campaignIfTimedOut()
	}
}

// campaignIfTimedOut campaigns when no leader was heard for the election timeout. A voter with
// pending writes does not: its vote for itself would have to wait for them.
func (n *Node) campaignIfTimedOut() {
	if n.ticksWithoutLeader++; n.ticksWithoutLeader < n.electionTimeout || n.ticksSinceStart < n.timing.ElectionTicks || n.pendingWrites > 0 {
		return
	}
	n.failedElections++
	n.ticksWithoutLeader, n.electionTimeout = 0, n.randomElectionTimeout()
	n.rawNode.Campaign()
}

// IsDiskStalled reports whether pending writes have made no progress for maxStalledElections *
// ElectionTicks. Such a voter must not lead: with a hung disk but a working network its heartbeats
// would block elections.
func (n *Node) IsDiskStalled() bool {
	return n.stalledTicks > maxStalledElections*n.timing.ElectionTicks
}

// tryActivate makes the node active once enough peers have reported its last known position.
func (n *Node) tryActivate() {
	peers, replies := n.peers(), 0
	for _, v := range peers {
		if n.hasReplied[v] {
			replies++
		}
	}
	hasMajority := 2*(replies+1) > len(peers)+1
	if n.isActive || replies < len(peers) && !(hasMajority && n.ticksSinceStart >= 2*n.timing.ElectionTicks) {
		return
	}
	n.isActive = true
	n.checkPosition()
}

// checkPosition refuses a voter whose disk is behind the position that its peers know. A disk
// restored from an old copy could make it vote twice in a term, or lose entries that it had
// acknowledged.
func (n *Node) checkPosition() {
	if known := n.knownPositions[n.id]; n.refusalReason == "" && known.exceeds(n.durablePosition) && !failpoint.Active(failpoint.AcceptOldDisk) {
		n.refuse(fmt.Sprintf("the disk of voter %d is older than what it had told others: at term %d, entry %d of term %d; it had shown "+
			"term %d, entry %d of term %d", n.id, n.durablePosition.Term, n.durablePosition.LastIndex, n.durablePosition.LastTerm, known.Term, known.LastIndex, known.LastTerm))
	}
}

// refuse stops the node permanently, as its voter ID must not vote again.
func (n *Node) refuse(reason string) {
	n.refusalReason, n.isLeader, n.leader, n.packets = reason, false, 0, nil
}

// RefusalReason returns why this voter must not vote any more, or an empty string.
func (n *Node) RefusalReason() string { return n.refusalReason }

// IsActive reports whether the node takes part in the council.
func (n *Node) IsActive() bool { return n.isActive && n.refusalReason == "" }

// Receive handles a packet from a peer. A malformed or misdirected packet is an error and changes
// nothing.
func (n *Node) Receive(p Packet) error {
	if p.To != n.id || p.From == n.id {
		return fmt.Errorf("packet from voter %d to voter %d was received by voter %d", p.From, p.To, n.id)
	}
	messages := make([]*raftpb.Message, len(p.Messages))
	for i, data := range p.Messages {
		messages[i] = &raftpb.Message{}
		if err := proto.Unmarshal(data, messages[i]); err != nil {
			return err
		}
		if VoterID(messages[i].GetFrom()) != p.From || VoterID(messages[i].GetTo()) != n.id {
			return fmt.Errorf("message from voter %d to voter %d in a packet from voter %d", messages[i].GetFrom(), messages[i].GetTo(), p.From)
		}
	}
	for v, position := range p.Positions {
		n.knownPositions[v] = n.knownPositions[v].merge(position)
	}
	if n.refusalReason != "" {
		return nil
	}
	if p.IsQuery {
		n.packets = append(n.packets, Packet{From: n.id, To: p.From, IsReply: true, Positions: n.positions()})
	}
	if p.IsReply && !n.isActive {
		n.hasReplied[p.From] = true
		n.tryActivate()
	}
	if n.isActive {
		n.checkPosition()
	}
	for _, m := range messages {
		n.step(m)
	}
	return nil
}

// step passes a raft message to the raft node, if the lease and disk rules allow it.
func (n *Node) step(m *raftpb.Message) {
	if !n.isActive || n.refusalReason != "" {
		return
	}
	last, _ := n.storage.LastIndex()
	term := n.rawNode.BasicStatus().GetTerm()
	switch m.GetType() {
	case raftpb.MsgTimeoutNow:
		return // a leadership transfer would skip the wait for the lease that this voter acknowledged
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if n.ticksSinceStart < n.timing.ElectionTicks {
			return
		}
	case raftpb.MsgHeartbeat:
		if m.GetTerm() >= term && m.GetCommit() > last {
			n.refuse(fmt.Sprintf("the leader, voter %d, holds acknowledged by voter %d up to entry %d, and its disk ends at %d",
				m.GetFrom(), n.id, m.GetCommit(), last))
			return
		}
	}
	n.rawNode.Step(m)
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= term {
			n.ticksWithoutLeader, n.failedElections = 0, 0
		}
	}
}

// CommittedEntry is a committed log entry: a record, a configuration change, or an empty entry.
type CommittedEntry struct {
	Index  uint64
	Record []byte // empty if the entry has none
	Change *raftpb.ConfChangeV2
}

// Write is an atomic update of a voter's disk. Writes must be applied in the order in which they
// are handed out; several may be combined into one disk write.
type Write struct {
	HardState      *raftpb.HardState // nil if unchanged
	Snapshot       *raftpb.Snapshot  // nil if unchanged
	ReplacesLog    bool              // the snapshot came from the leader; drop all entries
	Entries        []*raftpb.Entry   // replace all entries from the first one's index on
	DropBefore     uint64            // index; drop all entries before it
	Position       LogPosition
	KnownPositions map[VoterID]LogPosition

	onWritten []*raftpb.Message // raft messages to deliver once the write is durable
	committed []*raftpb.Entry   // entries to apply once the write is durable
	onApplied []*raftpb.Message // raft messages to deliver once those are applied
}

// IsEmpty reports whether nothing has to be written. An empty write must still be completed in
// order.
func (w *Write) IsEmpty() bool { return w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 }

// Ready holds packets to send at once, and a write to pass to CompleteWrite when it is durable.
type Ready struct {
	Write   *Write // nil if there is none
	Packets []Packet
}

// Ready returns the pending work, and whether there is any.
func (n *Node) Ready() (ready Ready, hasWork bool) {
	ready.Packets, n.packets = n.packets, nil
	if n.IsActive() && n.rawNode.HasReady() {
		raftReady := n.rawNode.Ready()
		n.updateLeadership(raftReady)
		var messages []*raftpb.Message
		ready.Write, messages = n.splitReady(raftReady)
		ready.Packets = append(ready.Packets, n.buildPackets(messages)...)
		if ready.Write != nil {
			n.pendingWrites++
		}
	}
	return ready, ready.Write != nil || len(ready.Packets) > 0
}

// splitReady splits raft's ready work into a disk write and messages to send at once. Entries are
// handed out only after the peers' known positions are durable: otherwise a peer that acknowledged
// an entry could return with an old disk undetected.
func (n *Node) splitReady(ready raft.Ready) (write *Write, messages []*raftpb.Message) {
	w := &Write{}
	for _, m := range ready.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			write, w.onWritten = w, m.GetResponses()
		case raft.LocalApplyThread:
			write, w.committed, w.onApplied = w, m.GetEntries(), m.GetResponses()
		default:
			messages = append(messages, m)
		}
	}
	if write == nil {
		return nil, messages
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		w.HardState = ready.HardState
		n.pendingPosition = n.pendingPosition.merge(LogPosition{Term: w.HardState.GetTerm()})
		if w.HardState.GetVote() != n.hardState.GetVote() || w.HardState.GetTerm() != n.hardState.GetTerm() {
			n.ticksWithoutLeader = 0
		}
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		meta := ready.Snapshot.GetMetadata()
		w.Snapshot, w.ReplacesLog, w.DropBefore = ready.Snapshot, true, meta.GetIndex()+1
		n.pendingPosition = n.pendingPosition.merge(LogPosition{LastTerm: meta.GetTerm(), LastIndex: meta.GetIndex()})
	}
	if w.Entries = ready.Entries; len(w.Entries) > 0 {
		last := w.Entries[len(w.Entries)-1]
		n.pendingPosition = n.pendingPosition.merge(LogPosition{LastTerm: last.GetTerm(), LastIndex: last.GetIndex()})
	}
	w.Position, w.KnownPositions = n.pendingPosition, maps.Clone(n.knownPositions)
	return w, messages
}

// decodeEntry converts a raft entry to a CommittedEntry.
func decodeEntry(raftEntry *raftpb.Entry) CommittedEntry {
	entry := CommittedEntry{Index: raftEntry.GetIndex()}
	if raftEntry.GetType() == raftpb.EntryConfChangeV2 {
		entry.Change = &raftpb.ConfChangeV2{}
		if proto.Unmarshal(raftEntry.GetData(), entry.Change) != nil {
			entry.Change = nil
		}
		return entry
	}
	entry.Record = raftEntry.GetData()
	return entry
}

// buildPackets groups messages into one packet per recipient, in the order of each recipient's
// first message.
func (n *Node) buildPackets(messages []*raftpb.Message) (packets []Packet) {
	for _, message := range messages {
		data, err := proto.Marshal(message)
		if err != nil {
			continue // raft tolerates lost messages
		}
		to := VoterID(message.GetTo())
		index := slices.IndexFunc(packets, func(p Packet) bool { return p.To == to })
		if index < 0 {
			index, packets = len(packets), append(packets, Packet{From: n.id, To: to, Positions: n.positions()})
		}
		packets[index].Messages = append(packets[index].Messages, data)
	}
	return packets
}

// CompleteWrite reports that a write is durable. It returns a snapshot to restore, if any, and the
// entries to apply after it, and counts both as applied.
func (n *Node) CompleteWrite(w *Write) (snapshot *raftpb.Snapshot, committed []CommittedEntry, err error) {
	if n.stalledTicks, n.pendingWrites = 0, n.pendingWrites-1; n.refusalReason != "" {
		return nil, nil, nil
	}
	if w.ReplacesLog {
		if err := n.restore(w.Snapshot); err != nil {
			return nil, nil, err
		}
		snapshot = w.Snapshot
	}
	if err := n.storage.Append(w.Entries); err != nil {
		return nil, nil, err
	}
	if w.HardState != nil {
		n.hardState = w.HardState
		n.storage.SetHardState(w.HardState)
	}
	n.durablePosition = n.durablePosition.merge(w.Position)
	n.deliver(w.onWritten)
	for _, raftEntry := range w.committed {
		entry := decodeEntry(raftEntry)
		if entry.Change != nil {
			n.confState, n.confChanged = n.rawNode.ApplyConfChange(entry.Change), true
		}
		n.appliedIndex, n.appliedTerm = raftEntry.GetIndex(), raftEntry.GetTerm()
		committed = append(committed, entry)
	}
	n.deliver(w.onApplied)
	return snapshot, committed, nil
}

// deliver steps messages addressed to this voter and queues the others for sending.
func (n *Node) deliver(messages []*raftpb.Message) {
	var outgoing []*raftpb.Message
	for _, m := range messages {
		if VoterID(m.GetTo()) == n.id {
			n.rawNode.Step(m)
		} else {
			outgoing = append(outgoing, m)
		}
	}
	n.packets = append(n.packets, n.buildPackets(outgoing)...)
}

// updateLeadership updates the leader and the term, and extends the lease when a quorum has
// confirmed it.
func (n *Node) updateLeadership(ready raft.Ready) {
	status := n.rawNode.BasicStatus()
	if status.GetTerm() != n.term {
		n.term, n.leaseEnd = status.GetTerm(), 0
	}
	n.isLeader, n.leader = status.RaftState == raft.StateLeader, VoterID(status.Lead)
	for _, read := range ready.ReadStates {
		if n.isLeader && len(read.RequestCtx) == 8 {
			n.leaseEnd = max(n.leaseEnd, int64(binary.BigEndian.Uint64(read.RequestCtx))+n.timing.LeaderLease())
		}
	}
}

// Leader returns the leader that this voter knows, 0 if none.
func (n *Node) Leader() VoterID { return n.leader }

// Term returns the current term of this voter.
func (n *Node) Term() uint64 { return n.term }

// AppliedIndex returns the index of the last entry returned for applying.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// LeaseEnd returns when this voter's leader lease ends by its own clock, or 0 if it holds none. A
// lease holder has handed out all entries committed in earlier terms.
func (n *Node) LeaseEnd() int64 {
	if !n.IsActive() || !n.isLeader || n.appliedTerm != n.term {
		return 0
	}
	return n.leaseEnd
}

var errNotLeader = errors.New("this voter does not lead the council")

// Propose proposes a record. A nil error does not guarantee that it will be committed.
func (n *Node) Propose(record []byte) error {
	if !n.IsActive() || !n.isLeader || n.IsDiskStalled() {
		return errNotLeader
	}
	return n.rawNode.Propose(record)
}

// ChangeVoters proposes to add and remove voters in one step through a joint configuration. context
// is passed to every voter with the change.
func (n *Node) ChangeVoters(add, remove []VoterID, context []byte) error {
	if !n.IsActive() || !n.isLeader {
		return errNotLeader
	}
	if len(n.confState.GetVotersOutgoing()) > 0 {
		return errors.New("another change of who votes is under way")
	}
	voters := map[VoterID]bool{}
	for _, v := range n.Voters() {
		voters[v] = true
	}
	change := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(), Context: context}
	for _, v := range add {
		if v == 0 || voters[v] {
			return fmt.Errorf("voter %d is one already, or no number for one", v)
		}
		voters[v] = true
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(uint64(v))})
	}
	for _, v := range remove {
		if !voters[v] || slices.Contains(add, v) {
			return fmt.Errorf("voter %d is none", v)
		}
		delete(voters, v)
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(uint64(v))})
	}
	if err := validateVoterCount(len(voters)); err != nil {
		return err
	}
	return n.rawNode.ProposeConfChange(change)
}

// ReportUnreachable reports that sending a packet to a voter failed; it may have contained a
// snapshot.
func (n *Node) ReportUnreachable(v VoterID) {
	if n.IsActive() && n.isLeader {
		n.rawNode.ReportUnreachable(uint64(v))
		n.rawNode.ReportSnapshot(uint64(v), raft.SnapshotFailure)
	}
}

// NeedsCompaction reports whether Compact should be called: the log has grown too long, or the
// voters have changed since the last snapshot and a new voter could not restore it.
func (n *Node) NeedsCompaction() bool {
	first, err := n.storage.FirstIndex()
	return err == nil && (n.appliedIndex >= first+compactAfterEntries || n.confChanged)
}

// Compact drops applied entries from the log, except for the last retainedEntries, and returns the
// write of the snapshot that replaces them. data is the serialized state of the state machines.
func (n *Node) Compact(data []byte) (*Write, error) {
	snapshot, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState, data)
	if err != nil {
		return nil, err
	}
	n.confChanged = false
	n.pendingWrites++
	w := &Write{Snapshot: snapshot, DropBefore: n.appliedIndex - min(retainedEntries, n.appliedIndex-1), Position: n.pendingPosition, KnownPositions: maps.Clone(n.knownPositions)}
	if first, _ := n.storage.FirstIndex(); w.DropBefore > first {
		err = n.storage.Compact(w.DropBefore - 1)
	}
	return w, err
}
