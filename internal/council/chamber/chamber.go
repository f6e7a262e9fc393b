// Package chamber runs a council.Node: it provides its disk, its clock and the connections to the
// other voters. All decisions are made in package council and in the state machines.
package chamber

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
	log logrus.FieldLogger) (c *Server, err error) {
	var initialVoters []council.VoterID
	for v := range addresses {
		if !joinExisting {
			initialVoters = append(initialVoters, v)
		}
	}
	c = &Server{id: id, timing: timing, stateMachines: stateMachines, unknownRecords: map[string][]json.RawMessage{}, log: log.WithField("voter", id),
		startTime: time.Now(), events: make(chan func(), maxQueuedEvents), done: make(chan struct{}), waiters: map[string]chan error{},
		addresses: map[string]string{}}
	for v, address := range addresses {
		c.addresses[strconv.FormatUint(uint64(v), 10)] = address
	}
	if c.disk, err = openDisk(path, id, initialVoters); err != nil {
		return nil, err
	}
	seed := time.Now().UnixNano() ^ int64(id)<<48
	c.proposalPrefix = fmt.Sprintf("%d-%x", id, uint64(rand.New(rand.NewSource(seed)).Int63()))
	if c.node, err = council.NewNode(id, timing, c.disk.state, seed); err == nil {
		err = c.restore(c.disk.state.Snapshot)
	}
	if err != nil {
		c.disk.close()
		return nil, err
	}
	c.disk.state = council.DiskState{} // the node owns it now
	c.sender, c.writer = newPacketSender(c), newDiskWriter(c)
	c.publishState()
	return c, nil
}

const (
	maxQueuedEvents = 1 << 10
	maxEventBatch   = 256 // events handled before the next Ready
)

// now returns the time of the voter's monotonic clock in nanoseconds.
func (c *Server) now() int64 { return int64(time.Since(c.startTime)) }

// Run runs the voter until ctx is cancelled. The node is used only in Run's goroutine.
func (c *Server) Run(ctx context.Context) {
	defer c.disk.close()
	defer func() { <-c.writer.done }()
	defer close(c.done)
	defer c.sender.close()
	go c.writer.run()
	tick := time.NewTicker(time.Duration(c.timing.Tick))
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			c.node.Tick(c.now())
		case event := <-c.events:
			event()
			for remaining := len(c.events); remaining > 0 && remaining < maxEventBatch; remaining-- {
				(<-c.events)()
			}
		}
		c.processReady()
	}
	c.leaseEnd.Store(0)
	c.failWaiters(errShuttingDown)
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
func (c *Server) processReady() {
	for c.failure == nil {
		ready, hasWork := c.node.Ready()
		if !hasWork {
			break
		}
		c.sender.enqueue(ready.Packets)
		if ready.Write != nil {
			c.writer.add(ready.Write)
		}
	}
	c.updateLease()
	if c.failure == nil && c.node.NeedsCompaction() {
		c.compact()
	}
	c.publishState()
}

// completeWrites completes durable writes, or stops the voter after a failed one, and applies
// committed entries.
func (c *Server) completeWrites(writes []*council.Write, took time.Duration, err error) {
	if c.failure != nil {
		return
	}
	if err != nil {
		c.stop(err)
		return
	}
	if took > 0 {
		c.latency.observe(took, c.timing, c.log)
	}
	for _, w := range writes {
		snapshot, entries, err := c.node.CompleteWrite(w)
		if err == nil {
			err = c.restore(snapshot)
		}
		if err != nil {
			c.stop(err)
			return
		}
		for _, entry := range entries {
			c.apply(entry)
		}
	}
}

// stop stops the voter permanently, since it can no longer persist its state.
func (c *Server) stop(err error) {
	c.failure = err
	c.leaseEnd.Store(0)
	c.log.WithError(err).Error("voter stopped after an unrecoverable error")
	c.failWaiters(err)
	c.publishState()
}

// updateLease publishes the end of the leader lease, and calls Lead when a lease begins in a new
// term.
func (c *Server) updateLease() {
	leaseEnd := c.node.LeaseEnd()
	if c.failure != nil {
		leaseEnd = 0
	}
	if leaseEnd > c.now() && c.leadingTerm != c.node.Term() {
		c.leadingTerm = c.node.Term()
		c.log.WithFields(logrus.Fields{"term": c.leadingTerm, "applied": c.node.AppliedIndex()}).Info("acquired the leader lease")
		for _, m := range c.stateMachines {
			m.Lead()
		}
	}
	if leaseEnd == 0 && c.leaseEnd.Load() != 0 {
		c.failWaiters(ErrOutcomeUnknown)
	}
	c.leaseEnd.Store(leaseEnd)
}

// apply passes a record to its state machine and wakes the caller that proposed it.
func (c *Server) apply(entry council.CommittedEntry) {
	if entry.Change != nil {
		c.addAddresses(entry.Change)
		return
	}
	var r record
	if len(entry.Record) == 0 || json.Unmarshal(entry.Record, &r) != nil {
		return
	}
	if m := c.stateMachines[r.Machine]; m != nil {
		m.Apply(r.Data)
	} else {
		c.unknownRecords[r.Machine] = append(c.unknownRecords[r.Machine], r.Data)
	}
	if waiter := c.waiters[r.ProposalID]; waiter != nil {
		delete(c.waiters, r.ProposalID)
		waiter <- nil
	}
}

// addAddresses stores the addresses of added voters.
func (c *Server) addAddresses(change *raftpb.ConfChangeV2) {
	var addresses map[string]string
	if json.Unmarshal(change.GetContext(), &addresses) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for v, address := range addresses {
		c.addresses[v] = address
	}
}

