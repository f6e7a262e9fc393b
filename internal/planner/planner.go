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
	Placement    []int     // by tenant
	Moves        []int     // tenants that are elsewhere now, the heaviest first
	Loads        []float64 // by cell, over what it can bear
	MaxLoad      float64   // of Loads
	MeanLoad     float64   // of all load over all that cells can bear
	LowerBound   float64   // no plan has a lower worst
	IsBoundTight bool      // some plan reaches the bound; this one comes within a hundredth of it, for fewer moves
}

const (
	tolerance  = 0.01  // a worst load within this of the best found is as good, if it needs fewer moves
	worthwhile = 0.001 // a step of polishing lowers the worst load by this part at least
	targets    = 48    // worst loads tried between the bound and what there is
	fewTenants = 18    // so many can be placed by branch and bound
	mostNodes  = 1 << 20
)

// NewPlan makes a plan with at most so many moves, below 0 for any number.
func NewPlan(tenants []Tenant, cells []Cell, most int) Plan {
	w := newWork(tenants, cells)
	if most < 0 {
		most = len(tenants)
	}
	bound := w.bound()
	best, first := w.present(), 0.0 // the lowest target that could be met
	for i := 0; i < targets; i++ {
		t := bound * math.Pow(max(1, w.worst(best)/bound), float64(i)/targets)
		if first > 0 && t > first*(1+tolerance) {
			break
		}
		if place := w.within(t, most); place != nil {
			best = w.better(best, place)
			first = cmp.Or(first, t)
		}
	}
	best = w.polish(best, most)
	exact := false
	if len(tenants) <= fewTenants && most >= len(tenants) {
		var found []int
		if found, exact = w.branch(best); found == nil {
			found = best
		}
		if exact {
			bound = w.worst(found)
		}
		best = w.better(best, found)
	}
	return w.plan(w.settle(best), bound, exact)
}

// Evaluate tells what a placement is worth, such as one that there is.
func Evaluate(tenants []Tenant, cells []Cell, place []int) Plan {
	w := newWork(tenants, cells)
	return w.plan(place, w.bound(), false)
}

// work is a task with what is looked up often.
type work struct {
	tenants []Tenant
	cells   []Cell
	order   []int // tenants, the heaviest first
	able    float64
	stays   bool // some tenant may not be moved: cells that look alike are not
}

func newWork(tenants []Tenant, cells []Cell) *work {
	w := &work{tenants: tenants, cells: cells, order: make([]int, len(tenants))}
	for i := range w.order {
		w.order[i] = i
	}
	slices.SortStableFunc(w.order, func(a, b int) int { return cmp.Compare(tenants[b].Load, tenants[a].Load) })
	for _, c := range cells {
		w.able += c.Capacity
	}
	w.stays = slices.ContainsFunc(tenants, func(t Tenant) bool { return t.Pinned })
	return w
}

// may tells whether a tenant may be in a cell.
func (w *work) may(t, c int) bool {
	tenant := &w.tenants[t]
	if tenant.Pinned && tenant.CurrentCell != NoCell {
		return tenant.CurrentCell == c
	}
	return tenant.Hall == "" || tenant.Hall == w.cells[c].Hall
}

func (w *work) loads(place []int) []float64 {
	loads := make([]float64, len(w.cells))
	for t, c := range place {
		if c != NoCell {
			loads[c] += w.tenants[t].Load
		}
	}
	return loads
}

func (w *work) worst(place []int) (worst float64) {
	for c, load := range w.loads(place) {
		worst = max(worst, load/w.cells[c].Capacity)
	}
	return worst
}

func (w *work) moves(place []int) (n int) {
	for t, c := range place {
		if at := w.tenants[t].CurrentCell; at != NoCell && at != c {
			n++
		}
	}
	return n
}

// bound is a worst load that no plan can go below: all load over all cells, the load of a hall over its cells, a tenant
// in the largest cell that it may have, what must stay over its cell, and, where there are more tenants than cells, two
// of the heaviest in one.
func (w *work) bound() float64 {
	var sum, largest float64
	halls, stays := map[string]float64{}, make([]float64, len(w.cells))
	able := map[string]float64{}
	for _, c := range w.cells {
		largest = max(largest, c.Capacity)
		able[c.Hall] += c.Capacity
	}
	bound := 0.0
	for t, tenant := range w.tenants {
		sum += tenant.Load
		if tenant.Pinned && tenant.CurrentCell != NoCell {
			stays[tenant.CurrentCell] += tenant.Load
		} else if tenant.Hall != "" {
			halls[tenant.Hall] += tenant.Load
		}
		best := 0.0
		for c := range w.cells {
			if w.may(t, c) {
				best = max(best, w.cells[c].Capacity)
			}
		}
		if best > 0 {
			bound = max(bound, tenant.Load/best)
		}
	}
	bound = max(bound, sum/w.able)
	for hall, load := range halls {
		if able[hall] > 0 {
			bound = max(bound, load/able[hall])
		}
	}
	for c, load := range stays {
		bound = max(bound, load/w.cells[c].Capacity)
	}
	if n := len(w.cells); len(w.order) > n {
		bound = max(bound, (w.tenants[w.order[n-1]].Load+w.tenants[w.order[n]].Load)/largest)
	}
	return bound
}

