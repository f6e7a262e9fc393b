package cells

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sedgespread/rules"
)

// walk is a small world in which a tenant is moved: a coordinator that may crash at each record, drivers that may crash
// or stand still, messages that are late, lost or come twice, and a store that shows each cell its own writes. What
// happens next is drawn.
type walk struct {
	draw    func(n int) int // from 0 to n-1
	bug     bug
	now     int64
	journal []Record
	c       *Coordinator
	drivers []*walker
	reports []sentReport
	grants  []sentGrant
	store   []map[int]bool // by cell, the writes that it shows
	flights []*flight
	writes  int
	starts  uint64
	acked   map[int]bool
	broken  string
	visited map[string]bool
}

// bug is what is planted.
type bug int

const (
	sound     bug = iota
	oldEpochs     // drivers act on entries that are older than what they know
	noLease       // drivers act though their lease has run out
	earlyTurn     // the coordinator does not wait for drivers that it has not heard from lately
)

// walker is a driver.
type walker struct {
	name        string
	gate        *AdmissionController
	incarnation uint64
}

type sentReport struct {
	Report
	asked int64
}

type sentGrant struct {
	to          *walker
	incarnation uint64
	asked       int64
	grant       Grant
}

// flight is an RPC that was let in.
type flight struct {
	at       *walker
	gate     *AdmissionController
	ticket   *Ticket
	cell     int
	write    int // its number, 0 for a read
	ran      bool
	shows    map[int]bool // what a read found
	owed     map[int]bool // writes acknowledged before it was asked
	until    int64
	returned bool
}

const (
	walkLease = 250 * ms
	walkHold  = 2 * second
	walkLeft  = 60 * ms
	walkCells = 3
)

func newWalk(b bug, draw func(n int) int) *walk {
	w := &walk{draw: draw, bug: b, now: second, acked: map[int]bool{}, visited: map[string]bool{}}
	for range walkCells {
		w.store = append(w.store, map[int]bool{})
	}
	w.restart()
	for i := range 3 {
		w.drivers = append(w.drivers, &walker{name: fmt.Sprint("d", i)})
		w.begin(w.drivers[i])
	}
	return w
}

func walkBook() *Directory {
	return NewDirectory(layoutOf(1, 1, 1, 1, 1), map[Tenant]Cell{"t": 0})
}

// restart starts the coordinator over what was written down.
func (w *walk) restart() {
	c, err := NewCoordinator(w.now, walkBook(), walkLease, walkHold, 0, false, w.journal)
	if err != nil {
		w.broken = err.Error()
		return
	}
	w.c = c
}

// begin starts a driver anew.
func (w *walk) begin(d *walker) {
	w.starts++
	d.incarnation = w.starts
	d.gate = NewAdmissionController(walkBook(), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), nil, true, 4)
	if w.bug == noLease {
		d.gate.lease = math.MaxInt64
	}
}

// write writes records down, or crashes before one of them.
func (w *walk) write(records []Record) bool {
	for _, r := range records {
		if w.draw(25) == 0 {
			w.restart()
			return false
		}
		w.journal = append(w.journal, r)
		if w.draw(25) == 0 { // after it is written, and before it counts
			w.restart()
			w.switched(r)
			return false
		}
		if err := w.c.Apply(w.now, r); err != nil {
			w.broken = err.Error()
			return false
		}
		w.switched(r)
	}
	return true
}

// switched lets the store show the new cell what the old one had up to the cut. Writes are dated by their number's time.
func (w *walk) switched(r Record) {
	if r.Entry != nil && r.Entry.Stage == StageSwitched {
		to, from := w.cell(r.Entry.Cell), w.cell(r.Entry.To)
		maps.Copy(w.store[to], w.store[from])
	}
}

func (w *walk) cell(name string) int { return slices.Index([]string{"c0", "c1", "c2"}, name) }

