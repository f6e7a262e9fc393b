package program

import (
	"crypto/rand"
	"encoding/binary"
	"sync"

	"sedgespread/internal/protocol"
)

// cancelRegistry maps cancel keys to client connections, so that a cancel request, which arrives on
// another connection, reaches only the query it belongs to.
type cancelRegistry struct {
	mu          sync.Mutex
	lastProcess uint32
	entries     map[uint32]*cancelEntry // by process number
}

// cancelEntry is a client connection that can receive cancel requests.
type cancelEntry struct {
	key    protocol.CancelKey
	cancel func() // nil while no query runs
}

func newCancelRegistry() *cancelRegistry { return &cancelRegistry{entries: map[uint32]*cancelEntry{}} }

// register assigns a connection its cancel key, which is valid until unregister is called.
func (c *cancelRegistry) register() (entry *cancelEntry, unregister func()) {
	var secret [4]byte
	rand.Read(secret[:]) // never fails; a predictable key would let a client cancel the queries of others
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

// setCancel sets what a cancel request for this connection calls, until clear is called.
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

// cancel cancels the query that runs on the connection with the given key. It ignores unknown keys
// and connections without a running query.
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
