package transport

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// presenceInterval is how often a peer is looked for while reading from it pauses.
	presenceInterval = 50 * time.Millisecond
	// presenceAge is for how long a peer counts as present after it was last known to be.
	presenceAge = 60 * time.Millisecond
	// visibleEndBytes is how much unread input a socket takes in any case, so that the end of a peer shows that
	// stands behind less.
	visibleEndBytes = 16 << 10
)

// peerPresence tells whether a peer may have left unnoticed while reading from it paused: its end stands behind
// input that is not read, and behind input that the socket has no room for it does not even show.
type peerPresence struct {
	seenAt time.Time // when the peer was last known to be present; zero unless input of a paced peer is unread
}

// MayHaveLeft reports whether the peer has closed the connection, or may have done so a while ago unnoticed. It asks
// the socket, since readLoop may not have had the processor since the peer closed.
func (c *Conn) MayHaveLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != Open {
		return c.closeReason == ClosedByPeer
	}
	if c.hasPeerEnded() {
		return true
	}
	if c.presence.seenAt.IsZero() {
		return false
	}
	now := time.Now()
	if c.canSeeEnd() {
		c.presence.seenAt = now
	}
	return now.Sub(c.presence.seenAt) > presenceAge
}

// hasPeerEnded reports whether the peer has closed or reset the connection, also behind unread input.
func (c *Conn) hasPeerEnded() (hasEnded bool) {
	c.withDescriptor(func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(polled, 0); err == nil && n > 0 {
			hasEnded = polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return hasEnded
}

// peekBuffers are for input that is looked at and not used: on a stack, such a buffer would stay with each goroutine.
var peekBuffers = sync.Pool{New: func() any { return new([visibleEndBytes]byte) }}

// canSeeEnd reports whether so little input is unread that the peer's end would show behind it.
func (c *Conn) canSeeEnd() (isVisible bool) {
	unread := peekBuffers.Get().(*[visibleEndBytes]byte)
	defer peekBuffers.Put(unread)
	c.withDescriptor(func(fd int) {
		n, _, err := syscall.Recvfrom(fd, unread[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isVisible = err == nil && n < visibleEndBytes || errors.Is(err, syscall.EAGAIN)
	})
	return isVisible
}

// withDescriptor calls a function with the socket's descriptor and reports whether there is one.
func (c *Conn) withDescriptor(use func(fd int)) bool {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}
