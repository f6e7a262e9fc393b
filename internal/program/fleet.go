package program

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"sedgespread/internal/audit"
	"sedgespread/internal/failpoint"
	"sedgespread/internal/membership"
	"sedgespread/internal/membership/gossip"
	"sedgespread/internal/roster"
	"sedgespread/internal/routing"
	"sedgespread/internal/versions"
)

// FeatureLevel is the highest feature level that this build supports. It is raised by each feature
// that older builds cannot take part in.
const FeatureLevel = 1

// buildRevision returns the abbreviated VCS revision of this build.
func buildRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return setting.Value[:min(12, len(setting.Value))]
			}
		}
	}
	return "unreleased"
}

// digestPrefixLength is how much of a digest is reported as the version of the operator file.
const digestPrefixLength = 16

// joinFleet registers this driver with the fleet, whose granted versions it then acts on.
func (s *operatorServices) joinFleet() (err error) {
	s.program.router.EnableVersions(versions.NewDriverState())
	s.program.router.ObserveVersion(versions.Build, FeatureLevel, buildRevision())
	s.program.router.ObserveVersion(versions.OperatorFile, 1, membership.Digest(s.config().SharedSettings())[:digestPrefixLength])
	claim := roster.Claim{Name: s.program.config.Name, Address: s.program.config.Listen, Build: buildRevision(),
		Level: FeatureLevel, IsVoter: s.config().Council.GetId() != 0}
	s.fleetAgent = membership.NewFleetAgent(s.config().VoterAddresses(), claim, milliseconds(s.config().Fleet.LeaseMs), s, s.program.log)
	gossipConfig := s.config().Fleet.Gossip
	if gossipConfig == nil {
		return nil
	}
	if s.gossiper, err = gossip.Listen(s.program.config.Name, gossipConfig.Listen, gossipConfig.Fellow,
		milliseconds(s.config().ProbeMs()), s.program.log); err != nil {
		return s.config().ErrorAt("fleet.gossip.listen", err)
	}
	s.fleetAgent.SetPeerMonitor(s.gossiper)
	return nil
}

// VersionReports returns the version observations to report to the fleet.
func (s *operatorServices) VersionReports() ([]versions.Report, int64) {
	return s.program.router.VersionReports()
}

// Joined records the start number that the fleet assigned to this driver.
func (s *operatorServices) Joined(instance versions.Instance, token string) {
	s.program.router.StartTrail(instance, token)
	select {
	case s.startNumber <- instance.Start:
	default: // already joined
	}
}

// TrailSince returns up to limit entries of this driver's audit trail after a sequence number.
func (s *operatorServices) TrailSince(after uint64, limit int) audit.Segment {
	return s.program.router.TrailSince(after, limit)
}

// FlushTrail returns all remaining entries of the audit trail after a sequence number.
func (s *operatorServices) FlushTrail(after uint64) audit.Segment {
	return s.program.router.FlushTrail(after)
}

// Audit answers a question from the audit trails that all voters hold.
func (s *operatorServices) Audit(ctx context.Context, query membership.AuditQuery) (membership.AuditResult, error) {
	if s.config().Fleet == nil {
		return membership.AuditResult{}, errNoFleet
	}
	return membership.Audit(ctx, s.config().VoterAddresses(), query)
}

// ApplyVersionGrant processes a grant from the fleet and adopts the versions in it.
func (s *operatorServices) ApplyVersionGrant(requestedAt int64, grant versions.Grant) {
	for _, adoption := range s.program.router.ApplyVersionGrant(requestedAt, grant) {
		err := s.adopt(adoption)
		s.program.router.ReportAdoption(adoption, err)
		log := s.program.log.WithField("thing", adoption.Resource).WithField("version", adoption.Number)
		if err != nil {
			log.WithError(err).Error("failed to adopt version")
		} else {
			log.Info("adopted version")
		}
	}
	if grant.Lease > 0 {
		s.versionsOnce.Do(func() { close(s.versionsReady) })
	}
}

// adopt applies a granted version.
func (s *operatorServices) adopt(adoption versions.Adoption) error {
	if adoption.Resource != routing.Rulebook {
		return fmt.Errorf("this build does not know what %q is", adoption.Resource)
	}
	if failpoint.Active(failpoint.CrashOnVersion) {
		os.Exit(3)
	}
	next, err := s.startConfig.WithRulebook(fmt.Sprintf("version %d of the rulebook", adoption.Number), adoption.Text)
	if err != nil {
		return err
	}
	return s.apply(next)
}

// Fleet returns the state of the fleet.
func (s *operatorServices) Fleet(ctx context.Context) (membership.FleetState, error) {
	if s.config().Fleet == nil {
		return membership.FleetState{}, errNoFleet
	}
	return membership.NewClient(s.config().VoterAddresses()...).FleetState(ctx)
}

// ChangeFleet sends an operator's request to the fleet. A proposed rulebook is validated locally first.
func (s *operatorServices) ChangeFleet(ctx context.Context, change membership.FleetChange) error {
	if s.config().Fleet == nil {
		return errNoFleet
	}
	if proposal := change.Propose; proposal != nil {
		if proposal.Resource != routing.Rulebook {
			return fmt.Errorf("%q is not a versioned thing", proposal.Resource)
		}
		if _, err := s.startConfig.WithRulebook("the rulebook", proposal.Text); err != nil {
			return err
		}
	}
	return membership.NewClient(s.config().VoterAddresses()...).ChangeFleet(ctx, change)
}
