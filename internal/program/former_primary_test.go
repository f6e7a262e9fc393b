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
	maxReadAge   = 300 * time.Millisecond // of the data of a bounded read
	readAgeSlack = 50 * time.Millisecond  // that the rule on the age of data adds to it
	statusGrace  = 150 * time.Millisecond // from then on after it was written counts what an answer told; the rule says 100 ms
)

// withBoundedReads makes reads bounded at members that do not check the age of their data.
func withBoundedReads(file map[string]any) { withMaxReadAge(file, maxReadAge) }

func withMaxReadAge(file map[string]any, maxAge time.Duration) {
	extra := file["settings"].(map[string]any)["extra"].(map[string]any)
	extra["readLevel"], extra["maxAgeUs"], extra["guards"] = []any{"recent", "update"}, []any{maxAge.Microseconds(), 0}, "none"
}

// staleReads are the statements that a former primary got for which its data was too old, though an answer of its own had told the driver
// that it is no primary.
func (m *fakeMember) staleReads() (found []exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var told time.Time
	for _, e := range m.exchanges {
		age := e.receivedAt.Sub(time.UnixMilli(e.position))
		if !told.IsZero() && e.receivedAt.Sub(told) > statusGrace && age > maxReadAge+readAgeSlack {
			found = append(found, e)
		}
		if told.IsZero() && e.role == "follower" {
			told = e.answeredAt
		}
	}
	return found
}

// nextRoundedUpMillis gives the next millisecond that, as a decimal of seconds in a floating-point number, comes out above itself.
func nextRoundedUpMillis(from int64) int64 {
	for ; ; from++ {
		seconds, _ := strconv.ParseFloat(status{"leader", from}.loadReport()[len("x0="):len("x0=1796215583.584")], 64)
		if int64(seconds*1e9) > from*int64(time.Millisecond) {
			return from
		}
	}
}

// keepReading sends one read after another, each of which waits for so many milliseconds, until the function it gives is called.
func keepReading(t *testing.T, c *pgConn, timeoutMillis int) (stop func() (answers map[string]int)) {
	var done atomic.Bool
	ended := make(chan map[string]int)
	go func() {
		answers := map[string]int{}
		for !done.Load() {
			answer := c.ask(t, statement("read", timeoutMillis))
			answers[answer]++
			time.Sleep(5 * time.Millisecond)
		}
		ended <- answers
	}()
	return func() map[string]int {
		done.Store(true)
		return <-ended
	}
}

// Guards against reads of old data from a former primary: it hung, answers again, and while its group has no primary its position
// stands still, so that only its role tells. Its load report lags behind. The member's own record is the judge.
func TestFormerPrimary(t *testing.T) {
	former, successor := newFakeMember(t, "a", "leader"), newFakeMember(t, "b", "follower")
	successor.statusFunc = func() status { return status{"follower", time.Now().Add(-time.Minute).UnixMilli()} }
	env := writeConfig(t, newFakeDiscovery(t, former, successor), withBoundedReads)
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	c := (&testDriver{address: env["GW_LISTEN"]}).connect(t)
	require.Equal(t, "empty", c.ask(t, ""))
	require.Equal(t, "from a", c.ask(t, statement("read", 400)))
	stop := keepReading(t, c, 400)

	standsAt := nextRoundedUpMillis(time.Now().Add(20 * time.Millisecond).UnixMilli())
	time.Sleep(time.Until(time.UnixMilli(standsAt)))
	state := func(role, report string) {
		former.mu.Lock()
		defer former.mu.Unlock()
		former.statusFunc = func() status { return status{role, standsAt} }
		former.reportFunc = func() string { return status{report, standsAt}.loadReport() }
	}
	state("leader", "leader")
	former.setBehavior("silent")
	_, before := former.counts()
	eventually(t, "it is probed", func() bool { _, looks := former.counts(); return looks >= before+2 })
	time.Sleep(maxReadAge)
	state("follower", "leader")
	former.setBehavior("")
	time.Sleep(1500 * time.Millisecond)
	state("follower", "follower")
	time.Sleep(500 * time.Millisecond)
	answers := stop()
	require.Empty(t, former.staleReads(), "reads at a former primary; the driver's log: %s", stderr)
	require.Positive(t, answers["53300"], "reads that nobody may answer are refused: %v", answers)

	successor.mu.Lock()
	successor.statusFunc, successor.role = nil, "leader"
	successor.mu.Unlock()
	eventually(t, "the successor answers", func() bool { return strings.Contains(c.ask(t, statement("read", 400)), "from b") })
}
