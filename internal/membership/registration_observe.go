package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// lookEvery is how often what drivers act on by themselves is looked at.
const lookEvery = int64(100 * time.Millisecond)

// look sees what drivers act on that the council does not decide, and logs when some stay behind for longer than a lease, or
// act on different things of one name, and when that is over. The lock is held.
func (m *FleetServer) look() {
	now := m.now()
	if now-m.looked < lookEvery {
		return
	}
	m.looked = now
	m.listen(now)
	m.observed = m.versions.Distributions(now, m.present())
	for _, s := range m.observed {
		late := 0
		for _, d := range s.Lagging {
			if d.Duration > int64(m.terms.Lease) {
				late++
			}
		}
		if apart := late > 0 || s.HasConflict; apart != m.apart[s.Resource] {
			m.apart[s.Resource] = apart
			m.log.WithFields(logrus.Fields{"thing": s.Resource, "newest": s.Holders[0].Number, "kinds": len(s.Holders), "late": late, "forked": s.HasConflict}).
				Warn(map[bool]string{true: "drivers act on different versions", false: "drivers act on one version again"}[apart])
		}
	}
}

// listen takes stock of whom fellows do not hear, and logs when that has become most of them, and when it is over. The lock is
// held.
func (m *FleetServer) listen(now int64) {
	m.doubts = m.roster.Suspicions(now)
	silent := map[string]bool{}
	for _, d := range m.doubts {
		if !d.IsSilent {
			continue
		}
		if silent[d.Name] = true; !m.silent[d.Name] {
			m.log.WithFields(logrus.Fields{"of": d.Name, "start": d.Start, "by": len(d.Reporters), "listeners": d.Listeners}).Warn("fellows do not hear a driver")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.silent)) {
		if !silent[name] {
			m.log.WithField("of", name).Info("a driver is heard by its fellows again, or is gone")
		}
	}
	m.silent = silent
}
