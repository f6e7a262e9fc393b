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

// Guards against accepting a query that arrives after the last answer on a connection that is being
// shut down.
func TestNoQueryAfterLastAnswer(t *testing.T) {
	descriptors, inputs := transport.NewDescriptors(64), protocol.NewInputs(1<<20)
	listener, err := transport.Listen("127.0.0.1:0", descriptors, protocol.RingBytes)
	require.NoError(t, err)
	defer listener.Close()
	connect := func() (protocol.Client, *net.TCPConn) {
		remote, err := net.Dial("tcp", listener.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { remote.Close() })
		c, err := listener.Accept(context.Background(), 1, func(bool) {})
		require.NoError(t, err)
		t.Cleanup(func() { c.Close(transport.ShutDown) })
		return protocol.NewClient(c, inputs), remote.(*net.TCPConn)
	}
	const query = "Q\x00\x00\x00\x06x\x00"
	idle := &idleClients{descriptors: descriptors, inputs: inputs}
	c, remote := connect()
	require.False(t, c.StopBeforeLastAnswer(), "not draining yet")
	io.WriteString(remote, query)
	_, _, reason := c.ReadQuery()
	require.Equal(t, transport.Open, reason)
	idle.drain()
	require.True(t, c.StopBeforeLastAnswer())
	require.Equal(t, transport.Open, c.SendEmpty())
	answer := make([]byte, 11)
	_, err = io.ReadFull(remote, answer)
	require.NoError(t, err)
	io.WriteString(remote, query)
	time.Sleep(20 * time.Millisecond)
	_, _, reason = c.ReadQuery()
	require.Equal(t, transport.ShutDown, reason)

	c, remote = connect()
	io.WriteString(remote, query)
	require.Equal(t, transport.Open, c.Await(7))
	require.False(t, c.StopBeforeLastAnswer(), "received queries are answered first")
	_, _, reason = c.ReadQuery()
	require.Equal(t, transport.Open, reason)
	require.True(t, c.StopBeforeLastAnswer())
}
