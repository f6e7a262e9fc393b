package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sedgespread/internal/admin"
	"sedgespread/internal/audit"
	"sedgespread/internal/council"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/membership"
	"sedgespread/internal/routing"
	"sedgespread/internal/versions"
)

type fleetCommand struct {
	adminFlags

	List     fleetList     `cmd:"" help:"The drivers, their starts, leases and what they act on."`
	Show     fleetShow     `cmd:"" help:"One driver."`
	Versions fleetVersions `cmd:"" help:"The versions of a thing, how far each has come and who holds it back."`
	Audit    fleetAudit    `cmd:"" help:"Who acted on which version, what did after a newer one was closed, and what is not known."`
	Propose  fleetPropose  `cmd:"" help:"Propose a rulebook: the shared part of the operator's files, in a file of its own."`
	CallOff  fleetCallOff  `cmd:"" help:"Call a version off that is under way; all go back to the older."`
	Readmit  fleetReadmit  `cmd:"" help:"Let a driver back in that was shut out."`
	Level    fleetLevel    `cmd:"" help:"The feature level at which all act, and raise it."`
	Council  fleetCouncil  `cmd:"" help:"Who votes in the council, and how it stands."`
}

// printFleet asks how the fleet stands.
func (cli *commandLine) printFleet(printState func(out *tabwriter.Writer, fleet *membership.Fleet)) error {
	return call(admin.NewFleetClient(cli.Fleet.Admin), cli.Fleet.JSON, "state", struct{}{}, printState)
}

func (cli *commandLine) submitWish(wish membership.Wish, message string) error {
	err := admin.NewFleetClient(cli.Fleet.Admin).Call(context.Background(), "wish", wish, nil)
	if err == nil {
		fmt.Println(message)
	}
	return err
}

type fleetList struct{}

// Run lists drivers.
func (fleetList) Run(cli *commandLine) error {
	return cli.printFleet(func(out *tabwriter.Writer, fleet *membership.Fleet) {
		fmt.Fprintf(out, "voter %d, level %d (all know %d)\n\nDRIVER\tSTART\tSTATE\tAT\tBUILD\tLEVEL\tLEASE\tACTS ON\tWHY\n", fleet.Voter, fleet.Level, fleet.Highest)
		for _, driver := range fleet.Drivers {
			fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", driver.Name, driver.Start, driver.State, driver.At, driver.Build, driver.Level,
				formatLease(driver.Until-fleet.Now), formatVersions(driver.Seen), driver.Why)
		}
		for _, driver := range fleet.Doubts {
			fmt.Fprintf(out, "\n%s, start %d, is not heard by %d of %d fellows: %s", driver.Name, driver.Start, len(driver.By), driver.Of, strings.Join(driver.By, ", "))
		}
		if len(fleet.Doubts) > 0 {
			fmt.Fprintln(out)
		}
	})
}

// formatVersions says on which versions a driver acts, and what it has in flight under others.
func formatVersions(sightings []versions.Sighting) string {
	var parts []string
	for _, sighting := range sightings {
		if sighting.Digest != "" { // what the council does not decide
			continue
		}
		part := fmt.Sprintf("%s %d", sighting.Thing, sighting.Acts)
		for _, n := range sighting.Flight {
			if n != sighting.Acts {
				part += fmt.Sprintf(" (in flight: %d)", n)
			}
		}
		if sighting.Ill != "" {
			part += " (" + sighting.Ill + ")"
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return "what it started with"
	}
	return strings.Join(parts, ", ")
}

type fleetShow struct {
	Driver string `arg:"" help:"The driver's name."`
}

// Run shows a driver.
func (s fleetShow) Run(cli *commandLine) error {
	found := false
	err := cli.printFleet(func(out *tabwriter.Writer, fleet *membership.Fleet) {
		for _, driver := range fleet.Drivers {
			if found = found || driver.Name == s.Driver; driver.Name != s.Driver {
				continue
			}
			fmt.Fprintf(out, "driver\t%s\nstart\t%d\nstate\t%s %s\nsince\t%s\nat\t%s\nbuild\t%s\nlevel\t%d\nlease\t%s\nacts on\t%s\n", driver.Name, driver.Start,
				driver.State, driver.Why, formatTime(driver.When), driver.At, driver.Build, driver.Level, formatLease(driver.Until-fleet.Now), formatVersions(driver.Seen))
		}
	})
	if err == nil && !found && !cli.Fleet.JSON {
		return fmt.Errorf("no driver %q was ever known", s.Driver)
	}
	return err
}

func formatTime(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339Nano) }

type fleetVersions struct {
	Thing string `arg:"" optional:"" default:"rulebook" help:"The thing: rulebook, or what drivers have by themselves: list, program, file."`
}

