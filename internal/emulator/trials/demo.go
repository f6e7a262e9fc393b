package trials

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"time"

	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/sockets"
)

// Demo runs a small fleet for demonstration: three cells, two drivers of which the first is the
// coordinator, and clients.
type Demo struct {
	Program string
	Admin   string // admin address of the first driver
	Out     io.Writer
}

const (
	demoCells          = 3
	demoTenants        = 6
	demoRate           = 60 // RPCs per second
	demoReportInterval = 5 * time.Second
)

func (d *Demo) operatorText(cluster *Cluster, coordinator string, i int) string {
	var b strings.Builder
	if i == 0 {
		fmt.Fprintf(&b, "admin { listen: \"%s\" }\n", d.Admin)
	}
	b.WriteString("cells {\n")
	for c := range demoCells {
		fmt.Fprintf(&b, "  cell { name: \"c%d\" group: %d capacity: 300 }\n", c, c+1)
	}
	b.WriteString("  tenancy {\n    others: \"others\"\n")
	for t := range demoTenants {
		fmt.Fprintf(&b, "    rule { prefix: \"club%d/\" tenant: \"club%d\" }\n", t, t)
	}
	fmt.Fprintf(&b, "  }\n  budget { rpcs: 120 call_outs: 120 lend: 0.5 }\n  coordination {\n    at: \"%s\"\n    lease_ms: 3000\n"+
		"    hold_ms: 2000\n    held: 1000\n", coordinator)
	if i == 0 {
		fmt.Fprintf(&b, "    here: true\n    journal: \"%s\"\n    fill_hook: \"%s\"\n", filepath.Join(cluster.dir, "cells.journal"), cluster.Fleet.FillHookURL())
	}
	b.WriteString("  }\n}\n")
	return b.String()
}

// Run runs the demo until the context ends.
func (d *Demo) Run(ctx context.Context) error {
	addresses, err := sockets.FreeAddresses(1)
	if err != nil {
		return err
	}
	config := emulator.Config{Groups: demoCells, Members: 3, Cores: 2, QueueLimit: 40, ServiceTime: int64(5 * time.Millisecond), ServiceSigma: 0.4,
		ReplicaLag: int64(20 * time.Millisecond), FillLag: int64(40 * time.Millisecond), Seed: 1}
	cluster, err := StartCluster(ctx, d.Program, config, 2, func(cluster *Cluster, i int) string { return d.operatorText(cluster, addresses[0], i) })
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(d.Out, `A fleet of %d cells, each a primary and two replicas, and two drivers at %s and %s.
Clients of %d tenants send %d RPCs per second. Try in another terminal:

    sedgespread cells list --admin %s
    sedgespread cells show club1 --admin %s
    sedgespread cells move club1 --to c2 --admin %s
    sedgespread cells moves --admin %s
    sedgespread cells plan --explain --admin %s

`, demoCells, cluster.Drivers[0].Address, cluster.Drivers[1].Address, demoTenants, demoRate, d.Admin, d.Admin, d.Admin, d.Admin, d.Admin)
	random := &lockedRand{rng: rand.New(rand.NewPCG(1, 1))}
	for ctx.Err() == nil {
		tally := newUtilityTally()
		runOpenLoop(ctx, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), demoRate, demoReportInterval, func() {
			method, key := &getOwnMethod, fmt.Sprintf("club%d/%d", random.intN(demoTenants), random.intN(100))
			if random.intN(4) == 0 {
				method = &putMethod
			}
			rpc := sockets.RPC{Method: method.Name, Key: key, Write: method == &putMethod, Group: 1, Timeout: method.Timeout}
			start := time.Now()
			reply := cluster.Clients.Call(ctx, cluster.Drivers[random.intN(len(cluster.Drivers))].Address, rpc)
			tally.record(method, reply, time.Since(start))
		})
		if ctx.Err() == nil {
			fmt.Fprintf(d.Out, "utility share %s (served, rejected, aborted, no answer: %s)\n", formatShare(tally.utilityShare()), formatOutcomes(tally))
		}
	}
	return nil
}
