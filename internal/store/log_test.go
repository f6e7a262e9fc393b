package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// content is all that a log holds.
func content(l *Log) (records []string, value string, err error) {
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

func values(v string) map[string][]byte { return map[string][]byte{"v": []byte(v)} }

func texts(all ...string) (records [][]byte) {
	for _, t := range all {
		records = append(records, []byte(t))
	}
	return records
}

// Guards against records that outlive those written in their place, and against gaps.
func TestLogOverwritesRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	l, err := OpenLog(path)
	require.NoError(t, err)
	require.NoError(t, l.Save(Update{Values: values("one"), ReplaceFrom: 2, Records: texts("a", "b", "c", "d")}))
	require.NoError(t, l.Save(Update{ReplaceFrom: 4, Records: texts("w", "w")}, Update{ReplaceFrom: 4, Records: texts("x")}))
	require.NoError(t, l.Save(Update{Values: values("two"), DropBefore: 3}))
	require.NoError(t, l.Close())
	l, err = OpenLog(path)
	require.NoError(t, err)
	records, value, err := content(l)
	require.NoError(t, err)
	require.Equal(t, []string{"3:b", "4:x"}, records)
	require.Equal(t, "two", value)
	require.NoError(t, l.Save(Update{ReplaceFrom: 6, Records: texts("y")}))
	_, _, err = content(l)
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

// Guards against a voter that goes on from less than it has shown: a log cut off at any byte is whole or refused, with an
// error and without a crash.
func TestTruncatedLog(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "l")
	l, err := OpenLog(path)
	require.NoError(t, err)
	for i := range 12 {
		require.NoError(t, l.Save(Update{Values: values(fmt.Sprint("value ", i)), ReplaceFrom: uint64(i + 1), Records: texts(fmt.Sprintf("record %d %0900d", i, i))}))
	}
	want, value, err := content(l)
	require.NoError(t, err)
	require.NoError(t, l.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	refused := 0
	for cut := 0; cut < len(text); cut++ {
		if cut%4096 > 2 && cut%4096 < 4094 && cut%101 != 0 { // round each page's end, and some of all others
			continue
		}
		part := filepath.Join(dir, "cut")
		require.NoError(t, os.WriteFile(part, text[:cut], 0o600))
		l, err := OpenLog(part)
		if err != nil {
			refused++
			continue
		}
		got, v, err := content(l)
		require.NoError(t, l.Close())
		require.NoError(t, err)
		require.Equal(t, want, got, "cut at %d of %d", cut, len(text))
		require.Equal(t, value, v)
	}
	require.Greater(t, refused, 100)
}
