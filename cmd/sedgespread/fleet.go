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
	"sedgespread/internal/council/server"
	"sedgespread/internal/membership"
	"sedgespread/internal/routing"
	"sedgespread/internal/versions"
)

type fleetCommand struct {
	adminFlags

	List     fleetList     `cmd:"" help:"List the drivers with their start numbers, leases and active versions."`
	Show     fleetShow     `cmd:"" help:"Show a driver."`
	Versions fleetVersions `cmd:"" help:"List the versions of a thing, their stages and the drivers that delay them."`
	Audit    fleetAudit    `cmd:"" help:"Report which drivers acted on which versions, actions on superseded versions, and gaps in the records."`
	Propose  fleetPropose  `cmd:"" help:"Propose a rulebook, the part of the operator's file that all drivers share."`
	CallOff  fleetCallOff  `cmd:"" help:"Cancel the rollout of a version. All drivers return to the previous one."`
	Readmit  fleetReadmit  `cmd:"" help:"Readmit a driver that was shut out."`
	Level    fleetLevel    `cmd:"" help:"Show or raise the feature level of the fleet."`
	Council  fleetCouncil  `cmd:"" help:"Show or change the voters of the council."`
}

// printFleet fetches the state of the fleet and prints it as JSON or with printState.
func (cli *commandLine) printFleet(printState func(out *tabwriter.Writer, fleet *membership.FleetState)) error {
	return call(admin.NewFleetClient(cli.Fleet.Admin), cli.Fleet.JSON, "state", struct{}{}, printState)
}

// submitWish submits a change to the council and prints message if it was accepted.
func (cli *commandLine) submitWish(wish membership.FleetChange, message string) error {
	err := admin.NewFleetClient(cli.Fleet.Admin).Call(context.Background(), "wish", wish, nil)
	if err == nil {
		fmt.Println(message)
	}
	return err
}

type fleetList struct{}

// Run prints the drivers of the fleet and those that peers can't reach.
func (fleetList) Run(cli *commandLine) error {
	return cli.printFleet(func(out *tabwriter.Writer, fleet *membership.FleetState) {
		fmt.Fprintf(out, "voter %d, level %d (all support %d)\n\nDRIVER\tSTART\tSTATE\tADDRESS\tBUILD\tLEVEL\tLEASE\tACTIVE\tREASON\n", fleet.Voter, fleet.Level, fleet.HighestCommonLevel)
		for _, driver := range fleet.Drivers {
			fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", driver.Name, driver.Start, driver.State, driver.Address, driver.Build, driver.Level,
				formatLease(driver.LeaseEnd-fleet.Now), formatVersions(driver.Reports), driver.Reason)
		}
		for _, doubt := range fleet.Suspicions {
			fmt.Fprintf(out, "\n%s, start %d, is unreachable from %d of %d peers: %s", doubt.Name, doubt.Start, len(doubt.Reporters), doubt.EligibleReporters, strings.Join(doubt.Reporters, ", "))
		}
		if len(fleet.Suspicions) > 0 {
			fmt.Fprintln(out)
		}
	})
}

// formatVersions lists the versions that a driver acts on, with older ones that still have RPCs in flight.
func formatVersions(sightings []versions.Report) string {
	var parts []string
	for _, sighting := range sightings {
		if sighting.Digest != "" { // not decided by the council
			continue
		}
		part := fmt.Sprintf("%s %d", sighting.Resource, sighting.Active)
		for _, n := range sighting.InFlight {
			if n != sighting.Active {
				part += fmt.Sprintf(" (in flight: %d)", n)
			}
		}
		if sighting.Failure != "" {
			part += " (" + sighting.Failure + ")"
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return "initial versions"
	}
	return strings.Join(parts, ", ")
}

type fleetShow struct {
	Driver string `arg:"" help:"Name of the driver."`
}

// Run prints the state of a driver.
func (s fleetShow) Run(cli *commandLine) error {
	found := false
	err := cli.printFleet(func(out *tabwriter.Writer, fleet *membership.FleetState) {
		for _, driver := range fleet.Drivers {
			if found = found || driver.Name == s.Driver; driver.Name != s.Driver {
				continue
			}
			fmt.Fprintf(out, "driver\t%s\nstart\t%d\nstate\t%s %s\nsince\t%s\naddress\t%s\nbuild\t%s\nlevel\t%d\nlease\t%s\nactive\t%s\n", driver.Name, driver.Start,
				driver.State, driver.Reason, formatTime(driver.ChangedAt), driver.Address, driver.Build, driver.Level, formatLease(driver.LeaseEnd-fleet.Now), formatVersions(driver.Reports))
		}
	})
	if err == nil && !found && !cli.Fleet.JSON {
		return fmt.Errorf("unknown driver %q", s.Driver)
	}
	return err
}

func formatTime(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339Nano) }