// Run lists versions.
func (v fleetVersions) Run(cli *commandLine) error {
	return cli.printFleet(func(out *tabwriter.Writer, fleet *membership.Fleet) {
		for _, spread := range fleet.Observed {
			if string(spread.Thing) == v.Thing {
				printObserved(out, spread)
				return
			}
		}
		fmt.Fprintln(out, "VERSION\tSTAGE\tSINCE\tNOBODY ACTS ON OLDER FROM\tDIGEST\tWHY")
		for _, version := range fleet.Versions[versions.Thing(v.Thing)] {
			closedAt := "-"
			if version.Closes != 0 {
				closedAt = formatTime(version.Closes)
			}
			fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%.12s\t%s\n", version.Number, version.Stage, formatTime(version.When), closedAt, version.Digest, version.Why)
		}
		for _, behind := range fleet.Behind {
			if string(behind.Thing) == v.Thing {
				fmt.Fprintf(out, "\nversion %d has been %s for %s, held back by %v\n", behind.Number, behind.Stage, time.Duration(behind.For).Round(time.Millisecond), behind.Who)
			}
		}
	})
}

// printObserved shows what drivers act on of a thing that the council does not decide.
func printObserved(out *tabwriter.Writer, spread versions.Spread) {
	fmt.Fprintln(out, "VERSION\tDIGEST\tDRIVERS\tSUCH AS")
	for _, group := range spread.Groups {
		fmt.Fprintf(out, "%d\t%s\t%d\t%s\n", group.Number, group.Digest, len(group.Who), group.Who[0].Name)
	}
	for _, driver := range spread.Behind {
		fmt.Fprintf(out, "\n%s acts on %d and has not come nearer for %s", driver.Name, driver.Number, time.Duration(driver.For).Round(time.Millisecond))
	}
	if spread.Forked {
		fmt.Fprint(out, "\nFORKED: two drivers act on different things of one version")
	}
	fmt.Fprintln(out)
}

type fleetAudit struct {
	Thing   string        `default:"rulebook" help:"The thing."`
	Version uint64        `help:"One version of it; 0 for all."`
	Driver  string        `help:"One driver; all if empty."`
	From    time.Time     `help:"From this time on (RFC 3339)."`
	To      time.Time     `help:"Up to this time."`
	Clocks  time.Duration `default:"1s" help:"The most by which drivers' clocks differ; what they differ by less is put in order by versions alone."`
	Verify  bool          `help:"Only check that all trails hold together, and nothing acted on a version that was closed."`
}

// Run asks the audit. With --verify what is wrong is an error.
func (a fleetAudit) Run(cli *commandLine) error {
	question := membership.Question{Thing: versions.Thing(a.Thing), Version: versions.Number(a.Version), Driver: a.Driver, Clocks: int64(a.Clocks)}
	if !a.From.IsZero() {
		question.From = a.From.UnixNano()
	}
	if !a.To.IsZero() {
		question.To = a.To.UnixNano()
	}
	violations := 0
	err := call(admin.NewFleetClient(cli.Fleet.Admin), cli.Fleet.JSON, "audit", question, func(out *tabwriter.Writer, finding *membership.Finding) {
		violations = len(finding.Late) + len(finding.Faults)
		if !a.Verify {
			fmt.Fprintln(out, "THING\tVERSION\tDRIVER\tSTART\tFROM\tTO\tRPCS\tSERVED\tSINGLE ENTRIES\tNOT KEPT")
			for _, entry := range finding.Acted {
				fmt.Fprintf(out, "%s\t%d\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", entry.Thing, entry.Version, entry.Who.Name, entry.Who.Start, formatTime(entry.From), formatTime(entry.To),
					entry.Tally.Total(), entry.Tally.Of(audit.Served), entry.Singles, entry.Dropped)
			}
		}
		fmt.Fprintf(out, "\n%d entries of all trails were looked at\n", finding.Entries)
		for _, late := range finding.Late {
			fmt.Fprintf(out, "LATE: %s start %d acted on version %d at %s: %s %s\n", late.Who.Name, late.Who.Start, late.Version, formatTime(late.At), late.Why, late.RPC)
		}
		for _, unknown := range finding.Unknown {
			from := "its start"
			if unknown.From != 0 {
				from = formatTime(unknown.From)
			}
			fmt.Fprintf(out, "unknown: %s start %d from %s to %s: %s\n", unknown.Who.Name, unknown.Who.Start, from, formatTime(unknown.To), unknown.Why)
		}
		for _, fault := range finding.Faults {
			fmt.Fprintln(out, "FAULT:", fault)
		}
		for _, address := range finding.Missing {
			fmt.Fprintln(out, "not asked: the voter at", address)
		}
	})
	if err == nil && a.Verify && violations > 0 {
		return fmt.Errorf("%d findings", violations)
	}
	return err
}

type fleetPropose struct {
	File      string        `arg:"" type:"existingfile" help:"The rulebook: cells { cell, tenancy, tenant } as in an operator's file."`
	Why       string        `default:"by hand" help:"Kept with the version."`
	Exclusive bool          `help:"No two drivers may act on different versions at one time: all stop, then all go on."`
	Canaries  float64       `default:"0" help:"The part of the drivers that tries it first."`
	Trial     time.Duration `default:"30s" help:"For how long."`
	Alarm     float64       `default:"0.01" help:"The chance of withdrawing a sound version for how its canaries fare."`
	Bears     float64       `default:"1.25" help:"So many times as bad, or as long, at its canaries is borne."`
	Tell      time.Duration `default:"30s" help:"In which all must hold it."`
	Adopt     time.Duration `default:"30s" help:"In which all must act on it."`
	Close     time.Duration `default:"60s" help:"In which what is in flight under the older must have ended."`
}

