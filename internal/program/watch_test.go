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

// scriptedDiscovery is a stand-in for discovery that does with each call what a script says.
type scriptedDiscovery struct {
	*fakeDiscovery // whose list it gives
	listen         net.Listener
	mu             sync.Mutex
	calls          []string // their paths
	answer         func(call int, path string, c net.Conn) (answer string)
}

// newScriptedDiscovery answers calls with what act gives, and not at all where that is nothing.
func newScriptedDiscovery(t *testing.T, d *fakeDiscovery, answer func(call int, path string, c net.Conn) string) *scriptedDiscovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedDiscovery{fakeDiscovery: d, listen: l, answer: answer}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
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
		s.calls = append(s.calls, r.URL.String())
		n := len(s.calls)
		s.mu.Unlock()
		io.WriteString(c, s.answer(n, r.URL.String(), c))
	}
}

func (s *scriptedDiscovery) requestPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// startDriver starts a driver that asks this discovery.
func (s *scriptedDiscovery) startDriver(t *testing.T, change func(file map[string]any)) *testDriver {
	return startDriverAt(t, s.fakeDiscovery, s.listen.Addr().String(), change)
}

func httpOK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// singleEntryList is a list, or a change of it, with one member.
func singleEntryList(generation int, all bool, m *fakeMember, state string) string {
	return targetList(generation, all, targetEntry(m, state))
}

// targetList is a list, or a change of it, with some lines.
func targetList(generation int, all bool, lines ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, all, strings.Join(lines, ","))
}

