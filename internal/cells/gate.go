package cells

import (
	"math"
	"slices"

	"sedgespread/rules"
)

// Request is one RPC, as far as its place and its room depend on it. Times are nanoseconds.
type Request struct {
	Tenant       Tenant
	Key          string
	Write        bool
	SoftDeadline int64 // soft deadline
	TimeLeft     int64 // its client's time
	Utility      float64
}

// Decision is what a gate decides on an RPC.
type Decision struct {
	Group       rules.GroupID
	MinPosition int64  // position that a member must have reached to answer it
	Reason      Reason // it is turned away, unless WhyNot
	RetryAfter  int64  // of one that is turned away
}

// Ticket is an RPC that a gate knows of, from Ask to Settle.
type Ticket struct {
	Request
	arrivedAt     int64
	placement     Placement
	usage         *tenantUsage
	onDecision    func(Decision)
	attempts      int   // call-outs made
	responseBytes int64 // of answers
	admitted      bool  // it was let in
	finished      bool
	mayRunUntil   int64 // a call-out of it may still run until then
}

// tenantState is what a gate knows of a tenant while it has RPCs here, or its move is under way.
type tenantState struct {
	tickets        map[*Ticket]bool // let in, and not settled
	held           []*Ticket        // the first first
	orphanedWrites []int64          // until when writes that ended may still run
	lastCommit     int64
}

// AdmissionController is a driver's side of cells: it lets RPCs in, holds them while their tenant is moved, or turns them away.
type AdmissionController struct {
	layout          *Layout
	resolver        *TenantResolver
	directory       *Directory
	limits          *Limits // nil for none
	leaseExpiresAt  int64   // it may act until then, by its own clock
	maxHeld         int     // RPCs held
	heldCount       int
	tenants         map[Tenant]*tenantState
	rejected        [reasonCount]int64
	loadsReportedAt int64 // when loads were last reported
	fenced          int64 // answers that were not passed on because the lease had run out, or the tenant had moved
	staleGrants     int64
}

// maxHoldRatio is the part of its client's time that an RPC is held at the most: the rest is for asking again.
const maxHoldRatio = 0.45

// NewAdmissionController makes a driver's gate, which may hold so many RPCs. Where leased is false the file alone says where tenants are.
func NewAdmissionController(directory *Directory, resolver *TenantResolver, limits *Limits, leased bool, maxHeld int) *AdmissionController {
	g := &AdmissionController{layout: directory.layout, resolver: resolver, directory: directory, limits: limits, maxHeld: maxHeld, tenants: map[Tenant]*tenantState{}}
	if !leased {
		g.leaseExpiresAt = math.MaxInt64
	}
	return g
}

// Tenant is whom an RPC is done for.
func (g *AdmissionController) Tenant(key, user, database string) Tenant {
	return g.resolver.Resolve(key, user, database)
}

// Admit decides on an RPC. Where it is held, decided is false, and then takes the verdict later. Of one that was let in
// and has had no call-out, then may be told that its room is taken back: it is to be turned away. A ticket that was let
// in must be ended and settled.
func (g *AdmissionController) Admit(now int64, request Request, onDecision func(Decision)) (ticket *Ticket, decision Decision, decided bool) {
	ticket = &Ticket{Request: request, arrivedAt: now, placement: g.directory.Placement(request.Tenant), onDecision: onDecision}
	switch {
	case now >= g.leaseExpiresAt:
		return ticket, g.reject(ticket, ReasonNoLease), true
	case ticket.placement.Cell == NoCell:
		return ticket, g.reject(ticket, ReasonUnknownCell), true
	case g.mustHold(ticket) && g.heldCount >= g.maxHeld:
		return ticket, g.reject(ticket, ReasonMoving), true
	case g.mustHold(ticket):
		p := g.state(request.Tenant)
		p.held = append(p.held, ticket)
		g.heldCount++
		return ticket, Decision{}, false
	}
	return ticket, g.admit(ticket, now), true
}

// mustHold tells whether an RPC has to wait for its tenant's move.
func (g *AdmissionController) mustHold(t *Ticket) bool {
	switch t.placement.Stage {
	case StageHoldingWrites, StageCatchingUp:
		return t.Write
	case StageHoldingAll:
		return true
	}
	return false
}

// HoldDeadline is when an RPC that is held has to be let go of.
func (t *Ticket) HoldDeadline() int64 { return t.arrivedAt + int64(maxHoldRatio*float64(t.TimeLeft)) }

