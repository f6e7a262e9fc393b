package program_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is a driver in a process of its own.
type process struct {
	*driver
	pid    int
	signal func(syscall.Signal)
	says   func(what string)
	exited chan error
	text   func() string
}

func launch(t *testing.T, d *discovery, change func(file map[string]any)) *process {
	env := posting(t, d, change)
	cmd, stderr := command(t, env)
	require.NoError(t, cmd.Start())
	p := &process{driver: &driver{address: env["GW_LISTEN"]}, pid: cmd.Process.Pid, exited: make(chan error, 1), text: stderr.String,
		signal: func(s syscall.Signal) { require.NoError(t, cmd.Process.Signal(s)) },
		says: func(what string) {
			eventually(t, what, func() bool { return strings.Contains(stderr.String(), what) })
		}}
	go func() { p.exited <- cmd.Wait() }()
	p.client(t).ask(t, "")
	return p
}

// ends waits for the process to exit in good order.
func (p *process) ends(t *testing.T, within time.Duration) {
	select {
	case err := <-p.exited:
		require.NoError(t, err, p.text())
	case <-time.After(within):
		require.Fail(t, "it does not exit", p.text())
	}
}

// patient lets clients wait for 5 s.
func patient(file map[string]any) {
	for _, class := range file["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["giveUpUs"] = 5_000_000
	}
}

// Guards against an RPC that is lost since its client waits longer than the driver takes to leave, and against a second notice
// to leave, or one to read the file again, that ends the driver before its time.
func TestLeavesByTheClientsTime(t *testing.T) {
	primary := newMember(t, "p", "leader")
	p := launch(t, newDiscovery(t, primary), patient)
	c, rests := p.client(t), p.client(t)
	require.Equal(t, "from p", rests.ask(t, statement("write", 1000)))
	primary.does("silent")
	c.send(statement("write", 4700))
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 2 })
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	p.says("leaving")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	require.Equal(t, "end", rests.reply(t), "it is let go")
	require.Less(t, time.Since(begun), 1500*time.Millisecond)
	require.Equal(t, "08007", c.reply(t), "an answer, whole and in time")
	require.Less(t, time.Since(begun), 4800*time.Millisecond)
	require.Greater(t, time.Since(begun), 4500*time.Millisecond)
	require.Equal(t, "end", c.reply(t))
	p.ends(t, time.Second)
	require.NotContains(t, p.text(), "shutdown timed out")
}

// Guards against what was read before the shutdown and is not answered, and what comes after it and is sent on: queries behind
// one another, one that comes again at once, half a query, one on a connection that rests.
func TestQueriesAtTheShutdown(t *testing.T) {
	primary := newMember(t, "p", "leader")
	p := launch(t, newDiscovery(t, primary), nil)
	queue, again, half, rests := p.client(t), p.client(t), p.client(t), p.client(t)
	p.signal(syscall.SIGTERM)
	p.says("leaving")
	time.Sleep(300 * time.Millisecond) // clients are still sent here
	require.Equal(t, "from p", p.client(t).ask(t, statement("write", 1000)))
	release := primary.hold()
	for range 5 {
		queue.send(statement("write", 1900))
	}
	again.send(statement("write", 1900))
	whole := said("Q", statement("write", 1900)+"\x00")
	io.WriteString(half, whole[:20])
	require.Equal(t, "end", rests.reply(t), "it is let go: no client is sent here any more")
	io.WriteString(half, whole[20:])
	io.WriteString(rests, whole)
	release()
	for range 5 {
		require.Equal(t, "from p", queue.reply(t))
	}
	require.Equal(t, "end", queue.reply(t))
	require.Equal(t, "from p", half.reply(t))
	answers := 1
	require.Equal(t, "from p", again.reply(t))
	for again.ask(t, statement("write", 1900)) == "from p" {
		answers++
	}
	require.Equal(t, 1, answers, "what comes behind the last answer is not taken")
	p.ends(t, 2*time.Second)
	require.Len(t, primary.statements(), 1+5+1+1)
}

// Guards against a driver that waits without end for the rest of a query, and against a reset in place of an end where a
// client sends much as it is let go.
func TestHalfAQueryAtTheShutdown(t *testing.T) {
	primary := newMember(t, "p", "leader")
	p := launch(t, newDiscovery(t, primary), nil)
	half, floods := p.client(t), p.client(t)
	io.WriteString(half, "Q\x00\x00\x01\x00half")
	p.signal(syscall.SIGTERM)
	require.Equal(t, "end", floods.reply(t))
	_, err := io.WriteString(floods, strings.Repeat(said("Q", statement("write", 1000)+"\x00"), 1000))
	require.NoError(t, err)
	require.Equal(t, "fatal 08P01 end", half.reply(t))
	half.Conn.(*net.TCPConn).CloseWrite()
	p.ends(t, 3*time.Second)
	require.Empty(t, primary.statements())
}
