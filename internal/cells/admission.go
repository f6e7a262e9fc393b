package cells

import (
	"math"
	"slices"

	"sedgespread/rules"
)

// Request describes an RPC for placement and admission. Times are in nanoseconds.
type Request struct {
	Tenant       Tenant
	Key          string
	Write        bool
	SoftDeadline int64 // from the arrival of the RPC
	TimeLeft     int64 // until the client's deadline
	Utility      float64
}

// Decision is the result of admission for an RPC.
type Decision struct {
	Group       rules.GroupID
	MinPosition int64  // position that the serving member must have reached
	Reason      Reason // why the RPC was rejected, ReasonNone if it was admitted
	RetryAfter  int64  // for rejected RPCs
}

// Ticket tracks an RPC from Admit to Settle.
type Ticket struct {
	Request
	arrivedAt     int64
	placement     Placement
	usage         *tenantUsage
	onDecision    func(Decision)
	attempts      int
	responseBytes int64
	admitted      bool
	finished      bool
	mayRunUntil   int64 // an attempt may still run until then
}

// tenantState tracks a tenant that has RPCs on this driver or a move in progress.
type tenantState struct {
	tickets        map[*Ticket]bool // admitted and not settled
	held           []*Ticket        // oldest first
	orphanedWrites []int64          // when writes without a result stop running at the latest
	lastCommit     int64
}

// AdmissionController admits, holds or rejects the RPCs of a driver by cell and tenant.
type AdmissionController struct {
	layout          *Layout
	resolver        *TenantResolver
	directory       *Directory
	limits          *Limits // nil for none
	leaseExpiresAt  int64   // by the local clock
	maxHeld         int     // RPCs held at once
	heldCount       int
	tenants         map[Tenant]*tenantState
	rejected        [reasonCount]int64
	loadsReportedAt int64
	fenced          int64 // attempts and responses dropped because the lease expired or the tenant moved
	staleGrants     int64
}

// maxHoldRatio is the part of the client's time that an RPC may be held, leaving time for a retry.
const maxHoldRatio = 0.45

// NewAdmissionController returns an admission controller that holds up to maxHeld RPCs. If leased
// is false, it needs no lease and the configuration alone determines placements.
func NewAdmissionController(directory *Directory, resolver *TenantResolver, limits *Limits, leased bool, maxHeld int) *AdmissionController {
	g := &AdmissionController{layout: directory.layout, resolver: resolver, directory: directory, limits: limits, maxHeld: maxHeld, tenants: map[Tenant]*tenantState{}}
	if !leased {
		g.leaseExpiresAt = math.MaxInt64
	}
	return g
}

// Tenant returns the tenant of an RPC.
func (g *AdmissionController) Tenant(key, user, database string) Tenant {
	return g.resolver.Resolve(key, user, database)
}

// Admit decides on an RPC. If the RPC is held, decided is false and onDecision is called later.
// onDecision may also reject an admitted RPC without attempts when its capacity is reclaimed. An
// admitted ticket must be finished and settled.
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
		state := g.state(request.Tenant)
		state.held = append(state.held, ticket)
		g.heldCount++
		return ticket, Decision{}, false
	}
	return ticket, g.admit(ticket, now), true
}

// mustHold reports whether an RPC must wait for its tenant's move.
func (g *AdmissionController) mustHold(t *Ticket) bool {
	switch t.placement.Stage {
	case StageHoldingWrites, StageCatchingUp:
		return t.Write
	case StageHoldingAll:
		return true
	}
	return false
}

// HoldDeadline returns when a held RPC must be rejected.
func (t *Ticket) HoldDeadline() int64 { return t.arrivedAt + int64(maxHoldRatio*float64(t.TimeLeft)) }

// admit admits an RPC if the limits allow it.
func (g *AdmissionController) admit(t *Ticket, now int64) Decision {
	if g.limits != nil {
		reason := g.limits.admit(t, now)
		if reason == ReasonDriverFull && g.reclaimBorrowed(now) {
			reason = g.limits.admit(t, now)
		}
		if reason != ReasonNone {
			return g.reject(t, reason)
		}
		g.limits.start(t, now)
	}
	t.admitted = true
	g.state(t.Tenant).tickets[t] = true
	return Decision{Group: g.layout.Group(t.Tenant, t.Key, t.placement.Cell), MinPosition: t.placement.MinPosition}
}

// reclaimBorrowed rejects the newest unsent RPC of a cell that has borrowed capacity, and reports
// whether there was one.
func (g *AdmissionController) reclaimBorrowed(now int64) bool {
	t := g.limits.newestBorrower()
	if t == nil {
		return false
	}
	onDecision := t.onDecision
	t.onDecision = nil
	decision := g.reject(t, ReasonDriverFull)
	g.Finished(t, false, now)
	g.Settle(t, now)
	onDecision(decision)
	return true
}

