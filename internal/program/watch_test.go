package program_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedDiscovery is a fake discovery service that answers each call by a script.
type scriptedDiscovery struct {
	*fakeDiscovery // source of the list
	listener       net.Listener
	mu             sync.Mutex
	paths          []string // request paths
	answer         func(call int, path string, c net.Conn) (answer string)
}

// newScriptedDiscovery answers calls with the result of answer, or not at all if that is empty.
func newScriptedDiscovery(t *testing.T, d *fakeDiscovery, answer func(call int, path string, c net.Conn) string) *scriptedDiscovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedDiscovery{fakeDiscovery: d, listener: listener, answer: answer}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedDiscovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.paths = append(s.paths, r.URL.String())
		n := len(s.paths)
		s.mu.Unlock()
		io.WriteString(c, s.answer(n, r.URL.String(), c))
	}
}

func (s *scriptedDiscovery) requestPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.paths...)
}

// startDriver starts a driver that uses this discovery service.
func (s *scriptedDiscovery) startDriver(t *testing.T, change func(file map[string]any)) *testDriver {
	return startDriverAt(t, s.fakeDiscovery, s.listener.Addr().String(), change)
}

func httpOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// singleEntryList returns a list, or a change to one, with one member.
func singleEntryList(generation int, isFull bool, m *fakeMember, lifecycle string) string {
	return targetList(generation, isFull, targetEntry(m, lifecycle))
}

// targetList returns a list, or a change to one, with the given entries.
func targetList(generation int, isFull bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, isFull, strings.Join(entries, ","))
}

