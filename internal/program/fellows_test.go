package program_test

import (
	"hash/fnv"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/protocol"
)

// Guards against connections that a fleet of drivers holds for probes alone: each costs its member work and room.
func TestProbesShareConnections(t *testing.T) {
	primary := newMember(t, "p", "leader")
	c := start(t, newDiscovery(t, primary), nil).client(t)
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	}
	primary.mu.Lock()
	defer primary.mu.Unlock()
	require.LessOrEqual(t, len(primary.conns), 2)
}

// Guards against a driver of a large fleet that is not ready before it has probed each member, though its fellows tell
// of them all, and against one that probes them all the same.
func TestReadyByFellowsNews(t *testing.T) {
	primary := newMember(t, "p", "leader")
	d := newDiscovery(t, primary)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	address := socket.LocalAddr().String()
	socket.Close()
	env := posting(t, d, func(file map[string]any) {
		file["peer_listen"], file["peers_all"] = address, address
		settings := file["settings"].(map[string]any)
		settings["fleetSize"] = 2000
		settings["limits"].(map[string]any)["peerMessages"] = true
	})
	cmd, _ := command(t, env)
	require.NoError(t, cmd.Start())
	fellow, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer fellow.Close()
	key := fnv.New32a()
	key.Write([]byte(d.list()["instances"].([]any)[0].(map[string]any)["instanceId"].(string)))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				now := time.Now().UnixMilli()
				fellow.Write(protocol.AppendNews(nil, protocol.News{Member: key.Sum32(), Role: 1, Position: now}, now))
			}
		}
	}()
	c := (&driver{address: env["GW_LISTEN"]}).client(t)
	begun := time.Now()
	require.Equal(t, "empty", c.ask(t, ""))
	require.Less(t, time.Since(begun), 2*time.Second, "the first look at it is up to 16 s away")
	primary.mu.Lock()
	require.Empty(t, primary.conns)
	primary.mu.Unlock()
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
}

// Guards against a message of another version's form that is taken for one of this.
func TestMessagesOfAnotherLength(t *testing.T) {
	for _, length := range []int{1, 7, 9, 257, 264} {
		_, ok := protocol.ParseNews([]byte(strings.Repeat("\x01", length)), time.Now().UnixMilli())
		require.False(t, ok, length)
	}
}
