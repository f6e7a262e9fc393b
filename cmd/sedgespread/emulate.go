package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"sedgespread/internal/emulator/trials"
)

type emulate struct {
	Demo  emulateDemo  `cmd:"" help:"Start a small fleet with drivers before it and clients at work, to look at."`
	Flood emulateFlood `cmd:"" help:"Flood one cell and see how the others fare, with cells and without."`
	Moves emulateMoves `cmd:"" help:"Move tenants between cells while they write and read and while much fails."`
	Fleet emulateFleet `cmd:"" help:"Change what a fleet of nine drivers acts on, again and again, while links and drivers fail."`
}

// interrupted ends with SIGINT or SIGTERM.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// place says on what a figure was made.
func place() string { return fmt.Sprintf("emulated fleet on loopback, %d cores", runtime.NumCPU()) }

type emulateDemo struct {
	Admin string `default:"127.0.0.1:7400" help:"Where the first driver answers commands."`
}

// Run shows a fleet until it is interrupted.
func (d emulateDemo) Run() error {
	ctx, stop := interrupted()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	demo := trials.Demo{Program: program, Admin: d.Admin, Out: os.Stdout}
	return demo.Run(ctx)
}

type emulateFlood struct {
	Seed    uint64        `default:"1" help:"Of all that is drawn."`
	Span    time.Duration `default:"5s" help:"How long each of the four nights lasts."`
	Cells   int           `default:"4" help:"Cells, each a group of three members."`
	Drivers int           `default:"3"`
	Factor  float64       `default:"10" help:"The flood, in times of what the flooded cell can bear."`
	Usual   float64       `default:"0.35" help:"The load of all others, as a part of what the fleet can bear."`
	Tenants int           `default:"40" help:"Tenants beside the bots."`
	Dark    bool          `help:"Instead of a flood, no member of the cell answers."`
}

// Run plays a flood and prints what came of it.
func (f emulateFlood) Run() error {
	ctx, stop := interrupted()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	trial := trials.Flood{Program: program, Seed: f.Seed, Duration: f.Span, Cells: f.Cells, Drivers: f.Drivers, FloodFactor: f.Factor,
		BaseLoad: f.Usual, Tenants: f.Tenants, Outage: f.Dark}
	r, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	trouble := fmt.Sprintf("bots at %g times what their cell can bear", f.Factor)
	if f.Dark {
		trouble = "a cell of which no member answers"
	}
	fmt.Printf("%s\nseed %d, %v a night, %d cells of 3 members, %d drivers, %s; %d other\n"+
		"tenants at %g of what the fleet can bear. Service is the part of the utility that was had in the soft deadline or late.\n\n%s\n",
		place(), f.Seed, f.Span, f.Cells, f.Drivers, trouble, f.Tenants, f.Usual, r.Table)
	fmt.Printf("Of the service of a quiet night, other cells' tenants kept %.3f with cells and %.3f without; the troubled cell's other\n"+
		"tenants kept %.3f.\n", r.OtherCellsWithCells, r.OtherCellsWithoutCells, r.SameCell)
	return nil
}

type emulateMoves struct {
	Seed    uint64        `default:"1" help:"Of all that is drawn."`
	Count   int           `default:"300" help:"Moves that have to be done."`
	Span    time.Duration `default:"10m" help:"In which they have to be."`
	Tenants int           `default:"8"`
	Keys    int           `default:"6" help:"Keys of a tenant, each with a client of its own."`
	Lease   time.Duration `default:"1s" help:"Of drivers."`
	Hold    time.Duration `default:"1500ms" help:"For which a move may hold writes."`
	Calm    bool          `help:"Let nothing fail."`
	Voters  int           `help:"Of a council that coordinates, in place of one coordinator: 3, 5 or 7; 0 for none."`
}

// Run plays a night of moves and prints what came of it. Breaches of the rules are an error.
func (v emulateMoves) Run() error {
	ctx, stop := interrupted()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	trial := trials.Moves{Program: program, Seed: v.Seed, MinMoves: v.Count, Timeout: v.Span, Faults: !v.Calm, Tenants: v.Tenants,
		Keys: v.Keys, Lease: v.Lease, Hold: v.Hold, Voters: v.Voters}
	begun := time.Now()
	r, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	coordinates := "one that coordinates"
	if v.Voters > 0 {
		coordinates = fmt.Sprintf("a council of %d with failing links", v.Voters)
	}
	fmt.Printf("%s\nseed %d, 3 cells of 3 members, 3 drivers and %s, %d tenants of %d keys, lease %v, hold %v, %v long\n\n%s",
		place(), v.Seed, coordinates, v.Tenants, v.Keys, v.Lease, v.Hold, time.Since(begun).Round(time.Second), r.Table())
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d breaches, the first: %+v", len(r.Violations), r.Violations[0])
	}
	return nil
}

type emulateFleet struct {
	Seed    uint64        `default:"1" help:"Of all that is drawn."`
	Count   int           `default:"100" help:"Versions that have to be closed."`
	Span    time.Duration `default:"10m" help:"In which they have to be."`
	Drivers int           `default:"9"`
	Voters  int           `default:"3" help:"So many of the drivers are the council."`
	Lease   time.Duration `default:"1s" help:"Of drivers."`
	Calm    bool          `help:"Let nothing fail."`
}

// Run plays a night of changes and prints what came of it, and how the fleet stands in the end.
func (v emulateFleet) Run() error {
	ctx, stop := interrupted()
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	trial := trials.Versions{Program: program, Seed: v.Seed, MinClosed: v.Count, Timeout: v.Span, Faults: !v.Calm, Drivers: v.Drivers, Voters: v.Voters,
		Lease: v.Lease, Tenants: 4, Keys: 6}
	begun := time.Now()
	r, err := trial.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%s\nseed %d, 2 cells of 3 members, %d drivers of which %d are the council, lease %v, %v long\n\n%s", place(), v.Seed, v.Drivers, v.Voters,
		v.Lease, time.Since(begun).Round(time.Second), r.Table())
	fmt.Println("\nThe drivers in the end, as the council knows them:")
	for _, d := range r.Drivers {
		fmt.Printf("- %s, start %d, %s, acts on %s\n", d.Name, d.Start, d.State, actsOn(d.Sightings))
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d breaches, the first: %+v", len(r.Violations), r.Violations[0])
	}
	return nil
}
