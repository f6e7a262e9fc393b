package program

import (
	"context"
	"sync"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// answerWithin is how long discovery may take for an answer, beyond the time for which it was asked to wait.
const answerWithin = 2 * time.Second

// source is where the list comes from. At most one asks there at a time.
type source struct {
	mu      sync.Mutex
	address string
	leave   context.CancelCauseFunc // of the one that asks, nil for none
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

// watch reports the list and its changes until a call fails or the context ends.
func (p *Program) watch(ctx context.Context, address string) error {
	d := protocol.NewDiscovery(p.descriptors, address)
	defer d.Close(transport.ShutDown)
	t, err := p.askWhole(ctx, d)
	for err == nil && ctx.Err() == nil {
		p.router.ReportList(t)
		p.ready.listed(p.router, t)
		t, err = p.askSince(ctx, d, t.Generation)
	}
	return err
}

func (p *Program) askWhole(ctx context.Context, d *protocol.Discovery) (protocol.Targets, error) {
	by, stop := context.WithTimeoutCause(ctx, answerWithin, transport.TimedOut)
	defer stop()
	return d.Whole(ctx, by)
}

func (p *Program) askSince(ctx context.Context, d *protocol.Discovery, generation int64) (protocol.Targets, error) {
	by, stop := context.WithTimeoutCause(ctx, p.posting.WatchFor+answerWithin, transport.TimedOut)
	defer stop()
	return d.Since(ctx, by, generation, p.posting.WatchFor.Milliseconds())
}
