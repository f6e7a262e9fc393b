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
	netConn net.Conn
	ctx     context.Context
	cancel  context.CancelCauseFunc
	release func()

	mu                sync.Mutex
	changed           *sync.Cond // the in ring or the end has changed
	readBuffer        RingBuffer
	consumedBytes     int64                                     // bytes that were read and taken, or thrown away
	arrivals          arrivals                                  // of those that are held
	wantedBytes       int                                       // bytes that the reading goroutine waits for
	stopReason        CloseReason                               // asked to end between messages
	ignoreSocketInput bool                                      // whatever may wait unread
	readStopped       bool                                      // and nothing came before reading stopped
	discardLimit      int                                       // bytes that may still be read to be thrown away
	inspect           func(held PeekFunc) (gone bool, keep int) // looks at what is held while nobody takes it; nil else
	overflowBudget    *OverflowBudget                           // that the in ring may have beyond its usual bound
	overflowBytes     int                                       // and has
	readTimeout       time.Duration
	readTimer         *time.Timer // ends the connection once nothing has come for as long as hurry
	closeReason       CloseReason
	closed            chan struct{} // closed once the socket is

	writeBuffer  RingBuffer
	writeTimeout time.Duration
}

// PeekFunc copies bytes that were read and not taken, from an offset on, and tells whether so many are there.
type PeekFunc func(at int, into []byte) bool

// NewConn starts reading into rings that hold up to bound bytes each. The connection ends with its context, and
// calls give once it has.
func NewConn(ctx context.Context, netConn net.Conn, bufferLimit int, release func()) *Conn {
	c := &Conn{netConn: netConn, release: release, readBuffer: NewRingBuffer(bufferLimit), writeBuffer: NewRingBuffer(bufferLimit), closed: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(c.ctx, func() { c.Close(CloseReasonOf(c.ctx)) })
	go c.readLoop()
	return c
}

// Context ends when the connection has, with its End as the cause.
func (c *Conn) Context() context.Context { return c.ctx }

// CloseReason tells how the connection ended, or Open.
func (c *Conn) CloseReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// Close ends the connection, once. It returns when the socket is closed, whoever closed it: what comes after, such as
// another attempt, must not cross what is still out on an open connection.
func (c *Conn) Close(reason CloseReason) {
	if c.markClosed(reason) {
		c.netConn.Close()
		c.release()
		close(c.closed)
	}
	<-c.closed
}

func (c *Conn) markClosed(reason CloseReason) bool {
	c.mu.Lock()
	first := c.closeReason == Open
	if first {
		c.closeReason = reason
		c.releaseOverflow()
		c.changed.Broadcast()
	}
	c.mu.Unlock()
	c.cancel(reason)
	return first
}

// readLoop reads what comes into the in ring until the connection ends.
func (c *Conn) readLoop() {
	for {
		space := c.nextReadSpace()
		if space == nil {
			return
		}
		n, err := c.netConn.Read(space)
		receivedAt := time.Now()
		c.mu.Lock()
		if n > 0 {
			c.recordRead(n, receivedAt)
		}
		stopped := c.confirmStop(err)
		peerGone := n > 0 && c.inspectBuffered()
		c.changed.Broadcast()
		c.mu.Unlock()
		switch {
		case peerGone:
			c.Close(ClosedByPeer)
			return
		case stopped:
			if !c.waitForResume() {
				return
			}
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			c.Close(readFailureReason(err))
			return
		}
	}
}

// recordRead takes in that so many bytes came. The lock is held.
func (c *Conn) recordRead(n int, receivedAt time.Time) {
	c.readBuffer.used += n
	c.arrivals.record(c.consumedBytes+int64(c.readBuffer.used), receivedAt)
	if c.readTimeout > 0 {
		c.readTimer.Reset(c.readTimeout)
	}
}

// confirmStop settles a parting once reading was interrupted: what came first calls it off, also what waits unread, unless the parting is final. The lock is
// held.
func (c *Conn) confirmStop(err error) bool {
	if c.stopReason == Open || c.readStopped {
		return c.readStopped
	}
	interrupted := errors.Is(err, os.ErrDeadlineExceeded)
	if c.readBuffer.Len() > 0 || interrupted && !c.ignoreSocketInput && !c.socketInputEmpty() {
		c.stopReason = Open
		c.netConn.SetReadDeadline(time.Time{})
		return false
	}
	c.readStopped = interrupted
	return c.readStopped
}

// waitForResume waits, after reading has stopped, until what comes is to be read again, and tells whether it is: else the
// connection has ended.
func (c *Conn) waitForResume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.readStopped && c.closeReason == Open {
		c.changed.Wait()
	}
	return c.closeReason == Open
}

