package roster

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a driver that is called silent by one that is itself cut off, by starts that are over, or for good.
func TestSuspicions(t *testing.T) {
	r := fresh()
	for _, name := range []string{"a", "b", "c", "d"} {
		r.joins(t, 0, claim(name, "x"))
		r.ReportUnreachable(name, nil)
	}
	require.Empty(t, r.Suspicions(1))
	r.ReportUnreachable("a", []string{"b", "c", "d"}) // it is cut off
	require.Len(t, r.Suspicions(1), 3)
	for _, d := range r.Suspicions(1) {
		require.False(t, d.IsSilent, d.Name)
		require.Equal(t, 3, d.Listeners)
	}
	r.ReportUnreachable("b", []string{"a"})
	r.ReportUnreachable("c", []string{"a"})
	all := r.Suspicions(5)
	require.Equal(t, Suspicion{Name: "a", Start: 1, Reporters: []string{"b", "c"}, Listeners: 3, IsSilent: true, SilentSince: 5}, all[0])
	require.EqualValues(t, 5, r.Suspicions(9)[0].SilentSince)
	r.joins(t, 10, claim("c", "y"))
	require.False(t, r.Suspicions(10)[0].IsSilent, "what an earlier start said")
	r.ReportUnreachable("c", []string{"a"})
	require.EqualValues(t, 11, r.Suspicions(11)[0].SilentSince)
	r.ReportUnreachable("b", nil)
	r.ReportUnreachable("c", nil)
	require.Len(t, r.Suspicions(12), 3, "it is heard again")
	require.NoError(t, r.RenewLease(second, "b", "x"))
	require.Empty(t, r.Suspicions(second+second/50), "what one said whose lease is over")
	r.ReportUnreachable("b", []string{"d"})
	r.TakeOver(2 * second)
	require.Empty(t, r.Suspicions(2*second), "what was told to another")
}
