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
	Thing  versions.Resource `json:"thing"`
	Text   string            `json:"text"`
	Reason string            `json:"why"`
	Plan   versions.Plan     `json:"plan"`
}

// Digest is what a text is known by.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// FleetChange is what an operator asks of the fleet: one of these.
type FleetChange struct {
	Propose    *Proposal         `json:"propose,omitempty"`
	Withdraw   versions.Resource `json:"call_off,omitempty"`
	RaiseLevel int               `json:"raise,omitempty"`
	Readmit    string            `json:"readmit,omitempty"`
	Reason     string            `json:"why,omitempty"`
}

// Grant does what an operator asks for.
func (m *FleetServer) grant(ctx context.Context, w FleetChange) error {
	_, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
		now := m.now()
		switch p := w.Propose; {
		case p != nil:
			records, err := m.versions.Propose(now, p.Thing, Digest(p.Text), p.Text, p.Reason, p.Plan)
			return ofVersions(records), err
		case w.Withdraw != "":
			records, err := m.versions.RollBack(now, w.Withdraw, w.Reason)
			return ofVersions(records), err
		case w.RaiseLevel > 0:
			records, err := m.roster.RaiseLevel(now, w.RaiseLevel)
			return ofRoster(records), err
		case w.Readmit != "":
			records, err := m.roster.Readmit(now, w.Readmit, w.Reason)
			return ofRoster(records), err
		}
		return nil, errors.New("nothing is asked for")
	})
	return err
}

// DriverStatus is a driver as the fleet knows it.
type DriverStatus struct {
	roster.Driver
	MayAct    bool              `json:"may"`      // it may act, as far as is known
	LeaseEnd  int64             `json:"until"`    // when its lease has provably run out
	Sightings []versions.Report `json:"sighting"` // what it said last
}

// FleetState is how the fleet stands.
type FleetState struct {
	Voter              council.VoterID                          `json:"voter"`
	Now                int64                                    `json:"now"`
	Lease              int64                                    `json:"lease_ns"`
	Level              int                                      `json:"level"`
	HighestCommonLevel int                                      `json:"highest"` // level that all know
	Drivers            []DriverStatus                           `json:"drivers"`
	Versions           map[versions.Resource][]versions.Version `json:"versions"`
	Behind             []versions.StalledVersion                `json:"behind"`
	Observed           []versions.Distribution                  `json:"observed"` // of things that the council does not decide
	Suspicions         []roster.Suspicion                       `json:"doubts"`   // drivers that fellows do not hear
}

// State tells how the fleet stands.
func (m *FleetServer) State() FleetState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	f := FleetState{Voter: m.decisions.ledger.voter(), Now: now, Lease: int64(m.terms.Lease), Level: m.roster.Level(), HighestCommonLevel: m.roster.HighestCommonLevel(now),
		Versions: map[versions.Resource][]versions.Version{}, Behind: m.versions.StalledVersions(now, m.present()), Observed: m.observed, Suspicions: m.doubts}
	for _, d := range m.roster.Drivers() {
		f.Drivers = append(f.Drivers, DriverStatus{Driver: d, MayAct: m.roster.MayAct(now, d.Name), LeaseEnd: m.roster.LeaseEnd(d.Name),
			Sightings: m.versions.Reports(sign(d))})
	}
	for _, t := range m.versions.Resources() {
		f.Versions[t] = m.versions.Versions(t)
		for i := range f.Versions[t] {
			f.Versions[t][i].Text = ""
		}
	}
	return f
}

// FleetState asks how the fleet stands.
func (c Client) FleetState(ctx context.Context) (f FleetState, err error) {
	err = c.ask(ctx, "fleet/state", struct{}{}, &f)
	return f, err
}

// ChangeFleet asks something of the fleet.
func (c Client) ChangeFleet(ctx context.Context, w FleetChange) error {
	return c.ask(ctx, "fleet/wish", w, nil)
}

// LatestClosed is the moment of a fleet's state from which provably nobody acts on a version of a thing older than the newest
// that was closed, by the clock of whoever closed it; number 0 for none yet.
func (f *FleetState) LatestClosed(t versions.Resource) (n versions.Number, at int64) {
	for _, v := range slices.Backward(f.Versions[t]) {
		if v.Stage == versions.StageCompleted {
			return v.Number, v.CompletedAt
		}
	}
	return 0, 0
}
