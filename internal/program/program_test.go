package program_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the ordinary path: statements reach a member as they came, but for d, and answers come back.
func TestServes(t *testing.T) {
	primary, replica := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower")
	c := startDriver(t, newFakeDiscovery(t, primary, replica), nil).connect(t)
	require.Equal(t, "empty", c.ask(t, " ;"))
	read := statement("read", 1000)
	require.Equal(t, "from r", c.ask(t, read))
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	got := replica.statements()[0]
	before, after, _ := strings.Cut(read, "d=1000")
	require.True(t, strings.HasPrefix(got, before) && strings.HasSuffix(got, after), got)
	require.NotEqual(t, read, got, "d is what is left")
}

// Guards against answers that come in another order than their queries.
func TestPipelinedQueries(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	c := startDriver(t, newFakeDiscovery(t, primary), nil).connect(t)
	for _, q := range []string{statement("write", 1000), "", "nonsense", statement("write", 1000)} {
		c.send(q)
	}
	for _, want := range []string{"from p", "empty", "42601", "from p"} {
		require.Equal(t, want, c.readReply(t))
	}
}

// Guards against one bad client that costs others their connections, and against its statements reaching a member.
// Each gets an error or its connection's end.
func TestBadClients(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	for query, want := range map[string]string{
		"SELECT 1": "42601",
		strings.Replace(statement("read", 100), "c=read", "c=neither", 1):                 "42601",
		strings.Replace(statement("read", 100), "c=read", "c=write", 1):                   "42601",
		strings.Replace(statement("read", 100), "SELECT content", "SELECT content, 1", 1): "42601",
		statement("read", 99_999): "42601",
	} {
		require.Equal(t, want, v.connect(t).ask(t, query), query)
	}
	for text, want := range map[string]string{
		message("y", "what"):             "fatal 08P01 end",
		"Q\x00\x00\x00\x01":              "fatal 08P01 end",
		"Q\x7f\xff\xff\xff":              "fatal 08P01 end",
		message("X", ""):                 "end",
		"Q\x00\x00\x00\x20cut":           "end",
		"Q\x00\x00\x00\x20half":          "fatal 08P01 end",
		"Q\x00\x00":                      "fatal 08P01 end",
		"":                               "end",
		"Q\x03\x93\x87\x00" + megabyte(): "fatal 08P01 end",
	} {
		bad, begun := v.connect(t), time.Now()
		go io.WriteString(bad, text)
		if strings.HasSuffix(text, "cut") {
			bad.Conn.(*net.TCPConn).CloseWrite()
		}
		require.Equal(t, want, bad.readReply(t), "%.80q", text)
		require.Less(t, time.Since(begun), 3*time.Second)
	}
	silent, err := net.Dial("tcp", v.address)
	require.NoError(t, err)
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.ReadAll(silent)
	require.NoError(t, err, "one that says nothing at all is let go")
	good := v.connect(t)
	require.Equal(t, "53300", good.ask(t, strings.Replace(statement("read", 100), "cluster=1", "cluster=9", 1)))
	require.Equal(t, "from p", good.ask(t, statement("write", 1000)))
	require.Len(t, primary.statements(), 1)
}

func megabyte() string { return strings.Repeat("x", 1<<20) }

// Guards against a client that asks and does not take its answers: what it holds up must be let go in the end.
func TestClientThatDoesNotRead(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	tail := message("S", "node_role\x00leader\x00") + message("Z", "I")
	primary.setBehavior("raw " + rowMessages(strings.Repeat(megabyte(), 8)) + tail)
	c := v.connect(t)
	for range 4 {
		c.send(statement("write", 2000))
	}
	eventually(t, "its connection ends", func() bool {
		_, err := io.WriteString(c, "Q")
		return err != nil
	})
	primary.setBehavior("")
	require.Equal(t, "from p", v.connect(t).ask(t, statement("write", 1000)))
}

// Guards against a client that uses the id of another's RPC: the member would see it twice, and answer one of both.
func TestDuplicateRPCID(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	one, other := v.connect(t), v.connect(t)
	primary.setBehavior("silent")
	query := statement("write", 300)
	one.send(query)
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 1 })
	require.Equal(t, "42601", other.ask(t, query))
	require.Equal(t, "08007", one.readReply(t))
	require.Equal(t, "42601", other.ask(t, query), "nor is it taken when the other has just ended")
	require.Len(t, primary.statements(), 1)
}

