package trials

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"sedgespread/internal/admin"
	"sedgespread/internal/cells"
	"sedgespread/internal/council"
	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/links/relays"
	"sedgespread/internal/emulator/sockets"
	"sedgespread/internal/membership"
)

// Moves is a trial in which tenants are moved between cells again and again while they write and read, and while
// members, drivers and the coordinator fail.
type Moves struct {
	Program  string
	Seed     uint64
	MinMoves int // of moves that must have been done
	Timeout  time.Duration
	Faults   bool
	Tenants  int
	Keys     int // of a tenant, each written by one client
	Lease    time.Duration
	Hold     time.Duration
	Voters   int // of a council that coordinates; 0 for one coordinator without fellows
}

const (
	moveCells   = 3
	moveDrivers = 3
)

func (v *Moves) fleetConfig() emulator.Config {
	return emulator.Config{Groups: moveCells, Members: 3, Cores: 4, QueueLimit: 100, ServiceTime: int64(2 * time.Millisecond), ServiceSigma: 0.5,
		ReplicaLag: int64(15 * time.Millisecond), FillLag: int64(30 * time.Millisecond), Seed: v.Seed, ColdCapacity: 0.2, WarmUpTime: int64(4 * time.Second),
		OverloadFactor: 2, DrainGrace: int64(3 * time.Second)}
}

// MovesResult is what a trial of moves showed.
type MovesResult struct {
	Done, RolledBack, Requested int
	Refused                     int // moves that the coordinator did not begin
	RPCs                        map[sockets.Outcome]int
	Writes, FoundWrites         int           // acknowledged, and those checked to be in the cell where their tenant was in the end
	HoldP50, HoldP99            time.Duration // for which moves that were done held their tenant's writes
	WriteP50, WriteP99          time.Duration // that served writes took
	RejectedShare               float64       // share of the writes
	Faults                      map[string]int
	GateRejections              map[string]int64 // RPCs by why the gates of drivers turned them away, since their last start
	GateFenced                  int64            // call-outs and answers that gates gave up, since then
	Violations                  []emulator.Violation
	Unexplained                 int           // RPCs without an answer at drivers that had no trouble
	Leaders                     int           // that coordinated one after another
	StepGapP50, StepGapP99      time.Duration // from one step of any move to the next while moves were under way
	StepGapMax                  time.Duration
}

// movesRun is a trial at work.
type movesRun struct {
	*Moves
	*workload
	addresses      []string        // of the coordinator, or of the voters
	council        *relayedCouncil // nil without one
	mu             sync.Mutex
	result         *MovesResult
	holdTimes      []float64 // seconds for which moves held writes
	seenEpochs     map[cells.Epoch]bool
	journalPath    string
	adminAddresses []string  // by driver
	stepGaps       []float64 // seconds from step to step
	lastStep       time.Time // when the last one was seen
	wasMoving      bool      // moves were under way then
	leader         council.VoterID
}

// coordinatorCount is how many drivers coordinate and take no clients, so that they can be killed for their own sake.
func (v *Moves) coordinatorCount() int { return max(1, v.Voters) }

// operatorText is the operator's file of driver i; the first ones coordinate.
func (m *movesRun) operatorText(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "admin { listen: \"%s\" }\ncells {\n", m.adminAddresses[i])
	for c := range moveCells {
		fmt.Fprintf(&b, "  cell { name: \"c%d\" group: %d }\n", c, c+1)
	}
	b.WriteString("  tenancy {\n    others: \"others\"\n")
	for t := range m.Tenants {
		fmt.Fprintf(&b, "    rule { prefix: \"t%d/\" tenant: \"t%d\" }\n", t, t)
	}
	fmt.Fprintf(&b, "  }\n  budget { rpcs: 600 call_outs: 600 lend: 0.5 }\n  coordination {\n    lease_ms: %d\n    hold_ms: %d\n    held: 1000\n",
		m.Lease.Milliseconds(), m.Hold.Milliseconds())
	if m.council == nil {
		fmt.Fprintf(&b, "    at: \"%s\"\n", m.addresses[0])
	}
	if m.council == nil && i == 0 {
		fmt.Fprintf(&b, "    here: true\n    journal: \"%s\"\n", m.journalPath)
	}
	if i < m.coordinatorCount() {
		fmt.Fprintf(&b, "    fill_hook: \"%s\"\n", m.cluster.Fleet.FillHookURL())
	}
	b.WriteString("  }\n}\n")
	if m.council != nil {
		b.WriteString(m.council.operatorText(i))
	}
	return b.String()
}

