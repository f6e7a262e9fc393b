package program

import (
	"context"
	"slices"
	"sync"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// memberPools are the connections to members. Each carries one statement at a time.
type memberPools struct {
	lifetime       context.Context
	descriptors    *transport.Descriptors
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxAnswerBytes int                  // bytes
	onNotPrimary   func(rules.MemberID) // hears at once of a member's word that it is no primary

	mu         sync.Mutex
	idle       map[rules.MemberID][]memberConn
	unanswered map[rules.MemberID]bool         // what was sent to it last was not answered in time
	returns    map[rules.MemberID]*returnTimes // when connections to it were given back
}

const maxAnswerDivisor = 16 // an answer may take this part of the memory allowed

// memberConn is a connection that carries nothing.
type memberConn struct {
	protocol.Member
	address   string
	openedAt  time.Time
	idleSince time.Time
}

// isUsable tells whether an idle connection leads to an address, and will not just be closed there for being idle.
func (l memberConn) isUsable(address string, idleTimeout time.Duration) bool {
	return l.Idle() && l.address == address && time.Since(l.idleSince) < idleTimeout*9/10
}

// closeUnlessQuiet tells whether nothing came while it was idle. One on which something did is closed: that would be taken for
// the next answer.
func (l memberConn) closeUnlessQuiet() bool {
	if l.HasNoPendingInput() {
		return true
	}
	l.Close(transport.Evicted)
	return false
}

func newMemberPools(lifetime context.Context, descriptors *transport.Descriptors, config *Config, onNotPrimary func(rules.MemberID)) *memberPools {
	return &memberPools{lifetime: lifetime, descriptors: descriptors, connectTimeout: config.ConnectTimeout, idleTimeout: config.IdleTimeout,
		maxAnswerBytes: int(config.MemoryMB << 20 / maxAnswerDivisor), onNotPrimary: onNotPrimary, idle: map[rules.MemberID][]memberConn{},
		unanswered: map[rules.MemberID]bool{}, returns: map[rules.MemberID]*returnTimes{}}
}

// query sends a statement to a member and waits for what comes of it. The statement is told how long that may take. Whether
// it may begin is asked once it has its connection, just before the first byte is written.
func (p *memberPools) query(ctx context.Context, member rules.MemberID, address string, mayStart func() bool,
	statement func(within time.Duration) []string) routing.Outcome {
	conn, ok := p.takeIdle(member, address)
	if reason := transport.Open; !ok {
		if conn, reason = p.dial(ctx, member, address); reason != transport.Open {
			return routing.Outcome{End: reason}
		}
	}
	if reason := checkStart(ctx, mayStart); reason != transport.Open {
		p.put(member, conn, conn.idleSince)
		return routing.Outcome{End: reason}
	}
	deadline, _ := ctx.Deadline()
	answer, sent, reason := conn.Query(ctx, statement(time.Until(deadline))...)
	p.recordResult(member, answer != nil, reason)
	if reason == transport.Open {
		p.put(member, conn, time.Now())
	}
	return routing.Outcome{Answer: answer, Sent: sent, End: reason, Opened: conn.openedAt}
}

// checkStart tells that what waited for a connection may begin, or the End for which it may not.
func checkStart(ctx context.Context, mayStart func() bool) transport.CloseReason {
	if reason := transport.CloseReasonOf(ctx); reason != transport.Open {
		return reason
	}
	if !mayStart() {
		return transport.Withheld
	}
	return transport.Open
}

// descriptorRetryInterval is how long to wait before it is looked again for a descriptor: what holds one is an attempt, a probe or a
// client, which take some milliseconds.
const descriptorRetryInterval = 5 * time.Millisecond

// dial opens a connection, if need be in place of one that is idle, or once there is one or a descriptor to spare. It guards
// against members that are taken for silent where there are more of them than descriptors, and against clients kept out since
// connections to members that carry nothing hold all.
func (p *memberPools) dial(ctx context.Context, member rules.MemberID, address string) (memberConn, transport.CloseReason) {
	dialCtx, stop := context.WithTimeoutCause(ctx, p.connectTimeout, transport.DialTimedOut)
	defer stop()
	if p.descriptors.Free() <= p.descriptors.Limit()/idleClientsDivisor { // as much as waiting clients may hold is left to clients
		p.evict()
	}
	onNotPrimary := func() { p.onNotPrimary(member) }
	conn, reason := protocol.Connect(p.lifetime, dialCtx, p.descriptors, address, p.maxAnswerBytes, onNotPrimary)
	for reason == transport.NoDescriptor && (p.evict() || sleep(dialCtx, descriptorRetryInterval)) {
		conn, reason = protocol.Connect(p.lifetime, dialCtx, p.descriptors, address, p.maxAnswerBytes, onNotPrimary)
	}
	now := time.Now()
	return memberConn{Member: conn, address: address, openedAt: now, idleSince: now}, reason
}

// sleep waits for a while, and tells whether the context lasts longer.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordResult notes whether a member answered in time.
func (p *memberPools) recordResult(member rules.MemberID, answered bool, reason transport.CloseReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.unanswered, member)
	} else if reason == transport.TimedOut {
		p.unanswered[member] = true
	}
}