// Run proposes a rulebook.
func (p fleetPropose) Run(cli *commandLine) error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	plan := versions.Plan{Exclusive: p.Exclusive, Canaries: p.Canaries, Trial: int64(p.Trial), Alarm: p.Alarm, Bears: p.Bears, Tell: int64(p.Tell), Adopt: int64(p.Adopt),
		Close: int64(p.Close)}
	return cli.submitWish(membership.Wish{Propose: &membership.Proposal{Thing: routing.Rulebook, Text: string(text), Why: p.Why, Plan: plan}},
		"proposed; `fleet versions` shows how it goes")
}

type fleetCallOff struct {
	Thing string `arg:"" optional:"" default:"rulebook" help:"The thing."`
	Why   string `default:"called off by hand" help:"Kept with the version."`
}

// Run calls a version off.
func (f fleetCallOff) Run(cli *commandLine) error {
	return cli.submitWish(membership.Wish{CallOff: versions.Thing(f.Thing), Why: f.Why}, "called off; `fleet versions` shows how it goes")
}

type fleetReadmit struct {
	Driver string `arg:"" help:"The driver's name."`
	Why    string `default:"by hand" help:"Kept with it."`
}

// Run lets a driver back in.
func (r fleetReadmit) Run(cli *commandLine) error {
	return cli.submitWish(membership.Wish{Readmit: r.Driver, Why: r.Why}, r.Driver+" may ask for a lease again")
}

type fleetLevel struct {
	Raise int `help:"Raise it to this, for good; 0 to look."`
}

// Run shows or raises the level.
func (l fleetLevel) Run(cli *commandLine) error {
	if l.Raise > 0 {
		return cli.submitWish(membership.Wish{Raise: l.Raise}, fmt.Sprintf("the fleet acts at level %d", l.Raise))
	}
	return cli.printFleet(func(out *tabwriter.Writer, fleet *membership.Fleet) {
		fmt.Fprintf(out, "level %d; all know %d\n", fleet.Level, fleet.Highest)
	})
}

type fleetCouncil struct {
	Show   councilShow   `cmd:"" default:"1" help:"The voters, the leader, and how far the log is."`
	Add    councilAdd    `cmd:"" help:"Let a voter join, in place of another if one is named."`
	Remove councilRemove `cmd:"" help:"Let voters go for good; their numbers are not used again."`
}

type councilShow struct{}

// Run shows the council.
func (councilShow) Run(cli *commandLine) error {
	return call(admin.NewFleetClient(cli.Fleet.Admin), cli.Fleet.JSON, "council", struct{}{}, func(out *tabwriter.Writer, state *chamber.State) {
		fmt.Fprintf(out, "as voter %d knows: term %d, %d entries applied, %.1f ms a write of its disk\n", state.Voter, state.Term, state.Applied, state.WriteMs)
		if state.RefusalReason != "" {
			fmt.Fprintf(out, "this voter is refused: %s\n", state.RefusalReason)
		}
		fmt.Fprintln(out, "\nVOTER\tADDRESS\tLEADS")
		for _, voter := range state.Voters {
			isLeader := ""
			if voter == state.Leader {
				isLeader = "yes"
			}
			fmt.Fprintf(out, "%d\t%s\t%s\n", voter, state.Addresses[strconv.FormatUint(uint64(voter), 10)], isLeader)
		}
	})
}

// changeCouncil asks for other voters.
func (cli *commandLine) changeCouncil(change chamber.VoterChange) error {
	err := admin.NewFleetClient(cli.Fleet.Admin).Call(context.Background(), "council/change", change, nil)
	if err == nil {
		fmt.Println("proposed; `fleet council show` tells once it is so")
	}
	return err
}

type councilAdd struct {
	ID      uint64   `arg:"" name:"voter" help:"The new voter's number, never used before."`
	At      string   `required:"" help:"Its address."`
	Replace []uint64 `help:"Voters that go at the same time; a council has 1, 3, 5 or 7."`
}

// Run lets a voter join.
func (a councilAdd) Run(cli *commandLine) error {
	return cli.changeCouncil(chamber.VoterChange{Add: chamber.VoterAddresses{council.VoterID(a.ID): a.At}, Remove: voterIDs(a.Replace)})
}

type councilRemove struct {
	IDs []uint64 `arg:"" name:"voter" help:"Their numbers."`
}

// Run lets voters go.
func (r councilRemove) Run(cli *commandLine) error {
	return cli.changeCouncil(chamber.VoterChange{Remove: voterIDs(r.IDs)})
}

func voterIDs(ids []uint64) (result []council.VoterID) {
	for _, id := range ids {
		result = append(result, council.VoterID(id))
	}
	return result
}
