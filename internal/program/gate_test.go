package program_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowly lets connections to members take their time to come up, and attempts be given up only by closing.
func slowly(file map[string]any) {
	limits := file["settings"].(map[string]any)["limits"].(map[string]any)
	limits["connectTimeoutUs"] = 3_000_000
}

// waits makes a client's statement wait for a connection to a member that is long in coming up.
func waits(t *testing.T, m *member, c *stream, query string) (release func()) {
	before, _ := m.counts()
	release = m.hold()
	c.send(query)
	eventually(t, "a connection is asked for", func() bool { opened, _ := m.counts(); return opened > before })
	return release
}

// Guards against what was decided before a drain was told and is sent after it, since it waited for a connection; probes too.
func TestDrainWhileConnecting(t *testing.T) {
	primary, other := newMember(t, "p", "leader"), newMember(t, "r", "follower")
	d := newDiscovery(t, primary, other)
	v := start(t, d, slowly)
	c := v.client(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	release := waits(t, primary, c, statement("write", 1500))
	_, looks := primary.counts()
	calls := d.calls()
	d.set(primary, "DRAINING", false)
	eventually(t, "the drain is told", func() bool { return d.calls() > calls })
	release()
	require.Equal(t, "53300", c.reply(t), "it never ran")
	require.Len(t, primary.statements(), 1, "the one from before")
	_, after := primary.counts()
	require.Equal(t, looks, after, "no probe either")
	require.Equal(t, "from r", c.ask(t, statement("read", 1000)))
}

// Guards against work that begins for a client that left while its attempt waited for a connection, also where what is out
// can't be called off.
func TestClientLeavesWhileConnecting(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		primary := newMember(t, "p", "leader")
		v := start(t, newDiscovery(t, primary), func(file map[string]any) {
			slowly(file)
			file["settings"].(map[string]any)["limits"].(map[string]any)["cancelling"] = cancelling
		})
		c, stays := v.client(t), v.client(t)
		release := waits(t, primary, c, statement("write", 1900))
		c.Close()
		time.Sleep(100 * time.Millisecond) // within which it has to be seen
		release()
		require.Equal(t, "from p", stays.ask(t, statement("write", 1900)))
		require.Len(t, primary.statements(), 1, "of the one that stays")
	}
}

// Guards against a repeat that is decided on within the time for which repeats are dropped, and begins after it.
func TestWindowEndsWhileConnecting(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), func(file map[string]any) {
		slowly(file)
		write := file["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)
		write["effect"], write["windowUs"] = "by_key", 500_000
	})
	c := v.client(t)
	for _, late := range []bool{false, true} {
		before := len(primary.statements())
		primary.does("silent")
		c.send(statement("write", 1900))
		eventually(t, "the first is out", func() bool { return len(primary.statements()) == before+1 })
		sent, opened := time.Now(), 0
		opened, _ = primary.counts()
		release := primary.hold() // it may have run
		primary.does("")
		eventually(t, "it is to be repeated", func() bool { now, _ := primary.counts(); return now > opened })
		if !late {
			release()
			require.Equal(t, "from p", c.reply(t), "within the window")
			require.Len(t, primary.statements(), before+2)
			continue
		}
		time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		release()
		require.Equal(t, "08007", c.reply(t))
		require.Len(t, primary.statements(), before+1, "not sent again")
	}
}

// Guards against an attempt that begins when its client's time is over.
func TestTimeEndsWhileConnecting(t *testing.T) {
	primary := newMember(t, "p", "leader")
	c := start(t, newDiscovery(t, primary), slowly).client(t)
	release := waits(t, primary, c, statement("write", 300))
	require.Equal(t, "08007", c.reply(t))
	release()
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	require.Len(t, primary.statements(), 1)
}

// Guards against a write that goes to the primary of before because its connection was long in coming up.
func TestPrimaryChangesWhileConnecting(t *testing.T) {
	one, other := newMember(t, "p", "leader"), newMember(t, "q", "follower")
	v := start(t, newDiscovery(t, one, other), slowly)
	c := v.client(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	release := waits(t, one, c, statement("write", 1900))
	for _, m := range []*member{one, other} {
		m.mu.Lock()
		m.role = map[string]string{"leader": "follower", "follower": "leader"}[m.role]
		m.mu.Unlock()
	}
	reads := v.client(t)
	eventually(t, "the next primary is seen", func() bool { return reads.ask(t, statement("write", 200)) == "from q" })
	release()
	require.Equal(t, "from q", c.reply(t))
	for _, s := range one.statements()[1:] {
		require.False(t, strings.HasPrefix(s, "INSERT"), s)
	}
}
