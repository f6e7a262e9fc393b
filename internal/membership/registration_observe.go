package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// observeInterval is how often what drivers act on by themselves is looked at.
const observeInterval = int64(100 * time.Millisecond)

// observeVersions sees what drivers act on that the council does not decide, and logs when some stay behind for longer than a lease, or
// act on different things of one name, and when that is over. The lock is held.
func (s *FleetServer) observeVersions() {
	now := s.now()
	if now-s.observedAt < observeInterval {
		return
	}
	s.observedAt = now
	s.updateSuspicions(now)
	s.observed = s.versions.Observed(now, s.presentDrivers())
	for _, spread := range s.observed {
		late := 0
		for _, d := range spread.Behind {
			if d.For > int64(s.config.Lease) {
				late++
			}
		}
		if diverged := late > 0 || spread.Forked; diverged != s.diverged[spread.Thing] {
			s.diverged[spread.Thing] = diverged
			s.log.WithFields(logrus.Fields{"thing": spread.Thing, "newest": spread.Groups[0].Number, "kinds": len(spread.Groups), "late": late, "forked": spread.Forked}).
				Warn(map[bool]string{true: "drivers act on different versions", false: "drivers act on one version again"}[diverged])
		}
	}
}

// updateSuspicions takes stock of whom fellows do not hear, and logs when that has become most of them, and when it is over. The lock is
// held.
func (s *FleetServer) updateSuspicions(now int64) {
	s.suspicions = s.roster.Suspicions(now)
	silent := map[string]bool{}
	for _, suspicion := range s.suspicions {
		if !suspicion.IsSilent {
			continue
		}
		if silent[suspicion.Name] = true; !s.silentDrivers[suspicion.Name] {
			s.log.WithFields(logrus.Fields{"of": suspicion.Name, "start": suspicion.Start, "by": len(suspicion.Reporters), "listeners": suspicion.Listeners}).Warn("fellows do not hear a driver")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.silentDrivers)) {
		if !silent[name] {
			s.log.WithField("of", name).Info("a driver is heard by its fellows again, or is gone")
		}
	}
	s.silentDrivers = silent
}
