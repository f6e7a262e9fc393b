package emulator

import (
	"fmt"
	"sync"
)

// Checker records what members and clients observe, and the violations found in it. It is safe for
// concurrent use.
type Checker struct {
	mu             sync.Mutex
	rpcs           map[string]*rpcRecord
	acknowledged   map[string][]acknowledgedWrite // by key, in the order in which clients were told
	violations     []Violation
	fencedAttempts []FencedAttempt
}

// FencedAttempt is an attempt that reached a member with a fence.
type FencedAttempt struct {
	At       int64 // Unix time in nanoseconds
	Fence    uint64
	RPC      string
	Write    bool
	Rejected bool // by the member, because the fence was no longer valid
}

// recordFence records an attempt that has a fence.
func (c *Checker) recordFence(statement Statement, now int64, rejected bool) {
	if statement.Fence.Version == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencedAttempts = append(c.fencedAttempts, FencedAttempt{At: now, Fence: uint64(statement.Fence.Version), RPC: statement.ID, Write: statement.Write, Rejected: rejected})
}

// FencedAttempts returns all attempts with a fence in the order of their arrival.
func (c *Checker) FencedAttempts() []FencedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]FencedAttempt(nil), c.fencedAttempts...)
}

// rpcRecord is what was observed of one RPC.
type rpcRecord struct {
	nonIdempotent bool
	key           string
	attempts      int // that reached a member
	rejected      int // attempts that were not executed
	effects       int
	group         int64 // where the write was executed, and its position there
	position      int64
	answers       int
}

type acknowledgedWrite struct {
	id       string
	position int64
}

// Violation is a broken rule.
type Violation struct {
	Rule   string
	RPC    string
	Detail string
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{rpcs: map[string]*rpcRecord{}, acknowledged: map[string][]acknowledgedWrite{}}
}

// Rules, as named in violations.
const (
	RuleOneAnswer       = "one final answer"
	RuleDuplicateEffect = "no effect twice"
	RuleStaleRead       = "no stale read"
	RuleLostWrite       = "no acknowledged write lost"
	RuleDraining        = "no attempt after the drain grace period"
	RuleColdOverload    = "no cold member overloaded"
	RuleClosedVersion   = "no attempt under a closed version"
	RuleVersionOverlap  = "no overlap with an exclusive version"
	RuleOldDisk         = "no voter started with an outdated disk"
)

func (c *Checker) addViolation(rule, rpc, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, rpc, fmt.Sprintf(format, args...)})
}

// recordFor returns the record of an RPC, which it creates if there is none.
func (c *Checker) recordFor(id string) *rpcRecord {
	r := c.rpcs[id]
	if r == nil {
		r = &rpcRecord{}
		c.rpcs[id] = r
	}
	return r
}

// RecordViolation records a broken rule.
func (c *Checker) RecordViolation(rule, rpc, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, rpc, format, args...)
}

// AllRules returns the rules that are checked.
func AllRules() []string {
	return []string{RuleOneAnswer, RuleDuplicateEffect, RuleDraining, RuleColdOverload, RuleStaleRead, RuleLostWrite, RuleClosedVersion, RuleVersionOverlap, RuleOldDisk}
}

// RecordSent records that a client sends an RPC.
func (c *Checker) RecordSent(id, key string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.recordFor(id)
	r.nonIdempotent, r.key = nonIdempotent, key
}

// recordArrival records that an attempt reached a member.
func (c *Checker) recordArrival(statement Statement, id MemberID, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.recordFor(statement.ID)
	r.attempts++
	if r.nonIdempotent && r.attempts-r.rejected > 1 {
		c.addViolation(RuleDuplicateEffect, statement.ID, "member %d received an attempt at %d although an earlier one may have been executed", id, now)
	}
}

func (c *Checker) recordRejection(statement Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordFor(statement.ID).rejected++
}

// recordEffect records that a write was executed.
func (c *Checker) recordEffect(statement Statement, group, position int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.recordFor(statement.ID)
	if r.effects++; r.effects > 1 {
		c.addViolation(RuleDuplicateEffect, statement.ID, "executed in group %d at %d after it was executed in group %d", group, position, r.group)
	}
	r.group, r.position = group, position
}

// RecordAnswer records the final answer of an RPC. A write that was served counts as acknowledged.
func (c *Checker) RecordAnswer(id string, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.recordFor(id)
	if r.answers++; r.answers > 1 {
		c.addViolation(RuleOneAnswer, id, "received answer %d", r.answers)
	}
	if !r.nonIdempotent || !served {
		return
	}
	if r.effects == 0 {
		c.addViolation(RuleLostWrite, id, "was reported as served but never executed")
	}
	c.acknowledged[r.key] = append(c.acknowledged[r.key], acknowledgedWrite{id, r.position})
}

// LastAcknowledged returns the last acknowledged write of a key and its position.
func (c *Checker) LastAcknowledged(key string) (id string, position int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if all := c.acknowledged[key]; len(all) > 0 {
		last := all[len(all)-1]
		return last.id, last.position
	}
	return "", 0
}

// Read checks the value that a read returned against the write that was acknowledged before it.
// Writes of a key are sequential and their ids grow, so a lower id is an older write.
func (c *Checker) Read(id, key, value, acknowledged string) {
	if value >= acknowledged {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(RuleStaleRead, id, "returned %q for %q although %q had been acknowledged", value, key, acknowledged)
}

// RecordNoAnswer records an RPC whose client waited and got no answer.
func (c *Checker) RecordNoAnswer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(RuleOneAnswer, id, "received no answer")
}

// CheckAcknowledged checks at the end of a trial that each acknowledged write is in its tenant's
// final group.
func (c *Checker) CheckAcknowledged(f *Fleet, group func(key string) int64) (writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, all := range c.acknowledged {
		current := group(key)
		for _, entry := range all {
			writes++
			if !f.HasWrite(current, key, entry.id) {
				c.addViolation(RuleLostWrite, entry.id, "acknowledged for %q but not in group %d (executed in %d)", key, current, c.rpcs[entry.id].group)
			}
		}
	}
	return writes
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