type fleetVersions struct {
	Thing string `arg:"" optional:"" default:"rulebook" help:"The versioned thing: rulebook, or one that the council does not decide: list, program or file."`
}

// Run prints the versions of a thing and the drivers that delay them.
func (v fleetVersions) Run(cli *commandLine) error {
	return cli.printFleet(func(out *tabwriter.Writer, fleet *membership.FleetState) {
		for _, spread := range fleet.Observed {
			if string(spread.Resource) == v.Thing {
				printObserved(out, spread)
				return
			}
		}
		fmt.Fprintln(out, "VERSION\tSTAGE\tSINCE\tOLDER VERSIONS UNUSED FROM\tDIGEST\tREASON")
		for _, version := range fleet.Versions[versions.Resource(v.Thing)] {
			closedAt := "-"
			if version.CompletedAt != 0 {
				closedAt = formatTime(version.CompletedAt)
			}
			fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%.12s\t%s\n", version.Number, version.Stage, formatTime(version.UpdatedAt), closedAt, version.Digest, version.Reason)
		}
		for _, behind := range fleet.Stalled {
			if string(behind.Resource) == v.Thing {
				fmt.Fprintf(out, "\nversion %d has been %s for %s, waiting for %v\n", behind.Number, behind.Stage, time.Duration(behind.Duration).Round(time.Millisecond), behind.Instances)
			}
		}
	})
}

// printObserved prints which versions drivers act on, for a thing that the council does not decide.
func printObserved(out *tabwriter.Writer, spread versions.Distribution) {
	fmt.Fprintln(out, "VERSION\tDIGEST\tDRIVERS\tEXAMPLE")
	for _, group := range spread.Holders {
		fmt.Fprintf(out, "%d\t%s\t%d\t%s\n", group.Number, group.Digest, len(group.Instances), group.Instances[0].Name)
	}
	for _, driver := range spread.Lagging {
		fmt.Fprintf(out, "\n%s acts on version %d and has made no progress for %s", driver.Name, driver.Number, time.Duration(driver.Duration).Round(time.Millisecond))
	}
	if spread.HasConflict {
		fmt.Fprint(out, "\nFORKED: two drivers act on different contents of the same version")
	}
	fmt.Fprintln(out)
}

type fleetAudit struct {
	Thing   string        `default:"rulebook" help:"The versioned thing."`
	Version uint64        `help:"Only this version; 0 for all."`
	Driver  string        `help:"Only this driver; all if empty."`
	From    time.Time     `help:"Start time (RFC 3339)."`
	To      time.Time     `help:"End time (RFC 3339)."`
	Clocks  time.Duration `default:"1s" help:"Maximum clock difference between drivers. Entries closer together than this are ordered by version only."`
	Verify  bool          `help:"Only check that the trails are intact and that nobody acted on a superseded version."`
}

