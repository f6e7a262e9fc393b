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

// ledger is where records are written down before they count.
type ledger[R any] interface {
	// record writes records down and has them applied, all or none. After chamber.ErrUnknown they may be yet.
	record(ctx context.Context, records []R) error
	// acts tells whether whoever is here decides just now, and nobody else.
	acts() bool
	// voter is whose ledger this is, 0 for one without fellows.
	voter() council.VoterID
	// leader lets a handler answer where whoever decides is.
	leader(h http.Handler) http.Handler
}

// decisions are made one at a time, each on what all before it have come to.
type decisions[R any] struct {
	ledger ledger[R]
	one    sync.Mutex // from what is proposed until it counts
}

// decide has what a function proposes written down, and returns once it counts. The function runs with the lock held that
// guards what it looks at. Nothing proposed is nothing done.
func (d *decisions[R]) decide(ctx context.Context, mu *sync.Mutex, propose func() ([]R, error)) (recorded bool, err error) {
	d.one.Lock()
	defer d.one.Unlock()
	if !d.ledger.acts() {
		return false, chamber.ErrNotLeading
	}
	mu.Lock()
	records, err := propose()
	mu.Unlock()
	if err != nil || len(records) == 0 {
		return false, err
	}
	return true, d.ledger.record(ctx, records)
}

// again takes a step every little while until the context ends.
func again(ctx context.Context, step func(ctx context.Context)) {
	tick := time.NewTicker(stepEvery)
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

// alone is the ledger of a coordinator without fellows: a journal of its own.
type alone struct {
	h       *CoordinatorServer
	journal *store.Journal
	broken  error // it could not be written last
}

func (a *alone) acts() bool { return true }

func (a *alone) voter() council.VoterID { return 0 }

func (a *alone) leader(h http.Handler) http.Handler { return h }

func (a *alone) record(_ context.Context, records []cells.Record) error {
	texts := make([][]byte, 0, len(records))
	for _, r := range records {
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		texts = append(texts, text)
	}
	err := a.journal.Append(texts...)
	if (err == nil) != (a.broken == nil) {
		a.h.log.WithField("error", err).Warn("the journal can be written, or not")
	}
	if a.broken = err; err != nil {
		return fmt.Errorf("nothing was changed: %w", err)
	}
	a.h.mu.Lock()
	defer a.h.mu.Unlock()
	for _, r := range records {
		if err := a.h.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// together is a ledger that is a council's log, for one of its machines.
type together[R any] struct {
	chamber *chamber.Server
	machine string
}

func (t together[R]) acts() bool { return t.chamber.IsActing() }

func (t together[R]) voter() council.VoterID { return t.chamber.State().Voter }

func (t together[R]) leader(h http.Handler) http.Handler { return t.chamber.ForwardToLeader(h) }

func (t together[R]) record(ctx context.Context, records []R) error {
	return t.chamber.Record(ctx, t.machine, records)
}

// applied applies records that the council has agreed on, up to the first that does not follow from those before: it was
// proposed by one that did not know what another had recorded meanwhile. It counts at no voter.
func applied[R any](data []byte, apply func(R) error) error {
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
type CoordinatorStateMachine struct{ h *CoordinatorServer }

// Apply takes in records that the council has agreed on.
func (p CoordinatorStateMachine) Apply(data []byte) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	if err := applied(data, p.h.apply); err != nil {
		p.h.log.WithError(err).Info("a record does not count")
	}
}

// Snapshot is all that was recorded.
func (p CoordinatorStateMachine) Snapshot() ([]byte, error) {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	return json.Marshal(p.h.c.Snapshot())
}

// Restore takes over a snapshot.
func (p CoordinatorStateMachine) Restore(data []byte) error {
	var past cells.Snapshot
	if err := json.Unmarshal(data, &past); err != nil {
		return err
	}
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	p.h.changed.ring()
	p.h.c.Restore(p.h.now(), past)
	return nil
}

// Lead begins to decide.
func (p CoordinatorStateMachine) Lead() {
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	p.h.c.TakeOver(p.h.now())
	p.h.asked = map[cells.Tenant]cells.Epoch{}
	p.h.log.WithFields(logrus.Fields{"epoch": p.h.c.Directory().LatestEpoch(), "drivers": len(p.h.c.Drivers())}).Info("coordinates")
}
