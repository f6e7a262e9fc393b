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

	"sedgespread/internal/planted"
)

// Node is one voter. Its methods are to be called one after another; after each, Work until there is none.
//
//	state     it becomes this when                               what it does
//	asking    it has started                                     asks the others how far it was; nothing else
//	sworn     all others have answered, or a majority with its   all that a voter does, but gives no vote within Election
//	          own and 2 * Election ticks have passed, and its    ticks of its start: before it, it may have been a quorum's
//	          disk lacks nothing that it had shown               part in a tenure
//	refused   somebody knows that its disk lacks what it had     nothing, for good: its number may not vote any more
//	          shown
type Node struct {
	id    VoterID
	pace  Timing
	rng   *rand.Rand
	node  *raft.RawNode
	store *raft.MemoryStorage
	conf  *raftpb.ConfState

	seen     map[VoterID]LogPosition
	answered map[VoterID]bool
	sworn    bool
	refused  string
	ticks    int // since the start
	quiet    int // ticks since a leader was heard, or a vote given
	patience int // so many of which are borne before a leader is looked for
	vain     int // times that a leader was looked for since one was heard

	reached  LogPosition // how far the disk ever was
	promised LogPosition // how far it will have been once all writes given out are on it
	writes   int         // given out and not yet written
	stalled  int         // ticks for which the disk has written none of them

	term    uint64
	lead    VoterID
	leads   bool
	applied uint64
	ownTerm uint64 // of the newest entry applied
	tenure  int64  // end of the last confirmed, own clock
	packets []Packet
	hard    *raftpb.HardState // that is on the disk
	strange bool              // who votes has changed since the last snapshot
}

// maxInflight and the sizes bound what a leader sends ahead.
const (
	maxMessage     = 1 << 20
	maxInflight    = 64
	maxUncommitted = 16 << 20
	compactAfter   = 2048 // entries beyond the last snapshot
	compactLeaves  = 256  // that followers a little behind still get one by one
	bearsStalled   = 8    // Election times for which a leader's disk may stand still
	mostVain       = 3    // doublings of the time in which a leader is looked for: a disk slower than that may not lead
)

// NewNode seats a voter over what its disk holds.
func NewNode(id VoterID, pace Timing, kept DiskState, seed int64) (*Node, error) {
	s := &Node{id: id, pace: pace, rng: rand.New(rand.NewSource(seed)), store: raft.NewMemoryStorage(), hard: kept.HardState,
		seen: map[VoterID]LogPosition{}, answered: map[VoterID]bool{}, conf: &raftpb.ConfState{}, reached: kept.Position}
	maps.Copy(s.seen, kept.KnownPositions)
	if kept.Snapshot != nil {
		if err := s.restore(kept.Snapshot); err != nil {
			return nil, err
		}
	}
	if kept.HardState != nil {
		s.store.SetHardState(kept.HardState)
	}
	if err := s.store.Append(kept.Entries); err != nil {
		return nil, err
	}
	last, _ := s.store.LastIndex()
	term, _ := s.store.Term(last)
	s.reached = s.reached.joined(LogPosition{Term: s.hard.GetTerm(), LastTerm: term, LastIndex: last})
	s.promised = s.reached
	var err error
	s.node, err = raft.NewRawNode(&raft.Config{ID: uint64(id), ElectionTick: pace.ElectionTicks, HeartbeatTick: 1, Storage: s.store,
		Applied: s.applied, MaxSizePerMsg: maxMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, AsyncStorageWrites: true,
		Logger: quietLogger{}})
	if err != nil {
		return nil, err
	}
	s.patience = s.drawPatience()
	s.swear()
	return s, nil
}

// restore begins from a snapshot.
func (s *Node) restore(snapshot *raftpb.Snapshot) error {
	meta := snapshot.GetMetadata()
	s.conf, s.applied, s.ownTerm = meta.GetConfState(), meta.GetIndex(), meta.GetTerm()
	return s.store.ApplySnapshot(snapshot)
}

