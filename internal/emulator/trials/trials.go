// Package trials runs driver processes against an emulated fleet, injects faults and overload, and
// measures the effects.
package trials

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/sockets"
)

// Methods of the trials: a non-idempotent write, a read of the client's own writes, and a read that
// may be stale.
var (
	putMethod     = sockets.Method{Name: "put", Effect: "once", ReadLevel: "update", SoftDeadline: 400 * time.Millisecond, Timeout: 2 * time.Second, Utility: 5, LateShare: 0.3}
	getOwnMethod  = sockets.Method{Name: "get-own", Effect: "repeatable", ReadLevel: "own_writes", SoftDeadline: 400 * time.Millisecond, Timeout: 2 * time.Second, Utility: 2, LateShare: 0.3}
	archiveMethod = sockets.Method{Name: "archive", Effect: "repeatable", ReadLevel: "loose", SoftDeadline: 800 * time.Millisecond, Timeout: 2 * time.Second, Utility: 1, LateShare: 0.5}
	methods       = []sockets.Method{putMethod, getOwnMethod, archiveMethod}
)

// Cluster is an emulated fleet with drivers and clients.
type Cluster struct {
	Fleet   *sockets.Fleet
	Drivers []*sockets.Driver
	Clients *sockets.Clients
	dir     string
}

// StartCluster starts a fleet and its drivers. operatorText returns the text of a driver's operator
// file, empty for none.
func StartCluster(ctx context.Context, program string, config emulator.Config, drivers int, operatorText func(c *Cluster, i int) string) (*Cluster, error) {
	c := &Cluster{}
	if err := c.start(ctx, program, config, drivers, operatorText); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, program string, config emulator.Config, drivers int, operatorText func(c *Cluster, i int) string) (err error) {
	if c.dir, err = os.MkdirTemp("", "sedgespread-trial"); err != nil {
		return err
	}
	if c.Fleet, err = sockets.Start(config); err != nil {
		return err
	}
	c.Clients = c.Fleet.NewClients()
	c.Drivers, err = c.Fleet.NewDrivers(program, c.dir, drivers, sockets.DefaultLimits, methods, func(i int) string { return operatorText(c, i) })
	if err != nil {
		return err
	}
	return sockets.StartAll(ctx, c.Drivers)
}

// Close stops the drivers and the fleet.
func (c *Cluster) Close() {
	for _, d := range c.Drivers {
		d.Continue()
		d.Kill()
	}
	if c.Clients != nil {
		c.Clients.Close()
	}
	if c.Fleet != nil {
		c.Fleet.Stop()
	}
	os.RemoveAll(c.dir)
}

// utilityTally sums up the utility and the outcomes of RPCs.
type utilityTally struct {
	mu             sync.Mutex
	offeredUtility float64
	earnedUtility  float64
	outcomes       map[sockets.Outcome]int
	rpcs           int
}

func newUtilityTally() *utilityTally { return &utilityTally{outcomes: map[sockets.Outcome]int{}} }

func (t *utilityTally) record(method *sockets.Method, reply sockets.Reply, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rpcs++
	t.offeredUtility += method.Utility
	t.outcomes[reply.Outcome]++
	switch {
	case reply.Outcome != sockets.Served:
	case latency <= method.SoftDeadline:
		t.earnedUtility += method.Utility
	default:
		t.earnedUtility += method.Utility * method.LateShare
	}
}

// utilityShare returns the share of the offered utility that was earned.
func (t *utilityTally) utilityShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.offeredUtility == 0 {
		return 1
	}
	return t.earnedUtility / t.offeredUtility
}

// runOpenLoop makes calls as a Poisson process with the given rate per second until the duration
// has passed or the context ends. The arrivals do not wait for earlier calls to finish.
func runOpenLoop(ctx context.Context, rng *rand.Rand, rate float64, duration time.Duration, call func()) {
	interval := distuv.Exponential{Rate: rate, Src: rng}
	var running sync.WaitGroup
	start, next := time.Now(), time.Duration(0)
	for {
		next += time.Duration(interval.Rand() * float64(time.Second))
		if next >= duration {
			break
		}
		if wait := time.Until(start.Add(next)); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		running.Add(1)
		go func() { defer running.Done(); call() }()
	}
	running.Wait()
}

// zipfTenants draws tenants by Zipf's law; the first is the most frequent.
type zipfTenants struct {
	names        []string
	distribution distuv.Categorical
}

func newZipfTenants(names []string, exponent float64, rng *rand.Rand) *zipfTenants {
	weights := make([]float64, len(names))
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), exponent)
	}
	return &zipfTenants{names: names, distribution: distuv.NewCategorical(weights, rng)}
}

func (s *zipfTenants) next() string { return s.names[int(s.distribution.Rand())] }

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *lockedRand) float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// markdownTable formats a Markdown table.
func markdownTable(head []string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}