// nextReadSpace waits for room in the in ring, and gives nil when the connection has ended. Only the pump changes where
// the ring's bytes lie, so that it may fill the space without the lock.
func (c *Conn) nextReadSpace() []byte {
	free, overLimit := c.waitForReadSpace()
	if overLimit {
		c.Close(TooLong)
	}
	return free
}

// waitForReadSpace is space, and tells whether nothing more may be held though the peer must be read from.
func (c *Conn) waitForReadSpace() (free []byte, overLimit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.discardUnwanted()
		c.shrinkReadBuffer()
		c.readBuffer.grow(max(1, c.wantedBytes-c.readBuffer.Len()))
		if c.closeReason != Open {
			return nil, false
		}
		if free := c.readBuffer.free(); len(free) > 0 {
			return free, false
		}
		if c.inspect == nil {
			c.changed.Wait()
		} else if !c.extendReadBuffer() {
			return nil, true
		}
	}
}

// extendReadBuffer lets the ring hold more than usual, as far as that is allowed and the others have left of it. The lock is held.
func (c *Conn) extendReadBuffer() bool {
	extra := min(c.readBuffer.limit, c.overflowBudget.perConnLimit-c.readBuffer.limit)
	if extra <= 0 || !c.overflowBudget.reserve(extra) {
		return false
	}
	c.overflowBytes += extra
	c.readBuffer.limit += extra
	return true
}

// shrinkReadBuffer starts an empty ring afresh, and gives back what it held beyond the usual once the usual will do. The lock is held.
func (c *Conn) shrinkReadBuffer() {
	c.readBuffer.reset()
	if normalLimit := c.readBuffer.limit - c.overflowBytes; c.overflowBytes > 0 && c.readBuffer.Len() <= normalLimit/2 {
		c.readBuffer.resize(normalLimit)
		c.releaseOverflow()
	}
}

// releaseOverflow gives back what was held beyond the usual. The lock is held.
func (c *Conn) releaseOverflow() {
	if c.overflowBytes > 0 {
		c.readBuffer.limit -= c.overflowBytes
		c.overflowBudget.release(c.overflowBytes)
		c.overflowBytes = 0
	}
}

// discardUnwanted throws away what came while that is wanted. The lock is held.
func (c *Conn) discardUnwanted() {
	n := min(c.readBuffer.Len(), c.discardLimit)
	c.consume(n)
	c.discardLimit -= n
}

// Await waits until n bytes can be read. What came before the connection ended can still be read.
func (c *Conn) Await(n int) CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > c.readBuffer.limit {
		return TooLong
	}
	for c.wantedBytes = n; c.readBuffer.Len() < n || c.readStopped; c.changed.Wait() {
		if c.readStopped {
			return c.stopReason
		}
		if c.closeReason == ClosedByPeer && c.readBuffer.Len() > 0 {
			return Truncated
		}
		if c.closeReason != Open {
			return c.closeReason
		}
		c.changed.Broadcast() // the pump may wait to hear how much is wanted
	}
	c.wantedBytes = 0
	return Open
}

// Peek copies the next bytes without taking them. They must have been awaited.
func (c *Conn) Peek(dst []byte) {
	c.mu.Lock()
	c.readBuffer.peek(dst)
	c.mu.Unlock()
}

// Read takes the next bytes, of which there must be some, and tells when the last of them came. They must have been awaited.
func (c *Conn) Read(dst []byte) (receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBuffer.peek(dst)
	receivedAt = c.arrivals.timeOf(c.consumedBytes + int64(len(dst)))
	c.consume(len(dst))
	c.changed.Broadcast()
	return receivedAt
}

// consume takes the next bytes. The lock is held.
func (c *Conn) consume(n int) {
	c.readBuffer.discard(n)
	c.consumedBytes += int64(n)
	c.arrivals.discard(c.consumedBytes)
}

// Buffered is the number of bytes that can be read without waiting.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBuffer.Len()
}

// Idle tells whether the connection is open and holds nothing that was not read.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason == Open && c.readBuffer.Len() == 0
}

// HasNoPendingInput tells whether it is idle and nothing waits to be read either, be it the peer's end.
func (c *Conn) HasNoPendingInput() bool {
	return c.Idle() && c.socketInputEmpty() && c.Idle() // what the reader had taken by then is in the ring now
}

// socketInputEmpty tells whether the system holds nothing that came, be it the peer's end. What can't be asked is taken for more.
func (c *Conn) socketInputEmpty() bool {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true // there is no system between
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}

