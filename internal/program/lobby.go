package program

import (
	"container/list"
	"context"
	"sync"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

const (
	strangerFor = 2 * time.Second        // a client may take from its connection to its first whole query
	guestFor    = 3 * time.Second        // a client may wait between two queries
	restFor     = time.Second            // and then for the rest of one that it has begun
	settledIn   = 100 * time.Millisecond // a client that has said nothing for so long makes room first
	sweepEvery  = 100 * time.Millisecond
)

// lobby knows the clients that nothing is done for just now: strangers, who have asked nothing yet, and guests, who
// have. Of both the one longest there comes first. It lets go of those that stay too long, so that no client holds
// a connection for nothing.
type lobby struct {
	mu        sync.Mutex
	strangers list.List
	guests    list.List
	leaving   bool
}

// seat is a client's place in the lobby.
type seat struct {
	client protocol.Client
	since  time.Time
	begun  time.Time // when it was found to have begun a message, zero for never
}

// arrive notes that a client has connected.
func (l *lobby) arrive(c protocol.Client) (leave func()) { return l.enter(&l.strangers, c) }

// wait notes that a client waits for its next query. Once clients are to go it is let go, unless that has come.
func (l *lobby) wait(c protocol.Client) (leave func()) { return l.enter(&l.guests, c) }

func (l *lobby) enter(room *list.List, c protocol.Client) (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		c.Part(transport.ShutDown)
	}
	place := room.PushBack(&seat{client: c, since: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		room.Remove(place)
	}
}

// evict lets a client go: one that has said nothing, or else the guest that has waited longest.
func (l *lobby) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.strangers.Front()
	if first != nil && time.Since(first.Value.(*seat).since) >= settledIn && l.part(&l.strangers) {
		return
	}
	l.part(&l.guests)
}

// part lets the first client of a room go that has begun no message. The lock is held.
func (l *lobby) part(room *list.List) bool {
	for place := room.Front(); place != nil; place = place.Next() {
		if place.Value.(*seat).client.Part(transport.Evicted) {
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

// sweep lets go of those in a room longer than stay; one that has begun a message then has a rest to finish it.
func (l *lobby) sweep(room *list.List, now time.Time, stay, rest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
		case s.client.Part(transport.Evicted):
			room.Remove(at)
		case now.Sub(s.begun) >= rest:
			s.client.Cut(transport.Stalled)
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
			place.Value.(*seat).client.Part(transport.ShutDown)
		}
	}
}
