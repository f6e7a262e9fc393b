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
	Placement    []int     // cell of each tenant
	Moves        []int     // tenants that change their cell, heaviest first
	Loads        []float64 // of each cell, relative to its capacity
	MaxLoad      float64   // highest of Loads
	MeanLoad     float64   // total load relative to the total capacity
	LowerBound   float64   // no plan has a lower MaxLoad
	IsBoundTight bool      // LowerBound is attainable, and MaxLoad is within loadTolerance of it
}

const (
	loadTolerance    = 0.01  // loads that differ by less than this part count as equal
	minImprovement   = 0.001 // by which a step of polish must lower the highest load
	targetCount      = 48    // loads tried between the lower bound and the current load
	maxBranchTenants = 18    // above this, branch and bound is not tried
	maxBranchNodes   = 1 << 20

	limitTolerance       = 1e-12 // relative and absolute, for rounding errors of loads at a limit
	minBranchImprovement = 1e-9  // relative to the best load so far, for rounding errors
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
	isTight := false
	if len(tenants) <= maxBranchTenants && maxMoves >= len(tenants) {
		var found []int
		if found, isTight = s.branchAndBound(best); found == nil {
			found = best
		}
		if isTight {
			bound = s.maxLoad(found)
		}
		best = s.betterPlacement(best, found)
	}
	return s.plan(s.dropNeedlessMoves(best), bound, isTight)
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
	s := &solver{tenants: tenants, cells: cells, order: make([]int, len(tenants))}
	for i := range s.order {
		s.order[i] = i
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(tenants[b].Load, tenants[a].Load) })
	for _, c := range cells {
		s.totalCapacity += c.Capacity
	}
	s.hasPinned = slices.ContainsFunc(tenants, func(t Tenant) bool { return t.Pinned })
	return s
}

// isAllowed reports whether a tenant may be placed in a cell.
func (s *solver) isAllowed(t, c int) bool {
	tenant := &s.tenants[t]
	if tenant.Pinned && tenant.CurrentCell != NoCell {
		return tenant.CurrentCell == c
	}
	return tenant.Hall == "" || tenant.Hall == s.cells[c].Hall
}

func (s *solver) loads(placement []int) []float64 {
	loads := make([]float64, len(s.cells))
	for t, c := range placement {
		if c != NoCell {
			loads[c] += s.tenants[t].Load
		}
	}
	return loads
}

func (s *solver) maxLoad(placement []int) (highest float64) {
	for c, load := range s.loads(placement) {
		highest = max(highest, load/s.cells[c].Capacity)
	}
	return highest
}

func (s *solver) moveCount(placement []int) (n int) {
	for t, c := range placement {
		if at := s.tenants[t].CurrentCell; at != NoCell && at != c {
			n++
		}
	}
	return n
}

// lowerBound returns a load that no plan can be below. It is the highest of: total load over total
// capacity, load over capacity of each hall, pinned load of each cell, each tenant in its largest
// allowed cell, and, if there are more tenants than cells, two of the heaviest tenants sharing a
// cell.
func (s *solver) lowerBound() float64 {
	var sum, largest float64
	hallLoads, pinnedLoads := map[string]float64{}, make([]float64, len(s.cells))
	hallCapacity := map[string]float64{}
	for _, c := range s.cells {
		largest = max(largest, c.Capacity)
		hallCapacity[c.Hall] += c.Capacity
	}
	bound := 0.0
	for t, tenant := range s.tenants {
		sum += tenant.Load
		if tenant.Pinned && tenant.CurrentCell != NoCell {
			pinnedLoads[tenant.CurrentCell] += tenant.Load
		} else if tenant.Hall != "" {
			hallLoads[tenant.Hall] += tenant.Load
		}
		best := 0.0
		for c := range s.cells {
			if s.isAllowed(t, c) {
				best = max(best, s.cells[c].Capacity)
			}
		}
		if best > 0 {
			bound = max(bound, tenant.Load/best)
		}
	}
	bound = max(bound, sum/s.totalCapacity)
	for hall, load := range hallLoads {
		if hallCapacity[hall] > 0 {
			bound = max(bound, load/hallCapacity[hall])
		}
	}
	for c, load := range pinnedLoads {
		bound = max(bound, load/s.cells[c].Capacity)
	}
	if n := len(s.cells); len(s.order) > n {
		bound = max(bound, (s.tenants[s.order[n-1]].Load+s.tenants[s.order[n]].Load)/largest)
	}
	return bound
}

// currentPlacement returns the current placement, with tenants that have no allowed cell placed in
// the least loaded one.
func (s *solver) currentPlacement() []int {
	placement, loads := make([]int, len(s.tenants)), make([]float64, len(s.cells))
	var unplaced []int
	for _, t := range s.order {
		at := s.tenants[t].CurrentCell
		if at != NoCell && s.isAllowed(t, at) {
			placement[t] = at
			loads[at] += s.tenants[t].Load
		} else {
			unplaced = append(unplaced, t)
		}
	}
	for _, t := range unplaced {
		placement[t] = s.leastLoaded(t, loads)
		if placement[t] != NoCell {
			loads[placement[t]] += s.tenants[t].Load
		}
	}
	return placement
}

