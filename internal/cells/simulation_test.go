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

// simulation runs random events while a tenant is moved: coordinator and driver crashes, pauses,
// and late, lost and duplicated messages. The store returns writes per cell.
type simulation struct {
	random       func(n int) int // returns 0 to n-1
	bug          plantedBug
	now          int64
	journal      []Record
	coordinator  *Coordinator
	drivers      []*simulatedDriver
	reports      []sentReport
	grants       []sentGrant
	store        []map[int]bool // by cell, the visible writes
	rpcs         []*simulatedRPC
	writes       int
	incarnations uint64
	acknowledged map[int]bool
	violation    string
	visited      map[string]bool
}

// plantedBug is a defect that the simulation must detect.
type plantedBug int

const (
	noBug                 plantedBug = iota
	bugOldEpochs                     // drivers apply entries older than the ones they know
	bugIgnoresLease                  // drivers act after their lease has expired
	bugSkipsSilentDrivers            // the coordinator does not wait for drivers that have not reported
)

// simulatedDriver is a driver with its admission controller.
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
	driver      *simulatedDriver
	incarnation uint64
	requestedAt int64
	grant       Grant
}

// simulatedRPC is an admitted RPC.
type simulatedRPC struct {
	driver     *simulatedDriver
	controller *AdmissionController
	ticket     *Ticket
	cell       int
	writeID    int // 0 for a read
	ran        bool
	readResult map[int]bool // writes returned by a read
	mustSee    map[int]bool // writes acknowledged before the RPC was sent
	deadline   int64
}

const (
	simLease      = 250 * ms
	simMaxHold    = 2 * second
	simRPCTimeout = 60 * ms
	simCells      = 3
)

func newSimulation(planted plantedBug, random func(n int) int) *simulation {
	sim := &simulation{random: random, bug: planted, now: second, acknowledged: map[int]bool{}, visited: map[string]bool{}}
	for range simCells {
		sim.store = append(sim.store, map[int]bool{})
	}
	sim.restartCoordinator()
	for i := range 3 {
		sim.drivers = append(sim.drivers, &simulatedDriver{name: fmt.Sprint("d", i)})
		sim.startDriver(sim.drivers[i])
	}
	return sim
}

func newTestDirectory() *Directory {
	return NewDirectory(newTestLayout(1, 1, 1, 1, 1), map[Tenant]Cell{"t": 0})
}

// restartCoordinator starts the coordinator from the journal.
func (sim *simulation) restartCoordinator() {
	c, err := NewCoordinator(sim.now, newTestDirectory(), simLease, simMaxHold, 0, false, sim.journal)
	if err != nil {
		sim.violation = err.Error()
		return
	}
	sim.coordinator = c
}

// startDriver starts a driver, or restarts it with a new incarnation.
func (sim *simulation) startDriver(driver *simulatedDriver) {
	sim.incarnations++
	driver.incarnation = sim.incarnations
	driver.controller = NewAdmissionController(newTestDirectory(), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), nil, true, 4)
	if sim.bug == bugIgnoresLease {
		driver.controller.leaseExpiresAt = math.MaxInt64
	}
}

// writeRecords journals and applies records, with random crashes. It reports whether all were
// applied.
func (sim *simulation) writeRecords(records []Record) bool {
	for _, r := range records {
		if sim.random(25) == 0 {
			sim.restartCoordinator()
			return false
		}
		sim.journal = append(sim.journal, r)
		if sim.random(25) == 0 { // crash between journal and application
			sim.restartCoordinator()
			sim.copyOnSwitch(r)
			return false
		}
		if err := sim.coordinator.Apply(sim.now, r); err != nil {
			sim.violation = err.Error()
			return false
		}
		sim.copyOnSwitch(r)
	}
	return true
}

// copyOnSwitch makes the writes of the old cell visible in the new one.
func (sim *simulation) copyOnSwitch(r Record) {
	if r.Entry != nil && r.Entry.Stage == StageSwitched {
		to, from := sim.cellIndex(r.Entry.Cell), sim.cellIndex(r.Entry.To)
		maps.Copy(sim.store[to], sim.store[from])
	}
}

