package versions

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RecordReports takes in what a driver's start says of all things.
func (l *Controller) RecordReports(instance Instance, reports []Report) {
	latest := &instanceReports{start: instance.Start, reports: make(map[Resource]Report, len(reports))}
	for _, report := range reports {
		latest.reports[report.Resource] = report
	}
	l.reports[instance.Name] = latest
}

// reportsOf is what a driver's start said last, nil for nothing.
func (l *Controller) reportsOf(instance Instance) *instanceReports {
	if latest := l.reports[instance.Name]; latest != nil && latest.start == instance.Start {
		return latest
	}
	return nil
}

// Assignments are what a driver is told, of the things of which it does not follow the newest order; what it said stands in
// Say. A driver that is new is told of all.
func (l *Controller) Assignments(instance Instance) (assignments []Assignment) {
	reported := l.reportsOf(instance)
	for _, resource := range l.Resources() {
		stored := l.histories[resource]
		v := stored.latest()
		report := Report{}
		if reported != nil {
			report = reported.reports[resource]
		}
		if report.Epoch == v.Epoch && report.Stored >= l.versionToStore(stored) {
			continue
		}
		assignment := Assignment{Resource: resource, Epoch: v.Epoch, Active: l.activeVersion(stored, instance), Allowed: v.allowed(), Valid: v.valid(), Stored: l.versionToStore(stored)}
		if stored := stored.find(assignment.Stored); stored != nil {
			assignment.Digest = stored.Digest
			if report.Stored != assignment.Stored {
				assignment.Text = stored.Text
			}
		}
		if active := stored.find(assignment.Active); active != nil && assignment.Active != assignment.Stored && report.Active != assignment.Active {
			assignment.ActiveText = active.Text
		}
		assignments = append(assignments, assignment)
	}
	return assignments
}

// allowed is the version that a driver may still act on that does not act yet on what it is told to.
func (v *Version) allowed() Number {
	switch {
	case v.Plan.Exclusive || v.Stage.isFinal():
		return 0
	case v.Stage == StageRollingBack:
		return v.Number
	}
	return v.Base
}

// versionToStore is the version whose text all are to have.
func (l *Controller) versionToStore(h *history) Number {
	v := h.latest()
	if v.Stage == StageRollingBack || v.Stage == StageRolledBack {
		return v.Base
	}
	return v.Number
}

// activeVersion is the version that a driver is to act on.
func (l *Controller) activeVersion(h *history, instance Instance) Number {
	switch v := h.latest(); v.Stage {
	case StageAnnounced, StageRollingBack, StageRolledBack:
		return v.Base
	case StageCanary:
		if slices.Contains(v.Canaries, instance) {
			return v.Number
		}
		return v.Base
	case StageStopping:
		return 0
	default:
		return v.Number
	}
}

// Step proposes the next step of a version that is ready for one, or nothing. Whoever drives it calls again until nothing
// is proposed.
func (l *Controller) Step(now int64, drivers []DriverStatus) []Record {
	for _, resource := range l.Resources() {
		v := l.histories[resource].latest()
		if v.Stage.isFinal() {
			continue
		}
		if next, ready := l.stepVersion(now, v, drivers); ready {
			return []Record{next}
		}
	}
	return nil
}

// stepVersion is the step that a version is ready for: the table at Stage.
func (l *Controller) stepVersion(now int64, v *Version, drivers []DriverStatus) (Record, bool) {
	if l.stageStarts[v.Resource].epoch != v.Epoch {
		l.stageStarts[v.Resource] = stageStart{epoch: v.Epoch, at: now}
	}
	if v.Stage == StageCanary {
		return l.stepCanaryTrial(now, v, drivers)
	}
	evidence, isReady := l.allFinishedStage(v, drivers)
	if !isReady {
		return Record{}, false
	}
	nextStage := map[Stage]Stage{StageAnnounced: StageActivating, StageStopping: StageActivating, StageActivating: StageDraining, StageDraining: StageCompleted, StageRollingBack: StageRolledBack}[v.Stage]
	chosen := chooseCanaries(v, drivers)
	switch {
	case v.Stage == StageAnnounced && v.Plan.Exclusive:
		nextStage = StageStopping
	case v.Stage == StageAnnounced && len(chosen) > 0:
		nextStage = StageCanary
	}
	next := l.nextRecord(now, v, nextStage, v.Reason, &evidence)
	if nextStage == StageCanary {
		next.Version.Canaries = chosen
	}
	return next, true
}

// stepCanaryTrial sees how canaries fare.
func (l *Controller) stepCanaryTrial(now int64, v *Version, drivers []DriverStatus) (Record, bool) {
	active := 0
	for _, canary := range v.Canaries {
		at := slices.IndexFunc(drivers, func(p DriverStatus) bool { return p.Instance == canary })
		if at < 0 || !drivers[at].MayAct {
			return l.nextRecord(now, v, StageRollingBack, fmt.Sprintf("canary %s, start %d, has failed: its lease ran out or it started anew", canary.Name,
				canary.Start), nil), true
		}
		if drivers[at].IsUnreachable {
			return l.nextRecord(now, v, StageRollingBack, fmt.Sprintf("canary %s, start %d, has failed: most of its fellows do not hear it", canary.Name, canary.Start),
				nil), true
		}
		report, isReported := l.currentReport(v, canary)
		switch {
		case isReported && report.Failure != "":
			return l.nextRecord(now, v, StageRollingBack, fmt.Sprintf("canary %s can't act on it: %s", canary.Name, report.Failure), nil), true
		case isReported && report.Active == v.Number:
			active++
		}
	}
	if active < len(v.Canaries) {
		return Record{}, false
	}
	started := l.stageStarts[v.Resource]
	if started.trial == nil {
		started.trial = &trial{startedAt: now, check: 1, baselines: map[Instance]RPCStats{}}
		for _, d := range drivers {
			if report, isReported := l.currentReport(v, d.Instance); isReported {
				started.trial.baselines[d.Instance] = statsOf(report.Stats, v.Base)
			}
		}
		l.stageStarts[v.Resource] = started
	}
	isOver, problem, result := l.evaluateTrial(now, v, started.trial, drivers)
	switch {
	case problem != "":
		return l.nextRecord(now, v, StageRollingBack, problem, nil), true
	case !isOver:
		return Record{}, false
	}
	next := l.nextRecord(now, v, StageActivating, v.Reason, nil)
	next.Version.TrialResult = result
	return next, true
}

