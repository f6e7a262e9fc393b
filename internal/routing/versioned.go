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
func (r *Router) EnableVersions(holder *versions.DriverState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = holder
}

// AuditWindow is how long after a change of version the audit trail records writes one by one; later
// ones are only counted.
const AuditWindow = 5 * time.Second

// clockSkewAllowance extends AuditWindow, since the clocks of the drivers that are compared may differ.
const clockSkewAllowance = 100 * time.Millisecond

// maxTrailEntries is how many entries of the audit trail are kept.
const maxTrailEntries = 8192

// StartTrail starts the audit trail of this driver, which is identified by its name and start number.
// Later calls have no effect.
func (r *Router) StartTrail(driver versions.Instance, token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		r.trail = audit.NewTrail(r.now(), driver, token, maxTrailEntries, int64(AuditWindow+clockSkewAllowance))
		for _, sighting := range r.holder.Reports() {
			if sighting.Digest != "" {
				r.trail.RecordObserved(r.now(), sighting.Resource, sighting.Active)
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
	if a.router.holder == nil {
		return true
	}
	a.admission.startedAt = a.router.now()
	a.admission.version, allowed = a.router.holder.Begin(a.admission.startedAt, Rulebook)
	if allowed && a.router.trail != nil {
		a.router.trail.BeginRPC(a.router.now(), Rulebook, a.admission.version)
	}
	return allowed
}

// recordVersionOutcome counts how the RPC has ended under its version. The router's lock must be held.
func (a *ActiveRPC) recordVersionOutcome(action Action) {
	if a.router.holder != nil {
		a.router.holder.RecordOutcome(Rulebook, a.admission.version, action == ActionServe,
			action == ActionReject || action == ActionAbort, a.router.now()-a.admission.startedAt)
	}
}

// failsByPlantedFault reports whether a planted fault, of which only builds for trials have any, ends the
// RPC.
func (a *ActiveRPC) failsByPlantedFault() bool {
	return failpoint.Active(failpoint.RejectRPCs) && a.admission.version > versions.InitialVersion && a.id%4 == 0
}

// mayProceed reports whether the RPC's tenant is still in the same cell and its version still in force.
// The router's lock must be held.
func (a *ActiveRPC) mayProceed() bool {
	now := a.router.now()
	return a.router.admissionController.MayProceed(a.admission.ticket, now) &&
		(a.router.holder == nil || a.router.holder.MayContinue(now, Rulebook, a.admission.version))
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
			a.admission.lastBeganAt)
	}
	if a.admission.runsUntil <= a.router.now() {
		a.router.holder.End(Rulebook, version)
		return
	}
	a.router.timers.add(a.admission.runsUntil, func() { a.router.holder.End(Rulebook, version) })
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

// fence returns the fence by which a store rejects attempts of closed versions. It is empty if nothing
// is versioned.
func (a *ActiveRPC) fence() (fence protocol.Fence) {
	if a.admission == nil || a.router.holder == nil {
		return fence
	}
	known := a.router.holder.Fence(Rulebook, a.admission.version)
	fence.Version, fence.Epoch = uint64(known.Version), uint64(known.Epoch)
	for _, version := range known.Valid {
		fence.Valid = append(fence.Valid, uint64(version))
	}
	return fence
}

// handleFenced ends an RPC whose version a store has rejected. Nothing more begins under that version
// until the council has confirmed it. The router's lock must be held.
func (a *ActiveRPC) handleFenced() {
	router := a.router
	router.fencedAttempts++
	if router.holder != nil && router.holder.MarkFenced(router.now(), Rulebook, a.admission.version) {
		router.log.WithFields(logrus.Fields{"thing": Rulebook, "version": a.admission.version, "turned_away": router.fencedAttempts}).
			Warn("store rejected the version in force on this driver")
	}
	if !a.isFinished {
		a.rejectOrAbort(a.outstanding > 0)
	}
}

// VersionReports returns what this driver reports of its versions, and the time of the report.
func (r *Router) VersionReports() ([]versions.Report, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Reports(), r.now()
}

// ApplyVersionGrant applies the grant for the report made at askedAt and returns the versions to adopt.
func (r *Router) ApplyVersionGrant(askedAt int64, grant versions.Grant) []versions.Adoption {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failpoint.Active(failpoint.LongLease) {
		grant.Lease += grant.Lease / 2
	}
	adoptions := r.holder.ApplyGrant(askedAt, grant)
	if r.trail != nil {
		actsOn := map[versions.Resource]versions.Number{}
		for _, sighting := range r.holder.Reports() {
			actsOn[sighting.Resource] = sighting.Active
		}
		for _, order := range grant.Assignments {
			r.trail.RecordEpoch(r.now(), order.Resource, order.Epoch, actsOn[order.Resource])
		}
	}
	return adoptions
}

// ReportAdoption reports that a version is now in force on this driver, or why it could not be adopted.
func (r *Router) ReportAdoption(adoption versions.Adoption, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.holder.MarkFailed(adoption, err.Error())
		return
	}
	r.holder.MarkAdopted(adoption)
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
