package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"syscall"
	"time"

	"sedgespread/internal/emulator/trials"
)

type emulateCommand struct {
	Demo    emulateDemo    `cmd:"" help:"Run a small fleet with drivers and active clients, for exploration."`
	Flood   emulateFlood   `cmd:"" help:"Overload one cell and measure the effect on other cells, with isolation by cells on and off."`
	Clients emulateClients `cmd:"" help:"Let clients send at full speed to a driver and measure the effect on usual clients."`
	Moves   emulateMoves   `cmd:"" help:"Move tenants between cells under load and injected faults."`
	Fleet   emulateFleet   `cmd:"" help:"Roll out versions to a fleet of drivers while links and drivers fail."`
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// environment describes the machine that a result was measured on.
func environment() string {
	return fmt.Sprintf("emulated fleet on loopback, %d cores", runtime.NumCPU())
}

type emulateDemo struct {
	Admin string `default:"127.0.0.1:7400" help:"Admin address of the first driver."`
}

// Run runs the demo until it is interrupted.
func (d emulateDemo) Run() error {
	ctx, stop := signalContext()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	demo := trials.Demo{Program: program, Admin: d.Admin, Out: os.Stdout}
	return demo.Run(ctx)
}

type emulateFlood struct {
	Seed    uint64        `default:"1" help:"Seed of the random generator."`
	Span    time.Duration `default:"5s" help:"Duration of each of the four runs."`
	Cells   int           `default:"4" help:"Number of cells, each with one group of three members."`
	Drivers int           `default:"3"`
	Factor  float64       `default:"10" help:"Load of the flood, as a multiple of the capacity of the flooded cell."`
	Usual   float64       `default:"0.35" help:"Load of all other tenants, as a fraction of the capacity of the fleet."`
	Tenants int           `default:"40" help:"Number of tenants other than the flooding one."`
	Dark    bool          `help:"Make all members of the cell unresponsive instead of flooding it."`
}

// Run runs a flood trial and prints its results.
func (f emulateFlood) Run() error {
	ctx, stop := signalContext()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	trial := trials.Flood{Program: program, Seed: f.Seed, Duration: f.Span, Cells: f.Cells, Drivers: f.Drivers, FloodFactor: f.Factor,
		BaseLoad: f.Usual, Tenants: f.Tenants, Outage: f.Dark}
	result, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	disturbance := fmt.Sprintf("flood at %g times the capacity of its cell", f.Factor)
	if f.Dark {
		disturbance = "a cell with all members unresponsive"
	}
	fmt.Printf("%s\nseed %d, %v per run, %d cells of 3 members, %d drivers, %s; %d other\n"+
		"tenants at %g of the fleet's capacity. Service is the fraction of the utility obtained, within the soft deadline or late.\n\n%s\n",
		environment(), f.Seed, f.Span, f.Cells, f.Drivers, disturbance, f.Tenants, f.Usual, result.Table)
	fmt.Printf("Relative to a run without the disturbance, service of tenants in other cells was %.3f with cells and %.3f without;\n"+
		"service of the other tenants in the disturbed cell was %.3f.\n", result.OtherCellsWithCells, result.OtherCellsWithoutCells, result.SameCell)
	return nil
}

type emulateClients struct {
	Seed  uint64        `default:"1" help:"Seed of the random generator."`
	Usual int           `default:"24" help:"Number of usual clients."`
	Flood []int         `default:"1,6,60,600" help:"Numbers of clients that send at full speed."`
	Form  []string      `help:"Forms of the flood; all by default."`
	Size  []int         `default:"32,64,192" help:"Sizes of the driver, by its memory in MB."`
	Calm  time.Duration `default:"2s" help:"Time before the flood."`
	Span  time.Duration `default:"4s" help:"Duration of the flood."`
}

// Run runs a table of client floods and prints it.
func (c emulateClients) Run() error {
	ctx, stop := signalContext()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	table := trials.ClientFloodTable{Program: program, Seed: c.Seed, Forms: trials.FloodForms, Clients: c.Flood, Usual: c.Usual, Calm: c.Calm, Flood: c.Span}
	if len(c.Form) > 0 {
		table.Forms = nil
	}
	for _, form := range c.Form {
		table.Forms = append(table.Forms, trials.FloodForm(form))
	}
	for _, size := range trials.FloodSizes {
		if slices.Contains(c.Size, size.MemoryMB) {
			table.Sizes = append(table.Sizes, size)
		}
	}
	text, err := table.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%s\nseed %d, one driver with one core, %d usual clients, %v calm and %v with the flood\n\n%s", environment(), c.Seed, c.Usual, c.Calm, c.Span, text)
	return nil
}

type emulateMoves struct {
	Seed    uint64        `default:"1" help:"Seed of the random generator."`
	Count   int           `default:"300" help:"Number of moves to complete."`
	Span    time.Duration `default:"10m" help:"Time in which they must complete."`
	Tenants int           `default:"8"`
	Keys    int           `default:"6" help:"Number of keys per tenant, each with its own client."`
	Lease   time.Duration `default:"1s" help:"Duration of the leases of drivers."`
	Hold    time.Duration `default:"1500ms" help:"Maximum time that a move may hold writes."`
	Calm    bool          `help:"Inject no faults."`
	Voters  int           `help:"Number of voters of a council that replaces the single coordinator: 3, 5 or 7; 0 for no council."`
}

// Run runs a trial of moves and prints its results. Consistency violations are an error.
func (m emulateMoves) Run() error {
	ctx, stop := signalContext()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	trial := trials.Moves{Program: program, Seed: m.Seed, MinMoves: m.Count, Timeout: m.Span, Faults: !m.Calm, Tenants: m.Tenants,
		Keys: m.Keys, Lease: m.Lease, Hold: m.Hold, Voters: m.Voters}
	startedAt := time.Now()
	result, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	coordinator := "a single coordinator"
	if m.Voters > 0 {
		coordinator = fmt.Sprintf("a council of %d with failing links", m.Voters)
	}
	fmt.Printf("%s\nseed %d, 3 cells of 3 members, 3 drivers and %s, %d tenants of %d keys, lease %v, hold %v, took %v\n\n%s",
		environment(), m.Seed, coordinator, m.Tenants, m.Keys, m.Lease, m.Hold, time.Since(startedAt).Round(time.Second), result.Table())
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d violations, the first: %+v", len(result.Violations), result.Violations[0])
	}
	return nil
}

