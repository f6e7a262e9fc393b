// Package chamber lets a council's seat work: its disk, its clock, and the connections to the other voters. What is decided
// is decided in package council and in the machines on its log.
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

// Server is one voter at work.
type Server struct {
	id       council.VoterID
	pace     council.Timing
	disk     *disk
	machines map[string]StateMachine
	strange  map[string][]json.RawMessage // records for machines that this build does not know, kept for snapshots
	log      logrus.FieldLogger
	begun    time.Time
	events   chan func() // run one after another by Run
	over     chan struct{}
	post     *post
	scribe   *scribe
	pen      pen

	tenure atomic.Int64 // until when this voter acts for the council, on its own clock
	asked  atomic.Uint64
	name   string // of this start, in proposals

	mu      sync.Mutex // of what others may look at
	state   State
	seat    *council.Node
	waiting map[string]chan error
	voters  map[string]string
	leading uint64 // the term in which the machines were told to lead
	broken  error
	lost    bool // no leader was known last
}

// State is what a voter tells of the council.
type State struct {
	Voter         council.VoterID   `json:"voter"`
	Voters        []council.VoterID `json:"voters"`
	Addresses     map[string]string `json:"at"` // addresses of the voters, by number
	Leader        council.VoterID   `json:"leader"`
	Term          uint64            `json:"term"`
	Applied       uint64            `json:"applied"`
	IsActing      bool              `json:"acts"`     // this voter acts for the council
	WriteMs       float64           `json:"write_ms"` // that a write of its disk takes, in the mean
	RefusalReason string            `json:"refused,omitempty"`
}

// VoterAddresses are the addresses of the voters that a council begins with, as this voter reaches them.
type VoterAddresses map[council.VoterID]string

// Open opens a voter's disk and seats it; nothing is sent yet. One that joins a council that is at work already begins
// with an empty disk.
func Open(id council.VoterID, peers VoterAddresses, joins bool, path string, pace council.Timing, machines map[string]StateMachine,
	log logrus.FieldLogger) (c *Server, err error) {
	var founders []council.VoterID
	for v := range peers {
		if !joins {
			founders = append(founders, v)
		}
	}
	c = &Server{id: id, pace: pace, machines: machines, strange: map[string][]json.RawMessage{}, log: log.WithField("voter", id),
		begun: time.Now(), events: make(chan func(), mostEvents), over: make(chan struct{}), waiting: map[string]chan error{},
		voters: map[string]string{}}
	for v, at := range peers {
		c.voters[strconv.FormatUint(uint64(v), 10)] = at
	}
	if c.disk, err = openDisk(path, id, founders); err != nil {
		return nil, err
	}
	seed := time.Now().UnixNano() ^ int64(id)<<48
	c.name = fmt.Sprintf("%d-%x", id, uint64(rand.New(rand.NewSource(seed)).Int63()))
	if c.seat, err = council.NewNode(id, pace, c.disk.kept, seed); err == nil {
		err = c.restore(c.disk.kept.Snapshot)
	}
	if err != nil {
		c.disk.close()
		return nil, err
	}
	c.disk.kept = council.DiskState{} // the seat has it now
	c.post, c.scribe = newPost(c), newScribe(c)
	c.publish()
	return c, nil
}

const (
	mostEvents = 1 << 10
	mostBatch  = 256 // events between two writes to the disk
)

func (c *Server) now() int64 { return int64(time.Since(c.begun)) }

// Run works until the context ends. All that touches the seat happens here.
func (c *Server) Run(ctx context.Context) {
	defer c.disk.close()
	defer func() { <-c.scribe.over }()
	defer close(c.over)
	defer c.post.close()
	go c.scribe.run()
	tick := time.NewTicker(time.Duration(c.pace.Tick))
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			c.seat.Tick(c.now())
		case do := <-c.events:
			do()
			for more := len(c.events); more > 0 && more < mostBatch; more-- {
				(<-c.events)()
			}
		}
		c.work()
	}
	c.tenure.Store(0)
	c.fail(errOver)
}

// elsewhere is an error that leaves open that another voter does what this one did not.
type elsewhere string

func (e elsewhere) Error() string { return string(e) }

// Status lets it be told as what sends whoever asks to another voter.
func (e elsewhere) Status() int { return http.StatusServiceUnavailable }

const (
	errOver = elsewhere("this voter is leaving")
	// ErrNotLeading says that another voter, or nobody, acts for the council; nothing was recorded.
	ErrNotLeading = elsewhere("this voter does not act for the council")
)

