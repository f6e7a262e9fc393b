package transport

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair gives a connection under test and its far side.
func pair(t *testing.T, bound int) (*Conn, *net.TCPConn, *Descriptors) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	d := NewDescriptors(keptDescriptors + 1)
	c, end := Dial(context.Background(), context.Background(), d, l.Addr().String(), bound)
	require.Equal(t, Open, end)
	t.Cleanup(func() { c.Close(ShutDown) })
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { far.Close() })
	return c, far.(*net.TCPConn), d
}

// Guards against ends that are taken for one another: what a call-out proves hangs on them.
func TestEnds(t *testing.T) {
	for want, act := range map[End]func(c *Conn, far *net.TCPConn) End{
		ClosedByPeer: func(c *Conn, far *net.TCPConn) End { far.Close(); return c.Await(1) },
		CutShort: func(c *Conn, far *net.TCPConn) End {
			far.Write([]byte("ab"))
			far.Close()
			return c.Await(3)
		},
		ResetByPeer: func(c *Conn, far *net.TCPConn) End { far.SetLinger(0); far.Close(); return c.Await(1) },
		TooLong:     func(c *Conn, far *net.TCPConn) End { return c.Await(1<<20 + 1) },
		TimedOut: func(c *Conn, far *net.TCPConn) End {
			time.AfterFunc(time.Millisecond, func() { c.Close(TimedOut) })
			return c.Await(1)
		},
		Evicted: func(c *Conn, far *net.TCPConn) End {
			time.AfterFunc(time.Millisecond, func() { c.Part(Evicted) })
			return c.Await(1)
		},
		WriteStalled: func(c *Conn, far *net.TCPConn) End {
			c.WriteWithin(20 * time.Millisecond)
			for c.End() == Open {
				c.Write(strings.Repeat("x", 1<<20))
			}
			return c.Flush()
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			c, far, _ := pair(t, 1<<20)
			require.Equal(t, want, act(c, far))
		})
	}
}

// Guards against connections that never come up, or are refused, being taken for ones that carried something.
func TestEndsOfDialling(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	d := NewDescriptors(keptDescriptors + 1)
	dial := func(by context.Context) End {
		_, end := Dial(context.Background(), by, d, address, 1000)
		return end
	}
	require.Equal(t, DialRefused, dial(context.Background()))
	late, stop := context.WithTimeoutCause(context.Background(), -1, DialTimedOut)
	defer stop()
	require.Equal(t, DialTimedOut, dial(late))
	late, stop = context.WithTimeout(context.Background(), -1)
	defer stop()
	require.Equal(t, TimedOut, dial(late))
	gone, leave := context.WithCancelCause(context.Background())
	leave(Cancelled)
	require.Equal(t, Cancelled, dial(gone))
	require.True(t, d.Take(0), "a dial that failed holds no descriptor")
	require.Equal(t, NoDescriptor, dial(context.Background()))
}

// Guards against a reader that waits for ever for a message larger than the ring was, and for bytes lost when
// the connection ends behind them.
func TestAwaitGrowsTheRing(t *testing.T) {
	c, far, d := pair(t, 100<<10)
	text := strings.Repeat("0123456789", 8<<10)
	go func() {
		far.Write([]byte(text))
		far.Close()
	}()
	for rest := text; rest != ""; {
		part := make([]byte, min(len(rest), 60_001))
		require.Equal(t, Open, c.Await(len(part)))
		c.Read(part)
		require.Equal(t, rest[:len(part)], string(part))
		rest = rest[len(part):]
	}
	require.Equal(t, ClosedByPeer, c.Await(1))
	<-c.Context().Done()
	require.Equal(t, ClosedByPeer, EndOf(c.Context()))
	require.Eventually(t, func() bool { return d.Free() == 1 }, time.Second, time.Millisecond)
}

// Guards against a connection taken for one that carries nothing while something waits that was not read yet.
func TestQuiet(t *testing.T) {
	c, far, _ := pair(t, 1000)
	require.True(t, c.Quiet())
	require.True(t, c.Part(Evicted), "nothing is read from here on")
	require.Equal(t, Evicted, c.Await(1))
	far.Write([]byte("q"))
	require.Eventually(t, func() bool { return !c.Quiet() }, time.Second, time.Millisecond)
	require.True(t, c.Idle())
}

// Guards against a peer that never finishes what it has begun, and against what it still sends turning the close
// into a reset that overtakes the last answer.
func TestCutAndLinger(t *testing.T) {
	c, far, _ := pair(t, 1000)
	far.Write([]byte("ab"))
	require.Equal(t, Open, c.Await(2))
	time.AfterFunc(time.Millisecond, func() { c.Cut(Stalled) })
	require.Equal(t, Stalled, c.Await(3))

	c, far, _ = pair(t, 1000)
	c.Hurry(200 * time.Millisecond)
	for range 10 { // in pieces, but never as long without any
		time.Sleep(30 * time.Millisecond)
		far.Write([]byte("a"))
	}
	require.Equal(t, Open, c.Await(10))
	require.Equal(t, Stalled, c.Await(11))

	c, far, _ = pair(t, 1000)
	go func() {
		far.Write([]byte(strings.Repeat("x", 100<<10)))
		far.CloseWrite()
	}()
	require.Equal(t, Open, c.Await(1))
	c.Write("error")
	require.Equal(t, Open, c.Flush())
	c.Linger(5*time.Second, 1<<20)
	c.Close(Malformed)
	got, err := io.ReadAll(far)
	require.NoError(t, err)
	require.Equal(t, "error", string(got))
}

// Guards against letting a connection go whose query has come already.
func TestPartLeavesWhatCame(t *testing.T) {
	c, far, _ := pair(t, 1000)
	far.Write([]byte("q"))
	require.Equal(t, Open, c.Await(1))
	require.False(t, c.Part(Evicted))
	require.Equal(t, Open, c.Await(1))
	c.Read(make([]byte, 1))
	require.True(t, c.Part(Evicted))
	require.Equal(t, Evicted, c.Await(1))
	far.Write([]byte("q"))
	c.Close(Evicted)
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "what was not read shows as such to the peer")
}
