package transport

// RingBuffer is a first-in first-out buffer of bytes. It holds no memory until it is written to, doubles as needed up
// to its bound, and is let go of when a large one has run empty.
type RingBuffer struct {
	buf   []byte
	head  int
	used  int
	bound int
}

const (
	firstSize = 512
	keptSize  = 8 << 10 // a larger ring is given back once it is empty
)

// NewRingBuffer makes an empty ring that grows to bound bytes at most.
func NewRingBuffer(bound int) RingBuffer { return RingBuffer{bound: bound} }

// Len is the number of bytes held.
func (r *RingBuffer) Len() int { return r.used }

// Available is the number of bytes that may still be written.
func (r *RingBuffer) Available() int { return r.bound - r.used }

// grow makes space for n more bytes, as far as the bound allows.
func (r *RingBuffer) grow(n int) {
	size := max(len(r.buf), min(firstSize, r.bound))
	for size < min(r.used+n, r.bound) {
		size = min(2*size, r.bound)
	}
	if size != len(r.buf) {
		r.move(size)
	}
}

// move moves what is held to a buffer of another size, which must do for it.
func (r *RingBuffer) move(size int) {
	other := make([]byte, size)
	r.peek(other[:r.used])
	r.buf, r.head = other, 0
}

// relax starts an empty ring afresh, and gives a large one back.
func (r *RingBuffer) relax() {
	if r.used > 0 {
		return
	}
	r.head = 0
	if len(r.buf) > keptSize {
		r.buf = nil
	}
}

// Write appends as much of a text as there is room for, and tells how much.
func (r *RingBuffer) Write(text string) int {
	text = text[:min(len(text), r.Available())]
	r.grow(len(text))
	for rest := text; len(rest) > 0; {
		n := copy(r.free(), rest)
		r.used += n
		rest = rest[n:]
	}
	return len(text)
}

// free is the longest unused stretch behind what is held.
func (r *RingBuffer) free() []byte {
	if len(r.buf) == 0 || r.used == len(r.buf) {
		return nil
	}
	tail := (r.head + r.used) % len(r.buf)
	if tail < r.head {
		return r.buf[tail:r.head]
	}
	return r.buf[tail:]
}

// front is the longest stretch that is held, from the oldest byte on.
func (r *RingBuffer) front() []byte {
	if r.used == 0 {
		return nil
	}
	return r.buf[r.head:min(r.head+r.used, len(r.buf))]
}

// peek copies the oldest bytes without taking them; they must be held.
func (r *RingBuffer) peek(into []byte) {
	n := copy(into, r.buf[r.head:])
	copy(into[n:], r.buf)
}

// peekAt copies bytes from an offset on without taking them, and tells whether so many are held.
func (r *RingBuffer) peekAt(at int, into []byte) bool {
	if at+len(into) > r.used {
		return false
	}
	for i := range into {
		into[i] = r.buf[(r.head+at+i)%len(r.buf)]
	}
	return true
}

// discard drops the n oldest bytes. It leaves the free stretch where it is: somebody may be filling it.
func (r *RingBuffer) discard(n int) {
	if n > 0 {
		r.head = (r.head + n) % len(r.buf)
		r.used -= n
	}
}
