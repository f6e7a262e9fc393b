package relays

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/emulator/links"
)

// connection is one connection through a relay: two sockets with a stream in each direction.
type connection struct {
	network   *Network
	link      links.Link
	streams   [2]*stream // from client to server, and back
	ctx       context.Context
	cancel    context.CancelFunc
	sockets   [2]*net.TCPConn
	closeOnce sync.Once
}

// stream carries bytes in one direction.
type stream struct {
	connection *connection
	link       links.Link
	from, to   *net.TCPConn
	queue      chan chunk
	remaining  atomic.Int64 // bytes until the connection is reset, negative for no limit
}

// chunk is data in transit with the time at which to deliver it.
type chunk struct {
	bytes []byte
	due   time.Time
}

const (
	chunkBytes          = 8 << 10
	maxQueuedChunks     = 64 // further data stays in the socket buffers, which slows the sender down
	throttledWriteBytes = 64 // largest single write while the link is throttled
)

func newConnection(network *Network, link links.Link, client, server *net.TCPConn) *connection {
	c := &connection{network: network, link: link, sockets: [2]*net.TCPConn{client, server}}
	c.ctx, c.cancel = context.WithCancel(network.ctx)
	c.streams = [2]*stream{{connection: c, link: link, from: client, to: server}, {connection: c, link: link.Reverse(), from: server, to: client}}
	for _, stream := range c.streams {
		stream.queue = make(chan chunk, maxQueuedChunks)
		stream.remaining.Store(-1)
	}
	return c
}

// run forwards data in both directions until both have ended or one fails.
func (c *connection) run() {
	defer func() { c.close(c.ctx.Err() != nil) }() // a canceled connection is reset, whichever path closes it first
	defer context.AfterFunc(c.ctx, func() { c.close(true) })()
	var writers sync.WaitGroup
	for _, stream := range c.streams {
		writers.Add(1)
		go stream.read()
		go func() {
			defer writers.Done()
			if !stream.write() {
				c.cancel()
			}
		}()
	}
	writers.Wait()
}

// close closes both sockets, optionally with a TCP reset.
func (c *connection) close(reset bool) {
	c.closeOnce.Do(func() {
		for _, socket := range c.sockets {
			if reset {
				socket.SetLinger(0)
			}
			socket.Close()
		}
	})
	c.cancel()
}

// reset resets the connection.
func (c *connection) reset() {
	c.network.updateCounts(func(counts *Counts) { counts.Reset++ })
	c.close(true)
}

// truncateAfter resets the connection after the given number of further bytes on a link.
func (c *connection) truncateAfter(link links.Link, bytes int64) {
	for _, stream := range c.streams {
		if link.Matches(stream.link) {
			stream.remaining.Store(bytes)
		}
	}
}

// read queues incoming data with its delivery time. The end of the sender's data is delivered after
// what it sent.
func (s *stream) read() {
	defer close(s.queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := s.from.Read(buffer)
		state, _ := s.connection.network.linkState(s.link)
		if n > 0 && !s.enqueue(chunk{buffer[:n], s.connection.network.arrivalTime(state)}) || err != nil {
			return
		}
	}
}

func (s *stream) enqueue(c chunk) bool {
	select {
	case s.queue <- c:
		return true
	case <-s.connection.ctx.Done():
		return false
	}
}

// write delivers queued data when it is due. It returns true if it stopped because the sender
// closed its side.
func (s *stream) write() bool {
	for c := range s.queue {
		if !s.wait(time.Until(c.due)) || !s.forward(c.bytes) {
			return false
		}
	}
	if !s.waitWhileSilent() {
		return false
	}
	return s.to.CloseWrite() == nil
}

// wait waits and reports whether the connection is still open.
func (s *stream) wait(d time.Duration) bool {
	if d <= 0 {
		return s.connection.ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-s.connection.ctx.Done():
		return false
	}
}

// waitWhileSilent waits until the link is no longer silent and reports whether the connection is
// still open.
func (s *stream) waitWhileSilent() bool {
	start := time.Now()
	state, changed := s.connection.network.linkState(s.link)
	held := state.Silent
	for state.Silent {
		select {
		case <-changed:
		case <-s.connection.ctx.Done():
			return false
		}
		state, changed = s.connection.network.linkState(s.link)
	}
	if held {
		s.connection.network.updateCounts(func(c *Counts) { c.Held += time.Since(start) })
	}
	return s.connection.ctx.Err() == nil
}

// forward writes data subject to the faults of the link.
func (s *stream) forward(bytes []byte) bool {
	for len(bytes) > 0 {
		if !s.waitWhileSilent() {
			return false
		}
		state, _ := s.connection.network.linkState(s.link)
		limit := len(bytes)
		if state.BytesPerSecond > 0 {
			limit = min(limit, throttledWriteBytes)
		}
		remaining := s.remaining.Load()
		if remaining >= 0 {
			limit = min(limit, int(remaining))
		}
		if _, err := s.to.Write(bytes[:limit]); err != nil {
			return false
		}
		s.connection.network.updateCounts(func(c *Counts) { c.Bytes += int64(limit) })
		bytes = bytes[limit:]
		if remaining >= 0 && s.remaining.Add(-int64(limit)) <= 0 {
			s.connection.network.updateCounts(func(c *Counts) { c.Truncated++ })
			return false
		}
		if state.BytesPerSecond > 0 && !s.wait(time.Duration(float64(limit)/state.BytesPerSecond*float64(time.Second))) {
			return false
		}
	}
	return true
}
