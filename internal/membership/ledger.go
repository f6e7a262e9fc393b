package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/cells"
	"sedgespread/internal/council"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/store"
)

// recorder is where records are written down before they count.
type recorder[R any] interface {
	// record writes records down and has them applied, all or none. After chamber.ErrUnknown they may be yet.
	record(ctx context.Context, records []R) error
	// isActing tells whether whoever is here decides just now, and nobody else.
	isActing() bool
	// voterID is whose ledger this is, 0 for one without fellows.
	voterID() council.VoterID
	// onLeader lets a handler answer where whoever decides is.
	onLeader(h http.Handler) http.Handler
}

// proposer are made one at a time, each on what all before it have come to.
type proposer[R any] struct {
	recorder  recorder[R]
	proposeMu sync.Mutex // from what is proposed until it counts
}

// propose has what a function proposes written down, and returns once it counts. The function runs with the lock held that
// guards what it looks at. Nothing proposed is nothing done.
func (p *proposer[R]) propose(ctx context.Context, mu *sync.Mutex, makeRecords func() ([]R, error)) (recorded bool, err error) {
	p.proposeMu.Lock()
	defer p.proposeMu.Unlock()
	if !p.recorder.isActing() {
		return false, chamber.ErrNotLeading
	}
	mu.Lock()
	records, err := makeRecords()
	mu.Unlock()
	if err != nil || len(records) == 0 {
		return false, err
	}
	return true, p.recorder.record(ctx, records)
}

// runPeriodically takes a step every little while until the context ends.
func runPeriodically(ctx context.Context, step func(ctx context.Context)) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			step(ctx)
		}
	}
}

// journalRecorder is the ledger of a coordinator without fellows: a journal of its own.
type journalRecorder struct {
	server  *CoordinatorServer
	journal *store.Journal
	lastErr error // it could not be written last
}

func (j *journalRecorder) isActing() bool { return true }

func (j *journalRecorder) voterID() council.VoterID { return 0 }

func (j *journalRecorder) onLeader(h http.Handler) http.Handler { return h }

func (j *journalRecorder) record(_ context.Context, records []cells.Record) error {
	texts := make([][]byte, 0, len(records))
	for _, r := range records {
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		texts = append(texts, text)
	}
	err := j.journal.Append(texts...)
	if (err == nil) != (j.lastErr == nil) {
		j.server.log.WithField("error", err).Warn("the journal can be written, or not")
	}
	if j.lastErr = err; err != nil {
		return fmt.Errorf("nothing was changed: %w", err)
	}
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	for _, r := range records {
		if err := j.server.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// councilRecorder is a ledger that is a council's log, for one of its machines.
type councilRecorder[R any] struct {
	chamber          *chamber.Server
	stateMachineName string
}

func (c councilRecorder[R]) isActing() bool { return c.chamber.IsActing() }

func (c councilRecorder[R]) voterID() council.VoterID { return c.chamber.State().Voter }

func (c councilRecorder[R]) onLeader(h http.Handler) http.Handler {
	return c.chamber.ForwardToLeader(h)
}

func (c councilRecorder[R]) record(ctx context.Context, records []R) error {
	return c.chamber.Record(ctx, c.stateMachineName, records)
}

// applyRecords applies records that the council has agreed on, up to the first that does not follow from those before: it was
// proposed by one that did not know what another had recorded meanwhile. It counts at no voter.
func applyRecords[R any](data []byte, apply func(R) error) error {
	var records []R
	err := json.Unmarshal(data, &records)
	for _, r := range records {
		if err = apply(r); err != nil {
			break
		}
	}
	return err
}

// CoordinatorStateMachineName is what the coordinator's records are marked with in a council's log.
const CoordinatorStateMachineName = "cells"

// CoordinatorStateMachine is the chair as a machine on a council's log. It takes records in at every voter and decides at one.
type CoordinatorStateMachine struct{ server *CoordinatorServer }

// Apply takes in records that the council has agreed on.
func (m CoordinatorStateMachine) Apply(data []byte) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	if err := applyRecords(data, m.server.apply); err != nil {
		m.server.log.WithError(err).Info("a record does not count")
	}
}

// Snapshot is all that was recorded.
func (m CoordinatorStateMachine) Snapshot() ([]byte, error) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return json.Marshal(m.server.coordinator.Snapshot())
}

// Restore takes over a snapshot.
func (m CoordinatorStateMachine) Restore(data []byte) error {
	var snapshot cells.Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.changed.broadcast()
	m.server.coordinator.Restore(m.server.now(), snapshot)
	return nil
}

// Lead begins to decide.
func (m CoordinatorStateMachine) Lead() {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.coordinator.TakeOver(m.server.now())
	m.server.requestedFills = map[cells.Tenant]cells.Epoch{}
	m.server.log.WithFields(logrus.Fields{"epoch": m.server.coordinator.Directory().LatestEpoch(), "drivers": len(m.server.coordinator.Drivers())}).Info("coordinates")
}