// drawPatience draws from a time that doubles with each vain look: one election takes two writes of the disks, of which
// this voter does not know how long they are.
func (s *Node) drawPatience() int {
	return s.pace.ElectionTicks + s.rng.Intn(s.pace.ElectionTicks<<min(s.vain, mostVain))
}

// known is what this voter has to show others.
func (s *Node) known() map[VoterID]LogPosition {
	seen := maps.Clone(s.seen)
	seen[s.id] = seen[s.id].joined(s.reached)
	return seen
}

// Voters are those of the newest configuration that was applied, with those that are on their way out.
func (s *Node) Voters() (voters []VoterID) {
	for _, v := range slices.Concat(s.conf.GetVoters(), s.conf.GetVotersOutgoing()) {
		voters = append(voters, VoterID(v))
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}

func (s *Node) others() (others []VoterID) {
	for _, v := range s.Voters() {
		if v != s.id {
			others = append(others, v)
		}
	}
	return others
}

// Tick says that a tick has passed, and what time it is by this voter's clock, which must not go back.
func (s *Node) Tick(now int64) {
	if s.refused != "" {
		return
	}
	s.ticks++
	if s.writes > 0 {
		s.stalled++
	}
	switch {
	case !s.sworn:
		for _, v := range s.others() {
			if !s.answered[v] {
				s.packets = append(s.packets, Packet{From: s.id, To: v, IsQuery: true, Positions: s.known()})
			}
		}
		s.swear()
	case s.leads && s.IsDiskStalled():
		// nothing that it leads would ever be recorded: what it does not say any more lets others look for another
	case s.leads:
		s.node.Tick()
		s.node.ReadIndex(binary.BigEndian.AppendUint64(nil, uint64(now)))
	default:
		s.node.TickQuiesced() // counts towards the time in which no vote is given; when to look for a leader is decided here
		s.look()
	}
}

// look looks for a leader when none was heard for long. A voter whose disk is at work can't win: its own vote is not
// written down.
func (s *Node) look() {
	if s.quiet++; s.quiet < s.patience || s.ticks < s.pace.ElectionTicks || s.writes > 0 {
		return
	}
	s.vain++
	s.quiet, s.patience = 0, s.drawPatience()
	s.node.Campaign()
}

// IsDiskStalled tells whether the disk has been asked to write and has written nothing for so long that this voter may not lead:
// bearsStalled * Election ticks. Guards against a disk that hangs under a leader whose links are sound.
func (s *Node) IsDiskStalled() bool { return s.stalled > bearsStalled*s.pace.ElectionTicks }

// swear lets the voter begin once enough is known of what it had shown.
func (s *Node) swear() {
	others, answered := s.others(), 0
	for _, v := range others {
		if s.answered[v] {
			answered++
		}
	}
	majority := 2*(answered+1) > len(others)+1
	if s.sworn || answered < len(others) && !(majority && s.ticks >= 2*s.pace.ElectionTicks) {
		return
	}
	s.sworn = true
	s.examine()
}

// examine refuses the voter whose disk lacks something that it had shown. Guards against a disk that was put back from an
// old copy: its voter would vote twice in a term, or forget what was recorded with its voice.
func (s *Node) examine() {
	if shown := s.seen[s.id]; s.refused == "" && shown.ahead(s.reached) && !planted.Active(planted.AcceptOldDisk) {
		s.refuse(fmt.Sprintf("the disk of voter %d is older than what it had told others: at term %d, entry %d of term %d; it had shown "+
			"term %d, entry %d of term %d", s.id, s.reached.Term, s.reached.LastIndex, s.reached.LastTerm, shown.Term, shown.LastIndex, shown.LastTerm))
	}
}

func (s *Node) refuse(why string) {
	s.refused, s.leads, s.lead, s.packets = why, false, 0, nil
}

// RefusalReason is why this voter may not vote any more, empty for not.
func (s *Node) RefusalReason() string { return s.refused }

// IsActive tells whether it has begun.
func (s *Node) IsActive() bool { return s.sworn && s.refused == "" }

// Receive takes a packet in. What can't be read, or is not for this voter, is an error and changes nothing.
func (s *Node) Receive(p Packet) error {
	if p.To != s.id || p.From == s.id {
		return fmt.Errorf("a packet from voter %d to %d came to %d", p.From, p.To, s.id)
	}
	messages := make([]*raftpb.Message, len(p.Messages))
	for i, text := range p.Messages {
		messages[i] = &raftpb.Message{}
		if err := proto.Unmarshal(text, messages[i]); err != nil {
			return err
		}
		if VoterID(messages[i].GetFrom()) != p.From || VoterID(messages[i].GetTo()) != s.id {
			return fmt.Errorf("a message from voter %d to %d in a packet from %d", messages[i].GetFrom(), messages[i].GetTo(), p.From)
		}
	}
	for v, shown := range p.Positions {
		s.seen[v] = s.seen[v].joined(shown)
	}
	if s.refused != "" {
		return nil
	}
	if p.IsQuery {
		s.packets = append(s.packets, Packet{From: s.id, To: p.From, IsReply: true, Positions: s.known()})
	}
	if p.IsReply && !s.sworn {
		s.answered[p.From] = true
		s.swear()
	}
	if s.sworn {
		s.examine()
	}
	for _, m := range messages {
		s.step(m)
	}
	return nil
}

// step takes a message of raft in.
func (s *Node) step(m *raftpb.Message) {
	if !s.sworn || s.refused != "" {
		return
	}
	last, _ := s.store.LastIndex()
	term := s.node.BasicStatus().GetTerm()
	switch m.GetType() {
	case raftpb.MsgTimeoutNow:
		return // whoever gave a tenure its acknowledgement must not vote before it is over
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if s.ticks < s.pace.ElectionTicks {
			return
		}
	case raftpb.MsgHeartbeat:
		if m.GetTerm() >= term && m.GetCommit() > last {
			s.refuse(fmt.Sprintf("the leader, voter %d, holds acknowledged by voter %d up to entry %d, and its disk ends at %d",
				m.GetFrom(), s.id, m.GetCommit(), last))
			return
		}
	}
	s.node.Step(m)
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= term {
			s.quiet, s.vain = 0, 0
		}
	}
}

