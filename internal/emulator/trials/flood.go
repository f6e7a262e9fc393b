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

// Flood is a trial in which one tenant's bots flood the cell that they share with others.
type Flood struct {
	Program     string
	Seed        uint64
	Duration    time.Duration // of each side
	Cells       int
	Drivers     int
	FloodFactor float64 // of what the flooded cell can bear
	BaseLoad    float64 // load of all other tenants, as a part of what the fleet can bear
	Tenants     int
	Outage      bool // instead of a flood, no member of the cell answers
}

// fleetConfig is the fleet of a flood: a primary and two replicas a cell.
func (f *Flood) fleetConfig() emulator.Config {
	return emulator.Config{Groups: f.Cells, Members: 3, Cores: 2, QueueLimit: 40, ServiceTime: int64(40 * time.Millisecond), ServiceSigma: 0.3,
		ReplicaLag: int64(10 * time.Millisecond), FillLag: int64(20 * time.Millisecond), Seed: f.Seed}
}

// scenario is how one of the four nights went.
type scenario struct {
	name               string
	hasCells, hasFault bool
	sameCell           *utilityTally // tenants of the flooded cell but for the bots
	otherCells         *utilityTally
	bots               *utilityTally
	botsPerSecond      float64
}

// FloodResult is what a flood showed.
type FloodResult struct {
	Table                  string
	OtherCellsWithCells    float64 // service of the other cells under flood, over that of the same night without, cells on
	OtherCellsWithoutCells float64 // the same with cells off: of the same tenants
	SameCell               float64 // the same of the flooded cell's other tenants
}

const botsTenant = "bots"

// Run plays the four nights, one after another: quiet and flooded, with cells and without.
func (f *Flood) Run(ctx context.Context) (*FloodResult, error) {
	fault := "flood"
	if f.Outage {
		fault = "dark cell"
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
	r.Table = markdownTable([]string{"night", "service of other cells' tenants", "of the flooded cell's others", "of the bots",
		"bots' RPCs a second", "other cells: served, pushed back, aborted, none", "flooded cell's others", "bots"}, rows)
	return r, nil
}

func formatShare(x float64) string { return fmt.Sprintf("%.3f", x) }

func formatOutcomes(t *utilityTally) string {
	return fmt.Sprintf("%d, %d, %d, %d", t.outcomes[sockets.Served], t.outcomes[sockets.Rejected], t.outcomes[sockets.Aborted],
		t.outcomes[sockets.TimedOut]+t.outcomes[sockets.ConnectionLost]+t.outcomes[sockets.ConnectFailed])
}

// operatorText is the operator's file of a flood: every tenant by the prefix of its keys, spread over the cells by turns.
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
	cell := map[string]int{botsTenant: 0}
	names := f.tenantNames()
	for i, tally := range names {
		cell[tally] = i % f.Cells
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
		if cell[tenant] == 0 {
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

// randomRPC draws what a tenant asks: a tenth moves, seven tenths looks at the own moves, the rest of the archive. Where there
// are no cells, keys are spread over all groups.
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

// callWithRetries asks as the usual clients do: pushed back, they come again when they are told to, while there is time.
func (f *Flood) callWithRetries(ctx context.Context, cluster *Cluster, rpc sockets.RPC, random *lockedRand) (reply sockets.Reply) {
	start, timeout := time.Now(), rpc.Timeout
	for {
		d := cluster.Drivers[random.intN(len(cluster.Drivers))]
		reply = cluster.Clients.Call(ctx, d.Address, rpc)
		wait := max(reply.RetryAfter, 10*time.Millisecond)
		if reply.Outcome != sockets.Rejected || time.Since(start)+wait+50*time.Millisecond > timeout {
			return reply
		}
		time.Sleep(wait)
		rpc.Timeout, rpc.IsRetry = timeout-time.Since(start), true
	}
}

// pauseFirstCell lets the members of the first cell stand still for the whole night.
func (f *Flood) pauseFirstCell(cluster *Cluster) {
	cluster.Fleet.WithModel(func(now int64, m *emulator.Fleet) {
		for id := range f.fleetConfig().Members {
			m.PauseUntil(emulator.MemberID(id), now+int64(f.Duration))
		}
	})
}

const botAttempts = 5

// runBots asks as bots do: pushed back, they come again at once, several times.
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
