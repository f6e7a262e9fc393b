package program_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeAll writes text to all connections that a member holds.
func (m *fakeMember) writeAll(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		io.WriteString(c, text)
	}
}

// Guards against reuse of connections that got input or closed while idle: the input would be taken
// for the next answer, or a statement be lost that may have run.
func TestIdleConnectionsWithInput(t *testing.T) {
	for name, change := range map[string]func(m *fakeMember){
		"a partial message":            func(m *fakeMember) { m.writeAll("D\x00\x00") },
		"a second answer":              func(m *fakeMember) { m.writeAll(rowMessages("old") + message("Z", "I")) },
		"a notice":                     func(m *fakeMember) { m.writeAll(message("N", "SNOTICE\x00\x00")) },
		"a reset":                      func(m *fakeMember) { m.resetConns() },
		"an end":                       func(m *fakeMember) { m.closeConns((*net.TCPConn).Close) },
		"a half-close":                 func(m *fakeMember) { m.closeConns((*net.TCPConn).CloseWrite) },
		"a partial message and an end": func(m *fakeMember) { m.writeAll("D\x00\x00"); m.closeConns((*net.TCPConn).CloseWrite) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary := newFakeMember(t, "p", "leader")
			client := startDriver(t, newFakeDiscovery(t, primary), nil).connect(t)
			for n := range 5 {
				require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
				change(primary)
				require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
				require.Len(t, primary.statements(), 2*n+2, "each statement is sent once")
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

// Guards against reusing the connections or state of a member for another member that replaced it
// at the same address.
func TestReplacedUnderTheSameAddress(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	discovery := newFakeDiscovery(t, primary)
	client := startDriver(t, discovery, nil).connect(t)
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))
	eventually(t, "the list is watched", func() bool { return discovery.calls() == 2 })
	opened, _ := primary.counts()
	primary.mu.Lock()
	primary.name = "q"
	primary.mu.Unlock()
	discovery.setLifecycle(primary, "SERVING", false)
	eventually(t, "the list is received", func() bool { return discovery.calls() == 3 })
	require.Equal(t, "from q", client.ask(t, statement("write", 1000)))
	now, _ := primary.counts()
	require.Greater(t, now, opened, "a new connection is opened")
}
