package account

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/ledger"
	"sedgespread/internal/store"
	"sedgespread/rules"
)

// openLedger opens the journal at path and recovers a ledger from it.
func openLedger(t *testing.T, path string) (*JournaledLedger, *store.Journal) {
	journal, err := store.Open(path)
	require.NoError(t, err)
	l, err := Open(journal, 1000, 1000, time.Minute)
	require.NoError(t, err)
	return l, journal
}

func writeRequest(id string) ledger.Request {
	return ledger.Request{ID: ledger.ID(id), Effect: rules.NonIdempotent, Group: 1, Deadline: time.Now().Add(10 * time.Second).UnixNano()}
}

// Guards against two grants for one write, to concurrent callers or after a crash.
func TestSingleGrantPerWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	l, journal := openLedger(t, path)
	l.Join("proxy", 1)
	var mu sync.Mutex
	grantsByID := map[string][]ledger.Grant{}
	var wait sync.WaitGroup
	for i := range 300 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprint(i % 60)
			decision, err := l.Request(writeRequest(id))
			if err == nil && decision.Action == ledger.ActionGrant {
				mu.Lock()
				defer mu.Unlock()
				grantsByID[id] = append(grantsByID[id], decision.Grant)
			}
		}()
	}
	wait.Wait()
	require.Len(t, grantsByID, 60)
	for id, grants := range grantsByID {
		require.Len(t, grants, 1, id)
	}
	accepted, err := l.Report(0, 1, grantsByID["7"][0], ledger.NeverRan)
	require.True(t, accepted)
	require.NoError(t, err)
	accepted, _ = l.Report(0, 1, grantsByID["7"][0], ledger.NeverRan)
	require.False(t, accepted)
	require.NoError(t, journal.Close()) // crash

	l, journal = openLedger(t, path)
	defer journal.Close()
	caller, joined := l.Join("proxy", 1)
	require.True(t, joined)
	for id := range grantsByID {
		retry := writeRequest(id)
		retry.Caller, retry.IsRetry = caller, true
		decision, err := l.Request(retry)
		require.NoError(t, err)
		want := ledger.ActionAbort
		if id == "7" {
			want = ledger.ActionGrant
		}
		require.Equal(t, want, decision.Action, id)
	}
}

// Guards against a grant without its record: if the disk fails, the RPC is rejected and can be granted later.
func TestNoGrantWithoutRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	l, journal := openLedger(t, path)
	l.Join("proxy", 1)
	require.NoError(t, journal.Close())
	for range 3 {
		decision, err := l.Request(writeRequest("1"))
		require.ErrorContains(t, err, "writing record to ledger journal")
		require.Equal(t, ledger.Decision{Action: ledger.ActionReject, Reason: ledger.ReasonJournalFailed}, decision)
	}
	read := writeRequest("2")
	read.Effect = rules.Idempotent
	decision, err := l.Request(read)
	require.NoError(t, err)
	require.Equal(t, ledger.ActionGrant, decision.Action, "an idempotent RPC needs no record")
}

// Guards against granting retries of RPCs that ran before the journal was lost.
func TestLostJournalBlocksRetries(t *testing.T) {
	l, journal := openLedger(t, filepath.Join(t.TempDir(), "journal"))
	defer journal.Close()
	l.Join("proxy", 1)
	retry := writeRequest("1")
	retry.IsRetry = true
	decision, err := l.Request(retry)
	require.NoError(t, err)
	require.Equal(t, ledger.ReasonRecordsLost, decision.Reason)
	decision, err = l.Request(writeRequest("2"))
	require.NoError(t, err)
	require.Equal(t, ledger.ActionGrant, decision.Action)
}
