package transport

// RingBuffer is a FIFO buffer of bytes. It allocates on the first write and doubles up to its limit; a
// large one is freed when it is reset.
type RingBuffer struct {
	buf   []byte
	head  int
	used  int
	limit int
}

const (
	initialRingBytes = 512
	maxIdleRingBytes = 8 << 10 // larger buffers are freed when empty
)

// NewRingBuffer returns an empty buffer that grows up to limit bytes.
func NewRingBuffer(limit int) RingBuffer { return RingBuffer{limit: limit} }

// Len returns the number of buffered bytes.
func (r *RingBuffer) Len() int { return r.used }

// Available returns the number of bytes that can still be written.
func (r *RingBuffer) Available() int { return r.limit - r.used }

// grow makes space for n more bytes, up to the limit.
func (r *RingBuffer) grow(n int) {
	size := max(len(r.buf), min(initialRingBytes, r.limit))
	for size < min(r.used+n, r.limit) {
		size = min(2*size, r.limit)
	}
	if size != len(r.buf) {
		r.resize(size)
	}
}

// resize moves the contents to a buffer of the given size, which must hold them.
func (r *RingBuffer) resize(size int) {
	buf := make([]byte, size)
	r.peek(buf[:r.used])
	r.buf, r.head = buf, 0
}

// reset moves an empty buffer to its start and frees a large one. It does nothing if data is buffered.
func (r *RingBuffer) reset() {
	if r.used > 0 {
		return
	}
	r.head = 0
	if len(r.buf) > maxIdleRingBytes {
		r.buf = nil
	}
}

// release frees the memory of an empty buffer.
func (r *RingBuffer) release() {
	if r.used == 0 {
		r.buf, r.head = nil, 0
	}
}

// Write appends as much of text as fits and returns the number of bytes written.
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

// free returns the contiguous unused space behind the data.
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

// front returns the contiguous data from the oldest byte on.
func (r *RingBuffer) front() []byte {
	if r.used == 0 {
		return nil
	}
	return r.buf[r.head:min(r.head+r.used, len(r.buf))]
}

// peek copies the oldest len(dst) bytes, which must be buffered, without consuming them.
func (r *RingBuffer) peek(dst []byte) {
	n := copy(dst, r.buf[r.head:])
	copy(dst[n:], r.buf)
}

// discard drops the n oldest bytes. It does not move the free space, which readLoop may be filling.
func (r *RingBuffer) discard(n int) {
	if n > 0 {
		r.head = (r.head + n) % len(r.buf)
		r.used -= n
	}
}
