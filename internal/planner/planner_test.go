package planner

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// skewedTenants draws tenants whose loads follow Zipf's law with some noise, and cells of two sizes in two halls.
func skewedTenants(count, cells int, seed uint64) ([]Tenant, []Cell) {
	rng := rand.New(rand.NewPCG(seed, 1))
	noise := distuv.LogNormal{Mu: 0, Sigma: 0.5, Src: rng}
	tenants := make([]Tenant, count)
	sum := 0.0
	for i := range tenants {
		tenants[i] = Tenant{Name: fmt.Sprintf("tenant-%d", i), Load: noise.Rand() / math.Pow(float64(i+1), 0.7), CurrentCell: NoCell}
		sum += tenants[i].Load
	}
	rooms, able := make([]Cell, cells), 0.0
	for c := range rooms {
		rooms[c] = Cell{Name: fmt.Sprintf("cell-%d", c), Capacity: 1 + float64(c%2), Hall: []string{"milan", "turin"}[c%2]}
		able += rooms[c].Capacity
	}
	for c := range rooms {
		rooms[c].Capacity *= sum / able / 0.6
	}
	return tenants, rooms
}

// rendezvous places tenants as the cells of a layout do.
func rendezvous(tenants []Tenant, cells []Cell) (place []int) {
	for _, t := range tenants {
		best, at := math.Inf(-1), 0
		for c, cell := range cells {
			u := (float64(xxhash.Sum64String(t.Name+"/"+cell.Name)>>11) + 0.5) / (1 << 53)
			if score := -cell.Capacity / math.Log(u); score > best {
				best, at = score, c
			}
		}
		place = append(place, at)
	}
	return place
}

func atRandom(tenants []Tenant, cells []Cell, seed uint64) (place []int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for range tenants {
		place = append(place, rng.IntN(len(cells)))
	}
	return place
}

// firstFit places tenants, the heaviest first, in the first cell that stays below a limit, which grows until all fit.
func firstFit(tenants []Tenant, cells []Cell) []int {
	order := make([]int, len(tenants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tenants[b].Load, tenants[a].Load) })
	bound := newWork(tenants, cells).bound()
	for limit := bound; ; limit *= 1.01 {
		place, loads, fits := make([]int, len(tenants)), make([]float64, len(cells)), true
		for _, t := range order {
			c := -1
			for i := range cells {
				if (loads[i]+tenants[t].Load)/cells[i].Capacity <= limit {
					c = i
					break
				}
			}
			if c < 0 {
				fits = false
				break
			}
			place[t] = c
			loads[c] += tenants[t].Load
		}
		if fits {
			return place
		}
	}
}

func check(t require.TestingT, tenants []Tenant, cells []Cell, most int, p Plan) {
	w := newWork(tenants, cells)
	moves := 0
	for i, c := range p.Placement {
		if c == NoCell {
			continue
		}
		require.True(t, w.may(i, c), "tenant %d may not be in cell %d", i, c)
		if tenants[i].CurrentCell != NoCell && tenants[i].CurrentCell != c && w.may(i, tenants[i].CurrentCell) {
			moves++
		}
	}
	if most >= 0 {
		require.LessOrEqual(t, moves, most)
	}
	require.GreaterOrEqual(t, p.MaxLoad, p.LowerBound*(1-1e-9))
}

