package cells

import "slices"

// Limits decides whether a cell and a tenant may start another RPC, from the driver's budget and
// from a concurrency limit that adapts to the cell's response times.
type Limits struct {
	bulkheads    *Bulkheads
	shares       *shares
	heavyHitters *HeavyHitters
	concurrency  []float64   // by cell, adaptive limit of open RPCs, 0 until the first response
	latency      []float64   // by cell, smoothed, of RPCs served in time
	loweredAt    []int64     // by cell, when concurrency was last decreased
	demandRatio  []float64   // by cell, smoothed requests per admitted request
	decayedAt    int64       // when the loads were last halved
	loadSeconds  float64     // period that the loads cover
	maxUtility   float64     // highest utility seen
	unsent       [][]*Ticket // by cell, admitted RPCs, oldest first; may include some already sent
}

const (
	minConcurrency            = 4.0
	concurrencyDecreaseFactor = 0.9  // after a late or missing response
	concurrencyIncrease       = 0.1  // after a response in time
	utilityReservedRatio      = 0.25 // part of a cell's limit that depends on an RPC's utility
	initialLatency            = second / 10
	maxTrackedTenants         = 2048
	loadHalfLife              = 10 * second
	minRetryAfter             = second / 100
	maxDemandRatio            = 64             // limits the increase of retry delays
	smoothing                 = 1.0 / (1 << 4) // weight of a new sample in a moving average
)

// NewLimits returns the limits of a driver with a budget.
func NewLimits(budget Budget, lendRatio float64, l *Layout, weights map[Tenant]float64) *Limits {
	m := &Limits{bulkheads: NewBulkheads(budget, lendRatio, l.budgetWeights()), shares: newShares(weights, l.Cells()), heavyHitters: NewHeavyHitters(maxTrackedTenants)}
	m.grow(l.Cells())
	return m
}

