// Package emulator simulates the members of a replicated store and checks what clients observe
// against the store's guarantees. It does no I/O and reads no clock: the caller passes the time.
// Package sockets serves a simulated fleet on loopback.
//
// A member has cores with a queue in front of them and draws a service time for each statement. A
// primary appends completed writes to its group's log; a replica shows that log with a lag.
// Positions are Unix time. A group can be filled with a tenant's data from other groups; until it
// has caught up, its members report the position that the fill has reached.
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

// Config describes a simulated fleet. Times are in nanoseconds.
type Config struct {
	Groups         int
	Members        int // per group, including the primary
	Cores          int // per member
	QueueLimit     int // statements waiting for a core, per member
	ServiceTime    int64
	ServiceSigma   float64 // standard deviation of the logarithm of the service time
	ReplicaLag     int64   // mean lag of a replica behind its primary
	FillLag        int64   // lag of a fill behind its source groups
	Seed           uint64
	ColdCapacity   float64 // share of its capacity that a member has right after a start; 0 disables warm-up
	WarmUpTime     int64   // after a start, until a member has its full capacity
	OverloadFactor float64 // a cold member overloads above this multiple of its capacity for OverloadWindow
	DrainGrace     int64   // statements are still allowed for this long after a member starts draining
	RejectFenced   bool    // members reject statements with a fence that is no longer valid
}

// OverloadWindow is the period over which the load of a cold member is measured.
const OverloadWindow = 2 * second

// overloadPause is how long an overloaded cold member starts no statements.
const overloadPause = 10 * second

// MemberRate returns the number of statements per second that a fully warm member can execute.
func (c Config) MemberRate() float64 {
	return float64(c.Cores) / (float64(c.ServiceTime) / float64(second))
}

// MemberID is the index of a member in the fleet.
type MemberID int

// Fleet is the simulated fleet. Its methods must not be called concurrently.
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
	log     map[string][]write // by key, oldest first
	fills   []*fill
}

// write is one entry of a group's log.
type write struct {
	position int64
	id       string
}

// fill copies a tenant's writes from other groups into a group.
type fill struct {
	tenant  string
	sources []int64
}

type member struct {
	group           *group
	coreFreeAt      []int64 // by core, the time at which it becomes free
	queuedStarts    []int64 // start times of queued statements, in order
	lag             int64   // of a replica, behind its primary
	appliedPosition int64
	slowdown        int64 // factor on the service time, 0 for none
	pausedUntil     int64 // no statement starts before this time
	losesReplies    bool  // statements are executed but their replies are lost
	startedAt       int64 // last start, 0 if it has run since before the simulation
	restarts        int   // distinguishes starts, so that statements of an earlier one are not executed
	drainingSince   int64 // 0 if it is not draining
	fenceState      versions.FenceChecker
	coldArrivals    []int64 // arrival times in the last OverloadWindow while it is cold, in order
}

// NewFleet returns a fleet. Groups are numbered from 1; the first member of each is its primary.
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

// MemberCount returns the number of members.
func (f *Fleet) MemberCount() int { return len(f.members) }

// Group returns the number of a member's group.
func (f *Fleet) Group(id MemberID) int64 { return f.members[id].group.number }

// IsPrimary reports whether a member is its group's primary.
func (f *Fleet) IsPrimary(id MemberID) bool { return f.members[id].group.primary == id }

// Statement is a read or write sent to a member.
type Statement struct {
	ID, Key string
	Write   bool
	Timeout int64 // how long its sender waits, in nanoseconds
	Fence   versions.Fence
}

// TenantOf returns the tenant that owns a key: the part before the first slash.
func TenantOf(key string) string {
	tenant, _, _ := strings.Cut(key, "/")
	return tenant
}

// Admission is the result of offering a statement to a member.
type Admission int

const (
	Admitted Admission = iota
	QueueFull
	NotPrimary
	Fenced
)

