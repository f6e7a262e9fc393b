package cells

// shares divide a cell's room between the tenants that use it, by their weights: a tenant may have what is idle, and no
// more than its fair share once the cell is contended. Tenants that were there a moment ago count as there. Of a flood
// of names no more than mostNamed have a share of their own; all others share one between them.
type shares struct {
	weights map[Tenant]float64 // of those that have another than 1
	cells   []crowd            // by cell
}

// crowd is the tenants of one cell.
type crowd struct {
	present map[Tenant]*presence
	rest    presence // of all that have no share of their own
	sum     float64  // of the weights of all present
	leaving []leaver // that use nothing any more, the first gone first
}

// presence is what a tenant uses.
type presence struct {
	weight float64
	used   int64
	left   int64 // when it last used something, if it uses nothing
	named  bool
}

type leaver struct {
	tenant Tenant
	at     int64
}

const (
	mostNamed = 1024       // tenants of a cell with a share of their own
	lingerFor = second / 4 // a tenant that uses nothing still has its share so long
	contended = 0.5        // of a cell's room in use, from which on shares bind
)

func newShares(weights map[Tenant]float64, cells int) *shares {
	s := &shares{weights: weights}
	s.grow(cells)
	return s
}

// grow makes room for more cells.
func (s *shares) grow(cells int) {
	for len(s.cells) < cells {
		s.cells = append(s.cells, crowd{present: map[Tenant]*presence{}})
	}
}

func (s *shares) weight(t Tenant) float64 {
	if w, known := s.weights[t]; known {
		return w
	}
	return 1
}

// enter gives a tenant's presence in a cell.
func (s *shares) enter(c Cell, t Tenant, now int64) *presence {
	w := &s.cells[c]
	w.sweep(now)
	if p := w.present[t]; p != nil {
		return p
	}
	if len(w.present) >= mostNamed {
		if w.rest.weight == 0 {
			w.rest.weight = 1
			w.sum++
		}
		return &w.rest
	}
	p := &presence{weight: s.weight(t), left: now, named: true}
	w.present[t] = p
	w.sum += p.weight
	w.leaving = append(w.leaving, leaver{t, now})
	return p
}

// sweep forgets the tenants that have used nothing for a while.
func (w *crowd) sweep(now int64) {
	n := 0
	for ; n < len(w.leaving) && now-w.leaving[n].at >= lingerFor; n++ {
		if p := w.present[w.leaving[n].tenant]; p != nil && p.used == 0 && now-p.left >= lingerFor {
			w.sum -= p.weight
			delete(w.present, w.leaving[n].tenant)
		}
	}
	w.leaving = w.leaving[n:]
	if len(w.present) == 0 && w.rest.used == 0 {
		w.sum, w.rest.weight = 0, 0
	}
}

// fair is what a tenant may use of a cell's room where all want some: at least one.
func (w *crowd) fair(p *presence, room int64) int64 {
	return max(1, int64(float64(room)*p.weight/max(p.weight, w.sum)))
}

// use notes that a tenant uses so much more, or less.
func (w *crowd) use(p *presence, t Tenant, more, now int64) {
	p.used += more
	if p.used == 0 {
		p.left = now
		if p.named && w.present[t] == p {
			w.leaving = append(w.leaving, leaver{t, now})
		}
	}
}
