package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/audit"
	"sedgespread/internal/audit/shelf"
	"sedgespread/internal/clock"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/planted"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// FleetServer is the fleet as a machine on the council's log: which drivers there are, and which versions they act on. It takes
// records in at every voter and decides at one.
type FleetServer struct {
	decisions[registrationRecord]
	log   logrus.FieldLogger
	clock clock.Clock
	terms FleetConfig

	mu       sync.Mutex
	roster   *roster.Roster
	versions *versions.Controller
	changed  bell                    // rings at the next step of a version
	trails   *audit.Collection       // that drivers told while this voter decided
	strange  []json.RawMessage       // records of a newer build
	pacer    *versions.Pacer         // of texts
	shelf    *shelf.Store            // where trails are kept, nil for nowhere
	unkept   int64                   // when they could not be written last, 0 where all are
	stopped  string                  // why stragglers are not shut out, as told last
	looked   int64                   // when what drivers act on by themselves was looked at last
	observed []versions.Distribution // as it was then
	apart    map[versions.Resource]bool
	doubts   []roster.Suspicion // as they were then
	silent   map[string]bool
}

// FleetStateMachineName is what the fleet's records are marked with in a council's log.
const FleetStateMachineName = "fleet"

// FleetConfig are what the operator's file says of the fleet.
type FleetConfig struct {
	Lease           time.Duration
	ForgetAfter     time.Duration // a driver that was not heard for so long after its lease is gone
	MaxShutOutShare float64       // the part of the drivers that may be shut out at once
}

// registrationRecord is one of the two.
type registrationRecord struct {
	Roster  *roster.Record   `json:"roster,omitempty"`
	Version *versions.Record `json:"version,omitempty"`
}

// Texts are told to drivers at so many bytes a second, and those at once that are due in so long.
const (
	textRate  = 32e6
	textBurst = int64(20 * time.Millisecond)
)

// leaseMargin is the part of a lease by which it is waited for longer than it lasts: clocks differ in rate by less.
const leaseMargin = 50

// NewFleetServer makes the fleet's machine; Join is its place in the council.
func NewFleetServer(terms FleetConfig, log logrus.FieldLogger) *FleetServer {
	return &FleetServer{log: log, clock: clock.New(), terms: terms, changed: newBell(), versions: versions.NewController(),
		apart: map[versions.Resource]bool{}, trails: audit.NewCollection(mostEntries), pacer: versions.NewPacer(textRate, textBurst),
		roster: roster.New(int64(terms.Lease), int64(terms.Lease)/leaseMargin, int64(terms.ForgetAfter))}
}

// AttachCouncil says where the council is, before anything is asked of the registration.
func (m *FleetServer) AttachCouncil(c *chamber.Server) {
	m.decisions.ledger = together[registrationRecord]{c, FleetStateMachineName}
}

func (m *FleetServer) now() int64 { return m.clock.Now() }

// Apply takes in records that the council has agreed on.
func (m *FleetServer) Apply(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := applied(data, m.apply); err != nil {
		m.log.WithError(err).Info("a record does not count")
	}
	if !understood(data) && len(m.strange) < mostStrange {
		m.strange = append(m.strange, slices.Clone(data))
	}
}

// mostStrange is how many records of a newer build are kept whole.
const mostStrange = 4096

// understood tells whether this build knows every field of some records. Those of which it does not are kept as they came,
// for the newer build that will read the next snapshot.
func understood(data []byte) bool {
	var records []registrationRecord
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(&records) == nil
}

// apply lets a record count. The lock is held.
func (m *FleetServer) apply(r registrationRecord) error {
	if k := r.Roster; k != nil {
		if err := m.roster.Apply(m.now(), *k); err != nil {
			return err
		}
		m.log.WithFields(logrus.Fields{"of": k.Name, "start": k.Start, "level": k.Level, "why": k.Reason}).Info("driver " + string(k.Kind))
	}
	if r.Version == nil {
		return nil
	}
	if err := m.versions.Apply(*r.Version); err != nil {
		return err
	}
	v := &r.Version.Version
	m.log.WithFields(logrus.Fields{"thing": v.Resource, "version": v.Number, "stage": v.Stage, "epoch": v.Epoch, "why": v.Reason}).Info("version")
	m.changed.ring()
	return nil
}

