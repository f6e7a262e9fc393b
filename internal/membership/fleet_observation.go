package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// observeInterval is the minimum time between two observations.
const observeInterval = int64(100 * time.Millisecond)

// observeVersions observes versions that the council does not decide. It logs when drivers begin or cease
// to diverge: some lag for longer than a lease, or have different contents for one version. The lock is
// held.
func (s *FleetServer) observeVersions() {
	now := s.now()
	if now-s.observedAt < observeInterval {
		return
	}
	s.observedAt = now
	s.updateSuspicions(now)
	s.observed = s.versions.Distributions(now, s.presentDrivers())
	for _, spread := range s.observed {
		late := 0
		for _, d := range spread.Lagging {
			if d.Duration > int64(s.config.Lease) {
				late++
			}
		}
		if diverged := late > 0 || spread.HasConflict; diverged != s.diverged[spread.Resource] {
			s.diverged[spread.Resource] = diverged
			s.log.WithFields(logrus.Fields{"thing": spread.Resource, "newest": spread.Holders[0].Number, "kinds": len(spread.Holders), "late": late, "forked": spread.HasConflict}).
				Warn(map[bool]string{true: "drivers use different versions", false: "drivers use the same version again"}[diverged])
		}
	}
}

// updateSuspicions updates which drivers are unreachable for most of their peers, and logs changes. The
// lock is held.
func (s *FleetServer) updateSuspicions(now int64) {
	s.suspicions = s.roster.Suspicions(now)
	silent := map[string]bool{}
	for _, suspicion := range s.suspicions {
		if !suspicion.IsUnreachable {
			continue
		}
		if silent[suspicion.Name] = true; !s.silentDrivers[suspicion.Name] {
			s.log.WithFields(logrus.Fields{"of": suspicion.Name, "start": suspicion.Start, "by": len(suspicion.Reporters), "listeners": suspicion.EligibleReporters}).Warn("driver is unreachable for most of its peers")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.silentDrivers)) {
		if !silent[name] {
			s.log.WithField("of", name).Info("driver is reachable again, or gone")
		}
	}
	s.silentDrivers = silent
}
