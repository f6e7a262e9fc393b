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

const nanosPerMilli = int64(time.Millisecond)

// sendDelay is how long after it was allowed the last byte of an attempt may be written, beyond what the rule on the age of data forgives: a
// driver may be held up for 0.15 s between reading its clock and writing, and the rule adds 0.05 s to every bound.
const sendDelay = 100 * nanosPerMilli

// Router is the facade.
type Router struct {
	mu                  sync.Mutex
	driver              *rules.Driver
	registry            registry
	timers              timers
	tasks               []Task
	pendingProbes       map[rules.MemberID][]func(rules.ProbeResult)
	activeRPCs          map[rules.RPCID]*ActiveRPC
	lastRPC             rules.RPCID
	ids                 rpcIDs
	methods             []rules.Method
	methodIDs           map[string]rules.MethodID // of the methods
	limits              rules.Allowed
	clock               clock.Clock
	wakeup              chan struct{} // a timer or a duty has been added
	log                 logrus.FieldLogger
	trace               trace
	admissionController *cells.AdmissionController // nil where tenants have no cells
	ignorePeersUntil    int64                      // until when peers' messages are those that waited while this process stood still
	lastCatchUpProbe    int64                      // when members were last probed for a move
	holder              *versions.Holder           // nil where nothing has versions
	trail               *audit.Trail               // nil until this start has its number

	listDigest     listDigest
	fencedAttempts int64 // attempts that stores turned away for their versions
}

// New reads what the module is told at its start. The list is the one last known.
func New(settings *briefing.Fields, seed int64, lastList protocol.Targets, log logrus.FieldLogger) (*Router, error) {
	r := &Router{registry: newRegistry(), pendingProbes: map[rules.MemberID][]func(rules.ProbeResult){},
		activeRPCs: map[rules.RPCID]*ActiveRPC{}, ids: rpcIDs{inUse: map[string]bool{}}, methodIDs: map[string]rules.MethodID{}, clock: clock.New(),
		wakeup: make(chan struct{}, 1), log: log, trace: newTrace(log)}
	r.methods = settings.Methods()
	for id, method := range r.methods {
		r.methodIDs[method.Name] = rules.MethodID(id)
	}
	fleet, store, limits, slowStart, discovery := settings.Fleet(), settings.Store(), settings.Limits(), settings.SlowStart(), settings.Discovery()
	if settings.Err != nil {
		return nil, settings.Err
	}
	r.limits = limits
	store.SendDelay = sendDelay
	discovery.Agent, discovery.Asked = !discovery.Asked, true // a list that is pushed is pushed to an agent, which is asked
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver = rules.New((*host)(r), seed, r.methods, fleet, store, limits, slowStart, discovery)
	r.applyList(lastList)
	return r, nil
}

// now is Unix time in nanoseconds that never goes back. The lock need not be held.
func (r *Router) now() int64 { return r.clock.Now() }

// clockTime is a moment on the module's clock, 0 for none.
func (r *Router) clockTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return r.clock.At(t)
}

func (r *Router) applyList(targets protocol.Targets) {
	listings := make([]rules.Listing, 0, len(targets.Entries))
	for _, entry := range targets.Entries {
		listings = append(listings, r.registry.update(entry))
	}
	r.driver.List(listings, targets.IsFull)
}

// ApplyList reports the list, or what changed in it.
func (r *Router) ApplyList(targets protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyList(targets)
	if r.holder != nil {
		r.observeListDigest(targets)
	}
}

// ReportListFailure reports that discovery could not be asked, or that a watch broke off.
func (r *Router) ReportListFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver.ListFailed()
}

// ReceiveObservations reports a peer's message, and tells whether it was one. After this process stood still it may have waited for so long that its positions
// mean others: what was waiting then does not count.
func (r *Router) ReceiveObservations(message []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	observations, ok := briefing.DecodeObservations(message, r.registry.idOfKey, 0, r.driver.StoreNow())
	if ok && !r.detectStall() {
		r.driver.Told(observations)
	}
	return ok
}

const (
	stallThreshold = protocol.MaxPositionAgeMillis * nanosPerMilli / 2
	stallDrainTime = 1000 * nanosPerMilli // in which what waited in the socket is read
)

// detectStall tells whether this process has just stood still for long, which shows in timers that are overdue. The lock is held.
func (r *Router) detectStall() bool {
	now := r.now()
	if len(r.timers.queue) > 0 && now-r.timers.queue[0].due > stallThreshold {
		r.ignorePeersUntil = now + stallDrainTime
	}
	return now < r.ignorePeersUntil
}

// ReportProbe reports what a probe found.
func (r *Router) ReportProbe(member rules.MemberID, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.pendingProbes[member]
	if r.pendingProbes[member] = waiting[1:]; len(waiting) == 1 {
		delete(r.pendingProbes, member)
	}
	result := outcome.probeResult()
	result.Opened = r.clockTime(outcome.OpenedAt)
	r.trace.printf("probe ended member=%d end=%q role=%s position=%d", member, outcome.CloseReason, roleNames[max(result.Role, result.Report.Role)], max(result.Position, result.Report.Position)/nanosPerMilli)
	waiting[0](result)
}

// ReportNotPrimary reports that a member has said that it is no primary, in what may yet turn out to be no whole answer.
func (r *Router) ReportNotPrimary(member rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver.Denied(member)
}

// MayProbe tells whether a probe may still begin. It is asked just before its first byte is written.
func (r *Router) MayProbe(member rules.MemberID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.driver.MayLook(member)
}

// NextTask waits until something falls due that no RPC asks for, and gives it. Meanwhile the module's timers run.
func (r *Router) NextTask(ctx context.Context) (Task, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		task, ok, wait := r.runTimers()
		if ok {
			return task, nil
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
		case <-r.wakeup:
		}
	}
}

// runTimers runs the timers that are due, and gives the next duty or how long to wait for one.
func (r *Router) runTimers() (Task, bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detectStall()
	for callback, ok := r.timers.popDue(r.now()); ok; callback, ok = r.timers.popDue(r.now()) {
		callback()
	}
	if len(r.tasks) > 0 {
		task := r.tasks[0]
		r.tasks = r.tasks[1:]
		return task, true, 0
	}
	if len(r.timers.queue) == 0 {
		return nil, false, time.Hour
	}
	return nil, false, time.Duration(r.timers.queue[0].due - r.now())
}

// wake wakes Tick.
func (r *Router) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// MemberID is the number of a member that discovery knows by a name, if it is known here.
func (r *Router) MemberID(name string) (id rules.MemberID, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known = r.registry.idByName[name]
	return id, known
}

// HasObservation tells whether anything was heard of a member, from itself or from a fellow driver.
func (r *Router) HasObservation(id rules.MemberID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.driver.Met(id)
}

// ProbesMembers tells whether members are probed.
func (r *Router) ProbesMembers() bool { return r.limits.Probes }
