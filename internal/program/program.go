// Package program assembles the driver process: client sessions, member connection pools,
// discovery, peers, readiness and graceful shutdown.
package program

import (
	"context"
	"fmt"
	"math/rand"
	"os"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"sedgespread/internal/cells"
	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/internal/transport"
)

// Program is a running driver.
type Program struct {
	config           *Config
	log              logrus.FieldLogger
	lifetime         context.Context // of connections; ends after shutdown
	descriptors      *transport.Descriptors
	router           *routing.Router
	pools            *memberPools
	prober           *prober
	idleClients      *idleClients
	cancels          *cancelRegistry
	inputs           *protocol.Inputs // of the clients
	closes           closeCounts
	draining         drainState
	peers            *peers
	discovery        *discoverySource
	readiness        *readiness
	operatorServices *operatorServices // nil without an operator file
	tasks            errgroup.Group    // attempts, probes and the discovery watch
}

// Run serves until the context ends and then shuts down gracefully. It reloads the configuration
// file on each signal from reload.
func Run(ctx context.Context, config *Config, reload <-chan os.Signal, log logrus.FieldLogger) error {
	lifetime, endLifetime := context.WithCancelCause(context.Background())
	defer endLifetime(transport.ShutDown)
	descriptors := transport.NewDescriptors(int(config.Sockets))
	inputs := protocol.NewInputs(config.inputBytes())
	inputs.SetProcessors(config.Cores)
	p := &Program{config: config, log: log, lifetime: lifetime, inputs: inputs,
		idleClients: &idleClients{descriptors: descriptors, inputs: inputs}, cancels: newCancelRegistry(), descriptors: descriptors,
		discovery: &discoverySource{address: config.Discovery, rng: rand.New(rand.NewSource(config.Seed))}}
	var err error
	if p.router, err = routing.New(config.Settings, config.Seed, config.KnownTargets, log); err != nil {
		return err
	}
	p.readiness = newReadiness()
	p.pools = newMemberPools(lifetime, p.descriptors, config, p.router.ReportNotPrimary)
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
	listener, err := transport.Listen(config.Listen, p.descriptors, protocol.ClientRingBytes)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	defer listener.Close()
	return p.serve(ctx, endLifetime, listener, reload)
}

// serve runs all tasks until the context ends, shuts down, and waits for the tasks to end.
func (p *Program) serve(ctx context.Context, endLifetime context.CancelCauseFunc, listener *transport.Listener,
	reload <-chan os.Signal) error {
	var sessions errgroup.Group
	p.tasks.Go(func() error { return p.runScheduledWork(p.lifetime) })
	p.tasks.Go(func() error { p.idleClients.runSweeper(p.lifetime); return nil })
	p.tasks.Go(func() error { p.logActivity(p.lifetime); return nil })
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

// acceptClients accepts clients until the listener closes.
func (p *Program) acceptClients(listener *transport.Listener, sessions *errgroup.Group) error {
	reserved := p.descriptors.Limit() / 3 // for attempts and probes
	for {
		c, err := listener.Accept(p.lifetime, reserved, p.freeDescriptor)
		if err != nil {
			return nil
		}
		client := protocol.NewClient(c, p.inputs)
		removeIdle := p.idleClients.add(client, false, cells.NoCell) // before its session has the processor
		sessions.Go(func() error { p.serveClient(client, removeIdle); return nil })
	}
}

// freeDescriptor frees a descriptor for a new client by evicting an idle client or, if forced and
// there is none, an idle connection to a member.
func (p *Program) freeDescriptor(force bool) {
	if !p.idleClients.evict(force) && force {
		p.pools.evict()
	}
}
