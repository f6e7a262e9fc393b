package routing

import (
	"sedgespread/internal/audit"
	"sedgespread/internal/cells"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// admissionState is what an RPC has of its tenant's cell.
type admissionState struct {
	ticket        *cells.Ticket
	mayHaveRun    bool // an attempt of it may have run
	answerPending bool // the answer has not been passed on yet

	version     versions.Number // of the rulebook, which it acts on; 0 for none
	runsUntil   int64           // an attempt of it may still run until then
	lastBeganAt int64           // when the last attempt was let begin, 0 for none
	effect      audit.Effect
	outcome     audit.Outcome
	startedAt   int64
}

// EnableAdmission lets every RPC from here on pass a gate first. It is called before the first.
func (r *Router) EnableAdmission(controller *cells.AdmissionController) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admissionController = controller
	r.sweepAdmission()
}

// sweepInterval is how often a gate forgets what is over.
const sweepInterval = 100 * nanosPerMilli

// sweepAdmission lets the gate forget what is over, again and again. The lock is held.
func (r *Router) sweepAdmission() {
	r.admissionController.Sweep(r.now())
	r.timers.add(r.now()+sweepInterval, r.sweepAdmission)
	r.wake()
}

// requestAdmission asks the gate about an RPC, and goes on with it as soon as that has decided. The lock is held.
func (a *ActiveRPC) requestAdmission(rpc rules.RPC, request *Request) {
	router, now := a.router, a.router.now()
	method := &router.methods[rpc.Method]
	admissionRequest := cells.Request{Tenant: router.admissionController.Tenant(request.Key, request.User, request.Database), Key: request.Key, Write: request.IsWrite, SoftDeadline: method.SoftDeadline, TimeLeft: max(0, rpc.Left),
		Utility: method.Utility}
	a.admission = &admissionState{effect: auditEffect(method)}
	if !a.beginVersion() {
		a.admission = nil
		a.rejectWithoutVersion()
		return
	}
	ticket, decision, decided := router.admissionController.Admit(now, admissionRequest, func(decision cells.Decision) {
		heldFor := router.now() - now
		rpc.Left, rpc.Waited = rpc.Left-heldFor, rpc.Waited+heldFor
		a.applyDecision(rpc, decision)
	})
	a.admission.ticket = ticket
	if decided {
		a.applyDecision(rpc, decision)
		return
	}
	router.timers.add(ticket.HoldDeadline(), func() { router.admissionController.Expire(ticket) })
	router.wake()
}

// applyDecision goes on with an RPC as its gate has decided. The lock is held.
func (a *ActiveRPC) applyDecision(rpc rules.RPC, decision cells.Decision) {
	if decision.Reason != cells.ReasonNone {
		a.router.driver.Left(a.id)
		a.finish(Step{Action: ActionReject, RetryAfter: min(decision.RetryAfter, a.router.limits.ComeBack)})
		return
	}
	rpc.Group, rpc.Floor = decision.Group, decision.MinPosition
	a.submit(rpc)
}

// admitAttempt tells the gate of an attempt, and whether it may be made. Where it may not, the RPC ends here: the driver
// does not know where its tenant is now. The lock is held.
func (a *ActiveRPC) admitAttempt(onResult func(rules.Result)) bool {
	router := a.router
	if a.mayProceed() && !a.isPlantedFailure() {
		router.admissionController.AttemptStarted(a.admission.ticket, router.now())
		return true
	}
	number := len(a.attempts)
	a.attempts = append(a.attempts, attemptState{})
	mayHaveRun := a.outstanding > 0
	a.outstanding++
	a.rejectOrAbort(mayHaveRun)
	router.timers.add(router.now(), func() {
		a.attempts[number].onResult = nil
		a.outstanding--
		onResult(rules.Result{Proof: rules.NeverRan, Cause: rules.Cancelled, Final: true})
		a.removeIfDone()
	})
	router.wake()
	return false
}

// rejectOrAbort ends an RPC that nothing more may be done for: it is pushed back where trying again is harmless, which it is
// not of a write that may have run, and else aborted. The lock is held.
func (a *ActiveRPC) rejectOrAbort(mayHaveRun bool) {
	if a.admission.ticket.Write && (mayHaveRun || a.admission.mayHaveRun) {
		a.finish(Step{Action: ActionAbort})
		return
	}
	a.finish(Step{Action: ActionReject})
}

