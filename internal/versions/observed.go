package versions

import (
	"cmp"
	"maps"
	"slices"
)

// Things that drivers act on by themselves: the council decides nothing of them, and is told what each driver has.
const (
	DiscoveryList Resource = "list"    // discovery's, by its generation
	Build         Resource = "program" // the feature level, with the build
	OperatorFile  Resource = "file"    // what all should have alike in their operator's files and has no versions
)

// Observe takes in what the driver acts on of a thing that the council does not decide.
func (d *DriverState) Observe(resource Resource, number Number, digest string) {
	d.observed[resource] = Report{Resource: resource, Stored: number, Active: number, Digest: digest}
}

// VersionHolders is the drivers that act on one and the same of a thing.
type VersionHolders struct {
	Number    Number     `json:"number"`
	Digest    string     `json:"digest"`
	Instances []Instance `json:"who"`
}

// Distribution is what drivers act on of a thing that the council does not decide.
type Distribution struct {
	Resource    Resource         `json:"thing"`
	Holders     []VersionHolders `json:"groups"` // the newest first
	HasConflict bool             `json:"forked"` // two that call themselves the same differ
	Lagging     []LaggingDriver  `json:"behind"` // those that do not act on the newest, the latest first
}

// LaggingDriver is a driver that is behind.
type LaggingDriver struct {
	Instance
	Number   Number `json:"number"`
	Duration int64  `json:"for_ns"` // since it came nearer last, or something newer was there first
}

// versionKey is what sets one group apart from another.
type versionKey struct {
	number Number
	digest string
}

// lagKey is a driver's part of a thing.
type lagKey struct {
	resource Resource
	instance Instance
}

// lag is since when a driver has been behind at a number.
type lag struct {
	number Number
	since  int64
}

// Distributions tells what drivers that may act act on of each thing that the council does not decide. It is to be called now and
// then by whoever acts for the council, who finds out anew since when what is so.
func (l *Controller) Distributions(now int64, drivers []DriverStatus) (all []Distribution) {
	holders := map[Resource]map[versionKey][]Instance{}
	for _, d := range drivers {
		latest := l.reportsOf(d.Instance)
		if !d.MayAct || latest == nil {
			continue
		}
		for _, resource := range slices.Sorted(maps.Keys(latest.reports)) {
			report := latest.reports[resource]
			if report.Digest == "" || l.histories[resource] != nil {
				continue
			}
			if holders[resource] == nil {
				holders[resource] = map[versionKey][]Instance{}
			}
			key := versionKey{report.Active, report.Digest}
			holders[resource][key] = append(holders[resource][key], d.Instance)
		}
	}
	lags := map[lagKey]lag{}
	for _, resource := range slices.Sorted(maps.Keys(holders)) {
		all = append(all, l.distribution(now, resource, holders[resource], lags))
	}
	l.lags = lags
	return all
}

// distribution sums one thing up, and keeps since when who is behind.
func (l *Controller) distribution(now int64, resource Resource, holders map[versionKey][]Instance, lags map[lagKey]lag) Distribution {
	s := Distribution{Resource: resource}
	for key, instances := range holders {
		s.Holders = append(s.Holders, VersionHolders{key.number, key.digest, instances})
	}
	slices.SortFunc(s.Holders, func(a, b VersionHolders) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Digest, b.Digest))
	})
	newest := s.Holders[0].Number
	for i, holder := range s.Holders {
		s.HasConflict = s.HasConflict || i > 0 && s.Holders[i-1].Number == holder.Number
		if holder.Number == newest {
			continue
		}
		for _, instances := range holder.Instances {
			key := lagKey{resource, instances}
			previous, isKnown := l.lags[key]
			if !isKnown || previous.number != holder.Number {
				previous = lag{holder.Number, now}
			}
			lags[key] = previous
			s.Lagging = append(s.Lagging, LaggingDriver{instances, holder.Number, now - previous.since})
		}
	}
	slices.SortStableFunc(s.Lagging, func(a, b LaggingDriver) int { return cmp.Compare(b.Duration, a.Duration) })
	return s
}
