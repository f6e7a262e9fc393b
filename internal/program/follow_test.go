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

// Guards against a list from the old address that is applied after the address has changed: its answer was on its way.
func TestAnswerFromTheOldAddress(t *testing.T) {
	s := &discoverySource{address: "old"}
	stay, address, ok := s.begin(context.Background())
	require.True(t, ok)
	require.Equal(t, "old", address)
	taken := 0
	s.accept(stay, protocol.Targets{Generation: 7}, func() { taken++ })
	require.Equal(t, 1, taken)
	require.False(t, s.setAddress("new"), "somebody asks")
	s.accept(stay, protocol.Targets{Generation: 7}, func() { taken++ })
	require.Equal(t, 1, taken, "the answer came, and is another's list by now")
	anew, told := s.finish(stay)
	require.True(t, anew)
	require.False(t, told)
	_, listed := s.heldGeneration()
	require.True(t, listed, "discovery is one service, wherever it is asked")
	stay, address, ok = s.begin(context.Background())
	require.True(t, ok)
	require.Equal(t, "new", address)
	_, _, ok = s.begin(context.Background())
	require.False(t, ok, "one asks at a time")
	s.accept(stay, protocol.Targets{Generation: 7}, func() { taken++ })
	require.Equal(t, 2, taken)
	require.Equal(t, transport.Open, transport.CloseReasonOf(stay))
}

// Guards against waits that would let a change be known too late, and against all drivers asking at once.
func TestWatchWaitTimes(t *testing.T) {
	s := &discoverySource{rng: rand.New(rand.NewSource(1))}
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		wait := s.nextWait(20 * time.Second)
		shortest, longest = min(shortest, wait), max(longest, wait)
		require.LessOrEqual(t, s.nextWait(time.Second), time.Second, "not longer than the settings have it")
	}
	require.Less(t, longest+watchAnswerGrace+discoveryCallTimeout, changeDeadline-500*time.Millisecond)
	require.Less(t, shortest, longest*4/5)
	require.Greater(t, shortest, longest/2)
}

// Guards against a discovery that many drivers ask at once and that never gets to tell them all: it takes calls in turn, and one that was given up was
// followed by one for the whole list. Days with 40 drivers on which discovery bears those of a few (herd+brink and herd+crowd+brink, seeds 14 and 15) broke
// the rule on drains, 1 to 22 times, each by a driver that had not heard of a drain 6 s after it could be told.
func TestOverdueCallIsRepeated(t *testing.T) {
	s := &discoverySource{address: "at"}
	stay, _, ok := s.begin(context.Background())
	require.True(t, ok)
	s.accept(stay, protocol.Targets{Generation: 7}, func() {})
	require.True(t, s.markOverdue(stay))
	held, listed := s.heldGeneration()
	require.True(t, listed, "what is newer than the list that is held is enough")
	require.EqualValues(t, 7, held)
	_, _, ok = s.begin(context.Background())
	require.False(t, ok, "whoever asks gives the overdue call up")
	require.Error(t, stay.Err())
	require.False(t, s.markOverdue(stay))
}
