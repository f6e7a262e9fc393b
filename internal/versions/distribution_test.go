package versions

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against drivers that act on different lists unnoticed, two lists with the same number, and
// a driver that is reported as lagging although it keeps up with a list that changes often.
func TestDistributionsOfObservedResources(t *testing.T) {
	f := newFleet(t, 4)
	report := func(i int, number Number, digest string) {
		state := f.states[f.instances[i].Name]
		state.Observe(DiscoveryList, number, digest)
		f.controller.RecordReports(f.instances[i], state.Reports())
	}
	distribution := func() Distribution {
		all := f.controller.Distributions(f.now, f.statuses())
		require.Len(t, all, 1)
		return all[0]
	}
	for i := range f.instances {
		report(i, 7, "seven")
	}
	require.Empty(t, f.controller.Assignments(f.instances[0]), "nothing is assigned")
	require.Empty(t, f.controller.StalledVersions(0, f.statuses()))
	d := distribution()
	require.Equal(t, []VersionHolders{{7, "seven", f.instances}}, d.Holders)
	require.Empty(t, d.Lagging)
	report(0, 9, "nine")
	report(1, 8, "eight")
	f.now = 100
	distribution()
	f.now = 150
	report(0, 10, "ten")
	report(1, 9, "nine")
	d = distribution()
	require.Equal(t, []LaggingDriver{{f.instances[2], 7, 50}, {f.instances[3], 7, 50}, {f.instances[1], 9, 0}}, d.Lagging,
		"the second driver catches up")
	require.False(t, d.HasConflict)
	f.mayAct["d3"] = false
	report(1, 10, "another ten")
	d = distribution()
	require.True(t, d.HasConflict)
	require.Len(t, d.Lagging, 1, "drivers that may not act do not lag")
	report(2, 10, "ten")
	report(1, 10, "ten")
	d = distribution()
	require.False(t, d.HasConflict)
	require.Empty(t, d.Lagging)
	f.controller.StartLeading()
	require.Empty(t, f.controller.Distributions(f.now, f.statuses()), "reports to the previous leader")
}
