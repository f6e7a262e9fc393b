package transport

import "time"

// InputHandler takes a connection's input as it arrives, so that the connection is read also while a request
// is processed, and the end of its peer is noticed. It is called with the connection locked and must not call
// it.
type InputHandler interface {
	// HandleInput takes input that was received at receivedAt.
	HandleInput(input []byte, receivedAt, now time.Time) InputResult
	// HasInput reports whether input is held that was not taken out yet, also part of a message.
	HasInput() bool
}

// InputResult is what an InputHandler did with input.
type InputResult struct {
	Taken    int             // bytes taken; the others are handed over again
	PeerGone bool            // the peer announced its end
	Pause    time.Duration   // how long to wait before more is handed over or read
	IsPaced  bool            // Pause is to slow the peer down, which may send more than the socket takes
	Resume   <-chan struct{} // ends Pause early; may be nil
}

// maxHandledBytes limits a read for an InputHandler, so that many connections that receive large messages
// cost little memory beside those messages.
const maxHandledBytes = 4 << 10

// SetInputHandler hands all input to handler from now on, beginning with what is buffered, which it has to
// take at once.
func (c *Conn) SetInputHandler(handler InputHandler) {
	c.mu.Lock()
	c.inputHandler = handler
	peerGone := false
	for c.readBuffer.Len() > 0 {
		first := c.arrivals[0]
		part := c.readBuffer.front()
		part = part[:min(int64(len(part)), first.endOffset-c.consumedBytes)]
		result := handler.HandleInput(part, first.receivedAt, time.Now())
		peerGone = peerGone || result.PeerGone
		c.consume(len(part))
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	if peerGone {
		c.Close(ClosedByPeer)
	}
}

// AwaitInput waits until the InputHandler has what isReady looks for and returns Open. If reading has
// stopped or the connection has closed without it, it returns why. isReady is called with the connection
// locked.
func (c *Conn) AwaitInput(isReady func() bool) CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !isReady() {
		switch {
		case c.readStopped:
			return c.stopReason
		case c.closeReason != Open:
			return c.closeReason
		}
		c.changed.Wait()
	}
	return Open
}

// handleInput hands the contents of readBuffer to inputHandler, if there is one, until it has taken all. It
// is called by readLoop, which does not read meanwhile.
func (c *Conn) handleInput(receivedAt time.Time) (peerGone bool) {
	for {
		result, isDone := c.handlePart(receivedAt)
		if result.Pause > 0 && !result.PeerGone {
			result.PeerGone = c.pauseReading(result, isDone)
		}
		if isDone || result.PeerGone {
			return result.PeerGone
		}
	}
}

// handlePart hands contiguous input to inputHandler and reports whether nothing is left to hand over.
func (c *Conn) handlePart(receivedAt time.Time) (result InputResult, isDone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputHandler == nil || c.closeReason != Open {
		return InputResult{}, true
	}
	result = c.inputHandler.HandleInput(c.readBuffer.front(), receivedAt, time.Now())
	c.consume(result.Taken)
	c.changed.Broadcast()
	return result, c.readBuffer.Len() == 0
}

// pauseReading waits as the InputHandler asked for, or until the connection closes or StopReading is called. What
// arrives meanwhile stays in the socket. A pause with input left to hand over ends by itself. It reports whether
// the peer has left.
func (c *Conn) pauseReading(result InputResult, isDone bool) (hasLeft bool) {
	now := time.Now()
	end := now.Add(result.Pause)
	c.unread.pauseBegins(now)
	c.mu.Lock()
	if result.IsPaced && c.presence.seenAt.IsZero() {
		c.presence.seenAt = now
	}
	c.readBuffer.release() // very many may pause
	c.mu.Unlock()
	for remaining := result.Pause; remaining > 0 && !hasLeft && !(isDone && c.mustStop()); remaining = time.Until(end) {
		if !c.waitInPause(min(remaining, presenceInterval), result.Resume) {
			break
		}
		hasLeft = c.hasPeerEnded()
	}
	c.unread.pauseEnds(time.Now())
	return hasLeft
}

// waitInPause waits and reports whether the pause goes on.
func (c *Conn) waitInPause(wait time.Duration, resume <-chan struct{}) (goesOn bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-resume:
	case <-c.ctx.Done():
	}
	return false
}

// mustStop reports whether reading is to stop whatever has arrived.
func (c *Conn) mustStop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readStopped || c.stopReason != Open && c.stopAnyway
}

// hasInput reports whether input is buffered or held by inputHandler. The caller holds c.mu.
func (c *Conn) hasInput() bool {
	return c.readBuffer.Len() > 0 || c.inputHandler != nil && c.inputHandler.HasInput()
}

// unreadInput tells how old input may be that lay in the socket, or with its sender, while reading paused. A
// request that seems younger than it is would be sent on with more time than its client has left.
type unreadInput struct {
	since      time.Time // begin of the first pause, zero if all input since then was read
	resumedAt  time.Time // end of the last pause
	lastReadAt time.Time
	wasDrained bool // the last read emptied the socket
}

const (
	// catchUpTime is how long after a pause input may still be such that its sender had to hold it back.
	catchUpTime = 50 * time.Millisecond
	// quietTime without input shows that the sender holds nothing back.
	quietTime = 20 * time.Millisecond
)

func (u *unreadInput) pauseBegins(now time.Time) {
	if u.since.IsZero() {
		u.since = now
	}
}

func (u *unreadInput) pauseEnds(now time.Time) { u.resumedAt, u.wasDrained = now, false }

// arrivalTime returns the earliest time at which input that was read at now may have arrived. isDrained
// reports that the read emptied the socket.
func (u *unreadInput) arrivalTime(now time.Time, isDrained bool) time.Time {
	if u.since.IsZero() {
		return now
	}
	isQuiet := now.Sub(u.lastReadAt) >= quietTime
	hasCaughtUp := now.Sub(u.resumedAt) >= catchUpTime
	arrivedAfterRead := u.wasDrained && (isQuiet || hasCaughtUp)
	u.lastReadAt, u.wasDrained = now, isDrained
	if arrivedAfterRead {
		*u = unreadInput{}
		return now
	}
	return u.since
}
