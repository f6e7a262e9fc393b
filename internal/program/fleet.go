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

// FeatureLevel is the highest feature level that this build knows. It grows with whatever older builds can't take part in.
const FeatureLevel = 1

// buildRevision is what this program says of itself in the roster.
func buildRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unreleased"
}

// digestPrefixLength is how much of a digest is told of things that the fleet does not decide.
const digestPrefixLength = 16

// joinFleet lets this driver act on the versions that the fleet agrees on.
func (c *operatorServices) joinFleet() (err error) {
	c.p.router.Heed(versions.NewHolder())
	c.p.router.Observe(versions.Program, FeatureLevel, buildRevision())
	c.p.router.Observe(versions.File, 1, membership.Digest(c.config().Common())[:digestPrefixLength])
	claim := roster.Claim{Name: c.p.config.Name, At: c.p.config.Listen, Build: buildRevision(), Level: FeatureLevel, Votes: c.config().Council.GetId() != 0}
	c.agent = membership.NewAgent(c.config().VotersAt(), claim, milliseconds(c.config().Fleet.LeaseMs), c, c.p.log)
	g := c.config().Fleet.Gossip
	if g == nil {
		return nil
	}
	if c.gossipRing, err = gossip.Listen(c.p.config.Name, g.Listen, g.Fellow, milliseconds(c.config().ProbeMs()), c.p.log); err != nil {
		return c.config().Reject("fleet.gossip.listen", err)
	}
	c.agent.Listens(c.gossipRing)
	return nil
}

// Sightings is what the fleet is told.
func (c *operatorServices) Sightings() ([]versions.Sighting, int64) { return c.p.router.Sightings() }

// Joined takes in the number of this driver's start.
func (c *operatorServices) Joined(who versions.Sign, token string) {
	c.p.router.ReportStart(who, token)
	select {
	case c.startNumber <- who.Start:
	default: // it has joined before
	}
}

// Trail gives the entries of this driver's trail after one.
func (c *operatorServices) Trail(seq uint64, most int) audit.Part { return c.p.router.Trail(seq, most) }

// LastTrail gives all that is left of it.
func (c *operatorServices) LastTrail(seq uint64) audit.Part { return c.p.router.LastTrail(seq) }

// Audit answers a question from what all voters hold of drivers' trails.
func (c *operatorServices) Audit(ctx context.Context, q membership.Question) (membership.Finding, error) {
	if c.config().Fleet == nil {
		return membership.Finding{}, errNoFleet
	}
	return membership.Audit(ctx, c.config().VotersAt(), q)
}

// Granted takes in what the fleet granted, and adopts what it says.
func (c *operatorServices) Granted(asked int64, g versions.Grant) {
	for _, a := range c.p.router.ReportOrders(asked, g) {
		err := c.adopt(a)
		c.p.router.ReportAdopted(a, err)
		log := c.p.log.WithField("thing", a.Thing).WithField("version", a.Number)
		if err != nil {
			log.WithError(err).Error("a version can't be acted on")
		} else {
			log.Info("acts on a version")
		}
	}
	if g.Lease > 0 {
		c.versionsOnce.Do(func() { close(c.versionsReady) })
	}
}

// adopt does what it takes to act on a version.
func (c *operatorServices) adopt(a versions.Adoption) error {
	if a.Thing != routing.Rulebook {
		return fmt.Errorf("this build does not know what %q is", a.Thing)
	}
	if planted.Is(planted.Crash) {
		os.Exit(3)
	}
	next, err := c.startConfig.With(fmt.Sprintf("version %d of the rulebook", a.Number), a.Text)
	if err != nil {
		return err
	}
	return c.apply(next)
}

// Fleet tells how the fleet stands.
func (c *operatorServices) Fleet(ctx context.Context) (membership.Fleet, error) {
	if c.config().Fleet == nil {
		return membership.Fleet{}, errNoFleet
	}
	return membership.Dial(c.config().VotersAt()...).Fleet(ctx)
}

// Wish asks something of the fleet. A rulebook is checked here before it is proposed.
func (c *operatorServices) Wish(ctx context.Context, w membership.Wish) error {
	if c.config().Fleet == nil {
		return errNoFleet
	}
	if p := w.Propose; p != nil {
		if p.Thing != routing.Rulebook {
			return fmt.Errorf("there is no thing %q that has versions", p.Thing)
		}
		if _, err := c.startConfig.With("the rulebook", p.Text); err != nil {
			return err
		}
	}
	return membership.Dial(c.config().VotersAt()...).Wish(ctx, w)
}