func (sim *simulation) cellIndex(name string) int {
	return slices.Index([]string{"c0", "c1", "c2"}, name)
}

// step runs one random event.
func (sim *simulation) step() {
	driver := sim.drivers[sim.random(len(sim.drivers))]
	switch sim.random(16) {
	case 0, 1:
		sim.now += int64(sim.random(15)) * ms
		if sim.random(30) == 0 {
			sim.now += 300 * ms // all processes are paused
		}
	case 2, 3, 4:
		r := driver.controller.Report(sim.now, driver.name, driver.incarnation, func(rules.GroupID, int64) bool { return sim.random(2) == 0 })
		sim.reports = append(sim.reports, sentReport{r, sim.now})
		if sim.random(3) > 0 {
			sim.deliverReport(len(sim.reports) - 1)
		}
		if sim.random(2) == 0 {
			sim.deliverGrant()
		}
	case 5:
		if len(sim.reports) > 0 {
			sim.deliverReport(sim.random(len(sim.reports)))
		}
	case 6, 7:
		sim.deliverGrant()
	case 8:
		if records := sim.coordinator.Step(sim.now); len(records) > 0 {
			sim.writeRecords(records)
		}
	case 9:
		sim.requestMove()
	case 10:
		switch sim.random(12) {
		case 0:
			sim.restartCoordinator()
		case 1:
			sim.startDriver(driver)
		case 2: // an earlier incarnation keeps running
			if len(sim.drivers) < 6 {
				sim.drivers = append(sim.drivers, &simulatedDriver{name: driver.name})
				sim.startDriver(sim.drivers[len(sim.drivers)-1])
			}
		}
	case 11, 12:
		sim.sendRPC(driver, sim.random(2) == 0)
	case 13, 14, 15:
		sim.advanceRPC()
	}
	sim.checkInvariants()
}

// requestMove requests or aborts a move.
func (sim *simulation) requestMove() {
	var records []Record
	var err error
	if sim.random(40) == 0 {
		records, err = sim.coordinator.Abort(sim.now, "t", "test")
	} else {
		records, err = sim.coordinator.Move(sim.now, "t", fmt.Sprint("c", sim.random(simCells)), "test")
	}
	if err == nil {
		sim.writeRecords(records)
	}
}

// deliverReport delivers a report to the coordinator, which may be duplicated.
func (sim *simulation) deliverReport(i int) {
	r := sim.reports[i]
	if sim.random(5) > 0 {
		sim.reports = slices.Delete(sim.reports, i, i+1)
	}
	records, err := sim.coordinator.Renew(r.Report)
	if err != nil || !sim.writeRecords(records) && len(records) > 0 {
		return
	}
	if sim.bug == bugSkipsSilentDrivers {
		for _, h := range sim.coordinator.leases.drivers {
			h.expiresAt = min(h.expiresAt, sim.now-1)
		}
	}
	grant := sim.coordinator.Grant(sim.now, r.Report)
	for _, d := range sim.drivers {
		if d.name == r.Driver && d.incarnation == r.Incarnation && grant.Lease > 0 {
			sim.grants = append(sim.grants, sentGrant{d, r.Incarnation, r.requestedAt, grant})
		}
	}
}

// deliverGrant delivers a grant to its driver.
func (sim *simulation) deliverGrant() {
	if len(sim.grants) == 0 {
		return
	}
	i := len(sim.grants) - 1
	if sim.random(4) == 0 {
		i = sim.random(len(sim.grants))
	}
	delivered := sim.grants[i]
	if sim.random(5) > 0 {
		sim.grants = slices.Delete(sim.grants, i, i+1)
	}
	if delivered.incarnation != delivered.driver.incarnation {
		return
	}
	changed, err := delivered.driver.controller.ApplyGrant(delivered.requestedAt, delivered.grant)
	if err != nil {
		sim.violation = err.Error()
	}
	if sim.bug == bugOldEpochs {
		for _, e := range delivered.grant.Entries {
			delivered.driver.controller.directory.entries[e.Tenant] = e
			changed = append(changed, e.Tenant)
		}
	}
	for _, t := range changed {
		delivered.driver.controller.ResumeHeld(t, sim.now)
	}
}