var (
	// ErrOutcomeUnknown says that a record was proposed and it is not known whether it will stand.
	ErrOutcomeUnknown = errors.New("whether it was recorded is not known: the council has changed its leader meanwhile")
)

// work does what the seat asks for until there is nothing more.
func (c *Server) work() {
	for c.broken == nil {
		w, any := c.seat.Ready()
		if !any {
			break
		}
		c.post.send(w.Packets)
		if w.Write != nil {
			c.scribe.add(w.Write)
		}
	}
	c.lead()
	if c.broken == nil && c.seat.NeedsCompaction() {
		c.compact()
	}
	c.publish()
}

// written takes in that writes are on the disk, and hands out what waited for them.
func (c *Server) written(writes []*council.Write, took time.Duration, err error) {
	if c.broken != nil {
		return
	}
	if err != nil {
		c.breakDown(err)
		return
	}
	if took > 0 {
		c.pen.noted(took, c.pace, c.log)
	}
	for _, w := range writes {
		snapshot, commits, err := c.seat.CompleteWrite(w)
		if err == nil {
			err = c.restore(snapshot)
		}
		if err != nil {
			c.breakDown(err)
			return
		}
		for _, k := range commits {
			c.apply(k)
		}
	}
}

// breakDown ends this voter's part for good: it can't write down what it would have to answer for.
func (c *Server) breakDown(err error) {
	c.broken = err
	c.tenure.Store(0)
	c.log.WithError(err).Error("this voter can't go on")
	c.fail(err)
	c.publish()
}

// lead tells the machines when this voter begins to act for the council, and everybody until when.
func (c *Server) lead() {
	until := c.seat.LeaseEnd()
	if c.broken != nil {
		until = 0
	}
	if until > c.now() && c.leading != c.seat.Term() {
		c.leading = c.seat.Term()
		c.log.WithFields(logrus.Fields{"term": c.leading, "applied": c.seat.AppliedIndex()}).Info("acts for the council")
		for _, m := range c.machines {
			m.Lead()
		}
	}
	if until == 0 && c.tenure.Load() != 0 {
		c.fail(ErrOutcomeUnknown)
	}
	c.tenure.Store(until)
}

// apply hands a record to its machine, and tells whoever waits for it.
func (c *Server) apply(k council.CommittedEntry) {
	if k.Change != nil {
		c.joins(k.Change)
		return
	}
	var r record
	if len(k.Record) == 0 || json.Unmarshal(k.Record, &r) != nil {
		return
	}
	if m := c.machines[r.Machine]; m != nil {
		m.Apply(r.Data)
	} else {
		c.strange[r.Machine] = append(c.strange[r.Machine], r.Data)
	}
	if told := c.waiting[r.ProposalID]; told != nil {
		delete(c.waiting, r.ProposalID)
		told <- nil
	}
}

// joins takes the addresses of new voters in.
func (c *Server) joins(change *raftpb.ConfChangeV2) {
	var said map[string]string
	if json.Unmarshal(change.GetContext(), &said) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for v, at := range said {
		c.voters[v] = at
	}
}

// fail tells all that wait that it is not known what became of their records.
func (c *Server) fail(err error) {
	for by, told := range c.waiting {
		delete(c.waiting, by)
		told <- err
	}
}

// compact writes a snapshot in place of the oldest entries.
func (c *Server) compact() {
	s := snapshot{Machines: map[string]json.RawMessage{}, Voters: c.voters}
	for name, m := range c.machines {
		text, err := m.Snapshot()
		if err != nil {
			c.log.WithError(err).WithField("machine", name).Error("no snapshot of the council's log")
			return
		}
		s.Machines[name] = text
	}
	for name, records := range c.strange {
		text, err := json.Marshal(records)
		if err != nil {
			return
		}
		s.Machines[name] = text
	}
	text, err := json.Marshal(s)
	var w *council.Write
	if err == nil {
		w, err = c.seat.Compact(text)
	}
	if err != nil {
		c.breakDown(err)
		return
	}
	c.scribe.add(w)
}

