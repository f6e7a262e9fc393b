package program

import (
	"container/list"
	"sync"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
)

// lobby knows the clients whose connections carry nothing just now, the one longest so first.
type lobby struct {
	mu      sync.Mutex
	idle    *list.List
	leaving bool
}

func newLobby() *lobby { return &lobby{idle: list.New()} }

// enter notes that a client waits for its next query. Once clients are to go it is let go, unless that has come.
func (l *lobby) enter(c protocol.Client) *list.Element {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		c.Part(transport.ShutDown)
	}
	return l.idle.PushBack(c)
}

// leave notes that a client's query has come, or that it has gone.
func (l *lobby) leave(seat *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle.Remove(seat)
}

// evict lets the client go that has waited longest.
func (l *lobby) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for seat := l.idle.Front(); seat != nil; seat = seat.Next() {
		if seat.Value.(protocol.Client).Part(transport.Evicted) {
			l.idle.Remove(seat)
			return
		}
	}
}

// clear lets all clients go, each between two queries.
func (l *lobby) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for seat := l.idle.Front(); seat != nil; seat = seat.Next() {
		seat.Value.(protocol.Client).Part(transport.ShutDown)
	}
}
