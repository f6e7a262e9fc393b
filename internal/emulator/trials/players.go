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

// workload are clients that each write and read one key, one RPC after another, each at some driver.
type workload struct {
	cluster      *Cluster
	random       *lockedRand
	pickDriver   func() *sockets.Driver // one that takes clients
	meanPause    time.Duration          // of one client between its RPCs, in the mean
	meanInterval time.Duration          // if not 0 one client's RPCs are due so far apart in the mean, however long they take
	wait         sync.WaitGroup
	stopped      atomic.Bool

	mu             sync.Mutex
	outcomes       map[sockets.Outcome]int
	writeLatencies []float64 // seconds that served writes took
	writes         int
	rejectedWrites int // writes that were pushed back
	unexplained    int // RPCs without an answer at drivers that had no trouble
	faultCounts    map[string]int
}

const defaultMeanPause = 60 * time.Millisecond

func newWorkload(seed uint64, pickDriver func() *sockets.Driver) *workload {
	return &workload{random: &lockedRand{rng: rand.New(rand.NewPCG(seed, 7))}, pickDriver: pickDriver, meanPause: defaultMeanPause, outcomes: map[sockets.Outcome]int{}, faultCounts: map[string]int{}}
}

// startClients starts a client for each key of some tenants.
func (p *workload) startClients(ctx context.Context, tenants, keys int) {
	for t := range tenants {
		for k := range keys {
			p.wait.Add(1)
			go func() { defer p.wait.Done(); p.runClient(ctx, fmt.Sprintf("t%d/%d", t, k)) }()
		}
	}
}

// stop lets all clients end.
func (p *workload) stop() {
	p.stopped.Store(true)
	p.wait.Wait()
}

// runClient writes and reads one key.
func (p *workload) runClient(ctx context.Context, key string) {
	for due := time.Now(); !p.stopped.Load() && ctx.Err() == nil; {
		driver := p.pickDriver()
		acknowledged, position := p.cluster.Fleet.LastAcknowledged(key)
		rpc := sockets.RPC{Method: getOwnMethod.Name, Key: key, Group: 1, Timeout: getOwnMethod.Timeout, MinPosition: position}
		isWrite := p.random.intN(2) == 0
		if isWrite {
			rpc = sockets.RPC{Method: putMethod.Name, Key: key, Write: true, Group: 1, Timeout: putMethod.Timeout}
		}
		start := time.Now()
		reply := p.cluster.Clients.Call(ctx, driver.Address, rpc)
		if reply.Outcome == sockets.Served && !isWrite {
			p.cluster.Fleet.Read(reply.ID, key, reply.Value, acknowledged)
		}
		p.record(driver, reply, start, isWrite)
		if reply.Outcome == sockets.Rejected {
			time.Sleep(reply.RetryAfter)
		}
		if p.meanInterval == 0 {
			time.Sleep(time.Duration(float64(p.meanPause) * (0.5 + p.random.float64())))
			continue
		}
		due = due.Add(time.Duration(float64(p.meanInterval) * (0.5 + p.random.float64())))
		time.Sleep(time.Until(due))
	}
}

// record notes what came of an RPC. One without an answer is a breach unless its driver was in trouble meanwhile, which
// the drivers were told by the trial itself.
func (p *workload) record(driver *sockets.Driver, reply sockets.Reply, start time.Time, isWrite bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[reply.Outcome]++
	if isWrite {
		p.writes++
		if reply.Outcome == sockets.Rejected {
			p.rejectedWrites++
		}
		if reply.Outcome == sockets.Served {
			p.writeLatencies = append(p.writeLatencies, reply.Latency.Seconds())
		}
	}
	if reply.Outcome >= sockets.TimedOut && reply.Outcome != sockets.ConnectFailed && !driver.DisruptedSince(start.Add(-disruptionGrace)) && !p.stopped.Load() {
		p.unexplained++
		p.cluster.Fleet.RecordNoAnswer(reply.ID)
	}
}

// disruptionGrace is how long a driver that was paused or killed may still leave RPCs without an answer.
const disruptionGrace = 3 * time.Second

// periodicFault is a trouble with how to begin and how to end it.
type periodicFault struct {
	name         string
	meanInterval time.Duration // in the mean
	inject       func(ctx context.Context)
}

// injectRepeatedly brings a fault about again and again until the context ends.
func (p *workload) injectRepeatedly(ctx context.Context, f periodicFault) {
	for relays.Sleep(ctx, time.Duration(float64(f.meanInterval)*(0.5+p.random.float64()))) {
		p.mu.Lock()
		p.faultCounts[f.name]++
		p.mu.Unlock()
		f.inject(ctx)
	}
}

// addFaultCounts adds what faults were brought about.
func (p *workload) addFaultCounts(faults map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range p.faultCounts {
		faults[name] += n
	}
}

// killAndRestart kills a driver and starts it again after a while.
func killAndRestart(ctx context.Context, driver *sockets.Driver, delay time.Duration) {
	driver.Kill()
	relays.Sleep(ctx, delay)
	driver.Start(context.Background())
}

// pauseDriver lets a driver stand still for a while.
func pauseDriver(ctx context.Context, driver *sockets.Driver, duration time.Duration) {
	driver.Pause()
	relays.Sleep(ctx, duration)
	driver.Continue()
}

// lastLogLines are the last lines of all drivers.
func (c *Cluster) lastLogLines() (text string) {
	for _, d := range c.Drivers {
		lines := strings.Split(strings.TrimSpace(d.Log()), "\n")
		text += d.Name + ":\n" + strings.Join(lines[max(0, len(lines)-12):], "\n") + "\n"
	}
	return text
}
