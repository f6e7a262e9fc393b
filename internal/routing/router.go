// Package routing wraps the single-threaded rules.Driver for concurrent use: it adds the lock, timers
// and clock, and translates network outcomes into what the driver understands. Callers admit RPCs, carry
// out their steps and the router's tasks, and report the outcomes.
package routing

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/cells"
	"sedgespread/internal/clock"
	"sedgespread/internal/protocol"
	"sedgespread/internal/settings"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

const nanosPerMilli = int64(time.Millisecond)

// maxSendDelay is how long after an attempt was allowed its last byte may be written, beyond
// the tolerance of 50 ms by which a staleness bound may be exceeded.
const maxSendDelay = 100 * nanosPerMilli

// Router gives concurrent callers access to a rules.Driver.
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
	methodIDs           map[string]rules.MethodID // by method name
	limits              rules.Policy
	clock               clock.Clock
	wakeup              chan struct{} // signalled when a timer or a task is added
	log                 logrus.FieldLogger
	trace               trace
	admissionController *cells.AdmissionController // nil if tenants have no cells
	ignorePeersUntil    int64                      // peers' messages are ignored until then, after a stall of the process
	lastCatchUpProbe    int64                      // when members were last probed for a move
	maxTimerDelay       int64                      // of the timers run since TakeMaxTimerDelay
	versionState        *versions.DriverState      // nil if nothing is versioned
	trail               *audit.Trail               // nil before StartTrail

	listDigest     listDigest
	fencedAttempts int64 // attempts that stores rejected because of their version
}

// New creates a router from the settings and the last known list of members.
func New(driverSettings *settings.Fields, seed int64, lastList protocol.Targets, log logrus.FieldLogger) (*Router, error) {
	r := &Router{registry: newRegistry(), pendingProbes: map[rules.MemberID][]func(rules.ProbeResult){},
		activeRPCs: map[rules.RPCID]*ActiveRPC{}, ids: newRPCIDs(), methodIDs: map[string]rules.MethodID{},
		clock: clock.New(), wakeup: make(chan struct{}, 1), log: log, trace: newTrace(log)}
	r.methods = driverSettings.Methods()
	for id, method := range r.methods {
		r.methodIDs[method.Name] = rules.MethodID(id)
	}
	fleet, store, limits, slowStart, discovery := driverSettings.Fleet(), driverSettings.Store(), driverSettings.Limits(), driverSettings.SlowStart(),
		driverSettings.Discovery()
	if driverSettings.Err != nil {
		return nil, driverSettings.Err
	}
	r.limits = limits
	store.MaxSendDelay = maxSendDelay
	// A pushed list goes to an agent beside the driver, which the driver asks.
	discovery.ViaAgent, discovery.OnRequest = !discovery.OnRequest, true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver = rules.New((*host)(r), seed, r.methods, fleet, store, limits, slowStart, discovery)
	r.applyList(lastList)
	return r, nil
}

// now returns the Unix time in nanoseconds, which never goes back. The lock need not be held.
func (r *Router) now() int64 { return r.clock.Now() }

// clockTime converts a time to the router's clock, the zero time to 0.
func (r *Router) clockTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return r.clock.At(t)
}

// applyList passes the list, or what changed in it, to the driver. r.mu must be held.
func (r *Router) applyList(targets protocol.Targets) {
	entries := make([]rules.MemberEntry, 0, len(targets.Entries))
	for _, entry := range targets.Entries {
		entries = append(entries, r.registry.update(entry))
	}
	r.driver.UpdateMembers(entries, targets.IsFull)
}

// ApplyList applies discovery's list of members, or what changed in it.
func (r *Router) ApplyList(targets protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyList(targets)
	if r.versionState != nil {
		r.observeListDigest(targets)
	}
}

// ReportListFailure reports that a request to discovery or a watch has failed.
func (r *Router) ReportListFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver.WatchFailed()
}

// ReceiveObservations applies a peer's message and reports whether it was valid. After a stall of this
// process messages may have waited so long that their truncated positions are ambiguous: they are ignored.
func (r *Router) ReceiveObservations(message []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	observations, ok := settings.DecodeObservations(message, r.registry.idOfKey, 0, r.driver.StoreNow())
	if ok && !r.detectStall() {
		r.driver.ReceiveReports(observations)
	}
	return ok
}

const (
	stallThreshold = protocol.MaxPositionAgeMillis * nanosPerMilli / 2
	stallDrainTime = 1000 * nanosPerMilli // long enough to read what waited in the socket
)

// detectStall reports whether this process has recently been stalled, which overdue timers show. r.mu
// must be held.
func (r *Router) detectStall() bool {
	now := r.now()
	if len(r.timers.queue) > 0 && now-r.timers.queue[0].due > stallThreshold {
		r.ignorePeersUntil = now + stallDrainTime
	}
	return now < r.ignorePeersUntil
}

// ReportProbe reports the outcome of a probe.
func (r *Router) ReportProbe(member rules.MemberID, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.pendingProbes[member]
	if r.pendingProbes[member] = waiting[1:]; len(waiting) == 1 {
		delete(r.pendingProbes, member)
	}
	result := outcome.probeResult()
	result.ConnectedAt = r.clockTime(outcome.OpenedAt)
	r.trace.printf("probe ended member=%d end=%q role=%s position=%d", member, outcome.CloseReason,
		roleNames[max(result.Role, result.Report.Role)], max(result.Position, result.Report.Position)/nanosPerMilli)
	waiting[0](result)
}

// ReportNotPrimary reports that a member has said that it is not the primary. It may be called before
// the whole answer has arrived.
func (r *Router) ReportNotPrimary(member rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.driver.NotPrimary(member)
}

// MayProbe reports whether a probe may still begin. It is called just before its first byte is written.
func (r *Router) MayProbe(member rules.MemberID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.driver.ProbeAllowed(member)
}

// NextTask runs due timers until there is a task or ctx is done, and returns the task.
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

// runTimers runs the due timers and returns the next task, or how long to wait until a timer is due.
func (r *Router) runTimers() (Task, bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detectStall()
	r.maxTimerDelay = max(r.maxTimerDelay, r.timers.delay(r.now()))
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

// TakeMaxTimerDelay returns how late the latest timer ran since the last call, which shows for how long this
// process waited for the processor.
func (r *Router) TakeMaxTimerDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.maxTimerDelay
	r.maxTimerDelay = 0
	return time.Duration(delay)
}

// wake makes NextTask look for tasks and due timers again.
func (r *Router) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// MemberID returns the number of the member that discovery lists under a name, if it is known.
func (r *Router) MemberID(name string) (id rules.MemberID, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known = r.registry.idByName[name]
	return id, known
}

// HasObservation reports whether there is an observation of a member, its own or from a peer.
func (r *Router) HasObservation(id rules.MemberID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.driver.Known(id)
}

// ProbesMembers reports whether members are probed.
func (r *Router) ProbesMembers() bool { return r.limits.Probing }
