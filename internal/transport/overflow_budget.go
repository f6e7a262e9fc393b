package transport

import "sync"

// OverflowBudget limits the memory that all connections together use beyond their normal buffers, for
// peers that keep sending while a request is processed.
type OverflowBudget struct {
	mu           sync.Mutex
	available    int
	perConnLimit int // bytes per connection, including the normal buffer
}

// NewOverflowBudget returns a budget of total bytes. One connection's read buffer may grow to
// perConnLimit bytes.
func NewOverflowBudget(total, perConnLimit int) *OverflowBudget {
	return &OverflowBudget{available: total, perConnLimit: perConnLimit}
}

// reserve takes n bytes from the budget if they are available.
func (b *OverflowBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

// release returns n bytes to the budget.
func (b *OverflowBudget) release(n int) {
	b.mu.Lock()
	b.available += n
	b.mu.Unlock()
}
