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

// Guards against drivers that hold connections for probes alone.
func TestProbesShareConnections(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	client := startDriver(t, newFakeDiscovery(t, primary), nil).connect(t)
	for startTime := time.Now(); time.Since(startTime) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	}
	primary.mu.Lock()
	defer primary.mu.Unlock()
	require.LessOrEqual(t, len(primary.conns), 2)
}

// withPeers configures one of several drivers that exchange peer messages, and returns the address
// at which it receives them.
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

// Guards against a driver of a large fleet that probes every member before it is ready, although
// its peers report them all.
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
	client := (&testDriver{address: env["GW_LISTEN"]}).connect(t)
	startTime := time.Now()
	require.Equal(t, "empty", client.ask(t, ""))
	require.Less(t, time.Since(startTime), 2*time.Second, "the first probe of it may be 16 s away")
	primary.mu.Lock()
	require.Empty(t, primary.conns)
	primary.mu.Unlock()
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
}

// Guards against a start that waits for probes of members that drained before they were probed.
func TestReadyThoughAMemberDrains(t *testing.T) {
	primary, replica := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower")
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary, replica), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 2:
			return httpOK(singleEntryList(2, false, replica, "DRAINING"))
		case strings.Contains(path, "index"):
			time.Sleep(time.Second)
			return httpOK(targetList(2, false))
		}
		return httpOK(targetList(1, true, targetEntry(primary, "SERVING"), targetEntry(replica, "SERVING")))
	})
	startTime := time.Now()
	change, _ := withPeers(t, 300) // first probes are spread over 2.4 s
	discovery.startDriver(t, change)
	require.Less(t, time.Since(startTime), 5*time.Second)
	_, probes := replica.counts()
	require.Zero(t, probes, "it drained before it was probed")
}
