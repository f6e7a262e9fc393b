package sockets

import (
	"context"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// RPC is a request of a client.
type RPC struct {
	Method      string
	Key         string
	Write       bool
	Group       int64
	Timeout     time.Duration
	MinPosition int64 // oldest position a read may reflect, Unix time in nanoseconds; 0 for none
	IsRetry     bool
}

// Outcome is the result of an RPC as its client sees it. Those up to Aborted are answers of the
// driver.
type Outcome int

const (
	Served Outcome = iota
	Rejected
	Aborted
	TimedOut       // the client stopped waiting
	ConnectionLost // the connection ended without an answer
	ConnectFailed  // the connection could not be established and nothing was sent
)

// Reply is what a client received for an RPC.
type Reply struct {
	ID         string
	Outcome    Outcome
	Value      string
	RetryAfter time.Duration
	Latency    time.Duration
}

// Clients send RPCs to drivers. Each running RPC has its own connection; idle connections are
// reused.
type Clients struct {
	fleet       *Fleet
	descriptors *transport.Descriptors
	lastID      atomic.Uint64
	answers     *protocol.AnswerBudget
	mu          sync.Mutex
	idle        map[string][]protocol.Member
}

// NewClients returns clients for the drivers of a fleet.
func (f *Fleet) NewClients() *Clients {
	return &Clients{fleet: f, descriptors: transport.NewDescriptors(maxConns), answers: protocol.NewAnswerBudget(maxAnswerBytes, maxAnswersBytes), idle: map[string][]protocol.Member{}}
}

const (
	connectTimeout  = time.Second
	maxAnswerBytes  = 1 << 20
	maxAnswersBytes = 256 << 20              // of all answers
	answerSlack     = 100 * time.Millisecond // how long after the RPC's timeout an answer is still accepted
)

// Call sends an RPC to a driver and waits for the answer.
func (c *Clients) Call(ctx context.Context, address string, rpc RPC) (reply Reply) {
	reply.ID = fmt.Sprintf("%016x", c.lastID.Add(1))
	start := time.Now()
	defer func() { reply.Latency = time.Since(start) }()
	conn, ok := c.takeIdle(address)
	if !ok {
		callCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		var reason transport.CloseReason
		if conn, reason = protocol.Connect(c.fleet.ctx, callCtx, c.descriptors, address, c.answers, nil); reason != transport.Open {
			reply.Outcome = ConnectFailed
			return reply
		}
	}
	c.fleet.RecordSent(reply.ID, rpc.Key, rpc.Write)
	callCtx, cancel := context.WithTimeout(ctx, rpc.Timeout+answerSlack)
	defer cancel()
	answer, _, reason := conn.Query(callCtx, rpc.statement(reply.ID))
	defer answer.Release()
	reply.Outcome = outcomeOf(answer, reason)
	if answer != nil && answer.Failure == nil {
		reply.Value = answer.Value()
	} else if answer != nil {
		millis, _ := strconv.ParseInt(answer.Failure.Detail, 10, 64)
		reply.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	if reply.Outcome <= Aborted {
		c.fleet.RecordAnswer(reply.ID, reply.Outcome == Served)
		if reason == transport.Open {
			c.putIdle(address, conn)
		}
	}
	return reply
}

func outcomeOf(answer *protocol.Answer, reason transport.CloseReason) Outcome {
	switch {
	case answer != nil && answer.Failure == nil:
		return Served
	case answer != nil && (answer.Failure.SQLState == protocol.StateTooManyConnections || answer.Failure.SQLState == protocol.StateCannotConnectNow):
		return Rejected
	case answer != nil:
		return Aborted
	case reason == transport.TimedOut || reason == transport.Cancelled:
		return TimedOut
	}
	return ConnectionLost
}

// statement returns the SQL text for an RPC.
func (r *RPC) statement(id string) string {
	comment := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, r.Method, r.Timeout.Milliseconds(), r.Group)
	if r.IsRetry {
		comment += ",r=1"
	}
	if r.MinPosition > 0 {
		comment += fmt.Sprintf(",after=%d", r.MinPosition/int64(time.Millisecond))
	}
	if r.Write {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%s') RETURNING content /* %s */`, r.Key,
			hex.EncodeToString([]byte(id)), comment)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* %s */", r.Key, comment)
}

func (c *Clients) takeIdle(address string) (protocol.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle[address]); n > 0; n = len(c.idle[address]) {
		conn := c.idle[address][n-1]
		c.idle[address] = c.idle[address][:n-1]
		if conn.HasNoPendingInput() {
			return conn, true
		}
		conn.Close(transport.Evicted)
	}
	return protocol.Member{}, false
}

func (c *Clients) putIdle(address string, conn protocol.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], conn)
}

// Close closes all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, conn := range idle {
			conn.Close(transport.ShutDown)
		}
	}
	c.idle = map[string][]protocol.Member{}
}
