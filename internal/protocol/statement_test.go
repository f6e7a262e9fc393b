package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	reading = `SELECT content FROM kv WHERE name = 'it''s' /* id=7f,c=basket,d=480,cluster=2,after=1767225600123,k=9,r=1 */`
	writing = `INSERT INTO kv (name, content) VALUES ('k', '\x9f03') RETURNING content /* id=7f,c=order,d=480,cluster=2 */`
)

// Guards against a statement that reaches a member other than as it came, but for d.
func TestStatement(t *testing.T) {
	s, err := ParseStatement(reading)
	require.NoError(t, err)
	require.Equal(t, []any{"7f", "basket", "it's", int64(480), int64(2), int64(1767225600123), true, false},
		[]any{s.ID, s.Method, s.Key, s.TimeoutMillis, s.Group, s.MinPositionMillis, s.IsRetry, s.Write})
	require.Equal(t, strings.Replace(reading, "d=480", "d=31", 1), strings.Join(s.WithTimeout(31, Fence{}), ""))
	s, err = ParseStatement(writing)
	require.NoError(t, err)
	require.True(t, s.Write)
	require.Equal(t, strings.Replace(writing, "d=480", "d=31", 1), strings.Join(s.WithTimeout(31, Fence{}), ""))
}

// Guards against statements that a member would not take reaching one: in each a single piece is not as it must be.
func TestStatementsRefused(t *testing.T) {
	for _, c := range []struct {
		from, old, new string
		want           error
	}{
		{reading, reading, "SELECT 1", errForm},
		{reading, reading, "", errForm},
		{reading, "SELECT content", "SELECT  content", errForm},
		{reading, "kv", "kv2", errForm},
		{reading, "'it''s'", "it", errKey},
		{reading, "'it''s'", "''", errKey},
		{reading, "'it''s'", "'it'", nil},
		{reading, "s' /*", "s /*", errKey},
		{reading, "s'", "s' OR 1 = 1", errComment},
		{reading, " */", "", errComment},
		{reading, " */", " */ ;", errComment},
		{reading, " */", " */ /* */", errComment},
		{reading, "k=9", "k", errComment},
		{reading, "k=9", "", errComment},
		{reading, "id=7f,", "", errID},
		{reading, "id=7f", "id=", errID},
		{reading, "id=7f", "id=7f,id=7f", errTwice},
		{reading, "id=7f", "id=" + strings.Repeat("7", mostName+1), errID},
		{reading, "c=basket,", "", errMethod},
		{reading, "d=480,", "", errLeft},
		{reading, "d=480", "d=", errLeft},
		{reading, "d=480", "d=soon", errLeft},
		{reading, "d=480", "d=-5", errLeft},
		{reading, "d=480", "d=+5", errLeft},
		{reading, "d=480", "d=4.8", errLeft},
		{reading, "d=480", "d=99999999999999999", errLeft},
		{reading, "d=480", "d=480,d=480", errTwice},
		{reading, "cluster=2,", "", errGroup},
		{reading, "cluster=2", "cluster=two", errGroup},
		{reading, "after=1", "after=x", errAfter},
		{reading, ",r=1", ",r=yes", errRepeat},
		{writing, "x9f03", "x9f0", errContent},
		{writing, "x9f03", "x9f0g", errContent},
		{writing, `'\x9f03'`, "9", errContent},
		{writing, "x9f03", "x" + strings.Repeat("0", 2*mostContent), nil},
		{writing, "x9f03", "x" + strings.Repeat("0", 2*mostContent+2), errContent},
		{writing, " RETURNING content", "", errForm},
	} {
		text := strings.Replace(c.from, c.old, c.new, 1)
		require.NotEqual(t, c.from, text)
		_, err := ParseStatement(text)
		require.Equal(t, c.want, err, text)
	}
}

func FuzzStatement(f *testing.F) {
	f.Add(reading)
	f.Add(writing)
	f.Add("SELECT content FROM kv WHERE name = '' /* id=1 , c = x , d = 5 */ ; ")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseStatement(text)
		if err != nil {
			return
		}
		again, err := ParseStatement(strings.Join(s.WithTimeout(s.TimeoutMillis, Fence{}), ""))
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}

// Guards against a store that does not learn under which version an attempt was made, or takes a client's word for it.
func TestFences(t *testing.T) {
	s, err := ParseStatement(strings.Replace(reading, "d=480", "d=480,fence=9", 1))
	require.NoError(t, err)
	f := Fence{Version: 7, Epoch: 19, Valid: []uint64{6, 7}}
	sent := strings.Join(s.WithTimeout(31, f), "")
	require.Contains(t, sent, ",fence=7@19:6+7 */")
	require.Equal(t, f, ParseFence(sent))
	_, err = ParseStatement(sent)
	require.NoError(t, err, "a member can read it")
	for _, none := range []string{reading, ",fence=x */", ",fence=1 */", ",fence=1@ */", ",fence=1@2:3+ */", ",fence=1@2:3+x */",
		",fence=1@2:1+1+1+1+1+1+1+1+1 */"} {
		require.Zero(t, ParseFence(none), none)
	}
	require.Equal(t, Fence{Version: 1, Epoch: 2}, ParseFence(",fence=1@2 */"))
}
