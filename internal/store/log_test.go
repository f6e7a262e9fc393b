package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// logContents returns the records of a log and its value "v".
func logContents(l *Log) (records []string, value string, err error) {
	err = l.Each(func(n uint64, r []byte) error {
		records = append(records, fmt.Sprintf("%d:%s", n, r))
		return nil
	})
	if err != nil {
		return nil, "", err
	}
	v, err := l.Value("v")
	return records, string(v), err
}

func testValues(v string) map[string][]byte { return map[string][]byte{"v": []byte(v)} }

func encodeRecords(all ...string) (records [][]byte) {
	for _, text := range all {
		records = append(records, []byte(text))
	}
	return records
}

// Guards against overwritten records that survive, and against gaps.
func TestLogOverwritesRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	l, err := OpenLog(path)
	require.NoError(t, err)
	require.NoError(t, l.Save(Update{Values: testValues("one"), ReplaceFrom: 2, Records: encodeRecords("a", "b", "c", "d")}))
	require.NoError(t, l.Save(Update{ReplaceFrom: 4, Records: encodeRecords("w", "w")}, Update{ReplaceFrom: 4, Records: encodeRecords("x")}))
	require.NoError(t, l.Save(Update{Values: testValues("two"), DropBefore: 3}))
	require.NoError(t, l.Close())
	l, err = OpenLog(path)
	require.NoError(t, err)
	records, value, err := logContents(l)
	require.NoError(t, err)
	require.Equal(t, []string{"3:b", "4:x"}, records)
	require.Equal(t, "two", value)
	require.NoError(t, l.Save(Update{ReplaceFrom: 6, Records: encodeRecords("y")}))
	_, _, err = logContents(l)
	require.ErrorContains(t, err, "record 5 is missing")
	_, err = OpenLog(path)
	require.ErrorContains(t, err, "another process")
	require.NoError(t, l.Close())
	journal := filepath.Join(t.TempDir(), "j")
	j, err := Open(journal)
	require.NoError(t, err)
	require.NoError(t, j.Close())
	_, err = OpenLog(journal)
	require.ErrorContains(t, err, "a journal of a coordinator")
}

// Guards against a voter that resumes with less than it has acknowledged: a log truncated at any
// byte must be complete or rejected with an error.
func TestTruncatedLog(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "l")
	l, err := OpenLog(path)
	require.NoError(t, err)
	for i := range 12 {
		require.NoError(t, l.Save(Update{Values: testValues(fmt.Sprint("value ", i)), ReplaceFrom: uint64(i + 1), Records: encodeRecords(fmt.Sprintf("record %d %0900d", i, i))}))
	}
	want, value, err := logContents(l)
	require.NoError(t, err)
	require.NoError(t, l.Close())
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	refused := 0
	for cut := 0; cut < len(data); cut++ {
		if cut%4096 > 2 && cut%4096 < 4094 && cut%101 != 0 { // around page ends, and a sample of all other bytes
			continue
		}
		truncatedPath := filepath.Join(dir, "cut")
		require.NoError(t, os.WriteFile(truncatedPath, data[:cut], 0o600))
		l, err := OpenLog(truncatedPath)
		if err != nil {
			refused++
			continue
		}
		got, v, err := logContents(l)
		require.NoError(t, l.Close())
		require.NoError(t, err)
		require.Equal(t, want, got, "cut at %d of %d", cut, len(data))
		require.Equal(t, value, v)
	}
	require.Greater(t, refused, 100)
}