// CommittedEntry is a record that the council has agreed on, or nothing but a change of who votes.
type CommittedEntry struct {
	Index  uint64
	Record []byte // empty for none
	Change *raftpb.ConfChangeV2
}

// Write is what a voter's disk has to hold from then on, all of it or nothing. Writes are given out and to be written in
// order; several may be written as one.
type Write struct {
	HardState      *raftpb.HardState // nil if unchanged
	Snapshot       *raftpb.Snapshot  // nil if unchanged
	ReplacesLog    bool              // the snapshot is the leader's: all entries go
	Entries        []*raftpb.Entry   // in place of all from the first of them on
	DropBefore     uint64            // entries before it go
	Position       LogPosition
	KnownPositions map[VoterID]LogPosition

	then    []*raftpb.Message // of raft, that rest on it
	commits []*raftpb.Entry   // given out after it
	applied []*raftpb.Message // of raft, once these are
}

// IsEmpty tells whether there is nothing to write; what comes after it still keeps its turn.
func (w *Write) IsEmpty() bool { return w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 }

// Ready is what there is to do: packets to be sent at once, and a write, of which Written is to be said.
type Ready struct {
	Write   *Write // nil for none
	Packets []Packet
}

// Ready gives what there is to do, and whether there is something.
func (s *Node) Ready() (w Ready, any bool) {
	w.Packets, s.packets = s.packets, nil
	if s.IsActive() && s.node.HasReady() {
		ready := s.node.Ready()
		s.settle(ready)
		var messages []*raftpb.Message
		w.Write, messages = s.sorted(ready)
		w.Packets = append(w.Packets, s.pack(messages)...)
		if w.Write != nil {
			s.writes++
		}
	}
	return w, w.Write != nil || len(w.Packets) > 0
}

