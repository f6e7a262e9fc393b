package cells

import "slices"

// Limits decide whether a cell and its tenant have room for one more RPC, by what the driver's own budget allows and by
// what the cell's answers show that it can bear.
type Limits struct {
	bulkheads    *Bulkheads
	shares       *shares
	heavyHitters *HeavyHitters
	// by cell
	concurrency []float64   // RPCs that may be open and still be answered in time, as learned
	latency     []float64   // smoothed time of an RPC that was served
	loweredAt   []int64     // when its pace was last lessened
	demandRatio []float64   // smoothed: RPCs that came for one that was let in
	decayedAt   int64       // when the loads were last halved
	loadSeconds float64     // seconds that the loads stand for
	maxUtility  float64     // the highest utility seen
	unsent      [][]*Ticket // by cell, let in, the last last; those that do not wait any more among them
}

const (
	minConcurrency            = 4.0            // least pace
	concurrencyDecreaseFactor = 0.9            // of its pace that a cell keeps after an answer that came late or not
	concurrencyIncrease       = 0.1            // that its pace grows by with an answer in time
	utilityReservedRatio      = 0.25           // of a cell's room that the utility of an RPC decides on
	initialLatency            = second / 10    // time of an RPC to expect
	maxTrackedTenants         = 2048           // tenants whose load is kept
	loadHalfLife              = 10 * second    // the loads count half
	minRetryAfter             = second / 100   // least time to come back
	maxDemandRatio            = 64             // comers for one that was let in, as far as the time to come back grows
	smoothing                 = 1.0 / (1 << 4) // part that the newest has of a smoothed figure
)

// NewLimits makes the limits of a driver that has so much.
func NewLimits(budget Budget, lendRatio float64, l *Layout, weights map[Tenant]float64) *Limits {
	m := &Limits{bulkheads: NewBulkheads(budget, lendRatio, l.budgetWeights()), shares: newShares(weights, l.Cells()), heavyHitters: NewHeavyHitters(maxTrackedTenants)}
	m.grow(l.Cells())
	return m
}

// budgetWeights are the cells' parts of a budget. A cell that takes no tenants by hash has one as of the least weight, since
// tenants are moved or pinned there.
func (l *Layout) budgetWeights() []float64 {
	least := 0.0
	for c, w := range l.weight {
		if w > 0 && !l.removed[c] && (least == 0 || w < least) {
			least = w
		}
	}
	if least == 0 {
		least = 1
	}
	weights := make([]float64, len(l.weight))
	for c, w := range l.weight {
		switch {
		case l.removed[c]:
		case w > 0:
			weights[c] = w
		default:
			weights[c] = least
		}
	}
	return weights
}

func (m *Limits) grow(cells int) {
	for len(m.concurrency) < cells {
		m.concurrency, m.latency = append(m.concurrency, 0), append(m.latency, float64(initialLatency))
		m.loweredAt, m.demandRatio = append(m.loweredAt, 0), append(m.demandRatio, 1)
		m.unsent = append(m.unsent, nil)
	}
	m.shares.grow(cells)
}

// Update follows a changed layout.
func (m *Limits) Update(l *Layout, weights map[Tenant]float64) {
	m.bulkheads.SetWeights(l.budgetWeights())
	m.shares.weights = weights
	m.grow(l.Cells())
}

// Reason is the reason that an RPC was turned away for.
type Reason int

const (
	ReasonNone            Reason = iota // it was not
	ReasonDriverFull                    // the driver has no room
	ReasonCellFull                      // the cell has no room
	ReasonTenantOverShare               // the tenant has used up its part
	ReasonLowUtility                    // the last of the room is for RPCs of higher utility
	ReasonMoving                        // its tenant is being moved, and it can't be held
	ReasonNoLease                       // this driver does not know where its tenant is now
	ReasonUnknownCell                   // its tenant's cell is not in the file
	reasonCount
)

var reasonNames = [reasonCount]string{"not", "driver", "cell", "tenant", "worth", "move", "lease", "lost"}

