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
	decreasedAt  []int64     // by cell, when concurrency was last decreased
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
	minUtility                = 1e-9           // divisor if all RPCs have utility 0
	unsentSlack               = 64             // sent tickets that may stay in unsent without a compaction
	smoothing                 = 1.0 / (1 << 4) // weight of a new sample in a moving average
)

// NewLimits returns the limits of a driver with a budget.
func NewLimits(budget Budget, lendRatio float64, layout *Layout, weights map[Tenant]float64) *Limits {
	l := &Limits{bulkheads: NewBulkheads(budget, lendRatio, layout.budgetWeights()), shares: newShares(weights, layout.Cells()), heavyHitters: NewHeavyHitters(maxTrackedTenants)}
	l.grow(layout.Cells())
	return l
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

func (l *Limits) grow(cells int) {
	for len(l.concurrency) < cells {
		l.concurrency, l.latency = append(l.concurrency, 0), append(l.latency, float64(initialLatency))
		l.decreasedAt, l.demandRatio = append(l.decreasedAt, 0), append(l.demandRatio, 1)
		l.unsent = append(l.unsent, nil)
	}
	l.shares.grow(cells)
}

// Update applies a changed layout.
func (l *Limits) Update(layout *Layout, weights map[Tenant]float64) {
	l.bulkheads.SetWeights(layout.budgetWeights())
	l.shares.weights = weights
	l.grow(layout.Cells())
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
func (l *Limits) concurrencyLimit(c Cell, now int64) int64 {
	limit := l.bulkheads.Limit(RPCs, c, now)
	if l.concurrency[c] > 0 {
		limit = min(limit, int64(l.concurrency[c]))
	}
	return limit
}

// admit decides whether an RPC may start. It protects other cells and other tenants of the cell
// from overload. It could do harm where a cell's members bear far more than its share lets in.
func (l *Limits) admit(t *Ticket, now int64) Reason {
	l.decayLoads(now)
	l.heavyHitters.Add(t.Tenant, 1)
	l.maxUtility = max(l.maxUtility, t.Utility)
	c := t.placement.Cell
	l.demandRatio[c] = min(maxDemandRatio, l.demandRatio[c]+smoothing)
	limit, used := l.concurrencyLimit(c, now), l.bulkheads.Used(RPCs, c)
	t.usage = l.shares.usage(c, t.Tenant, now)
	switch {
	case !l.bulkheads.CanUse(RPCs, c, 1, now):
		if used < l.bulkheads.Share(RPCs, c) {
			return ReasonDriverFull
		}
		return l.rejectionReason(t, limit, ReasonCellFull)
	case !l.bulkheads.CanUse(Attempts, c, 1, now), !l.bulkheads.CanUse(ResponseBytes, c, 1, now), used >= limit:
		return l.rejectionReason(t, limit, ReasonCellFull)
	case float64(used) >= contentionThreshold*float64(limit) && t.usage.used >= l.shares.cells[c].fairShare(t.usage, limit):
		return ReasonTenantOverShare
	case float64(used) >= float64(limit)*(1-utilityReservedRatio*(1-t.Utility/max(l.maxUtility, minUtility))):
		return ReasonLowUtility
	}
	l.demandRatio[c] = max(1, l.demandRatio[c]*(1-smoothing))
	return ReasonNone
}

// rejectionReason distinguishes a tenant that is over its share from one that finds the cell full.
func (l *Limits) rejectionReason(t *Ticket, limit int64, otherwise Reason) Reason {
	if t.usage.used >= l.shares.cells[t.placement.Cell].fairShare(t.usage, limit) {
		return ReasonTenantOverShare
	}
	return otherwise
}

// start records an admitted RPC.
func (l *Limits) start(t *Ticket, now int64) {
	c := t.placement.Cell
	l.bulkheads.Add(RPCs, c, 1)
	l.shares.cells[c].add(t.usage, t.Tenant, 1, now)
	if len(l.unsent[c]) > 2*int(l.bulkheads.Used(RPCs, c))+unsentSlack {
		l.unsent[c] = slices.DeleteFunc(l.unsent[c], func(o *Ticket) bool { return !o.isUnsent() })
	}
	l.unsent[c] = append(l.unsent[c], t)
}

// isUnsent reports whether an RPC is open and no attempt has been made.
func (t *Ticket) isUnsent() bool { return t.attempts == 0 && !t.finished }

// newestBorrower returns the newest unsent RPC of the cell that exceeds its share most, nil if
// there is none.
func (l *Limits) newestBorrower() *Ticket {
	borrower, maxExcess := NoCell, int64(0)
	for c := range l.unsent {
		if excess := l.bulkheads.Used(RPCs, Cell(c)) - l.bulkheads.Share(RPCs, Cell(c)); excess > maxExcess && l.newestUnsent(Cell(c)) != nil {
			borrower, maxExcess = Cell(c), excess
		}
	}
	if borrower == NoCell {
		return nil
	}
	return l.newestUnsent(borrower)
}

// newestUnsent returns a cell's newest unsent RPC, nil if there is none.
func (l *Limits) newestUnsent(c Cell) *Ticket {
	for last := len(l.unsent[c]) - 1; last >= 0; last-- {
		if t := l.unsent[c][last]; t.isUnsent() {
			return t
		}
		l.unsent[c][last] = nil
		l.unsent[c] = l.unsent[c][:last]
	}
	return nil
}

// attemptStarted records an attempt. Each further attempt counts as another RPC of the tenant
// until the RPC is settled.
func (l *Limits) attemptStarted(t *Ticket, now int64) {
	l.bulkheads.Add(Attempts, t.placement.Cell, 1)
	if t.attempts > 1 {
		l.shares.cells[t.placement.Cell].add(t.usage, t.Tenant, 1, now)
	}
}

// attemptEnded records the end of an attempt and the size of its response.
func (l *Limits) attemptEnded(t *Ticket, bytes int64) {
	l.bulkheads.Add(Attempts, t.placement.Cell, -1)
	l.bulkheads.Add(ResponseBytes, t.placement.Cell, bytes)
	t.responseBytes += bytes
}

// finished records the final response to an RPC.
func (l *Limits) finished(t *Ticket, served bool, now int64) {
	l.bulkheads.Add(RPCs, t.placement.Cell, -1)
	l.updateConcurrency(t, served, now)
}

// settle releases what an RPC still uses.
func (l *Limits) settle(t *Ticket, now int64) {
	l.bulkheads.Add(ResponseBytes, t.placement.Cell, -t.responseBytes)
	l.shares.cells[t.placement.Cell].add(t.usage, t.Tenant, -int64(max(1, t.attempts)), now)
}

// updateConcurrency adapts a cell's concurrency limit: an additive increase after a response in
// time, a multiplicative decrease otherwise, at most once per latency.
func (l *Limits) updateConcurrency(t *Ticket, served bool, now int64) {
	cell, latency := t.placement.Cell, now-t.arrivedAt
	if l.concurrency[cell] == 0 {
		l.concurrency[cell] = float64(l.bulkheads.Share(RPCs, cell))
	}
	switch {
	case served && latency <= t.SoftDeadline:
		l.latency[cell] += (float64(latency) - l.latency[cell]) * smoothing
		if budget := float64(l.bulkheads.budget[RPCs]); float64(l.bulkheads.Used(RPCs, cell)) >= l.concurrency[cell]/2 && (budget == 0 || l.concurrency[cell] < budget) {
			l.concurrency[cell] += concurrencyIncrease
		}
	case now-l.decreasedAt[cell] >= int64(l.latency[cell]) && t.arrivedAt >= l.decreasedAt[cell]:
		l.decreasedAt[cell] = now
		l.concurrency[cell] = max(minConcurrency, l.concurrency[cell]*concurrencyDecreaseFactor)
	}
}

// retryAfter returns the retry delay for a cell: its latency times its demand ratio.
func (l *Limits) retryAfter(c Cell) int64 {
	return max(minRetryAfter, int64(l.latency[c]*l.demandRatio[c]))
}

// decayLoads halves the loads once per loadHalfLife.
func (l *Limits) decayLoads(now int64) {
	if l.decayedAt == 0 {
		l.decayedAt = now
	}
	if elapsed := now - l.decayedAt; elapsed >= loadHalfLife {
		l.heavyHitters.Decay(0.5)
		l.loadSeconds, l.decayedAt = (l.loadSeconds+float64(elapsed)/float64(second))/2, now
	}
}

// loadDuration returns the seconds that the loads cover, at least 1.
func (l *Limits) loadDuration(now int64) float64 {
	return max(1, l.loadSeconds+float64(now-l.decayedAt)/float64(second))
}

// rate returns a tenant's RPCs per second, 0 if it is not tracked.
func (l *Limits) rate(t Tenant, now int64) float64 {
	if _, tracked := l.heavyHitters.index[t]; !tracked {
		return 0
	}
	load, _ := l.heavyHitters.Load(t)
	return load / l.loadDuration(now)
}

// rates returns the busiest tenants in RPCs per second.
func (l *Limits) rates(now int64, limit int) []TenantLoad {
	top, seconds := l.heavyHitters.Top(limit), l.loadDuration(now)
	for i := range top {
		top[i].Load, top[i].Overestimate = top[i].Load/seconds, top[i].Overestimate/seconds
	}
	return top
}
