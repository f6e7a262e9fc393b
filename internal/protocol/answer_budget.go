package protocol

import (
	"sync"
	"time"

	"sedgespread/internal/transport"
)

// AnswerBudget bounds the memory of members' answers, from when they are received until they have been sent
// on: of each message, and of all answers together.
type AnswerBudget struct {
	maxMessageBytes int

	mu        sync.Mutex
	available int
}

const (
	// freeAnswerBytes is what each answer may hold without a reservation, so that usual answers are taken
	// whatever spoilt ones hold.
	freeAnswerBytes = 64 << 10
	// maxAnswerWait is how long an answer waits for memory, with its rest left in the socket.
	maxAnswerWait      = 100 * time.Millisecond
	answerWaitInterval = 5 * time.Millisecond
)

// NewAnswerBudget returns a budget of total bytes, beyond what each answer may hold in any case, for messages
// of at most maxMessageBytes.
func NewAnswerBudget(maxMessageBytes, total int) *AnswerBudget {
	return &AnswerBudget{maxMessageBytes: maxMessageBytes, available: total}
}

// Available returns how many bytes may still be reserved.
func (b *AnswerBudget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// resize changes a reservation and reports whether that was possible. An answer gets at most half of what is
// still available, so that one that never ends fails before others.
func (b *AnswerBudget) resize(from, to int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if to > from && to > b.available/2 {
		return false
	}
	b.available -= to - from
	return true
}

// answerMemory is what one answer holds. Its methods are called by one goroutine at a time.
type answerMemory struct {
	budget   *AnswerBudget
	held     int
	reserved int
}

// grow adds n bytes, for which it may wait while the connection is open, and reports whether that was possible.
func (m *answerMemory) grow(c *transport.Conn, n int) bool {
	for waited := time.Duration(0); !m.resize(m.held + n); waited += answerWaitInterval {
		if waited >= maxAnswerWait || c.CloseReason() != transport.Open {
			return false
		}
		time.Sleep(answerWaitInterval)
	}
	return true
}

// resize sets what the answer holds.
func (m *answerMemory) resize(held int) bool {
	reserved := max(0, held-freeAnswerBytes)
	if !m.budget.resize(m.reserved, reserved) {
		return false
	}
	m.held, m.reserved = held, reserved
	return true
}
