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

// Action is what comes next for an RPC.
type Action int

const (
	ActionAttempt Action = iota // make an attempt, and report how it ended
	ActionServe                 // pass on the answer
	ActionReject                // answer that trying again is harmless
	ActionAbort                 // answer that it failed
	ActionDrop                  // nothing: its client has gone
)

// Step is what comes next for an RPC.
type Step struct {
	Action        Action
	AttemptNumber int // of the attempt
	Member        rules.MemberID
	Address       string
	RetryAfter    int64
	Context       context.Context // ends when the attempt is no longer waited for
	Answer        *protocol.Answer
	Fence         protocol.Fence // that an attempt is made with, for the store
}

// Request is an RPC as a front hands it over, whatever its clients speak. Times and positions are nanoseconds.
type Request struct {
	ID          string // its client's, different for each try
	Method      string
	Key         string // names the session where the method has any
	IsWrite     bool
	IsRetry     bool          // the client has tried before
	Group       rules.GroupID // that its client named; where tenants have cells the cell decides
	TimeLeft    int64         // its client waits so long
	ReceivedAt  time.Time     // and counts from then; zero for now
	MinPosition int64         // position that the read must see, 0 for none
	User        string        // as whom its client came, and for which database
	Database    string
}

// ActiveRPC is an RPC on its way. It is over once Pick gave a step other than an attempt; results of attempts that are
// still out then are reported all the same.
type ActiveRPC struct {
	router      *Router
	id          rules.RPCID
	clientID    string // its client's id
	steps       chan Step
	attempts    []attemptState
	outstanding int
	isFinished  bool
	admission   *admissionState // nil where tenants have no cells
}

// attemptState is an attempt.
type attemptState struct {
	member   rules.MemberID
	sentAt   int64
	deadline int64 // it is not waited for any longer
	cancel   func()
	onResult func(rules.Result) // nil once its result is in
}

var (
	errUnknownMethod   = errors.New("the method is not known")
	errMethodKind      = errors.New("the statement is not of the method's kind")
	errTimeLeftTooLong = errors.New("no client of the method waits that long")
	errDuplicateID     = errors.New("the id is that of another")
)

