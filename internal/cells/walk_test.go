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

// simulation is a small world in which a tenant is moved: a coordinator that may crash at each record, drivers that may crash
// or stand still, messages that are late, lost or come twice, and a store that shows each cell its own writes. What
// happens next is drawn.
type simulation struct {
	random       func(n int) int // from 0 to n-1
	bug          plantedBug
	now          int64
	journal      []Record
	coordinator  *Coordinator
	drivers      []*simulatedDriver
	reports      []sentReport
	grants       []sentGrant
	store        []map[int]bool // by cell, the writes that it shows
	rpcs         []*simulatedRPC
	writes       int
	incarnations uint64
	acknowledged map[int]bool
	violation    string
	visited      map[string]bool
}

// plantedBug is what is planted.
type plantedBug int

const (
	noBug                 plantedBug = iota
	bugOldEpochs                     // drivers act on entries that are older than what they know
	bugIgnoresLease                  // drivers act though their lease has run out
	bugSkipsSilentDrivers            // the coordinator does not wait for drivers that it has not heard from lately
)

// simulatedDriver is a driver.
type simulatedDriver struct {
	name        string
	controller  *AdmissionController
	incarnation uint64
}

type sentReport struct {
	Report
	requestedAt int64
}

type sentGrant struct {
	to          *simulatedDriver
	incarnation uint64
	requestedAt int64
	grant       Grant
}

// simulatedRPC is an RPC that was let in.
type simulatedRPC struct {
	driver     *simulatedDriver
	controller *AdmissionController
	ticket     *Ticket
	cell       int
	writeID    int // its number, 0 for a read
	ran        bool
	readResult map[int]bool // what a read found
	mustSee    map[int]bool // writes acknowledged before it was asked
	deadline   int64
	returned   bool
}

const (
	simLease      = 250 * ms
	simMaxHold    = 2 * second
	simRPCTimeout = 60 * ms
	simCells      = 3
)

func newSimulation(planted plantedBug, random func(n int) int) *simulation {
	w := &simulation{random: random, bug: planted, now: second, acknowledged: map[int]bool{}, visited: map[string]bool{}}
	for range simCells {
		w.store = append(w.store, map[int]bool{})
	}
	w.restartCoordinator()
	for i := range 3 {
		w.drivers = append(w.drivers, &simulatedDriver{name: fmt.Sprint("d", i)})
		w.startDriver(w.drivers[i])
	}
	return w
}

func newTestDirectory() *Directory {
	return NewDirectory(newTestLayout(1, 1, 1, 1, 1), map[Tenant]Cell{"t": 0})
}

// restartCoordinator starts the coordinator over what was written down.
func (w *simulation) restartCoordinator() {
	c, err := NewCoordinator(w.now, newTestDirectory(), simLease, simMaxHold, 0, false, w.journal)
	if err != nil {
		w.violation = err.Error()
		return
	}
	w.coordinator = c
}

// startDriver starts a driver anew.
func (w *simulation) startDriver(d *simulatedDriver) {
	w.incarnations++
	d.incarnation = w.incarnations
	d.controller = NewAdmissionController(newTestDirectory(), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), nil, true, 4)
	if w.bug == bugIgnoresLease {
		d.controller.leaseExpiresAt = math.MaxInt64
	}
}

// writeRecords writes records down, or crashes before one of them.
func (w *simulation) writeRecords(records []Record) bool {
	for _, r := range records {
		if w.random(25) == 0 {
			w.restartCoordinator()
			return false
		}
		w.journal = append(w.journal, r)
		if w.random(25) == 0 { // after it is written, and before it counts
			w.restartCoordinator()
			w.copyOnSwitch(r)
			return false
		}
		if err := w.coordinator.Apply(w.now, r); err != nil {
			w.violation = err.Error()
			return false
		}
		w.copyOnSwitch(r)
	}
	return true
}

