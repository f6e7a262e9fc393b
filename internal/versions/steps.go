package versions

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RecordReports replaces the reports of a driver by those of one of its instances.
func (c *Controller) RecordReports(instance Instance, reports []Report) {
	latest := &instanceReports{start: instance.Start, reports: make(map[Resource]Report, len(reports))}
	for _, report := range reports {
		latest.reports[report.Resource] = report
	}
	c.reports[instance.Name] = latest
}

// reportsOf returns the last reports of an instance, or nil.
func (c *Controller) reportsOf(instance Instance) *instanceReports {
	if latest := c.reports[instance.Name]; latest != nil && latest.start == instance.Start {
		return latest
	}
	return nil
}

// Assignments returns the assignments that an instance does not follow yet, according to its last
// reports. An instance without reports gets those of all resources.
func (c *Controller) Assignments(instance Instance) (assignments []Assignment) {
	reported := c.reportsOf(instance)
	for _, resource := range c.Resources() {
		h := c.histories[resource]
		v := h.latest()
		report := Report{}
		if reported != nil {
			report = reported.reports[resource]
		}
		if report.Epoch == v.Epoch && report.Stored >= c.versionToStore(h) {
			continue
		}
		assignment := Assignment{Resource: resource, Epoch: v.Epoch, Active: c.activeVersion(h, instance), Allowed: v.allowed(),
			Valid: v.valid(), Stored: c.versionToStore(h)}
		if stored := h.find(assignment.Stored); stored != nil {
			assignment.Digest = stored.Digest
			if report.Stored != assignment.Stored {
				assignment.Text = stored.Text
			}
		}
		if active := h.find(assignment.Active); active != nil && assignment.Active != assignment.Stored &&
			report.Active != assignment.Active {
			assignment.ActiveText = active.Text
		}
		assignments = append(assignments, assignment)
	}
	return assignments
}

// allowed returns the version that a driver may act on until it has activated the assigned one, or
// 0.
func (v *Version) allowed() Number {
	switch {
	case v.Plan.Exclusive || v.Stage.isFinal():
		return 0
	case v.Stage == StageRollingBack:
		return v.Number
	}
	return v.Base
}

// versionToStore returns the version whose text all drivers should have.
func (c *Controller) versionToStore(h *history) Number {
	v := h.latest()
	if v.Stage == StageRollingBack || v.Stage == StageRolledBack {
		return v.Base
	}
	return v.Number
}

