package trials

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sedgespread/internal/audit"
	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/links/relays"
	"sedgespread/internal/membership"
	"sedgespread/internal/routing"
)

// AuditResult compares the audit's records of writes with the writes that members received.
type AuditResult struct {
	Writes         int // writes with a fence that members received
	Matched        int // in the audit by themselves with the right version
	Counted        int // only in the audit's counts for the version, as they came long after a change
	WrongVersion   int // in the audit with another version
	Unknown        int // not in the audit, but in a span that it reports as unknown
	Missing        int // not in the audit at all
	Entries        int
	LateActivities int // acts that the audit itself finds after their version was closed
	Faults         []string
	UnknownSpans   int // spans of time that the audit reports as unknown

	FirstMissing []string // details of the first missing writes
	FirstLate    []string // details of the first late acts
}

// maxShown limits the number of details in AuditResult.
const maxShown = 5

// compareAudit queries the audit once all trails have arrived and compares it with what members
// received.
func (c *versionsRun) compareAudit(ctx context.Context) error {
	if err := c.awaitTrails(ctx, time.Now()); err != nil {
		return err
	}
	findings, err := membership.Audit(ctx, c.addresses, membership.AuditQuery{Resource: routing.Rulebook, MaxClockSkew: int64(10 * time.Millisecond)})
	if err != nil {
		return err
	}
	r := &c.result.Audit
	r.Entries, r.LateActivities, r.Faults, r.UnknownSpans = findings.Entries, len(findings.LateActivities), findings.Faults, len(findings.Gaps)
	for _, late := range findings.LateActivities[:min(maxShown, len(findings.LateActivities))] {
		r.FirstLate = append(r.FirstLate, fmt.Sprintf("%s start %d: %q under version %d, %v before the audit, sure: %t: %s", late.Instance.Name, late.Instance.Start, late.RPC,
			late.Version, time.Since(time.Unix(0, late.At)).Round(time.Millisecond), late.IsCertain, late.Reason))
	}
	trails := newAuditTrails(membership.CollectSegments(ctx, c.addresses))
	attempts := map[string]emulator.FencedAttempt{}
	for _, attempt := range c.cluster.Fleet.FencedAttempts() {
		if attempt.Write && !attempt.Rejected {
			attempts[attempt.RPC] = attempt
		}
	}
	r.Writes = len(attempts)
	for id, attempt := range attempts {
		version, found := trails.singles[id]
		switch {
		case found && version == attempt.Fence:
			r.Matched++
		case found:
			r.WrongVersion++
		case trails.takeCounted(attempt):
			r.Counted++
		case slices.ContainsFunc(findings.Gaps, func(u audit.Gap) bool {
			return u.From-int64(unknownMargin) <= attempt.At && attempt.At <= u.To
		}):
			r.Unknown++
		default:
			r.recordMissing(attempt, trails)
		}
	}
	return nil
}

// recordMissing records a write that is not in the audit.
func (r *AuditResult) recordMissing(attempt emulator.FencedAttempt, trails *auditTrails) {
	if r.Missing++; len(r.FirstMissing) < maxShown {
		r.FirstMissing = append(r.FirstMissing, fmt.Sprintf("%s under version %d, %v after the first act under it, %v before the last entry",
			attempt.RPC, attempt.Fence, time.Duration(attempt.At-trails.firstUse[attempt.Fence]), time.Duration(trails.lastEntry-attempt.At)))
	}
}

// awaitTrails waits until the voters hold each driver's trail up to the end of all writes. Drivers
// send a bounded number of entries at a time, so this may take long on a busy machine.
func (c *versionsRun) awaitTrails(ctx context.Context, writesEnded time.Time) error {
	if !relays.Sleep(ctx, c.Lease) {
		return ctx.Err()
	}
	for deadline := time.Now().Add(20 * c.Lease); time.Now().Before(deadline); {
		reported := map[string]bool{}
		for _, p := range membership.CollectSegments(ctx, c.addresses) {
			if n := len(p.Entries); n > 0 && p.IsClockOffsetKnown && p.Entries[n-1].At+p.ClockOffset > writesEnded.UnixNano() {
				reported[p.Instance.Name] = true
			}
		}
		if len(reported) == c.Drivers {
			return nil
		}
		if !relays.Sleep(ctx, c.Lease/4) {
			return ctx.Err()
		}
	}
	return nil // entries that have not arrived count as missing
}

// unknownMargin is how long before the last entry of a process an RPC may have reached a member
// without being in the trail.
const unknownMargin = 2500 * time.Millisecond // client timeout plus slack

// auditTrails are the trails of all drivers, indexed for the comparison.
type auditTrails struct {
	singles   map[string]uint64 // version of each write with an entry of its own, by RPC
	counted   map[uint64]uint64 // by version, writes that are only counted
	firstUse  map[uint64]int64  // by version, the time of the first act
	lastEntry int64             // time of the last entry of all trails
}

func newAuditTrails(parts []audit.Segment) *auditTrails {
	t := &auditTrails{singles: map[string]uint64{}, counted: map[uint64]uint64{}, firstUse: map[uint64]int64{}}
	for _, p := range parts {
		for i := range p.Entries {
			t.addEntry(&p.Entries[i], p.ClockOffset)
		}
	}
	for _, version := range t.singles {
		t.counted[version] -= min(1, t.counted[version]) // writes with an entry of their own are also counted
	}
	return t
}

func (t *auditTrails) addEntry(entry *audit.Entry, offset int64) {
	t.lastEntry = max(t.lastEntry, entry.At+offset)
	version := uint64(entry.Version)
	switch entry.Kind {
	case audit.KindRPC:
		t.singles[entry.RPC] = version
	case audit.KindSpan:
		if from, known := t.firstUse[version]; !known || entry.From+offset < from {
			t.firstUse[version] = entry.From + offset
		}
		for effect := audit.Deduplicated; effect <= audit.NonIdempotent; effect++ {
			for _, n := range entry.Counts[effect] {
				t.counted[version] += n
			}
		}
	}
}

// takeCounted reports whether a write is covered by the counts of its version, and uses up one
// count. Writes long after the first use of a version are only counted.
func (t *auditTrails) takeCounted(attempt emulator.FencedAttempt) bool {
	firstUse, known := t.firstUse[attempt.Fence]
	if !known || t.counted[attempt.Fence] == 0 || time.Duration(attempt.At-firstUse) < routing.AuditWindow {
		return false
	}
	t.counted[attempt.Fence]--
	return true
}
