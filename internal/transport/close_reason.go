package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseReason says why a connection closed, could not be opened or was not used. It is Open
// for a connection that has not closed.
type CloseReason int

// The reasons for which a connection closes, or why it is not used.
const (
	Open         CloseReason = iota
	DialRefused              // no listener at the address
	DialTimedOut             // not connected in time
	DialFailed               // any other failure to connect
	NoDescriptor             // the limit on open sockets was reached
	Rejected                 // the peer accepted the connection but refused the session
	ClosedByPeer             // closed in an orderly way between messages
	Truncated                // closed by the peer within a message
	ResetByPeer              // the connection broke, usually by a reset
	Malformed                // the peer violated the protocol
	TooLong                  // the peer sent more than the size limit
	WriteStalled             // the peer did not read in time
	TimedOut                 // a deadline of this process passed
	Cancelled                // the reply was no longer needed
	Evicted                  // closed between messages to free resources
	Stalled                  // the peer did not finish a message in time
	ShutDown                 // this process is shutting down
	Withheld                 // not used: the request it was opened for may no longer be sent
)

var closeReasonTexts = [...]string{"open", "dial refused", "dial timed out", "dial failed", "no descriptor", "turned away",
	"closed by peer", "cut short", "reset by peer", "malformed", "too long", "write stalled", "timed out", "cancelled",
	"evicted", "stalled", "shut down", "withheld"}

// String returns the reason as text, as in logs and traces.
func (r CloseReason) String() string { return closeReasonTexts[r] }

// Error lets a CloseReason be the cause of a context's cancellation.
func (r CloseReason) Error() string { return closeReasonTexts[r] }

// CloseReasonOf maps the cause of a context's end to a CloseReason: the one it was cancelled with,
// TimedOut after its deadline, else Cancelled. It is Open for a context that has not ended.
func CloseReasonOf(ctx context.Context) CloseReason {
	var reason CloseReason
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return Open
	case errors.As(cause, &reason):
		return reason
	case errors.Is(cause, context.DeadlineExceeded):
		return TimedOut
	}
	return Cancelled
}

// dialFailureReason maps the error of a dial under ctx to a CloseReason.
func dialFailureReason(ctx context.Context, err error) CloseReason {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		if _, hasDeadline := ctx.Deadline(); hasDeadline {
			<-ctx.Done() // the dialer may notice the same deadline first
		}
	}
	switch {
	case ctx.Err() != nil:
		return CloseReasonOf(ctx)
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return NoDescriptor
	}
	return DialFailed
}

// readFailureReason maps the error of a read to a CloseReason.
func readFailureReason(err error) CloseReason {
	if errors.Is(err, io.EOF) {
		return ClosedByPeer
	}
	return ResetByPeer
}

// writeFailureReason maps the error of a write to a CloseReason.
func writeFailureReason(err error) CloseReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return WriteStalled
	}
	return ResetByPeer
}
