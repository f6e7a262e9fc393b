package membership

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"

	"sedgespread/internal/council"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// Proposal asks for the rollout of a new version.
type Proposal struct {
	Resource versions.Resource `json:"thing"`
	Text     string            `json:"text"`
	Reason   string            `json:"why"`
	Plan     versions.Plan     `json:"plan"`
}

// Digest returns the SHA-256 hash of a text in hexadecimal.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// FleetChange is an operator's request. Only one field besides Reason is set.
type FleetChange struct {
	Propose    *Proposal         `json:"propose,omitempty"`
	RollBack   versions.Resource `json:"call_off,omitempty"`
	RaiseLevel int               `json:"raise,omitempty"`
	Readmit    string            `json:"readmit,omitempty"`
	Reason     string            `json:"why,omitempty"`
}

// changeFleet carries out an operator's request.
func (s *FleetServer) changeFleet(ctx context.Context, change FleetChange) error {
	_, err := s.propose(ctx, &s.mu, func() ([]fleetRecord, error) {
		now := s.now()
		switch proposal := change.Propose; {
		case proposal != nil:
			records, err := s.versions.Propose(now, proposal.Resource, Digest(proposal.Text), proposal.Text, proposal.Reason, proposal.Plan)
			return versionRecords(records), err
		case change.RollBack != "":
			records, err := s.versions.RollBack(now, change.RollBack, change.Reason)
			return versionRecords(records), err
		case change.RaiseLevel > 0:
			records, err := s.roster.RaiseLevel(now, change.RaiseLevel)
			return rosterRecords(records), err
		case change.Readmit != "":
			records, err := s.roster.Readmit(now, change.Readmit, change.Reason)
			return rosterRecords(records), err
		}
		return nil, errors.New("nothing is asked for")
	})
	return err
}

// DriverStatus is a driver with its lease and the versions it uses.
type DriverStatus struct {
	roster.Driver
	MayAct   bool              `json:"may"`      // it may hold a lease
	LeaseEnd int64             `json:"until"`    // when its lease has certainly ended
	Reports  []versions.Report `json:"sighting"` // as last reported
}

// FleetState describes the drivers and versions of the fleet.
type FleetState struct {
	Voter              council.VoterID                          `json:"voter"`
	Now                int64                                    `json:"now"`
	Lease              int64                                    `json:"lease_ns"`
	Level              int                                      `json:"level"`
	HighestCommonLevel int                                      `json:"highest"` // supported by all drivers
	Drivers            []DriverStatus                           `json:"drivers"`
	Versions           map[versions.Resource][]versions.Version `json:"versions"`
	Stalled            []versions.StalledVersion                `json:"behind"`
	Observed           []versions.Distribution                  `json:"observed"` // versions that the council does not decide
	Suspicions         []roster.Suspicion                       `json:"doubts"`   // drivers that peers report as unreachable
}

// State returns the state of the fleet.
func (s *FleetServer) State() FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	state := FleetState{Voter: s.proposer.recorder.voterID(), Now: now, Lease: int64(s.config.Lease), Level: s.roster.Level(), HighestCommonLevel: s.roster.HighestCommonLevel(now),
		Versions: map[versions.Resource][]versions.Version{}, Stalled: s.versions.StalledVersions(now, s.presentDrivers()), Observed: s.observed, Suspicions: s.suspicions}
	for _, driver := range s.roster.Drivers() {
		state.Drivers = append(state.Drivers, DriverStatus{Driver: driver, MayAct: s.roster.MayAct(now, driver.Name), LeaseEnd: s.roster.LeaseEnd(driver.Name),
			Reports: s.versions.Reports(startIdentity(driver))})
	}
	for _, thing := range s.versions.Resources() {
		state.Versions[thing] = s.versions.Versions(thing)
		for i := range state.Versions[thing] {
			state.Versions[thing][i].Text = ""
		}
	}
	return state
}

// FleetState fetches the state of the fleet.
func (c Client) FleetState(ctx context.Context) (f FleetState, err error) {
	err = c.post(ctx, "fleet/state", struct{}{}, &f)
	return f, err
}

// ChangeFleet requests a change of the fleet.
func (c Client) ChangeFleet(ctx context.Context, change FleetChange) error {
	return c.post(ctx, "fleet/wish", change, nil)
}

// LatestCompleted returns the newest closed version of a thing and the time, on the clock of the voter that
// closed it, from which no driver acts on an older one. The number is 0 if there is none.
func (s *FleetState) LatestCompleted(thing versions.Resource) (number versions.Number, closedAt int64) {
	for _, v := range slices.Backward(s.Versions[thing]) {
		if v.Stage == versions.StageCompleted {
			return v.Number, v.CompletedAt
		}
	}
	return 0, 0
}
