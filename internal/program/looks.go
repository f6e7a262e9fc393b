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

// prober makes probes over the connections that attempts use too. While a member does not answer new ones are tried,
// and if one left over from before still works once the member answers, that ran all along.
type prober struct {
	pools        *memberPools
	mu           sync.Mutex
	unresponsive map[rules.MemberID]bool // its last probe was not answered
}

func newProber(pools *memberPools) *prober {
	return &prober{pools: pools, unresponsive: map[rules.MemberID]bool{}}
}

// probe probes a member. The module has one probe of a member out at a time.
func (l *prober) probe(ctx context.Context, member rules.MemberID, address string, mayStart func() bool) (outcome routing.Outcome) {
	wasUnresponsive, usable, conn := l.isUnresponsive(member), false, memberConn{}
	if !wasUnresponsive {
		conn, usable = l.pools.takeIdle(member, address)
	}
	if usable {
		outcome = l.query(ctx, member, conn, mayStart)
	}
	if !usable || outcome.Answer == nil && outcome.End != transport.TimedOut && outcome.End != transport.Withheld { // one that broke tells nothing now
		outcome = l.probeNewConn(ctx, member, address, wasUnresponsive, mayStart)
	}
	if outcome.End != transport.Withheld && outcome.End != transport.NoDescriptor { // else none was made, which tells nothing
		l.setUnresponsive(member, outcome.Answer == nil)
	}
	return outcome
}

// probeNewConn probes over a new connection, and then over one from before, where the member did not answer meanwhile.
func (l *prober) probeNewConn(ctx context.Context, member rules.MemberID, address string, wasUnresponsive bool, mayStart func() bool) routing.Outcome {
	conn, reason := l.pools.dial(ctx, member, address)
	if reason != transport.Open {
		return routing.Outcome{End: reason}
	}
	outcome := l.query(ctx, member, conn, mayStart)
	if outcome.Answer == nil || !wasUnresponsive {
		return outcome
	}
	if old, found := l.pools.takeOldest(member, address); found {
		if again := l.query(ctx, member, old, mayStart); again.Answer != nil {
			return again
		}
	}
	return outcome
}

// query probes over a connection, and gives it to the pool if it is still good.
func (l *prober) query(ctx context.Context, member rules.MemberID, conn memberConn, mayStart func() bool) routing.Outcome {
	if reason := checkStart(ctx, mayStart); reason != transport.Open {
		l.pools.put(member, conn, conn.idleSince)
		return routing.Outcome{End: reason}
	}
	answer, sent, reason := conn.Query(ctx, protocol.LoadQuery)
	l.pools.recordResult(member, answer != nil, reason)
	if reason == transport.Open {
		l.pools.put(member, conn, time.Now())
	}
	return routing.Outcome{Answer: answer, Sent: sent, End: reason, Opened: conn.openedAt}
}

func (l *prober) isUnresponsive(member rules.MemberID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unresponsive[member]
}

func (l *prober) setUnresponsive(member rules.MemberID, unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive[member] = unresponsive
}

// closeIdle closes the connections to a member that carry nothing, but for what is left to tell whether one that does not
// answer ran on.
func (l *prober) closeIdle(member rules.MemberID) {
	if !l.isUnresponsive(member) {
		l.pools.closeIdle(member)
	}
}

// forget lets go of all that is kept for a member.
func (l *prober) forget(member rules.MemberID) {
	l.pools.forget(member)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unresponsive, member)
}
