package routing

import "container/heap"

// timer is a callback due at a time. Timers due at the same time run in the order in which they were
// added.
type timer struct {
	due      int64
	order    uint64
	callback func()
}

// timers is a queue of timers, ordered by heap.Interface.
type timers struct {
	queue     []timer
	lastOrder uint64
}

func (t *timers) Len() int      { return len(t.queue) }
func (t *timers) Swap(i, j int) { t.queue[i], t.queue[j] = t.queue[j], t.queue[i] }
func (t *timers) Push(x any)    { t.queue = append(t.queue, x.(timer)) }

func (t *timers) Less(i, j int) bool {
	first, second := &t.queue[i], &t.queue[j]
	return first.due < second.due || first.due == second.due && first.order < second.order
}

func (t *timers) Pop() any {
	last := len(t.queue) - 1
	popped := t.queue[last]
	t.queue[last] = timer{}
	t.queue = t.queue[:last]
	return popped
}

func (t *timers) add(due int64, callback func()) {
	t.lastOrder++
	heap.Push(t, timer{due: due, order: t.lastOrder, callback: callback})
}

// delay returns for how long the next timer has been due.
func (t *timers) delay(now int64) int64 {
	if len(t.queue) == 0 {
		return 0
	}
	return max(0, now-t.queue[0].due)
}

// popDue removes the next timer that is due and returns its callback.
func (t *timers) popDue(now int64) (func(), bool) {
	if len(t.queue) == 0 || t.queue[0].due > now {
		return nil, false
	}
	return heap.Pop(t).(timer).callback, true
}