// sendRPC sends a read or a write through a driver.
func (sim *simulation) sendRPC(d *simulatedDriver, write bool) {
	rpc := &simulatedRPC{driver: d, controller: d.controller, mustSee: maps.Clone(sim.acknowledged), deadline: sim.now + simRPCTimeout}
	if write {
		sim.writes++
		rpc.writeID = sim.writes
	}
	onDecision := func(decision Decision) {
		if decision.Reason == ReasonNone {
			rpc.cell = int(decision.Group) - 1
			rpc.controller.AttemptStarted(rpc.ticket, sim.now)
			sim.rpcs = append(sim.rpcs, rpc)
		}
	}
	ticket, decision, decided := d.controller.Admit(sim.now, Request{Tenant: "t", Key: "k", Write: write, TimeLeft: simRPCTimeout}, onDecision)
	rpc.ticket = ticket
	if decided {
		onDecision(decision)
	}
}

// advanceRPC executes an RPC in its cell, returns its response, or lets it time out.
func (sim *simulation) advanceRPC() {
	if len(sim.rpcs) == 0 {
		return
	}
	i := sim.random(len(sim.rpcs))
	rpc := sim.rpcs[i]
	alive := rpc.controller == rpc.driver.controller
	switch {
	case !rpc.ran && sim.now < rpc.deadline && sim.random(4) > 0:
		rpc.ran = true
		if rpc.writeID > 0 {
			sim.store[rpc.cell][rpc.writeID] = true
		} else {
			rpc.readResult = maps.Clone(sim.store[rpc.cell])
		}
		return
	case rpc.ran && alive && sim.random(4) > 0:
		sim.deliverResponse(rpc)
	case sim.now < rpc.deadline:
		return
	case alive: // timed out
		rpc.controller.AttemptEnded(rpc.ticket, rpc.deadline, 0, sim.now)
		rpc.controller.Finished(rpc.ticket, false, sim.now)
		rpc.controller.Settle(rpc.ticket, sim.now)
	}
	sim.rpcs = slices.Delete(sim.rpcs, i, i+1)
}

// deliverResponse returns a response if the driver may do so.
func (sim *simulation) deliverResponse(rpc *simulatedRPC) {
	rpc.controller.AttemptEnded(rpc.ticket, 0, 0, sim.now)
	if rpc.controller.MayProceed(rpc.ticket, sim.now) {
		if rpc.writeID > 0 {
			rpc.controller.Committed(rpc.ticket, sim.now)
			sim.acknowledged[rpc.writeID] = true
		}
		for id := range rpc.mustSee {
			if rpc.writeID == 0 && !rpc.readResult[id] {
				sim.violation = fmt.Sprintf("a read in cell %d does not return write %d", rpc.cell, id)
			}
		}
	}
	rpc.controller.Finished(rpc.ticket, true, sim.now)
	rpc.controller.Settle(rpc.ticket, sim.now)
}

// checkInvariants checks that all acknowledged writes are visible in the tenant's cell, and
// records the state visited.
func (sim *simulation) checkInvariants() {
	placement := sim.coordinator.directory.Placement("t")
	for id := range sim.acknowledged {
		if !sim.store[placement.Cell][id] {
			sim.violation = fmt.Sprintf("acknowledged write %d is not in cell %d, the cell of the tenant", id, placement.Cell)
		}
	}
	state := fmt.Sprint(placement.Stage)
	for _, d := range sim.drivers {
		known := d.controller.directory.Placement("t")
		state += fmt.Sprint(" ", known.Stage, known.Cell == placement.Cell, known.Epoch == placement.Epoch, sim.now < d.controller.leaseExpiresAt, len(d.controller.tenants) > 0)
	}
	sim.visited[state] = true
}

const simSteps = 900

