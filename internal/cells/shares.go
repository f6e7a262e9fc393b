package cells

// shares divides the concurrency limit of a cell between its tenants by weight. A tenant may use
// idle capacity, but no more than its fair share once the cell is contended. At most maxOwnShares
// tenants have a share of their own; the others have one in common, which bounds memory.
type shares struct {
	weights map[Tenant]float64 // default 1
	cells   []cellShares       // indexed by cell
}

// cellShares tracks the tenants of one cell.
type cellShares struct {
	active      map[Tenant]*tenantUsage
	shared      tenantUsage  // tenants without a share of their own
	totalWeight float64      // of the active tenants
	idle        []idleTenant // candidates for removal, oldest first
}

// tenantUsage is what a tenant uses of a cell.
type tenantUsage struct {
	weight      float64
	used        int64
	idleSince   int64 // only valid while used is 0
	hasOwnShare bool
}

type idleTenant struct {
	tenant Tenant
	since  int64
}

const (
	maxOwnShares        = 1024       // per cell
	idleRetention       = second / 4 // how long an idle tenant keeps its share
	contentionThreshold = 0.5        // part of a cell's limit in use above which shares are enforced
)

func newShares(weights map[Tenant]float64, cells int) *shares {
	s := &shares{weights: weights}
	s.grow(cells)
	return s
}

func (s *shares) grow(cells int) {
	for len(s.cells) < cells {
		s.cells = append(s.cells, cellShares{active: map[Tenant]*tenantUsage{}})
	}
}

func (s *shares) weight(t Tenant) float64 {
	if w, known := s.weights[t]; known {
		return w
	}
	return 1
}

// usage returns a tenant's usage of a cell and creates it if needed.
func (s *shares) usage(c Cell, t Tenant, now int64) *tenantUsage {
	cell := &s.cells[c]
	cell.removeIdle(now)
	if usage := cell.active[t]; usage != nil {
		return usage
	}
	if len(cell.active) >= maxOwnShares {
		if cell.shared.weight == 0 {
			cell.shared.weight = 1
			cell.totalWeight++
		}
		return &cell.shared
	}
	usage := &tenantUsage{weight: s.weight(t), idleSince: now, hasOwnShare: true}
	cell.active[t] = usage
	cell.totalWeight += usage.weight
	cell.idle = append(cell.idle, idleTenant{t, now})
	return usage
}

// removeIdle removes tenants that have been idle for idleRetention.
func (s *cellShares) removeIdle(now int64) {
	n := 0
	for ; n < len(s.idle) && now-s.idle[n].since >= idleRetention; n++ {
		if usage := s.active[s.idle[n].tenant]; usage != nil && usage.used == 0 && now-usage.idleSince >= idleRetention {
			s.totalWeight -= usage.weight
			delete(s.active, s.idle[n].tenant)
		}
	}
	s.idle = s.idle[n:]
	if len(s.active) == 0 && s.shared.used == 0 {
		s.totalWeight, s.shared.weight = 0, 0
	}
}

// fairShare returns a tenant's part of a limit, at least 1.
func (s *cellShares) fairShare(usage *tenantUsage, limit int64) int64 {
	return max(1, int64(float64(limit)*usage.weight/max(usage.weight, s.totalWeight)))
}

// add changes a tenant's usage by an amount, which may be negative.
func (s *cellShares) add(usage *tenantUsage, t Tenant, amount, now int64) {
	usage.used += amount
	if usage.used == 0 {
		usage.idleSince = now
		if usage.hasOwnShare && s.active[t] == usage {
			s.idle = append(s.idle, idleTenant{t, now})
		}
	}
}
