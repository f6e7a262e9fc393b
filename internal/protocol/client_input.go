package protocol

import (
	"encoding/binary"
	"sync"
	"time"
	"unsafe"

	"sedgespread/internal/transport"
)

// clientInput takes a client's input as it arrives, splits it into messages and holds them until the session
// takes them. The connection is therefore read at all times, and the end of a client is noticed also behind
// commands that wait.
//
// A query that may not be held is refused: its bytes are dropped, and in its turn the client is told that
// trying again is harmless. That happens for want of memory, see Inputs, and while this process drains to
// queries that began too late.
//
//	the message being received   on its next bytes
//	none                         its header is collected
//	kept                         they are appended; for want of memory it becomes refused
//	refused                      they are dropped
//	input ended                  dropped: an earlier message could not be followed
type clientInput struct {
	shared      *Inputs
	isInstalled bool // only used by the session

	mu          sync.Mutex
	queue       []inputEntry
	header      [headerBytes]byte
	received    int    // bytes of the message being received, 0 for none
	total       int    // its announced size, 0 until its header is complete
	raw         []byte // its bytes, if it is kept
	isRefused   bool   // it is dropped
	ended       bool
	held        int // bytes held in queue, raw and by the session
	taken       int // of held, by the session for the message that it processes
	reserved    int // of held, in shared
	lastInputAt time.Time
	tookLast    bool // while draining, one more query was taken
	dropped     int  // bytes dropped since the session was last waiting
}

// inputEntry is what the session takes from the queue in one turn: a message, the refusal of queries, or the
// end of the input.
type inputEntry struct {
	message
	refused int                   // queries to refuse, one after another
	end     transport.CloseReason // why the input can't be followed, Open if it can
}

const (
	inputEntryBytes = 128 // memory of an entry besides its message

	firstMessageBytes  = 4 << 10  // memory for a message whose header has arrived
	secondMessageBytes = 32 << 10 // memory once that is full; the whole message comes next

	// A client that sends more than it may is read slowly once it has sent more than usual clients have
	// under way, so that it does not take the processor from others.
	unpacedDropBytes = 4 << 20
	pacedDropBytes   = 64 << 10
	dropPause        = 5 * time.Millisecond
)

// HandleInput implements transport.InputHandler.
func (in *clientInput) HandleInput(input []byte, receivedAt time.Time) (peerGone bool, pause time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastInputAt = receivedAt
	for len(input) > 0 && !in.ended {
		input = in.receiveHeader(input)
		if in.total > 0 && in.header[0] == kindTerminate {
			in.ended, in.received, in.total = true, 0, 0
			return true, 0
		}
		input = in.receiveBody(input)
		if in.total > 0 && in.received == in.total {
			in.completeMessage(receivedAt)
		}
	}
	in.drop(len(input))
	return false, in.pause()
}

// HasInput implements transport.InputHandler.
func (in *clientInput) HasInput() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.queue) > 0 || in.received > 0
}

// receiveHeader takes what is missing of a message's header and returns the rest of input.
func (in *clientInput) receiveHeader(input []byte) (rest []byte) {
	if in.total > 0 {
		return input
	}
	n := copy(in.header[in.received:], input)
	if in.received += n; in.received == headerBytes {
		in.beginMessage()
	}
	return input[n:]
}

// beginMessage decides what becomes of a message whose header is complete.
func (in *clientInput) beginMessage() {
	length := int64(binary.BigEndian.Uint32(in.header[1:]))
	switch {
	case length < lengthBytes:
		in.endWith(transport.Malformed)
		return
	case length+1 > maxStatementBytes:
		in.endWith(transport.TooLong)
		return
	}
	in.total = int(length) + 1
	in.isRefused = in.header[0] == kindQuery && !in.mayBegin()
	in.keep(in.header[:])
}

// mayBegin reports whether a query that begins now may be taken. While draining that is one, if none is
// there.
func (in *clientInput) mayBegin() bool {
	if !in.shared.draining.Load() {
		return true
	}
	mayBegin := !in.tookLast && in.taken == 0 && len(in.queue) == 0
	in.tookLast = true
	return mayBegin
}

// receiveBody takes what input has of the message's body and returns the rest.
func (in *clientInput) receiveBody(input []byte) (rest []byte) {
	n := min(len(input), in.total-in.received)
	if n <= 0 {
		return input
	}
	in.received += n
	in.keep(input[:n])
	return input[n:]
}

// keep appends part to the message, or drops it if the message is refused.
func (in *clientInput) keep(part []byte) {
	if !in.isRefused && len(in.raw)+len(part) > cap(in.raw) && !in.growMessage(len(in.raw)+len(part)) {
		in.refuseMessage()
	}
	if in.isRefused {
		in.drop(len(part))
		return
	}
	in.raw = append(in.raw, part...)
}

