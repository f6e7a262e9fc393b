package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseReason is the way in which a connection ended, or that it is open still.
type CloseReason int

const (
	Open         CloseReason = iota
	DialRefused              // nobody listens there
	DialTimedOut             // it never came up
	DialFailed               // any other reason for which it did not come up
	NoDescriptor             // this driver may hold no more
	Rejected                 // the peer took the connection, but not the session
	ClosedByPeer             // an orderly end between messages
	Truncated                // the peer ended it inside a message
	ResetByPeer              // the peer, or its machine, broke it
	Malformed                // the peer sent what can't be followed
	TooLong                  // the peer sent more than may be held
	WriteStalled             // the peer did not take what was sent in time
	TimedOut                 // this driver stopped waiting
	Cancelled                // this driver no longer wanted the reply
	Evicted                  // let go of between messages
	Stalled                  // the peer did not finish a message in time
	ShutDown                 // this driver is going
	Withheld                 // open, and not used: what it was opened for may not be sent any more
)

var endNames = [...]string{"open", "dial refused", "dial timed out", "dial failed", "no descriptor", "turned away",
	"closed by peer", "cut short", "reset by peer", "malformed", "too long", "write stalled", "timed out", "cancelled",
	"evicted", "stalled", "shut down", "withheld"}

func (e CloseReason) String() string { return endNames[e] }

// Error lets an End be the cause of a context's end.
func (e CloseReason) Error() string { return endNames[e] }

// CloseReasonOf tells why a context ended: the End it was cancelled with, or its deadline.
func CloseReasonOf(ctx context.Context) CloseReason {
	var end CloseReason
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return Open
	case errors.As(cause, &end):
		return end
	case errors.Is(cause, context.DeadlineExceeded):
		return TimedOut
	}
	return Cancelled
}

// endOfDial tells why no connection came up by the end of a context.
func endOfDial(by context.Context, err error) CloseReason {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		if _, bounded := by.Deadline(); bounded {
			<-by.Done() // the dialer keeps the same deadline and may see it first
		}
	}
	switch {
	case by.Err() != nil:
		return CloseReasonOf(by)
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return NoDescriptor
	}
	return DialFailed
}

func endOfRead(err error) CloseReason {
	if errors.Is(err, io.EOF) {
		return ClosedByPeer
	}
	return ResetByPeer
}

func endOfWrite(err error) CloseReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return WriteStalled
	}
	return ResetByPeer
}
