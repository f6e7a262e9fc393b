package program_test

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/clock"
)

// soakSeedsEnv is the environment variable with a range of seeds to run instead, such as "1-50".
const soakSeedsEnv = "SEDGESPREAD_SOAK_SEEDS"

// TestFreshnessSoak guards against reads of data older than their bound while roles change, members
// hang, lag and break off answers, peer messages are lost and clocks are off. The group's own
// record is checked.
func TestFreshnessSoak(t *testing.T) {
	runSeeds(t, 2, 6, func(t *testing.T, seed int64) {
		runSoak(t, soakPlan{seed: seed, drivers: 2, peerMessages: seed%2 == 0, clockOffset: seed%3 == 0, clients: 4, pause: 2 * time.Millisecond, minReads: 400})
	})
}

// TestCutOffPrimarySoak guards against reads at a primary that is cut off from its group and keeps
// its role until its lease ends, while a successor is active. Violations count from the start,
// whatever the former primary reports.
func TestCutOffPrimarySoak(t *testing.T) {
	runSeeds(t, 2, 3, func(t *testing.T, seed int64) {
		runSoak(t, soakPlan{seed: seed, drivers: 10, peerMessages: seed%2 == 0, clients: 2, pause: 40 * time.Millisecond, minReads: 200, strict: true,
			maxReadAge: 200*time.Millisecond + time.Duration(seed%7)*50*time.Millisecond})
	})
}

// TestMutePrimarySoak guards against forwarding answers of a former primary whose data is too old,
// where load reports omit role and position. The position in the answers that clients got is checked.
func TestMutePrimarySoak(t *testing.T) {
	runSeeds(t, 8, 9, func(t *testing.T, seed int64) {
		runSoak(t, soakPlan{seed: seed, drivers: 3, clients: 3, pause: 20 * time.Millisecond, minReads: 100, strict: true, omitStatus: true})
	})
}

// runSeeds runs a range of seeds in parallel, which soakSeedsEnv can override.
func runSeeds(t *testing.T, first, last int, run func(t *testing.T, seed int64)) {
	if text := os.Getenv(soakSeedsEnv); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, int64(seed))
		})
	}
}

// soakPlan configures a soak run.
type soakPlan struct {
	seed         int64
	drivers      int
	peerMessages bool          // drivers exchange peer messages
	clockOffset  bool          // the second driver starts with a wrong clock
	clients      int           // of each driver
	pause        time.Duration // minimum between a client's requests
	minReads     int           // that must be served
	maxReadAge   time.Duration // of reads; 0 for the default
	omitStatus   bool          // load reports have no role and position
	strict       bool          // checks a former primary before it denies the role, and injects cut-off primaries
}

const (
	soakDuration = 9 * time.Second
	stopDuration = 130 * time.Millisecond // of a stopped driver; below the 150 ms that are tolerated

	basicFaultKinds = 5
	allFaultKinds   = 6 // including cut-off primaries
)

func runSoak(t *testing.T, plan soakPlan) {
	group := newFakeGroup(t, plan.seed, 3)
	if plan.strict {
		group.strict, group.faultKinds = true, allFaultKinds
	}
	group.omitStatus = plan.omitStatus
	if plan.maxReadAge != 0 {
		group.maxReadAge = plan.maxReadAge
	}
	members := make([]*fakeMember, len(group.members))
	for i, member := range group.members {
		members[i] = member.fakeMember
	}
	discovery := newFakeDiscovery(t, members...)
	broadcast := newLossyBroadcast(t, plan.drivers)
	var logs []*lockedBuffer
	var processes []*os.Process
	var clients sync.WaitGroup
	var done atomic.Bool
	for i := range plan.drivers {
		env := writeConfig(t, discovery, func(file map[string]any) {
			withMaxReadAge(file, group.maxReadAge)
			if plan.strict {
				file["settings"].(map[string]any)["fleetSize"] = plan.drivers
			}
			if plan.omitStatus { // reads without a bound reveal roles
				settings := file["settings"].(map[string]any)
				settings["classes"] = append(settings["classes"].([]any), map[string]any{"name": "any", "effect": "repeatable", "aimUs": 60_000, "giveUpUs": 2_000_000, "lateWorth": 0.5})
				extra := settings["extra"].(map[string]any)
				extra["readLevel"], extra["maxAgeUs"] = []any{"recent", "update", "loose"}, []any{group.maxReadAge.Microseconds(), 0, 0}
			}
			if plan.peerMessages {
				broadcast.join(file, i)
			}
		})
		if i == 1 && plan.clockOffset {
			env[clock.OffsetEnv] = []string{"-1h", "7s", "1h", "-4s"}[plan.seed/3%4]
		}
		cmd, stderr := driverCommand(t, env)
		require.NoError(t, cmd.Start())
		logs, processes = append(logs, stderr), append(processes, cmd.Process)
		driver := &testDriver{address: env["GW_LISTEN"]}
		require.Equal(t, "empty", driver.connect(t).ask(t, ""))
		for n := range plan.clients {
			client := driver.connect(t)
			client.SetDeadline(time.Now().Add(soakDuration + waitTimeout))
			clients.Go(func() {
				for turn := n; !done.Load(); turn++ {
					method := []string{"write", "read", "read", "read"}[turn%4]
					if plan.omitStatus && turn%5 == 0 {
						method = "any"
					}
					sent := time.Now()
					group.checkAnswer(client.ask(t, statement(method, 350)), method == "read", sent)
					time.Sleep(plan.pause + time.Duration(turn%9)*time.Millisecond)
				}
			})
		}
	}
	for startTime := time.Now(); time.Since(startTime) < soakDuration; {
		group.injectFault(processes)
	}
	done.Store(true)
	clients.Wait()
	group.mu.Lock()
	defer group.mu.Unlock()
	if len(group.violations) > 0 {
		t.Errorf("seed %d: %d violations, the first: %s\n%s\n%s", plan.seed, len(group.violations),
			strings.Join(group.violations[:min(5, len(group.violations))], "\n"), logs[0], logs[1])
	}
	t.Logf("seed %d: %d reads served", plan.seed, group.served)
	require.Greater(t, group.served, plan.minReads, "reads served in all")
}

