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

// desk is which instance commands ask, and how they print.
type desk struct {
	Admin string `default:"127.0.0.1:7400" env:"SEDGESPREAD_ADMIN" help:"The instance's admin address, as in its operator's file."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

type cellsOf struct {
	desk

	List  cellsList  `cmd:"" help:"The cells as the instance knows them, with what each uses."`
	Show  cellsShow  `cmd:"" help:"Where a tenant is, and why."`
	Plan  cellsPlan  `cmd:"" help:"Plan where tenants should be. Changes nothing."`
	Apply cellsApply `cmd:"" help:"Plan, and begin the moves of the plan."`
	Move  cellsMove  `cmd:"" help:"Begin to move a tenant to another cell."`
	Moves cellsMoves `cmd:"" help:"Moves under way, and the last ones."`
	Abort cellsAbort `cmd:"" help:"Call a move off; it goes back unless it has been switched."`
}

// ask asks the instance and prints its answer as JSON or as print does.
func ask[T any](c *commands, what string, wanted any, print func(out *tabwriter.Writer, answer *T)) error {
	return asked(admin.NewCellsClient(c.Cells.Admin), c.Cells.JSON, what, wanted, print)
}

func asked[T any](at admin.Client, asJSON bool, what string, wanted any, print func(out *tabwriter.Writer, answer *T)) error {
	var raw json.RawMessage
	if err := at.Call(context.Background(), what, wanted, &raw); err != nil {
		return err
	}
	if asJSON {
		fmt.Println(string(raw))
		return nil
	}
	var answer T
	if err := json.Unmarshal(raw, &answer); err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	print(out, &answer)
	return nil
}

type cellsList struct{}

// Run lists cells.
func (cellsList) Run(c *commands) error {
	return ask(c, "list", admin.Query{}, func(out *tabwriter.Writer, f *cells.Stats) {
		fmt.Fprintln(out, "CELL\tHALL\tGROUPS\tWEIGHT\tRPCS\tSHARE\tLIMIT\tPACE\tCALL-OUTS\tCLIENTS\tTENANTS\tTOOK")
		for _, k := range f.Cells {
			fmt.Fprintf(out, "%s\t%s\t%v\t%g\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%v\n", k.Name, k.Hall, k.Groups, k.Weight, k.RPCs, k.Share,
				k.Limit, k.ConcurrencyLimit, k.Attempts, k.ClientConnections, k.Tenants, time.Duration(k.Latency).Round(time.Millisecond/10))
		}
		fmt.Fprintf(out, "\nepoch %d, lease %s, held %d, turned away:", f.Epoch, lease(f.Lease), f.Held)
		for w := cells.ReasonDriverFull; w <= cells.ReasonUnknownCell; w++ {
			fmt.Fprintf(out, " %s %d", w, f.Rejected[w.String()])
		}
		fmt.Fprintf(out, "; given up %d\n\nHEAVIEST TENANTS\tRPCS A SECOND\tOF THAT MAYBE OTHERS'\n", f.Fenced)
		for _, t := range f.HeaviestTenants {
			fmt.Fprintf(out, "%s\t%.1f\t%.1f\n", t.Tenant, t.Load, t.Overestimate)
		}
	})
}

// lease says how long one lasts; where there is no coordinator it does for good.
func lease(ns int64) string {
	const forGood = 100 * 365 * 24 * time.Hour
	switch d := time.Duration(ns).Round(time.Millisecond); {
	case d > forGood:
		return "not needed"
	case d <= 0:
		return "run out"
	default:
		return d.String()
	}
}

type cellsShow struct {
	Tenant string `arg:"" help:"The tenant's name."`
	Key    string `help:"A key of it, to see which group holds that."`
}

// Run shows a tenant.
func (s cellsShow) Run(c *commands) error {
	return ask(c, "show", admin.Query{Tenant: cells.Tenant(s.Tenant), Key: s.Key}, func(out *tabwriter.Writer, p *admin.Placement) {
		fmt.Fprintf(out, "tenant\t%s\ncell\t%s (%s)\ngroups\t%v\nstage\t%s\n", p.Tenant, p.Cell, p.Reason, p.Groups, p.Stage)
		if s.Key != "" {
			fmt.Fprintf(out, "group of %q\t%d\n", s.Key, p.Group)
		}
		if p.TargetCell != "" {
			fmt.Fprintf(out, "to\t%s\n", p.TargetCell)
		}
		if p.Epoch > 0 {
			fmt.Fprintf(out, "epoch\t%d\n", p.Epoch)
		}
		if p.MinPosition > 0 {
			fmt.Fprintf(out, "read from members at\t%s\n", time.Unix(0, p.MinPosition).UTC().Format(time.RFC3339Nano))
		}
		fmt.Fprintf(out, "RPCs a second here\t%.1f\n", p.Load)
	})
}

type cellsPlan struct {
	Most    int  `default:"-1" help:"Most moves; any number if below 0."`
	Explain bool `help:"Say why tenants are where they are, and what would change elsewhere."`
}

// Run plans.
func (p cellsPlan) Run(c *commands) error {
	return ask(c, "plan", admin.Query{MaxMoves: p.Most}, func(out *tabwriter.Writer, plan *admin.Plan) { printPlan(out, plan, p.Explain) })
}

func printPlan(out *tabwriter.Writer, p *admin.Plan, explain bool) {
	proof := "that may not be reached"
	if p.Exact {
		proof = "which some plan reaches"
	}
	fmt.Fprintf(out, "worst cell %.3f of its capacity, now %.3f; mean %.3f; no plan can go below %.3f, %s; %d moves\n\n",
		p.Worst, p.Before, p.Mean, p.Bound, proof, len(p.Moves))
	fmt.Fprintln(out, "CELL\tNOW\tPLANNED")
	for _, k := range p.Cells {
		fmt.Fprintf(out, "%s\t%.3f\t%.3f\n", k.Name, k.Before, k.After)
	}
	fmt.Fprintln(out, "\nMOVE\tTO")
	for _, m := range p.Moves {
		fmt.Fprintf(out, "%s\t%s\n", m.Tenant, m.To)
	}
	if !explain {
		return
	}
	fmt.Fprintln(out, "\nTENANT\tLOAD\tNOW\tPLANNED\tWHY\tWORST CELL IF ELSEWHERE")
	for _, t := range p.Tenants {
		fmt.Fprintf(out, "%s\t%.1f\t%s\t%s\t%s\t", t.Tenant, t.Load, t.From, t.To, t.Reason)
		for _, k := range p.Cells {
			if worst, is := t.Alternatives[k.Name]; is {
				fmt.Fprintf(out, "%s %.3f ", k.Name, worst)
			}
		}
		fmt.Fprintln(out)
	}
}

type cellsApply struct {
	Most int `default:"16" help:"Most moves; any number if below 0."`
}

// Run plans and begins the moves.
func (a cellsApply) Run(c *commands) error {
	var plan admin.Plan
	at := admin.NewCellsClient(c.Cells.Admin)
	if err := at.Call(context.Background(), "plan", admin.Query{MaxMoves: a.Most}, &plan); err != nil {
		return err
	}
	if len(plan.Moves) == 0 {
		fmt.Println("nothing to move")
		return nil
	}
	if err := at.Call(context.Background(), "move", plan.Moves, nil); err != nil {
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
func (m cellsMove) Run(c *commands) error {
	move := []membership.MoveRequest{{Tenant: cells.Tenant(m.Tenant), To: m.To, Reason: m.Why}}
	return ask(c, "move", move, func(out *tabwriter.Writer, _ *struct{}) {
		fmt.Fprintf(out, "move of %s to %s begun; `cells moves` shows how it goes\n", m.Tenant, m.To)
	})
}

type cellsMoves struct{}

// Run lists moves.
func (cellsMoves) Run(c *commands) error {
	return ask(c, "moves", admin.Query{}, func(out *tabwriter.Writer, s *membership.CoordinatorState) {
		fmt.Fprintln(out, "TENANT\tCELL\tSTAGE\tTO\tEPOCH\tSINCE\tWHY")
		for i := len(s.Entries) - 1; i >= 0; i-- {
			e := s.Entries[i]
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%v\t%s\n", e.Tenant, e.Cell, e.Stage, e.To, e.Epoch,
				time.Duration(s.Now-e.DecidedAt).Round(time.Millisecond), e.Reason)
		}
		fmt.Fprintln(out, "\nDRIVER\tACTS ON\tLEASE")
		for _, d := range s.Drivers {
			fmt.Fprintf(out, "%s\t%d\t%s\n", d.Name, d.Epoch, lease(d.LeaseExpiresAt-s.Now))
		}
	})
}

type cellsAbort struct {
	Tenant string `arg:"" help:"The tenant's name."`
	Why    string `default:"called off by hand" help:"Kept with the move."`
}

// Run calls a move off.
func (a cellsAbort) Run(c *commands) error {
	return ask(c, "abort", membership.MoveRequest{Tenant: cells.Tenant(a.Tenant), Reason: a.Why}, func(out *tabwriter.Writer, _ *struct{}) {
		fmt.Fprintf(out, "move of %s is on its way back\n", a.Tenant)
	})
}
