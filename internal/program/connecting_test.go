package program_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withLongConnectTimeout sets a long connect timeout.
func withLongConnectTimeout(file map[string]any) {
	limits := file["settings"].(map[string]any)["limits"].(map[string]any)
	limits["connectTimeoutUs"] = 3_000_000
}

// sendDuringConnect sends a statement that waits for a connection to the member until release is
// called.
func sendDuringConnect(t *testing.T, member *fakeMember, client *pgConn, query string) (release func()) {
	before, _ := member.counts()
	release = member.holdLink()
	client.send(query)
	eventually(t, "a connection is opened", func() bool { opened, _ := member.counts(); return opened > before })
	return release
}

// Guards against attempts and probes that were decided before a drain, waited for a connection, and
// are sent after it.
func TestDrainWhileConnecting(t *testing.T) {
	primary, other := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower")
	discovery := newFakeDiscovery(t, primary, other)
	driver := startDriver(t, discovery, withLongConnectTimeout)
	client := driver.connect(t)
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	release := sendDuringConnect(t, primary, client, statement("write", 1500))
	_, probes := primary.counts()
	calls := discovery.calls()
	discovery.setLifecycle(primary, "DRAINING", false)
	eventually(t, "the drain is reported", func() bool { return discovery.calls() > calls })
	release()
	require.Equal(t, "53300", client.readReply(t), "the write was not executed")
	require.Len(t, primary.statements(), 1, "only the earlier statement")
	_, after := primary.counts()
	require.Equal(t, probes, after, "no probe is sent either")
	require.Equal(t, "from r", client.ask(t, statement("read", 1000)))
}

// Guards against work for a client that disconnected while its attempt waited for a connection,
// with and without cancellation of running statements.
func TestClientDisconnectsWhileConnecting(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		primary := newFakeMember(t, "p", "leader")
		driver := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
			withLongConnectTimeout(file)
			file["settings"].(map[string]any)["limits"].(map[string]any)["cancelling"] = cancelling
		})
		client, other := driver.connect(t), driver.connect(t)
		release := sendDuringConnect(t, primary, client, statement("write", 1900))
		client.Close()
		time.Sleep(100 * time.Millisecond) // until the driver must have noticed
		release()
		require.Equal(t, "from p", other.ask(t, statement("write", 1900)))
		require.Len(t, primary.statements(), 1, "only the statement of the connected client")
	}
}

// Guards against a retry that is decided within the deduplication window and starts after it.
func TestWindowEndsWhileConnecting(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	driver := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
		withLongConnectTimeout(file)
		write := file["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)
		write["effect"], write["windowUs"] = "by_key", 500_000
	})
	client := driver.connect(t)
	for _, late := range []bool{false, true} {
		before := len(primary.statements())
		primary.setBehavior("silent")
		client.send(statement("write", 1900))
		eventually(t, "the first attempt is sent", func() bool { return len(primary.statements()) == before+1 })
		sent, opened := time.Now(), 0
		opened, _ = primary.counts()
		release := primary.holdLink() // the write may have run
		primary.setBehavior("")
		eventually(t, "the retry opens a connection", func() bool { now, _ := primary.counts(); return now > opened })
		if !late {
			release()
			require.Equal(t, "from p", client.readReply(t), "within the window")
			require.Len(t, primary.statements(), before+2)
			continue
		}
		time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		release()
		require.Equal(t, "08007", client.readReply(t))
		require.Len(t, primary.statements(), before+1, "the write is not retried")
	}
}

// Guards against an attempt that starts after the deadline of its RPC.
func TestTimeEndsWhileConnecting(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	client := startDriver(t, newFakeDiscovery(t, primary), withLongConnectTimeout).connect(t)
	release := sendDuringConnect(t, primary, client, statement("write", 300))
	require.Equal(t, "08007", client.readReply(t))
	release()
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	require.Len(t, primary.statements(), 1)
}

// Guards against a write that is sent to the former primary after waiting for its connection.
func TestPrimaryChangesWhileConnecting(t *testing.T) {
	one, other := newFakeMember(t, "p", "leader"), newFakeMember(t, "q", "follower")
	driver := startDriver(t, newFakeDiscovery(t, one, other), withLongConnectTimeout)
	client := driver.connect(t)
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	release := sendDuringConnect(t, one, client, statement("write", 1900))
	for _, member := range []*fakeMember{one, other} {
		member.mu.Lock()
		member.role = map[string]string{"leader": "follower", "follower": "leader"}[member.role]
		member.mu.Unlock()
	}
	reads := driver.connect(t)
	eventually(t, "the new primary is known", func() bool { return reads.ask(t, statement("write", 200)) == "from q" })
	release()
	require.Equal(t, "from q", client.readReply(t))
	for _, received := range one.statements()[1:] {
		require.False(t, strings.HasPrefix(received, "INSERT"), received)
	}
}
