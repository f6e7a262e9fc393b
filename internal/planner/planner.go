// Package planner computes an assignment of tenants to cells that minimizes the highest relative
// load. Of plans within a tolerance of the lowest load found it prefers those with few moves. It
// does no I/O and reads no clock; the same input gives the same plan.
package planner

import (
	"cmp"
	"math"
	"slices"
)

// Tenant is a tenant to be placed.
type Tenant struct {
	Name        string
	Load        float64 // RPCs per second
	CurrentCell int     // index of its cell, NoCell for none
	Pinned      bool    // must stay in its current cell
	Hall        string  // required hall of its cell, empty for any
}

// Cell is a cell that tenants can be assigned to.
type Cell struct {
	Name     string
	Capacity float64 // RPCs per second, above 0
	Hall     string
}

// NoCell means that a tenant has no cell yet.
const NoCell = -1

// Plan is an assignment of tenants to cells.
type Plan struct {
	Placement  []int     // cell of each tenant
	Moves      []int     // tenants that change their cell, heaviest first
	Loads      []float64 // of each cell, relative to its capacity
	MaxLoad    float64   // highest of Loads
	MeanLoad   float64   // total load relative to the total capacity
	LowerBound float64   // no plan has a lower MaxLoad
	IsOptimal  bool      // LowerBound is attainable, and MaxLoad is within loadTolerance of it
}

const (
	loadTolerance    = 0.01  // loads that differ by less than this part count as equal
	minImprovement   = 0.001 // by which a step of polish must lower the highest load
	targetCount      = 48    // loads tried between the lower bound and the current load
	maxBranchTenants = 18    // above this, branch and bound is not tried
	maxBranchNodes   = 1 << 20
)

// NewPlan computes a plan with up to maxMoves moves, any number if negative.
func NewPlan(tenants []Tenant, cells []Cell, maxMoves int) Plan {
	s := newSolver(tenants, cells)
	if maxMoves < 0 {
		maxMoves = len(tenants)
	}
	bound := s.lowerBound()
	best, firstMet := s.currentPlacement(), 0.0 // lowest target that could be met
	for i := 0; i < targetCount; i++ {
		target := bound * math.Pow(max(1, s.maxLoad(best)/bound), float64(i)/targetCount)
		if firstMet > 0 && target > firstMet*(1+loadTolerance) {
			break
		}
		if placement := s.placeWithin(target, maxMoves); placement != nil {
			best = s.betterPlacement(best, placement)
			firstMet = cmp.Or(firstMet, target)
		}
	}
	best = s.polish(best, maxMoves)
	exact := false
	if len(tenants) <= maxBranchTenants && maxMoves >= len(tenants) {
		var found []int
		if found, exact = s.branchAndBound(best); found == nil {
			found = best
		}
		if exact {
			bound = s.maxLoad(found)
		}
		best = s.betterPlacement(best, found)
	}
	return s.plan(s.dropNeedlessMoves(best), bound, exact)
}

// Evaluate computes the loads and moves of a given placement.
func Evaluate(tenants []Tenant, cells []Cell, placement []int) Plan {
	s := newSolver(tenants, cells)
	return s.plan(placement, s.lowerBound(), false)
}

// solver holds the input and values derived from it.
type solver struct {
	tenants       []Tenant
	cells         []Cell
	order         []int // tenants, heaviest first
	totalCapacity float64
	hasPinned     bool // some tenants are pinned, so that cells with equal loads are not interchangeable
}

func newSolver(tenants []Tenant, cells []Cell) *solver {
	w := &solver{tenants: tenants, cells: cells, order: make([]int, len(tenants))}
	for i := range w.order {
		w.order[i] = i
	}
	slices.SortStableFunc(w.order, func(a, b int) int { return cmp.Compare(tenants[b].Load, tenants[a].Load) })
	for _, c := range cells {
		w.totalCapacity += c.Capacity
	}
	w.hasPinned = slices.ContainsFunc(tenants, func(t Tenant) bool { return t.Pinned })
	return w
}

// isAllowed reports whether a tenant may be placed in a cell.
func (w *solver) isAllowed(t, c int) bool {
	tenant := &w.tenants[t]
	if tenant.Pinned && tenant.CurrentCell != NoCell {
		return tenant.CurrentCell == c
	}
	return tenant.Hall == "" || tenant.Hall == w.cells[c].Hall
}

