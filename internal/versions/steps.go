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
func (l *Controller) RecordReports(who Instance, sightings []Report) {
	s := &saying{start: who.Start, sightings: make(map[Resource]Report, len(sightings))}
	for _, seen := range sightings {
		s.sightings[seen.Resource] = seen
	}
	l.said[who.Name] = s
}

// heard is what a driver's start said last, nil for nothing.
func (l *Controller) heard(who Instance) *saying {
	if s := l.said[who.Name]; s != nil && s.start == who.Start {
		return s
	}
	return nil
}

// Assignments are what a driver is told, of the things of which it does not follow the newest order; what it said stands in
// Say. A driver that is new is told of all.
func (l *Controller) Assignments(who Instance) (orders []Assignment) {
	s := l.heard(who)
	for _, t := range l.Resources() {
		n := l.lines[t]
		v := n.last()
		seen := Report{}
		if s != nil {
			seen = s.sightings[t]
		}
		if seen.Epoch == v.Epoch && seen.Stored >= l.hold(n) {
			continue
		}
		o := Assignment{Resource: t, Epoch: v.Epoch, Active: l.act(n, who), Allowed: v.keep(), Valid: v.valid(), Stored: l.hold(n)}
		if h := n.find(o.Stored); h != nil {
			o.Digest = h.Digest
			if seen.Stored != o.Stored {
				o.Text = h.Text
			}
		}
		if a := n.find(o.Active); a != nil && o.Active != o.Stored && seen.Active != o.Active {
			o.ActiveText = a.Text
		}
		orders = append(orders, o)
	}
	return orders
}

// keep is the version that a driver may still act on that does not act yet on what it is told to.
func (v *Version) keep() Number {
	switch {
	case v.Plan.Exclusive || v.Stage.over():
		return 0
	case v.Stage == StageRollingBack:
		return v.Number
	}
	return v.Base
}

// hold is the version whose text all are to have.
func (l *Controller) hold(n *line) Number {
	v := n.last()
	if v.Stage == StageRollingBack || v.Stage == StageRolledBack {
		return v.Base
	}
	return v.Number
}

