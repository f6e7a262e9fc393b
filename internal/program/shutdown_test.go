package program_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// driverProcess is a driver that runs in a separate process.
type driverProcess struct {
	*testDriver
	pid        int
	signal     func(syscall.Signal)
	waitForLog func(what string)
	exited     chan error
	stderr     func() string
}

func startProcess(t *testing.T, discovery *fakeDiscovery, change func(file map[string]any)) *driverProcess {
	env := writeConfig(t, discovery, change)
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

// waitForExit waits for the process to exit without an error.
func (p *driverProcess) waitForExit(t *testing.T, within time.Duration) {
	select {
	case err := <-p.exited:
		require.NoError(t, err, p.stderr())
	case <-time.After(within):
		require.Fail(t, "the process does not exit", p.stderr())
	}
}

// withLongDeadlines lets RPCs take up to 5 s.
func withLongDeadlines(file map[string]any) {
	for _, class := range file["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["giveUpUs"] = 5_000_000
	}
}

// Guards against losing an RPC that outlasts the usual shutdown, and against repeated signals that
// end the driver early.
func TestShutdownWaitsForRPCs(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	driver := startProcess(t, newFakeDiscovery(t, primary), withLongDeadlines)
	client, idle := driver.connect(t), driver.connect(t)
	require.Equal(t, "from p", idle.ask(t, statement("write", 1000)))
	primary.setBehavior("silent")
	client.send(statement("write", 4700))
	eventually(t, "the attempt is sent", func() bool { return len(primary.statements()) == 2 })
	startTime := time.Now()
	driver.signal(syscall.SIGTERM)
	driver.waitForLog("leaving")
	driver.signal(syscall.SIGTERM)
	driver.signal(syscall.SIGHUP)
	require.Equal(t, "end", idle.readReply(t), "the connection is closed")
	require.Less(t, time.Since(startTime), 1500*time.Millisecond)
	require.Equal(t, "08007", client.readReply(t), "a complete answer before the deadline")
	require.Less(t, time.Since(startTime), 4800*time.Millisecond)
	require.Greater(t, time.Since(startTime), 4500*time.Millisecond)
	require.Equal(t, "end", client.readReply(t))
	driver.waitForExit(t, time.Second)
	require.NotContains(t, driver.stderr(), "shutdown timed out")
}

// Guards against queries that are received before shutdown and not answered, or arrive after it and
// are executed.
func TestQueriesAtShutdown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	driver := startProcess(t, newFakeDiscovery(t, primary), nil)
	pipelining, repeating, partial, idle := driver.connect(t), driver.connect(t), driver.connect(t), driver.connect(t)
	driver.signal(syscall.SIGTERM)
	driver.waitForLog("leaving")
	time.Sleep(300 * time.Millisecond) // still within the drain delay
	require.Equal(t, "from p", driver.connect(t).ask(t, statement("write", 1000)))
	release := primary.holdLink()
	for range 5 {
		pipelining.send(statement("write", 1900))
	}
	repeating.send(statement("write", 1900))
	query := message("Q", statement("write", 1900)+"\x00")
	io.WriteString(partial, query[:20])
	require.Equal(t, "end", idle.readReply(t), "idle connections are closed after the drain delay")
	io.WriteString(partial, query[20:])
	io.WriteString(idle, query)
	release()
	for range 5 {
		require.Equal(t, "from p", pipelining.readReply(t))
	}
	require.Equal(t, "end", pipelining.readReply(t))
	require.Equal(t, "from p", partial.readReply(t))
	answers := 1
	require.Equal(t, "from p", repeating.readReply(t))
	for repeating.ask(t, statement("write", 1900)) == "from p" {
		answers++
	}
	require.Equal(t, 1, answers, "queries after the last answer are not executed")
	driver.waitForExit(t, 2*time.Second)
	require.Len(t, primary.statements(), 1+5+1+1)
}

// Guards against waiting indefinitely for the rest of a query at shutdown, and against resetting the
// connection of a client that still sends.
func TestPartialQueryAtShutdown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	driver := startProcess(t, newFakeDiscovery(t, primary), nil)
	partial, flooding := driver.connect(t), driver.connect(t)
	io.WriteString(partial, "Q\x00\x00\x01\x00half")
	driver.signal(syscall.SIGTERM)
	require.Equal(t, "end", flooding.readReply(t))
	_, err := io.WriteString(flooding, strings.Repeat(message("Q", statement("write", 1000)+"\x00"), 1000))
	require.NoError(t, err)
	require.Equal(t, "fatal 08P01 end", partial.readReply(t))
	partial.Conn.(*net.TCPConn).CloseWrite()
	driver.waitForExit(t, 3*time.Second)
	require.Empty(t, primary.statements())
}

