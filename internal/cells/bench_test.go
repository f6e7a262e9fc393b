package cells

import (
	"cmp"
	"fmt"
	"math/rand"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// tablePathEnv names the file that TestMeasure writes its tables to.
const tablePathEnv = "SEDGESPREAD_CELLS_TABLE"

// measureHeap returns the result of build and the heap bytes that it holds.
func measureHeap[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// TestMeasure compares the data structures of this package with simple ones. Run by make
// results-cells.
func TestMeasure(t *testing.T) {
	path := os.Getenv(tablePathEnv)
	if path == "" {
		t.Skip("SEDGESPREAD_CELLS_TABLE is not set")
	}
	text := measurePrefixes(t) + "\n" + measureHeavyHitters()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// measurePrefixes compares look-ups in the trie, by scanning and in a map by prefix length.
func measurePrefixes(t *testing.T) string {
	const count = 100_000
	rng := rand.New(rand.NewSource(1))
	tenants := map[string]Tenant{}
	for len(tenants) < count {
		prefix := fmt.Sprintf("club/%d/", rng.Intn(30_000))
		if rng.Intn(2) == 0 {
			prefix += fmt.Sprintf("room/%d/", rng.Intn(50))
		}
		tenants[prefix] = Tenant(fmt.Sprintf("t%d", len(tenants)%5000))
	}
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = fmt.Sprintf("club/%d/room/%d/game/%d", rng.Intn(40_000), rng.Intn(60), i)
	}
	type pair struct {
		prefix string
		tenant Tenant
	}
	trie, trieBytes := measureHeap(func() *PrefixTrie { return NewPrefixTrie(tenants) })
	sortedPrefixes, sortedBytes := measureHeap(func() (all []pair) {
		for p, tenant := range tenants {
			all = append(all, pair{p, tenant})
		}
		slices.SortFunc(all, func(a, b pair) int {
			return cmp.Or(cmp.Compare(len(b.prefix), len(a.prefix)), cmp.Compare(a.prefix, b.prefix))
		})
		return slices.Clip(all)
	})
	byPrefix, byPrefixBytes := measureHeap(func() map[string]Tenant {
		m := make(map[string]Tenant, len(tenants))
		for p, tenant := range tenants {
			m[p] = tenant
		}
		return m
	})
	scan := func(key string) (Tenant, bool) {
		for i := range sortedPrefixes {
			if strings.HasPrefix(key, sortedPrefixes[i].prefix) {
				return sortedPrefixes[i].tenant, true
			}
		}
		return "", false
	}
	byLength := func(key string) (Tenant, bool) {
		for n := len(key); n > 0; n-- {
			if tenant, found := byPrefix[key[:n]]; found {
				return tenant, true
			}
		}
		return "", false
	}
	for _, key := range keys {
		a, x := trie.Longest(key)
		b, y := scan(key)
		c, z := byLength(key)
		require.Equal(t, []any{a, x}, []any{b, y})
		require.Equal(t, []any{a, x}, []any{c, z})
	}
	cost := func(lookup func(string) (Tenant, bool)) float64 {
		return float64(testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				lookup(keys[i%len(keys)])
			}
		}).NsPerOp())
	}
	trieCost := cost(trie.Longest)
	row := func(name string, bytes, ns float64) string {
		return fmt.Sprintf("| %s | %.1f | %.0f | %.1f |\n", name, bytes/count, ns, ns/trieCost)
	}
	runtime.KeepAlive(tenants)
	return "| 100,000 prefixes | bytes a prefix beyond its text | ns a look-up | over the trie |\n| --- | --- | --- | --- |\n" +
		row("radix trie", trieBytes, trieCost) + row("scan, the longest first", sortedBytes, cost(scan)) +
		row("map, asked by every length", byPrefixBytes, cost(byLength))
}

// measureHeavyHitters compares space-saving with a map.
func measureHeavyHitters() string {
	const tenants, rpcs, shown = 1_000_000, 2_000_000, 100
	rng := rand.New(rand.NewSource(1))
	zipf := rand.NewZipf(rng, 1.1, 2, tenants-1)
	names := make([]Tenant, tenants)
	for i := range names {
		names[i] = Tenant(fmt.Sprintf("tenant-%d", i))
	}
	draws := make([]int32, rpcs)
	for i := range draws {
		draws[i] = int32(zipf.Uint64())
	}
	counts, countsBytes := measureHeap(func() map[Tenant]float64 {
		m := map[Tenant]float64{}
		for i := range names { // each name occurs once
			m[names[i]]++
		}
		for _, d := range draws {
			m[names[d]]++
		}
		return m
	})
	var b strings.Builder
	b.WriteString("| a million tenants, three million RPCs | KiB | of the 100 heaviest found | mean error of those, parts of their load | ns an RPC |\n| --- | --- | --- | --- | --- |\n")
	topLoads := func(all []TenantLoad) []TenantLoad { return sortHeaviestFirst(all)[:shown] }
	var exact []TenantLoad
	for tenant, load := range counts {
		exact = append(exact, TenantLoad{tenant, load, 0})
	}
	exact = topLoads(exact)
	cost := func(add func(Tenant)) int64 {
		return testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				add(names[draws[i%rpcs]])
			}
		}).NsPerOp()
	}
	for _, capacity := range []int{512, maxTrackedTenants, 8192} {
		h, bytes := measureHeap(func() *HeavyHitters {
			h := NewHeavyHitters(capacity)
			for i := range names {
				h.Add(names[i], 1)
			}
			for _, d := range draws {
				h.Add(names[d], 1)
			}
			return h
		})
		found, totalError := 0, 0.0
		for _, want := range exact {
			if _, tracked := h.index[want.Tenant]; tracked {
				found++
				load, over := h.Load(want.Tenant)
				totalError += (load - over/2 - want.Load) / want.Load / shown
			}
		}
		fmt.Fprintf(&b, "| space-saving, %d places | %.0f | %d | %.4f | %d |\n", capacity, bytes/1024, found, max(totalError, -totalError),
			cost(func(tenant Tenant) { h.Add(tenant, 1) }))
	}
	fmt.Fprintf(&b, "| map | %.0f | %d | 0 | %d |\n", countsBytes/1024, shown, cost(func(tenant Tenant) { counts[tenant]++ }))
	runtime.KeepAlive(names)
	return b.String()
}
