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

// pools are the connections to members. Each carries one statement at a time.
type pools struct {
	life          context.Context
	d             *transport.Descriptors
	connectWithin time.Duration
	idleFor       time.Duration
	mostAnswer    int                  // bytes
	denied        func(rules.MemberID) // hears at once of a member's word that it is no primary

	mu    sync.Mutex
	idle  map[rules.MemberID][]link
	doubt map[rules.MemberID]bool  // what was sent to it last was not answered in time
	used  map[rules.MemberID]*uses // when connections to it were given back
}

const answerShare = 16 // an answer may take this part of the memory allowed

// link is a connection that carries nothing.
type link struct {
	protocol.Member
	address string
	opened  time.Time
	since   time.Time
}

// good tells whether an idle connection leads to an address, and will not just be closed there for being idle.
func (l link) good(address string, idleFor time.Duration) bool {
	return l.Idle() && l.address == address && time.Since(l.since) < idleFor*9/10
}

// keptQuiet tells whether nothing came while it was idle. One on which something did is closed: that would be taken for
// the next answer.
func (l link) keptQuiet() bool {
	if l.HasNoPendingInput() {
		return true
	}
	l.Close(transport.Evicted)
	return false
}

func newPools(life context.Context, d *transport.Descriptors, posting *Config, denied func(rules.MemberID)) *pools {
	return &pools{life: life, d: d, connectWithin: posting.ConnectWithin, idleFor: posting.IdleFor,
		mostAnswer: int(posting.MemoryMB << 20 / answerShare), denied: denied, idle: map[rules.MemberID][]link{},
		doubt: map[rules.MemberID]bool{}, used: map[rules.MemberID]*uses{}}
}

// ask sends a statement to a member and waits for what comes of it. The statement is told how long that may take. Whether
// it may begin is asked once it has its connection, just before the first byte is written.
func (p *pools) ask(by context.Context, to rules.MemberID, address string, may func() bool,
	statement func(within time.Duration) []string) routing.Outcome {
	l, ok := p.waiting(to, address)
	if end := transport.Open; !ok {
		if l, end = p.open(by, to, address); end != transport.Open {
			return routing.Outcome{End: end}
		}
	}
	if end := begins(by, may); end != transport.Open {
		p.give(to, l, l.since)
		return routing.Outcome{End: end}
	}
	deadline, _ := by.Deadline()
	answer, sent, end := l.Query(by, statement(time.Until(deadline))...)
	p.answered(to, answer != nil, end)
	if end == transport.Open {
		p.give(to, l, time.Now())
	}
	return routing.Outcome{Answer: answer, Sent: sent, End: end, Opened: l.opened}
}

// begins tells that what waited for a connection may begin, or the End for which it may not.
func begins(by context.Context, may func() bool) transport.CloseReason {
	if end := transport.CloseReasonOf(by); end != transport.Open {
		return end
	}
	if !may() {
		return transport.Withheld
	}
	return transport.Open
}

// descriptorRest is how long to wait before it is looked again for a descriptor: what holds one is an attempt, a probe or a
// client, which take some milliseconds.
const descriptorRest = 5 * time.Millisecond

// open opens a connection, if need be in place of one that is idle, or once there is one or a descriptor to spare. It guards
// against members that are taken for silent where there are more of them than descriptors, and against clients kept out since
// connections to members that carry nothing hold all.
func (p *pools) open(by context.Context, to rules.MemberID, address string) (link, transport.CloseReason) {
	within, stop := context.WithTimeoutCause(by, p.connectWithin, transport.DialTimedOut)
	defer stop()
	if p.d.Free() <= p.d.Limit()/roomShare { // as much as waiting clients may hold is left to clients
		p.evict()
	}
	denied := func() { p.denied(to) }
	m, end := protocol.Connect(p.life, within, p.d, address, p.mostAnswer, denied)
	for end == transport.NoDescriptor && (p.evict() || rest(within, descriptorRest)) {
		m, end = protocol.Connect(p.life, within, p.d, address, p.mostAnswer, denied)
	}
	now := time.Now()
	return link{Member: m, address: address, opened: now, since: now}, end
}

