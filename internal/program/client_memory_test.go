package program_test

import (
	"strings"
	"sync"
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