// WatchForClose reads on from the peer while nobody takes what it sends, up to what spare allows, until the function it gives is
// called. What is held is shown to heard, now and as more comes: once that tells that the peer has gone the connection ends,
// and what stands behind keep is thrown away, if keep is not negative. It guards against work for a peer whose end stands
// behind what it sent before. One that sends more than may be held is let go.
func (c *Conn) WatchForClose(budget *OverflowBudget, inspect func(held PeekFunc) (peerGone bool, keep int)) (stop func()) {
	c.mu.Lock()
	c.inspect, c.overflowBudget = inspect, budget
	peerGone := c.inspectBuffered()
	c.changed.Broadcast()
	c.mu.Unlock()
	if peerGone {
		c.Close(ClosedByPeer)
	}
	return func() {
		c.mu.Lock()
		c.inspect = nil
		c.mu.Unlock()
	}
}

// inspectBuffered shows what is held, and tells whether the peer has gone by that. The lock is held.
func (c *Conn) inspectBuffered() bool {
	if c.inspect == nil {
		return false
	}
	peerGone, keepBytes := c.inspect(c.peekAt)
	if keepBytes >= 0 {
		c.readBuffer.used = min(c.readBuffer.used, keepBytes)
		c.arrivals.truncate(c.consumedBytes + int64(c.readBuffer.used))
	}
	return peerGone
}

func (c *Conn) peekAt(offset int, dst []byte) bool { return c.readBuffer.peekAt(offset, dst) }

// StopIfIdle asks whoever reads from an idle connection to end it: reading stops, and Await gives the End. What comes
// later stays unread, so that the peer can tell; what came before, be it that nobody has read it yet, calls that off. It tells whether the connection
// was idle.
func (c *Conn) StopIfIdle(reason CloseReason) bool { return c.stopIfIdle(reason, false) }

// ForceStopIfIdle is Part that nothing calls off but what was read: it is for a peer that has had its last answer and was told so.
func (c *Conn) ForceStopIfIdle(reason CloseReason) bool { return c.stopIfIdle(reason, true) }

func (c *Conn) stopIfIdle(reason CloseReason, ignoreSocketInput bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.closeReason == Open && c.readBuffer.Len() == 0 && c.discardLimit == 0
	if idle {
		c.stopReason, c.ignoreSocketInput = reason, ignoreSocketInput
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
	return idle
}

// Interrupt makes whoever waits for the rest of a message give up: reading stops, and Await gives the End.
func (c *Conn) Interrupt(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == Open {
		c.stopReason, c.readStopped = reason, true
		c.netConn.SetReadDeadline(time.Unix(1, 0))
		c.changed.Broadcast()
	}
}

// SetReadTimeout ends the connection as Stalled once the peer has sent nothing for a while, from now on; 0 calls that off.
func (c *Conn) SetReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readTimer != nil {
		c.readTimer.Stop()
	}
	if c.readTimeout = timeout; timeout > 0 {
		c.readTimer = time.AfterFunc(timeout, func() { c.Close(Stalled) })
	}
}

// Linger ends this side's sending and gives the peer a while to read what was sent, and to end its own. Up to waste
// bytes that still come are thrown away: what is unread at the close would make it a reset, which may overtake them.
func (c *Conn) Linger(timeout time.Duration, discardLimit int) {
	halfCloser, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.discardLimit = discardLimit
	c.stopReason, c.readStopped = Open, false
	c.netConn.SetReadDeadline(time.Time{})
	c.changed.Broadcast()
	c.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}

// Write puts a text into the out ring, sending what does not fit. What goes wrong shows at the flush.
func (c *Conn) Write(text string) {
	for {
		text = text[c.writeBuffer.Write(text):]
		if text == "" || c.Flush() != Open {
			return
		}
	}
}

// SetWriteTimeout is how long the peer may take to take what is flushed before that ends the connection.
func (c *Conn) SetWriteTimeout(timeout time.Duration) { c.writeTimeout = timeout }

// Flush sends what the out ring holds. Open means that its last byte was written.
func (c *Conn) Flush() CloseReason {
	if c.writeTimeout > 0 && c.writeBuffer.Len() > 0 {
		c.netConn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	for c.writeBuffer.Len() > 0 {
		n, err := c.netConn.Write(c.writeBuffer.front())
		c.writeBuffer.discard(n)
		if err != nil {
			c.Close(writeFailureReason(err))
			return c.CloseReason()
		}
	}
	c.writeBuffer.reset()
	return Open
}
