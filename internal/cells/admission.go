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
	a := &AdmissionController{layout: directory.layout, resolver: resolver, directory: directory, limits: limits, maxHeld: maxHeld, tenants: map[Tenant]*tenantState{}}
	if !leased {
		a.leaseExpiresAt = math.MaxInt64
	}
	return a
}

// Tenant returns the tenant of an RPC.
func (a *AdmissionController) Tenant(key, user, database string) Tenant {
	return a.resolver.Resolve(key, user, database)
}

// Admit decides on an RPC. If the RPC is held, decided is false and onDecision is called later.
// onDecision may also reject an admitted RPC without attempts when its capacity is reclaimed. An
// admitted ticket must be finished and settled.
func (a *AdmissionController) Admit(now int64, request Request, onDecision func(Decision)) (ticket *Ticket, decision Decision, decided bool) {
	ticket = &Ticket{Request: request, arrivedAt: now, placement: a.directory.Placement(request.Tenant), onDecision: onDecision}
	switch {
	case now >= a.leaseExpiresAt:
		return ticket, a.reject(ticket, ReasonNoLease), true
	case ticket.placement.Cell == NoCell:
		return ticket, a.reject(ticket, ReasonUnknownCell), true
	case a.mustHold(ticket) && a.heldCount >= a.maxHeld:
		return ticket, a.reject(ticket, ReasonMoving), true
	case a.mustHold(ticket):
		state := a.state(request.Tenant)
		state.held = append(state.held, ticket)
		a.heldCount++
		return ticket, Decision{}, false
	}
	return ticket, a.admit(ticket, now), true
}

