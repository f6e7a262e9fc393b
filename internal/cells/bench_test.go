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

// measured is where TestMeasure writes its tables; it does nothing without.
const measured = "SEDGESPREAD_CELLS_TABLE"

// heap is how many bytes what a function makes holds.
func heap[T any](make func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return made, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// TestMeasure compares the structures of this package with plain ones. `make results-cells` keeps the tables.
func TestMeasure(t *testing.T) {
	path := os.Getenv(measured)
	if path == "" {
		t.Skip("no table is wanted")
	}
	text := measurePrefixes(t) + "\n" + measureHeavy()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

// measurePrefixes looks 100,000 prefixes up in the trie, by a scan, and in a map by every length.
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
	trie, trieBytes := heap(func() *PrefixTrie { return NewPrefixTrie(tenants) })
	plain, plainBytes := heap(func() (all []pair) {
		for p, tenant := range tenants {
			all = append(all, pair{p, tenant})
		}
		slices.SortFunc(all, func(a, b pair) int {
			return cmp.Or(cmp.Compare(len(b.prefix), len(a.prefix)), cmp.Compare(a.prefix, b.prefix))
		})
		return slices.Clip(all)
	})
	lengths, lengthsBytes := heap(func() map[string]Tenant {
		m := make(map[string]Tenant, len(tenants))
		for p, tenant := range tenants {
			m[p] = tenant
		}
		return m
	})
	scan := func(key string) (Tenant, bool) {
		for i := range plain {
			if strings.HasPrefix(key, plain[i].prefix) {
				return plain[i].tenant, true
			}
		}
		return "", false
	}
	byLength := func(key string) (Tenant, bool) {
		for n := len(key); n > 0; n-- {
			if tenant, found := lengths[key[:n]]; found {
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
	cost := func(look func(string) (Tenant, bool)) float64 {
		return float64(testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				look(keys[i%len(keys)])
			}
		}).NsPerOp())
	}
	one := cost(trie.Longest)
	line := func(name string, bytes, ns float64) string {
		return fmt.Sprintf("| %s | %.1f | %.0f | %.1f |\n", name, bytes/count, ns, ns/one)
	}
	runtime.KeepAlive(tenants)
	return "| 100,000 prefixes | bytes a prefix beyond its text | ns a look-up | over the trie |\n| --- | --- | --- | --- |\n" +
		line("radix trie", trieBytes, one) + line("scan, the longest first", plainBytes, cost(scan)) +
		line("map, asked by every length", lengthsBytes, cost(byLength))
}

// measureHeavy counts two million RPCs of a million tenants by space-saving and in a map.
func measureHeavy() string {
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
	plain, plainBytes := heap(func() map[Tenant]float64 {
		m := map[Tenant]float64{}
		for i := range names { // every name comes once, as a flood of names does
			m[names[i]]++
		}
		for _, d := range draws {
			m[names[d]]++
		}
		return m
	})
	var b strings.Builder
	b.WriteString("| a million tenants, three million RPCs | KiB | of the 100 heaviest found | mean error of those, parts of their load | ns an RPC |\n| --- | --- | --- | --- | --- |\n")
	heaviest := func(all []TenantLoad) []TenantLoad { return heaviest(all)[:shown] }
	var exact []TenantLoad
	for tenant, load := range plain {
		exact = append(exact, TenantLoad{tenant, load, 0})
	}
	exact = heaviest(exact)
	cost := func(add func(Tenant)) int64 {
		return testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				add(names[draws[i%rpcs]])
			}
		}).NsPerOp()
	}
	for _, places := range []int{512, heavyKept, 8192} {
		h, bytes := heap(func() *HeavyHitters {
			h := NewHeavyHitters(places)
			for i := range names {
				h.Add(names[i], 1)
			}
			for _, d := range draws {
				h.Add(names[d], 1)
			}
			return h
		})
		found, wrong := 0, 0.0
		for _, w := range exact {
			if _, kept := h.at[w.Tenant]; kept {
				found++
				load, over := h.Load(w.Tenant)
				wrong += (load - over/2 - w.Load) / w.Load / shown
			}
		}
		fmt.Fprintf(&b, "| space-saving, %d places | %.0f | %d | %.4f | %d |\n", places, bytes/1024, found, max(wrong, -wrong),
			cost(func(tenant Tenant) { h.Add(tenant, 1) }))
	}
	fmt.Fprintf(&b, "| map | %.0f | %d | 0 | %d |\n", plainBytes/1024, shown, cost(func(tenant Tenant) { plain[tenant]++ }))
	runtime.KeepAlive(names)
	return b.String()
}
