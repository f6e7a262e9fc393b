package cells

import (
	"math"
	"slices"

	"sedgespread/rules"
)

// Ask is one RPC, as far as its place and its room depend on it. Times are nanoseconds.
type Ask struct {
	Tenant  Tenant
	Key     string
	Write   bool
	Soft    int64 // soft deadline
	Left    int64 // its client's time
	Utility float64
}

// Verdict is what a gate decides on an RPC.
type Verdict struct {
	Group    rules.GroupID
	Floor    int64 // position that a member must have reached to answer it
	Why      Why   // it is turned away, unless WhyNot
	ComeBack int64 // of one that is turned away
}

// Ticket is an RPC that a gate knows of, from Ask to Settle.
type Ticket struct {
	Ask
	at       int64
	seat     Seat
	presence *presence
	then     func(Verdict)
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

// Gate is a driver's side of cells: it lets RPCs in, holds them while their tenant is moved, or turns them away.
type Gate struct {
	layout  *Layout
	tenancy *Tenancy
	book    *Book
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

// NewGate makes a driver's gate, which may hold so many RPCs. Where leased is false the file alone says where tenants are.
func NewGate(b *Book, y *Tenancy, limits *Limits, leased bool, most int) *Gate {
	g := &Gate{layout: b.layout, tenancy: y, book: b, limits: limits, most: most, tenants: map[Tenant]*present{}}
	if !leased {
		g.lease = math.MaxInt64
	}
	return g
}

// Tenant is whom an RPC is done for.
func (g *Gate) Tenant(key, user, database string) Tenant { return g.tenancy.Of(key, user, database) }

// Admit decides on an RPC. Where it is held, decided is false, and then takes the verdict later. Of one that was let in
// and has had no call-out, then may be told that its room is taken back: it is to be turned away. A ticket that was let
// in must be ended and settled.
func (g *Gate) Admit(now int64, a Ask, then func(Verdict)) (t *Ticket, v Verdict, decided bool) {
	t = &Ticket{Ask: a, at: now, seat: g.book.Seat(a.Tenant), then: then}
	switch {
	case now >= g.lease:
		return t, g.turn(t, WhyLease), true
	case t.seat.Cell == NoCell:
		return t, g.turn(t, WhyLost), true
	case g.holds(t) && g.holding >= g.most:
		return t, g.turn(t, WhyMove), true
	case g.holds(t):
		p := g.present(a.Tenant)
		p.held = append(p.held, t)
		g.holding++
		return t, Verdict{}, false
	}
	return t, g.let(t, now), true
}

// holds tells whether an RPC has to wait for its tenant's move.
func (g *Gate) holds(t *Ticket) bool {
	switch t.seat.Stage {
	case Holding, Catching:
		return t.Write
	case Closing:
		return true
	}
	return false
}

// HeldUntil is when an RPC that is held has to be let go of.
func (t *Ticket) HeldUntil() int64 { return t.at + int64(heldShare*float64(t.Left)) }

// let lets an RPC in if there is room.
func (g *Gate) let(t *Ticket, now int64) Verdict {
	if g.limits != nil {
		why := g.limits.admit(t, now)
		if why == WhyDriver && g.reclaim(now) {
			why = g.limits.admit(t, now)
		}
		if why != WhyNot {
			return g.turn(t, why)
		}
		g.limits.enter(t, now)
	}
	t.let = true
	g.present(t.Tenant).tickets[t] = true
	return Verdict{Group: g.layout.Group(t.Tenant, t.Key, t.seat.Cell), Floor: t.seat.Floor}
}

// reclaim takes room back that a cell has borrowed, from the RPC let in last of those that no member got.
func (g *Gate) reclaim(now int64) bool {
	t := g.limits.borrower()
	if t == nil {
		return false
	}
	then := t.then
	t.then = nil
	v := g.turn(t, WhyDriver)
	g.Ended(t, false, now)
	g.Settle(t, now)
	then(v)
	return true
}

// turn turns an RPC away.
func (g *Gate) turn(t *Ticket, why Why) Verdict {
	g.turned[why]++
	v := Verdict{Why: why, ComeBack: shortWait}
	if g.limits != nil && t.seat.Cell != NoCell {
		v.ComeBack = g.limits.comeBack(t.seat.Cell)
	}
	return v
}

func (g *Gate) present(t Tenant) *present {
	p := g.tenants[t]
	if p == nil {
		p = &present{tickets: map[*Ticket]bool{}}
		g.tenants[t] = p
	}
	return p
}

// Expire turns away an RPC that is held, if it still is: it can't be served in its time.
func (g *Gate) Expire(t *Ticket) {
	if g.unhold(t) {
		t.then(g.turn(t, WhyMove))
	}
}

// Leave forgets an RPC that is held, whose client has gone.
func (g *Gate) Leave(t *Ticket) { g.unhold(t) }

// unhold takes an RPC out of those held, and tells whether it was one.
func (g *Gate) unhold(t *Ticket) bool {
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

// May tells whether anything more may be done for an RPC: another call-out, or passing on its answer. Guards against
// drivers that stood still, or were cut off, while their tenants were moved.
func (g *Gate) May(t *Ticket, now int64) bool {
	seat := g.book.Seat(t.Tenant) // a move there and back has raised its floor
	if now < g.lease && seat.Cell == t.seat.Cell && seat.Floor == t.seat.Floor {
		return true
	}
	g.lapsed++
	return false
}

// CallOut notes that a call-out is made for an RPC.
func (g *Gate) CallOut(t *Ticket, now int64) {
	t.calls++
	if g.limits != nil {
		g.limits.callOut(t, now)
	}
}

// Returned notes that a call-out has ended. One that may still run does so until a time, 0 for one that does not.
func (g *Gate) Returned(t *Ticket, until int64, bytes int, now int64) {
	t.until = max(t.until, until)
	if g.limits != nil {
		g.limits.returned(t, int64(bytes))
	}
}

// Committed notes the position that the answer to a write told.
func (g *Gate) Committed(t *Ticket, position int64) {
	if p := g.tenants[t.Tenant]; p != nil && t.Write {
		p.commit = max(p.commit, position)
	}
}

// Ended notes that an RPC has its final answer.
func (g *Gate) Ended(t *Ticket, served bool, now int64) {
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

// Seat notes that a client's connection counts for another cell than before, NoCell for none.
func (g *Gate) Seat(from, to Cell) {
	if g.limits == nil || from == to {
		return
	}
	if from != NoCell {
		g.limits.heads.Use(Sockets, from, -1)
	}
	if to != NoCell {
		g.limits.heads.Use(Sockets, to, 1)
	}
}

// Crowded is the cell whose clients have to go first where connections are short, NoCell for no matter which. Guards
// the clients of other cells against one cell's that hold connections by hundreds.
func (g *Gate) Crowded() Cell {
	if g.limits == nil {
		return NoCell
	}
	return g.limits.heads.Over(Sockets)
}

// Settle notes that an RPC has ended and nothing is out for it; what it held of an answer has been passed on.
func (g *Gate) Settle(t *Ticket, now int64) {
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
func (g *Gate) tidy(t Tenant, p *present) {
	if len(p.tickets) == 0 && len(p.held) == 0 && len(p.ghosts) == 0 && p.commit == 0 && g.tenants[t] == p {
		delete(g.tenants, t)
	}
}

// sweepEvery is how many tenants Sweep looks at in one go, at the most.
const sweepEvery = 4096

// Sweep forgets what is over: ghosts whose time is past, and commits of tenants that are not being moved, which are long
// known to all members by the time that a move begins to need them.
func (g *Gate) Sweep(now int64) {
	looked := 0
	for t, p := range g.tenants {
		if looked++; looked > sweepEvery {
			return
		}
		p.lay(now)
		if p.commit != 0 && now-p.commit > commitKept && g.book.Seat(t).Stage == Resting {
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

// Granted takes in what the coordinator granted to a report that was made at a time. It gives the tenants whose entries
// are new here.
func (g *Gate) Granted(asked int64, grant Grant) (changed []Tenant, err error) {
	if grant.Lease == 0 || grant.Newest < g.book.Newest() {
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

// Release goes on with what is held for a tenant, as far as its move allows now.
func (g *Gate) Release(t Tenant, now int64) {
	p := g.tenants[t]
	if p == nil {
		return
	}
	held := p.held
	p.held = nil
	for _, k := range held {
		k.seat = g.book.Seat(t)
		if g.holds(k) {
			again := g.present(t)
			again.held = append(again.held, k)
			continue
		}
		g.holding--
		switch {
		case now >= g.lease:
			k.then(g.turn(k, WhyLease))
		case k.seat.Cell == NoCell:
			k.then(g.turn(k, WhyLost))
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
func (g *Gate) Report(now int64, name string, incarnation uint64, reached func(rules.GroupID, int64) bool) Report {
	r := Report{Driver: name, Incarnation: incarnation, Epoch: g.book.Newest()}
	if g.limits != nil && now-g.weighed >= weighEvery {
		g.weighed, r.Loads = now, g.limits.rates(now, weighMost)
	}
	for _, e := range g.book.Moving() {
		m := MoveReport{Tenant: e.Tenant, Epoch: e.Epoch}
		if p := g.tenants[e.Tenant]; p != nil {
			p.lay(now)
			m.Writes, m.Open, m.Commit = len(p.ghosts), len(p.ghosts)+len(p.tickets), p.commit
			for t := range p.tickets {
				if t.Write {
					m.Writes++
				}
			}
		}
		if to := g.layout.Find(e.To); e.Stage == Catching && to != NoCell {
			m.Reached = true
			for _, group := range g.layout.Shard(e.Tenant, to) {
				m.Reached = m.Reached && reached(group, e.Cut)
			}
		}
		r.Moves = append(r.Moves, m)
	}
	return r
}

// Targets are the groups that moves under way need the positions of.
func (g *Gate) Targets() (groups []rules.GroupID) {
	for _, e := range g.book.Moving() {
		if to := g.layout.Find(e.To); e.Stage == Catching && to != NoCell {
			groups = append(groups, g.layout.Shard(e.Tenant, to)...)
		}
	}
	return groups
}

// Figures are what a gate has counted and holds.
type Figures struct {
	Turned  map[string]int64 `json:"turned"`
	Lapsed  int64            `json:"lapsed"` // call-outs and answers given up because the lease had run out or the tenant had moved
	Stale   int64            `json:"stale"`  // grants older than what is known
	Held    int              `json:"held"`
	Tenants int              `json:"tenants"` // that have RPCs here
	Epoch   Epoch            `json:"epoch"`
	Lease   int64            `json:"lease_ns"` // what is left of it
	Cells   []CellFigures    `json:"cells"`
	Heavy   []Weighed        `json:"heavy"`
}

// CellFigures are those of one cell at this driver.
type CellFigures struct {
	Name     string  `json:"name"`
	Groups   Groups  `json:"groups"`
	Weight   float64 `json:"weight"`
	Hall     string  `json:"hall,omitempty"`
	RPCs     int64   `json:"rpcs"`
	Share    int64   `json:"share"`
	Limit    int64   `json:"limit"`
	Pace     float64 `json:"pace"`
	CallOuts int64   `json:"call_outs"`
	Answers  int64   `json:"answer_bytes"`
	Sockets  int64   `json:"client_sockets"`
	Took     int64   `json:"took_ns"`
	Crowd    int     `json:"tenants"`
}

// Figures tells what this gate has counted and holds, with the heaviest tenants.
func (g *Gate) Figures(now int64, heaviest int) Figures {
	f := Figures{Turned: map[string]int64{}, Lapsed: g.lapsed, Stale: g.stale, Held: g.holding, Tenants: len(g.tenants),
		Epoch: g.book.Newest(), Lease: g.lease - now}
	for w := WhyDriver; w < whys; w++ {
		f.Turned[w.String()] = g.turned[w]
	}
	for c, name := range g.layout.names {
		if g.layout.gone[c] {
			continue
		}
		figures := CellFigures{Name: name, Groups: g.layout.groups[c], Weight: g.layout.weight[c], Hall: g.layout.hall[c]}
		if m := g.limits; m != nil {
			at := Cell(c)
			figures.RPCs, figures.CallOuts = m.heads.Used(RPCs, at), m.heads.Used(CallOuts, at)
			figures.Answers, figures.Sockets = m.heads.Used(Answers, at), m.heads.Used(Sockets, at)
			figures.Share, figures.Limit, figures.Pace = m.heads.Share(RPCs, at), m.room(at, now), m.pace[c]
			figures.Took, figures.Crowd = int64(m.took[c]), len(m.shares.cells[c].present)
		}
		f.Cells = append(f.Cells, figures)
	}
	if g.limits != nil {
		f.Heavy = g.limits.rates(now, heaviest)
	}
	return f
}

// Load is a tenant's RPCs a second here, 0 for one that is not among the heaviest.
func (g *Gate) Load(t Tenant, now int64) float64 {
	if g.limits == nil {
		return 0
	}
	return g.limits.rate(t, now)
}

// Book is where tenants are, as this driver knows.
func (g *Gate) Book() *Book { return g.book }

// Layout is the cells that there are.
func (g *Gate) Layout() *Layout { return g.layout }

// Become takes over a file read again: all of it, or an error and nothing.
func (g *Gate) Become(l *Layout, y *Tenancy, pins map[Tenant]string, weights map[Tenant]float64) error {
	if err := g.book.Become(l, pins); err != nil {
		return err
	}
	g.tenancy = y
	if g.limits != nil {
		g.limits.Divide(g.layout, weights)
	}
	return nil
}