// growMessage makes room for at least size bytes of the message. Memory is reserved as it arrives, so that an
// announced length alone costs none.
func (in *clientInput) growMessage(size int) bool {
	capacity := min(in.total, firstMessageBytes)
	if size > capacity {
		capacity = min(in.total, secondMessageBytes)
	}
	if size > capacity {
		capacity = in.total
	}
	if !in.resize(in.held + capacity - cap(in.raw)) {
		return false
	}
	in.raw = append(make([]byte, 0, capacity), in.raw...)
	return true
}

// refuseMessage drops what has arrived of the message.
func (in *clientInput) refuseMessage() {
	in.isRefused = true
	in.drop(len(in.raw))
	in.releaseMessage()
}

// completeMessage adds the message, or its refusal, to the queue.
func (in *clientInput) completeMessage(receivedAt time.Time) {
	if !in.isRefused && !in.resize(in.held+inputEntryBytes) {
		in.refuseMessage()
	}
	switch {
	case in.ended:
	case in.isRefused && in.header[0] != kindQuery: // only queries can be refused
		in.endWith(transport.TooLong)
	case in.isRefused:
		in.addRefusal()
	default:
		text := unsafe.String(&in.raw[0], len(in.raw)) // raw is not modified after this
		in.queue = append(in.queue, inputEntry{message: message{kind: in.header[0], body: text[headerBytes:], raw: text, receivedAt: receivedAt}})
	}
	in.raw, in.received, in.total, in.isRefused = nil, 0, 0, false
}

// addRefusal adds the refusal of a query to the queue, together with those right before it.
func (in *clientInput) addRefusal() {
	if last := len(in.queue) - 1; last >= 0 && in.queue[last].refused > 0 {
		in.queue[last].refused++
		return
	}
	in.queue = append(in.queue, inputEntry{refused: 1})
}

// endWith ends the input: what comes later can't be told apart.
func (in *clientInput) endWith(reason transport.CloseReason) {
	in.ended = true
	in.queue = append(in.queue, inputEntry{end: reason})
	in.releaseMessage()
	in.received, in.total = 0, 0
}

// releaseMessage gives back the memory of the message being received.
func (in *clientInput) releaseMessage() {
	in.resize(in.held - cap(in.raw))
	in.raw = nil
}

// resize changes what this input holds and reports whether that was possible.
func (in *clientInput) resize(held int) bool {
	if !in.shared.resize(in, held, in.lastInputAt) {
		return false
	}
	in.held = held
	return true
}

// drop counts n bytes that are not kept.
func (in *clientInput) drop(n int) { in.dropped += n }

// pause returns how long to wait before more is read.
func (in *clientInput) pause() time.Duration {
	if in.dropped < unpacedDropBytes+pacedDropBytes {
		return 0
	}
	in.dropped = unpacedDropBytes
	return dropPause
}

// isStalled reports whether the message being received holds memory and has not grown for long.
func (in *clientInput) isStalled(now time.Time) bool {
	return cap(in.raw) > 0 && now.Sub(in.lastInputAt) >= stalledMessageAge
}

// dropUnfinished refuses the message being received. The caller records what is held less.
func (in *clientInput) dropUnfinished() {
	in.isRefused = true
	in.held -= cap(in.raw)
	in.raw = nil
}

// take removes the next entry from the queue. The message taken before is no longer held.
func (in *clientInput) take() (entry inputEntry, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.resize(in.held - in.taken)
	in.taken = 0
	if len(in.queue) == 0 {
		in.dropped = 0
		return inputEntry{}, false
	}
	entry, in.queue = in.queue[0], in.queue[1:]
	if len(in.queue) == 0 {
		in.queue = nil
	}
	if entry.raw != "" {
		in.taken = len(entry.raw) + inputEntryBytes
	}
	return entry, true
}

// hasEntry reports whether the queue has an entry to take.
func (in *clientInput) hasEntry() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.queue) > 0
}

// hasPart reports whether a message has been received in part.
func (in *clientInput) hasPart() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.received > 0
}

// hasQuery reports whether a query waits, or is being received, that is not refused.
func (in *clientInput) hasQuery() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, entry := range in.queue {
		if entry.raw != "" || entry.end != transport.Open {
			return true
		}
	}
	return in.received > 0 && !in.isRefused
}

// takeUnanswered empties the queue and returns how many queries were in it, refused or not.
func (in *clientInput) takeUnanswered() (queries int) {
	for entry, ok := in.take(); ok; entry, ok = in.take() {
		queries += entry.refused
		if entry.kind == kindQuery {
			queries++
		}
	}
	return queries
}

// release gives back all memory. The input must not be used any more.
func (in *clientInput) release() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.queue, in.raw, in.taken, in.ended = nil, nil, 0, true
	in.resize(0)
}
