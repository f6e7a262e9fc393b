package versions

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// RPCStats is how RPCs under a version have fared at a driver since its start.
type RPCStats struct {
	Number       Number  `json:"number"`
	RPCs         uint64  `json:"rpcs"`
	Failed       uint64  `json:"bad"`    // of those, pushed back or aborted
	Served       uint64  `json:"served"` // of those
	LogSum       float64 `json:"log"`    // sum of the logarithms of the times of those served, nanoseconds
	LogSquareSum float64 `json:"squares"`
}

// RecordOutcome notes how an RPC under a version of a thing has ended for its client.
func (h *DriverState) RecordOutcome(of Resource, n Number, served, bad bool, took int64) {
	t := h.things[of]
	if t == nil || n == 0 {
		return
	}
	at := slices.IndexFunc(t.fares, func(f RPCStats) bool { return f.Number == n })
	if at < 0 {
		at, t.fares = len(t.fares), append(t.fares, RPCStats{Number: n})
	}
	f := &t.fares[at]
	f.RPCs++
	switch {
	case served:
		log := math.Log(float64(max(took, 1)))
		f.Served, f.LogSum, f.LogSquareSum = f.Served+1, f.LogSum+log, f.LogSquareSum+log*log
	case bad:
		f.Failed++
	}
}

// mostFares is how many versions' fares a driver keeps: what is acted on, what was, and what is tried.
const mostFares = 3

func (t *held) forgetFares() {
	slices.SortFunc(t.fares, func(a, b RPCStats) int { return cmp.Compare(b.Number, a.Number) })
	t.fares = t.fares[:min(len(t.fares), mostFares)]
}

// since is what came after an earlier look at the same version.
func (f RPCStats) since(before RPCStats) RPCStats {
	return RPCStats{f.Number, f.RPCs - before.RPCs, f.Failed - before.Failed, f.Served - before.Served, f.LogSum - before.LogSum, f.LogSquareSum - before.LogSquareSum}
}

// of is a version's fare among those of a driver.
func of(fares []RPCStats, n Number) RPCStats {
	if at := slices.IndexFunc(fares, func(f RPCStats) bool { return f.Number == n }); at >= 0 {
		return fares[at]
	}
	return RPCStats{Number: n}
}

// Trials are looked at so many times; the chance of a false alarm is divided among the looks and the two measures.
const (
	looks    = 4
	measures = 2
)

// fewest RPCs at a driver say something of it; and so many other drivers must be there to tell what is usual.
const (
	fewestRPCs   = 20
	fewestOthers = 3
)

// pair is one driver's fares before a trial and in it.
type pair struct{ before, during RPCStats }

// measure is one way to say how RPCs fare: a value, and its variance by chance. Both are logarithms, of odds and of times: what
// drivers differ in is a factor, and a few that have many bad ends do not hide what is usual.
type measure struct {
	of   func(f RPCStats) (value, variance float64, known bool)
	tell func(by float64) string
}

var judged = [measures]measure{
	{func(f RPCStats) (float64, float64, bool) {
		bad, other := float64(f.Failed)+0.5, float64(f.RPCs-f.Failed)+0.5 // who has seen none knows little, not that there are none
		return math.Log(bad / other), 1/bad + 1/other, f.RPCs >= fewestRPCs
	}, func(by float64) string {
		return fmt.Sprintf("%.3g times as many RPCs end badly for each that does not", math.Exp(by))
	}},
	{func(f RPCStats) (float64, float64, bool) {
		n := float64(f.Served)
		mean := f.LogSum / max(n, 1)
		return mean, max(f.LogSquareSum/max(n, 1)-mean*mean, 1e-9) / max(n, 1), f.Served >= fewestRPCs
	}, func(by float64) string { return fmt.Sprintf("RPCs take %.2f times as long", math.Exp(by)) }},
}

// change is how much worse a driver fares than before, by one measure, with the variance of that by chance.
func (m *measure) change(p pair, withBefore bool) (by, variance float64, known bool) {
	by, variance, known = m.of(p.during)
	if !known || !withBefore {
		return by, variance, known
	}
	was, more, known := m.of(p.before)
	return by - was, variance + more, known
}