// past is all that was recorded.
type past struct {
	Roster         roster.Snapshot   `json:"roster"`
	Versions       versions.Snapshot `json:"versions"`
	UnknownRecords []json.RawMessage `json:"strange,omitempty"` // records of which the build that wrote this did not know all
}

// Snapshot is all that was recorded.
func (m *FleetServer) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(past{m.roster.Snapshot(), m.versions.Snapshot(), m.strange})
}

// Restore takes over a snapshot.
func (m *FleetServer) Restore(data []byte) error {
	var p past
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Restore(m.now(), p.Roster)
	m.versions.Restore(p.Versions)
	m.strange = p.UnknownRecords
	m.changed.ring()
	return nil
}

// Lead begins to decide.
func (m *FleetServer) Lead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.TakeOver(m.now())
	m.versions.StartLeading()
}

// Run takes versions on until the context ends.
func (m *FleetServer) Run(ctx context.Context) { again(ctx, m.step) }

// step takes all on as far as it can go now.
func (m *FleetServer) step(ctx context.Context) {
	if m.decisions.ledger.acts() {
		m.mu.Lock()
		m.look()
		m.mu.Unlock()
	}
	for m.decisions.ledger.acts() {
		recorded, err := m.decide(ctx, &m.mu, func() ([]registrationRecord, error) {
			present := m.present()
			if records := m.versions.Step(m.now(), present); len(records) > 0 {
				return ofVersions(records), nil
			}
			m.pacer.RemoveExpired(m.now())
			return ofRoster(append(m.roster.Step(m.now()), m.stragglers(present)...)), nil
		})
		if err != nil || !recorded {
			return
		}
	}
}

func ofVersions(records []versions.Record) (all []registrationRecord) {
	for _, k := range records {
		all = append(all, registrationRecord{Version: &k})
	}
	return all
}

func ofRoster(records []roster.Record) (all []registrationRecord) {
	for _, k := range records {
		all = append(all, registrationRecord{Roster: &k})
	}
	return all
}

// present is all drivers as versions see them. The lock is held.
func (m *FleetServer) present() (all []versions.DriverStatus) {
	now := m.now()
	for _, d := range m.roster.Drivers() {
		may := m.roster.MayAct(now, d.Name) && !planted.Active(planted.IgnoreStragglers)
		all = append(all, versions.DriverStatus{Instance: sign(d), MayAct: may, IsVoter: d.IsVoter, IsUnreachable: m.silent[d.Name]})
	}
	for _, s := range m.roster.SupersededStarts(now) {
		all = append(all, versions.DriverStatus{Instance: versions.Instance{Name: s.Name, Start: uint64(s.Start)}, MayAct: !planted.Active(planted.IgnoreStragglers)})
	}
	return all
}

func sign(d roster.Driver) versions.Instance {
	return versions.Instance{Name: d.Name, Start: uint64(d.Start)}
}

// stragglers proposes to shut out who has held a version back for too long, unless that were too many: then the version is
// to blame, and nothing happens until a person sees to it. The lock is held.
func (m *FleetServer) stragglers(present []versions.DriverStatus) []roster.Record {
	for _, b := range m.versions.StalledVersions(m.now(), present) {
		if !b.IsOverdue {
			continue
		}
		var names []string
		for _, s := range b.Instances {
			if d, _ := m.roster.Find(s.Name); d.State == roster.StatePresent {
				names = append(names, s.Name)
			}
		}
		why := "it kept version " + string(b.Resource) + " back, at " + b.Stage.String()
		records, err := m.roster.ShutOut(m.now(), names, why, m.terms.MaxShutOutShare)
		if err == nil && len(records) > 0 {
			return records
		}
		if err != nil && m.stopped != err.Error() {
			m.stopped = err.Error()
			m.log.WithError(err).WithFields(logrus.Fields{"thing": b.Resource, "version": b.Number, "stage": b.Stage, "by": names}).
				Error("a version is held back by too many to shut them out: call it off, or see to them")
		}
	}
	return nil
}