// step does one thing.
func (w *walk) step() {
	d := w.drivers[w.draw(len(w.drivers))]
	switch w.draw(16) {
	case 0, 1:
		w.now += int64(w.draw(15)) * ms
		if w.draw(30) == 0 {
			w.now += 300 * ms // all stand still
		}
	case 2, 3, 4:
		r := d.gate.Report(w.now, d.name, d.incarnation, func(rules.GroupID, int64) bool { return w.draw(2) == 0 })
		w.reports = append(w.reports, sentReport{r, w.now})
		if w.draw(3) > 0 {
			w.deliver(len(w.reports) - 1)
		}
		if w.draw(2) == 0 {
			w.take()
		}
	case 5:
		if len(w.reports) > 0 {
			w.deliver(w.draw(len(w.reports)))
		}
	case 6, 7:
		w.take()
	case 8:
		if records := w.c.Step(w.now); len(records) > 0 {
			w.write(records)
		}
	case 9:
		w.order()
	case 10:
		switch w.draw(12) {
		case 0:
			w.restart()
		case 1:
			w.begin(d)
		case 2: // the earlier start runs on
			if len(w.drivers) < 6 {
				w.drivers = append(w.drivers, &walker{name: d.name})
				w.begin(w.drivers[len(w.drivers)-1])
			}
		}
	case 11, 12:
		w.ask(d, w.draw(2) == 0)
	case 13, 14, 15:
		w.fly()
	}
	w.note()
}

// order asks for a move or calls one off.
func (w *walk) order() {
	var records []Record
	var err error
	if w.draw(40) == 0 {
		records, err = w.c.Abort(w.now, "t", "walk")
	} else {
		records, err = w.c.Move(w.now, "t", fmt.Sprint("c", w.draw(walkCells)), "walk")
	}
	if err == nil {
		w.write(records)
	}
}

// deliver lets the coordinator have a report, which may come again.
func (w *walk) deliver(i int) {
	r := w.reports[i]
	if w.draw(5) > 0 {
		w.reports = slices.Delete(w.reports, i, i+1)
	}
	records, err := w.c.Renew(r.Report)
	if err != nil || !w.write(records) && len(records) > 0 {
		return
	}
	if w.bug == earlyTurn {
		for _, h := range w.c.leases.drivers {
			h.until = min(h.until, w.now-1)
		}
	}
	grant := w.c.Grant(w.now, r.Report)
	for _, d := range w.drivers {
		if d.name == r.Driver && d.incarnation == r.Incarnation && grant.Lease > 0 {
			w.grants = append(w.grants, sentGrant{d, r.Incarnation, r.asked, grant})
		}
	}
}

// take lets a driver have a grant that was sent to it.
func (w *walk) take() {
	if len(w.grants) == 0 {
		return
	}
	i := len(w.grants) - 1
	if w.draw(4) == 0 {
		i = w.draw(len(w.grants))
	}
	g := w.grants[i]
	if w.draw(5) > 0 {
		w.grants = slices.Delete(w.grants, i, i+1)
	}
	if g.incarnation != g.to.incarnation {
		return
	}
	changed, err := g.to.gate.ApplyGrant(g.asked, g.grant)
	if err != nil {
		w.broken = err.Error()
	}
	if w.bug == oldEpochs {
		for _, e := range g.grant.Entries {
			g.to.gate.book.entries[e.Tenant] = e
			changed = append(changed, e.Tenant)
		}
	}
	for _, t := range changed {
		g.to.gate.ResumeHeld(t, w.now)
	}
}

// ask asks a driver for a write or a read.
func (w *walk) ask(d *walker, write bool) {
	f := &flight{at: d, gate: d.gate, owed: maps.Clone(w.acked), until: w.now + walkLeft}
	if write {
		w.writes++
		f.write = w.writes
	}
	let := func(v Decision) {
		if v.Reason == ReasonNone {
			f.cell = int(v.Group) - 1
			f.gate.AttemptStarted(f.ticket, w.now)
			w.flights = append(w.flights, f)
		}
	}
	ticket, v, decided := d.gate.Admit(w.now, Request{Tenant: "t", Key: "k", Write: write, TimeLeft: walkLeft}, let)
	f.ticket = ticket
	if decided {
		let(v)
	}
}

