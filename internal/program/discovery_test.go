package program

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// Guards against applying a list from the old discovery address after the address has changed.
func TestAnswerFromTheOldAddress(t *testing.T) {
	source := &discoverySource{address: "old"}
	followCtx, address, ok := source.begin(context.Background())
	require.True(t, ok)
	require.Equal(t, "old", address)
	applied := 0
	source.accept(followCtx, protocol.Targets{Generation: 7}, func() { applied++ })
	require.Equal(t, 1, applied)
	require.False(t, source.setAddress("new"), "a task is following")
	source.accept(followCtx, protocol.Targets{Generation: 7}, func() { applied++ })
	require.Equal(t, 1, applied, "the answer is from the old address")
	restart, reported := source.finish(followCtx)
	require.True(t, restart)
	require.False(t, reported)
	_, hasList := source.heldGeneration()
	require.True(t, hasList, "the held list stays valid at the new address")
	followCtx, address, ok = source.begin(context.Background())
	require.True(t, ok)
	require.Equal(t, "new", address)
	_, _, ok = source.begin(context.Background())
	require.False(t, ok, "only one task follows at a time")
	source.accept(followCtx, protocol.Targets{Generation: 7}, func() { applied++ })
	require.Equal(t, 2, applied)
	require.Equal(t, transport.Open, transport.CloseReasonOf(followCtx))
}

// Guards against wait times that delay changes past the deadline, and against synchronized calls of
// all drivers.
func TestWatchWaitTimes(t *testing.T) {
	source := &discoverySource{rng: rand.New(rand.NewSource(1))}
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		wait := source.nextWait(20 * time.Second)
		shortest, longest = min(shortest, wait), max(longest, wait)
		require.LessOrEqual(t, source.nextWait(time.Second), time.Second, "at most the configured wait time")
	}
	require.Less(t, longest+watchAnswerGrace+discoveryCallTimeout, changeDeadline-500*time.Millisecond)
	require.Less(t, shortest, longest*4/5)
	require.Greater(t, shortest, longest/2)
}

// Guards against requesting the full list after an overdue call: a discovery service that many
// drivers call would fall further behind.
func TestOverdueCallIsRepeated(t *testing.T) {
	source := &discoverySource{address: "at"}
	followCtx, _, ok := source.begin(context.Background())
	require.True(t, ok)
	source.accept(followCtx, protocol.Targets{Generation: 7}, func() {})
	require.True(t, source.markOverdue(followCtx))
	generation, hasList := source.heldGeneration()
	require.True(t, hasList, "changes since the held list are enough")
	require.EqualValues(t, 7, generation)
	_, _, ok = source.begin(context.Background())
	require.False(t, ok, "the following task cancels the overdue call")
	require.Error(t, followCtx.Err())
	require.False(t, source.markOverdue(followCtx))
}
