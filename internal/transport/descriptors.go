package transport

import "sync"

// Descriptors counts the sockets that this process holds against what it may hold.
type Descriptors struct {
	mu    sync.Mutex
	limit int
	held  int
}

// kept for what is not counted: standard streams, the poller, the listener, the datagram socket and their like.
const keptDescriptors = 24

// NewDescriptors allows for a process that may hold limit descriptors in all.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{limit: max(1, limit-keptDescriptors)}
}

// Resize allows for limit descriptors in all from here on. Sockets held beyond that stay until they are given back.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	d.limit = max(1, limit-keptDescriptors)
	d.mu.Unlock()
}

// Acquire counts one more socket if that leaves at least spare ones free.
func (d *Descriptors) Acquire(spare int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held+spare >= d.limit {
		return false
	}
	d.held++
	return true
}

// Release counts one socket less.
func (d *Descriptors) Release() {
	d.mu.Lock()
	d.held--
	d.mu.Unlock()
}

// Free is how many more may be held.
func (d *Descriptors) Free() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit - d.held
}

// Limit is how many may be held at once.
func (d *Descriptors) Limit() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit
}