// fly takes an RPC on: its call-out runs in its cell, its answer comes or does not, its time runs out.
func (w *walk) fly() {
	if len(w.flights) == 0 {
		return
	}
	i := w.draw(len(w.flights))
	f := w.flights[i]
	alive := f.gate == f.at.gate
	switch {
	case !f.ran && w.now < f.until && w.draw(4) > 0:
		f.ran = true
		if f.write > 0 {
			w.store[f.cell][f.write] = true
		} else {
			f.shows = maps.Clone(w.store[f.cell])
		}
		return
	case f.ran && alive && w.draw(4) > 0:
		w.answer(f)
	case w.now < f.until:
		return
	case alive: // it is not waited for any longer
		f.gate.AttemptEnded(f.ticket, f.until, 0, w.now)
		f.gate.Finished(f.ticket, false, w.now)
		f.gate.Settle(f.ticket, w.now)
	}
	w.flights = slices.Delete(w.flights, i, i+1)
}

// answer passes an answer on if the gate lets it.
func (w *walk) answer(f *flight) {
	f.gate.AttemptEnded(f.ticket, 0, 0, w.now)
	if f.gate.MayProceed(f.ticket, w.now) {
		if f.write > 0 {
			f.gate.Committed(f.ticket, w.now)
			w.acked[f.write] = true
		}
		for id := range f.owed {
			if f.write == 0 && !f.shows[id] {
				w.broken = fmt.Sprintf("a read in cell %d does not show write %d", f.cell, id)
			}
		}
	}
	f.gate.Finished(f.ticket, true, w.now)
	f.gate.Settle(f.ticket, w.now)
}

// note checks that the cell where the tenant is shows all that was acknowledged, and what states were met.
func (w *walk) note() {
	seat := w.c.book.Placement("t")
	for id := range w.acked {
		if !w.store[seat.Cell][id] {
			w.broken = fmt.Sprintf("acknowledged write %d is not in cell %d, where the tenant is", id, seat.Cell)
		}
	}
	state := fmt.Sprint(seat.Stage)
	for _, d := range w.drivers {
		known := d.gate.book.Placement("t")
		state += fmt.Sprint(" ", known.Stage, known.Cell == seat.Cell, known.Epoch == seat.Epoch, w.now < d.gate.lease, len(d.gate.tenants) > 0)
	}
	w.visited[state] = true
}

const walkSteps = 900

// Moves keep their promises whatever is drawn: nothing acknowledged is lost, no read is behind.
func TestMovesOverInterleavings(t *testing.T) {
	visited, moved := map[string]bool{}, 0
	for seed := range int64(400) {
		w := newWalk(sound, rand.New(rand.NewSource(seed)).Intn)
		for range walkSteps {
			w.step()
			require.Empty(t, w.broken, "seed %d", seed)
		}
		maps.Copy(visited, w.visited)
		for _, r := range w.journal {
			if r.Entry != nil && r.Entry.Stage == StageSwitched {
				moved++
			}
		}
	}
	require.Greater(t, moved, 100)
	require.Greater(t, len(visited), 2000)
	t.Logf("%d states, %d moves switched", len(visited), moved)
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk(sound, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 150 {
			w.step()
			require.Empty(t, w.broken)
		}
	})
}

// The walk must be able to fail: each planted bug is found.
func TestTheWalkFindsPlantedBugs(t *testing.T) {
	names := []string{oldEpochs: "older epochs are acted on", noLease: "leases do not bind", earlyTurn: "the coordinator does not wait"}
	for b := oldEpochs; b <= earlyTurn; b++ {
		name := names[b]
		found := int64(-1)
		for seed := int64(0); seed < 1500 && found < 0; seed++ {
			w := newWalk(b, rand.New(rand.NewSource(seed)).Intn)
			for i := 0; i < 2*walkSteps && w.broken == ""; i++ {
				w.step()
			}
			if w.broken != "" {
				found = seed
				t.Logf("%s: seed %d: %s", name, seed, w.broken)
			}
		}
		require.GreaterOrEqual(t, found, int64(0), name)
	}
}