// No acknowledged write is lost and no read is stale, whatever the order of events.
func TestMovesOverInterleavings(t *testing.T) {
	visited, moved := map[string]bool{}, 0
	for seed := range int64(400) {
		sim := newSimulation(noBug, rand.New(rand.NewSource(seed)).Intn)
		for range simSteps {
			sim.step()
			require.Empty(t, sim.violation, "seed %d", seed)
		}
		maps.Copy(visited, sim.visited)
		for _, r := range sim.journal {
			if r.Entry != nil && r.Entry.Stage == StageSwitched {
				moved++
			}
		}
	}
	require.Greater(t, moved, 100)
	require.Greater(t, len(visited), 2000)
	t.Logf("%d states, %d completed moves", len(visited), moved)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(noBug, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 150 {
			sim.step()
			require.Empty(t, sim.violation)
		}
	})
}

// Checks that the simulation detects each planted bug.
func TestTheWalkFindsPlantedBugs(t *testing.T) {
	names := []string{bugOldEpochs: "entries with older epochs are applied", bugIgnoresLease: "expired leases are ignored", bugSkipsSilentDrivers: "the coordinator does not wait for silent drivers"}
	for b := bugOldEpochs; b <= bugSkipsSilentDrivers; b++ {
		name := names[b]
		found := int64(-1)
		for seed := int64(0); seed < 1500 && found < 0; seed++ {
			sim := newSimulation(b, rand.New(rand.NewSource(seed)).Intn)
			for i := 0; i < 2*simSteps && sim.violation == ""; i++ {
				sim.step()
			}
			if sim.violation != "" {
				found = seed
				t.Logf("%s: seed %d: %s", name, seed, sim.violation)
			}
		}
		require.GreaterOrEqual(t, found, int64(0), name)
	}
}

// Checks every pair of stages against the table at Stage.
func TestStageTransitions(t *testing.T) {
	next := map[Stage][]Stage{StageIdle: {StagePrepared}, StagePrepared: {StageHoldingWrites, StageRollingBack}, StageHoldingWrites: {StageCatchingUp, StageRollingBack},
		StageCatchingUp: {StageHoldingAll, StageRollingBack}, StageHoldingAll: {StageSwitched, StageRollingBack}, StageSwitched: {StageIdle}, StageRollingBack: {StageIdle}}
	for from := StageIdle; from <= StageRollingBack; from++ {
		for to := StageIdle; to <= StageRollingBack; to++ {
			directory := newTestDirectory()
			if from != StageIdle {
				directory.entries["t"] = Entry{Epoch: 5, Tenant: "t", Cell: "c0", Stage: from}
				directory.latestEpoch = 5
			}
			require.Equal(t, slices.Contains(next[from], to), directory.isValidTransition(Entry{Epoch: 6, Tenant: "t", Cell: "c0", Stage: to}), "%v to %v", from, to)
			require.False(t, directory.isValidTransition(Entry{Epoch: 5, Tenant: "t", Cell: "c0", Stage: to}) && from != StageIdle, "the epoch is not newer")
		}
	}
}

