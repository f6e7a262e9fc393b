package transport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that are taken for new when they are read: each counts from when it came.
func TestArrivals(t *testing.T) {
	c, far, _ := pair(t, 64)
	begun := time.Now()
	for _, part := range []string{"ab", "cd", "ef"} {
		far.Write([]byte(part))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, Open, c.Await(6))
	since := func(n int) time.Duration { return c.Read(make([]byte, n)).Sub(begun) }
	require.Less(t, since(1), 15*time.Millisecond)
	two := since(2) // the last of which came in the second part
	require.Greater(t, two, 15*time.Millisecond)
	require.Less(t, two, 35*time.Millisecond)
	require.Equal(t, two, since(1), "the rest of that part")
	require.Greater(t, since(2), 35*time.Millisecond)
	require.Empty(t, c.came, "nothing is kept of what was taken")
}

// Guards against memory for arrivals that grows by the byte, and against times that move where bytes are thrown away.
func TestArrivalsOfManyBytes(t *testing.T) {
	var a arrivals
	at := time.Now()
	for n := range int64(10_000) {
		a.note(n+1, at.Add(time.Duration(n)*time.Microsecond))
	}
	require.Len(t, a, 10)
	require.Equal(t, at, a.of(1000))
	require.Equal(t, at.Add(time.Millisecond), a.of(1001))
	require.Equal(t, at.Add(9*time.Millisecond), a.of(10_000))
	a.cut(2500)
	require.Len(t, a, 3)
	a.note(2600, at.Add(20*time.Millisecond))
	require.Equal(t, at.Add(2*time.Millisecond), a.of(2500))
	require.Equal(t, at.Add(20*time.Millisecond), a.of(2501))
	a.forget(2500)
	require.Len(t, a, 1)
	a.forget(2600)
	require.Nil(t, a)
	a.cut(2600)
	require.Empty(t, a)
}
