package program

import (
	"crypto/rand"
	"encoding/binary"
	"sync"

	"sedgespread/internal/protocol"
)

// cancelRegistry knows the clients' connections by the keys that they were told, so that what one cancels is its own. It guards
// against work that goes on for a client that has said, on another connection as the protocol has it, that it does not want it.
type cancelRegistry struct {
	mu          sync.Mutex
	lastProcess uint32
	entries     map[uint32]*cancelEntry // by process number
}

// cancelEntry is a connection with what is open on it.
type cancelEntry struct {
	key    protocol.CancelKey
	cancel func() // nil while nothing is
}

func newCancelRegistry() *cancelRegistry { return &cancelRegistry{entries: map[uint32]*cancelEntry{}} }

// register gives a connection its key, until the function it gives is called.
func (c *cancelRegistry) register() (entry *cancelEntry, unregister func()) {
	var secret [4]byte
	rand.Read(secret[:]) // which never fails; a key that could be foreseen would let clients cancel for others
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.lastProcess++; c.entries[c.lastProcess] != nil || c.lastProcess == 0; {
		c.lastProcess++
	}
	entry = &cancelEntry{key: protocol.CancelKey{Process: c.lastProcess, Secret: binary.BigEndian.Uint32(secret[:])}}
	c.entries[c.lastProcess] = entry
	return entry, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.entries, entry.key.Process)
	}
}

// setCancel says what a cancel of this connection is to call off, until the function it gives is called.
func (c *cancelRegistry) setCancel(entry *cancelEntry, cancel func()) (clear func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.cancel = cancel
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		entry.cancel = nil
	}
}

// cancel calls off what is open on the connection of a key. Any other key, and one with nothing open, does nothing.
func (c *cancelRegistry) cancel(key protocol.CancelKey) {
	c.mu.Lock()
	entry := c.entries[key.Process]
	if entry == nil || entry.key != key || entry.cancel == nil {
		c.mu.Unlock()
		return
	}
	cancel := entry.cancel
	c.mu.Unlock()
	cancel()
}
