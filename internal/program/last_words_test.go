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
func TestRoleInPartialAnswers(t *testing.T) {
	none := message("Z", "I")
	for name, respond := range map[string]func(s *pgConn, says string) (goesOn bool){
		"before a reset": func(s *pgConn, says string) bool {
			io.WriteString(s, says)
			time.Sleep(20 * time.Millisecond) // so that the reset does not overtake it
			s.Conn.(*net.TCPConn).SetLinger(0)
			return false
		},
		"before an end": func(s *pgConn, says string) bool {
			io.WriteString(s, says)
			return false
		},
		"before a pause that is too long": func(s *pgConn, says string) bool {
			io.WriteString(s, says)
			time.Sleep(400 * time.Millisecond)
			return false
		},
		"within a row that breaks off": func(s *pgConn, says string) bool {
			io.WriteString(s, says+rowMessages("half")[:20])
			return false
		},
		"beside an error": func(s *pgConn, says string) bool {
			io.WriteString(s, errorMessage("XX000")+says+none)
			return true
		},
		"beside a turning away": func(s *pgConn, says string) bool {
			io.WriteString(s, errorMessage("53300")+says+none)
			return true
		},
		"as the refusal of a write alone": func(s *pgConn, _ string) bool {
			io.WriteString(s, errorMessage("25006")+none)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRoleReport(t, name == "as the refusal of a write alone", respond, false)
		})
	}
	t.Run("at the start of a connection", func(t *testing.T) {
		t.Parallel()
		testRoleReport(t, false, nil, true)
	})
}

// testRoleReport lets a primary speak its last word in one answer, or at the start of a connection, and sends reads after it.
func testRoleReport(t *testing.T, write bool, respond func(s *pgConn, says string) bool, atStart bool) {
	s := newFakeGroup(t, 1, 2)
	s.latestReads = true
	primary, other := s.members[0], s.members[1]
	other.lag = time.Minute
	other.applied = time.Now().Add(-time.Minute)
	env := writeConfig(t, newFakeDiscovery(t, primary.fakeMember, other.fakeMember), func(file map[string]any) {
		withBoundedReads(file)
		file["settings"].(map[string]any)["extra"].(map[string]any)["readLevel"] = []any{"latest", "update"}
		reads := file["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)
		reads["effect"] = "once" // so that no further attempt brings what was not heard
	})
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	v := &testDriver{address: env["GW_LISTEN"]}
	c := v.connect(t)
	require.Equal(t, "empty", c.ask(t, ""))
	require.Equal(t, "from s0", c.ask(t, statement("read", 400)))

	former, tell := s.depose()
	require.Same(t, primary, former)
	s.mu.Lock()
	former.reportPausedUntil = time.Now().Add(1200 * time.Millisecond)
	s.mu.Unlock()
	if atStart {
		time.Sleep(maxReadAge + 2*readAgeSlack)
	}
	tell()
	s.mu.Lock()
	former.respond = respond
	s.mu.Unlock()
	if atStart {
		former.resetConns() // the next probe opens a connection
		eventually(t, "it has spoken", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return !former.deniedAt.IsZero()
		})
	} else {
		c.ask(t, statement(map[bool]string{true: "write", false: "read"}[write], 300))
	}
	time.Sleep(statusGrace + readAgeSlack)
	for range 5 {
		c.ask(t, statement("read", 200))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.False(t, former.deniedAt.IsZero(), "it has spoken")
	require.Empty(t, s.violations, "the driver's log: %s", stderr)
}