func (w *solver) loads(place []int) []float64 {
	loads := make([]float64, len(w.cells))
	for t, c := range place {
		if c != NoCell {
			loads[c] += w.tenants[t].Load
		}
	}
	return loads
}

func (w *solver) maxLoad(place []int) (highest float64) {
	for c, load := range w.loads(place) {
		highest = max(highest, load/w.cells[c].Capacity)
	}
	return highest
}

func (w *solver) moveCount(place []int) (n int) {
	for t, c := range place {
		if at := w.tenants[t].CurrentCell; at != NoCell && at != c {
			n++
		}
	}
	return n
}

// lowerBound returns a load that no plan can be below. It is the highest of: total load over total
// capacity, load over capacity of each hall, pinned load of each cell, each tenant in its largest
// allowed cell, and, if there are more tenants than cells, two of the heaviest tenants sharing a
// cell.
func (w *solver) lowerBound() float64 {
	var sum, largest float64
	hallLoads, pinnedLoads := map[string]float64{}, make([]float64, len(w.cells))
	hallCapacity := map[string]float64{}
	for _, c := range w.cells {
		largest = max(largest, c.Capacity)
		hallCapacity[c.Hall] += c.Capacity
	}
	bound := 0.0
	for t, tenant := range w.tenants {
		sum += tenant.Load
		if tenant.Pinned && tenant.CurrentCell != NoCell {
			pinnedLoads[tenant.CurrentCell] += tenant.Load
		} else if tenant.Hall != "" {
			hallLoads[tenant.Hall] += tenant.Load
		}
		best := 0.0
		for c := range w.cells {
			if w.isAllowed(t, c) {
				best = max(best, w.cells[c].Capacity)
			}
		}
		if best > 0 {
			bound = max(bound, tenant.Load/best)
		}
	}
	bound = max(bound, sum/w.totalCapacity)
	for hall, load := range hallLoads {
		if hallCapacity[hall] > 0 {
			bound = max(bound, load/hallCapacity[hall])
		}
	}
	for c, load := range pinnedLoads {
		bound = max(bound, load/w.cells[c].Capacity)
	}
	if n := len(w.cells); len(w.order) > n {
		bound = max(bound, (w.tenants[w.order[n-1]].Load+w.tenants[w.order[n]].Load)/largest)
	}
	return bound
}

// currentPlacement returns the current placement, with tenants that have no allowed cell placed in
// the least loaded one.
func (w *solver) currentPlacement() []int {
	place, loads := make([]int, len(w.tenants)), make([]float64, len(w.cells))
	var unplaced []int
	for _, t := range w.order {
		at := w.tenants[t].CurrentCell
		if at != NoCell && w.isAllowed(t, at) {
			place[t] = at
			loads[at] += w.tenants[t].Load
		} else {
			unplaced = append(unplaced, t)
		}
	}
	for _, t := range unplaced {
		place[t] = w.leastLoaded(t, loads)
		if place[t] != NoCell {
			loads[place[t]] += w.tenants[t].Load
		}
	}
	return place
}

// leastLoaded returns the cell with the lowest load after adding a tenant, NoCell if none is
// allowed.
func (w *solver) leastLoaded(t int, loads []float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range w.cells {
		if load := (loads[c] + w.tenants[t].Load) / w.cells[c].Capacity; w.isAllowed(t, c) && load < least {
			best, least = c, load
		}
	}
	return best
}

