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

// soakSeedsEnv names the variable by which more seeds are played by hand, as "1-50".
const soakSeedsEnv = "SEDGESPREAD_SOAK_SEEDS"

// TestFreshnessSoak guards against reads answered from data older than their bound while roles change hands, members hang, lag and break off
// their answers, links between drivers lose gossip and clocks are off. Two drivers at work on real connections, seeded; the store's own
// record is the judge.
func TestFreshnessSoak(t *testing.T) {
	runSeeds(t, 2, 6, func(t *testing.T, seed int64) {
		runSoak(t, soakPlan{seed: seed, drivers: 2, peerMessages: seed%2 == 0, clockOffset: seed%3 == 0, clients: 4, pause: 2 * time.Millisecond, minReads: 400})
	})
}

// TestCutOffPrimarySoak guards against reads that rest on the word of a primary which is none any more and does not know: it was cut off from its
// group, believes in itself until its lease ends, and answers from a log that stands still, while a successor acts. One of ten drivers and more
// trusted such a word for 2 s, four times the bound, and took each answer of the cut-off one for a new word. Here nothing is excused until it was
// told: the bound alone counts. Ten drivers with few reads each, bounds of 200 to 500 ms.
func TestCutOffPrimarySoak(t *testing.T) {
	runSeeds(t, 2, 3, func(t *testing.T, seed int64) {
		runSoak(t, soakPlan{seed: seed, drivers: 10, peerMessages: seed%2 == 0, clients: 2, pause: 40 * time.Millisecond, minReads: 200, strict: true,
			maxReadAge: 200*time.Millisecond + time.Duration(seed%7)*50*time.Millisecond})
	})
}

// TestMutePrimarySoak guards against answers of a former primary that are passed on though they say themselves that they are too old, where nothing
// but answers tells of roles: probes are answered with how busy a member is. A read sent there is the only question then, and its answer is the one
// to be thrown away. What clients got is the judge.
func TestMutePrimarySoak(t *testing.T) {
	runSeeds(t, 8, 9, func(t *testing.T, seed int64) {
		runSoak(t, soakPlan{seed: seed, drivers: 3, clients: 3, pause: 20 * time.Millisecond, minReads: 100, strict: true, omitStatus: true})
	})
}

// runSeeds plays some seeds side by side, or those that are asked for by hand.
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

// soakPlan is what a soak plays.
type soakPlan struct {
	seed         int64
	drivers      int
	peerMessages bool          // drivers tell one another
	clockOffset  bool          // the second driver's machine had a wrong clock when it started
	clients      int           // of each driver
	pause        time.Duration // between a client's requests, at the least
	minReads     int           // that have to be served at the least
	maxReadAge   time.Duration // of the data of reads, 0 for the usual one
	omitStatus   bool          // probes tell nothing of roles and positions
	strict       bool          // a former primary is not excused until it has told that it is none, and may be cut off from its group
}

const (
	soakDuration = 9 * time.Second
	stopDuration = 130 * time.Millisecond // a driver, by its machine; the rule grants 150

	basicFaultKinds = 5
	allFaultKinds   = 6 // with primaries that are cut off
)

