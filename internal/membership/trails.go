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
	mostEntries = 16 << 10 // of one start that a voter holds
	mostTold    = 64       // that a driver tells with one request for a lease
)

// VoterTrails is what one voter holds of drivers' trails.
type VoterTrails struct {
	Parts  []audit.Segment `json:"parts"`
	Faults []string        `json:"faults"`
}

// OpenTrails lets trails be kept in a file, and takes in those that stand there.
func (m *FleetServer) OpenTrails(path string) error {
	s, parts, spoilt, err := shelf.Open(path, shelf.MaxBytes)
	if err != nil {
		return err
	}
	if spoilt > 0 {
		m.log.WithField("lines", spoilt).Warn("some of the trails kept can't be read")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shelf = s
	m.trails.Merge(parts)
	return nil
}

// hear takes in what a driver tells of its trail, the last of it where it leaves: that is taken also behind a hole. The lock is held.
func (m *FleetServer) hear(parts []audit.Segment, last bool) {
	take := m.trails.Add
	if last {
		take = m.trails.AddFinal
	}
	for _, p := range parts {
		p, held := p.WithClockOffset(m.now()), m.trails.LastSeq(p.Instance)
		if take(p) != held && m.shelf != nil {
			m.keep(p)
		}
	}
}

// renewShelfEvery is how long a shelf that could not be written waits until it is written anew.
const renewShelfEvery = int64(time.Second)

// keep writes a part down. Where that fails, all that is held is written anew as soon as the disk allows. The lock is held.
func (m *FleetServer) keep(p audit.Segment) {
	if m.unkept != 0 && m.now()-m.unkept < renewShelfEvery {
		return
	}
	var err error
	if m.unkept == 0 {
		err = m.shelf.Append(p)
	}
	if m.unkept != 0 || err == nil && m.shelf.IsFull() {
		err = m.shelf.Rewrite(m.trails.Segments())
	}
	switch {
	case err != nil && m.unkept == 0:
		m.log.WithError(err).Error("trails are kept in memory alone until they can be written again")
	case err == nil && m.unkept != 0:
		m.log.Info("trails are kept on disk again")
	}
	if m.unkept = 0; err != nil {
		m.unkept = m.now()
	}
}

// trailsHeld are those that this voter was told while it decided.
func (m *FleetServer) trailsHeld() VoterTrails {
	m.mu.Lock()
	defer m.mu.Unlock()
	return VoterTrails{Parts: m.trails.Segments(), Faults: m.trails.Faults()}
}

// handleTrails lets this voter tell what it holds, whoever decides.
func (m *FleetServer) handleTrails(mux *http.ServeMux) {
	mux.Handle("POST /v1/fleet/trails", jsonhttp.QueryHandler(func(context.Context) (VoterTrails, error) { return m.trailsHeld(), nil }))
}

// AuditQuery is what is asked of the audit. Times are Unix time in nanoseconds, 0 for no end.
type AuditQuery struct {
	Thing        versions.Resource `json:"thing"`
	Version      versions.Number   `json:"version"`
	Driver       string            `json:"driver"`
	From         int64             `json:"from"`
	To           int64             `json:"to"`
	MaxClockSkew int64             `json:"clocks"` // the most by which drivers' clocks differ
}

// AuditResult is what the audit answers.
type AuditResult struct {
	Acted   []audit.Activity     `json:"acted"`
	Late    []audit.LateActivity `json:"late"`    // after a newer version was closed
	Unknown []audit.Gap          `json:"unknown"` // never filled by a guess
	Faults  []string             `json:"faults"`  // trails that do not hold together
	Missing []string             `json:"missing"` // voters that could not be asked
	Entries int                  `json:"entries"`
}

// askVoter is how long one voter may take to tell all that it holds.
const askVoter = 5 * time.Second

// collect asks every voter for what it holds.
func collect(ctx context.Context, voters []string) (all *audit.Collection, faults, missing []string) {
	all = audit.NewCollection(2 * mostEntries)
	var parts []audit.Segment
	for _, at := range voters {
		var held VoterTrails
		by, stop := context.WithTimeout(ctx, askVoter)
		err := NewClient(at).ask(by, "fleet/trails", struct{}{}, &held)
		stop()
		if err != nil {
			missing = append(missing, at)
			continue
		}
		parts = append(parts, held.Parts...)
		faults = append(faults, held.Faults...)
	}
	all.Merge(parts)
	return all, append(faults, all.Faults()...), missing
}

// CollectParts are all trails that the voters hold between them.
func CollectParts(ctx context.Context, voters []string) []audit.Segment {
	all, _, _ := collect(ctx, voters)
	return all.Segments()
}

// Audit answers a question from all that the voters hold.
func Audit(ctx context.Context, voters []string, q AuditQuery) (f AuditResult, err error) {
	fleet, err := NewClient(voters...).FleetState(ctx)
	if err != nil {
		return f, err
	}
	var all *audit.Collection
	all, f.Faults, f.Missing = collect(ctx, voters)
	for _, p := range all.Segments() {
		f.Entries += len(p.Entries)
	}
	f.Acted = all.Activities(audit.Query{Resource: q.Thing, Version: q.Version, Driver: q.Driver, From: q.From, To: q.To})
	starts := fleet.starts(q.Driver)
	f.Unknown = append(all.Gaps(starts), fleet.forgotten(q.Driver, all)...)
	for _, v := range fleet.Versions[q.Thing] {
		if v.Stage == versions.StageCompleted {
			f.Late = append(f.Late, all.LateActivities(q.Thing, v.Number, v.Epoch, v.CompletedAt, q.MaxClockSkew)...)
			f.Unknown = append(f.Unknown, all.UnorderedActivities(q.Thing, v.Number, starts)...)
		}
	}
	return f, nil
}

// forgotten are the times in which starts that the roster does not remember any more may have done what nobody was told: before, between and
// after the trails that are held of them. Each may have acted until a lease after the next one joined.
func (f *FleetState) forgotten(driver string, held *audit.Collection) (all []audit.Gap) {
	for _, d := range f.Drivers {
		if driver != "" && d.Name != driver || len(d.EarlierStarts) == 0 || d.EarlierStarts[0].Start == 1 {
			continue
		}
		oldest := d.EarlierStarts[0]
		why := fmt.Sprintf("it is not remembered, and what is held of its trail ends: a roster remembers %d", len(d.EarlierStarts))
		last := audit.Extent{Instance: versions.Instance{Name: d.Name}}
		for _, e := range held.Extents(d.Name) {
			if e.Instance.Start >= uint64(oldest.Start) {
				break
			}
			if e.Instance.Start > 1 {
				all = append(all, audit.Gap{Instance: versions.Instance{Name: d.Name, Start: e.Instance.Start - 1}, From: last.To, To: e.From + f.Lease, Reason: why})
			}
			last = e
		}
		all = append(all, audit.Gap{Instance: versions.Instance{Name: d.Name, Start: uint64(oldest.Start - 1)}, From: last.To, To: oldest.JoinedAt + f.Lease, Reason: why})
	}
	return all
}

// starts are all starts that the roster remembers, and until when each may have acted.
func (f *FleetState) starts(driver string) (all []audit.Lifetime) {
	for _, d := range f.Drivers {
		if driver != "" && d.Name != driver {
			continue
		}
		for _, e := range d.EarlierStarts {
			all = append(all, audit.Lifetime{Instance: versions.Instance{Name: d.Name, Start: uint64(e.Start)}, From: e.JoinedAt, Until: e.EndedAt + f.Lease})
		}
		until := d.LeaseEnd
		if d.State == roster.StateLeft { // it told all, and then gave its lease up
			until = 0
		}
		all = append(all, audit.Lifetime{Instance: sign(d.Driver), From: d.JoinedAt, Until: until, IsLive: d.MayAct && d.State == roster.StatePresent})
	}
	return all
}
