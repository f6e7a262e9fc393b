package admin

import (
	"fmt"

	"sedgespread/internal/cells"
	"sedgespread/internal/membership"
	"sedgespread/internal/planner"
)

// explainedMost is how many tenants of a plan are explained, the heaviest first.
const explainedMost = 50

// NewPlan makes a plan and says why tenants are where they are in it.
func NewPlan(tenants []planner.Tenant, rooms []planner.Cell, most int) Plan {
	p := planner.NewPlan(tenants, rooms, most)
	now := make([]int, len(tenants))
	for i, t := range tenants {
		now[i] = t.CurrentCell
	}
	before := planner.Evaluate(tenants, rooms, now)
	plan := Plan{Worst: p.MaxLoad, Mean: p.MeanLoad, Bound: p.LowerBound, Before: before.MaxLoad, Exact: p.IsBoundTight}
	for i, r := range rooms {
		plan.Cells = append(plan.Cells, CellPlan{Name: r.Name, Before: before.Loads[i], After: p.Loads[i]})
	}
	name := func(c int) string {
		if c == planner.NoCell {
			return ""
		}
		return rooms[c].Name
	}
	for _, t := range p.Moves {
		why := fmt.Sprintf("plan: %s at %.2f of its capacity, worst cell %.2f to %.2f", name(tenants[t].CurrentCell),
			before.Loads[tenants[t].CurrentCell], before.MaxLoad, p.MaxLoad)
		plan.Moves = append(plan.Moves, membership.MoveRequest{Tenant: cells.Tenant(tenants[t].Name), To: name(p.Placement[t]), Reason: why})
	}
	for i, t := range tenants {
		if len(plan.Tenants) < explainedMost {
			plan.Tenants = append(plan.Tenants, explain(t, p.Placement[i], &p, rooms, name))
		}
	}
	return plan
}

// explain says why a tenant is where it is in a plan, and what the worst load would be were it elsewhere.
func explain(t planner.Tenant, at int, p *planner.Plan, rooms []planner.Cell, name func(int) string) TenantPlan {
	e := TenantPlan{Tenant: cells.Tenant(t.Name), Load: t.Load, From: name(t.CurrentCell), To: name(at), Alternatives: map[string]float64{}}
	switch {
	case t.Pinned:
		e.Reason = "it is pinned, or being moved"
	case at == t.CurrentCell:
		e.Reason = "it can stay: moving it would not lower the worst load"
	case at == planner.NoCell:
		e.Reason = "no cell stands in its hall"
	default:
		e.Reason = "its cell is relieved by it"
	}
	if t.Pinned || at == planner.NoCell {
		return e
	}
	for c := range rooms {
		if c == at || t.Hall != "" && t.Hall != rooms[c].Hall {
			continue
		}
		worst := 0.0
		for o, load := range p.Loads {
			switch o {
			case at:
				load -= t.Load / rooms[o].Capacity
			case c:
				load += t.Load / rooms[o].Capacity
			}
			worst = max(worst, load)
		}
		e.Alternatives[name(c)] = worst
	}
	return e
}