// chooseCanaries are the drivers that try a version first: a choice of its own for each version, the same whoever makes it. Those
// that vote come last: a version that ends its canaries must not end the council, which would have to call it off.
func chooseCanaries(v *Version, drivers []DriverStatus) (chosen []Instance) {
	if v.Plan.CanaryFraction <= 0 {
		return nil
	}
	candidates := slices.DeleteFunc(slices.Clone(drivers), func(d DriverStatus) bool { return !d.MayAct })
	score := func(instance Instance) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", v.Resource, v.Number, instance.Name))
	}
	slices.SortFunc(candidates, func(a, b DriverStatus) int {
		if a.IsVoter != b.IsVoter {
			return map[bool]int{true: 1, false: -1}[a.IsVoter]
		}
		return cmp.Or(cmp.Compare(score(a.Instance), score(b.Instance)), cmp.Compare(a.Name, b.Name))
	})
	for _, d := range candidates[:int(math.Ceil(v.Plan.CanaryFraction*float64(len(candidates))))] {
		chosen = append(chosen, d.Instance)
	}
	return chosen
}

// currentReport is what a driver's start said of a version's thing since its last step.
func (l *Controller) currentReport(v *Version, instance Instance) (Report, bool) {
	latest := l.reportsOf(instance)
	if latest == nil {
		return Report{}, false
	}
	report, isReported := latest.reports[v.Resource]
	return report, isReported && report.Epoch == v.Epoch
}

// hasFinishedStage tells whether a driver has done its part of a version's stage.
func (l *Controller) hasFinishedStage(v *Version, instance Instance) bool {
	report, isReported := l.currentReport(v, instance)
	if !isReported {
		return false
	}
	onlyInFlight := func(ok func(Number) bool) bool {
		return !slices.ContainsFunc(report.InFlight, func(n Number) bool { return !ok(n) })
	}
	switch v.Stage {
	case StageAnnounced:
		return report.Stored >= v.Number
	case StageStopping:
		return report.Active == 0 && len(report.InFlight) == 0
	case StageActivating:
		return report.Active == v.Number
	case StageDraining:
		return report.Active == v.Number && onlyInFlight(func(n Number) bool { return n == v.Number })
	case StageRollingBack:
		return report.Active == v.Base && onlyInFlight(func(n Number) bool { return n != v.Number })
	}
	return false
}

// allFinishedStage tells whether each driver that may act has done its part, and on whom that rests. One whose lease has run out acts on
// nothing until it has asked again, and then on what is told by then.
func (l *Controller) allFinishedStage(v *Version, drivers []DriverStatus) (evidence Evidence, isReady bool) {
	isReady = true
	for _, d := range drivers {
		switch {
		case !d.MayAct:
			evidence.Expired = append(evidence.Expired, d.Instance)
		case l.hasFinishedStage(v, d.Instance):
			evidence.Confirmed = append(evidence.Confirmed, d.Instance)
		default:
			isReady = false
		}
	}
	return evidence, isReady
}

// StalledVersion is a version that some hold back.
type StalledVersion struct {
	Resource  Resource   `json:"Thing"`
	Number    Number     `json:"Number"`
	Stage     Stage      `json:"Stage"`
	Duration  int64      `json:"For"`  // nanoseconds since the stage began or this ledger took over
	IsOverdue bool       `json:"Over"` // longer than the plan allows
	Instances []Instance `json:"Who"`
}

// StalledVersions tells which drivers hold a version back.
func (l *Controller) StalledVersions(now int64, drivers []DriverStatus) (all []StalledVersion) {
	for _, resource := range l.Resources() {
		v := l.histories[resource].latest()
		started := l.stageStarts[resource]
		if v.Stage.isFinal() || started.epoch != v.Epoch || v.Stage == StageCanary {
			continue
		}
		stalled := StalledVersion{Resource: resource, Number: v.Number, Stage: v.Stage, Duration: now - started.at}
		timeout := map[Stage]int64{StageAnnounced: v.Plan.AnnounceTimeout, StageDraining: v.Plan.DrainTimeout}[v.Stage]
		stalled.IsOverdue = stalled.Duration > cmp.Or(timeout, v.Plan.AdoptTimeout)
		for _, d := range drivers {
			if d.MayAct && !l.hasFinishedStage(v, d.Instance) {
				stalled.Instances = append(stalled.Instances, d.Instance)
			}
		}
		if len(stalled.Instances) > 0 {
			all = append(all, stalled)
		}
	}
	return all
}

// Reports is what a driver's start said last.
func (l *Controller) Reports(instance Instance) (all []Report) {
	latest := l.reportsOf(instance)
	if latest == nil {
		return nil
	}
	for _, resource := range slices.Sorted(maps.Keys(latest.reports)) {
		all = append(all, latest.reports[resource])
	}
	return all
}