// returnTimes are the last times when a connection was given back, oldest at next.
type returnTimes struct {
	at   [steadyReturns]time.Time
	next int
}

// A member's connections are in steady use where so many were given back within that time: more often than it is probed.
// Where use is thinner, one left alone is a connection more for an attempt now and then.
const (
	steadyReturns = 4
	steadyWindow  = time.Second
)

func (u *returnTimes) record(now time.Time) {
	u.at[u.next] = now
	u.next = (u.next + 1) % steadyReturns
}

func (u *returnTimes) isSteady() bool { return u != nil && time.Since(u.at[u.next]) < steadyWindow }

// reserved is how many idle connections to a member are to be left alone: the last one, where they are in steady use, so that
// it costs little, or where what was sent last was not answered. If the member falls silent and answers later, and on that
// one too, it ran all along. The lock is held.
func (p *memberPools) reserved(member rules.MemberID) int {
	if p.unanswered[member] || p.returns[member].isSteady() {
		return 1
	}
	return 0
}

// takeIdle takes the idle connection to a member that was used last, if it is not to be left alone.
func (p *memberPools) takeIdle(member rules.MemberID, address string) (memberConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeNewest(member, address, p.reserved(member))
}

// takeOldest takes the idle connection to a member that was left alone longest, if the one given back last is another.
func (p *memberPools) takeOldest(member rules.MemberID, address string) (memberConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(member, func(conn memberConn) bool { return !conn.isUsable(address, p.idleTimeout) })
	if len(p.idle[member]) < 2 {
		return memberConn{}, false
	}
	conn := p.idle[member][0]
	p.idle[member] = p.idle[member][1:]
	return conn, conn.closeUnlessQuiet()
}

// takeNewest takes the idle connection to a member that was used last, if more than so many are there. The lock is held.
func (p *memberPools) takeNewest(member rules.MemberID, address string, reserved int) (memberConn, bool) {
	p.prune(member, func(conn memberConn) bool { return !conn.isUsable(address, p.idleTimeout) })
	for last := len(p.idle[member]) - 1; last >= reserved; last-- {
		conn := p.idle[member][last]
		p.idle[member] = p.idle[member][:last]
		if conn.closeUnlessQuiet() {
			return conn, true
		}
	}
	return memberConn{}, false
}

// prune lets go of idle connections that have ended or are unwanted. The lock is held.
func (p *memberPools) prune(member rules.MemberID, unwanted func(memberConn) bool) {
	p.idle[member] = closeUnless(p.idle[member], func(l memberConn) bool { return l.Idle() && !unwanted(l) })
	if len(p.idle[member]) == 0 {
		delete(p.idle, member)
	}
}

// closeUnless lets go of the links that are not good.
func closeUnless(conns []memberConn, isWanted func(memberConn) bool) []memberConn {
	return slices.DeleteFunc(conns, func(l memberConn) bool {
		if isWanted(l) {
			return false
		}
		l.Close(transport.Evicted)
		return true
	})
}

// put gives a connection back that carries nothing since a time.
func (p *memberPools) put(member rules.MemberID, conn memberConn, idleSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.idleSince = idleSince
	if p.returns[member] == nil {
		p.returns[member] = &returnTimes{}
	}
	p.returns[member].record(time.Now())
	p.prune(member, func(memberConn) bool { return false })
	p.idle[member] = append(p.idle[member], conn)
}

// closeIdle closes the idle connections to a member.
func (p *memberPools) closeIdle(member rules.MemberID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(member, func(memberConn) bool { return true })
}

// forget lets go of all that is known of a member.
func (p *memberPools) forget(member rules.MemberID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(member, func(memberConn) bool { return true })
	delete(p.unanswered, member)
	delete(p.returns, member)
}

// evict closes the connection that has been idle longest, and tells whether there was one.
func (p *memberPools) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest memberConn
	for _, conns := range p.idle {
		for _, conn := range conns {
			if conn.Idle() && (oldest.Conn == nil || conn.idleSince.Before(oldest.idleSince)) {
				oldest = conn
			}
		}
	}
	if oldest.Conn == nil {
		return false
	}
	oldest.Close(transport.Evicted)
	return true
}
