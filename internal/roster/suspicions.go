package roster

import (
	"maps"
	"slices"
)

// Suspicion is a present driver that peers report as unreachable.
type Suspicion struct {
	Name              string      `json:"name"`
	Start             StartNumber `json:"start"`
	Reporters         []string    `json:"by"`     // peers that report it
	EligibleReporters int         `json:"of"`     // peers that could report it
	IsUnreachable     bool        `json:"silent"` // reported by at least two peers and more than half of them
	UnreachableSince  int64       `json:"since"`  // on the local clock, 0 if not silent
}

// unreachableReport holds the peers that a start last reported as unreachable.
type unreachableReport struct {
	start       StartNumber
	unreachable []string
}

// ReportUnreachable replaces the peers that a driver reports as unreachable. The report counts while the
// driver may hold a lease. Drivers without gossip make no reports.
func (r *Roster) ReportUnreachable(name string, unreachable []string) {
	if d := r.drivers[name]; d != nil {
		r.unreachableReports[name] = unreachableReport{d.Start, slices.Clone(unreachable)}
	}
}

// Suspicions returns the drivers that peers report as unreachable, sorted by name. An unreachable
// driver may still serve clients, so its lease is waited for all the same.
func (r *Roster) Suspicions(now int64) (suspicions []Suspicion) {
	var listeners []string
	for _, name := range slices.Sorted(maps.Keys(r.unreachableReports)) {
		if d := r.drivers[name]; d != nil && d.Start == r.unreachableReports[name].start && d.State == StatePresent && r.MayAct(now, name) {
			listeners = append(listeners, name)
		}
	}
	silentSince := map[string]int64{}
	for _, d := range r.Drivers() {
		suspicion := Suspicion{Name: d.Name, Start: d.Start}
		for _, listener := range listeners {
			if listener == d.Name {
				continue
			}
			suspicion.EligibleReporters++
			if slices.Contains(r.unreachableReports[listener].unreachable, d.Name) {
				suspicion.Reporters = append(suspicion.Reporters, listener)
			}
		}
		if d.State != StatePresent || len(suspicion.Reporters) == 0 {
			continue
		}
		if suspicion.IsUnreachable = len(suspicion.Reporters) >= 2 && 2*len(suspicion.Reporters) > suspicion.EligibleReporters; suspicion.IsUnreachable {
			if suspicion.UnreachableSince = r.silentSince[d.Name]; suspicion.UnreachableSince == 0 {
				suspicion.UnreachableSince = now
			}
			silentSince[d.Name] = suspicion.UnreachableSince
		}
		suspicions = append(suspicions, suspicion)
	}
	r.silentSince = silentSince
	return suspicions
}
