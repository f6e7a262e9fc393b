package program

import (
	"context"
	"strings"
	"time"

	"sedgespread/internal/cells"
	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// serveClient serves one client for as long as its connection lasts.
func (p *Program) serveClient(c protocol.Client) {
	cell := cells.NoCell // of its last RPC, for which its connection counts
	removeIdle := p.idleClients.add(c, false, cell)
	c.SetWriteTimeout(clientWriteTimeout)
	entry, unregister := p.cancels.register()
	defer unregister()
	identity, reason := c.Handshake(entry.key, p.cancels.cancel)
	for isServed := false; reason == transport.Open; {
		var text string
		var receivedAt time.Time
		if text, receivedAt, reason = c.ReadQuery(); reason != transport.Open {
			break
		}
		if reason = c.CloseReason(); reason != transport.Open { // it asked and went: nothing is begun for it
			break
		}
		removeIdle()
		var trip *routing.Trip
		trip, reason = p.serveQuery(c, entry, identity, text, receivedAt)
		if trip != nil {
			isServed = true
			previous := cell
			cell = trip.Cell()
			p.router.Seat(previous, cell)
		}
		removeIdle = func() {}
		if reason == transport.Open {
			removeIdle = p.idleClients.add(c, isServed, cell)
		}
	}
	removeIdle()
	p.router.Seat(cell, cells.NoCell)
	if linger := lingerTimes[reason]; linger > 0 {
		c.Linger(linger, maxLingerBytes)
	}
	p.log.Debugf("client connection closed end=%q", reason)
	c.Close(reason)
}

// lingerTimes is how long, where this side ends a client's connection, the client may take to read what it was sent and to end
// its own side. What it still sends meanwhile is read and thrown away: unread it would make the close a reset, which takes
// an answer with it that is on its way. A request among it was never taken: its client, told of the end, asks elsewhere.
var lingerTimes = map[transport.CloseReason]time.Duration{
	transport.Malformed: lingerTime,
	transport.TooLong:   lingerTime,
	transport.Stalled:   lingerTime,
	transport.ShutDown:  lingerTime,
	transport.Evicted:   lingerTime / 10, // its descriptor is wanted
}

const (
	lingerTime         = 200 * time.Millisecond // a client may take to read what it was sent before its connection closes
	maxLingerBytes     = 1 << 20                // bytes that it may still send meanwhile
	clientWriteTimeout = 2 * time.Second        // a client may take to take its answer

	maxPipelinedBytes      = 1 << 20 // bytes that a client may send behind an open query
	pipelinedMemoryDivisor = 16      // and all clients together, beyond their rings, this part of the memory
)

// serveQuery serves a client's query, whose last byte came at a time, and gives the trip of the RPC that it stood for, nil where none
// was taken.
func (p *Program) serveQuery(c protocol.Client, entry *cancelEntry, identity protocol.Identity, text string,
	receivedAt time.Time) (trip *routing.Trip, reason transport.CloseReason) {
	if strings.Trim(text, " \t\r\n;") == "" {
		return nil, p.answerEmptyQuery(c)
	}
	statement, err := protocol.ParseStatement(text)
	if err == nil {
		rpcCall := newCall(&statement, identity, receivedAt)
		trip, err = p.router.Admit(&rpcCall)
	}
	if err != nil {
		return nil, c.SendFailure(protocol.Failure{SQLState: protocol.StateSyntaxError, Message: err.Error()})
	}
	return trip, p.serveRPC(c, entry, &statement, trip)
}

// newCall is the RPC that a statement stands for which came at a time.
func newCall(statement *protocol.Statement, identity protocol.Identity, receivedAt time.Time) routing.Call {
	const milli = int64(time.Millisecond)
	return routing.Call{ID: statement.ID, Method: statement.Method, Key: statement.Key, Write: statement.Write, Repeat: statement.IsRetry, Group: rules.GroupID(statement.Group),
		Left: statement.TimeoutMillis * milli, Came: receivedAt, Token: statement.MinPositionMillis * milli, User: identity.User, Base: identity.Database}
}

// answerEmptyQuery is answered once this driver is ready.
func (p *Program) answerEmptyQuery(c protocol.Client) transport.CloseReason {
	for _, ready := range append(p.readySignals(), p.readiness.ready) {
		select {
		case <-ready:
		case <-c.Context().Done():
			return c.CloseReason()
		}
	}
	return c.SendEmpty()
}

// readySignals are closed once this driver knows where its tenants are, and what it acts on; none where its file says so.
func (p *Program) readySignals() []<-chan struct{} {
	if p.operatorServices == nil {
		return nil
	}
	return []<-chan struct{}{p.operatorServices.leaseReady, p.operatorServices.versionsReady}
}

// serveRPC does what the router picks for an RPC until that has its answer, and passes it on. Meanwhile the client is attended
// to: once it has gone, or cancels, the RPC is left.
func (p *Program) serveRPC(c protocol.Client, entry *cancelEntry, statement *protocol.Statement, trip *routing.Trip) transport.CloseReason {
	final := p.runAttempts(c, entry, statement, trip)
	if final.Act == routing.Serve {
		defer trip.Passed()
	}
	isLast := p.idleClients.stopBeforeLastAnswer(c)
	reason := p.sendAnswer(c, final)
	if isLast && reason == transport.Open {
		return transport.ShutDown
	}
	return reason
}

// runAttempts makes the attempts of an RPC, and gives its last step.
func (p *Program) runAttempts(c protocol.Client, entry *cancelEntry, statement *protocol.Statement, trip *routing.Trip) routing.Step {
	defer context.AfterFunc(c.Context(), trip.Leave)()
	defer p.cancels.setCancel(entry, trip.Leave)()
	defer c.WatchForClose(p.overflow)()
	for {
		step := trip.Pick()
		if step.Act != routing.Attempt {
			return step
		}
		p.tasks.Go(func() error {
			trip.Report(step.Number, p.runAttempt(step, statement, trip))
			return nil
		})
	}
}

// sendAnswer gives a client its final answer.
func (p *Program) sendAnswer(c protocol.Client, final routing.Step) transport.CloseReason {
	switch final.Act {
	case routing.Serve:
		return c.Forward(final.Answer)
	case routing.PushBack:
		return c.SendFailure(protocol.Pushback(final.ComeBack / int64(time.Millisecond)))
	case routing.Abort:
		return c.SendFailure(protocol.Aborted())
	}
	if reason := c.CloseReason(); reason != transport.Open {
		return reason
	}
	return c.SendFailure(protocol.Canceled())
}

// runAttempt makes an attempt. The member is told how long this driver waits.
func (p *Program) runAttempt(step routing.Step, statement *protocol.Statement, trip *routing.Trip) routing.Outcome {
	mayStart := func() bool { return trip.May(step.Number) }
	return p.pools.query(step.By, step.Member, step.Address, mayStart, func(timeout time.Duration) []string {
		return statement.WithTimeout(max(1, timeout.Milliseconds()), step.Fence)
	})
}
