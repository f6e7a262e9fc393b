package program_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withLimits sets the limits on memory and descriptors.
func withLimits(memoryMB, sockets int) func(file map[string]any) {
	return func(file map[string]any) {
		limits := file["limits"].(map[string]any)
		limits["memory_mb"], limits["sockets"] = memoryMB, sockets
	}
}

// largeWrite returns a write with a value of the largest size that is allowed.
func largeWrite(timeoutMillis int) string {
	return strings.Replace(statement("write", timeoutMillis), "9f03", strings.Repeat("9f03", 32<<10), 1)
}

// Guards against connections that are closed with queries out because their clients, all together, have more
// waiting than the driver can hold: each query gets its answer, in order.
func TestLargePipelinedQueries(t *testing.T) {
	const clients, depth = 40, 4 // 21 MB, more than a driver with 32 MB may hold
	primary := newFakeMember(t, "p", "leader")
	driver := startDriver(t, newFakeDiscovery(t, primary), func(file map[string]any) {
		withLongConnectTimeout(file)
		withLimits(32, 512)(file)
	})
	var conns []*pgConn
	for range clients {
		conns = append(conns, driver.connect(t))
	}
	release := primary.holdLink()
	ids := make([][]string, clients)
	var writers sync.WaitGroup
	for i, conn := range conns {
		writers.Go(func() {
			for range depth {
				query := largeWrite(1900)
				ids[i] = append(ids[i], rpcID(query))
				conn.send(query)
			}
		})
	}
	writers.Wait()
	time.Sleep(200 * time.Millisecond) // all of it has arrived
	release()
	runs := func(id string) (count int) {
		for _, text := range primary.statements() {
			if rpcID(text) == id {
				count++
			}
		}
		return count
	}
	served := 0
	for i, conn := range conns {
		for n, id := range ids[i] {
			switch reply := conn.readReply(t); reply {
			case "from p":
				served++
				require.Equal(t, 1, runs(id))
			case "53300":
				require.Zero(t, runs(id), "a query that is refused was not forwarded")
			default:
				require.Fail(t, "no answer", "client %d, query %d: %s", i, n, reply)
			}
		}
		require.Equal(t, "from p", conn.ask(t, statement("write", 1900)), "the connection is of further use")
	}
	t.Logf("%d of %d served", served, clients*depth)
	require.GreaterOrEqual(t, served, clients)
}

// Guards against a driver that goes over its memory because clients stop in the middle of a message and stay, and
// against usual clients that are not served meanwhile.
func TestUnfinishedMessagesAreBounded(t *testing.T) {
	for _, size := range []struct{ memoryMB, sockets, perKind int }{{64, 512, 100}, {32, 1024, 200}} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", size.memoryMB, size.sockets), func(t *testing.T) {
			playUnfinishedMessages(t, size.memoryMB, size.sockets, size.perKind)
		})
	}
}

// resendingClient is a usual client. A driver may close a connection between requests, and new ones unread where
// clients crowd; if that crosses a request, the client resends it once on a new connection.
type resendingClient struct {
	driver *testDriver
	conn   *pgConn
}

// ask sends a query and returns its reply, as pgConn.ask does.
func (c *resendingClient) ask(t *testing.T, query string) (reply string) {
	for range 2 {
		if c.conn == nil {
			c.conn = c.driver.dial(t)
		}
		if reply = c.conn.ask(t, query); reply != "end" {
			return reply
		}
		c.conn.Close()
		c.conn = nil
	}
	return reply
}

