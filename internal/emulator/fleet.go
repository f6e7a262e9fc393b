// Package emulator is a model of members, their logs and what they do to statements, and a checker of the rules over
// what was seen. It does no I/O and reads no clock: whoever drives it says what time it is. Package sockets gives it a
// face on loopback.
//
// A member has cores and a queue in front of them, and takes a drawn time for each statement. A primary appends writes
// to its group's log when they are done; a replica shows the log as it was a lag ago, and answers as quickly. Positions
// are Unix time. The store can fill a group with a tenant's data from other groups; until that has caught up the group's
// members report what they have reached of it.
package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"

	"sedgespread/internal/versions"
)

const (
	milli  = int64(1_000_000)
	second = 1000 * milli
)

// Config is what a fleet is made of. Times are nanoseconds.
type Config struct {
	Groups         int
	Members        int // of a group, its primary among them
	Cores          int // of a member
	QueueLimit     int // statements that may wait for a core
	ServiceTime    int64
	ServiceSigma   float64 // of the logarithm of the service time
	ReplicaLag     int64   // of a replica, in the mean
	FillLag        int64   // that a group is behind what fills it
	Seed           uint64
	ColdCapacity   float64 // of its capacity that a member has just after its start, 0 for all
	WarmUpTime     int64   // it has all of it after so long
	OverloadFactor float64 // sent more than this times its capacity for TopplesIn, a cold member falls over
	DrainGrace     int64   // a member that drains may still be sent statements for so long
	RejectFenced   bool    // members turn away what comes under a version that is over
}

// OverloadWindow is the time in which a cold member must not be sent more than it bears.
const OverloadWindow = 2 * second

// MemberRate is how many statements a second one member can do.
func (s Config) MemberRate() float64 {
	return float64(s.Cores) / (float64(s.ServiceTime) / float64(second))
}

// MemberID is a member's place in the fleet.
type MemberID int

// Fleet is all members with what they hold. Its methods are to be called one after another.
type Fleet struct {
	Config
	groups  []*group
	members []*member
	rng     *rand.Rand
	service distuv.LogNormal
	seen    *Checker
}

type group struct {
	number  int64
	primary MemberID
	log     map[string][]version // by key, the oldest first
	feeds   []*feed
}

// version is what a write left.
type version struct {
	position int64
	value    string
}

// feed brings a tenant's writes of other groups into a group.
type feed struct {
	tenant string
	from   []int64
}

type member struct {
	group   *group
	free    []int64 // by core, when it will be
	starts  []int64 // of statements that wait, the first first
	lag     int64   // of a replica
	applied int64
	slowed  int64 // everything takes so many times as long, 0 for 1
	silent  int64 // it says nothing until then
	mute    bool  // it does what it is told and loses the answers
	started int64 // its last start, 0 for long ago
	lives   int   // its starts, counted, so that what was taken before is not done after
	drained int64 // it drains since, 0 for not
	warden  versions.FenceChecker
	fed     []int64 // while it is cold, when statements came, the first first
}

// NewFleet makes a fleet; groups are numbered from 1, and the first member of each is its primary.
func NewFleet(s Config, seen *Checker) *Fleet {
	f := &Fleet{Config: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), seen: seen}
	f.service = distuv.LogNormal{Mu: 0, Sigma: s.ServiceSigma, Src: f.rng}
	for g := range s.Groups {
		at := &group{number: int64(g + 1), primary: MemberID(g * s.Members), log: map[string][]version{}}
		f.groups = append(f.groups, at)
		for range s.Members {
			f.members = append(f.members, &member{group: at, free: make([]int64, s.Cores), lag: s.ReplicaLag/2 + f.rng.Int64N(s.ReplicaLag+1)})
		}
	}
	return f
}

// MemberCount is how many members there are.
func (f *Fleet) MemberCount() int { return len(f.members) }

// Group is a member's group.
func (f *Fleet) Group(m MemberID) int64 { return f.members[m].group.number }

// IsPrimary tells whether a member is its group's primary.
func (f *Fleet) IsPrimary(m MemberID) bool { return f.members[m].group.primary == m }

// Statement is what a member is sent.
type Statement struct {
	ID, Key string
	Write   bool
	Timeout int64 // its sender waits so long
	Fence   versions.Fence
}

// TenantOf is the tenant whose key it is: the part before the first slash.
func TenantOf(key string) string {
	tenant, _, _ := strings.Cut(key, "/")
	return tenant
}

