package protocol

import (
	"container/list"
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
// queries that began too late. If nothing else of the client is held, so that none of its requests can be out
// when it leaves, a query waits for memory for a while before it is refused.
//
//	the message being received   on its next bytes
//	none                         its header is collected
//	kept                         they are appended; for want of memory it waits or becomes refused
//	waiting                      they are not taken; after maxMemoryWait it becomes refused
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
	tookLast    bool          // while draining, one more query was taken
	dropped     int           // bytes dropped since the session was last waiting
	work        time.Duration // that was not charged yet
	allowance   workAllowance
	pacedUntil  time.Time // when more is read, for work that was charged

	mayWait      bool          // after the handshake
	waitingSince time.Time     // for memory; zero if it does not wait
	place        *list.Element // among those that wait, nil if it does not; with resume, guarded by shared.mu
	resume       chan struct{}
}

// inputEntry is what the session takes from the queue in one turn: a message, the refusal of queries, or the
// end of the input.
type inputEntry struct {
	message
	refused int                   // queries to refuse, one after another
	end     transport.CloseReason // why the input can't be followed, Open if it can
}

const (
	inputEntryBytes = 192 // memory of an entry besides its message; the queue grows ahead of its entries

	firstMessageBytes = 4 << 10 // memory for a message whose header has arrived; when that is full comes the rest

	// A client that sends more than it may is read slowly once it has sent more than usual clients have
	// under way, so that it does not take the processor from others.
	unpacedDropBytes = 4 << 20
	pacedDropBytes   = 64 << 10
	dropPause        = 5 * time.Millisecond
)

// HandleInput implements transport.InputHandler.
func (in *clientInput) HandleInput(input []byte, receivedAt, now time.Time) transport.InputResult {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastInputAt = now
	rest := input
	for len(rest) > 0 && !in.ended {
		rest = in.receiveHeader(rest)
		if in.total > 0 && in.header[0] == kindTerminate {
			in.ended, in.received, in.total = true, 0, 0
			return transport.InputResult{PeerGone: true}
		}
		if pause, resume := in.makeRoom(len(rest)); pause > 0 {
			return transport.InputResult{Taken: len(input) - len(rest), Pause: pause, Resume: resume}
		}
		rest = in.receiveBody(rest)
		if in.total > 0 && in.received == in.total {
			in.completeMessage(receivedAt)
		}
	}
	in.drop(len(rest))
	if len(input) < smallReadBytes && in.received >= len(input) { // part of one message
		in.work += smallReadWork
	}
	wait := in.allowance.charge(in.shared.pacer, now, in.work)
	in.pacedUntil = now.Add(wait)
	in.work = 0
	return transport.InputResult{Taken: len(input), Pause: max(in.pause(), wait), IsPaced: true}
}

// isPaced reports whether reading waits for work that led to no attempt.
func (in *clientInput) isPaced(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return now.Before(in.pacedUntil)
}

// hasOnlyPart reports whether a message has been received in part, and none whole.
func (in *clientInput) hasOnlyPart() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.received > 0 && in.taken == 0 && len(in.queue) == 0
}

// recordAttempt records that there was an attempt for the client.
func (in *clientInput) recordAttempt(now time.Time) {
	in.mu.Lock()
	in.allowance.servedAt = now
	in.mu.Unlock()
}

// allowWaiting lets queries wait for memory. It is called once what was buffered has been handed over.
func (in *clientInput) allowWaiting() {
	in.mu.Lock()
	in.mayWait = true
	in.mu.Unlock()
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
	if in.isRefused = in.header[0] == kindQuery && !in.mayBegin(); in.isRefused {
		return
	}
	if !in.growMessage() {
		in.refuseMessage()
		return
	}
	in.raw = append(in.raw, in.header[:]...)
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

// makeRoom reserves memory for the next n bytes of input. If there is none, the message waits as returned, or
// becomes refused.
func (in *clientInput) makeRoom(n int) (pause time.Duration, resume <-chan struct{}) {
	size := min(in.total, in.received+n)
	if in.isRefused || size <= cap(in.raw) {
		return 0, nil
	}
	canWait := in.mayWait && in.header[0] == kindQuery && in.taken == 0 && len(in.queue) == 0
	if canWait && in.shared.isPreceded(in) || !in.growMessage() {
		if canWait {
			if in.waitingSince.IsZero() {
				in.waitingSince = in.lastInputAt
			}
			pause, resume = in.shared.wait(in, in.waitingSince, in.lastInputAt)
		}
		if pause > 0 {
			return pause, resume
		}
		in.refuseMessage()
	}
	in.endWait()
	return 0, nil
}

// endWait is called when the message that waited for memory has got it or is refused.
func (in *clientInput) endWait() {
	in.waitingSince = time.Time{}
	if in.place != nil {
		in.shared.endWait(in)
	}
}

// receiveBody takes what input has of the message's body and returns the rest.
func (in *clientInput) receiveBody(input []byte) (rest []byte) {
	n := min(len(input), in.total-in.received)
	if n <= 0 {
		return input
	}
	in.received += n
	if in.isRefused {
		in.drop(n)
	} else {
		in.raw = append(in.raw, input[:n]...)
	}
	return input[n:]
}

// growMessage makes room for the whole message, or for its first bytes if there is none yet, so that an
// announced length alone costs little.
func (in *clientInput) growMessage() bool {
	capacity := in.total
	if in.raw == nil {
		capacity = min(in.total, firstMessageBytes)
	}
	if !in.resize(in.held - in.messageBytes() + capacity + inputEntryBytes) {
		return false
	}
	in.raw = append(make([]byte, 0, capacity), in.raw...)
	return true
}

// refuseMessage drops what has arrived of the message, for want of memory.
func (in *clientInput) refuseMessage() {
	in.shared.countRefusal()
	in.isRefused = true
	in.drop(len(in.raw))
	in.releaseMessage()
}

// completeMessage adds the message, or its refusal, to the queue.
func (in *clientInput) completeMessage(receivedAt time.Time) {
	switch {
	case in.isRefused && in.header[0] != kindQuery: // only queries can be refused
		in.endWith(transport.TooLong)
	case in.isRefused:
		in.work += refusedMessageWork
		in.addRefusal()
	default:
		in.work += heldMessageWork
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
	in.resize(in.held - in.messageBytes())
	in.raw = nil
}

// messageBytes returns the memory of the message being received, with that of its entry.
func (in *clientInput) messageBytes() int {
	if in.raw == nil {
		return 0
	}
	return cap(in.raw) + inputEntryBytes
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
func (in *clientInput) drop(n int) {
	in.dropped += n
	in.work += workOfBytes(n, droppedKiBWork)
}

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
	in.held -= in.messageBytes()
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
		in.allowance.debt = 0
		return inputEntry{}, false
	}
	entry, in.queue[0] = in.queue[0], inputEntry{} // the queue's array must not keep the message
	in.queue = in.queue[1:]
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
	in.endWait()
}