// leastLoaded returns the cell with the lowest load after adding a tenant, NoCell if none is
// allowed.
func (s *solver) leastLoaded(t int, loads []float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range s.cells {
		if load := (loads[c] + s.tenants[t].Load) / s.cells[c].Capacity; s.isAllowed(t, c) && load < least {
			best, least = c, load
		}
	}
	return best
}

// placeWithin searches for a placement with all loads within a target and few moves. Overloaded
// cells give up the fewest tenants needed, which go to the cells where they fit best or displace
// lighter ones. It returns nil if it finds none.
func (s *solver) placeWithin(target float64, maxMoves int) []int {
	placement := s.currentPlacement()
	loads := s.loads(placement)
	limit := func(c int) float64 { return target*s.cells[c].Capacity*(1+limitTolerance) + limitTolerance }
	members := make([][]int, len(s.cells)) // heaviest first
	for _, t := range s.order {
		if placement[t] == NoCell {
			return nil
		}
		members[placement[t]] = append(members[placement[t]], t)
	}
	var unplaced []int
	for c := range s.cells {
		unplaced = append(unplaced, s.selectToRemove(members[c], loads[c]-limit(c))...)
	}
	sortHeaviestFirst := func(tenants []int) {
		slices.SortStableFunc(tenants, func(a, b int) int { return cmp.Compare(s.tenants[b].Load, s.tenants[a].Load) })
	}
	sortHeaviestFirst(unplaced)
	for _, t := range unplaced {
		loads[placement[t]] -= s.tenants[t].Load
		placement[t] = NoCell
	}
	for len(unplaced) > 0 {
		t := unplaced[0]
		unplaced = unplaced[1:]
		c := s.bestFit(t, loads, limit)
		if c == NoCell {
			var displaced []int
			if displaced, c = s.displace(t, placement, loads, limit, members); c == NoCell {
				return nil
			}
			for _, other := range displaced {
				loads[c] -= s.tenants[other].Load
				placement[other] = NoCell
			}
			unplaced = append(unplaced, displaced...)
			sortHeaviestFirst(unplaced)
		}
		placement[t] = c
		loads[c] += s.tenants[t].Load
		members[c] = append(members[c], t)
	}
	if s.moveCount(placement) > maxMoves {
		return nil
	}
	return placement
}

// selectToRemove returns the fewest tenants whose removal lowers a cell's load by excess. The last
// one is the lightest that suffices.
func (s *solver) selectToRemove(members []int, excess float64) (removed []int) {
	for i, t := range members {
		if excess <= 0 {
			return removed
		}
		if s.tenants[t].Pinned {
			continue
		}
		if load := s.tenants[t].Load; load >= excess {
			last := t
			for _, lighter := range members[i:] {
				if s.tenants[lighter].Load >= excess && !s.tenants[lighter].Pinned {
					last = lighter
				}
			}
			return append(removed, last)
		}
		removed = append(removed, t)
		excess -= s.tenants[t].Load
	}
	return removed
}

// bestFit returns the cell with the least remaining capacity after adding a tenant, NoCell if it
// fits in none.
func (s *solver) bestFit(t int, loads []float64, limit func(int) float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range s.cells {
		if left := limit(c) - loads[c] - s.tenants[t].Load; left >= 0 && left < least && s.isAllowed(t, c) {
			best, least = c, left
		}
	}
	return best
}

