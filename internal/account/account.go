// Package account joins the ledger to its journal: a grant of an RPC that must not run twice is on the disk before anybody
// has it. What is decided is decided in package ledger.
package account

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"sedgespread/internal/ledger"
	"sedgespread/internal/store"
)

// JournaledLedger is a ledger at work. It may be used by many at once.
type JournaledLedger struct {
	journal   *store.Journal
	committer *store.Committer
	startedAt time.Time

	mu     sync.Mutex
	ledger *ledger.Ledger
}

const maxRecordsPerWrite = 256 // records of one write, at most

// Open takes up what a journal holds, for so many RPCs of which one caller may have so many. A journal that holds nothing
// may be one that was lost: until the longest deadline from now has passed repeats can't be told from first tries.
func Open(journal *store.Journal, maxRPCs, maxRPCsPerCaller int, maxDeadline time.Duration) (*JournaledLedger, error) {
	l := &JournaledLedger{journal: journal, committer: store.NewCommitter(journal, maxRecordsPerWrite), startedAt: time.Now()}
	records, err := store.All[ledger.Record](journal)
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

// Join makes a caller known, or tells that it has started anew.
func (l *JournaledLedger) Join(name string, epoch uint64) (ledger.Caller, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Join(name, epoch)
}

// Request decides on an RPC. Once it returns a grant the record that the grant needs is on the disk; where that can't be
// written the RPC is pushed back, since nobody has the grant, and the error says why.
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

// decide decides, and counts a grant as out from here on: a repeat that comes while its record is written finds it so.
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

// Report takes what came of a grant, and tells whether it counts. Its record may be lost in a crash: the grant may then
// have run for all that is known.
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
		err = l.committer.Append(text)
	}
	if err != nil {
		return fmt.Errorf("the journal: %w", err)
	}
	return nil
}

// Counts are of what came and what became of it.
func (l *JournaledLedger) Counts() ledger.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Counts()
}