// admit lets an RPC in if there is room.
func (g *AdmissionController) admit(t *Ticket, now int64) Decision {
	if g.limits != nil {
		why := g.limits.admit(t, now)
		if why == ReasonDriverFull && g.reclaimBorrowed(now) {
			why = g.limits.admit(t, now)
		}
		if why != ReasonNone {
			return g.reject(t, why)
		}
		g.limits.start(t, now)
	}
	t.admitted = true
	g.state(t.Tenant).tickets[t] = true
	return Decision{Group: g.layout.Group(t.Tenant, t.Key, t.placement.Cell), MinPosition: t.placement.MinPosition}
}

// reclaimBorrowed takes room back that a cell has borrowed, from the RPC let in last of those that no member got.
func (g *AdmissionController) reclaimBorrowed(now int64) bool {
	t := g.limits.newestBorrower()
	if t == nil {
		return false
	}
	onDecision := t.onDecision
	t.onDecision = nil
	v := g.reject(t, ReasonDriverFull)
	g.Finished(t, false, now)
	g.Settle(t, now)
	onDecision(v)
	return true
}

// reject turns an RPC away.
func (g *AdmissionController) reject(t *Ticket, why Reason) Decision {
	g.rejected[why]++
	v := Decision{Reason: why, RetryAfter: minRetryAfter}
	if g.limits != nil && t.placement.Cell != NoCell {
		v.RetryAfter = g.limits.retryAfter(t.placement.Cell)
	}
	return v
}

func (g *AdmissionController) state(t Tenant) *tenantState {
	p := g.tenants[t]
	if p == nil {
		p = &tenantState{tickets: map[*Ticket]bool{}}
		g.tenants[t] = p
	}
	return p
}

// Expire turns away an RPC that is held, if it still is: it can't be served in its time.
func (g *AdmissionController) Expire(t *Ticket) {
	if g.removeHeld(t) {
		t.onDecision(g.reject(t, ReasonMoving))
	}
}

// Cancel forgets an RPC that is held, whose client has gone.
func (g *AdmissionController) Cancel(t *Ticket) { g.removeHeld(t) }

// removeHeld takes an RPC out of those held, and tells whether it was one.
func (g *AdmissionController) removeHeld(t *Ticket) bool {
	p := g.tenants[t.Tenant]
	if p == nil {
		return false
	}
	index := slices.Index(p.held, t)
	if index < 0 {
		return false
	}
	p.held = slices.Delete(p.held, index, index+1)
	g.heldCount--
	g.removeIfIdle(t.Tenant, p)
	return true
}

// MayProceed tells whether anything more may be done for an RPC: another call-out, or passing on its answer. Guards against
// drivers that stood still, or were cut off, while their tenants were moved.
func (g *AdmissionController) MayProceed(t *Ticket, now int64) bool {
	placement := g.directory.Placement(t.Tenant) // a move there and back has raised its floor
	if now < g.leaseExpiresAt && placement.Cell == t.placement.Cell && placement.MinPosition == t.placement.MinPosition {
		return true
	}
	g.fenced++
	return false
}

// AttemptStarted notes that a call-out is made for an RPC.
func (g *AdmissionController) AttemptStarted(t *Ticket, now int64) {
	t.attempts++
	if g.limits != nil {
		g.limits.attemptStarted(t, now)
	}
}

// AttemptEnded notes that a call-out has ended. One that may still run does so until a time, 0 for one that does not.
func (g *AdmissionController) AttemptEnded(t *Ticket, mayRunUntil int64, bytes int, now int64) {
	t.mayRunUntil = max(t.mayRunUntil, mayRunUntil)
	if g.limits != nil {
		g.limits.attemptEnded(t, int64(bytes))
	}
}

// Committed notes the position that the answer to a write told.
func (g *AdmissionController) Committed(t *Ticket, position int64) {
	if p := g.tenants[t.Tenant]; p != nil && t.Write {
		p.lastCommit = max(p.lastCommit, position)
	}
}

// Finished notes that an RPC has its final answer.
func (g *AdmissionController) Finished(t *Ticket, served bool, now int64) {
	if !t.admitted || t.finished {
		return
	}
	t.finished = true
	if g.limits != nil {
		g.limits.finished(t, served, now)
	}
}

// Cell is the cell that an RPC was let into, NoCell for one that was not.
func (t *Ticket) Cell() Cell {
	if !t.admitted {
		return NoCell
	}
	return t.placement.Cell
}

// MoveConnection notes that a client's connection counts for another cell than before, NoCell for none.
func (g *AdmissionController) MoveConnection(from, to Cell) {
	if g.limits == nil || from == to {
		return
	}
	if from != NoCell {
		g.limits.bulkheads.Add(ClientConnections, from, -1)
	}
	if to != NoCell {
		g.limits.bulkheads.Add(ClientConnections, to, 1)
	}
}

// MostOverConnectionShare is the cell whose clients have to go first where connections are short, NoCell for no matter which. Guards
// the clients of other cells against one cell's that hold connections by hundreds.
func (g *AdmissionController) MostOverConnectionShare() Cell {
	if g.limits == nil {
		return NoCell
	}
	return g.limits.bulkheads.MostOverShare(ClientConnections)
}