// failWaiters ends all waiting proposals with err.
func (c *Server) failWaiters(err error) {
	for proposalID, waiter := range c.waiters {
		delete(c.waiters, proposalID)
		waiter <- err
	}
}

// compact replaces the oldest log entries by a snapshot.
func (c *Server) compact() {
	s := snapshot{Machines: map[string]json.RawMessage{}, Voters: c.addresses}
	for name, m := range c.stateMachines {
		data, err := m.Snapshot()
		if err != nil {
			c.log.WithError(err).WithField("machine", name).Error("taking snapshot of state machine failed")
			return
		}
		s.Machines[name] = data
	}
	for name, records := range c.unknownRecords {
		data, err := json.Marshal(records)
		if err != nil {
			return
		}
		s.Machines[name] = data
	}
	data, err := json.Marshal(s)
	var w *council.Write
	if err == nil {
		w, err = c.node.Compact(data)
	}
	if err != nil {
		c.stop(err)
		return
	}
	c.writer.add(w)
}

// restore restores the state machines and voter addresses from a snapshot, unless it is empty.
func (c *Server) restore(raftSnapshot *raftpb.Snapshot) error {
	if len(raftSnapshot.GetData()) == 0 {
		return nil
	}
	var s snapshot
	if err := json.Unmarshal(raftSnapshot.GetData(), &s); err != nil {
		return err
	}
	for name, data := range s.Machines {
		m := c.stateMachines[name]
		if m == nil {
			var records []json.RawMessage
			if json.Unmarshal(data, &records) != nil {
				records = []json.RawMessage{data}
			}
			c.unknownRecords[name] = records
			continue
		}
		if err := m.Restore(data); err != nil {
			return fmt.Errorf("machine %s: %w", name, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for v, address := range s.Voters {
		if c.addresses[v] == "" {
			c.addresses[v] = address
		}
	}
	return nil
}

// publishState updates the state that State returns, and logs when a leader is lost or found.
func (c *Server) publishState() {
	hasNoLeader := c.node.Leader() == 0 && c.leaseEnd.Load() == 0
	refusalReason := c.node.RefusalReason()
	if c.failure != nil {
		refusalReason = c.failure.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if refusalReason != "" && c.state.RefusalReason == "" {
		c.log.WithField("why", refusalReason).Error("voter refused permanently")
	} else if hasNoLeader != c.hasNoLeader {
		c.log.WithFields(logrus.Fields{"leader": c.node.Leader(), "term": c.node.Term(), "applied": c.node.AppliedIndex()}).
			Info(map[bool]string{true: "no leader", false: "leader elected"}[hasNoLeader])
	}
	c.hasNoLeader = hasNoLeader
	c.state = State{Voter: c.id, Voters: c.node.Voters(), Leader: c.node.Leader(), Term: c.node.Term(), Applied: c.node.AppliedIndex(),
		RefusalReason: refusalReason, WriteMs: float64(c.latency.mean) / float64(time.Millisecond)}
}

// State returns the state of the council as this voter knows it.
func (c *Server) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	s.IsActing = c.IsActing()
	s.Addresses = make(map[string]string, len(c.addresses))
	for v, address := range c.addresses {
		s.Addresses[v] = address
	}
	return s
}

// IsActing reports whether this voter holds the leader lease. It is then the only one, and has
// applied all earlier records.
func (c *Server) IsActing() bool { return c.now() < c.leaseEnd.Load() }

// address returns the address of a voter, or an empty string if it is unknown.
func (c *Server) address(v council.VoterID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[strconv.FormatUint(uint64(v), 10)]
}

// enqueue queues event to be executed by Run.
func (c *Server) enqueue(ctx context.Context, event func()) error {
	select {
	case c.events <- event:
		return nil
	case <-c.done:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record proposes a record and returns when this voter's state machine has applied it. After
// ErrNotLeading the record was not proposed; after any other error it may still be committed.
func (c *Server) Record(ctx context.Context, stateMachine string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	proposalID := c.proposalPrefix + "-" + strconv.FormatUint(c.proposals.Add(1), 36)
	encoded, err = json.Marshal(record{Machine: stateMachine, ProposalID: proposalID, Data: encoded})
	if err != nil {
		return err
	}
	err = c.call(ctx, func(result chan error) {
		if !c.IsActing() || c.node.Propose(encoded) != nil {
			result <- ErrNotLeading
			return
		}
		c.waiters[proposalID] = result
	})
	if err != nil && err == ctx.Err() {
		c.enqueue(context.Background(), func() { delete(c.waiters, proposalID) })
		return fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	return err
}

// call executes event in Run and waits for its result.
func (c *Server) call(ctx context.Context, event func(result chan error)) error {
	result := make(chan error, 1)
	if err := c.enqueue(ctx, func() { event(result) }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-c.done:
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
func (c *Server) ChangeVoters(ctx context.Context, change VoterChange) error {
	addresses := map[string]string{}
	var add []council.VoterID
	for v, address := range change.Add {
		add, addresses[strconv.FormatUint(uint64(v), 10)] = append(add, v), address
	}
	encoded, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	return c.call(ctx, func(result chan error) { result <- c.node.ChangeVoters(add, change.Remove, encoded) })
}

// Receive queues a packet from another voter.
func (c *Server) Receive(ctx context.Context, p council.Packet) error {
	return c.enqueue(ctx, func() {
		if err := c.node.Receive(p); err != nil {
			c.log.WithError(err).Warn("rejected a packet from another voter")
		}
	})
}
