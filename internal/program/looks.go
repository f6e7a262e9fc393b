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

// looks makes probes over the connections that attempts use too. While a member does not answer new ones are tried,
// and if one left over from before still works once the member answers, that ran all along.
type looks struct {
	pools *pools
	mu    sync.Mutex
	mute  map[rules.MemberID]bool // its last probe was not answered
}

func newLooks(p *pools) *looks { return &looks{pools: p, mute: map[rules.MemberID]bool{}} }

// look probes a member. The module has one probe of a member out at a time.
func (l *looks) look(by context.Context, to rules.MemberID, address string, may func() bool) (o routing.Outcome) {
	mute, usable, w := l.isMute(to), false, link{}
	if !mute {
		w, usable = l.pools.waiting(to, address)
	}
	if usable {
		o = l.ask(by, to, w, may)
	}
	if !usable || o.Answer == nil && o.CloseReason != transport.TimedOut && o.CloseReason != transport.Withheld { // one that broke tells nothing now
		o = l.lookAnew(by, to, address, mute, may)
	}
	if o.CloseReason != transport.Withheld && o.CloseReason != transport.NoDescriptor { // else none was made, which tells nothing
		l.setMute(to, o.Answer == nil)
	}
	return o
}

// lookAnew probes over a new connection, and then over one from before, where the member did not answer meanwhile.
func (l *looks) lookAnew(by context.Context, to rules.MemberID, address string, mute bool, may func() bool) routing.Outcome {
	w, end := l.pools.open(by, to, address)
	if end != transport.Open {
		return routing.Outcome{CloseReason: end}
	}
	o := l.ask(by, to, w, may)
	if o.Answer == nil || !mute {
		return o
	}
	if old, left := l.pools.left(to, address); left {
		if again := l.ask(by, to, old, may); again.Answer != nil {
			return again
		}
	}
	return o
}

// ask probes over a connection, and gives it to the pool if it is still good.
func (l *looks) ask(by context.Context, to rules.MemberID, w link, may func() bool) routing.Outcome {
	if end := begins(by, may); end != transport.Open {
		l.pools.give(to, w, w.since)
		return routing.Outcome{CloseReason: end}
	}
	answer, sent, end := w.Query(by, protocol.LoadQuery)
	l.pools.answered(to, answer != nil, end)
	if end == transport.Open {
		l.pools.give(to, w, time.Now())
	}
	return routing.Outcome{Answer: answer, WasSent: sent, CloseReason: end, OpenedAt: w.opened}
}

func (l *looks) isMute(to rules.MemberID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mute[to]
}

func (l *looks) setMute(to rules.MemberID, mute bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute[to] = mute
}

// shed closes the connections to a member that carry nothing, but for what is left to tell whether one that does not
// answer ran on.
func (l *looks) shed(to rules.MemberID) {
	if !l.isMute(to) {
		l.pools.shed(to)
	}
}

// drop lets go of all that is kept for a member.
func (l *looks) drop(to rules.MemberID) {
	l.pools.drop(to)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.mute, to)
}
