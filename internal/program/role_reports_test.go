package program_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ignoring the role that a former primary reports outside of whole answers: when a
// connection starts, before an answer breaks off or stalls, or beside an error. From 150 ms after
// the report it must get no read that has to see all writes.
func TestRoleInPartialAnswers(t *testing.T) {
	readyMessage := message("Z", "I")
	for name, respond := range map[string]func(conn *pgConn, status string) (isOpen bool){
		"before a reset": func(conn *pgConn, status string) bool {
			io.WriteString(conn, status)
			time.Sleep(20 * time.Millisecond) // lets the status arrive before the reset
			conn.Conn.(*net.TCPConn).SetLinger(0)
			return false
		},
		"before a close": func(conn *pgConn, status string) bool {
			io.WriteString(conn, status)
			return false
		},
		"before a timeout": func(conn *pgConn, status string) bool {
			io.WriteString(conn, status)
			time.Sleep(400 * time.Millisecond)
			return false
		},
		"before a truncated row": func(conn *pgConn, status string) bool {
			io.WriteString(conn, status+rowMessages("half")[:20])
			return false
		},
		"beside an error": func(conn *pgConn, status string) bool {
			io.WriteString(conn, errorMessage("XX000")+status+readyMessage)
			return true
		},
		"beside a rejection": func(conn *pgConn, status string) bool {
			io.WriteString(conn, errorMessage("53300")+status+readyMessage)
			return true
		},
		"rejected write without a status": func(conn *pgConn, _ string) bool {
			io.WriteString(conn, errorMessage("25006")+readyMessage)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRoleReport(t, name == "rejected write without a status", respond, false)
		})
	}
	t.Run("at the start of a connection", func(t *testing.T) {
		t.Parallel()
		testRoleReport(t, false, nil, true)
	})
}

// testRoleReport lets a former primary report its new role in one answer, or at the start of a
// connection, and sends reads after that.
func testRoleReport(t *testing.T, isWrite bool, respond func(conn *pgConn, status string) bool, atStart bool) {
	group := newFakeGroup(t, 1, 2)
	group.latestReads = true
	primary, other := group.members[0], group.members[1]
	other.lag = time.Minute
	other.applied = time.Now().Add(-time.Minute)
	env := writeConfig(t, newFakeDiscovery(t, primary.fakeMember, other.fakeMember), func(file map[string]any) {
		withBoundedReads(file)
		file["settings"].(map[string]any)["extra"].(map[string]any)["readLevel"] = []any{"latest", "update"}
		reads := file["settings"].(map[string]any)["classes"].([]any)[0].(map[string]any)
		reads["effect"] = "once" // prevents retries, which could report the role
	})
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	driver := &testDriver{address: env["GW_LISTEN"]}
	client := driver.connect(t)
	require.Equal(t, "empty", client.ask(t, ""))
	require.Equal(t, "from s0", client.ask(t, statement("read", 400)))

	former, announce := group.depose()
	require.Same(t, primary, former)
	group.mu.Lock()
	former.reportPausedUntil = time.Now().Add(1200 * time.Millisecond)
	group.mu.Unlock()
	if atStart {
		time.Sleep(maxReadAge + 2*readAgeSlack)
	}
	announce()
	group.mu.Lock()
	former.respond = respond
	group.mu.Unlock()
	if atStart {
		former.resetConns() // the next probe opens a connection
		eventually(t, "the former primary has reported its role", func() bool {
			group.mu.Lock()
			defer group.mu.Unlock()
			return !former.deniedAt.IsZero()
		})
	} else {
		client.ask(t, statement(map[bool]string{true: "write", false: "read"}[isWrite], 300))
	}
	time.Sleep(statusGrace + readAgeSlack)
	for range 5 {
		client.ask(t, statement("read", 200))
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	require.False(t, former.deniedAt.IsZero(), "the former primary has reported its role")
	require.Empty(t, group.violations, "driver log: %s", stderr)
}