// Admission is why a member does not do a statement.
type Admission int

const (
	Admitted Admission = iota
	QueueFull
	NotPrimary
	Fenced
)

// Admit takes a statement in, and tells when it will be done.
func (f *Fleet) Admit(now int64, m MemberID, s Statement) (done int64, r Admission) {
	at := f.members[m]
	f.seen.arrive(s, m, now)
	f.judge(now, m, s)
	turned := !at.warden.Accept(s.Fence) && f.RejectFenced
	f.seen.fence(s, now, turned)
	if turned {
		f.seen.refuse(s)
		return 0, Fenced
	}
	if s.Write && at.group.primary != m {
		f.seen.refuse(s)
		return 0, NotPrimary
	}
	at.starts = slices.DeleteFunc(at.starts, func(start int64) bool { return start <= now })
	if len(at.starts) >= f.QueueLimit {
		f.seen.refuse(s)
		return 0, QueueFull
	}
	core := 0
	for c, free := range at.free {
		if free < at.free[core] {
			core = c
		}
	}
	start := max(now, at.free[core], at.silent)
	took := int64(float64(f.ServiceTime) * f.service.Rand())
	if at.slowed > 1 {
		took *= at.slowed
	}
	took = int64(float64(took) / f.warmth(now, at))
	at.free[core] = start + took
	if start > now {
		at.starts = append(at.starts, start)
	}
	return start + took, Admitted
}

// warmth is the part of its capacity that a member has.
func (f *Fleet) warmth(now int64, m *member) float64 {
	age := now - m.started
	if m.started == 0 || f.ColdCapacity == 0 || age >= f.WarmUpTime {
		return 1
	}
	return f.ColdCapacity + (1-f.ColdCapacity)*float64(age)/float64(f.WarmUpTime)
}

// judge checks what reaches a member against the rules on members that drain and on cold ones.
func (f *Fleet) judge(now int64, m MemberID, s Statement) {
	at := f.members[m]
	if at.drained != 0 && now-at.drained > f.DrainGrace {
		f.seen.RecordViolation(RuleDraining, s.ID, "member %d got a call-out %d ms after it began to drain", m, (now-at.drained)/milli)
	}
	share := f.warmth(now, at)
	if share == 1 {
		at.fed = nil
		return
	}
	at.fed = append(slices.DeleteFunc(at.fed, func(t int64) bool { return now-t > OverloadWindow }), now)
	bears := f.OverloadFactor * share * f.MemberRate() * float64(OverloadWindow) / float64(second)
	if float64(len(at.fed)) > bears+2*math.Sqrt(bears)+2 { // a little for chance
		f.seen.RecordViolation(RuleColdOverload, s.ID, "member %d, at %.2f of its capacity, got %d statements in %d ms", m, share, len(at.fed), OverloadWindow/milli)
		at.silent = now + 10*second
	}
}

// SetDraining lets a member drain, or serve again.
func (f *Fleet) SetDraining(now int64, m MemberID, drains bool) {
	f.members[m].drained = 0
	if drains {
		f.members[m].drained = now
	}
}

// IsDraining tells whether a member drains.
func (f *Fleet) IsDraining(m MemberID) bool { return f.members[m].drained != 0 }

// Restart starts a member anew: it is cold, and what it had taken is not done. Its data is still there.
func (f *Fleet) Restart(now int64, m MemberID) {
	at := f.members[m]
	at.started, at.fed, at.starts, at.silent, at.free = now, nil, nil, 0, make([]int64, f.Cores)
	at.lives++
}

// Started is when a member started last, 0 for long ago, and its how manieth life it is.
func (f *Fleet) Started(m MemberID) (at int64, life int) {
	return f.members[m].started, f.members[m].lives
}

// Response is what a member says of itself, and of a statement what came of it.
type Response struct {
	Value    string
	Primary  bool
	Position int64 // of the member, or of the write
	IsLost   bool  // it does not come
}

// Execute does a statement whose time has come.
func (f *Fleet) Execute(now int64, m MemberID, s Statement) Response {
	at := f.members[m]
	a := Response{Primary: at.group.primary == m, IsLost: at.mute}
	if !s.Write {
		a.Position = f.position(now, m)
		own := at.apply(now) // what fills a group does not take back what it has
		if a.Primary {
			own = math.MaxInt64
		}
		a.Value = f.value(at.group, s.Key, own, a.Position)
		return a
	}
	position := stamp(now)
	if versions := at.group.log[s.Key]; len(versions) > 0 {
		position = max(position, versions[len(versions)-1].position+milli)
	}
	at.group.log[s.Key] = append(at.group.log[s.Key], version{position, s.ID})
	f.seen.effect(s, at.group.number, position)
	a.Value, a.Position = s.ID, position
	return a
}

