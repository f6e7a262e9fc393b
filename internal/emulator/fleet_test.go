package emulator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func trial() (*Fleet, *Checker) {
	s := NewChecker()
	return NewFleet(Config{Groups: 2, Members: 3, Cores: 1, QueueLimit: 2, ServiceTime: 10 * milli, ServiceSigma: 0.1, ReplicaLag: 20 * milli, FillLag: 50 * milli,
		Seed: 1, ColdCapacity: 0.2, WarmUpTime: 4 * second, OverloadFactor: 2, DrainGrace: second}, s), s
}

func broken(s *Checker) (rules []string) {
	for _, b := range s.Violations() {
		rules = append(rules, b.Rule)
	}
	return rules
}

// The checker must find each breach; it finds none where there is none.
func TestCheckerFindsEachViolation(t *testing.T) {
	write := func(id, key string) Statement { return Statement{ID: id, Key: key, Write: true} }
	for name, do := range map[string]func(f *Fleet, s *Checker){
		RuleDuplicateEffect: func(f *Fleet, s *Checker) { // a second call-out though the first may have run
			s.RecordSent("1", "t/k", true)
			f.Admit(second, 0, write("1", "t/k"))
			f.Admit(second, 0, write("1", "t/k"))
		},
		RuleDuplicateEffect + " in two cells": func(f *Fleet, s *Checker) {
			f.Execute(second, 0, write("1", "t/k"))
			f.Execute(second, 3, write("1", "t/k"))
		},
		RuleOneAnswer: func(f *Fleet, s *Checker) {
			s.RecordSent("1", "t/k", false)
			s.RecordAnswer("1", false)
			s.RecordAnswer("1", true)
		},
		RuleOneAnswer + ", none": func(f *Fleet, s *Checker) { s.RecordNoAnswer("1") },
		RuleStaleRead:            func(f *Fleet, s *Checker) { s.Read("3", "t/k", "1", "2") },
		RuleLostWrite: func(f *Fleet, s *Checker) { // acknowledged in one cell, and the tenant is in another
			s.RecordSent("1", "t/k", true)
			f.Execute(second, 0, write("1", "t/k"))
			s.RecordAnswer("1", true)
			require.Equal(t, 1, s.CheckAcknowledged(f, func(string) int64 { return 2 }))
		},
		RuleLostWrite + ", never ran": func(f *Fleet, s *Checker) {
			s.RecordSent("1", "t/k", true)
			s.RecordAnswer("1", true)
		},
		RuleDraining: func(f *Fleet, s *Checker) {
			f.SetDraining(second, 1, true)
			f.Admit(2*second+milli, 1, Statement{ID: "1", Key: "t/k"})
		},
		RuleColdOverload: func(f *Fleet, s *Checker) {
			f.Restart(second, 1)
			for i := range 200 { // it bears about 80 in two seconds
				f.Admit(second+int64(i)*milli, 1, Statement{ID: fmt.Sprint(i), Key: "t/k"})
			}
		},
	} {
		f, s := trial()
		do(f, s)
		require.NotEmpty(t, broken(s), name)
		require.Contains(t, name, broken(s)[0])
	}
	f, s := trial()
	s.RecordSent("1", "t/k", true)
	_, refused := f.Admit(second, 1, write("1", "t/k"))
	require.Equal(t, NotPrimary, refused)
	f.Admit(second, 0, write("1", "t/k"))
	f.Execute(second, 0, write("1", "t/k"))
	s.RecordAnswer("1", true)
	s.Read("2", "t/k", "1", "1")
	f.SetDraining(second, 1, true)
	f.Admit(2*second, 1, Statement{ID: "3", Key: "t/k"})
	f.Restart(2*second, 2)
	for i := range 60 {
		f.Admit(2*second+int64(i)*30*milli, 2, Statement{ID: fmt.Sprint(i + 10), Key: "t/k"})
	}
	s.CheckAcknowledged(f, func(string) int64 { return 1 })
	require.Empty(t, broken(s))
}

// Members queue, refuse and tire as they should, and show no more than they have.
func TestMemberQueueAndReplication(t *testing.T) {
	f, _ := trial()
	read := func(id string) Statement { return Statement{ID: id, Key: "t/k"} }
	first, _ := f.Admit(second, 1, read("1"))
	next, _ := f.Admit(second, 1, read("2"))
	require.Greater(t, next, first, "one core does one after another")
	f.Admit(second, 1, read("3"))
	_, refused := f.Admit(second, 1, read("4"))
	require.Equal(t, QueueFull, refused)
	_, refused = f.Admit(first+milli, 1, read("5"))
	require.Equal(t, Admitted, refused, "one has begun meanwhile")
	f.PauseUntil(2, 5*second)
	done, _ := f.Admit(second, 2, read("6"))
	require.Greater(t, done, 5*second)
	f.Execute(second, 0, Statement{ID: "a", Key: "t/k", Write: true})
	require.Equal(t, "a", f.Execute(second, 0, read("7")).Value)
	require.Empty(t, f.Execute(second, 1, read("8")).Value, "a replica lags")
	require.Equal(t, "a", f.Execute(second+50*milli, 1, read("9")).Value)
	f.SetLag(second+50*milli, 1, 10*second)
	require.Equal(t, "a", f.Execute(second+60*milli, 1, read("10")).Value, "what it has it keeps")
	before := f.Status(second+60*milli, 1).Position
	require.Equal(t, before, f.Status(2*second, 1).Position)
}

// A group that is filled shows a tenant's data up to what has come, and after the end up to the cut.
func TestFillVisibility(t *testing.T) {
	f, _ := trial()
	write := func(now int64, id string) { f.Execute(now, 0, Statement{ID: id, Key: "t/k", Write: true}) }
	shows := func(now int64, key string) string { return f.Execute(now, 3, Statement{ID: "r", Key: key}).Value }
	write(second, "a")
	require.Empty(t, shows(second+milli, "t/k"))
	f.BeginFill("t", []int64{1}, []int64{2})
	require.Equal(t, second, f.Status(second+50*milli, 3).Position)
	require.Empty(t, shows(second+40*milli, "t/k"))
	require.Equal(t, "a", shows(second+50*milli, "t/k"))
	require.Empty(t, shows(second+50*milli, "u/k"), "another tenant's")
	f.DiscardFill("t")
	require.Empty(t, shows(2*second, "t/k"))
	f.BeginFill("t", []int64{1}, []int64{2})
	write(2*second, "b")
	write(3*second, "c")
	f.EndFill("t", 2*second)
	require.Equal(t, "b", shows(4*second, "t/k"), "nothing after the cut")
	require.True(t, f.HasWrite(2, "t/k", "a"))
	require.False(t, f.HasWrite(2, "t/k", "c"))
	require.Equal(t, 4*second, f.Status(4*second, 3).Position)
}
