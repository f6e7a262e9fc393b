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

// memberPools holds the connections to members. A connection carries one statement at a time.
type memberPools struct {
	lifetime       context.Context
	descriptors    *transport.Descriptors
	connectTimeout time.Duration
	idleTimeout    time.Duration
	answers        *protocol.AnswerBudget
	onNotPrimary   func(rules.MemberID) // called as soon as a member reports that it is not the primary

	mu         sync.Mutex
	idle       map[rules.MemberID][]memberConn
	unanswered map[rules.MemberID]bool         // members whose last statement timed out
	returns    map[rules.MemberID]*returnTimes // when connections were returned to the pool
}

// memberConn is a connection to a member that carries no statement.
type memberConn struct {
	protocol.Member
	address   string
	openedAt  time.Time
	idleSince time.Time
}

// isUsable reports whether an idle connection leads to the address and is not about to be closed by
// the member's idle timeout.
func (c memberConn) isUsable(address string, idleTimeout time.Duration) bool {
	return c.IsIdle() && c.address == address && time.Since(c.idleSince) < idleTimeout*9/10
}

// closeUnlessQuiet reports whether no input arrived while the connection was idle. Otherwise it
// closes the connection, since that input would be taken for the next answer.
func (c memberConn) closeUnlessQuiet() bool {
	if c.HasNoPendingInput() {
		return true
	}
	c.Close(transport.Evicted)
	return false
}

func newMemberPools(lifetime context.Context, descriptors *transport.Descriptors, config *Config,
	onNotPrimary func(rules.MemberID)) *memberPools {
	return &memberPools{lifetime: lifetime, descriptors: descriptors, connectTimeout: config.ConnectTimeout,
		idleTimeout: config.IdleTimeout, answers: protocol.NewAnswerBudget(config.answerBytes()),
		onNotPrimary: onNotPrimary, idle: map[rules.MemberID][]memberConn{},
		unanswered: map[rules.MemberID]bool{}, returns: map[rules.MemberID]*returnTimes{}}
}

// query sends a statement to a member and waits for its outcome. It calls mayStart once it has a
// connection, just before the first byte is written; statement receives the time that is left.
func (p *memberPools) query(ctx context.Context, member rules.MemberID, address string, mayStart func() bool,
	statement func(remaining time.Duration) []string) routing.Outcome {
	conn, ok := p.takeIdle(member, address)
	if reason := transport.Open; !ok {
		if conn, reason = p.dial(ctx, member, address); reason != transport.Open {
			return routing.Outcome{CloseReason: reason}
		}
	}
	if reason := checkStart(ctx, mayStart); reason != transport.Open {
		p.put(member, conn, conn.idleSince)
		return routing.Outcome{CloseReason: reason}
	}
	deadline, _ := ctx.Deadline()
	answer, sent, reason := conn.Query(ctx, statement(time.Until(deadline))...)
	p.recordResult(member, answer != nil, reason)
	if reason == transport.Open {
		p.put(member, conn, time.Now())
	}
	return routing.Outcome{Answer: answer, WasSent: sent, CloseReason: reason, OpenedAt: conn.openedAt}
}

// checkStart returns Open if an operation that waited for a connection may start, or else the
// reason why not.
func checkStart(ctx context.Context, mayStart func() bool) transport.CloseReason {
	if reason := transport.CloseReasonOf(ctx); reason != transport.Open {
		return reason
	}
	if !mayStart() {
		return transport.Withheld
	}
	return transport.Open
}

// descriptorRetryInterval is the interval between attempts to obtain a descriptor.
const descriptorRetryInterval = 5 * time.Millisecond

