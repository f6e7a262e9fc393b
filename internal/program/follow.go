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
//	asking    a call is out for the whole list, or    answered: watching; failed: resting, and the module hears of it;
//	          for what is newer than the one held     answerWithin is over: overdue
//	overdue   the same, and the module has heard      answered: watching; failed: resting; the module wants the list: asking
//	          that it failed                          again, and the call is given up only then: its answer may come
//	watching  a call waits for what is newer than     answered: watching; late: asking, at once and on a new connection;
//	          the list that is held                   broken, or nonsense: resting; older than the list: asking for all of it
//	moved     the address has changed meanwhile       asking at the new one; what still comes from the old changes nothing
type source struct {
	mu      sync.Mutex
	address string
	leave   context.CancelCauseFunc // of the one that asks, nil for none
	overdue bool
	listed  bool       // a list is held that what is newer may be asked for
	held    int64      // and its generation
	rng     *rand.Rand // of whoever asks
}

// wait is how long the next call of a watch waits.
func (s *source) wait(most time.Duration) time.Duration {
	most = min(most, watchWait)
	return most - time.Duration(s.rng.Float64()*earlier*float64(most))
}

// accept takes in an answer, unless the address has changed since it was asked for: the list is another's by then.
func (s *source) accept(stay context.Context, t protocol.Targets, take func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stay.Err() == nil {
		s.listed, s.held, s.overdue = true, t.Generation, false
		take()
	}
}

// holds is the generation of the list that is held, and whether what is newer may be asked for.
func (s *source) holds() (generation int64, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, s.listed
}

// disown makes the whole list be asked for next.
func (s *source) disown() {
	s.mu.Lock()
	s.listed = false
	s.mu.Unlock()
}

// late notes that a call has taken too long, and tells whether it is still out. The next asks for the same: where many drivers ask at once that is
// less for discovery to tell than whole lists, of which it may not bear one for each in the time in which a change has to be known.
func (s *source) late(call context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Err() != nil {
		return false
	}
	s.overdue = true
	return true
}

// enter gives whoever will ask the address and a context that ends once that has changed; ok is false while
// somebody else asks. A call that is overdue is given up: whoever made it asks again.
func (s *source) enter(ctx context.Context) (stay context.Context, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leave != nil && s.overdue {
		s.leave(transport.TimedOut)
	}
	if s.leave != nil {
		return nil, "", false
	}
	stay, s.leave = context.WithCancelCause(ctx)
	return stay, s.address, true
}

// exit ends the asking, and tells whether that was because it is to be begun anew, since the address has changed or an overdue
// call was given up, and else whether the module has heard that it failed.
func (s *source) exit(stay context.Context) (anew, told bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	anew, told = stay.Err() != nil, s.overdue
	s.leave(transport.Cancelled)
	s.leave, s.overdue = nil, false
	return anew, told
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
		anew, told := p.source.exit(stay)
		if !anew && !told {
			p.unasked(err)
		}
		if !anew || ctx.Err() != nil {
			return
		}
	}
}

// unasked reports that discovery did not answer.
func (p *Program) unasked(err error) {
	p.ready.listed(p.router, protocol.Targets{})
	p.log.WithError(err).Warn("discovery broke off")
	p.router.ReportListFailure()
}

// watch reports the list and its changes until a call fails or the context ends. A watch that has fallen silent, or tells
// what is older than the list, is given up for the whole list.
func (p *Program) watch(ctx context.Context, address string) error {
	d := protocol.NewDiscovery(p.descriptors, address)
	defer d.Close(transport.ShutDown)
	for ask := p.askNow; ; {
		t, all, err := ask(ctx, d)
		if ctx.Err() != nil {
			return err
		}
		held, _ := p.source.holds()
		silent := errors.Is(err, transport.TimedOut)
		switch {
		case silent || err == nil && !all && !t.IsFull && t.Generation < held:
			p.log.WithField("silent", silent).Info("the whole list is asked for")
			p.source.disown()
			ask = p.askNow
		case err != nil:
			return err
		default:
			p.source.accept(ctx, t, func() {
				p.router.ApplyList(t)
				p.ready.listed(p.router, t)
			})
			ask = p.askSince
		}
	}
}

// askNow asks for what is newer than the list that is held, which is less for discovery to tell when many drivers come back to
// it at once, or for all of it where there is none, and tells which. That takes no longer than the context lasts: after
// AnswerWithin the module hears that it failed, and the call is given up once it wants another. It guards against answers that are
// written as they are given up, time after time, where discovery has many to answer in turn.
func (p *Program) askNow(ctx context.Context, d *protocol.Discovery) (t protocol.Targets, all bool, err error) {
	call, ended := context.WithCancel(ctx)
	late := time.AfterFunc(p.posting.AnswerWithin, func() {
		if p.source.late(call) {
			p.unasked(transport.TimedOut)
		}
	})
	defer late.Stop()
	defer ended()
	if held, listed := p.source.holds(); listed {
		t, err = d.FetchChanges(ctx, ctx, held, 0)
		return t, false, err
	}
	t, err = d.FetchAll(ctx, ctx)
	return t, true, err
}

// askSince waits for what is newer than the list that is held.
func (p *Program) askSince(ctx context.Context, d *protocol.Discovery) (t protocol.Targets, all bool, err error) {
	wait := p.source.wait(p.posting.WatchFor)
	by, stop := context.WithTimeoutCause(ctx, wait+lateBy, transport.TimedOut)
	defer stop()
	held, _ := p.source.holds()
	t, err = d.FetchChanges(ctx, by, held, wait.Milliseconds())
	return t, false, err
}