// Checks the stages of a move and what each of them waits for.
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
	require.Equal(t, StagePrepared, stepAll(), "the store has not begun to fill the new cell")
	c.MarkFilled("t", directory.latestEpoch)
	require.Equal(t, StageHoldingWrites, stepAll())
	report("a", nil)
	require.Equal(t, StageHoldingWrites, stepAll(), "b has not reported that it holds writes")
	report("b", func(m *MoveReport) { m.Writes = 1 })
	require.Equal(t, StageHoldingWrites, stepAll(), "b has a write in flight")
	report("b", func(m *MoveReport) { m.LastCommit = now + 5*ms })
	heldAt := now
	require.Equal(t, StageCatchingUp, stepAll())
	require.Equal(t, heldAt+5*ms, directory.entries["t"].CutoverPosition, "after the last commit reported by b")
	report("a", nil)
	require.Equal(t, StageCatchingUp, stepAll())
	report("a", func(m *MoveReport) { m.CaughtUp = true })
	require.Equal(t, StageHoldingAll, stepAll())
	report("a", nil)
	report("b", func(m *MoveReport) { m.OpenRPCs = 1 })
	require.Equal(t, StageHoldingAll, stepAll())
	now += second / 2
	report("a", nil)
	now += second/2 + ms // the lease of b expires
	require.Equal(t, StageSwitched, stepAll())
	e := directory.entries["t"]
	require.Equal(t, []any{"c1", "c0", e.CutoverPosition}, []any{e.Cell, e.To, e.MinPosition})
	_, err = c.Abort(now, "t", "")
	require.ErrorContains(t, err, "has been switched")
	_, err = c.Move(now, "t", "c0", "")
	require.ErrorContains(t, err, "is being moved", "no move before the last one is complete")
	c.MarkFilled("t", directory.latestEpoch)
	require.Equal(t, StageSwitched, stepAll(), "a has not reported the new epoch")
	report("a", nil)
	require.Equal(t, StageIdle, stepAll())
	apply(c.Move(now, "t", "c2", "test"))
	apply(c.Abort(now, "t", "test"))
	require.Equal(t, StageRollingBack, stage())
	report("a", nil)
	c.MarkFilled("t", directory.latestEpoch)
	require.Equal(t, StageIdle, stepAll())
	require.Equal(t, "c1", directory.entries["t"].Cell)
	require.NotZero(t, directory.entries["t"].MinPosition, "the minimum position is kept")
	_, err = c.Abort(now, "t", "")
	require.ErrorContains(t, err, "is not being moved")
}

// A move that holds writes for too long is rolled back.
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

// Guards against a driver that was paused or disconnected while its tenant moved.
func TestAdmissionDuringMove(t *testing.T) {
	controller := NewAdmissionController(newTestDirectory(), NewTenantResolver(nil, nil, nil, DefaultNone, "t"), nil, true, 1)
	var decisions []Decision
	admit := func(now int64, write bool) (*Ticket, Decision, bool) {
		return controller.Admit(now, Request{Tenant: "t", Key: "k", Write: write, TimeLeft: second}, func(decision Decision) { decisions = append(decisions, decision) })
	}
	_, decision, _ := admit(0, true)
	require.Equal(t, ReasonNoLease, decision.Reason, "the driver has no lease")
	grant := func(requestedAt int64, e ...Entry) {
		newest := controller.directory.latestEpoch
		for _, n := range e {
			newest = max(newest, n.Epoch)
		}
		_, err := controller.ApplyGrant(requestedAt, Grant{Lease: second, LatestEpoch: newest, Entries: e})
		require.NoError(t, err)
		controller.ResumeHeld("t", requestedAt)
	}
	grant(0)
	first, decision, _ := admit(ms, true)
	require.Equal(t, ReasonNone, decision.Reason)
	require.EqualValues(t, 1, decision.Group)
	require.True(t, controller.MayProceed(first, second-1))
	require.False(t, controller.MayProceed(first, second), "the lease has expired")
	grant(second, Entry{Epoch: 4, Tenant: "t", Cell: "c0", Stage: StageHoldingWrites, To: "c1"})
	require.True(t, controller.MayProceed(first, second), "an RPC in flight continues in the old cell")
	r := controller.Report(second, "a", 1, nil)
	require.Equal(t, 1, r.Moves[0].Writes)
	controller.AttemptEnded(first, second+50*ms, 0, second)
	controller.Finished(first, false, second)
	controller.Settle(first, second)
	require.Equal(t, 1, controller.Report(second, "a", 1, nil).Moves[0].Writes, "the write may still run")
	require.Zero(t, controller.Report(second+50*ms, "a", 1, nil).Moves[0].Writes)
	_, decision, decided := admit(second, false)
	require.True(t, decided && decision.Reason == ReasonNone, "reads are admitted")
	_, _, decided = admit(second, true)
	require.False(t, decided)
	_, decision, _ = admit(second, true)
	require.Equal(t, ReasonMoving, decision.Reason, "the maximum number of RPCs is held")
	_, err := controller.ApplyGrant(second, Grant{Lease: 10 * second, LatestEpoch: 3, Entries: []Entry{{Epoch: 3, Tenant: "t", Cell: "c2"}}})
	require.NoError(t, err)
	require.Equal(t, StageHoldingWrites, controller.directory.Placement("t").Stage, "an older grant is ignored")
	require.Equal(t, 2*second, controller.leaseExpiresAt)
	grant(second, Entry{Epoch: 6, Tenant: "t", Cell: "c1", Stage: StageSwitched, To: "c0", MinPosition: 77})
	require.Equal(t, []Decision{{Group: 2, MinPosition: 77}}, decisions)
	require.False(t, controller.MayProceed(first, second), "the tenant has moved")
	grant(second, Entry{Epoch: 7, Tenant: "t", Cell: "c0", Stage: StageHoldingAll, To: "c1"})
	decisions = nil
	ticket, _, decided := admit(second, false)
	require.False(t, decided, "reads are held")
	controller.Expire(ticket)
	controller.Expire(ticket)
	require.Equal(t, []Decision{{Reason: ReasonMoving, RetryAfter: minRetryAfter}}, decisions, "rejected once")
	ticket, _, _ = admit(second, true)
	controller.Cancel(ticket)
	controller.Expire(ticket)
	require.Len(t, decisions, 1, "a cancelled RPC gets no decision")
	require.Zero(t, controller.heldCount)
}

