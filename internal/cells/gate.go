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
	at       int64
	seat     Placement
	presence *presence
	then     func(Decision)
	calls    int   // call-outs made
	bytes    int64 // of answers
	let      bool  // it was let in
	ended    bool
	until    int64 // a call-out of it may still run until then
}

// present is what a gate knows of a tenant while it has RPCs here, or its move is under way.
type present struct {
	tickets map[*Ticket]bool // let in, and not settled
	held    []*Ticket        // the first first
	ghosts  []int64          // until when writes that ended may still run
	commit  int64
}

// AdmissionController is a driver's side of cells: it lets RPCs in, holds them while their tenant is moved, or turns them away.
type AdmissionController struct {
	layout  *Layout
	tenancy *TenantResolver
	book    *Directory
	limits  *Limits // nil for none
	lease   int64   // it may act until then, by its own clock
	most    int     // RPCs held
	holding int
	tenants map[Tenant]*present
	turned  [whys]int64
	weighed int64 // when loads were last reported
	lapsed  int64 // answers that were not passed on because the lease had run out, or the tenant had moved
	stale   int64
}

// heldShare is the part of its client's time that an RPC is held at the most: the rest is for asking again.
const heldShare = 0.45

// NewAdmissionController makes a driver's gate, which may hold so many RPCs. Where leased is false the file alone says where tenants are.
func NewAdmissionController(b *Directory, y *TenantResolver, limits *Limits, leased bool, most int) *AdmissionController {
	g := &AdmissionController{layout: b.layout, tenancy: y, book: b, limits: limits, most: most, tenants: map[Tenant]*present{}}
	if !leased {
		g.lease = math.MaxInt64
	}
	return g
}

// Tenant is whom an RPC is done for.
func (g *AdmissionController) Tenant(key, user, database string) Tenant {
	return g.tenancy.Resolve(key, user, database)
}

// Admit decides on an RPC. Where it is held, decided is false, and then takes the verdict later. Of one that was let in
// and has had no call-out, then may be told that its room is taken back: it is to be turned away. A ticket that was let
// in must be ended and settled.
func (g *AdmissionController) Admit(now int64, a Request, then func(Decision)) (t *Ticket, v Decision, decided bool) {
	t = &Ticket{Request: a, at: now, seat: g.book.Placement(a.Tenant), then: then}
	switch {
	case now >= g.lease:
		return t, g.turn(t, ReasonNoLease), true
	case t.seat.Cell == NoCell:
		return t, g.turn(t, ReasonUnknownCell), true
	case g.holds(t) && g.holding >= g.most:
		return t, g.turn(t, ReasonMoving), true
	case g.holds(t):
		p := g.present(a.Tenant)
		p.held = append(p.held, t)
		g.holding++
		return t, Decision{}, false
	}
	return t, g.let(t, now), true
}

// holds tells whether an RPC has to wait for its tenant's move.
func (g *AdmissionController) holds(t *Ticket) bool {
	switch t.seat.Stage {
	case StageHoldingWrites, StageCatchingUp:
		return t.Write
	case StageHoldingAll:
		return true
	}
	return false
}

// HoldDeadline is when an RPC that is held has to be let go of.
func (t *Ticket) HoldDeadline() int64 { return t.at + int64(heldShare*float64(t.TimeLeft)) }

// let lets an RPC in if there is room.
func (g *AdmissionController) let(t *Ticket, now int64) Decision {
	if g.limits != nil {
		why := g.limits.admit(t, now)
		if why == ReasonDriverFull && g.reclaim(now) {
			why = g.limits.admit(t, now)
		}
		if why != ReasonNone {
			return g.turn(t, why)
		}
		g.limits.enter(t, now)
	}
	t.let = true
	g.present(t.Tenant).tickets[t] = true
	return Decision{Group: g.layout.Group(t.Tenant, t.Key, t.seat.Cell), MinPosition: t.seat.MinPosition}
}

// reclaim takes room back that a cell has borrowed, from the RPC let in last of those that no member got.
func (g *AdmissionController) reclaim(now int64) bool {
	t := g.limits.borrower()
	if t == nil {
		return false
	}
	then := t.then
	t.then = nil
	v := g.turn(t, ReasonDriverFull)
	g.Finished(t, false, now)
	g.Settle(t, now)
	then(v)
	return true
}

// turn turns an RPC away.
func (g *AdmissionController) turn(t *Ticket, why Reason) Decision {
	g.turned[why]++
	v := Decision{Reason: why, RetryAfter: shortWait}
	if g.limits != nil && t.seat.Cell != NoCell {
		v.RetryAfter = g.limits.comeBack(t.seat.Cell)
	}
	return v
}

func (g *AdmissionController) present(t Tenant) *present {
	p := g.tenants[t]
	if p == nil {
		p = &present{tickets: map[*Ticket]bool{}}
		g.tenants[t] = p
	}
	return p
}

