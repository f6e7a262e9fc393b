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

// driverProcess is a driver in a process of its own.
type driverProcess struct {
	*testDriver
	pid        int
	signal     func(syscall.Signal)
	waitForLog func(what string)
	exited     chan error
	stderr     func() string
}

func startProcess(t *testing.T, d *fakeDiscovery, change func(file map[string]any)) *driverProcess {
	env := writeConfig(t, d, change)
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	p := &driverProcess{testDriver: &testDriver{address: env["GW_LISTEN"]}, pid: cmd.Process.Pid, exited: make(chan error, 1), stderr: stderr.String,
		signal: func(s syscall.Signal) { require.NoError(t, cmd.Process.Signal(s)) },
		waitForLog: func(what string) {
			eventually(t, what, func() bool { return strings.Contains(stderr.String(), what) })
		}}
	go func() { p.exited <- cmd.Wait() }()
	p.connect(t).ask(t, "")
	return p
}

// waitForExit waits for the process to exit in good order.
func (p *driverProcess) waitForExit(t *testing.T, within time.Duration) {
	select {
	case err := <-p.exited:
		require.NoError(t, err, p.stderr())
	case <-time.After(within):
		require.Fail(t, "it does not exit", p.stderr())
	}
}

// withLongDeadlines lets clients wait for 5 s.
func withLongDeadlines(file map[string]any) {
	for _, class := range file["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["giveUpUs"] = 5_000_000
	}
}

// Guards against an RPC that is lost since its client waits longer than the driver takes to leave, and against a second notice
// to leave, or one to read the file again, that ends the driver before its time.
func TestShutdownWaitsForRPCs(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	p := startProcess(t, newFakeDiscovery(t, primary), withLongDeadlines)
	c, rests := p.connect(t), p.connect(t)
	require.Equal(t, "from p", rests.ask(t, statement("write", 1000)))
	primary.setBehavior("silent")
	c.send(statement("write", 4700))
	eventually(t, "the attempt is out", func() bool { return len(primary.statements()) == 2 })
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	p.waitForLog("leaving")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	require.Equal(t, "end", rests.readReply(t), "it is let go")
	require.Less(t, time.Since(begun), 1500*time.Millisecond)
	require.Equal(t, "08007", c.readReply(t), "an answer, whole and in time")
	require.Less(t, time.Since(begun), 4800*time.Millisecond)
	require.Greater(t, time.Since(begun), 4500*time.Millisecond)
	require.Equal(t, "end", c.readReply(t))
	p.waitForExit(t, time.Second)
	require.NotContains(t, p.stderr(), "shutdown timed out")
}

// Guards against what was read before the shutdown and is not answered, and what comes after it and is sent on: queries behind
// one another, one that comes again at once, half a query, one on a connection that rests.
func TestQueriesAtShutdown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	p := startProcess(t, newFakeDiscovery(t, primary), nil)
	queue, again, half, rests := p.connect(t), p.connect(t), p.connect(t), p.connect(t)
	p.signal(syscall.SIGTERM)
	p.waitForLog("leaving")
	time.Sleep(300 * time.Millisecond) // clients are still sent here
	require.Equal(t, "from p", p.connect(t).ask(t, statement("write", 1000)))
	release := primary.holdLink()
	for range 5 {
		queue.send(statement("write", 1900))
	}
	again.send(statement("write", 1900))
	query := message("Q", statement("write", 1900)+"\x00")
	io.WriteString(half, query[:20])
	require.Equal(t, "end", rests.readReply(t), "it is let go: no client is sent here any more")
	io.WriteString(half, query[20:])
	io.WriteString(rests, query)
	release()
	for range 5 {
		require.Equal(t, "from p", queue.readReply(t))
	}
	require.Equal(t, "end", queue.readReply(t))
	require.Equal(t, "from p", half.readReply(t))
	answers := 1
	require.Equal(t, "from p", again.readReply(t))
	for again.ask(t, statement("write", 1900)) == "from p" {
		answers++
	}
	require.Equal(t, 1, answers, "what comes behind the last answer is not taken")
	p.waitForExit(t, 2*time.Second)
	require.Len(t, primary.statements(), 1+5+1+1)
}

// Guards against a driver that waits without end for the rest of a query, and against a reset in place of an end where a
// client sends much as it is let go.
func TestPartialQueryAtShutdown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	p := startProcess(t, newFakeDiscovery(t, primary), nil)
	half, floods := p.connect(t), p.connect(t)
	io.WriteString(half, "Q\x00\x00\x01\x00half")
	p.signal(syscall.SIGTERM)
	require.Equal(t, "end", floods.readReply(t))
	_, err := io.WriteString(floods, strings.Repeat(message("Q", statement("write", 1000)+"\x00"), 1000))
	require.NoError(t, err)
	require.Equal(t, "fatal 08P01 end", half.readReply(t))
	half.Conn.(*net.TCPConn).CloseWrite()
	p.waitForExit(t, 3*time.Second)
	require.Empty(t, primary.statements())
}