// Each row of the table at Stage, and no other.
func TestStageTransitions(t *testing.T) {
	next := map[Stage][]Stage{StageIdle: {StagePrepared}, StagePrepared: {StageHoldingWrites, StageRollingBack}, StageHoldingWrites: {StageCatchingUp, StageRollingBack},
		StageCatchingUp: {StageHoldingAll, StageRollingBack}, StageHoldingAll: {StageSwitched, StageRollingBack}, StageSwitched: {StageIdle}, StageRollingBack: {StageIdle}}
	for from := StageIdle; from <= StageRollingBack; from++ {
		for to := StageIdle; to <= StageRollingBack; to++ {
			b := walkBook()
			if from != StageIdle {
				b.entries["t"] = Entry{Epoch: 5, Tenant: "t", Cell: "c0", Stage: from}
				b.newest = 5
			}
			require.Equal(t, slices.Contains(next[from], to), b.follows(Entry{Epoch: 6, Tenant: "t", Cell: "c0", Stage: to}), "%v to %v", from, to)
			require.False(t, b.follows(Entry{Epoch: 5, Tenant: "t", Cell: "c0", Stage: to}) && from != StageIdle, "an epoch that is not newer")
		}
	}
}

// A move that goes right, step by step, and what each step waits for.
func TestMoveStages(t *testing.T) {
	b := walkBook()
	c, err := NewCoordinator(0, b, second, 2*second, 0, true, []Record{{Driver: "a"}, {Driver: "b"}})
	require.NoError(t, err)
	now := int64(0)
	do := func(records []Record, err error) {
		require.NoError(t, err)
		for _, r := range records {
			require.NoError(t, c.Apply(now, r))
		}
	}
	stage := func() Stage { return b.entries["t"].Stage }
	report := func(name string, change func(*MoveReport)) {
		e := b.entries["t"]
		m := MoveReport{Tenant: "t", Epoch: e.Epoch}
		if change != nil {
			change(&m)
		}
		c.Grant(now, Report{Driver: name, Epoch: b.newest, Moves: []MoveReport{m}})
	}
	steps := func() Stage {
		now += ms
		for records := c.Step(now); len(records) > 0; records = c.Step(now) {
			do(records, nil)
		}
		return stage()
	}
	_, err = c.Move(now, "t", "c9", "")
	require.ErrorContains(t, err, `no cell "c9"`)
	_, err = c.Move(now, "t", "c0", "")
	require.ErrorContains(t, err, "already")
	do(c.Move(now, "t", "c1", "test"))
	_, err = c.Move(now, "t", "c2", "")
	require.ErrorContains(t, err, "is being moved")
	report("a", nil)
	report("b", nil)
	require.Equal(t, StagePrepared, steps(), "the store has not begun to fill")
	c.MarkFilled("t", b.newest)
	require.Equal(t, StageHoldingWrites, steps())
	report("a", nil)
	require.Equal(t, StageHoldingWrites, steps(), "b has not said that it holds")
	report("b", func(m *MoveReport) { m.Writes = 1 })
	require.Equal(t, StageHoldingWrites, steps(), "b has a write in flight")
	report("b", func(m *MoveReport) { m.LastCommit = now + 5*ms })
	held := now
	require.Equal(t, StageCatchingUp, steps())
	require.Equal(t, held+5*ms, b.entries["t"].CutoverPosition, "past what b was told, though its clock is ahead")
	report("a", nil)
	require.Equal(t, StageCatchingUp, steps())
	report("a", func(m *MoveReport) { m.CaughtUp = true })
	require.Equal(t, StageHoldingAll, steps())
	report("a", nil)
	report("b", func(m *MoveReport) { m.OpenRPCs = 1 })
	require.Equal(t, StageHoldingAll, steps())
	now += second / 2
	report("a", nil)
	now += second/2 + ms // b's lease runs out
	require.Equal(t, StageSwitched, steps())
	e := b.entries["t"]
	require.Equal(t, []any{"c1", "c0", e.CutoverPosition}, []any{e.Cell, e.To, e.MinPosition})
	_, err = c.Abort(now, "t", "")
	require.ErrorContains(t, err, "has been switched")
	_, err = c.Move(now, "t", "c0", "")
	require.ErrorContains(t, err, "is being moved", "not back before it has settled")
	c.MarkFilled("t", b.newest)
	require.Equal(t, StageSwitched, steps(), "a does not act on it yet")
	report("a", nil)
	require.Equal(t, StageIdle, steps())
	do(c.Move(now, "t", "c2", "test"))
	do(c.Abort(now, "t", "test"))
	require.Equal(t, StageRollingBack, stage())
	report("a", nil)
	c.MarkFilled("t", b.newest)
	require.Equal(t, StageIdle, steps())
	require.Equal(t, "c1", b.entries["t"].Cell)
	require.NotZero(t, b.entries["t"].MinPosition, "what it must be read from stays")
	_, err = c.Abort(now, "t", "")
	require.ErrorContains(t, err, "is not being moved")
}

