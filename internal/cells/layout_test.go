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

// newTestLayout returns a layout of cells c0, c1, ... with the given weights and distinct groups.
func newTestLayout(groupsPerTenant, groups int, weights ...float64) *Layout {
	l := NewLayout(groupsPerTenant)
	for c, w := range weights {
		var cellGroups Groups
		for g := range groups {
			cellGroups = append(cellGroups, rules.GroupID(c*groups+g+1))
		}
		l.Add(fmt.Sprintf("c%d", c), cellGroups, w, 100, "")
	}
	return l
}

func homeCells(l *Layout, tenants int) (cells []Cell) {
	for t := range tenants {
		cells = append(cells, l.HomeCell(Tenant(fmt.Sprintf("tenant-%d", t))))
	}
	return cells
}

// Guards against moving tenants of other cells when a cell is added.
func TestHomeCellsFollowWeights(t *testing.T) {
	const tenants = 20_000
	before := homeCells(newTestLayout(1, 1, 1, 2, 1, 0), tenants)
	count := map[Cell]int{}
	for _, c := range before {
		count[c]++
	}
	require.Zero(t, count[3], "a cell of weight 0 gets no tenants by hash")
	require.InDelta(t, 0.5, float64(count[1])/tenants, 0.02)
	after := homeCells(newTestLayout(1, 1, 1, 2, 1, 0, 1), tenants)
	moved := 0
	for i := range before {
		if before[i] != after[i] {
			require.Equal(t, Cell(4), after[i], "tenants move only to the new cell")
			moved++
		}
	}
	require.InDelta(t, 0.2, float64(moved)/tenants, 0.02)
}

func TestTenantGroups(t *testing.T) {
	l := newTestLayout(2, 8, 1)
	identical := 0
	for i := range 2000 {
		a, b := Tenant(fmt.Sprintf("a%d", i)), Tenant(fmt.Sprintf("b%d", i))
		groupsA := l.TenantGroups(a, 0)
		require.Len(t, groupsA, 2)
		require.NotEqual(t, groupsA[0], groupsA[1])
		require.Contains(t, groupsA, l.Group(a, fmt.Sprint("key", i), 0))
		groupsB := l.TenantGroups(b, 0)
		if (groupsA[0] == groupsB[0] || groupsA[0] == groupsB[1]) && (groupsA[1] == groupsB[0] || groupsA[1] == groupsB[1]) {
			identical++
		}
	}
	require.InDelta(t, 1.0/28, float64(identical)/2000, 0.015, "eight groups form 28 pairs")
	require.Len(t, newTestLayout(4, 2, 1).TenantGroups("a", 0), 2, "limited by the number of groups in the cell")
}

// Compares the trie with a scan of all prefixes.
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
		got, ok := NewPrefixTrie(tenants).Longest(key)
		require.Equal(t, found, ok)
		require.Equal(t, want, got)
	})
}

func TestTenantResolver(t *testing.T) {
	resolver := NewTenantResolver(map[string]Tenant{"club/": "club", "club/bots/": "bots"}, map[string]Tenant{"eve": "hall"},
		map[string]Tenant{"store": "shop"}, DefaultUser, "rest")
	for _, c := range []struct {
		key, user, database string
		want                Tenant
	}{{"club/bots/1", "eve", "store", "bots"}, {"club/x", "", "", "club"}, {"x", "eve", "store", "hall"},
		{"x", "ann", "store", "shop"}, {"x", "ann", "y", "ann"}, {"x", "", "y", "rest"}} {
		require.Equal(t, c.want, resolver.Resolve(c.key, c.user, c.database), "%+v", c)
	}
	require.Equal(t, Tenant("y"), NewTenantResolver(nil, nil, nil, DefaultDatabase, "rest").Resolve("x", "ann", "y"))
}

// Checks the error bound of space-saving: loads are never underestimated, and overestimated by at
// most total/capacity.
func TestHeavyHittersErrorBound(t *testing.T) {
	const capacity = 100
	heavyHitters, exact := NewHeavyHitters(capacity), map[Tenant]float64{}
	rng := rand.New(rand.NewSource(1))
	zipf := rand.NewZipf(rng, 1.1, 1, 100_000)
	for range 200_000 {
		tenant := Tenant(fmt.Sprint(zipf.Uint64()))
		heavyHitters.Add(tenant, 1)
		exact[tenant]++
	}
	for tenant, load := range exact {
		got, overestimate := heavyHitters.Load(tenant)
		require.GreaterOrEqual(t, got, load)
		require.LessOrEqual(t, got-overestimate, load)
		require.LessOrEqual(t, overestimate, heavyHitters.total/capacity)
	}
	require.Equal(t, Tenant("0"), heavyHitters.Top(1)[0].Tenant)
	heavyHitters.Decay(0.5)
	require.InDelta(t, 100_000, heavyHitters.total, 1e-6)
}

// Guards against a reload that places a tenant in a cell that lacks its data.
func TestUpdateRejectsUnsafeLayouts(t *testing.T) {
	pinned := Tenant("pinned")
	for newTestLayout(1, 1, 1, 1, 0).HomeCell(pinned) != 0 {
		pinned += "-"
	}
	for _, c := range []struct {
		name      string
		next      func() (*Layout, map[Tenant]string)
		wantError string
	}{
		{"no change", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1, 1, 0), map[Tenant]string{pinned: "c1"}
		}, ""},
		{"a cell of weight 0 is added", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1, 1, 0, 0), map[Tenant]string{pinned: "c1"}
		}, ""},
		{"a cell with a weight is added", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1, 1, 0, 1), map[Tenant]string{pinned: "c1"}
		}, "weight must be 0"},
		{"a weight changes", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1, 2, 0), map[Tenant]string{pinned: "c1"}
		}, "weight was 1"},
		{"groups change", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 2, 1, 1, 0), map[Tenant]string{pinned: "c1"}
		}, "groups were"},
		{"the number of groups per tenant changes", func() (*Layout, map[Tenant]string) {
			return newTestLayout(2, 1, 1, 1, 0), map[Tenant]string{pinned: "c1"}
		}, "groups_a_tenant"},
		{"a cell with a weight is removed", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1), map[Tenant]string{pinned: "c1"}
		}, "it takes tenants by hash"},
		{"a pin is removed", func() (*Layout, map[Tenant]string) { return newTestLayout(1, 1, 1, 1, 0), map[Tenant]string{} }, "move it"},
		{"a cell with a tenant is removed", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1, 1), map[Tenant]string{pinned: "c1"}
		}, `it still has moved`},
		{"a pin changes", func() (*Layout, map[Tenant]string) {
			return newTestLayout(1, 1, 1, 1, 0), map[Tenant]string{pinned: "c0"}
		}, "which reloading the configuration cannot change"},
	} {
		l := newTestLayout(1, 1, 1, 1, 0)
		directory := NewDirectory(l, map[Tenant]Cell{pinned: 1})
		_, err := directory.Apply(Entry{Epoch: 1, Tenant: "moved", Cell: "c2"})
		require.NoError(t, err)
		next, pins := c.next()
		err = directory.Update(next, pins)
		if c.wantError == "" {
			require.NoError(t, err, c.name)
			continue
		}
		require.ErrorContains(t, err, c.wantError, c.name)
		require.Equal(t, 3, l.Cells(), c.name)
		require.Equal(t, Cell(1), directory.Placement(pinned).Cell, c.name)
	}
}
