package cells

// shares divide a cell's room between the tenants that use it, by their weights: a tenant may have what is idle, and no
// more than its fair share once the cell is contended. Tenants that were there a moment ago count as there. Of a flood
// of names no more than mostNamed have a share of their own; all others share one between them.
type shares struct {
	weights map[Tenant]float64 // of those that have another than 1
	cells   []cellShares       // by cell
}

// cellShares is the tenants of one cell.
type cellShares struct {
	active      map[Tenant]*tenantUsage
	shared      tenantUsage  // of all that have no share of their own
	totalWeight float64      // of the weights of all present
	idle        []idleTenant // that use nothing any more, the first gone first
}

// tenantUsage is what a tenant uses.
type tenantUsage struct {
	weight      float64
	used        int64
	idleSince   int64 // when it last used something, if it uses nothing
	hasOwnShare bool
}

type idleTenant struct {
	tenant Tenant
	since  int64
}

const (
	maxOwnShares        = 1024       // tenants of a cell with a share of their own
	idleRetention       = second / 4 // a tenant that uses nothing still has its share so long
	contentionThreshold = 0.5        // of a cell's room in use, from which on shares bind
)

func newShares(weights map[Tenant]float64, cells int) *shares {
	s := &shares{weights: weights}
	s.grow(cells)
	return s
}

// grow makes room for more cells.
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

// usage gives a tenant's presence in a cell.
func (s *shares) usage(c Cell, t Tenant, now int64) *tenantUsage {
	cell := &s.cells[c]
	cell.removeIdle(now)
	if p := cell.active[t]; p != nil {
		return p
	}
	if len(cell.active) >= maxOwnShares {
		if cell.shared.weight == 0 {
			cell.shared.weight = 1
			cell.totalWeight++
		}
		return &cell.shared
	}
	p := &tenantUsage{weight: s.weight(t), idleSince: now, hasOwnShare: true}
	cell.active[t] = p
	cell.totalWeight += p.weight
	cell.idle = append(cell.idle, idleTenant{t, now})
	return p
}

// removeIdle forgets the tenants that have used nothing for a while.
func (w *cellShares) removeIdle(now int64) {
	n := 0
	for ; n < len(w.idle) && now-w.idle[n].since >= idleRetention; n++ {
		if p := w.active[w.idle[n].tenant]; p != nil && p.used == 0 && now-p.idleSince >= idleRetention {
			w.totalWeight -= p.weight
			delete(w.active, w.idle[n].tenant)
		}
	}
	w.idle = w.idle[n:]
	if len(w.active) == 0 && w.shared.used == 0 {
		w.totalWeight, w.shared.weight = 0, 0
	}
}

// fairShare is what a tenant may use of a cell's room where all want some: at least one.
func (w *cellShares) fairShare(p *tenantUsage, limit int64) int64 {
	return max(1, int64(float64(limit)*p.weight/max(p.weight, w.totalWeight)))
}

// add notes that a tenant uses so much more, or less.
func (w *cellShares) add(p *tenantUsage, t Tenant, amount, now int64) {
	p.used += amount
	if p.used == 0 {
		p.idleSince = now
		if p.hasOwnShare && w.active[t] == p {
			w.idle = append(w.idle, idleTenant{t, now})
		}
	}
}