// present is the placement that there is, with those that have no cell, or may not be in theirs, put where most is free.
func (w *work) present() []int {
	place, loads := make([]int, len(w.tenants)), make([]float64, len(w.cells))
	var loose []int
	for _, t := range w.order {
		at := w.tenants[t].CurrentCell
		if at != NoCell && w.may(t, at) {
			place[t] = at
			loads[at] += w.tenants[t].Load
		} else {
			loose = append(loose, t)
		}
	}
	for _, t := range loose {
		place[t] = w.freest(t, loads)
		if place[t] != NoCell {
			loads[place[t]] += w.tenants[t].Load
		}
	}
	return place
}

// freest is the cell whose load would be least with a tenant, Nowhere where none may have it.
func (w *work) freest(t int, loads []float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range w.cells {
		if load := (loads[c] + w.tenants[t].Load) / w.cells[c].Capacity; w.may(t, c) && load < least {
			best, least = c, load
		}
	}
	return best
}

// within looks for a placement in which no load is above a target, with few moves: cells that are above it give up the
// fewest tenants that bring them below, and those go where they fit best, if need be in place of lighter ones. It gives
// nil where it finds none.
func (w *work) within(target float64, most int) []int {
	place := w.present()
	loads := w.loads(place)
	limit := func(c int) float64 { return target*w.cells[c].Capacity*(1+1e-12) + 1e-12 }
	members := make([][]int, len(w.cells)) // the heaviest first
	for _, t := range w.order {
		if place[t] == NoCell {
			return nil
		}
		members[place[t]] = append(members[place[t]], t)
	}
	var loose []int
	for c := range w.cells {
		loose = append(loose, w.shed(members[c], loads[c]-limit(c))...)
	}
	heaviestFirst := func(ts []int) {
		slices.SortStableFunc(ts, func(a, b int) int { return cmp.Compare(w.tenants[b].Load, w.tenants[a].Load) })
	}
	heaviestFirst(loose)
	for _, t := range loose {
		loads[place[t]] -= w.tenants[t].Load
		place[t] = NoCell
	}
	for len(loose) > 0 {
		t := loose[0]
		loose = loose[1:]
		c := w.tightest(t, loads, limit)
		if c == NoCell {
			var out []int
			if out, c = w.displace(t, place, loads, limit, members); c == NoCell {
				return nil
			}
			for _, o := range out {
				loads[c] -= w.tenants[o].Load
				place[o] = NoCell
			}
			loose = append(loose, out...)
			heaviestFirst(loose)
		}
		place[t] = c
		loads[c] += w.tenants[t].Load
		members[c] = append(members[c], t)
	}
	if w.moves(place) > most {
		return nil
	}
	return place
}

// shed names the fewest tenants of a cell that bring it down by an excess; of the last one the lightest that will do.
func (w *work) shed(members []int, excess float64) (out []int) {
	for i, t := range members {
		if excess <= 0 {
			return out
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
			return append(out, last)
		}
		out = append(out, t)
		excess -= w.tenants[t].Load
	}
	return out
}

// tightest is the cell that has least room left with a tenant, Nowhere where it fits in none.
func (w *work) tightest(t int, loads []float64, limit func(int) float64) int {
	best, least := NoCell, math.Inf(1)
	for c := range w.cells {
		if left := limit(c) - loads[c] - w.tenants[t].Load; left >= 0 && left < least && w.may(t, c) {
			best, least = c, left
		}
	}
	return best
}

// displace finds the cell where the fewest lighter tenants make room for one, and names them. Each that is placed so is
// heavier than what it displaces, so that this comes to an end.
func (w *work) displace(t int, place []int, loads []float64, limit func(int) float64, members [][]int) (out []int, in int) {
	load := w.tenants[t].Load
	in = NoCell
	for c := range w.cells {
		if !w.may(t, c) || load > limit(c) {
			continue
		}
		short, some := loads[c]+load-limit(c), []int(nil)
		for _, o := range members[c] {
			if short <= 0 || in != NoCell && len(some) >= len(out) {
				break
			}
			if other := &w.tenants[o]; place[o] == c && !other.Pinned && other.Load < load {
				some = append(some, o)
				short -= other.Load
			}
		}
		if short <= 0 && (in == NoCell || len(some) < len(out)) {
			out, in = some, c
		}
	}
	return out, in
}

