package versions

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against texts that are told all at once, turns that are given twice, and ones that nobody comes for.
func TestPacer(t *testing.T) {
	p := NewPacer(1000, 100_000_000) // 1000 bytes a second
	now, told := int64(0), []int64{}
	next := map[Instance]int64{}
	for i := range 20 {
		next[Instance{fmt.Sprint(i), 1}] = 0
	}
	for ; len(next) > 0 && now < 60_000_000_000; now += 10_000_000 {
		for who, at := range next {
			if at > now {
				continue
			}
			wait := p.Reserve(now, who, 500)
			if wait == 0 {
				told = append(told, now)
				delete(next, who)
			} else {
				next[who] = now + wait
			}
		}
	}
	require.Len(t, told, 20)
	require.InDelta(t, 19*0.5, float64(told[19])/1e9, 0.2, "half a second each")
	for i := 4; i < len(told); i++ {
		require.GreaterOrEqual(t, told[i]-told[i-4], int64(1_500_000_000), "never many at once")
	}
	now += 60_000_000_000
	p.Reserve(now, Instance{"x", 1}, 5000)
	p.Reserve(now, Instance{"gone", 1}, 500)
	require.Len(t, p.turns, 1)
	p.RemoveExpired(now + 10_000_000_000)
	require.Empty(t, p.turns)
}