// Run prints the audit of the trails. With --verify, any finding is an error.
func (a fleetAudit) Run(cli *commandLine) error {
	question := membership.AuditQuery{Resource: versions.Resource(a.Thing), Version: versions.Number(a.Version), Driver: a.Driver, MaxClockSkew: int64(a.Clocks)}
	if !a.From.IsZero() {
		question.From = a.From.UnixNano()
	}
	if !a.To.IsZero() {
		question.To = a.To.UnixNano()
	}
	violations := 0
	err := call(admin.NewFleetClient(cli.Fleet.Admin), cli.Fleet.JSON, "audit", question, func(out *tabwriter.Writer, finding *membership.AuditResult) {
		violations = len(finding.LateActivities) + len(finding.Faults)
		if !a.Verify {
			fmt.Fprintln(out, "THING\tVERSION\tDRIVER\tSTART\tFROM\tTO\tRPCS\tSERVED\tSINGLE ENTRIES\tDROPPED")
			for _, entry := range finding.Activities {
				fmt.Fprintf(out, "%s\t%d\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", entry.Resource, entry.Version, entry.Instance.Name, entry.Instance.Start, formatTime(entry.From), formatTime(entry.To),
					entry.Counts.Total(), entry.Counts.ByOutcome(audit.Served), entry.RPCEntries, entry.Dropped)
			}
		}
		fmt.Fprintf(out, "\nchecked %d trail entries\n", finding.Entries)
		for _, late := range finding.LateActivities {
			fmt.Fprintf(out, "LATE: %s start %d acted on version %d at %s: %s %s\n", late.Instance.Name, late.Instance.Start, late.Version, formatTime(late.At), late.Reason, late.RPC)
		}
		for _, unknown := range finding.Gaps {
			from := "startup"
			if unknown.From != 0 {
				from = formatTime(unknown.From)
			}
			fmt.Fprintf(out, "unknown: %s start %d from %s to %s: %s\n", unknown.Instance.Name, unknown.Instance.Start, from, formatTime(unknown.To), unknown.Reason)
		}
		for _, fault := range finding.Faults {
			fmt.Fprintln(out, "FAULT:", fault)
		}
		for _, address := range finding.MissingVoters {
			fmt.Fprintln(out, "unreachable voter:", address)
		}
	})
	if err == nil && a.Verify && violations > 0 {
		return fmt.Errorf("%d findings", violations)
	}
	return err
}

type fleetPropose struct {
	File      string        `arg:"" type:"existingfile" help:"File with the rulebook: cells { cell, tenancy, tenant } as in an operator's file."`
	Why       string        `default:"by hand" help:"Reason, recorded with the version."`
	Exclusive bool          `help:"Never let drivers act on different versions at the same time: all stop before any continues."`
	Canaries  float64       `default:"0" help:"Fraction of the drivers that try it first."`
	Trial     time.Duration `default:"30s" help:"Duration of the canary phase."`
	Alarm     float64       `default:"0.01" help:"Probability of withdrawing a good version because of its canaries (false positives)."`
	Bears     float64       `default:"1.25" help:"Tolerated ratio of the error rate or latency at canaries to that of other drivers."`
	Tell      time.Duration `default:"30s" help:"Time in which all drivers must receive it."`
	Adopt     time.Duration `default:"30s" help:"Time in which all drivers must act on it."`
	Close     time.Duration `default:"60s" help:"Time in which RPCs in flight under the previous version must end."`
}

// Run proposes a new version of the rulebook.
func (p fleetPropose) Run(cli *commandLine) error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	plan := versions.Plan{Exclusive: p.Exclusive, CanaryFraction: p.Canaries, TrialTime: int64(p.Trial), FalseAlarmRate: p.Alarm, ToleratedRatio: p.Bears, AnnounceTimeout: int64(p.Tell), AdoptTimeout: int64(p.Adopt),
		DrainTimeout: int64(p.Close)}
	return cli.submitWish(membership.FleetChange{Propose: &membership.Proposal{Resource: routing.Rulebook, Text: string(text), Reason: p.Why, Plan: plan}},
		"proposed; run `fleet versions` to see its progress")
}

type fleetCallOff struct {
	Thing string `arg:"" optional:"" default:"rulebook" help:"The versioned thing."`
	Why   string `default:"called off by hand" help:"Reason, recorded with the version."`
}

