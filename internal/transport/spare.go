package transport

import "sync"

// OverflowBudget is what all connections together may hold beyond their usual bounds, for peers that send on while they are not read
// from. It guards against many of them at once taking the memory of all.
type OverflowBudget struct {
	mu   sync.Mutex
	left int
	each int // bytes that one connection may hold in all
}

// NewOverflowBudget allows for so many bytes beyond the usual for all, and for so many in all for each.
func NewOverflowBudget(all, each int) *OverflowBudget { return &OverflowBudget{left: all, each: each} }

func (s *OverflowBudget) take(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left < n {
		return false
	}
	s.left -= n
	return true
}

func (s *OverflowBudget) give(n int) {
	s.mu.Lock()
	s.left += n
	s.mu.Unlock()
}