// restore lets the machines take a snapshot, if it holds something.
func (c *Server) restore(taken *raftpb.Snapshot) error {
	if len(taken.GetData()) == 0 {
		return nil
	}
	var s snapshot
	if err := json.Unmarshal(taken.GetData(), &s); err != nil {
		return err
	}
	for name, text := range s.Machines {
		m := c.machines[name]
		if m == nil {
			var records []json.RawMessage
			if json.Unmarshal(text, &records) != nil {
				records = []json.RawMessage{text}
			}
			c.strange[name] = records
			continue
		}
		if err := m.Restore(text); err != nil {
			return fmt.Errorf("machine %s: %w", name, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for v, at := range s.Voters {
		if c.voters[v] == "" {
			c.voters[v] = at
		}
	}
	return nil
}

// publish lets others see how things stand, and logs when a leader is lost or found.
func (c *Server) publish() {
	lost := c.seat.Leader() == 0 && c.tenure.Load() == 0
	refused := c.seat.RefusalReason()
	if c.broken != nil {
		refused = c.broken.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused != "" && c.state.RefusalReason == "" {
		c.log.WithField("why", refused).Error("this voter is refused")
	} else if lost != c.lost {
		c.log.WithFields(logrus.Fields{"leader": c.seat.Leader(), "term": c.seat.Term(), "applied": c.seat.AppliedIndex()}).
			Info(map[bool]string{true: "the council has no leader", false: "the council has a leader"}[lost])
	}
	c.lost = lost
	c.state = State{Voter: c.id, Voters: c.seat.Voters(), Leader: c.seat.Leader(), Term: c.seat.Term(), Applied: c.seat.AppliedIndex(),
		RefusalReason: refused, WriteMs: float64(c.pen.usual) / float64(time.Millisecond)}
}

// State tells how the council stands, as far as this voter knows.
func (c *Server) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	s.IsActing = c.IsActing()
	s.Addresses = make(map[string]string, len(c.voters))
	for v, at := range c.voters {
		s.Addresses[v] = at
	}
	return s
}

// IsActing tells whether this voter acts for the council just now: nobody else does, and all that was recorded is applied.
func (c *Server) IsActing() bool { return c.now() < c.tenure.Load() }

// address is where a voter is, empty for not known.
func (c *Server) address(v council.VoterID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voters[strconv.FormatUint(uint64(v), 10)]
}

// do lets something happen between two steps of Run, and tells whether it will.
func (c *Server) do(ctx context.Context, what func()) error {
	select {
	case c.events <- what:
		return nil
	case <-c.over:
		return errOver
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record asks the council to agree on a record for a machine, and returns once that has it. After ErrNotLeading it was not
// recorded and never will be; after another error it may be.
func (c *Server) Record(ctx context.Context, machine string, data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return err
	}
	by := c.name + "-" + strconv.FormatUint(c.asked.Add(1), 36)
	text, err = json.Marshal(record{Machine: machine, ProposalID: by, Data: text})
	if err != nil {
		return err
	}
	err = c.ask(ctx, func(told chan error) {
		if !c.IsActing() || c.seat.Propose(text) != nil {
			told <- ErrNotLeading
			return
		}
		c.waiting[by] = told
	})
	if err != nil && err == ctx.Err() {
		c.do(context.Background(), func() { delete(c.waiting, by) })
		return fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	return err
}

// ask lets something happen between two steps of Run that answers once, and waits for the answer.
func (c *Server) ask(ctx context.Context, what func(told chan error)) error {
	told := make(chan error, 1)
	if err := c.do(ctx, func() { what(told) }); err != nil {
		return err
	}
	select {
	case err := <-told:
		return err
	case <-c.over:
		return errOver
	case <-ctx.Done():
		return ctx.Err()
	}
}

// VoterChange is a change of who votes.
type VoterChange struct {
	Add    VoterAddresses    `json:"add,omitempty"`
	Remove []council.VoterID `json:"remove,omitempty"`
}

// ChangeVoters asks the council to let voters in and others go, and returns once it was proposed.
func (c *Server) ChangeVoters(ctx context.Context, change VoterChange) error {
	said := map[string]string{}
	var add []council.VoterID
	for v, at := range change.Add {
		add, said[strconv.FormatUint(uint64(v), 10)] = append(add, v), at
	}
	text, err := json.Marshal(said)
	if err != nil {
		return err
	}
	return c.ask(ctx, func(told chan error) { told <- c.seat.ChangeVoters(add, change.Remove, text) })
}

// Receive takes a packet of another voter in.
func (c *Server) Receive(ctx context.Context, p council.Packet) error {
	return c.do(ctx, func() {
		if err := c.seat.Receive(p); err != nil {
			c.log.WithError(err).Warn("a packet was not taken")
		}
	})
}