// Guards against clients that say nothing, or ask once and stay, and so keep all others out or hold memory for good.
func TestIdleClients(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 84
	})
	for range 100 {
		c, err := net.Dial("tcp", v.address)
		require.NoError(t, err)
		defer c.Close()
	}
	begun := time.Now()
	guest := v.connect(t)
	require.Equal(t, "from p", guest.ask(t, statement("write", 1000)))
	for range 60 { // ask nothing real, and stay
		require.Equal(t, "empty", v.connect(t).ask(t, ""))
	}
	require.Equal(t, "from p", guest.ask(t, statement("write", 1000)), "a crowd does not keep it out")
	for range 20 { // ask once, and stay
		require.Equal(t, "from p", v.connect(t).ask(t, statement("write", 1000)))
	}
	require.Equal(t, "end", guest.readReply(t), "too many guests wait: the one that has longest goes, though room is not short")
	require.Less(t, time.Since(begun), time.Second)
	stays := v.connect(t)
	require.Equal(t, "from p", stays.ask(t, statement("write", 1000)))
	require.Less(t, time.Since(begun), 1500*time.Millisecond)
	require.Equal(t, "end", stays.readReply(t))
	require.Greater(t, time.Since(begun), 2*time.Second, "not while others are closed for less")
}

// Guards against spoilt answers passed on, taken for a proof, or waited for when they will not end; against a
// statement that no member can use being blamed on them; and against what comes behind an answer being the next one's.
func TestMalformedAnswers(t *testing.T) {
	one, other := newFakeMember(t, "a", "follower"), newFakeMember(t, "b", "leader")
	v := startDriver(t, newFakeDiscovery(t, one, other), nil)
	c := v.connect(t)
	whole := rowMessages("spoilt")
	for _, text := range []string{
		"noise\r\n\r\n", whole[:len(whole)/2], "D\xb2\xd0\x5e\x0a" + megabyte(),
		strings.Replace(whole, "\x00\x06spoilt", "\x00\x05spoilt", 1), whole + "x" + message("Z", "I"),
	} {
		one.setBehavior("raw " + text)
		for range 4 {
			require.Equal(t, "from b", c.ask(t, statement("read", 2000)), "%.80q", text)
		}
		one.setBehavior("")
		other.setBehavior("raw " + text)
		before, begun := len(other.statements()), time.Now()
		require.Equal(t, "08007", c.ask(t, statement("write", 1000)), "%.80q", text)
		require.Less(t, time.Since(begun), 500*time.Millisecond)
		require.Len(t, other.statements(), before+1, "not sent again")
		other.setBehavior("")
	}
	other.setBehavior("twice")
	for range 5 {
		require.Equal(t, "from b", c.ask(t, statement("write", 1000)))
		time.Sleep(7 * time.Millisecond)
	}
	other.setBehavior("42601")
	before := len(other.statements())
	for range 5 {
		require.Equal(t, "08007", c.ask(t, statement("write", 1000)))
	}
	require.Len(t, other.statements(), before+5, "each once, and the member is not set aside")
}

// Guards against attempts whose proof is taken wrongly: a write goes on only where it provably never ran.
func TestFailingMembers(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	c := startDriver(t, newFakeDiscovery(t, primary), nil).connect(t)
	for _, step := range []struct{ act, answer string }{
		{"reset", "08007"},  // after its last byte: it may have run
		{"XX000", "08007"},  // it may have run
		{"silent", "08007"}, // it may have run, or may yet
		{"53300", "53300"},  // it never ran: repeated, then pushed back
		{"", "from p"},
	} {
		primary.setBehavior(step.act)
		before := len(primary.statements())
		begun := time.Now()
		require.Equal(t, step.answer, c.ask(t, statement("write", 300)), step.act)
		require.Less(t, time.Since(begun), 400*time.Millisecond, "an answer within the client's time")
		if step.answer == "08007" {
			require.Len(t, primary.statements(), before+1, "%s: not sent again", step.act)
		}
	}
}