// checkAnswer counts an answer and checks the age of its data, if the answer states it.
func (g *fakeGroup) checkAnswer(answer string, isBounded bool, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !strings.HasPrefix(answer, "from") {
		return
	}
	g.served++
	if _, positionText, hasPosition := strings.Cut(answer, " at "); hasPosition && isBounded {
		position, _ := strconv.ParseInt(positionText, 10, 64)
		if age := sent.Sub(time.UnixMilli(position)); age > g.maxReadAge+2*readAgeSlack {
			g.violations = append(g.violations, fmt.Sprintf("%s: data was %v too old when the read was sent", answer, age-g.maxReadAge))
		}
	}
}

// injectFault injects a random fault into the group, followed by some quiet time.
func (g *fakeGroup) injectFault(drivers []*os.Process) {
	g.mu.Lock()
	kind, failures := g.rng.Intn(g.faultKinds), g.rng.Intn(6)
	randomTime := func(low, high int) time.Duration { return time.Duration(low+g.rng.Intn(high-low)) * time.Millisecond }
	hangTime, handover, election, lag, quiet := randomTime(300, 1200), randomTime(0, 300), randomTime(200, 1200), randomTime(600, 2500), randomTime(200, 700)
	successor, lagging := g.members[g.rng.Intn(len(g.members))], g.members[g.rng.Intn(len(g.members))]
	g.mu.Unlock()
	switch kind {
	case 0, 1: // the primary hands over, or hangs and is deposed
		former, announce := g.depose()
		g.mu.Lock()
		former.failuresLeft = failures
		if kind == 1 {
			former.hangsUntil = time.Now().Add(hangTime)
			handover = hangTime * time.Duration(g.rng.Intn(3)) / 2
		}
		g.mu.Unlock()
		time.Sleep(handover)
		announce()
		time.Sleep(election)
		g.elect(successor)
	case 2: // a replica lags
		g.mu.Lock()
		lagging.lag = lag
		g.mu.Unlock()
		time.Sleep(lag / 2)
		g.mu.Lock()
		lagging.lag = 5 * time.Millisecond
		g.mu.Unlock()
	case 3: // answers fail
		g.mu.Lock()
		lagging.failuresLeft = 3 * failures
		g.mu.Unlock()
	case 5: // the primary is cut off and keeps its role after a successor was elected
		_, announce := g.depose()
		time.Sleep(election)
		g.elect(successor)
		time.Sleep(lag)
		announce()
	case 4: // drivers are stopped for a while
		for range 3 * failures {
			for _, driver := range drivers {
				driver.Signal(syscall.SIGSTOP)
			}
			time.Sleep(stopDuration)
			for _, driver := range drivers {
				driver.Signal(syscall.SIGCONT)
			}
			time.Sleep(quiet / 10)
		}
	}
	time.Sleep(quiet)
}

// lossyBroadcast forwards each peer message to all drivers, except for some that it drops.
type lossyBroadcast struct {
	conn    net.PacketConn
	drivers []string
}

func newLossyBroadcast(t *testing.T, drivers int) *lossyBroadcast {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	broadcast := &lossyBroadcast{conn: conn}
	for range drivers {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		broadcast.drivers = append(broadcast.drivers, socket.LocalAddr().String())
		socket.Close()
	}
	go broadcast.forward()
	return broadcast
}

// join configures a driver to use the broadcast.
func (b *lossyBroadcast) join(file map[string]any, driver int) {
	file["peer_listen"], file["peers_all"] = b.drivers[driver], b.conn.LocalAddr().String()
	settings := file["settings"].(map[string]any)
	settings["fleetSize"] = len(b.drivers)
	settings["limits"].(map[string]any)["peerMessages"] = true
}

func (b *lossyBroadcast) forward() {
	message := make([]byte, 512)
	for count := 0; ; count++ {
		n, _, err := b.conn.ReadFrom(message)
		if err != nil {
			return
		}
		for i, driver := range b.drivers {
			to, err := net.ResolveUDPAddr("udp", driver)
			if err == nil && (count+i)%5 != 0 {
				b.conn.WriteTo(message[:n], to)
			}
		}
	}
}
