package membership

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sedgespread/internal/audit"
	"sedgespread/internal/audit/shelf"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// Of trails at a voter and on their way to it.
const (
	maxEntriesPerStart   = 16 << 10 // of one start that a voter holds
	maxEntriesPerRequest = 64       // that a driver tells with one request for a lease
)

// VoterTrails is what one voter holds of drivers' trails.
type VoterTrails struct {
	Parts  []audit.Part `json:"parts"`
	Faults []string     `json:"faults"`
}

// OpenTrails lets trails be kept in a file, and takes in those that stand there.
func (s *FleetServer) OpenTrails(path string) error {
	trailStore, parts, unreadable, err := shelf.Open(path, shelf.Most)
	if err != nil {
		return err
	}
	if unreadable > 0 {
		s.log.WithField("lines", unreadable).Warn("some of the trails kept can't be read")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trailStore = trailStore
	s.trails.Merge(parts)
	return nil
}

// storeTrails takes in what a driver tells of its trail, the last of it where it leaves: that is taken also behind a hole. The lock is held.
func (s *FleetServer) storeTrails(parts []audit.Part, isLast bool) {
	store := s.trails.Take
	if isLast {
		store = s.trails.TakeLast
	}
	for _, part := range parts {
		part, held := part.Heard(s.now()), s.trails.Held(part.Who)
		if store(part) != held && s.trailStore != nil {
			s.saveTrailPart(part)
		}
	}
}

// storeRetryInterval is how long a shelf that could not be written waits until it is written anew.
const storeRetryInterval = int64(time.Second)

// saveTrailPart writes a part down. Where that fails, all that is held is written anew as soon as the disk allows. The lock is held.
func (s *FleetServer) saveTrailPart(part audit.Part) {
	if s.storeFailedAt != 0 && s.now()-s.storeFailedAt < storeRetryInterval {
		return
	}
	var err error
	if s.storeFailedAt == 0 {
		err = s.trailStore.Put(part)
	}
	if s.storeFailedAt != 0 || err == nil && s.trailStore.Full() {
		err = s.trailStore.Renew(s.trails.Parts())
	}
	switch {
	case err != nil && s.storeFailedAt == 0:
		s.log.WithError(err).Error("trails are kept in memory alone until they can be written again")
	case err == nil && s.storeFailedAt != 0:
		s.log.Info("trails are kept on disk again")
	}
	if s.storeFailedAt = 0; err != nil {
		s.storeFailedAt = s.now()
	}
}

// storedTrails are those that this voter was told while it decided.
func (s *FleetServer) storedTrails() VoterTrails {
	s.mu.Lock()
	defer s.mu.Unlock()
	return VoterTrails{Parts: s.trails.Parts(), Faults: s.trails.Faults()}
}

// handleTrails lets this voter tell what it holds, whoever decides.
func (s *FleetServer) handleTrails(mux *http.ServeMux) {
	mux.Handle("POST /v1/fleet/trails", jsonhttp.QueryHandler(func(context.Context) (VoterTrails, error) { return s.storedTrails(), nil }))
}

// AuditQuery is what is asked of the audit. Times are Unix time in nanoseconds, 0 for no end.
type AuditQuery struct {
	Thing        versions.Thing  `json:"thing"`
	Version      versions.Number `json:"version"`
	Driver       string          `json:"driver"`
	From         int64           `json:"from"`
	To           int64           `json:"to"`
	MaxClockSkew int64           `json:"clocks"` // the most by which drivers' clocks differ
}

// AuditResult is what the audit answers.
type AuditResult struct {
	Acted   []audit.Acted   `json:"acted"`
	Late    []audit.Late    `json:"late"`    // after a newer version was closed
	Unknown []audit.Unknown `json:"unknown"` // never filled by a guess
	Faults  []string        `json:"faults"`  // trails that do not hold together
	Missing []string        `json:"missing"` // voters that could not be asked
	Entries int             `json:"entries"`
}

// voterTimeout is how long one voter may take to tell all that it holds.
const voterTimeout = 5 * time.Second

// collectTrails asks every voter for what it holds.
func collectTrails(ctx context.Context, voters []string) (collection *audit.Collection, faults, missing []string) {
	collection = audit.NewCollection(2 * maxEntriesPerStart)
	var parts []audit.Part
	for _, address := range voters {
		var trails VoterTrails
		requestCtx, cancel := context.WithTimeout(ctx, voterTimeout)
		err := NewClient(address).post(requestCtx, "fleet/trails", struct{}{}, &trails)
		cancel()
		if err != nil {
			missing = append(missing, address)
			continue
		}
		parts = append(parts, trails.Parts...)
		faults = append(faults, trails.Faults...)
	}
	collection.Merge(parts)
	return collection, append(faults, collection.Faults()...), missing
}

// CollectParts are all trails that the voters hold between them.
func CollectParts(ctx context.Context, voters []string) []audit.Part {
	collection, _, _ := collectTrails(ctx, voters)
	return collection.Parts()
}

// Audit answers a question from all that the voters hold.
func Audit(ctx context.Context, voters []string, query AuditQuery) (result AuditResult, err error) {
	fleet, err := NewClient(voters...).FleetState(ctx)
	if err != nil {
		return result, err
	}
	var collection *audit.Collection
	collection, result.Faults, result.Missing = collectTrails(ctx, voters)
	for _, part := range collection.Parts() {
		result.Entries += len(part.Entries)
	}
	result.Acted = collection.Acted(audit.Asked{Thing: query.Thing, Version: query.Version, Driver: query.Driver, From: query.From, To: query.To})
	starts := fleet.rememberedStarts(query.Driver)
	result.Unknown = append(collection.Unknown(starts), fleet.unknownPeriods(query.Driver, collection)...)
	for _, version := range fleet.Versions[query.Thing] {
		if version.Stage == versions.Closed {
			result.Late = append(result.Late, collection.Late(query.Thing, version.Number, version.Epoch, version.Closes, query.MaxClockSkew)...)
			result.Unknown = append(result.Unknown, collection.Unordered(query.Thing, version.Number, starts)...)
		}
	}
	return result, nil
}

// unknownPeriods are the times in which starts that the roster does not remember any more may have done what nobody was told: before, between and
// after the trails that are held of them. Each may have acted until a lease after the next one joined.
func (s *FleetState) unknownPeriods(driver string, collection *audit.Collection) (periods []audit.Unknown) {
	for _, d := range s.Drivers {
		if driver != "" && d.Name != driver || len(d.EarlierStarts) == 0 || d.EarlierStarts[0].Start == 1 {
			continue
		}
		oldest := d.EarlierStarts[0]
		reason := fmt.Sprintf("it is not remembered, and what is held of its trail ends: a roster remembers %d", len(d.EarlierStarts))
		last := audit.Extent{Who: versions.Sign{Name: d.Name}}
		for _, extent := range collection.Extents(d.Name) {
			if extent.Who.Start >= uint64(oldest.Start) {
				break
			}
			if extent.Who.Start > 1 {
				periods = append(periods, audit.Unknown{Who: versions.Sign{Name: d.Name, Start: extent.Who.Start - 1}, From: last.To, To: extent.From + s.Lease, Why: reason})
			}
			last = extent
		}
		periods = append(periods, audit.Unknown{Who: versions.Sign{Name: d.Name, Start: uint64(oldest.Start - 1)}, From: last.To, To: oldest.JoinedAt + s.Lease, Why: reason})
	}
	return periods
}

// rememberedStarts are all starts that the roster remembers, and until when each may have acted.
func (s *FleetState) rememberedStarts(driver string) (starts []audit.Start) {
	for _, driverStatus := range s.Drivers {
		if driver != "" && driverStatus.Name != driver {
			continue
		}
		for _, earlier := range driverStatus.EarlierStarts {
			starts = append(starts, audit.Start{Who: versions.Sign{Name: driverStatus.Name, Start: uint64(earlier.Start)}, From: earlier.JoinedAt, Until: earlier.EndedAt + s.Lease})
		}
		until := driverStatus.LeaseEnd
		if driverStatus.State == roster.StateLeft { // it told all, and then gave its lease up
			until = 0
		}
		starts = append(starts, audit.Start{Who: startIdentity(driverStatus.Driver), From: driverStatus.JoinedAt, Until: until, Live: driverStatus.MayAct && driverStatus.State == roster.StatePresent})
	}
	return starts
}