// targetEntry returns a member's entry in a list.
func targetEntry(m *fakeMember, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"z","cell":1,"lifecycle":%q,"weight":1,"startedAtMs":0}`, m.name, m.listener.Addr(), lifecycle)
}

// timeToDrain returns how long it takes until a draining member gets no writes any more.
func timeToDrain(t *testing.T, client *pgConn, since time.Time) time.Duration {
	for {
		if client.ask(t, statement("write", 300)) == "53300" {
			return time.Since(since)
		}
		require.Less(t, time.Since(since), 6*time.Second, "changes must be known within 6 s")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against learning a change too late because a watch falls silent without a reset, and
// against calls without delay meanwhile. In the worst case the change comes as the watch falls
// silent.
func TestSilentWatch(t *testing.T) {
	for name, silent := range map[string]string{"at once": "", "partial body": httpOK(strings.Repeat(" ", 500))[:100], "partial header": "HTTP/1.1 200 OK\r\nContent-"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary := newFakeMember(t, "p", "leader")
			discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
				switch {
				case call == 1:
					return httpOK(singleEntryList(1, true, primary, "SERVING"))
				case call == 2:
					return silent
				case strings.Contains(path, "index"):
					return ""
				}
				return httpOK(singleEntryList(2, true, primary, "DRAINING"))
			})
			driver := discovery.startDriver(t, func(file map[string]any) {
				file["settings"].(map[string]any)["safety"] = map[string]any{"askEveryUs": 20_000_000}
			})
			eventually(t, "the list is watched", func() bool { return len(discovery.requestPaths()) == 2 })
			timeToDrain(t, driver.connect(t), time.Now())
			require.LessOrEqual(t, len(discovery.requestPaths()), 4, "%v", discovery.requestPaths())
		})
	}
	t.Run("before the first answer", func(t *testing.T) {
		t.Parallel()
		primary := newFakeMember(t, "p", "leader")
		discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
			if call == 1 || strings.Contains(path, "index") {
				return ""
			}
			return httpOK(singleEntryList(2, true, primary, "DRAINING"))
		})
		startTime := time.Now()
		driver := discovery.startDriver(t, nil)
		require.Less(t, time.Since(startTime), 4*time.Second, "ready with the previously known targets")
		timeToDrain(t, driver.connect(t), startTime)
	})
}

// Guards against applying changes older than the held list, and against staying without a list
// after that.
func TestGenerationGoesBack(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 1:
			return httpOK(singleEntryList(5, true, primary, "SERVING"))
		case call == 2:
			return httpOK(singleEntryList(3, false, primary, "DRAINING"))
		case strings.Contains(path, "index"):
			return ""
		}
		return httpOK(singleEntryList(6, true, primary, "SERVING"))
	})
	client := discovery.startDriver(t, nil).connect(t)
	eventually(t, "the full list is requested and watched", func() bool { return len(discovery.requestPaths()) >= 4 })
	asked := discovery.requestPaths()
	require.Equal(t, "/api/targets", asked[2])
	require.Contains(t, asked[3], "index=6")
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
}

// Guards against taking unsolicited input from discovery for an answer.
func TestUnsolicitedDiscoveryAnswer(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	stray := httpOK(singleEntryList(9, true, primary, "DRAINING"))
	sent := make(chan struct{})
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 1:
			defer close(sent)
			return httpOK(singleEntryList(1, true, primary, "SERVING")) + stray
		case strings.Contains(path, "index"):
			return ""
		}
		return httpOK(singleEntryList(2, true, primary, "SERVING"))
	})
	client := discovery.startDriver(t, nil).connect(t)
	<-sent
	eventually(t, "the list is watched", func() bool { return len(discovery.requestPaths()) >= 2 })
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	require.NotContains(t, discovery.requestPaths()[1], "index=9")
}

// Guards against taking an answer without a length as complete when its connection is reset.
func TestResetDuringDiscoveryAnswer(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, conn net.Conn) string {
		switch {
		case call == 2:
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+singleEntryList(2, false, primary, "DRAINING"))
			time.Sleep(50 * time.Millisecond) // lets the driver read the answer before the reset
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			return ""
		case strings.Contains(path, "index"):
			return ""
		}
		return httpOK(singleEntryList(1, true, primary, "SERVING"))
	})
	client := discovery.startDriver(t, nil).connect(t)
	eventually(t, "discovery is called again after the reset", func() bool {
		require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
		return len(discovery.requestPaths()) >= 3
	})
	require.Equal(t, "/api/targets?index=1&wait=0", discovery.requestPaths()[2], "the reset answer is not applied")
}

// Guards against learning too late of a drain that starts as discovery recovers, after reset
// watches and rejected calls.
func TestDrainAsDiscoveryReturns(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newFakeDiscovery(t, primary)
	driver := startDriver(t, discovery, nil)
	eventually(t, "the list is watched", func() bool { return discovery.calls() == 2 })
	discovery.setLifecycle(nil, "", true)
	discovery.CloseClientConnections()
	eventually(t, "discovery is called and rejects the call", func() bool { return discovery.calls() >= 4 })
	recoveredAt := time.Now()
	discovery.setLifecycle(primary, "DRAINING", false)
	require.Less(t, timeToDrain(t, driver.connect(t), recoveredAt), 4*time.Second)
}

// Guards against a driver that cannot reach discovery after an outage because connections of
// clients or members hold all descriptors.
func TestIdleClientsDuringDiscoveryOutage(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newFakeDiscovery(t, primary)
	driver := startDriver(t, discovery, func(file map[string]any) { file["limits"].(map[string]any)["sockets"] = 84 })
	eventually(t, "the list is watched", func() bool { return discovery.calls() == 2 })
	discovery.setLifecycle(nil, "", true)
	discovery.CloseClientConnections()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // opens as many connections as possible
		defer close(done)
		var idle []net.Conn
		for {
			select {
			case <-stop:
				for _, conn := range idle {
					conn.Close()
				}
				return
			case <-time.After(5 * time.Millisecond):
				if conn, err := net.Dial("tcp", driver.address); err == nil {
					idle = append(idle, conn)
				}
			}
		}
	}()
	eventually(t, "discovery is called and rejects the call", func() bool { return discovery.calls() >= 4 })
	recoveredAt := time.Now()
	discovery.setLifecycle(primary, "DRAINING", false)
	require.Less(t, timeToDrain(t, driver.connect(t), recoveredAt), 4*time.Second)
	discovery.setLifecycle(primary, "SERVING", false)
	eventually(t, "writes are served again", func() bool { return driver.connect(t).ask(t, statement("write", 1000)) == "from p" })
	close(stop)
	<-done
}

// Guards against never requesting a list if the settings say that lists are pushed: an agent at the
// discovery address still has to be asked for them.
func TestPushedLists(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newFakeDiscovery(t, primary)
	client := startDriver(t, discovery, func(file map[string]any) { file["settings"].(map[string]any)["discovery"] = "automatic" }).connect(t)
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	eventually(t, "the list is watched", func() bool { return discovery.calls() == 2 })
	discovery.setLifecycle(primary, "DRAINING", false)
	require.Less(t, timeToDrain(t, client, time.Now()), 2*time.Second)
}

// Guards against learning of a drain too late from an agent that recovers from an outage.
func TestDrainAfterAgentOutage(t *testing.T) {
	const grace = time.Second
	primary := newFakeMember(t, "p", "leader")
	var hasRecovered atomic.Bool
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 1:
			return httpOK(singleEntryList(1, true, primary, "SERVING"))
		case strings.Contains(path, "index") || !hasRecovered.Load():
			return ""
		}
		return httpOK(singleEntryList(2, true, primary, "DRAINING"))
	})
	driver := discovery.startDriver(t, func(file map[string]any) {
		settings := file["settings"].(map[string]any)
		settings["discovery"] = "automatic"
		settings["safety"] = map[string]any{"askEveryUs": 20_000_000, "drainGraceUs": grace.Microseconds()}
	})
	eventually(t, "the silent call is detected", func() bool { return len(discovery.requestPaths()) >= 3 })
	time.Sleep(time.Second)
	hasRecovered.Store(true)
	recoveredAt := time.Now()
	client := driver.connect(t)
	for client.ask(t, statement("write", 300)) == "from p" {
		require.Less(t, time.Since(recoveredAt), grace)
	}
}

// Guards against cancelling calls again and again just before a slow discovery answers them.
func TestSlowDiscoveryAnswers(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	var asked atomic.Int64
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, conn net.Conn) string {
		switch {
		case call == 1:
			return httpOK(singleEntryList(1, true, primary, "SERVING"))
		case call == 2:
			conn.Close()
			return ""
		case strings.HasSuffix(path, "wait=0") || !strings.Contains(path, "index"):
			asked.Add(1)
			time.Sleep(2200 * time.Millisecond)
		}
		return httpOK(singleEntryList(2, true, primary, "DRAINING"))
	})
	driver := discovery.startDriver(t, nil)
	client := driver.connect(t)
	eventually(t, "the watch fails", func() bool { return len(discovery.requestPaths()) >= 2 })
	timeToDrain(t, client, time.Now())
	require.EqualValues(t, 1, asked.Load(), "one call is made, and its answer is applied")
}

// Guards against requesting full lists after failures: a driver that holds a list requests changes,
// so that a recovering discovery is not overloaded.
func TestChangesAreRequested(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, conn net.Conn) string {
		switch call {
		case 1:
			return httpOK(singleEntryList(7, true, primary, "SERVING"))
		case 2:
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		case 3:
			return httpOK(targetList(7, false))
		case 4:
			conn.Close()
			return ""
		case 5:
			return ""
		}
		return httpOK(singleEntryList(8, true, primary, "DRAINING"))
	})
	driver := discovery.startDriver(t, nil)
	eventually(t, "the call is rejected", func() bool { return len(discovery.requestPaths()) >= 5 })
	timeToDrain(t, driver.connect(t), time.Now())
	paths := discovery.requestPaths()
	require.Equal(t, "/api/targets", paths[0])
	require.Contains(t, paths[1], "index=7&wait=")
	require.Equal(t, "/api/targets?index=7&wait=0", paths[2])
	require.Contains(t, paths[3], "index=7&wait=")
	require.Equal(t, "/api/targets?index=7&wait=0", paths[4])
	require.Equal(t, "/api/targets?index=7&wait=0", paths[5], "after a timeout")
}

// Guards against applying an answer that is both overdue and older than the held list.
func TestOverdueAnswerIsOlder(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	answered := make(chan struct{})
	discovery := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, conn net.Conn) string {
		switch call {
		case 1:
			return httpOK(singleEntryList(7, true, primary, "SERVING"))
		case 2:
			conn.Close()
			return ""
		case 3:
			defer close(answered)
			time.Sleep(2200 * time.Millisecond)
			return httpOK(singleEntryList(5, false, primary, "DRAINING"))
		}
		return httpOK(singleEntryList(8, true, primary, "SERVING"))
	})
	driver := discovery.startDriver(t, nil)
	<-answered
	client := driver.connect(t)
	eventually(t, "the full list is requested", func() bool {
		require.Equal(t, "from p", client.ask(t, statement("write", 300)))
		return len(discovery.requestPaths()) >= 4
	})
	require.Equal(t, "/api/targets?index=7&wait=0", discovery.requestPaths()[2])
	require.Equal(t, "/api/targets", discovery.requestPaths()[3])
	require.Equal(t, "from p", client.ask(t, statement("write", 300)))
}
