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
	"sedgespread/internal/council/server"
	"sedgespread/internal/store"
)

// recorder makes records durable and applies them.
type recorder[R any] interface {
	// record makes records durable and applies them, all or none. After server.ErrOutcomeUnknown they may
	// still be applied later.
	record(ctx context.Context, records []R) error
	// isActing reports whether this process is the only one that may propose records now.
	isActing() bool
	// voterID returns the ID of this voter, 0 if there is no council.
	voterID() council.VoterID
	// onLeader returns a handler that runs h on the leader, forwarding requests if need be.
	onLeader(h http.Handler) http.Handler
}

// proposer serializes proposals: each is made on the state that results from all earlier ones.
type proposer[R any] struct {
	recorder  recorder[R]
	proposeMu sync.Mutex // held from proposing until the records are applied
}

// propose records what makeRecords returns, and returns once that is applied. makeRecords runs with mu
// held. It reports whether there was anything to record.
func (p *proposer[R]) propose(ctx context.Context, mu *sync.Mutex, makeRecords func() ([]R, error)) (recorded bool, err error) {
	p.proposeMu.Lock()
	defer p.proposeMu.Unlock()
	if !p.recorder.isActing() {
		return false, server.ErrNotLeading
	}
	mu.Lock()
	records, err := makeRecords()
	mu.Unlock()
	if err != nil || len(records) == 0 {
		return false, err
	}
	return true, p.recorder.record(ctx, records)
}

// runPeriodically calls step at every stepInterval until the context ends.
func runPeriodically(ctx context.Context, step func(ctx context.Context)) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(ctx)
		}
	}
}

// journalRecorder writes the records of a single coordinator to a local journal.
type journalRecorder struct {
	server  *CoordinatorServer
	journal *store.Journal
	lastErr error // of the last write
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
		j.server.log.WithField("error", err).Warn("journal writes began to fail, or succeeded again")
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

// councilRecorder replicates the records of one state machine through the council's log.
type councilRecorder[R any] struct {
	councilServer    *server.Server
	stateMachineName string
}

func (c councilRecorder[R]) isActing() bool { return c.councilServer.IsActing() }

func (c councilRecorder[R]) voterID() council.VoterID { return c.councilServer.State().Voter }

func (c councilRecorder[R]) onLeader(h http.Handler) http.Handler {
	return c.councilServer.ForwardToLeader(h)
}

func (c councilRecorder[R]) record(ctx context.Context, records []R) error {
	return c.councilServer.Record(ctx, c.stateMachineName, records)
}

// applyRecords applies committed records up to the first invalid one. A record is invalid if its
// proposer did not know of records committed meanwhile; all voters then skip it alike.
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

// CoordinatorStateMachineName marks the coordinator's records in the council's log.
const CoordinatorStateMachineName = "cells"

// CoordinatorStateMachine adapts a CoordinatorServer to the council: every voter applies its records,
// and the leader proposes them.
type CoordinatorStateMachine struct{ server *CoordinatorServer }

// Apply applies committed records.
func (m CoordinatorStateMachine) Apply(data []byte) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	if err := applyRecords(data, m.server.apply); err != nil {
		m.server.log.WithError(err).Info("skipped an invalid record of the coordinator")
	}
}

// Snapshot returns the state that results from all applied records.
func (m CoordinatorStateMachine) Snapshot() ([]byte, error) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return json.Marshal(m.server.coordinator.Snapshot())
}

// Restore replaces the state by that of a snapshot.
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

// Lead makes this voter the one that proposes.
func (m CoordinatorStateMachine) Lead() {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.coordinator.TakeOver(m.server.now())
	m.server.requestedFills = map[cells.Tenant]cells.Epoch{}
	m.server.log.WithFields(logrus.Fields{"epoch": m.server.coordinator.Directory().LatestEpoch(), "drivers": len(m.server.coordinator.Drivers())}).Info("acting as coordinator")
}
