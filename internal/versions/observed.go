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
func (h *DriverState) Observe(of Resource, n Number, digest string) {
	h.observed[of] = Report{Resource: of, Stored: n, Active: n, Digest: digest}
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

// kind is what sets one group apart from another.
type kind struct {
	number Number
	digest string
}

// lagKey is a driver's part of a thing.
type lagKey struct {
	thing Resource
	who   Instance
}

// lag is since when a driver has been behind at a number.
type lag struct {
	at    Number
	since int64
}

// Distributions tells what drivers that may act act on of each thing that the council does not decide. It is to be called now and
// then by whoever acts for the council, who finds out anew since when what is so.
func (l *Controller) Distributions(now int64, drivers []DriverStatus) (all []Distribution) {
	groups := map[Resource]map[kind][]Instance{}
	for _, d := range drivers {
		s := l.heard(d.Instance)
		if !d.MayAct || s == nil {
			continue
		}
		for _, t := range slices.Sorted(maps.Keys(s.sightings)) {
			seen := s.sightings[t]
			if seen.Digest == "" || l.lines[t] != nil {
				continue
			}
			if groups[t] == nil {
				groups[t] = map[kind][]Instance{}
			}
			key := kind{seen.Active, seen.Digest}
			groups[t][key] = append(groups[t][key], d.Instance)
		}
	}
	lags := map[lagKey]lag{}
	for _, t := range slices.Sorted(maps.Keys(groups)) {
		all = append(all, l.spread(now, t, groups[t], lags))
	}
	l.lags = lags
	return all
}

// spread sums one thing up, and keeps since when who is behind.
func (l *Controller) spread(now int64, t Resource, groups map[kind][]Instance, lags map[lagKey]lag) Distribution {
	s := Distribution{Resource: t}
	for key, who := range groups {
		s.Holders = append(s.Holders, VersionHolders{key.number, key.digest, who})
	}
	slices.SortFunc(s.Holders, func(a, b VersionHolders) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Digest, b.Digest))
	})
	newest := s.Holders[0].Number
	for i, g := range s.Holders {
		s.HasConflict = s.HasConflict || i > 0 && s.Holders[i-1].Number == g.Number
		if g.Number == newest {
			continue
		}
		for _, who := range g.Instances {
			key := lagKey{t, who}
			was, had := l.lags[key]
			if !had || was.at != g.Number {
				was = lag{g.Number, now}
			}
			lags[key] = was
			s.Lagging = append(s.Lagging, LaggingDriver{who, g.Number, now - was.since})
		}
	}
	slices.SortStableFunc(s.Lagging, func(a, b LaggingDriver) int { return cmp.Compare(b.Duration, a.Duration) })
	return s
}
