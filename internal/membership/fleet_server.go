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
	"sedgespread/internal/audit/trailstore"
	"sedgespread/internal/clock"
	"sedgespread/internal/council/server"
	"sedgespread/internal/failpoint"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// FleetServer registers drivers and rolls out versions to them. It is a state machine of the council:
// every voter applies its records, and the leader proposes them.
type FleetServer struct {
	proposer[fleetRecord]
	log    logrus.FieldLogger
	clock  clock.Clock
	config FleetConfig

	mu               sync.Mutex
	roster           *roster.Roster
	versions         *versions.Controller
	changed          changeSignal            // on each new stage of a version
	trails           *audit.Collection       // received while this voter was the leader
	unknownRecords   []json.RawMessage       // with fields that only newer builds know
	pacer            *versions.Pacer         // limits the rate of version texts sent
	trailStore       *trailstore.Store       // nil to keep trails in memory only
	storeFailedAt    int64                   // when writing trailStore last failed, 0 if all is written
	lastShutOutError string                  // last logged, to log each error once
	observedAt       int64                   // time of observed and suspicions
	observed         []versions.Distribution // versions that the council does not decide
	diverged         map[versions.Resource]bool
	suspicions       []roster.Suspicion
	silentDrivers    map[string]bool
}

// FleetStateMachineName marks the fleet's records in the council's log.
const FleetStateMachineName = "fleet"

// FleetConfig holds the fleet's settings.
type FleetConfig struct {
	Lease           time.Duration
	ForgetAfter     time.Duration // after the end of its lease a driver counts as gone
	MaxShutOutShare float64       // of the drivers, at any time
}

// fleetRecord is a record of the roster or of a version; exactly one is set.
type fleetRecord struct {
	Roster  *roster.Record   `json:"roster,omitempty"`
	Version *versions.Record `json:"version,omitempty"`
}

// Rate limit for version texts sent to drivers, and the burst it allows.
const (
	textBytesPerSecond = 32e6
	textBurstDuration  = int64(20 * time.Millisecond)
)

// leaseMarginDivisor sets the margin added to leases, lease/leaseMarginDivisor, for clock drift.
const leaseMarginDivisor = 50

// NewFleetServer returns a server without drivers. Call AttachCouncil before serving.
func NewFleetServer(config FleetConfig, log logrus.FieldLogger) *FleetServer {
	return &FleetServer{log: log, clock: clock.New(), config: config, changed: newChangeSignal(), versions: versions.NewController(),
		diverged: map[versions.Resource]bool{}, trails: audit.NewCollection(maxTrailEntriesPerStart), pacer: versions.NewPacer(textBytesPerSecond, textBurstDuration),
		roster: roster.New(int64(config.Lease), int64(config.Lease)/leaseMarginDivisor, int64(config.ForgetAfter))}
}

// AttachCouncil sets the council's server. It is called before the first request.
func (s *FleetServer) AttachCouncil(c *server.Server) {
	s.proposer.recorder = councilRecorder[fleetRecord]{c, FleetStateMachineName}
}

func (s *FleetServer) now() int64 { return s.clock.Now() }

// Apply applies committed records.
func (s *FleetServer) Apply(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := applyRecords(data, s.apply); err != nil {
		s.log.WithError(err).Info("skipped an invalid record of the fleet")
	}
	if !hasOnlyKnownFields(data) && len(s.unknownRecords) < maxUnknownRecords {
		s.unknownRecords = append(s.unknownRecords, slices.Clone(data))
	}
}

// maxUnknownRecords limits the records kept for newer builds.
const maxUnknownRecords = 4096

// hasOnlyKnownFields reports whether this build knows every field of the records. Others are kept
// verbatim for a newer build that reads the next snapshot.
func hasOnlyKnownFields(data []byte) bool {
	var records []fleetRecord
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(&records) == nil
}

