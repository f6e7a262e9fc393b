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

func read(j *Journal) (records []string, err error) {
	err = j.Replay(func(r []byte) error { records = append(records, string(r)); return nil })
	return records, err
}

// Guards against records that are lost, doubled or out of order over a restart.
func TestRecordsSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	var want []string
	for round := range 3 {
		j, err := Open(path)
		require.NoError(t, err)
		got, err := read(j)
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

// Guards against a coordinator that goes on from less than it has told: a journal cut off at any byte is whole or refused,
// with an error and without a crash.
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
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	refused := 0
	for cut := 0; cut < len(text); cut++ {
		if cut%4096 > 2 && cut%4096 < 4094 && cut > 8300 && cut%509 != 0 { // each byte of the heads, and round each page's end
			continue
		}
		part := filepath.Join(dir, "cut")
		require.NoError(t, os.WriteFile(part, text[:cut], 0o600))
		j, err := Open(part)
		if err != nil {
			refused++
			continue
		}
		got, err := read(j)
		require.NoError(t, j.Close())
		require.NoError(t, err)
		require.Equal(t, want, got, "cut at %d of %d", cut, len(text))
	}
	require.Greater(t, refused, 1000)
}

// Guards against a grant that is given though its record is not there: each Append is told of its own write.
func TestConcurrentAppendsAreBatched(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, err := Open(path)
	require.NoError(t, err)
	c := NewBatchWriter(j, 16)
	var all sync.WaitGroup
	for i := range 200 {
		all.Add(1)
		go func() {
			defer all.Done()
			assert.NoError(t, c.Append([]byte(fmt.Sprint(i))))
		}()
	}
	all.Wait()
	writes, records := c.Stats()
	require.EqualValues(t, 200, records)
	require.Less(t, writes, int64(100))
	got, err := read(j)
	require.NoError(t, err)
	require.Len(t, got, 200)
	require.NoError(t, j.Close())
	require.Error(t, c.Append([]byte("late")), "the file is closed")
	c.Close()
	require.ErrorIs(t, c.Append([]byte("later")), errClosed)
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
	got, err := read(j)
	require.NoError(t, err)
	require.Equal(t, []string{"7", "8", "9", "10"}, got)
	require.NoError(t, j.TrimOldest(0))
	got, err = read(j)
	require.NoError(t, err)
	require.Empty(t, got)
	require.NoError(t, j.Close())
}

// One sync a record against records of many together.
func BenchmarkAppend(b *testing.B) {
	for _, many := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(many, " at once"), func(b *testing.B) {
			j, err := Open(filepath.Join(b.TempDir(), "j"))
			require.NoError(b, err)
			c := NewBatchWriter(j, many)
			record := make([]byte, 120)
			var all sync.WaitGroup
			b.ResetTimer()
			for range many {
				all.Add(1)
				go func() {
					defer all.Done()
					for range max(1, b.N/many) {
						c.Append(record)
					}
				}()
			}
			all.Wait()
			writes, records := c.Stats()
			b.ReportMetric(float64(records)/float64(writes), "records/write")
			j.Close()
		})
	}
}

// Guards against what a disk changes.
func TestCorruptedJournal(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "j")
	j, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, j.Append([]byte("the first record"), []byte("the second record")))
	require.NoError(t, j.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for at := 0; at < len(text); at += 61 {
		changed := append([]byte(nil), text...)
		changed[at] ^= 0x55
		part := filepath.Join(dir, fmt.Sprint("changed", at)) // one that could not be opened may stay locked
		require.NoError(t, os.WriteFile(part, changed, 0o600))
		j, err := Open(part)
		if err != nil {
			continue
		}
		got, err := read(j)
		j.Close()
		if err == nil {
			require.Equal(t, []string{"the first record", "the second record"}, got, "changed at %d", at)
		}
	}
}
