package versions

import (
	"cmp"
	"maps"
	"slices"
)

// Resources that the council does not decide; drivers only report their versions of these.
const (
	DiscoveryList Resource = "list"    // of members, numbered by discovery's generation
	Build         Resource = "program" // numbered by feature level; the digest is the build
	OperatorFile  Resource = "file"    // settings that should be the same at all drivers and have no versions
)

// Observe sets the driver's version of a resource that the council does not decide.
func (d *DriverState) Observe(resource Resource, number Number, digest string) {
	d.observed[resource] = Report{Resource: resource, Stored: number, Active: number, Digest: digest}
}

// VersionHolders are the drivers that act on the same version and digest.
type VersionHolders struct {
	Number    Number     `json:"number"`
	Digest    string     `json:"digest"`
	Instances []Instance `json:"who"`
}

// Distribution shows which drivers act on which versions of a resource that the council does not
// decide.
type Distribution struct {
	Resource    Resource         `json:"thing"`
	Holders     []VersionHolders `json:"groups"` // latest version first
	HasConflict bool             `json:"forked"` // the same number has two digests
	Lagging     []LaggingDriver  `json:"behind"` // drivers that do not act on the latest version, longest first
}

// LaggingDriver is a driver that does not act on the latest version.
type LaggingDriver struct {
	Instance
	Number   Number `json:"number"`
	Duration int64  `json:"for_ns"` // nanoseconds that it has lagged at this number
}

type versionKey struct {
	number Number
	digest string
}

type lagKey struct {
	resource Resource
	instance Instance
}

// lag is the version of a lagging driver and when that was first seen.
type lag struct {
	number Number
	since  int64
}

// Distributions returns a Distribution for each resource that the council does not decide, of the
// drivers that may act. The leader calls it periodically; lag is measured between calls.
func (c *Controller) Distributions(now int64, drivers []DriverStatus) (all []Distribution) {
	holders := map[Resource]map[versionKey][]Instance{}
	for _, d := range drivers {
		latest := c.reportsOf(d.Instance)
		if !d.MayAct || latest == nil {
			continue
		}
		for _, resource := range slices.Sorted(maps.Keys(latest.reports)) {
			report := latest.reports[resource]
			if report.Digest == "" || c.histories[resource] != nil {
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
		all = append(all, c.distribution(now, resource, holders[resource], lags))
	}
	c.lags = lags
	return all
}

// distribution sums up one resource, and adds its lagging drivers to lags.
func (c *Controller) distribution(now int64, resource Resource, holders map[versionKey][]Instance,
	lags map[lagKey]lag) Distribution {
	d := Distribution{Resource: resource}
	for key, instances := range holders {
		d.Holders = append(d.Holders, VersionHolders{key.number, key.digest, instances})
	}
	slices.SortFunc(d.Holders, func(a, b VersionHolders) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Digest, b.Digest))
	})
	latest := d.Holders[0].Number
	for i, holder := range d.Holders {
		d.HasConflict = d.HasConflict || i > 0 && d.Holders[i-1].Number == holder.Number
		if holder.Number == latest {
			continue
		}
		for _, instance := range holder.Instances {
			key := lagKey{resource, instance}
			previous, isKnown := c.lags[key]
			if !isKnown || previous.number != holder.Number {
				previous = lag{holder.Number, now}
			}
			lags[key] = previous
			d.Lagging = append(d.Lagging, LaggingDriver{instance, holder.Number, now - previous.since})
		}
	}
	slices.SortStableFunc(d.Lagging, func(a, b LaggingDriver) int { return cmp.Compare(b.Duration, a.Duration) })
	return d
}
