package cells

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sedgespread/rules"
)

// layoutOf makes cells c0, c1 … of some weights, each with groups of its own.
func layoutOf(spread, groups int, weights ...float64) *Layout {
	l := NewLayout(spread)
	for c, w := range weights {
		var own Groups
		for g := range groups {
			own = append(own, rules.GroupID(c*groups+g+1))
		}
		l.Add(fmt.Sprintf("c%d", c), own, w, 100, "")
	}
	return l
}

func homes(l *Layout, tenants int) (at []Cell) {
	for t := range tenants {
		at = append(at, l.HomeCell(Tenant(fmt.Sprintf("tenant-%d", t))))
	}
	return at
}

// Guards against a cell that comes or goes and moves tenants of others.
func TestHomeCellsFollowWeights(t *testing.T) {
	const tenants = 20_000
	before := homes(layoutOf(1, 1, 1, 2, 1, 0), tenants)
	count := map[Cell]int{}
	for _, c := range before {
		count[c]++
	}
	require.Zero(t, count[3], "a cell of weight 0 takes nobody")
	require.InDelta(t, 0.5, float64(count[1])/tenants, 0.02)
	after := homes(layoutOf(1, 1, 1, 2, 1, 0, 1), tenants)
	moved := 0
	for i := range before {
		if before[i] != after[i] {
			require.Equal(t, Cell(4), after[i], "who moves goes to the new cell")
			moved++
		}
	}
	require.InDelta(t, 0.2, float64(moved)/tenants, 0.02)
}

func TestTenantGroups(t *testing.T) {
	l := layoutOf(2, 8, 1)
	alike := 0
	for i := range 2000 {
		a, b := Tenant(fmt.Sprintf("a%d", i)), Tenant(fmt.Sprintf("b%d", i))
		s := l.TenantGroups(a, 0)
		require.Len(t, s, 2)
		require.NotEqual(t, s[0], s[1])
		require.Contains(t, s, l.Group(a, fmt.Sprint("key", i), 0))
		o := l.TenantGroups(b, 0)
		if (s[0] == o[0] || s[0] == o[1]) && (s[1] == o[0] || s[1] == o[1]) {
			alike++
		}
	}
	require.InDelta(t, 1.0/28, float64(alike)/2000, 0.015, "two of eight are 28 pairs")
	require.Len(t, layoutOf(4, 2, 1).TenantGroups("a", 0), 2, "no more than there are")
}

// Against a plain scan of all prefixes.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[ab/]{0,6}`), 0, 20).Draw(t, "prefixes")
		tenants := map[string]Tenant{}
		for i, p := range texts {
			tenants[p] = Tenant(fmt.Sprint("t", i))
		}
		key := rapid.StringMatching(`[ab/]{0,9}`).Draw(t, "key")
		longest, want, found := -1, Tenant(""), false
		for p, tenant := range tenants {
			if strings.HasPrefix(key, p) && len(p) > longest {
				longest, want, found = len(p), tenant, true
			}
		}
		got, is := NewPrefixTrie(tenants).Longest(key)
		require.Equal(t, found, is)
		require.Equal(t, want, got)
	})
}

func TestTenantResolver(t *testing.T) {
	y := NewTenantResolver(map[string]Tenant{"club/": "club", "club/bots/": "bots"}, map[string]Tenant{"eve": "hall"},
		map[string]Tenant{"store": "shop"}, DefaultUser, "rest")
	for _, c := range []struct {
		key, user, database string
		want                Tenant
	}{{"club/bots/1", "eve", "store", "bots"}, {"club/x", "", "", "club"}, {"x", "eve", "store", "hall"},
		{"x", "ann", "store", "shop"}, {"x", "ann", "y", "ann"}, {"x", "", "y", "rest"}} {
		require.Equal(t, c.want, y.Resolve(c.key, c.user, c.database), "%+v", c)
	}
	require.Equal(t, Tenant("y"), NewTenantResolver(nil, nil, nil, DefaultDatabase, "rest").Resolve("x", "ann", "y"))
}

