package protocol

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/transport"
)

// Guards against connections to members that take the last descriptor, without which discovery can't be asked for the list that says where members
// are. The last one that is free is left to it.
func TestTheLastDescriptorIsForDiscovery(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	asked := make(chan struct{}, 1)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			asked <- struct{}{}
			c.Close()
		}
	}()
	d := transport.NewDescriptors(1024)
	for d.Free() > 1 {
		require.True(t, d.Acquire(0))
	}
	by, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	_, end := Connect(context.Background(), by, d, l.Addr().String(), 1000, nil)
	require.Equal(t, transport.NoDescriptor, end)
	require.Equal(t, 1, d.Free())
	_, err = NewDiscovery(d, l.Addr().String()).FetchAll(context.Background(), by)
	require.Error(t, err, "it closes without an answer")
	select {
	case <-asked:
	case <-by.Done():
		require.Fail(t, "discovery was not asked")
	}
}
