package roster

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A driver must not count as silent because of a peer that is itself cut off, a superseded start or an
// outdated report.
func TestSuspicions(t *testing.T) {
	r := newTestRoster()
	for _, name := range []string{"a", "b", "c", "d"} {
		r.mustJoin(t, 0, newClaim(name, "x"))
		r.ReportUnreachable(name, nil)
	}
	require.Empty(t, r.Suspicions(1))
	r.ReportUnreachable("a", []string{"b", "c", "d"}) // a is cut off itself
	require.Len(t, r.Suspicions(1), 3)
	for _, d := range r.Suspicions(1) {
		require.False(t, d.IsUnreachable, d.Name)
		require.Equal(t, 3, d.EligibleReporters)
	}
	r.ReportUnreachable("b", []string{"a"})
	r.ReportUnreachable("c", []string{"a"})
	all := r.Suspicions(5)
	require.Equal(t, Suspicion{Name: "a", Start: 1, Reporters: []string{"b", "c"}, EligibleReporters: 3, IsUnreachable: true, UnreachableSince: 5}, all[0])
	require.EqualValues(t, 5, r.Suspicions(9)[0].UnreachableSince)
	r.mustJoin(t, 10, newClaim("c", "y"))
	require.False(t, r.Suspicions(10)[0].IsUnreachable, "report of a superseded start")
	r.ReportUnreachable("c", []string{"a"})
	require.EqualValues(t, 11, r.Suspicions(11)[0].UnreachableSince)
	r.ReportUnreachable("b", nil)
	r.ReportUnreachable("c", nil)
	require.Len(t, r.Suspicions(12), 3, "a is reachable again")
	require.NoError(t, r.RenewLease(second, "b", "x"))
	require.Empty(t, r.Suspicions(second+second/50), "report of a driver whose lease has ended")
	r.ReportUnreachable("b", []string{"d"})
	r.TakeOver(2 * second)
	require.Empty(t, r.Suspicions(2*second), "report to the previous leader")
}