// activeVersion returns the version that an instance should act on, 0 for none.
func (c *Controller) activeVersion(h *history, instance Instance) Number {
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

// Step returns the record of the next transition that is due, or nil. The caller applies it and
// calls Step again until it returns nil.
func (c *Controller) Step(now int64, drivers []DriverStatus) []Record {
	for _, resource := range c.Resources() {
		v := c.histories[resource].latest()
		if v.Stage.isFinal() {
			continue
		}
		if next, isReady := c.stepVersion(now, v, drivers); isReady {
			return []Record{next}
		}
	}
	return nil
}

// stepVersion returns the transition that is due for a version, by the table at Stage.
func (c *Controller) stepVersion(now int64, v *Version, drivers []DriverStatus) (Record, bool) {
	if c.stageStarts[v.Resource].epoch != v.Epoch {
		c.stageStarts[v.Resource] = stageStart{epoch: v.Epoch, startedAt: now}
	}
	if v.Stage == StageCanary {
		return c.stepCanaryTrial(now, v, drivers)
	}
	evidence, isReady := c.allFinishedStage(v, drivers)
	if !isReady {
		return Record{}, false
	}
	nextStage := map[Stage]Stage{StageAnnounced: StageActivating, StageStopping: StageActivating, StageActivating: StageDraining,
		StageDraining: StageCompleted, StageRollingBack: StageRolledBack}[v.Stage]
	chosen := chooseCanaries(v, drivers)
	switch {
	case v.Stage == StageAnnounced && v.Plan.Exclusive:
		nextStage = StageStopping
	case v.Stage == StageAnnounced && len(chosen) > 0:
		nextStage = StageCanary
	}
	next := c.nextRecord(now, v, nextStage, v.Reason, &evidence)
	if nextStage == StageCanary {
		next.Version.Canaries = chosen
	}
	return next, true
}

// stepCanaryTrial rolls a version back if its canary trial has failed, and activates it once the
// trial has passed.
func (c *Controller) stepCanaryTrial(now int64, v *Version, drivers []DriverStatus) (Record, bool) {
	active := 0
	for _, canary := range v.Canaries {
		i := slices.IndexFunc(drivers, func(d DriverStatus) bool { return d.Instance == canary })
		if i < 0 || !drivers[i].MayAct {
			return c.nextRecord(now, v, StageRollingBack, fmt.Sprintf(
				"canary %s, start %d, has failed: its lease ran out or it started anew", canary.Name, canary.Start), nil), true
		}
		if drivers[i].IsUnreachable {
			return c.nextRecord(now, v, StageRollingBack, fmt.Sprintf(
				"canary %s, start %d, has failed: most of its fellows do not hear it", canary.Name, canary.Start), nil), true
		}
		report, isReported := c.currentReport(v, canary)
		switch {
		case isReported && report.Failure != "":
			return c.nextRecord(now, v, StageRollingBack,
				fmt.Sprintf("canary %s can't act on it: %s", canary.Name, report.Failure), nil), true
		case isReported && report.Active == v.Number:
			active++
		}
	}
	if active < len(v.Canaries) {
		return Record{}, false
	}
	started := c.stageStarts[v.Resource]
	if started.trial == nil {
		started.trial = &trial{startedAt: now, check: 1, baselines: map[Instance]RPCStats{}}
		for _, d := range drivers {
			if report, isReported := c.currentReport(v, d.Instance); isReported {
				started.trial.baselines[d.Instance] = statsOf(report.Stats, v.Base)
			}
		}
		c.stageStarts[v.Resource] = started
	}
	isOver, problem, result := c.evaluateTrial(now, v, started.trial, drivers)
	switch {
	case problem != "":
		return c.nextRecord(now, v, StageRollingBack, problem, nil), true
	case !isOver:
		return Record{}, false
	}
	next := c.nextRecord(now, v, StageActivating, v.Reason, nil)
	next.Version.TrialResult = result
	return next, true
}

// chooseCanaries returns the canaries of a version: a pseudo-random choice that depends only on the
// version and the drivers. Voters are chosen last, as a version that crashes its canaries must not
// cost the council its quorum, which is needed for the rollback.
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

// currentReport returns what an instance reported about a version's resource since the last
// transition.
func (c *Controller) currentReport(v *Version, instance Instance) (Report, bool) {
	latest := c.reportsOf(instance)
	if latest == nil {
		return Report{}, false
	}
	report, isReported := latest.reports[v.Resource]
	return report, isReported && report.Epoch == v.Epoch
}

// hasFinishedStage reports whether an instance has reported that it finished the version's current
// stage.
func (c *Controller) hasFinishedStage(v *Version, instance Instance) bool {
	report, isReported := c.currentReport(v, instance)
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

// allFinishedStage reports whether all drivers that may act have finished the stage. A driver whose
// lease has expired need not be waited for: it acts on nothing until it renews its lease, which
// comes with the current assignment.
func (c *Controller) allFinishedStage(v *Version, drivers []DriverStatus) (evidence Evidence, isReady bool) {
	isReady = true
	for _, d := range drivers {
		switch {
		case !d.MayAct:
			evidence.Expired = append(evidence.Expired, d.Instance)
		case c.hasFinishedStage(v, d.Instance):
			evidence.Confirmed = append(evidence.Confirmed, d.Instance)
		default:
			isReady = false
		}
	}
	return evidence, isReady
}

// StalledVersion is a rollout that waits for some drivers.
type StalledVersion struct {
	Resource  Resource   `json:"Thing"`
	Number    Number     `json:"Number"`
	Stage     Stage      `json:"Stage"`
	Duration  int64      `json:"For"`  // nanoseconds since the stage began or this controller started leading
	IsOverdue bool       `json:"Over"` // the timeout of the stage has passed
	Instances []Instance `json:"Who"`
}

// StalledVersions returns the rollouts that wait for drivers, and which drivers those are.
func (c *Controller) StalledVersions(now int64, drivers []DriverStatus) (all []StalledVersion) {
	for _, resource := range c.Resources() {
		v := c.histories[resource].latest()
		started := c.stageStarts[resource]
		if v.Stage.isFinal() || started.epoch != v.Epoch || v.Stage == StageCanary {
			continue
		}
		stalled := StalledVersion{Resource: resource, Number: v.Number, Stage: v.Stage, Duration: now - started.startedAt}
		timeout := map[Stage]int64{StageAnnounced: v.Plan.AnnounceTimeout, StageDraining: v.Plan.DrainTimeout}[v.Stage]
		stalled.IsOverdue = stalled.Duration > cmp.Or(timeout, v.Plan.AdoptTimeout)
		for _, d := range drivers {
			if d.MayAct && !c.hasFinishedStage(v, d.Instance) {
				stalled.Instances = append(stalled.Instances, d.Instance)
			}
		}
		if len(stalled.Instances) > 0 {
			all = append(all, stalled)
		}
	}
	return all
}

// Reports returns the last reports of an instance, sorted by resource.
func (c *Controller) Reports(instance Instance) (all []Report) {
	latest := c.reportsOf(instance)
	if latest == nil {
		return nil
	}
	for _, resource := range slices.Sorted(maps.Keys(latest.reports)) {
		all = append(all, latest.reports[resource])
	}
	return all
}
