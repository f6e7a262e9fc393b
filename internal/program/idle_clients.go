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
	newClientIdleTimeout    = 2 * time.Second        // until a client without an RPC is closed
	servedClientIdleTimeout = 3 * time.Second        // until a client that has made an RPC is closed
	servedClientMinIdle     = 2 * time.Second        // before it may be evicted without force; sooner, it may be about to send
	partialMessageTimeout   = time.Second            // to complete a partly received message
	newClientMinIdle        = 100 * time.Millisecond // before a client without an RPC may be evicted
	sweepInterval           = 100 * time.Millisecond
	stopRetryInterval       = 50 * time.Millisecond // until a connection that should have stopped is asked again
	searchInterval          = 10 * time.Millisecond // between two unforced searches of a list of which the first found none
	idleClientsDivisor      = 6                     // each list holds at most 1/6 of the descriptors
)

// idleClients tracks the clients without a running query, in the order in which they became idle:
// new clients, which have made no RPC yet, and served clients, which have. It closes clients that
// are idle for too long or too many, and evicts new clients first when descriptors run short.
type idleClients struct {
	descriptors   *transport.Descriptors
	inputs        *protocol.Inputs
	mu            sync.Mutex
	newClients    idleList
	servedClients idleList
	lingering     list.List // of protocol.Client, whose last answer was an error
	draining      bool
	overusedCell  func() cells.Cell // cell whose clients are evicted first; nil without cells
}

// idleList is a list of idle clients, the longest idle first.
type idleList struct {
	list.List
	searchAt time.Time // when it is searched again, if not by force
}

// idleClient is an entry of an idleList.
type idleClient struct {
	conn         protocol.Client
	cell         cells.Cell // cell of the last RPC
	idleSince    time.Time
	partialSince time.Time // when a partial message was first seen; zero for never
	stopAskedAt  time.Time // when the connection was last asked to stop; zero for never
}

// stop asks the connection to stop reading if it is idle and reports whether it was. Input that crosses
// the request cancels it, so the client stays in its list until its session takes it out: one that was
// forgotten here could stop in the middle of a message and stay for good.
func (c *idleClient) stop(reason transport.CloseReason, now time.Time) bool {
	isIdle := c.conn.StopIfIdle(reason)
	if isIdle {
		c.stopAskedAt = now
	}
	return isIdle
}

// isStopping reports whether the connection was asked to stop a moment ago.
func (c *idleClient) isStopping(now time.Time) bool {
	return now.Sub(c.stopAskedAt) < stopRetryInterval
}

// add tracks a client until remove is called. While draining it closes the client, unless a query
// has arrived.
func (i *idleClients) add(client protocol.Client, isServed bool, cell cells.Cell) (remove func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	clients := &i.newClients
	if isServed {
		clients = &i.servedClients
	}
	if i.draining {
		client.StopIfIdle(transport.ShutDown)
	}
	element := clients.PushBack(&idleClient{conn: client, cell: cell, idleSince: time.Now()})
	if clients.Len() > i.descriptors.Limit()/idleClientsDivisor {
		minIdle := newClientMinIdle
		if isServed {
			minIdle = servedClientMinIdle
		}
		i.evictOne(clients, minIdle, false)
	}
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		clients.Remove(element)
	}
}

// evict closes a client and reports whether there was one: the longest idle new client, or else the longest idle
// served client. Without force it spares clients that became idle only recently. With force, a client that has had an
// error as its last answer goes first, and new clients that are of no use go before those that may be about to send.
func (i *idleClients) evict(force bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if force && i.closeLingering() || i.evictOne(&i.newClients, newClientMinIdle, false) {
		return true
	}
	if !force {
		return i.evictOne(&i.servedClients, servedClientMinIdle, false)
	}
	return i.closeUseless() || i.evictOne(&i.newClients, 0, true) || i.evictOne(&i.servedClients, 0, true)
}

// closeLingering closes the client that has lingered for longest after an error and reports whether there was one.
// The lock is held.
func (i *idleClients) closeLingering() bool {
	element := i.lingering.Front()
	if element == nil {
		return false
	}
	element.Value.(protocol.Client).Conn.Close(transport.Evicted)
	i.lingering.Remove(element)
	return true
}

// closeUseless closes a new client that is of no use and reports whether there was one. The lock is held.
func (i *idleClients) closeUseless() bool {
	now := time.Now()
	for element := i.newClients.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*idleClient); client.isUseless(now) {
			client.conn.Conn.Close(transport.Evicted)
			return true
		}
	}
	return false
}

// isUseless reports whether a new client has left, sends at full speed what leads to no attempt, or has long been in
// the middle of its first message.
func (c *idleClient) isUseless(now time.Time) bool {
	if c.conn.CloseReason() != transport.Open {
		return false
	}
	return c.conn.MayHaveLeft() || c.conn.IsPaced(now) || now.Sub(c.idleSince) >= newClientMinIdle && c.conn.HasOnlyPart()
}

// addLingering tracks a client whose last answer was an error, until remove is called.
func (i *idleClients) addLingering(client protocol.Client) (remove func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	element := i.lingering.PushBack(client)
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.lingering.Remove(element)
	}
}

// evictOne closes the longest idle client of a list that has sent no partial message, with
// preference for the overused cell. After it has found none it does not look for a while, unless forced, since many
// clients that have sent something and wait for their turn may stand in the list. The lock is held.
func (i *idleClients) evictOne(clients *idleList, minIdle time.Duration, force bool) bool {
	now := time.Now()
	if !force && now.Before(clients.searchAt) {
		return false
	}
	if i.overusedCell != nil {
		if cell := i.overusedCell(); cell != cells.NoCell && i.evictFromCell(clients, now, minIdle, force, cell) {
			return true
		}
	}
	if i.evictFromCell(clients, now, minIdle, force, cells.NoCell) {
		return true
	}
	clients.searchAt = now.Add(searchInterval)
	return false
}

// evictFromCell is evictOne for the clients of one cell, or of any cell for NoCell. The lock is
// held.
func (i *idleClients) evictFromCell(clients *idleList, now time.Time, minIdle time.Duration, force bool, cell cells.Cell) bool {
	for element := clients.Front(); element != nil; element = element.Next() {
		client := element.Value.(*idleClient)
		if !force && now.Sub(client.idleSince) < minIdle {
			return false
		}
		if (cell == cells.NoCell || cell == client.cell) && !client.isStopping(now) && client.stop(transport.Evicted, now) {
			return true
		}
	}
	return false
}

// runSweeper closes clients that have been idle for too long, until the context ends.
func (i *idleClients) runSweeper(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			i.sweep(&i.newClients, now, newClientIdleTimeout, 0)
			i.sweep(&i.servedClients, now, servedClientIdleTimeout, partialMessageTimeout)
		}
	}
}

// sweep closes the clients of a list that have been idle for maxIdle, or at once while draining. A
// client with a partial message has messageTimeout to complete it.
func (i *idleClients) sweep(clients *idleList, now time.Time, maxIdle, messageTimeout time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	reason := transport.Evicted
	if i.draining {
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
		case client.isStopping(now) || client.stop(reason, now):
		case now.Sub(client.partialSince) >= messageTimeout:
			client.conn.Interrupt(transport.Stalled)
			clients.Remove(current)
		}
	}
}

// drain closes all clients, each between two queries.
func (i *idleClients) drain() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = true
	i.inputs.Drain()
	for _, clients := range []*idleList{&i.newClients, &i.servedClients} {
		for element := clients.Front(); element != nil; element = element.Next() {
			element.Value.(*idleClient).stop(transport.ShutDown, time.Now())
		}
	}
}
