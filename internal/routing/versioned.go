package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/failpoint"
	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// Rulebook is the versioned configuration that routing depends on: the part of the operator's file that
// all drivers share.
const Rulebook versions.Resource = "rulebook"

// EnableVersions ties every RPC to a version of the rulebook. It must be called before the first Admit.
func (r *Router) EnableVersions(state *versions.DriverState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versionState = state
}

// AuditWindow is how long after a change of version the audit trail has an entry for each write. Later
// writes are only counted.
const AuditWindow = 5 * time.Second

// clockSkewAllowance extends AuditWindow, since the clocks of the drivers that are compared may differ.
const clockSkewAllowance = 100 * time.Millisecond

// maxTrailEntries is how many entries of the audit trail are kept.
const maxTrailEntries = 8192

// StartTrail starts the audit trail of this driver, which is identified by its name and start number.
// Later calls have no effect.
func (r *Router) StartTrail(instance versions.Instance, token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		r.trail = audit.NewTrail(r.now(), instance, token, maxTrailEntries, int64(AuditWindow+clockSkewAllowance))
		for _, report := range r.versionState.Reports() {
			if report.Digest != "" {
				r.trail.RecordObserved(r.now(), report.Resource, report.Active)
			}
		}
	}
}

// TrailSince returns up to limit entries of the audit trail that follow entry seq.
func (r *Router) TrailSince(seq uint64, limit int) audit.Segment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		return audit.Segment{}
	}
	r.trail.FlushBeforeSend(r.now())
	return r.trail.Since(seq, limit)
}

// FlushTrail records all pending counts and returns the entries of the audit trail that follow entry
// seq.
func (r *Router) FlushTrail(seq uint64) audit.Segment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		return audit.Segment{}
	}
	r.trail.Flush(r.now())
	return r.trail.Since(seq, maxTrailEntries)
}

// beginVersion ties the RPC to the version in force on this driver and reports whether there is one.
// The router's lock must be held.
func (a *ActiveRPC) beginVersion() (allowed bool) {
	if a.router.versionState == nil {
		return true
	}
	a.admission.startedAt = a.router.now()
	a.admission.version, allowed = a.router.versionState.Begin(a.admission.startedAt, Rulebook)
	if allowed && a.router.trail != nil {
		a.router.trail.BeginRPC(a.router.now(), Rulebook, a.admission.version)
	}
	return allowed
}

// recordVersionOutcome counts how the RPC has ended under its version. The router's lock must be held.
func (a *ActiveRPC) recordVersionOutcome(action Action) {
	if a.router.versionState != nil {
		a.router.versionState.RecordOutcome(Rulebook, a.admission.version, action == ActionServe,
			action == ActionReject || action == ActionAbort, a.router.now()-a.admission.startedAt)
	}
}

// failsByFailpoint reports whether a failpoint, which only builds for trials can activate, ends the RPC.
func (a *ActiveRPC) failsByFailpoint() bool {
	return failpoint.Active(failpoint.RejectRPCs) && a.admission.version > versions.InitialVersion && a.id%4 == 0
}

// mayProceed reports whether the RPC's tenant is still in the same cell and its version still in force.
// The router's lock must be held.
func (a *ActiveRPC) mayProceed() bool {
	now := a.router.now()
	return a.router.admissionController.MayProceed(a.admission.ticket, now) &&
		(a.router.versionState == nil || a.router.versionState.MayContinue(now, Rulebook, a.admission.version))
}

// endVersion releases the RPC's version once none of its attempts can still be running. The router's
// lock must be held.
func (a *ActiveRPC) endVersion() {
	version := a.admission.version
	if version == 0 {
		return
	}
	a.admission.version = 0
	if a.router.trail != nil && !(failpoint.Active(failpoint.DropAuditEntries) && a.id%10 == 0) {
		a.router.trail.EndRPC(a.router.now(), Rulebook, version, a.clientID, a.admission.effect, a.admission.outcome,
			a.admission.lastAttemptBeganAt)
	}
	if a.admission.runsUntil <= a.router.now() {
		a.router.versionState.End(Rulebook, version)
		return
	}
	a.router.timers.add(a.admission.runsUntil, func() { a.router.versionState.End(Rulebook, version) })
	a.router.wake()
}

