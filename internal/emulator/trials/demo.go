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

// Demo is a small fleet to look at: three cells, two drivers of which the first coordinates, and clients at work.
type Demo struct {
	Program string
	Admin   string // where the first driver answers its operator's commands
	Out     io.Writer
}

const (
	demoCells   = 3
	demoTenants = 6
	demoRate    = 60 // RPCs a second
	demoEvery   = 5 * time.Second
)

func (d *Demo) text(n *Cluster, at string, i int) string {
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
		"    hold_ms: 2000\n    held: 1000\n", at)
	if i == 0 {
		fmt.Fprintf(&b, "    here: true\n    journal: \"%s\"\n    fill_hook: \"%s\"\n", filepath.Join(n.dir, "cells.journal"), n.Fleet.FillHookURL())
	}
	b.WriteString("  }\n}\n")
	return b.String()
}

// Run shows the fleet until the context ends.
func (d *Demo) Run(ctx context.Context) error {
	at, err := sockets.FreeAddresses(1)
	if err != nil {
		return err
	}
	shape := emulator.Config{Groups: demoCells, Members: 3, Cores: 2, QueueLimit: 40, ServiceTime: int64(5 * time.Millisecond), ServiceSigma: 0.4,
		ReplicaLag: int64(20 * time.Millisecond), FillLag: int64(40 * time.Millisecond), Seed: 1}
	n, err := StartCluster(ctx, d.Program, shape, 2, func(n *Cluster, i int) string { return d.text(n, at[0], i) })
	if err != nil {
		return err
	}
	defer n.Close()
	fmt.Fprintf(d.Out, `A fleet of %d cells, each a primary and two replicas, with two drivers before it at %s and %s.
Clients of %d clubs ask %d RPCs a second. In another terminal:

    sedgespread cells list --admin %s
    sedgespread cells show club1 --admin %s
    sedgespread cells move club1 --to c2 --admin %s
    sedgespread cells moves --admin %s
    sedgespread cells plan --explain --admin %s

`, demoCells, n.Drivers[0].Address, n.Drivers[1].Address, demoTenants, demoRate, d.Admin, d.Admin, d.Admin, d.Admin, d.Admin)
	chance := &locked{rng: rand.New(rand.NewPCG(1, 1))}
	for ctx.Err() == nil {
		t := newTally()
		arrivals(ctx, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), demoRate, demoEvery, func() {
			m, key := &own, fmt.Sprintf("club%d/%d", chance.intN(demoTenants), chance.intN(100))
			if chance.intN(4) == 0 {
				m = &move
			}
			rpc := sockets.RPC{Method: m.Name, Key: key, Write: m == &move, Group: 1, Timeout: m.Timeout}
			begun := time.Now()
			r := n.Clients.Call(ctx, n.Drivers[chance.intN(len(n.Drivers))].Address, rpc)
			t.add(m, r, time.Since(begun))
		})
		if ctx.Err() == nil {
			fmt.Fprintf(d.Out, "service %s (served, pushed back, aborted, none: %s)\n", f3(t.service()), counts(t))
		}
	}
	return nil
}