// mustHold reports whether an RPC must wait for its tenant's move.
func (a *AdmissionController) mustHold(t *Ticket) bool {
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
func (a *AdmissionController) admit(t *Ticket, now int64) Decision {
	if a.limits != nil {
		reason := a.limits.admit(t, now)
		if reason == ReasonDriverFull && a.reclaimBorrowed(now) {
			reason = a.limits.admit(t, now)
		}
		if reason != ReasonNone {
			return a.reject(t, reason)
		}
		a.limits.start(t, now)
	}
	t.admitted = true
	a.state(t.Tenant).tickets[t] = true
	return Decision{Group: a.layout.Group(t.Tenant, t.Key, t.placement.Cell), MinPosition: t.placement.MinPosition}
}

// reclaimBorrowed rejects the newest unsent RPC of a cell that has borrowed capacity, and reports
// whether there was one.
func (a *AdmissionController) reclaimBorrowed(now int64) bool {
	t := a.limits.newestBorrower()
	if t == nil {
		return false
	}
	onDecision := t.onDecision
	t.onDecision = nil
	decision := a.reject(t, ReasonDriverFull)
	a.Finished(t, false, now)
	a.Settle(t, now)
	onDecision(decision)
	return true
}

// reject counts and returns the rejection of an RPC.
func (a *AdmissionController) reject(t *Ticket, reason Reason) Decision {
	a.rejected[reason]++
	decision := Decision{Reason: reason, RetryAfter: minRetryAfter}
	if a.limits != nil && t.placement.Cell != NoCell {
		decision.RetryAfter = a.limits.retryAfter(t.placement.Cell)
	}
	return decision
}

func (a *AdmissionController) state(t Tenant) *tenantState {
	state := a.tenants[t]
	if state == nil {
		state = &tenantState{tickets: map[*Ticket]bool{}}
		a.tenants[t] = state
	}
	return state
}

// Expire rejects an RPC that is still held.
func (a *AdmissionController) Expire(t *Ticket) {
	if a.removeHeld(t) {
		t.onDecision(a.reject(t, ReasonMoving))
	}
}

// Cancel removes a held RPC whose client has gone.
func (a *AdmissionController) Cancel(t *Ticket) { a.removeHeld(t) }

// removeHeld removes a held RPC and reports whether it was held.
func (a *AdmissionController) removeHeld(t *Ticket) bool {
	state := a.tenants[t.Tenant]
	if state == nil {
		return false
	}
	index := slices.Index(state.held, t)
	if index < 0 {
		return false
	}
	state.held = slices.Delete(state.held, index, index+1)
	a.heldCount--
	a.removeIfIdle(t.Tenant, state)
	return true
}

// MayProceed reports whether an RPC may start another attempt or return its response. It guards
// against drivers that were paused or disconnected while the tenant moved.
func (a *AdmissionController) MayProceed(t *Ticket, now int64) bool {
	placement := a.directory.Placement(t.Tenant) // moving away and back raises MinPosition
	if now < a.leaseExpiresAt && placement.Cell == t.placement.Cell && placement.MinPosition == t.placement.MinPosition {
		return true
	}
	a.fenced++
	return false
}

// AttemptStarted records the start of an attempt for an RPC.
func (a *AdmissionController) AttemptStarted(t *Ticket, now int64) {
	t.attempts++
	if a.limits != nil {
		a.limits.attemptStarted(t, now)
	}
}

// AttemptEnded records the end of an attempt. mayRunUntil is 0 if the attempt cannot still be
// running.
func (a *AdmissionController) AttemptEnded(t *Ticket, mayRunUntil int64, bytes int, now int64) {
	t.mayRunUntil = max(t.mayRunUntil, mayRunUntil)
	if a.limits != nil {
		a.limits.attemptEnded(t, int64(bytes))
	}
}

// Committed records the position reported by the response to a write.
func (a *AdmissionController) Committed(t *Ticket, position int64) {
	if state := a.tenants[t.Tenant]; state != nil && t.Write {
		state.lastCommit = max(state.lastCommit, position)
	}
}

// Finished records the final response to an RPC.
func (a *AdmissionController) Finished(t *Ticket, served bool, now int64) {
	if !t.admitted || t.finished {
		return
	}
	t.finished = true
	if a.limits != nil {
		a.limits.finished(t, served, now)
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
func (a *AdmissionController) MoveConnection(from, to Cell) {
	if a.limits == nil || from == to {
		return
	}
	if from != NoCell {
		a.limits.bulkheads.Add(ClientConnections, from, -1)
	}
	if to != NoCell {
		a.limits.bulkheads.Add(ClientConnections, to, 1)
	}
}

// MostOverConnectionShare returns the cell whose client connections should be closed first, or
// NoCell. It guards against one cell's clients using up the connections of others.
func (a *AdmissionController) MostOverConnectionShare() Cell {
	if a.limits == nil {
		return NoCell
	}
	return a.limits.bulkheads.MostOverShare(ClientConnections)
}

// Settle records that an RPC has no attempt in flight and that its response was passed on.
func (a *AdmissionController) Settle(t *Ticket, now int64) {
	state := a.tenants[t.Tenant]
	if !t.admitted || state == nil || !state.tickets[t] {
		return
	}
	delete(state.tickets, t)
	if a.limits != nil {
		a.limits.settle(t, now)
	}
	if t.Write && t.mayRunUntil > now {
		state.orphanedWrites = append(state.orphanedWrites, t.mayRunUntil)
	}
	a.removeIfIdle(t.Tenant, state)
}

// removeIfIdle removes a tenant's state if it holds nothing.
func (a *AdmissionController) removeIfIdle(t Tenant, state *tenantState) {
	if len(state.tickets) == 0 && len(state.held) == 0 && len(state.orphanedWrites) == 0 && state.lastCommit == 0 && a.tenants[t] == state {
		delete(a.tenants, t)
	}
}

// maxSweptTenants limits the work of one Sweep.
const maxSweptTenants = 4096

// Sweep removes expired orphaned writes, and the last commits of tenants that are not being moved
// after commitRetention, when all members have replicated them.
func (a *AdmissionController) Sweep(now int64) {
	visited := 0
	for t, state := range a.tenants {
		if visited++; visited > maxSweptTenants {
			return
		}
		state.dropExpiredWrites(now)
		if state.lastCommit != 0 && now-state.lastCommit > commitRetention && a.directory.Placement(t).Stage == StageIdle {
			state.lastCommit = 0
		}
		a.removeIfIdle(t, state)
	}
}

// commitRetention is how long a tenant's last commit is kept in case a move begins.
const commitRetention = 5 * second

func (s *tenantState) dropExpiredWrites(now int64) {
	s.orphanedWrites = slices.DeleteFunc(s.orphanedWrites, func(until int64) bool { return until <= now })
}

// ApplyGrant applies the grant for a report that was sent at requestedAt. It returns the tenants
// with new entries.
func (a *AdmissionController) ApplyGrant(requestedAt int64, grant Grant) (changed []Tenant, err error) {
	if grant.Lease == 0 || grant.LatestEpoch < a.directory.LatestEpoch() {
		a.staleGrants++
		return nil, nil
	}
	for _, e := range grant.Entries {
		applied, err := a.directory.Apply(e)
		if err != nil {
			return changed, err
		}
		if applied {
			changed = append(changed, e.Tenant)
		}
	}
	a.leaseExpiresAt = max(a.leaseExpiresAt, requestedAt+grant.Lease)
	return changed, nil
}

// ResumeHeld decides again on a tenant's held RPCs after its placement has changed.
func (a *AdmissionController) ResumeHeld(t Tenant, now int64) {
	state := a.tenants[t]
	if state == nil {
		return
	}
	held := state.held
	state.held = nil
	for _, ticket := range held {
		ticket.placement = a.directory.Placement(t)
		if a.mustHold(ticket) {
			current := a.state(t)
			current.held = append(current.held, ticket)
			continue
		}
		a.heldCount--
		switch {
		case now >= a.leaseExpiresAt:
			ticket.onDecision(a.reject(ticket, ReasonNoLease))
		case ticket.placement.Cell == NoCell:
			ticket.onDecision(a.reject(ticket, ReasonUnknownCell))
		default:
			ticket.onDecision(a.admit(ticket, now))
		}
	}
	a.removeIfIdle(t, state)
}

const (
	loadReportInterval = second
	maxReportedLoads   = 512 // tenants per report
)

// Report returns this driver's report on the moves that it knows of. reached reports whether a
// group's members have reached a position.
func (a *AdmissionController) Report(now int64, name string, incarnation uint64, reached func(rules.GroupID, int64) bool) Report {
	report := Report{Driver: name, Incarnation: incarnation, Epoch: a.directory.LatestEpoch()}
	if a.limits != nil && now-a.loadsReportedAt >= loadReportInterval {
		a.loadsReportedAt, report.Loads = now, a.limits.rates(now, maxReportedLoads)
	}
	for _, e := range a.directory.Moving() {
		move := MoveReport{Tenant: e.Tenant, Epoch: e.Epoch}
		if state := a.tenants[e.Tenant]; state != nil {
			state.dropExpiredWrites(now)
			move.Writes, move.OpenRPCs, move.LastCommit = len(state.orphanedWrites), len(state.orphanedWrites)+len(state.tickets), state.lastCommit
			for t := range state.tickets {
				if t.Write {
					move.Writes++
				}
			}
		}
		if to := a.layout.Find(e.To); e.Stage == StageCatchingUp && to != NoCell {
			move.CaughtUp = true
			for _, group := range a.layout.TenantGroups(e.Tenant, to) {
				move.CaughtUp = move.CaughtUp && reached(group, e.CutoverPosition)
			}
		}
		report.Moves = append(report.Moves, move)
	}
	return report
}

// CatchUpGroups returns the groups whose positions are needed by moves in progress.
func (a *AdmissionController) CatchUpGroups() (groups []rules.GroupID) {
	for _, e := range a.directory.Moving() {
		if to := a.layout.Find(e.To); e.Stage == StageCatchingUp && to != NoCell {
			groups = append(groups, a.layout.TenantGroups(e.Tenant, to)...)
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
func (a *AdmissionController) Stats(now int64, heaviest int) Stats {
	stats := Stats{Rejected: map[string]int64{}, Fenced: a.fenced, StaleGrants: a.staleGrants, Held: a.heldCount, Tenants: len(a.tenants),
		Epoch: a.directory.LatestEpoch(), Lease: a.leaseExpiresAt - now}
	for reason := ReasonDriverFull; reason < reasonCount; reason++ {
		stats.Rejected[reason.String()] = a.rejected[reason]
	}
	for c, name := range a.layout.names {
		if a.layout.removed[c] {
			continue
		}
		cellStats := CellStats{Name: name, Groups: a.layout.groups[c], Weight: a.layout.weight[c], Hall: a.layout.hall[c]}
		if limits := a.limits; limits != nil {
			cell := Cell(c)
			cellStats.RPCs, cellStats.Attempts = limits.bulkheads.Used(RPCs, cell), limits.bulkheads.Used(Attempts, cell)
			cellStats.ResponseBytes, cellStats.ClientConnections = limits.bulkheads.Used(ResponseBytes, cell), limits.bulkheads.Used(ClientConnections, cell)
			cellStats.Share, cellStats.Limit, cellStats.ConcurrencyLimit = limits.bulkheads.Share(RPCs, cell), limits.concurrencyLimit(cell, now), limits.concurrency[c]
			cellStats.Latency, cellStats.Tenants = int64(limits.latency[c]), len(limits.shares.cells[c].active)
		}
		stats.Cells = append(stats.Cells, cellStats)
	}
	if a.limits != nil {
		stats.HeaviestTenants = a.limits.rates(now, heaviest)
	}
	return stats
}

// Load returns a tenant's RPCs per second on this driver, 0 if the tenant is not tracked.
func (a *AdmissionController) Load(t Tenant, now int64) float64 {
	if a.limits == nil {
		return 0
	}
	return a.limits.rate(t, now)
}

// Directory returns the placement of tenants known to this driver.
func (a *AdmissionController) Directory() *Directory { return a.directory }

// Layout returns the layout of the cells.
func (a *AdmissionController) Layout() *Layout { return a.layout }

// Update applies a reloaded configuration, or returns an error and changes nothing.
func (a *AdmissionController) Update(l *Layout, resolver *TenantResolver, pins map[Tenant]string, weights map[Tenant]float64) error {
	if err := a.directory.Update(l, pins); err != nil {
		return err
	}
	a.resolver = resolver
	if a.limits != nil {
		a.limits.Update(a.layout, weights)
	}
	return nil
}
