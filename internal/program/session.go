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

// session serves one client for as long as its connection lasts.
func (p *Program) session(c protocol.Client) {
	cell := cells.NoCell // of its last RPC, for which its connection counts
	leave := p.lobby.enter(c, false, cell)
	c.SetWriteTimeout(longestWrite)
	h, forget := p.cancels.enter()
	defer forget()
	from, end := c.Handshake(h.key, p.cancels.cancel)
	for guest := false; end == transport.Open; {
		var text string
		var came time.Time
		if text, came, end = c.ReadQuery(); end != transport.Open {
			break
		}
		if end = c.CloseReason(); end != transport.Open { // it asked and went: nothing is begun for it
			break
		}
		leave()
		var trip *routing.ActiveRPC
		trip, end = p.query(c, h, from, text, came)
		if trip != nil {
			guest = true
			last := cell
			cell = trip.Cell()
			p.router.MoveConnection(last, cell)
		}
		leave = func() {}
		if end == transport.Open {
			leave = p.lobby.enter(c, guest, cell)
		}
	}
	leave()
	p.router.MoveConnection(cell, cells.NoCell)
	if while := lingers[end]; while > 0 {
		c.Linger(while, mostWaste)
	}
	p.log.Debugf("client connection closed end=%q", end)
	c.Close(end)
}

// lingers is how long, where this side ends a client's connection, the client may take to read what it was sent and to end
// its own side. What it still sends meanwhile is read and thrown away: unread it would make the close a reset, which takes
// an answer with it that is on its way. A request among it was never taken: its client, told of the end, asks elsewhere.
var lingers = map[transport.CloseReason]time.Duration{
	transport.Malformed: lingerFor,
	transport.TooLong:   lingerFor,
	transport.Stalled:   lingerFor,
	transport.ShutDown:  lingerFor,
	transport.Evicted:   lingerFor / 10, // its descriptor is wanted
}

const (
	lingerFor    = 200 * time.Millisecond // a client may take to read what it was sent before its connection closes
	mostWaste    = 1 << 20                // bytes that it may still send meanwhile
	longestWrite = 2 * time.Second        // a client may take to take its answer

	mostBehind  = 1 << 20 // bytes that a client may send behind an open query
	behindShare = 16      // and all clients together, beyond their rings, this part of the memory
)

// query serves a client's query, whose last byte came at a time, and gives the trip of the RPC that it stood for, nil where none
// was taken.
func (p *Program) query(c protocol.Client, h *held, from protocol.Identity, text string,
	came time.Time) (trip *routing.ActiveRPC, end transport.CloseReason) {
	if strings.Trim(text, " \t\r\n;") == "" {
		return nil, p.emptyQuery(c)
	}
	s, err := protocol.ParseStatement(text)
	if err == nil {
		asked := call(&s, from, came)
		trip, err = p.router.Admit(&asked)
	}
	if err != nil {
		return nil, c.SendFailure(protocol.Failure{SQLState: protocol.StateSyntaxError, Message: err.Error()})
	}
	return trip, p.rpc(c, h, &s, trip)
}

// call is the RPC that a statement stands for which came at a time.
func call(s *protocol.Statement, from protocol.Identity, came time.Time) routing.Request {
	const milli = int64(time.Millisecond)
	return routing.Request{ID: s.ID, Method: s.Method, Key: s.Key, IsWrite: s.Write, IsRetry: s.IsRetry, Group: rules.GroupID(s.Group),
		TimeLeft: s.TimeoutMillis * milli, ReceivedAt: came, MinPosition: s.MinPositionMillis * milli, User: from.User, Database: from.Database}
}

// emptyQuery is answered once this driver is ready.
func (p *Program) emptyQuery(c protocol.Client) transport.CloseReason {
	for _, reached := range append(p.leased(), p.ready.reached) {
		select {
		case <-reached:
		case <-c.Context().Done():
			return c.CloseReason()
		}
	}
	return c.SendEmpty()
}

// leased are closed once this driver knows where its tenants are, and what it acts on; none where its file says so.
func (p *Program) leased() []<-chan struct{} {
	if p.confined == nil {
		return nil
	}
	return []<-chan struct{}{p.confined.leased, p.confined.heeds}
}

// rpc does what the router picks for an RPC until that has its answer, and passes it on. Meanwhile the client is attended
// to: once it has gone, or cancels, the RPC is left.
func (p *Program) rpc(c protocol.Client, h *held, s *protocol.Statement, trip *routing.ActiveRPC) transport.CloseReason {
	final := p.steps(c, h, s, trip)
	if final.Action == routing.ActionServe {
		defer trip.AnswerDelivered()
	}
	last := p.lobby.last(c)
	end := p.answer(c, final)
	if last && end == transport.Open {
		return transport.ShutDown
	}
	return end
}

// steps makes the attempts of an RPC, and gives its last step.
func (p *Program) steps(c protocol.Client, h *held, s *protocol.Statement, trip *routing.ActiveRPC) routing.Step {
	defer context.AfterFunc(c.Context(), trip.ClientLeft)()
	defer p.cancels.open(h, trip.ClientLeft)()
	defer c.WatchForClose(p.spare)()
	for {
		step := trip.NextStep()
		if step.Action != routing.ActionAttempt {
			return step
		}
		p.tasks.Go(func() error {
			trip.ReportAttempt(step.AttemptNumber, p.attempt(step, s, trip))
			return nil
		})
	}
}

// answer gives a client its final answer.
func (p *Program) answer(c protocol.Client, final routing.Step) transport.CloseReason {
	switch final.Action {
	case routing.ActionServe:
		return c.Forward(final.Answer)
	case routing.ActionReject:
		return c.SendFailure(protocol.Pushback(final.RetryAfter / int64(time.Millisecond)))
	case routing.ActionAbort:
		return c.SendFailure(protocol.Aborted())
	}
	if end := c.CloseReason(); end != transport.Open {
		return end
	}
	return c.SendFailure(protocol.Canceled())
}

// attempt makes an attempt. The member is told how long this driver waits.
func (p *Program) attempt(step routing.Step, s *protocol.Statement, trip *routing.ActiveRPC) routing.Outcome {
	may := func() bool { return trip.MayBegin(step.AttemptNumber) }
	return p.pools.ask(step.Context, step.Member, step.Address, may, func(within time.Duration) []string {
		return s.WithTimeout(max(1, within.Milliseconds()), step.Fence)
	})
}
