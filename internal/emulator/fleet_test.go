package emulator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestFleet() (*Fleet, *Checker) {
	checker := NewChecker()
	return NewFleet(Config{Groups: 2, Members: 3, Cores: 1, QueueLimit: 2, ServiceTime: 10 * millisecond, ServiceSigma: 0.1, ReplicaLag: 20 * millisecond, FillLag: 50 * millisecond,
		Seed: 1, ColdCapacity: 0.2, WarmUpTime: 4 * second, OverloadFactor: 2, DrainGrace: second}, checker), checker
}

func violatedRules(checker *Checker) (rules []string) {
	for _, violation := range checker.Violations() {
		rules = append(rules, violation.Rule)
	}
	return rules
}

// The checker must find each violation, and none in a correct run.
func TestCheckerFindsEachViolation(t *testing.T) {
	write := func(id, key string) Statement { return Statement{ID: id, Key: key, Write: true} }
	for name, run := range map[string]func(fleet *Fleet, checker *Checker){
		RuleDuplicateEffect: func(fleet *Fleet, checker *Checker) { // a second attempt although the first may have been executed
			checker.RecordSent("1", "t/k", true)
			fleet.Admit(second, 0, write("1", "t/k"))
			fleet.Admit(second, 0, write("1", "t/k"))
		},
		RuleDuplicateEffect + " in two cells": func(fleet *Fleet, checker *Checker) {
			fleet.Execute(second, 0, write("1", "t/k"))
			fleet.Execute(second, 3, write("1", "t/k"))
		},
		RuleOneAnswer: func(fleet *Fleet, checker *Checker) {
			checker.RecordSent("1", "t/k", false)
			checker.RecordAnswer("1", false)
			checker.RecordAnswer("1", true)
		},
		RuleOneAnswer + ", none": func(fleet *Fleet, checker *Checker) { checker.RecordNoAnswer("1") },
		RuleStaleRead:            func(fleet *Fleet, checker *Checker) { checker.Read("3", "t/k", "1", "2") },
		RuleLostWrite: func(fleet *Fleet, checker *Checker) { // acknowledged in one group, but the tenant is in another
			checker.RecordSent("1", "t/k", true)
			fleet.Execute(second, 0, write("1", "t/k"))
			checker.RecordAnswer("1", true)
			require.Equal(t, 1, checker.CheckAcknowledged(fleet, func(string) int64 { return 2 }))
		},
		RuleLostWrite + ", never ran": func(fleet *Fleet, checker *Checker) {
			checker.RecordSent("1", "t/k", true)
			checker.RecordAnswer("1", true)
		},
		RuleDraining: func(fleet *Fleet, checker *Checker) {
			fleet.SetDraining(second, 1, true)
			fleet.Admit(2*second+millisecond, 1, Statement{ID: "1", Key: "t/k"})
		},
		RuleColdOverload: func(fleet *Fleet, checker *Checker) {
			fleet.Restart(second, 1)
			for i := range 200 { // it can execute about 80 in two seconds
				fleet.Admit(second+int64(i)*millisecond, 1, Statement{ID: fmt.Sprint(i), Key: "t/k"})
			}
		},
	} {
		fleet, checker := newTestFleet()
		run(fleet, checker)
		require.NotEmpty(t, violatedRules(checker), name)
		require.Contains(t, name, violatedRules(checker)[0])
	}
	fleet, checker := newTestFleet()
	checker.RecordSent("1", "t/k", true)
	_, admission := fleet.Admit(second, 1, write("1", "t/k"))
	require.Equal(t, NotPrimary, admission)
	fleet.Admit(second, 0, write("1", "t/k"))
	fleet.Execute(second, 0, write("1", "t/k"))
	checker.RecordAnswer("1", true)
	checker.Read("2", "t/k", "1", "1")
	fleet.SetDraining(second, 1, true)
	fleet.Admit(2*second, 1, Statement{ID: "3", Key: "t/k"})
	fleet.Restart(2*second, 2)
	for i := range 60 {
		fleet.Admit(2*second+int64(i)*30*millisecond, 2, Statement{ID: fmt.Sprint(i + 10), Key: "t/k"})
	}
	checker.CheckAcknowledged(fleet, func(string) int64 { return 1 })
	require.Empty(t, violatedRules(checker))
}

// Members must queue and reject statements, and replicas must return only what they have applied.
func TestMemberQueueAndReplication(t *testing.T) {
	fleet, _ := newTestFleet()
	read := func(id string) Statement { return Statement{ID: id, Key: "t/k"} }
	first, _ := fleet.Admit(second, 1, read("1"))
	next, _ := fleet.Admit(second, 1, read("2"))
	require.Greater(t, next, first, "a core executes one statement at a time")
	fleet.Admit(second, 1, read("3"))
	_, admission := fleet.Admit(second, 1, read("4"))
	require.Equal(t, QueueFull, admission)
	_, admission = fleet.Admit(first+millisecond, 1, read("5"))
	require.Equal(t, Admitted, admission, "one queued statement has started")
	fleet.PauseUntil(2, 5*second)
	done, _ := fleet.Admit(second, 2, read("6"))
	require.Greater(t, done, 5*second)
	fleet.Execute(second, 0, Statement{ID: "a", Key: "t/k", Write: true})
	require.Equal(t, "a", fleet.Execute(second, 0, read("7")).Value)
	require.Empty(t, fleet.Execute(second, 1, read("8")).Value, "the replica has not applied the write yet")
	require.Equal(t, "a", fleet.Execute(second+50*millisecond, 1, read("9")).Value)
	fleet.SetLag(second+50*millisecond, 1, 10*second)
	require.Equal(t, "a", fleet.Execute(second+60*millisecond, 1, read("10")).Value, "applied writes stay visible")
	before := fleet.Status(second+60*millisecond, 1).Position
	require.Equal(t, before, fleet.Status(2*second, 1).Position)
}

// A group being filled must return the tenant's data up to the position of the fill, and after the
// fill up to the position at which it ended.
func TestFillVisibility(t *testing.T) {
	fleet, _ := newTestFleet()
	write := func(now int64, id string) { fleet.Execute(now, 0, Statement{ID: id, Key: "t/k", Write: true}) }
	read := func(now int64, key string) string { return fleet.Execute(now, 3, Statement{ID: "r", Key: key}).Value }
	write(second, "a")
	require.Empty(t, read(second+millisecond, "t/k"))
	fleet.BeginFill("t", []int64{1}, []int64{2})
	require.Equal(t, second, fleet.Status(second+50*millisecond, 3).Position)
	require.Empty(t, read(second+40*millisecond, "t/k"))
	require.Equal(t, "a", read(second+50*millisecond, "t/k"))
	require.Empty(t, read(second+50*millisecond, "u/k"), "the key belongs to another tenant")
	fleet.DiscardFill("t")
	require.Empty(t, read(2*second, "t/k"))
	fleet.BeginFill("t", []int64{1}, []int64{2})
	write(2*second, "b")
	write(3*second, "c")
	fleet.EndFill("t", 2*second)
	require.Equal(t, "b", read(4*second, "t/k"), "writes after the end of the fill are not copied")
	require.True(t, fleet.HasWrite(2, "t/k", "a"))
	require.False(t, fleet.HasWrite(2, "t/k", "c"))
	require.Equal(t, 4*second, fleet.Status(4*second, 3).Position)
}
