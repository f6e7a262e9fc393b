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

// mostShown is how many of the writes that are missing are told of.
const mostShown = 5

// audit asks the audit once drivers have told all, and compares it with what members got.
func (c *changing) audit(ctx context.Context) error {
	if err := c.told(ctx, time.Now()); err != nil {
		return err
	}
	f, err := membership.Audit(ctx, c.at, membership.AuditQuery{Thing: routing.Rulebook, MaxClockSkew: int64(10 * time.Millisecond)})
	if err != nil {
		return err
	}
	r := &c.result.Audit
	r.Entries, r.LateActs, r.Faults, r.UnknownSpans = f.Entries, len(f.Late), f.Faults, len(f.Unknown)
	for _, late := range f.Late[:min(mostShown, len(f.Late))] {
		r.FirstLate = append(r.FirstLate, fmt.Sprintf("%s start %d: %q under version %d, %v before the audit, sure: %t: %s", late.Instance.Name, late.Instance.Start, late.RPC,
			late.Version, time.Since(time.Unix(0, late.At)).Round(time.Millisecond), late.IsCertain, late.Reason))
	}
	trails := readTrails(membership.CollectParts(ctx, c.at))
	got := map[string]emulator.FencedAttempt{}
	for _, fenced := range c.n.Fleet.FencedAttempts() {
		if fenced.Write && !fenced.Rejected {
			got[fenced.RPC] = fenced
		}
	}
	r.Writes = len(got)
	for id, fenced := range got {
		version, there := trails.singles[id]
		switch {
		case there && version == fenced.Fence:
			r.Matched++
		case there:
			r.WrongVersion++
		case trails.counts(fenced):
			r.Counted++
		case slices.ContainsFunc(f.Unknown, func(u audit.Gap) bool {
			return u.From-int64(unknownBefore) <= fenced.At && fenced.At <= u.To
		}):
			r.Unknown++
		default:
			r.missing(fenced, trails)
		}
	}
	return nil
}

// missing notes a write that the audit does not have.
func (r *AuditResult) missing(w emulator.FencedAttempt, t *trails) {
	if r.Missing++; len(r.FirstMissing) < mostShown {
		r.FirstMissing = append(r.FirstMissing, fmt.Sprintf("%s under version %d, %v after that was first acted on, %v before the last entry",
			w.RPC, w.Fence, time.Duration(w.At-t.begun[w.Fence]), time.Duration(t.last-w.At)))
	}
}

// told waits until the voters hold every driver's trail up to a moment at which all writes had ended. Drivers tell a bounded number of
// entries at a time, which takes as long as it takes on a busy machine.
func (c *changing) told(ctx context.Context, ended time.Time) error {
	if !relays.Sleep(ctx, c.Lease) {
		return ctx.Err()
	}
	for deadline := time.Now().Add(20 * c.Lease); time.Now().Before(deadline); {
		heard := map[string]bool{}
		for _, p := range membership.CollectParts(ctx, c.at) {
			if n := len(p.Entries); n > 0 && p.IsClockOffsetKnown && p.Entries[n-1].At+p.ClockOffset > ended.UnixNano() {
				heard[p.Instance.Name] = true
			}
		}
		if len(heard) == c.Drivers {
			return nil
		}
		if !relays.Sleep(ctx, c.Lease/4) {
			return ctx.Err()
		}
	}
	return nil // what was not told is missing
}

// unknownBefore is how long before a start's last entry an RPC may have reached a member that would be entered after it.
const unknownBefore = 2500 * time.Millisecond // all that its client waits, and what it may be late

// trails are all drivers' trails in the terms of the comparison.
type trails struct {
	singles map[string]uint64 // the version of each write that stands there by itself
	counted map[uint64]uint64 // writes of each version that stand only in its counts
	begun   map[uint64]int64  // when each was first acted on
	last    int64             // entry of all
}

func readTrails(parts []audit.Segment) *trails {
	t := &trails{singles: map[string]uint64{}, counted: map[uint64]uint64{}, begun: map[uint64]int64{}}
	for _, p := range parts {
		for i := range p.Entries {
			t.take(&p.Entries[i], p.ClockOffset)
		}
	}
	for _, version := range t.singles {
		t.counted[version] -= min(1, t.counted[version]) // what stands by itself is counted too
	}
	return t
}

func (t *trails) take(e *audit.Entry, offset int64) {
	t.last = max(t.last, e.At+offset)
	version := uint64(e.Version)
	switch e.Kind {
	case audit.KindRPC:
		t.singles[e.RPC] = version
	case audit.KindSpan:
		if from, known := t.begun[version]; !known || e.From+offset < from {
			t.begun[version] = e.From + offset
		}
		for effect := audit.Deduplicated; effect <= audit.NonIdempotent; effect++ {
			for _, n := range e.Counts[effect] {
				t.counted[version] += n
			}
		}
	}
}

// counts tells whether a write stands in the counts of its version: those are all that is kept of it once a version was acted on for so long.
// Each such count stands for one write.
func (t *trails) counts(w emulator.FencedAttempt) bool {
	begun, known := t.begun[w.Fence]
	if !known || t.counted[w.Fence] == 0 || time.Duration(w.At-begun) < routing.AuditWindow {
		return false
	}
	t.counted[w.Fence]--
	return true
}
