package versions

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// RPCStats sums up the RPCs of a driver under one version since the driver started.
type RPCStats struct {
	Number       Number  `json:"number"`
	RPCs         uint64  `json:"rpcs"`
	Failed       uint64  `json:"bad"` // pushed back or aborted
	Served       uint64  `json:"served"`
	LogSum       float64 `json:"log"`     // sum of ln(nanoseconds) of the served RPCs
	LogSquareSum float64 `json:"squares"` // sum of ln(nanoseconds) squared
}

// RecordOutcome counts an RPC under a version of a resource by how it ended for its client.
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
		stats.Served, stats.LogSum, stats.LogSquareSum = stats.Served+1, stats.LogSum+logDuration,
			stats.LogSquareSum+logDuration*logDuration
	case isFailed:
		stats.Failed++
	}
}

// maxStats is the number of versions whose statistics a driver keeps: the current, the previous and
// the new one.
const maxStats = 3

// trimStats keeps the statistics of the latest versions.
func (s *resourceState) trimStats() {
	slices.SortFunc(s.stats, func(a, b RPCStats) int { return cmp.Compare(b.Number, a.Number) })
	s.stats = s.stats[:min(len(s.stats), maxStats)]
}

// sub returns the increase since an earlier state of the same statistics.
func (s RPCStats) sub(baseline RPCStats) RPCStats {
	return RPCStats{s.Number, s.RPCs - baseline.RPCs, s.Failed - baseline.Failed, s.Served - baseline.Served,
		s.LogSum - baseline.LogSum, s.LogSquareSum - baseline.LogSquareSum}
}

// statsOf returns the statistics of a version, which are zero if there are none.
func statsOf(all []RPCStats, number Number) RPCStats {
	if i := slices.IndexFunc(all, func(s RPCStats) bool { return s.Number == number }); i >= 0 {
		return all[i]
	}
	return RPCStats{Number: number}
}

// The false alarm rate is divided by the number of tests (Bonferroni): one for each check and
// measure.
const (
	trialChecks  = 4 // in the course of a trial
	measureCount = 2
)

// Minimum data for a comparison.
const (
	minRPCs   = 20 // of a driver
	minOthers = 3  // drivers that are not canaries, to estimate how much drivers differ
)

// comparison holds the statistics of one driver before and during a trial.
type comparison struct{ baseline, during RPCStats }

// measure estimates one property of RPCs with its sampling variance. Values are logarithms (of
// failure odds, of latencies), as drivers differ by factors.
type measure struct {
	estimate func(s RPCStats) (value, variance float64, isKnown bool)
	describe func(increase float64) string
}

var measures = [measureCount]measure{
	{func(s RPCStats) (float64, float64, bool) {
		// Adding 0.5 keeps the odds finite if no RPC, or each, has failed.
		failed, succeeded := float64(s.Failed)+0.5, float64(s.RPCs-s.Failed)+0.5
		return math.Log(failed / succeeded), 1/failed + 1/succeeded, s.RPCs >= minRPCs
	}, func(increase float64) string {
		return fmt.Sprintf("%.3g times as many RPCs end badly for each that does not", math.Exp(increase))
	}},
	{func(s RPCStats) (float64, float64, bool) {
		n := float64(s.Served)
		mean := s.LogSum / max(n, 1)
		return mean, max(s.LogSquareSum/max(n, 1)-mean*mean, 1e-9) / max(n, 1), s.Served >= minRPCs
	}, func(increase float64) string { return fmt.Sprintf("RPCs take %.2f times as long", math.Exp(increase)) }},
}

// change returns the value of a driver during the trial, less its baseline if withBaseline, and the
// sampling variance.
func (m *measure) change(c comparison, withBaseline bool) (increase, variance float64, isKnown bool) {
	increase, variance, isKnown = m.estimate(c.during)
	if !isKnown || !withBaseline {
		return increase, variance, isKnown
	}
	baseline, baselineVariance, isKnown := m.estimate(c.baseline)
	return increase - baseline, variance + baselineVariance, isKnown
}

