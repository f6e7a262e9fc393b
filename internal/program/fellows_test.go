package program_test

import (
	"context"
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
	primary := newFakeMember(t, "p", "leader")
	c := startDriver(t, newFakeDiscovery(t, primary), nil).connect(t)
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	}
	primary.mu.Lock()
	defer primary.mu.Unlock()
	require.LessOrEqual(t, len(primary.conns), 2)
}

// withPeers makes a posting one of so many drivers that may tell one another something, and gives where this one hears it.
func withPeers(t *testing.T, drivers int) (change func(file map[string]any), address string) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	address = socket.LocalAddr().String()
	socket.Close()
	return func(file map[string]any) {
		file["peer_listen"], file["peers_all"] = address, address
		settings := file["settings"].(map[string]any)
		settings["fleetSize"] = drivers
		settings["limits"].(map[string]any)["peerMessages"] = true
	}, address
}

// Guards against a driver of a large fleet that is not ready before it has probed each member, though its fellows tell
// of them all, and against one that probes them all the same.
func TestReadyByPeerMessages(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	change, address := withPeers(t, 2000)
	env := writeConfig(t, newFakeDiscovery(t, primary), change)
	cmd, _ := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	peer, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer peer.Close()
	key := fnv.New32a()
	key.Write([]byte(primary.name))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			now := time.Now().UnixMilli()
			peer.Write(protocol.AppendObservation(nil, protocol.Observation{Member: key.Sum32(), Role: 1, PositionMillis: now}, now))
		}
	}()
	c := (&testDriver{address: env["GW_LISTEN"]}).connect(t)
	begun := time.Now()
	require.Equal(t, "empty", c.ask(t, ""))
	require.Less(t, time.Since(begun), 2*time.Second, "the first look at it is up to 16 s away")
	primary.mu.Lock()
	require.Empty(t, primary.conns)
	primary.mu.Unlock()
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
}

// Guards against a start that waits for members which drained before they were looked at, as they never will be.
func TestReadyThoughAMemberDrains(t *testing.T) {
	primary, replica := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower")
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary, replica), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 2:
			return httpOK(singleEntryList(2, false, replica, "DRAINING"))
		case strings.Contains(path, "index"):
			time.Sleep(time.Second)
			return httpOK(targetList(2, false))
		}
		return httpOK(targetList(1, true, targetEntry(primary, "SERVING"), targetEntry(replica, "SERVING")))
	})
	begun := time.Now()
	change, _ := withPeers(t, 300) // whose first looks are spread over 2.4 s
	s.startDriver(t, change)
	require.Less(t, time.Since(begun), 5*time.Second)
	_, looks := replica.counts()
	require.Zero(t, looks, "it drained before it was looked at")
}
