package program_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withSlowConnects lets connections to members take their time to come up, and attempts be given up only by closing.
func withSlowConnects(file map[string]any) {
	limits := file["settings"].(map[string]any)["limits"].(map[string]any)
	limits["connectTimeoutUs"] = 3_000_000
}

// sendDuringConnect makes a client's statement wait for a connection to a member that is long in coming up.
func sendDuringConnect(t *testing.T, m *fakeMember, c *pgConn, query string) (release func()) {
	before, _ := m.counts()
	release = m.holdLink()
	c.send(query)
	eventually(t, "a connection is asked for", func() bool { opened, _ := m.counts(); return opened > before })
	return release
}

// Guards against what was decided before a drain was told and is sent after it, since it waited for a connection; probes too.
func TestDrainWhileConnecting(t *testing.T) {
	primary, other := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower")
	d := newFakeDiscovery(t, primary, other)
	v := startDriver(t, d, withSlowConnects)
	c := v.connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	release := sendDuringConnect(t, primary, c, statement("write", 1500))
	_, looks := primary.counts()
	calls := d.calls()
	d.setLifecycle(primary, "DRAINING", false)
	eventually(t, "the drain is told", func() bool { return d.calls() > calls })
	release()
	require.Equal(t, "53300", c.readReply(t), "it never ran")
	require.Len(t, primary.statements(), 1, "the one from before")
	_, after := primary.counts()
	require.Equal(t, looks, after, "no probe either")
	require.Equal(t, "from r", c.ask(t, statement("read", 1000)))
}

// Guards against work that begins for a client that left while its attempt waited for a connection, also where what is out
// can't be called off.
func TestClientDisconnectsWhileConnecting(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		primary := newFakeMember(t, "p", "leader")
		v := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
			withSlowConnects(file)
			file["settings"].(map[string]any)["limits"].(map[string]any)["cancelling"] = cancelling
		})
		c, stays := v.connect(t), v.connect(t)
		release := sendDuringConnect(t, primary, c, statement("write", 1900))
		c.Close()
		time.Sleep(100 * time.Millisecond) // within which it has to be seen
		release()
		require.Equal(t, "from p", stays.ask(t, statement("write", 1900)))
		require.Len(t, primary.statements(), 1, "of the one that stays")
	}
}

// Guards against a repeat that is decided on within the time for which repeats are dropped, and begins after it.
func TestWindowEndsWhileConnecting(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
		withSlowConnects(file)
		write := file["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)
		write["effect"], write["windowUs"] = "by_key", 500_000
	})
	c := v.connect(t)
	for _, late := range []bool{false, true} {
		before := len(primary.statements())
		primary.setBehavior("silent")
		c.send(statement("write", 1900))
		eventually(t, "the first is out", func() bool { return len(primary.statements()) == before+1 })
		sent, opened := time.Now(), 0
		opened, _ = primary.counts()
		release := primary.holdLink() // it may have run
		primary.setBehavior("")
		eventually(t, "it is to be repeated", func() bool { now, _ := primary.counts(); return now > opened })
		if !late {
			release()
			require.Equal(t, "from p", c.readReply(t), "within the window")
			require.Len(t, primary.statements(), before+2)
			continue
		}
		time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		release()
		require.Equal(t, "08007", c.readReply(t))
		require.Len(t, primary.statements(), before+1, "not sent again")
	}
}

// Guards against an attempt that begins when its client's time is over.
func TestTimeEndsWhileConnecting(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	c := startDriver(t, newFakeDiscovery(t, primary), withSlowConnects).connect(t)
	release := sendDuringConnect(t, primary, c, statement("write", 300))
	require.Equal(t, "08007", c.readReply(t))
	release()
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	require.Len(t, primary.statements(), 1)
}

// Guards against a write that goes to the primary of before because its connection was long in coming up.
func TestPrimaryChangesWhileConnecting(t *testing.T) {
	one, other := newFakeMember(t, "p", "leader"), newFakeMember(t, "q", "follower")
	v := startDriver(t, newFakeDiscovery(t, one, other), withSlowConnects)
	c := v.connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	release := sendDuringConnect(t, one, c, statement("write", 1900))
	for _, m := range []*fakeMember{one, other} {
		m.mu.Lock()
		m.role = map[string]string{"leader": "follower", "follower": "leader"}[m.role]
		m.mu.Unlock()
	}
	reads := v.connect(t)
	eventually(t, "the next primary is seen", func() bool { return reads.ask(t, statement("write", 200)) == "from q" })
	release()
	require.Equal(t, "from q", c.readReply(t))
	for _, s := range one.statements()[1:] {
		require.False(t, strings.HasPrefix(s, "INSERT"), s)
	}
}
