// Package trials plays incidents on an emulated fleet with real drivers before it, and measures how they go.
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

// Methods of the trials: a player's move, a look at the own moves, and the archive.
var (
	move    = sockets.Method{Name: "put", Effect: "once", ReadLevel: "update", SoftDeadline: 400 * time.Millisecond, Timeout: 2 * time.Second, Utility: 5, LateShare: 0.3}
	own     = sockets.Method{Name: "get-own", Effect: "repeatable", ReadLevel: "own_writes", SoftDeadline: 400 * time.Millisecond, Timeout: 2 * time.Second, Utility: 2, LateShare: 0.3}
	archive = sockets.Method{Name: "archive", Effect: "repeatable", ReadLevel: "loose", SoftDeadline: 800 * time.Millisecond, Timeout: 2 * time.Second, Utility: 1, LateShare: 0.5}
	methods = []sockets.Method{move, own, archive}
)

// Cluster is a fleet with drivers and clients, for one side of a trial.
type Cluster struct {
	Fleet   *sockets.Fleet
	Drivers []*sockets.Driver
	Clients *sockets.Clients
	dir     string
}

// StartCluster starts a night. The operator's text of a driver is empty for none.
func StartCluster(ctx context.Context, program string, s emulator.Config, drivers int, text func(n *Cluster, i int) string) (*Cluster, error) {
	n := &Cluster{}
	if err := n.open(ctx, program, s, drivers, text); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Cluster) open(ctx context.Context, program string, s emulator.Config, drivers int, text func(n *Cluster, i int) string) (err error) {
	if n.dir, err = os.MkdirTemp("", "sedgespread-trial"); err != nil {
		return err
	}
	if n.Fleet, err = sockets.Start(s); err != nil {
		return err
	}
	n.Clients = n.Fleet.NewClients()
	n.Drivers, err = n.Fleet.NewDrivers(program, n.dir, drivers, methods, func(i int) string { return text(n, i) })
	if err != nil {
		return err
	}
	return sockets.StartAll(ctx, n.Drivers)
}

// Close ends a night.
func (n *Cluster) Close() {
	for _, d := range n.Drivers {
		d.Continue()
		d.Kill()
	}
	if n.Clients != nil {
		n.Clients.Close()
	}
	if n.Fleet != nil {
		n.Fleet.Stop()
	}
	os.RemoveAll(n.dir)
}

// tally counts what came of RPCs.
type tally struct {
	mu      sync.Mutex
	offered float64 // utility
	got     float64
	fates   map[sockets.Outcome]int
	rpcs    int
}

func newTally() *tally { return &tally{fates: map[sockets.Outcome]int{}} }

func (t *tally) add(m *sockets.Method, r sockets.Reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rpcs++
	t.offered += m.Utility
	t.fates[r.Outcome]++
	switch {
	case r.Outcome != sockets.Served:
	case took <= m.SoftDeadline:
		t.got += m.Utility
	default:
		t.got += m.Utility * m.LateShare
	}
}

// service is the part of the utility that was had.
func (t *tally) service() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.offered == 0 {
		return 1
	}
	return t.got / t.offered
}

// arrivals calls each arrival of a Poisson process at so many a second until the context ends or a time has passed. What
// is done for one does not hold the next up: an open loop.
func arrivals(ctx context.Context, rng *rand.Rand, rate float64, span time.Duration, each func()) {
	gap := distuv.Exponential{Rate: rate, Src: rng}
	var open sync.WaitGroup
	begun, next := time.Now(), time.Duration(0)
	for {
		next += time.Duration(gap.Rand() * float64(time.Second))
		if next >= span {
			break
		}
		if wait := time.Until(begun.Add(next)); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		open.Add(1)
		go func() { defer open.Done(); each() }()
	}
	open.Wait()
}

// skewed draws tenants by Zipf's law: the first comes most often.
type skewed struct {
	names []string
	draw  distuv.Categorical
}

func newSkewed(names []string, skew float64, rng *rand.Rand) *skewed {
	weights := make([]float64, len(names))
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), skew)
	}
	return &skewed{names: names, draw: distuv.NewCategorical(weights, rng)}
}

func (s *skewed) next() string { return s.names[int(s.draw.Rand())] }

// locked makes a source of chances that many may use.
type locked struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *locked) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *locked) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// table lays out Markdown.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | "))
	}
	return b.String()
}
