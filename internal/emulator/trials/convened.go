package trials

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"sedgespread/internal/emulator/links"
	"sedgespread/internal/emulator/links/relays"
)

// convened is a council among the first drivers of a trial. All that drivers and voters say to voters goes through relays,
// one for each two of them.
type convened struct {
	net    *relays.Network
	at     []string   // of voters
	paths  [][]string // by driver and voter, where that driver reaches that voter
	dir    string
	player *relays.Player
}

const tickMs = 20

func driverName(i int) string { return fmt.Sprintf("n%d", i) }

// convene lays the relays between so many drivers and the voters at some addresses, which are the first drivers.
func convene(seed uint64, at []string, drivers int) (*convened, error) {
	c := &convened{net: relays.New(seed), at: at}
	c.player = &relays.Player{Network: c.net}
	for i := range drivers {
		var paths []string
		for v, address := range at {
			if v != i {
				var err error
				if address, err = c.net.RelayTCP(links.Link{From: driverName(i), To: driverName(v)}, address); err != nil {
					c.net.Close()
					return nil, err
				}
			}
			paths = append(paths, address)
		}
		c.paths = append(c.paths, paths)
	}
	return c, nil
}

// text is what the operator's file of driver i says of the council.
func (c *convened) text(i int) string {
	var b strings.Builder
	b.WriteString("council {\n")
	for v, at := range c.paths[i] {
		fmt.Fprintf(&b, "  voter { id: %d at: \"%s\" }\n", v+1, at)
	}
	fmt.Fprintf(&b, "  tick_ms: %d\n", tickMs)
	if i < len(c.at) {
		fmt.Fprintf(&b, "  id: %d\n  disk: \"%s\"\n", i+1, filepath.Join(c.dir, driverName(i)+".council"))
	}
	b.WriteString("}\n")
	return b.String()
}

// kinds are the troubles of links between drivers and voters, and between voters.
func (c *convened) kinds() []links.FaultSpec {
	var all, voters []string
	for i := range c.paths {
		all = append(all, driverName(i))
	}
	voters = all[:len(c.at)]
	const ms = time.Millisecond
	return []links.FaultSpec{
		{Fault: links.Delay, MeanInterval: 4 * time.Second, From: all, To: voters, MinDuration: 300 * ms, MaxDuration: 1500 * ms, Amount: 0.005, MaxAmount: 0.06, Jitter: 0.02},
		{Fault: links.Silent, MeanInterval: 5 * time.Second, From: all, To: voters, MinDuration: 200 * ms, MaxDuration: 1500 * ms},
		{Fault: links.Silent, MeanInterval: 9 * time.Second, From: voters, To: voters, BothDirections: true, MinDuration: 200 * ms, MaxDuration: 1500 * ms},
		{Fault: links.Silent, MeanInterval: 13 * time.Second, From: voters, To: []string{"*"}, BothDirections: true, MinDuration: 200 * ms, MaxDuration: 1200 * ms},
		{Fault: links.Cut, MeanInterval: 6 * time.Second, From: all, To: voters, MinDuration: 100 * ms, MaxDuration: 1000 * ms},
		{Fault: links.Throttle, MeanInterval: 8 * time.Second, From: all, To: voters, MinDuration: 300 * ms, MaxDuration: time.Second, Amount: 2000, MaxAmount: 20000},
		{Fault: links.Reset, MeanInterval: 3 * time.Second, From: all, To: voters},
		{Fault: links.Truncate, MeanInterval: 4 * time.Second, From: all, To: voters, Amount: 1, MaxAmount: 400},
	}
}

const linkSpan = 20 * time.Second // for which troubles are drawn at once

// troubles lets links fail until the context ends.
func (c *convened) troubles(ctx context.Context, seed uint64) {
	for round := uint64(0); ctx.Err() == nil; round++ {
		c.player.Play(ctx, links.Draw(seed<<16+round, linkSpan, c.kinds()))
	}
}

// befell adds what befell links.
func (c *convened) befell(faults map[string]int) {
	for what, n := range c.player.FaultCounts() {
		faults["a link: "+what.String()] += n
	}
}
