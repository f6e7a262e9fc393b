package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	readStatement  = `SELECT content FROM kv WHERE name = 'it''s' /* id=7f,c=basket,d=480,cluster=2,after=1767225600123,k=9,r=1 */`
	writeStatement = `INSERT INTO kv (name, content) VALUES ('k', '\x9f03') RETURNING content /* id=7f,c=order,d=480,cluster=2 */`
)

// Guards against changing anything but d in a statement sent to a member.
func TestStatement(t *testing.T) {
	s, err := ParseStatement(readStatement)
	require.NoError(t, err)
	require.Equal(t, []any{"7f", "basket", "it's", int64(480), int64(2), int64(1767225600123), true, false},
		[]any{s.ID, s.Method, s.Key, s.TimeoutMillis, s.Group, s.MinPositionMillis, s.IsRetry, s.Write})
	require.Equal(t, strings.Replace(readStatement, "d=480", "d=31", 1), strings.Join(s.WithTimeout(31, Fence{}), ""))
	s, err = ParseStatement(writeStatement)
	require.NoError(t, err)
	require.True(t, s.Write)
	require.Equal(t, strings.Replace(writeStatement, "d=480", "d=31", 1), strings.Join(s.WithTimeout(31, Fence{}), ""))
}

// Guards against forwarding unsupported statements. Each differs from a valid one in one place.
func TestParseStatementErrors(t *testing.T) {
	for _, c := range []struct {
		from, old, new string
		want           error
	}{
		{readStatement, readStatement, "SELECT 1", errUnsupportedForm},
		{readStatement, readStatement, "", errUnsupportedForm},
		{readStatement, "SELECT content", "SELECT  content", errUnsupportedForm},
		{readStatement, "kv", "kv2", errUnsupportedForm},
		{readStatement, "'it''s'", "it", errInvalidKey},
		{readStatement, "'it''s'", "''", errInvalidKey},
		{readStatement, "'it''s'", "'it'", nil},
		{readStatement, "s' /*", "s /*", errInvalidKey},
		{readStatement, "s'", "s' OR 1 = 1", errInvalidComment},
		{readStatement, " */", "", errInvalidComment},
		{readStatement, " */", " */ ;", errInvalidComment},
		{readStatement, " */", " */ /* */", errInvalidComment},
		{readStatement, "k=9", "k", errInvalidComment},
		{readStatement, "k=9", "", errInvalidComment},
		{readStatement, "id=7f,", "", errInvalidID},
		{readStatement, "id=7f", "id=", errInvalidID},
		{readStatement, "id=7f", "id=7f,id=7f", errDuplicateName},
		{readStatement, "id=7f", "id=" + strings.Repeat("7", maxNameBytes+1), errInvalidID},
		{readStatement, "c=basket,", "", errInvalidMethod},
		{readStatement, "d=480,", "", errInvalidTimeout},
		{readStatement, "d=480", "d=", errInvalidTimeout},
		{readStatement, "d=480", "d=soon", errInvalidTimeout},
		{readStatement, "d=480", "d=-5", errInvalidTimeout},
		{readStatement, "d=480", "d=+5", errInvalidTimeout},
		{readStatement, "d=480", "d=4.8", errInvalidTimeout},
		{readStatement, "d=480", "d=99999999999999999", errInvalidTimeout},
		{readStatement, "d=480", "d=480,d=480", errDuplicateName},
		{readStatement, "cluster=2,", "", errInvalidGroup},
		{readStatement, "cluster=2", "cluster=two", errInvalidGroup},
		{readStatement, "after=1", "after=x", errInvalidPosition},
		{readStatement, ",r=1", ",r=yes", errInvalidRetry},
		{writeStatement, "x9f03", "x9f0", errInvalidContent},
		{writeStatement, "x9f03", "x9f0g", errInvalidContent},
		{writeStatement, `'\x9f03'`, "9", errInvalidContent},
		{writeStatement, "x9f03", "x" + strings.Repeat("0", 2*maxContentBytes), nil},
		{writeStatement, "x9f03", "x" + strings.Repeat("0", 2*maxContentBytes+2), errInvalidContent},
		{writeStatement, " RETURNING content", "", errUnsupportedForm},
	} {
		text := strings.Replace(c.from, c.old, c.new, 1)
		require.NotEqual(t, c.from, text)
		_, err := ParseStatement(text)
		require.Equal(t, c.want, err, text)
	}
}

func FuzzStatement(f *testing.F) {
	f.Add(readStatement)
	f.Add(writeStatement)
	f.Add("SELECT content FROM kv WHERE name = '' /* id=1 , c = x , d = 5 */ ; ")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseStatement(text)
		if err != nil {
			return
		}
		reparsed, err := ParseStatement(strings.Join(s.WithTimeout(s.TimeoutMillis, Fence{}), ""))
		require.NoError(t, err)
		require.Equal(t, s, reparsed)
	})
}

// Guards against a fence that is lost on the way to a member, or taken from a client's comment.
func TestFences(t *testing.T) {
	s, err := ParseStatement(strings.Replace(readStatement, "d=480", "d=480,fence=9", 1))
	require.NoError(t, err)
	f := Fence{Version: 7, Epoch: 19, Valid: []uint64{6, 7}}
	sent := strings.Join(s.WithTimeout(31, f), "")
	require.Contains(t, sent, ",fence=7@19:6+7 */")
	require.Equal(t, f, ParseFence(sent))
	_, err = ParseStatement(sent)
	require.NoError(t, err, "a member can parse it")
	for _, text := range []string{readStatement, ",fence=x */", ",fence=1 */", ",fence=1@ */", ",fence=1@2:3+ */", ",fence=1@2:3+x */",
		",fence=1@2:1+1+1+1+1+1+1+1+1 */"} {
		require.Zero(t, ParseFence(text), text)
	}
	require.Equal(t, Fence{Version: 1, Epoch: 2}, ParseFence(",fence=1@2 */"))
}
