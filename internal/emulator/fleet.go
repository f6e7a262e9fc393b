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
	millisecond = int64(1_000_000)
	second      = 1000 * millisecond
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
	groups      []*group
	members     []*member
	rng         *rand.Rand
	serviceTime distuv.LogNormal
	checker     *Checker
}

type group struct {
	number  int64
	primary MemberID
	log     map[string][]write // by key, the oldest first
	fills   []*fill
}

// write is what a write left.
type write struct {
	position int64
	id       string
}

// fill brings a tenant's writes of other groups into a group.
type fill struct {
	tenant  string
	sources []int64
}

type member struct {
	group           *group
	coreFreeAt      []int64 // by core, when it will be
	queuedStarts    []int64 // of statements that wait, the first first
	lag             int64   // of a replica
	appliedPosition int64
	slowdown        int64 // everything takes so many times as long, 0 for 1
	pausedUntil     int64 // it says nothing until then
	losesReplies    bool  // it does what it is told and loses the answers
	startedAt       int64 // its last start, 0 for long ago
	restarts        int   // its starts, counted, so that what was taken before is not done after
	drainingSince   int64 // it drains since, 0 for not
	fenceState      versions.Warden
	coldArrivals    []int64 // while it is cold, when statements came, the first first
}

// NewFleet makes a fleet; groups are numbered from 1, and the first member of each is its primary.
func NewFleet(config Config, checker *Checker) *Fleet {
	f := &Fleet{Config: config, rng: rand.New(rand.NewPCG(config.Seed, 1)), checker: checker}
	f.serviceTime = distuv.LogNormal{Mu: 0, Sigma: config.ServiceSigma, Src: f.rng}
	for index := range config.Groups {
		newGroup := &group{number: int64(index + 1), primary: MemberID(index * config.Members), log: map[string][]write{}}
		f.groups = append(f.groups, newGroup)
		for range config.Members {
			f.members = append(f.members, &member{group: newGroup, coreFreeAt: make([]int64, config.Cores), lag: config.ReplicaLag/2 + f.rng.Int64N(config.ReplicaLag+1)})
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
func (f *Fleet) Admit(now int64, m MemberID, s Statement) (done int64, admission Admission) {
	target := f.members[m]
	f.checker.recordArrival(s, m, now)
	f.checkArrival(now, m, s)
	fenced := !target.fenceState.Takes(s.Fence) && f.RejectFenced
	f.checker.recordFence(s, now, fenced)
	if fenced {
		f.checker.recordRejection(s)
		return 0, Fenced
	}
	if s.Write && target.group.primary != m {
		f.checker.recordRejection(s)
		return 0, NotPrimary
	}
	target.queuedStarts = slices.DeleteFunc(target.queuedStarts, func(start int64) bool { return start <= now })
	if len(target.queuedStarts) >= f.QueueLimit {
		f.checker.recordRejection(s)
		return 0, QueueFull
	}
	core := 0
	for i, freeAt := range target.coreFreeAt {
		if freeAt < target.coreFreeAt[core] {
			core = i
		}
	}
	start := max(now, target.coreFreeAt[core], target.pausedUntil)
	duration := int64(float64(f.ServiceTime) * f.serviceTime.Rand())
	if target.slowdown > 1 {
		duration *= target.slowdown
	}
	duration = int64(float64(duration) / f.capacityShare(now, target))
	target.coreFreeAt[core] = start + duration
	if start > now {
		target.queuedStarts = append(target.queuedStarts, start)
	}
	return start + duration, Admitted
}

// capacityShare is the part of its capacity that a member has.
func (f *Fleet) capacityShare(now int64, m *member) float64 {
	age := now - m.startedAt
	if m.startedAt == 0 || f.ColdCapacity == 0 || age >= f.WarmUpTime {
		return 1
	}
	return f.ColdCapacity + (1-f.ColdCapacity)*float64(age)/float64(f.WarmUpTime)
}

// checkArrival checks what reaches a member against the rules on members that drain and on cold ones.
func (f *Fleet) checkArrival(now int64, m MemberID, s Statement) {
	target := f.members[m]
	if target.drainingSince != 0 && now-target.drainingSince > f.DrainGrace {
		f.checker.RecordViolation(RuleDraining, s.ID, "member %d got a call-out %d ms after it began to drain", m, (now-target.drainingSince)/millisecond)
	}
	share := f.capacityShare(now, target)
	if share == 1 {
		target.coldArrivals = nil
		return
	}
	target.coldArrivals = append(slices.DeleteFunc(target.coldArrivals, func(t int64) bool { return now-t > OverloadWindow }), now)
	expectedMax := f.OverloadFactor * share * f.MemberRate() * float64(OverloadWindow) / float64(second)
	if float64(len(target.coldArrivals)) > expectedMax+2*math.Sqrt(expectedMax)+2 { // a little for chance
		f.checker.RecordViolation(RuleColdOverload, s.ID, "member %d, at %.2f of its capacity, got %d statements in %d ms", m, share, len(target.coldArrivals), OverloadWindow/millisecond)
		target.pausedUntil = now + 10*second
	}
}

// SetDraining lets a member drain, or serve again.
func (f *Fleet) SetDraining(now int64, m MemberID, draining bool) {
	f.members[m].drainingSince = 0
	if draining {
		f.members[m].drainingSince = now
	}
}

// IsDraining tells whether a member drains.
func (f *Fleet) IsDraining(m MemberID) bool { return f.members[m].drainingSince != 0 }

// Restart starts a member anew: it is cold, and what it had taken is not done. Its data is still there.
func (f *Fleet) Restart(now int64, m MemberID) {
	target := f.members[m]
	target.startedAt, target.coldArrivals, target.queuedStarts, target.pausedUntil, target.coreFreeAt = now, nil, nil, 0, make([]int64, f.Cores)
	target.restarts++
}

// Started is when a member started last, 0 for long ago, and its how manieth life it is.
func (f *Fleet) Started(m MemberID) (at int64, life int) {
	return f.members[m].startedAt, f.members[m].restarts
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
	target := f.members[m]
	response := Response{Primary: target.group.primary == m, IsLost: target.losesReplies}
	if !s.Write {
		response.Position = f.position(now, m)
		applied := target.advance(now) // what fills a group does not take back what it has
		if response.Primary {
			applied = math.MaxInt64
		}
		response.Value = f.visibleValue(target.group, s.Key, applied, response.Position)
		return response
	}
	position := roundPosition(now)
	if writes := target.group.log[s.Key]; len(writes) > 0 {
		position = max(position, writes[len(writes)-1].position+millisecond)
	}
	target.group.log[s.Key] = append(target.group.log[s.Key], write{position, s.ID})
	f.checker.recordEffect(s, target.group.number, position)
	response.Value, response.Position = s.ID, position
	return response
}

// Status is what a member tells of itself.
func (f *Fleet) Status(now int64, m MemberID) Response {
	return Response{Primary: f.IsPrimary(m), Position: f.position(now, m)}
}

// roundPosition is the position of a moment: positions are told in whole milliseconds.
func roundPosition(now int64) int64 { return (now + millisecond - 1) / millisecond * millisecond }

// advance is how far a replica has its group's log: it never goes back, however its lag grows.
func (m *member) advance(now int64) int64 {
	m.appliedPosition = max(m.appliedPosition, roundPosition(now)-m.lag)
	return m.appliedPosition
}

// position is how far a member has come: behind by its lag, and by what fills its group.
func (f *Fleet) position(now int64, m MemberID) int64 {
	target, p := f.members[m], roundPosition(now)
	if target.group.primary != m {
		p = target.advance(now)
	}
	if len(target.group.fills) > 0 {
		return p - f.FillLag
	}
	return p
}

// visibleValue is what a group shows of a key: of its own up to one position, and of what fills it just now up to another.
func (f *Fleet) visibleValue(g *group, key string, applied, filled int64) string {
	latest := latestWrite(g.log[key], applied)
	for _, active := range g.fills {
		if active.tenant != TenantOf(key) {
			continue
		}
		for _, source := range active.sources {
			if other := latestWrite(f.groupByNumber(source).log[key], filled); other.position > latest.position {
				latest = other
			}
		}
	}
	return latest.id
}

// latestWrite is the newest version up to a position.
func latestWrite(writes []write, position int64) write {
	n := sort.Search(len(writes), func(i int) bool { return writes[i].position > position })
	if n == 0 {
		return write{}
	}
	return writes[n-1]
}

func (f *Fleet) groupByNumber(number int64) *group { return f.groups[number-1] }

// BeginFill begins to fill groups with what others have of a tenant. It may be told more than once.
func (f *Fleet) BeginFill(tenant string, sources, targets []int64) {
	f.DiscardFill(tenant)
	for _, number := range targets {
		g := f.groupByNumber(number)
		g.fills = append(g.fills, &fill{tenant: tenant, sources: sources})
	}
}

// EndFill ends the filling with a tenant's data at a position: what came up to there is the group's own from here on, and
// nothing later comes.
func (f *Fleet) EndFill(tenant string, position int64) {
	for _, g := range f.groups {
		for _, active := range g.fills {
			if active.tenant != tenant {
				continue
			}
			for _, source := range active.sources {
				g.merge(f.groupByNumber(source), tenant, position)
			}
		}
	}
	f.DiscardFill(tenant)
}

// merge takes over what another group has of a tenant up to a position.
func (g *group) merge(source *group, tenant string, position int64) {
	for key, writes := range source.log {
		if TenantOf(key) != tenant {
			continue
		}
		n := sort.Search(len(writes), func(i int) bool { return writes[i].position > position })
		all := append(slices.Clone(g.log[key]), writes[:n]...)
		slices.SortStableFunc(all, func(a, b write) int {
			return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.id, b.id))
		})
		g.log[key] = slices.Compact(all)
	}
}

// DiscardFill ends the filling with a tenant's data and throws away what came.
func (f *Fleet) DiscardFill(tenant string) {
	for _, g := range f.groups {
		g.fills = slices.DeleteFunc(g.fills, func(candidate *fill) bool { return candidate.tenant == tenant })
	}
}

// SetSlowdown makes a member so many times as slow; 1 makes it as before.
func (f *Fleet) SetSlowdown(m MemberID, factor int64) { f.members[m].slowdown = factor }

// PauseUntil lets a member stand still until a time.
func (f *Fleet) PauseUntil(m MemberID, until int64) { f.members[m].pausedUntil = until }

// SetReplyLoss makes a member lose its answers though it does what it is told.
func (f *Fleet) SetReplyLoss(m MemberID, loses bool) { f.members[m].losesReplies = loses }

// SetLag sets how far a replica is behind.
func (f *Fleet) SetLag(now int64, m MemberID, lag int64) {
	f.members[m].advance(now)
	f.members[m].lag = lag
}

// HasWrite tells whether a group has a write of a key.
func (f *Fleet) HasWrite(number int64, key, id string) bool {
	return slices.ContainsFunc(f.groupByNumber(number).log[key], func(entry write) bool { return entry.id == id })
}