// rest waits for a while, and tells whether the context lasts longer.
func rest(by context.Context, while time.Duration) bool {
	after := time.NewTimer(while)
	defer after.Stop()
	select {
	case <-by.Done():
		return false
	case <-after.C:
		return true
	}
}

// answered notes whether a member answered in time.
func (p *pools) answered(to rules.MemberID, answered bool, end transport.CloseReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.doubt, to)
	} else if end == transport.TimedOut {
		p.doubt[to] = true
	}
}

// uses are the last times when a connection was given back, oldest at next.
type uses struct {
	at   [steadyUses]time.Time
	next int
}

// A member's connections are in steady use where so many were given back within that time: more often than it is probed.
// Where use is thinner, one left alone is a connection more for an attempt now and then.
const (
	steadyUses = 4
	busyFor    = time.Second
)

func (u *uses) note(now time.Time) {
	u.at[u.next] = now
	u.next = (u.next + 1) % steadyUses
}

func (u *uses) steady() bool { return u != nil && time.Since(u.at[u.next]) < busyFor }

// leave is how many idle connections to a member are to be left alone: the last one, where they are in steady use, so that
// it costs little, or where what was sent last was not answered. If the member falls silent and answers later, and on that
// one too, it ran all along. The lock is held.
func (p *pools) leave(to rules.MemberID) int {
	if p.doubt[to] || p.used[to].steady() {
		return 1
	}
	return 0
}

// waiting takes the idle connection to a member that was used last, if it is not to be left alone.
func (p *pools) waiting(to rules.MemberID, address string) (link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(to, address, p.leave(to))
}

// left takes the idle connection to a member that was left alone longest, if the one given back last is another.
func (p *pools) left(to rules.MemberID, address string) (link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(to, func(l link) bool { return !l.good(address, p.idleFor) })
	if len(p.idle[to]) < 2 {
		return link{}, false
	}
	l := p.idle[to][0]
	p.idle[to] = p.idle[to][1:]
	return l, l.keptQuiet()
}

// take takes the idle connection to a member that was used last, if more than so many are there. The lock is held.
func (p *pools) take(to rules.MemberID, address string, leave int) (link, bool) {
	p.prune(to, func(l link) bool { return !l.good(address, p.idleFor) })
	for last := len(p.idle[to]) - 1; last >= leave; last-- {
		l := p.idle[to][last]
		p.idle[to] = p.idle[to][:last]
		if l.keptQuiet() {
			return l, true
		}
	}
	return link{}, false
}

// prune lets go of idle connections that have ended or are unwanted. The lock is held.
func (p *pools) prune(to rules.MemberID, unwanted func(link) bool) {
	p.idle[to] = pruned(p.idle[to], func(l link) bool { return l.Idle() && !unwanted(l) })
	if len(p.idle[to]) == 0 {
		delete(p.idle, to)
	}
}

// pruned lets go of the links that are not good.
func pruned(links []link, good func(link) bool) []link {
	return slices.DeleteFunc(links, func(l link) bool {
		if good(l) {
			return false
		}
		l.Close(transport.Evicted)
		return true
	})
}

// give gives a connection back that carries nothing since a time.
func (p *pools) give(to rules.MemberID, l link, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.since = since
	if p.used[to] == nil {
		p.used[to] = &uses{}
	}
	p.used[to].note(time.Now())
	p.prune(to, func(link) bool { return false })
	p.idle[to] = append(p.idle[to], l)
}

// shed closes the idle connections to a member.
func (p *pools) shed(to rules.MemberID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(to, func(link) bool { return true })
}

// drop lets go of all that is known of a member.
func (p *pools) drop(to rules.MemberID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(to, func(link) bool { return true })
	delete(p.doubt, to)
	delete(p.used, to)
}

// evict closes the connection that has been idle longest, and tells whether there was one.
func (p *pools) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest link
	for _, links := range p.idle {
		for _, l := range links {
			if l.Idle() && (oldest.Conn == nil || l.since.Before(oldest.since)) {
				oldest = l
			}
		}
	}
	if oldest.Conn == nil {
		return false
	}
	oldest.Close(transport.Evicted)
	return true
}
