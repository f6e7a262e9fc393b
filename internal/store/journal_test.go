package store

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func readRecords(j *Journal) (records []string, err error) {
	err = j.Replay(func(r []byte) error { records = append(records, string(r)); return nil })
	return records, err
}

// Guards against records that are lost, duplicated or reordered by a restart.
func TestRecordsSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	var want []string
	for round := range 3 {
		j, err := Open(path)
		require.NoError(t, err)
		got, err := readRecords(j)
		require.NoError(t, err)
		require.Equal(t, want, got)
		for i := range 50 {
			a, b := fmt.Sprint("a", round, i), fmt.Sprint("b", round, i)
			require.NoError(t, j.Append([]byte(a), []byte(b)))
			want = append(want, a, b)
		}
		_, err = Open(path)
		require.ErrorContains(t, err, "another process")
		require.NoError(t, j.Close())
	}
}

// Guards against a coordinator that resumes with fewer records than it has acknowledged: a journal
// truncated at any byte must be complete or rejected with an error.
func TestTruncatedJournal(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "j")
	j, err := Open(path)
	require.NoError(t, err)
	var want []string
	for i := range 40 {
		want = append(want, fmt.Sprintf("record %d %01000d", i, i))
		require.NoError(t, j.Append([]byte(want[i])))
	}
	require.NoError(t, j.Close())
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	refused := 0
	for cut := 0; cut < len(data); cut++ {
		if cut%4096 > 2 && cut%4096 < 4094 && cut > 8300 && cut%509 != 0 { // every byte of the meta pages and around page ends
			continue
		}
		truncatedPath := filepath.Join(dir, "cut")
		require.NoError(t, os.WriteFile(truncatedPath, data[:cut], 0o600))
		j, err := Open(truncatedPath)
		if err != nil {
			refused++
			continue
		}
		got, err := readRecords(j)
		require.NoError(t, j.Close())
		require.NoError(t, err)
		require.Equal(t, want, got, "cut at %d of %d", cut, len(data))
	}
	require.Greater(t, refused, 1000)
}

// Guards against an Append that returns before its own record is durable, and against unbatched
// writes.
func TestConcurrentAppendsAreBatched(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, err := Open(path)
	require.NoError(t, err)
	writer := NewBatchWriter(j, 16)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			assert.NoError(t, writer.Append([]byte(fmt.Sprint(i))))
		}()
	}
	wait.Wait()
	writes, records := writer.Stats()
	require.EqualValues(t, 200, records)
	require.Less(t, writes, int64(100))
	got, err := readRecords(j)
	require.NoError(t, err)
	require.Len(t, got, 200)
	require.NoError(t, j.Close())
	require.Error(t, writer.Append([]byte("late")), "the file is closed")
	writer.Close()
	require.ErrorIs(t, writer.Append([]byte("later")), errClosed)
}

func TestTrimOldest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, err := Open(path)
	require.NoError(t, err)
	for i := range 10 {
		require.NoError(t, j.Append([]byte(fmt.Sprint(i))))
	}
	require.NoError(t, j.TrimOldest(20))
	require.NoError(t, j.TrimOldest(3))
	require.NoError(t, j.Append([]byte("10")))
	require.NoError(t, j.Close())
	j, err = Open(path)
	require.NoError(t, err)
	got, err := readRecords(j)
	require.NoError(t, err)
	require.Equal(t, []string{"7", "8", "9", "10"}, got)
	require.NoError(t, j.TrimOldest(0))
	got, err = readRecords(j)
	require.NoError(t, err)
	require.Empty(t, got)
	require.NoError(t, j.Close())
}

// BenchmarkAppend compares one write per record with batched writes.
func BenchmarkAppend(b *testing.B) {
	for _, writers := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(writers, " at once"), func(b *testing.B) {
			journal, err := Open(filepath.Join(b.TempDir(), "j"))
			require.NoError(b, err)
			writer := NewBatchWriter(journal, writers)
			record := make([]byte, 120)
			var wait sync.WaitGroup
			b.ResetTimer()
			for range writers {
				wait.Add(1)
				go func() {
					defer wait.Done()
					for range max(1, b.N/writers) {
						writer.Append(record)
					}
				}()
			}
			wait.Wait()
			writes, records := writer.Stats()
			b.ReportMetric(float64(records)/float64(writes), "records/write")
			journal.Close()
		})
	}
}

// Guards against reading corrupted records.
func TestCorruptedJournal(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "j")
	j, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, j.Append([]byte("the first record"), []byte("the second record")))
	require.NoError(t, j.Close())
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for offset := 0; offset < len(data); offset += 61 {
		corrupted := append([]byte(nil), data...)
		corrupted[offset] ^= 0x55
		corruptedPath := filepath.Join(dir, fmt.Sprint("changed", offset)) // its own path, since a file that failed to open may stay locked
		require.NoError(t, os.WriteFile(corruptedPath, corrupted, 0o600))
		j, err := Open(corruptedPath)
		if err != nil {
			continue
		}
		got, err := readRecords(j)
		j.Close()
		if err == nil {
			require.Equal(t, []string{"the first record", "the second record"}, got, "changed at %d", offset)
		}
	}
}
