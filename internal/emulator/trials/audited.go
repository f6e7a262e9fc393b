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

// AuditResult is how what the audit says of writes compares with what members got.
type AuditResult struct {
	Writes       int // that members got with a version
	Matched      int // that stand in the audit at that version
	Counted      int // that came so long after a change that they stand there in the counts of that version alone
	WrongVersion int // that stand there at another
	Unknown      int // that do not, of a time of which the audit says that it is unknown
	Missing      int // that do not
	Entries      int
	LateActs     int // acts that the audit itself finds after a closing
	Faults       []string
	UnknownSpans int // of unknown time

	FirstMissing []string // what is known of some of those that are missing
	FirstLate    []string // and of some that the audit calls late
}

// maxShown is how many of the writes that are missing are told of.
const maxShown = 5

// compareAudit asks the audit once drivers have told all, and compares it with what members got.
func (c *versionsRun) compareAudit(ctx context.Context) error {
	if err := c.awaitTrails(ctx, time.Now()); err != nil {
		return err
	}
	findings, err := membership.Audit(ctx, c.addresses, membership.Question{Thing: routing.Rulebook, Clocks: int64(10 * time.Millisecond)})
	if err != nil {
		return err
	}
	r := &c.result.Audit
	r.Entries, r.LateActs, r.Faults, r.UnknownSpans = findings.Entries, len(findings.Late), findings.Faults, len(findings.Unknown)
	for _, late := range findings.Late[:min(maxShown, len(findings.Late))] {
		r.FirstLate = append(r.FirstLate, fmt.Sprintf("%s start %d: %q under version %d, %v before the audit, sure: %t: %s", late.Who.Name, late.Who.Start, late.RPC,
			late.Version, time.Since(time.Unix(0, late.At)).Round(time.Millisecond), late.Sure, late.Why))
	}
	all := newAuditTrails(membership.Parts(ctx, c.addresses))
	attempts := map[string]emulator.FencedAttempt{}
	for _, attempt := range c.cluster.Fleet.FencedAttempts() {
		if attempt.Write && !attempt.Rejected {
			attempts[attempt.RPC] = attempt
		}
	}
	r.Writes = len(attempts)
	for id, attempt := range attempts {
		version, found := all.singles[id]
		switch {
		case found && version == attempt.Fence:
			r.Matched++
		case found:
			r.WrongVersion++
		case all.takeCounted(attempt):
			r.Counted++
		case slices.ContainsFunc(findings.Unknown, func(u audit.Unknown) bool {
			return u.From-int64(unknownMargin) <= attempt.At && attempt.At <= u.To
		}):
			r.Unknown++
		default:
			r.recordMissing(attempt, all)
		}
	}
	return nil
}

// recordMissing notes a write that the audit does not have.
func (r *AuditResult) recordMissing(attempt emulator.FencedAttempt, t *auditTrails) {
	if r.Missing++; len(r.FirstMissing) < maxShown {
		r.FirstMissing = append(r.FirstMissing, fmt.Sprintf("%s under version %d, %v after that was first acted on, %v before the last entry",
			attempt.RPC, attempt.Fence, time.Duration(attempt.At-t.firstUse[attempt.Fence]), time.Duration(t.lastEntry-attempt.At)))
	}
}

// awaitTrails waits until the voters hold every driver's trail up to a moment at which all writes had ended. Drivers tell a bounded number of
// entries at a time, which takes as long as it takes on a busy machine.
func (c *versionsRun) awaitTrails(ctx context.Context, writesEnded time.Time) error {
	if !relays.Sleep(ctx, c.Lease) {
		return ctx.Err()
	}
	for deadline := time.Now().Add(20 * c.Lease); time.Now().Before(deadline); {
		reported := map[string]bool{}
		for _, p := range membership.Parts(ctx, c.addresses) {
			if n := len(p.Entries); n > 0 && p.Placed && p.Entries[n-1].At+p.Offset > writesEnded.UnixNano() {
				reported[p.Who.Name] = true
			}
		}
		if len(reported) == c.Drivers {
			return nil
		}
		if !relays.Sleep(ctx, c.Lease/4) {
			return ctx.Err()
		}
	}
	return nil // what was not told is missing
}

// unknownMargin is how long before a start's last entry an RPC may have reached a member that would be entered after it.
const unknownMargin = 2500 * time.Millisecond // all that its client waits, and what it may be late

// auditTrails are all drivers' trails in the terms of the comparison.
type auditTrails struct {
	singles   map[string]uint64 // the version of each write that stands there by itself
	counted   map[uint64]uint64 // writes of each version that stand only in its counts
	firstUse  map[uint64]int64  // when each was first acted on
	lastEntry int64             // entry of all
}

func newAuditTrails(parts []audit.Part) *auditTrails {
	t := &auditTrails{singles: map[string]uint64{}, counted: map[uint64]uint64{}, firstUse: map[uint64]int64{}}
	for _, p := range parts {
		for i := range p.Entries {
			t.addEntry(&p.Entries[i], p.Offset)
		}
	}
	for _, version := range t.singles {
		t.counted[version] -= min(1, t.counted[version]) // what stands by itself is counted too
	}
	return t
}

func (t *auditTrails) addEntry(entry *audit.Entry, offset int64) {
	t.lastEntry = max(t.lastEntry, entry.At+offset)
	version := uint64(entry.Version)
	switch entry.Kind {
	case audit.Single:
		t.singles[entry.RPC] = version
	case audit.Spans:
		if from, known := t.firstUse[version]; !known || entry.From+offset < from {
			t.firstUse[version] = entry.From + offset
		}
		for effect := audit.Tokened; effect <= audit.NonIdempotent; effect++ {
			for _, n := range entry.Tally[effect] {
				t.counted[version] += n
			}
		}
	}
}

// takeCounted tells whether a write stands in the counts of its version: those are all that is kept of it once a version was acted on for so long.
// Each such count stands for one write.
func (t *auditTrails) takeCounted(attempt emulator.FencedAttempt) bool {
	firstUse, known := t.firstUse[attempt.Fence]
	if !known || t.counted[attempt.Fence] == 0 || time.Duration(attempt.At-firstUse) < routing.NearChange {
		return false
	}
	t.counted[attempt.Fence]--
	return true
}
