package trailstore

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/audit"
	"sedgespread/internal/versions"
)

// Guards against a truncated file that loses more than its last line, and one that grows without
// bound.
func TestStoreSurvivesTruncation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t")
	store, segments, unreadable, err := Open(path, 500)
	require.NoError(t, err)
	require.Empty(t, segments)
	require.Zero(t, unreadable)
	trail := audit.NewTrail(0, versions.Instance{Name: "a", Start: 1}, "x", 1000, 1)
	trail.RecordEpoch(0, "book", 1, 1)
	lines := 0
	for seq := uint64(0); ; lines++ {
		trail.Flush(int64(seq))
		segment := trail.Since(seq, 1)
		require.NoError(t, store.Append(segment))
		if seq = segment.Entries[0].Seq; seq == 10 {
			break
		}
	}
	lines++
	require.NoError(t, store.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	truncated := filepath.Join(t.TempDir(), "cut")
	maxSegments, unreadableLines := 0, 0
	for cut := 0; cut <= len(text); cut++ {
		require.NoError(t, os.WriteFile(truncated, text[:cut], 0o600))
		store, segments, unreadable, err := Open(truncated, 3000)
		require.NoError(t, err)
		require.LessOrEqual(t, unreadable, 1)
		collection := audit.NewCollection(1000)
		collection.Merge(segments)
		require.Empty(t, collection.Faults(), "cut at %d", cut)
		maxSegments, unreadableLines = max(maxSegments, len(segments)), unreadableLines+unreadable
		if cut%97 == 0 { // segments appended after the truncation are readable
			require.NoError(t, store.Append(trail.Since(10, 1)))
			store.Close()
			_, reopened, _, err := Open(truncated, 3000)
			require.NoError(t, err)
			require.Len(t, reopened, len(segments)+1)
			continue
		}
		store.Close()
	}
	require.Equal(t, lines, maxSegments)
	require.Greater(t, unreadableLines, 100)
	store, segments, _, err = Open(path, 1000)
	require.NoError(t, err)
	require.True(t, store.IsFull())
	require.NoError(t, store.Rewrite(segments[:2]))
	require.False(t, store.IsFull())
	require.NoError(t, store.Append(segments[2]))
	require.NoError(t, store.Close())
	_, segments, _, err = Open(path, 3000)
	require.NoError(t, err)
	require.Len(t, segments, 3)
}
