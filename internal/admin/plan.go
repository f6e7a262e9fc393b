package admin

import (
	"fmt"

	"sedgespread/internal/cells"
	"sedgespread/internal/membership"
	"sedgespread/internal/planner"
)

// maxExplainedTenants limits how many tenants of a plan, heaviest first, are explained.
const maxExplainedTenants = 50

// NewPlan plans at most maxMoves moves, or any number if maxMoves is negative, and explains the placement
// of the heaviest tenants. The tenants are ordered by load, heaviest first.
func NewPlan(tenants []planner.Tenant, plannerCells []planner.Cell, maxMoves int) Plan {
	result := planner.NewPlan(tenants, plannerCells, maxMoves)
	current := make([]int, len(tenants))
	for i, t := range tenants {
		current[i] = t.CurrentCell
	}
	before := planner.Evaluate(tenants, plannerCells, current)
	plan := Plan{Worst: result.MaxLoad, Mean: result.MeanLoad, Bound: result.LowerBound, Before: before.MaxLoad, Exact: result.IsBoundTight}
	for i, plannerCell := range plannerCells {
		plan.Cells = append(plan.Cells, CellPlan{Name: plannerCell.Name, Before: before.Loads[i], After: result.Loads[i]})
	}
	cellName := func(cell int) string {
		if cell == planner.NoCell {
			return ""
		}
		return plannerCells[cell].Name
	}
	for _, tenantIndex := range result.Moves {
		reason := fmt.Sprintf("plan: %s at %.2f of its capacity, worst cell %.2f to %.2f", cellName(tenants[tenantIndex].CurrentCell),
			before.Loads[tenants[tenantIndex].CurrentCell], before.MaxLoad, result.MaxLoad)
		plan.Moves = append(plan.Moves, membership.MoveRequest{Tenant: cells.Tenant(tenants[tenantIndex].Name), To: cellName(result.Placement[tenantIndex]), Reason: reason})
	}
	for i, t := range tenants {
		if len(plan.Tenants) < maxExplainedTenants {
			plan.Tenants = append(plan.Tenants, explainTenant(t, result.Placement[i], &result, plannerCells, cellName))
		}
	}
	return plan
}

// explainTenant explains the cell of a tenant in a plan and computes the maximum load for each
// alternative cell.
func explainTenant(tenant planner.Tenant, plannedCell int, result *planner.Plan, plannerCells []planner.Cell, cellName func(int) string) TenantPlan {
	explanation := TenantPlan{Tenant: cells.Tenant(tenant.Name), Load: tenant.Load, From: cellName(tenant.CurrentCell), To: cellName(plannedCell), Alternatives: map[string]float64{}}
	switch {
	case tenant.Pinned:
		explanation.Reason = "it is pinned, or being moved"
	case plannedCell == tenant.CurrentCell:
		explanation.Reason = "it can stay: moving it would not lower the worst load"
	case plannedCell == planner.NoCell:
		explanation.Reason = "no cell stands in its hall"
	default:
		explanation.Reason = "its cell is relieved by it"
	}
	if tenant.Pinned || plannedCell == planner.NoCell {
		return explanation
	}
	for alternative := range plannerCells {
		if alternative == plannedCell || tenant.Hall != "" && tenant.Hall != plannerCells[alternative].Hall {
			continue
		}
		maxLoad := 0.0
		for cell, load := range result.Loads {
			switch cell {
			case plannedCell:
				load -= tenant.Load / plannerCells[cell].Capacity
			case alternative:
				load += tenant.Load / plannerCells[cell].Capacity
			}
			maxLoad = max(maxLoad, load)
		}
		explanation.Alternatives[cellName(alternative)] = maxLoad
	}
	return explanation
}