// copyOnSwitch lets the store show the new cell what the old one had up to the cut. Writes are dated by their number's time.
func (w *simulation) copyOnSwitch(r Record) {
	if r.Entry != nil && r.Entry.Stage == StageSwitched {
		to, from := w.cellIndex(r.Entry.Cell), w.cellIndex(r.Entry.To)
		maps.Copy(w.store[to], w.store[from])
	}
}

func (w *simulation) cellIndex(name string) int {
	return slices.Index([]string{"c0", "c1", "c2"}, name)
}

// step does one thing.
func (w *simulation) step() {
	driver := w.drivers[w.random(len(w.drivers))]
	switch w.random(16) {
	case 0, 1:
		w.now += int64(w.random(15)) * ms
		if w.random(30) == 0 {
			w.now += 300 * ms // all stand still
		}
	case 2, 3, 4:
		r := driver.controller.Report(w.now, driver.name, driver.incarnation, func(rules.GroupID, int64) bool { return w.random(2) == 0 })
		w.reports = append(w.reports, sentReport{r, w.now})
		if w.random(3) > 0 {
			w.deliverReport(len(w.reports) - 1)
		}
		if w.random(2) == 0 {
			w.deliverGrant()
		}
	case 5:
		if len(w.reports) > 0 {
			w.deliverReport(w.random(len(w.reports)))
		}
	case 6, 7:
		w.deliverGrant()
	case 8:
		if records := w.coordinator.Step(w.now); len(records) > 0 {
			w.writeRecords(records)
		}
	case 9:
		w.requestMove()
	case 10:
		switch w.random(12) {
		case 0:
			w.restartCoordinator()
		case 1:
			w.startDriver(driver)
		case 2: // the earlier start runs on
			if len(w.drivers) < 6 {
				w.drivers = append(w.drivers, &simulatedDriver{name: driver.name})
				w.startDriver(w.drivers[len(w.drivers)-1])
			}
		}
	case 11, 12:
		w.sendRPC(driver, w.random(2) == 0)
	case 13, 14, 15:
		w.advanceRPC()
	}
	w.checkInvariants()
}

// requestMove asks for a move or calls one off.
func (w *simulation) requestMove() {
	var records []Record
	var err error
	if w.random(40) == 0 {
		records, err = w.coordinator.Abort(w.now, "t", "walk")
	} else {
		records, err = w.coordinator.Move(w.now, "t", fmt.Sprint("c", w.random(simCells)), "walk")
	}
	if err == nil {
		w.writeRecords(records)
	}
}

// deliverReport lets the coordinator have a report, which may come again.
func (w *simulation) deliverReport(i int) {
	r := w.reports[i]
	if w.random(5) > 0 {
		w.reports = slices.Delete(w.reports, i, i+1)
	}
	records, err := w.coordinator.Renew(r.Report)
	if err != nil || !w.writeRecords(records) && len(records) > 0 {
		return
	}
	if w.bug == bugSkipsSilentDrivers {
		for _, h := range w.coordinator.leases.drivers {
			h.expiresAt = min(h.expiresAt, w.now-1)
		}
	}
	grant := w.coordinator.Grant(w.now, r.Report)
	for _, d := range w.drivers {
		if d.name == r.Driver && d.incarnation == r.Incarnation && grant.Lease > 0 {
			w.grants = append(w.grants, sentGrant{d, r.Incarnation, r.requestedAt, grant})
		}
	}
}

// deliverGrant lets a driver have a grant that was sent to it.
func (w *simulation) deliverGrant() {
	if len(w.grants) == 0 {
		return
	}
	i := len(w.grants) - 1
	if w.random(4) == 0 {
		i = w.random(len(w.grants))
	}
	g := w.grants[i]
	if w.random(5) > 0 {
		w.grants = slices.Delete(w.grants, i, i+1)
	}
	if g.incarnation != g.to.incarnation {
		return
	}
	changed, err := g.to.controller.ApplyGrant(g.requestedAt, g.grant)
	if err != nil {
		w.violation = err.Error()
	}
	if w.bug == bugOldEpochs {
		for _, e := range g.grant.Entries {
			g.to.controller.directory.entries[e.Tenant] = e
			changed = append(changed, e.Tenant)
		}
	}
	for _, t := range changed {
		g.to.controller.ResumeHeld(t, w.now)
	}
}