// Settle notes that an RPC has ended and nothing is out for it; what it held of an answer has been passed on.
func (g *AdmissionController) Settle(t *Ticket, now int64) {
	p := g.tenants[t.Tenant]
	if !t.admitted || p == nil || !p.tickets[t] {
		return
	}
	delete(p.tickets, t)
	if g.limits != nil {
		g.limits.settle(t, now)
	}
	if t.Write && t.mayRunUntil > now {
		p.orphanedWrites = append(p.orphanedWrites, t.mayRunUntil)
	}
	g.removeIfIdle(t.Tenant, p)
}

// removeIfIdle forgets a tenant of whom nothing is here any more.
func (g *AdmissionController) removeIfIdle(t Tenant, p *tenantState) {
	if len(p.tickets) == 0 && len(p.held) == 0 && len(p.orphanedWrites) == 0 && p.lastCommit == 0 && g.tenants[t] == p {
		delete(g.tenants, t)
	}
}

// maxSweptTenants is how many tenants Sweep looks at in one go, at the most.
const maxSweptTenants = 4096

// Sweep forgets what is over: ghosts whose time is past, and commits of tenants that are not being moved, which are long
// known to all members by the time that a move begins to need them.
func (g *AdmissionController) Sweep(now int64) {
	visited := 0
	for t, p := range g.tenants {
		if visited++; visited > maxSweptTenants {
			return
		}
		p.dropExpiredWrites(now)
		if p.lastCommit != 0 && now-p.lastCommit > commitRetention && g.directory.Placement(t).Stage == StageIdle {
			p.lastCommit = 0
		}
		g.removeIfIdle(t, p)
	}
}

// commitRetention is how long a commit is kept for a move that may begin.
const commitRetention = 5 * second

func (p *tenantState) dropExpiredWrites(now int64) {
	p.orphanedWrites = slices.DeleteFunc(p.orphanedWrites, func(until int64) bool { return until <= now })
}

// ApplyGrant takes in what the coordinator granted to a report that was made at a time. It gives the tenants whose entries
// are new here.
func (g *AdmissionController) ApplyGrant(requestedAt int64, grant Grant) (changed []Tenant, err error) {
	if grant.Lease == 0 || grant.LatestEpoch < g.directory.LatestEpoch() {
		g.staleGrants++
		return nil, nil
	}
	for _, e := range grant.Entries {
		applied, err := g.directory.Apply(e)
		if err != nil {
			return changed, err
		}
		if applied {
			changed = append(changed, e.Tenant)
		}
	}
	g.leaseExpiresAt = max(g.leaseExpiresAt, requestedAt+grant.Lease)
	return changed, nil
}

// ResumeHeld goes on with what is held for a tenant, as far as its move allows now.
func (g *AdmissionController) ResumeHeld(t Tenant, now int64) {
	p := g.tenants[t]
	if p == nil {
		return
	}
	held := p.held
	p.held = nil
	for _, ticket := range held {
		ticket.placement = g.directory.Placement(t)
		if g.mustHold(ticket) {
			state := g.state(t)
			state.held = append(state.held, ticket)
			continue
		}
		g.heldCount--
		switch {
		case now >= g.leaseExpiresAt:
			ticket.onDecision(g.reject(ticket, ReasonNoLease))
		case ticket.placement.Cell == NoCell:
			ticket.onDecision(g.reject(ticket, ReasonUnknownCell))
		default:
			ticket.onDecision(g.admit(ticket, now))
		}
	}
	g.removeIfIdle(t, p)
}

const (
	loadReportInterval = second // loads are reported so far apart
	maxReportedLoads   = 512    // of so many tenants
)

// Report is what this driver tells of the moves that it knows to be under way. Reached tells whether the members of a
// group have been seen at a position.
func (g *AdmissionController) Report(now int64, name string, incarnation uint64, reached func(rules.GroupID, int64) bool) Report {
	report := Report{Driver: name, Incarnation: incarnation, Epoch: g.directory.LatestEpoch()}
	if g.limits != nil && now-g.loadsReportedAt >= loadReportInterval {
		g.loadsReportedAt, report.Loads = now, g.limits.rates(now, maxReportedLoads)
	}
	for _, e := range g.directory.Moving() {
		move := MoveReport{Tenant: e.Tenant, Epoch: e.Epoch}
		if p := g.tenants[e.Tenant]; p != nil {
			p.dropExpiredWrites(now)
			move.Writes, move.OpenRPCs, move.LastCommit = len(p.orphanedWrites), len(p.orphanedWrites)+len(p.tickets), p.lastCommit
			for t := range p.tickets {
				if t.Write {
					move.Writes++
				}
			}
		}
		if to := g.layout.Find(e.To); e.Stage == StageCatchingUp && to != NoCell {
			move.CaughtUp = true
			for _, group := range g.layout.TenantGroups(e.Tenant, to) {
				move.CaughtUp = move.CaughtUp && reached(group, e.CutoverPosition)
			}
		}
		report.Moves = append(report.Moves, move)
	}
	return report
}