// Admit checks an RPC against what is known here, and takes it.
func (r *Router) Admit(request *Request) (*ActiveRPC, error) {
	methodID, known := r.methodIDs[request.Method]
	if !known {
		return nil, errUnknownMethod
	}
	method := &r.methods[methodID]
	switch {
	case request.IsWrite != (method.Need == rules.NeedPrimary):
		return nil, errMethodKind
	case request.TimeLeft > maxTimeLeft(method):
		return nil, errTimeLeftTooLong
	}
	rpc := rules.RPC{Method: methodID, Group: request.Group, Session: request.Key, Left: request.TimeLeft, Repeat: request.IsRetry, Token: request.MinPosition}
	if !request.ReceivedAt.IsZero() {
		rpc.Waited = max(0, r.now()-r.clockTime(request.ReceivedAt))
		rpc.Left -= rpc.Waited
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := strings.Clone(request.ID) // which outlives what it came in
	if !r.ids.acquire(id, time.Now()) {
		return nil, errDuplicateID
	}
	active := r.newActiveRPC(id)
	r.trace.printf("taken id=%s method=%s group=%d left_ms=%d waited_ms=%d", id, request.Method, request.Group, rpc.Left/nanosPerMilli, rpc.Waited/nanosPerMilli)
	if r.admissionController == nil {
		active.submit(rpc)
	} else {
		active.requestAdmission(rpc, request)
	}
	return active, nil
}

// maxTimeLeft is how long a client of a method may say that it waits: twice as long as it does, since some may start to count
// before the driver does.
func maxTimeLeft(method *rules.Method) int64 {
	if method.Deadline <= 0 {
		return defaultMaxTimeLeft
	}
	return 2 * method.Deadline
}

// defaultMaxTimeLeft bounds it where the method names no deadline.
const defaultMaxTimeLeft = 60_000 * nanosPerMilli

// MaxTimeLeft is how long a client of any method may say that it waits.
func (r *Router) MaxTimeLeft() (longest time.Duration) {
	for i := range r.methods {
		longest = max(longest, time.Duration(maxTimeLeft(&r.methods[i])))
	}
	return longest
}

// newActiveRPC makes the trip of an RPC. The lock is held.
func (r *Router) newActiveRPC(clientID string) *ActiveRPC {
	r.lastRPC++
	for r.activeRPCs[r.lastRPC] != nil {
		r.lastRPC++
	}
	active := &ActiveRPC{router: r, id: r.lastRPC, clientID: clientID, steps: make(chan Step, r.limits.Attempts+1)}
	r.activeRPCs[active.id] = active
	return active
}

// submit hands an RPC to the module. The lock is held.
func (a *ActiveRPC) submit(rpc rules.RPC) {
	rpc.ID = a.id
	a.router.driver.Take(rpc)
}

// MayBegin tells whether an attempt may still begin. It is asked just before the first byte is written, on whatever connection
// that took whatever time to get.
func (a *ActiveRPC) MayBegin(number int) bool {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	attempt := &a.attempts[number]
	allowed := !a.isFinished && attempt.onResult != nil && (a.admission == nil || a.mayProceed()) && a.router.driver.May(a.id, attempt.member)
	if allowed && a.admission != nil {
		a.admission.lastBeganAt = a.router.now()
	}
	if a.router.trace.enabled {
		a.router.trace.printf("begins id=%s number=%d member=%d allowed=%t basis=%s", a.clientID, number, attempt.member, allowed, a.router.driver.Basis(a.id, attempt.member))
	}
	return allowed
}

// NextStep waits for the next step.
func (a *ActiveRPC) NextStep() Step { return <-a.steps }

// ClientLeft says that the client has gone.
func (a *ActiveRPC) ClientLeft() {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	if !a.isFinished {
		a.router.driver.Left(a.id)
		if a.admission != nil {
			a.router.admissionController.Cancel(a.admission.ticket)
		}
		a.finish(Step{Action: ActionDrop})
	}
}

// ReportAttempt says how an attempt ended.
func (a *ActiveRPC) ReportAttempt(number int, outcome Outcome) {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	attempt := &a.attempts[number]
	onResult := attempt.onResult
	if onResult == nil {
		return
	}
	attempt.cancel()
	attempt.onResult = nil
	a.outstanding--
	class := outcome.classify()
	if class.proof == rules.OK && a.router.driver.TooOld(a.id, outcome.observation(), attempt.sentAt) {
		class = classification{rules.MayHaveRun, rules.Missed}
	}
	if a.admission != nil {
		a.recordAttemptEnd(attempt, class, outcome)
	}
	if class.proof == rules.OK && !a.isFinished {
		a.finish(Step{Action: ActionServe, Answer: outcome.Answer})
	} else if outcome.isSyntaxError() && !a.isFinished {
		a.finish(Step{Action: ActionAbort})
	}
	if a.admission != nil && outcome.isFenced() {
		a.handleFenced()
	}
	result := rules.Result{Proof: class.proof, Cause: class.cause, Took: a.router.now() - attempt.sentAt, Final: a.isFinished, Observation: outcome.observation()}
	result.Opened = a.router.clockTime(outcome.OpenedAt)
	a.router.trace.printf("attempt ended id=%s number=%d member=%d took_ms=%d end=%q proof=%q role=%s position=%d",
		a.clientID, number, attempt.member, result.Took/nanosPerMilli, outcome.CloseReason, proofNames[class.proof], roleNames[result.Role], result.Position/nanosPerMilli)
	onResult(result)
	a.removeIfDone()
}

// startAttempt hands out an attempt. The lock is held.
func (a *ActiveRPC) startAttempt(router *Router, member rules.MemberID, timeLimit int64, onResult func(rules.Result)) int {
	number := len(a.attempts)
	if a.admission != nil && !a.admitAttempt(onResult) {
		return number
	}
	timeout := time.Duration(max(timeLimit, 0))
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	a.attempts = append(a.attempts, attemptState{member: member, sentAt: router.now(), deadline: router.now() + int64(timeout), onResult: onResult, cancel: func() { cancel(transport.Cancelled); stop() }})
	a.outstanding++
	router.trace.printf("attempt id=%s number=%d member=%d within_ms=%d", a.clientID, number, member, timeout.Milliseconds())
	a.steps <- Step{Action: ActionAttempt, AttemptNumber: number, Member: member, Address: router.registry.address(member), Context: ctx, Fence: a.fence()}
	return number
}

// finish hands out the last step. The lock is held.
func (a *ActiveRPC) finish(step Step) {
	if !a.isFinished {
		a.isFinished = true
		a.router.trace.printf("answer id=%s act=%q attempts=%d come_back_ms=%d", a.clientID, actionNames[step.Action], len(a.attempts), step.RetryAfter/nanosPerMilli)
		if a.admission != nil {
			a.recordFinish(step.Action)
		}
		a.steps <- step
		a.removeIfDone()
	}
}

// removeIfDone forgets the RPC once it has ended and nothing is out for it.
func (a *ActiveRPC) removeIfDone() {
	if a.isFinished && a.outstanding == 0 && a.router.activeRPCs[a.id] == a {
		delete(a.router.activeRPCs, a.id)
		a.router.ids.release(a.clientID, time.Now())
		if a.admission != nil {
			a.settleIfDone()
		}
	}
}
