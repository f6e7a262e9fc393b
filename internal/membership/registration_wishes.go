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

// Proposal is a version that is to come.
type Proposal struct {
	Thing  versions.Thing `json:"thing"`
	Text   string         `json:"text"`
	Reason string         `json:"why"`
	Plan   versions.Plan  `json:"plan"`
}

// Digest is what a text is known by.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// FleetChange is what an operator asks of the fleet: one of these.
type FleetChange struct {
	Propose    *Proposal      `json:"propose,omitempty"`
	Withdraw   versions.Thing `json:"call_off,omitempty"`
	RaiseLevel int            `json:"raise,omitempty"`
	Readmit    string         `json:"readmit,omitempty"`
	Reason     string         `json:"why,omitempty"`
}

// Grant does what an operator asks for.
func (s *FleetServer) changeFleet(ctx context.Context, change FleetChange) error {
	_, err := s.propose(ctx, &s.mu, func() ([]fleetRecord, error) {
		now := s.now()
		switch proposal := change.Propose; {
		case proposal != nil:
			records, err := s.versions.Propose(now, proposal.Thing, Digest(proposal.Text), proposal.Text, proposal.Reason, proposal.Plan)
			return versionRecords(records), err
		case change.Withdraw != "":
			records, err := s.versions.CallOff(now, change.Withdraw, change.Reason)
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

// DriverStatus is a driver as the fleet knows it.
type DriverStatus struct {
	roster.Driver
	MayAct    bool                `json:"may"`      // it may act, as far as is known
	LeaseEnd  int64               `json:"until"`    // when its lease has provably run out
	Sightings []versions.Sighting `json:"sighting"` // what it said last
}

// FleetState is how the fleet stands.
type FleetState struct {
	Voter              council.VoterID                       `json:"voter"`
	Now                int64                                 `json:"now"`
	Lease              int64                                 `json:"lease_ns"`
	Level              int                                   `json:"level"`
	HighestCommonLevel int                                   `json:"highest"` // level that all know
	Drivers            []DriverStatus                        `json:"drivers"`
	Versions           map[versions.Thing][]versions.Version `json:"versions"`
	Behind             []versions.Behind                     `json:"behind"`
	Observed           []versions.Spread                     `json:"observed"` // of things that the council does not decide
	Suspicions         []roster.Suspicion                    `json:"doubts"`   // drivers that fellows do not hear
}

// State tells how the fleet stands.
func (s *FleetServer) State() FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	state := FleetState{Voter: s.proposer.recorder.voterID(), Now: now, Lease: int64(s.config.Lease), Level: s.roster.Level(), HighestCommonLevel: s.roster.HighestCommonLevel(now),
		Versions: map[versions.Thing][]versions.Version{}, Behind: s.versions.Behind(now, s.presentDrivers()), Observed: s.observed, Suspicions: s.suspicions}
	for _, driver := range s.roster.Drivers() {
		state.Drivers = append(state.Drivers, DriverStatus{Driver: driver, MayAct: s.roster.MayAct(now, driver.Name), LeaseEnd: s.roster.LeaseEnd(driver.Name),
			Sightings: s.versions.Said(startIdentity(driver))})
	}
	for _, thing := range s.versions.Things() {
		state.Versions[thing] = s.versions.Versions(thing)
		for i := range state.Versions[thing] {
			state.Versions[thing][i].Text = ""
		}
	}
	return state
}

// FleetState asks how the fleet stands.
func (c Client) FleetState(ctx context.Context) (f FleetState, err error) {
	err = c.post(ctx, "fleet/state", struct{}{}, &f)
	return f, err
}

// ChangeFleet asks something of the fleet.
func (c Client) ChangeFleet(ctx context.Context, change FleetChange) error {
	return c.post(ctx, "fleet/wish", change, nil)
}

// LatestClosed is the moment of a fleet's state from which provably nobody acts on a version of a thing older than the newest
// that was closed, by the clock of whoever closed it; number 0 for none yet.
func (s *FleetState) LatestClosed(t versions.Thing) (n versions.Number, at int64) {
	for _, v := range slices.Backward(s.Versions[t]) {
		if v.Stage == versions.Closed {
			return v.Number, v.Closes
		}
	}
	return 0, 0
}
