package protocol

import (
	"sync"
	"time"
)

// Pacer bounds the processor time that clients may take, all together, for input that leads to no attempt at a
// member: messages that are refused, unsound or empty. Guards against clients at full speed, whose messages are
// small and many, so that no bound on bytes or memory meets them. It could do harm where the work is overestimated:
// such answers come later than they could, those to requests that are sent on do not.
//
// Work is counted by estimates and used up at a share of the processor, first come first served. A connection
// for which there are attempts has some of its own beside that, so that usual clients don't wait for others.
type Pacer struct {
	startedAt time.Time

	mu       sync.Mutex
	share    float64   // of a processor
	usedUpAt time.Time // when the work so far is used up at that share
	waited   time.Duration
}

const (
	// pacedShare is the share of the driver's processor for paced work.
	pacedShare = 0.15
	// pacerBurst is for how long no work has to come until some may be done without a wait.
	pacerBurst = 200 * time.Millisecond
	// pacedQuantum is how much work of a connection is paced at once.
	pacedQuantum = 200 * time.Microsecond
	// maxPacedWait limits a wait, and maxErrorWait one for an error that ends a connection: that is owed within 3 s, of
	// which a message may stand still for over 2 s before.
	maxPacedWait = 2 * time.Second
	maxErrorWait = 500 * time.Millisecond

	// Work that a connection has of its own if there were attempts for it lately.
	ownWork       = time.Millisecond // at once
	ownWorkRefill = 1e-3             // for each unit of time
	servedMemory  = 10 * time.Second // how long an attempt counts

	// Estimates of work.
	heldMessageWork    = time.Microsecond      // to receive a message and hold it
	refusedMessageWork = 500 * time.Nanosecond // to receive a query that is not taken, and to refuse it
	smallReadWork      = 5 * time.Microsecond  // to receive less than smallReadBytes that complete no message
	smallReadBytes     = 512
	droppedKiBWork     = 1600 * time.Nanosecond // to receive 1 KiB that is not taken
	answerWork         = 15 * time.Microsecond  // to answer without a member
	answeredKiBWork    = 3 * time.Microsecond   // to receive and parse 1 KiB of what is so answered
	connectionWork     = 250 * time.Microsecond // to accept a connection, end it with an error and close it
	unattemptedRPCWork = 25 * time.Microsecond  // to admit an RPC and answer it without an attempt
)

// workOfBytes returns the work for a number of bytes, given that for 1 KiB.
func workOfBytes(count int, kibibyteWork time.Duration) time.Duration {
	return time.Duration(count) * kibibyteWork >> 10
}

// newPacer returns a Pacer for a driver with one processor.
func newPacer() *Pacer { return &Pacer{startedAt: time.Now(), share: pacedShare} }

// elapsed returns the time since the pacer's start.
func (p *Pacer) elapsed(now time.Time) time.Duration { return now.Sub(p.startedAt) }

// setProcessors sets how many processors the driver has, which may be part of one.
func (p *Pacer) setProcessors(processors float64) {
	p.mu.Lock()
	p.share = pacedShare * processors
	p.mu.Unlock()
}

// reserve adds work and returns how long to wait before there is more.
func (p *Pacer) reserve(now time.Time, work time.Duration) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-pacerBurst); p.usedUpAt.Before(earliest) {
		p.usedUpAt = earliest
	}
	p.usedUpAt = p.usedUpAt.Add(time.Duration(float64(work) / p.share))
	if latest := now.Add(maxPacedWait); p.usedUpAt.After(latest) { // work of connections that did not wait, or of too many
		p.usedUpAt = latest
	}
	wait = max(0, p.usedUpAt.Sub(now))
	p.waited += wait
	return wait
}

// takeWaited returns how long connections have had to wait since the last call, added up.
func (p *Pacer) takeWaited() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	waited := p.waited
	p.waited = 0
	return waited
}

// workAllowance is the work that a connection does, and may do without the others' leave.
type workAllowance struct {
	used      time.Duration
	updatedAt time.Time
	servedAt  time.Time     // when there was last an attempt for the connection
	debt      time.Duration // work that was not paced yet
}

// charge adds work of a connection and returns how long it has to wait before there is more.
func (a *workAllowance) charge(pacer *Pacer, now time.Time, work time.Duration) (wait time.Duration) {
	if a.debt += work; a.debt < pacedQuantum {
		return 0
	}
	work, a.debt = a.debt, 0
	a.used = max(0, a.used-time.Duration(ownWorkRefill*float64(now.Sub(a.updatedAt))))
	a.updatedAt = now
	if now.Sub(a.servedAt) < servedMemory && a.used+work <= ownWork {
		a.used += work
		return 0
	}
	return pacer.reserve(now, work)
}
