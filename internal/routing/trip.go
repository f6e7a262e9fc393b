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
	r     *Router
	id    rules.RPCID
	name  string // its client's id
	steps chan Step
	calls []call
	out   int
	ended bool
	pass  *pass // nil where tenants have no cells
}

// call is an attempt.
type call struct {
	to     rules.MemberID
	sent   int64
	until  int64 // it is not waited for any longer
	cancel func()
	next   func(rules.Result) // nil once its result is in
}

var (
	errMethod = errors.New("the method is not known")
	errKind   = errors.New("the statement is not of the method's kind")
	errLeft   = errors.New("no client of the method waits that long")
	errID     = errors.New("the id is that of another")
)

// Admit checks an RPC against what is known here, and takes it.
func (r *Router) Admit(c *Request) (*ActiveRPC, error) {
	number, known := r.numbers[c.Method]
	if !known {
		return nil, errMethod
	}
	method := &r.methods[number]
	switch {
	case c.IsWrite != (method.Consistency == rules.ConsistencyWrite):
		return nil, errKind
	case c.TimeLeft > longestLeft(method):
		return nil, errLeft
	}
	rpc := rules.RPC{Method: number, Group: c.Group, Session: c.Key, TimeLeft: c.TimeLeft, IsRetry: c.IsRetry, SessionToken: c.MinPosition}
	if !c.ReceivedAt.IsZero() {
		rpc.Waited = max(0, r.now()-r.at(c.ReceivedAt))
		rpc.TimeLeft -= rpc.Waited
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := strings.Clone(c.ID) // which outlives what it came in
	if !r.ids.open(id, time.Now()) {
		return nil, errID
	}
	t := r.open(id)
	r.trace.printf("taken id=%s method=%s group=%d left_ms=%d waited_ms=%d", id, c.Method, c.Group, rpc.TimeLeft/milli, rpc.Waited/milli)
	if r.gate == nil {
		t.take(rpc)
	} else {
		t.ask(rpc, c)
	}
	return t, nil
}

// longestLeft is how long a client of a method may say that it waits: twice as long as it does, since some may start to count
// before the driver does.
func longestLeft(m *rules.Method) int64 {
	if m.Deadline <= 0 {
		return mostLeft
	}
	return 2 * m.Deadline
}

// mostLeft bounds it where the method names no deadline.
const mostLeft = 60_000 * milli

// MaxTimeLeft is how long a client of any method may say that it waits.
func (r *Router) MaxTimeLeft() (most time.Duration) {
	for i := range r.methods {
		most = max(most, time.Duration(longestLeft(&r.methods[i])))
	}
	return most
}

// open makes the trip of an RPC. The lock is held.
func (r *Router) open(name string) *ActiveRPC {
	r.last++
	for r.trips[r.last] != nil {
		r.last++
	}
	t := &ActiveRPC{r: r, id: r.last, name: name, steps: make(chan Step, r.allowed.MaxAttempts+1)}
	r.trips[t.id] = t
	return t
}

// take hands an RPC to the module. The lock is held.
func (t *ActiveRPC) take(rpc rules.RPC) {
	rpc.ID = t.id
	t.r.driver.Submit(rpc)
}

// MayBegin tells whether an attempt may still begin. It is asked just before the first byte is written, on whatever connection
// that took whatever time to get.
func (t *ActiveRPC) MayBegin(number int) bool {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	c := &t.calls[number]
	may := !t.ended && c.next != nil && (t.pass == nil || t.may()) && t.r.driver.AttemptAllowed(t.id, c.to)
	if may && t.pass != nil {
		t.pass.acted = t.r.now()
	}
	if t.r.trace.enabled {
		t.r.trace.printf("begins id=%s number=%d member=%d allowed=%t basis=%s", t.name, number, c.to, may, t.r.driver.Eligibility(t.id, c.to))
	}
	return may
}

// NextStep waits for the next step.
func (t *ActiveRPC) NextStep() Step { return <-t.steps }

// ClientLeft says that the client has gone.
func (t *ActiveRPC) ClientLeft() {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if !t.ended {
		t.r.driver.ClientLeft(t.id)
		if t.pass != nil {
			t.r.gate.Cancel(t.pass.ticket)
		}
		t.finish(Step{Action: ActionDrop})
	}
}

// ReportAttempt says how an attempt ended.
func (t *ActiveRPC) ReportAttempt(number int, o Outcome) {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	c := &t.calls[number]
	next := c.next
	if next == nil {
		return
	}
	c.cancel()
	c.next = nil
	t.out--
	v := o.verdict()
	if v.proof == rules.OK && t.r.driver.IsStale(t.id, o.observation(), c.sent) {
		v = verdict{rules.MayHaveExecuted, rules.Ineligible}
	}
	if t.pass != nil {
		t.returned(c, v, o)
	}
	if v.proof == rules.OK && !t.ended {
		t.finish(Step{Action: ActionServe, Answer: o.Answer})
	} else if o.unusable() && !t.ended {
		t.finish(Step{Action: ActionAbort})
	}
	if t.pass != nil && o.fenced() {
		t.fenced()
	}
	result := rules.Result{Outcome: v.proof, Cause: v.cause, Latency: t.r.now() - c.sent, Final: t.ended, Observation: o.observation()}
	result.ConnectedAt = t.r.at(o.OpenedAt)
	t.r.trace.printf("attempt ended id=%s number=%d member=%d took_ms=%d end=%q proof=%q role=%s position=%d",
		t.name, number, c.to, result.Latency/milli, o.CloseReason, proofNames[v.proof], roleNames[result.Role], result.Position/milli)
	next(result)
	t.drop()
}

// attempt hands out an attempt. The lock is held.
func (t *ActiveRPC) attempt(r *Router, to rules.MemberID, within int64, next func(rules.Result)) int {
	n := len(t.calls)
	if t.pass != nil && !t.attempts(next) {
		return n
	}
	span := time.Duration(max(within, 0))
	by, stop := context.WithTimeout(context.Background(), span)
	by, cancel := context.WithCancelCause(by)
	t.calls = append(t.calls, call{to: to, sent: r.now(), until: r.now() + int64(span), next: next, cancel: func() { cancel(transport.Cancelled); stop() }})
	t.out++
	r.trace.printf("attempt id=%s number=%d member=%d within_ms=%d", t.name, n, to, span.Milliseconds())
	t.steps <- Step{Action: ActionAttempt, AttemptNumber: n, Member: to, Address: r.registry.address(to), Context: by, Fence: t.fence()}
	return n
}

// finish hands out the last step. The lock is held.
func (t *ActiveRPC) finish(s Step) {
	if !t.ended {
		t.ended = true
		t.r.trace.printf("answer id=%s act=%q attempts=%d come_back_ms=%d", t.name, actNames[s.Action], len(t.calls), s.RetryAfter/milli)
		if t.pass != nil {
			t.answered(s.Action)
		}
		t.steps <- s
		t.drop()
	}
}

// drop forgets the RPC once it has ended and nothing is out for it.
func (t *ActiveRPC) drop() {
	if t.ended && t.out == 0 && t.r.trips[t.id] == t {
		delete(t.r.trips, t.id)
		t.r.ids.end(t.name, time.Now())
		if t.pass != nil {
			t.settle()
		}
	}
}
