// Package relays stands between processes on loopback and does to their connections and datagrams what a timeline says:
// every link between two named processes goes through one of its relays, each direction apart.
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

// Network is all relays of a trial.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  errgroup.Group

	mu          sync.Mutex
	faults      links.ActiveFaults
	changed     chan struct{} // closed when the weather changes
	rng         *rand.Rand
	connections map[*connection]bool
	listeners   []interface{ Close() error }
	counts      Counts
}

// Counts are what was done to bytes, so that a trial can tell that its troubles took place.
type Counts struct {
	Connections, Refused, Reset, Truncated int
	Datagrams, Lost, Duplicated, Reordered int
	Held                                   time.Duration // for which bytes were held by silence, over all directions
	Bytes                                  int64
	DatagramBytes                          int64
}

// New makes a net without relays. What is left to chance is drawn from a seed.
func New(seed uint64) *Network {
	n := &Network{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 99)), connections: map[*connection]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close ends all relays and what goes through them.
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

// Counts are those so far.
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

// linkState is how a way is, and what is closed once that may have changed.
func (n *Network) linkState(link links.Link) (links.LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.StateOf(link), n.changed
}

// arrivalTime is when what is sent now arrives.
func (n *Network) arrivalTime(state links.LinkState) time.Time {
	due := time.Now().Add(state.Delay)
	if state.Jitter > 0 {
		n.mu.Lock()
		defer n.mu.Unlock()
		due = due.Add(time.Duration(n.rng.Int64N(int64(state.Jitter))))
	}
	return due
}

// happens draws whether something with a share happens.
func (n *Network) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

// Begin lets a trouble of links begin.
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

// End ends it.
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

// forEachConnection does something to all connections that a way is a direction of.
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

// RelayTCP gives the address at which the connections of one process to another are taken on their way to where that is.
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

// isCut tells whether a link is cut in either direction.
func (n *Network) isCut(link links.Link) bool {
	forward, _ := n.linkState(link)
	reverse, _ := n.linkState(link.Reverse())
	return forward.Cut || reverse.Cut
}

// relayConnection joins a connection to its target, unless the link is cut.
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
	if n.isCut(link) { // meanwhile
		c.reset()
	}
	c.run()
	n.mu.Lock()
	delete(n.connections, c)
	n.mu.Unlock()
}
