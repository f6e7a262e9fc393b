// Package server runs a council.Node: it provides its disk, its clock and the connections to the
// other voters. All decisions are made in package council and in the state machines.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"

	"sedgespread/internal/council"
)

// Server runs one voter of the council.
type Server struct {
	id             council.VoterID
	timing         council.Timing
	disk           *disk
	stateMachines  map[string]StateMachine
	unknownRecords map[string][]json.RawMessage // by unknown state machine; kept for snapshots
	log            logrus.FieldLogger
	startTime      time.Time
	events         chan func() // executed by Run
	done           chan struct{}
	sender         *packetSender
	writer         *diskWriter
	latency        writeLatency

	leaseEnd       atomic.Int64 // end of the leader lease, as returned by now
	proposals      atomic.Uint64
	proposalPrefix string // unique per start

	mu          sync.Mutex // guards state and addresses; the fields below belong to Run
	state       State
	node        *council.Node
	waiters     map[string]chan error
	addresses   map[string]string
	leadingTerm uint64 // term in which Lead was last called
	failure     error
	hasNoLeader bool // as last logged
}

// State is the state of the council as one voter knows it.
type State struct {
	Voter         council.VoterID   `json:"voter"`
	Voters        []council.VoterID `json:"voters"`
	Addresses     map[string]string `json:"at"` // by voter ID
	Leader        council.VoterID   `json:"leader"`
	Term          uint64            `json:"term"`
	Applied       uint64            `json:"applied"`
	IsActing      bool              `json:"acts"`     // this voter holds the leader lease
	WriteMs       float64           `json:"write_ms"` // moving average of the duration of disk writes
	RefusalReason string            `json:"refused,omitempty"`
}

// VoterAddresses maps voters to the addresses at which this voter reaches them.
type VoterAddresses map[council.VoterID]string

// Open opens a voter's disk and creates its node; nothing is sent before Run. A voter that joins an
// existing council starts with an empty disk.
func Open(id council.VoterID, addresses VoterAddresses, joinExisting bool, path string, timing council.Timing, stateMachines map[string]StateMachine,
	log logrus.FieldLogger) (s *Server, err error) {
	var initialVoters []council.VoterID
	for v := range addresses {
		if !joinExisting {
			initialVoters = append(initialVoters, v)
		}
	}
	s = &Server{id: id, timing: timing, stateMachines: stateMachines, unknownRecords: map[string][]json.RawMessage{}, log: log.WithField("voter", id),
		startTime: time.Now(), events: make(chan func(), maxQueuedEvents), done: make(chan struct{}), waiters: map[string]chan error{},
		addresses: map[string]string{}}
	for v, address := range addresses {
		s.addresses[strconv.FormatUint(uint64(v), 10)] = address
	}
	if s.disk, err = openDisk(path, id, initialVoters); err != nil {
		return nil, err
	}
	seed := time.Now().UnixNano() ^ int64(id)<<48
	s.proposalPrefix = fmt.Sprintf("%d-%x", id, uint64(rand.New(rand.NewSource(seed)).Int63()))
	if s.node, err = council.NewNode(id, timing, s.disk.state, seed); err == nil {
		err = s.restore(s.disk.state.Snapshot)
	}
	if err != nil {
		s.disk.close()
		return nil, err
	}
	s.disk.state = council.DiskState{} // the node owns it now
	s.sender, s.writer = newPacketSender(s), newDiskWriter(s)
	s.publishState()
	return s, nil
}

const (
	maxQueuedEvents = 1 << 10
	maxEventBatch   = 256 // events handled before the next Ready
)

// now returns the time of the voter's monotonic clock in nanoseconds.
func (s *Server) now() int64 { return int64(time.Since(s.startTime)) }

// Run runs the voter until ctx is cancelled. The node is used only in Run's goroutine.
func (s *Server) Run(ctx context.Context) {
	defer s.disk.close()
	defer func() { <-s.writer.done }()
	defer close(s.done)
	defer s.sender.close()
	go s.writer.run()
	tick := time.NewTicker(time.Duration(s.timing.Tick))
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			s.node.Tick(s.now())
		case event := <-s.events:
			event()
			for remaining := len(s.events); remaining > 0 && remaining < maxEventBatch; remaining-- {
				(<-s.events)()
			}
		}
		s.processReady()
	}
	s.leaseEnd.Store(0)
	s.failWaiters(errShuttingDown)
}

// unavailableError is an error after which another voter may be able to serve the request.
type unavailableError string

func (e unavailableError) Error() string { return string(e) }

// Status returns the HTTP status that makes the caller try another voter.
func (e unavailableError) Status() int { return http.StatusServiceUnavailable }

