package versions

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against texts sent all at once, double reservations, and reservations that are never
// removed.
func TestPacer(t *testing.T) {
	p := NewPacer(1000, 100_000_000)
	now, sentAt := int64(0), []int64{}
	waiting := map[Instance]int64{}
	for i := range 20 {
		waiting[Instance{fmt.Sprint(i), 1}] = 0
	}
	for ; len(waiting) > 0 && now < 60_000_000_000; now += 10_000_000 {
		for instance, at := range waiting {
			if at > now {
				continue
			}
			wait := p.Reserve(now, instance, 500)
			if wait == 0 {
				sentAt = append(sentAt, now)
				delete(waiting, instance)
			} else {
				waiting[instance] = now + wait
			}
		}
	}
	require.Len(t, sentAt, 20)
	require.InDelta(t, 19*0.5, float64(sentAt[19])/1e9, 0.2, "half a second each")
	for i := 4; i < len(sentAt); i++ {
		require.GreaterOrEqual(t, sentAt[i]-sentAt[i-4], int64(1_500_000_000), "no bursts")
	}
	now += 60_000_000_000
	p.Reserve(now, Instance{"x", 1}, 5000)
	p.Reserve(now, Instance{"gone", 1}, 500)
	require.Len(t, p.reservations, 1)
	p.RemoveExpired(now + 10_000_000_000)
	require.Empty(t, p.reservations)
}
