// Package gossip detects unreachable drivers with memberlist (SWIM), independently of the council. Drivers
// report them to the council, which treats the reports as hints: correctness does not depend on them.
package gossip

import (
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Gossiper is a driver's participation in the gossip.
type Gossiper struct {
	list          *memberlist.Memberlist
	seeds         []string
	probeInterval time.Duration
	log           logrus.FieldLogger

	mu          sync.Mutex
	isLeaving   bool
	unreachable map[string]bool // peers that became unreachable without announcing that they leave
}

const (
	leavingMeta         = "leaves" // node metadata of a driver that leaves
	leaveTimeout        = 300 * time.Millisecond
	suspicionMultiplier = 4 // memberlist's SuspicionMult
	gossipsPerProbe     = 5 // gossip rounds per probe interval
	nameReclaimProbes   = 2 // probe intervals until a dead driver's name may be used at another address
)

// Listen begins to answer peers at an address, over TCP and UDP, and to probe them at an interval. Run
// then joins the seeds.
func Listen(name, address string, seeds []string, probeInterval time.Duration, log logrus.FieldLogger) (*Gossiper, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	g := &Gossiper{seeds: slices.DeleteFunc(slices.Clone(seeds), func(f string) bool { return f == address }), probeInterval: probeInterval, log: log, unreachable: map[string]bool{}}
	config := memberlist.DefaultLANConfig()
	config.Name, config.BindAddr, config.BindPort, config.AdvertiseAddr, config.AdvertisePort = name, host, port, host, port
	config.ProbeInterval, config.ProbeTimeout, config.GossipInterval, config.SuspicionMult = probeInterval, probeInterval/2, probeInterval/gossipsPerProbe, suspicionMultiplier
	config.DeadNodeReclaimTime, config.EnableCompression = nameReclaimProbes*probeInterval, false
	config.Events, config.Conflict, config.Delegate, config.LogOutput = g, g, nodeDelegate{g}, io.Discard
	g.list, err = memberlist.Create(config)
	return g, err
}

// Run joins the seeds until the context ends, and then announces that this driver leaves.
func (g *Gossiper) Run(ctx context.Context) {
	g.keepJoined(ctx)
	g.leave()
	g.list.Shutdown()
}

// leave announces that this driver leaves. The metadata is needed because memberlist notifies peers alike
// of nodes that left and nodes that died.
func (g *Gossiper) leave() {
	g.mu.Lock()
	g.isLeaving = true
	g.mu.Unlock()
	g.list.UpdateNode(leaveTimeout)
	g.list.Leave(leaveTimeout)
}

// keepJoined joins the seeds whenever no peer is known.
func (g *Gossiper) keepJoined(ctx context.Context) {
	ticker := time.NewTicker(g.probeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if len(g.seeds) > 0 && g.list.NumMembers() < 2 {
			g.list.Join(g.seeds) // unreachable seeds are retried
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Unreachable returns the peers that have become unreachable, sorted.
func (g *Gossiper) Unreachable() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range g.unreachable {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NotifyJoin marks a peer as reachable.
func (g *Gossiper) NotifyJoin(n *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unreachable, n.Name)
}

// NotifyLeave marks a peer as unreachable, unless it has announced that it leaves.
func (g *Gossiper) NotifyLeave(n *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if string(n.Meta) == leavingMeta {
		delete(g.unreachable, n.Name)
		return
	}
	g.unreachable[n.Name] = true
}

// NotifyUpdate does nothing: changes of metadata are evaluated in NotifyLeave.
func (g *Gossiper) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict logs that two peers use one name. The council decides which of them owns it.
func (g *Gossiper) NotifyConflict(existing, other *memberlist.Node) {
	g.log.WithFields(logrus.Fields{"of": existing.Name, "at": existing.Address(), "other": other.Address()}).Warn("two drivers use the same name")
}

// nodeDelegate provides the node metadata, which is empty until the driver leaves.
type nodeDelegate struct{ gossiper *Gossiper }

// NodeMeta returns the metadata sent to peers.
func (d nodeDelegate) NodeMeta(int) []byte {
	d.gossiper.mu.Lock()
	defer d.gossiper.mu.Unlock()
	if d.gossiper.isLeaving {
		return []byte(leavingMeta)
	}
	return nil
}

// NotifyMsg does nothing: there are no user messages.
func (nodeDelegate) NotifyMsg([]byte) {}

// GetBroadcasts returns nothing: there are no user messages.
func (nodeDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: no state is exchanged.
func (nodeDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing: no state is exchanged.
func (nodeDelegate) MergeRemoteState([]byte, bool) {}