// playUnfinishedMessages plays perKind bad clients of each kind beside usual clients.
func playUnfinishedMessages(t *testing.T, memoryMB, sockets, perKind int) {
	startup := "\x00\x00\x00\x08\x00\x03\x00\x00"
	half := message("Q", largeWrite(1900)+"\x00")[:120<<10]
	kinds := map[string]string{
		"half a query":                startup + half,
		"half a query behind another": startup + message("Q", statement("write", 1900)+"\x00") + half,
		"half a startup message":      "\x00\x00\x27\x00" + strings.Repeat("x", 9<<10),
		"a huge value and no end":     startup + "Q\x03\x93\x87\x00" + strings.Repeat(megabyte(), 2),
	}
	primary := newFakeMember(t, "p", "leader")
	driver := startProcess(t, newFakeDiscovery(t, primary), withLimits(memoryMB, sockets))
	var bad sync.WaitGroup
	defer bad.Wait()
	var maxMemory, late atomic.Int64
	startTime := time.Now()
	for kind, text := range kinds {
		for range perKind {
			bad.Go(func() {
				conn, err := net.Dial("tcp", driver.address)
				if err != nil {
					return
				}
				defer conn.Close()
				go io.WriteString(conn, text)
				connectedAt := time.Now()
				conn.SetReadDeadline(connectedAt.Add(2 * waitTimeout))
				io.Copy(io.Discard, conn)
				if elapsed := time.Since(connectedAt); elapsed > 3*time.Second+answerSlack && !strings.Contains(kind, "behind") {
					t.Logf("late: %s, %v", kind, elapsed)
					late.Add(1)
				}
			})
		}
	}
	served, refused := 0, 0
	for time.Since(startTime) < 4*time.Second {
		megabytes, _ := resourceUse(t, driver.pid)
		maxMemory.Store(max(maxMemory.Load(), int64(megabytes)))
		client := &resendingClient{driver: driver.testDriver}
		require.Equal(t, "from p", client.ask(t, statement("write", 1000)), "a small query, %v after the others came", time.Since(startTime))
		switch reply := client.ask(t, largeWrite(1000)); reply {
		case "from p":
			served++
		case "53300":
			refused++
		default:
			require.Fail(t, "no answer", reply)
		}
		client.conn.Close()
		time.Sleep(5 * time.Millisecond)
	}
	bad.Wait()
	t.Logf("%d MB at most; large queries of usual clients: %d served, %d refused; late: %d", maxMemory.Load(), served, refused, late.Load())
	require.LessOrEqual(t, maxMemory.Load(), int64(memoryMB))
	require.Zero(t, late.Load(), "each bad client is closed in time")
	require.Greater(t, served, 20*refused, fmt.Sprintf("%d refused", refused))
}

// Guards against a driver that goes over its memory because members answer many queries with values that never end,
// and against memory that such answers keep for good.
func TestUnfinishedAnswersAreBounded(t *testing.T) {
	const clients, memoryMB, valueBytes = 100, 32, 1900 << 10
	primary, replica, other := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower"), newFakeMember(t, "s", "follower")
	driver := startProcess(t, newFakeDiscovery(t, primary, replica, other), withLimits(memoryMB, 1024))
	size := string(binary.BigEndian.AppendUint32(nil, valueBytes))
	description, _, _ := strings.Cut(rowMessages(""), "D\x00")
	endless := description + message("D", "\x00\x01"+size+strings.Repeat("x", valueBytes))
	members := []*fakeMember{primary, replica, other}
	var ended atomic.Bool
	var running sync.WaitGroup
	running.Go(func() {
		for n := 0; !ended.Load(); n++ { // members that answer no query well get none
			members[n%3].setBehavior([]string{"raw " + endless[:len(endless)-100], ""}[n/3%2])
			time.Sleep(7 * time.Millisecond)
		}
	})
	for range clients {
		client := &resendingClient{driver: driver.testDriver}
		running.Go(func() {
			for n := 0; !ended.Load(); n++ {
				client.ask(t, statement([]string{"read", "write"}[n%2], 1000))
			}
			client.conn.Close()
		})
	}
	maxMemory := 0
	for startTime := time.Now(); time.Since(startTime) < 4*time.Second; time.Sleep(5 * time.Millisecond) {
		megabytes, _ := resourceUse(t, driver.pid)
		maxMemory = max(maxMemory, megabytes)
	}
	ended.Store(true)
	running.Wait()
	t.Logf("%d MB at most", maxMemory)
	require.LessOrEqual(t, maxMemory, memoryMB)
	for _, member := range members {
		member.setBehavior("raw " + rowMessages(strings.Repeat("v", 300<<10)) + member.status().messages() + message("Z", "I"))
	}
	for range 20 {
		client := driver.connect(t)
		eventually(t, "large answers are passed on", func() bool { return len(client.ask(t, statement("read", 1000))) == 300<<10 })
		client.Close()
	}
}