// Run plays the trial.
func (v *Moves) Run(ctx context.Context) (*MovesResult, error) {
	m := &movesRun{Moves: v, seenEpochs: map[cells.Epoch]bool{}, result: &MovesResult{Faults: map[string]int{}, GateRejections: map[string]int64{}}}
	m.workload = newWorkload(v.Seed, func() *sockets.Driver { return m.cluster.Drivers[v.coordinatorCount()+m.random.intN(moveDrivers)] })
	drivers := v.coordinatorCount() + moveDrivers
	addresses, err := sockets.FreeAddresses(v.coordinatorCount() + drivers)
	if err != nil {
		return nil, err
	}
	m.addresses, m.adminAddresses = addresses[:v.coordinatorCount()], addresses[v.coordinatorCount():]
	if v.Voters > 0 {
		if m.council, err = newRelayedCouncil(v.Seed, m.addresses, drivers); err != nil {
			return nil, err
		}
		defer m.council.network.Close()
	}
	cluster, err := StartCluster(ctx, v.Program, v.fleetConfig(), drivers, func(cluster *Cluster, i int) string {
		m.cluster, m.journalPath = cluster, filepath.Join(cluster.dir, "cells.journal")
		if m.council != nil {
			m.council.dir = cluster.dir
		}
		return m.operatorText(i)
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	m.cluster = cluster
	var faults sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	m.startClients(ctx, v.Tenants, v.Keys)
	if v.Faults {
		if m.council != nil {
			faults.Add(1)
			go func() { defer faults.Done(); m.council.playFaults(faultCtx, v.Seed) }()
		}
		for _, fault := range m.periodicFaults() {
			faults.Add(1)
			go func() { defer faults.Done(); m.injectRepeatedly(faultCtx, fault) }()
		}
	}
	err = m.requestMoves(ctx)
	stopFaults()
	faults.Wait()
	m.stop()
	if err == nil {
		err = m.awaitIdle(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("%w\n%s", err, cluster.lastLogLines())
	}
	return m.summarize(), nil
}

// requestMoves asks for moves of tenants to cells at random until enough are done, some of them called off, some asked for twice
// and some sent back while they settle.
func (m *movesRun) requestMoves(ctx context.Context) error {
	coordinator := membership.Dial(m.addresses...)
	deadline := time.Now().Add(m.Timeout)
	for {
		state, err := coordinator.State(ctx)
		if err == nil {
			m.observe(state)
		}
		m.mu.Lock()
		done := m.result.Done
		m.mu.Unlock()
		switch {
		case done >= m.MinMoves:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(deadline):
			return fmt.Errorf("only %d of %d moves were done in %v (%d undone)", done, m.MinMoves, m.Timeout, m.result.RolledBack)
		}
		if len(activeMoves(state)) < max(1, m.Tenants/2) {
			m.requestMove(ctx, coordinator)
		}
		if m.random.intN(60) == 0 {
			if moving := activeMoves(state); len(moving) > 0 {
				coordinator.Abort(ctx, membership.Move{Tenant: moving[m.random.intN(len(moving))].Tenant, Why: "trial"})
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func activeMoves(state membership.State) (moving []cells.Entry) {
	for _, entry := range state.Entries {
		if entry.Stage != cells.StageIdle {
			moving = append(moving, entry)
		}
	}
	return moving
}

// requestMove asks for a move, now and then twice at once.
func (m *movesRun) requestMove(ctx context.Context, coordinator membership.Coordinator) {
	tenant := cells.Tenant(fmt.Sprintf("t%d", m.random.intN(m.Tenants)))
	times := 1 + m.random.intN(4)/3
	for range times {
		to := fmt.Sprintf("c%d", m.random.intN(moveCells))
		err := coordinator.Move(ctx, []membership.Move{{Tenant: tenant, To: to, Why: "trial"}})
		m.mu.Lock()
		m.result.Requested++
		if err != nil {
			m.result.Refused++
		}
		m.mu.Unlock()
	}
}

// observe counts moves that have ended since it looked last.
func (m *movesRun) observe(state membership.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state.Voter != m.leader {
		m.leader = state.Voter
		m.result.Leaders++
	}
	now, stepped := time.Now(), false
	defer func() {
		if stepped && m.wasMoving {
			m.stepGaps = append(m.stepGaps, now.Sub(m.lastStep).Seconds())
		}
		if stepped {
			m.lastStep, m.wasMoving = now, len(activeMoves(state)) > 0
		}
	}()
	for _, entry := range state.Entries {
		if m.seenEpochs[entry.Epoch] {
			continue
		}
		m.seenEpochs[entry.Epoch], stepped = true, true
		switch entry.Stage {
		case cells.StageSwitched:
			m.result.Done++
			m.holdTimes = append(m.holdTimes, float64(entry.DecidedAt-entry.HoldStartedAt)/1e9)
		case cells.StageRollingBack:
			m.result.RolledBack++
		}
	}
}

// awaitIdle waits until no move is under way.
func (m *movesRun) awaitIdle(ctx context.Context) error {
	coordinator := membership.Dial(m.addresses...)
	for deadline := time.Now().Add(m.Hold + 2*m.Lease + 10*time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		state, err := coordinator.State(ctx)
		if err == nil {
			m.observe(state)
			if len(activeMoves(state)) == 0 {
				return nil
			}
		}
	}
	return fmt.Errorf("moves do not settle")
}

// summarize checks what is left and sums up.
func (m *movesRun) summarize() *MovesResult {
	r := m.result
	state, _ := membership.Dial(m.addresses...).State(context.Background())
	groups := map[string]int64{}
	for _, e := range state.Entries {
		var cell int64
		fmt.Sscanf(e.Cell, "c%d", &cell)
		groups[string(e.Tenant)] = cell + 1
	}
	m.cluster.Fleet.WithModel(func(_ int64, f *emulator.Fleet) {
		r.Writes = m.cluster.Fleet.CheckAcknowledged(f, func(key string) int64 {
			if g, moved := groups[emulator.TenantOf(key)]; moved {
				return g
			}
			return hashedGroup(moveCells, key)
		})
	})
	r.Violations = m.cluster.Fleet.Violations()
	r.FoundWrites = r.Writes
	for _, b := range r.Violations {
		if b.Rule == emulator.RuleLostWrite {
			r.FoundWrites--
		}
	}
	r.HoldP50, r.HoldP99 = p50p99(m.holdTimes)
	r.StepGapP50, r.StepGapP99 = p50p99(m.stepGaps)
	for _, stood := range m.stepGaps {
		r.StepGapMax = max(r.StepGapMax, time.Duration(stood*float64(time.Second)))
	}
	r.WriteP50, r.WriteP99 = p50p99(m.writeLatencies)
	r.RPCs, r.Unexplained = m.outcomes, m.unexplained
	for _, address := range m.adminAddresses {
		var f cells.Stats
		if admin.Dial(address).Ask(context.Background(), "list", admin.Wanted{}, &f) == nil {
			for why, n := range f.Rejected {
				r.GateRejections[why] += n
			}
			r.GateFenced += f.Fenced
		}
	}
	r.RejectedShare = float64(m.rejectedWrites) / float64(max(1, m.writes))
	m.addFaultCounts(r.Faults)
	if m.council != nil {
		m.council.addFaultCounts(r.Faults)
	}
	return r
}

// hashedGroup is the group of a key's tenant where so many cells of one group each take tenants by hash alone.
func hashedGroup(count int, key string) int64 {
	layout := cells.NewLayout(1)
	for c := range count {
		layout.Add(fmt.Sprintf("c%d", c), cells.Groups{}, 1, 0, "")
	}
	return int64(layout.HomeCell(cells.Tenant(emulator.TenantOf(key)))) + 1
}

func p50p99(seconds []float64) (p50, p99 time.Duration) {
	if len(seconds) == 0 {
		return 0, 0
	}
	sorted := append([]float64(nil), seconds...)
	stat.SortWeighted(sorted, nil)
	at := func(p float64) time.Duration {
		return time.Duration(stat.Quantile(p, stat.Empirical, sorted, nil) * float64(time.Second))
	}
	return at(0.5), at(0.99)
}

// periodicFaults are the troubles of a night of moves.
func (m *movesRun) periodicFaults() []periodicFault {
	members := m.fleetConfig().Groups * m.fleetConfig().Members
	pickDriver := m.pickDriver
	onRandomMember := func(update func(id emulator.MemberID, f *emulator.Fleet, now int64)) {
		id := emulator.MemberID(m.random.intN(members))
		m.cluster.Fleet.WithModel(func(now int64, f *emulator.Fleet) { update(id, f, now) })
	}
	return append(m.coordinatorFaults(), []periodicFault{
		{"a driver stands still", 4 * time.Second, func(ctx context.Context) {
			pauseDriver(ctx, pickDriver(), time.Duration((0.2+2*m.random.float64())*float64(m.Lease)))
		}},
		{"a driver is killed and started again", 6 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, pickDriver(), time.Duration(m.random.float64()*float64(m.Lease)))
		}},
		{"a member loses its answers", 2 * time.Second, func(ctx context.Context) {
			var id emulator.MemberID
			onRandomMember(func(at emulator.MemberID, f *emulator.Fleet, _ int64) { id = at; f.SetReplyLoss(at, true) })
			relays.Sleep(ctx, 300*time.Millisecond)
			m.cluster.Fleet.WithModel(func(_ int64, f *emulator.Fleet) { f.SetReplyLoss(id, false) })
		}},
		{"a member is ten times as slow", 3 * time.Second, func(ctx context.Context) {
			var id emulator.MemberID
			onRandomMember(func(at emulator.MemberID, f *emulator.Fleet, _ int64) { id = at; f.SetSlowdown(at, 10) })
			relays.Sleep(ctx, time.Second)
			m.cluster.Fleet.WithModel(func(_ int64, f *emulator.Fleet) { f.SetSlowdown(id, 1) })
		}},
		{"a member stands still", 2 * time.Second, func(ctx context.Context) {
			onRandomMember(func(at emulator.MemberID, f *emulator.Fleet, now int64) {
				f.PauseUntil(at, now+int64(500*time.Millisecond))
			})
		}},
		{"a replica drains and serves again", 4 * time.Second, func(ctx context.Context) {
			id := emulator.MemberID(m.random.intN(moveCells)*m.fleetConfig().Members + 1) // never both of a group
			m.cluster.Fleet.SetDraining(id, true)
			relays.Sleep(ctx, m.drainDuration())
			m.cluster.Fleet.SetDraining(id, false)
		}},
		{"a member starts anew and is cold", 4 * time.Second, func(ctx context.Context) {
			m.cluster.Fleet.Restart(emulator.MemberID(m.random.intN(members)))
		}},
		{"a replica lags and answers quickly", 2 * time.Second, func(ctx context.Context) {
			var id emulator.MemberID
			onRandomMember(func(at emulator.MemberID, f *emulator.Fleet, now int64) {
				id = at
				f.SetLag(now, at, int64(2*time.Second))
			})
			relays.Sleep(ctx, time.Second)
			m.cluster.Fleet.WithModel(func(now int64, f *emulator.Fleet) { f.SetLag(now, id, f.Config.ReplicaLag) })
		}},
	}...)
}

// coordinatorFaults are the troubles of those who coordinate.
func (m *movesRun) coordinatorFaults() []periodicFault {
	if m.council == nil {
		return []periodicFault{{"the coordinator is killed and started again", 3 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, m.cluster.Drivers[0], 50*time.Millisecond)
		}}}
	}
	return []periodicFault{
		{"the council's leader is killed and started again", 3 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, m.cluster.Drivers[m.leaderVoter()], 50*time.Millisecond)
		}},
		{"the council's leader stands still", 5 * time.Second, func(ctx context.Context) {
			pauseDriver(ctx, m.cluster.Drivers[m.leaderVoter()], time.Duration((0.2+2*m.random.float64())*float64(m.Lease)))
		}},
		{"a voter is killed and started again", 5 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, m.cluster.Drivers[m.random.intN(m.Voters)], time.Duration(m.random.float64()*float64(m.Lease)))
		}},
	}
}