// CompareCanaries is the test: whether the RPCs of those that try something fare worse than those of the others, each driver compared with
// itself before the trial where all were there long enough. What drivers differ in anyhow is learned from the others, so that
// a canary that happens to be at a busy place is not taken for a bad version; and what is worse by less than is borne passes, for
// RPCs of one driver that come one after another tell less than as many that are independent. It gives what is worse at the
// chance of a false alarm, empty for nothing, and whether there was enough to judge by.
func CompareCanaries(canaries, others []pair, bears, alarm float64) (what string, judgedBy bool) {
	for i := range judged {
		m := &judged[i]
		withBefore := all(m, canaries) && all(m, others)
		by, chance, known := m.compare(canaries, others, math.Log(bears), withBefore)
		if !known {
			continue
		}
		judgedBy = true
		if what == "" && chance < alarm/(looks*measures) {
			what = fmt.Sprintf("%s than at the others (by chance: %.1g)", m.tell(by), chance)
		}
	}
	return what, judgedBy
}

// all tells whether every driver was there before.
func all(m *measure, pairs []pair) bool {
	return !slices.ContainsFunc(pairs, func(p pair) bool { _, _, known := m.of(p.before); return !known })
}

// compare gives by how much canaries are worse than the others, and how likely that is if they are worse by no more than is
// borne.
func (m *measure) compare(canaries, others []pair, bears float64, withBefore bool) (by, chance float64, known bool) {
	ours, oursBy := m.changes(canaries, withBefore)
	theirs, theirsBy := m.changes(others, withBefore)
	if len(ours) == 0 || len(theirs) < fewestOthers {
		return 0, 1, false
	}
	few, many := float64(len(ours)), float64(len(theirs))
	mean, spread := stat.MeanVariance(theirs, nil)
	by = stat.Mean(ours, nil) - mean
	// The variance by chance alone is known; by what drivers differ beside that is learned from few, which costs certainty
	// (Welch and Satterthwaite's degrees of freedom).
	byChance := stat.Mean(oursBy, nil)/few + stat.Mean(theirsBy, nil)/many
	between := max(0, spread-stat.Mean(theirsBy, nil)) * (1/few + 1/many)
	whole := max(byChance+between, 1e-12)
	freedom := min(whole*whole*(many-1)/max(between*between, 1e-12), mostFreedom)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}
	return by, t.Survival((by - bears) / math.Sqrt(whole)), true
}

// mostFreedom is where Student's distribution is as good as the normal one.
const mostFreedom = 1000

func (m *measure) changes(pairs []pair, withBefore bool) (by, variance []float64) {
	for _, p := range pairs {
		if b, v, known := m.change(p, withBefore); known {
			by, variance = append(by, b), append(variance, v)
		}
	}
	return by, variance
}

// trial is what whoever acts for the council keeps of one.
type trial struct {
	began int64 // all canaries act since
	look  int   // that is next, from 1
	first map[Instance]RPCStats
}

// fares pairs what drivers said when the trial began with what they say now.
func (l *Controller) fares(v *Version, tr *trial, drivers []DriverStatus) (canaries, others []pair) {
	for _, d := range drivers {
		seen, told := l.sighting(v, d.Instance)
		first, there := tr.first[d.Instance]
		if !told || !d.MayAct {
			continue
		}
		if !there { // it is compared from here on
			tr.first[d.Instance] = of(seen.Stats, v.Base)
			continue
		}
		if slices.Contains(v.Canaries, d.Instance) {
			canaries = append(canaries, pair{first, of(seen.Stats, v.Number)})
		} else {
			others = append(others, pair{first, of(seen.Stats, v.Base).since(first)})
		}
	}
	return canaries, others
}

// watch looks at a trial whose canaries all act, and tells whether it is over and what speaks against the version.
func (l *Controller) watch(now int64, v *Version, tr *trial, drivers []DriverStatus) (over bool, against, judgement string) {
	if now-tr.began < v.Plan.TrialTime*int64(tr.look)/looks {
		return false, "", ""
	}
	canaries, others := l.fares(v, tr, drivers)
	worse, enough := CompareCanaries(canaries, others, cmp.Or(v.Plan.ToleratedRatio, usualBears), cmp.Or(v.Plan.FalseAlarmRate, usualAlarm))
	if worse != "" {
		return true, "at its canaries " + worse, ""
	}
	if tr.look++; tr.look <= looks {
		return false, "", ""
	}
	if !enough {
		return true, "", fmt.Sprintf("too few RPCs to judge its canaries by: %d canaries, %d others", len(canaries), len(others))
	}
	return true, "", fmt.Sprintf("its canaries fare no worse: %d canaries, %d others", len(canaries), len(others))
}

// What a plan that does not say means: the chance of withdrawing a sound version, and how many times as bad is borne.
const (
	usualAlarm = 0.01
	usualBears = 1.25
)
