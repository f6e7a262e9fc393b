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
	life  context.Context
	die   context.CancelFunc
	tasks errgroup.Group

	mu      sync.Mutex
	weather links.ActiveFaults
	changed chan struct{} // closed when the weather changes
	rng     *rand.Rand
	pairs   map[*pair]bool
	doors   []interface{ Close() error }
	counts  Counts
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
	n := &Network{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 99)), pairs: map[*pair]bool{}}
	n.life, n.die = context.WithCancel(context.Background())
	return n
}

// Close ends all relays and what goes through them.
func (n *Network) Close() {
	n.die()
	n.mu.Lock()
	for _, d := range n.doors {
		d.Close()
	}
	for p := range n.pairs {
		go p.reset()
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

func (n *Network) count(do func(c *Counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(&n.counts)
}

// of is how a way is, and what is closed once that may have changed.
func (n *Network) of(way links.Link) (links.LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.weather.StateOf(way), n.changed
}

// later is when what is sent now arrives.
func (n *Network) later(s links.LinkState) time.Time {
	due := time.Now().Add(s.Delay)
	if s.Jitter > 0 {
		n.mu.Lock()
		defer n.mu.Unlock()
		due = due.Add(time.Duration(n.rng.Int64N(int64(s.Jitter))))
	}
	return due
}

// chance draws whether something with a share happens.
func (n *Network) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < share
}

// Begin lets a trouble of links begin.
func (n *Network) Begin(e links.Event) {
	switch e.Fault {
	case links.Reset:
		n.each(e.Link, func(p *pair) { p.reset() })
		return
	case links.Truncate:
		n.each(e.Link, func(p *pair) { p.chop(e.Link, int64(e.Amount)) })
		return
	}
	n.mu.Lock()
	n.weather.Add(e)
	n.change()
	n.mu.Unlock()
	if e.Fault == links.Cut {
		n.each(e.Link, func(p *pair) { p.reset() })
	}
}

// End ends it.
func (n *Network) End(e links.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.weather.Remove(e)
	n.change()
}

func (n *Network) change() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// each does something to all connections that a way is a direction of.
func (n *Network) each(way links.Link, do func(p *pair)) {
	n.mu.Lock()
	var hit []*pair
	for p := range n.pairs {
		if way.Matches(p.way) || way.Matches(p.way.Reverse()) {
			hit = append(hit, p)
		}
	}
	n.mu.Unlock()
	for _, p := range hit {
		do(p)
	}
}

// RelayTCP gives the address at which the connections of one process to another are taken on their way to where that is.
func (n *Network) RelayTCP(way links.Link, target string) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.keep(l)
	n.tasks.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			n.tasks.Go(func() error { n.join(way, c.(*net.TCPConn), target); return nil })
		}
	})
	return l.Addr().String(), nil
}

func (n *Network) keep(door interface{ Close() error }) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.doors = append(n.doors, door)
}

const connectWithin = time.Second

// cut tells whether a link is cut in either direction.
func (n *Network) cut(way links.Link) bool {
	there, _ := n.of(way)
	answers, _ := n.of(way.Reverse())
	return there.Cut || answers.Cut
}

// join joins a connection to its target, unless the link is cut.
func (n *Network) join(way links.Link, c *net.TCPConn, target string) {
	d, err := net.Conn(nil), error(net.ErrClosed)
	if !n.cut(way) {
		d, err = (&net.Dialer{Timeout: connectWithin}).DialContext(n.life, "tcp", target)
	}
	if err != nil {
		n.count(func(k *Counts) { k.Refused++ })
		c.SetLinger(0)
		c.Close()
		return
	}
	p := newPair(n, way, c, d.(*net.TCPConn))
	n.mu.Lock()
	n.pairs[p] = true
	n.counts.Connections++
	n.mu.Unlock()
	if n.cut(way) { // meanwhile
		p.reset()
	}
	p.run()
	n.mu.Lock()
	delete(n.pairs, p)
	n.mu.Unlock()
}
