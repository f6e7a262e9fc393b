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

// serveClient serves a client connection, which is idle until removeIdle is called, until it closes.
func (p *Program) serveClient(client protocol.Client, removeIdle func()) {
	cell := cells.NoCell // cell of the last RPC, to which the connection is charged
	client.SetWriteTimeout(clientWriteTimeout)
	entry, unregister := p.cancels.register()
	defer unregister()
	identity, reason := client.Handshake(entry.key, p.cancels.cancel)
	for isServed := false; reason == transport.Open; {
		var text string
		var receivedAt time.Time
		text, receivedAt, reason = client.ReadQuery()
		if isBetweenQueries(reason) && client.ResumeIfInput() {
			reason = transport.Open
			continue
		}
		if reason != transport.Open {
			break
		}
		if reason = client.CloseReason(); reason != transport.Open { // the client left after sending the query
			break
		}
		removeIdle()
		var rpc *routing.ActiveRPC
		rpc, reason = p.serveQuery(client, entry, identity, text, receivedAt)
		if rpc != nil {
			isServed = true
			previous := cell
			cell = rpc.Cell()
			p.router.MoveConnection(previous, cell)
		}
		removeIdle = func() {}
		if reason == transport.Open {
			removeIdle = p.idleClients.add(client, isServed, cell)
		}
	}
	removeIdle()
	p.router.MoveConnection(cell, cells.NoCell)
	p.linger(client, reason)
	p.closes.count(reason)
	p.log.Debugf("client connection closed end=%q", reason)
	client.Close(reason)
}

// linger gives a client time to read its last answer, if one was sent.
func (p *Program) linger(client protocol.Client, reason transport.CloseReason) {
	linger := lingerTimes[reason]
	if linger == 0 {
		return
	}
	if !isBetweenQueries(reason) {
		defer p.idleClients.addLingering(client)()
	}
	client.Linger(linger, discardLimit(reason))
}

// isBetweenQueries reports whether a connection is to be closed because its client has no query out.
func isBetweenQueries(reason transport.CloseReason) bool {
	return reason == transport.Evicted || reason == transport.ShutDown
}

// discardLimit returns how much input is discarded while a connection lingers. The last answer to an evicted client
// was sent long ago, so what arrives now is a query that crosses the end: left unread, it is sent again.
func discardLimit(reason transport.CloseReason) int {
	if reason == transport.Evicted {
		return 0
	}
	return maxLingerBytes
}

// lingerTimes is how long the driver drains input after closing its side of a client connection.
// Closing with unread input would reset the connection and discard the answer in flight.
var lingerTimes = map[transport.CloseReason]time.Duration{
	transport.Malformed: lingerTime,
	transport.TooLong:   lingerTime,
	transport.Stalled:   lingerTime,
	transport.ShutDown:  lingerTime,
	transport.Evicted:   lingerTime / 10, // the descriptor is needed
}

const (
	lingerTime         = 200 * time.Millisecond // until a client has read its last answer and closed its side
	maxLingerBytes     = 1 << 20                // input discarded while lingering
	clientWriteTimeout = 2 * time.Second        // for a client to accept an answer
)

// serveQuery serves a query whose last byte arrived at receivedAt. It returns the RPC, or nil
// if the query was not admitted as one.
func (p *Program) serveQuery(client protocol.Client, entry *cancelEntry, identity protocol.Identity, text string,
	receivedAt time.Time) (rpc *routing.ActiveRPC, reason transport.CloseReason) {
	if strings.Trim(text, " \t\r\n;") == "" {
		defer client.ChargeAnswer(len(text))
		return nil, p.answerEmptyQuery(client)
	}
	if client.MayHaveLeft() { // nothing may be sent on for a client that has gone
		defer client.ChargeAnswer(len(text))
		return nil, client.SendFailure(protocol.Pushback(0))
	}
	statement, err := protocol.ParseStatement(text)
	if err == nil {
		request := newRequest(&statement, identity, receivedAt)
		request.AnswerBy = p.draining.answerBy(receivedAt)
		rpc, err = p.router.Admit(&request)
	}
	if err != nil {
		defer client.ChargeAnswer(len(text))
		return nil, client.SendFailure(protocol.Failure{SQLState: protocol.StateSyntaxError, Message: err.Error()})
	}
	return rpc, p.serveRPC(client, entry, &statement, rpc)
}

