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
	primary, replica := newMember(t, "p", "leader"), newMember(t, "r", "follower")
	c := start(t, newDiscovery(t, primary, replica), nil).client(t)
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
func TestQueriesBehindOneAnother(t *testing.T) {
	primary := newMember(t, "p", "leader")
	c := start(t, newDiscovery(t, primary), nil).client(t)
	for _, q := range []string{statement("write", 1000), "", "nonsense", statement("write", 1000)} {
		c.send(q)
	}
	for _, want := range []string{"from p", "empty", "42601", "from p"} {
		require.Equal(t, want, c.reply(t))
	}
}

// Guards against one bad client that costs others their connections, and against its statements reaching a member.
// Each gets an error or its connection's end.
func TestBadClients(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), nil)
	for query, want := range map[string]string{
		"SELECT 1": "42601",
		strings.Replace(statement("read", 100), "c=read", "c=neither", 1):                 "42601",
		strings.Replace(statement("read", 100), "c=read", "c=write", 1):                   "42601",
		strings.Replace(statement("read", 100), "SELECT content", "SELECT content, 1", 1): "42601",
		statement("read", 99_999): "42601",
	} {
		require.Equal(t, want, v.client(t).ask(t, query), query)
	}
	for text, want := range map[string]string{
		said("y", "what"):           "fatal 08P01 end",
		"Q\x00\x00\x00\x01":         "fatal 08P01 end",
		"Q\x7f\xff\xff\xff":         "fatal 08P01 end",
		said("X", ""):               "end",
		"Q\x00\x00\x00\x20cut":      "end",
		"Q\x00\x00\x00\x20half":     "fatal 08P01 end",
		"Q\x00\x00":                 "fatal 08P01 end",
		"":                          "end",
		"Q\x03\x93\x87\x00" + big(): "fatal 08P01 end",
	} {
		bad, begun := v.client(t), time.Now()
		go io.WriteString(bad, text)
		if strings.HasSuffix(text, "cut") {
			bad.Conn.(*net.TCPConn).CloseWrite()
		}
		require.Equal(t, want, bad.reply(t), "%.80q", text)
		require.Less(t, time.Since(begun), 3*time.Second)
	}
	silent, err := net.Dial("tcp", v.address)
	require.NoError(t, err)
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.ReadAll(silent)
	require.NoError(t, err, "one that says nothing at all is let go")
	good := v.client(t)
	require.Equal(t, "53300", good.ask(t, strings.Replace(statement("read", 100), "cluster=1", "cluster=9", 1)))
	require.Equal(t, "from p", good.ask(t, statement("write", 1000)))
	require.Len(t, primary.statements(), 1)
}

func big() string { return strings.Repeat("x", 1<<20) }

// Guards against a client that asks and does not take its answers: what it holds up must be let go in the end.
func TestClientThatDoesNotRead(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), nil)
	tail := said("S", "node_role\x00leader\x00") + said("Z", "I")
	primary.does("raw " + row(strings.Repeat(big(), 8)) + tail)
	c := v.client(t)
	for range 4 {
		c.send(statement("write", 2000))
	}
	eventually(t, "its connection ends", func() bool {
		_, err := io.WriteString(c, "Q")
		return err != nil
	})
	primary.does("")
	require.Equal(t, "from p", v.client(t).ask(t, statement("write", 1000)))
}

// Guards against a client that uses the id of another's RPC: the member would see it twice, and answer one of both.
func TestSameID(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), nil)
	one, other := v.client(t), v.client(t)
	primary.does("silent")
	query := statement("write", 300)
	one.send(query)
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 1 })
	require.Equal(t, "42601", other.ask(t, query))
	require.Equal(t, "08007", one.reply(t))
	require.Equal(t, "42601", other.ask(t, query), "nor is it taken when the other has just ended")
	require.Len(t, primary.statements(), 1)
}

// Guards against clients that say nothing, or ask once and stay, and so keep all others out or hold memory for good.
func TestClientsThatStay(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), func(file map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 84
	})
	for range 100 {
		c, err := net.Dial("tcp", v.address)
		require.NoError(t, err)
		defer c.Close()
	}
	begun := time.Now()
	guest := v.client(t)
	require.Equal(t, "from p", guest.ask(t, statement("write", 1000)))
	for range 60 { // ask nothing real, and stay
		require.Equal(t, "empty", v.client(t).ask(t, ""))
	}
	require.Equal(t, "from p", guest.ask(t, statement("write", 1000)), "a crowd does not keep it out")
	for range 20 { // ask once, and stay
		require.Equal(t, "from p", v.client(t).ask(t, statement("write", 1000)))
	}
	require.Equal(t, "end", guest.reply(t), "too many guests wait: the one that has longest goes, though room is not short")
	require.Less(t, time.Since(begun), time.Second)
	stays := v.client(t)
	require.Equal(t, "from p", stays.ask(t, statement("write", 1000)))
	require.Less(t, time.Since(begun), 1500*time.Millisecond)
	require.Equal(t, "end", stays.reply(t))
	require.Greater(t, time.Since(begun), 2*time.Second, "not while others are closed for less")
}