// leaderVoter is the voter that leads, as the first one that answers knows, or any.
func (m *movesRun) leaderVoter() int { return leaderIndex(m.addresses, m.random) }

// drainDuration is how long a member drains: longer than what may still be sent to it.
func (m *movesRun) drainDuration() time.Duration {
	return time.Duration(m.fleetConfig().DrainGrace) + 2*time.Second
}

// Table is what a trial showed, in Markdown.
func (r *MovesResult) Table() string {
	rows := [][]string{
		{"moves asked for, refused", fmt.Sprintf("%d, %d", r.Requested, r.Refused)},
		{"moves done, undone", fmt.Sprintf("%d, %d", r.Done, r.RolledBack)},
		{"RPCs served, pushed back, aborted, no answer, connection broken, no driver", fmt.Sprintf("%d, %d, %d, %d, %d, %d",
			r.RPCs[sockets.Served], r.RPCs[sockets.Rejected], r.RPCs[sockets.Aborted], r.RPCs[sockets.TimedOut],
			r.RPCs[sockets.ConnectionLost], r.RPCs[sockets.ConnectFailed])},
		{"of those without an answer, at drivers in no trouble", fmt.Sprint(r.Unexplained)},
		{"acknowledged writes, found in the last cell", fmt.Sprintf("%d, %d", r.Writes, r.FoundWrites)},
		{"writes held by a move that was done, p50 and p99", fmt.Sprintf("%v, %v", r.HoldP50.Round(time.Millisecond), r.HoldP99.Round(time.Millisecond))},
		{"time of a served write, p50 and p99", fmt.Sprintf("%v, %v", r.WriteP50.Round(time.Millisecond), r.WriteP99.Round(time.Millisecond))},
		{"share of writes pushed back", fmt.Sprintf("%.4f", r.RejectedShare)},
		{"from one step of a move to the next, p50, p99 and most", fmt.Sprintf("%v, %v, %v", r.StepGapP50.Round(time.Millisecond),
			r.StepGapP99.Round(time.Millisecond), r.StepGapMax.Round(time.Millisecond))},
	}
	if r.Leaders > 1 {
		rows = append(rows, []string{"leaders that coordinated one after another, as seen", fmt.Sprint(r.Leaders)})
	}
	for w := cells.ReasonDriverFull; w <= cells.ReasonUnknownCell; w++ {
		rows = append(rows, []string{"turned away by gates: " + w.String(), fmt.Sprint(r.GateRejections[w.String()])})
	}
	rows = append(rows, []string{"call-outs and answers given up by gates", fmt.Sprint(r.GateFenced)})
	rows = append(rows, violationRows(r.Violations)...)
	return markdownTable([]string{"what", "figure"}, append(rows, faultCountRows(r.Faults)...))
}

// violationRows counts breaches by rule.
func violationRows(breaches []emulator.Violation) (rows [][]string) {
	count := map[string]int{}
	for _, b := range breaches {
		count[b.Rule]++
	}
	for _, rule := range emulator.AllRules() {
		rows = append(rows, []string{"breaches: " + rule, fmt.Sprint(count[rule])})
	}
	return rows
}

// faultCountRows are how often each trouble was brought about.
func faultCountRows(faults map[string]int) (rows [][]string) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		rows = append(rows, []string{"fault: " + name, fmt.Sprint(faults[name])})
	}
	return rows
}
