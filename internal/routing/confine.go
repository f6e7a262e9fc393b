package routing

import (
	"sedgespread/internal/audit"
	"sedgespread/internal/cells"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// pass is what an RPC has of its tenant's cell.
type pass struct {
	ticket *cells.Ticket
	risky  bool // an attempt of it may have run
	held   bool // the answer has not been passed on yet

	version versions.Number // of the rulebook, which it acts on; 0 for none
	until   int64           // an attempt of it may still run until then
	acted   int64           // when the last attempt was let begin, 0 for none
	effect  audit.Effect
	outcome audit.Outcome
	begun   int64
}

// EnableAdmission lets every RPC from here on pass a gate first. It is called before the first.
func (r *Router) EnableAdmission(g *cells.AdmissionController) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate = g
	r.sweep()
}

// sweepEvery is how often a gate forgets what is over.
const sweepEvery = 100 * milli

// sweep lets the gate forget what is over, again and again. The lock is held.
func (r *Router) sweep() {
	r.gate.Sweep(r.now())
	r.timers.add(r.now()+sweepEvery, r.sweep)
	r.stir()
}

// ask asks the gate about an RPC, and goes on with it as soon as that has decided. The lock is held.
func (t *ActiveRPC) ask(rpc rules.RPC, c *Request) {
	r, now := t.r, t.r.now()
	m := &r.methods[rpc.Method]
	a := cells.Request{Tenant: r.gate.Tenant(c.Key, c.User, c.Database), Key: c.Key, Write: c.IsWrite, SoftDeadline: m.SoftDeadline, TimeLeft: max(0, rpc.TimeLeft),
		Utility: m.Utility}
	t.pass = &pass{effect: effectOf(m)}
	if !t.begins() {
		t.pass = nil
		t.pushesBack()
		return
	}
	ticket, v, decided := r.gate.Admit(now, a, func(v cells.Decision) {
		held := r.now() - now
		rpc.TimeLeft, rpc.Waited = rpc.TimeLeft-held, rpc.Waited+held
		t.decided(rpc, v)
	})
	t.pass.ticket = ticket
	if decided {
		t.decided(rpc, v)
		return
	}
	r.timers.add(ticket.HoldDeadline(), func() { r.gate.Expire(ticket) })
	r.stir()
}

// decided goes on with an RPC as its gate has decided. The lock is held.
func (t *ActiveRPC) decided(rpc rules.RPC, v cells.Decision) {
	if v.Reason != cells.ReasonNone {
		t.r.driver.ClientLeft(t.id)
		t.finish(Step{Action: ActionReject, RetryAfter: min(v.RetryAfter, t.r.allowed.MaxRetryAfter)})
		return
	}
	rpc.Group, rpc.MinPosition = v.Group, v.MinPosition
	t.take(rpc)
}

// attempts tells the gate of an attempt, and whether it may be made. Where it may not, the RPC ends here: the driver
// does not know where its tenant is now. The lock is held.
func (t *ActiveRPC) attempts(next func(rules.Result)) bool {
	r := t.r
	if t.may() && !t.harmed() {
		r.gate.AttemptStarted(t.pass.ticket, r.now())
		return true
	}
	n := len(t.calls)
	t.calls = append(t.calls, call{})
	risky := t.out > 0
	t.out++
	t.forsake(risky)
	r.timers.add(r.now(), func() {
		t.calls[n].next = nil
		t.out--
		next(rules.Result{Outcome: rules.NotExecuted, Cause: rules.Cancelled, Final: true})
		t.drop()
	})
	r.stir()
	return false
}

// forsake ends an RPC that nothing more may be done for: it is pushed back where trying again is harmless, which it is
// not of a write that may have run, and else aborted. The lock is held.
func (t *ActiveRPC) forsake(risky bool) {
	if t.pass.ticket.Write && (risky || t.pass.risky) {
		t.finish(Step{Action: ActionAbort})
		return
	}
	t.finish(Step{Action: ActionReject})
}

// returned tells the gate how an attempt ended. An answer that comes when the lease has run out, or its tenant has been
// moved, is not passed on: others may have gone on without it. The lock is held.
func (t *ActiveRPC) returned(c *call, v verdict, o Outcome) {
	r, until, bytes := t.r, int64(0), 0
	if v.proof == rules.MayHaveExecuted {
		until, t.pass.risky = c.until+graceOver, true
		t.pass.until = max(t.pass.until, until)
	}
	if o.Answer != nil {
		bytes = o.Answer.Size()
		r.gate.Committed(t.pass.ticket, o.Answer.PositionMillis*milli)
	}
	r.gate.AttemptEnded(t.pass.ticket, until, bytes, r.now())
	if v.proof == rules.OK && !t.ended && !t.may() {
		t.forsake(true)
	}
}

// graceOver is how long after its time a member may still finish what it was sent.
const graceOver = 50 * milli

// answered tells the gate that an RPC has its final answer. The lock is held.
func (t *ActiveRPC) answered(act Action) {
	t.pass.held, t.pass.outcome = act == ActionServe, outcomeOf[act]
	t.r.gate.Finished(t.pass.ticket, act == ActionServe, t.r.now())
	t.fared(act)
}

// settle tells the gate when nothing is left of an RPC. The lock is held.
func (t *ActiveRPC) settle() {
	if t.ended && t.out == 0 && !t.pass.held {
		t.r.gate.Settle(t.pass.ticket, t.r.now())
		t.ends()
	}
}

// AnswerDelivered says that the answer has been passed on to the client, or can't be.
func (t *ActiveRPC) AnswerDelivered() {
	if t.pass == nil {
		return
	}
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	t.pass.held = false
	t.settle()
}

// Cell is the cell that the RPC was let into, NoCell for none.
func (t *ActiveRPC) Cell() cells.Cell {
	if t.pass == nil {
		return cells.NoCell
	}
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	return t.pass.ticket.Cell()
}

// MoveConnection notes that a client's connection counts for another cell than before.
func (r *Router) MoveConnection(from, to cells.Cell) {
	if from != to {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gate.MoveConnection(from, to)
	}
}

// MostOverConnectionShare is the cell whose clients have to go first where connections are short.
func (r *Router) MostOverConnectionShare() cells.Cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.MostOverConnectionShare()
}

// ReportGrant reports what the coordinator granted to what Report told at a time.
func (r *Router) ReportGrant(asked int64, grant cells.Grant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.gate.ApplyGrant(asked, grant)
	for _, t := range changed {
		e, _ := r.gate.Directory().Entry(t)
		r.log.WithField("tenant", t).WithField("stage", e.Stage).WithField("cell", e.Cell).WithField("to", e.To).
			WithField("epoch", e.Epoch).Info("tenant moves")
		r.gate.ResumeHeld(t, r.now())
	}
	return err
}

// Report is what the coordinator is told, and when that was.
func (r *Router) Report(name string, incarnation uint64) (cells.Report, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now-r.looked >= lookEvery {
		r.looked = now
		for _, g := range r.gate.CatchUpGroups() {
			r.driver.ProbeGroup(g)
		}
	}
	return r.gate.Report(now, name, incarnation, r.driver.CaughtUp), now
}

// lookEvery is how often the members are probed that a move waits for.
const lookEvery = 25 * milli

// ReadAdmission gives what a function makes of the gate, which must not be kept.
func ReadAdmission[T any](r *Router, of func(now int64, g *cells.AdmissionController) T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return of(r.now(), r.gate)
}
