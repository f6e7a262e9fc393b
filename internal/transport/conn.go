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
	in      RingBuffer
	taken   int64                                     // bytes that were read and taken, or thrown away
	came    arrivals                                  // of those that are held
	wanted  int                                       // bytes that the reading goroutine waits for
	parting CloseReason                               // asked to end between messages
	final   bool                                      // whatever may wait unread
	parted  bool                                      // and nothing came before reading stopped
	wasting int                                       // bytes that may still be read to be thrown away
	heard   func(held PeekFunc) (gone bool, keep int) // looks at what is held while nobody takes it; nil else
	spare   *OverflowBudget                           // that the in ring may have beyond its usual bound
	spilled int                                       // and has
	hurry   time.Duration
	stalled *time.Timer // ends the connection once nothing has come for as long as hurry
	end     CloseReason
	closed  chan struct{} // closed once the socket is

	out      RingBuffer
	patience time.Duration
}

// PeekFunc copies bytes that were read and not taken, from an offset on, and tells whether so many are there.
type PeekFunc func(at int, into []byte) bool

// NewConn starts reading into rings that hold up to bound bytes each. The connection ends with its context, and
// calls give once it has.
func NewConn(ctx context.Context, nc net.Conn, bound int, give func()) *Conn {
	c := &Conn{nc: nc, give: give, in: NewRingBuffer(bound), out: NewRingBuffer(bound), closed: make(chan struct{})}
	c.moved = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(c.ctx, func() { c.Close(CloseReasonOf(c.ctx)) })
	go c.pump()
	return c
}

// Context ends when the connection has, with its End as the cause.
func (c *Conn) Context() context.Context { return c.ctx }

// CloseReason tells how the connection ended, or Open.
func (c *Conn) CloseReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Close ends the connection, once. It returns when the socket is closed, whoever closed it: what comes after, such as
// another attempt, must not cross what is still out on an open connection.
func (c *Conn) Close(end CloseReason) {
	if c.finish(end) {
		c.nc.Close()
		c.give()
		close(c.closed)
	}
	<-c.closed
}

func (c *Conn) finish(end CloseReason) bool {
	c.mu.Lock()
	first := c.end == Open
	if first {
		c.end = end
		c.giveSpare()
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
		at := time.Now()
		c.mu.Lock()
		if n > 0 {
			c.arrived(n, at)
		}
		parted := c.part(err)
		gone := n > 0 && c.listen()
		c.moved.Broadcast()
		c.mu.Unlock()
		switch {
		case gone:
			c.Close(ClosedByPeer)
			return
		case parted:
			if !c.resumed() {
				return
			}
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			c.Close(endOfRead(err))
			return
		}
	}
}

// arrived takes in that so many bytes came. The lock is held.
func (c *Conn) arrived(n int, at time.Time) {
	c.in.used += n
	c.came.note(c.taken+int64(c.in.used), at)
	if c.hurry > 0 {
		c.stalled.Reset(c.hurry)
	}
}

// part settles a parting once reading was interrupted: what came first calls it off, also what waits unread, unless the parting is final. The lock is
// held.
func (c *Conn) part(err error) bool {
	if c.parting == Open || c.parted {
		return c.parted
	}
	interrupted := errors.Is(err, os.ErrDeadlineExceeded)
	if c.in.Len() > 0 || interrupted && !c.final && !c.nothingWaits() {
		c.parting = Open
		c.nc.SetReadDeadline(time.Time{})
		return false
	}
	c.parted = interrupted
	return c.parted
}

// resumed waits, after reading has stopped, until what comes is to be read again, and tells whether it is: else the
// connection has ended.
func (c *Conn) resumed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.parted && c.end == Open {
		c.moved.Wait()
	}
	return c.end == Open
}

// space waits for room in the in ring, and gives nil when the connection has ended. Only the pump changes where
// the ring's bytes lie, so that it may fill the space without the lock.
func (c *Conn) space() []byte {
	free, tooMuch := c.room()
	if tooMuch {
		c.Close(TooLong)
	}
	return free
}

// room is space, and tells whether nothing more may be held though the peer must be read from.
func (c *Conn) room() (free []byte, tooMuch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.waste()
		c.shrink()
		c.in.grow(max(1, c.wanted-c.in.Len()))
		if c.end != Open {
			return nil, false
		}
		if free := c.in.free(); len(free) > 0 {
			return free, false
		}
		if c.heard == nil {
			c.moved.Wait()
		} else if !c.widen() {
			return nil, true
		}
	}
}

// widen lets the ring hold more than usual, as far as that is allowed and the others have left of it. The lock is held.
func (c *Conn) widen() bool {
	more := min(c.in.bound, c.spare.each-c.in.bound)
	if more <= 0 || !c.spare.take(more) {
		return false
	}
	c.spilled += more
	c.in.bound += more
	return true
}

// shrink starts an empty ring afresh, and gives back what it held beyond the usual once the usual will do. The lock is held.
func (c *Conn) shrink() {
	c.in.relax()
	if usual := c.in.bound - c.spilled; c.spilled > 0 && c.in.Len() <= usual/2 {
		c.in.move(usual)
		c.giveSpare()
	}
}

