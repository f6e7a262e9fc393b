package membership

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sedgespread/internal/audit"
	"sedgespread/internal/audit/trailstore"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// Limits on audit trails.
const (
	maxEntriesPerStart   = 16 << 10 // held by a voter for one start
	maxEntriesPerRequest = 64       // sent with one renewal
)

// VoterTrails holds the parts of audit trails that one voter has.
type VoterTrails struct {
	Segments []audit.Segment `json:"parts"`
	Faults   []string        `json:"faults"`
}

// OpenTrails loads trails from a file and keeps storing them there.
func (s *FleetServer) OpenTrails(path string) error {
	trailStore, parts, unreadable, err := trailstore.Open(path, trailstore.MaxBytes)
	if err != nil {
		return err
	}
	if unreadable > 0 {
		s.log.WithField("lines", unreadable).Warn("skipped unreadable lines of the trail file")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trailStore = trailStore
	s.trails.Merge(parts)
	return nil
}

// storeTrails stores parts of a driver's trail. The last part, sent when the driver leaves, is accepted
// even if entries before it are missing. The lock is held.
func (s *FleetServer) storeTrails(parts []audit.Segment, isLast bool) {
	store := s.trails.Add
	if isLast {
		store = s.trails.AddFinal
	}
	for _, part := range parts {
		part, held := part.WithClockOffset(s.now()), s.trails.LastSeq(part.Instance)
		if store(part) != held && s.trailStore != nil {
			s.saveTrailPart(part)
		}
	}
}

// storeRetryInterval is the minimum time between attempts to rewrite a trail file that failed.
const storeRetryInterval = int64(time.Second)

// saveTrailPart writes a part to the trail file. After a failure it rewrites the whole file once that is
// possible again. The lock is held.
func (s *FleetServer) saveTrailPart(part audit.Segment) {
	if s.storeFailedAt != 0 && s.now()-s.storeFailedAt < storeRetryInterval {
		return
	}
	var err error
	if s.storeFailedAt == 0 {
		err = s.trailStore.Append(part)
	}
	if s.storeFailedAt != 0 || err == nil && s.trailStore.IsFull() {
		err = s.trailStore.Rewrite(s.trails.Segments())
	}
	switch {
	case err != nil && s.storeFailedAt == 0:
		s.log.WithError(err).Error("writing the trail file failed; keeping trails in memory only until it succeeds")
	case err == nil && s.storeFailedAt != 0:
		s.log.Info("trail file is written again")
	}
	if s.storeFailedAt = 0; err != nil {
		s.storeFailedAt = s.now()
	}
}

// storedTrails returns the trails that this voter holds.
func (s *FleetServer) storedTrails() VoterTrails {
	s.mu.Lock()
	defer s.mu.Unlock()
	return VoterTrails{Segments: s.trails.Segments(), Faults: s.trails.Faults()}
}

// handleTrails registers the handler that returns the trails of this voter, leader or not.
func (s *FleetServer) handleTrails(mux *http.ServeMux) {
	mux.Handle("POST /v1/fleet/trails", jsonhttp.QueryHandler(func(context.Context) (VoterTrails, error) { return s.storedTrails(), nil }))
}

// AuditQuery selects actions from the audit trails. Times are Unix nanoseconds, 0 for unbounded.
type AuditQuery struct {
	Resource     versions.Resource `json:"thing"`
	Version      versions.Number   `json:"version"`
	Driver       string            `json:"driver"`
	From         int64             `json:"from"`
	To           int64             `json:"to"`
	MaxClockSkew int64             `json:"clocks"` // between drivers
}

// AuditResult is the answer to an AuditQuery.
type AuditResult struct {
	Activities     []audit.Activity     `json:"acted"`
	LateActivities []audit.LateActivity `json:"late"`    // acted after a newer version was closed
	Gaps           []audit.Gap          `json:"unknown"` // periods of which no trail is held
	Faults         []string             `json:"faults"`  // inconsistencies of trails
	MissingVoters  []string             `json:"missing"` // unreachable voters
	Entries        int                  `json:"entries"`
}

// voterTimeout limits the request for the trails of one voter.
const voterTimeout = 5 * time.Second

// collectTrails fetches and merges the trails of all voters.
func collectTrails(ctx context.Context, voters []string) (collection *audit.Collection, faults, missing []string) {
	collection = audit.NewCollection(2 * maxEntriesPerStart)
	var parts []audit.Segment
	for _, address := range voters {
		var trails VoterTrails
		requestCtx, cancel := context.WithTimeout(ctx, voterTimeout)
		err := NewClient(address).post(requestCtx, "fleet/trails", struct{}{}, &trails)
		cancel()
		if err != nil {
			missing = append(missing, address)
			continue
		}
		parts = append(parts, trails.Segments...)
		faults = append(faults, trails.Faults...)
	}
	collection.Merge(parts)
	return collection, append(faults, collection.Faults()...), missing
}

// CollectSegments returns the merged trails of all reachable voters.
func CollectSegments(ctx context.Context, voters []string) []audit.Segment {
	collection, _, _ := collectTrails(ctx, voters)
	return collection.Segments()
}

// Audit answers a query from the trails of all voters.
func Audit(ctx context.Context, voters []string, query AuditQuery) (result AuditResult, err error) {
	fleet, err := NewClient(voters...).FleetState(ctx)
	if err != nil {
		return result, err
	}
	var collection *audit.Collection
	collection, result.Faults, result.MissingVoters = collectTrails(ctx, voters)
	for _, part := range collection.Segments() {
		result.Entries += len(part.Entries)
	}
	result.Activities = collection.Activities(audit.Query{Resource: query.Resource, Version: query.Version, Driver: query.Driver, From: query.From, To: query.To})
	starts := fleet.rememberedStarts(query.Driver)
	result.Gaps = append(collection.Gaps(starts), fleet.unknownPeriods(query.Driver, collection)...)
	for _, version := range fleet.Versions[query.Resource] {
		if version.Stage == versions.StageCompleted {
			result.LateActivities = append(result.LateActivities, collection.LateActivities(query.Resource, version.Number, version.Epoch, version.CompletedAt, query.MaxClockSkew)...)
			result.Gaps = append(result.Gaps, collection.UnorderedActivities(query.Resource, version.Number, starts)...)
		}
	}
	return result, nil
}

// unknownPeriods returns the periods in which starts that the roster has forgotten may have acted without
// a trail: before, between and after the trails held. Each start may have acted until a lease after the
// next one joined.
func (s *FleetState) unknownPeriods(driver string, collection *audit.Collection) (periods []audit.Gap) {
	for _, d := range s.Drivers {
		if driver != "" && d.Name != driver || len(d.EarlierStarts) == 0 || d.EarlierStarts[0].Start == 1 {
			continue
		}
		oldest := d.EarlierStarts[0]
		reason := fmt.Sprintf("it is not remembered, and what is held of its trail ends: a roster remembers %d", len(d.EarlierStarts))
		last := audit.Extent{Instance: versions.Instance{Name: d.Name}}
		for _, extent := range collection.Extents(d.Name) {
			if extent.Instance.Start >= uint64(oldest.Start) {
				break
			}
			if extent.Instance.Start > 1 {
				periods = append(periods, audit.Gap{Instance: versions.Instance{Name: d.Name, Start: extent.Instance.Start - 1}, From: last.To, To: extent.From + s.Lease, Reason: reason})
			}
			last = extent
		}
		periods = append(periods, audit.Gap{Instance: versions.Instance{Name: d.Name, Start: uint64(oldest.Start - 1)}, From: last.To, To: oldest.JoinedAt + s.Lease, Reason: reason})
	}
	return periods
}

// rememberedStarts returns the starts in the roster, and until when each may have acted.
func (s *FleetState) rememberedStarts(driver string) (starts []audit.Lifetime) {
	for _, driverStatus := range s.Drivers {
		if driver != "" && driverStatus.Name != driver {
			continue
		}
		for _, earlier := range driverStatus.EarlierStarts {
			starts = append(starts, audit.Lifetime{Instance: versions.Instance{Name: driverStatus.Name, Start: uint64(earlier.Start)}, From: earlier.JoinedAt, Until: earlier.EndedAt + s.Lease})
		}
		until := driverStatus.LeaseEnd
		if driverStatus.State == roster.StateLeft { // it sent all of its trail before it released its lease
			until = 0
		}
		starts = append(starts, audit.Lifetime{Instance: startIdentity(driverStatus.Driver), From: driverStatus.JoinedAt, Until: until, IsLive: driverStatus.MayAct && driverStatus.State == roster.StatePresent})
	}
	return starts
}