// Guards against reads lost with a member that others could have answered, and against silent members that hold
// up RPCs on others.
func TestReadsRetryOtherMembers(t *testing.T) {
	one, other := newFakeMember(t, "a", "follower"), newFakeMember(t, "b", "follower")
	v := startDriver(t, newFakeDiscovery(t, one, other), nil)
	c := v.connect(t)
	for _, act := range []string{"silent", "reset", "72000"} {
		one.setBehavior(act)
		for range 6 {
			require.Equal(t, "from b", c.ask(t, statement("read", 2000)), act)
		}
	}
	one.shutDown()
	for range 6 { // its idle connections end before they are used, new ones are refused
		require.Equal(t, "from b", c.ask(t, statement("read", 2000)))
	}
}

// Guards against a member held back as if it had restarted, when only the link to it was cut for a while.
func TestCutLink(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	four := func() []*pgConn { return []*pgConn{v.connect(t), v.connect(t), v.connect(t), v.connect(t)} }
	clients := four()
	together := func(left int) {
		for _, c := range clients {
			c.send(statement("write", left))
		}
	}
	primary.setBehavior("silent")
	together(300) // so that there are several connections
	eventually(t, "all are out", func() bool { return len(primary.statements()) == 4 })
	primary.setBehavior("")
	primary.linkLock.Lock()
	for _, c := range clients {
		c.readReply(t)
	}
	primary.linkLock.Unlock()
	together(300)
	for _, c := range clients {
		require.Equal(t, "from p", c.readReply(t))
	}
	primary.linkLock.Lock()
	asks := v.connect(t)
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; {
		asks.ask(t, statement("write", 100))
	}
	primary.linkLock.Unlock()
	clients = four() // those from before were let go meanwhile
	eventually(t, "it is used again", func() bool { return clients[0].ask(t, statement("write", 100)) == "from p" })
	primary.setBehavior("silent")
	before := len(primary.statements())
	together(100)
	eventually(t, "all are out at once", func() bool { return len(primary.statements()) == before+4 })
}

// Guards against the same where one client at a time keeps a single connection busy, which dies with the link.
func TestCutLinkInSteadyUse(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	c := v.connect(t)
	for begun := time.Now(); time.Since(begun) < 300*time.Millisecond; {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	}
	primary.linkLock.Lock()
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; {
		c.ask(t, statement("write", 400))
	}
	primary.linkLock.Unlock()
	clients := []*pgConn{v.connect(t), v.connect(t), v.connect(t), v.connect(t)}
	eventually(t, "it is used again", func() bool { return clients[0].ask(t, statement("write", 100)) == "from p" })
	primary.setBehavior("silent")
	before := len(primary.statements())
	for _, c := range clients {
		c.send(statement("write", 100))
	}
	eventually(t, "all are out at once", func() bool { return len(primary.statements()) == before+4 })
}

// Guards against work sent to a member after the watch told that it drains.
func TestDrainingMember(t *testing.T) {
	one, other := newFakeMember(t, "a", "follower"), newFakeMember(t, "b", "follower")
	d := newFakeDiscovery(t, one, other)
	c := startDriver(t, d, nil).connect(t)
	if c.ask(t, statement("read", 1000)) == "from b" {
		one, other = other, one
	}
	eventually(t, "the list is watched", func() bool { return d.calls() == 2 })
	d.setLifecycle(one, "DRAINING", false)
	eventually(t, "the watch goes on", func() bool { return d.calls() == 3 })
	before := len(one.statements())
	for range 30 {
		require.Equal(t, "from "+other.name, c.ask(t, statement("read", 1000)))
	}
	require.Len(t, one.statements(), before)
}

// Guards against a driver that is of no use, or asks without a pause, while discovery is down.
func TestDiscoveryDown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, primary)
	d.setLifecycle(nil, "", true)
	c := startDriver(t, d, nil).connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	require.Equal(t, 1, d.calls())
	eventually(t, "it is asked again", func() bool { return d.calls() >= 2 })
	d.setLifecycle(primary, "DRAINING", false)
	eventually(t, "the list is told", func() bool { return c.ask(t, statement("write", 300)) == "53300" })
}

// Guards against a member that is sought for ever where it was before.
func TestMemberChangesAddress(t *testing.T) {
	here, there := newFakeMember(t, "p", "leader"), newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, here)
	c := startDriver(t, d, nil).connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	d.mu.Lock()
	delete(d.lifecycles, here)
	d.mu.Unlock()
	d.setLifecycle(there, "SERVING", false)
	eventually(t, "it is found where it is now", func() bool {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
		return len(there.statements()) > 0
	})
}

