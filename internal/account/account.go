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
	journal *store.Journal
	commit  *store.BatchWriter
	begun   time.Time

	mu sync.Mutex
	l  *ledger.Ledger
}

const together = 256 // records of one write, at most

// Open takes up what a journal holds, for so many RPCs of which one caller may have so many. A journal that holds nothing
// may be one that was lost: until the longest deadline from now has passed repeats can't be told from first tries.
func Open(j *store.Journal, most, quota int, longest time.Duration) (*JournaledLedger, error) {
	a := &JournaledLedger{journal: j, commit: store.NewBatchWriter(j, together), begun: time.Now()}
	records, err := store.ReadAll[ledger.Record](j)
	if err != nil {
		return nil, err
	}
	a.l = ledger.New(a.now(), most, quota)
	a.l.Recover(a.now(), records)
	if len(records) == 0 {
		a.l.MarkRecordsLost(a.now() + int64(longest))
	}
	return a, nil
}

func (a *JournaledLedger) now() int64 { return a.begun.UnixNano() + int64(time.Since(a.begun)) }

// Join makes a caller known, or tells that it has started anew.
func (a *JournaledLedger) Join(name string, epoch uint64) (ledger.Caller, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.l.Join(name, epoch)
}

// Request decides on an RPC. Once it returns a grant the record that the grant needs is on the disk; where that can't be
// written the RPC is pushed back, since nobody has the grant, and the error says why.
func (a *JournaledLedger) Request(asked ledger.Request) (ledger.Decision, error) {
	d, record, needed := a.decide(asked)
	if !needed {
		return d, nil
	}
	err := a.write(record)
	if err == nil {
		return d, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.l.Report(asked.Caller, record.Epoch, d.Grant, ledger.NeverRan)
	return ledger.Decision{Action: ledger.ActionReject, Reason: ledger.ReasonJournalFailed}, err
}

// decide decides, and counts a grant as out from here on: a repeat that comes while its record is written finds it so.
func (a *JournaledLedger) decide(asked ledger.Request) (d ledger.Decision, r ledger.Record, needed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.l.Advance(now)
	if d = a.l.Decide(now, asked); d.Action != ledger.ActionGrant {
		return d, r, false
	}
	r, needed = a.l.Record(now, asked, d.Grant)
	a.l.Granted(now, asked, d.Grant)
	return d, r, needed
}

// Report takes what came of a grant, and tells whether it counts. Its record may be lost in a crash: the grant may then
// have run for all that is known.
func (a *JournaledLedger) Report(c ledger.Caller, epoch uint64, g ledger.Grant, f ledger.Outcome) (bool, error) {
	a.mu.Lock()
	counts := a.l.Report(c, epoch, g, f)
	now := a.now()
	a.mu.Unlock()
	if !counts {
		return false, nil
	}
	return true, a.write(ledger.Record{Grant: g, Outcome: f, At: now})
}

func (a *JournaledLedger) write(r ledger.Record) error {
	text, err := json.Marshal(r)
	if err == nil {
		err = a.commit.Append(text)
	}
	if err != nil {
		return fmt.Errorf("the journal: %w", err)
	}
	return nil
}

// Counts are of what came and what became of it.
func (a *JournaledLedger) Counts() ledger.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.l.Counts()
}
