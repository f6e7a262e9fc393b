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

// Time limits of calls to discovery. A change has to be known within changeDeadline. In the worst
// case the watch falls silent just before the change: maxWatchWait, watchAnswerGrace and one more
// call then add up to 5/6 of the deadline. After an outage the worst case is a call that hangs, the
// router's retry delay, and one more call.
const (
	changeDeadline       = 6 * time.Second    // from a change at a reachable discovery until it is known here
	discoveryCallTimeout = changeDeadline / 3 // for a call that does not wait for changes
	maxWatchWait         = changeDeadline / 3 // wait time of a watch, whatever the settings allow
	watchAnswerGrace     = changeDeadline / 6 // added to the wait time
	minDiscoveryTimeout  = 100 * time.Millisecond
	waitJitter           = 0.25 // random fraction subtracted from waits, to spread the calls of drivers
)

// discoverySource is the address that the target list comes from, and the state of the one task
// that follows it.
//
//	state     meaning                               transitions
//	idle      no call is out                        the router wants the list, or the address changes: calling
//	calling   a call is out for the full list, or   answered: watching; failed: idle, reported to the router;
//	          for changes since the held list       DiscoveryTimeout expires: overdue
//	overdue   the same, and the router has been     answered: watching; failed: idle; the router wants the list:
//	          told of the failure                   calling again, and only then is the old call cancelled
//	watching  a call waits for changes to the       answered: watching; timed out: calling, on a new connection;
//	          held list                             failed or malformed: idle; older than the list: calling for all of it
//	moved     the address has changed               calling at the new address; answers from the old one are ignored
type discoverySource struct {
	mu           sync.Mutex
	address      string
	cancelFollow context.CancelCauseFunc // cancels the following task; nil if there is none
	overdue      bool
	hasList      bool       // whether changes since generation may be requested
	generation   int64      // of the held list
	rng          *rand.Rand // used by the following task
}

// nextWait returns the wait time of the next watch call.
func (s *discoverySource) nextWait(maxWait time.Duration) time.Duration {
	maxWait = min(maxWait, maxWatchWait)
	return maxWait - time.Duration(s.rng.Float64()*waitJitter*float64(maxWait))
}

// accept applies an answer, unless the address has changed since the call started.
func (s *discoverySource) accept(ctx context.Context, targets protocol.Targets, apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil {
		s.hasList, s.generation, s.overdue = true, targets.Generation, false
		apply()
	}
}

// heldGeneration returns the generation of the held list, and whether changes since it may be
// requested.
func (s *discoverySource) heldGeneration() (generation int64, hasList bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation, s.hasList
}

// dropGeneration makes the next call request the full list.
func (s *discoverySource) dropGeneration() {
	s.mu.Lock()
	s.hasList = false
	s.mu.Unlock()
}

// markOverdue marks a call as overdue and reports whether it is still out. The next call still
// requests only changes: full lists for all drivers at once could overload discovery.
func (s *discoverySource) markOverdue(call context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Err() != nil {
		return false
	}
	s.overdue = true
	return true
}

// begin returns the address to call and a context that ends when the address changes; ok is false
// while another task is following. An overdue call is cancelled, and its task calls again.
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

// finish ends a task's following. It reports whether to restart, since the address changed or an
// overdue call was cancelled, and whether the failure has been reported to the router already.
func (s *discoverySource) finish(followCtx context.Context) (restart, reported bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restart, reported = followCtx.Err() != nil, s.overdue
	s.cancelFollow(transport.Cancelled)
	s.cancelFollow, s.overdue = nil, false
	return restart, reported
}

// setAddress changes the address and cancels calls to the old one. It reports whether the address
// changed while no task was following.
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

// followDiscovery fetches the list and watches it until a call fails. If the address has changed by
// then, it starts over at the new one.
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

// reportDiscoveryFailure reports to the router that a call to discovery failed.
func (p *Program) reportDiscoveryFailure(err error) {
	p.readiness.recordList(p.router, protocol.Targets{})
	p.log.WithError(err).Warn("discovery call failed")
	p.router.ReportListFailure()
}

// watchDiscovery reports the list and its changes until a call fails or the context ends. After a
// timeout, or an answer older than the held list, it requests the full list.
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
			p.log.WithField("silent", timedOut).Info("requesting the full target list from discovery")
			p.discovery.dropGeneration()
			fetch = p.fetchNow
		case err != nil:
			return err
		default:
			p.discovery.accept(ctx, targets, func() {
				p.router.ApplyList(targets)
				p.readiness.recordList(p.router, targets)
			})
			fetch = p.fetchChanges
		}
	}
}

// fetchNow requests changes since the held list, or the full list if there is none, and reports
// which. After DiscoveryTimeout it reports a failure to the router but keeps waiting until the
// router asks again, so that calls are not cancelled just before a slow discovery answers them.
func (p *Program) fetchNow(ctx context.Context, client *protocol.Discovery) (
	targets protocol.Targets, isFullFetch bool, err error) {
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

// fetchChanges waits for changes since the held list.
func (p *Program) fetchChanges(ctx context.Context, client *protocol.Discovery) (
	targets protocol.Targets, isFullFetch bool, err error) {
	wait := p.discovery.nextWait(p.config.WatchTimeout)
	callCtx, cancel := context.WithTimeoutCause(ctx, wait+watchAnswerGrace, transport.TimedOut)
	defer cancel()
	generation, _ := p.discovery.heldGeneration()
	targets, err = client.FetchChanges(ctx, callCtx, generation, wait.Milliseconds())
	return targets, false, err
}