// budgetWeights returns the weights by which the budget is divided. A cell without tenants by hash
// gets the lowest weight, since tenants can be moved or pinned to it.
func (l *Layout) budgetWeights() []float64 {
	lowest := 0.0
	for c, w := range l.weight {
		if w > 0 && !l.removed[c] && (lowest == 0 || w < lowest) {
			lowest = w
		}
	}
	if lowest == 0 {
		lowest = 1
	}
	weights := make([]float64, len(l.weight))
	for c, w := range l.weight {
		switch {
		case l.removed[c]:
		case w > 0:
			weights[c] = w
		default:
			weights[c] = lowest
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

// Update applies a changed layout.
func (m *Limits) Update(l *Layout, weights map[Tenant]float64) {
	m.bulkheads.SetWeights(l.budgetWeights())
	m.shares.weights = weights
	m.grow(l.Cells())
}

// Reason is why an RPC was rejected.
type Reason int

const (
	ReasonNone            Reason = iota // not rejected
	ReasonDriverFull                    // the driver's budget is used up
	ReasonCellFull                      // the cell's limit is reached
	ReasonTenantOverShare               // the tenant has reached its fair share
	ReasonLowUtility                    // the remaining capacity is reserved for higher utility
	ReasonMoving                        // the tenant is being moved and the RPC cannot be held
	ReasonNoLease                       // the driver holds no valid lease
	ReasonUnknownCell                   // the tenant's cell is not configured
	reasonCount
)

var reasonNames = [reasonCount]string{"not", "driver", "cell", "tenant", "worth", "move", "lease", "lost"}

func (r Reason) String() string { return reasonNames[r] }

// concurrencyLimit returns how many RPCs a cell may have open now.
func (m *Limits) concurrencyLimit(c Cell, now int64) int64 {
	limit := m.bulkheads.Limit(RPCs, c, now)
	if m.concurrency[c] > 0 {
		limit = min(limit, int64(m.concurrency[c]))
	}
	return limit
}

// admit decides whether an RPC may start. It protects other cells and other tenants of the cell
// from overload.
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

// rejectionReason distinguishes a tenant that is over its share from one that finds the cell full.
func (m *Limits) rejectionReason(t *Ticket, limit int64, otherwise Reason) Reason {
	if t.usage.used >= m.shares.cells[t.placement.Cell].fairShare(t.usage, limit) {
		return ReasonTenantOverShare
	}
	return otherwise
}

// start records an admitted RPC.
func (m *Limits) start(t *Ticket, now int64) {
	c := t.placement.Cell
	m.bulkheads.Add(RPCs, c, 1)
	m.shares.cells[c].add(t.usage, t.Tenant, 1, now)
	if len(m.unsent[c]) > 2*int(m.bulkheads.Used(RPCs, c))+64 {
		m.unsent[c] = slices.DeleteFunc(m.unsent[c], func(o *Ticket) bool { return !o.isUnsent() })
	}
	m.unsent[c] = append(m.unsent[c], t)
}

// isUnsent reports whether an RPC is open and no attempt has been made.
func (t *Ticket) isUnsent() bool { return t.attempts == 0 && !t.finished }

// newestBorrower returns the newest unsent RPC of the cell that exceeds its share most, nil if
// there is none.
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

// newestUnsent returns a cell's newest unsent RPC, nil if there is none.
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

// attemptStarted records an attempt. Each further attempt counts as another RPC of the tenant
// until the RPC is settled.
func (m *Limits) attemptStarted(t *Ticket, now int64) {
	m.bulkheads.Add(Attempts, t.placement.Cell, 1)
	if t.attempts > 1 {
		m.shares.cells[t.placement.Cell].add(t.usage, t.Tenant, 1, now)
	}
}

// attemptEnded records the end of an attempt and the size of its response.
func (m *Limits) attemptEnded(t *Ticket, bytes int64) {
	m.bulkheads.Add(Attempts, t.placement.Cell, -1)
	m.bulkheads.Add(ResponseBytes, t.placement.Cell, bytes)
	t.responseBytes += bytes
}

// finished records the final response to an RPC.
func (m *Limits) finished(t *Ticket, served bool, now int64) {
	m.bulkheads.Add(RPCs, t.placement.Cell, -1)
	m.updateConcurrency(t, served, now)
}

// settle releases what an RPC still uses.
func (m *Limits) settle(t *Ticket, now int64) {
	m.bulkheads.Add(ResponseBytes, t.placement.Cell, -t.responseBytes)
	m.shares.cells[t.placement.Cell].add(t.usage, t.Tenant, -int64(max(1, t.attempts)), now)
}

// updateConcurrency adapts a cell's concurrency limit: an additive increase after a response in
// time, a multiplicative decrease otherwise, at most once per latency.
func (m *Limits) updateConcurrency(t *Ticket, served bool, now int64) {
	cell, latency := t.placement.Cell, now-t.arrivedAt
	if m.concurrency[cell] == 0 {
		m.concurrency[cell] = float64(m.bulkheads.Share(RPCs, cell))
	}
	switch {
	case served && latency <= t.SoftDeadline:
		m.latency[cell] += (float64(latency) - m.latency[cell]) * smoothing
		if budget := float64(m.bulkheads.budget[RPCs]); float64(m.bulkheads.Used(RPCs, cell)) >= m.concurrency[cell]/2 && (budget == 0 || m.concurrency[cell] < budget) {
			m.concurrency[cell] += concurrencyIncrease
		}
	case now-m.loweredAt[cell] >= int64(m.latency[cell]) && t.arrivedAt >= m.loweredAt[cell]:
		m.loweredAt[cell] = now
		m.concurrency[cell] = max(minConcurrency, m.concurrency[cell]*concurrencyDecreaseFactor)
	}
}

// retryAfter returns the retry delay for a cell: its latency times its demand ratio.
func (m *Limits) retryAfter(c Cell) int64 {
	return max(minRetryAfter, int64(m.latency[c]*m.demandRatio[c]))
}

// decayLoads halves the loads once per loadHalfLife.
func (m *Limits) decayLoads(now int64) {
	if m.decayedAt == 0 {
		m.decayedAt = now
	}
	if elapsed := now - m.decayedAt; elapsed >= loadHalfLife {
		m.heavyHitters.Decay(0.5)
		m.loadSeconds, m.decayedAt = (m.loadSeconds+float64(elapsed)/float64(second))/2, now
	}
}

// loadDuration returns the seconds that the loads cover, at least 1.
func (m *Limits) loadDuration(now int64) float64 {
	return max(1, m.loadSeconds+float64(now-m.decayedAt)/float64(second))
}

// rate returns a tenant's RPCs per second, 0 if it is not tracked.
func (m *Limits) rate(t Tenant, now int64) float64 {
	if _, kept := m.heavyHitters.index[t]; !kept {
		return 0
	}
	load, _ := m.heavyHitters.Load(t)
	return load / m.loadDuration(now)
}

// rates returns the busiest tenants in RPCs per second.
func (m *Limits) rates(now int64, limit int) []TenantLoad {
	top, seconds := m.heavyHitters.Top(limit), m.loadDuration(now)
	for i := range top {
		top[i].Load, top[i].Overestimate = top[i].Load/seconds, top[i].Overestimate/seconds
	}
	return top
}
