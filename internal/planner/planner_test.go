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

// skewedTenants returns tenants whose loads follow Zipf's law with noise, and cells of two sizes
// in two halls.
func skewedTenants(count, cells int, seed uint64) ([]Tenant, []Cell) {
	rng := rand.New(rand.NewPCG(seed, 1))
	loadNoise := distuv.LogNormal{Mu: 0, Sigma: 0.5, Src: rng}
	tenants := make([]Tenant, count)
	sum := 0.0
	for i := range tenants {
		tenants[i] = Tenant{Name: fmt.Sprintf("tenant-%d", i), Load: loadNoise.Rand() / math.Pow(float64(i+1), 0.7), CurrentCell: NoCell}
		sum += tenants[i].Load
	}
	cellList, totalCapacity := make([]Cell, cells), 0.0
	for c := range cellList {
		cellList[c] = Cell{Name: fmt.Sprintf("cell-%d", c), Capacity: 1 + float64(c%2), Hall: []string{"milan", "turin"}[c%2]}
		totalCapacity += cellList[c].Capacity
	}
	for c := range cellList {
		cellList[c].Capacity *= sum / totalCapacity / 0.6
	}
	return tenants, cellList
}

// placeByRendezvous places tenants by weighted rendezvous hashing.
func placeByRendezvous(tenants []Tenant, cells []Cell) (placement []int) {
	for _, t := range tenants {
		best, at := math.Inf(-1), 0
		for c, cell := range cells {
			u := (float64(xxhash.Sum64String(t.Name+"/"+cell.Name)>>11) + 0.5) / (1 << 53)
			if score := -cell.Capacity / math.Log(u); score > best {
				best, at = score, c
			}
		}
		placement = append(placement, at)
	}
	return placement
}

func placeRandomly(tenants []Tenant, cells []Cell, seed uint64) (placement []int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for range tenants {
		placement = append(placement, rng.IntN(len(cells)))
	}
	return placement
}

// placeFirstFit places the heaviest tenants first, each in the first cell with load below a limit,
// and raises the limit until all fit.
func placeFirstFit(tenants []Tenant, cells []Cell) []int {
	order := make([]int, len(tenants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tenants[b].Load, tenants[a].Load) })
	bound := newSolver(tenants, cells).lowerBound()
	for limit := bound; ; limit *= 1.01 {
		placement, loads, fits := make([]int, len(tenants)), make([]float64, len(cells)), true
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
			placement[t] = c
			loads[c] += tenants[t].Load
		}
		if fits {
			return placement
		}
	}
}

func checkPlan(t require.TestingT, tenants []Tenant, cells []Cell, maxMoves int, p Plan) {
	s := newSolver(tenants, cells)
	moves := 0
	for i, c := range p.Placement {
		if c == NoCell {
			continue
		}
		require.True(t, s.isAllowed(i, c), "tenant %d is not allowed in cell %d", i, c)
		if tenants[i].CurrentCell != NoCell && tenants[i].CurrentCell != c && s.isAllowed(i, tenants[i].CurrentCell) {
			moves++
		}
	}
	if maxMoves >= 0 {
		require.LessOrEqual(t, moves, maxMoves)
	}
	require.GreaterOrEqual(t, p.MaxLoad, p.LowerBound*(1-1e-9))
}

// Plans respect all constraints, and small ones are optimal.
func TestPlanConstraintsAndOptimality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := make([]Cell, rapid.IntRange(1, 4).Draw(t, "cells"))
		for c := range cells {
			cells[c] = Cell{Name: fmt.Sprint(c), Capacity: rapid.Float64Range(1, 5).Draw(t, "capacity"), Hall: rapid.SampledFrom([]string{"m", "t"}).Draw(t, "hall")}
		}
		tenants := make([]Tenant, rapid.IntRange(0, 7).Draw(t, "tenants"))
		for i := range tenants {
			tenants[i] = Tenant{Name: fmt.Sprint(i), Load: rapid.Float64Range(0.1, 3).Draw(t, "load"),
				CurrentCell: rapid.IntRange(NoCell, len(cells)-1).Draw(t, "current cell"), Pinned: rapid.Bool().Draw(t, "pinned")}
			if rapid.IntRange(0, 3).Draw(t, "hall required") == 0 {
				tenants[i].Hall = cells[0].Hall
			}
		}
		maxMoves := rapid.IntRange(-1, 3).Draw(t, "max moves")
		p := NewPlan(tenants, cells, maxMoves)
		checkPlan(t, tenants, cells, maxMoves, p)
		if maxMoves < 0 {
			require.True(t, p.IsBoundTight)
			best := minMaxLoad(tenants, cells)
			require.InDelta(t, best, p.LowerBound, 1e-9)
			require.LessOrEqual(t, p.MaxLoad, best/(1-loadTolerance)+1e-9)
		}
	})
}

// minMaxLoad returns the lowest maximum load over all placements.
func minMaxLoad(tenants []Tenant, cells []Cell) float64 {
	s, best, placement := newSolver(tenants, cells), math.Inf(1), make([]int, len(tenants))
	var descend func(i int)
	descend = func(i int) {
		if i == len(tenants) {
			best = min(best, s.maxLoad(placement))
			return
		}
		for c := range cells {
			if s.isAllowed(i, c) {
				placement[i] = c
				descend(i + 1)
			}
		}
	}
	descend(0)
	return best
}

// Guards against needless moves: repeating a plan moves nothing, and a small change of load moves
// few tenants.
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
	checkPlan(t, tenants, cells, 3, few)
	require.Less(t, few.MaxLoad, Evaluate(tenants, cells, p.Placement).MaxLoad)
}

// tablePathEnv names the file that TestMeasure writes its table to.
const tablePathEnv = "SEDGESPREAD_PLANNER_TABLE"

// TestMeasure compares plans with simple placements. Run by make results-planner.
func TestMeasure(t *testing.T) {
	path := os.Getenv(tablePathEnv)
	if path == "" {
		t.Skip("SEDGESPREAD_PLANNER_TABLE is not set")
	}
	var b strings.Builder
	b.WriteString("| tenants, cells | placement | worst cell over mean | over the lower bound | moves from rendezvous | CPU, relative to first-fit |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, size := range [][2]int{{1000, 8}, {1000, 40}, {100_000, 40}, {100_000, 200}} {
		tenants, cells := skewedTenants(size[0], size[1], 1)
		current := placeByRendezvous(tenants, cells)
		for i, c := range current {
			tenants[i].CurrentCell = c
		}
		var baseline time.Duration
		addRow := func(name string, place func() []int) {
			start := time.Now()
			placement := place()
			elapsed := time.Since(start)
			if baseline == 0 {
				baseline = elapsed
			}
			p := Evaluate(tenants, cells, placement)
			fmt.Fprintf(&b, "| %d, %d | %s | %.4f | %.4f | %d | %.1f |\n", size[0], size[1], name, p.MaxLoad/p.MeanLoad, p.MaxLoad/p.LowerBound, len(p.Moves),
				float64(elapsed)/float64(baseline))
		}
		addRow("first-fit decreasing", func() []int { return placeFirstFit(tenants, cells) })
		addRow("random", func() []int { return placeRandomly(tenants, cells, 1) })
		addRow("rendezvous", func() []int { return current })
		addRow("plan, any number of moves", func() []int { return NewPlan(tenants, cells, -1).Placement })
		addRow("plan, at most 20 moves", func() []int { return NewPlan(tenants, cells, 20).Placement })
	}
	require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
}
