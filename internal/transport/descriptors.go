package transport

import "sync"

// Descriptors counts the sockets that this process holds against what it may hold.
type Descriptors struct {
	mu    sync.Mutex
	limit int
	inUse int
}

// kept for what is not counted: standard streams, the poller, the listener, the datagram socket and their like.
const reservedDescriptors = 24

// NewDescriptors allows for a process that may hold limit descriptors in all.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{limit: max(1, limit-reservedDescriptors)}
}

// Resize allows for limit descriptors in all from here on. Sockets held beyond that stay until they are given back.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	d.limit = max(1, limit-reservedDescriptors)
	d.mu.Unlock()
}

// Acquire counts one more socket if that leaves at least spare ones free.
func (d *Descriptors) Acquire(reserve int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inUse+reserve >= d.limit {
		return false
	}
	d.inUse++
	return true
}

// Release counts one socket less.
func (d *Descriptors) Release() {
	d.mu.Lock()
	d.inUse--
	d.mu.Unlock()
}

// Free is how many more may be held.
func (d *Descriptors) Free() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit - d.inUse
}

// Limit is how many may be held at once.
func (d *Descriptors) Limit() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit
}