// Admit offers a statement to a member. If it is admitted, done is the time at which to
// execute it.
func (f *Fleet) Admit(now int64, id MemberID, s Statement) (done int64, admission Admission) {
	target := f.members[id]
	f.checker.recordArrival(s, id, now)
	f.checkArrival(now, id, s)
	fenced := !target.fenceState.Accept(s.Fence) && f.RejectFenced
	f.checker.recordFence(s, now, fenced)
	if fenced {
		f.checker.recordRejection(s)
		return 0, Fenced
	}
	if s.Write && target.group.primary != id {
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

// capacityShare returns the share of its full capacity that a member has, depending on its warm-up.
func (f *Fleet) capacityShare(now int64, m *member) float64 {
	age := now - m.startedAt
	if m.startedAt == 0 || f.ColdCapacity == 0 || age >= f.WarmUpTime {
		return 1
	}
	return f.ColdCapacity + (1-f.ColdCapacity)*float64(age)/float64(f.WarmUpTime)
}

// checkArrival records violations of the rules on draining and cold members.
func (f *Fleet) checkArrival(now int64, id MemberID, s Statement) {
	target := f.members[id]
	if target.drainingSince != 0 && now-target.drainingSince > f.DrainGrace {
		f.checker.RecordViolation(RuleDraining, s.ID, "member %d received an attempt %d ms after it started draining", id, (now-target.drainingSince)/millisecond)
	}
	share := f.capacityShare(now, target)
	if share == 1 {
		target.coldArrivals = nil
		return
	}
	target.coldArrivals = append(slices.DeleteFunc(target.coldArrivals, func(t int64) bool { return now-t > OverloadWindow }), now)
	expectedMax := f.OverloadFactor * share * f.MemberRate() * float64(OverloadWindow) / float64(second)
	if float64(len(target.coldArrivals)) > expectedMax+2*math.Sqrt(expectedMax)+2 { // allow for random bursts
		f.checker.RecordViolation(RuleColdOverload, s.ID, "member %d, at %.2f of its capacity, received %d statements in %d ms", id, share, len(target.coldArrivals), OverloadWindow/millisecond)
		target.pausedUntil = now + overloadPause
	}
}

// SetDraining makes a member drain or serve again.
func (f *Fleet) SetDraining(now int64, id MemberID, draining bool) {
	f.members[id].drainingSince = 0
	if draining {
		f.members[id].drainingSince = now
	}
}

// IsDraining reports whether a member is draining.
func (f *Fleet) IsDraining(id MemberID) bool { return f.members[id].drainingSince != 0 }

// Restart restarts a member: it is cold, keeps its data and loses the statements it had admitted.
func (f *Fleet) Restart(now int64, id MemberID) {
	target := f.members[id]
	target.startedAt, target.coldArrivals, target.queuedStarts, target.pausedUntil, target.coreFreeAt = now, nil, nil, 0, make([]int64, f.Cores)
	target.restarts++
}

// Started returns the time of a member's last start, 0 if before the simulation, and how often it
// was restarted.
func (f *Fleet) Started(id MemberID) (at int64, restarts int) {
	return f.members[id].startedAt, f.members[id].restarts
}

// Response is a member's status and, for a statement, its result.
type Response struct {
	Value    string
	Primary  bool
	Position int64 // of the write, or for a read of the member
	IsLost   bool  // the reply does not reach the sender
}

// Execute executes an admitted statement. The caller calls it at the time returned by Admit.
func (f *Fleet) Execute(now int64, id MemberID, s Statement) Response {
	target := f.members[id]
	response := Response{Primary: target.group.primary == id, IsLost: target.losesReplies}
	if !s.Write {
		response.Position = f.position(now, id)
		appliedPosition := target.advance(now) // a fill does not hide writes that are already applied
		if response.Primary {
			appliedPosition = math.MaxInt64
		}
		response.Value = f.visibleValue(target.group, s.Key, appliedPosition, response.Position)
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

// Status returns a member's role and position.
func (f *Fleet) Status(now int64, id MemberID) Response {
	return Response{Primary: f.IsPrimary(id), Position: f.position(now, id)}
}

// roundPosition rounds a time up to a position: positions are whole milliseconds.
func roundPosition(now int64) int64 { return (now + millisecond - 1) / millisecond * millisecond }

// advance returns the position up to which a replica has applied its group's log. It never goes
// back, even if the lag grows.
func (m *member) advance(now int64) int64 {
	m.appliedPosition = max(m.appliedPosition, roundPosition(now)-m.lag)
	return m.appliedPosition
}

// position returns the position that a member reports, which includes the lag of any fill of its
// group.
func (f *Fleet) position(now int64, id MemberID) int64 {
	target, p := f.members[id], roundPosition(now)
	if target.group.primary != id {
		p = target.advance(now)
	}
	if len(target.group.fills) > 0 {
		return p - f.FillLag
	}
	return p
}

// visibleValue returns the newest value of a key from the group's own log up to appliedPosition and
// from its fills up to fillPosition.
func (f *Fleet) visibleValue(g *group, key string, appliedPosition, fillPosition int64) string {
	latest := latestWrite(g.log[key], appliedPosition)
	for _, active := range g.fills {
		if active.tenant != TenantOf(key) {
			continue
		}
		for _, source := range active.sources {
			if other := latestWrite(f.groupByNumber(source).log[key], fillPosition); other.position > latest.position {
				latest = other
			}
		}
	}
	return latest.id
}

// latestWrite returns the last write at or before a position.
func latestWrite(writes []write, position int64) write {
	n := sort.Search(len(writes), func(i int) bool { return writes[i].position > position })
	if n == 0 {
		return write{}
	}
	return writes[n-1]
}

func (f *Fleet) groupByNumber(number int64) *group { return f.groups[number-1] }

// BeginFill starts filling groups with a tenant's data from other groups, replacing a fill of that
// tenant that is in progress.
func (f *Fleet) BeginFill(tenant string, sources, targets []int64) {
	f.DiscardFill(tenant)
	for _, number := range targets {
		g := f.groupByNumber(number)
		g.fills = append(g.fills, &fill{tenant: tenant, sources: sources})
	}
}

// EndFill ends the fill of a tenant at a position: writes up to it become part of the filled
// groups, later ones are not copied.
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

// merge copies a tenant's writes up to a position from another group's log.
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

// DiscardFill ends the fill of a tenant and drops the data that it copied.
func (f *Fleet) DiscardFill(tenant string) {
	for _, g := range f.groups {
		g.fills = slices.DeleteFunc(g.fills, func(candidate *fill) bool { return candidate.tenant == tenant })
	}
}

// SetSlowdown multiplies a member's service times; a factor of 1 restores them.
func (f *Fleet) SetSlowdown(id MemberID, factor int64) { f.members[id].slowdown = factor }

// PauseUntil keeps a member from starting statements until a time.
func (f *Fleet) PauseUntil(id MemberID, until int64) { f.members[id].pausedUntil = until }

// SetReplyLoss makes a member execute statements without its replies reaching the sender.
func (f *Fleet) SetReplyLoss(id MemberID, loses bool) { f.members[id].losesReplies = loses }

// SetLag sets the lag of a replica.
func (f *Fleet) SetLag(now int64, id MemberID, lag int64) {
	f.members[id].advance(now)
	f.members[id].lag = lag
}

// HasWrite reports whether a group's log has a write of a key.
func (f *Fleet) HasWrite(number int64, key, id string) bool {
	return slices.ContainsFunc(f.groupByNumber(number).log[key], func(entry write) bool { return entry.id == id })
}