// A move that holds writes too long goes back by itself.
func TestMoveRollsBackAfterMaxHold(t *testing.T) {
	b := walkBook()
	c, err := NewCoordinator(0, b, second, second, 0, false, nil)
	require.NoError(t, err)
	records, err := c.Move(0, "t", "c1", "")
	require.NoError(t, err)
	require.NoError(t, c.Apply(0, records[0]))
	for _, at := range []int64{0, ms, 2 * ms, 5 * second} {
		for records := c.Step(at); len(records) > 0; records = c.Step(at) {
			require.NoError(t, c.Apply(0, records[0]))
		}
	}
	require.Equal(t, StageIdle, b.entries["t"].Stage)
	require.Equal(t, "c0", b.entries["t"].Cell)
}

// Guards against an instance that stood still, or lost touch, while its tenant went elsewhere.
func TestAdmissionDuringMove(t *testing.T) {
	g := NewAdmissionController(walkBook(), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), nil, true, 1)
	var later []Decision
	admit := func(now int64, write bool) (*Ticket, Decision, bool) {
		return g.Admit(now, Request{Tenant: "t", Key: "k", Write: write, TimeLeft: second}, func(v Decision) { later = append(later, v) })
	}
	_, v, _ := admit(0, true)
	require.Equal(t, ReasonNoLease, v.Reason, "without a lease nothing is known")
	grant := func(asked int64, e ...Entry) {
		newest := g.book.newest
		for _, n := range e {
			newest = max(newest, n.Epoch)
		}
		_, err := g.ApplyGrant(asked, Grant{Lease: second, LatestEpoch: newest, Entries: e})
		require.NoError(t, err)
		g.ResumeHeld("t", asked)
	}
	grant(0)
	early, v, _ := admit(ms, true)
	require.Equal(t, ReasonNone, v.Reason)
	require.EqualValues(t, 1, v.Group)
	require.True(t, g.MayProceed(early, second-1))
	require.False(t, g.MayProceed(early, second), "its lease has run out")
	grant(second, Entry{Epoch: 4, Tenant: "t", Cell: "c0", Stage: StageHoldingWrites, To: "c1"})
	require.True(t, g.MayProceed(early, second), "it goes on where it is")
	r := g.Report(second, "a", 1, nil)
	require.Equal(t, 1, r.Moves[0].Writes)
	g.AttemptEnded(early, second+50*ms, 0, second)
	g.Finished(early, false, second)
	g.Settle(early, second)
	require.Equal(t, 1, g.Report(second, "a", 1, nil).Moves[0].Writes, "it may still run")
	require.Zero(t, g.Report(second+50*ms, "a", 1, nil).Moves[0].Writes)
	_, v, decided := admit(second, false)
	require.True(t, decided && v.Reason == ReasonNone, "reads go on")
	_, _, decided = admit(second, true)
	require.False(t, decided)
	_, v, _ = admit(second, true)
	require.Equal(t, ReasonMoving, v.Reason, "no more are held than may be")
	_, err := g.ApplyGrant(second, Grant{Lease: 10 * second, LatestEpoch: 3, Entries: []Entry{{Epoch: 3, Tenant: "t", Cell: "c2"}}})
	require.NoError(t, err)
	require.Equal(t, StageHoldingWrites, g.book.Placement("t").Stage, "an older grant changes nothing")
	require.Equal(t, 2*second, g.lease)
	grant(second, Entry{Epoch: 6, Tenant: "t", Cell: "c1", Stage: StageSwitched, To: "c0", MinPosition: 77})
	require.Equal(t, []Decision{{Group: 2, MinPosition: 77}}, later)
	require.False(t, g.MayProceed(early, second), "its tenant is elsewhere")
	grant(second, Entry{Epoch: 7, Tenant: "t", Cell: "c0", Stage: StageHoldingAll, To: "c1"})
	later = nil
	tk, _, decided := admit(second, false)
	require.False(t, decided, "reads wait too")
	g.Expire(tk)
	g.Expire(tk)
	require.Equal(t, []Decision{{Reason: ReasonMoving, RetryAfter: shortWait}}, later, "told once")
	tk, _, _ = admit(second, true)
	g.Cancel(tk)
	g.Expire(tk)
	require.Len(t, later, 1, "its client has gone")
	require.Zero(t, g.holding)
}