// reject counts and returns the rejection of an RPC.
func (g *AdmissionController) reject(t *Ticket, reason Reason) Decision {
	g.rejected[reason]++
	decision := Decision{Reason: reason, RetryAfter: minRetryAfter}
	if g.limits != nil && t.placement.Cell != NoCell {
		decision.RetryAfter = g.limits.retryAfter(t.placement.Cell)
	}
	return decision
}

func (g *AdmissionController) state(t Tenant) *tenantState {
	state := g.tenants[t]
	if state == nil {
		state = &tenantState{tickets: map[*Ticket]bool{}}
		g.tenants[t] = state
	}
	return state
}

// Expire rejects an RPC that is still held.
func (g *AdmissionController) Expire(t *Ticket) {
	if g.removeHeld(t) {
		t.onDecision(g.reject(t, ReasonMoving))
	}
}

// Cancel removes a held RPC whose client has gone.
func (g *AdmissionController) Cancel(t *Ticket) { g.removeHeld(t) }

// removeHeld removes a held RPC and reports whether it was held.
func (g *AdmissionController) removeHeld(t *Ticket) bool {
	state := g.tenants[t.Tenant]
	if state == nil {
		return false
	}
	index := slices.Index(state.held, t)
	if index < 0 {
		return false
	}
	state.held = slices.Delete(state.held, index, index+1)
	g.heldCount--
	g.removeIfIdle(t.Tenant, state)
	return true
}

// MayProceed reports whether an RPC may start another attempt or return its response. It guards
// against drivers that were paused or disconnected while the tenant moved.
func (g *AdmissionController) MayProceed(t *Ticket, now int64) bool {
	placement := g.directory.Placement(t.Tenant) // moving away and back raises MinPosition
	if now < g.leaseExpiresAt && placement.Cell == t.placement.Cell && placement.MinPosition == t.placement.MinPosition {
		return true
	}
	g.fenced++
	return false
}

// AttemptStarted records the start of an attempt for an RPC.
func (g *AdmissionController) AttemptStarted(t *Ticket, now int64) {
	t.attempts++
	if g.limits != nil {
		g.limits.attemptStarted(t, now)
	}
}

// AttemptEnded records the end of an attempt. mayRunUntil is 0 if the attempt cannot still be
// running.
func (g *AdmissionController) AttemptEnded(t *Ticket, mayRunUntil int64, bytes int, now int64) {
	t.mayRunUntil = max(t.mayRunUntil, mayRunUntil)
	if g.limits != nil {
		g.limits.attemptEnded(t, int64(bytes))
	}
}

// Committed records the position reported by the response to a write.
func (g *AdmissionController) Committed(t *Ticket, position int64) {
	if state := g.tenants[t.Tenant]; state != nil && t.Write {
		state.lastCommit = max(state.lastCommit, position)
	}
}

// Finished records the final response to an RPC.
func (g *AdmissionController) Finished(t *Ticket, served bool, now int64) {
	if !t.admitted || t.finished {
		return
	}
	t.finished = true
	if g.limits != nil {
		g.limits.finished(t, served, now)
	}
}

// Cell returns the cell that an RPC was admitted to, or NoCell.
func (t *Ticket) Cell() Cell {
	if !t.admitted {
		return NoCell
	}
	return t.placement.Cell
}

// MoveConnection moves a client connection between the cells that it counts for. NoCell means
// none.
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

// MostOverConnectionShare returns the cell whose client connections should be closed first, or
// NoCell. It guards against one cell's clients using up the connections of others.
func (g *AdmissionController) MostOverConnectionShare() Cell {
	if g.limits == nil {
		return NoCell
	}
	return g.limits.bulkheads.MostOverShare(ClientConnections)
}

// Settle records that an RPC has no attempt in flight and that its response was passed on.
func (g *AdmissionController) Settle(t *Ticket, now int64) {
	state := g.tenants[t.Tenant]
	if !t.admitted || state == nil || !state.tickets[t] {
		return
	}
	delete(state.tickets, t)
	if g.limits != nil {
		g.limits.settle(t, now)
	}
	if t.Write && t.mayRunUntil > now {
		state.orphanedWrites = append(state.orphanedWrites, t.mayRunUntil)
	}
	g.removeIfIdle(t.Tenant, state)
}