// sendRPC asks a driver for a write or a read.
func (w *simulation) sendRPC(d *simulatedDriver, write bool) {
	rpc := &simulatedRPC{driver: d, controller: d.controller, mustSee: maps.Clone(w.acknowledged), deadline: w.now + simRPCTimeout}
	if write {
		w.writes++
		rpc.writeID = w.writes
	}
	onDecision := func(v Decision) {
		if v.Reason == ReasonNone {
			rpc.cell = int(v.Group) - 1
			rpc.controller.AttemptStarted(rpc.ticket, w.now)
			w.rpcs = append(w.rpcs, rpc)
		}
	}
	ticket, v, decided := d.controller.Admit(w.now, Request{Tenant: "t", Key: "k", Write: write, TimeLeft: simRPCTimeout}, onDecision)
	rpc.ticket = ticket
	if decided {
		onDecision(v)
	}
}

// advanceRPC takes an RPC on: its call-out runs in its cell, its answer comes or does not, its time runs out.
func (w *simulation) advanceRPC() {
	if len(w.rpcs) == 0 {
		return
	}
	i := w.random(len(w.rpcs))
	rpc := w.rpcs[i]
	alive := rpc.controller == rpc.driver.controller
	switch {
	case !rpc.ran && w.now < rpc.deadline && w.random(4) > 0:
		rpc.ran = true
		if rpc.writeID > 0 {
			w.store[rpc.cell][rpc.writeID] = true
		} else {
			rpc.readResult = maps.Clone(w.store[rpc.cell])
		}
		return
	case rpc.ran && alive && w.random(4) > 0:
		w.deliverResponse(rpc)
	case w.now < rpc.deadline:
		return
	case alive: // it is not waited for any longer
		rpc.controller.AttemptEnded(rpc.ticket, rpc.deadline, 0, w.now)
		rpc.controller.Finished(rpc.ticket, false, w.now)
		rpc.controller.Settle(rpc.ticket, w.now)
	}
	w.rpcs = slices.Delete(w.rpcs, i, i+1)
}

// deliverResponse passes an answer on if the gate lets it.
func (w *simulation) deliverResponse(rpc *simulatedRPC) {
	rpc.controller.AttemptEnded(rpc.ticket, 0, 0, w.now)
	if rpc.controller.MayProceed(rpc.ticket, w.now) {
		if rpc.writeID > 0 {
			rpc.controller.Committed(rpc.ticket, w.now)
			w.acknowledged[rpc.writeID] = true
		}
		for id := range rpc.mustSee {
			if rpc.writeID == 0 && !rpc.readResult[id] {
				w.violation = fmt.Sprintf("a read in cell %d does not show write %d", rpc.cell, id)
			}
		}
	}
	rpc.controller.Finished(rpc.ticket, true, w.now)
	rpc.controller.Settle(rpc.ticket, w.now)
}

// checkInvariants checks that the cell where the tenant is shows all that was acknowledged, and what states were met.
func (w *simulation) checkInvariants() {
	placement := w.coordinator.directory.Placement("t")
	for id := range w.acknowledged {
		if !w.store[placement.Cell][id] {
			w.violation = fmt.Sprintf("acknowledged write %d is not in cell %d, where the tenant is", id, placement.Cell)
		}
	}
	state := fmt.Sprint(placement.Stage)
	for _, d := range w.drivers {
		known := d.controller.directory.Placement("t")
		state += fmt.Sprint(" ", known.Stage, known.Cell == placement.Cell, known.Epoch == placement.Epoch, w.now < d.controller.leaseExpiresAt, len(d.controller.tenants) > 0)
	}
	w.visited[state] = true
}

const simSteps = 900

