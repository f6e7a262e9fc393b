package protocol

import (
	"sync"
	"sync/atomic"
)

// Inputs is what the inputs of all client connections share: the memory that they may hold, and whether
// this process is draining.
type Inputs struct {
	draining atomic.Bool

	mu        sync.Mutex
	available int // bytes that may still be reserved
}

const (
	// freeInputBytes is what each connection may hold without a reservation, so that usual requests are
	// taken whatever other clients hold.
	freeInputBytes = 4 << 10
	// maxInputBytes limits what one connection holds.
	maxInputBytes = 1 << 20
)

// NewInputs returns Inputs that hold at most limit bytes beyond what each connection may hold in any case.
func NewInputs(limit int) *Inputs {
	return &Inputs{available: limit}
}

// Drain makes each connection process only the commands that have begun to arrive, and one more if there
// are none. The others are refused.
func (s *Inputs) Drain() { s.draining.Store(true) }

// Available returns how many bytes may still be reserved.
func (s *Inputs) Available() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}

// resize changes what an input holds to size bytes and reports whether that was possible. An input gets at
// most half of what is still available, so that one that holds much is refused before one that holds
// little. in.mu must be held.
func (s *Inputs) resize(in *clientInput, size int) bool {
	reserved := max(0, size-freeInputBytes)
	extra := reserved - in.reserved
	if extra > 0 && size > maxInputBytes {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if extra > 0 && reserved > s.available/2 {
		return false
	}
	s.available -= extra
	in.reserved = reserved
	return true
}
