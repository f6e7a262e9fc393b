package routing

import "container/heap"

// timer is something to do at a time; of two due at once the one set first comes first.
type timer struct {
	at    int64
	order uint64
	next  func()
}

type timers struct {
	queue []timer
	set   uint64
}

func (t *timers) Len() int      { return len(t.queue) }
func (t *timers) Swap(i, j int) { t.queue[i], t.queue[j] = t.queue[j], t.queue[i] }
func (t *timers) Push(x any)    { t.queue = append(t.queue, x.(timer)) }

func (t *timers) Less(i, j int) bool {
	a, b := &t.queue[i], &t.queue[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (t *timers) Pop() any {
	last := len(t.queue) - 1
	x := t.queue[last]
	t.queue[last] = timer{}
	t.queue = t.queue[:last]
	return x
}

func (t *timers) add(at int64, next func()) {
	t.set++
	heap.Push(t, timer{at: at, order: t.set, next: next})
}

// due takes the next timer that is due.
func (t *timers) due(now int64) (func(), bool) {
	if len(t.queue) == 0 || t.queue[0].at > now {
		return nil, false
	}
	return heap.Pop(t).(timer).next, true
}
