package transport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against timing bytes from when they are read and not from when they arrived.
func TestReadReportsArrivalTimes(t *testing.T) {
	c, peer, _ := newConnPair(t, 64)
	start := time.Now()
	for _, part := range []string{"ab", "cd", "ef"} {
		peer.Write([]byte(part))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, Open, c.Await(6))
	readAge := func(n int) time.Duration { return c.Read(make([]byte, n)).Sub(start) }
	require.Less(t, readAge(1), 15*time.Millisecond)
	secondRead := readAge(2) // ends within the second part
	require.Greater(t, secondRead, 15*time.Millisecond)
	require.Less(t, secondRead, 35*time.Millisecond)
	require.Equal(t, secondRead, readAge(1), "the rest of the second part")
	require.Greater(t, readAge(2), 35*time.Millisecond)
	require.Empty(t, c.arrivals, "no arrivals are kept of consumed bytes")
}

// Guards against one arrival per byte, and against times that change when others are merged or discarded.
func TestArrivalsMerge(t *testing.T) {
	var a arrivals
	start := time.Now()
	for n := range int64(10_000) {
		a.record(n+1, start.Add(time.Duration(n)*time.Microsecond))
	}
	require.Len(t, a, 10)
	require.Equal(t, start, a.timeOf(1000))
	require.Equal(t, start.Add(time.Millisecond), a.timeOf(1001))
	require.Equal(t, start.Add(9*time.Millisecond), a.timeOf(10_000))
	a.record(10_100, start.Add(20*time.Millisecond))
	require.Len(t, a, 11)
	require.Equal(t, start.Add(9*time.Millisecond), a.timeOf(10_000))
	require.Equal(t, start.Add(20*time.Millisecond), a.timeOf(10_001))
	a.discard(10_000)
	require.Len(t, a, 1)
	a.discard(10_100)
	require.Nil(t, a)
}
