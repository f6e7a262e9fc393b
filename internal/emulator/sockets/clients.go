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

// RPC is what a client asks.
type RPC struct {
	Method      string
	Key         string
	Write       bool
	Group       int64
	Timeout     time.Duration
	MinPosition int64 // position that a read must see, Unix time in nanoseconds, 0 for none
	IsRetry     bool
}

// Outcome is how an RPC ended for its client.
type Outcome int

const (
	Served Outcome = iota
	Rejected
	Aborted
	TimedOut       // its client gave up waiting
	ConnectionLost // the connection ended without an answer
	ConnectFailed  // no connection could be had, and nothing was sent
)

// Reply is what a client got.
type Reply struct {
	ID         string
	Outcome    Outcome
	Value      string
	RetryAfter time.Duration
	Latency    time.Duration
}

// Clients ask drivers. Each RPC has a connection of its own while it is open; connections are used again.
type Clients struct {
	fleet   *Fleet
	sockets *transport.Descriptors
	last    atomic.Uint64
	mu      sync.Mutex
	idle    map[string][]protocol.Member
}

// NewClients makes clients of a fleet's drivers.
func (f *Fleet) NewClients() *Clients {
	return &Clients{fleet: f, sockets: transport.NewDescriptors(mostConns), idle: map[string][]protocol.Member{}}
}

const (
	connectWithin = time.Second
	clientSlack   = 100 * time.Millisecond // an answer may come so late and still counts as one
)

// Call asks a driver and waits for the answer.
func (c *Clients) Call(ctx context.Context, address string, r RPC) (reply Reply) {
	reply.ID = fmt.Sprintf("%016x", c.last.Add(1))
	begun := time.Now()
	defer func() { reply.Latency = time.Since(begun) }()
	m, ok := c.take(address)
	if !ok {
		by, stop := context.WithTimeout(ctx, connectWithin)
		defer stop()
		var end transport.CloseReason
		if m, end = protocol.Connect(c.fleet.life, by, c.sockets, address, 1<<20, nil); end != transport.Open {
			reply.Outcome = ConnectFailed
			return reply
		}
	}
	c.fleet.RecordSent(reply.ID, r.Key, r.Write)
	by, stop := context.WithTimeout(ctx, r.Timeout+clientSlack)
	defer stop()
	a, _, end := m.Query(by, r.statement(reply.ID))
	reply.Outcome = fateOf(a, end)
	if a != nil && a.Failure == nil {
		reply.Value = a.Value()
	} else if a != nil {
		millis, _ := strconv.ParseInt(a.Failure.Detail, 10, 64)
		reply.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	if reply.Outcome <= Aborted {
		c.fleet.RecordAnswer(reply.ID, reply.Outcome == Served)
		if end == transport.Open {
			c.give(address, m)
		}
	}
	return reply
}

func fateOf(a *protocol.Answer, end transport.CloseReason) Outcome {
	switch {
	case a != nil && a.Failure == nil:
		return Served
	case a != nil && (a.Failure.SQLState == protocol.StateTooManyConnections || a.Failure.SQLState == protocol.StateCannotConnectNow):
		return Rejected
	case a != nil:
		return Aborted
	case end == transport.TimedOut || end == transport.Cancelled:
		return TimedOut
	}
	return ConnectionLost
}

// statement is what is sent for an RPC.
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

func (c *Clients) take(address string) (protocol.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle[address]); n > 0; n = len(c.idle[address]) {
		m := c.idle[address][n-1]
		c.idle[address] = c.idle[address][:n-1]
		if m.HasNoPendingInput() {
			return m, true
		}
		m.Close(transport.Evicted)
	}
	return protocol.Member{}, false
}

func (c *Clients) give(address string, m protocol.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], m)
}

// Close lets all connections go.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, m := range idle {
			m.Close(transport.ShutDown)
		}
	}
	c.idle = map[string][]protocol.Member{}
}