const (
	errShuttingDown = unavailableError("this voter is leaving")
	// ErrNotLeading reports that this voter does not hold the leader lease; nothing was recorded.
	ErrNotLeading = unavailableError("this voter does not act for the council")
)

var (
	// ErrOutcomeUnknown reports that a record was proposed and may or may not be committed.
	ErrOutcomeUnknown = errors.New("whether it was recorded is not known: the council has changed its leader meanwhile")
)

// processReady handles the node's ready work until there is none.
func (s *Server) processReady() {
	for s.failure == nil {
		ready, hasWork := s.node.Ready()
		if !hasWork {
			break
		}
		s.sender.enqueue(ready.Packets)
		if ready.Write != nil {
			s.writer.add(ready.Write)
		}
	}
	s.updateLease()
	if s.failure == nil && s.node.NeedsCompaction() {
		s.compact()
	}
	s.publishState()
}

// completeWrites completes durable writes, or stops the voter after a failed one, and applies
// committed entries.
func (s *Server) completeWrites(writes []*council.Write, took time.Duration, err error) {
	if s.failure != nil {
		return
	}
	if err != nil {
		s.stop(err)
		return
	}
	if took > 0 {
		s.latency.observe(took, s.timing, s.log)
	}
	for _, w := range writes {
		snapshot, entries, err := s.node.CompleteWrite(w)
		if err == nil {
			err = s.restore(snapshot)
		}
		if err != nil {
			s.stop(err)
			return
		}
		for _, entry := range entries {
			s.apply(entry)
		}
	}
}

// stop stops the voter permanently, since it can no longer persist its state.
func (s *Server) stop(err error) {
	s.failure = err
	s.leaseEnd.Store(0)
	s.log.WithError(err).Error("voter stopped after an unrecoverable error")
	s.failWaiters(err)
	s.publishState()
}

// updateLease publishes the end of the leader lease, and calls Lead when a lease begins in a new
// term.
func (s *Server) updateLease() {
	leaseEnd := s.node.LeaseEnd()
	if s.failure != nil {
		leaseEnd = 0
	}
	if leaseEnd > s.now() && s.leadingTerm != s.node.Term() {
		s.leadingTerm = s.node.Term()
		s.log.WithFields(logrus.Fields{"term": s.leadingTerm, "applied": s.node.AppliedIndex()}).Info("acquired the leader lease")
		for _, m := range s.stateMachines {
			m.Lead()
		}
	}
	if leaseEnd == 0 && s.leaseEnd.Load() != 0 {
		s.failWaiters(ErrOutcomeUnknown)
	}
	s.leaseEnd.Store(leaseEnd)
}

// apply passes a record to its state machine and wakes the caller that proposed it.
func (s *Server) apply(entry council.CommittedEntry) {
	if entry.Change != nil {
		s.addAddresses(entry.Change)
		return
	}
	var r record
	if len(entry.Record) == 0 || json.Unmarshal(entry.Record, &r) != nil {
		return
	}
	if m := s.stateMachines[r.Machine]; m != nil {
		m.Apply(r.Data)
	} else {
		s.unknownRecords[r.Machine] = append(s.unknownRecords[r.Machine], r.Data)
	}
	if waiter := s.waiters[r.ProposalID]; waiter != nil {
		delete(s.waiters, r.ProposalID)
		waiter <- nil
	}
}

// addAddresses stores the addresses of added voters.
func (s *Server) addAddresses(change *raftpb.ConfChangeV2) {
	var addresses map[string]string
	if json.Unmarshal(change.GetContext(), &addresses) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, address := range addresses {
		s.addresses[v] = address
	}
}

// failWaiters ends all waiting proposals with err.
func (s *Server) failWaiters(err error) {
	for proposalID, waiter := range s.waiters {
		delete(s.waiters, proposalID)
		waiter <- err
	}
}

// compact replaces the oldest log entries by a snapshot.
func (s *Server) compact() {
	contents := snapshot{Machines: map[string]json.RawMessage{}, Voters: s.addresses}
	for name, m := range s.stateMachines {
		data, err := m.Snapshot()
		if err != nil {
			s.log.WithError(err).WithField("machine", name).Error("taking snapshot of state machine failed")
			return
		}
		contents.Machines[name] = data
	}
	for name, records := range s.unknownRecords {
		data, err := json.Marshal(records)
		if err != nil {
			return
		}
		contents.Machines[name] = data
	}
	data, err := json.Marshal(contents)
	var w *council.Write
	if err == nil {
		w, err = s.node.Compact(data)
	}
	if err != nil {
		s.stop(err)
		return
	}
	s.writer.add(w)
}

