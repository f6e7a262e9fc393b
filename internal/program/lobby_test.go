package program

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// Guards against a query that is taken, and would have to be answered, behind the last answer on a connection that is shut:
// its client sends it as soon as it has that answer, before this side has got as far as its end.
func TestNoQueryAfterLastAnswer(t *testing.T) {
	d := transport.NewDescriptors(64)
	door, err := transport.Listen("127.0.0.1:0", d, protocol.RingBytes)
	require.NoError(t, err)
	defer door.Close()
	connect := func() (protocol.Client, *net.TCPConn) {
		far, err := net.Dial("tcp", door.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { far.Close() })
		c, err := door.Accept(context.Background(), 1, func(bool) {})
		require.NoError(t, err)
		t.Cleanup(func() { c.Close(transport.ShutDown) })
		return protocol.Client{Conn: c}, far.(*net.TCPConn)
	}
	const query = "Q\x00\x00\x00\x06x\x00"
	l := &idleClients{descriptors: d}
	c, far := connect()
	require.False(t, l.stopBeforeLastAnswer(c), "clients are not to go yet")
	io.WriteString(far, query)
	_, _, end := c.ReadQuery()
	require.Equal(t, transport.Open, end)
	l.drain()
	require.True(t, l.stopBeforeLastAnswer(c))
	require.Equal(t, transport.Open, c.SendEmpty())
	answer := make([]byte, 11)
	_, err = io.ReadFull(far, answer)
	require.NoError(t, err)
	io.WriteString(far, query)
	time.Sleep(20 * time.Millisecond)
	_, _, end = c.ReadQuery()
	require.Equal(t, transport.ShutDown, end)

	c, far = connect()
	io.WriteString(far, query)
	require.Equal(t, transport.Open, c.Await(7))
	require.False(t, l.stopBeforeLastAnswer(c), "what was read before is to be answered first")
	_, _, end = c.ReadQuery()
	require.Equal(t, transport.Open, end)
	require.True(t, l.stopBeforeLastAnswer(c))
}