// Whatever is asked, a plan keeps what must be kept; small ones are the best there is.
func TestPlanConstraintsAndOptimality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := make([]Cell, rapid.IntRange(1, 4).Draw(t, "cells"))
		for c := range cells {
			cells[c] = Cell{Name: fmt.Sprint(c), Capacity: rapid.Float64Range(1, 5).Draw(t, "able"), Hall: rapid.SampledFrom([]string{"m", "t"}).Draw(t, "hall")}
		}
		tenants := make([]Tenant, rapid.IntRange(0, 7).Draw(t, "tenants"))
		for i := range tenants {
			tenants[i] = Tenant{Name: fmt.Sprint(i), Load: rapid.Float64Range(0.1, 3).Draw(t, "load"),
				CurrentCell: rapid.IntRange(NoCell, len(cells)-1).Draw(t, "at"), Pinned: rapid.Bool().Draw(t, "stay")}
			if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
				tenants[i].Hall = cells[0].Hall
			}
		}
		most := rapid.IntRange(-1, 3).Draw(t, "most")
		p := NewPlan(tenants, cells, most)
		check(t, tenants, cells, most, p)
		if most < 0 {
			require.True(t, p.IsBoundTight)
			best := bruteForce(tenants, cells)
			require.InDelta(t, best, p.LowerBound, 1e-9)
			require.LessOrEqual(t, p.MaxLoad, best/(1-tolerance)+1e-9)
		}
	})
}

// bruteForce tries all placements.
func bruteForce(tenants []Tenant, cells []Cell) float64 {
	w, best, place := newWork(tenants, cells), math.Inf(1), make([]int, len(tenants))
	var down func(i int)
	down = func(i int) {
		if i == len(tenants) {
			best = min(best, w.worst(place))
			return
		}
		for c := range cells {
			if w.may(i, c) {
				place[i] = c
				down(i + 1)
			}
		}
	}
	down(0)
	return best
}

// Guards against plans that move more than they must: one that is asked for again has nothing to move, and one after a
// small change moves little.
func TestPlanNeedsFewMoves(t *testing.T) {
	tenants, cells := skewedTenants(1000, 8, 1)
	p := NewPlan(tenants, cells, -1)
	require.Less(t, p.MaxLoad, p.LowerBound*1.02)
	for i, c := range p.Placement {
		tenants[i].CurrentCell = c
	}
	require.Empty(t, NewPlan(tenants, cells, -1).Moves)
	tenants[0].Load *= 1.5
	again := NewPlan(tenants, cells, -1)
	require.Less(t, len(again.Moves), 40)
	require.Less(t, again.MaxLoad, Evaluate(tenants, cells, p.Placement).MaxLoad)
	require.Len(t, NewPlan(tenants, cells, 0).Moves, 0)
	few := NewPlan(tenants, cells, 3)
	check(t, tenants, cells, 3, few)
	require.Less(t, few.MaxLoad, Evaluate(tenants, cells, p.Placement).MaxLoad)
}

// measured is where TestMeasure writes its table; it does nothing without.
const measured = "SEDGESPREAD_PLANNER_TABLE"

// Compares plans with plain placements. `make results-planner` keeps the table.
func TestMeasure(t *testing.T) {
	path := os.Getenv(measured)
	if path == "" {
		t.Skip("no table is wanted")
	}
	var b strings.Builder
	b.WriteString("| tenants, cells | placement | worst cell over mean | over the lower bound | moves from rendezvous | CPU, relative to first-fit |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, size := range [][2]int{{1000, 8}, {1000, 40}, {100_000, 40}, {100_000, 200}} {
		tenants, cells := skewedTenants(size[0], size[1], 1)
		now := rendezvous(tenants, cells)
		for i, c := range now {
			tenants[i].CurrentCell = c
		}
		var plain time.Duration
		line := func(name string, make func() []int) {
			begun := time.Now()
			place := make()
			took := time.Since(begun)
			if plain == 0 {
				plain = took
			}
			p := Evaluate(tenants, cells, place)
			fmt.Fprintf(&b, "| %d, %d | %s | %.4f | %.4f | %d | %.1f |\n", size[0], size[1], name, p.MaxLoad/p.MeanLoad, p.MaxLoad/p.LowerBound, len(p.Moves),
				float64(took)/float64(plain))
		}
		line("first-fit decreasing", func() []int { return firstFit(tenants, cells) })
		line("random", func() []int { return atRandom(tenants, cells, 1) })
		line("rendezvous", func() []int { return now })
		line("plan, any number of moves", func() []int { return NewPlan(tenants, cells, -1).Placement })
		line("plan, at most 20 moves", func() []int { return NewPlan(tenants, cells, 20).Placement })
	}
	require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
}