// newRequest converts a statement that arrived at receivedAt to the router's request.
func newRequest(statement *protocol.Statement, identity protocol.Identity, receivedAt time.Time) routing.Request {
	const milli = int64(time.Millisecond)
	return routing.Request{ID: statement.ID, Method: statement.Method, Key: statement.Key, IsWrite: statement.Write,
		IsRetry: statement.IsRetry, Group: rules.GroupID(statement.Group),
		TimeLeft: statement.TimeoutMillis * milli, ReceivedAt: receivedAt,
		MinPosition: statement.MinPositionMillis * milli, User: identity.User, Database: identity.Database}
}

// answerEmptyQuery answers once this driver is ready; clients use an empty query as a readiness
// check.
func (p *Program) answerEmptyQuery(client protocol.Client) transport.CloseReason {
	for _, ready := range append(p.readySignals(), p.readiness.ready) {
		select {
		case <-ready:
		case <-client.Context().Done():
			return client.CloseReason()
		}
	}
	return client.SendEmpty()
}

// readySignals returns the channels that are closed once this driver has its cell lease and its
// versions.
func (p *Program) readySignals() []<-chan struct{} {
	if p.operatorServices == nil {
		return nil
	}
	return []<-chan struct{}{p.operatorServices.leaseReady, p.operatorServices.versionsReady}
}

// serveRPC runs an RPC and sends its answer. The RPC is abandoned if the client leaves or cancels
// it.
func (p *Program) serveRPC(client protocol.Client, entry *cancelEntry, statement *protocol.Statement,
	rpc *routing.ActiveRPC) transport.CloseReason {
	final := p.runAttempts(client, entry, statement, rpc)
	if final.Action == routing.ActionServe {
		defer rpc.AnswerDelivered()
	}
	if rpc.WasAttempted() {
		client.RecordAttempt()
	} else {
		defer client.ChargeUnattemptedRPC()
	}
	isLast := client.StopBeforeLastAnswer()
	reason := p.sendAnswer(client, final)
	final.Answer.Release()
	if isLast && reason == transport.Open {
		return client.RefuseRest()
	}
	return reason
}

// runAttempts runs the attempts of an RPC and returns the router's final step.
func (p *Program) runAttempts(client protocol.Client, entry *cancelEntry, statement *protocol.Statement,
	rpc *routing.ActiveRPC) routing.Step {
	defer context.AfterFunc(client.Context(), rpc.ClientLeft)()
	defer p.cancels.setCancel(entry, rpc.ClientLeft)()
	for {
		step := rpc.NextStep()
		if step.Action != routing.ActionAttempt {
			return step
		}
		p.tasks.Go(func() error {
			outcome := p.runAttempt(client, step, statement, rpc)
			if !rpc.ReportAttempt(step.AttemptNumber, outcome) {
				outcome.Answer.Release()
			}
			return nil
		})
	}
}

// sendAnswer sends a client the answer that the final step of its RPC selects.
func (p *Program) sendAnswer(client protocol.Client, final routing.Step) transport.CloseReason {
	switch final.Action {
	case routing.ActionServe:
		return client.Forward(final.Answer)
	case routing.ActionReject:
		return client.SendFailure(protocol.Pushback(final.RetryAfter / int64(time.Millisecond)))
	case routing.ActionAbort:
		return client.SendFailure(protocol.Aborted())
	}
	if reason := client.CloseReason(); reason != transport.Open {
		return reason
	}
	return client.SendFailure(protocol.Canceled())
}

// runAttempt sends the statement to the selected member, with the time that is left as its timeout.
func (p *Program) runAttempt(client protocol.Client, step routing.Step, statement *protocol.Statement, rpc *routing.ActiveRPC) routing.Outcome {
	mayStart := func() bool { return !client.MayHaveLeft() && rpc.MayBegin(step.AttemptNumber) }
	return p.pools.query(step.Context, step.Member, step.Address, mayStart, func(timeout time.Duration) []string {
		return statement.WithTimeout(max(1, timeout.Milliseconds()), step.Fence)
	})
}
