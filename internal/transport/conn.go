// Package transport holds the connections: each has one ring buffer a direction, a reader of its own that sees at
// once when the far side ends it, and one End that says how it ended.
package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
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
	wasting int  // bytes that may still be read to be thrown away
	hurry   time.Duration
	stalled *time.Timer // ends the connection once nothing has come for as long as hurry
	end     End

	out      Ring
	patience time.Duration
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
		if n > 0 && c.hurry > 0 {
			c.stalled.Reset(c.hurry)
		}
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
	if c.parting == Open || c.parted {
		return c.parted
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
		c.waste()
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

// waste throws away what came while that is wanted. The lock is held.
func (c *Conn) waste() {
	n := min(c.in.Len(), c.wasting)
	c.in.discard(n)
	c.wasting -= n
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

// Quiet tells whether it is idle and nothing waits to be read either, be it the peer's end.
func (c *Conn) Quiet() bool {
	real, ok := c.nc.(syscall.Conn)
	if !c.Idle() || !ok {
		return c.Idle()
	}
	raw, err := real.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && nothing && c.Idle() // what the reader had taken by then is in the ring now
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

// Cut makes whoever waits for the rest of a message give up: reading stops, and Await gives the End.
func (c *Conn) Cut(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == Open {
		c.parting, c.parted = end, true
		c.nc.SetReadDeadline(time.Unix(1, 0))
		c.moved.Broadcast()
	}
}

// Hurry ends the connection as Stalled once the peer has sent nothing for a while, from now on; 0 calls that off.
func (c *Conn) Hurry(while time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled != nil {
		c.stalled.Stop()
	}
	if c.hurry = while; while > 0 {
		c.stalled = time.AfterFunc(while, func() { c.Close(Stalled) })
	}
}

// Linger ends this side's sending and gives the peer a while to read what was sent, and to end its own. Up to waste
// bytes that still come are thrown away: what is unread at the close would make it a reset, which may overtake them.
func (c *Conn) Linger(while time.Duration, waste int) {
	c.mu.Lock()
	c.wasting = waste
	c.moved.Broadcast()
	c.mu.Unlock()
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

// WriteWithin is how long the peer may take to take what is flushed before that ends the connection.
func (c *Conn) WriteWithin(patience time.Duration) { c.patience = patience }

// Flush sends what the out ring holds. Open means that its last byte was written.
func (c *Conn) Flush() End {
	if c.patience > 0 && c.out.Len() > 0 {
		c.nc.SetWriteDeadline(time.Now().Add(c.patience))
	}
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