// Run cancels the rollout of a version.
func (f fleetCallOff) Run(cli *commandLine) error {
	return cli.submitWish(membership.FleetChange{RollBack: versions.Resource(f.Thing), Reason: f.Why}, "cancelled; run `fleet versions` to see its progress")
}

type fleetReadmit struct {
	Driver string `arg:"" help:"Name of the driver."`
	Why    string `default:"by hand" help:"Reason, recorded with the change."`
}

// Run readmits a driver.
func (r fleetReadmit) Run(cli *commandLine) error {
	return cli.submitWish(membership.FleetChange{Readmit: r.Driver, Reason: r.Why}, r.Driver+" may request a lease again")
}

type fleetLevel struct {
	Raise int `help:"New level, which can't be lowered again; 0 to show the current one."`
}

// Run prints or raises the feature level.
func (l fleetLevel) Run(cli *commandLine) error {
	if l.Raise > 0 {
		return cli.submitWish(membership.FleetChange{RaiseLevel: l.Raise}, fmt.Sprintf("raised the feature level to %d", l.Raise))
	}
	return cli.printFleet(func(out *tabwriter.Writer, fleet *membership.FleetState) {
		fmt.Fprintf(out, "level %d; all support %d\n", fleet.Level, fleet.HighestCommonLevel)
	})
}

type fleetCouncil struct {
	Show   councilShow   `cmd:"" default:"1" help:"Show the voters, the leader and the state of the log."`
	Add    councilAdd    `cmd:"" help:"Add a voter, optionally replacing others."`
	Remove councilRemove `cmd:"" help:"Remove voters permanently. Their IDs can't be reused."`
}

type councilShow struct{}

// Run prints the state of the council.
func (councilShow) Run(cli *commandLine) error {
	return call(admin.NewFleetClient(cli.Fleet.Admin), cli.Fleet.JSON, "council", struct{}{}, func(out *tabwriter.Writer, state *server.State) {
		fmt.Fprintf(out, "according to voter %d: term %d, %d entries applied, %.1f ms per disk write\n", state.Voter, state.Term, state.Applied, state.WriteMs)
		if state.RefusalReason != "" {
			fmt.Fprintf(out, "this voter is permanently rejected: %s\n", state.RefusalReason)
		}
		fmt.Fprintln(out, "\nVOTER\tADDRESS\tLEADER")
		for _, voter := range state.Voters {
			leaderMark := ""
			if voter == state.Leader {
				leaderMark = "yes"
			}
			fmt.Fprintf(out, "%d\t%s\t%s\n", voter, state.Addresses[strconv.FormatUint(uint64(voter), 10)], leaderMark)
		}
	})
}

// changeCouncil proposes a change of the voters.
func (cli *commandLine) changeCouncil(change server.VoterChange) error {
	err := admin.NewFleetClient(cli.Fleet.Admin).Call(context.Background(), "council/change", change, nil)
	if err == nil {
		fmt.Println("proposed; run `fleet council show` to see when it has taken effect")
	}
	return err
}

type councilAdd struct {
	ID      uint64   `arg:"" name:"voter" help:"ID of the new voter, never used before."`
	At      string   `required:"" help:"Address of the new voter."`
	Replace []uint64 `help:"IDs of voters to remove at the same time. A council has 1, 3, 5 or 7 voters."`
}

// Run proposes to add a voter.
func (a councilAdd) Run(cli *commandLine) error {
	return cli.changeCouncil(server.VoterChange{Add: server.VoterAddresses{council.VoterID(a.ID): a.At}, Remove: voterIDs(a.Replace)})
}

type councilRemove struct {
	IDs []uint64 `arg:"" name:"voter" help:"IDs of the voters."`
}

// Run proposes to remove voters.
func (r councilRemove) Run(cli *commandLine) error {
	return cli.changeCouncil(server.VoterChange{Remove: voterIDs(r.IDs)})
}

func voterIDs(ids []uint64) (result []council.VoterID) {
	for _, id := range ids {
		result = append(result, council.VoterID(id))
	}
	return result
}
