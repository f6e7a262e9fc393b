package program

import (
	"context"

	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
)

// duties does what falls due without an RPC, until the context ends.
func (p *Program) duties(ctx context.Context) error {
	for {
		duty, err := p.router.NextTask(ctx)
		if err != nil {
			return nil
		}
		switch d := duty.(type) {
		case routing.ProbeMember:
			p.tasks.Go(func() error { p.look(d); return nil })
		case routing.CloseIdleConnections:
			p.looks.shed(d.Member)
		case routing.ForgetMember:
			p.looks.drop(d.Member)
		case routing.SendToPeers:
			p.peers.spread(d.Message)
		case routing.WatchDiscovery:
			p.tasks.Go(func() error { p.follow(ctx); return nil })
		}
	}
}

// look probes a member.
func (p *Program) look(d routing.ProbeMember) {
	by, stop := context.WithTimeoutCause(p.life, p.posting.ConnectWithin, transport.TimedOut)
	defer stop()
	p.router.ReportProbe(d.Member, p.looks.look(by, d.Member, d.Address, func() bool { return p.router.MayProbe(d.Member) }))
	p.ready.looked(d.Member)
}
