package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"sedgespread/internal/admin"
	"sedgespread/internal/cells"
	"sedgespread/internal/membership"
)

// adminFlags is which instance commands ask, and how they print.
type adminFlags struct {
	Admin string `default:"127.0.0.1:7400" env:"SEDGESPREAD_ADMIN" help:"The instance's admin address, as in its operator's file."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

type cellsCommand struct {
	adminFlags

	List  cellsList  `cmd:"" help:"The cells as the instance knows them, with what each uses."`
	Show  cellsShow  `cmd:"" help:"Where a tenant is, and why."`
	Plan  cellsPlan  `cmd:"" help:"Plan where tenants should be. Changes nothing."`
	Apply cellsApply `cmd:"" help:"Plan, and begin the moves of the plan."`
	Move  cellsMove  `cmd:"" help:"Begin to move a tenant to another cell."`
	Moves cellsMoves `cmd:"" help:"Moves under way, and the last ones."`
	Abort cellsAbort `cmd:"" help:"Call a move off; it goes back unless it has been switched."`
}

// callCells asks the instance and prints its answer as JSON or as print does.
func callCells[T any](cli *commandLine, command string, request any, printResult func(out *tabwriter.Writer, answer *T)) error {
	return call(admin.NewCellsClient(cli.Cells.Admin), cli.Cells.JSON, command, request, printResult)
}

func call[T any](client admin.Client, asJSON bool, command string, request any, printResult func(out *tabwriter.Writer, result *T)) error {
	var rawResult json.RawMessage
	if err := client.Call(context.Background(), command, request, &rawResult); err != nil {
		return err
	}
	if asJSON {
		fmt.Println(string(rawResult))
		return nil
	}
	var result T
	if err := json.Unmarshal(rawResult, &result); err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	printResult(out, &result)
	return nil
}

type cellsList struct{}

// Run lists cells.
func (cellsList) Run(cli *commandLine) error {
	return callCells(cli, "list", admin.Query{}, func(out *tabwriter.Writer, stats *cells.Stats) {
		fmt.Fprintln(out, "CELL\tHALL\tGROUPS\tWEIGHT\tRPCS\tSHARE\tLIMIT\tPACE\tCALL-OUTS\tCLIENTS\tTENANTS\tTOOK")
		for _, cell := range stats.Cells {
			fmt.Fprintf(out, "%s\t%s\t%v\t%g\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%v\n", cell.Name, cell.Hall, cell.Groups, cell.Weight, cell.RPCs, cell.Share,
				cell.Limit, cell.ConcurrencyLimit, cell.Attempts, cell.ClientConnections, cell.Tenants, time.Duration(cell.Latency).Round(time.Millisecond/10))
		}
		fmt.Fprintf(out, "\nepoch %d, lease %s, held %d, turned away:", stats.Epoch, formatLease(stats.Lease), stats.Held)
		for reason := cells.ReasonDriverFull; reason <= cells.ReasonUnknownCell; reason++ {
			fmt.Fprintf(out, " %s %d", reason, stats.Rejected[reason.String()])
		}
		fmt.Fprintf(out, "; given up %d\n\nHEAVIEST TENANTS\tRPCS A SECOND\tOF THAT MAYBE OTHERS'\n", stats.Fenced)
		for _, tenant := range stats.HeaviestTenants {
			fmt.Fprintf(out, "%s\t%.1f\t%.1f\n", tenant.Tenant, tenant.Load, tenant.Overestimate)
		}
	})
}

// formatLease says how long one lasts; where there is no coordinator it does for good.
func formatLease(ns int64) string {
	const unlimitedLease = 100 * 365 * 24 * time.Hour
	switch remaining := time.Duration(ns).Round(time.Millisecond); {
	case remaining > unlimitedLease:
		return "not needed"
	case remaining <= 0:
		return "run out"
	default:
		return remaining.String()
	}
}

type cellsShow struct {
	Tenant string `arg:"" help:"The tenant's name."`
	Key    string `help:"A key of it, to see which group holds that."`
}

// Run shows a tenant.
func (s cellsShow) Run(cli *commandLine) error {
	return callCells(cli, "show", admin.Query{Tenant: cells.Tenant(s.Tenant), Key: s.Key}, func(out *tabwriter.Writer, placement *admin.Placement) {
		fmt.Fprintf(out, "tenant\t%s\ncell\t%s (%s)\ngroups\t%v\nstage\t%s\n", placement.Tenant, placement.Cell, placement.Reason, placement.Groups, placement.Stage)
		if s.Key != "" {
			fmt.Fprintf(out, "group of %q\t%d\n", s.Key, placement.Group)
		}
		if placement.TargetCell != "" {
			fmt.Fprintf(out, "to\t%s\n", placement.TargetCell)
		}
		if placement.Epoch > 0 {
			fmt.Fprintf(out, "epoch\t%d\n", placement.Epoch)
		}
		if placement.MinPosition > 0 {
			fmt.Fprintf(out, "read from members at\t%s\n", time.Unix(0, placement.MinPosition).UTC().Format(time.RFC3339Nano))
		}
		fmt.Fprintf(out, "RPCs a second here\t%.1f\n", placement.Load)
	})
}

type cellsPlan struct {
	Most    int  `default:"-1" help:"Most moves; any number if below 0."`
	Explain bool `help:"Say why tenants are where they are, and what would change elsewhere."`
}

// Run plans.
func (p cellsPlan) Run(cli *commandLine) error {
	return callCells(cli, "plan", admin.Query{MaxMoves: p.Most}, func(out *tabwriter.Writer, plan *admin.Plan) { printPlan(out, plan, p.Explain) })
}

func printPlan(out *tabwriter.Writer, plan *admin.Plan, explain bool) {
	boundNote := "that may not be reached"
	if plan.Exact {
		boundNote = "which some plan reaches"
	}
	fmt.Fprintf(out, "worst cell %.3f of its capacity, now %.3f; mean %.3f; no plan can go below %.3f, %s; %d moves\n\n",
		plan.Worst, plan.Before, plan.Mean, plan.Bound, boundNote, len(plan.Moves))
	fmt.Fprintln(out, "CELL\tNOW\tPLANNED")
	for _, cell := range plan.Cells {
		fmt.Fprintf(out, "%s\t%.3f\t%.3f\n", cell.Name, cell.Before, cell.After)
	}
	fmt.Fprintln(out, "\nMOVE\tTO")
	for _, move := range plan.Moves {
		fmt.Fprintf(out, "%s\t%s\n", move.Tenant, move.To)
	}
	if !explain {
		return
	}
	fmt.Fprintln(out, "\nTENANT\tLOAD\tNOW\tPLANNED\tWHY\tWORST CELL IF ELSEWHERE")
	for _, tenant := range plan.Tenants {
		fmt.Fprintf(out, "%s\t%.1f\t%s\t%s\t%s\t", tenant.Tenant, tenant.Load, tenant.From, tenant.To, tenant.Reason)
		for _, cell := range plan.Cells {
			if maxLoad, ok := tenant.Alternatives[cell.Name]; ok {
				fmt.Fprintf(out, "%s %.3f ", cell.Name, maxLoad)
			}
		}
		fmt.Fprintln(out)
	}
}

type cellsApply struct {
	Most int `default:"16" help:"Most moves; any number if below 0."`
}

// Run plans and begins the moves.
func (a cellsApply) Run(cli *commandLine) error {
	var plan admin.Plan
	client := admin.NewCellsClient(cli.Cells.Admin)
	if err := client.Call(context.Background(), "plan", admin.Query{MaxMoves: a.Most}, &plan); err != nil {
		return err
	}
	if len(plan.Moves) == 0 {
		fmt.Println("nothing to move")
		return nil
	}
	if err := client.Call(context.Background(), "move", plan.Moves, nil); err != nil {
		return err
	}
	fmt.Printf("%d moves begun; `cells moves` shows how they go\n", len(plan.Moves))
	return nil
}

type cellsMove struct {
	Tenant string `arg:"" help:"The tenant's name."`
	To     string `required:"" help:"The cell to move it to."`
	Why    string `default:"by hand" help:"Kept with the move."`
}

// Run begins a move.
func (m cellsMove) Run(cli *commandLine) error {
	move := []membership.Move{{Tenant: cells.Tenant(m.Tenant), To: m.To, Why: m.Why}}
	return callCells(cli, "move", move, func(out *tabwriter.Writer, _ *struct{}) {
		fmt.Fprintf(out, "move of %s to %s begun; `cells moves` shows how it goes\n", m.Tenant, m.To)
	})
}

type cellsMoves struct{}

// Run lists moves.
func (cellsMoves) Run(cli *commandLine) error {
	return callCells(cli, "moves", admin.Query{}, func(out *tabwriter.Writer, state *membership.State) {
		fmt.Fprintln(out, "TENANT\tCELL\tSTAGE\tTO\tEPOCH\tSINCE\tWHY")
		for i := len(state.Entries) - 1; i >= 0; i-- {
			entry := state.Entries[i]
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%v\t%s\n", entry.Tenant, entry.Cell, entry.Stage, entry.To, entry.Epoch,
				time.Duration(state.Now-entry.DecidedAt).Round(time.Millisecond), entry.Reason)
		}
		fmt.Fprintln(out, "\nDRIVER\tACTS ON\tLEASE")
		for _, driver := range state.Drivers {
			fmt.Fprintf(out, "%s\t%d\t%s\n", driver.Name, driver.Epoch, formatLease(driver.LeaseExpiresAt-state.Now))
		}
	})
}

type cellsAbort struct {
	Tenant string `arg:"" help:"The tenant's name."`
	Why    string `default:"called off by hand" help:"Kept with the move."`
}

// Run calls a move off.
func (a cellsAbort) Run(cli *commandLine) error {
	return callCells(cli, "abort", membership.Move{Tenant: cells.Tenant(a.Tenant), Why: a.Why}, func(out *tabwriter.Writer, _ *struct{}) {
		fmt.Fprintf(out, "move of %s is on its way back\n", a.Tenant)
	})
}
