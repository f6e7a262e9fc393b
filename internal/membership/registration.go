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
	proposer[fleetRecord]
	log    logrus.FieldLogger
	clock  clock.Clock
	config FleetConfig

	mu               sync.Mutex
	roster           *roster.Roster
	versions         *versions.Ledger
	changed          changeSignal      // rings at the next step of a version
	trails           *audit.Collection // that drivers told while this voter decided
	unknownRecords   []json.RawMessage // records of a newer build
	pacer            *versions.Pacer   // of texts
	trailStore       *shelf.Shelf      // where trails are kept, nil for nowhere
	storeFailedAt    int64             // when they could not be written last, 0 where all are
	lastShutOutError string            // why stragglers are not shut out, as told last
	observedAt       int64             // when what drivers act on by themselves was looked at last
	observed         []versions.Spread // as it was then
	diverged         map[versions.Thing]bool
	suspicions       []roster.Suspicion // as they were then
	silentDrivers    map[string]bool
}

// FleetStateMachineName is what the fleet's records are marked with in a council's log.
const FleetStateMachineName = "fleet"

// FleetConfig are what the operator's file says of the fleet.
type FleetConfig struct {
	Lease           time.Duration
	ForgetAfter     time.Duration // a driver that was not heard for so long after its lease is gone
	MaxShutOutShare float64       // the part of the drivers that may be shut out at once
}

// fleetRecord is one of the two.
type fleetRecord struct {
	Roster  *roster.Record   `json:"roster,omitempty"`
	Version *versions.Record `json:"version,omitempty"`
}

// Texts are told to drivers at so many bytes a second, and those at once that are due in so long.
const (
	textBytesPerSecond = 32e6
	textBurstDuration  = int64(20 * time.Millisecond)
)

// leaseMarginDivisor is the part of a lease by which it is waited for longer than it lasts: clocks differ in rate by less.
const leaseMarginDivisor = 50

// NewFleetServer makes the fleet's machine; Join is its place in the council.
func NewFleetServer(config FleetConfig, log logrus.FieldLogger) *FleetServer {
	return &FleetServer{log: log, clock: clock.New(), config: config, changed: newChangeSignal(), versions: versions.NewLedger(),
		diverged: map[versions.Thing]bool{}, trails: audit.NewCollection(maxEntriesPerStart), pacer: versions.NewPacer(textBytesPerSecond, textBurstDuration),
		roster: roster.New(int64(config.Lease), int64(config.Lease)/leaseMarginDivisor, int64(config.ForgetAfter))}
}

// AttachCouncil says where the council is, before anything is asked of the registration.
func (s *FleetServer) AttachCouncil(c *chamber.Server) {
	s.proposer.recorder = councilRecorder[fleetRecord]{c, FleetStateMachineName}
}

func (s *FleetServer) now() int64 { return s.clock.Now() }

// Apply takes in records that the council has agreed on.
func (s *FleetServer) Apply(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := applyRecords(data, s.apply); err != nil {
		s.log.WithError(err).Info("a record does not count")
	}
	if !hasOnlyKnownFields(data) && len(s.unknownRecords) < maxUnknownRecords {
		s.unknownRecords = append(s.unknownRecords, slices.Clone(data))
	}
}

// maxUnknownRecords is how many records of a newer build are kept whole.
const maxUnknownRecords = 4096

// hasOnlyKnownFields tells whether this build knows every field of some records. Those of which it does not are kept as they came,
// for the newer build that will read the next snapshot.
func hasOnlyKnownFields(data []byte) bool {
	var records []fleetRecord
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(&records) == nil
}

// apply lets a record count. The lock is held.
func (s *FleetServer) apply(record fleetRecord) error {
	if rosterRecord := record.Roster; rosterRecord != nil {
		if err := s.roster.Apply(s.now(), *rosterRecord); err != nil {
			return err
		}
		s.log.WithFields(logrus.Fields{"of": rosterRecord.Name, "start": rosterRecord.Start, "level": rosterRecord.Level, "why": rosterRecord.Reason}).Info("driver " + string(rosterRecord.Kind))
	}
	if record.Version == nil {
		return nil
	}
	if err := s.versions.Apply(*record.Version); err != nil {
		return err
	}
	version := &record.Version.Version
	s.log.WithFields(logrus.Fields{"thing": version.Thing, "version": version.Number, "stage": version.Stage, "epoch": version.Epoch, "why": version.Why}).Info("version")
	s.changed.broadcast()
	return nil
}

