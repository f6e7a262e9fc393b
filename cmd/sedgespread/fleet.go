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

type fleetOf struct {
	desk

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

// fleet asks how the fleet stands.
func (c *commands) fleet(print func(out *tabwriter.Writer, f *membership.FleetState)) error {
	return asked(admin.NewFleetClient(c.Fleet.Admin), c.Fleet.JSON, "state", struct{}{}, print)
}

func (c *commands) wish(w membership.FleetChange, done string) error {
	err := admin.NewFleetClient(c.Fleet.Admin).Call(context.Background(), "wish", w, nil)
	if err == nil {
		fmt.Println(done)
	}
	return err
}

type fleetList struct{}

// Run lists drivers.
func (fleetList) Run(c *commands) error {
	return c.fleet(func(out *tabwriter.Writer, f *membership.FleetState) {
		fmt.Fprintf(out, "voter %d, level %d (all know %d)\n\nDRIVER\tSTART\tSTATE\tAT\tBUILD\tLEVEL\tLEASE\tACTS ON\tWHY\n", f.Voter, f.Level, f.HighestCommonLevel)
		for _, d := range f.Drivers {
			fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", d.Name, d.Start, d.State, d.Address, d.Build, d.Level,
				lease(d.LeaseEnd-f.Now), actsOn(d.Sightings), d.Reason)
		}
		for _, d := range f.Suspicions {
			fmt.Fprintf(out, "\n%s, start %d, is not heard by %d of %d fellows: %s", d.Name, d.Start, len(d.Reporters), d.Listeners, strings.Join(d.Reporters, ", "))
		}
		if len(f.Suspicions) > 0 {
			fmt.Fprintln(out)
		}
	})
}

