package transport

import "sync"

// OverflowBudget is what all connections together may hold beyond their usual bounds, for peers that send on while they are not read
// from. It guards against many of them at once taking the memory of all.
type OverflowBudget struct {
	mu           sync.Mutex
	available    int
	perConnLimit int // bytes that one connection may hold in all
}

// NewOverflowBudget allows for so many bytes beyond the usual for all, and for so many in all for each.
func NewOverflowBudget(total, perConnLimit int) *OverflowBudget {
	return &OverflowBudget{available: total, perConnLimit: perConnLimit}
}

func (b *OverflowBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

func (b *OverflowBudget) release(n int) {
	b.mu.Lock()
	b.available += n
	b.mu.Unlock()
}
