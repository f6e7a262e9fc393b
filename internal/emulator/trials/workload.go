package trials

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/emulator/links/relays"
	"sedgespread/internal/emulator/sockets"
)

// workload runs clients that each read and write one key, one RPC at a time.
type workload struct {
	cluster      *Cluster
	random       *lockedRand
	pickDriver   func() *sockets.Driver // returns a driver that accepts clients
	meanPause    time.Duration          // of a client between two RPCs
	meanInterval time.Duration          // between two RPCs of a client regardless of their latency; 0 to use meanPause
	wait         sync.WaitGroup
	stopped      atomic.Bool

	mu             sync.Mutex
	outcomes       map[sockets.Outcome]int
	writeLatencies []float64 // latencies of served writes, in seconds
	writes         int
	rejectedWrites int
	unexplained    int // RPCs without an answer at drivers that were not disrupted
	faultCounts    map[string]int
}

const defaultMeanPause = 60 * time.Millisecond

func newWorkload(seed uint64, pickDriver func() *sockets.Driver) *workload {
	return &workload{random: &lockedRand{rng: rand.New(rand.NewPCG(seed, 7))}, pickDriver: pickDriver, meanPause: defaultMeanPause, outcomes: map[sockets.Outcome]int{}, faultCounts: map[string]int{}}
}

// startClients starts a client for each key of each tenant.
func (w *workload) startClients(ctx context.Context, tenants, keys int) {
	for t := range tenants {
		for k := range keys {
			w.wait.Add(1)
			go func() { defer w.wait.Done(); w.runClient(ctx, fmt.Sprintf("t%d/%d", t, k)) }()
		}
	}
}

// stop stops all clients and waits for them.
func (w *workload) stop() {
	w.stopped.Store(true)
	w.wait.Wait()
}

// runClient reads and writes one key.
func (w *workload) runClient(ctx context.Context, key string) {
	for due := time.Now(); !w.stopped.Load() && ctx.Err() == nil; {
		driver := w.pickDriver()
		acknowledged, position := w.cluster.Fleet.LastAcknowledged(key)
		rpc := sockets.RPC{Method: getOwnMethod.Name, Key: key, Group: 1, Timeout: getOwnMethod.Timeout, MinPosition: position}
		isWrite := w.random.intN(2) == 0
		if isWrite {
			rpc = sockets.RPC{Method: putMethod.Name, Key: key, Write: true, Group: 1, Timeout: putMethod.Timeout}
		}
		start := time.Now()
		reply := w.cluster.Clients.Call(ctx, driver.Address, rpc)
		if reply.Outcome == sockets.Served && !isWrite {
			w.cluster.Fleet.Read(reply.ID, key, reply.Value, acknowledged)
		}
		w.record(driver, reply, start, isWrite)
		if reply.Outcome == sockets.Rejected {
			time.Sleep(reply.RetryAfter)
		}
		if w.meanInterval == 0 {
			time.Sleep(time.Duration(float64(w.meanPause) * (0.5 + w.random.float64())))
			continue
		}
		due = due.Add(time.Duration(float64(w.meanInterval) * (0.5 + w.random.float64())))
		time.Sleep(time.Until(due))
	}
}

// record records the outcome of an RPC. An RPC without an answer is a violation unless its driver
// was disrupted meanwhile.
func (w *workload) record(driver *sockets.Driver, reply sockets.Reply, start time.Time, isWrite bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[reply.Outcome]++
	if isWrite {
		w.writes++
		if reply.Outcome == sockets.Rejected {
			w.rejectedWrites++
		}
		if reply.Outcome == sockets.Served {
			w.writeLatencies = append(w.writeLatencies, reply.Latency.Seconds())
		}
	}
	if reply.Outcome >= sockets.TimedOut && reply.Outcome != sockets.ConnectFailed && !driver.DisruptedSince(start.Add(-disruptionGrace)) && !w.stopped.Load() {
		w.unexplained++
		w.cluster.Fleet.RecordNoAnswer(reply.ID)
	}
}

// disruptionGrace is how long after a disruption a driver may leave RPCs without an answer.
const disruptionGrace = 3 * time.Second

// periodicFault is a fault that is injected repeatedly at random intervals.
type periodicFault struct {
	name         string
	meanInterval time.Duration
	inject       func(ctx context.Context)
}

// injectRepeatedly injects a fault repeatedly until the context ends.
func (w *workload) injectRepeatedly(ctx context.Context, f periodicFault) {
	for relays.Sleep(ctx, time.Duration(float64(f.meanInterval)*(0.5+w.random.float64()))) {
		w.mu.Lock()
		w.faultCounts[f.name]++
		w.mu.Unlock()
		f.inject(ctx)
	}
}

// addFaultCounts adds the number of injected faults by name.
func (w *workload) addFaultCounts(faults map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, n := range w.faultCounts {
		faults[name] += n
	}
}

// killAndRestart kills a driver and restarts it after a delay.
func killAndRestart(ctx context.Context, driver *sockets.Driver, delay time.Duration) {
	driver.Kill()
	relays.Sleep(ctx, delay)
	driver.Start(context.Background())
}

// pauseDriver pauses a driver for a duration.
func pauseDriver(ctx context.Context, driver *sockets.Driver, duration time.Duration) {
	driver.Pause()
	relays.Sleep(ctx, duration)
	driver.Continue()
}

// lastLogLines returns the last log lines of each driver.
func (c *Cluster) lastLogLines() (text string) {
	for _, d := range c.Drivers {
		lines := strings.Split(strings.TrimSpace(d.Log()), "\n")
		text += d.Name + ":\n" + strings.Join(lines[max(0, len(lines)-12):], "\n") + "\n"
	}
	return text
}
