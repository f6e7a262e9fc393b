// Package planner decides which tenants should be in which cells: the least worst load that it finds, and of plans that
// come close to it one with few moves. It does no I/O and reads no clock; the same input gives the same plan.
package planner

import (
	"cmp"
	"math"
	"slices"
)

// Tenant is a tenant to be placed.
type Tenant struct {
	Name        string
	Load        float64 // RPCs a second
	CurrentCell int     // place of its cell now, Nowhere for none
	Pinned      bool    // it may not be moved
	Hall        string  // its cell must stand there, empty for anywhere
}

// Cell is a cell to place tenants in.
type Cell struct {
	Name     string
	Capacity float64 // RPCs a second that it can bear, above 0
	Hall     string
}

// NoCell is where a tenant is that has no cell yet.
const NoCell = -1

// Plan is where tenants should be.
type Plan struct {
	Placement  []int     // by tenant
	Moves      []int     // tenants that are elsewhere now, the heaviest first
	Loads      []float64 // by cell, over what it can bear
	MaxLoad    float64   // of Loads
	MeanLoad   float64   // of all load over all that cells can bear
	LowerBound float64   // no plan has a lower worst
	IsOptimal  bool      // some plan reaches the bound; this one comes within a hundredth of it, for fewer moves
}

const (
	loadTolerance    = 0.01  // a worst load within this of the best found is as good, if it needs fewer moves
	minImprovement   = 0.001 // a step of polishing lowers the worst load by this part at least
	targetCount      = 48    // worst loads tried between the bound and what there is
	maxBranchTenants = 18    // so many can be placed by branch and bound
	maxBranchNodes   = 1 << 20
)

// NewPlan makes a plan with at most so many moves, below 0 for any number.
func NewPlan(tenants []Tenant, cells []Cell, maxMoves int) Plan {
	s := newSolver(tenants, cells)
	if maxMoves < 0 {
		maxMoves = len(tenants)
	}
	bound := s.lowerBound()
	best, firstMet := s.currentPlacement(), 0.0 // the lowest target that could be met
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

// Evaluate tells what a placement is worth, such as one that there is.
func Evaluate(tenants []Tenant, cells []Cell, placement []int) Plan {
	s := newSolver(tenants, cells)
	return s.plan(placement, s.lowerBound(), false)
}

// solver is a task with what is looked up often.
type solver struct {
	tenants       []Tenant
	cells         []Cell
	order         []int // tenants, the heaviest first
	totalCapacity float64
	hasPinned     bool // some tenant may not be moved: cells that look alike are not
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

// isAllowed tells whether a tenant may be in a cell.
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

// lowerBound is a worst load that no plan can go below: all load over all cells, the load of a hall over its cells, a tenant
// in the largest cell that it may have, what must stay over its cell, and, where there are more tenants than cells, two
// of the heaviest in one.
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

// currentPlacement is the placement that there is, with those that have no cell, or may not be in theirs, put where most is free.
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

// leastLoaded is the cell whose load would be least with a tenant, Nowhere where none may have it.
func (w *solver) leastLoaded(t int, loads []float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range w.cells {
		if load := (loads[c] + w.tenants[t].Load) / w.cells[c].Capacity; w.isAllowed(t, c) && load < least {
			best, least = c, load
		}
	}
	return best
}

// placeWithin looks for a placement in which no load is above a target, with few moves: cells that are above it give up the
// fewest tenants that bring them below, and those go where they fit best, if need be in place of lighter ones. It gives
// nil where it finds none.
func (w *solver) placeWithin(target float64, maxMoves int) []int {
	place := w.currentPlacement()
	loads := w.loads(place)
	limit := func(c int) float64 { return target*w.cells[c].Capacity*(1+1e-12) + 1e-12 }
	members := make([][]int, len(w.cells)) // the heaviest first
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

// selectToRemove names the fewest tenants of a cell that bring it down by an excess; of the last one the lightest that will do.
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

// bestFit is the cell that has least room left with a tenant, Nowhere where it fits in none.
func (w *solver) bestFit(t int, loads []float64, limit func(int) float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range w.cells {
		if left := limit(c) - loads[c] - w.tenants[t].Load; left >= 0 && left < least && w.isAllowed(t, c) {
			best, least = c, left
		}
	}
	return best
}

// displace finds the cell where the fewest lighter tenants make room for one, and names them. Each that is placed so is
// heavier than what it displaces, so that this comes to an end.
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

// betterPlacement is of two placements the one with the lower worst load, or with fewer moves where both are as good.
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

// maxPolishSteps is how many steps polish makes at the most.
const maxPolishSteps = 400

// polish lowers the worst load step by step: a tenant leaves the worst cell, or changes places with a lighter one of
// another, whichever leaves the higher of the two lowest.
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

// swap takes a tenant out of a cell to another, in exchange for one or Nowhere.
type swap struct{ outgoing, to, incoming int }

const maxSwapCandidates = 64 // tenants of a cell that are looked at for a step

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

// dropNeedlessMoves takes moves back that bring nothing: a tenant stays where it is if the worst load stays as low without.
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

// branchAndBound looks for the least worst load by branch and bound, the heaviest tenants first. It gives nil where nothing
// better than a placement was found, and tells whether all that could be better was looked at.
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