// act is the version that a driver is to act on.
func (l *Controller) act(n *line, who Instance) Number {
	switch v := n.last(); v.Stage {
	case StageAnnounced, StageRollingBack, StageRolledBack:
		return v.Base
	case StageCanary:
		if slices.Contains(v.Canaries, who) {
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
	for _, t := range l.Resources() {
		v := l.lines[t].last()
		if v.Stage.over() {
			continue
		}
		if next, ready := l.step(now, v, drivers); ready {
			return []Record{next}
		}
	}
	return nil
}

// step is the step that a version is ready for: the table at Stage.
func (l *Controller) step(now int64, v *Version, drivers []DriverStatus) (Record, bool) {
	if l.since[v.Resource].epoch != v.Epoch {
		l.since[v.Resource] = since{epoch: v.Epoch, at: now}
	}
	if v.Stage == StageCanary {
		return l.try(now, v, drivers)
	}
	basis, all := l.all(v, drivers)
	if !all {
		return Record{}, false
	}
	to := map[Stage]Stage{StageAnnounced: StageActivating, StageStopping: StageActivating, StageActivating: StageDraining, StageDraining: StageCompleted, StageRollingBack: StageRolledBack}[v.Stage]
	tried := canaries(v, drivers)
	switch {
	case v.Stage == StageAnnounced && v.Plan.Exclusive:
		to = StageStopping
	case v.Stage == StageAnnounced && len(tried) > 0:
		to = StageCanary
	}
	next := l.next(now, v, to, v.Reason, &basis)
	if to == StageCanary {
		next.Version.Canaries = tried
	}
	return next, true
}

// try sees how canaries fare.
func (l *Controller) try(now int64, v *Version, drivers []DriverStatus) (Record, bool) {
	act := 0
	for _, c := range v.Canaries {
		at := slices.IndexFunc(drivers, func(p DriverStatus) bool { return p.Instance == c })
		if at < 0 || !drivers[at].MayAct {
			return l.next(now, v, StageRollingBack, fmt.Sprintf("canary %s, start %d, has failed: its lease ran out or it started anew", c.Name,
				c.Start), nil), true
		}
		if drivers[at].IsUnreachable {
			return l.next(now, v, StageRollingBack, fmt.Sprintf("canary %s, start %d, has failed: most of its fellows do not hear it", c.Name, c.Start),
				nil), true
		}
		seen, told := l.sighting(v, c)
		switch {
		case told && seen.Failure != "":
			return l.next(now, v, StageRollingBack, fmt.Sprintf("canary %s can't act on it: %s", c.Name, seen.Failure), nil), true
		case told && seen.Active == v.Number:
			act++
		}
	}
	if act < len(v.Canaries) {
		return Record{}, false
	}
	s := l.since[v.Resource]
	if s.trial == nil {
		s.trial = &trial{began: now, look: 1, first: map[Instance]RPCStats{}}
		for _, d := range drivers {
			if seen, told := l.sighting(v, d.Instance); told {
				s.trial.first[d.Instance] = of(seen.Stats, v.Base)
			}
		}
		l.since[v.Resource] = s
	}
	over, against, judgement := l.watch(now, v, s.trial, drivers)
	switch {
	case against != "":
		return l.next(now, v, StageRollingBack, against, nil), true
	case !over:
		return Record{}, false
	}
	next := l.next(now, v, StageActivating, v.Reason, nil)
	next.Version.TrialResult = judgement
	return next, true
}

// canaries are the drivers that try a version first: a choice of its own for each version, the same whoever makes it. Those
// that vote come last: a version that ends its canaries must not end the council, which would have to call it off.
func canaries(v *Version, drivers []DriverStatus) (chosen []Instance) {
	if v.Plan.CanaryFraction <= 0 {
		return nil
	}
	may := slices.DeleteFunc(slices.Clone(drivers), func(d DriverStatus) bool { return !d.MayAct })
	score := func(s Instance) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", v.Resource, v.Number, s.Name))
	}
	slices.SortFunc(may, func(a, b DriverStatus) int {
		if a.IsVoter != b.IsVoter {
			return map[bool]int{true: 1, false: -1}[a.IsVoter]
		}
		return cmp.Or(cmp.Compare(score(a.Instance), score(b.Instance)), cmp.Compare(a.Name, b.Name))
	})
	for _, d := range may[:int(math.Ceil(v.Plan.CanaryFraction*float64(len(may))))] {
		chosen = append(chosen, d.Instance)
	}
	return chosen
}

// sighting is what a driver's start said of a version's thing since its last step.
func (l *Controller) sighting(v *Version, who Instance) (Report, bool) {
	s := l.heard(who)
	if s == nil {
		return Report{}, false
	}
	seen, told := s.sightings[v.Resource]
	return seen, told && seen.Epoch == v.Epoch
}

// passes tells whether a driver has done its part of a version's stage.
func (l *Controller) passes(v *Version, who Instance) bool {
	seen, told := l.sighting(v, who)
	if !told {
		return false
	}
	only := func(ok func(Number) bool) bool {
		return !slices.ContainsFunc(seen.InFlight, func(n Number) bool { return !ok(n) })
	}
	switch v.Stage {
	case StageAnnounced:
		return seen.Stored >= v.Number
	case StageStopping:
		return seen.Active == 0 && len(seen.InFlight) == 0
	case StageActivating:
		return seen.Active == v.Number
	case StageDraining:
		return seen.Active == v.Number && only(func(n Number) bool { return n == v.Number })
	case StageRollingBack:
		return seen.Active == v.Base && only(func(n Number) bool { return n != v.Number })
	}
	return false
}

// all tells whether each driver that may act has done its part, and on whom that rests. One whose lease has run out acts on
// nothing until it has asked again, and then on what is told by then.
func (l *Controller) all(v *Version, drivers []DriverStatus) (b Evidence, all bool) {
	all = true
	for _, d := range drivers {
		switch {
		case !d.MayAct:
			b.Expired = append(b.Expired, d.Instance)
		case l.passes(v, d.Instance):
			b.Confirmed = append(b.Confirmed, d.Instance)
		default:
			all = false
		}
	}
	return b, all
}

// StalledVersion is a version that some hold back.
type StalledVersion struct {
	Resource  Resource
	Number    Number
	Stage     Stage
	Duration  int64 // since the stage began, or this ledger began to act
	IsOverdue bool  // longer than the plan allows
	Instances []Instance
}

// StalledVersions tells which drivers hold a version back.
func (l *Controller) StalledVersions(now int64, drivers []DriverStatus) (all []StalledVersion) {
	for _, t := range l.Resources() {
		v := l.lines[t].last()
		s := l.since[t]
		if v.Stage.over() || s.epoch != v.Epoch || v.Stage == StageCanary {
			continue
		}
		b := StalledVersion{Resource: t, Number: v.Number, Stage: v.Stage, Duration: now - s.at}
		allowed := map[Stage]int64{StageAnnounced: v.Plan.AnnounceTimeout, StageDraining: v.Plan.DrainTimeout}[v.Stage]
		b.IsOverdue = b.Duration > cmp.Or(allowed, v.Plan.AdoptTimeout)
		for _, d := range drivers {
			if d.MayAct && !l.passes(v, d.Instance) {
				b.Instances = append(b.Instances, d.Instance)
			}
		}
		if len(b.Instances) > 0 {
			all = append(all, b)
		}
	}
	return all
}

// Reports is what a driver's start said last.
func (l *Controller) Reports(who Instance) (all []Report) {
	s := l.heard(who)
	if s == nil {
		return nil
	}
	for _, t := range slices.Sorted(maps.Keys(s.sightings)) {
		all = append(all, s.sightings[t])
	}
	return all
}