// The promise of space-saving: never too little, and too much by no more than the total over the places.
func TestHeavyHittersErrorBound(t *testing.T) {
	const places = 100
	h, plain := NewHeavyHitters(places), map[Tenant]float64{}
	rng := rand.New(rand.NewSource(1))
	zipf := rand.NewZipf(rng, 1.1, 1, 100_000)
	for range 200_000 {
		tenant := Tenant(fmt.Sprint(zipf.Uint64()))
		h.Add(tenant, 1)
		plain[tenant]++
	}
	for tenant, load := range plain {
		got, over := h.Load(tenant)
		require.GreaterOrEqual(t, got, load)
		require.LessOrEqual(t, got-over, load)
		require.LessOrEqual(t, over, h.total/places)
	}
	require.Equal(t, Tenant("0"), h.Top(1)[0].Tenant)
	h.Decay(0.5)
	require.InDelta(t, 100_000, h.total, 1e-6)
}

// Guards against a file read again that would leave a tenant elsewhere than its data.
func TestUpdateRejectsUnsafeLayouts(t *testing.T) {
	pinned := Tenant("pinned")
	for layoutOf(1, 1, 1, 1, 0).HomeCell(pinned) != 0 {
		pinned += "-"
	}
	for _, c := range []struct {
		name string
		next func() (*Layout, map[Tenant]string)
		says string
	}{
		{"nothing changes", func() (*Layout, map[Tenant]string) { return layoutOf(1, 1, 1, 1, 0), map[Tenant]string{pinned: "c1"} }, ""},
		{"a cell with weight 0 comes", func() (*Layout, map[Tenant]string) {
			return layoutOf(1, 1, 1, 1, 0, 0), map[Tenant]string{pinned: "c1"}
		}, ""},
		{"a cell comes that takes tenants", func() (*Layout, map[Tenant]string) {
			return layoutOf(1, 1, 1, 1, 0, 1), map[Tenant]string{pinned: "c1"}
		}, "weight must be 0"},
		{"a weight changes", func() (*Layout, map[Tenant]string) { return layoutOf(1, 1, 1, 2, 0), map[Tenant]string{pinned: "c1"} }, "weight was 1"},
		{"groups change", func() (*Layout, map[Tenant]string) { return layoutOf(1, 2, 1, 1, 0), map[Tenant]string{pinned: "c1"} }, "groups were"},
		{"the spread changes", func() (*Layout, map[Tenant]string) { return layoutOf(2, 1, 1, 1, 0), map[Tenant]string{pinned: "c1"} }, "groups_a_tenant"},
		{"a cell goes that takes tenants", func() (*Layout, map[Tenant]string) {
			return layoutOf(1, 1, 1), map[Tenant]string{pinned: "c1"}
		}, "it takes tenants by hash"},
		{"a pin goes", func() (*Layout, map[Tenant]string) { return layoutOf(1, 1, 1, 1, 0), map[Tenant]string{} }, "move it"},
		{"a cell goes that has a tenant", func() (*Layout, map[Tenant]string) {
			return layoutOf(1, 1, 1, 1), map[Tenant]string{pinned: "c1"}
		}, `it still has moved`},
		{"a pin changes", func() (*Layout, map[Tenant]string) { return layoutOf(1, 1, 1, 1, 0), map[Tenant]string{pinned: "c0"} }, "and a file can't bring it"},
	} {
		l := layoutOf(1, 1, 1, 1, 0)
		b := NewDirectory(l, map[Tenant]Cell{pinned: 1})
		_, err := b.Apply(Entry{Epoch: 1, Tenant: "moved", Cell: "c2"})
		require.NoError(t, err)
		next, pins := c.next()
		err = b.Update(next, pins)
		if c.says == "" {
			require.NoError(t, err, c.name)
			continue
		}
		require.ErrorContains(t, err, c.says, c.name)
		require.Equal(t, 3, l.Cells(), c.name)
		require.Equal(t, Cell(1), b.Placement(pinned).Cell, c.name)
	}
}