// Guards against spoilt answers passed on, taken for a proof, or waited for when they will not end; against a
// statement that no member can use being blamed on them; and against what comes behind an answer being the next one's.
func TestSpoiltAnswers(t *testing.T) {
	one, other := newMember(t, "a", "follower"), newMember(t, "b", "leader")
	v := start(t, newDiscovery(t, one, other), nil)
	c := v.client(t)
	whole := row("spoilt")
	for _, text := range []string{
		"noise\r\n\r\n", whole[:len(whole)/2], "D\xb2\xd0\x5e\x0a" + big(),
		strings.Replace(whole, "\x00\x06spoilt", "\x00\x05spoilt", 1), whole + "x" + said("Z", "I"),
	} {
		one.does("raw " + text)
		for range 4 {
			require.Equal(t, "from b", c.ask(t, statement("read", 2000)), "%.80q", text)
		}
		one.does("")
		other.does("raw " + text)
		before, begun := len(other.statements()), time.Now()
		require.Equal(t, "08007", c.ask(t, statement("write", 1000)), "%.80q", text)
		require.Less(t, time.Since(begun), 500*time.Millisecond)
		require.Len(t, other.statements(), before+1, "not sent again")
		other.does("")
	}
	other.does("twice")
	for range 5 {
		require.Equal(t, "from b", c.ask(t, statement("write", 1000)))
		time.Sleep(7 * time.Millisecond)
	}
	other.does("42601")
	before := len(other.statements())
	for range 5 {
		require.Equal(t, "08007", c.ask(t, statement("write", 1000)))
	}
	require.Len(t, other.statements(), before+5, "each once, and the member is not set aside")
}

// Guards against attempts whose proof is taken wrongly: a write goes on only where it provably never ran.
func TestMembersThatFail(t *testing.T) {
	primary := newMember(t, "p", "leader")
	c := start(t, newDiscovery(t, primary), nil).client(t)
	for _, step := range []struct{ act, answer string }{
		{"reset", "08007"},  // after its last byte: it may have run
		{"XX000", "08007"},  // it may have run
		{"silent", "08007"}, // it may have run, or may yet
		{"53300", "53300"},  // it never ran: repeated, then pushed back
		{"", "from p"},
	} {
		primary.does(step.act)
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
func TestReadsMoveOn(t *testing.T) {
	one, other := newMember(t, "a", "follower"), newMember(t, "b", "follower")
	v := start(t, newDiscovery(t, one, other), nil)
	c := v.client(t)
	for _, act := range []string{"silent", "reset", "72000"} {
		one.does(act)
		for range 6 {
			require.Equal(t, "from b", c.ask(t, statement("read", 2000)), act)
		}
	}
	one.die()
	for range 6 { // its idle connections end before they are used, new ones are refused
		require.Equal(t, "from b", c.ask(t, statement("read", 2000)))
	}
}

// Guards against a member held back as if it had restarted, when only the link to it was cut for a while.
func TestCutLink(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), nil)
	four := func() []*stream { return []*stream{v.client(t), v.client(t), v.client(t), v.client(t)} }
	clients := four()
	together := func(left int) {
		for _, c := range clients {
			c.send(statement("write", left))
		}
	}
	primary.does("silent")
	together(300) // so that there are several connections
	eventually(t, "all are out", func() bool { return len(primary.statements()) == 4 })
	primary.does("")
	primary.link.Lock()
	for _, c := range clients {
		c.reply(t)
	}
	primary.link.Unlock()
	together(300)
	for _, c := range clients {
		require.Equal(t, "from p", c.reply(t))
	}
	primary.link.Lock()
	asks := v.client(t)
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; {
		asks.ask(t, statement("write", 100))
	}
	primary.link.Unlock()
	clients = four() // those from before were let go meanwhile
	eventually(t, "it is used again", func() bool { return clients[0].ask(t, statement("write", 100)) == "from p" })
	primary.does("silent")
	before := len(primary.statements())
	together(100)
	eventually(t, "all are out at once", func() bool { return len(primary.statements()) == before+4 })
}

// Guards against the same where one client at a time keeps a single connection busy, which dies with the link.
func TestCutLinkInSteadyUse(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), nil)
	c := v.client(t)
	for begun := time.Now(); time.Since(begun) < 300*time.Millisecond; {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	}
	primary.link.Lock()
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; {
		c.ask(t, statement("write", 400))
	}
	primary.link.Unlock()
	clients := []*stream{v.client(t), v.client(t), v.client(t), v.client(t)}
	eventually(t, "it is used again", func() bool { return clients[0].ask(t, statement("write", 100)) == "from p" })
	primary.does("silent")
	before := len(primary.statements())
	for _, c := range clients {
		c.send(statement("write", 100))
	}
	eventually(t, "all are out at once", func() bool { return len(primary.statements()) == before+4 })
}

