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

// relayedCouncil is a council among the first drivers of a trial. All that drivers and voters say to voters goes through relays,
// one for each two of them.
type relayedCouncil struct {
	network        *relays.Network
	addresses      []string   // of voters
	relayAddresses [][]string // by driver and voter, where that driver reaches that voter
	dir            string
	player         *relays.Player
}

const tickMs = 20

func driverName(i int) string { return fmt.Sprintf("n%d", i) }

// newRelayedCouncil lays the relays between so many drivers and the voters at some addresses, which are the first drivers.
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

// operatorText is what the operator's file of driver i says of the council.
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

// faultSpecs are the troubles of links between drivers and voters, and between voters.
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

const linkFaultSpan = 20 * time.Second // for which troubles are drawn at once

// playFaults lets links fail until the context ends.
func (c *relayedCouncil) playFaults(ctx context.Context, seed uint64) {
	for round := uint64(0); ctx.Err() == nil; round++ {
		c.player.Play(ctx, links.Draw(seed<<16+round, linkFaultSpan, c.faultSpecs()))
	}
}

// addFaultCounts adds what befell links.
func (c *relayedCouncil) addFaultCounts(faults map[string]int) {
	for what, n := range c.player.FaultCounts() {
		faults["a link: "+what.String()] += n
	}
}