var auditEffects = map[rules.Effect]audit.Effect{rules.Idempotent: audit.Idempotent, rules.IdempotentByToken: audit.Deduplicated,
	rules.NonIdempotent: audit.NonIdempotent}

// auditEffect returns the effect that the audit trail records for RPCs of a method.
func auditEffect(method *rules.Method) audit.Effect {
	if method.Consistency != rules.ConsistencyWrite {
		return audit.Read
	}
	return auditEffects[method.Effect]
}

// auditOutcomes maps an RPC's last action to the outcome that the audit trail records.
var auditOutcomes = map[Action]audit.Outcome{ActionServe: audit.Served, ActionReject: audit.PushedBack,
	ActionAbort: audit.Aborted, ActionDrop: audit.ClientLeft}

// fence returns the fence by which a store rejects attempts under versions that are no longer valid. It
// is empty if nothing is versioned.
func (a *ActiveRPC) fence() (fence protocol.Fence) {
	if a.admission == nil || a.router.versionState == nil {
		return fence
	}
	versionFence := a.router.versionState.Fence(Rulebook, a.admission.version)
	fence.Version, fence.Epoch = uint64(versionFence.Version), uint64(versionFence.Epoch)
	for _, version := range versionFence.Valid {
		fence.Valid = append(fence.Valid, uint64(version))
	}
	return fence
}

// handleFenced ends an RPC whose version a store has rejected. Nothing more begins under that version
// until the council has confirmed it. The router's lock must be held.
func (a *ActiveRPC) handleFenced() {
	router := a.router
	router.fencedAttempts++
	if router.versionState != nil && router.versionState.MarkFenced(router.now(), Rulebook, a.admission.version) {
		router.log.WithFields(logrus.Fields{"thing": Rulebook, "version": a.admission.version, "turned_away": router.fencedAttempts}).
			Warn("store rejected the version in force on this driver")
	}
	if !a.isFinished {
		a.rejectOrAbort(a.outstanding > 0)
	}
}

// VersionReports returns the versions in use on this driver, and the time of the report.
func (r *Router) VersionReports() ([]versions.Report, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versionState.Reports(), r.now()
}

// ApplyVersionGrant applies the fleet's answer to the reports made at reportedAt and returns the versions
// to adopt.
func (r *Router) ApplyVersionGrant(reportedAt int64, grant versions.Grant) []versions.Adoption {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failpoint.Active(failpoint.LongLease) {
		grant.Lease += grant.Lease / 2
	}
	adoptions := r.versionState.ApplyGrant(reportedAt, grant)
	if r.trail != nil {
		activeVersions := map[versions.Resource]versions.Number{}
		for _, report := range r.versionState.Reports() {
			activeVersions[report.Resource] = report.Active
		}
		for _, assignment := range grant.Assignments {
			r.trail.RecordEpoch(r.now(), assignment.Resource, assignment.Epoch, activeVersions[assignment.Resource])
		}
	}
	return adoptions
}

// ReportAdoption reports that a version is now in force on this driver, or why it could not be adopted.
func (r *Router) ReportAdoption(adoption versions.Adoption, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.versionState.MarkFailed(adoption, err.Error())
		return
	}
	r.versionState.MarkAdopted(adoption)
	if r.trail != nil {
		r.trail.RecordActive(r.now(), adoption.Resource, adoption.Number)
	}
}

// rejectWithoutVersion rejects an RPC because no version is in force. The router's lock must be held.
func (a *ActiveRPC) rejectWithoutVersion() {
	a.finish(Step{Action: ActionReject, RetryAfter: min(noVersionRetryAfter, a.router.limits.MaxRetryAfter)})
}

// noVersionRetryAfter is the retry hint, in nanoseconds, for RPCs rejected because no version is in
// force.
const noVersionRetryAfter = int64(200_000_000)
