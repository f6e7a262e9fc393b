package protocol

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/transport"
)

// Guards against connections to members that take the last descriptor, which discovery needs.
func TestLastDescriptorIsReservedForDiscovery(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	accepted := make(chan struct{}, 1)
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			accepted <- struct{}{}
			conn.Close()
		}
	}()
	descriptors := transport.NewDescriptors(1024)
	for descriptors.Free() > 1 {
		require.True(t, descriptors.Acquire(0))
	}
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	_, reason := Connect(context.Background(), ctx, descriptors, listener.Addr().String(), NewAnswerBudget(1000, 0), nil)
	require.Equal(t, transport.NoDescriptor, reason)
	require.Equal(t, 1, descriptors.Free())
	_, err = NewDiscovery(descriptors, listener.Addr().String()).FetchAll(context.Background(), ctx)
	require.Error(t, err, "the server closes without a response")
	select {
	case <-accepted:
	case <-ctx.Done():
		require.Fail(t, "discovery was not contacted")
	}
}
