package trials

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/sockets"
)

// ClientFlood is a trial in which some clients send at full speed to a driver while usual clients go on. Usual
// clients keep a connection each and ask one request after another.
type ClientFlood struct {
	Program      string
	Seed         uint64
	Limits       sockets.Limits
	UsualClients int
	FloodClients int
	Form         FloodForm
	Calm, Flood  time.Duration // before the flood, and with it
}

// ClientFloodResult is what the usual clients saw, before the flood and during it.
type ClientFloodResult struct {
	Calm, Flood  RequestTally
	PeakMemoryMB int
	// SentAfterClose counts statements that a member got later than disconnectSlack after their client had
	// closed its connection.
	SentAfterClose int
	Silences       int    // how often a member was taken for silent; all members answer throughout
	Log            string // of the driver
}

// RequestTally counts requests of usual clients by what became of them.
type RequestTally struct {
	Served     int
	Refused    int           // answered that trying again is harmless
	Failed     int           // answered otherwise
	Late       int           // answered later than lateSlack after the time that the client waits
	Unanswered int           // not answered at all
	Ended      int           // their connection ended with no answer, later than a crossing explains
	Crossed    int           // their connection ended as they were sent; sent again on a new connection
	P99        time.Duration // of the latency of what was answered
}

// Lost returns how many requests broke the rule that each gets one final answer in its time.
func (t RequestTally) Lost() int { return t.Late + t.Unanswered + t.Ended }

// total returns the number of requests.
func (t RequestTally) total() int { return t.Served + t.Refused + t.Failed + t.Unanswered + t.Ended }

const (
	usualTimeout    = 610 * time.Millisecond // that a usual client waits
	usualPause      = 30 * time.Millisecond  // of a usual client, between an answer and its next request
	lateSlack       = 550 * time.Millisecond // after the time of a request, until it counts as lost
	crossingSlack   = 100 * time.Millisecond // for a request that crosses the end of its connection
	disconnectSlack = 150 * time.Millisecond // for an attempt that began as its client closed
	unansweredAfter = 3 * time.Second
)

var floodTrialMethods = []sockets.Method{
	{Name: "put", Effect: "once", ReadLevel: "update", SoftDeadline: 200 * time.Millisecond, Timeout: usualTimeout, Utility: 5, LateShare: 0.5},
	{Name: "get", Effect: "repeatable", ReadLevel: "loose", SoftDeadline: 200 * time.Millisecond, Timeout: usualTimeout, Utility: 2, LateShare: 0.5},
}

// fleetConfig returns a fleet of one group that has capacity to spare for the usual clients.
func (f *ClientFlood) fleetConfig() emulator.Config {
	return emulator.Config{Groups: 1, Members: 5, Cores: 64, QueueLimit: 1000, ServiceTime: int64(20 * time.Millisecond),
		ReplicaLag: int64(10 * time.Millisecond), Seed: f.Seed}
}

// Run runs the trial.
func (f *ClientFlood) Run(ctx context.Context) (*ClientFloodResult, error) {
	dir, err := os.MkdirTemp("", "sedgespread-trial")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	fleet, err := sockets.Start(f.fleetConfig())
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	closes := &closeRecord{closedAt: map[string]time.Time{}}
	fleet.OnArrival(closes.recordArrival)
	drivers, err := fleet.NewDrivers(f.Program, dir, 1, f.Limits, floodTrialMethods, func(int) string { return "" })
	if err != nil {
		return nil, err
	}
	if err := sockets.StartAll(ctx, drivers); err != nil {
		return nil, err
	}
	defer drivers[0].Kill()
	return f.play(ctx, drivers[0], closes)
}

// play lets the usual clients and the flood run against a driver that has started.
func (f *ClientFlood) play(ctx context.Context, driver *sockets.Driver, closes *closeRecord) (*ClientFloodResult, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	var tallies [2]requestRecord // calm, flood
	var phase atomic.Int32
	for n := range f.UsualClients {
		client := &usualClient{address: driver.Address, name: fmt.Sprintf("u%d", n), rng: rand.New(rand.NewPCG(f.Seed, uint64(n)))}
		running.Go(func() { client.run(ctx, func() *requestRecord { return &tallies[phase.Load()] }) })
	}
	running.Go(func() { driver.WatchMemory(ctx) })
	sleep(ctx, f.Calm)
	phase.Store(1)
	for n := range f.FloodClients {
		client := &floodClient{address: driver.Address, name: fmt.Sprintf("f%d", n), form: f.Form, closes: closes}
		running.Go(func() { client.run(ctx) })
	}
	sleep(ctx, f.Flood)
	stop()
	running.Wait()
	if !driver.IsRunning() {
		return nil, fmt.Errorf("the driver has ended: %s", driver.Log())
	}
	return &ClientFloodResult{Calm: tallies[0].tally(), Flood: tallies[1].tally(), PeakMemoryMB: driver.PeakMemory(),
		SentAfterClose: closes.late(), Silences: strings.Count(driver.Log(), "silent member="), Log: driver.Log()}, nil
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// closeRecord relates statements at members to the time when their clients closed, by the prefix of their ids.
type closeRecord struct {
	mu        sync.Mutex
	closedAt  map[string]time.Time
	lateCount int
}

// recordClose records that the client whose ids begin with prefix and a dash has closed its connection.
func (r *closeRecord) recordClose(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closedAt[prefix] = time.Now()
}

// recordArrival is called for each statement that a member receives.
func (r *closeRecord) recordArrival(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if closedAt, hasClosed := r.closedAt[idPrefix(id)]; hasClosed && time.Since(closedAt) > disconnectSlack {
		r.lateCount++
	}
}

func (r *closeRecord) late() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateCount
}

// requestRecord collects requests of usual clients.
type requestRecord struct {
	mu        sync.Mutex
	counts    RequestTally
	latencies []time.Duration
}

// add records one request.
func (r *requestRecord) add(end requestEnd, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch end {
	case requestServed:
		r.counts.Served++
	case requestRefused:
		r.counts.Refused++
	case requestFailed:
		r.counts.Failed++
	case requestUnanswered:
		r.counts.Unanswered++
		return
	case requestEnded:
		r.counts.Ended++
		return
	case requestCrossed:
		r.counts.Crossed++
		return
	}
	r.latencies = append(r.latencies, latency)
	if latency > usualTimeout+lateSlack {
		r.counts.Late++
	}
}

// tally returns the counts with the 99th percentile of the latencies.
func (r *requestRecord) tally() RequestTally {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.counts
	if slices.Sort(r.latencies); len(r.latencies) > 0 {
		tally.P99 = r.latencies[len(r.latencies)*99/100]
	}
	return tally
}
