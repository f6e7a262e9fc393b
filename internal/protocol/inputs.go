package protocol

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// Inputs is what the inputs of all client connections share: the memory that they may hold, the processor time
// that they may take, and whether this process is draining.
type Inputs struct {
	draining atomic.Bool
	drained  chan struct{} // closed once draining
	pacer    *Pacer

	mu        sync.Mutex
	limit     int                       // bytes that may be reserved
	available int                       // bytes that may still be reserved; negative after the limit was lowered
	holders   map[*clientInput]struct{} // inputs that have reserved memory
	waiting   list.List                 // of *clientInput, for memory, first come first served
	reclaimAt time.Time                 // when messages that stand still are looked for again
	shortage  InputShortage
}

// InputShortage counts what was not taken for want of memory.
type InputShortage struct {
	Refused int // queries
	Dropped int // unfinished messages that lost their memory to others
}

const (
	// freeInputBytes is what each connection may hold without a reservation, so that usual requests are
	// taken whatever other clients hold.
	freeInputBytes = 4 << 10
	// maxInputBytes limits what one connection holds.
	maxInputBytes = 1 << 20
	// stalledMessageAge is how long a message has to stand still before its memory may go to another.
	stalledMessageAge = 100 * time.Millisecond
	// maxMemoryWait is how long a query waits for memory, with its rest left in the socket, before it is
	// refused. Its client can still ask elsewhere then.
	maxMemoryWait = 300 * time.Millisecond
	// reclaimInterval is how often messages that stand still are looked for, by the first that waits or by all.
	reclaimInterval = 10 * time.Millisecond
)

// NewInputs returns Inputs that hold at most limit bytes beyond what each connection may hold in any case.
func NewInputs(limit int) *Inputs {
	return &Inputs{pacer: newPacer(), drained: make(chan struct{}), limit: limit, available: limit, holders: map[*clientInput]struct{}{}}
}

// SetLimit changes the limit. What is held beyond it stays until it is released.
func (s *Inputs) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available += limit - s.limit
	s.limit = limit
	s.wakeFirst()
}

// SetProcessors sets how many processors this process has, which may be part of one. It has one before.
func (s *Inputs) SetProcessors(processors float64) { s.pacer.setProcessors(processors) }

// TakePacedWait returns how long clients at full speed had to wait since the last call, added up.
func (s *Inputs) TakePacedWait() time.Duration { return s.pacer.takeWaited() }

// Drain makes each connection process only the commands that have begun to arrive, and one more if there
// are none. The others are refused.
func (s *Inputs) Drain() {
	if !s.draining.Swap(true) {
		close(s.drained)
	}
}

// Available returns how many bytes may still be reserved.
func (s *Inputs) Available() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}

// TakeShortage returns what was not taken since the last call.
func (s *Inputs) TakeShortage() InputShortage {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.shortage
	s.shortage = InputShortage{}
	return taken
}

// countRefusal counts a query that is refused for want of memory.
func (s *Inputs) countRefusal() {
	s.mu.Lock()
	s.shortage.Refused++
	s.mu.Unlock()
}

// resize changes what an input holds to size bytes and reports whether that was possible. An input gets at
// most half of what is still available, so that one that holds much is refused before one that holds
// little. For want of memory, messages of others that stand still lose theirs. in.mu must be held.
func (s *Inputs) resize(in *clientInput, size int, now time.Time) bool {
	reserved := max(0, size-freeInputBytes)
	extra := reserved - in.reserved
	if extra > 0 && size > maxInputBytes {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for extra > 0 && reserved > s.available/2 {
		if !s.reclaimStalled(in, now) {
			return false
		}
	}
	s.setReserved(in, reserved)
	if extra < 0 {
		s.wakeFirst()
	}
	return true
}

// wait lets an input wait for memory in its turn. It returns for how long at the most, and what ends the
// wait; 0 if the input has waited since since for too long. in.mu must be held.
func (s *Inputs) wait(in *clientInput, since, now time.Time) (pause time.Duration, resume <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pause = maxMemoryWait - now.Sub(since); pause <= 0 {
		return 0, nil
	}
	if in.place == nil {
		in.place = s.waiting.PushBack(in)
		in.resume = make(chan struct{}, 1)
	}
	if s.waiting.Front() == in.place {
		pause = min(pause, reclaimInterval)
	}
	return pause, in.resume
}

// endWait takes an input out of those that wait. in.mu must be held.
func (s *Inputs) endWait(in *clientInput) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(in.place)
	in.place = nil
	s.wakeFirst()
}

// isPreceded reports whether others wait for memory that came before an input. in.mu must be held.
func (s *Inputs) isPreceded(in *clientInput) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting.Len() > 0 && s.waiting.Front() != in.place
}

// wakeFirst lets the first input that waits try again. s.mu must be held.
func (s *Inputs) wakeFirst() {
	if first := s.waiting.Front(); first != nil {
		select {
		case first.Value.(*clientInput).resume <- struct{}{}:
		default: // it was told before
		}
	}
}

// setReserved records what an input has reserved. s.mu and in.mu must be held.
func (s *Inputs) setReserved(in *clientInput, reserved int) {
	s.available -= reserved - in.reserved
	in.reserved = reserved
	if reserved > 0 {
		s.holders[in] = struct{}{}
	} else {
		delete(s.holders, in)
	}
}

// reclaimStalled drops the unfinished message that has stood still for longest and reports whether there was
// one. After it has found none it does not look for a while, since many may ask. An input that is being used at this moment is passed over: waiting for it here could be a deadlock.
// s.mu must be held.
func (s *Inputs) reclaimStalled(except *clientInput, now time.Time) bool {
	if now.Before(s.reclaimAt) {
		return false
	}
	var victim *clientInput
	for in := range s.holders {
		if in == except || !in.mu.TryLock() {
			continue
		}
		if !in.isStalled(now) || victim != nil && !in.lastInputAt.Before(victim.lastInputAt) {
			in.mu.Unlock()
			continue
		}
		if victim != nil {
			victim.mu.Unlock()
		}
		victim = in
	}
	if victim == nil {
		s.reclaimAt = now.Add(reclaimInterval)
		return false
	}
	defer victim.mu.Unlock()
	victim.dropUnfinished()
	s.shortage.Dropped++
	s.setReserved(victim, max(0, victim.held-freeInputBytes))
	return true
}