func (r Reason) String() string { return reasonNames[r] }

// concurrencyLimit is how many RPCs a cell may have open just now.
func (m *Limits) concurrencyLimit(c Cell, now int64) int64 {
	limit := m.bulkheads.Limit(RPCs, c, now)
	if m.concurrency[c] > 0 {
		limit = min(limit, int64(m.concurrency[c]))
	}
	return limit
}

// admit decides whether an RPC has room, and whom it counts for. Guards the other cells against a flood into one, and a
// cell's tenants against one another; could harm where a cell's members bear far more than its share lets in.
func (m *Limits) admit(t *Ticket, now int64) Reason {
	m.decayLoads(now)
	m.heavyHitters.Add(t.Tenant, 1)
	m.maxUtility = max(m.maxUtility, t.Utility)
	c := t.placement.Cell
	m.demandRatio[c] = min(maxDemandRatio, m.demandRatio[c]+smoothing)
	limit, used := m.concurrencyLimit(c, now), m.bulkheads.Used(RPCs, c)
	t.usage = m.shares.usage(c, t.Tenant, now)
	switch {
	case !m.bulkheads.CanUse(RPCs, c, 1, now):
		if used < m.bulkheads.Share(RPCs, c) {
			return ReasonDriverFull
		}
		return m.rejectionReason(t, limit, ReasonCellFull)
	case !m.bulkheads.CanUse(Attempts, c, 1, now), !m.bulkheads.CanUse(ResponseBytes, c, 1, now), used >= limit:
		return m.rejectionReason(t, limit, ReasonCellFull)
	case float64(used) >= contentionThreshold*float64(limit) && t.usage.used >= m.shares.cells[c].fairShare(t.usage, limit):
		return ReasonTenantOverShare
	case float64(used) >= float64(limit)*(1-utilityReservedRatio*(1-t.Utility/max(m.maxUtility, 1e-9))):
		return ReasonLowUtility
	}
	m.demandRatio[c] = max(1, m.demandRatio[c]*(1-smoothing))
	return ReasonNone
}

// rejectionReason tells a tenant that fills the cell from one that meets it full.
func (m *Limits) rejectionReason(t *Ticket, limit int64, otherwise Reason) Reason {
	if t.usage.used >= m.shares.cells[t.placement.Cell].fairShare(t.usage, limit) {
		return ReasonTenantOverShare
	}
	return otherwise
}

// start notes that an RPC was let in.
func (m *Limits) start(t *Ticket, now int64) {
	c := t.placement.Cell
	m.bulkheads.Add(RPCs, c, 1)
	m.shares.cells[c].add(t.usage, t.Tenant, 1, now)
	if len(m.unsent[c]) > 2*int(m.bulkheads.Used(RPCs, c))+64 {
		m.unsent[c] = slices.DeleteFunc(m.unsent[c], func(o *Ticket) bool { return !o.isUnsent() })
	}
	m.unsent[c] = append(m.unsent[c], t)
}

// isUnsent tells whether an RPC is open and no member has got it.
func (t *Ticket) isUnsent() bool { return t.attempts == 0 && !t.finished }

// newestBorrower is the RPC let in last that waits in what its cell has borrowed, nil for none: the cell that has borrowed most
// gives first.
func (m *Limits) newestBorrower() *Ticket {
	borrower, maxExcess := NoCell, int64(0)
	for c := range m.unsent {
		if excess := m.bulkheads.Used(RPCs, Cell(c)) - m.bulkheads.Share(RPCs, Cell(c)); excess > maxExcess && m.newestUnsent(Cell(c)) != nil {
			borrower, maxExcess = Cell(c), excess
		}
	}
	if borrower == NoCell {
		return nil
	}
	return m.newestUnsent(borrower)
}

// newestUnsent is the RPC of a cell let in last that waits, nil for none.
func (m *Limits) newestUnsent(c Cell) *Ticket {
	for last := len(m.unsent[c]) - 1; last >= 0; last-- {
		if t := m.unsent[c][last]; t.isUnsent() {
			return t
		}
		m.unsent[c][last] = nil
		m.unsent[c] = m.unsent[c][:last]
	}
	return nil
}