// Expire turns away an RPC that is held, if it still is: it can't be served in its time.
func (g *AdmissionController) Expire(t *Ticket) {
	if g.unhold(t) {
		t.then(g.turn(t, ReasonMoving))
	}
}

// Cancel forgets an RPC that is held, whose client has gone.
func (g *AdmissionController) Cancel(t *Ticket) { g.unhold(t) }

// unhold takes an RPC out of those held, and tells whether it was one.
func (g *AdmissionController) unhold(t *Ticket) bool {
	p := g.tenants[t.Tenant]
	if p == nil {
		return false
	}
	at := slices.Index(p.held, t)
	if at < 0 {
		return false
	}
	p.held = slices.Delete(p.held, at, at+1)
	g.holding--
	g.tidy(t.Tenant, p)
	return true
}

// MayProceed tells whether anything more may be done for an RPC: another call-out, or passing on its answer. Guards against
// drivers that stood still, or were cut off, while their tenants were moved.
func (g *AdmissionController) MayProceed(t *Ticket, now int64) bool {
	seat := g.book.Placement(t.Tenant) // a move there and back has raised its floor
	if now < g.lease && seat.Cell == t.seat.Cell && seat.MinPosition == t.seat.MinPosition {
		return true
	}
	g.lapsed++
	return false
}

// AttemptStarted notes that a call-out is made for an RPC.
func (g *AdmissionController) AttemptStarted(t *Ticket, now int64) {
	t.calls++
	if g.limits != nil {
		g.limits.callOut(t, now)
	}
}

// AttemptEnded notes that a call-out has ended. One that may still run does so until a time, 0 for one that does not.
func (g *AdmissionController) AttemptEnded(t *Ticket, until int64, bytes int, now int64) {
	t.until = max(t.until, until)
	if g.limits != nil {
		g.limits.returned(t, int64(bytes))
	}
}

// Committed notes the position that the answer to a write told.
func (g *AdmissionController) Committed(t *Ticket, position int64) {
	if p := g.tenants[t.Tenant]; p != nil && t.Write {
		p.commit = max(p.commit, position)
	}
}

// Finished notes that an RPC has its final answer.
func (g *AdmissionController) Finished(t *Ticket, served bool, now int64) {
	if !t.let || t.ended {
		return
	}
	t.ended = true
	if g.limits != nil {
		g.limits.ended(t, served, now)
	}
}

// Cell is the cell that an RPC was let into, NoCell for one that was not.
func (t *Ticket) Cell() Cell {
	if !t.let {
		return NoCell
	}
	return t.seat.Cell
}

// MoveConnection notes that a client's connection counts for another cell than before, NoCell for none.
func (g *AdmissionController) MoveConnection(from, to Cell) {
	if g.limits == nil || from == to {
		return
	}
	if from != NoCell {
		g.limits.heads.Add(ClientConnections, from, -1)
	}
	if to != NoCell {
		g.limits.heads.Add(ClientConnections, to, 1)
	}
}

// MostOverConnectionShare is the cell whose clients have to go first where connections are short, NoCell for no matter which. Guards
// the clients of other cells against one cell's that hold connections by hundreds.
func (g *AdmissionController) MostOverConnectionShare() Cell {
	if g.limits == nil {
		return NoCell
	}
	return g.limits.heads.MostOverShare(ClientConnections)
}

// Settle notes that an RPC has ended and nothing is out for it; what it held of an answer has been passed on.
func (g *AdmissionController) Settle(t *Ticket, now int64) {
	p := g.tenants[t.Tenant]
	if !t.let || p == nil || !p.tickets[t] {
		return
	}
	delete(p.tickets, t)
	if g.limits != nil {
		g.limits.settled(t, now)
	}
	if t.Write && t.until > now {
		p.ghosts = append(p.ghosts, t.until)
	}
	g.tidy(t.Tenant, p)
}

// tidy forgets a tenant of whom nothing is here any more.
func (g *AdmissionController) tidy(t Tenant, p *present) {
	if len(p.tickets) == 0 && len(p.held) == 0 && len(p.ghosts) == 0 && p.commit == 0 && g.tenants[t] == p {
		delete(g.tenants, t)
	}
}

// sweepEvery is how many tenants Sweep looks at in one go, at the most.
const sweepEvery = 4096

// Sweep forgets what is over: ghosts whose time is past, and commits of tenants that are not being moved, which are long
// known to all members by the time that a move begins to need them.
func (g *AdmissionController) Sweep(now int64) {
	looked := 0
	for t, p := range g.tenants {
		if looked++; looked > sweepEvery {
			return
		}
		p.lay(now)
		if p.commit != 0 && now-p.commit > commitKept && g.book.Placement(t).Stage == StageIdle {
			p.commit = 0
		}
		g.tidy(t, p)
	}
}

// commitKept is how long a commit is kept for a move that may begin.
const commitKept = 5 * second

func (p *present) lay(now int64) {
	p.ghosts = slices.DeleteFunc(p.ghosts, func(until int64) bool { return until <= now })
}

