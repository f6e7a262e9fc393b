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
	Method string
	Key    string
	Write  bool
	Group  int64
	Give   time.Duration
	After  int64 // position that a read must see, Unix time in nanoseconds, 0 for none
	Again  bool
}

// Fate is how an RPC ended for its client.
type Fate int

const (
	Served Fate = iota
	PushedBack
	Aborted
	Unanswered // its client gave up waiting
	Broken     // the connection ended without an answer
	NoDriver   // no connection could be had, and nothing was sent
)

// Reply is what a client got.
type Reply struct {
	ID       string
	Fate     Fate
	Value    string
	ComeBack time.Duration
	Took     time.Duration
}

// Clients ask drivers. Each RPC has a connection of its own while it is open; connections are used again.
type Clients struct {
	fleet   *Fleet
	sockets *transport.Descriptors
	last    atomic.Uint64
	mu      sync.Mutex
	idle    map[string][]protocol.Member
}

// Clients makes clients of a fleet's drivers.
func (f *Fleet) Clients() *Clients {
	return &Clients{fleet: f, sockets: transport.NewDescriptors(mostConns), idle: map[string][]protocol.Member{}}
}

const (
	connectWithin = time.Second
	clientSlack   = 100 * time.Millisecond // an answer may come so late and still counts as one
)

// Ask asks a driver and waits for the answer.
func (c *Clients) Ask(ctx context.Context, address string, r RPC) (reply Reply) {
	reply.ID = fmt.Sprintf("%016x", c.last.Add(1))
	begun := time.Now()
	defer func() { reply.Took = time.Since(begun) }()
	m, ok := c.take(address)
	if !ok {
		by, stop := context.WithTimeout(ctx, connectWithin)
		defer stop()
		var end transport.CloseReason
		if m, end = protocol.Connect(c.fleet.life, by, c.sockets, address, 1<<20, nil); end != transport.Open {
			reply.Fate = NoDriver
			return reply
		}
	}
	c.fleet.Sent(reply.ID, r.Key, r.Write)
	by, stop := context.WithTimeout(ctx, r.Give+clientSlack)
	defer stop()
	a, _, end := m.Query(by, r.statement(reply.ID))
	reply.Fate = fateOf(a, end)
	if a != nil && a.Failure == nil {
		reply.Value = a.Value()
	} else if a != nil {
		millis, _ := strconv.ParseInt(a.Failure.Detail, 10, 64)
		reply.ComeBack = time.Duration(millis) * time.Millisecond
	}
	if reply.Fate <= Aborted {
		c.fleet.Answered(reply.ID, reply.Fate == Served)
		if end == transport.Open {
			c.give(address, m)
		}
	}
	return reply
}

func fateOf(a *protocol.Answer, end transport.CloseReason) Fate {
	switch {
	case a != nil && a.Failure == nil:
		return Served
	case a != nil && (a.Failure.SQLState == protocol.StateTooManyConnections || a.Failure.SQLState == protocol.StateCannotConnectNow):
		return PushedBack
	case a != nil:
		return Aborted
	case end == transport.TimedOut || end == transport.Cancelled:
		return Unanswered
	}
	return Broken
}

// statement is what is sent for an RPC.
func (r *RPC) statement(id string) string {
	comment := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, r.Method, r.Give.Milliseconds(), r.Group)
	if r.Again {
		comment += ",r=1"
	}
	if r.After > 0 {
		comment += fmt.Sprintf(",after=%d", r.After/int64(time.Millisecond))
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
