package transport

import "sync"

// Descriptors limits the number of sockets that this process has open.
type Descriptors struct {
	mu    sync.Mutex
	limit int
	inUse int
}

// reservedDescriptors are left for files that are not counted, such as the standard streams, the poller,
// the listeners and the UDP socket.
const reservedDescriptors = 24

// NewDescriptors returns Descriptors for a process with the given limit on open files.
func NewDescriptors(limit int) *Descriptors {
	return &Descriptors{limit: max(1, limit-reservedDescriptors)}
}

// Resize changes the process's limit on open files. Sockets open beyond it stay open until released.
func (d *Descriptors) Resize(limit int) {
	d.mu.Lock()
	d.limit = max(1, limit-reservedDescriptors)
	d.mu.Unlock()
}

// Acquire counts one more socket if at least reserve others stay free after it.
func (d *Descriptors) Acquire(reserve int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inUse+reserve >= d.limit {
		return false
	}
	d.inUse++
	return true
}

// Release counts one socket as closed.
func (d *Descriptors) Release() {
	d.mu.Lock()
	d.inUse--
	d.mu.Unlock()
}

// Free returns how many more sockets may be opened.
func (d *Descriptors) Free() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit - d.inUse
}

// Limit returns how many sockets may be open at once.
func (d *Descriptors) Limit() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit
}