// placeWithin searches for a placement with all loads within a target and few moves. Overloaded
// cells give up the fewest tenants needed, which go to the cells where they fit best or displace
// lighter ones. It returns nil if it finds none.
func (w *solver) placeWithin(target float64, maxMoves int) []int {
	place := w.currentPlacement()
	loads := w.loads(place)
	limit := func(c int) float64 { return target*w.cells[c].Capacity*(1+1e-12) + 1e-12 }
	members := make([][]int, len(w.cells)) // heaviest first
	for _, t := range w.order {
		if place[t] == NoCell {
			return nil
		}
		members[place[t]] = append(members[place[t]], t)
	}
	var unplaced []int
	for c := range w.cells {
		unplaced = append(unplaced, w.selectToRemove(members[c], loads[c]-limit(c))...)
	}
	heaviestFirst := func(ts []int) {
		slices.SortStableFunc(ts, func(a, b int) int { return cmp.Compare(w.tenants[b].Load, w.tenants[a].Load) })
	}
	heaviestFirst(unplaced)
	for _, t := range unplaced {
		loads[place[t]] -= w.tenants[t].Load
		place[t] = NoCell
	}
	for len(unplaced) > 0 {
		t := unplaced[0]
		unplaced = unplaced[1:]
		c := w.bestFit(t, loads, limit)
		if c == NoCell {
			var displaced []int
			if displaced, c = w.displace(t, place, loads, limit, members); c == NoCell {
				return nil
			}
			for _, other := range displaced {
				loads[c] -= w.tenants[other].Load
				place[other] = NoCell
			}
			unplaced = append(unplaced, displaced...)
			heaviestFirst(unplaced)
		}
		place[t] = c
		loads[c] += w.tenants[t].Load
		members[c] = append(members[c], t)
	}
	if w.moveCount(place) > maxMoves {
		return nil
	}
	return place
}

// selectToRemove returns the fewest tenants whose removal lowers a cell's load by excess. The last
// one is the lightest that suffices.
func (w *solver) selectToRemove(members []int, excess float64) (removed []int) {
	for i, t := range members {
		if excess <= 0 {
			return removed
		}
		if w.tenants[t].Pinned {
			continue
		}
		if load := w.tenants[t].Load; load >= excess {
			last := t
			for _, lighter := range members[i:] {
				if w.tenants[lighter].Load >= excess && !w.tenants[lighter].Pinned {
					last = lighter
				}
			}
			return append(removed, last)
		}
		removed = append(removed, t)
		excess -= w.tenants[t].Load
	}
	return removed
}

// bestFit returns the cell with the least remaining capacity after adding a tenant, NoCell if it
// fits in none.
func (w *solver) bestFit(t int, loads []float64, limit func(int) float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range w.cells {
		if left := limit(c) - loads[c] - w.tenants[t].Load; left >= 0 && left < least && w.isAllowed(t, c) {
			best, least = c, left
		}
	}
	return best
}

// displace returns the cell where the fewest lighter tenants need to be removed to place a tenant,
// and those tenants. Displaced tenants are always lighter, so that the search terminates.
func (w *solver) displace(t int, place []int, loads []float64, limit func(int) float64, members [][]int) (displaced []int, target int) {
	load := w.tenants[t].Load
	target = NoCell
	for c := range w.cells {
		if !w.isAllowed(t, c) || load > limit(c) {
			continue
		}
		shortage, candidates := loads[c]+load-limit(c), []int(nil)
		for _, candidate := range members[c] {
			if shortage <= 0 || target != NoCell && len(candidates) >= len(displaced) {
				break
			}
			if other := &w.tenants[candidate]; place[candidate] == c && !other.Pinned && other.Load < load {
				candidates = append(candidates, candidate)
				shortage -= other.Load
			}
		}
		if shortage <= 0 && (target == NoCell || len(candidates) < len(displaced)) {
			displaced, target = candidates, c
		}
	}
	return displaced, target
}

// betterPlacement returns the placement with the lower maximum load, or with fewer moves if the
// loads are within loadTolerance.
func (w *solver) betterPlacement(a, b []int) []int {
	maxA, maxB := w.maxLoad(a), w.maxLoad(b)
	switch {
	case maxB < maxA*(1-loadTolerance):
		return b
	case maxA < maxB*(1-loadTolerance):
		return a
	case w.moveCount(b) < w.moveCount(a):
		return b
	}
	return a
}

const maxPolishSteps = 400

// polish lowers the maximum load by local search: each step moves a tenant out of the most loaded
// cell, or swaps it with a lighter one of another cell.
func (w *solver) polish(place []int, maxMoves int) []int {
	place = slices.Clone(place)
	loads := w.loads(place)
	for range maxPolishSteps {
		from := 0
		for c := range loads {
			if loads[c]/w.cells[c].Capacity > loads[from]/w.cells[from].Capacity {
				from = c
			}
		}
		s := w.bestSwap(from, place, loads)
		if s.outgoing == NoCell {
			break
		}
		next := slices.Clone(place)
		next[s.outgoing] = s.to
		if s.incoming != NoCell {
			next[s.incoming] = from
		}
		if w.moveCount(next) > maxMoves {
			break
		}
		place = next
		loads = w.loads(place)
	}
	return place
}