// Guards against datagrams that are no driver's, overlong ones among them, doing more than being counted.
func TestStrayDatagrams(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	change, address := withPeers(t, 1)
	env := writeConfig(t, newFakeDiscovery(t, primary), change)
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	c := (&testDriver{address: env["GW_LISTEN"]}).connect(t)
	require.Equal(t, "empty", c.ask(t, ""))
	sender, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer sender.Close()
	for _, text := range []string{"\xff", strings.Repeat("\x01", 1000)} {
		io.WriteString(sender, text)
	}
	eventually(t, "both are counted", func() bool { return strings.Contains(stderr.String(), "dropped=2") })
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// Guards against work that goes on for a client that has gone, on connections that others could use.
func TestClientDisconnects(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	primary.setBehavior("silent")
	c := v.connect(t)
	c.send(statement("write", 2000))
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 1 })
	c.Close()
	primary.setBehavior("")
	require.Equal(t, "from p", v.connect(t).ask(t, statement("write", 1000)))
}

// Guards against descriptors that run out: clients that ask nothing make room, and those that come are served.
func TestFewDescriptors(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 84
	})
	for range 100 {
		require.Equal(t, "from p", v.connect(t).ask(t, statement("write", 1000)))
	}
}

// Guards against RPCs lost at a planned restart: what was taken is answered, and idle clients are let go.
func TestTermination(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, primary)
	env := writeConfig(t, d, nil)
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	v := &testDriver{address: env["GW_LISTEN"]}
	idle, busy := v.connect(t), v.connect(t)
	require.Equal(t, "empty", idle.ask(t, ""))
	primary.setBehavior("silent")
	busy.send(statement("write", 1200))
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 1 })
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "it says so", func() bool { return strings.Contains(stderr.String(), "leaving") })
	primary.setBehavior("")
	require.Equal(t, "from p", v.connect(t).ask(t, statement("write", 1000)), "clients that still come are served")
	require.Equal(t, "end", idle.readReply(t))
	require.Equal(t, "08007", busy.readReply(t))
	require.Equal(t, "end", busy.readReply(t))
	require.NoError(t, <-exited, stderr.String())
}

// Guards against start-up input that ends in a trace or in silence in place of one plain line.
func TestInvalidConfig(t *testing.T) {
	d := newFakeDiscovery(t)
	set := func(path ...any) func(map[string]any) {
		return func(file map[string]any) {
			for _, name := range path[:len(path)-2] {
				file = file[name.(string)].(map[string]any)
			}
			file[path[len(path)-2].(string)] = path[len(path)-1]
		}
	}
	for want, change := range map[string]func(map[string]any){
		"seed":                              set("seed", "no"),
		"limits.memory_mb is missing":       set("limits", "memory_mb", nil),
		"limits.sockets=\"many\"":           set("limits", "sockets", "many"),
		"settings":                          set("settings", 5),
		"classes.count is missing":          set("settings", "classes", nil),
		"classes.0.effect=\"never\"":        set("settings", "classes", []any{map[string]any{"name": "x", "effect": "never", "aimUs": 1}}),
		"settings: discovery=\"sometimes\"": set("settings", "discovery", "sometimes"),
		"known: instances.0.lifecycle":      set("known", "instances", []any{map[string]any{"instanceId": "a", "hostPort": "h:1"}}),
	} {
		requireStartFails(t, writeConfig(t, d, change), want)
	}
	for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"} {
		env := writeConfig(t, d, nil)
		delete(env, name)
		requireStartFails(t, env, name+" is missing")
		if name != "GW_NAME" {
			env[name] = "nowhere"
			requireStartFails(t, env, name)
		}
	}
}

func requireStartFails(t *testing.T, env map[string]string, want string) {
	cmd, stderr := driverCommand(t, env)
	require.Error(t, cmd.Run())
	require.Contains(t, stderr.String(), want)
	require.Equal(t, 1, strings.Count(stderr.String(), "\n"), stderr.String())
}

var binaryPath string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sedgespread")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(folder, "sedgespread")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "sedgespread/cmd/sedgespread").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// driverCommand is the program as it is built, with an environment of its own.
func driverCommand(t *testing.T, env map[string]string) (*exec.Cmd, *lockedBuffer) {
	cmd, stderr := exec.Command(binaryPath), &lockedBuffer{}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
	for name, value := range env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	cmd.Stderr = stderr
	t.Cleanup(func() {
		if cmd.Process != nil {
			cmd.Process.Kill()
		}
	})
	return cmd, stderr
}
