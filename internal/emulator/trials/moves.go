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

func (v *Moves) shape() emulator.Config {
	return emulator.Config{Groups: moveCells, Members: 3, Cores: 4, QueueLimit: 100, ServiceTime: int64(2 * time.Millisecond), ServiceSigma: 0.5,
		ReplicaLag: int64(15 * time.Millisecond), FillLag: int64(30 * time.Millisecond), Seed: v.Seed, ColdCapacity: 0.2, WarmUpTime: int64(4 * time.Second),
		OverloadFactor: 2, DrainGrace: int64(3 * time.Second)}
}

// MovesResult is what a trial of moves showed.
type MovesResult struct {
	Done, RolledBack, Requested int
	Rejected                    int // moves that the coordinator did not begin
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

// moving is a trial at work.
type moving struct {
	*Moves
	*players
	at      []string  // of the coordinator, or of the voters
	council *convened // nil without one
	mu      sync.Mutex
	result  *MovesResult
	holds   []float64 // seconds for which moves held writes
	epochs  map[cells.Epoch]bool
	journal string
	admins  []string  // by driver
	stands  []float64 // seconds from step to step
	stepped time.Time // when the last one was seen
	under   bool      // moves were under way then
	leader  council.VoterID
}

// ahead is how many drivers coordinate and take no clients, so that they can be killed for their own sake.
func (v *Moves) ahead() int { return max(1, v.Voters) }

// text is the operator's file of driver i; the first ones coordinate.
func (v *moving) text(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "admin { listen: \"%s\" }\ncells {\n", v.admins[i])
	for c := range moveCells {
		fmt.Fprintf(&b, "  cell { name: \"c%d\" group: %d }\n", c, c+1)
	}
	b.WriteString("  tenancy {\n    others: \"others\"\n")
	for t := range v.Tenants {
		fmt.Fprintf(&b, "    rule { prefix: \"t%d/\" tenant: \"t%d\" }\n", t, t)
	}
	fmt.Fprintf(&b, "  }\n  budget { rpcs: 600 call_outs: 600 lend: 0.5 }\n  coordination {\n    lease_ms: %d\n    hold_ms: %d\n    held: 1000\n",
		v.Lease.Milliseconds(), v.Hold.Milliseconds())
	if v.council == nil {
		fmt.Fprintf(&b, "    at: \"%s\"\n", v.at[0])
	}
	if v.council == nil && i == 0 {
		fmt.Fprintf(&b, "    here: true\n    journal: \"%s\"\n", v.journal)
	}
	if i < v.ahead() {
		fmt.Fprintf(&b, "    fill_hook: \"%s\"\n", v.n.Fleet.FillHookURL())
	}
	b.WriteString("  }\n}\n")
	if v.council != nil {
		b.WriteString(v.council.text(i))
	}
	return b.String()
}

