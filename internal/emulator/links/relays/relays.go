// Package relays applies the faults of package links to TCP connections and datagrams between
// processes on loopback. Each link between two named processes goes through a relay of its own.
package relays

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sedgespread/internal/emulator/links"
)

// Network is the set of relays of a trial.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  errgroup.Group

	mu          sync.Mutex
	faults      links.ActiveFaults
	changed     chan struct{} // closed when the active faults change
	rng         *rand.Rand
	connections map[*connection]bool
	listeners   []interface{ Close() error }
	counts      Counts
}

// Counts are totals of what the relays did, from which a trial can tell that its faults took
// effect.
type Counts struct {
	Connections, Refused, Reset, Truncated int
	Datagrams, Lost, Duplicated, Reordered int
	Held                                   time.Duration // time for which data was held by silent links, summed over all streams
	Bytes                                  int64
	DatagramBytes                          int64
}

// New returns a network without relays. Random decisions are drawn from the seed.
func New(seed uint64) *Network {
	n := &Network{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 99)), connections: map[*connection]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close closes all relays and their connections.
func (n *Network) Close() {
	n.cancel()
	n.mu.Lock()
	for _, listener := range n.listeners {
		listener.Close()
	}
	for c := range n.connections {
		go c.reset()
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// Counts returns the totals so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

func (n *Network) updateCounts(update func(c *Counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	update(&n.counts)
}

// linkState returns the state of a link and a channel that is closed when the state may have
// changed.
func (n *Network) linkState(link links.Link) (links.LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.StateOf(link), n.changed
}

// arrivalTime returns the time at which data that is sent now arrives.
func (n *Network) arrivalTime(state links.LinkState) time.Time {
	due := time.Now().Add(state.Delay)
	if state.Jitter > 0 {
		n.mu.Lock()
		defer n.mu.Unlock()
		due = due.Add(time.Duration(n.rng.Int64N(int64(state.Jitter))))
	}
	return due
}

// happens returns true with the given probability.
func (n *Network) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

// Begin starts a fault of links.
func (n *Network) Begin(e links.Event) {
	switch e.Fault {
	case links.Reset:
		n.forEachConnection(e.Link, func(c *connection) { c.reset() })
		return
	case links.Truncate:
		n.forEachConnection(e.Link, func(c *connection) { c.truncateAfter(e.Link, int64(e.Amount)) })
		return
	}
	n.mu.Lock()
	n.faults.Add(e)
	n.notifyChange()
	n.mu.Unlock()
	if e.Fault == links.Cut {
		n.forEachConnection(e.Link, func(c *connection) { c.reset() })
	}
}

// End ends a fault of links.
func (n *Network) End(e links.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.Remove(e)
	n.notifyChange()
}

func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// forEachConnection calls a function for each connection that has a direction matching the link.
func (n *Network) forEachConnection(link links.Link, do func(c *connection)) {
	n.mu.Lock()
	var matching []*connection
	for c := range n.connections {
		if link.Matches(c.link) || link.Matches(c.link.Reverse()) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		do(c)
	}
}

// RelayTCP starts a relay for the connections of a link and returns the address to connect to.
func (n *Network) RelayTCP(link links.Link, target string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.addListener(listener)
	n.tasks.Go(func() error {
		for {
			client, err := listener.Accept()
			if err != nil {
				return nil
			}
			n.tasks.Go(func() error { n.relayConnection(link, client.(*net.TCPConn), target); return nil })
		}
	})
	return listener.Addr().String(), nil
}

func (n *Network) addListener(listener interface{ Close() error }) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, listener)
}

const connectTimeout = time.Second

// isCut reports whether a link is cut in either direction.
func (n *Network) isCut(link links.Link) bool {
	forward, _ := n.linkState(link)
	reverse, _ := n.linkState(link.Reverse())
	return forward.Cut || reverse.Cut
}

// relayConnection connects a client to its target and forwards data, unless the link is cut.
func (n *Network) relayConnection(link links.Link, client *net.TCPConn, target string) {
	server, err := net.Conn(nil), error(net.ErrClosed)
	if !n.isCut(link) {
		server, err = (&net.Dialer{Timeout: connectTimeout}).DialContext(n.ctx, "tcp", target)
	}
	if err != nil {
		n.updateCounts(func(counts *Counts) { counts.Refused++ })
		client.SetLinger(0)
		client.Close()
		return
	}
	c := newConnection(n, link, client, server.(*net.TCPConn))
	n.mu.Lock()
	n.connections[c] = true
	n.counts.Connections++
	n.mu.Unlock()
	if n.isCut(link) { // the link may have been cut while connecting
		c.reset()
	}
	c.run()
	n.mu.Lock()
	delete(n.connections, c)
	n.mu.Unlock()
}
