package program

import (
	"context"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// answerWithin is how long discovery may take for an answer, beyond the time for which it was asked to wait.
const answerWithin = 2 * time.Second

// follow asks for the list and then watches it, until that breaks off.
func (p *Program) follow(ctx context.Context) {
	d := protocol.NewDiscovery(p.descriptors, p.posting.Discovery)
	defer d.Close(transport.ShutDown)
	t, err := p.askWhole(ctx, d)
	for err == nil {
		p.router.ReportList(t)
		p.ready.listed(p.router, t)
		t, err = p.askSince(ctx, d, t.Generation)
	}
	if ctx.Err() != nil {
		return
	}
	p.ready.unlisted()
	p.log.WithError(err).Warn("discovery broke off")
	p.router.ReportNoList()
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
