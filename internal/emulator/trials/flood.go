package trials

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/sockets"
)

// Flood is a trial in which the bots of one tenant overload the cell that they share with other
// tenants.
type Flood struct {
	Program     string
	Seed        uint64
	Duration    time.Duration // of each scenario
	Cells       int
	Drivers     int
	FloodFactor float64 // rate of the bots, as a multiple of the cell's capacity
	BaseLoad    float64 // rate of all other tenants, as a share of the fleet's capacity
	Tenants     int
	Outage      bool // instead of a flood, pause all members of the cell
}

// fleetConfig returns a fleet with a primary and two replicas in each cell.
func (f *Flood) fleetConfig() emulator.Config {
	return emulator.Config{Groups: f.Cells, Members: 3, Cores: 2, QueueLimit: 40, ServiceTime: int64(40 * time.Millisecond), ServiceSigma: 0.3,
		ReplicaLag: int64(10 * time.Millisecond), FillLag: int64(20 * time.Millisecond), Seed: f.Seed}
}

// scenario is one of the four runs of the trial.
type scenario struct {
	name               string
	hasCells, hasFault bool
	sameCell           *utilityTally // tenants of the affected cell except the bots
	otherCells         *utilityTally
	bots               *utilityTally
	botsPerSecond      float64
}

// FloodResult is the result of the trial. Its shares compare the utility of a run with fault to
// that of the run without.
type FloodResult struct {
	Table                  string
	OtherCellsWithCells    float64 // tenants of other cells, with cells configured
	OtherCellsWithoutCells float64 // the same tenants without cells
	SameCell               float64 // other tenants of the affected cell, with cells configured
}

const botsTenant = "bots"