// ApplyGrant takes in what the coordinator granted to a report that was made at a time. It gives the tenants whose entries
// are new here.
func (g *AdmissionController) ApplyGrant(asked int64, grant Grant) (changed []Tenant, err error) {
	if grant.Lease == 0 || grant.LatestEpoch < g.book.LatestEpoch() {
		g.stale++
		return nil, nil
	}
	for _, e := range grant.Entries {
		applied, err := g.book.Apply(e)
		if err != nil {
			return changed, err
		}
		if applied {
			changed = append(changed, e.Tenant)
		}
	}
	g.lease = max(g.lease, asked+grant.Lease)
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
	for _, k := range held {
		k.seat = g.book.Placement(t)
		if g.holds(k) {
			again := g.present(t)
			again.held = append(again.held, k)
			continue
		}
		g.holding--
		switch {
		case now >= g.lease:
			k.then(g.turn(k, ReasonNoLease))
		case k.seat.Cell == NoCell:
			k.then(g.turn(k, ReasonUnknownCell))
		default:
			k.then(g.let(k, now))
		}
	}
	g.tidy(t, p)
}

const (
	weighEvery = second // loads are reported so far apart
	weighMost  = 512    // of so many tenants
)

// Report is what this driver tells of the moves that it knows to be under way. Reached tells whether the members of a
// group have been seen at a position.
func (g *AdmissionController) Report(now int64, name string, incarnation uint64, reached func(rules.GroupID, int64) bool) Report {
	r := Report{Driver: name, Incarnation: incarnation, Epoch: g.book.LatestEpoch()}
	if g.limits != nil && now-g.weighed >= weighEvery {
		g.weighed, r.Loads = now, g.limits.rates(now, weighMost)
	}
	for _, e := range g.book.Moving() {
		m := MoveReport{Tenant: e.Tenant, Epoch: e.Epoch}
		if p := g.tenants[e.Tenant]; p != nil {
			p.lay(now)
			m.Writes, m.OpenRPCs, m.LastCommit = len(p.ghosts), len(p.ghosts)+len(p.tickets), p.commit
			for t := range p.tickets {
				if t.Write {
					m.Writes++
				}
			}
		}
		if to := g.layout.Find(e.To); e.Stage == StageCatchingUp && to != NoCell {
			m.CaughtUp = true
			for _, group := range g.layout.TenantGroups(e.Tenant, to) {
				m.CaughtUp = m.CaughtUp && reached(group, e.CutoverPosition)
			}
		}
		r.Moves = append(r.Moves, m)
	}
	return r
}

// CatchUpGroups are the groups that moves under way need the positions of.
func (g *AdmissionController) CatchUpGroups() (groups []rules.GroupID) {
	for _, e := range g.book.Moving() {
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
	f := Stats{Rejected: map[string]int64{}, Fenced: g.lapsed, StaleGrants: g.stale, Held: g.holding, Tenants: len(g.tenants),
		Epoch: g.book.LatestEpoch(), Lease: g.lease - now}
	for w := ReasonDriverFull; w < whys; w++ {
		f.Rejected[w.String()] = g.turned[w]
	}
	for c, name := range g.layout.names {
		if g.layout.gone[c] {
			continue
		}
		figures := CellStats{Name: name, Groups: g.layout.groups[c], Weight: g.layout.weight[c], Hall: g.layout.hall[c]}
		if m := g.limits; m != nil {
			at := Cell(c)
			figures.RPCs, figures.Attempts = m.heads.Used(RPCs, at), m.heads.Used(Attempts, at)
			figures.ResponseBytes, figures.ClientConnections = m.heads.Used(ResponseBytes, at), m.heads.Used(ClientConnections, at)
			figures.Share, figures.Limit, figures.ConcurrencyLimit = m.heads.Share(RPCs, at), m.room(at, now), m.pace[c]
			figures.Latency, figures.Tenants = int64(m.took[c]), len(m.shares.cells[c].present)
		}
		f.Cells = append(f.Cells, figures)
	}
	if g.limits != nil {
		f.HeaviestTenants = g.limits.rates(now, heaviest)
	}
	return f
}

// Load is a tenant's RPCs a second here, 0 for one that is not among the heaviest.
func (g *AdmissionController) Load(t Tenant, now int64) float64 {
	if g.limits == nil {
		return 0
	}
	return g.limits.rate(t, now)
}

// Directory is where tenants are, as this driver knows.
func (g *AdmissionController) Directory() *Directory { return g.book }

// Layout is the cells that there are.
func (g *AdmissionController) Layout() *Layout { return g.layout }

// Update takes over a file read again: all of it, or an error and nothing.
func (g *AdmissionController) Update(l *Layout, y *TenantResolver, pins map[Tenant]string, weights map[Tenant]float64) error {
	if err := g.book.Update(l, pins); err != nil {
		return err
	}
	g.tenancy = y
	if g.limits != nil {
		g.limits.Update(g.layout, weights)
	}
	return nil
}
