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
	config           *Config
	log              logrus.FieldLogger
	lifetime         context.Context // of connections
	descriptors      *transport.Descriptors
	router           *routing.Router
	pools            *memberPools
	prober           *prober
	idleClients      *idleClients
	cancels          *cancelRegistry
	overflow         *transport.OverflowBudget // for what clients send behind open queries
	peers            *peers
	discovery        *discoverySource
	readiness        *readiness
	operatorServices *operatorServices // nil without an operator's file
	tasks            errgroup.Group    // attempts, probes and the watch
}

// drainDelay is how long after a notice to leave clients may still be sent here.
const drainDelay = 600 * time.Millisecond

// Run serves until the context ends, and then leaves in good order. Each time reload tells something the posting's
// file is read again.
func Run(ctx context.Context, config *Config, reload <-chan os.Signal, log logrus.FieldLogger) error {
	lifetime, endLifetime := context.WithCancelCause(context.Background())
	defer endLifetime(transport.ShutDown)
	descriptors := transport.NewDescriptors(int(config.Sockets))
	p := &Program{config: config, log: log, lifetime: lifetime, idleClients: &idleClients{descriptors: descriptors}, cancels: newCancelRegistry(), descriptors: descriptors,
		overflow:  transport.NewOverflowBudget(int(config.MemoryMB<<20)/pipelinedMemoryDivisor, maxPipelinedBytes),
		discovery: &discoverySource{address: config.Discovery, rng: rand.New(rand.NewSource(config.Seed))}}
	var err error
	if p.router, err = routing.New(config.Settings, config.Seed, config.KnownTargets, log); err != nil {
		return err
	}
	p.readiness = newReadiness()
	p.pools = newMemberPools(lifetime, p.descriptors, config, p.router.ReportDenied)
	p.prober = newProber(p.pools)
	if p.peers, err = newPeers(config.PeerListen, config.PeersAddress, log); err != nil {
		return err
	}
	defer p.peers.close()
	if p.operatorServices, err = p.openOperatorServices(); err != nil {
		return err
	}
	if p.operatorServices != nil {
		defer p.operatorServices.close()
	}
	listener, err := transport.Listen(config.Listen, p.descriptors, protocol.RingBytes)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	defer listener.Close()
	return p.serve(ctx, endLifetime, listener, reload)
}

// serve works until the context ends, leaves, and then lets everything end.
func (p *Program) serve(ctx context.Context, endLifetime context.CancelCauseFunc, listener *transport.Listener,
	reload <-chan os.Signal) error {
	var sessions errgroup.Group
	p.tasks.Go(func() error { return p.runScheduledWork(p.lifetime) })
	p.tasks.Go(func() error { p.idleClients.runSweeper(p.lifetime); return nil })
	p.tasks.Go(func() error { p.reloadOnSignal(reload); return nil })
	p.tasks.Go(func() error {
		p.peers.receive(p.router, func() { p.readiness.recordPeerMessage(p.router) })
		return nil
	})
	if p.operatorServices != nil {
		p.tasks.Go(func() error { return p.operatorServices.run(p.lifetime) })
	}
	sessions.Go(func() error { return p.acceptClients(listener, &sessions) })
	p.log.WithField("listen", p.config.Listen).Info("serving")
	<-ctx.Done()
	p.shutDown(listener, &sessions)
	endLifetime(transport.ShutDown)
	p.peers.close()
	sessions.Wait()
	return p.tasks.Wait()
}

// acceptClients accepts clients until the door closes.
func (p *Program) acceptClients(listener *transport.Listener, sessions *errgroup.Group) error {
	reserved := p.descriptors.Limit() / 3 // for attempts and probes
	for {
		c, err := listener.Accept(p.lifetime, reserved, p.freeDescriptor)
		if err != nil {
			return nil
		}
		sessions.Go(func() error { p.serveClient(protocol.Client{Conn: c}); return nil })
	}
}

// freeDescriptor lets go of what holds a descriptor that a new client needs: a client that waits, or where none does and it must be a
// connection to a member that carries nothing.
func (p *Program) freeDescriptor(force bool) {
	if !p.idleClients.evict(force) && force {
		p.pools.evict()
	}
}

// shutDown serves on while clients may still be sent here, then lets them go, each as soon as what was read from it is answered.
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
func (p *Program) shutDown(listener *transport.Listener, sessions *errgroup.Group) {
	p.log.Info("leaving")
	time.Sleep(drainDelay)
	listener.Close()
	p.idleClients.drain()
	ended := make(chan struct{})
	go func() { sessions.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(partialMessageTimeout + p.router.LongestLeft() + clientWriteTimeout + lingerTime):
		p.log.Warn("clients are still here")
	}
}
