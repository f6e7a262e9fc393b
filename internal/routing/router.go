// Package routing puts a blocking facade on the module: an RPC is taken and its next step picked, what the network
// found is reported, and Tick hands out what falls due without an RPC. It has the one lock, the timers, the clock
// and the one mapping of ends to outcomes; nobody else calls the module.
package routing

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/briefing"
	"sedgespread/internal/cells"
	"sedgespread/internal/clock"
	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

const milli = int64(time.Millisecond)

// sendDelay is how long after it was allowed the last byte of an attempt may be written, beyond what the rule on the age of data forgives: a
// driver may be held up for 0.15 s between reading its clock and writing, and the rule adds 0.05 s to every bound.
const sendDelay = 100 * milli

// Router is the facade.
type Router struct {
	mu       sync.Mutex
	driver   *rules.Driver
	registry registry
	timers   timers
	duties   []Task
	looks    map[rules.MemberID][]func(rules.ProbeResult)
	trips    map[rules.RPCID]*ActiveRPC
	last     rules.RPCID
	ids      ids
	methods  []rules.Method
	numbers  map[string]rules.MethodID // of the methods
	allowed  rules.Policy
	clock    clock.Clock
	stirred  chan struct{} // a timer or a duty has been added
	log      logrus.FieldLogger
	trace    trace
	gate     *cells.AdmissionController // nil where tenants have no cells
	drained  int64                      // until when peers' messages are those that waited while this process stood still
	looked   int64                      // when members were last probed for a move
	holder   *versions.DriverState      // nil where nothing has versions
	trail    *audit.Trail               // nil until this start has its number

	whole      wholeList
	turnedAway int64 // attempts that stores turned away for their versions
}

// New reads what the module is told at its start. The list is the one last known.
func New(told *briefing.Fields, seed int64, known protocol.Targets, log logrus.FieldLogger) (*Router, error) {
	r := &Router{registry: newRegistry(), looks: map[rules.MemberID][]func(rules.ProbeResult){},
		trips: map[rules.RPCID]*ActiveRPC{}, ids: ids{held: map[string]bool{}}, numbers: map[string]rules.MethodID{}, clock: clock.New(),
		stirred: make(chan struct{}, 1), log: log, trace: newTrace(log)}
	r.methods = told.Methods()
	for i, m := range r.methods {
		r.numbers[m.Name] = rules.MethodID(i)
	}
	fleet, store, allowed, slowStart, notice := told.Fleet(), told.Store(), told.Limits(), told.SlowStart(), told.Discovery()
	if told.Err != nil {
		return nil, told.Err
	}
	r.allowed = allowed
	store.MaxSendDelay = sendDelay
	notice.ViaAgent, notice.OnRequest = !notice.OnRequest, true // a list that is pushed is pushed to an agent, which is asked
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver = rules.New((*host)(r), seed, r.methods, fleet, store, allowed, slowStart, notice)
	r.list(known)
	return r, nil
}

// now is Unix time in nanoseconds that never goes back. The lock need not be held.
func (r *Router) now() int64 { return r.clock.Now() }

// at is a moment on the module's clock, 0 for none.
func (r *Router) at(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return r.clock.At(t)
}

func (r *Router) list(t protocol.Targets) {
	lines := make([]rules.MemberEntry, 0, len(t.Entries))
	for _, e := range t.Entries {
		lines = append(lines, r.registry.listing(e))
	}
	r.driver.UpdateMembers(lines, t.IsFull)
}

// ApplyList reports the list, or what changed in it.
func (r *Router) ApplyList(t protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list(t)
	if r.holder != nil {
		r.observeList(t)
	}
}

// ReportListFailure reports that discovery could not be asked, or that a watch broke off.
func (r *Router) ReportListFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver.WatchFailed()
}

// ReceiveObservations reports a peer's message, and tells whether it was one. After this process stood still it may have waited for so long that its positions
// mean others: what was waiting then does not count.
func (r *Router) ReceiveObservations(message []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news, ok := briefing.DecodeObservations(message, r.registry.member, 0, r.driver.StoreNow())
	if ok && !r.stoodStill() {
		r.driver.ReceiveReports(news)
	}
	return ok
}

const (
	longStandstill = protocol.MaxPositionAgeMillis * milli / 2
	drainsNews     = 1000 * milli // in which what waited in the socket is read
)

// stoodStill tells whether this process has just stood still for long, which shows in timers that are overdue. The lock is held.
func (r *Router) stoodStill() bool {
	now := r.now()
	if len(r.timers.queue) > 0 && now-r.timers.queue[0].at > longStandstill {
		r.drained = now + drainsNews
	}
	return now < r.drained
}

// ReportProbe reports what a probe found.
func (r *Router) ReportProbe(to rules.MemberID, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.looks[to]
	if r.looks[to] = waiting[1:]; len(waiting) == 1 {
		delete(r.looks, to)
	}
	found := o.found()
	found.ConnectedAt = r.at(o.OpenedAt)
	r.trace.printf("probe ended member=%d end=%q role=%s position=%d", to, o.CloseReason, roleNames[max(found.Role, found.Report.Role)], max(found.Position, found.Report.Position)/milli)
	waiting[0](found)
}

// ReportNotPrimary reports that a member has said that it is no primary, in what may yet turn out to be no whole answer.
func (r *Router) ReportNotPrimary(by rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver.NotPrimary(by)
}

// MayProbe tells whether a probe may still begin. It is asked just before its first byte is written.
func (r *Router) MayProbe(to rules.MemberID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.driver.ProbeAllowed(to)
}

// NextTask waits until something falls due that no RPC asks for, and gives it. Meanwhile the module's timers run.
func (r *Router) NextTask(ctx context.Context) (Task, error) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		duty, ok, wait := r.turn()
		if ok {
			return duty, nil
		}
		alarm.Reset(wait)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-alarm.C:
		case <-r.stirred:
		}
	}
}

// turn runs the timers that are due, and gives the next duty or how long to wait for one.
func (r *Router) turn() (Task, bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stoodStill()
	for next, ok := r.timers.due(r.now()); ok; next, ok = r.timers.due(r.now()) {
		next()
	}
	if len(r.duties) > 0 {
		duty := r.duties[0]
		r.duties = r.duties[1:]
		return duty, true, 0
	}
	if len(r.timers.queue) == 0 {
		return nil, false, time.Hour
	}
	return nil, false, time.Duration(r.timers.queue[0].at - r.now())
}

// stir wakes Tick.
func (r *Router) stir() {
	select {
	case r.stirred <- struct{}{}:
	default:
	}
}

// MemberID is the number of a member that discovery knows by a name, if it is known here.
func (r *Router) MemberID(name string) (id rules.MemberID, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known = r.registry.numbers[name]
	return id, known
}

// HasObservation tells whether anything was heard of a member, from itself or from a fellow driver.
func (r *Router) HasObservation(id rules.MemberID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.driver.Known(id)
}

// ProbesMembers tells whether members are probed.
func (r *Router) ProbesMembers() bool { return r.allowed.Probing }
