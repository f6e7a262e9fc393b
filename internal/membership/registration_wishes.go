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
	Thing versions.Resource `json:"thing"`
	Text  string            `json:"text"`
	Why   string            `json:"why"`
	Plan  versions.Plan     `json:"plan"`
}

// Digest is what a text is known by.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Wish is what an operator asks of the fleet: one of these.
type Wish struct {
	Propose *Proposal         `json:"propose,omitempty"`
	CallOff versions.Resource `json:"call_off,omitempty"`
	Raise   int               `json:"raise,omitempty"`
	Readmit string            `json:"readmit,omitempty"`
	Why     string            `json:"why,omitempty"`
}

// Grant does what an operator asks for.
func (m *Registration) grant(ctx context.Context, w Wish) error {
	_, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
		now := m.now()
		switch p := w.Propose; {
		case p != nil:
			records, err := m.versions.Propose(now, p.Thing, Digest(p.Text), p.Text, p.Why, p.Plan)
			return ofVersions(records), err
		case w.CallOff != "":
			records, err := m.versions.RollBack(now, w.CallOff, w.Why)
			return ofVersions(records), err
		case w.Raise > 0:
			records, err := m.roster.Raise(now, w.Raise)
			return ofRoster(records), err
		case w.Readmit != "":
			records, err := m.roster.Readmit(now, w.Readmit, w.Why)
			return ofRoster(records), err
		}
		return nil, errors.New("nothing is asked for")
	})
	return err
}

// Seen is a driver as the fleet knows it.
type Seen struct {
	roster.Driver
	May   bool              `json:"may"`      // it may act, as far as is known
	Until int64             `json:"until"`    // when its lease has provably run out
	Seen  []versions.Report `json:"sighting"` // what it said last
}

// Fleet is how the fleet stands.
type Fleet struct {
	Voter    council.VoterID                          `json:"voter"`
	Now      int64                                    `json:"now"`
	Lease    int64                                    `json:"lease_ns"`
	Level    int                                      `json:"level"`
	Highest  int                                      `json:"highest"` // level that all know
	Drivers  []Seen                                   `json:"drivers"`
	Versions map[versions.Resource][]versions.Version `json:"versions"`
	Behind   []versions.StalledVersion                `json:"behind"`
	Observed []versions.Distribution                  `json:"observed"` // of things that the council does not decide
	Doubts   []roster.Doubt                           `json:"doubts"`   // drivers that fellows do not hear
}

// Fleet tells how the fleet stands.
func (m *Registration) Fleet() Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	f := Fleet{Voter: m.decisions.ledger.voter(), Now: now, Lease: int64(m.terms.Lease), Level: m.roster.Level(), Highest: m.roster.Highest(now),
		Versions: map[versions.Resource][]versions.Version{}, Behind: m.versions.StalledVersions(now, m.present()), Observed: m.observed, Doubts: m.doubts}
	for _, d := range m.roster.Drivers() {
		f.Drivers = append(f.Drivers, Seen{Driver: d, May: m.roster.May(now, d.Name), Until: m.roster.Until(d.Name),
			Seen: m.versions.Reports(sign(d))})
	}
	for _, t := range m.versions.Resources() {
		f.Versions[t] = m.versions.Versions(t)
		for i := range f.Versions[t] {
			f.Versions[t][i].Text = ""
		}
	}
	return f
}

// Fleet asks how the fleet stands.
func (c Coordinator) Fleet(ctx context.Context) (f Fleet, err error) {
	err = c.ask(ctx, "fleet/state", struct{}{}, &f)
	return f, err
}

// Wish asks something of the fleet.
func (c Coordinator) Wish(ctx context.Context, w Wish) error { return c.ask(ctx, "fleet/wish", w, nil) }

// Closed is the moment of a fleet's state from which provably nobody acts on a version of a thing older than the newest
// that was closed, by the clock of whoever closed it; number 0 for none yet.
func (f *Fleet) Closed(t versions.Resource) (n versions.Number, at int64) {
	for _, v := range slices.Backward(f.Versions[t]) {
		if v.Stage == versions.StageCompleted {
			return v.Number, v.CompletedAt
		}
	}
	return 0, 0
}
