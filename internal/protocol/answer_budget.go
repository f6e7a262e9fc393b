package protocol

import (
	"sync"
	"time"

	"sedgespread/internal/transport"
)

// AnswerBudget bounds the memory of members' answers, from when they are received until they have been sent
// on: of each message, and of all answers together.
type AnswerBudget struct {
	mu              sync.Mutex
	maxMessageBytes int
	limit           int // bytes that may be reserved
	available       int // bytes that may still be reserved; negative after the limit was lowered
	cut             int // answers that were not taken for want of memory
}

const (
	// freeAnswerBytes is what each answer may hold without a reservation, so that usual answers are taken
	// whatever spoilt ones hold.
	freeAnswerBytes = 64 << 10
	// maxAnswerWait is how long an answer waits for memory, with its rest left in the socket.
	maxAnswerWait      = 100 * time.Millisecond
	answerWaitInterval = 5 * time.Millisecond
)

// NewAnswerBudget returns a budget of limit bytes, beyond what each answer may hold in any case, for messages
// of at most maxMessageBytes.
func NewAnswerBudget(maxMessageBytes, limit int) *AnswerBudget {
	return &AnswerBudget{maxMessageBytes: maxMessageBytes, limit: limit, available: limit}
}

// SetLimits changes both limits. What is held beyond them stays until it is released.
func (b *AnswerBudget) SetLimits(maxMessageBytes, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += limit - b.limit
	b.maxMessageBytes, b.limit = maxMessageBytes, limit
}

// maxMessage returns the limit of one message.
func (b *AnswerBudget) maxMessage() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.maxMessageBytes)
}

// Available returns how many bytes may still be reserved.
func (b *AnswerBudget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// TakeShortage returns how many answers were not taken for want of memory since the last call.
func (b *AnswerBudget) TakeShortage() (answers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answers, b.cut = b.cut, 0
	return answers
}

// countCut counts an answer that was not taken for want of memory.
func (b *AnswerBudget) countCut() {
	b.mu.Lock()
	b.cut++
	b.mu.Unlock()
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
			m.budget.countCut()
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