// better is of two placements the one with the lower worst load, or with fewer moves where both are as good.
func (w *work) better(a, b []int) []int {
	x, y := w.worst(a), w.worst(b)
	switch {
	case y < x*(1-tolerance):
		return b
	case x < y*(1-tolerance):
		return a
	case w.moves(b) < w.moves(a):
		return b
	}
	return a
}

// mostPolish is how many steps polish makes at the most.
const mostPolish = 400

// polish lowers the worst load step by step: a tenant leaves the worst cell, or changes places with a lighter one of
// another, whichever leaves the higher of the two lowest.
func (w *work) polish(place []int, most int) []int {
	place = slices.Clone(place)
	loads := w.loads(place)
	for range mostPolish {
		from := 0
		for c := range loads {
			if loads[c]/w.cells[c].Capacity > loads[from]/w.cells[from].Capacity {
				from = c
			}
		}
		s := w.bestStep(from, place, loads)
		if s.out == NoCell {
			break
		}
		next := slices.Clone(place)
		next[s.out] = s.to
		if s.back != NoCell {
			next[s.back] = from
		}
		if w.moves(next) > most {
			break
		}
		place = next
		loads = w.loads(place)
	}
	return place
}

// step takes a tenant out of a cell to another, in exchange for one or Nowhere.
type step struct{ out, to, back int }

const widest = 64 // tenants of a cell that are looked at for a step

func (w *work) bestStep(from int, place []int, loads []float64) step {
	worst := loads[from] / w.cells[from].Capacity
	best, least := step{NoCell, NoCell, NoCell}, worst*(1-worthwhile)
	members := make([][]int, len(w.cells))
	for _, t := range w.order {
		if c := place[t]; c != NoCell && len(members[c]) < widest && !w.tenants[t].Pinned {
			members[c] = append(members[c], t)
		}
	}
	for _, out := range members[from] {
		for to := range w.cells {
			if to == from || !w.may(out, to) {
				continue
			}
			try := func(back int, load float64) {
				shift := w.tenants[out].Load - load
				higher := max((loads[from]-shift)/w.cells[from].Capacity, (loads[to]+shift)/w.cells[to].Capacity)
				if shift > 0 && higher < least {
					best, least = step{out, to, back}, higher
				}
			}
			try(NoCell, 0)
			for _, back := range members[to] {
				if w.may(back, from) {
					try(back, w.tenants[back].Load)
				}
			}
		}
	}
	return best
}

// settle takes moves back that bring nothing: a tenant stays where it is if the worst load stays as low without.
func (w *work) settle(place []int) []int {
	place = slices.Clone(place)
	loads := w.loads(place)
	worst := w.worst(place)
	for i := len(w.order) - 1; i >= 0; i-- {
		t := w.order[i]
		at, load := w.tenants[t].CurrentCell, w.tenants[t].Load
		if at == NoCell || at == place[t] || !w.may(t, at) || (loads[at]+load)/w.cells[at].Capacity > worst {
			continue
		}
		loads[place[t]] -= load
		loads[at] += load
		place[t] = at
	}
	return place
}

// branch looks for the least worst load by branch and bound, the heaviest tenants first. It gives nil where nothing
// better than a placement was found, and tells whether all that could be better was looked at.
func (w *work) branch(best []int) (found []int, all bool) {
	least := w.worst(best)
	place, loads := make([]int, len(w.tenants)), make([]float64, len(w.cells))
	nodes := 0
	var down func(i int)
	down = func(i int) {
		if nodes++; nodes > mostNodes {
			return
		}
		if i == len(w.order) {
			least, found = w.worst(place), slices.Clone(place)
			return
		}
		t := w.order[i]
		type seen struct {
			load, able float64
			hall       string
		}
		tried := map[seen]bool{}
		for c := range w.cells {
			alike := seen{loads[c], w.cells[c].Capacity, w.cells[c].Hall}
			if !w.may(t, c) || tried[alike] && !w.stays {
				continue
			}
			tried[alike] = true
			load := loads[c] + w.tenants[t].Load
			if load/w.cells[c].Capacity >= least*(1-1e-9) {
				continue
			}
			was := loads[c]
			loads[c], place[t] = load, c
			down(i + 1)
			loads[c] = was
		}
	}
	down(0)
	return found, nodes <= mostNodes
}

func (w *work) plan(place []int, bound float64, exact bool) Plan {
	p := Plan{Placement: place, Loads: w.loads(place), MaxLoad: w.worst(place), LowerBound: bound, IsBoundTight: exact}
	sum := 0.0
	for c, load := range p.Loads {
		sum += load
		p.Loads[c] = load / w.cells[c].Capacity
	}
	p.MeanLoad = sum / w.able
	for _, t := range w.order {
		if at := w.tenants[t].CurrentCell; at != NoCell && at != place[t] {
			p.Moves = append(p.Moves, t)
		}
	}
	return p
}
