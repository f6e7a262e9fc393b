package program

import (
	"context"
	"sync"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// prober probes members, over the connections that attempts use too. While a member does not answer
// it probes over new connections; if an old connection still works afterwards, the member did not
// restart.
type prober struct {
	pools        *memberPools
	mu           sync.Mutex
	unresponsive map[rules.MemberID]bool // whether the last probe went unanswered
}

func newProber(pools *memberPools) *prober {
	return &prober{pools: pools, unresponsive: map[rules.MemberID]bool{}}
}

// probe probes a member. The router runs one probe of a member at a time.
func (p *prober) probe(ctx context.Context, member rules.MemberID, address string,
	mayStart func() bool) (outcome routing.Outcome) {
	wasUnresponsive, usable, conn := p.isUnresponsive(member), false, memberConn{}
	if !wasUnresponsive {
		conn, usable = p.pools.takeIdle(member, address)
	}
	if usable {
		outcome = p.query(ctx, member, conn, mayStart)
	}
	// A broken idle connection says nothing about the member.
	if !usable || outcome.Answer == nil && outcome.CloseReason != transport.TimedOut && outcome.CloseReason != transport.Withheld {
		outcome = p.probeNewConn(ctx, member, address, wasUnresponsive, mayStart)
	}
	if outcome.CloseReason != transport.Withheld && outcome.CloseReason != transport.NoDescriptor { // otherwise no probe was sent
		p.setUnresponsive(member, outcome.Answer == nil)
	}
	return outcome
}

// probeNewConn probes over a new connection and, if the member was unresponsive, also over an old
// one.
func (p *prober) probeNewConn(ctx context.Context, member rules.MemberID, address string, wasUnresponsive bool,
	mayStart func() bool) routing.Outcome {
	conn, reason := p.pools.dial(ctx, member, address)
	if reason != transport.Open {
		return routing.Outcome{CloseReason: reason}
	}
	outcome := p.query(ctx, member, conn, mayStart)
	if outcome.Answer == nil || !wasUnresponsive {
		return outcome
	}
	if old, found := p.pools.takeOldest(member, address); found {
		if again := p.query(ctx, member, old, mayStart); again.Answer != nil {
			return again
		}
	}
	return outcome
}

// query sends a probe over a connection and returns the connection to the pool if it is still
// usable.
func (p *prober) query(ctx context.Context, member rules.MemberID, conn memberConn,
	mayStart func() bool) routing.Outcome {
	if reason := checkStart(ctx, mayStart); reason != transport.Open {
		p.pools.put(member, conn, conn.idleSince)
		return routing.Outcome{CloseReason: reason}
	}
	answer, sent, reason := conn.Query(ctx, protocol.LoadQuery)
	answer.Release() // it is not sent on
	p.pools.recordResult(member, answer != nil, reason)
	if reason == transport.Open {
		p.pools.put(member, conn, time.Now())
	}
	return routing.Outcome{Answer: answer, WasSent: sent, CloseReason: reason, OpenedAt: conn.openedAt}
}

func (p *prober) isUnresponsive(member rules.MemberID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unresponsive[member]
}

func (p *prober) setUnresponsive(member rules.MemberID, unresponsive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive[member] = unresponsive
}

// closeIdle closes the idle connections to a member, unless the member is unresponsive: then they
// are kept to detect whether it restarts.
func (p *prober) closeIdle(member rules.MemberID) {
	if !p.isUnresponsive(member) {
		p.pools.closeIdle(member)
	}
}

// forget deletes all state of a member.
func (p *prober) forget(member rules.MemberID) {
	p.pools.forget(member)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresponsive, member)
}
