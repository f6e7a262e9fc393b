package program

import (
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sedgespread/internal/transport"
)

const (
	// drainDelay is how long this driver keeps accepting clients after a shutdown request, so that
	// clients learn of it first.
	drainDelay = 600 * time.Millisecond

	// The platform kills a driver no sooner than the longest deadline, up to maxAwaitedDeadline, and
	// killDelay after it asked for the shutdown.
	maxAwaitedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// answerMargin is how long before that the last answer is due. A driver may be held up for 150 ms.
	answerMargin = 200 * time.Millisecond
)

// drainState says since when this driver drains. The zero drainState means that it does not.
type drainState struct{ period atomic.Pointer[drainPeriod] }

// drainPeriod begins after drainDelay. A query that arrives in it is answered by its end.
type drainPeriod struct{ begin, end time.Time }

// begin starts the drain of a shutdown that was requested at requestedAt. longestDeadline is that of
// all methods.
func (d *drainState) begin(requestedAt time.Time, longestDeadline time.Duration) {
	untilKill := min(longestDeadline, maxAwaitedDeadline) + killDelay
	d.period.Store(&drainPeriod{begin: time.Now(), end: requestedAt.Add(untilKill - answerMargin)})
}

// answerBy returns by when a query that arrived at receivedAt has to be answered because this driver
// may be killed then; the zero time for none.
func (d *drainState) answerBy(receivedAt time.Time) time.Time {
	period := d.period.Load()
	if period == nil || receivedAt.Before(period.begin) {
		return time.Time{}
	}
	return period.end
}

// shutDown keeps serving for drainDelay and then closes each client connection once its queries are
// answered.
//
//	phase     behavior                                                     limit
//	draining  everything is served; clients may still connect              drainDelay
//	closing   the listener is closed; idle clients are closed; a query     partialMessageTimeout for the rest
//	          of which a part was received may be completed; all queries   of a query, the longest RPC timeout
//	          that began in time are answered, and later ones on the same  for the answers; drainState.answerBy for
//	          connection are refused until nothing is left to answer       queries completed in this phase
//	linger    each connection: the driver closes its side, discards        clientWriteTimeout and
//	          input, and closes once the client has closed its side        lingerTime
//
// A query that begins in the closing phase is refused, if it was read at all, or else left in the
// socket: its client asks again on another connection. So nothing is read for longer than it takes to
// answer what began in time, also if a client never stops sending.
func (p *Program) shutDown(listener *transport.Listener, sessions *errgroup.Group) {
	p.log.Info("leaving")
	requestedAt := time.Now()
	time.Sleep(drainDelay)
	listener.Close()
	p.draining.begin(requestedAt, p.router.LongestDeadline())
	p.idleClients.drain()
	ended := make(chan struct{})
	go func() { sessions.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(p.router.MaxTimeLeft() + clientWriteTimeout + lingerTime):
		p.log.Warn("shutdown timed out with clients still connected")
	}
}