// Guards against an earlier start of a driver that may still act after a later one has reported.
func TestMoveWaitsForPredecessorLease(t *testing.T) {
	drivers := leases{duration: second, drivers: map[string]*leaseHolder{}}
	e := Entry{Tenant: "t", Epoch: 1}
	renew := func(now int64, incarnation uint64) {
		require.True(t, drivers.renew(now, Report{Driver: "a", Incarnation: incarnation, Epoch: 1, Moves: []MoveReport{{Tenant: "t", Epoch: 1}}}))
	}
	renew(1, 1)
	require.True(t, drivers.allHolders(1, e, anyReport))
	renew(second/2, 2)
	require.False(t, drivers.allHolders(second, e, anyReport))
	renew(second, 2)
	require.True(t, drivers.allHolders(second+second/100, e, anyReport))
}

// Guards against a new coordinator that does not know that an earlier start of a driver holds a
// lease.
func TestPredecessorLeaseSurvivesTakeover(t *testing.T) {
	first, err := NewCoordinator(0, newTestDirectory(), second, second, 0, false, nil)
	require.NoError(t, err)
	next, err := NewCoordinator(0, newTestDirectory(), second, second, 0, false, nil)
	require.NoError(t, err)
	now := second
	renew := func(c *Coordinator, incarnation uint64) int64 {
		records, err := c.Renew(Report{Driver: "a", Incarnation: incarnation})
		require.NoError(t, err)
		if len(records) > 0 { // other coordinators have the record first, and the earlier start asks again
			require.NoError(t, next.Apply(now, records[0]))
			if incarnation > 1 {
				require.Zero(t, c.Grant(now, Report{Driver: "a", Incarnation: incarnation - 1}).Lease, "a later start is being persisted")
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
	require.Empty(t, reportAndStep(), "the first start may still hold a lease")
	snapshot := next.Snapshot()
	require.Equal(t, []string{"a"}, snapshot.WithPredecessors)
	now += second
	later := reportAndStep()
	require.NotEmpty(t, later)
	require.NoError(t, next.Apply(now, later[0]))
	for records := next.expiredPredecessors(now); len(records) > 0; records = next.expiredPredecessors(now) {
		require.NoError(t, next.Apply(now, records[0]))
	}
	require.Empty(t, next.Snapshot().WithPredecessors, "the expiry of the first start is persisted")
	third, err := NewCoordinator(now, newTestDirectory(), second, second, 0, false, nil)
	require.NoError(t, err)
	third.Restore(now, snapshot)
	require.Equal(t, snapshot.WithPredecessors, third.Snapshot().WithPredecessors)
}

func (c *Coordinator) expiredPredecessors(now int64) []Record {
	return c.leases.expiredPredecessors(now)
}
