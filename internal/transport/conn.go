// Package transport implements buffered connections. Each has a ring buffer per direction, a goroutine
// that reads continuously and so notices at once when the peer closes, and a CloseReason. Input is either
// read from the ring buffer or handed to an InputHandler as it arrives.
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

// Conn is a buffered connection. It supports one reading and one writing goroutine at a time.
type Conn struct {
	netConn net.Conn
	ctx     context.Context
	cancel  context.CancelCauseFunc
	release func()

	mu            sync.Mutex
	changed       *sync.Cond // signals changes of the fields below
	readBuffer    RingBuffer
	consumedBytes int64       // bytes consumed or discarded so far
	arrivals      arrivals    // of the bytes in readBuffer
	wantedBytes   int         // bytes that Await is waiting for
	nextReadBytes int         // size of the next read for inputHandler
	readAhead     int         // bytes read beyond what Await asks for, before there is an inputHandler; 0 for no limit
	unread        unreadInput // used by readLoop alone
	presence      peerPresence
	inputHandler  InputHandler // takes the contents of readBuffer after each read; nil for none
	stopReason    CloseReason  // what Await returns once reading has stopped
	stopAnyway    bool         // a requested stop is not cancelled by input
	readStopped   bool         // readLoop is paused by a stop or by Interrupt
	discardLimit  int          // bytes of input that Linger still discards
	isLingering   bool
	readTimeout   time.Duration
	readTimer     *time.Timer // closes the connection after readTimeout without input
	closeReason   CloseReason
	closed        chan struct{} // closed after the socket has been closed

	writeBuffer  RingBuffer
	writeTimeout time.Duration
}

// NewConn wraps netConn with buffers of up to bufferLimit bytes per direction and starts reading. The
// connection closes when ctx ends; release is called once after it has closed.
func NewConn(ctx context.Context, netConn net.Conn, bufferLimit int, release func()) *Conn {
	return newConn(ctx, netConn, bufferLimit, 0, release)
}

// newConn returns a Conn that reads at most readAhead bytes beyond what Await asks for, 0 for no limit, until it has
// an InputHandler.
func newConn(ctx context.Context, netConn net.Conn, bufferLimit, readAhead int, release func()) *Conn {
	c := &Conn{netConn: netConn, release: release, readAhead: readAhead, readBuffer: NewRingBuffer(bufferLimit), writeBuffer: NewRingBuffer(bufferLimit), closed: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(c.ctx, func() { c.Close(CloseReasonOf(c.ctx)) })
	go c.readLoop()
	return c
}

// Context returns a context that ends when the connection closes, with the CloseReason as its cause.
func (c *Conn) Context() context.Context { return c.ctx }

// CloseReason returns why the connection was closed, or Open.
func (c *Conn) CloseReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// Close closes the connection unless it is closed already; only the first reason is kept. It returns
// after the socket is closed, also when another goroutine closes it, so that a following attempt cannot
// overlap with one still in progress on this connection.
func (c *Conn) Close(reason CloseReason) {
	if c.markClosed(reason) {
		c.netConn.Close()
		c.release()
		close(c.closed)
	}
	<-c.closed
}

// markClosed records the reason of the first close and reports whether this call was the first.
func (c *Conn) markClosed(reason CloseReason) bool {
	c.mu.Lock()
	first := c.closeReason == Open
	if first {
		c.closeReason = reason
		c.changed.Broadcast()
	}
	c.mu.Unlock()
	c.cancel(reason)
	return first
}

// readLoop reads from the socket into readBuffer until the connection closes.
func (c *Conn) readLoop() {
	for {
		space := c.nextReadSpace()
		if space == nil {
			return
		}
		n, err := c.netConn.Read(space)
		peerGone := n > 0 && c.takeRead(n, time.Now())
		c.mu.Lock()
		stopped := c.confirmStop(err)
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

// takeRead accounts for n bytes read into readBuffer and hands them to the InputHandler, if there is one. It
// reports whether the peer announced its end.
func (c *Conn) takeRead(n int, now time.Time) (peerGone bool) {
	c.mu.Lock()
	isDrained := n < len(c.readBuffer.free())
	receivedAt := c.unread.arrivalTime(now, isDrained)
	if isDrained {
		c.presence = peerPresence{}
	}
	if c.nextReadBytes = initialRingBytes; !isDrained { // more may wait in the socket
		c.nextReadBytes = min(2*n, maxHandledBytes)
	}
	c.readBuffer.used += n
	c.arrivals.record(c.consumedBytes+int64(c.readBuffer.used), receivedAt)
	if c.readTimeout > 0 {
		c.readTimer.Reset(c.readTimeout)
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.handleInput(receivedAt)
}

// nextReadSpace waits for free space in readBuffer and returns nil once the connection is closed. Only
// readLoop moves the buffer's contents, so it may fill the space without holding the lock.
func (c *Conn) nextReadSpace() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.discardUnwanted()
		if c.closeReason != Open {
			return nil
		}
		if free := c.readSpace(); len(free) > 0 {
			return free
		}
		c.changed.Wait()
	}
}

// readSpace returns the free space for the next read, none if the connection is not to be read now. The
// caller holds c.mu.
func (c *Conn) readSpace() []byte {
	c.readBuffer.reset()
	switch {
	case c.isLingering && c.discardLimit == 0: // what comes now is not wanted
		return nil
	case c.isLingering:
		c.readBuffer.grow(maxHandledBytes)
	case c.inputHandler != nil:
		c.readBuffer.grow(c.nextReadBytes)
	case c.readAhead > 0 && c.readBuffer.Len() >= max(c.wantedBytes, c.readAhead):
		return nil
	default:
		c.readBuffer.grow(max(1, c.wantedBytes-c.readBuffer.Len()))
	}
	return c.readBuffer.free()
}

// discardUnwanted drops buffered input up to discardLimit. The caller holds c.mu.
func (c *Conn) discardUnwanted() {
	n := min(c.readBuffer.Len(), c.discardLimit)
	c.consume(n)
	c.discardLimit -= n
}

// Await waits until n bytes are buffered and returns Open. Input that arrived before the connection
// closed can still be read.
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
		c.changed.Broadcast() // wakes readLoop, which grows readBuffer to wantedBytes
	}
	c.wantedBytes = 0
	return Open
}