// Run plays the trial.
func (v *Moves) Run(ctx context.Context) (*MovesResult, error) {
	m := &moving{Moves: v, epochs: map[cells.Epoch]bool{}, result: &MovesResult{Faults: map[string]int{}, GateRejections: map[string]int64{}}}
	m.players = newPlayers(v.Seed, func() *sockets.Driver { return m.n.Drivers[v.ahead()+m.chance.intN(moveDrivers)] })
	drivers := v.ahead() + moveDrivers
	at, err := sockets.FreeAddresses(v.ahead() + drivers)
	if err != nil {
		return nil, err
	}
	m.at, m.admins = at[:v.ahead()], at[v.ahead():]
	if v.Voters > 0 {
		if m.council, err = convene(v.Seed, m.at, drivers); err != nil {
			return nil, err
		}
		defer m.council.net.Close()
	}
	n, err := StartCluster(ctx, v.Program, v.shape(), drivers, func(n *Cluster, i int) string {
		m.n, m.journal = n, filepath.Join(n.dir, "cells.journal")
		if m.council != nil {
			m.council.dir = n.dir
		}
		return m.text(i)
	})
	if err != nil {
		return nil, err
	}
	defer n.Close()
	m.n = n
	var trouble sync.WaitGroup
	troubles, calm := context.WithCancel(ctx)
	defer calm()
	m.play(ctx, v.Tenants, v.Keys)
	if v.Faults {
		if m.council != nil {
			trouble.Add(1)
			go func() { defer trouble.Done(); m.council.troubles(troubles, v.Seed) }()
		}
		for _, fault := range m.faults() {
			trouble.Add(1)
			go func() { defer trouble.Done(); m.trouble(troubles, fault) }()
		}
	}
	err = m.move(ctx)
	calm()
	trouble.Wait()
	m.end()
	if err == nil {
		err = m.settle(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("%w\n%s", err, n.logs())
	}
	return m.finish(), nil
}

// move asks for moves of tenants to cells at random until enough are done, some of them called off, some asked for twice
// and some sent back while they settle.
func (m *moving) move(ctx context.Context) error {
	c := membership.NewClient(m.at...)
	deadline := time.Now().Add(m.Timeout)
	for {
		state, err := c.State(ctx)
		if err == nil {
			m.watch(state)
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
		if len(movingOf(state)) < max(1, m.Tenants/2) {
			m.ask(ctx, c)
		}
		if m.chance.intN(60) == 0 {
			if under := movingOf(state); len(under) > 0 {
				c.Abort(ctx, membership.MoveRequest{Tenant: under[m.chance.intN(len(under))].Tenant, Reason: "trial"})
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func movingOf(s membership.CoordinatorState) (moving []cells.Entry) {
	for _, e := range s.Entries {
		if e.Stage != cells.StageIdle {
			moving = append(moving, e)
		}
	}
	return moving
}

// ask asks for a move, now and then twice at once.
func (m *moving) ask(ctx context.Context, c membership.Client) {
	t := cells.Tenant(fmt.Sprintf("t%d", m.chance.intN(m.Tenants)))
	times := 1 + m.chance.intN(4)/3
	for range times {
		to := fmt.Sprintf("c%d", m.chance.intN(moveCells))
		err := c.Move(ctx, []membership.MoveRequest{{Tenant: t, To: to, Reason: "trial"}})
		m.mu.Lock()
		m.result.Requested++
		if err != nil {
			m.result.Rejected++
		}
		m.mu.Unlock()
	}
}

// watch counts moves that have ended since it looked last.
func (m *moving) watch(s membership.CoordinatorState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Voter != m.leader {
		m.leader = s.Voter
		m.result.Leaders++
	}
	now, stepped := time.Now(), false
	defer func() {
		if stepped && m.under {
			m.stands = append(m.stands, now.Sub(m.stepped).Seconds())
		}
		if stepped {
			m.stepped, m.under = now, len(movingOf(s)) > 0
		}
	}()
	for _, e := range s.Entries {
		if m.epochs[e.Epoch] {
			continue
		}
		m.epochs[e.Epoch], stepped = true, true
		switch e.Stage {
		case cells.StageSwitched:
			m.result.Done++
			m.holds = append(m.holds, float64(e.DecidedAt-e.HoldStartedAt)/1e9)
		case cells.StageRollingBack:
			m.result.RolledBack++
		}
	}
}

// settle waits until no move is under way.
func (m *moving) settle(ctx context.Context) error {
	c := membership.NewClient(m.at...)
	for deadline := time.Now().Add(m.Hold + 2*m.Lease + 10*time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		state, err := c.State(ctx)
		if err == nil {
			m.watch(state)
			if len(movingOf(state)) == 0 {
				return nil
			}
		}
	}
	return fmt.Errorf("moves do not settle")
}

// finish checks what is left and sums up.
func (m *moving) finish() *MovesResult {
	r := m.result
	state, _ := membership.NewClient(m.at...).State(context.Background())
	groups := map[string]int64{}
	for _, e := range state.Entries {
		var cell int64
		fmt.Sscanf(e.Cell, "c%d", &cell)
		groups[string(e.Tenant)] = cell + 1
	}
	m.n.Fleet.WithModel(func(_ int64, f *emulator.Fleet) {
		r.Writes = m.n.Fleet.CheckAcknowledged(f, func(key string) int64 {
			if g, moved := groups[emulator.TenantOf(key)]; moved {
				return g
			}
			return hashedGroup(moveCells, key)
		})
	})
	r.Violations = m.n.Fleet.Violations()
	r.FoundWrites = r.Writes
	for _, b := range r.Violations {
		if b.Rule == emulator.RuleLostWrite {
			r.FoundWrites--
		}
	}
	r.HoldP50, r.HoldP99 = quantiles(m.holds)
	r.StepGapP50, r.StepGapP99 = quantiles(m.stands)
	for _, stood := range m.stands {
		r.StepGapMax = max(r.StepGapMax, time.Duration(stood*float64(time.Second)))
	}
	r.WriteP50, r.WriteP99 = quantiles(m.waits)
	r.RPCs, r.Unexplained = m.rpcs, m.unexplained
	for _, address := range m.admins {
		var f cells.Stats
		if admin.NewCellsClient(address).Call(context.Background(), "list", admin.Query{}, &f) == nil {
			for why, n := range f.Rejected {
				r.GateRejections[why] += n
			}
			r.GateFenced += f.Fenced
		}
	}
	r.RejectedShare = float64(m.turned) / float64(max(1, m.writes))
	m.befell(r.Faults)
	if m.council != nil {
		m.council.befell(r.Faults)
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

func quantiles(seconds []float64) (half, most time.Duration) {
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

// faults are the troubles of a night of moves.
func (m *moving) faults() []fault {
	members := m.shape().Groups * m.shape().Members
	driver := m.some
	some := func(do func(id emulator.MemberID, f *emulator.Fleet, now int64)) {
		id := emulator.MemberID(m.chance.intN(members))
		m.n.Fleet.WithModel(func(now int64, f *emulator.Fleet) { do(id, f, now) })
	}
	return append(m.coordinators(), []fault{
		{"a driver stands still", 4 * time.Second, func(ctx context.Context) {
			still(ctx, driver(), time.Duration((0.2+2*m.chance.float())*float64(m.Lease)))
		}},
		{"a driver is killed and started again", 6 * time.Second, func(ctx context.Context) {
			again(ctx, driver(), time.Duration(m.chance.float()*float64(m.Lease)))
		}},
		{"a member loses its answers", 2 * time.Second, func(ctx context.Context) {
			var id emulator.MemberID
			some(func(at emulator.MemberID, f *emulator.Fleet, _ int64) { id = at; f.SetReplyLoss(at, true) })
			relays.Sleep(ctx, 300*time.Millisecond)
			m.n.Fleet.WithModel(func(_ int64, f *emulator.Fleet) { f.SetReplyLoss(id, false) })
		}},
		{"a member is ten times as slow", 3 * time.Second, func(ctx context.Context) {
			var id emulator.MemberID
			some(func(at emulator.MemberID, f *emulator.Fleet, _ int64) { id = at; f.SetSlowdown(at, 10) })
			relays.Sleep(ctx, time.Second)
			m.n.Fleet.WithModel(func(_ int64, f *emulator.Fleet) { f.SetSlowdown(id, 1) })
		}},
		{"a member stands still", 2 * time.Second, func(ctx context.Context) {
			some(func(at emulator.MemberID, f *emulator.Fleet, now int64) {
				f.PauseUntil(at, now+int64(500*time.Millisecond))
			})
		}},
		{"a replica drains and serves again", 4 * time.Second, func(ctx context.Context) {
			id := emulator.MemberID(m.chance.intN(moveCells)*m.shape().Members + 1) // never both of a group
			m.n.Fleet.SetDraining(id, true)
			relays.Sleep(ctx, m.drained())
			m.n.Fleet.SetDraining(id, false)
		}},
		{"a member starts anew and is cold", 4 * time.Second, func(ctx context.Context) {
			m.n.Fleet.Restart(emulator.MemberID(m.chance.intN(members)))
		}},
		{"a replica lags and answers quickly", 2 * time.Second, func(ctx context.Context) {
			var id emulator.MemberID
			some(func(at emulator.MemberID, f *emulator.Fleet, now int64) {
				id = at
				f.SetLag(now, at, int64(2*time.Second))
			})
			relays.Sleep(ctx, time.Second)
			m.n.Fleet.WithModel(func(now int64, f *emulator.Fleet) { f.SetLag(now, id, f.Config.ReplicaLag) })
		}},
	}...)
}

// coordinators are the troubles of those who coordinate.
func (m *moving) coordinators() []fault {
	if m.council == nil {
		return []fault{{"the coordinator is killed and started again", 3 * time.Second, func(ctx context.Context) {
			again(ctx, m.n.Drivers[0], 50*time.Millisecond)
		}}}
	}
	return []fault{
		{"the council's leader is killed and started again", 3 * time.Second, func(ctx context.Context) {
			again(ctx, m.n.Drivers[m.leading()], 50*time.Millisecond)
		}},
		{"the council's leader stands still", 5 * time.Second, func(ctx context.Context) {
			still(ctx, m.n.Drivers[m.leading()], time.Duration((0.2+2*m.chance.float())*float64(m.Lease)))
		}},
		{"a voter is killed and started again", 5 * time.Second, func(ctx context.Context) {
			again(ctx, m.n.Drivers[m.chance.intN(m.Voters)], time.Duration(m.chance.float()*float64(m.Lease)))
		}},
	}
}

// leading is the voter that leads, as the first one that answers knows, or any.
func (m *moving) leading() int { return leading(m.at, m.chance) }

// drained is how long a member drains: longer than what may still be sent to it.
func (m *moving) drained() time.Duration { return time.Duration(m.shape().DrainGrace) + 2*time.Second }

// Table is what a trial showed, in Markdown.
func (r *MovesResult) Table() string {
	rows := [][]string{
		{"moves asked for, refused", fmt.Sprintf("%d, %d", r.Requested, r.Rejected)},
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
	rows = append(rows, breachRows(r.Violations)...)
	return table([]string{"what", "figure"}, append(rows, faultRows(r.Faults)...))
}

// breachRows counts breaches by rule.
func breachRows(breaches []emulator.Violation) (rows [][]string) {
	count := map[string]int{}
	for _, b := range breaches {
		count[b.Rule]++
	}
	for _, rule := range emulator.AllRules() {
		rows = append(rows, []string{"breaches: " + rule, fmt.Sprint(count[rule])})
	}
	return rows
}

// faultRows are how often each trouble was brought about.
func faultRows(faults map[string]int) (rows [][]string) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		rows = append(rows, []string{"fault: " + name, fmt.Sprint(faults[name])})
	}
	return rows
}
