package protocol

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/transport"
)

// Guards against answers that, all together, take more memory than there is, against small ones that are cut for
// the sake of large ones, and against memory that is not given back.
func TestAnswersShareTheirBudget(t *testing.T) {
	const total = 1 << 20
	budget := NewAnswerBudget(1<<20, total)
	read := func(valueBytes int) (*Answer, transport.CloseReason) {
		size := []byte{0, byte(valueBytes >> 16), byte(valueBytes >> 8), byte(valueBytes)}
		row := rowDescription + encodeMessage(kindDataRow, singleColumn+string(size)+strings.Repeat("x", valueBytes))
		conn, _ := newScriptedConn(row + encodeMessage(kindCommandComplete, "SELECT 1\x00") + readyForQuery)
		answer := &Answer{memory: answerMemory{budget: budget}}
		_, reason := answer.read(Member{Conn: conn, answers: budget})
		return answer, reason
	}
	large, reason := read(400 << 10)
	require.Equal(t, transport.Open, reason)
	require.Less(t, budget.Available(), total-(300<<10))
	another, reason := read(400 << 10)
	require.Equal(t, transport.TooLong, reason, "over half of what is left")
	require.Equal(t, 1, budget.TakeShortage())
	small, reason := read(50 << 10)
	require.Equal(t, transport.Open, reason)
	require.Len(t, small.Value(), 50<<10)
	large.Release()
	another.Release()
	another, reason = read(400 << 10)
	require.Equal(t, transport.Open, reason)
	for _, answer := range []*Answer{large, another, small, nil} {
		answer.Release()
	}
	require.Equal(t, total, budget.Available())
}
