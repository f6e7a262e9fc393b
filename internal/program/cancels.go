package program

import (
	"crypto/rand"
	"encoding/binary"
	"sync"

	"sedgespread/internal/protocol"
)

// cancels knows the clients' connections by the keys that they were told, so that what one cancels is its own. It guards
// against work that goes on for a client that has said, on another connection as the protocol has it, that it does not want it.
type cancels struct {
	mu   sync.Mutex
	last uint32
	held map[uint32]*held // by process number
}

// held is a connection with what is open on it.
type held struct {
	key   protocol.CancelKey
	leave func() // nil while nothing is
}

func newCancels() *cancels { return &cancels{held: map[uint32]*held{}} }

// enter gives a connection its key, until the function it gives is called.
func (c *cancels) enter() (h *held, leave func()) {
	var secret [4]byte
	rand.Read(secret[:]) // which never fails; a key that could be foreseen would let clients cancel for others
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.last++; c.held[c.last] != nil || c.last == 0; {
		c.last++
	}
	h = &held{key: protocol.CancelKey{Process: c.last, Secret: binary.BigEndian.Uint32(secret[:])}}
	c.held[c.last] = h
	return h, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.held, h.key.Process)
	}
}

// open says what a cancel of this connection is to call off, until the function it gives is called.
func (c *cancels) open(h *held, leave func()) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.leave = leave
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		h.leave = nil
	}
}

// cancel calls off what is open on the connection of a key. Any other key, and one with nothing open, does nothing.
func (c *cancels) cancel(key protocol.CancelKey) {
	c.mu.Lock()
	h := c.held[key.Process]
	if h == nil || h.key != key || h.leave == nil {
		c.mu.Unlock()
		return
	}
	leave := h.leave
	c.mu.Unlock()
	leave()
}
