package program

import (
	"context"

	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
)

// duties does what falls due without an RPC, until the context ends.
func (p *Program) duties(ctx context.Context) error {
	for {
		duty, err := p.router.Tick(ctx)
		if err != nil {
			return nil
		}
		switch d := duty.(type) {
		case routing.Look:
			p.tasks.Go(func() error { p.look(d); return nil })
		case routing.Shed:
			p.looks.shed(d.Member)
		case routing.Forget:
			p.looks.drop(d.Member)
		case routing.Spread:
			p.peers.spread(d.Message)
		case routing.Follow:
			p.tasks.Go(func() error { p.follow(ctx); return nil })
		}
	}
}

// look probes a member.
func (p *Program) look(d routing.Look) {
	by, stop := context.WithTimeoutCause(p.life, p.posting.ConnectWithin, transport.TimedOut)
	defer stop()
	p.router.ReportLook(d.Member, p.looks.look(by, d.Member, d.Address, func() bool { return p.router.MayLook(d.Member) }))
	p.ready.looked(d.Member)
}
