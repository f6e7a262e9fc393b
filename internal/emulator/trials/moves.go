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

// Moves is a trial that keeps moving tenants between cells during reads and writes while members,
// drivers and the coordinator fail.
type Moves struct {
	Program  string
	Seed     uint64
	MinMoves int // moves that must complete
	Timeout  time.Duration
	Faults   bool
	Tenants  int
	Keys     int // per tenant, each with its own client
	Lease    time.Duration
	Hold     time.Duration
	Voters   int // of a coordinating council; 0 for a single coordinator
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

// MovesResult is the result of a trial of moves.
type MovesResult struct {
	Completed, RolledBack, Requested int
	Rejected                         int // move requests that the coordinator rejected
	RPCs                             map[sockets.Outcome]int
	Writes, FoundWrites              int           // acknowledged writes, and those found in their tenant's final cell
	HoldP50, HoldP99                 time.Duration // how long completed moves held writes
	WriteP50, WriteP99               time.Duration // latency of served writes
	RejectedShare                    float64       // share of writes that were rejected
	Faults                           map[string]int
	AdmissionRejections              map[string]int64 // rejected RPCs by reason, from the admission gates of drivers since their last start
	AdmissionFenced                  int64            // attempts and answers dropped by these gates as fenced
	Violations                       []emulator.Violation
	Unexplained                      int           // RPCs without an answer at drivers that were not disrupted
	Leaders                          int           // number of successive coordinators
	StepGapP50, StepGapP99           time.Duration // between successive steps of moves while any move was in progress
	StepGapMax                       time.Duration
}

// movesRun is a running trial of moves.
type movesRun struct {
	*Moves
	*workload
	addresses      []string        // of the coordinator or the voters
	council        *relayedCouncil // nil for a single coordinator
	mu             sync.Mutex
	result         *MovesResult
	holdTimes      []float64 // in seconds
	seenEpochs     map[cells.Epoch]bool
	journalPath    string
	adminAddresses []string  // by driver
	stepGaps       []float64 // in seconds
	lastStep       time.Time // when the last step was observed
	wasMoving      bool      // whether moves were in progress at lastStep
	leader         council.VoterID
}

// coordinatorCount returns the number of drivers that coordinate. They serve no clients, so that
// they can be killed independently.
func (v *Moves) coordinatorCount() int { return max(1, v.Voters) }

// operatorText returns the operator file of driver i; the first drivers coordinate.
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

// Run runs the trial.
func (v *Moves) Run(ctx context.Context) (*MovesResult, error) {
	m := &movesRun{Moves: v, seenEpochs: map[cells.Epoch]bool{}, result: &MovesResult{Faults: map[string]int{}, AdmissionRejections: map[string]int64{}}}
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

// requestMoves requests random moves until enough have completed. Some are aborted, requested twice
// or reversed while in progress.
func (m *movesRun) requestMoves(ctx context.Context) error {
	coordinator := membership.NewClient(m.addresses...)
	deadline := time.Now().Add(m.Timeout)
	for {
		state, err := coordinator.State(ctx)
		if err == nil {
			m.observe(state)
		}
		m.mu.Lock()
		done := m.result.Completed
		m.mu.Unlock()
		switch {
		case done >= m.MinMoves:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(deadline):
			return fmt.Errorf("only %d of %d moves completed in %v (%d rolled back)", done, m.MinMoves, m.Timeout, m.result.RolledBack)
		}
		if len(activeMoves(state)) < max(1, m.Tenants/2) {
			m.requestMove(ctx, coordinator)
		}
		if m.random.intN(60) == 0 {
			if moving := activeMoves(state); len(moving) > 0 {
				coordinator.Abort(ctx, membership.MoveRequest{Tenant: moving[m.random.intN(len(moving))].Tenant, Reason: "trial"})
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func activeMoves(state membership.CoordinatorState) (active []cells.Entry) {
	for _, entry := range state.Entries {
		if entry.Stage != cells.StageIdle {
			active = append(active, entry)
		}
	}
	return active
}

// requestMove requests a random move, sometimes two of the same tenant.
func (m *movesRun) requestMove(ctx context.Context, coordinator membership.Client) {
	tenant := cells.Tenant(fmt.Sprintf("t%d", m.random.intN(m.Tenants)))
	times := 1 + m.random.intN(4)/3
	for range times {
		to := fmt.Sprintf("c%d", m.random.intN(moveCells))
		err := coordinator.Move(ctx, []membership.MoveRequest{{Tenant: tenant, To: to, Reason: "trial"}})
		m.mu.Lock()
		m.result.Requested++
		if err != nil {
			m.result.Rejected++
		}
		m.mu.Unlock()
	}
}

// observe counts the moves that ended since the last call.
func (m *movesRun) observe(state membership.CoordinatorState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state.Voter != m.leader {
		m.leader = state.Voter
		m.result.Leaders++
	}
	now, hasStepped := time.Now(), false
	defer func() {
		if hasStepped && m.wasMoving {
			m.stepGaps = append(m.stepGaps, now.Sub(m.lastStep).Seconds())
		}
		if hasStepped {
			m.lastStep, m.wasMoving = now, len(activeMoves(state)) > 0
		}
	}()
	for _, entry := range state.Entries {
		if m.seenEpochs[entry.Epoch] {
			continue
		}
		m.seenEpochs[entry.Epoch], hasStepped = true, true
		switch entry.Stage {
		case cells.StageSwitched:
			m.result.Completed++
			m.holdTimes = append(m.holdTimes, float64(entry.DecidedAt-entry.HoldStartedAt)/1e9)
		case cells.StageRollingBack:
			m.result.RolledBack++
		}
	}
}

// awaitIdle waits until no move is in progress.
func (m *movesRun) awaitIdle(ctx context.Context) error {
	coordinator := membership.NewClient(m.addresses...)
	for deadline := time.Now().Add(m.Hold + 2*m.Lease + 10*time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		state, err := coordinator.State(ctx)
		if err == nil {
			m.observe(state)
			if len(activeMoves(state)) == 0 {
				return nil
			}
		}
	}
	return fmt.Errorf("timed out waiting for moves to end")
}

// summarize checks the final state and computes the result.
func (m *movesRun) summarize() *MovesResult {
	r := m.result
	state, _ := membership.NewClient(m.addresses...).State(context.Background())
	groups := map[string]int64{}
	for _, entry := range state.Entries {
		var cell int64
		fmt.Sscanf(entry.Cell, "c%d", &cell)
		groups[string(entry.Tenant)] = cell + 1
	}
	m.cluster.Fleet.WithModel(func(_ int64, stats *emulator.Fleet) {
		r.Writes = m.cluster.Fleet.CheckAcknowledged(stats, func(key string) int64 {
			if g, moved := groups[emulator.TenantOf(key)]; moved {
				return g
			}
			return hashedGroup(moveCells, key)
		})
	})
	r.Violations = m.cluster.Fleet.Violations()
	r.FoundWrites = r.Writes
	for _, violation := range r.Violations {
		if violation.Rule == emulator.RuleLostWrite {
			r.FoundWrites--
		}
	}
	r.HoldP50, r.HoldP99 = p50p99(m.holdTimes)
	r.StepGapP50, r.StepGapP99 = p50p99(m.stepGaps)
	for _, gap := range m.stepGaps {
		r.StepGapMax = max(r.StepGapMax, time.Duration(gap*float64(time.Second)))
	}
	r.WriteP50, r.WriteP99 = p50p99(m.writeLatencies)
	r.RPCs, r.Unexplained = m.outcomes, m.unexplained
	for _, address := range m.adminAddresses {
		var stats cells.Stats
		if admin.NewCellsClient(address).Call(context.Background(), "list", admin.Query{}, &stats) == nil {
			for reason, n := range stats.Rejected {
				r.AdmissionRejections[reason] += n
			}
			r.AdmissionFenced += stats.Fenced
		}
	}
	r.RejectedShare = float64(m.rejectedWrites) / float64(max(1, m.writes))
	m.addFaultCounts(r.Faults)
	if m.council != nil {
		m.council.addFaultCounts(r.Faults)
	}
	return r
}

// hashedGroup returns the group of a key's tenant if tenants are placed by hash on cells of one
// group each.
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

// periodicFaults returns the faults of members, drivers and coordinators.
func (m *movesRun) periodicFaults() []periodicFault {
	members := m.fleetConfig().Groups * m.fleetConfig().Members
	pickDriver := m.pickDriver
	onRandomMember := func(update func(id emulator.MemberID, f *emulator.Fleet, now int64)) {
		id := emulator.MemberID(m.random.intN(members))
		m.cluster.Fleet.WithModel(func(now int64, f *emulator.Fleet) { update(id, f, now) })
	}
	return append(m.coordinatorFaults(), []periodicFault{
		{"a driver is paused", 4 * time.Second, func(ctx context.Context) {
			pauseDriver(ctx, pickDriver(), time.Duration((0.2+2*m.random.float64())*float64(m.Lease)))
		}},
		{"a driver is killed and restarted", 6 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, pickDriver(), time.Duration(m.random.float64()*float64(m.Lease)))
		}},
		{"replies of a member are lost", 2 * time.Second, func(ctx context.Context) {
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
		{"a member is paused", 2 * time.Second, func(ctx context.Context) {
			onRandomMember(func(at emulator.MemberID, f *emulator.Fleet, now int64) {
				f.PauseUntil(at, now+int64(500*time.Millisecond))
			})
		}},
		{"a replica drains and returns to service", 4 * time.Second, func(ctx context.Context) {
			id := emulator.MemberID(m.random.intN(moveCells)*m.fleetConfig().Members + 1) // at most one replica of each group
			m.cluster.Fleet.SetDraining(id, true)
			relays.Sleep(ctx, m.drainDuration())
			m.cluster.Fleet.SetDraining(id, false)
		}},
		{"a member restarts cold", 4 * time.Second, func(ctx context.Context) {
			m.cluster.Fleet.Restart(emulator.MemberID(m.random.intN(members)))
		}},
		{"a replica lags", 2 * time.Second, func(ctx context.Context) {
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

// coordinatorFaults returns the faults of the coordinators.
func (m *movesRun) coordinatorFaults() []periodicFault {
	if m.council == nil {
		return []periodicFault{{"the coordinator is killed and restarted", 3 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, m.cluster.Drivers[0], 50*time.Millisecond)
		}}}
	}
	return []periodicFault{
		{"the council's leader is killed and restarted", 3 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, m.cluster.Drivers[m.leaderVoter()], 50*time.Millisecond)
		}},
		{"the council's leader is paused", 5 * time.Second, func(ctx context.Context) {
			pauseDriver(ctx, m.cluster.Drivers[m.leaderVoter()], time.Duration((0.2+2*m.random.float64())*float64(m.Lease)))
		}},
		{"a voter is killed and restarted", 5 * time.Second, func(ctx context.Context) {
			killAndRestart(ctx, m.cluster.Drivers[m.random.intN(m.Voters)], time.Duration(m.random.float64()*float64(m.Lease)))
		}},
	}
}

// leaderVoter returns the index of the leader as reported by the first voter that answers, or a
// random voter.
func (m *movesRun) leaderVoter() int { return leaderIndex(m.addresses, m.random) }

// drainDuration is longer than the grace period in which draining members still receive statements.
func (m *movesRun) drainDuration() time.Duration {
	return time.Duration(m.fleetConfig().DrainGrace) + 2*time.Second
}

// Table formats the result as a Markdown table.
func (r *MovesResult) Table() string {
	rows := [][]string{
		{"moves requested, rejected", fmt.Sprintf("%d, %d", r.Requested, r.Rejected)},
		{"moves completed, rolled back", fmt.Sprintf("%d, %d", r.Completed, r.RolledBack)},
		{"RPCs served, rejected, aborted, timed out, connection lost, connect failed", fmt.Sprintf("%d, %d, %d, %d, %d, %d",
			r.RPCs[sockets.Served], r.RPCs[sockets.Rejected], r.RPCs[sockets.Aborted], r.RPCs[sockets.TimedOut],
			r.RPCs[sockets.ConnectionLost], r.RPCs[sockets.ConnectFailed])},
		{"of those without an answer, at undisturbed drivers", fmt.Sprint(r.Unexplained)},
		{"acknowledged writes, found in the final cell", fmt.Sprintf("%d, %d", r.Writes, r.FoundWrites)},
		{"time for which completed moves held writes, p50 and p99", fmt.Sprintf("%v, %v", r.HoldP50.Round(time.Millisecond), r.HoldP99.Round(time.Millisecond))},
		{"latency of served writes, p50 and p99", fmt.Sprintf("%v, %v", r.WriteP50.Round(time.Millisecond), r.WriteP99.Round(time.Millisecond))},
		{"share of writes rejected", fmt.Sprintf("%.4f", r.RejectedShare)},
		{"time between steps of moves, p50, p99 and maximum", fmt.Sprintf("%v, %v, %v", r.StepGapP50.Round(time.Millisecond),
			r.StepGapP99.Round(time.Millisecond), r.StepGapMax.Round(time.Millisecond))},
	}
	if r.Leaders > 1 {
		rows = append(rows, []string{"successive leaders observed", fmt.Sprint(r.Leaders)})
	}
	for w := cells.ReasonDriverFull; w <= cells.ReasonUnknownCell; w++ {
		rows = append(rows, []string{"rejected by admission gates: " + w.String(), fmt.Sprint(r.AdmissionRejections[w.String()])})
	}
	rows = append(rows, []string{"attempts and answers dropped by gates as fenced", fmt.Sprint(r.AdmissionFenced)})
	rows = append(rows, violationRows(r.Violations)...)
	return markdownTable([]string{"what", "figure"}, append(rows, faultCountRows(r.Faults)...))
}

// violationRows counts violations by rule.
func violationRows(violations []emulator.Violation) (rows [][]string) {
	counts := map[string]int{}
	for _, violation := range violations {
		counts[violation.Rule]++
	}
	for _, rule := range emulator.AllRules() {
		rows = append(rows, []string{"violations: " + rule, fmt.Sprint(counts[rule])})
	}
	return rows
}

// faultCountRows lists how often each fault was injected.
func faultCountRows(faults map[string]int) (rows [][]string) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		rows = append(rows, []string{"fault: " + name, fmt.Sprint(faults[name])})
	}
	return rows
}