// restore restores the state machines and voter addresses from a snapshot, unless it is empty.
func (s *Server) restore(raftSnapshot *raftpb.Snapshot) error {
	if len(raftSnapshot.GetData()) == 0 {
		return nil
	}
	var contents snapshot
	if err := json.Unmarshal(raftSnapshot.GetData(), &contents); err != nil {
		return err
	}
	for name, data := range contents.Machines {
		m := s.stateMachines[name]
		if m == nil {
			var records []json.RawMessage
			if json.Unmarshal(data, &records) != nil {
				records = []json.RawMessage{data}
			}
			s.unknownRecords[name] = records
			continue
		}
		if err := m.Restore(data); err != nil {
			return fmt.Errorf("machine %s: %w", name, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, address := range contents.Voters {
		if s.addresses[v] == "" {
			s.addresses[v] = address
		}
	}
	return nil
}

// publishState updates the state that State returns, and logs when a leader is lost or found.
func (s *Server) publishState() {
	hasNoLeader := s.node.Leader() == 0 && s.leaseEnd.Load() == 0
	refusalReason := s.node.RefusalReason()
	if s.failure != nil {
		refusalReason = s.failure.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusalReason != "" && s.state.RefusalReason == "" {
		s.log.WithField("why", refusalReason).Error("voter refused permanently")
	} else if hasNoLeader != s.hasNoLeader {
		s.log.WithFields(logrus.Fields{"leader": s.node.Leader(), "term": s.node.Term(), "applied": s.node.AppliedIndex()}).
			Info(map[bool]string{true: "no leader", false: "leader elected"}[hasNoLeader])
	}
	s.hasNoLeader = hasNoLeader
	s.state = State{Voter: s.id, Voters: s.node.Voters(), Leader: s.node.Leader(), Term: s.node.Term(), Applied: s.node.AppliedIndex(),
		RefusalReason: refusalReason, WriteMs: float64(s.latency.mean) / float64(time.Millisecond)}
}

// State returns the state of the council as this voter knows it.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.IsActing = s.IsActing()
	state.Addresses = make(map[string]string, len(s.addresses))
	for v, address := range s.addresses {
		state.Addresses[v] = address
	}
	return state
}

// IsActing reports whether this voter holds the leader lease. It is then the only one, and has
// applied all earlier records.
func (s *Server) IsActing() bool { return s.now() < s.leaseEnd.Load() }

// address returns the address of a voter, or an empty string if it is unknown.
func (s *Server) address(v council.VoterID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[strconv.FormatUint(uint64(v), 10)]
}

// enqueue queues event to be executed by Run.
func (s *Server) enqueue(ctx context.Context, event func()) error {
	select {
	case s.events <- event:
		return nil
	case <-s.done:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record proposes a record and returns when this voter's state machine has applied it. After
// ErrNotLeading the record was not proposed; after any other error it may still be committed.
func (s *Server) Record(ctx context.Context, stateMachine string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	proposalID := s.proposalPrefix + "-" + strconv.FormatUint(s.proposals.Add(1), 36)
	encoded, err = json.Marshal(record{Machine: stateMachine, ProposalID: proposalID, Data: encoded})
	if err != nil {
		return err
	}
	err = s.call(ctx, func(result chan error) {
		if !s.IsActing() || s.node.Propose(encoded) != nil {
			result <- ErrNotLeading
			return
		}
		s.waiters[proposalID] = result
	})
	if err != nil && err == ctx.Err() {
		s.enqueue(context.Background(), func() { delete(s.waiters, proposalID) })
		return fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	return err
}

// call executes event in Run and waits for its result.
func (s *Server) call(ctx context.Context, event func(result chan error)) error {
	result := make(chan error, 1)
	if err := s.enqueue(ctx, func() { event(result) }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-s.done:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// VoterChange lists voters to add and remove.
type VoterChange struct {
	Add    VoterAddresses    `json:"add,omitempty"`
	Remove []council.VoterID `json:"remove,omitempty"`
}

// ChangeVoters proposes to add and remove voters. It does not wait for the change to be committed.
func (s *Server) ChangeVoters(ctx context.Context, change VoterChange) error {
	addresses := map[string]string{}
	var add []council.VoterID
	for v, address := range change.Add {
		add, addresses[strconv.FormatUint(uint64(v), 10)] = append(add, v), address
	}
	encoded, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	return s.call(ctx, func(result chan error) { result <- s.node.ChangeVoters(add, change.Remove, encoded) })
}

// Receive queues a packet from another voter.
func (s *Server) Receive(ctx context.Context, p council.Packet) error {
	return s.enqueue(ctx, func() {
		if err := s.node.Receive(p); err != nil {
			s.log.WithError(err).Warn("rejected a packet from another voter")
		}
	})
}
