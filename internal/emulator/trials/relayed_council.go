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

// relayedCouncil is a council of the first drivers of a trial. All traffic from drivers and voters
// to voters goes through relays, one per pair.
type relayedCouncil struct {
	network        *relays.Network
	addresses      []string   // of the voters
	relayAddresses [][]string // by driver and voter, the address at which the driver reaches the voter
	dir            string
	player         *relays.Player
}

const tickMs = 20

func driverName(i int) string { return fmt.Sprintf("n%d", i) }

// newRelayedCouncil starts relays between all drivers and the voters, which are the first drivers.
func newRelayedCouncil(seed uint64, addresses []string, drivers int) (*relayedCouncil, error) {
	c := &relayedCouncil{network: relays.New(seed), addresses: addresses}
	c.player = &relays.Player{Network: c.network}
	for i := range drivers {
		var relayAddresses []string
		for v, address := range addresses {
			if v != i {
				var err error
				if address, err = c.network.RelayTCP(links.Link{From: driverName(i), To: driverName(v)}, address); err != nil {
					c.network.Close()
					return nil, err
				}
			}
			relayAddresses = append(relayAddresses, address)
		}
		c.relayAddresses = append(c.relayAddresses, relayAddresses)
	}
	return c, nil
}

// operatorText returns the council section of a driver's operator file.
func (c *relayedCouncil) operatorText(i int) string {
	var b strings.Builder
	b.WriteString("council {\n")
	for v, address := range c.relayAddresses[i] {
		fmt.Fprintf(&b, "  voter { id: %d at: \"%s\" }\n", v+1, address)
	}
	fmt.Fprintf(&b, "  tick_ms: %d\n", tickMs)
	if i < len(c.addresses) {
		fmt.Fprintf(&b, "  id: %d\n  disk: \"%s\"\n", i+1, filepath.Join(c.dir, driverName(i)+".council"))
	}
	b.WriteString("}\n")
	return b.String()
}

// faultSpecs describes the random faults of the links from drivers and voters to voters.
func (c *relayedCouncil) faultSpecs() []links.FaultSpec {
	var all, voters []string
	for i := range c.relayAddresses {
		all = append(all, driverName(i))
	}
	voters = all[:len(c.addresses)]
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

const linkFaultSpan = 20 * time.Second // length of one generated timeline

// playFaults plays random faults of links until the context ends.
func (c *relayedCouncil) playFaults(ctx context.Context, seed uint64) {
	for round := uint64(0); ctx.Err() == nil; round++ {
		c.player.Play(ctx, links.Draw(seed<<16+round, linkFaultSpan, c.faultSpecs()))
	}
}

// addFaultCounts adds the number of link faults by type.
func (c *relayedCouncil) addFaultCounts(faults map[string]int) {
	for fault, n := range c.player.FaultCounts() {
		faults["a link: "+fault.String()] += n
	}
}