// removeIfIdle removes a tenant's state if it holds nothing.
func (g *AdmissionController) removeIfIdle(t Tenant, state *tenantState) {
	if len(state.tickets) == 0 && len(state.held) == 0 && len(state.orphanedWrites) == 0 && state.lastCommit == 0 && g.tenants[t] == state {
		delete(g.tenants, t)
	}
}

// maxSweptTenants limits the work of one Sweep.
const maxSweptTenants = 4096

// Sweep removes expired orphaned writes, and commits of tenants without a move that all members
// know by the time that a move needs them.
func (g *AdmissionController) Sweep(now int64) {
	visited := 0
	for t, state := range g.tenants {
		if visited++; visited > maxSweptTenants {
			return
		}
		state.dropExpiredWrites(now)
		if state.lastCommit != 0 && now-state.lastCommit > commitRetention && g.directory.Placement(t).Stage == StageIdle {
			state.lastCommit = 0
		}
		g.removeIfIdle(t, state)
	}
}

// commitRetention is how long a commit is kept for a move that may begin.
const commitRetention = 5 * second

func (s *tenantState) dropExpiredWrites(now int64) {
	s.orphanedWrites = slices.DeleteFunc(s.orphanedWrites, func(until int64) bool { return until <= now })
}

// ApplyGrant applies the grant for a report that was sent at requestedAt. It returns the tenants
// with new entries.
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

// ResumeHeld decides again on a tenant's held RPCs after its placement has changed.
func (g *AdmissionController) ResumeHeld(t Tenant, now int64) {
	state := g.tenants[t]
	if state == nil {
		return
	}
	held := state.held
	state.held = nil
	for _, ticket := range held {
		ticket.placement = g.directory.Placement(t)
		if g.mustHold(ticket) {
			current := g.state(t)
			current.held = append(current.held, ticket)
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
	g.removeIfIdle(t, state)
}

const (
	loadReportInterval = second
	maxReportedLoads   = 512 // tenants per report
)

// Report returns this driver's report on the moves that it knows of. reached reports whether a
// group's members have reached a position.
func (g *AdmissionController) Report(now int64, name string, incarnation uint64, reached func(rules.GroupID, int64) bool) Report {
	report := Report{Driver: name, Incarnation: incarnation, Epoch: g.directory.LatestEpoch()}
	if g.limits != nil && now-g.loadsReportedAt >= loadReportInterval {
		g.loadsReportedAt, report.Loads = now, g.limits.rates(now, maxReportedLoads)
	}
	for _, e := range g.directory.Moving() {
		move := MoveReport{Tenant: e.Tenant, Epoch: e.Epoch}
		if state := g.tenants[e.Tenant]; state != nil {
			state.dropExpiredWrites(now)
			move.Writes, move.OpenRPCs, move.LastCommit = len(state.orphanedWrites), len(state.orphanedWrites)+len(state.tickets), state.lastCommit
			for t := range state.tickets {
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

// CatchUpGroups returns the groups whose positions are needed by moves in progress.
func (g *AdmissionController) CatchUpGroups() (groups []rules.GroupID) {
	for _, e := range g.directory.Moving() {
		if to := g.layout.Find(e.To); e.Stage == StageCatchingUp && to != NoCell {
			groups = append(groups, g.layout.TenantGroups(e.Tenant, to)...)
		}
	}
	return groups
}

// Stats is a snapshot of the state and the counters of an AdmissionController.
type Stats struct {
	Rejected        map[string]int64 `json:"turned"`
	Fenced          int64            `json:"lapsed"` // attempts and responses dropped because the lease expired or the tenant moved
	StaleGrants     int64            `json:"stale"`  // grants older than the directory
	Held            int              `json:"held"`
	Tenants         int              `json:"tenants"` // with RPCs on this driver
	Epoch           Epoch            `json:"epoch"`
	Lease           int64            `json:"lease_ns"` // remaining time
	Cells           []CellStats      `json:"cells"`
	HeaviestTenants []TenantLoad     `json:"heavy"`
}

// CellStats is the part of Stats for one cell.
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

// Stats returns the current state and counters, with up to heaviest of the tenants with the
// highest load.
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

// Load returns a tenant's RPCs per second on this driver, 0 if the tenant is not tracked.
func (g *AdmissionController) Load(t Tenant, now int64) float64 {
	if g.limits == nil {
		return 0
	}
	return g.limits.rate(t, now)
}

// Directory returns the placement of tenants known to this driver.
func (g *AdmissionController) Directory() *Directory { return g.directory }

// Layout returns the layout of the cells.
func (g *AdmissionController) Layout() *Layout { return g.layout }

// Update applies a reloaded configuration, or returns an error and changes nothing.
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