// displace returns the cell where the fewest lighter tenants need to be removed to place a tenant,
// and those tenants. Displaced tenants are always lighter, so that the search terminates.
func (s *solver) displace(t int, placement []int, loads []float64, limit func(int) float64, members [][]int) (displaced []int, target int) {
	load := s.tenants[t].Load
	target = NoCell
	for c := range s.cells {
		if !s.isAllowed(t, c) || load > limit(c) {
			continue
		}
		shortage, candidates := loads[c]+load-limit(c), []int(nil)
		for _, candidate := range members[c] {
			if shortage <= 0 || target != NoCell && len(candidates) >= len(displaced) {
				break
			}
			if other := &s.tenants[candidate]; placement[candidate] == c && !other.Pinned && other.Load < load {
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
func (s *solver) betterPlacement(a, b []int) []int {
	maxA, maxB := s.maxLoad(a), s.maxLoad(b)
	switch {
	case maxB < maxA*(1-loadTolerance):
		return b
	case maxA < maxB*(1-loadTolerance):
		return a
	case s.moveCount(b) < s.moveCount(a):
		return b
	}
	return a
}

const maxPolishSteps = 400

// polish lowers the maximum load by local search: each step moves a tenant out of the most loaded
// cell, or swaps it with a lighter one of another cell.
func (s *solver) polish(placement []int, maxMoves int) []int {
	placement = slices.Clone(placement)
	loads := s.loads(placement)
	for range maxPolishSteps {
		from := 0
		for c := range loads {
			if loads[c]/s.cells[c].Capacity > loads[from]/s.cells[from].Capacity {
				from = c
			}
		}
		step := s.bestSwap(from, placement, loads)
		if step.outgoing == NoCell {
			break
		}
		next := slices.Clone(placement)
		next[step.outgoing] = step.to
		if step.incoming != NoCell {
			next[step.incoming] = from
		}
		if s.moveCount(next) > maxMoves {
			break
		}
		placement = next
		loads = s.loads(placement)
	}
	return placement
}

// swap moves a tenant to another cell, in exchange for one of its tenants or NoCell.
type swap struct{ outgoing, to, incoming int }

const maxSwapCandidates = 64 // per cell

// bestSwap returns the move or swap out of a cell that lowers the higher load of the two cells most.
func (s *solver) bestSwap(from int, placement []int, loads []float64) swap {
	maxLoad := loads[from] / s.cells[from].Capacity
	best, lowest := swap{NoCell, NoCell, NoCell}, maxLoad*(1-minImprovement)
	members := make([][]int, len(s.cells))
	for _, t := range s.order {
		if c := placement[t]; c != NoCell && len(members[c]) < maxSwapCandidates && !s.tenants[t].Pinned {
			members[c] = append(members[c], t)
		}
	}
	for _, outgoing := range members[from] {
		for to := range s.cells {
			if to == from || !s.isAllowed(outgoing, to) {
				continue
			}
			try := func(incoming int, load float64) {
				shift := s.tenants[outgoing].Load - load
				higher := max((loads[from]-shift)/s.cells[from].Capacity, (loads[to]+shift)/s.cells[to].Capacity)
				if shift > 0 && higher < lowest {
					best, lowest = swap{outgoing, to, incoming}, higher
				}
			}
			try(NoCell, 0)
			for _, incoming := range members[to] {
				if s.isAllowed(incoming, from) {
					try(incoming, s.tenants[incoming].Load)
				}
			}
		}
	}
	return best
}

// dropNeedlessMoves undoes moves that are not needed to keep the maximum load.
func (s *solver) dropNeedlessMoves(placement []int) []int {
	placement = slices.Clone(placement)
	loads := s.loads(placement)
	maxLoad := s.maxLoad(placement)
	for i := len(s.order) - 1; i >= 0; i-- {
		t := s.order[i]
		at, load := s.tenants[t].CurrentCell, s.tenants[t].Load
		if at == NoCell || at == placement[t] || !s.isAllowed(t, at) || (loads[at]+load)/s.cells[at].Capacity > maxLoad {
			continue
		}
		loads[placement[t]] -= load
		loads[at] += load
		placement[t] = at
	}
	return placement
}

// branchAndBound searches for a placement with a lower maximum load than best, placing the
// heaviest tenants first. It returns nil if it finds none, and whether the search was complete.
func (s *solver) branchAndBound(best []int) (found []int, complete bool) {
	least := s.maxLoad(best)
	placement, loads := make([]int, len(s.tenants)), make([]float64, len(s.cells))
	nodes := 0
	var descend func(i int)
	descend = func(i int) {
		if nodes++; nodes > maxBranchNodes {
			return
		}
		if i == len(s.order) {
			least, found = s.maxLoad(placement), slices.Clone(placement)
			return
		}
		t := s.order[i]
		type cellState struct {
			load, capacity float64
			hall           string
		}
		tried := map[cellState]bool{}
		for c := range s.cells {
			state := cellState{loads[c], s.cells[c].Capacity, s.cells[c].Hall}
			if !s.isAllowed(t, c) || tried[state] && !s.hasPinned {
				continue
			}
			tried[state] = true
			load := loads[c] + s.tenants[t].Load
			if load/s.cells[c].Capacity >= least*(1-minBranchImprovement) {
				continue
			}
			previous := loads[c]
			loads[c], placement[t] = load, c
			descend(i + 1)
			loads[c] = previous
		}
	}
	descend(0)
	return found, nodes <= maxBranchNodes
}

func (s *solver) plan(placement []int, bound float64, isTight bool) Plan {
	plan := Plan{Placement: placement, Loads: s.loads(placement), MaxLoad: s.maxLoad(placement), LowerBound: bound, IsBoundTight: isTight}
	sum := 0.0
	for c, load := range plan.Loads {
		sum += load
		plan.Loads[c] = load / s.cells[c].Capacity
	}
	plan.MeanLoad = sum / s.totalCapacity
	for _, t := range s.order {
		if at := s.tenants[t].CurrentCell; at != NoCell && at != placement[t] {
			plan.Moves = append(plan.Moves, t)
		}
	}
	return plan
}