// swap moves a tenant to another cell, in exchange for one of its tenants or NoCell.
type swap struct{ outgoing, to, incoming int }

const maxSwapCandidates = 64 // per cell

func (w *solver) bestSwap(from int, place []int, loads []float64) swap {
	maxLoad := loads[from] / w.cells[from].Capacity
	best, lowest := swap{NoCell, NoCell, NoCell}, maxLoad*(1-minImprovement)
	members := make([][]int, len(w.cells))
	for _, t := range w.order {
		if c := place[t]; c != NoCell && len(members[c]) < maxSwapCandidates && !w.tenants[t].Pinned {
			members[c] = append(members[c], t)
		}
	}
	for _, outgoing := range members[from] {
		for to := range w.cells {
			if to == from || !w.isAllowed(outgoing, to) {
				continue
			}
			try := func(incoming int, load float64) {
				shift := w.tenants[outgoing].Load - load
				higher := max((loads[from]-shift)/w.cells[from].Capacity, (loads[to]+shift)/w.cells[to].Capacity)
				if shift > 0 && higher < lowest {
					best, lowest = swap{outgoing, to, incoming}, higher
				}
			}
			try(NoCell, 0)
			for _, incoming := range members[to] {
				if w.isAllowed(incoming, from) {
					try(incoming, w.tenants[incoming].Load)
				}
			}
		}
	}
	return best
}

// dropNeedlessMoves undoes moves that are not needed to keep the maximum load.
func (w *solver) dropNeedlessMoves(place []int) []int {
	place = slices.Clone(place)
	loads := w.loads(place)
	maxLoad := w.maxLoad(place)
	for i := len(w.order) - 1; i >= 0; i-- {
		t := w.order[i]
		at, load := w.tenants[t].CurrentCell, w.tenants[t].Load
		if at == NoCell || at == place[t] || !w.isAllowed(t, at) || (loads[at]+load)/w.cells[at].Capacity > maxLoad {
			continue
		}
		loads[place[t]] -= load
		loads[at] += load
		place[t] = at
	}
	return place
}

// branchAndBound searches for a placement with a lower maximum load than best, placing the
// heaviest tenants first. It returns nil if it finds none, and whether the search was complete.
func (w *solver) branchAndBound(best []int) (found []int, complete bool) {
	least := w.maxLoad(best)
	place, loads := make([]int, len(w.tenants)), make([]float64, len(w.cells))
	nodes := 0
	var descend func(i int)
	descend = func(i int) {
		if nodes++; nodes > maxBranchNodes {
			return
		}
		if i == len(w.order) {
			least, found = w.maxLoad(place), slices.Clone(place)
			return
		}
		t := w.order[i]
		type cellState struct {
			load, able float64
			hall       string
		}
		tried := map[cellState]bool{}
		for c := range w.cells {
			state := cellState{loads[c], w.cells[c].Capacity, w.cells[c].Hall}
			if !w.isAllowed(t, c) || tried[state] && !w.hasPinned {
				continue
			}
			tried[state] = true
			load := loads[c] + w.tenants[t].Load
			if load/w.cells[c].Capacity >= least*(1-1e-9) {
				continue
			}
			previous := loads[c]
			loads[c], place[t] = load, c
			descend(i + 1)
			loads[c] = previous
		}
	}
	descend(0)
	return found, nodes <= maxBranchNodes
}

func (w *solver) plan(place []int, bound float64, exact bool) Plan {
	p := Plan{Placement: place, Loads: w.loads(place), MaxLoad: w.maxLoad(place), LowerBound: bound, IsOptimal: exact}
	sum := 0.0
	for c, load := range p.Loads {
		sum += load
		p.Loads[c] = load / w.cells[c].Capacity
	}
	p.MeanLoad = sum / w.totalCapacity
	for _, t := range w.order {
		if at := w.tenants[t].CurrentCell; at != NoCell && at != place[t] {
			p.Moves = append(p.Moves, t)
		}
	}
	return p
}
