// Package account makes a ledger durable: the grant of an RPC that must not run twice is written to the
// journal before it is returned. The decisions themselves are made by package ledger.
package account

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"sedgespread/internal/ledger"
	"sedgespread/internal/store"
)

// JournaledLedger is a ledger backed by a journal. It is safe for concurrent use.
type JournaledLedger struct {
	journal   *store.Journal
	writer    *store.BatchWriter
	startedAt time.Time

	mu     sync.Mutex
	ledger *ledger.Ledger
}

const maxRecordsPerWrite = 256

// Open recovers a ledger from a journal. An empty journal may have been lost: until maxDeadline has passed
// a retry may be of an RPC that has run, and is not granted.
func Open(journal *store.Journal, maxRPCs, maxRPCsPerCaller int, maxDeadline time.Duration) (*JournaledLedger, error) {
	l := &JournaledLedger{journal: journal, writer: store.NewBatchWriter(journal, maxRecordsPerWrite), startedAt: time.Now()}
	records, err := store.ReadAll[ledger.Record](journal)
	if err != nil {
		return nil, err
	}
	l.ledger = ledger.New(l.now(), maxRPCs, maxRPCsPerCaller)
	l.ledger.Recover(l.now(), records)
	if len(records) == 0 {
		l.ledger.MarkRecordsLost(l.now() + int64(maxDeadline))
	}
	return l, nil
}

func (l *JournaledLedger) now() int64 { return l.startedAt.UnixNano() + int64(time.Since(l.startedAt)) }

// Join registers a caller. It returns false for an earlier start of a known caller.
func (l *JournaledLedger) Join(name string, epoch uint64) (ledger.Caller, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Join(name, epoch)
}

// Request decides on an RPC. The record that a grant needs is on disk when Request returns it. If the
// record cannot be written, the RPC is rejected and the error returned.
func (l *JournaledLedger) Request(request ledger.Request) (ledger.Decision, error) {
	decision, record, isRecordNeeded := l.decide(request)
	if !isRecordNeeded {
		return decision, nil
	}
	err := l.write(record)
	if err == nil {
		return decision, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Report(request.Caller, record.Epoch, decision.Grant, ledger.NeverRan)
	return ledger.Decision{Action: ledger.ActionReject, Reason: ledger.ReasonJournalFailed}, err
}

// decide decides on an RPC. A grant counts as given from here on, so that a retry that arrives while the
// record is being written is not granted too.
func (l *JournaledLedger) decide(request ledger.Request) (decision ledger.Decision, record ledger.Record, isRecordNeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.ledger.Advance(now)
	if decision = l.ledger.Decide(now, request); decision.Action != ledger.ActionGrant {
		return decision, record, false
	}
	record, isRecordNeeded = l.ledger.Record(now, request, decision.Grant)
	l.ledger.Granted(now, request, decision.Grant)
	return decision, record, isRecordNeeded
}

// Report records the outcome of a grant and reports whether it was accepted. If a crash loses the record,
// the RPC counts as one that may have run.
func (l *JournaledLedger) Report(caller ledger.Caller, epoch uint64, grant ledger.Grant, outcome ledger.Outcome) (bool, error) {
	l.mu.Lock()
	accepted := l.ledger.Report(caller, epoch, grant, outcome)
	now := l.now()
	l.mu.Unlock()
	if !accepted {
		return false, nil
	}
	return true, l.write(ledger.Record{Grant: grant, Outcome: outcome, At: now})
}

func (l *JournaledLedger) write(record ledger.Record) error {
	text, err := json.Marshal(record)
	if err == nil {
		err = l.writer.Append(text)
	}
	if err != nil {
		return fmt.Errorf("writing record to ledger journal: %w", err)
	}
	return nil
}

// Counts returns the counters of the ledger.
func (l *JournaledLedger) Counts() ledger.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Counts()
}
