package cells

import "slices"

// Limits decide whether a cell and its tenant have room for one more RPC, by what the driver's own budget allows and by
// what the cell's answers show that it can bear.
type Limits struct {
	heads  *Bulkheads
	shares *shares
	heavy  *HeavyHitters
	// by cell
	pace   []float64   // RPCs that may be open and still be answered in time, as learned
	took   []float64   // smoothed time of an RPC that was served
	slowed []int64     // when its pace was last lessened
	eager  []float64   // smoothed: RPCs that came for one that was let in
	faded  int64       // when the loads were last halved
	span   float64     // seconds that the loads stand for
	most   float64     // the highest utility seen
	unsent [][]*Ticket // by cell, let in, the last last; those that do not wait any more among them
}

const (
	slowest   = 4.0            // least pace
	lessen    = 0.9            // of its pace that a cell keeps after an answer that came late or not
	quicken   = 0.1            // that its pace grows by with an answer in time
	graded    = 0.25           // of a cell's room that the utility of an RPC decides on
	tookFirst = second / 10    // time of an RPC to expect
	heavyKept = 2048           // tenants whose load is kept
	fadeEvery = 10 * second    // the loads count half
	shortWait = second / 100   // least time to come back
	eagerMost = 64             // comers for one that was let in, as far as the time to come back grows
	smoothing = 1.0 / (1 << 4) // part that the newest has of a smoothed figure
)

// NewLimits makes the limits of a driver that has so much.
func NewLimits(all Budget, lend float64, l *Layout, weights map[Tenant]float64) *Limits {
	m := &Limits{heads: NewBulkheads(all, lend, l.parts()), shares: newShares(weights, l.Cells()), heavy: NewHeavyHitters(heavyKept)}
	m.grow(l.Cells())
	return m
}

// parts are the cells' parts of a budget. A cell that takes no tenants by hash has one as of the least weight, since
// tenants are moved or pinned there.
func (l *Layout) parts() []float64 {
	least := 0.0
	for c, w := range l.weight {
		if w > 0 && !l.gone[c] && (least == 0 || w < least) {
			least = w
		}
	}
	if least == 0 {
		least = 1
	}
	parts := make([]float64, len(l.weight))
	for c, w := range l.weight {
		switch {
		case l.gone[c]:
		case w > 0:
			parts[c] = w
		default:
			parts[c] = least
		}
	}
	return parts
}

func (m *Limits) grow(cells int) {
	for len(m.pace) < cells {
		m.pace, m.took = append(m.pace, 0), append(m.took, float64(tookFirst))
		m.slowed, m.eager = append(m.slowed, 0), append(m.eager, 1)
		m.unsent = append(m.unsent, nil)
	}
	m.shares.grow(cells)
}

// Update follows a changed layout.
func (m *Limits) Update(l *Layout, weights map[Tenant]float64) {
	m.heads.SetWeights(l.parts())
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
	whys
)

var whyNames = [whys]string{"not", "driver", "cell", "tenant", "worth", "move", "lease", "lost"}

func (w Reason) String() string { return whyNames[w] }

// room is how many RPCs a cell may have open just now.
func (m *Limits) room(c Cell, now int64) int64 {
	limit := m.heads.Limit(RPCs, c, now)
	if m.pace[c] > 0 {
		limit = min(limit, int64(m.pace[c]))
	}
	return limit
}

// admit decides whether an RPC has room, and whom it counts for. Guards the other cells against a flood into one, and a
// cell's tenants against one another; could harm where a cell's members bear far more than its share lets in.
func (m *Limits) admit(t *Ticket, now int64) Reason {
	m.fade(now)
	m.heavy.Add(t.Tenant, 1)
	m.most = max(m.most, t.Utility)
	c := t.seat.Cell
	m.eager[c] = min(eagerMost, m.eager[c]+smoothing)
	room, used := m.room(c, now), m.heads.Used(RPCs, c)
	t.presence = m.shares.enter(c, t.Tenant, now)
	switch {
	case !m.heads.CanUse(RPCs, c, 1, now):
		if used < m.heads.Share(RPCs, c) {
			return ReasonDriverFull
		}
		return m.blame(t, room, ReasonCellFull)
	case !m.heads.CanUse(Attempts, c, 1, now), !m.heads.CanUse(ResponseBytes, c, 1, now), used >= room:
		return m.blame(t, room, ReasonCellFull)
	case float64(used) >= contended*float64(room) && t.presence.used >= m.shares.cells[c].fair(t.presence, room):
		return ReasonTenantOverShare
	case float64(used) >= float64(room)*(1-graded*(1-t.Utility/max(m.most, 1e-9))):
		return ReasonLowUtility
	}
	m.eager[c] = max(1, m.eager[c]*(1-smoothing))
	return ReasonNone
}

// blame tells a tenant that fills the cell from one that meets it full.
func (m *Limits) blame(t *Ticket, room int64, other Reason) Reason {
	if t.presence.used >= m.shares.cells[t.seat.Cell].fair(t.presence, room) {
		return ReasonTenantOverShare
	}
	return other
}

