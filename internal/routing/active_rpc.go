package routing

import (
	"context"
	"errors"
	"strings"
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// Action is the kind of a Step.
type Action int

const (
	ActionAttempt Action = iota // make an attempt and report its outcome
	ActionServe                 // send the answer to the client
	ActionReject                // answer that retrying the RPC is safe
	ActionAbort                 // answer that the RPC failed
	ActionDrop                  // answer nothing, the client has left
)

// Step is the next thing to do for an RPC.
type Step struct {
	Action        Action
	AttemptNumber int // passed to MayBegin and ReportAttempt
	Member        rules.MemberID
	Address       string
	RetryAfter    int64           // nanoseconds, 0 for no hint
	Context       context.Context // done when the attempt is cancelled or times out
	Answer        *protocol.Answer
	Fence         protocol.Fence // sent to the store with the attempt
}

// Request is an RPC as received from a client, independent of the client protocol. Durations and
// positions are in nanoseconds.
type Request struct {
	ID          string // chosen by the client, unique to each try
	Method      string
	Key         string // identifies the session, for methods that have one
	IsWrite     bool
	IsRetry     bool          // the client has sent this RPC before
	Group       rules.GroupID // named by the client; ignored if tenants are assigned to cells
	TimeLeft    int64         // how long the client waits, from ReceivedAt
	ReceivedAt  time.Time     // zero for now
	AnswerBy    time.Time     // when this driver may end; zero for never
	MinPosition int64         // position that a read must see, 0 for none
	User        string        // user and database of the client's connection
	Database    string
}

// ActiveRPC is an admitted RPC. It is finished once NextStep has returned a step other than
// ActionAttempt. Attempts still outstanding then must be reported all the same.
type ActiveRPC struct {
	router       *Router
	id           rules.RPCID
	clientID     string // Request.ID
	isRepeatable bool   // it may run twice
	steps        chan Step
	attempts     []attemptState
	outstanding  int // attempts not reported yet
	isFinished   bool
	admission    *admissionState // nil where tenants have no cells
}

// attemptState is the state of one attempt. Times are in nanoseconds of the router's clock.
type attemptState struct {
	member   rules.MemberID
	sentAt   int64
	deadline int64
	cancel   func()
	onResult func(rules.Result) // nil once the attempt has been reported
}

var (
	errUnknownMethod   = errors.New("the method is not known")
	errMethodKind      = errors.New("the statement is not of the method's kind")
	errTimeLeftTooLong = errors.New("no client of the method waits that long")
	errDuplicateID     = errors.New("the id is that of another")
)

// Admit validates a request and starts routing it. An error means that the request was not taken.
func (r *Router) Admit(request *Request) (*ActiveRPC, error) {
	methodID, known := r.methodIDs[request.Method]
	if !known {
		return nil, errUnknownMethod
	}
	method := &r.methods[methodID]
	switch {
	case request.IsWrite != (method.Consistency == rules.ConsistencyWrite):
		return nil, errMethodKind
	case request.TimeLeft > maxTimeLeft(method):
		return nil, errTimeLeftTooLong
	}
	rpc := rules.RPC{Method: methodID, Group: request.Group, Session: request.Key, TimeLeft: request.TimeLeft,
		IsRetry: request.IsRetry, SessionToken: request.MinPosition}
	if !request.AnswerBy.IsZero() {
		rpc.TimeLeft = min(rpc.TimeLeft, int64(request.AnswerBy.Sub(request.ReceivedAt)))
	}
	if !request.ReceivedAt.IsZero() {
		rpc.Waited = max(0, r.now()-r.clockTime(request.ReceivedAt))
		rpc.TimeLeft -= rpc.Waited
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := strings.Clone(request.ID) // the id outlives the statement that it is a slice of
	if !r.ids.acquire(id, time.Now()) {
		return nil, errDuplicateID
	}
	active := r.newActiveRPC(id)
	active.isRepeatable = method.Effect == rules.Idempotent
	r.trace.printf("rpc accepted id=%s method=%s group=%d left_ms=%d waited_ms=%d", id, request.Method, request.Group,
		rpc.TimeLeft/nanosPerMilli, rpc.Waited/nanosPerMilli)
	if r.admissionController == nil {
		active.submit(rpc)
	} else {
		active.requestAdmission(rpc, request)
	}
	return active, nil
}

// maxTimeLeft returns the longest TimeLeft accepted for a method. It is twice the deadline because
// clients may start counting before the driver does.
func maxTimeLeft(method *rules.Method) int64 {
	if method.Deadline <= 0 {
		return defaultMaxTimeLeft
	}
	return 2 * method.Deadline
}

// defaultMaxTimeLeft is the longest TimeLeft accepted for a method without a deadline.
const defaultMaxTimeLeft = 60_000 * nanosPerMilli

// MaxTimeLeft returns the longest TimeLeft accepted for any method.
func (r *Router) MaxTimeLeft() (longest time.Duration) {
	for i := range r.methods {
		longest = max(longest, time.Duration(maxTimeLeft(&r.methods[i])))
	}
	return longest
}

// LongestDeadline returns the longest deadline of any method.
func (r *Router) LongestDeadline() (longest time.Duration) {
	for i := range r.methods {
		deadline := r.methods[i].Deadline
		if deadline <= 0 {
			deadline = defaultMaxTimeLeft
		}
		longest = max(longest, time.Duration(deadline))
	}
	return longest
}

// newActiveRPC registers an RPC under a new number. r.mu must be held.
func (r *Router) newActiveRPC(clientID string) *ActiveRPC {
	r.lastRPC++
	for r.activeRPCs[r.lastRPC] != nil {
		r.lastRPC++
	}
	active := &ActiveRPC{router: r, id: r.lastRPC, clientID: clientID, steps: make(chan Step, r.limits.MaxAttempts+1)}
	r.activeRPCs[active.id] = active
	return active
}

// submit hands the RPC to the rules driver. The router's lock must be held.
func (a *ActiveRPC) submit(rpc rules.RPC) {
	rpc.ID = a.id
	a.router.driver.Submit(rpc)
}

// MayBegin reports whether an attempt may still begin. It is called just before the first byte is
// written, since getting a connection may have taken long.
func (a *ActiveRPC) MayBegin(number int) bool {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	attempt := &a.attempts[number]
	allowed := !a.isFinished && attempt.onResult != nil && (a.admission == nil || a.mayProceed()) &&
		a.router.driver.AttemptAllowed(a.id, attempt.member)
	if allowed && a.admission != nil {
		a.admission.lastAttemptBeganAt = a.router.now()
	}
	if a.router.trace.enabled {
		a.router.trace.printf("attempt begins id=%s number=%d member=%d allowed=%t basis=%s", a.clientID, number,
			attempt.member, allowed, a.router.driver.Eligibility(a.id, attempt.member))
	}
	return allowed
}

// NextStep blocks until the next step is known.
func (a *ActiveRPC) NextStep() Step { return <-a.steps }

// WasAttempted reports whether an attempt was chosen for the RPC.
func (a *ActiveRPC) WasAttempted() bool {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	return len(a.attempts) > 0
}

// ClientLeft ends the RPC because its client has disconnected or cancelled it.
func (a *ActiveRPC) ClientLeft() {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	if !a.isFinished {
		a.router.driver.ClientLeft(a.id)
		if a.admission != nil {
			a.router.admissionController.Cancel(a.admission.ticket)
		}
		a.finish(Step{Action: ActionDrop})
	}
}

// ReportAttempt reports the outcome of an attempt. Only the first report of an attempt counts. It reports
// whether its answer is that of the RPC, which comes with the last step.
func (a *ActiveRPC) ReportAttempt(number int, outcome Outcome) (isServed bool) {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	attempt := &a.attempts[number]
	onResult := attempt.onResult
	if onResult == nil {
		return false
	}
	attempt.cancel()
	attempt.onResult = nil
	a.outstanding--
	class := outcome.classify()
	if class.proof == rules.OK && a.router.driver.IsStale(a.id, outcome.observation(), attempt.sentAt) {
		class = classification{rules.MayHaveExecuted, rules.Ineligible}
	}
	if a.admission != nil {
		a.recordAttemptEnd(attempt, class, outcome)
	}
	if isServed = class.proof == rules.OK && !a.isFinished; isServed {
		a.finish(Step{Action: ActionServe, Answer: outcome.Answer})
	} else if outcome.isSyntaxError() && !a.isFinished {
		a.finish(Step{Action: ActionAbort})
	}
	if a.admission != nil && outcome.isFenced() {
		a.handleFenced()
	}
	result := rules.Result{Outcome: class.proof, Cause: class.cause, Latency: a.router.now() - attempt.sentAt, Final: a.isFinished,
		Observation: outcome.observation()}
	result.ConnectedAt = a.router.clockTime(outcome.OpenedAt)
	a.router.trace.printf("attempt ended id=%s number=%d member=%d took_ms=%d end=%q proof=%q role=%s position=%d",
		a.clientID, number, attempt.member, result.Latency/nanosPerMilli, outcome.CloseReason, proofNames[class.proof],
		roleNames[result.Role], result.Position/nanosPerMilli)
	onResult(result)
	a.removeIfDone()
	return isServed
}

// startAttempt emits a step for a new attempt and returns its number. The router's lock must be held.
func (a *ActiveRPC) startAttempt(router *Router, member rules.MemberID, timeLimit int64, onResult func(rules.Result)) int {
	number := len(a.attempts)
	if a.admission != nil && !a.admitAttempt(onResult) {
		return number
	}
	timeout := time.Duration(max(timeLimit, 0))
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	a.attempts = append(a.attempts, attemptState{member: member, sentAt: router.now(), deadline: router.now() + int64(timeout),
		onResult: onResult, cancel: func() { cancel(transport.Cancelled); stop() }})
	a.outstanding++
	router.trace.printf("attempt chosen id=%s number=%d member=%d within_ms=%d", a.clientID, number, member, timeout.Milliseconds())
	a.steps <- Step{Action: ActionAttempt, AttemptNumber: number, Member: member, Address: router.registry.address(member),
		Context: ctx, Fence: a.fence()}
	return number
}

// finish emits the last step, unless one was emitted before. The router's lock must be held.
func (a *ActiveRPC) finish(step Step) {
	if !a.isFinished {
		a.isFinished = true
		a.router.trace.printf("rpc finished id=%s act=%q attempts=%d come_back_ms=%d", a.clientID, actionNames[step.Action],
			len(a.attempts), step.RetryAfter/nanosPerMilli)
		if a.admission != nil {
			a.recordFinish(step.Action)
		}
		a.steps <- step
		a.removeIfDone()
	}
}

// removeIfDone removes the RPC once it is finished and no attempt is outstanding. The router's lock
// must be held.
func (a *ActiveRPC) removeIfDone() {
	if a.isFinished && a.outstanding == 0 && a.router.activeRPCs[a.id] == a {
		delete(a.router.activeRPCs, a.id)
		a.router.ids.release(a.clientID, time.Now(), a.isRepeatable || len(a.attempts) == 0)
		if a.admission != nil {
			a.settleIfDone()
		}
	}
}