type emulateFleet struct {
	Seed    uint64        `default:"1" help:"Seed of the random generator."`
	Count   int           `default:"100" help:"Number of versions to close."`
	Span    time.Duration `default:"10m" help:"Time in which they must complete."`
	Drivers int           `default:"9"`
	Voters  int           `default:"3" help:"Number of drivers that are voters of the council."`
	Lease   time.Duration `default:"1s" help:"Duration of the leases of drivers."`
	Calm    bool          `help:"Inject no faults."`
}

// Run runs a trial of version changes and prints its results and the final state of the fleet.
func (f emulateFleet) Run() error {
	ctx, stop := signalContext()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	trial := trials.Versions{Program: program, Seed: f.Seed, MinClosed: f.Count, Timeout: f.Span, Faults: !f.Calm, Drivers: f.Drivers, Voters: f.Voters,
		Lease: f.Lease, Tenants: 4, Keys: 6}
	startedAt := time.Now()
	result, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%s\nseed %d, 2 cells of 3 members, %d drivers of which %d are voters, lease %v, took %v\n\n%s", environment(), f.Seed, f.Drivers, f.Voters,
		f.Lease, time.Since(startedAt).Round(time.Second), result.Table())
	fmt.Println("\nFinal state of the drivers according to the council:")
	for _, driver := range result.Drivers {
		fmt.Printf("- %s, start %d, %s, active: %s\n", driver.Name, driver.Start, driver.State, formatVersions(driver.Reports))
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("%d violations, the first: %+v", len(result.Violations), result.Violations[0])
	}
	return nil
}