// giveSpare gives back what was held beyond the usual. The lock is held.
func (c *Conn) giveSpare() {
	if c.spilled > 0 {
		c.in.bound -= c.spilled
		c.spare.give(c.spilled)
		c.spilled = 0
	}
}

// waste throws away what came while that is wanted. The lock is held.
func (c *Conn) waste() {
	n := min(c.in.Len(), c.wasting)
	c.take(n)
	c.wasting -= n
}

// Await waits until n bytes can be read. What came before the connection ended can still be read.
func (c *Conn) Await(n int) CloseReason {
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
			return Truncated
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

// Read takes the next bytes, of which there must be some, and tells when the last of them came. They must have been awaited.
func (c *Conn) Read(into []byte) (came time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in.peek(into)
	came = c.came.of(c.taken + int64(len(into)))
	c.take(len(into))
	c.moved.Broadcast()
	return came
}

// take takes the next bytes. The lock is held.
func (c *Conn) take(n int) {
	c.in.discard(n)
	c.taken += int64(n)
	c.came.forget(c.taken)
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

// HasNoPendingInput tells whether it is idle and nothing waits to be read either, be it the peer's end.
func (c *Conn) HasNoPendingInput() bool {
	return c.Idle() && c.nothingWaits() && c.Idle() // what the reader had taken by then is in the ring now
}

// nothingWaits tells whether the system holds nothing that came, be it the peer's end. What can't be asked is taken for more.
func (c *Conn) nothingWaits() bool {
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return true // there is no system between
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && nothing
}

// WatchForClose reads on from the peer while nobody takes what it sends, up to what spare allows, until the function it gives is
// called. What is held is shown to heard, now and as more comes: once that tells that the peer has gone the connection ends,
// and what stands behind keep is thrown away, if keep is not negative. It guards against work for a peer whose end stands
// behind what it sent before. One that sends more than may be held is let go.
func (c *Conn) WatchForClose(spare *OverflowBudget, heard func(held PeekFunc) (gone bool, keep int)) (stop func()) {
	c.mu.Lock()
	c.heard, c.spare = heard, spare
	gone := c.listen()
	c.moved.Broadcast()
	c.mu.Unlock()
	if gone {
		c.Close(ClosedByPeer)
	}
	return func() {
		c.mu.Lock()
		c.heard = nil
		c.mu.Unlock()
	}
}

// listen shows what is held, and tells whether the peer has gone by that. The lock is held.
func (c *Conn) listen() bool {
	if c.heard == nil {
		return false
	}
	gone, keep := c.heard(c.held)
	if keep >= 0 {
		c.in.used = min(c.in.used, keep)
		c.came.cut(c.taken + int64(c.in.used))
	}
	return gone
}

func (c *Conn) held(at int, into []byte) bool { return c.in.peekAt(at, into) }

// StopIfIdle asks whoever reads from an idle connection to end it: reading stops, and Await gives the End. What comes
// later stays unread, so that the peer can tell; what came before, be it that nobody has read it yet, calls that off. It tells whether the connection
// was idle.
func (c *Conn) StopIfIdle(end CloseReason) bool { return c.stop(end, false) }

// ForceStopIfIdle is Part that nothing calls off but what was read: it is for a peer that has had its last answer and was told so.
func (c *Conn) ForceStopIfIdle(end CloseReason) bool { return c.stop(end, true) }

func (c *Conn) stop(end CloseReason, final bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.end == Open && c.in.Len() == 0 && c.wasting == 0
	if idle {
		c.parting, c.final = end, final
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	return idle
}

// Interrupt makes whoever waits for the rest of a message give up: reading stops, and Await gives the End.
func (c *Conn) Interrupt(end CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == Open {
		c.parting, c.parted = end, true
		c.nc.SetReadDeadline(time.Unix(1, 0))
		c.moved.Broadcast()
	}
}

// SetReadTimeout ends the connection as Stalled once the peer has sent nothing for a while, from now on; 0 calls that off.
func (c *Conn) SetReadTimeout(while time.Duration) {
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
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.wasting = waste
	c.parting, c.parted = Open, false
	c.nc.SetReadDeadline(time.Time{})
	c.moved.Broadcast()
	c.mu.Unlock()
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

// SetWriteTimeout is how long the peer may take to take what is flushed before that ends the connection.
func (c *Conn) SetWriteTimeout(patience time.Duration) { c.patience = patience }

// Flush sends what the out ring holds. Open means that its last byte was written.
func (c *Conn) Flush() CloseReason {
	if c.patience > 0 && c.out.Len() > 0 {
		c.nc.SetWriteDeadline(time.Now().Add(c.patience))
	}
	for c.out.Len() > 0 {
		n, err := c.nc.Write(c.out.front())
		c.out.discard(n)
		if err != nil {
			c.Close(endOfWrite(err))
			return c.CloseReason()
		}
	}
	c.out.relax()
	return Open
}