// Status is what a member tells of itself.
func (f *Fleet) Status(now int64, m MemberID) Response {
	return Response{Primary: f.IsPrimary(m), Position: f.position(now, m)}
}

// stamp is the position of a moment: positions are told in whole milliseconds.
func stamp(now int64) int64 { return (now + milli - 1) / milli * milli }

// apply is how far a replica has its group's log: it never goes back, however its lag grows.
func (m *member) apply(now int64) int64 {
	m.applied = max(m.applied, stamp(now)-m.lag)
	return m.applied
}

// position is how far a member has come: behind by its lag, and by what fills its group.
func (f *Fleet) position(now int64, m MemberID) int64 {
	at, p := f.members[m], stamp(now)
	if at.group.primary != m {
		p = at.apply(now)
	}
	if len(at.group.feeds) > 0 {
		return p - f.FillLag
	}
	return p
}

// value is what a group shows of a key: of its own up to one position, and of what fills it just now up to another.
func (f *Fleet) value(g *group, key string, own, filled int64) string {
	v := newest(g.log[key], own)
	for _, d := range g.feeds {
		if d.tenant != TenantOf(key) {
			continue
		}
		for _, from := range d.from {
			if other := newest(f.find(from).log[key], filled); other.position > v.position {
				v = other
			}
		}
	}
	return v.value
}

// newest is the newest version up to a position.
func newest(versions []version, position int64) version {
	n := sort.Search(len(versions), func(i int) bool { return versions[i].position > position })
	if n == 0 {
		return version{}
	}
	return versions[n-1]
}

func (f *Fleet) find(number int64) *group { return f.groups[number-1] }

// BeginFill begins to fill groups with what others have of a tenant. It may be told more than once.
func (f *Fleet) BeginFill(tenant string, from, to []int64) {
	f.DiscardFill(tenant)
	for _, number := range to {
		g := f.find(number)
		g.feeds = append(g.feeds, &feed{tenant: tenant, from: from})
	}
}

// EndFill ends the filling with a tenant's data at a position: what came up to there is the group's own from here on, and
// nothing later comes.
func (f *Fleet) EndFill(tenant string, position int64) {
	for _, g := range f.groups {
		for _, d := range g.feeds {
			if d.tenant != tenant {
				continue
			}
			for _, from := range d.from {
				g.merge(f.find(from), tenant, position)
			}
		}
	}
	f.DiscardFill(tenant)
}

// merge takes over what another group has of a tenant up to a position.
func (g *group) merge(from *group, tenant string, position int64) {
	for key, versions := range from.log {
		if TenantOf(key) != tenant {
			continue
		}
		n := sort.Search(len(versions), func(i int) bool { return versions[i].position > position })
		all := append(slices.Clone(g.log[key]), versions[:n]...)
		slices.SortStableFunc(all, func(a, b version) int {
			return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.value, b.value))
		})
		g.log[key] = slices.Compact(all)
	}
}

// DiscardFill ends the filling with a tenant's data and throws away what came.
func (f *Fleet) DiscardFill(tenant string) {
	for _, g := range f.groups {
		g.feeds = slices.DeleteFunc(g.feeds, func(d *feed) bool { return d.tenant == tenant })
	}
}

// SetSlowdown makes a member so many times as slow; 1 makes it as before.
func (f *Fleet) SetSlowdown(m MemberID, times int64) { f.members[m].slowed = times }

// PauseUntil lets a member stand still until a time.
func (f *Fleet) PauseUntil(m MemberID, until int64) { f.members[m].silent = until }

// SetReplyLoss makes a member lose its answers though it does what it is told.
func (f *Fleet) SetReplyLoss(m MemberID, mute bool) { f.members[m].mute = mute }

// SetLag sets how far a replica is behind.
func (f *Fleet) SetLag(now int64, m MemberID, lag int64) {
	f.members[m].apply(now)
	f.members[m].lag = lag
}

// HasWrite tells whether a group has a write of a key.
func (f *Fleet) HasWrite(number int64, key, id string) bool {
	return slices.ContainsFunc(f.find(number).log[key], func(v version) bool { return v.value == id })
}
