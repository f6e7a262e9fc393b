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
	c.WriteWithin(longestWrite)
	from, end := c.Welcome()
	for guest := false; end == transport.Open; {
		var text string
		if text, end = c.Query(); end == transport.Open {
			leave()
			var trip *routing.Trip
			trip, end = p.query(c, from, text)
			if trip != nil {
				guest = true
				last := cell
				cell = trip.Cell()
				p.router.Seat(last, cell)
			}
			leave = p.lobby.enter(c, guest, cell)
		}
	}
	leave()
	p.router.Seat(cell, cells.NoCell)
	if end == transport.Malformed || end == transport.TooLong {
		c.Linger(lingerFor, mostWaste)
	}
	c.Close(end)
}

const (
	lingerFor    = 200 * time.Millisecond // a client may take to read what it was sent before its connection closes
	mostWaste    = 1 << 20                // bytes that it may still send meanwhile
	longestWrite = 2 * time.Second        // a client may take to take its answer
)

// query serves a client's query, and gives the trip of the RPC that it stood for, nil where none was taken.
func (p *Program) query(c protocol.Client, from protocol.Origin, text string) (trip *routing.Trip, end transport.End) {
	if strings.Trim(text, " \t\r\n;") == "" {
		return nil, p.emptyQuery(c)
	}
	s, err := protocol.ParseStatement(text)
	if err == nil {
		asked := call(&s, from)
		trip, err = p.router.Admit(&asked)
	}
	if err != nil {
		return nil, c.Refuse(protocol.Failure{State: protocol.StateSyntax, Message: err.Error()})
	}
	return trip, p.rpc(c, &s, trip)
}

// call is the RPC that a statement stands for.
func call(s *protocol.Statement, from protocol.Origin) routing.Call {
	const milli = int64(time.Millisecond)
	return routing.Call{ID: s.ID, Method: s.Method, Key: s.Key, Write: s.Write, Repeat: s.Repeat, Group: rules.GroupID(s.Group),
		Left: s.Left * milli, Token: s.After * milli, User: from.User, Base: from.Database}
}

// emptyQuery is answered once this driver is ready.
func (p *Program) emptyQuery(c protocol.Client) transport.End {
	for _, reached := range append(p.leased(), p.ready.reached) {
		select {
		case <-reached:
		case <-c.Context().Done():
			return c.End()
		}
	}
	return c.Empty()
}

// leased are closed once this driver knows where its tenants are, and what it acts on; none where its file says so.
func (p *Program) leased() []<-chan struct{} {
	if p.confined == nil {
		return nil
	}
	return []<-chan struct{}{p.confined.leased, p.confined.heeds}
}

// rpc does what the router picks for an RPC until it has its answer.
func (p *Program) rpc(c protocol.Client, s *protocol.Statement, trip *routing.Trip) transport.End {
	defer context.AfterFunc(c.Context(), trip.Leave)()
	for {
		switch step := trip.Pick(); step.Act {
		case routing.CallOut:
			p.tasks.Go(func() error {
				trip.Report(step.Number, p.callOut(step, s, trip))
				return nil
			})
		case routing.Serve:
			defer trip.Passed()
			return c.Pass(step.Answer)
		case routing.PushBack:
			return c.Refuse(protocol.PushBack(step.ComeBack / int64(time.Millisecond)))
		case routing.Abort:
			return c.Refuse(protocol.Abort())
		case routing.Drop:
			return c.End()
		}
	}
}

// callOut makes a call-out. The member is told how long this driver waits.
func (p *Program) callOut(step routing.Step, s *protocol.Statement, trip *routing.Trip) routing.Outcome {
	may := func() bool { return trip.May(step.Number) }
	return p.pools.ask(step.By, step.Member, step.Address, may, func(within time.Duration) []string {
		return s.Within(max(1, within.Milliseconds()), step.Fence)
	})
}
