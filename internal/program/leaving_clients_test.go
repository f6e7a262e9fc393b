package program_test

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against work that begins for clients that have gone while their query waited: they closed, broke off, said so, or
// closed behind more queries than may be held. None has begun 0.1 s later.
func TestClientsThatDisconnectWhileWaiting(t *testing.T) {
	queries := strings.Repeat(message("Q", statement("write", 1900)+"\x00"), 3000) // some 400 KB
	for name, goes := range map[string]func(c *pgConn){
		"closes":                     func(c *pgConn) { c.Close() },
		"breaks off":                 func(c *pgConn) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"ends its sending":           func(c *pgConn) { c.Conn.(*net.TCPConn).CloseWrite() },
		"says so":                    func(c *pgConn) { io.WriteString(c, message("X", "")) },
		"says so behind a query":     func(c *pgConn) { c.send(statement("write", 1900)); io.WriteString(c, message("X", "")) },
		"closes behind many queries": func(c *pgConn) { io.WriteString(c, queries); c.Conn.(*net.TCPConn).CloseWrite() },
		"closes behind a huge value": func(c *pgConn) {
			io.WriteString(c, "Q\x03\x93\x87\x00"+strings.Repeat(megabyte(), 3))
			c.Conn.(*net.TCPConn).CloseWrite()
		},
		"closes inside another query": func(c *pgConn) { io.WriteString(c, "Q\x00\x00\x01\x00half"); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary := newFakeMember(t, "p", "leader")
			v := startDriver(t, newFakeDiscovery(t, primary), withSlowConnects)
			c, stays := v.connect(t), v.connect(t)
			release := sendDuringConnect(t, primary, c, statement("write", 1900))
			gone := make(chan struct{})
			go func() { goes(c); close(gone) }()
			select {
			case <-gone:
			case <-time.After(waitTimeout):
				require.Fail(t, "what it sends is not taken")
			}
			time.Sleep(100 * time.Millisecond)
			release()
			require.Equal(t, "from p", stays.ask(t, statement("write", 1900)))
			require.Len(t, primary.statements(), 1, "of the one that stays")
		})
	}
}

// Guards against queries lost that stand behind one that waits, and against clients that send without end behind one.
func TestPipelinedQueriesWhileConnecting(t *testing.T) {
	const count = 3000 // some 400 KB
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), withSlowConnects)
	c, floods := v.connect(t), v.connect(t)
	release := sendDuringConnect(t, primary, c, statement("write", 1900))
	queries := strings.Builder{}
	for range count {
		queries.WriteString(message("Q", statement("write", 1900)+"\x00"))
	}
	sent := make(chan struct{})
	go func() { io.WriteString(c, queries.String()); close(sent) }()
	floods.send(statement("write", 1900))
	go func() {
		for more := true; more; {
			_, err := io.WriteString(floods, queries.String())
			more = err == nil
		}
	}()
	require.Equal(t, "end", floods.readReply(t), "it is let go")
	<-sent
	release()
	for i := range count + 1 {
		require.Equal(t, "from p", c.readReply(t), i)
	}
}

// Guards against a query that is begun though its client closed right behind it, before it was read.
func TestClientDisconnectsAfterQuery(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	stays := v.connect(t)
	for range 20 {
		c := v.connect(t)
		begun := time.Now()
		c.send(statement("write", 1900))
		c.Close()
		require.Equal(t, "from p", stays.ask(t, statement("write", 1900)))
		require.Less(t, time.Since(begun), time.Second)
	}
	mine := 0
	for _, s := range primary.statements() {
		if strings.HasPrefix(s, "INSERT") {
			mine++
		}
	}
	require.LessOrEqual(t, mine, 40)
}

// sendCancel asks on a connection of its own that what is open under a key be cancelled.
func sendCancel(t *testing.T, v *testDriver, key string) {
	c, err := net.Dial("tcp", v.address)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "\x00\x00\x00\x10\x04\xd2\x16\x2e"+key)
	c.SetDeadline(time.Now().Add(waitTimeout))
	rest, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, rest, "a cancel has no answer")
}

// Guards against a cancel that does nothing, that hits another's RPC, or an RPC after the one it was for.
func TestCancelRequest(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), withSlowConnects)
	c, other := v.connect(t), v.connect(t)
	require.Len(t, c.cancelKey, 8)
	require.NotEqual(t, c.cancelKey, other.cancelKey)
	release := sendDuringConnect(t, primary, c, statement("write", 1900))
	other.send(statement("write", 1900))
	wrong := []byte(c.cancelKey)
	binary.BigEndian.PutUint32(wrong[4:], binary.BigEndian.Uint32(wrong[4:])+1)
	sendCancel(t, v, string(wrong))
	sendCancel(t, v, "\xff\xff\xff\xff\x00\x00\x00\x00")
	sendCancel(t, v, c.cancelKey)
	require.Equal(t, "57014", c.readReply(t))
	sendCancel(t, v, c.cancelKey) // nothing is open
	time.Sleep(100 * time.Millisecond)
	release()
	require.Equal(t, "from p", other.readReply(t))
	require.Len(t, primary.statements(), 1)
	require.Equal(t, "from p", c.ask(t, statement("write", 1900)), "the next query is not cancelled")
}