// sorted parts what raft has ready into what goes to the disk first and what can be sent. Records are given out behind a
// write of what this voter knows that others have shown of them: else an old disk among those that a record rests on could
// come back with nobody left who knows.
func (s *Node) sorted(ready raft.Ready) (write *Write, messages []*raftpb.Message) {
	w := &Write{}
	for _, m := range ready.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			write, w.then = w, m.GetResponses()
		case raft.LocalApplyThread:
			write, w.commits, w.applied = w, m.GetEntries(), m.GetResponses()
		default:
			messages = append(messages, m)
		}
	}
	if write == nil {
		return nil, messages
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		w.HardState = ready.HardState
		s.promised = s.promised.joined(LogPosition{Term: w.HardState.GetTerm()})
		if w.HardState.GetVote() != s.hard.GetVote() || w.HardState.GetTerm() != s.hard.GetTerm() {
			s.quiet = 0
		}
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		meta := ready.Snapshot.GetMetadata()
		w.Snapshot, w.ReplacesLog, w.DropBefore = ready.Snapshot, true, meta.GetIndex()+1
		s.promised = s.promised.joined(LogPosition{LastTerm: meta.GetTerm(), LastIndex: meta.GetIndex()})
	}
	if w.Entries = ready.Entries; len(w.Entries) > 0 {
		last := w.Entries[len(w.Entries)-1]
		s.promised = s.promised.joined(LogPosition{LastTerm: last.GetTerm(), LastIndex: last.GetIndex()})
	}
	w.Position, w.KnownPositions = s.promised, maps.Clone(s.seen)
	return w, messages
}

func commitOf(e *raftpb.Entry) CommittedEntry {
	c := CommittedEntry{Index: e.GetIndex()}
	if e.GetType() == raftpb.EntryConfChangeV2 {
		c.Change = &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), c.Change) != nil {
			c.Change = nil
		}
		return c
	}
	c.Record = e.GetData()
	return c
}

// pack puts messages into one packet a voter, in the voters' order.
func (s *Node) pack(messages []*raftpb.Message) (packets []Packet) {
	for _, m := range messages {
		text, err := proto.Marshal(m)
		if err != nil {
			continue // lost, as it might be on its way
		}
		to := VoterID(m.GetTo())
		at := slices.IndexFunc(packets, func(p Packet) bool { return p.To == to })
		if at < 0 {
			at, packets = len(packets), append(packets, Packet{From: s.id, To: to, Positions: s.known()})
		}
		packets[at].Messages = append(packets[at].Messages, text)
	}
	return packets
}

// CompleteWrite says that a write is on the disk. It gives what the machines have to take then, a snapshot before the records, and
// counts it as taken.
func (s *Node) CompleteWrite(w *Write) (snapshot *raftpb.Snapshot, commits []CommittedEntry, err error) {
	if s.stalled, s.writes = 0, s.writes-1; s.refused != "" {
		return nil, nil, nil
	}
	if w.ReplacesLog {
		if err := s.restore(w.Snapshot); err != nil {
			return nil, nil, err
		}
		snapshot = w.Snapshot
	}
	if err := s.store.Append(w.Entries); err != nil {
		return nil, nil, err
	}
	if w.HardState != nil {
		s.hard = w.HardState
		s.store.SetHardState(w.HardState)
	}
	s.reached = s.reached.joined(w.Position)
	s.follow(w.then)
	for _, e := range w.commits {
		c := commitOf(e)
		if c.Change != nil {
			s.conf, s.strange = s.node.ApplyConfChange(c.Change), true
		}
		s.applied, s.ownTerm = e.GetIndex(), e.GetTerm()
		commits = append(commits, c)
	}
	s.follow(w.applied)
	return snapshot, commits, nil
}

// follow lets messages go that waited for a write.
func (s *Node) follow(messages []*raftpb.Message) {
	var out []*raftpb.Message
	for _, m := range messages {
		if VoterID(m.GetTo()) == s.id {
			s.node.Step(m)
		} else {
			out = append(out, m)
		}
	}
	s.packets = append(s.packets, s.pack(out)...)
}

