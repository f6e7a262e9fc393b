package cells

import "slices"

// Report is what a driver tells the coordinator when it asks to renew its lease.
type Report struct {
	Driver      string       `json:"driver"`
	Incarnation uint64       `json:"incarnation"` // newer after each start
	Epoch       Epoch        `json:"epoch"`       // the newest that it acts on
	Moves       []MoveReport `json:"moves,omitempty"`
	Loads       []TenantLoad `json:"loads,omitempty"` // RPCs a second of its heaviest tenants, now and then
}

// MoveReport is a driver's part of a move under way, as far as it knows the stage of that epoch.
type MoveReport struct {
	Tenant     Tenant `json:"tenant"`
	Epoch      Epoch  `json:"epoch"`
	Writes     int    `json:"writes"`  // that are in flight, or may still run
	OpenRPCs   int    `json:"open"`    // RPCs, the writes among them
	LastCommit int64  `json:"commit"`  // the newest that an answer told, Unix time in nanoseconds
	CaughtUp   bool   `json:"reached"` // the new cell's members were seen at the cut or past it
}

// Grant is what the coordinator answers.
type Grant struct {
	Lease       int64   `json:"lease_ns"`          // it may act on what it knows for so long after it asked; 0 for a driver that is out of date
	LatestEpoch Epoch   `json:"newest"`            // of all entries, those that follow included
	Entries     []Entry `json:"entries,omitempty"` // newer than what it acts on
}

// leases is which drivers may act, on what, and until when. Names of drivers and their starts are written down before the
// first lease, so that a coordinator that takes over knows whom it has to wait for.
type leases struct {
	duration int64
	drivers  map[string]*leaseHolder
}

type leaseHolder struct {
	recordedIncarnation  uint64 // the newest start that was written down
	hasPredecessor       bool   // an earlier one may still act, as far as is written down
	pendingIncarnation   uint64 // a start whose record is on its way: no earlier one gets a lease any more
	incarnation          uint64
	expiresAt            int64 // it may act until then at the latest
	predecessorExpiresAt int64 // so may an earlier start of its name, which can't be told from one that was killed
	epoch                Epoch // on all up to there
	moves                map[Tenant]MoveReport
	loads                []TenantLoad
}

// clockRateDivisor is the part of a lease by which it is waited for longer than it lasts: two clocks may differ in rate by as much.
const clockRateDivisor = 500

// expiry is when a lease asked for at a time has provably run out, however fast or slow its holder's clock runs.
func (l *leases) expiry(requestedAt int64) int64 {
	return requestedAt + l.duration + l.duration/clockRateDivisor
}

// holder gives a driver's record, which is made for one not known.
func (l *leases) holder(name string) *leaseHolder {
	h := l.drivers[name]
	if h == nil {
		h = &leaseHolder{}
		l.drivers[name] = h
	}
	return h
}

// recordStart takes in that a start of a name was written down. No lease was given to an earlier one after that was proposed, so
// that it has run out as if it had been asked for now, by the clock of whoever has the record.
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

// clearPredecessor takes in that provably no start of a name before one acts any more.
func (l *leases) clearPredecessor(name string, incarnation uint64) {
	if h := l.holder(name); h.recordedIncarnation == incarnation {
		h.hasPredecessor, h.predecessorExpiresAt = false, 0
	}
}

// restore takes over what others have written down of a name.
func (l *leases) restore(now int64, name string, incarnation uint64, hasPredecessor bool) {
	if h := l.holder(name); incarnation > h.recordedIncarnation {
		if h.recordedIncarnation, h.hasPredecessor, h.predecessorExpiresAt = incarnation, hasPredecessor, 0; hasPredecessor {
			h.predecessorExpiresAt = l.expiry(now)
		}
	}
}

// expiredPredecessors are names of which provably no earlier start acts any more and which are not written down as such, in order.
func (l *leases) expiredPredecessors(now int64) (records []Record) {
	for _, name := range l.names() {
		if h := l.drivers[name]; h.hasPredecessor && h.predecessorExpiresAt < now {
			records = append(records, Record{Driver: name, Incarnation: h.recordedIncarnation, PredecessorsExpired: true})
		}
	}
	return records
}

// renew takes in a report and tells whether its driver may have a lease: not one that has been followed by a newer start
// under its name.
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

// allHolders tells whether each driver that may still act acts on an epoch and passes a test on its part of a tenant's move. A
// driver whose lease has run out acts on nothing until it has asked again.
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

// anyHolder tells whether some driver's part of a tenant's move passes a test.
func (l *leases) anyHolder(e Entry, test func(MoveReport) bool) bool {
	for _, h := range l.drivers {
		if m, reported := h.moves[e.Tenant]; reported && m.Epoch == e.Epoch && test(m) {
			return true
		}
	}
	return false
}

// loads are the loads that drivers told of, summed over those that may act.
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

// names are the names of the drivers known, in order.
func (l *leases) names() []string {
	names := make([]string, 0, len(l.drivers))
	for name := range l.drivers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
