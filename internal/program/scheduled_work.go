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
		duty, err := p.router.NextTask(ctx)
		if err != nil {
			return nil
		}
		switch d := duty.(type) {
		case routing.ProbeMember:
			p.tasks.Go(func() error { p.probe(d); return nil })
		case routing.CloseIdleConnections:
			p.prober.closeIdle(d.Member)
		case routing.ForgetMember:
			p.prober.forget(d.Member)
		case routing.SendToPeers:
			p.peers.send(d.Message)
		case routing.WatchDiscovery:
			p.tasks.Go(func() error { p.followDiscovery(ctx); return nil })
		}
	}
}

// probe probes a member and reports the outcome to the router.
func (p *Program) probe(look routing.ProbeMember) {
	ctx, stop := context.WithTimeoutCause(p.lifetime, p.config.ConnectTimeout, transport.TimedOut)
	defer stop()
	p.router.ReportProbe(look.Member, p.prober.probe(ctx, look.Member, look.Address,
		func() bool { return p.router.MayProbe(look.Member) }))
	p.readiness.recordProbe(look.Member)
}