// settle takes note of who leads, and of a tenure that was confirmed.
func (s *Node) settle(r raft.Ready) {
	now := s.node.BasicStatus()
	if now.GetTerm() != s.term {
		s.term, s.tenure = now.GetTerm(), 0
	}
	s.leads, s.lead = now.RaftState == raft.StateLeader, VoterID(now.Lead)
	for _, read := range r.ReadStates {
		if s.leads && len(read.RequestCtx) == 8 {
			s.tenure = max(s.tenure, int64(binary.BigEndian.Uint64(read.RequestCtx))+s.pace.LeaderLease())
		}
	}
}

// Leader is who leads as far as this voter knows, 0 for nobody.
func (s *Node) Leader() VoterID { return s.lead }

// Term is the newest that it knows.
func (s *Node) Term() uint64 { return s.term }

// AppliedIndex is the number of the newest record that it has given out.
func (s *Node) AppliedIndex() uint64 { return s.applied }

// LeaseEnd is until when this voter alone acts for the council, by its own clock; 0 where it does not. It has then given
// out every record that the council ever agreed on before its term.
func (s *Node) LeaseEnd() int64 {
	if !s.IsActive() || !s.leads || s.ownTerm != s.term {
		return 0
	}
	return s.tenure
}

var errNotLeading = errors.New("this voter does not lead the council")

// Propose asks the council to agree on a record. That it was taken does not say that it will be.
func (s *Node) Propose(record []byte) error {
	if !s.IsActive() || !s.leads || s.IsDiskStalled() {
		return errNotLeading
	}
	return s.node.Propose(record)
}

// ChangeVoters asks the council to let some voters in and others go, at once: majorities of both councils agree meanwhile. What
// is said of the new ones is handed to everybody with the change.
func (s *Node) ChangeVoters(add, remove []VoterID, said []byte) error {
	if !s.IsActive() || !s.leads {
		return errNotLeading
	}
	if len(s.conf.GetVotersOutgoing()) > 0 {
		return errors.New("another change of who votes is under way")
	}
	after := map[VoterID]bool{}
	for _, v := range s.Voters() {
		after[v] = true
	}
	change := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(), Context: said}
	for _, v := range add {
		if v == 0 || after[v] {
			return fmt.Errorf("voter %d is one already, or no number for one", v)
		}
		after[v] = true
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(uint64(v))})
	}
	for _, v := range remove {
		if !after[v] || slices.Contains(add, v) {
			return fmt.Errorf("voter %d is none", v)
		}
		delete(after, v)
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(uint64(v))})
	}
	if err := sizeAllowed(len(after)); err != nil {
		return err
	}
	return s.node.ProposeConfChange(change)
}

// ReportUnreachable says that a packet to a voter could not be sent; a snapshot may have been in it.
func (s *Node) ReportUnreachable(v VoterID) {
	if s.IsActive() && s.leads {
		s.node.ReportUnreachable(uint64(v))
		s.node.ReportSnapshot(uint64(v), raft.SnapshotFailure)
	}
}

// NeedsCompaction tells whether the log has grown long enough to be cut, or the last snapshot does not know of a voter, who could not
// take it: Compact is to be called with what the machines are.
func (s *Node) NeedsCompaction() bool {
	first, err := s.store.FirstIndex()
	return err == nil && (s.applied >= first+compactAfter || s.strange)
}

// Compact cuts the log off before what is applied, all but the last of it, and gives what is to be written down for that: a
// snapshot that stands for what was cut.
func (s *Node) Compact(machines []byte) (*Write, error) {
	snapshot, err := s.store.CreateSnapshot(s.applied, s.conf, machines)
	if err != nil {
		return nil, err
	}
	s.strange = false
	s.writes++
	w := &Write{Snapshot: snapshot, DropBefore: s.applied - min(compactLeaves, s.applied-1), Position: s.promised, KnownPositions: maps.Clone(s.seen)}
	if have, _ := s.store.FirstIndex(); w.DropBefore > have {
		err = s.store.Compact(w.DropBefore - 1)
	}
	return w, err
}