// earliestKill is when the platform may kill a driver that was asked to shut down, with the usual settings.
const earliestKill = maxDeadline + killDelay

// pipeliningClient keeps several queries out on one connection for as long as it is open.
type pipeliningClient struct {
	conn    *pgConn
	mu      sync.Mutex
	sent    []string // ids
	replies []string // in the order of the queries
}

// run sends a query for each free place of the window, 0 for one without limit, until the connection ends.
func (c *pipeliningClient) run(t *testing.T, window int) {
	var writer sync.WaitGroup
	places := make(chan struct{}, max(1, window))
	ended := make(chan struct{})
	writer.Go(func() {
		for {
			if window > 0 {
				select {
				case places <- struct{}{}:
				case <-ended:
					return
				}
			}
			text := statement("write", 1500)
			c.mu.Lock()
			c.sent = append(c.sent, rpcID(text))
			c.mu.Unlock()
			if _, err := io.WriteString(c.conn, message("Q", text+"\x00")); err != nil {
				return
			}
		}
	})
	for reply := c.conn.readReply(t); reply != "end"; reply = c.conn.readReply(t) {
		c.replies = append(c.replies, reply)
		if strings.HasSuffix(reply, "end") {
			break
		}
		select {
		case <-places:
		default:
		}
	}
	close(ended)
	c.conn.Close()
	writer.Wait()
}

// Guards against a shutdown that goes on reading from clients which always have further queries out: those
// are forwarded late and get no answer when the driver is killed.
func TestPipeliningClientsAtShutdown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	primary.workTime = 60 * time.Millisecond
	driver := startProcess(t, newFakeDiscovery(t, primary), nil)
	var clients sync.WaitGroup
	var all []*pipeliningClient
	for _, window := range []int{2, 2, 4, 16, 0} {
		client := &pipeliningClient{conn: driver.connect(t)}
		all = append(all, client)
		clients.Go(func() { client.run(t, window) })
	}
	trickling := driver.connect(t)
	clients.Go(func() {
		for _, letter := range message("Q", statement("write", 1900)+"\x00") {
			if _, err := io.WriteString(trickling, string(letter)); err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	time.Sleep(300 * time.Millisecond)
	driver.signal(syscall.SIGTERM)
	requestedAt := time.Now()
	driver.waitForExit(t, earliestKill)
	t.Logf("the driver ends %v after SIGTERM", time.Since(requestedAt))
	trickling.Close()
	clients.Wait()
	forwarded := map[string]bool{}
	for _, text := range primary.statements() {
		forwarded[rpcID(text)] = true
	}
	for i, client := range all {
		served, refused, aborted := 0, 0, 0
		for n, id := range client.sent {
			switch {
			case n >= len(client.replies):
				require.False(t, forwarded[id], "client %d, query %d was forwarded and has no answer", i, n)
			case strings.Contains(client.replies[n], "57P03") || client.replies[n] == "53300":
				require.False(t, forwarded[id], "client %d, query %d was forwarded and refused", i, n)
				refused++
			case strings.Contains(client.replies[n], "08007"): // of the client without limit, many outlast their time
				aborted++
			default:
				require.Equal(t, "from p", client.replies[n], "client %d, query %d", i, n)
				served++
			}
		}
		t.Logf("client %d sent %d, served %d, refused %d, aborted %d", i, len(client.sent), served, refused, aborted)
		require.True(t, aborted == 0 || i == len(all)-1)
		require.Greater(t, served, 5)
	}
}

// Guards against a query whose last byte comes during the shutdown and whose answer comes only after this driver
// may have been killed.
func TestQueryCompletedDuringShutdown(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	driver := startProcess(t, newFakeDiscovery(t, primary), nil)
	client := driver.connect(t)
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	primary.setBehavior("silent")
	query := message("Q", statement("write", 1900)+"\x00")
	io.WriteString(client, query[:50])
	driver.signal(syscall.SIGTERM)
	requestedAt := time.Now()
	time.Sleep(1300 * time.Millisecond)
	io.WriteString(client, query[50:])
	require.Equal(t, "08007", client.readReply(t), "a whole answer")
	require.Less(t, time.Since(requestedAt), earliestKill)
	require.Equal(t, "end", client.readReply(t))
	driver.waitForExit(t, time.Second)
}