// Guards against an earlier start of a name that may still act when the later one has said that it does.
func TestMoveWaitsForPredecessorLease(t *testing.T) {
	l := leases{lease: second, drivers: map[string]*holder{}}
	e := Entry{Tenant: "t", Epoch: 1}
	say := func(now int64, incarnation uint64) {
		require.True(t, l.take(now, Report{Driver: "a", Incarnation: incarnation, Epoch: 1, Moves: []MoveReport{{Tenant: "t", Epoch: 1}}}))
	}
	say(1, 1)
	require.True(t, l.all(1, e, acts))
	say(second/2, 2)
	require.False(t, l.all(second, e, acts))
	say(second, 2)
	require.True(t, l.all(second+second/100, e, acts))
}

// Guards against a coordinator that takes over, hears of a name's later start alone, and does not know that the one before it
// gave an earlier start a lease that still holds.
func TestPredecessorLeaseSurvivesTakeover(t *testing.T) {
	first, err := NewCoordinator(0, walkBook(), second, second, 0, false, nil)
	require.NoError(t, err)
	next, err := NewCoordinator(0, walkBook(), second, second, 0, false, nil)
	require.NoError(t, err)
	now := second
	ask := func(c *Coordinator, start uint64) int64 {
		records, err := c.Renew(Report{Driver: "a", Incarnation: start})
		require.NoError(t, err)
		if len(records) > 0 { // its fellows have it first, and the earlier start asks once more
			require.NoError(t, next.Apply(now, records[0]))
			if start > 1 {
				require.Zero(t, c.Grant(now, Report{Driver: "a", Incarnation: start - 1}).Lease, "a later start is being written down")
			}
			require.NoError(t, c.Apply(now, records[0]))
		}
		return c.Grant(now, Report{Driver: "a", Incarnation: start, Epoch: c.book.newest}).Lease
	}
	require.NotZero(t, ask(first, 1))
	require.NotZero(t, ask(first, 2))
	now += second / 4
	next.TakeOver(now)
	require.NotZero(t, ask(next, 2))
	records, err := next.Move(now, "t", "c1", "")
	require.NoError(t, err)
	require.NoError(t, next.Apply(now, records[0]))
	says := func() []Record {
		next.Grant(now, Report{Driver: "a", Incarnation: 2, Epoch: next.book.newest, Moves: []MoveReport{{Tenant: "t", Epoch: next.book.newest}}})
		return next.Step(now)
	}
	require.Empty(t, says(), "the first start may still act on the book before")
	past := next.Snapshot()
	require.Equal(t, []string{"a"}, past.WithPredecessors)
	now += second
	later := says()
	require.NotEmpty(t, later)
	require.NoError(t, next.Apply(now, later[0]))
	for records := next.passedOnly(now); len(records) > 0; records = next.passedOnly(now) {
		require.NoError(t, next.Apply(now, records[0]))
	}
	require.Empty(t, next.Snapshot().WithPredecessors, "it is written down that the first is over")
	third, err := NewCoordinator(now, walkBook(), second, second, 0, false, nil)
	require.NoError(t, err)
	third.Restore(now, past)
	require.Equal(t, past.WithPredecessors, third.Snapshot().WithPredecessors)
}

func (c *Coordinator) passedOnly(now int64) []Record { return c.leases.passed(now) }
