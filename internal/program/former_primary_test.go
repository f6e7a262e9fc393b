package program_test

import (
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	maxReadAge   = 300 * time.Millisecond // of bounded reads
	readAgeSlack = 50 * time.Millisecond  // tolerance of the check
	statusGrace  = 150 * time.Millisecond // after an answer was written, until its status must be known
)

// withBoundedReads configures bounded reads at members that do not check the age of their data.
func withBoundedReads(file map[string]any) { withMaxReadAge(file, maxReadAge) }

func withMaxReadAge(file map[string]any, maxAge time.Duration) {
	extra := file["settings"].(map[string]any)["extra"].(map[string]any)
	extra["readLevel"], extra["maxAgeUs"], extra["guards"] = []any{"recent", "update"}, []any{maxAge.Microseconds(), 0}, "none"
}

// staleReads returns the statements that a former primary got with data that was too old, after an
// answer had told the driver that it is no longer primary.
func (m *fakeMember) staleReads() (stale []exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var deniedAt time.Time
	for _, e := range m.exchanges {
		age := e.receivedAt.Sub(time.UnixMilli(e.position))
		if !deniedAt.IsZero() && e.receivedAt.Sub(deniedAt) > statusGrace && age > maxReadAge+readAgeSlack {
			stale = append(stale, e)
		}
		if deniedAt.IsZero() && e.role == "follower" {
			deniedAt = e.answeredAt
		}
	}
	return stale
}

// nextRoundedUpMillis returns the next millisecond whose decimal seconds, parsed as a
// floating-point number, round up.
func nextRoundedUpMillis(from int64) int64 {
	for ; ; from++ {
		seconds, _ := strconv.ParseFloat(status{"leader", from}.loadReport()[len("x0="):len("x0=1796215583.584")], 64)
		if int64(seconds*1e9) > from*int64(time.Millisecond) {
			return from
		}
	}
}

// keepReading sends one read after another until stop is called.
func keepReading(t *testing.T, client *pgConn, timeoutMillis int) (stop func() (answers map[string]int)) {
	var done atomic.Bool
	result := make(chan map[string]int)
	go func() {
		answers := map[string]int{}
		for !done.Load() {
			answer := client.ask(t, statement("read", timeoutMillis))
			answers[answer]++
			time.Sleep(5 * time.Millisecond)
		}
		result <- answers
	}()
	return func() map[string]int {
		done.Store(true)
		return <-result
	}
}

// Guards against stale reads from a former primary that hung and answers again. Its position stands
// still and its load report lags, so that only its role in answers tells. The member's own record
// is checked.
func TestFormerPrimary(t *testing.T) {
	former, successor := newFakeMember(t, "a", "leader"), newFakeMember(t, "b", "follower")
	successor.statusFunc = func() status { return status{"follower", time.Now().Add(-time.Minute).UnixMilli()} }
	env := writeConfig(t, newFakeDiscovery(t, former, successor), withBoundedReads)
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	client := (&testDriver{address: env["GW_LISTEN"]}).connect(t)
	require.Equal(t, "empty", client.ask(t, ""))
	require.Equal(t, "from a", client.ask(t, statement("read", 400)))
	stop := keepReading(t, client, 400)

	position := nextRoundedUpMillis(time.Now().Add(20 * time.Millisecond).UnixMilli())
	time.Sleep(time.Until(time.UnixMilli(position)))
	setState := func(role, reportedRole string) {
		former.mu.Lock()
		defer former.mu.Unlock()
		former.statusFunc = func() status { return status{role, position} }
		former.reportFunc = func() string { return status{reportedRole, position}.loadReport() }
	}
	setState("leader", "leader")
	former.setBehavior("silent")
	_, before := former.counts()
	eventually(t, "the member is probed", func() bool { _, probes := former.counts(); return probes >= before+2 })
	time.Sleep(maxReadAge)
	setState("follower", "leader")
	former.setBehavior("")
	time.Sleep(1500 * time.Millisecond)
	setState("follower", "follower")
	time.Sleep(500 * time.Millisecond)
	answers := stop()
	require.Empty(t, former.staleReads(), "stale reads at a former primary; driver log: %s", stderr)
	require.Positive(t, answers["53300"], "reads that no member may answer are rejected: %v", answers)

	successor.mu.Lock()
	successor.statusFunc, successor.role = nil, "leader"
	successor.mu.Unlock()
	eventually(t, "the new primary answers", func() bool { return strings.Contains(client.ask(t, statement("read", 400)), "from b") })
}