// apply applies a committed record. The lock is held.
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
	s.log.WithFields(logrus.Fields{"thing": version.Resource, "version": version.Number, "stage": version.Stage, "epoch": version.Epoch, "why": version.Reason}).Info("version changed stage")
	s.changed.broadcast()
	return nil
}

// fleetSnapshot is the state that results from all applied records.
type fleetSnapshot struct {
	Roster         roster.Snapshot   `json:"roster"`
	Versions       versions.Snapshot `json:"versions"`
	UnknownRecords []json.RawMessage `json:"strange,omitempty"` // with fields that the writing build did not know
}

// Snapshot returns the state that results from all applied records.
func (s *FleetServer) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(fleetSnapshot{s.roster.Snapshot(), s.versions.Snapshot(), s.unknownRecords})
}

// Restore replaces the state by that of a snapshot.
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

// Lead makes this voter the one that proposes.
func (s *FleetServer) Lead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.TakeOver(s.now())
	s.versions.StartLeading()
}

// Run advances versions and expires drivers until the context ends.
func (s *FleetServer) Run(ctx context.Context) { runPeriodically(ctx, s.step) }

// step advances versions and driver states as far as possible.
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
			s.pacer.RemoveExpired(s.now())
			return rosterRecords(append(s.roster.Step(s.now()), s.proposeShutOuts(present)...)), nil
		})
		if err != nil || !recorded {
			return
		}
	}
}

func versionRecords(records []versions.Record) (fleetRecords []fleetRecord) {
	for _, record := range records {
		fleetRecords = append(fleetRecords, fleetRecord{Version: &record})
	}
	return fleetRecords
}

func rosterRecords(records []roster.Record) (fleetRecords []fleetRecord) {
	for _, record := range records {
		fleetRecords = append(fleetRecords, fleetRecord{Roster: &record})
	}
	return fleetRecords
}

// presentDrivers returns all drivers and superseded starts in the form package versions uses. The lock
// is held.
func (s *FleetServer) presentDrivers() (present []versions.DriverStatus) {
	now := s.now()
	for _, driver := range s.roster.Drivers() {
		mayAct := s.roster.MayAct(now, driver.Name) && !failpoint.Active(failpoint.IgnoreStragglers)
		present = append(present, versions.DriverStatus{Instance: instanceOf(driver), MayAct: mayAct, IsVoter: driver.IsVoter, IsUnreachable: s.silentDrivers[driver.Name]})
	}
	for _, start := range s.roster.SupersededStarts(now) {
		present = append(present, versions.DriverStatus{Instance: versions.Instance{Name: start.Name, Start: uint64(start.Start)}, MayAct: !failpoint.Active(failpoint.IgnoreStragglers)})
	}
	return present
}

func instanceOf(d roster.Driver) versions.Instance {
	return versions.Instance{Name: d.Name, Start: uint64(d.Start)}
}

// proposeShutOuts proposes to shut out drivers that have held back a version for too long. If they are
// too many, the version is probably at fault: it logs an error and waits for an operator. The lock is
// held.
func (s *FleetServer) proposeShutOuts(present []versions.DriverStatus) []roster.Record {
	for _, stalled := range s.versions.StalledVersions(s.now(), present) {
		if !stalled.IsOverdue {
			continue
		}
		var names []string
		for _, instance := range stalled.Instances {
			if d, _ := s.roster.Find(instance.Name); d.State == roster.StatePresent {
				names = append(names, instance.Name)
			}
		}
		reason := "it kept version " + string(stalled.Resource) + " back, at " + stalled.Stage.String()
		records, err := s.roster.ShutOut(s.now(), names, reason, s.config.MaxShutOutShare)
		if err == nil && len(records) > 0 {
			return records
		}
		if err != nil && s.lastShutOutError != err.Error() {
			s.lastShutOutError = err.Error()
			s.log.WithError(err).WithFields(logrus.Fields{"thing": stalled.Resource, "version": stalled.Number, "stage": stalled.Stage, "by": names}).
				Error("too many drivers hold back a version to shut them all out; run `fleet call-off` or repair the drivers")
		}
	}
	return nil
}