// Peek copies the next len(dst) bytes without consuming them. They must have been awaited.
func (c *Conn) Peek(dst []byte) {
	c.mu.Lock()
	c.readBuffer.peek(dst)
	c.mu.Unlock()
}

// Read consumes the next len(dst) bytes, at least one, and returns when the last of them was received.
// They must have been awaited.
func (c *Conn) Read(dst []byte) (receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBuffer.peek(dst)
	receivedAt = c.arrivals.timeOf(c.consumedBytes + int64(len(dst)))
	c.consume(len(dst))
	c.changed.Broadcast()
	return receivedAt
}

// consume removes the next n bytes from readBuffer. The caller holds c.mu.
func (c *Conn) consume(n int) {
	c.readBuffer.discard(n)
	c.consumedBytes += int64(n)
	c.arrivals.discard(c.consumedBytes)
}

// Buffered returns the number of bytes that can be read without waiting.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBuffer.Len()
}

// IsIdle reports whether the connection is open and no input is buffered.
func (c *Conn) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason == Open && c.readBuffer.Len() == 0
}

// HasNoPendingInput reports whether the connection is idle and its socket holds neither unread input nor
// the end of the stream.
func (c *Conn) HasNoPendingInput() bool {
	// Idle is checked again because readLoop may have moved input from the socket to readBuffer.
	return c.IsIdle() && c.socketInputEmpty() && c.IsIdle()
}

// HasUnreadInput reports whether the socket of an open connection holds input, or the end of the stream, that was not
// read.
func (c *Conn) HasUnreadInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason == Open && !c.socketInputEmpty()
}

// socketInputEmpty reports whether the socket holds neither unread input nor the end of the stream. It
// returns false if the socket cannot be checked.
func (c *Conn) socketInputEmpty() bool {
	if _, isSocket := c.netConn.(syscall.Conn); !isSocket {
		return true // nothing is buffered by the kernel
	}
	empty := false
	return c.withDescriptor(func(fd int) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	}) && empty
}

// SetReadTimeout closes the connection as Stalled once the peer has sent nothing for timeout, starting
// now. 0 disables the timeout.
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

// Write appends text to writeBuffer and flushes whenever that is full. Errors are reported by Flush.
func (c *Conn) Write(text string) {
	for {
		text = text[c.writeBuffer.Write(text):]
		if text == "" || c.Flush() != Open {
			return
		}
	}
}

// SetWriteTimeout limits how long a flush may take before the connection is closed as WriteStalled.
func (c *Conn) SetWriteTimeout(timeout time.Duration) { c.writeTimeout = timeout }

// Flush sends the contents of writeBuffer. It returns Open if all of it was written.
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

// ReleaseWriteBuffer frees the memory of writeBuffer if it is empty. It is called by the writing goroutine.
func (c *Conn) ReleaseWriteBuffer() { c.writeBuffer.release() }
