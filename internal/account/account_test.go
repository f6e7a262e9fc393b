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

func opened(t *testing.T, path string) (*JournaledLedger, *store.Journal) {
	j, err := store.Open(path)
	require.NoError(t, err)
	a, err := Open(j, 1000, 1000, time.Minute)
	require.NoError(t, err)
	return a, j
}

func write(id string) ledger.Request {
	return ledger.Request{ID: ledger.ID(id), Effect: rules.NonIdempotent, Group: 1, Deadline: time.Now().Add(10 * time.Second).UnixNano()}
}

// Guards against two grants for one write: to many who ask at once, and over a crash.
func TestSingleGrantPerWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	a, j := opened(t, path)
	a.Join("proxy", 1)
	var mu sync.Mutex
	given := map[string][]ledger.Grant{}
	var all sync.WaitGroup
	for i := range 300 {
		all.Add(1)
		go func() {
			defer all.Done()
			id := fmt.Sprint(i % 60)
			d, err := a.Request(write(id))
			if err == nil && d.Action == ledger.ActionGrant {
				mu.Lock()
				defer mu.Unlock()
				given[id] = append(given[id], d.Grant)
			}
		}()
	}
	all.Wait()
	require.Len(t, given, 60)
	for id, grants := range given {
		require.Len(t, grants, 1, id)
	}
	counts, err := a.Report(0, 1, given["7"][0], ledger.NeverRan)
	require.True(t, counts)
	require.NoError(t, err)
	counts, _ = a.Report(0, 1, given["7"][0], ledger.NeverRan)
	require.False(t, counts)
	require.NoError(t, j.Close()) // it dies

	a, j = opened(t, path)
	defer j.Close()
	c, joined := a.Join("proxy", 1)
	require.True(t, joined)
	for id := range given {
		again := write(id)
		again.Caller, again.IsRetry = c, true
		d, err := a.Request(again)
		require.NoError(t, err)
		want := ledger.ActionAbort
		if id == "7" {
			want = ledger.ActionGrant
		}
		require.Equal(t, want, d.Action, id)
	}
}

// Guards against a grant without its record: where the disk fails the RPC is pushed back, and can be granted later.
func TestNoGrantWithoutRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	a, j := opened(t, path)
	a.Join("proxy", 1)
	require.NoError(t, j.Close())
	for range 3 {
		d, err := a.Request(write("1"))
		require.ErrorContains(t, err, "the journal")
		require.Equal(t, ledger.Decision{Action: ledger.ActionReject, Reason: ledger.ReasonJournalFailed}, d)
	}
	read := write("2")
	read.Effect = rules.Idempotent
	d, err := a.Request(read)
	require.NoError(t, err)
	require.Equal(t, ledger.ActionGrant, d.Action, "it needs no record")
}

// Guards against a journal that was lost: repeats may be of what ran.
func TestLostJournalBlocksRetries(t *testing.T) {
	a, j := opened(t, filepath.Join(t.TempDir(), "journal"))
	defer j.Close()
	a.Join("proxy", 1)
	again := write("1")
	again.IsRetry = true
	d, err := a.Request(again)
	require.NoError(t, err)
	require.Equal(t, ledger.ReasonRecordsLost, d.Reason)
	d, err = a.Request(write("2"))
	require.NoError(t, err)
	require.Equal(t, ledger.ActionGrant, d.Action)
}
