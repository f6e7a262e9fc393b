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

// adminFlags are the flags of commands that query a running instance.
type adminFlags struct {
	Admin string `default:"127.0.0.1:7400" env:"SEDGESPREAD_ADMIN" help:"Admin address of the instance, as in its operator's file."`
	JSON  bool   `name:"json" help:"Print the response as JSON."`
}

type cellsCommand struct {
	adminFlags

	List  cellsList  `cmd:"" help:"List the cells known to the instance, with their usage."`
	Show  cellsShow  `cmd:"" help:"Show the cell of a tenant, and why it is there."`
	Plan  cellsPlan  `cmd:"" help:"Plan the placement of tenants without changing anything."`
	Apply cellsApply `cmd:"" help:"Make a plan and start its moves."`
	Move  cellsMove  `cmd:"" help:"Start moving a tenant to another cell."`
	Moves cellsMoves `cmd:"" help:"List current and recent moves."`
	Abort cellsAbort `cmd:"" help:"Abort a move and roll it back, unless it has already switched to the new cell."`
}

// callCells sends a cells command to the instance and prints the result as JSON or with printResult.
func callCells[T any](cli *commandLine, command string, request any, printResult func(out *tabwriter.Writer, result *T)) error {
	return call(admin.NewCellsClient(cli.Cells.Admin), cli.Cells.JSON, command, request, printResult)
}

// call sends a command and prints the result as JSON or with printResult.
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

// Run prints the cells of the instance and its heaviest tenants.
func (cellsList) Run(cli *commandLine) error {
	return callCells(cli, "list", admin.Query{}, func(out *tabwriter.Writer, stats *cells.Stats) {
		fmt.Fprintln(out, "CELL\tHALL\tGROUPS\tWEIGHT\tRPCS\tSHARE\tLIMIT\tCONCURRENCY\tATTEMPTS\tCLIENTS\tTENANTS\tLATENCY")
		for _, cell := range stats.Cells {
			fmt.Fprintf(out, "%s\t%s\t%v\t%g\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%v\n", cell.Name, cell.Hall, cell.Groups, cell.Weight, cell.RPCs, cell.Share,
				cell.Limit, cell.ConcurrencyLimit, cell.Attempts, cell.ClientConnections, cell.Tenants, time.Duration(cell.Latency).Round(time.Millisecond/10))
		}
		fmt.Fprintf(out, "\nepoch %d, lease %s, held %d, rejected:", stats.Epoch, formatLease(stats.Lease), stats.Held)
		for reason := cells.ReasonDriverFull; reason <= cells.ReasonUnknownCell; reason++ {
			fmt.Fprintf(out, " %s %d", reason, stats.Rejected[reason.String()])
		}
		fmt.Fprintf(out, "; fenced %d\n\nHEAVIEST TENANTS\tRPCS PER SECOND\tMAX OVERESTIMATE\n", stats.Fenced)
		for _, tenant := range stats.HeaviestTenants {
			fmt.Fprintf(out, "%s\t%.1f\t%.1f\n", tenant.Tenant, tenant.Load, tenant.Overestimate)
		}
	})
}

// formatLease formats the remaining time of a lease. Without a coordinator, leases never expire.
func formatLease(ns int64) string {
	const unlimitedLease = 100 * 365 * 24 * time.Hour
	switch remaining := time.Duration(ns).Round(time.Millisecond); {
	case remaining > unlimitedLease:
		return "not needed"
	case remaining <= 0:
		return "expired"
	default:
		return remaining.String()
	}
}

type cellsShow struct {
	Tenant string `arg:"" help:"Name of the tenant."`
	Key    string `help:"A key of the tenant, to show its group."`
}

// Run prints the placement of a tenant.
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
			fmt.Fprintf(out, "minimum read position\t%s\n", time.Unix(0, placement.MinPosition).UTC().Format(time.RFC3339Nano))
		}
		fmt.Fprintf(out, "RPCs per second here\t%.1f\n", placement.Load)
	})
}

