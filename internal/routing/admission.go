package routing

import (
	"sedgespread/internal/audit"
	"sedgespread/internal/cells"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// admissionState is the state of an RPC's admission to its tenant's cell.
type admissionState struct {
	ticket        *cells.Ticket
	mayHaveRun    bool // one of its attempts may have run
	answerPending bool // the answer has not been delivered yet

	version     versions.Number // version of the rulebook that applies to the RPC, 0 for none
	runsUntil   int64           // until when one of its attempts may still run
	lastBeganAt int64           // when the last attempt began, 0 for none
	effect      audit.Effect
	outcome     audit.Outcome
	startedAt   int64
}

// EnableAdmission puts admission control in front of all RPCs. It must be called before the first Admit.
func (r *Router) EnableAdmission(controller *cells.AdmissionController) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admissionController = controller
	r.sweepAdmission()
}

// sweepInterval is how often the admission controller drops expired state.
const sweepInterval = 100 * nanosPerMilli

// sweepAdmission drops expired state of the admission controller and schedules the next sweep. r.mu
// must be held.
func (r *Router) sweepAdmission() {
	r.admissionController.Sweep(r.now())
	r.timers.add(r.now()+sweepInterval, r.sweepAdmission)
	r.wake()
}

// requestAdmission asks the admission controller for a decision, which may come later. The router's
// lock must be held.
func (a *ActiveRPC) requestAdmission(rpc rules.RPC, request *Request) {
	router, now := a.router, a.router.now()
	method := &router.methods[rpc.Method]
	admissionRequest := cells.Request{
		Tenant: router.admissionController.Tenant(request.Key, request.User, request.Database), Key: request.Key,
		Write: request.IsWrite, SoftDeadline: method.SoftDeadline, TimeLeft: max(0, rpc.TimeLeft), Utility: method.Utility}
	a.admission = &admissionState{effect: auditEffect(method)}
	if !a.beginVersion() {
		a.admission = nil
		a.rejectWithoutVersion()
		return
	}
	ticket, decision, decided := router.admissionController.Admit(now, admissionRequest, func(decision cells.Decision) {
		heldFor := router.now() - now
		rpc.TimeLeft, rpc.Waited = rpc.TimeLeft-heldFor, rpc.Waited+heldFor
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

// applyDecision submits or rejects an RPC as admission control has decided. The router's lock must be
// held.
func (a *ActiveRPC) applyDecision(rpc rules.RPC, decision cells.Decision) {
	if decision.Reason != cells.ReasonNone {
		a.router.driver.ClientLeft(a.id)
		a.finish(Step{Action: ActionReject, RetryAfter: min(decision.RetryAfter, a.router.limits.MaxRetryAfter)})
		return
	}
	rpc.Group, rpc.MinPosition = decision.Group, decision.MinPosition
	a.submit(rpc)
}

// admitAttempt registers a new attempt with admission control and reports whether it may be made. If
// not, the RPC ends, since its tenant may be in another cell by now. The router's lock must be held.
func (a *ActiveRPC) admitAttempt(onResult func(rules.Result)) bool {
	router := a.router
	if a.mayProceed() && !a.failsByPlantedFault() {
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
		onResult(rules.Result{Outcome: rules.NotExecuted, Cause: rules.Cancelled, Final: true})
		a.removeIfDone()
	})
	router.wake()
	return false
}

// rejectOrAbort ends an RPC that may not proceed: a write that may have run is aborted, anything else
// is rejected because retrying it is safe. The router's lock must be held.
func (a *ActiveRPC) rejectOrAbort(mayHaveRun bool) {
	if a.admission.ticket.Write && (mayHaveRun || a.admission.mayHaveRun) {
		a.finish(Step{Action: ActionAbort})
		return
	}
	a.finish(Step{Action: ActionReject})
}

// recordAttemptEnd tells admission control that an attempt has ended. An answer that arrives after the
// lease has expired or the tenant has moved is not delivered: other drivers may have written in the
// meantime. The router's lock must be held.
func (a *ActiveRPC) recordAttemptEnd(attempt *attemptState, class classification, outcome Outcome) {
	router, runsUntil, answerBytes := a.router, int64(0), 0
	if class.proof == rules.MayHaveExecuted {
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

// attemptOverrun is how long a member may still run an attempt after its deadline.
const attemptOverrun = 50 * nanosPerMilli

// recordFinish tells admission control how the RPC was answered. The router's lock must be held.
func (a *ActiveRPC) recordFinish(action Action) {
	a.admission.answerPending, a.admission.outcome = action == ActionServe, auditOutcomes[action]
	a.router.admissionController.Finished(a.admission.ticket, action == ActionServe, a.router.now())
	a.recordVersionOutcome(action)
}

// settleIfDone releases the RPC's ticket once the RPC is finished, no attempt is outstanding and the
// answer has been delivered. The router's lock must be held.
func (a *ActiveRPC) settleIfDone() {
	if a.isFinished && a.outstanding == 0 && !a.admission.answerPending {
		a.router.admissionController.Settle(a.admission.ticket, a.router.now())
		a.endVersion()
	}
}

// AnswerDelivered reports that the answer has been sent to the client or cannot be.
func (a *ActiveRPC) AnswerDelivered() {
	if a.admission == nil {
		return
	}
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	a.admission.answerPending = false
	a.settleIfDone()
}

// Cell returns the cell that the RPC was admitted to, or NoCell.
func (a *ActiveRPC) Cell() cells.Cell {
	if a.admission == nil {
		return cells.NoCell
	}
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	return a.admission.ticket.Cell()
}

// MoveConnection counts a client's connection for the cell to instead of from.
func (r *Router) MoveConnection(from, to cells.Cell) {
	if from != to {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.admissionController.MoveConnection(from, to)
	}
}

// MostOverConnectionShare returns the cell whose connections are closed first when the limit is reached.
func (r *Router) MostOverConnectionShare() cells.Cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admissionController.MostOverConnectionShare()
}

// ApplyCellGrant applies the coordinator's answer to the report that was made at askedAt.
func (r *Router) ApplyCellGrant(askedAt int64, grant cells.Grant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.admissionController.ApplyGrant(askedAt, grant)
	for _, tenant := range changed {
		entry, _ := r.admissionController.Directory().Entry(tenant)
		r.log.WithField("tenant", tenant).WithField("stage", entry.Stage).WithField("cell", entry.Cell).WithField("to", entry.To).
			WithField("epoch", entry.Epoch).Info("stage of tenant's move changed")
		r.admissionController.ResumeHeld(tenant, r.now())
	}
	return err
}

// CellReport returns the report for the coordinator and the time at which it was made.
func (r *Router) CellReport(name string, incarnation uint64) (cells.Report, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now-r.lastCatchUpProbe >= catchUpProbeInterval {
		r.lastCatchUpProbe = now
		for _, group := range r.admissionController.CatchUpGroups() {
			r.driver.ProbeGroup(group)
		}
	}
	return r.admissionController.Report(now, name, incarnation, r.driver.CaughtUp), now
}

// catchUpProbeInterval is how often members are probed while a move waits for them to catch up.
const catchUpProbeInterval = 25 * nanosPerMilli

// ReadAdmission calls read with the admission controller under the router's lock. read must not retain
// the controller.
func ReadAdmission[T any](r *Router, read func(now int64, controller *cells.AdmissionController) T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return read(r.now(), r.admissionController)
}