// Run runs the four scenarios one after another: with and without cells, each with and without the
// fault.
func (f *Flood) Run(ctx context.Context) (*FloodResult, error) {
	fault := "flood"
	if f.Outage {
		fault = "outage"
	}
	scenarios := []*scenario{{name: "cells, no " + fault, hasCells: true}, {name: "cells, " + fault, hasCells: true, hasFault: true},
		{name: "no cells, no " + fault}, {name: "no cells, " + fault, hasFault: true}}
	for _, s := range scenarios {
		if err := f.runScenario(ctx, s); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	rows := [][]string{}
	for _, s := range scenarios {
		rows = append(rows, []string{s.name, formatShare(s.otherCells.utilityShare()), formatShare(s.sameCell.utilityShare()), formatShare(s.bots.utilityShare()),
			fmt.Sprintf("%.0f", s.botsPerSecond), formatOutcomes(s.otherCells), formatOutcomes(s.sameCell), formatOutcomes(s.bots)})
	}
	r := &FloodResult{OtherCellsWithCells: scenarios[1].otherCells.utilityShare() / scenarios[0].otherCells.utilityShare(),
		OtherCellsWithoutCells: scenarios[3].otherCells.utilityShare() / scenarios[2].otherCells.utilityShare(),
		SameCell:               scenarios[1].sameCell.utilityShare() / scenarios[0].sameCell.utilityShare()}
	r.Table = markdownTable([]string{"scenario", "utility share of other cells' tenants", "of the affected cell's other tenants", "of the bots",
		"bots' RPCs a second", "other cells: served, rejected, aborted, no answer", "affected cell's other tenants", "bots"}, rows)
	return r, nil
}

func formatShare(x float64) string { return fmt.Sprintf("%.3f", x) }

func formatOutcomes(t *utilityTally) string {
	return fmt.Sprintf("%d, %d, %d, %d", t.outcomes[sockets.Served], t.outcomes[sockets.Rejected], t.outcomes[sockets.Aborted],
		t.outcomes[sockets.TimedOut]+t.outcomes[sockets.ConnectionLost]+t.outcomes[sockets.ConnectFailed])
}

// operatorText returns the operator file: tenants are identified by key prefix and assigned to
// cells round-robin.
func (f *Flood) operatorText() string {
	var b strings.Builder
	b.WriteString("cells {\n")
	for c := range f.Cells {
		fmt.Fprintf(&b, "  cell { name: \"c%d\" group: %d }\n", c, c+1)
	}
	b.WriteString("  tenancy {\n    others: \"others\"\n")
	for _, t := range append(f.tenantNames(), botsTenant) {
		fmt.Fprintf(&b, "    rule { prefix: \"%s/\" tenant: \"%s\" }\n", t, t)
	}
	b.WriteString("  }\n")
	for i, t := range f.tenantNames() {
		fmt.Fprintf(&b, "  tenant { name: \"%s\" cell: \"c%d\" }\n", t, i%f.Cells)
	}
	fmt.Fprintf(&b, "  tenant { name: \"%s\" cell: \"c0\" }\n", botsTenant)
	fmt.Fprintf(&b, "  budget { rpcs: %d call_outs: %d answer_kib: 8192 lend: 0.5 }\n}\n", 40*f.Cells, 40*f.Cells)
	return b.String()
}

func (f *Flood) tenantNames() (names []string) {
	for i := range f.Tenants {
		names = append(names, fmt.Sprintf("club%02d", i))
	}
	return names
}

func (f *Flood) runScenario(ctx context.Context, s *scenario) error {
	text := ""
	if s.hasCells {
		text = f.operatorText()
	}
	cluster, err := StartCluster(ctx, f.Program, f.fleetConfig(), f.Drivers, func(*Cluster, int) string { return text })
	if err != nil {
		return err
	}
	defer cluster.Close()
	s.sameCell, s.otherCells, s.bots = newUtilityTally(), newUtilityTally(), newUtilityTally()
	cellByTenant := map[string]int{botsTenant: 0}
	names := f.tenantNames()
	for i, name := range names {
		cellByTenant[name] = i % f.Cells
	}
	cellRate := f.fleetConfig().MemberRate() * float64(f.fleetConfig().Members)
	done := make(chan struct{})
	go func() {
		defer close(done)
		switch {
		case s.hasFault && f.Outage:
			f.pauseFirstCell(cluster)
		case s.hasFault:
			f.runBots(ctx, cluster, s, cellRate*f.FloodFactor)
		}
	}()
	random := &lockedRand{rng: rand.New(rand.NewPCG(f.Seed, 3))}
	tenants := newZipfTenants(names, 0.5, random.rng)
	runOpenLoop(ctx, rand.New(rand.NewPCG(f.Seed, 2)), cellRate*float64(f.Cells)*f.BaseLoad, f.Duration, func() {
		random.mu.Lock()
		tenant := tenants.next()
		random.mu.Unlock()
		tally := s.otherCells
		if cellByTenant[tenant] == 0 {
			tally = s.sameCell
		}
		method, rpc := f.randomRPC(tenant, random)
		start := time.Now()
		reply := f.callWithRetries(ctx, cluster, rpc, random)
		tally.record(method, reply, time.Since(start))
	})
	<-done
	s.botsPerSecond = float64(s.bots.rpcs) / f.Duration.Seconds()
	return ctx.Err()
}

// randomRPC draws an RPC of a tenant: 10 % writes, 70 % reads of own writes, 20 % archive reads.
// The group matters only without cells, where it spreads keys over all groups.
func (f *Flood) randomRPC(tenant string, random *lockedRand) (*sockets.Method, sockets.RPC) {
	key := fmt.Sprintf("%s/%d", tenant, random.intN(1000))
	method := &archiveMethod
	switch x := random.float64(); {
	case x < 0.1:
		method = &putMethod
	case x < 0.8:
		method = &getOwnMethod
	}
	group := int64(xxhash.Sum64String(key)%uint64(f.Cells)) + 1
	return method, sockets.RPC{Method: method.Name, Key: key, Write: method == &putMethod, Group: group, Timeout: method.Timeout}
}

const (
	minRetryDelay  = 10 * time.Millisecond
	minAttemptTime = 50 * time.Millisecond // no retry if less time would be left for it
)

// callWithRetries calls like a well-behaved client: a rejected RPC is retried after the requested
// delay while time is left.
func (f *Flood) callWithRetries(ctx context.Context, cluster *Cluster, rpc sockets.RPC, random *lockedRand) (reply sockets.Reply) {
	start, timeout := time.Now(), rpc.Timeout
	for {
		driver := cluster.Drivers[random.intN(len(cluster.Drivers))]
		reply = cluster.Clients.Call(ctx, driver.Address, rpc)
		wait := max(reply.RetryAfter, minRetryDelay)
		if reply.Outcome != sockets.Rejected || time.Since(start)+wait+minAttemptTime > timeout {
			return reply
		}
		time.Sleep(wait)
		rpc.Timeout, rpc.IsRetry = timeout-time.Since(start), true
	}
}

// pauseFirstCell pauses the members of the first cell for the whole run.
func (f *Flood) pauseFirstCell(cluster *Cluster) {
	cluster.Fleet.WithModel(func(now int64, model *emulator.Fleet) {
		for id := range f.fleetConfig().Members {
			model.PauseUntil(emulator.MemberID(id), now+int64(f.Duration))
		}
	})
}

const botAttempts = 5

// runBots calls like bots: a rejected RPC is retried at once, up to botAttempts attempts.
func (f *Flood) runBots(ctx context.Context, cluster *Cluster, s *scenario, rate float64) {
	random := &lockedRand{rng: rand.New(rand.NewPCG(f.Seed, 4))}
	runOpenLoop(ctx, rand.New(rand.NewPCG(f.Seed, 5)), rate, f.Duration, func() {
		method, rpc := f.randomRPC(botsTenant, random)
		for range botAttempts {
			start := time.Now()
			reply := cluster.Clients.Call(ctx, cluster.Drivers[random.intN(len(cluster.Drivers))].Address, rpc)
			s.bots.record(method, reply, time.Since(start))
			if reply.Outcome != sockets.Rejected {
				return
			}
			rpc.IsRetry = true
		}
	})
}