type cellsPlan struct {
	Most    int  `default:"-1" help:"Maximum number of moves; no limit if negative."`
	Explain bool `help:"Explain the placement of tenants, with the load in other cells."`
}

// Run prints a plan without applying it.
func (p cellsPlan) Run(cli *commandLine) error {
	return callCells(cli, "plan", admin.Query{MaxMoves: p.Most}, func(out *tabwriter.Writer, plan *admin.Plan) { printPlan(out, plan, p.Explain) })
}

func printPlan(out *tabwriter.Writer, plan *admin.Plan, explain bool) {
	boundNote := "which may not be attainable"
	if plan.Exact {
		boundNote = "which is attainable"
	}
	fmt.Fprintf(out, "maximum cell load %.3f of capacity, now %.3f; mean %.3f; lower bound %.3f, %s; %d moves\n\n",
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
	fmt.Fprintln(out, "\nTENANT\tLOAD\tNOW\tPLANNED\tWHY\tMAXIMUM CELL LOAD IF ELSEWHERE")
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
	Most int `default:"16" help:"Maximum number of moves; no limit if negative."`
}

// Run makes a plan and starts its moves.
func (a cellsApply) Run(cli *commandLine) error {
	var plan admin.Plan
	client := admin.NewCellsClient(cli.Cells.Admin)
	if err := client.Call(context.Background(), "plan", admin.Query{MaxMoves: a.Most}, &plan); err != nil {
		return err
	}
	if len(plan.Moves) == 0 {
		fmt.Println("no moves needed")
		return nil
	}
	if err := client.Call(context.Background(), "move", plan.Moves, nil); err != nil {
		return err
	}
	fmt.Printf("%d moves started; run `cells moves` to see their progress\n", len(plan.Moves))
	return nil
}

type cellsMove struct {
	Tenant string `arg:"" help:"Name of the tenant."`
	To     string `required:"" help:"The cell to move it to."`
	Why    string `default:"by hand" help:"Reason, recorded with the move."`
}

// Run starts the move of a tenant.
func (m cellsMove) Run(cli *commandLine) error {
	move := []membership.MoveRequest{{Tenant: cells.Tenant(m.Tenant), To: m.To, Reason: m.Why}}
	return callCells(cli, "move", move, func(out *tabwriter.Writer, _ *struct{}) {
		fmt.Fprintf(out, "move of %s to %s started; run `cells moves` to see its progress\n", m.Tenant, m.To)
	})
}

type cellsMoves struct{}

// Run prints current and recent moves, and the epoch and lease of each driver.
func (cellsMoves) Run(cli *commandLine) error {
	return callCells(cli, "moves", admin.Query{}, func(out *tabwriter.Writer, state *membership.CoordinatorState) {
		fmt.Fprintln(out, "TENANT\tCELL\tSTAGE\tTO\tEPOCH\tSINCE\tWHY")
		for i := len(state.Entries) - 1; i >= 0; i-- {
			entry := state.Entries[i]
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%v\t%s\n", entry.Tenant, entry.Cell, entry.Stage, entry.To, entry.Epoch,
				time.Duration(state.Now-entry.DecidedAt).Round(time.Millisecond), entry.Reason)
		}
		fmt.Fprintln(out, "\nDRIVER\tEPOCH\tLEASE")
		for _, driver := range state.Drivers {
			fmt.Fprintf(out, "%s\t%d\t%s\n", driver.Name, driver.Epoch, formatLease(driver.LeaseExpiresAt-state.Now))
		}
	})
}

type cellsAbort struct {
	Tenant string `arg:"" help:"Name of the tenant."`
	Why    string `default:"called off by hand" help:"Reason, recorded with the move."`
}

// Run aborts the move of a tenant.
func (a cellsAbort) Run(cli *commandLine) error {
	return callCells(cli, "abort", membership.MoveRequest{Tenant: cells.Tenant(a.Tenant), Reason: a.Why}, func(out *tabwriter.Writer, _ *struct{}) {
		fmt.Fprintf(out, "aborting move of %s\n", a.Tenant)
	})
}