// targetEntry is a member's line in a list.
func targetEntry(m *fakeMember, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"z","cell":1,"lifecycle":%q,"weight":1,"startedAtMs":0}`, m.name, m.listener.Addr(), state)
}

// timeToDrain tells how long it takes until a member that drains gets no writes any more.
func timeToDrain(t *testing.T, c *pgConn, since time.Time) time.Duration {
	for {
		if c.ask(t, statement("write", 300)) == "53300" {
			return time.Since(since)
		}
		require.Less(t, time.Since(since), 6*time.Second, "a change counts as told 6 s after discovery had it")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a change that is learned too late, since the watch that would have told of it has fallen silent with no
// reset, at its start, inside its answer, or before the first answer, and against calls without a pause meanwhile. In the
// worst case the change comes as the watch falls silent.
func TestSilentWatch(t *testing.T) {
	for name, silent := range map[string]string{"at once": "", "half a body": httpOK(strings.Repeat(" ", 500))[:100], "half a head": "HTTP/1.1 200 OK\r\nContent-"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary := newFakeMember(t, "p", "leader")
			s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
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
			v := s.startDriver(t, func(file map[string]any) {
				file["settings"].(map[string]any)["safety"] = map[string]any{"askEveryUs": 20_000_000}
			})
			eventually(t, "it is watched", func() bool { return len(s.requestPaths()) == 2 })
			timeToDrain(t, v.connect(t), time.Now())
			require.LessOrEqual(t, len(s.requestPaths()), 4, "%v", s.requestPaths())
		})
	}
	t.Run("before the first answer", func(t *testing.T) {
		t.Parallel()
		primary := newFakeMember(t, "p", "leader")
		s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
			if call == 1 || strings.Contains(path, "index") {
				return ""
			}
			return httpOK(singleEntryList(2, true, primary, "DRAINING"))
		})
		begun := time.Now()
		v := s.startDriver(t, nil)
		require.Less(t, time.Since(begun), 4*time.Second, "ready by what is known")
		timeToDrain(t, v.connect(t), begun)
	})
}

// Guards against what is older than the list being taken for news, and against staying without the list then.
func TestGenerationGoesBack(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
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
	c := s.startDriver(t, nil).connect(t)
	eventually(t, "the whole list is asked for, and watched", func() bool { return len(s.requestPaths()) >= 4 })
	asked := s.requestPaths()
	require.Equal(t, "/api/targets", asked[2])
	require.Contains(t, asked[3], "index=6")
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
}

// Guards against an answer taken from what came unasked on the connection to discovery.
func TestUnsolicitedDiscoveryAnswer(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	stray := httpOK(singleEntryList(9, true, primary, "DRAINING"))
	sent := make(chan struct{})
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 1:
			defer close(sent)
			return httpOK(singleEntryList(1, true, primary, "SERVING")) + stray
		case strings.Contains(path, "index"):
			return ""
		}
		return httpOK(singleEntryList(2, true, primary, "SERVING"))
	})
	c := s.startDriver(t, nil).connect(t)
	<-sent
	eventually(t, "it is watched", func() bool { return len(s.requestPaths()) >= 2 })
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	require.NotContains(t, s.requestPaths()[1], "index=9")
}

// Guards against an answer taken for whole that has no length and whose connection is reset: a reset is no end.
func TestResetDuringDiscoveryAnswer(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, c net.Conn) string {
		switch {
		case call == 2:
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+singleEntryList(2, false, primary, "DRAINING"))
			time.Sleep(50 * time.Millisecond) // so that it has been read
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return ""
		case strings.Contains(path, "index"):
			return ""
		}
		return httpOK(singleEntryList(1, true, primary, "SERVING"))
	})
	c := s.startDriver(t, nil).connect(t)
	eventually(t, "it is asked again after the reset", func() bool {
		require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
		return len(s.requestPaths()) >= 3
	})
	require.Equal(t, "/api/targets?index=1&wait=0", s.requestPaths()[2], "nothing of what was reset is held")
}

// Guards against drains learned too late that begin as discovery comes back: it was down, with watches reset, and then turned
// the first calls away.
func TestDrainAsDiscoveryReturns(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, primary)
	v := startDriver(t, d, nil)
	eventually(t, "it is watched", func() bool { return d.calls() == 2 })
	d.setLifecycle(nil, "", true)
	d.CloseClientConnections()
	eventually(t, "it is asked and turned away", func() bool { return d.calls() >= 4 })
	back := time.Now()
	d.setLifecycle(primary, "DRAINING", false)
	require.Less(t, timeToDrain(t, v.connect(t), back), 4*time.Second)
}

// Guards against a driver that learns nothing since its clients, or its members' connections, hold all descriptors while discovery
// is down: it is heard as soon as it is back, and clients are served.
func TestIdleClientsDuringDiscoveryOutage(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, primary)
	v := startDriver(t, d, func(file map[string]any) { file["limits"].(map[string]any)["sockets"] = 84 })
	eventually(t, "it is watched", func() bool { return d.calls() == 2 })
	d.setLifecycle(nil, "", true)
	d.CloseClientConnections()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // always as many as there is room for
		defer close(done)
		var idle []net.Conn
		for {
			select {
			case <-stop:
				for _, c := range idle {
					c.Close()
				}
				return
			case <-time.After(5 * time.Millisecond):
				if c, err := net.Dial("tcp", v.address); err == nil {
					idle = append(idle, c)
				}
			}
		}
	}()
	eventually(t, "it is asked and turned away", func() bool { return d.calls() >= 4 })
	back := time.Now()
	d.setLifecycle(primary, "DRAINING", false)
	require.Less(t, timeToDrain(t, v.connect(t), back), 4*time.Second)
	d.setLifecycle(primary, "SERVING", false)
	eventually(t, "it is served again", func() bool { return v.connect(t).ask(t, statement("write", 1000)) == "from p" })
	close(stop)
	<-done
}

// Guards against a driver that never asks for a list since its settings say that lists are pushed: they are, to an agent at
// discovery's address.
func TestPushedLists(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, primary)
	c := startDriver(t, d, func(file map[string]any) { file["settings"].(map[string]any)["discovery"] = "automatic" }).connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	eventually(t, "it is watched", func() bool { return d.calls() == 2 })
	d.setLifecycle(primary, "DRAINING", false)
	require.Less(t, timeToDrain(t, c, time.Now()), 2*time.Second)
}

// Guards against a drain learned too late of an agent that was silent for a while, and whose list counts as told as it is back.
func TestDrainAfterAgentOutage(t *testing.T) {
	const grace = time.Second
	primary := newFakeMember(t, "p", "leader")
	var back atomic.Bool
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, _ net.Conn) string {
		switch {
		case call == 1:
			return httpOK(singleEntryList(1, true, primary, "SERVING"))
		case strings.Contains(path, "index") || !back.Load():
			return ""
		}
		return httpOK(singleEntryList(2, true, primary, "DRAINING"))
	})
	v := s.startDriver(t, func(file map[string]any) {
		settings := file["settings"].(map[string]any)
		settings["discovery"] = "automatic"
		settings["safety"] = map[string]any{"askEveryUs": 20_000_000, "drainGraceUs": grace.Microseconds()}
	})
	eventually(t, "the silence is noticed", func() bool { return len(s.requestPaths()) >= 3 })
	time.Sleep(time.Second)
	back.Store(true)
	returned := time.Now()
	c := v.connect(t)
	for c.ask(t, statement("write", 300)) == "from p" {
		require.Less(t, time.Since(returned), grace)
	}
}

// Guards against answers that come as they are given up, time after time, where discovery has many to answer in turn: each
// takes a little longer than a call may before another is made.
func TestSlowDiscoveryAnswers(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	var asked atomic.Int64
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, c net.Conn) string {
		switch {
		case call == 1:
			return httpOK(singleEntryList(1, true, primary, "SERVING"))
		case call == 2:
			c.Close()
			return ""
		case strings.HasSuffix(path, "wait=0") || !strings.Contains(path, "index"):
			asked.Add(1)
			time.Sleep(2200 * time.Millisecond)
		}
		return httpOK(singleEntryList(2, true, primary, "DRAINING"))
	})
	v := s.startDriver(t, nil)
	c := v.connect(t)
	eventually(t, "the watch breaks off", func() bool { return len(s.requestPaths()) >= 2 })
	timeToDrain(t, c, time.Now())
	require.EqualValues(t, 1, asked.Load(), "it is asked once, and heard")
}

// Guards against whole lists asked for by all drivers at once as discovery comes back: whoever holds a list asks for what is
// new, and asks for the same again if it gets no answer to that: with whole lists a discovery that is behind would fall further behind, and some
// of many drivers would hear of a drain too late.
func TestChangesAreRequested(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, c net.Conn) string {
		switch call {
		case 1:
			return httpOK(singleEntryList(7, true, primary, "SERVING"))
		case 2:
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		case 3:
			return httpOK(targetList(7, false))
		case 4:
			c.Close()
			return ""
		case 5:
			return ""
		}
		return httpOK(singleEntryList(8, true, primary, "DRAINING"))
	})
	v := s.startDriver(t, nil)
	eventually(t, "it is turned away", func() bool { return len(s.requestPaths()) >= 5 })
	timeToDrain(t, v.connect(t), time.Now())
	paths := s.requestPaths()
	require.Equal(t, "/api/targets", paths[0])
	require.Contains(t, paths[1], "index=7&wait=")
	require.Equal(t, "/api/targets?index=7&wait=0", paths[2])
	require.Contains(t, paths[3], "index=7&wait=")
	require.Equal(t, "/api/targets?index=7&wait=0", paths[4])
	require.Equal(t, "/api/targets?index=7&wait=0", paths[5], "after silence")
}

// Guards against what is older than the list and comes so late that the call was overdue: it is no news either.
func TestOverdueAnswerIsOlder(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	answered := make(chan struct{})
	s := newScriptedDiscovery(t, newFakeDiscovery(t, primary), func(call int, path string, c net.Conn) string {
		switch call {
		case 1:
			return httpOK(singleEntryList(7, true, primary, "SERVING"))
		case 2:
			c.Close()
			return ""
		case 3:
			defer close(answered)
			time.Sleep(2200 * time.Millisecond)
			return httpOK(singleEntryList(5, false, primary, "DRAINING"))
		}
		return httpOK(singleEntryList(8, true, primary, "SERVING"))
	})
	v := s.startDriver(t, nil)
	<-answered
	c := v.connect(t)
	eventually(t, "the whole list is asked for", func() bool {
		require.Equal(t, "from p", c.ask(t, statement("write", 300)))
		return len(s.requestPaths()) >= 4
	})
	require.Equal(t, "/api/targets?index=7&wait=0", s.requestPaths()[2])
	require.Equal(t, "/api/targets", s.requestPaths()[3])
	require.Equal(t, "from p", c.ask(t, statement("write", 300)))
}
