package program_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// says sends something on all connections that a member holds.
func (m *member) says(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		io.WriteString(c, text)
	}
}

// Guards against connections used again on which something came at rest, be it their end: it would be taken for the next
// answer, or the statement be lost with the connection, and may have run.
func TestConnectionsThatChangedAtRest(t *testing.T) {
	for name, happens := range map[string]func(m *member){
		"half a line":      func(m *member) { m.says("D\x00\x00") },
		"an answer too":    func(m *member) { m.says(row("old") + said("Z", "I")) },
		"a notice":         func(m *member) { m.says(said("N", "SNOTICE\x00\x00")) },
		"a reset":          func(m *member) { m.dropAll() },
		"an end":           func(m *member) { m.closeAll((*net.TCPConn).Close) },
		"a half-close":     func(m *member) { m.closeAll((*net.TCPConn).CloseWrite) },
		"half and its end": func(m *member) { m.says("D\x00\x00"); m.closeAll((*net.TCPConn).CloseWrite) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			primary := newMember(t, "p", "leader")
			c := start(t, newDiscovery(t, primary), nil).client(t)
			for n := range 5 {
				require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
				happens(primary)
				require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
				require.Len(t, primary.statements(), 2*n+2, "each once")
			}
		})
	}
}

func (m *member) closeAll(how func(*net.TCPConn) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		how(c.(*net.TCPConn))
	}
}

// Guards against a member taken for the one that it has replaced under the same address: what was kept for that one is not
// used for this, and nothing is sent to the one that is gone.
func TestReplacedUnderTheSameAddress(t *testing.T) {
	primary := newMember(t, "p", "leader")
	d := newDiscovery(t, primary)
	c := start(t, d, nil).client(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1000)))
	eventually(t, "it is watched", func() bool { return d.calls() == 2 })
	opened, _ := primary.counts()
	primary.mu.Lock()
	primary.name = "q"
	primary.mu.Unlock()
	d.set(primary, "SERVING", false)
	eventually(t, "the list is told", func() bool { return d.calls() == 3 })
	require.Equal(t, "from q", c.ask(t, statement("write", 1000)))
	now, _ := primary.counts()
	require.Greater(t, now, opened, "over a connection of its own")
}
