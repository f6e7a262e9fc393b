package versions

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a fleet whose drivers act on different lists for long without anybody knowing, against a driver that is
// called late though it keeps up with a list that changes all the time, and against two lists of one number.
func TestDistributionsOfObservedResources(t *testing.T) {
	f := newFleet(t, 4)
	say := func(i int, n Number, digest string) {
		h := f.holders[f.signs[i].Name]
		h.Observe(DiscoveryList, n, digest)
		f.l.RecordReports(f.signs[i], h.Reports())
	}
	observed := func() Distribution {
		all := f.l.Distributions(f.now, f.present())
		require.Len(t, all, 1)
		return all[0]
	}
	for i := range f.signs {
		say(i, 7, "seven")
	}
	require.Empty(t, f.l.Assignments(f.signs[0]), "there is nothing to be told of it")
	require.Empty(t, f.l.StalledVersions(0, f.present()))
	s := observed()
	require.Equal(t, []VersionHolders{{7, "seven", f.signs}}, s.Holders)
	require.Empty(t, s.Lagging)
	say(0, 9, "nine")
	say(1, 8, "eight")
	f.now = 100
	observed()
	f.now = 150
	say(0, 10, "ten")
	say(1, 9, "nine")
	s = observed()
	require.Equal(t, []LaggingDriver{{f.signs[2], 7, 50}, {f.signs[3], 7, 50}, {f.signs[1], 9, 0}}, s.Lagging, "the second comes nearer")
	require.False(t, s.HasConflict)
	f.may["d3"] = false
	say(1, 10, "another ten")
	s = observed()
	require.True(t, s.HasConflict)
	require.Len(t, s.Lagging, 1, "one that may not act is not late")
	say(2, 10, "ten")
	say(1, 10, "ten")
	s = observed()
	require.False(t, s.HasConflict)
	require.Empty(t, s.Lagging)
	f.l.StartLeading()
	require.Empty(t, f.l.Distributions(f.now, f.present()), "what was told to another")
}