// actsOn says on which versions a driver acts, and what it has in flight under others.
func actsOn(seen []versions.Report) string {
	var parts []string
	for _, s := range seen {
		if s.Digest != "" { // what the council does not decide
			continue
		}
		part := fmt.Sprintf("%s %d", s.Resource, s.Active)
		for _, n := range s.InFlight {
			if n != s.Active {
				part += fmt.Sprintf(" (in flight: %d)", n)
			}
		}
		if s.Failure != "" {
			part += " (" + s.Failure + ")"
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
func (s fleetShow) Run(c *commands) error {
	found := false
	err := c.fleet(func(out *tabwriter.Writer, f *membership.FleetState) {
		for _, d := range f.Drivers {
			if found = found || d.Name == s.Driver; d.Name != s.Driver {
				continue
			}
			fmt.Fprintf(out, "driver\t%s\nstart\t%d\nstate\t%s %s\nsince\t%s\nat\t%s\nbuild\t%s\nlevel\t%d\nlease\t%s\nacts on\t%s\n", d.Name, d.Start,
				d.State, d.Reason, moment(d.ChangedAt), d.Address, d.Build, d.Level, lease(d.LeaseEnd-f.Now), actsOn(d.Sightings))
		}
	})
	if err == nil && !found && !c.Fleet.JSON {
		return fmt.Errorf("no driver %q was ever known", s.Driver)
	}
	return err
}

func moment(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339Nano) }

type fleetVersions struct {
	Thing string `arg:"" optional:"" default:"rulebook" help:"The thing: rulebook, or what drivers have by themselves: list, program, file."`
}

// Run lists versions.
func (v fleetVersions) Run(c *commands) error {
	return c.fleet(func(out *tabwriter.Writer, f *membership.FleetState) {
		for _, s := range f.Observed {
			if string(s.Resource) == v.Thing {
				observed(out, s)
				return
			}
		}
		fmt.Fprintln(out, "VERSION\tSTAGE\tSINCE\tNOBODY ACTS ON OLDER FROM\tDIGEST\tWHY")
		for _, k := range f.Versions[versions.Resource(v.Thing)] {
			closed := "-"
			if k.CompletedAt != 0 {
				closed = moment(k.CompletedAt)
			}
			fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%.12s\t%s\n", k.Number, k.Stage, moment(k.UpdatedAt), closed, k.Digest, k.Reason)
		}
		for _, b := range f.Behind {
			if string(b.Resource) == v.Thing {
				fmt.Fprintf(out, "\nversion %d has been %s for %s, held back by %v\n", b.Number, b.Stage, time.Duration(b.Duration).Round(time.Millisecond), b.Instances)
			}
		}
	})
}

// observed shows what drivers act on of a thing that the council does not decide.
func observed(out *tabwriter.Writer, s versions.Distribution) {
	fmt.Fprintln(out, "VERSION\tDIGEST\tDRIVERS\tSUCH AS")
	for _, g := range s.Holders {
		fmt.Fprintf(out, "%d\t%s\t%d\t%s\n", g.Number, g.Digest, len(g.Instances), g.Instances[0].Name)
	}
	for _, d := range s.Lagging {
		fmt.Fprintf(out, "\n%s acts on %d and has not come nearer for %s", d.Name, d.Number, time.Duration(d.Duration).Round(time.Millisecond))
	}
	if s.HasConflict {
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
func (a fleetAudit) Run(c *commands) error {
	q := membership.AuditQuery{Thing: versions.Resource(a.Thing), Version: versions.Number(a.Version), Driver: a.Driver, MaxClockSkew: int64(a.Clocks)}
	if !a.From.IsZero() {
		q.From = a.From.UnixNano()
	}
	if !a.To.IsZero() {
		q.To = a.To.UnixNano()
	}
	wrong := 0
	err := asked(admin.NewFleetClient(c.Fleet.Admin), c.Fleet.JSON, "audit", q, func(out *tabwriter.Writer, f *membership.AuditResult) {
		wrong = len(f.Late) + len(f.Faults)
		if !a.Verify {
			fmt.Fprintln(out, "THING\tVERSION\tDRIVER\tSTART\tFROM\tTO\tRPCS\tSERVED\tSINGLE ENTRIES\tNOT KEPT")
			for _, k := range f.Acted {
				fmt.Fprintf(out, "%s\t%d\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", k.Resource, k.Version, k.Instance.Name, k.Instance.Start, moment(k.From), moment(k.To),
					k.Counts.Total(), k.Counts.ByOutcome(audit.Served), k.RPCEntries, k.Dropped)
			}
		}
		fmt.Fprintf(out, "\n%d entries of all trails were looked at\n", f.Entries)
		for _, l := range f.Late {
			fmt.Fprintf(out, "LATE: %s start %d acted on version %d at %s: %s %s\n", l.Instance.Name, l.Instance.Start, l.Version, moment(l.At), l.Reason, l.RPC)
		}
		for _, u := range f.Unknown {
			from := "its start"
			if u.From != 0 {
				from = moment(u.From)
			}
			fmt.Fprintf(out, "unknown: %s start %d from %s to %s: %s\n", u.Instance.Name, u.Instance.Start, from, moment(u.To), u.Reason)
		}
		for _, fault := range f.Faults {
			fmt.Fprintln(out, "FAULT:", fault)
		}
		for _, at := range f.Missing {
			fmt.Fprintln(out, "not asked: the voter at", at)
		}
	})
	if err == nil && a.Verify && wrong > 0 {
		return fmt.Errorf("%d findings", wrong)
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
func (p fleetPropose) Run(c *commands) error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	plan := versions.Plan{Exclusive: p.Exclusive, CanaryFraction: p.Canaries, TrialTime: int64(p.Trial), FalseAlarmRate: p.Alarm, ToleratedRatio: p.Bears, AnnounceTimeout: int64(p.Tell), AdoptTimeout: int64(p.Adopt),
		DrainTimeout: int64(p.Close)}
	return c.wish(membership.FleetChange{Propose: &membership.Proposal{Thing: routing.Rulebook, Text: string(text), Reason: p.Why, Plan: plan}},
		"proposed; `fleet versions` shows how it goes")
}

type fleetCallOff struct {
	Thing string `arg:"" optional:"" default:"rulebook" help:"The thing."`
	Why   string `default:"called off by hand" help:"Kept with the version."`
}

// Run calls a version off.
func (f fleetCallOff) Run(c *commands) error {
	return c.wish(membership.FleetChange{Withdraw: versions.Resource(f.Thing), Reason: f.Why}, "called off; `fleet versions` shows how it goes")
}

type fleetReadmit struct {
	Driver string `arg:"" help:"The driver's name."`
	Why    string `default:"by hand" help:"Kept with it."`
}

// Run lets a driver back in.
func (r fleetReadmit) Run(c *commands) error {
	return c.wish(membership.FleetChange{Readmit: r.Driver, Reason: r.Why}, r.Driver+" may ask for a lease again")
}

type fleetLevel struct {
	Raise int `help:"Raise it to this, for good; 0 to look."`
}

// Run shows or raises the level.
func (l fleetLevel) Run(c *commands) error {
	if l.Raise > 0 {
		return c.wish(membership.FleetChange{RaiseLevel: l.Raise}, fmt.Sprintf("the fleet acts at level %d", l.Raise))
	}
	return c.fleet(func(out *tabwriter.Writer, f *membership.FleetState) {
		fmt.Fprintf(out, "level %d; all know %d\n", f.Level, f.HighestCommonLevel)
	})
}

type fleetCouncil struct {
	Show   councilShow   `cmd:"" default:"1" help:"The voters, the leader, and how far the log is."`
	Add    councilAdd    `cmd:"" help:"Let a voter join, in place of another if one is named."`
	Remove councilRemove `cmd:"" help:"Let voters go for good; their numbers are not used again."`
}

type councilShow struct{}

// Run shows the council.
func (councilShow) Run(c *commands) error {
	return asked(admin.NewFleetClient(c.Fleet.Admin), c.Fleet.JSON, "council", struct{}{}, func(out *tabwriter.Writer, s *chamber.State) {
		fmt.Fprintf(out, "as voter %d knows: term %d, %d entries applied, %.1f ms a write of its disk\n", s.Voter, s.Term, s.Applied, s.WriteMs)
		if s.RefusalReason != "" {
			fmt.Fprintf(out, "this voter is refused: %s\n", s.RefusalReason)
		}
		fmt.Fprintln(out, "\nVOTER\tADDRESS\tLEADS")
		for _, v := range s.Voters {
			leads := ""
			if v == s.Leader {
				leads = "yes"
			}
			fmt.Fprintf(out, "%d\t%s\t%s\n", v, s.Addresses[strconv.FormatUint(uint64(v), 10)], leads)
		}
	})
}

// change asks for other voters.
func (c *commands) change(change chamber.VoterChange) error {
	err := admin.NewFleetClient(c.Fleet.Admin).Call(context.Background(), "council/change", change, nil)
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
func (a councilAdd) Run(c *commands) error {
	return c.change(chamber.VoterChange{Add: chamber.VoterAddresses{council.VoterID(a.ID): a.At}, Remove: voters(a.Replace)})
}

type councilRemove struct {
	IDs []uint64 `arg:"" name:"voter" help:"Their numbers."`
}

// Run lets voters go.
func (r councilRemove) Run(c *commands) error {
	return c.change(chamber.VoterChange{Remove: voters(r.IDs)})
}

func voters(ids []uint64) (voters []council.VoterID) {
	for _, id := range ids {
		voters = append(voters, council.VoterID(id))
	}
	return voters
}
