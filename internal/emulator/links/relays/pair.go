package relays

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/emulator/links"
)

// pair is one connection through a relay: two sockets, and a pipe for each direction.
type pair struct {
	n      *Network
	way    links.Link
	pipes  [2]*pipe // there, and back
	life   context.Context
	die    context.CancelFunc
	socket [2]*net.TCPConn
	once   sync.Once
}

// pipe takes bytes one way.
type pipe struct {
	p        *pair
	way      links.Link
	from, to *net.TCPConn
	queue    chan chunk
	left     atomic.Int64 // bytes until the connection is reset, below 0 for no such end
}

// chunk is bytes on their way; without any it is the end.
type chunk struct {
	bytes []byte
	due   time.Time
}

const (
	chunkBytes = 8 << 10
	mostChunks = 64 // on their way; more stay with the sender, as they do in a socket's buffer
	slowBytes  = 64 // at once where so many a second are let through
)

func newPair(n *Network, way links.Link, c, d *net.TCPConn) *pair {
	p := &pair{n: n, way: way, socket: [2]*net.TCPConn{c, d}}
	p.life, p.die = context.WithCancel(n.life)
	p.pipes = [2]*pipe{{p: p, way: way, from: c, to: d}, {p: p, way: way.Reverse(), from: d, to: c}}
	for _, k := range p.pipes {
		k.queue = make(chan chunk, mostChunks)
		k.left.Store(-1)
	}
	return p
}

// run passes bytes both ways until both have ended, or one can't go on.
func (p *pair) run() {
	defer func() { p.close(p.life.Err() != nil) }() // one that was ended is reset, whoever comes to it first
	defer context.AfterFunc(p.life, func() { p.close(true) })()
	var both sync.WaitGroup
	for _, k := range p.pipes {
		both.Add(1)
		go k.read()
		go func() {
			defer both.Done()
			if !k.write() {
				p.die()
			}
		}()
	}
	both.Wait()
}

// close closes both sockets, with a reset if asked to.
func (p *pair) close(reset bool) {
	p.once.Do(func() {
		for _, s := range p.socket {
			if reset {
				s.SetLinger(0)
			}
			s.Close()
		}
	})
	p.die()
}

// reset ends the connection at once.
func (p *pair) reset() {
	p.n.count(func(c *Counts) { c.Reset++ })
	p.close(true)
}

// chop lets so many more bytes pass on a way before the connection is reset.
func (p *pair) chop(way links.Link, bytes int64) {
	for _, k := range p.pipes {
		if way.Matches(k.way) {
			k.left.Store(bytes)
		}
	}
}

// read takes bytes in and says when they are due. A sender that ends, or that has gone, is told behind what it sent.
func (k *pipe) read() {
	defer close(k.queue)
	for {
		buffer := make([]byte, chunkBytes)
		got, err := k.from.Read(buffer)
		state, _ := k.p.n.of(k.way)
		if got > 0 && !k.put(chunk{buffer[:got], k.p.n.later(state)}) || err != nil {
			return
		}
	}
}

func (k *pipe) put(c chunk) bool {
	select {
	case k.queue <- c:
		return true
	case <-k.p.life.Done():
		return false
	}
}

// write passes bytes on when they are due, and tells whether the sender's own end was the reason to stop.
func (k *pipe) write() bool {
	for c := range k.queue {
		if !k.wait(time.Until(c.due)) || !k.pass(c.bytes) {
			return false
		}
	}
	if !k.hush() {
		return false
	}
	return k.to.CloseWrite() == nil
}

// wait waits, and tells whether the connection still lives.
func (k *pipe) wait(d time.Duration) bool {
	if d <= 0 {
		return k.p.life.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-k.p.life.Done():
		return false
	}
}

// hush waits while the way is silent, and tells whether the connection still lives.
func (k *pipe) hush() bool {
	begun := time.Now()
	state, changed := k.p.n.of(k.way)
	held := state.Silent
	for state.Silent {
		select {
		case <-changed:
		case <-k.p.life.Done():
			return false
		}
		state, changed = k.p.n.of(k.way)
	}
	if held {
		k.p.n.count(func(c *Counts) { c.Held += time.Since(begun) })
	}
	return k.p.life.Err() == nil
}

// pass sends bytes on as the way lets it.
func (k *pipe) pass(bytes []byte) bool {
	for len(bytes) > 0 {
		if !k.hush() {
			return false
		}
		state, _ := k.p.n.of(k.way)
		most := len(bytes)
		if state.BytesPerSecond > 0 {
			most = min(most, slowBytes)
		}
		left := k.left.Load()
		if left >= 0 {
			most = min(most, int(left))
		}
		if _, err := k.to.Write(bytes[:most]); err != nil {
			return false
		}
		k.p.n.count(func(c *Counts) { c.Bytes += int64(most) })
		bytes = bytes[most:]
		if left >= 0 && k.left.Add(-int64(most)) <= 0 {
			k.p.n.count(func(c *Counts) { c.Truncated++ })
			return false
		}
		if state.BytesPerSecond > 0 && !k.wait(time.Duration(float64(most)/state.BytesPerSecond*float64(time.Second))) {
			return false
		}
	}
	return true
}
