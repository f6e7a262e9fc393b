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
		task, err := p.router.NextTask(ctx)
		if err != nil {
			return nil
		}
		switch t := task.(type) {
		case routing.ProbeMember:
			p.tasks.Go(func() error { p.probe(t); return nil })
		case routing.CloseIdleConnections:
			p.prober.closeIdle(t.Member)
		case routing.ForgetMember:
			p.prober.forget(t.Member)
		case routing.SendToPeers:
			p.peers.send(t.Message)
		case routing.WatchDiscovery:
			p.tasks.Go(func() error { p.followDiscovery(ctx); return nil })
		}
	}
}

// probe probes a member and reports the outcome to the router.
func (p *Program) probe(task routing.ProbeMember) {
	ctx, stop := context.WithTimeoutCause(p.lifetime, p.config.ConnectTimeout, transport.TimedOut)
	defer stop()
	p.router.ReportProbe(task.Member, p.prober.probe(ctx, task.Member, task.Address,
		func() bool { return p.router.MayProbe(task.Member) }))
	p.readiness.recordProbe(task.Member)
}