// dial opens a connection. If no descriptor is free, it evicts an idle connection or waits for a
// descriptor. It keeps some descriptors free for clients by evicting idle connections early. Guards
// against members that are taken for unresponsive where there are more of them than descriptors, and
// against clients kept out by idle connections to members.
func (p *memberPools) dial(ctx context.Context, member rules.MemberID, address string) (memberConn, transport.CloseReason) {
	dialCtx, stop := context.WithTimeoutCause(ctx, p.connectTimeout, transport.DialTimedOut)
	defer stop()
	if p.descriptors.Free() <= p.descriptors.Limit()/idleClientsDivisor {
		p.evict()
	}
	onNotPrimary := func() { p.onNotPrimary(member) }
	conn, reason := protocol.Connect(p.lifetime, dialCtx, p.descriptors, address, p.answers, onNotPrimary)
	for reason == transport.NoDescriptor && (p.evict() || sleep(dialCtx, descriptorRetryInterval)) {
		conn, reason = protocol.Connect(p.lifetime, dialCtx, p.descriptors, address, p.answers, onNotPrimary)
	}
	now := time.Now()
	return memberConn{Member: conn, address: address, openedAt: now, idleSince: now}, reason
}

// sleep waits for the duration and reports whether the context is still live.
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

// recordResult records whether a member answered in time.
func (p *memberPools) recordResult(member rules.MemberID, answered bool, reason transport.CloseReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.unanswered, member)
	} else if reason == transport.TimedOut {
		p.unanswered[member] = true
	}
}

// returnTimes is a ring of the most recent times when a connection was returned; next is the
// oldest.
type returnTimes struct {
	at   [steadyReturns]time.Time
	next int
}

// A member's connections are in steady use if steadyReturns of them were returned within
// steadyWindow.
const (
	steadyReturns = 4
	steadyWindow  = time.Second
)

func (t *returnTimes) record(now time.Time) {
	t.at[t.next] = now
	t.next = (t.next + 1) % steadyReturns
}

func (t *returnTimes) isSteady() bool { return t != nil && time.Since(t.at[t.next]) < steadyWindow }

// reserved returns how many idle connections to a member to keep unused: one if its connections are
// in steady use or its last statement timed out. If the member answers on that connection after a
// period of silence, it was unreachable but did not restart. The lock is held.
func (p *memberPools) reserved(member rules.MemberID) int {
	if p.unanswered[member] || p.returns[member].isSteady() {
		return 1
	}
	return 0
}

// takeIdle takes the most recently used idle connection to a member, except the reserved one.
func (p *memberPools) takeIdle(member rules.MemberID, address string) (memberConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeNewest(member, address, p.reserved(member))
}

// takeOldest takes the connection to a member that has been idle longest, if there are at least
// two.
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

// takeNewest takes the most recently used idle connection to a member, if more than reserved
// remain. The lock is held.
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

// prune closes the idle connections to a member that have ended or are unwanted. The lock is held.
func (p *memberPools) prune(member rules.MemberID, unwanted func(memberConn) bool) {
	p.idle[member] = closeUnless(p.idle[member], func(conn memberConn) bool { return conn.IsIdle() && !unwanted(conn) })
	if len(p.idle[member]) == 0 {
		delete(p.idle, member)
	}
}

// closeUnless closes the connections that are not wanted and returns the others.
func closeUnless(conns []memberConn, isWanted func(memberConn) bool) []memberConn {
	return slices.DeleteFunc(conns, func(conn memberConn) bool {
		if isWanted(conn) {
			return false
		}
		conn.Close(transport.Evicted)
		return true
	})
}

// put returns a connection to the pool, idle since the given time.
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

// forget closes the idle connections to a member and deletes its state.
func (p *memberPools) forget(member rules.MemberID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(member, func(memberConn) bool { return true })
	delete(p.unanswered, member)
	delete(p.returns, member)
}

// evict closes the connection that has been idle longest and reports whether there was one.
func (p *memberPools) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest memberConn
	for _, conns := range p.idle {
		for _, conn := range conns {
			if conn.IsIdle() && (oldest.Conn == nil || conn.idleSince.Before(oldest.idleSince)) {
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
