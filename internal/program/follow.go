package program

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// Of what discovery may take. A change is known here in time if the watch that would have told of it falls silent with no
// reset as soon as it is open, and the change comes right then: the wait, what the answer to it may be late, and a call for
// the whole list after that, on a new connection, are watchWait + lateBy + answerWithin = 5 s of the toldWithin that a change
// may take, with a second to spare. A call that fails is followed by another after a pause of the module's, 2 s at the most: once
// discovery can be reached again that takes answerWithin, for a call that began too early and hangs, the pause, and lateBy for
// one that is answered, 5 s again, and half of that or less where failures show at once, as they do where it is down.
//
// Where lists are pushed an agent is asked, and what it has when it comes back from an outage counts at once: then a call that
// hangs and the pause after it take a quarter each of the grace in which a drain has to be kept.
const (
	toldWithin   = 6 * time.Second // a change counts as told so long after discovery had it and could be reached
	answerWithin = toldWithin / 3  // for a call that does not wait: it is one of many, which are handled in turn
	watchWait    = toldWithin / 3  // a watch waits so long at the most, though it may wait longer
	lateBy       = toldWithin / 6  // and its answer may come so much later
	leastAnswer  = 100 * time.Millisecond
	earlier      = 0.25 // waits are shorter by up to this share, by lot, so that drivers do not ask all at once
)

// source is where the list comes from: an address, which changes with the file, and whoever follows it there, one at a time.
//
//	state     what happens                            and then
//	resting   nobody asks                             the module wants the list, or the address changes: asking
//	asking    a call for the whole list is out        answered: watching; failed: resting, and the module hears of it
//	watching  a call waits for what is newer than     answered: watching; late: asking, at once and on a new connection;
//	          the list that is held                   broken, or nonsense: resting; older than the list: asking
//	moved     the address has changed meanwhile       asking at the new one; what still comes from the old changes nothing
type source struct {
	mu      sync.Mutex
	address string
	leave   context.CancelCauseFunc // of the one that asks, nil for none
	rng     *rand.Rand              // of whoever asks
}

// wait is how long the next call of a watch waits.
func (s *source) wait(most time.Duration) time.Duration {
	most = min(most, watchWait)
	return most - time.Duration(s.rng.Float64()*earlier*float64(most))
}

// accept takes in an answer, unless the address has changed since it was asked for: the list is another's by then.
func (s *source) accept(stay context.Context, take func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stay.Err() == nil {
		take()
	}
}

// enter gives whoever will ask the address and a context that ends once that has changed; ok is false while
// somebody else asks.
func (s *source) enter(ctx context.Context) (stay context.Context, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leave != nil {
		return nil, "", false
	}
	stay, s.leave = context.WithCancelCause(ctx)
	return stay, s.address, true
}

// exit ends the asking, and tells whether that was because the address has changed.
func (s *source) exit(stay context.Context) (moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved = stay.Err() != nil
	s.leave(transport.Cancelled)
	s.leave = nil
	return moved
}

// move changes the address. What is asked at the old one is left at once; moved and idle tells that nobody asks now.
func (s *source) move(address string) (idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return false
	}
	s.address = address
	if s.leave != nil {
		s.leave(transport.Cancelled)
	}
	return s.leave == nil
}

// follow asks for the list and then watches it until that breaks off; where the list comes from elsewhere by then
// it is asked for there at once.
func (p *Program) follow(ctx context.Context) {
	for {
		stay, address, ok := p.source.enter(ctx)
		if !ok {
			return
		}
		err := p.watch(stay, address)
		moved := p.source.exit(stay)
		if ctx.Err() != nil {
			return
		}
		if !moved {
			p.ready.listed(p.router, protocol.Targets{})
			p.log.WithError(err).Warn("discovery broke off")
			p.router.ReportNoList()
			return
		}
	}
}

// watch reports the list and its changes until a call fails or the context ends. A watch that has fallen silent, or tells
// what is older than the list, is given up for the whole list.
func (p *Program) watch(ctx context.Context, address string) error {
	d := protocol.NewDiscovery(p.descriptors, address)
	defer d.Close(transport.ShutDown)
	t, err := p.askWhole(ctx, d)
	for err == nil && ctx.Err() == nil {
		p.source.accept(ctx, func() {
			p.router.ReportList(t)
			p.ready.listed(p.router, t)
		})
		held := t.Generation
		t, err = p.askSince(ctx, d, held)
		silent := errors.Is(err, transport.TimedOut)
		if ctx.Err() == nil && (silent || err == nil && !t.Whole && t.Generation < held) {
			p.log.WithField("silent", silent).Info("the whole list is asked for")
			t, err = p.askWhole(ctx, d)
		}
	}
	return err
}

func (p *Program) askWhole(ctx context.Context, d *protocol.Discovery) (protocol.Targets, error) {
	by, stop := context.WithTimeoutCause(ctx, p.posting.AnswerWithin, transport.TimedOut)
	defer stop()
	return d.Whole(ctx, by)
}

func (p *Program) askSince(ctx context.Context, d *protocol.Discovery, generation int64) (protocol.Targets, error) {
	wait := p.source.wait(p.posting.WatchFor)
	by, stop := context.WithTimeoutCause(ctx, wait+lateBy, transport.TimedOut)
	defer stop()
	return d.Since(ctx, by, generation, wait.Milliseconds())
}
