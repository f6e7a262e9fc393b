package cells

import "slices"

// Report is what a driver sends to the coordinator to renew its lease.
type Report struct {
	Driver      string       `json:"driver"`
	Incarnation uint64       `json:"incarnation"` // increases with each start
	Epoch       Epoch        `json:"epoch"`       // latest known to the driver
	Moves       []MoveReport `json:"moves,omitempty"`
	Loads       []TenantLoad `json:"loads,omitempty"` // RPCs per second of its busiest tenants, sent periodically
}

// MoveReport is what a driver reports about a move. Epoch is that of the Entry it refers to.
type MoveReport struct {
	Tenant     Tenant `json:"tenant"`
	Epoch      Epoch  `json:"epoch"`
	Writes     int    `json:"writes"`  // in flight, or possibly still running
	OpenRPCs   int    `json:"open"`    // in flight, including writes
	LastCommit int64  `json:"commit"`  // latest position reported by a response, Unix time in nanoseconds
	CaughtUp   bool   `json:"reached"` // the new cell's members reached CutoverPosition
}

// Grant is the coordinator's response to a Report.
type Grant struct {
	Lease       int64   `json:"lease_ns"`          // validity counted from the request; 0 if refused
	LatestEpoch Epoch   `json:"newest"`            // of all entries, including those in Entries
	Entries     []Entry `json:"entries,omitempty"` // newer than the Epoch of the report
}

// leases tracks which drivers may act, at which epoch, and until when. A driver's start is
// persisted before its first lease, so that a new coordinator knows which leases may still be
// valid.
type leases struct {
	duration int64
	drivers  map[string]*leaseHolder
}

type leaseHolder struct {
	recordedIncarnation  uint64 // latest persisted start
	hasPredecessor       bool   // an earlier start may hold a lease, according to the records
	pendingIncarnation   uint64 // start being persisted; earlier ones get no lease
	incarnation          uint64
	expiresAt            int64
	predecessorExpiresAt int64 // expiry of an earlier start, which may still be running
	epoch                Epoch // latest known to the driver
	moves                map[Tenant]MoveReport
	loads                []TenantLoad
}

// clockRateDivisor extends the expiry of a lease by 1/500 of its duration, for clocks that run at
// different rates.
const clockRateDivisor = 500

// expiry returns when a lease requested at a time has expired on any driver's clock.
func (l *leases) expiry(requestedAt int64) int64 {
	return requestedAt + l.duration + l.duration/clockRateDivisor
}

// holder returns a driver's lease state and creates it if needed.
func (l *leases) holder(name string) *leaseHolder {
	h := l.drivers[name]
	if h == nil {
		h = &leaseHolder{}
		l.drivers[name] = h
	}
	return h
}

// recordStart records a persisted start of a driver. No earlier start got a lease after this one
// was proposed, so any such lease expires as if requested now.
func (l *leases) recordStart(now int64, name string, incarnation uint64) {
	_, known := l.drivers[name]
	h := l.holder(name)
	if incarnation <= h.recordedIncarnation {
		return
	}
	if known {
		h.hasPredecessor, h.predecessorExpiresAt = true, max(h.predecessorExpiresAt, l.expiry(now))
	}
	h.recordedIncarnation = incarnation
}

// clearPredecessor records that the leases of earlier starts of a driver have expired.
func (l *leases) clearPredecessor(name string, incarnation uint64) {
	if h := l.holder(name); h.recordedIncarnation == incarnation {
		h.hasPredecessor, h.predecessorExpiresAt = false, 0
	}
}

// restore applies a driver's state from a snapshot.
func (l *leases) restore(now int64, name string, incarnation uint64, hasPredecessor bool) {
	if h := l.holder(name); incarnation > h.recordedIncarnation {
		if h.recordedIncarnation, h.hasPredecessor, h.predecessorExpiresAt = incarnation, hasPredecessor, 0; hasPredecessor {
			h.predecessorExpiresAt = l.expiry(now)
		}
	}
}

// expiredPredecessors returns records for drivers whose earlier starts' leases have expired,
// sorted by name.
func (l *leases) expiredPredecessors(now int64) (records []Record) {
	for _, name := range l.names() {
		if h := l.drivers[name]; h.hasPredecessor && h.predecessorExpiresAt < now {
			records = append(records, Record{Driver: name, Incarnation: h.recordedIncarnation, PredecessorsExpired: true})
		}
	}
	return records
}

// renew applies a report and reports whether the driver may get a lease. A driver that has been
// replaced by a newer start may not.
func (l *leases) renew(now int64, report Report) bool {
	h := l.holder(report.Driver)
	if report.Incarnation < max(h.incarnation, h.recordedIncarnation, h.pendingIncarnation) {
		return false
	}
	if report.Incarnation > h.incarnation && h.incarnation != 0 {
		h.predecessorExpiresAt = max(h.predecessorExpiresAt, h.expiresAt)
	}
	h.incarnation, h.expiresAt = report.Incarnation, l.expiry(now)
	h.epoch, h.moves = report.Epoch, make(map[Tenant]MoveReport, len(report.Moves))
	for _, m := range report.Moves {
		h.moves[m.Tenant] = m
	}
	if len(report.Loads) > 0 {
		h.loads = report.Loads
	}
	return true
}

// allHolders reports whether every driver that may still act knows the entry's epoch and passes a
// test on its report of the move. A driver with an expired lease does not act until it has
// renewed.
func (l *leases) allHolders(now int64, e Entry, test func(MoveReport) bool) bool {
	for _, h := range l.drivers {
		if h.predecessorExpiresAt >= now {
			return false
		}
		if h.expiresAt < now {
			continue
		}
		m, reported := h.moves[e.Tenant]
		if h.epoch < e.Epoch || !reported || m.Epoch != e.Epoch || !test(m) {
			return false
		}
	}
	return true
}

// anyHolder reports whether some driver's report of a move passes a test.
func (l *leases) anyHolder(e Entry, test func(MoveReport) bool) bool {
	for _, h := range l.drivers {
		if m, reported := h.moves[e.Tenant]; reported && m.Epoch == e.Epoch && test(m) {
			return true
		}
	}
	return false
}

// loads returns the reported loads, summed over the drivers with valid leases.
func (l *leases) loads(now int64) []TenantLoad {
	sums := map[Tenant]TenantLoad{}
	for _, h := range l.drivers {
		for _, load := range h.loads {
			if h.expiresAt >= now {
				sum := sums[load.Tenant]
				sums[load.Tenant] = TenantLoad{load.Tenant, sum.Load + load.Load, sum.Overestimate + load.Overestimate}
			}
		}
	}
	loads := make([]TenantLoad, 0, len(sums))
	for _, load := range sums {
		loads = append(loads, load)
	}
	return sortHeaviestFirst(loads)
}

// names returns the names of the known drivers, sorted.
func (l *leases) names() []string {
	names := make([]string, 0, len(l.drivers))
	for name := range l.drivers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
