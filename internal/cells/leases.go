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
	lease   int64
	drivers map[string]*holder
}

type holder struct {
	started     uint64 // the newest start that was written down
	shaded      bool   // an earlier one may still act, as far as is written down
	promised    uint64 // a start whose record is on its way: no earlier one gets a lease any more
	incarnation uint64
	until       int64 // it may act until then at the latest
	before      int64 // so may an earlier start of its name, which can't be told from one that was killed
	acts        Epoch // on all up to there
	moves       map[Tenant]MoveReport
	loads       []TenantLoad
}

// rateShare is the part of a lease by which it is waited for longer than it lasts: two clocks may differ in rate by as much.
const rateShare = 500

// over is when a lease asked for at a time has provably run out, however fast or slow its holder's clock runs.
func (l *leases) over(asked int64) int64 { return asked + l.lease + l.lease/rateShare }

// known gives a driver's record, which is made for one not known.
func (l *leases) known(name string) *holder {
	h := l.drivers[name]
	if h == nil {
		h = &holder{}
		l.drivers[name] = h
	}
	return h
}

// starts takes in that a start of a name was written down. No lease was given to an earlier one after that was proposed, so
// that it has run out as if it had been asked for now, by the clock of whoever has the record.
func (l *leases) starts(now int64, name string, start uint64) {
	_, had := l.drivers[name]
	h := l.known(name)
	if start <= h.started {
		return
	}
	if had {
		h.shaded, h.before = true, max(h.before, l.over(now))
	}
	h.started = start
}

// alone takes in that provably no start of a name before one acts any more.
func (l *leases) alone(name string, start uint64) {
	if h := l.known(name); h.started == start {
		h.shaded, h.before = false, 0
	}
}

// restored takes over what others have written down of a name.
func (l *leases) restored(now int64, name string, start uint64, shaded bool) {
	if h := l.known(name); start > h.started {
		if h.started, h.shaded, h.before = start, shaded, 0; shaded {
			h.before = l.over(now)
		}
	}
}

// passed are names of which provably no earlier start acts any more and which are not written down as such, in order.
func (l *leases) passed(now int64) (all []Record) {
	for _, name := range l.holders() {
		if h := l.drivers[name]; h.shaded && h.before < now {
			all = append(all, Record{Driver: name, Incarnation: h.started, PredecessorsExpired: true})
		}
	}
	return all
}

// take takes in a report and tells whether its driver may have a lease: not one that has been followed by a newer start
// under its name.
func (l *leases) take(now int64, r Report) bool {
	h := l.known(r.Driver)
	if r.Incarnation < max(h.incarnation, h.started, h.promised) {
		return false
	}
	if r.Incarnation > h.incarnation && h.incarnation != 0 {
		h.before = max(h.before, h.until)
	}
	h.incarnation, h.until = r.Incarnation, l.over(now)
	h.acts, h.moves = r.Epoch, make(map[Tenant]MoveReport, len(r.Moves))
	for _, m := range r.Moves {
		h.moves[m.Tenant] = m
	}
	if len(r.Loads) > 0 {
		h.loads = r.Loads
	}
	return true
}

// all tells whether each driver that may still act acts on an epoch and passes a test on its part of a tenant's move. A
// driver whose lease has run out acts on nothing until it has asked again.
func (l *leases) all(now int64, e Entry, test func(MoveReport) bool) bool {
	for _, h := range l.drivers {
		if h.before >= now {
			return false
		}
		if h.until < now {
			continue
		}
		m, told := h.moves[e.Tenant]
		if h.acts < e.Epoch || !told || m.Epoch != e.Epoch || !test(m) {
			return false
		}
	}
	return true
}

// any tells whether some driver's part of a tenant's move passes a test.
func (l *leases) any(e Entry, test func(MoveReport) bool) bool {
	for _, h := range l.drivers {
		if m, told := h.moves[e.Tenant]; told && m.Epoch == e.Epoch && test(m) {
			return true
		}
	}
	return false
}

// loads are the loads that drivers told of, summed over those that may act.
func (l *leases) loads(now int64) []TenantLoad {
	sums := map[Tenant]TenantLoad{}
	for _, h := range l.drivers {
		for _, w := range h.loads {
			if h.until >= now {
				sum := sums[w.Tenant]
				sums[w.Tenant] = TenantLoad{w.Tenant, sum.Load + w.Load, sum.Overestimate + w.Overestimate}
			}
		}
	}
	all := make([]TenantLoad, 0, len(sums))
	for _, w := range sums {
		all = append(all, w)
	}
	return heaviest(all)
}

// holders are the names of the drivers known, in order.
func (l *leases) holders() []string {
	names := make([]string, 0, len(l.drivers))
	for name := range l.drivers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
