package program

import (
	"context"

	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
)

// runScheduledWork executes the work that the router schedules outside of RPCs, until the context
// ends.
func (p *Program) runScheduledWork(ctx context.Context) error {
	for {
		duty, err := p.router.Tick(ctx)
		if err != nil {
			return nil
		}
		switch d := duty.(type) {
		case routing.Look:
			p.tasks.Go(func() error { p.probe(d); return nil })
		case routing.Shed:
			p.prober.closeIdle(d.Member)
		case routing.Forget:
			p.prober.forget(d.Member)
		case routing.Spread:
			p.peers.send(d.Message)
		case routing.Follow:
			p.tasks.Go(func() error { p.followDiscovery(ctx); return nil })
		}
	}
}

// probe probes a member and reports the outcome to the router.
func (p *Program) probe(look routing.Look) {
	ctx, stop := context.WithTimeoutCause(p.lifetime, p.config.ConnectTimeout, transport.TimedOut)
	defer stop()
	p.router.ReportLook(look.Member, p.prober.probe(ctx, look.Member, look.Address,
		func() bool { return p.router.MayLook(look.Member) }))
	p.readiness.recordProbe(look.Member)
}