// Moves keep their promises whatever is drawn: nothing acknowledged is lost, no read is behind.
func TestMovesOverInterleavings(t *testing.T) {
	visited, moved := map[string]bool{}, 0
	for seed := range int64(400) {
		w := newSimulation(noBug, rand.New(rand.NewSource(seed)).Intn)
		for range simSteps {
			w.step()
			require.Empty(t, w.violation, "seed %d", seed)
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
		w := newSimulation(noBug, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 150 {
			w.step()
			require.Empty(t, w.violation)
		}
	})
}

// The walk must be able to fail: each planted bug is found.
func TestTheWalkFindsPlantedBugs(t *testing.T) {
	names := []string{bugOldEpochs: "older epochs are acted on", bugIgnoresLease: "leases do not bind", bugSkipsSilentDrivers: "the coordinator does not wait"}
	for b := bugOldEpochs; b <= bugSkipsSilentDrivers; b++ {
		name := names[b]
		found := int64(-1)
		for seed := int64(0); seed < 1500 && found < 0; seed++ {
			w := newSimulation(b, rand.New(rand.NewSource(seed)).Intn)
			for i := 0; i < 2*simSteps && w.violation == ""; i++ {
				w.step()
			}
			if w.violation != "" {
				found = seed
				t.Logf("%s: seed %d: %s", name, seed, w.violation)
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
			b := newTestDirectory()
			if from != StageIdle {
				b.entries["t"] = Entry{Epoch: 5, Tenant: "t", Cell: "c0", Stage: from}
				b.latestEpoch = 5
			}
			require.Equal(t, slices.Contains(next[from], to), b.isValidTransition(Entry{Epoch: 6, Tenant: "t", Cell: "c0", Stage: to}), "%v to %v", from, to)
			require.False(t, b.isValidTransition(Entry{Epoch: 5, Tenant: "t", Cell: "c0", Stage: to}) && from != StageIdle, "an epoch that is not newer")
		}
	}
}

// A move that goes right, step by step, and what each step waits for.
func TestMoveStages(t *testing.T) {
	directory := newTestDirectory()
	c, err := NewCoordinator(0, directory, second, 2*second, 0, true, []Record{{Driver: "a"}, {Driver: "b"}})
	require.NoError(t, err)
	now := int64(0)
	apply := func(records []Record, err error) {
		require.NoError(t, err)
		for _, r := range records {
			require.NoError(t, c.Apply(now, r))
		}
	}
	stage := func() Stage { return directory.entries["t"].Stage }
	report := func(name string, change func(*MoveReport)) {
		e := directory.entries["t"]
		m := MoveReport{Tenant: "t", Epoch: e.Epoch}
		if change != nil {
			change(&m)
		}
		c.Grant(now, Report{Driver: name, Epoch: directory.latestEpoch, Moves: []MoveReport{m}})
	}
	stepAll := func() Stage {
		now += ms
		for records := c.Step(now); len(records) > 0; records = c.Step(now) {
			apply(records, nil)
		}
		return stage()
	}
	_, err = c.Move(now, "t", "c9", "")
	require.ErrorContains(t, err, `no cell "c9"`)
	_, err = c.Move(now, "t", "c0", "")
	require.ErrorContains(t, err, "already")
	apply(c.Move(now, "t", "c1", "test"))
	_, err = c.Move(now, "t", "c2", "")
	require.ErrorContains(t, err, "is being moved")
	report("a", nil)
	report("b", nil)
	require.Equal(t, StagePrepared, stepAll(), "the store has not begun to fill")
	c.MarkFilled("t", directory.latestEpoch)
	require.Equal(t, StageHoldingWrites, stepAll())
	report("a", nil)
	require.Equal(t, StageHoldingWrites, stepAll(), "b has not said that it holds")
	report("b", func(m *MoveReport) { m.Writes = 1 })
	require.Equal(t, StageHoldingWrites, stepAll(), "b has a write in flight")
	report("b", func(m *MoveReport) { m.LastCommit = now + 5*ms })
	heldAt := now
	require.Equal(t, StageCatchingUp, stepAll())
	require.Equal(t, heldAt+5*ms, directory.entries["t"].CutoverPosition, "past what b was told, though its clock is ahead")
	report("a", nil)
	require.Equal(t, StageCatchingUp, stepAll())
	report("a", func(m *MoveReport) { m.CaughtUp = true })
	require.Equal(t, StageHoldingAll, stepAll())
	report("a", nil)
	report("b", func(m *MoveReport) { m.OpenRPCs = 1 })
	require.Equal(t, StageHoldingAll, stepAll())
	now += second / 2
	report("a", nil)
	now += second/2 + ms // b's lease runs out
	require.Equal(t, StageSwitched, stepAll())
	e := directory.entries["t"]
	require.Equal(t, []any{"c1", "c0", e.CutoverPosition}, []any{e.Cell, e.To, e.MinPosition})
	_, err = c.Abort(now, "t", "")
	require.ErrorContains(t, err, "has been switched")
	_, err = c.Move(now, "t", "c0", "")
	require.ErrorContains(t, err, "is being moved", "not back before it has settled")
	c.MarkFilled("t", directory.latestEpoch)
	require.Equal(t, StageSwitched, stepAll(), "a does not act on it yet")
	report("a", nil)
	require.Equal(t, StageIdle, stepAll())
	apply(c.Move(now, "t", "c2", "test"))
	apply(c.Abort(now, "t", "test"))
	require.Equal(t, StageRollingBack, stage())
	report("a", nil)
	c.MarkFilled("t", directory.latestEpoch)
	require.Equal(t, StageIdle, stepAll())
	require.Equal(t, "c1", directory.entries["t"].Cell)
	require.NotZero(t, directory.entries["t"].MinPosition, "what it must be read from stays")
	_, err = c.Abort(now, "t", "")
	require.ErrorContains(t, err, "is not being moved")
}

// A move that holds writes too long goes back by itself.
func TestMoveRollsBackAfterMaxHold(t *testing.T) {
	directory := newTestDirectory()
	c, err := NewCoordinator(0, directory, second, second, 0, false, nil)
	require.NoError(t, err)
	records, err := c.Move(0, "t", "c1", "")
	require.NoError(t, err)
	require.NoError(t, c.Apply(0, records[0]))
	for _, at := range []int64{0, ms, 2 * ms, 5 * second} {
		for records := c.Step(at); len(records) > 0; records = c.Step(at) {
			require.NoError(t, c.Apply(0, records[0]))
		}
	}
	require.Equal(t, StageIdle, directory.entries["t"].Stage)
	require.Equal(t, "c0", directory.entries["t"].Cell)
}

// Guards against an instance that stood still, or lost touch, while its tenant went elsewhere.
func TestAdmissionDuringMove(t *testing.T) {
	g := NewAdmissionController(newTestDirectory(), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), nil, true, 1)
	var decisions []Decision
	admit := func(now int64, write bool) (*Ticket, Decision, bool) {
		return g.Admit(now, Request{Tenant: "t", Key: "k", Write: write, TimeLeft: second}, func(v Decision) { decisions = append(decisions, v) })
	}
	_, v, _ := admit(0, true)
	require.Equal(t, ReasonNoLease, v.Reason, "without a lease nothing is known")
	grant := func(asked int64, e ...Entry) {
		newest := g.directory.latestEpoch
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
	require.Equal(t, StageHoldingWrites, g.directory.Placement("t").Stage, "an older grant changes nothing")
	require.Equal(t, 2*second, g.leaseExpiresAt)
	grant(second, Entry{Epoch: 6, Tenant: "t", Cell: "c1", Stage: StageSwitched, To: "c0", MinPosition: 77})
	require.Equal(t, []Decision{{Group: 2, MinPosition: 77}}, decisions)
	require.False(t, g.MayProceed(early, second), "its tenant is elsewhere")
	grant(second, Entry{Epoch: 7, Tenant: "t", Cell: "c0", Stage: StageHoldingAll, To: "c1"})
	decisions = nil
	ticket, _, decided := admit(second, false)
	require.False(t, decided, "reads wait too")
	g.Expire(ticket)
	g.Expire(ticket)
	require.Equal(t, []Decision{{Reason: ReasonMoving, RetryAfter: minRetryAfter}}, decisions, "told once")
	ticket, _, _ = admit(second, true)
	g.Cancel(ticket)
	g.Expire(ticket)
	require.Len(t, decisions, 1, "its client has gone")
	require.Zero(t, g.heldCount)
}

// Guards against an earlier start of a name that may still act when the later one has said that it does.
func TestMoveWaitsForPredecessorLease(t *testing.T) {
	l := leases{duration: second, drivers: map[string]*leaseHolder{}}
	e := Entry{Tenant: "t", Epoch: 1}
	renew := func(now int64, incarnation uint64) {
		require.True(t, l.renew(now, Report{Driver: "a", Incarnation: incarnation, Epoch: 1, Moves: []MoveReport{{Tenant: "t", Epoch: 1}}}))
	}
	renew(1, 1)
	require.True(t, l.allHolders(1, e, anyReport))
	renew(second/2, 2)
	require.False(t, l.allHolders(second, e, anyReport))
	renew(second, 2)
	require.True(t, l.allHolders(second+second/100, e, anyReport))
}

// Guards against a coordinator that takes over, hears of a name's later start alone, and does not know that the one before it
// gave an earlier start a lease that still holds.
func TestPredecessorLeaseSurvivesTakeover(t *testing.T) {
	first, err := NewCoordinator(0, newTestDirectory(), second, second, 0, false, nil)
	require.NoError(t, err)
	next, err := NewCoordinator(0, newTestDirectory(), second, second, 0, false, nil)
	require.NoError(t, err)
	now := second
	renew := func(c *Coordinator, incarnation uint64) int64 {
		records, err := c.Renew(Report{Driver: "a", Incarnation: incarnation})
		require.NoError(t, err)
		if len(records) > 0 { // its fellows have it first, and the earlier start asks once more
			require.NoError(t, next.Apply(now, records[0]))
			if incarnation > 1 {
				require.Zero(t, c.Grant(now, Report{Driver: "a", Incarnation: incarnation - 1}).Lease, "a later start is being written down")
			}
			require.NoError(t, c.Apply(now, records[0]))
		}
		return c.Grant(now, Report{Driver: "a", Incarnation: incarnation, Epoch: c.directory.latestEpoch}).Lease
	}
	require.NotZero(t, renew(first, 1))
	require.NotZero(t, renew(first, 2))
	now += second / 4
	next.TakeOver(now)
	require.NotZero(t, renew(next, 2))
	records, err := next.Move(now, "t", "c1", "")
	require.NoError(t, err)
	require.NoError(t, next.Apply(now, records[0]))
	reportAndStep := func() []Record {
		next.Grant(now, Report{Driver: "a", Incarnation: 2, Epoch: next.directory.latestEpoch, Moves: []MoveReport{{Tenant: "t", Epoch: next.directory.latestEpoch}}})
		return next.Step(now)
	}
	require.Empty(t, reportAndStep(), "the first start may still act on the book before")
	snapshot := next.Snapshot()
	require.Equal(t, []string{"a"}, snapshot.WithPredecessors)
	now += second
	later := reportAndStep()
	require.NotEmpty(t, later)
	require.NoError(t, next.Apply(now, later[0]))
	for records := next.expiredPredecessors(now); len(records) > 0; records = next.expiredPredecessors(now) {
		require.NoError(t, next.Apply(now, records[0]))
	}
	require.Empty(t, next.Snapshot().WithPredecessors, "it is written down that the first is over")
	third, err := NewCoordinator(now, newTestDirectory(), second, second, 0, false, nil)
	require.NoError(t, err)
	third.Restore(now, snapshot)
	require.Equal(t, snapshot.WithPredecessors, third.Snapshot().WithPredecessors)
}

func (c *Coordinator) expiredPredecessors(now int64) []Record {
	return c.leases.expiredPredecessors(now)
}
