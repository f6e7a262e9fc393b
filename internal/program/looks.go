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

// looks are the connections for probes, two a member, used by turns. While a member does not answer, new ones are
// tried and the one left over is not written to: if it still works once the member answers, that ran all along.
type looks struct {
	pools *pools
	mu    sync.Mutex
	kept  map[rules.MemberID][]link // the one used last comes last
	mute  map[rules.MemberID]bool   // its last probe was not answered
}

const keptLooks = 2 // connections for probes of a member

func newLooks(p *pools) *looks {
	return &looks{pools: p, kept: map[rules.MemberID][]link{}, mute: map[rules.MemberID]bool{}}
}

// look probes a member. The module has one probe of a member out at a time.
func (l *looks) look(by context.Context, to rules.MemberID, address string) (o routing.Outcome) {
	mute, usable, w := l.isMute(to), false, link{}
	if !mute {
		w, usable = l.take(to, address)
	}
	if usable {
		o = l.ask(by, to, w)
	}
	if !usable || o.Answer == nil && o.End != transport.TimedOut { // one that broke tells nothing of the member now
		o = l.lookAnew(by, to, address, mute)
	}
	l.setMute(to, o.Answer == nil)
	return o
}

// lookAnew probes over a new connection, and then over one from before, where the member did not answer meanwhile.
func (l *looks) lookAnew(by context.Context, to rules.MemberID, address string, mute bool) routing.Outcome {
	w, end := l.pools.open(by, address)
	if end != transport.Open {
		return routing.Outcome{End: end}
	}
	o := l.ask(by, to, w)
	if o.Answer == nil || !mute {
		return o
	}
	if old, ok := l.take(to, address); ok {
		if again := l.ask(by, to, old); again.Answer != nil {
			return again
		}
	}
	return o
}

// ask probes over a connection, and keeps it if it is still good.
func (l *looks) ask(by context.Context, to rules.MemberID, w link) routing.Outcome {
	answer, sent, end := w.Ask(by, protocol.LoadQuery)
	if end == transport.Open {
		w.since = time.Now()
		l.mu.Lock()
		l.kept[to] = append(l.kept[to], w)
		l.mu.Unlock()
	}
	return routing.Outcome{Answer: answer, Sent: sent, End: end, Opened: w.opened}
}

// take takes the connection to a member that was used longest ago, if as many as there should be are kept.
func (l *looks) take(to rules.MemberID, address string) (w link, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept[to] = pruned(l.kept[to], func(k link) bool { return k.good(address, l.pools.idleFor) })
	if len(l.kept[to]) < keptLooks {
		return w, false
	}
	w, l.kept[to] = l.kept[to][0], l.kept[to][1:]
	if !w.Quiet() {
		w.Close(transport.Evicted)
		return w, false
	}
	return w, true
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

// shed closes the connections to a member, but for what is left to tell whether one that does not answer ran on.
func (l *looks) shed(to rules.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mute[to] {
		l.close(to)
	}
}

// drop lets go of all that is kept for a member.
func (l *looks) drop(to rules.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.close(to)
	delete(l.mute, to)
}

// close closes the connections to a member. The lock is held.
func (l *looks) close(to rules.MemberID) {
	for _, w := range l.kept[to] {
		w.Close(transport.Evicted)
	}
	delete(l.kept, to)
}