// attemptStarted notes a call-out. A further one counts as a further RPC of its tenant until the RPC is settled.
func (m *Limits) attemptStarted(t *Ticket, now int64) {
	m.bulkheads.Add(Attempts, t.placement.Cell, 1)
	if t.attempts > 1 {
		m.shares.cells[t.placement.Cell].add(t.usage, t.Tenant, 1, now)
	}
}

// attemptEnded notes that a call-out has ended, with so many bytes.
func (m *Limits) attemptEnded(t *Ticket, bytes int64) {
	m.bulkheads.Add(Attempts, t.placement.Cell, -1)
	m.bulkheads.Add(ResponseBytes, t.placement.Cell, bytes)
	t.responseBytes += bytes
}

// finished notes that an RPC has its final answer.
func (m *Limits) finished(t *Ticket, served bool, now int64) {
	m.bulkheads.Add(RPCs, t.placement.Cell, -1)
	m.updateConcurrency(t, served, now)
}

// settle notes that nothing is left of an RPC.
func (m *Limits) settle(t *Ticket, now int64) {
	m.bulkheads.Add(ResponseBytes, t.placement.Cell, -t.responseBytes)
	m.shares.cells[t.placement.Cell].add(t.usage, t.Tenant, -int64(max(1, t.attempts)), now)
}

// updateConcurrency learns from how long an RPC took that was served, and from one that ended without.
func (m *Limits) updateConcurrency(t *Ticket, served bool, now int64) {
	c, latency := t.placement.Cell, now-t.arrivedAt
	if m.concurrency[c] == 0 {
		m.concurrency[c] = float64(m.bulkheads.Share(RPCs, c))
	}
	switch {
	case served && latency <= t.SoftDeadline:
		m.latency[c] += (float64(latency) - m.latency[c]) * smoothing
		if budget := float64(m.bulkheads.budget[RPCs]); float64(m.bulkheads.Used(RPCs, c)) >= m.concurrency[c]/2 && (budget == 0 || m.concurrency[c] < budget) {
			m.concurrency[c] += concurrencyIncrease
		}
	case now-m.loweredAt[c] >= int64(m.latency[c]) && t.arrivedAt >= m.loweredAt[c]:
		m.loweredAt[c] = now
		m.concurrency[c] = max(minConcurrency, m.concurrency[c]*concurrencyDecreaseFactor)
	}
}

// retryAfter is when to try again: after the time in which the cell's room will have gone round among those that want it.
func (m *Limits) retryAfter(c Cell) int64 {
	return max(minRetryAfter, int64(m.latency[c]*m.demandRatio[c]))
}

// decayLoads halves the loads now and then.
func (m *Limits) decayLoads(now int64) {
	if m.decayedAt == 0 {
		m.decayedAt = now
	}
	if elapsed := now - m.decayedAt; elapsed >= loadHalfLife {
		m.heavyHitters.Decay(0.5)
		m.loadSeconds, m.decayedAt = (m.loadSeconds+float64(elapsed)/float64(second))/2, now
	}
}

// loadDuration is the time that the loads stand for.
func (m *Limits) loadDuration(now int64) float64 {
	return max(1, m.loadSeconds+float64(now-m.decayedAt)/float64(second))
}

// rate is a tenant's RPCs a second, 0 for one that is not kept.
func (m *Limits) rate(t Tenant, now int64) float64 {
	if _, kept := m.heavyHitters.index[t]; !kept {
		return 0
	}
	load, _ := m.heavyHitters.Load(t)
	return load / m.loadDuration(now)
}

// rates are the heaviest tenants in RPCs a second.
func (m *Limits) rates(now int64, limit int) []TenantLoad {
	top, seconds := m.heavyHitters.Top(limit), m.loadDuration(now)
	for i := range top {
		top[i].Load, top[i].Overestimate = top[i].Load/seconds, top[i].Overestimate/seconds
	}
	return top
}
