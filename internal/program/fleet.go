package program

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"sedgespread/internal/audit"
	"sedgespread/internal/membership"
	"sedgespread/internal/membership/gossip"
	"sedgespread/internal/planted"
	"sedgespread/internal/roster"
	"sedgespread/internal/routing"
	"sedgespread/internal/versions"
)

// Level is the highest feature level that this build knows. It grows with whatever older builds can't take part in.
const Level = 1

// build is what this program says of itself in the roster.
func build() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unreleased"
}

// digestShown is how much of a digest is told of things that the fleet does not decide.
const digestShown = 16

// enlist lets this driver act on the versions that the fleet agrees on.
func (c *confinement) enlist() (err error) {
	c.p.router.EnableVersions(versions.NewDriverState())
	c.p.router.ObserveVersion(versions.Build, Level, build())
	c.p.router.ObserveVersion(versions.OperatorFile, 1, membership.Digest(c.orders().SharedSettings())[:digestShown])
	claim := roster.Claim{Name: c.p.posting.Name, Address: c.p.posting.Listen, Build: build(), Level: Level, IsVoter: c.orders().Council.GetId() != 0}
	c.agent = membership.NewFleetAgent(c.orders().VoterAddresses(), claim, millis(c.orders().Fleet.LeaseMs), c, c.p.log)
	g := c.orders().Fleet.Gossip
	if g == nil {
		return nil
	}
	if c.ring, err = gossip.Listen(c.p.posting.Name, g.Listen, g.Fellow, millis(c.orders().ProbeMs()), c.p.log); err != nil {
		return c.orders().ErrorAt("fleet.gossip.listen", err)
	}
	c.agent.SetPeerMonitor(c.ring)
	return nil
}

// Sightings is what the fleet is told.
func (c *confinement) Sightings() ([]versions.Report, int64) { return c.p.router.VersionSightings() }

// Joined takes in the number of this driver's start.
func (c *confinement) Joined(who versions.Instance, token string) {
	c.p.router.StartTrail(who, token)
	select {
	case c.number <- who.Start:
	default: // it has joined before
	}
}

// Trail gives the entries of this driver's trail after one.
func (c *confinement) Trail(seq uint64, most int) audit.Segment {
	return c.p.router.TrailSince(seq, most)
}

// LastTrail gives all that is left of it.
func (c *confinement) LastTrail(seq uint64) audit.Segment { return c.p.router.FlushTrail(seq) }

// Audit answers a question from what all voters hold of drivers' trails.
func (c *confinement) Audit(ctx context.Context, q membership.AuditQuery) (membership.AuditResult, error) {
	if c.orders().Fleet == nil {
		return membership.AuditResult{}, errNoFleet
	}
	return membership.Audit(ctx, c.orders().VoterAddresses(), q)
}

// Granted takes in what the fleet granted, and adopts what it says.
func (c *confinement) Granted(asked int64, g versions.Grant) {
	for _, a := range c.p.router.ApplyOrders(asked, g) {
		err := c.adopts(a)
		c.p.router.ReportAdoption(a, err)
		log := c.p.log.WithField("thing", a.Resource).WithField("version", a.Number)
		if err != nil {
			log.WithError(err).Error("a version can't be acted on")
		} else {
			log.Info("acts on a version")
		}
	}
	if g.Lease > 0 {
		c.heed.Do(func() { close(c.heeds) })
	}
}

// adopts does what it takes to act on a version.
func (c *confinement) adopts(a versions.Adoption) error {
	if a.Resource != routing.Rulebook {
		return fmt.Errorf("this build does not know what %q is", a.Resource)
	}
	if planted.Active(planted.CrashOnVersion) {
		os.Exit(3)
	}
	next, err := c.origin.WithRulebook(fmt.Sprintf("version %d of the rulebook", a.Number), a.Text)
	if err != nil {
		return err
	}
	return c.become(next)
}

// Fleet tells how the fleet stands.
func (c *confinement) Fleet(ctx context.Context) (membership.FleetState, error) {
	if c.orders().Fleet == nil {
		return membership.FleetState{}, errNoFleet
	}
	return membership.NewClient(c.orders().VoterAddresses()...).FleetState(ctx)
}

// Wish asks something of the fleet. A rulebook is checked here before it is proposed.
func (c *confinement) Wish(ctx context.Context, w membership.FleetChange) error {
	if c.orders().Fleet == nil {
		return errNoFleet
	}
	if p := w.Propose; p != nil {
		if p.Thing != routing.Rulebook {
			return fmt.Errorf("there is no thing %q that has versions", p.Thing)
		}
		if _, err := c.origin.WithRulebook("the rulebook", p.Text); err != nil {
			return err
		}
	}
	return membership.NewClient(c.orders().VoterAddresses()...).ChangeFleet(ctx, w)
}