// CompareCanaries tests whether the RPCs of canaries fail more often or take longer than those of
// the other drivers, by more than the tolerated ratio. If all drivers have a baseline, each is
// compared with its own. Natural differences between drivers are estimated from the others, so that
// a canary under high load does not fail the test. The finding is empty if nothing is significantly
// worse; isConclusive is false if there was too little data.
func CompareCanaries(canaries, others []comparison, toleratedRatio, falseAlarmRate float64) (finding string, isConclusive bool) {
	for i := range measures {
		m := &measures[i]
		withBaseline := allHaveBaseline(m, canaries) && allHaveBaseline(m, others)
		increase, probability, isKnown := m.compare(canaries, others, math.Log(toleratedRatio), withBaseline)
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

// allHaveBaseline reports whether every driver has enough data from before the trial.
func allHaveBaseline(m *measure, drivers []comparison) bool {
	return !slices.ContainsFunc(drivers, func(c comparison) bool { _, _, isKnown := m.estimate(c.baseline); return !isKnown })
}

// compare returns by how much canaries are worse than the others, and the probability of at least
// that difference if the true one is the tolerated one.
func (m *measure) compare(canaries, others []comparison, tolerated float64, withBaseline bool) (
	increase, probability float64, isKnown bool) {
	canaryChanges, canaryVariances := m.changes(canaries, withBaseline)
	otherChanges, otherVariances := m.changes(others, withBaseline)
	if len(canaryChanges) == 0 || len(otherChanges) < minOthers {
		return 0, 1, false
	}
	canaryCount, otherCount := float64(len(canaryChanges)), float64(len(otherChanges))
	mean, totalVariance := stat.MeanVariance(otherChanges, nil)
	increase = stat.Mean(canaryChanges, nil) - mean
	// The sampling variance is known, while the variance between drivers is estimated from few of
	// them, which lowers the degrees of freedom (Welch-Satterthwaite equation).
	samplingVariance := stat.Mean(canaryVariances, nil)/canaryCount + stat.Mean(otherVariances, nil)/otherCount
	driverVariance := max(0, totalVariance-stat.Mean(otherVariances, nil)) * (1/canaryCount + 1/otherCount)
	variance := max(samplingVariance+driverVariance, 1e-12)
	degreesOfFreedom := min(variance*variance*(otherCount-1)/max(driverVariance*driverVariance, 1e-12), maxDegreesOfFreedom)
	distribution := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}
	return increase, distribution.Survival((increase - tolerated) / math.Sqrt(variance)), true
}

// maxDegreesOfFreedom is where Student's t-distribution is practically the normal distribution.
const maxDegreesOfFreedom = 1000

// changes returns the changes and sampling variances of the drivers that have enough data.
func (m *measure) changes(drivers []comparison, withBaseline bool) (increases, variances []float64) {
	for _, c := range drivers {
		if increase, variance, isKnown := m.change(c, withBaseline); isKnown {
			increases, variances = append(increases, increase), append(variances, variance)
		}
	}
	return increases, variances
}

// trial is the leader's state of a canary trial.
type trial struct {
	startedAt int64 // when all canaries had activated the version
	check     int   // number of the next check, from 1
	baselines map[Instance]RPCStats
}

// comparisons pairs the baselines of drivers with their current statistics.
func (c *Controller) comparisons(v *Version, tr *trial, drivers []DriverStatus) (canaries, others []comparison) {
	for _, d := range drivers {
		report, isReported := c.currentReport(v, d.Instance)
		baseline, hasBaseline := tr.baselines[d.Instance]
		if !isReported || !d.MayAct {
			continue
		}
		if !hasBaseline { // its baseline begins here
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

// evaluateTrial runs the next check of a trial if it is due. It returns whether the trial is over,
// with the problem if the version failed or the result if it passed.
func (c *Controller) evaluateTrial(now int64, v *Version, tr *trial, drivers []DriverStatus) (
	isOver bool, problem, result string) {
	if now-tr.startedAt < v.Plan.TrialTime*int64(tr.check)/trialChecks {
		return false, "", ""
	}
	canaries, others := c.comparisons(v, tr, drivers)
	finding, isConclusive := CompareCanaries(canaries, others, cmp.Or(v.Plan.ToleratedRatio, defaultToleratedRatio),
		cmp.Or(v.Plan.FalseAlarmRate, defaultFalseAlarmRate))
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

// Defaults for plans that leave these at 0.
const (
	defaultFalseAlarmRate = 0.01
	defaultToleratedRatio = 1.25
)