// Guards against work sent to a member after the watch told that it drains.
func TestDrains(t *testing.T) {
	one, other := newMember(t, "a", "follower"), newMember(t, "b", "follower")
	d := newDiscovery(t, one, other)
	c := start(t, d, nil).client(t)
	if c.ask(t, statement("read", 1000)) == "from b" {
		one, other = other, one
	}
	eventually(t, "the list is watched", func() bool { return d.calls() == 2 })
	d.set(one, "DRAINING", false)
	eventually(t, "the watch goes on", func() bool { return d.calls() == 3 })
	before := len(one.statements())
	for range 30 {
		require.Equal(t, "from "+other.name, c.ask(t, statement("read", 1000)))
	}
	require.Len(t, one.statements(), before)
}

// Guards against a driver that is of no use, or asks without a pause, while discovery is down.
func TestDiscoveryDown(t *testing.T) {
	primary := newMember(t, "p", "leader")
	d := newDiscovery(t, primary)
	d.set(nil, "", true)
	c := start(t, d, nil).client(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	require.Equal(t, 1, d.calls())
	eventually(t, "it is asked again", func() bool { return d.calls() >= 2 })
	d.set(primary, "DRAINING", false)
	eventually(t, "the list is told", func() bool { return c.ask(t, statement("write", 300)) == "53300" })
}

// Guards against a member that is sought for ever where it was before.
func TestMemberMoves(t *testing.T) {
	here, there := newMember(t, "p", "leader"), newMember(t, "p", "leader")
	d := newDiscovery(t, here)
	c := start(t, d, nil).client(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	d.mu.Lock()
	delete(d.states, here)
	d.mu.Unlock()
	d.set(there, "SERVING", false)
	eventually(t, "it is found where it is now", func() bool {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
		return len(there.statements()) > 0
	})
}

// Guards against datagrams that are no driver's, overlong ones among them, doing more than being counted.
func TestStrayDatagrams(t *testing.T) {
	primary := newMember(t, "p", "leader")
	change, address := peered(t, 1)
	env := posting(t, newDiscovery(t, primary), change)
	cmd, stderr := command(t, env)
	require.NoError(t, cmd.Start())
	c := (&driver{address: env["GW_LISTEN"]}).client(t)
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
func TestClientLeaves(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), nil)
	primary.does("silent")
	c := v.client(t)
	c.send(statement("write", 2000))
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 1 })
	c.Close()
	primary.does("")
	require.Equal(t, "from p", v.client(t).ask(t, statement("write", 1000)))
}

// Guards against descriptors that run out: clients that ask nothing make room, and those that come are served.
func TestFewDescriptors(t *testing.T) {
	primary := newMember(t, "p", "leader")
	v := start(t, newDiscovery(t, primary), func(file map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 84
	})
	for range 100 {
		require.Equal(t, "from p", v.client(t).ask(t, statement("write", 1000)))
	}
}

// Guards against RPCs lost at a planned restart: what was taken is answered, and idle clients are let go.
func TestTermination(t *testing.T) {
	primary := newMember(t, "p", "leader")
	d := newDiscovery(t, primary)
	env := posting(t, d, nil)
	cmd, stderr := command(t, env)
	require.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	v := &driver{address: env["GW_LISTEN"]}
	idle, busy := v.client(t), v.client(t)
	require.Equal(t, "empty", idle.ask(t, ""))
	primary.does("silent")
	busy.send(statement("write", 1200))
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 1 })
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "it says so", func() bool { return strings.Contains(stderr.String(), "leaving") })
	primary.does("")
	require.Equal(t, "from p", v.client(t).ask(t, statement("write", 1000)), "clients that still come are served")
	require.Equal(t, "end", idle.reply(t))
	require.Equal(t, "08007", busy.reply(t))
	require.Equal(t, "end", busy.reply(t))
	require.NoError(t, <-exited, stderr.String())
}

// Guards against start-up input that ends in a trace or in silence in place of one plain line.
func TestBadStart(t *testing.T) {
	d := newDiscovery(t)
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
		refused(t, posting(t, d, change), want)
	}
	for _, name := range []string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"} {
		env := posting(t, d, nil)
		delete(env, name)
		refused(t, env, name+" is missing")
		if name != "GW_NAME" {
			env[name] = "nowhere"
			refused(t, env, name)
		}
	}
}

func refused(t *testing.T, env map[string]string, want string) {
	cmd, stderr := command(t, env)
	require.Error(t, cmd.Run())
	require.Contains(t, stderr.String(), want)
	require.Equal(t, 1, strings.Count(stderr.String(), "\n"), stderr.String())
}

var built string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sedgespread")
	if err != nil {
		panic(err)
	}
	built = filepath.Join(folder, "sedgespread")
	if out, err := exec.Command("go", "build", "-o", built, "sedgespread/cmd/sedgespread").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// command is the program as it is built, with an environment of its own.
func command(t *testing.T, env map[string]string) (*exec.Cmd, *output) {
	cmd, stderr := exec.Command(built), &output{}
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
