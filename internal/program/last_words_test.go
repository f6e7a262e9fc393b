package program_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a member's last word as primary that is not heard, since it comes where no whole answer does: at the start of a connection,
// before an answer that breaks off, pauses or can't be followed, beside an error, or in the refusal of a write. Its load report still says
// primary for a while. The member's own record is the judge: from 150 ms after that word on it must get no read that has to see all writes.
func TestLastWords(t *testing.T) {
	none := said("Z", "I")
	for name, speak := range map[string]func(s *stream, says string) (goesOn bool){
		"before a reset": func(s *stream, says string) bool {
			io.WriteString(s, says)
			time.Sleep(20 * time.Millisecond) // so that the reset does not overtake it
			s.Conn.(*net.TCPConn).SetLinger(0)
			return false
		},
		"before an end": func(s *stream, says string) bool {
			io.WriteString(s, says)
			return false
		},
		"before a pause that is too long": func(s *stream, says string) bool {
			io.WriteString(s, says)
			time.Sleep(400 * time.Millisecond)
			return false
		},
		"within a row that breaks off": func(s *stream, says string) bool {
			io.WriteString(s, says+row("half")[:20])
			return false
		},
		"beside an error": func(s *stream, says string) bool {
			io.WriteString(s, failure("XX000")+says+none)
			return true
		},
		"beside a turning away": func(s *stream, says string) bool {
			io.WriteString(s, failure("53300")+says+none)
			return true
		},
		"as the refusal of a write alone": func(s *stream, _ string) bool {
			io.WriteString(s, failure("25006")+none)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lastWord(t, name == "as the refusal of a write alone", speak, false)
		})
	}
	t.Run("at the start of a connection", func(t *testing.T) {
		t.Parallel()
		lastWord(t, false, nil, true)
	})
}

// lastWord lets a primary speak its last word in one answer, or at the start of a connection, and sends reads after it.
func lastWord(t *testing.T, write bool, speak func(s *stream, says string) bool, atStart bool) {
	s := newStore(t, 1, 2)
	s.fresh = true
	primary, other := s.members[0], s.members[1]
	other.lag = time.Minute
	other.applied = time.Now().Add(-time.Minute)
	env := posting(t, newDiscovery(t, primary.member, other.member), func(file map[string]any) {
		bounded(file)
		file["settings"].(map[string]any)["extra"].(map[string]any)["readLevel"] = []any{"latest", "update"}
		reads := file["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)
		reads["effect"] = "once" // so that no further attempt brings what was not heard
	})
	cmd, stderr := command(t, env)
	require.NoError(t, cmd.Start())
	v := &driver{address: env["GW_LISTEN"]}
	c := v.client(t)
	require.Equal(t, "empty", c.ask(t, ""))
	require.Equal(t, "from s0", c.ask(t, statement("read", 400)))

	former, tell := s.depose()
	require.Same(t, primary, former)
	s.mu.Lock()
	former.reportsTill = time.Now().Add(1200 * time.Millisecond)
	s.mu.Unlock()
	if atStart {
		time.Sleep(ageBound + 2*ageSlack)
	}
	tell()
	s.mu.Lock()
	former.speaks = speak
	s.mu.Unlock()
	if atStart {
		former.dropAll() // the next probe opens a connection
		eventually(t, "it has spoken", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return !former.toldAt.IsZero()
		})
	} else {
		c.ask(t, statement(map[bool]string{true: "write", false: "read"}[write], 300))
	}
	time.Sleep(knownFrom + ageSlack)
	for range 5 {
		c.ask(t, statement("read", 200))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.False(t, former.toldAt.IsZero(), "it has spoken")
	require.Empty(t, s.broken, "the driver's log: %s", stderr)
}
