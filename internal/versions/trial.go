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
func (d *DriverState) RecordOutcome(resource Resource, number Number, isServed, isFailed bool, duration int64) {
	state := d.resources[resource]
	if state == nil || number == 0 {
		return
	}
	i := slices.IndexFunc(state.stats, func(stats RPCStats) bool { return stats.Number == number })
	if i < 0 {
		i, state.stats = len(state.stats), append(state.stats, RPCStats{Number: number})
	}
	stats := &state.stats[i]
	stats.RPCs++
	switch {
	case isServed:
		logDuration := math.Log(float64(max(duration, 1)))
		stats.Served, stats.LogSum, stats.LogSquareSum = stats.Served+1, stats.LogSum+logDuration, stats.LogSquareSum+logDuration*logDuration
	case isFailed:
		stats.Failed++
	}
}

// maxStats is how many versions' fares a driver keeps: what is acted on, what was, and what is tried.
const maxStats = 3

func (s *resourceState) trimStats() {
	slices.SortFunc(s.stats, func(a, b RPCStats) int { return cmp.Compare(b.Number, a.Number) })
	s.stats = s.stats[:min(len(s.stats), maxStats)]
}

// sub is what came after an earlier look at the same version.
func (s RPCStats) sub(baseline RPCStats) RPCStats {
	return RPCStats{s.Number, s.RPCs - baseline.RPCs, s.Failed - baseline.Failed, s.Served - baseline.Served, s.LogSum - baseline.LogSum, s.LogSquareSum - baseline.LogSquareSum}
}

// statsOf is a version's fare among those of a driver.
func statsOf(all []RPCStats, number Number) RPCStats {
	if i := slices.IndexFunc(all, func(s RPCStats) bool { return s.Number == number }); i >= 0 {
		return all[i]
	}
	return RPCStats{Number: number}
}

// Trials are looked at so many times; the chance of a false alarm is divided among the looks and the two measures.
const (
	trialChecks  = 4
	measureCount = 2
)

// fewest RPCs at a driver say something of it; and so many other drivers must be there to tell what is usual.
const (
	minRPCs   = 20
	minOthers = 3
)

// comparison is one driver's fares before a trial and in it.
type comparison struct{ baseline, during RPCStats }

// measure is one way to say how RPCs fare: a value, and its variance by chance. Both are logarithms, of odds and of times: what
// drivers differ in is a factor, and a few that have many bad ends do not hide what is usual.
type measure struct {
	estimate func(f RPCStats) (value, variance float64, known bool)
	describe func(by float64) string
}

var measures = [measureCount]measure{
	{func(f RPCStats) (float64, float64, bool) {
		bad, other := float64(f.Failed)+0.5, float64(f.RPCs-f.Failed)+0.5 // who has seen none knows little, not that there are none
		return math.Log(bad / other), 1/bad + 1/other, f.RPCs >= minRPCs
	}, func(by float64) string {
		return fmt.Sprintf("%.3g times as many RPCs end badly for each that does not", math.Exp(by))
	}},
	{func(f RPCStats) (float64, float64, bool) {
		n := float64(f.Served)
		mean := f.LogSum / max(n, 1)
		return mean, max(f.LogSquareSum/max(n, 1)-mean*mean, 1e-9) / max(n, 1), f.Served >= minRPCs
	}, func(by float64) string { return fmt.Sprintf("RPCs take %.2f times as long", math.Exp(by)) }},
}

// change is how much worse a driver fares than before, by one measure, with the variance of that by chance.
func (m *measure) change(c comparison, withBefore bool) (increase, variance float64, isKnown bool) {
	increase, variance, isKnown = m.estimate(c.during)
	if !isKnown || !withBefore {
		return increase, variance, isKnown
	}
	baseline, baselineVariance, isKnown := m.estimate(c.baseline)
	return increase - baseline, variance + baselineVariance, isKnown
}

// CompareCanaries is the test: whether the RPCs of those that try something fare worse than those of the others, each driver compared with
// itself before the trial where all were there long enough. What drivers differ in anyhow is learned from the others, so that
// a canary that happens to be at a busy place is not taken for a bad version; and what is worse by less than is borne passes, for
// RPCs of one driver that come one after another tell less than as many that are independent. It gives what is worse at the
// chance of a false alarm, empty for nothing, and whether there was enough to judge by.
func CompareCanaries(canaries, others []comparison, toleratedRatio, falseAlarmRate float64) (finding string, isConclusive bool) {
	for i := range measures {
		m := &measures[i]
		withBefore := allHaveBaseline(m, canaries) && allHaveBaseline(m, others)
		increase, probability, isKnown := m.compare(canaries, others, math.Log(toleratedRatio), withBefore)
		if !isKnown {
			continue
		}
		isConclusive = true
		if finding == "" && probability < falseAlarmRate/(trialChecks*measureCount) {
			finding = fmt.Sprintf("%s than at the others (by chance: %.1g)", m.describe(increase), probability)
		}
	}
	return finding, isConclusive
}

