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
	changeDeadline       = 6 * time.Second    // a change counts as told so long after discovery had it and could be reached
	discoveryCallTimeout = changeDeadline / 3 // for a call that does not wait: it is one of many, which are handled in turn
	maxWatchWait         = changeDeadline / 3 // a watch waits so long at the most, though it may wait longer
	watchAnswerGrace     = changeDeadline / 6 // and its answer may come so much later
	minDiscoveryTimeout  = 100 * time.Millisecond
	waitJitter           = 0.25 // waits are shorter by up to this share, by lot, so that drivers do not ask all at once
)

// discoverySource is where the list comes from: an address, which changes with the file, and whoever follows it there, one at a time.
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
type discoverySource struct {
	mu           sync.Mutex
	address      string
	cancelFollow context.CancelCauseFunc // of the one that asks, nil for none
	overdue      bool
	hasList      bool       // a list is held that what is newer may be asked for
	generation   int64      // and its generation
	rng          *rand.Rand // of whoever asks
}

// nextWait is how long the next call of a watch waits.
func (s *discoverySource) nextWait(maxWait time.Duration) time.Duration {
	maxWait = min(maxWait, maxWatchWait)
	return maxWait - time.Duration(s.rng.Float64()*waitJitter*float64(maxWait))
}

// accept takes in an answer, unless the address has changed since it was asked for: the list is another's by then.
func (s *discoverySource) accept(ctx context.Context, targets protocol.Targets, apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil {
		s.hasList, s.generation, s.overdue = true, targets.Generation, false
		apply()
	}
}

// heldGeneration is the generation of the list that is held, and whether what is newer may be asked for.
func (s *discoverySource) heldGeneration() (generation int64, hasList bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation, s.hasList
}

// dropGeneration makes the whole list be asked for next.
func (s *discoverySource) dropGeneration() {
	s.mu.Lock()
	s.hasList = false
	s.mu.Unlock()
}

// markOverdue notes that a call has taken too long, and tells whether it is still out. The next asks for the same: where many drivers ask at once that is
// less for discovery to tell than whole lists, of which it may not bear one for each in the time in which a change has to be known.
func (s *discoverySource) markOverdue(call context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Err() != nil {
		return false
	}
	s.overdue = true
	return true
}

// begin gives whoever will ask the address and a context that ends once that has changed; ok is false while
// somebody else asks. A call that is overdue is given up: whoever made it asks again.
func (s *discoverySource) begin(ctx context.Context) (followCtx context.Context, address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelFollow != nil && s.overdue {
		s.cancelFollow(transport.TimedOut)
	}
	if s.cancelFollow != nil {
		return nil, "", false
	}
	followCtx, s.cancelFollow = context.WithCancelCause(ctx)
	return followCtx, s.address, true
}

// finish ends the asking, and tells whether that was because it is to be begun anew, since the address has changed or an overdue
// call was given up, and else whether the module has heard that it failed.
func (s *discoverySource) finish(followCtx context.Context) (restart, reported bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restart, reported = followCtx.Err() != nil, s.overdue
	s.cancelFollow(transport.Cancelled)
	s.cancelFollow, s.overdue = nil, false
	return restart, reported
}

// setAddress changes the address. What is asked at the old one is left at once; moved and idle tells that nobody asks now.
func (s *discoverySource) setAddress(address string) (idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return false
	}
	s.address = address
	if s.cancelFollow != nil {
		s.cancelFollow(transport.Cancelled)
	}
	return s.cancelFollow == nil
}

// followDiscovery asks for the list and then watches it until that breaks off; where the list comes from elsewhere by then
// it is asked for there at once.
func (p *Program) followDiscovery(ctx context.Context) {
	for {
		followCtx, address, ok := p.discovery.begin(ctx)
		if !ok {
			return
		}
		err := p.watchDiscovery(followCtx, address)
		restart, reported := p.discovery.finish(followCtx)
		if !restart && !reported {
			p.reportDiscoveryFailure(err)
		}
		if !restart || ctx.Err() != nil {
			return
		}
	}
}

// reportDiscoveryFailure reports that discovery did not answer.
func (p *Program) reportDiscoveryFailure(err error) {
	p.readiness.recordList(p.router, protocol.Targets{})
	p.log.WithError(err).Warn("discovery broke off")
	p.router.ReportNoList()
}

// watchDiscovery reports the list and its changes until a call fails or the context ends. A watch that has fallen silent, or tells
// what is older than the list, is given up for the whole list.
func (p *Program) watchDiscovery(ctx context.Context, address string) error {
	client := protocol.NewDiscovery(p.descriptors, address)
	defer client.Close(transport.ShutDown)
	for fetch := p.fetchNow; ; {
		targets, isFullFetch, err := fetch(ctx, client)
		if ctx.Err() != nil {
			return err
		}
		generation, _ := p.discovery.heldGeneration()
		timedOut := errors.Is(err, transport.TimedOut)
		switch {
		case timedOut || err == nil && !isFullFetch && !targets.IsFull && targets.Generation < generation:
			p.log.WithField("silent", timedOut).Info("the whole list is asked for")
			p.discovery.dropGeneration()
			fetch = p.fetchNow
		case err != nil:
			return err
		default:
			p.discovery.accept(ctx, targets, func() {
				p.router.ReportList(targets)
				p.readiness.recordList(p.router, targets)
			})
			fetch = p.fetchChanges
		}
	}
}

// fetchNow asks for what is newer than the list that is held, which is less for discovery to tell when many drivers come back to
// it at once, or for all of it where there is none, and tells which. That takes no longer than the context lasts: after
// AnswerWithin the module hears that it failed, and the call is given up once it wants another. It guards against answers that are
// written as they are given up, time after time, where discovery has many to answer in turn.
func (p *Program) fetchNow(ctx context.Context, client *protocol.Discovery) (targets protocol.Targets, isFullFetch bool, err error) {
	call, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(p.config.DiscoveryTimeout, func() {
		if p.discovery.markOverdue(call) {
			p.reportDiscoveryFailure(transport.TimedOut)
		}
	})
	defer timer.Stop()
	defer cancel()
	if generation, hasList := p.discovery.heldGeneration(); hasList {
		targets, err = client.FetchChanges(ctx, ctx, generation, 0)
		return targets, false, err
	}
	targets, err = client.FetchAll(ctx, ctx)
	return targets, true, err
}

// fetchChanges waits for what is newer than the list that is held.
func (p *Program) fetchChanges(ctx context.Context, client *protocol.Discovery) (targets protocol.Targets, isFullFetch bool, err error) {
	wait := p.discovery.nextWait(p.config.WatchTimeout)
	callCtx, cancel := context.WithTimeoutCause(ctx, wait+watchAnswerGrace, transport.TimedOut)
	defer cancel()
	generation, _ := p.discovery.heldGeneration()
	targets, err = client.FetchChanges(ctx, callCtx, generation, wait.Milliseconds())
	return targets, false, err
}
