package program_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeAll sends something on all connections that a member holds.
func (m *fakeMember) writeAll(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		io.WriteString(c, text)
	}
}

// Guards against connections used again on which something came at rest, be it their end: it would be taken for the next
// answer, or the statement be lost with the connection, and may have run.
func TestIdleConnectionsWithInput(t *testing.T) {
	for name, happens := range map[string]func(m *fakeMember){
		"half a line":      func(m *fakeMember) { m.writeAll("D\x00\x00") },
		"an answer too":    func(m *fakeMember) { m.writeAll(rowMessages("old") + message("Z", "I")) },
		"a notice":         func(m *fakeMember) { m.writeAll(message("N", "SNOTICE\x00\x00")) },
		"a reset":          func(m *fakeMember) { m.resetConns() },
		"an end":           func(m *fakeMember) { m.closeConns((*net.TCPConn).Close) },
		"a half-close":     func(m *fakeMember) { m.closeConns((*net.TCPConn).CloseWrite) },
		"half and its end": func(m *fakeMember) { m.writeAll("D\x00\x00"); m.closeConns((*net.TCPConn).CloseWrite) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary := newFakeMember(t, "p", "leader")
			c := startDriver(t, newFakeDiscovery(t, primary), nil).connect(t)
			for n := range 5 {
				require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
				happens(primary)
				require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
				require.Len(t, primary.statements(), 2*n+2, "each once")
			}
		})
	}
}

func (m *fakeMember) closeConns(how func(*net.TCPConn) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		how(c.(*net.TCPConn))
	}
}

// Guards against a member taken for the one that it has replaced under the same address: what was kept for that one is not
// used for this, and nothing is sent to the one that is gone.
func TestReplacedUnderTheSameAddress(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	d := newFakeDiscovery(t, primary)
	c := startDriver(t, d, nil).connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	eventually(t, "it is watched", func() bool { return d.calls() == 2 })
	opened, _ := primary.counts()
	primary.mu.Lock()
	primary.name = "q"
	primary.mu.Unlock()
	d.setLifecycle(primary, "SERVING", false)
	eventually(t, "the list is told", func() bool { return d.calls() == 3 })
	require.Equal(t, "from q", c.ask(t, statement("write", 1000)))
	now, _ := primary.counts()
	require.Greater(t, now, opened, "over a connection of its own")
}
