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

// shape is the fleet of a flood: a primary and two replicas a cell.
func (f *Flood) shape() emulator.Config {
	return emulator.Config{Groups: f.Cells, Members: 3, Cores: 2, QueueLimit: 40, ServiceTime: int64(40 * time.Millisecond), ServiceSigma: 0.3,
		ReplicaLag: int64(10 * time.Millisecond), FillLag: int64(20 * time.Millisecond), Seed: f.Seed}
}

// side is how one of the four nights went.
type side struct {
	name          string
	cells, flood  bool
	inside        *tally // tenants of the flooded cell but for the bots
	outside       *tally
	bots          *tally
	botsPerSecond float64
}

// FloodResult is what a flood showed.
type FloodResult struct {
	Table                  string
	OtherCellsWithCells    float64 // service of the other cells under flood, over that of the same night without, cells on
	OtherCellsWithoutCells float64 // the same with cells off: of the same tenants
	SameCell               float64 // the same of the flooded cell's other tenants
}

const bots = "bots"

// Run plays the four nights, one after another: quiet and flooded, with cells and without.
func (f *Flood) Run(ctx context.Context) (*FloodResult, error) {
	trouble := "flood"
	if f.Outage {
		trouble = "dark cell"
	}
	sides := []*side{{name: "cells, no " + trouble, cells: true}, {name: "cells, " + trouble, cells: true, flood: true},
		{name: "no cells, no " + trouble}, {name: "no cells, " + trouble, flood: true}}
	for _, s := range sides {
		if err := f.night(ctx, s); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	rows := [][]string{}
	for _, s := range sides {
		rows = append(rows, []string{s.name, f3(s.outside.service()), f3(s.inside.service()), f3(s.bots.service()),
			fmt.Sprintf("%.0f", s.botsPerSecond), counts(s.outside), counts(s.inside), counts(s.bots)})
	}
	r := &FloodResult{OtherCellsWithCells: sides[1].outside.service() / sides[0].outside.service(),
		OtherCellsWithoutCells: sides[3].outside.service() / sides[2].outside.service(),
		SameCell:               sides[1].inside.service() / sides[0].inside.service()}
	r.Table = table([]string{"night", "service of other cells' tenants", "of the flooded cell's others", "of the bots",
		"bots' RPCs a second", "other cells: served, pushed back, aborted, none", "flooded cell's others", "bots"}, rows)
	return r, nil
}

func f3(x float64) string { return fmt.Sprintf("%.3f", x) }

func counts(t *tally) string {
	return fmt.Sprintf("%d, %d, %d, %d", t.fates[sockets.Served], t.fates[sockets.Rejected], t.fates[sockets.Aborted],
		t.fates[sockets.TimedOut]+t.fates[sockets.ConnectionLost]+t.fates[sockets.ConnectFailed])
}

// text is the operator's file of a flood: every tenant by the prefix of its keys, spread over the cells by turns.
func (f *Flood) text() string {
	var b strings.Builder
	b.WriteString("cells {\n")
	for c := range f.Cells {
		fmt.Fprintf(&b, "  cell { name: \"c%d\" group: %d }\n", c, c+1)
	}
	b.WriteString("  tenancy {\n    others: \"others\"\n")
	for _, t := range append(f.tenants(), bots) {
		fmt.Fprintf(&b, "    rule { prefix: \"%s/\" tenant: \"%s\" }\n", t, t)
	}
	b.WriteString("  }\n")
	for i, t := range f.tenants() {
		fmt.Fprintf(&b, "  tenant { name: \"%s\" cell: \"c%d\" }\n", t, i%f.Cells)
	}
	fmt.Fprintf(&b, "  tenant { name: \"%s\" cell: \"c0\" }\n", bots)
	fmt.Fprintf(&b, "  budget { rpcs: %d call_outs: %d answer_kib: 8192 lend: 0.5 }\n}\n", 40*f.Cells, 40*f.Cells)
	return b.String()
}

func (f *Flood) tenants() (names []string) {
	for i := range f.Tenants {
		names = append(names, fmt.Sprintf("club%02d", i))
	}
	return names
}

func (f *Flood) night(ctx context.Context, s *side) error {
	text := ""
	if s.cells {
		text = f.text()
	}
	n, err := StartCluster(ctx, f.Program, f.shape(), f.Drivers, func(*Cluster, int) string { return text })
	if err != nil {
		return err
	}
	defer n.Close()
	s.inside, s.outside, s.bots = newTally(), newTally(), newTally()
	cell := map[string]int{bots: 0}
	names := f.tenants()
	for i, t := range names {
		cell[t] = i % f.Cells
	}
	able := f.shape().MemberRate() * float64(f.shape().Members)
	done := make(chan struct{})
	go func() {
		defer close(done)
		switch {
		case s.flood && f.Outage:
			f.dark(n)
		case s.flood:
			f.flood(ctx, n, s, able*f.FloodFactor)
		}
	}()
	chance := &locked{rng: rand.New(rand.NewPCG(f.Seed, 3))}
	draw := newSkewed(names, 0.5, chance.rng)
	arrivals(ctx, rand.New(rand.NewPCG(f.Seed, 2)), able*float64(f.Cells)*f.BaseLoad, f.Duration, func() {
		chance.mu.Lock()
		tenant := draw.next()
		chance.mu.Unlock()
		t := s.outside
		if cell[tenant] == 0 {
			t = s.inside
		}
		m, rpc := f.ask(tenant, chance)
		began := time.Now()
		r := f.patient(ctx, n, rpc, chance)
		t.add(m, r, time.Since(began))
	})
	<-done
	s.botsPerSecond = float64(s.bots.rpcs) / f.Duration.Seconds()
	return ctx.Err()
}

// ask draws what a tenant asks: a tenth moves, seven tenths looks at the own moves, the rest of the archive. Where there
// are no cells, keys are spread over all groups.
func (f *Flood) ask(tenant string, chance *locked) (*sockets.Method, sockets.RPC) {
	key := fmt.Sprintf("%s/%d", tenant, chance.intN(1000))
	m := &archive
	switch x := chance.float(); {
	case x < 0.1:
		m = &move
	case x < 0.8:
		m = &own
	}
	group := int64(xxhash.Sum64String(key)%uint64(f.Cells)) + 1
	return m, sockets.RPC{Method: m.Name, Key: key, Write: m == &move, Group: group, Timeout: m.Timeout}
}

// patient asks as the usual clients do: pushed back, they come again when they are told to, while there is time.
func (f *Flood) patient(ctx context.Context, n *Cluster, rpc sockets.RPC, chance *locked) (r sockets.Reply) {
	begun, whole := time.Now(), rpc.Timeout
	for {
		d := n.Drivers[chance.intN(len(n.Drivers))]
		r = n.Clients.Call(ctx, d.Address, rpc)
		wait := max(r.RetryAfter, 10*time.Millisecond)
		if r.Outcome != sockets.Rejected || time.Since(begun)+wait+50*time.Millisecond > whole {
			return r
		}
		time.Sleep(wait)
		rpc.Timeout, rpc.IsRetry = whole-time.Since(begun), true
	}
}

// dark lets the members of the first cell stand still for the whole night.
func (f *Flood) dark(n *Cluster) {
	n.Fleet.WithModel(func(now int64, m *emulator.Fleet) {
		for id := range f.shape().Members {
			m.PauseUntil(emulator.MemberID(id), now+int64(f.Duration))
		}
	})
}

const botTries = 5

// flood asks as bots do: pushed back, they come again at once, several times.
func (f *Flood) flood(ctx context.Context, n *Cluster, s *side, rate float64) {
	chance := &locked{rng: rand.New(rand.NewPCG(f.Seed, 4))}
	arrivals(ctx, rand.New(rand.NewPCG(f.Seed, 5)), rate, f.Duration, func() {
		m, rpc := f.ask(bots, chance)
		for range botTries {
			began := time.Now()
			r := n.Clients.Call(ctx, n.Drivers[chance.intN(len(n.Drivers))].Address, rpc)
			s.bots.add(m, r, time.Since(began))
			if r.Outcome != sockets.Rejected {
				return
			}
			rpc.IsRetry = true
		}
	})
}
