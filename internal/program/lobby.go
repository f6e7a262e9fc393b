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
	strangerFor = 2 * time.Second        // a client may wait that has asked for no RPC yet
	guestFor    = 3 * time.Second        // a client may wait that has
	politeFor   = 2 * time.Second        // and is not let go sooner while there is any other way
	restFor     = time.Second            // and then for the rest of one that it has begun
	settledIn   = 100 * time.Millisecond // a stranger that has waited for so long makes room first
	sweepEvery  = 100 * time.Millisecond
	roomShare   = 6 // strangers, and guests, hold this part of the descriptors at the most
)

// lobby knows the clients that nothing is done for just now: strangers, who have asked for no RPC yet, and guests,
// who have. Of both the one longest there comes first. It lets go of those that stay too long, so that no client
// holds a connection for nothing, of those that waited longest where too many wait, since clients that may have no
// more connections open no other, and of strangers first when room is short: crowds of them keep no guest out.
type lobby struct {
	d         *transport.Descriptors
	mu        sync.Mutex
	strangers list.List
	guests    list.List
	leaving   bool
	crowded   func() cells.Cell // whose clients go first where room is short; nil where there are no cells
}

// seat is a client's place in the lobby.
type seat struct {
	client protocol.Client
	cell   cells.Cell // of its last RPC
	since  time.Time
	begun  time.Time // when it was found to have begun a message, zero for never
}

// enter gives a client a place while it waits, as a guest or a stranger. Once clients are to go it is let go, unless
// its query has come.
func (l *lobby) enter(c protocol.Client, guest bool, cell cells.Cell) (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := &l.strangers
	if guest {
		room = &l.guests
	}
	if l.leaving {
		c.StopIfIdle(transport.ShutDown)
	}
	place := room.PushBack(&seat{client: c, cell: cell, since: time.Now()})
	if room.Len() > l.d.Limit()/roomShare {
		l.part(room, settledIn, guest)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		room.Remove(place)
	}
}

// evict lets a client go, and tells whether there is one to go: the stranger that has waited longest, or else the guest that
// has. Unless it must be, none that has just come.
func (l *lobby) evict(must bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part(&l.strangers, settledIn, must) || l.part(&l.guests, politeFor, must)
}

// part lets the first client of a room go that has begun no message, if it has waited for a while; where one cell's
// clients hold more than its share, one of those. The lock is held.
func (l *lobby) part(room *list.List, while time.Duration, must bool) bool {
	if l.crowded != nil {
		if cell := l.crowded(); cell != cells.NoCell && l.partOf(room, while, must, cell) {
			return true
		}
	}
	return l.partOf(room, while, must, cells.NoCell)
}

// partOf is part for the clients of one cell, or with NoCell of any. The lock is held.
func (l *lobby) partOf(room *list.List, while time.Duration, must bool, cell cells.Cell) bool {
	for place := room.Front(); place != nil; place = place.Next() {
		s := place.Value.(*seat)
		if !must && time.Since(s.since) < while {
			return false
		}
		if (cell == cells.NoCell || cell == s.cell) && s.client.StopIfIdle(transport.Evicted) {
			room.Remove(place)
			return true
		}
	}
	return false
}

// keep lets go of those that stay too long, until the context ends.
func (l *lobby) keep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			l.sweep(&l.strangers, now, strangerFor, 0)
			l.sweep(&l.guests, now, guestFor, restFor)
		}
	}
}

// last tells, before a client gets the answer to all that was read from it, whether that is its last: once clients are to
// go, nothing more is read, so that what it sends behind the answer is never taken.
func (l *lobby) last(c protocol.Client) bool {
	l.mu.Lock()
	leaving := l.leaving
	l.mu.Unlock()
	return leaving && c.ForceStopIfIdle(transport.ShutDown) && c.Await(1) == transport.ShutDown
}

// sweep lets go of those in a room longer than stay; one that has begun a message then has a rest to finish it. Once clients
// are to go, all have stayed long enough.
func (l *lobby) sweep(room *list.List, now time.Time, stay, rest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := transport.Evicted
	if l.leaving {
		stay, rest, end = 0, restFor, transport.ShutDown
	}
	for place := room.Front(); place != nil; {
		s, at := place.Value.(*seat), place
		if now.Sub(s.since) < stay {
			return
		}
		place = place.Next()
		if s.begun.IsZero() {
			s.begun = now
		}
		switch {
		case s.client.StopIfIdle(end):
			room.Remove(at)
		case now.Sub(s.begun) >= rest:
			s.client.Interrupt(transport.Stalled)
			room.Remove(at)
		}
	}
}

// clear lets all clients go, each between two queries.
func (l *lobby) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for _, room := range []*list.List{&l.strangers, &l.guests} {
		for place := room.Front(); place != nil; place = place.Next() {
			place.Value.(*seat).client.StopIfIdle(transport.ShutDown)
		}
	}
}
