package transport

import (
	"errors"
	"os"
	"time"
)

// StopIfIdle stops reading from an idle connection, so that Await returns reason, and reports whether
// it was idle. Input that arrived before the stop cancels it, also if still in the socket; later input
// stays unread, so that closing resets the connection, which tells the peer that it was not processed.
func (c *Conn) StopIfIdle(reason CloseReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.closeReason == Open && !c.hasInput() && c.discardLimit == 0
	if idle {
		c.requestStop(reason, false)
	}
	return idle
}

// StopReading stops reading whatever has arrived, and returns once no more input is taken. What the
// InputHandler holds by then can still be taken out; later input stays unread.
func (c *Conn) StopReading(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStop(reason, true)
	for !c.readStopped && c.closeReason == Open {
		c.changed.Wait()
	}
}

// requestStop interrupts a pending read, after which readLoop confirms the stop. The caller holds c.mu.
func (c *Conn) requestStop(reason CloseReason, anyway bool) {
	c.stopReason, c.stopAnyway = reason, anyway
	c.netConn.SetReadDeadline(time.Unix(1, 0)) // in the past
}

// Interrupt stops reading, also within a message, so that Await returns reason.
func (c *Conn) Interrupt(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == Open {
		c.stopReason, c.readStopped = reason, true
		c.netConn.SetReadDeadline(time.Unix(1, 0)) // in the past, to interrupt a pending read
		c.changed.Broadcast()
	}
}

// confirmStop completes or cancels a requested stop after a read. Input that arrived before the read was
// interrupted cancels it, also input still in the socket, unless stopAnyway is set. It reports whether
// reading has stopped. The caller holds c.mu.
func (c *Conn) confirmStop(err error) bool {
	if c.stopReason == Open || c.readStopped {
		return c.readStopped
	}
	interrupted := errors.Is(err, os.ErrDeadlineExceeded)
	if !c.stopAnyway && (c.hasInput() || interrupted && !c.socketInputEmpty()) {
		c.stopReason = Open
		c.netConn.SetReadDeadline(time.Time{})
		return false
	}
	c.readStopped = interrupted
	return c.readStopped
}

// ResumeIfInput resumes reading from a connection that StopIfIdle has stopped, if input has arrived since, and
// reports whether it has. The stop is confirmed by readLoop, and the connection's user may get to closing it much
// later: what its peer has sent by then was not sent to a closed connection.
func (c *Conn) ResumeIfInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != Open || !c.readStopped || c.stopAnyway || c.socketInputEmpty() {
		return false
	}
	c.stopReason, c.readStopped = Open, false
	c.netConn.SetReadDeadline(time.Time{})
	c.changed.Broadcast()
	return true
}

// waitForResume waits until a stopped connection is to be read again. It returns false if the
// connection closed instead.
func (c *Conn) waitForResume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.readStopped && c.closeReason == Open {
		c.changed.Wait()
	}
	return c.closeReason == Open
}

// Linger closes the sending side and waits up to timeout for the peer to close its own. It discards up
// to discardLimit bytes of input, because closing with unread input sends a reset, which may destroy
// data that the peer has not read yet. With a discardLimit of 0 the reset is wanted: it tells the peer that
// what it sent last was not processed.
func (c *Conn) Linger(timeout time.Duration, discardLimit int) {
	halfCloser, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.inputHandler, c.isLingering, c.discardLimit = nil, true, discardLimit
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