// allHaveBaseline tells whether every driver was there before.
func allHaveBaseline(m *measure, drivers []comparison) bool {
	return !slices.ContainsFunc(drivers, func(c comparison) bool { _, _, isKnown := m.estimate(c.baseline); return !isKnown })
}

// compare gives by how much canaries are worse than the others, and how likely that is if they are worse by no more than is
// borne.
func (m *measure) compare(canaries, others []comparison, tolerated float64, withBefore bool) (increase, probability float64, isKnown bool) {
	canaryChanges, canaryVariances := m.changes(canaries, withBefore)
	otherChanges, otherVariances := m.changes(others, withBefore)
	if len(canaryChanges) == 0 || len(otherChanges) < minOthers {
		return 0, 1, false
	}
	canaryCount, otherCount := float64(len(canaryChanges)), float64(len(otherChanges))
	mean, totalVariance := stat.MeanVariance(otherChanges, nil)
	increase = stat.Mean(canaryChanges, nil) - mean
	// The variance by chance alone is known; by what drivers differ beside that is learned from few, which costs certainty
	// (Welch and Satterthwaite's degrees of freedom).
	samplingVariance := stat.Mean(canaryVariances, nil)/canaryCount + stat.Mean(otherVariances, nil)/otherCount
	driverVariance := max(0, totalVariance-stat.Mean(otherVariances, nil)) * (1/canaryCount + 1/otherCount)
	variance := max(samplingVariance+driverVariance, 1e-12)
	degreesOfFreedom := min(variance*variance*(otherCount-1)/max(driverVariance*driverVariance, 1e-12), maxDegreesOfFreedom)
	distribution := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}
	return increase, distribution.Survival((increase - tolerated) / math.Sqrt(variance)), true
}

// maxDegreesOfFreedom is where Student's distribution is as good as the normal one.
const maxDegreesOfFreedom = 1000

func (m *measure) changes(drivers []comparison, withBefore bool) (increases, variances []float64) {
	for _, c := range drivers {
		if increase, variance, isKnown := m.change(c, withBefore); isKnown {
			increases, variances = append(increases, increase), append(variances, variance)
		}
	}
	return increases, variances
}

// trial is what whoever acts for the council keeps of one.
type trial struct {
	startedAt int64 // all canaries act since
	check     int   // that is next, from 1
	baselines map[Instance]RPCStats
}

// comparisons pairs what drivers said when the trial began with what they say now.
func (l *Controller) comparisons(v *Version, tr *trial, drivers []DriverStatus) (canaries, others []comparison) {
	for _, d := range drivers {
		report, isReported := l.currentReport(v, d.Instance)
		baseline, hasBaseline := tr.baselines[d.Instance]
		if !isReported || !d.MayAct {
			continue
		}
		if !hasBaseline { // it is compared from here on
			tr.baselines[d.Instance] = statsOf(report.Stats, v.Base)
			continue
		}
		if slices.Contains(v.Canaries, d.Instance) {
			canaries = append(canaries, comparison{baseline, statsOf(report.Stats, v.Number)})
		} else {
			others = append(others, comparison{baseline, statsOf(report.Stats, v.Base).sub(baseline)})
		}
	}
	return canaries, others
}

// evaluateTrial looks at a trial whose canaries all act, and tells whether it is over and what speaks against the version.
func (l *Controller) evaluateTrial(now int64, v *Version, tr *trial, drivers []DriverStatus) (isOver bool, problem, result string) {
	if now-tr.startedAt < v.Plan.TrialTime*int64(tr.check)/trialChecks {
		return false, "", ""
	}
	canaries, others := l.comparisons(v, tr, drivers)
	finding, isConclusive := CompareCanaries(canaries, others, cmp.Or(v.Plan.ToleratedRatio, defaultToleratedRatio), cmp.Or(v.Plan.FalseAlarmRate, defaultFalseAlarmRate))
	if finding != "" {
		return true, "at its canaries " + finding, ""
	}
	if tr.check++; tr.check <= trialChecks {
		return false, "", ""
	}
	if !isConclusive {
		return true, "", fmt.Sprintf("too few RPCs to judge its canaries by: %d canaries, %d others", len(canaries), len(others))
	}
	return true, "", fmt.Sprintf("its canaries fare no worse: %d canaries, %d others", len(canaries), len(others))
}

// What a plan that does not say means: the chance of withdrawing a sound version, and how many times as bad is borne.
const (
	defaultFalseAlarmRate = 0.01
	defaultToleratedRatio = 1.25
)