// fleetSnapshot is all that was recorded.
type fleetSnapshot struct {
	Roster         roster.Snapshot   `json:"roster"`
	Versions       versions.Past     `json:"versions"`
	UnknownRecords []json.RawMessage `json:"strange,omitempty"` // records of which the build that wrote this did not know all
}

// Snapshot is all that was recorded.
func (s *FleetServer) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(fleetSnapshot{s.roster.Snapshot(), s.versions.Past(), s.unknownRecords})
}

// Restore takes over a snapshot.
func (s *FleetServer) Restore(data []byte) error {
	var snapshot fleetSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.Restore(s.now(), snapshot.Roster)
	s.versions.Restore(snapshot.Versions)
	s.unknownRecords = snapshot.UnknownRecords
	s.changed.broadcast()
	return nil
}

// Lead begins to decide.
func (s *FleetServer) Lead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.TakeOver(s.now())
	s.versions.TakeOver()
}

// Run takes versions on until the context ends.
func (s *FleetServer) Run(ctx context.Context) { runPeriodically(ctx, s.step) }

// step takes all on as far as it can go now.
func (s *FleetServer) step(ctx context.Context) {
	if s.proposer.recorder.isActing() {
		s.mu.Lock()
		s.observeVersions()
		s.mu.Unlock()
	}
	for s.proposer.recorder.isActing() {
		recorded, err := s.propose(ctx, &s.mu, func() ([]fleetRecord, error) {
			present := s.presentDrivers()
			if records := s.versions.Step(s.now(), present); len(records) > 0 {
				return versionRecords(records), nil
			}
			s.pacer.Sweep(s.now())
			return rosterRecords(append(s.roster.Step(s.now()), s.proposeShutOuts(present)...)), nil
		})
		if err != nil || !recorded {
			return
		}
	}
}

func versionRecords(records []versions.Record) (all []fleetRecord) {
	for _, k := range records {
		all = append(all, fleetRecord{Version: &k})
	}
	return all
}

func rosterRecords(records []roster.Record) (all []fleetRecord) {
	for _, k := range records {
		all = append(all, fleetRecord{Roster: &k})
	}
	return all
}

// presentDrivers is all drivers as versions see them. The lock is held.
func (s *FleetServer) presentDrivers() (all []versions.Present) {
	now := s.now()
	for _, driver := range s.roster.Drivers() {
		mayAct := s.roster.MayAct(now, driver.Name) && !planted.Is(planted.Straggler)
		all = append(all, versions.Present{Sign: startIdentity(driver), May: mayAct, Votes: driver.IsVoter, Silent: s.silentDrivers[driver.Name]})
	}
	for _, start := range s.roster.SupersededStarts(now) {
		all = append(all, versions.Present{Sign: versions.Sign{Name: start.Name, Start: uint64(start.Start)}, May: !planted.Is(planted.Straggler)})
	}
	return all
}

func startIdentity(d roster.Driver) versions.Sign {
	return versions.Sign{Name: d.Name, Start: uint64(d.Start)}
}

// proposeShutOuts proposes to shut out who has held a version back for too long, unless that were too many: then the version is
// to blame, and nothing happens until a person sees to it. The lock is held.
func (s *FleetServer) proposeShutOuts(present []versions.Present) []roster.Record {
	for _, behind := range s.versions.Behind(s.now(), present) {
		if !behind.Over {
			continue
		}
		var names []string
		for _, who := range behind.Who {
			if d, _ := s.roster.Find(who.Name); d.State == roster.StatePresent {
				names = append(names, who.Name)
			}
		}
		reason := "it kept version " + string(behind.Thing) + " back, at " + behind.Stage.String()
		records, err := s.roster.ShutOut(s.now(), names, reason, s.config.MaxShutOutShare)
		if err == nil && len(records) > 0 {
			return records
		}
		if err != nil && s.lastShutOutError != err.Error() {
			s.lastShutOutError = err.Error()
			s.log.WithError(err).WithFields(logrus.Fields{"thing": behind.Thing, "version": behind.Number, "stage": behind.Stage, "by": names}).
				Error("a version is held back by too many to shut them out: call it off, or see to them")
		}
	}
	return nil
}
