package shelf

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/audit"
	"sedgespread/internal/versions"
)

// Guards against a file cut at any byte that loses more than its last line, and one that grows for ever.
func TestStoreSurvivesTruncation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t")
	s, parts, spoilt, err := Open(path, 500)
	require.NoError(t, err)
	require.Empty(t, parts)
	require.Zero(t, spoilt)
	r := audit.NewTrail(0, versions.Instance{Name: "a", Start: 1}, "x", 1000, 1)
	r.RecordEpoch(0, "book", 1, 1)
	lines := 0
	for at := uint64(0); ; lines++ {
		r.Flush(int64(at))
		p := r.Since(at, 1)
		require.NoError(t, s.Append(p))
		if at = p.Entries[0].Seq; at == 10 {
			break
		}
	}
	lines++
	require.NoError(t, s.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	part := filepath.Join(t.TempDir(), "cut")
	whole, cutOff := 0, 0
	for cut := 0; cut <= len(text); cut++ {
		require.NoError(t, os.WriteFile(part, text[:cut], 0o600))
		s, parts, spoilt, err := Open(part, 3000)
		require.NoError(t, err)
		require.LessOrEqual(t, spoilt, 1)
		c := audit.NewCollection(1000)
		c.Merge(parts)
		require.Empty(t, c.Faults(), "cut at %d", cut)
		whole, cutOff = max(whole, len(parts)), cutOff+spoilt
		if cut%97 == 0 { // what is written behind is read again
			require.NoError(t, s.Append(r.Since(10, 1)))
			s.Close()
			_, again, _, err := Open(part, 3000)
			require.NoError(t, err)
			require.Len(t, again, len(parts)+1)
			continue
		}
		s.Close()
	}
	require.Equal(t, lines, whole)
	require.Greater(t, cutOff, 100)
	s, parts, _, err = Open(path, 1000)
	require.NoError(t, err)
	require.True(t, s.IsFull())
	require.NoError(t, s.Rewrite(parts[:2]))
	require.False(t, s.IsFull())
	require.NoError(t, s.Append(parts[2]))
	require.NoError(t, s.Close())
	_, parts, _, err = Open(path, 3000)
	require.NoError(t, err)
	require.Len(t, parts, 3)
}