func runSoak(t *testing.T, plan soakPlan) {
	s := newFakeGroup(t, plan.seed, 3)
	if plan.strict {
		s.strict, s.faultKinds = true, allFaultKinds
	}
	s.omitStatus = plan.omitStatus
	if plan.maxReadAge != 0 {
		s.maxReadAge = plan.maxReadAge
	}
	members := make([]*fakeMember, len(s.members))
	for i, r := range s.members {
		members[i] = r.fakeMember
	}
	d := newFakeDiscovery(t, members...)
	broadcast := newLossyBroadcast(t, plan.drivers)
	var logs []*lockedBuffer
	var processes []*os.Process
	var clients sync.WaitGroup
	var done atomic.Bool
	for i := range plan.drivers {
		env := writeConfig(t, d, func(file map[string]any) {
			withMaxReadAge(file, s.maxReadAge)
			if plan.strict {
				file["settings"].(map[string]any)["fleetSize"] = plan.drivers
			}
			if plan.omitStatus { // whoever answers a read of any age tells what it is
				settings := file["settings"].(map[string]any)
				settings["classes"] = append(settings["classes"].([]any), map[string]any{"name": "any", "effect": "repeatable", "aimUs": 60_000, "giveUpUs": 2_000_000, "lateWorth": 0.5})
				extra := settings["extra"].(map[string]any)
				extra["readLevel"], extra["maxAgeUs"] = []any{"recent", "update", "loose"}, []any{s.maxReadAge.Microseconds(), 0, 0}
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
		v := &testDriver{address: env["GW_LISTEN"]}
		require.Equal(t, "empty", v.connect(t).ask(t, ""))
		for n := range plan.clients {
			c := v.connect(t)
			c.SetDeadline(time.Now().Add(soakDuration + waitTimeout))
			clients.Go(func() {
				for turn := n; !done.Load(); turn++ {
					method := []string{"write", "read", "read", "read"}[turn%4]
					if plan.omitStatus && turn%5 == 0 {
						method = "any"
					}
					sent := time.Now()
					s.checkAnswer(c.ask(t, statement(method, 350)), method == "read", sent)
					time.Sleep(plan.pause + time.Duration(turn%9)*time.Millisecond)
				}
			})
		}
	}
	for begun := time.Now(); time.Since(begun) < soakDuration; {
		s.injectFault(processes)
	}
	done.Store(true)
	clients.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) > 0 {
		t.Errorf("seed %d: %d reads, the first: %s\n%s\n%s", plan.seed, len(s.violations), strings.Join(s.violations[:min(5, len(s.violations))], "\n"), logs[0], logs[1])
	}
	t.Logf("seed %d: %d reads served", plan.seed, s.served)
	require.Greater(t, s.served, plan.minReads, "reads served in all")
}

// checkAnswer takes in what a client got, and judges it by the data's age where an answer tells that.
func (s *fakeGroup) checkAnswer(answer string, bounded bool, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(answer, "from") {
		return
	}
	s.served++
	if _, at, tells := strings.Cut(answer, " at "); tells && bounded {
		position, _ := strconv.ParseInt(at, 10, 64)
		if age := sent.Sub(time.UnixMilli(position)); age > s.maxReadAge+2*readAgeSlack {
			s.violations = append(s.violations, fmt.Sprintf("%s: %v too old already as it was asked for", answer, age-s.maxReadAge))
		}
	}
}

// injectFault plays one of the troubles that a group may have, and gives it some quiet time.
func (s *fakeGroup) injectFault(drivers []*os.Process) {
	s.mu.Lock()
	kind, breaks := s.rng.Intn(s.faultKinds), s.rng.Intn(6)
	span := func(low, high int) time.Duration { return time.Duration(low+s.rng.Intn(high-low)) * time.Millisecond }
	hang, handover, election, lag, quiet := span(300, 1200), span(0, 300), span(200, 1200), span(600, 2500), span(200, 700)
	successor, lagging := s.members[s.rng.Intn(len(s.members))], s.members[s.rng.Intn(len(s.members))]
	s.mu.Unlock()
	switch kind {
	case 0, 1: // the primary hands over, or hangs and is deposed, and says so when it has
		former, tell := s.depose()
		s.mu.Lock()
		former.failuresLeft = breaks
		if kind == 1 {
			former.hangsUntil = time.Now().Add(hang)
			handover = hang * time.Duration(s.rng.Intn(3)) / 2
		}
		s.mu.Unlock()
		time.Sleep(handover)
		tell()
		time.Sleep(election)
		s.elect(successor)
	case 2: // a replica lags
		s.mu.Lock()
		lagging.lag = lag
		s.mu.Unlock()
		time.Sleep(lag / 2)
		s.mu.Lock()
		lagging.lag = 5 * time.Millisecond
		s.mu.Unlock()
	case 3: // answers break off
		s.mu.Lock()
		lagging.failuresLeft = 3 * breaks
		s.mu.Unlock()
	case 5: // the primary is cut off from its group, and believes in itself until its lease ends, after a successor has acted
		_, tell := s.depose()
		time.Sleep(election)
		s.elect(successor)
		time.Sleep(lag)
		tell()
	case 4: // drivers are held up
		for range 3 * breaks {
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

// lossyBroadcast passes on what one driver tells all, and loses some of it.
type lossyBroadcast struct {
	conn    net.PacketConn
	drivers []string
}

func newLossyBroadcast(t *testing.T, drivers int) *lossyBroadcast {
	link, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { link.Close() })
	g := &lossyBroadcast{conn: link}
	for range drivers {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		g.drivers = append(g.drivers, socket.LocalAddr().String())
		socket.Close()
	}
	go g.forward()
	return g
}

// join makes a posting that of one of its drivers.
func (g *lossyBroadcast) join(file map[string]any, driver int) {
	file["peer_listen"], file["peers_all"] = g.drivers[driver], g.conn.LocalAddr().String()
	settings := file["settings"].(map[string]any)
	settings["fleetSize"] = len(g.drivers)
	settings["limits"].(map[string]any)["peerMessages"] = true
}

func (g *lossyBroadcast) forward() {
	message := make([]byte, 512)
	for count := 0; ; count++ {
		n, _, err := g.conn.ReadFrom(message)
		if err != nil {
			return
		}
		for i, driver := range g.drivers {
			to, err := net.ResolveUDPAddr("udp", driver)
			if err == nil && (count+i)%5 != 0 {
				g.conn.WriteTo(message[:n], to)
			}
		}
	}
}
