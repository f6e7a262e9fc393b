package program

import (
	"context"
	"strings"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// session serves one client for as long as its connection lasts.
func (p *Program) session(c protocol.Client) {
	end := c.Welcome()
	for end == transport.Open {
		end = p.query(c)
	}
	if end == transport.Malformed || end == transport.TooLong {
		c.Linger(lingerFor)
	}
	c.Close(end)
}

const (
	lingerFor    = 200 * time.Millisecond // a client may take to read what it was sent before its connection closes
	longestWrite = 5 * time.Second        // a client may take to take its answer, past its own time
)

// query serves the client's next query.
func (p *Program) query(c protocol.Client) transport.End {
	seat := p.lobby.enter(c)
	text, end := c.Query()
	p.lobby.leave(seat)
	if end != transport.Open {
		return end
	}
	c.WriteBy(time.Now().Add(longestWrite))
	if strings.Trim(text, " \t\r\n;") == "" {
		return p.emptyQuery(c)
	}
	s, err := protocol.ParseStatement(text)
	if err != nil {
		return c.Refuse(protocol.Failure{State: protocol.StateSyntax, Message: err.Error()})
	}
	method, err := p.router.Method(s.Method)
	if err != nil {
		return c.Refuse(protocol.Failure{State: protocol.StateSyntax, Message: err.Error()})
	}
	rpc := rules.RPC{Method: method, Group: rules.GroupID(s.Group), Session: s.Key,
		Left: s.Left * int64(time.Millisecond), Repeat: s.Repeat, Token: s.After * int64(time.Millisecond)}
	return p.rpc(c, &s, rpc)
}

// emptyQuery is answered once this driver is ready.
func (p *Program) emptyQuery(c protocol.Client) transport.End {
	select {
	case <-p.ready.reached:
		return c.Empty()
	case <-c.Context().Done():
		return c.End()
	}
}

// rpc does what the router picks for an RPC until it has its answer.
func (p *Program) rpc(c protocol.Client, s *protocol.Statement, rpc rules.RPC) transport.End {
	c.WriteBy(time.Now().Add(time.Duration(rpc.Left) + longestWrite))
	trip := p.router.Take(rpc)
	defer context.AfterFunc(c.Context(), trip.Leave)()
	for {
		switch step := trip.Pick(); step.Act {
		case routing.CallOut:
			p.tasks.Go(func() error {
				trip.Report(step.Number, p.callOut(step, s))
				return nil
			})
		case routing.Serve:
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
func (p *Program) callOut(step routing.Step, s *protocol.Statement) routing.Outcome {
	return p.pools.ask(step.By, step.Member, step.Address, func(within time.Duration) []string {
		return s.Within(max(1, within.Milliseconds()))
	})
}
