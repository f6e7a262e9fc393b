package routing

import (
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/planted"
	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
	"sedgespread/rules"
)

// Rulebook is what decides on an RPC's way and has versions: the part of the operator's file that all drivers share.
const Rulebook versions.Thing = "rulebook"

// EnableVersions lets every RPC from here on act on a version of the rulebook. It is called before the first.
func (r *Router) EnableVersions(holder *versions.Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = holder
}

// AuditWindow is for how long after a change of version RPCs with an effect that reach a member are entered one by one; later ones are counted.
const AuditWindow = 5 * time.Second

// clockSkewAllowance is for how much longer they are, since whoever compares may have the time of the change from clocks that differ by a little.
const clockSkewAllowance = 100 * time.Millisecond

// maxTrailEntries is how many entries of its trail a driver keeps.
const maxTrailEntries = 8192

// StartTrail reports the number of this driver's start. From here on what it does is entered in its trail.
func (r *Router) StartTrail(driver versions.Sign, token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		r.trail = audit.NewTrail(r.now(), driver, token, maxTrailEntries, int64(AuditWindow+clockSkewAllowance))
		for _, sighting := range r.holder.Sightings() {
			if sighting.Digest != "" {
				r.trail.Has(r.now(), sighting.Thing, sighting.Acts)
			}
		}
	}
}

// TrailSince gives the entries of this driver's trail after one, at most so many.
func (r *Router) TrailSince(seq uint64, limit int) audit.Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		return audit.Part{}
	}
	r.trail.Mark(r.now())
	return r.trail.Since(seq, limit)
}

// FlushTrail enters all that is left to enter, and gives the entries after one.
func (r *Router) FlushTrail(seq uint64) audit.Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		return audit.Part{}
	}
	r.trail.Flush(r.now())
	return r.trail.Since(seq, maxTrailEntries)
}

// beginVersion lets an RPC act on the version that this driver acts on, and tells whether there is one. The lock is held.
func (a *ActiveRPC) beginVersion() (allowed bool) {
	if a.router.holder == nil {
		return true
	}
	a.admission.startedAt = a.router.now()
	a.admission.version, allowed = a.router.holder.Begin(a.admission.startedAt, Rulebook)
	if allowed && a.router.trail != nil {
		a.router.trail.Began(a.router.now(), Rulebook, a.admission.version)
	}
	return allowed
}

// recordVersionOutcome tells how an RPC has ended under its version. The lock is held.
func (a *ActiveRPC) recordVersionOutcome(action Action) {
	if a.router.holder != nil {
		a.router.holder.Fared(Rulebook, a.admission.version, action == ActionServe, action == ActionReject || action == ActionAbort, a.router.now()-a.admission.startedAt)
	}
}

// isPlantedFailure tells whether a planted fault ends the RPC.
func (a *ActiveRPC) isPlantedFailure() bool {
	return planted.Is(planted.Harm) && a.admission.version > versions.Origin && a.id%4 == 0
}

// mayProceed tells whether something more may be done for an RPC: its tenant is where it was, and its version is acted on. The
// lock is held.
func (a *ActiveRPC) mayProceed() bool {
	now := a.router.now()
	return a.router.admissionController.MayProceed(a.admission.ticket, now) && (a.router.holder == nil || a.router.holder.May(now, Rulebook, a.admission.version))
}

// endVersion says that nothing more is done under the version of an RPC, once the last attempt that may still run cannot any
// more. The lock is held.
func (a *ActiveRPC) endVersion() {
	version := a.admission.version
	if version == 0 {
		return
	}
	a.admission.version = 0
	if a.router.trail != nil && !(planted.Is(planted.Audit) && a.id%10 == 0) {
		a.router.trail.Ended(a.router.now(), Rulebook, version, a.clientID, a.admission.effect, a.admission.outcome, a.admission.lastBeganAt)
	}
	if a.admission.runsUntil <= a.router.now() {
		a.router.holder.End(Rulebook, version)
		return
	}
	a.router.timers.add(a.admission.runsUntil, func() { a.router.holder.End(Rulebook, version) })
	a.router.wake()
}

var auditEffects = map[rules.Effect]audit.Effect{rules.Idempotent: audit.Idempotent, rules.Tokened: audit.Tokened,
	rules.NonIdempotent: audit.NonIdempotent}

// auditEffect is what an RPC of a method does to data.
func auditEffect(method *rules.Method) audit.Effect {
	if method.Need != rules.NeedPrimary {
		return audit.Read
	}
	return auditEffects[method.Effect]
}

// auditOutcomes is how an RPC ended.
var auditOutcomes = map[Action]audit.Outcome{ActionServe: audit.Served, ActionReject: audit.PushedBack, ActionAbort: audit.Aborted, ActionDrop: audit.Left}

// fence is what a store is told, so that it can turn away what comes too late: none where there are no versions.
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

// handleFenced ends an RPC whose version a store has turned away, and lets nothing more begin under it before the council was asked
// again. The lock is held.
func (a *ActiveRPC) handleFenced() {
	router := a.router
	router.fencedAttempts++
	if router.holder != nil && router.holder.Fenced(router.now(), Rulebook, a.admission.version) {
		router.log.WithFields(logrus.Fields{"thing": Rulebook, "version": a.admission.version, "turned_away": router.fencedAttempts}).
			Warn("a store has turned the version away that this driver acts on")
	}
	if !a.isFinished {
		a.rejectOrAbort(a.outstanding > 0)
	}
}

// VersionSightings is what the fleet is told of this driver's versions, and when that was.
func (r *Router) VersionSightings() ([]versions.Sighting, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Sightings(), r.now()
}

// ApplyOrders reports what the fleet granted to what was asked at a time, and gives what is to be adopted.
func (r *Router) ApplyOrders(askedAt int64, grant versions.Grant) []versions.Adoption {
	r.mu.Lock()
	defer r.mu.Unlock()
	if planted.Is(planted.Lease) {
		grant.Lease += grant.Lease / 2
	}
	adoptions := r.holder.Granted(askedAt, grant)
	if r.trail != nil {
		actsOn := map[versions.Thing]versions.Number{}
		for _, sighting := range r.holder.Sightings() {
			actsOn[sighting.Thing] = sighting.Acts
		}
		for _, order := range grant.Orders {
			r.trail.Learns(r.now(), order.Thing, order.Epoch, actsOn[order.Thing])
		}
	}
	return adoptions
}

// ReportAdoption reports that this driver acts on a version, or why it can't.
func (r *Router) ReportAdoption(adoption versions.Adoption, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.holder.Fails(adoption, err.Error())
		return
	}
	r.holder.Adopted(adoption)
	if r.trail != nil {
		r.trail.Acts(r.now(), adoption.Thing, adoption.Number)
	}
}

// rejectWithoutVersion ends an RPC that was taken and had no attempt: trying again is harmless.
func (a *ActiveRPC) rejectWithoutVersion() {
	a.finish(Step{Action: ActionReject, RetryAfter: min(noVersionRetryAfter, a.router.limits.ComeBack)})
}

// noVersionRetryAfter is when a client may come back that found a driver without a version to act on.
const noVersionRetryAfter = int64(200_000_000)
