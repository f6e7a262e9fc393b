package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const reading = `SELECT content FROM kv WHERE name = 'it''s' /* id=7f,c=basket,d=480,cluster=2,after=1767225600123,k=9,r=1 */`

// Guards against a statement that reaches a member other than as it came, but for d.
func TestStatement(t *testing.T) {
	s, err := ParseStatement(reading)
	require.NoError(t, err)
	require.Equal(t, []any{"7f", "basket", "it's", int64(480), int64(2), int64(1767225600123), true},
		[]any{s.ID, s.Method, s.Key, s.Left, s.Group, s.After, s.Repeat})
	require.Equal(t, strings.Replace(reading, "d=480", "d=31", 1), strings.Join(s.Within(31), ""))
}

// Guards against statements that a member would not take reaching one.
func TestStatementsRefused(t *testing.T) {
	for text, want := range map[string]error{
		"SELECT 1":                                        errNoComment,
		"SELECT 'a' /* id=1,c=x,d=5":                      errNoComment,
		"SELECT 'a' /*/":                                  errNoComment,
		"SELECT 1 /* id=1,c=x,d=5 */":                     errNoKey,
		"SELECT 'a /* id=1,c=x,d=5 */":                    errNoKey,
		"SELECT 'a' /* c=x,d=5 */":                        errNoID,
		"SELECT 'a' /* id=1,d=5 */":                       errNoMethod,
		"SELECT 'a' /* id=1,c=x */":                       errNoLeft,
		"SELECT 'a' /* id=1,c=x,d=-5 */":                  errNoLeft,
		"SELECT 'a' /* id=1,c=x,d=5,d=6 */":               errNoLeft,
		"SELECT 'a' /* id=1,c=x,d=99999999999999999 */":   errNoLeft,
		"SELECT 'a' /* id=1,c=x,d=5,cluster=two */":       errNoGroup,
		"SELECT 'a' /* id=1,c=x,d=5,cluster=2,after=x */": errNoAfter,
	} {
		_, err := ParseStatement(text)
		require.Equal(t, want, err, text)
	}
}

func FuzzStatement(f *testing.F) {
	f.Add(reading)
	f.Add(" /**/ '' /* id = 1 , c = x , d = 5 */ ; ")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseStatement(text)
		if err != nil {
			return
		}
		again, err := ParseStatement(strings.Join(s.Within(s.Left), ""))
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}
