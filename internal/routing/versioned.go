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
const Rulebook versions.Resource = "rulebook"

// EnableVersions lets every RPC from here on act on a version of the rulebook. It is called before the first.
func (r *Router) EnableVersions(h *versions.DriverState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = h
}

// AuditWindow is for how long after a change of version RPCs with an effect that reach a member are entered one by one; later ones are counted.
const AuditWindow = 5 * time.Second

// nearSlack is for how much longer they are, since whoever compares may have the time of the change from clocks that differ by a little.
const nearSlack = 100 * time.Millisecond

// mostEntries is how many entries of its trail a driver keeps.
const mostEntries = 8192

// StartTrail reports the number of this driver's start. From here on what it does is entered in its trail.
func (r *Router) StartTrail(who versions.Instance, token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		r.trail = audit.NewTrail(r.now(), who, token, mostEntries, int64(AuditWindow+nearSlack))
		for _, s := range r.holder.Reports() {
			if s.Digest != "" {
				r.trail.RecordObserved(r.now(), s.Resource, s.Active)
			}
		}
	}
}

// TrailSince gives the entries of this driver's trail after one, at most so many.
func (r *Router) TrailSince(seq uint64, most int) audit.Segment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		return audit.Segment{}
	}
	r.trail.FlushBeforeSend(r.now())
	return r.trail.Since(seq, most)
}

// FlushTrail enters all that is left to enter, and gives the entries after one.
func (r *Router) FlushTrail(seq uint64) audit.Segment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trail == nil {
		return audit.Segment{}
	}
	r.trail.Flush(r.now())
	return r.trail.Since(seq, mostEntries)
}

// begins lets an RPC act on the version that this driver acts on, and tells whether there is one. The lock is held.
func (t *ActiveRPC) begins() (may bool) {
	if t.r.holder == nil {
		return true
	}
	t.pass.begun = t.r.now()
	t.pass.version, may = t.r.holder.Begin(t.pass.begun, Rulebook)
	if may && t.r.trail != nil {
		t.r.trail.BeginRPC(t.r.now(), Rulebook, t.pass.version)
	}
	return may
}

// fared tells how an RPC has ended under its version. The lock is held.
func (t *ActiveRPC) fared(act Action) {
	if t.r.holder != nil {
		t.r.holder.RecordOutcome(Rulebook, t.pass.version, act == ActionServe, act == ActionReject || act == ActionAbort, t.r.now()-t.pass.begun)
	}
}

// harmed tells whether a planted fault ends the RPC.
func (t *ActiveRPC) harmed() bool {
	return planted.Active(planted.RejectRPCs) && t.pass.version > versions.InitialVersion && t.id%4 == 0
}

// may tells whether something more may be done for an RPC: its tenant is where it was, and its version is acted on. The
// lock is held.
func (t *ActiveRPC) may() bool {
	now := t.r.now()
	return t.r.gate.MayProceed(t.pass.ticket, now) && (t.r.holder == nil || t.r.holder.MayContinue(now, Rulebook, t.pass.version))
}

// ends says that nothing more is done under the version of an RPC, once the last attempt that may still run cannot any
// more. The lock is held.
func (t *ActiveRPC) ends() {
	n := t.pass.version
	if n == 0 {
		return
	}
	t.pass.version = 0
	if t.r.trail != nil && !(planted.Active(planted.DropAuditEntries) && t.id%10 == 0) {
		t.r.trail.EndRPC(t.r.now(), Rulebook, n, t.name, t.pass.effect, t.pass.outcome, t.pass.acted)
	}
	if t.pass.until <= t.r.now() {
		t.r.holder.End(Rulebook, n)
		return
	}
	t.r.timers.add(t.pass.until, func() { t.r.holder.End(Rulebook, n) })
	t.r.stir()
}

var effects = map[rules.Effect]audit.Effect{rules.Idempotent: audit.Idempotent, rules.IdempotentByToken: audit.Deduplicated,
	rules.NonIdempotent: audit.NonIdempotent}

// effectOf is what an RPC of a method does to data.
func effectOf(m *rules.Method) audit.Effect {
	if m.Consistency != rules.ConsistencyWrite {
		return audit.Read
	}
	return effects[m.Effect]
}

// outcomeOf is how an RPC ended.
var outcomeOf = map[Action]audit.Outcome{ActionServe: audit.Served, ActionReject: audit.PushedBack, ActionAbort: audit.Aborted, ActionDrop: audit.ClientLeft}

// fence is what a store is told, so that it can turn away what comes too late: none where there are no versions.
func (t *ActiveRPC) fence() (f protocol.Fence) {
	if t.pass == nil || t.r.holder == nil {
		return f
	}
	known := t.r.holder.Fence(Rulebook, t.pass.version)
	f.Version, f.Epoch = uint64(known.Version), uint64(known.Epoch)
	for _, n := range known.Valid {
		f.Valid = append(f.Valid, uint64(n))
	}
	return f
}

// fenced ends an RPC whose version a store has turned away, and lets nothing more begin under it before the council was asked
// again. The lock is held.
func (t *ActiveRPC) fenced() {
	r := t.r
	r.turnedAway++
	if r.holder != nil && r.holder.MarkFenced(r.now(), Rulebook, t.pass.version) {
		r.log.WithFields(logrus.Fields{"thing": Rulebook, "version": t.pass.version, "turned_away": r.turnedAway}).
			Warn("a store has turned the version away that this driver acts on")
	}
	if !t.ended {
		t.forsake(t.out > 0)
	}
}

// VersionSightings is what the fleet is told of this driver's versions, and when that was.
func (r *Router) VersionSightings() ([]versions.Report, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Reports(), r.now()
}

// ApplyOrders reports what the fleet granted to what was asked at a time, and gives what is to be adopted.
func (r *Router) ApplyOrders(asked int64, g versions.Grant) []versions.Adoption {
	r.mu.Lock()
	defer r.mu.Unlock()
	if planted.Active(planted.LongLease) {
		g.Lease += g.Lease / 2
	}
	due := r.holder.ApplyGrant(asked, g)
	if r.trail != nil {
		acts := map[versions.Resource]versions.Number{}
		for _, s := range r.holder.Reports() {
			acts[s.Resource] = s.Active
		}
		for _, o := range g.Assignments {
			r.trail.RecordEpoch(r.now(), o.Resource, o.Epoch, acts[o.Resource])
		}
	}
	return due
}

// ReportAdoption reports that this driver acts on a version, or why it can't.
func (r *Router) ReportAdoption(a versions.Adoption, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.holder.MarkFailed(a, err.Error())
		return
	}
	r.holder.MarkAdopted(a)
	if r.trail != nil {
		r.trail.RecordActive(r.now(), a.Resource, a.Number)
	}
}

// pushesBack ends an RPC that was taken and had no attempt: trying again is harmless.
func (t *ActiveRPC) pushesBack() {
	t.finish(Step{Action: ActionReject, RetryAfter: min(noVersion, t.r.allowed.MaxRetryAfter)})
}

// noVersion is when a client may come back that found a driver without a version to act on.
const noVersion = int64(200_000_000)