// CatchUpGroups are the groups that moves under way need the positions of.
func (g *AdmissionController) CatchUpGroups() (groups []rules.GroupID) {
	for _, e := range g.directory.Moving() {
		if to := g.layout.Find(e.To); e.Stage == StageCatchingUp && to != NoCell {
			groups = append(groups, g.layout.TenantGroups(e.Tenant, to)...)
		}
	}
	return groups
}

// Stats are what a gate has counted and holds.
type Stats struct {
	Rejected        map[string]int64 `json:"turned"`
	Fenced          int64            `json:"lapsed"` // call-outs and answers given up because the lease had run out or the tenant had moved
	StaleGrants     int64            `json:"stale"`  // grants older than what is known
	Held            int              `json:"held"`
	Tenants         int              `json:"tenants"` // that have RPCs here
	Epoch           Epoch            `json:"epoch"`
	Lease           int64            `json:"lease_ns"` // what is left of it
	Cells           []CellStats      `json:"cells"`
	HeaviestTenants []TenantLoad     `json:"heavy"`
}

// CellStats are those of one cell at this driver.
type CellStats struct {
	Name              string  `json:"name"`
	Groups            Groups  `json:"groups"`
	Weight            float64 `json:"weight"`
	Hall              string  `json:"hall,omitempty"`
	RPCs              int64   `json:"rpcs"`
	Share             int64   `json:"share"`
	Limit             int64   `json:"limit"`
	ConcurrencyLimit  float64 `json:"pace"`
	Attempts          int64   `json:"call_outs"`
	ResponseBytes     int64   `json:"answer_bytes"`
	ClientConnections int64   `json:"client_sockets"`
	Latency           int64   `json:"took_ns"`
	Tenants           int     `json:"tenants"`
}

// Stats tells what this gate has counted and holds, with the heaviest tenants.
func (g *AdmissionController) Stats(now int64, heaviest int) Stats {
	stats := Stats{Rejected: map[string]int64{}, Fenced: g.fenced, StaleGrants: g.staleGrants, Held: g.heldCount, Tenants: len(g.tenants),
		Epoch: g.directory.LatestEpoch(), Lease: g.leaseExpiresAt - now}
	for reason := ReasonDriverFull; reason < reasonCount; reason++ {
		stats.Rejected[reason.String()] = g.rejected[reason]
	}
	for c, name := range g.layout.names {
		if g.layout.removed[c] {
			continue
		}
		cellStats := CellStats{Name: name, Groups: g.layout.groups[c], Weight: g.layout.weight[c], Hall: g.layout.hall[c]}
		if limits := g.limits; limits != nil {
			cell := Cell(c)
			cellStats.RPCs, cellStats.Attempts = limits.bulkheads.Used(RPCs, cell), limits.bulkheads.Used(Attempts, cell)
			cellStats.ResponseBytes, cellStats.ClientConnections = limits.bulkheads.Used(ResponseBytes, cell), limits.bulkheads.Used(ClientConnections, cell)
			cellStats.Share, cellStats.Limit, cellStats.ConcurrencyLimit = limits.bulkheads.Share(RPCs, cell), limits.concurrencyLimit(cell, now), limits.concurrency[c]
			cellStats.Latency, cellStats.Tenants = int64(limits.latency[c]), len(limits.shares.cells[c].active)
		}
		stats.Cells = append(stats.Cells, cellStats)
	}
	if g.limits != nil {
		stats.HeaviestTenants = g.limits.rates(now, heaviest)
	}
	return stats
}

// Load is a tenant's RPCs a second here, 0 for one that is not among the heaviest.
func (g *AdmissionController) Load(t Tenant, now int64) float64 {
	if g.limits == nil {
		return 0
	}
	return g.limits.rate(t, now)
}

// Directory is where tenants are, as this driver knows.
func (g *AdmissionController) Directory() *Directory { return g.directory }

// Layout is the cells that there are.
func (g *AdmissionController) Layout() *Layout { return g.layout }

// Update takes over a file read again: all of it, or an error and nothing.
func (g *AdmissionController) Update(l *Layout, resolver *TenantResolver, pins map[Tenant]string, weights map[Tenant]float64) error {
	if err := g.directory.Update(l, pins); err != nil {
		return err
	}
	g.resolver = resolver
	if g.limits != nil {
		g.limits.Update(g.layout, weights)
	}
	return nil
}