// enter notes that an RPC was let in.
func (m *Limits) enter(t *Ticket, now int64) {
	c := t.seat.Cell
	m.heads.Add(RPCs, c, 1)
	m.shares.cells[c].use(t.presence, t.Tenant, 1, now)
	if len(m.unsent[c]) > 2*int(m.heads.Used(RPCs, c))+64 {
		m.unsent[c] = slices.DeleteFunc(m.unsent[c], func(o *Ticket) bool { return !o.waits() })
	}
	m.unsent[c] = append(m.unsent[c], t)
}

// waits tells whether an RPC is open and no member has got it.
func (t *Ticket) waits() bool { return t.calls == 0 && !t.ended }

// borrower is the RPC let in last that waits in what its cell has borrowed, nil for none: the cell that has borrowed most
// gives first.
func (m *Limits) borrower() *Ticket {
	from, most := NoCell, int64(0)
	for c := range m.unsent {
		if over := m.heads.Used(RPCs, Cell(c)) - m.heads.Share(RPCs, Cell(c)); over > most && m.waiting(Cell(c)) != nil {
			from, most = Cell(c), over
		}
	}
	if from == NoCell {
		return nil
	}
	return m.waiting(from)
}

// waiting is the RPC of a cell let in last that waits, nil for none.
func (m *Limits) waiting(c Cell) *Ticket {
	for last := len(m.unsent[c]) - 1; last >= 0; last-- {
		if t := m.unsent[c][last]; t.waits() {
			return t
		}
		m.unsent[c][last] = nil
		m.unsent[c] = m.unsent[c][:last]
	}
	return nil
}

// callOut notes a call-out. A further one counts as a further RPC of its tenant until the RPC is settled.
func (m *Limits) callOut(t *Ticket, now int64) {
	m.heads.Add(Attempts, t.seat.Cell, 1)
	if t.calls > 1 {
		m.shares.cells[t.seat.Cell].use(t.presence, t.Tenant, 1, now)
	}
}

// returned notes that a call-out has ended, with so many bytes.
func (m *Limits) returned(t *Ticket, bytes int64) {
	m.heads.Add(Attempts, t.seat.Cell, -1)
	m.heads.Add(ResponseBytes, t.seat.Cell, bytes)
	t.bytes += bytes
}

// ended notes that an RPC has its final answer.
func (m *Limits) ended(t *Ticket, served bool, now int64) {
	m.heads.Add(RPCs, t.seat.Cell, -1)
	m.answered(t, served, now)
}

// settled notes that nothing is left of an RPC.
func (m *Limits) settled(t *Ticket, now int64) {
	m.heads.Add(ResponseBytes, t.seat.Cell, -t.bytes)
	m.shares.cells[t.seat.Cell].use(t.presence, t.Tenant, -int64(max(1, t.calls)), now)
}

// answered learns from how long an RPC took that was served, and from one that ended without.
func (m *Limits) answered(t *Ticket, served bool, now int64) {
	c, took := t.seat.Cell, now-t.at
	if m.pace[c] == 0 {
		m.pace[c] = float64(m.heads.Share(RPCs, c))
	}
	switch {
	case served && took <= t.SoftDeadline:
		m.took[c] += (float64(took) - m.took[c]) * smoothing
		if most := float64(m.heads.all[RPCs]); float64(m.heads.Used(RPCs, c)) >= m.pace[c]/2 && (most == 0 || m.pace[c] < most) {
			m.pace[c] += quicken
		}
	case now-m.slowed[c] >= int64(m.took[c]) && t.at >= m.slowed[c]:
		m.slowed[c] = now
		m.pace[c] = max(slowest, m.pace[c]*lessen)
	}
}

// comeBack is when to try again: after the time in which the cell's room will have gone round among those that want it.
func (m *Limits) comeBack(c Cell) int64 {
	return max(shortWait, int64(m.took[c]*m.eager[c]))
}

// fade halves the loads now and then.
func (m *Limits) fade(now int64) {
	if m.faded == 0 {
		m.faded = now
	}
	if passed := now - m.faded; passed >= fadeEvery {
		m.heavy.Decay(0.5)
		m.span, m.faded = (m.span+float64(passed)/float64(second))/2, now
	}
}

// seconds is the time that the loads stand for.
func (m *Limits) seconds(now int64) float64 {
	return max(1, m.span+float64(now-m.faded)/float64(second))
}

// rate is a tenant's RPCs a second, 0 for one that is not kept.
func (m *Limits) rate(t Tenant, now int64) float64 {
	if _, kept := m.heavy.at[t]; !kept {
		return 0
	}
	load, _ := m.heavy.Load(t)
	return load / m.seconds(now)
}

// rates are the heaviest tenants in RPCs a second.
func (m *Limits) rates(now int64, most int) []TenantLoad {
	top, over := m.heavy.Top(most), m.seconds(now)
	for i := range top {
		top[i].Load, top[i].Overestimate = top[i].Load/over, top[i].Overestimate/over
	}
	return top
}
