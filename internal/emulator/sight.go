package emulator

import (
	"fmt"
	"sync"
)

// Checker is what members and clients saw, and the breaches of the rules found in it. It may be used by many at once.
type Checker struct {
	mu       sync.Mutex
	rpcs     map[string]*sighting
	acked    map[string][]ack // by key, what its clients were told is there
	breaches []Violation
	fenced   []FencedAttempt
}

// FencedAttempt is a call-out that a member got, with the version that its driver says to have made it under.
type FencedAttempt struct {
	At       int64 // Unix time in nanoseconds
	Fence    uint64
	RPC      string
	Write    bool
	Rejected bool // the member turned it away for that
}

// fence notes a call-out that came with a version.
func (s *Checker) fence(st Statement, now int64, turned bool) {
	if st.Fence.Version == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced = append(s.fenced, FencedAttempt{At: now, Fence: uint64(st.Fence.Version), RPC: st.ID, Write: st.Write, Rejected: turned})
}

// FencedAttempts are all call-outs that came with a version, as they came.
func (s *Checker) FencedAttempts() []FencedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]FencedAttempt(nil), s.fenced...)
}

// sighting is one RPC.
type sighting struct {
	once     bool // non-idempotent
	key      string
	calls    int // that members got
	refused  int // of those, by members that did nothing
	effects  int
	group    int64 // where it ran, and the position that it has there
	position int64
	answers  int
}

type ack struct {
	id       string
	position int64
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   string
	RPC    string
	Detail string
}

// NewChecker makes one that has seen nothing.
func NewChecker() *Checker { return &Checker{rpcs: map[string]*sighting{}, acked: map[string][]ack{}} }

// Names of rules in breaches.
const (
	RuleOneAnswer       = "one final answer"
	RuleDuplicateEffect = "no effect twice"
	RuleStaleRead       = "no stale read"
	RuleLostWrite       = "no acknowledged write lost"
	RuleDraining        = "nothing new after the drain grace"
	RuleColdOverload    = "no cold member pushed over"
	RuleClosedVersion   = "nothing under a version that was closed"
	RuleVersionOverlap  = "no two versions at once that must not overlap"
	RuleOldDisk         = "no voter with an old disk"
)

func (s *Checker) breach(rule, rpc, format string, args ...any) {
	s.breaches = append(s.breaches, Violation{rule, rpc, fmt.Sprintf(format, args...)})
}

func (s *Checker) rpc(id string) *sighting {
	r := s.rpcs[id]
	if r == nil {
		r = &sighting{}
		s.rpcs[id] = r
	}
	return r
}

// RecordViolation notes that a rule was broken.
func (s *Checker) RecordViolation(rule, rpc, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breach(rule, rpc, format, args...)
}

// AllRules are those that are checked.
func AllRules() []string {
	return []string{RuleOneAnswer, RuleDuplicateEffect, RuleDraining, RuleColdOverload, RuleStaleRead, RuleLostWrite, RuleClosedVersion, RuleVersionOverlap, RuleOldDisk}
}

// RecordSent notes that a client sends an RPC.
func (s *Checker) RecordSent(id, key string, once bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rpc(id)
	r.once, r.key = once, key
}

// arrive notes that a member got a call-out.
func (s *Checker) arrive(st Statement, m MemberID, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rpc(st.ID)
	r.calls++
	if r.once && r.calls-r.refused > 1 {
		s.breach(RuleDuplicateEffect, st.ID, "member %d got a call-out at %d though an earlier one may have run", m, now)
	}
}

func (s *Checker) refuse(st Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rpc(st.ID).refused++
}

// effect notes that a write ran.
func (s *Checker) effect(st Statement, group, position int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rpc(st.ID)
	if r.effects++; r.effects > 1 {
		s.breach(RuleDuplicateEffect, st.ID, "ran in group %d at %d after it ran in group %d", group, position, r.group)
	}
	r.group, r.position = group, position
}

// RecordAnswer notes the final answer of an RPC. Of a write that is served the client knows from here on that it is there.
func (s *Checker) RecordAnswer(id string, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rpc(id)
	if r.answers++; r.answers > 1 {
		s.breach(RuleOneAnswer, id, "got answer %d", r.answers)
	}
	if !r.once || !served {
		return
	}
	if r.effects == 0 {
		s.breach(RuleLostWrite, id, "was said to be served and never ran")
	}
	s.acked[r.key] = append(s.acked[r.key], ack{id, r.position})
}

// LastAcknowledged is the write of a key that its client was told of last, with the position that it was told.
func (s *Checker) LastAcknowledged(key string) (id string, position int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if all := s.acked[key]; len(all) > 0 {
		last := all[len(all)-1]
		return last.id, last.position
	}
	return "", 0
}

// Read notes what a read showed of a key of which its client knew a write. Writes of a key come one after another, and
// ids grow, so that a lower one is older.
func (s *Checker) Read(id, key, shown, known string) {
	if shown >= known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breach(RuleStaleRead, id, "showed %q of %q, where %q was known to be there", shown, key, known)
}

// RecordNoAnswer notes the RPCs that never got an answer though their clients waited.
func (s *Checker) RecordNoAnswer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breach(RuleOneAnswer, id, "got no answer")
}

// CheckAcknowledged checks, when all is over, that every acknowledged write is where its key's tenant is in the end.
func (s *Checker) CheckAcknowledged(f *Fleet, group func(key string) int64) (writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, all := range s.acked {
		at := group(key)
		for _, a := range all {
			writes++
			if !f.HasWrite(at, key, a.id) {
				s.breach(RuleLostWrite, a.id, "acknowledged for %q, not in group %d (ran in %d)", key, at, s.rpcs[a.id].group)
			}
		}
	}
	return writes
}

// Violations are those found so far.
func (s *Checker) Violations() []Violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Violation(nil), s.breaches...)
}
