// Package transport holds the connections: each has one ring buffer a direction, a reader of its own that sees at
// once when the far side ends it, and one End that says how it ended.
package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is one connection. One goroutine at a time may read from it, and one may write to it.
type Conn struct {
	nc     net.Conn
	ctx    context.Context
	cancel context.CancelCauseFunc
	give   func()

	mu      sync.Mutex
	moved   *sync.Cond // the in ring or the end has changed
	in      Ring
	wanted  int  // bytes that the reading goroutine waits for
	parting End  // asked to end between messages
	parted  bool // and nothing came before reading stopped
	end     End

	out Ring
}

// NewConn starts reading into rings that hold up to bound bytes each. The connection ends with its context, and
// calls give once it has.
func NewConn(ctx context.Context, nc net.Conn, bound int, give func()) *Conn {
	c := &Conn{nc: nc, give: give, in: NewRing(bound), out: NewRing(bound)}
	c.moved = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(c.ctx, func() { c.Close(EndOf(c.ctx)) })
	go c.pump()
	return c
}

// Context ends when the connection has, with its End as the cause.
func (c *Conn) Context() context.Context { return c.ctx }

// End tells how the connection ended, or Open.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Close ends the connection, once.
func (c *Conn) Close(end End) {
	if c.finish(end) {
		c.nc.Close()
		c.give()
	}
}

func (c *Conn) finish(end End) bool {
	c.mu.Lock()
	first := c.end == Open
	if first {
		c.end = end
		c.moved.Broadcast()
	}
	c.mu.Unlock()
	c.cancel(end)
	return first
}

// pump reads what comes into the in ring until the connection ends.
func (c *Conn) pump() {
	for {
		space := c.space()
		if space == nil {
			return
		}
		n, err := c.nc.Read(space)
		c.mu.Lock()
		c.in.used += n
		parted := c.part(err)
		c.moved.Broadcast()
		c.mu.Unlock()
		if parted {
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Close(endOfRead(err))
			return
		}
	}
}

// part settles a parting once reading was interrupted: what came first calls it off. The lock is held.
func (c *Conn) part(err error) bool {
	if c.parting == Open {
		return false
	}
	if c.in.Len() > 0 {
		c.parting = Open
		c.nc.SetReadDeadline(time.Time{})
		return false
	}
	c.parted = errors.Is(err, os.ErrDeadlineExceeded)
	return c.parted
}

// space waits for room in the in ring, and gives nil when the connection has ended. Only the pump changes where
// the ring's bytes lie, so that it may fill the space without the lock.
func (c *Conn) space() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.in.relax()
		c.in.grow(max(1, c.wanted-c.in.Len()))
		if c.end != Open {
			return nil
		}
		if free := c.in.free(); len(free) > 0 {
			return free
		}
		c.moved.Wait()
	}
}

// Await waits until n bytes can be read. What came before the connection ended can still be read.
func (c *Conn) Await(n int) End {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > c.in.bound {
		return TooLong
	}
	for c.wanted = n; c.in.Len() < n || c.parted; c.moved.Wait() {
		if c.parted {
			return c.parting
		}
		if c.end == ClosedByPeer && c.in.Len() > 0 {
			return CutShort
		}
		if c.end != Open {
			return c.end
		}
		c.moved.Broadcast() // the pump may wait to hear how much is wanted
	}
	c.wanted = 0
	return Open
}

// Peek copies the next bytes without taking them. They must have been awaited.
func (c *Conn) Peek(into []byte) {
	c.mu.Lock()
	c.in.peek(into)
	c.mu.Unlock()
}

// Read takes the next bytes. They must have been awaited.
func (c *Conn) Read(into []byte) {
	c.mu.Lock()
	c.in.peek(into)
	c.in.discard(len(into))
	c.moved.Broadcast()
	c.mu.Unlock()
}

// Buffered is the number of bytes that can be read without waiting.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.in.Len()
}

// Idle tells whether the connection is open and holds nothing that was not read.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end == Open && c.in.Len() == 0
}

// Part asks whoever reads from an idle connection to end it: reading stops, and Await gives the End. What comes
// later stays unread, so that the peer can tell. It tells whether the connection was idle.
func (c *Conn) Part(end End) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.end == Open && c.in.Len() == 0
	if idle {
		c.parting = end
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	return idle
}

// Linger ends this side's sending and gives the peer a while to read what was sent, and to end its own.
func (c *Conn) Linger(while time.Duration) {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	patience := time.NewTimer(while)
	defer patience.Stop()
	select {
	case <-c.ctx.Done():
	case <-patience.C:
	}
}

// Write puts a text into the out ring, sending what does not fit. What goes wrong shows at the flush.
func (c *Conn) Write(text string) {
	for {
		text = text[c.out.Write(text):]
		if text == "" || c.Flush() != Open {
			return
		}
	}
}

// WriteBy is when a write that is not taken ends the connection.
func (c *Conn) WriteBy(t time.Time) { c.nc.SetWriteDeadline(t) }

// Flush sends what the out ring holds. Open means that its last byte was written.
func (c *Conn) Flush() End {
	for c.out.Len() > 0 {
		n, err := c.nc.Write(c.out.front())
		c.out.discard(n)
		if err != nil {
			c.Close(endOfWrite(err))
			return c.End()
		}
	}
	c.out.relax()
	return Open
}
