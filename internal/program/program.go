// Package program joins the layers into the driver that runs: sessions of clients, pools of connections to members,
// discovery, fellow drivers, readiness, and how it leaves.
package program

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
)

// Program is one driver at work.
type Program struct {
	posting     *Config
	log         logrus.FieldLogger
	life        context.Context // of connections
	descriptors *transport.Descriptors
	router      *routing.Router
	pools       *pools
	looks       *looks
	lobby       *lobby
	cancels     *cancels
	spare       *transport.OverflowBudget // for what clients send behind open queries
	peers       *peers
	source      *source
	ready       *readiness
	confined    *confinement   // nil without an operator's file
	tasks       errgroup.Group // attempts, probes and the watch
}

// stayFor is how long after a notice to leave clients may still be sent here.
const stayFor = 600 * time.Millisecond

// Run serves until the context ends, and then leaves in good order. Each time reload tells something the posting's
// file is read again.
func Run(ctx context.Context, posting *Config, reload <-chan os.Signal, log logrus.FieldLogger) error {
	life, die := context.WithCancelCause(context.Background())
	defer die(transport.ShutDown)
	d := transport.NewDescriptors(int(posting.Sockets))
	p := &Program{posting: posting, log: log, life: life, lobby: &lobby{d: d}, cancels: newCancels(), descriptors: d,
		spare:  transport.NewOverflowBudget(int(posting.MemoryMB<<20)/behindShare, mostBehind),
		source: &source{address: posting.Discovery, rng: rand.New(rand.NewSource(posting.Seed))}}
	var err error
	if p.router, err = routing.New(posting.Deployment, posting.Seed, posting.Known, log); err != nil {
		return err
	}
	p.ready = newReadiness()
	p.pools = newPools(life, p.descriptors, posting, p.router.ReportDenied)
	p.looks = newLooks(p.pools)
	if p.peers, err = newPeers(posting.PeerListen, posting.PeersAll, log); err != nil {
		return err
	}
	defer p.peers.close()
	if p.confined, err = p.confine(); err != nil {
		return err
	}
	if p.confined != nil {
		defer p.confined.close()
	}
	door, err := transport.Listen(posting.Listen, p.descriptors, protocol.RingBytes)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	defer door.Close()
	return p.serve(ctx, die, door, reload)
}

// serve works until the context ends, leaves, and then lets everything end.
func (p *Program) serve(ctx context.Context, die context.CancelCauseFunc, door *transport.Listener,
	reload <-chan os.Signal) error {
	var sessions errgroup.Group
	p.tasks.Go(func() error { return p.duties(p.life) })
	p.tasks.Go(func() error { p.lobby.keep(p.life); return nil })
	p.tasks.Go(func() error { p.reloads(reload); return nil })
	p.tasks.Go(func() error { p.peers.hear(p.router, func() { p.ready.told(p.router) }); return nil })
	if p.confined != nil {
		p.tasks.Go(func() error { return p.confined.run(p.life) })
	}
	sessions.Go(func() error { return p.welcome(door, &sessions) })
	p.log.WithField("listen", p.posting.Listen).Info("serving")
	<-ctx.Done()
	p.leave(door, &sessions)
	die(transport.ShutDown)
	p.peers.close()
	sessions.Wait()
	return p.tasks.Wait()
}

// welcome accepts clients until the door closes.
func (p *Program) welcome(door *transport.Listener, sessions *errgroup.Group) error {
	spare := p.descriptors.Limit() / 3 // for attempts and probes
	for {
		c, err := door.Accept(p.life, spare, p.makeRoom)
		if err != nil {
			return nil
		}
		sessions.Go(func() error { p.session(protocol.Client{Conn: c}); return nil })
	}
}

// makeRoom lets go of what holds a descriptor that a new client needs: a client that waits, or where none does and it must be a
// connection to a member that carries nothing.
func (p *Program) makeRoom(must bool) {
	if !p.lobby.evict(must) && must {
		p.pools.evict()
	}
}

// leave serves on while clients may still be sent here, then lets them go, each as soon as what was read from it is answered.
//
//	phase    what                                                                    for at most
//	staying  all is as ever: clients may still be sent here                          stayFor
//	parting  the door is closed; who rests is let go, who has begun a message has    restFor, then what
//	         a rest to finish it; what was read is answered, and nothing more is     an RPC may take
//	         read before its connection's last answer
//	closing  each connection: this side ends its sending, reads on for nothing,      longestWrite and
//	         and closes once the client has ended too                                lingerFor
//
// An RPC takes no longer than its client waits, so the whole ends by itself. The bound is for clients that send so many
// queries behind one another that they would not all be answered.
func (p *Program) leave(door *transport.Listener, sessions *errgroup.Group) {
	p.log.Info("leaving")
	time.Sleep(stayFor)
	door.Close()
	p.lobby.clear()
	gone := make(chan struct{})
	go func() { sessions.Wait(); close(gone) }()
	select {
	case <-gone:
	case <-time.After(restFor + p.router.LongestLeft() + longestWrite + lingerFor):
		p.log.Warn("clients are still here")
	}
}
