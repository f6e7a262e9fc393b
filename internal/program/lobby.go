package program

import (
	"container/list"
	"context"
	"sync"
	"time"

	"sedgespread/internal/cells"
	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

const (
	newClientIdleTimeout    = 2 * time.Second        // a client may wait that has asked for no RPC yet
	servedClientIdleTimeout = 3 * time.Second        // a client may wait that has
	servedClientMinIdle     = 2 * time.Second        // and is not let go sooner while there is any other way
	partialMessageTimeout   = time.Second            // and then for the rest of one that it has begun
	newClientMinIdle        = 100 * time.Millisecond // a stranger that has waited for so long makes room first
	sweepInterval           = 100 * time.Millisecond
	idleClientsDivisor      = 6 // strangers, and guests, hold this part of the descriptors at the most
)

// idleClients knows the clients that nothing is done for just now: strangers, who have asked for no RPC yet, and guests,
// who have. Of both the one longest there comes first. It lets go of those that stay too long, so that no client
// holds a connection for nothing, of those that waited longest where too many wait, since clients that may have no
// more connections open no other, and of strangers first when room is short: crowds of them keep no guest out.
type idleClients struct {
	descriptors   *transport.Descriptors
	mu            sync.Mutex
	newClients    list.List
	servedClients list.List
	draining      bool
	overusedCell  func() cells.Cell // whose clients go first where room is short; nil where there are no cells
}

// idleClient is a client's place in the lobby.
type idleClient struct {
	client       protocol.Client
	cell         cells.Cell // of its last RPC
	idleSince    time.Time
	partialSince time.Time // when it was found to have begun a message, zero for never
}

// add gives a client a place while it waits, as a guest or a stranger. Once clients are to go it is let go, unless
// its query has come.
func (l *idleClients) add(c protocol.Client, isServed bool, cell cells.Cell) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clients := &l.newClients
	if isServed {
		clients = &l.servedClients
	}
	if l.draining {
		c.StopIfIdle(transport.ShutDown)
	}
	element := clients.PushBack(&idleClient{client: c, cell: cell, idleSince: time.Now()})
	if clients.Len() > l.descriptors.Limit()/idleClientsDivisor {
		l.evictOne(clients, newClientMinIdle, isServed)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		clients.Remove(element)
	}
}

// evict lets a client go, and tells whether there is one to go: the stranger that has waited longest, or else the guest that
// has. Unless it must be, none that has just come.
func (l *idleClients) evict(force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictOne(&l.newClients, newClientMinIdle, force) || l.evictOne(&l.servedClients, servedClientMinIdle, force)
}

// evictOne lets the first client of a room go that has begun no message, if it has waited for a while; where one cell's
// clients hold more than its share, one of those. The lock is held.
func (l *idleClients) evictOne(clients *list.List, minIdle time.Duration, force bool) bool {
	if l.overusedCell != nil {
		if cell := l.overusedCell(); cell != cells.NoCell && l.evictFromCell(clients, minIdle, force, cell) {
			return true
		}
	}
	return l.evictFromCell(clients, minIdle, force, cells.NoCell)
}

// evictFromCell is part for the clients of one cell, or with NoCell of any. The lock is held.
func (l *idleClients) evictFromCell(clients *list.List, minIdle time.Duration, force bool, cell cells.Cell) bool {
	for element := clients.Front(); element != nil; element = element.Next() {
		client := element.Value.(*idleClient)
		if !force && time.Since(client.idleSince) < minIdle {
			return false
		}
		if (cell == cells.NoCell || cell == client.cell) && client.client.StopIfIdle(transport.Evicted) {
			clients.Remove(element)
			return true
		}
	}
	return false
}

// runSweeper lets go of those that stay too long, until the context ends.
func (l *idleClients) runSweeper(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			l.sweep(&l.newClients, now, newClientIdleTimeout, 0)
			l.sweep(&l.servedClients, now, servedClientIdleTimeout, partialMessageTimeout)
		}
	}
}

// stopBeforeLastAnswer tells, before a client gets the answer to all that was read from it, whether that is its last: once clients are to
// go, nothing more is read, so that what it sends behind the answer is never taken.
func (l *idleClients) stopBeforeLastAnswer(c protocol.Client) bool {
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	return draining && c.ForceStopIfIdle(transport.ShutDown) && c.Await(1) == transport.ShutDown
}

// sweep lets go of those in a room longer than stay; one that has begun a message then has a rest to finish it. Once clients
// are to go, all have stayed long enough.
func (l *idleClients) sweep(clients *list.List, now time.Time, maxIdle, messageTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := transport.Evicted
	if l.draining {
		maxIdle, messageTimeout, reason = 0, partialMessageTimeout, transport.ShutDown
	}
	for element := clients.Front(); element != nil; {
		client, current := element.Value.(*idleClient), element
		if now.Sub(client.idleSince) < maxIdle {
			return
		}
		element = element.Next()
		if client.partialSince.IsZero() {
			client.partialSince = now
		}
		switch {
		case client.client.StopIfIdle(reason):
			clients.Remove(current)
		case now.Sub(client.partialSince) >= messageTimeout:
			client.client.Interrupt(transport.Stalled)
			clients.Remove(current)
		}
	}
}

// drain lets all clients go, each between two queries.
func (l *idleClients) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for _, clients := range []*list.List{&l.newClients, &l.servedClients} {
		for element := clients.Front(); element != nil; element = element.Next() {
			element.Value.(*idleClient).client.StopIfIdle(transport.ShutDown)
		}
	}
}