// recordAttemptEnd tells the gate how an attempt ended. An answer that comes when the lease has run out, or its tenant has been
// moved, is not passed on: others may have gone on without it. The lock is held.
func (a *ActiveRPC) recordAttemptEnd(attempt *attemptState, class classification, outcome Outcome) {
	router, runsUntil, answerBytes := a.router, int64(0), 0
	if class.proof == rules.MayHaveRun {
		runsUntil, a.admission.mayHaveRun = attempt.deadline+attemptOverrun, true
		a.admission.runsUntil = max(a.admission.runsUntil, runsUntil)
	}
	if outcome.Answer != nil {
		answerBytes = outcome.Answer.Size()
		router.admissionController.Committed(a.admission.ticket, outcome.Answer.PositionMillis*nanosPerMilli)
	}
	router.admissionController.AttemptEnded(a.admission.ticket, runsUntil, answerBytes, router.now())
	if class.proof == rules.OK && !a.isFinished && !a.mayProceed() {
		a.rejectOrAbort(true)
	}
}

// attemptOverrun is how long after its time a member may still finish what it was sent.
const attemptOverrun = 50 * nanosPerMilli

// recordFinish tells the gate that an RPC has its final answer. The lock is held.
func (a *ActiveRPC) recordFinish(action Action) {
	a.admission.answerPending, a.admission.outcome = action == ActionServe, auditOutcomes[action]
	a.router.admissionController.Finished(a.admission.ticket, action == ActionServe, a.router.now())
	a.recordVersionOutcome(action)
}

// settleIfDone tells the gate when nothing is left of an RPC. The lock is held.
func (a *ActiveRPC) settleIfDone() {
	if a.isFinished && a.outstanding == 0 && !a.admission.answerPending {
		a.router.admissionController.Settle(a.admission.ticket, a.router.now())
		a.endVersion()
	}
}

// AnswerDelivered says that the answer has been passed on to the client, or can't be.
func (a *ActiveRPC) AnswerDelivered() {
	if a.admission == nil {
		return
	}
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	a.admission.answerPending = false
	a.settleIfDone()
}

// Cell is the cell that the RPC was let into, NoCell for none.
func (a *ActiveRPC) Cell() cells.Cell {
	if a.admission == nil {
		return cells.NoCell
	}
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	return a.admission.ticket.Cell()
}

// MoveConnection notes that a client's connection counts for another cell than before.
func (r *Router) MoveConnection(from, to cells.Cell) {
	if from != to {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.admissionController.MoveConnection(from, to)
	}
}

// MostOverConnectionShare is the cell whose clients have to go first where connections are short.
func (r *Router) MostOverConnectionShare() cells.Cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admissionController.MostOverConnectionShare()
}

// ReportGrant reports what the coordinator granted to what Report told at a time.
func (r *Router) ReportGrant(askedAt int64, grant cells.Grant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.admissionController.ApplyGrant(askedAt, grant)
	for _, tenant := range changed {
		entry, _ := r.admissionController.Directory().Entry(tenant)
		r.log.WithField("tenant", tenant).WithField("stage", entry.Stage).WithField("cell", entry.Cell).WithField("to", entry.To).
			WithField("epoch", entry.Epoch).Info("tenant moves")
		r.admissionController.ResumeHeld(tenant, r.now())
	}
	return err
}

// Report is what the coordinator is told, and when that was.
func (r *Router) Report(name string, incarnation uint64) (cells.Report, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now-r.lastCatchUpProbe >= catchUpProbeInterval {
		r.lastCatchUpProbe = now
		for _, group := range r.admissionController.CatchUpGroups() {
			r.driver.Look(group)
		}
	}
	return r.admissionController.Report(now, name, incarnation, r.driver.Reached), now
}

// catchUpProbeInterval is how often the members are probed that a move waits for.
const catchUpProbeInterval = 25 * nanosPerMilli

// ReadAdmission gives what a function makes of the gate, which must not be kept.
func ReadAdmission[T any](r *Router, read func(now int64, controller *cells.AdmissionController) T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return read(r.now(), r.admissionController)
}
