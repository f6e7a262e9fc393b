package trials

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/links"
	"sedgespread/internal/emulator/links/relays"
	"sedgespread/internal/emulator/sockets"
	"sedgespread/internal/membership"
	"sedgespread/internal/routing"
	"sedgespread/internal/versions"
)

// Versions is a trial that keeps changing the rulebook of a fleet of drivers while links to the
// council fail and drivers and voters are paused, killed or duplicated. The attempts that members
// receive show whether a driver acted on a closed version.
type Versions struct {
	Program         string
	Seed            uint64
	MinClosed       int // versions that must be closed
	Timeout         time.Duration
	Faults          bool
	Drivers         int // including the voters, which come first
	Voters          int
	Lease           time.Duration
	Tenants         int
	Keys            int
	CanaryTrial     time.Duration // if not 0, all versions are valid and tried by canaries for this long
	MinWithdrawn    int           // versions that must be withdrawn
	RejectFenced    bool          // members reject attempts with a closed version
	Gossip          bool          // drivers exchange gossip
	Crash           bool          // propose a version that crashes the processes that act on it
	OldDisk         bool          // in each round, restore a voter's disk of one version earlier
	Rate            int           // RPCs per second in total; 0 for no fixed rate
	Partition       bool          // in each round, partition the busiest driver from the council while a version is proposed
	PartitionLeases int           // length of the partition in leases; 0 for three
}

// VersionsResult is the result of a trial of versions.
type VersionsResult struct {
	Proposed, Rejected           int // by the council
	Closed, Withdrawn            int
	Exclusive, Canaried          int           // of the closed versions
	Reasons                      []string      // why versions were withdrawn, or how the canaries of closed ones performed
	ShutOut                      int           // drivers shut out, counted per registration
	Attempts                     int           // attempts with a version that members received
	RejectedAttempts             int           // of these, rejected by members
	LateAttempts                 int           // of the others, after the version was closed
	MaxLateness                  time.Duration // of LateAttempts, after the closing
	MinCloseMargin               time.Duration // shortest time from the last attempt under a version to its closing
	CloseP50, CloseP99, CloseMax time.Duration // from proposal until no driver acts on an older version
	RPCs                         map[sockets.Outcome]int
	Writes                       int
	Unexplained                  int
	RejectedShare                float64
	WriteP50, WriteP99           time.Duration
	Faults                       map[string]int
	Violations                   []emulator.Violation
	Drivers                      []membership.DriverStatus
	OldDisks, AcceptedOldDisks   int           // restored, and not refused
	WithdrawDelay                time.Duration // from the start of a trial until a failed canary ends it
	Audit                        AuditResult
}

// versionsRun is a running trial of versions.
type versionsRun struct {
	*Versions
	*workload
	council         *relayedCouncil
	addresses       []string
	gossipAddresses []string // of the drivers
	result          *VersionsResult
	seen            map[versions.Number]versions.Version // as last observed
	firstSeen       map[versions.Number]time.Time
	closeTimes      []float64
	shutOut         map[string]bool
	busiestDriver   atomic.Int64 // index of the driver that gets most clients, 0 for none
}

// fleetConfig returns a fleet with ample capacity.
func (v *Versions) fleetConfig() emulator.Config {
	return emulator.Config{Groups: 2, Members: 3, Cores: 8, QueueLimit: 200, ServiceTime: int64(2 * time.Millisecond), ServiceSigma: 0.5,
		ReplicaLag: int64(15 * time.Millisecond), FillLag: int64(30 * time.Millisecond), Seed: v.Seed, ColdCapacity: 0.2, WarmUpTime: int64(4 * time.Second),
		OverloadFactor: 2, DrainGrace: int64(3 * time.Second), RejectFenced: v.RejectFenced}
}

// rulebookText returns the shared part of the operator files, different for each n. An invalid one
// can be parsed but not applied by a running driver.
func (v *Versions) rulebookText(n int, invalid bool) string {
	groups := [2]int{1, 2}
	if invalid {
		groups = [2]int{2, 1}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "cells {\n  cell { name: \"c0\" group: %d }\n  cell { name: \"c1\" group: %d }\n  tenancy {\n    others: \"others\"\n", groups[0], groups[1])
	for t := range v.Tenants {
		fmt.Fprintf(&b, "    rule { prefix: \"t%d/\" tenant: \"t%d\" }\n", t, t)
	}
	fmt.Fprintf(&b, "  }\n  tenant { name: \"t0\" weight: %d }\n}\n", n+1)
	return b.String()
}

// operatorText returns the operator file of driver i.
func (c *versionsRun) operatorText(i int) string {
	rulebook := strings.TrimSuffix(c.rulebookText(0, false), "}\n")
	cellLease := c.Lease
	if c.Partition { // keep the lease on cells from stopping a driver first
		cellLease = 10 * c.Lease
	}
	return fmt.Sprintf("%s  budget { rpcs: 600 call_outs: 600 lend: 0.5 }\n  coordination { lease_ms: %d hold_ms: 1500 held: 1000 }\n}\n%sfleet { lease_ms: %d most_shut_out: 0.34 %s}\n",
		rulebook, cellLease.Milliseconds(), c.council.operatorText(i), c.Lease.Milliseconds(), c.gossipText(i))
}

// gossipText returns the gossip section of the operator file of driver i.
func (c *versionsRun) gossipText(i int) string {
	if !c.Gossip {
		return ""
	}
	return fmt.Sprintf("gossip { listen: %q fellow: %q fellow: %q probe_ms: 100 } ", c.gossipAddresses[i], c.gossipAddresses[0], c.gossipAddresses[1])
}

// Run runs the trial.
func (v *Versions) Run(ctx context.Context) (*VersionsResult, error) {
	c := &versionsRun{Versions: v, result: &VersionsResult{RPCs: map[sockets.Outcome]int{}, Faults: map[string]int{}},
		seen: map[versions.Number]versions.Version{}, firstSeen: map[versions.Number]time.Time{}, shutOut: map[string]bool{}}
	c.workload = newWorkload(v.Seed, func() *sockets.Driver {
		if i := c.busiestDriver.Load(); i > 0 && c.random.intN(10) > 0 {
			return c.cluster.Drivers[i]
		}
		return c.cluster.Drivers[c.random.intN(v.Drivers)]
	})
	if v.Partition || v.CanaryTrial > 0 {
		c.meanPause = 5 * time.Millisecond
	}
	if v.Rate > 0 {
		c.meanInterval = time.Second * time.Duration(v.Tenants*v.Keys) / time.Duration(v.Rate)
	}
	var err error
	if c.addresses, err = sockets.FreeAddresses(v.Voters); err != nil {
		return nil, err
	}
	if c.gossipAddresses, err = sockets.FreeAddresses(v.Drivers); err != nil {
		return nil, err
	}
	if c.council, err = newRelayedCouncil(v.Seed, c.addresses, v.Drivers); err != nil {
		return nil, err
	}
	defer c.council.network.Close()
	cluster, err := StartCluster(ctx, v.Program, v.fleetConfig(), v.Drivers, func(cluster *Cluster, i int) string {
		c.council.dir = cluster.dir
		return c.operatorText(i)
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	c.cluster = cluster
	for i, d := range cluster.Drivers {
		if err := d.ConfigureTwin(cluster.dir, c.operatorText(max(i, v.Voters))); err != nil {
			return nil, err
		}
	}
	c.startClients(ctx, v.Tenants, v.Keys)
	var faults sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	if v.Faults {
		faults.Add(1)
		go func() { defer faults.Done(); c.council.playFaults(faultCtx, v.Seed) }()
		for _, f := range c.periodicFaults() {
			faults.Add(1)
			go func() { defer faults.Done(); c.injectRepeatedly(faultCtx, f) }()
		}
	}
	switch {
	case v.Partition:
		err = c.runCutOff(ctx)
	case v.Crash:
		err = c.runCrash(ctx)
	case v.OldDisk:
		err = c.runOldDisks(ctx)
	default:
		err = c.runRandomChanges(ctx)
	}
	stopFaults()
	faults.Wait()
	if err == nil && !v.Crash {
		err = c.awaitIdle(ctx)
	}
	c.stop()
	if err != nil {
		return nil, fmt.Errorf("%w\n%s", err, cluster.lastLogLines())
	}
	return c.summarize(), nil
}

// periodicFaults returns the faults of drivers and voters.
func (c *versionsRun) periodicFaults() []periodicFault {
	randomDuration := func() time.Duration { return time.Duration((0.2 + 2*c.random.float64()) * float64(c.Lease)) }
	follower := func() *sockets.Driver { return c.cluster.Drivers[c.Voters+c.random.intN(c.Drivers-c.Voters)] }
	leader := func() *sockets.Driver { return c.cluster.Drivers[c.leaderVoter()] }
	return []periodicFault{
		{"a driver is paused", 3 * time.Second, func(ctx context.Context) {
			d := c.pickDriver()
			d.RunExclusive(func() { pauseDriver(ctx, d, randomDuration()) })
		}},
		{"a driver is killed and restarted", 4 * time.Second, func(ctx context.Context) {
			d := c.pickDriver()
			d.RunExclusive(func() { killAndRestart(ctx, d, time.Duration(c.random.float64()*float64(c.Lease))) })
		}},
		{"the council's leader is killed and restarted", 5 * time.Second, func(ctx context.Context) {
			d := leader()
			d.RunExclusive(func() { killAndRestart(ctx, d, 50*time.Millisecond) })
		}},
		{"the council's leader is paused", 7 * time.Second, func(ctx context.Context) {
			d := leader()
			d.RunExclusive(func() { pauseDriver(ctx, d, randomDuration()) })
		}},
		{"a second process with the name of a driver runs", 9 * time.Second, func(ctx context.Context) {
			d := follower()
			d.RunExclusive(func() {
				end, err := d.StartTwin(ctx)
				if err != nil {
					return
				}
				relays.Sleep(ctx, randomDuration())
				end()
				killAndRestart(ctx, d, 0) // the older process has lost its name and must restart
			})
		}},
		{"a driver restarts with a wall clock offset of minutes", 8 * time.Second, func(ctx context.Context) {
			d := follower()
			d.RunExclusive(func() {
				d.OffsetClock(time.Duration((c.random.float64() - 0.5) * float64(10*time.Minute)))
				killAndRestart(ctx, d, 0)
			})
		}},
		{"two voters are partitioned for longer than a lease", 17 * time.Second, func(ctx context.Context) {
			var cut links.Timeline
			for v := range 2 {
				for _, link := range []links.Link{{From: driverName(v), To: "*"}, {From: "*", To: driverName(v)}} {
					cut = append(cut, links.Event{Fault: links.Silent, Link: link, Duration: 3 * c.Lease / 2})
				}
			}
			c.council.player.Play(ctx, cut)
		}},
	}
}

// leaderVoter returns the index of the leader as reported by the first voter that answers, or a
// random voter.
func (c *versionsRun) leaderVoter() int { return leaderIndex(c.addresses, c.random) }

func leaderIndex(addresses []string, random *lockedRand) int {
	state, err := membership.NewClient(addresses...).Council(context.Background())
	if err != nil || state.Leader == 0 {
		return random.intN(len(addresses))
	}
	return int(state.Leader) - 1
}

// randomPlan draws the rollout plan of a version.
func (c *versionsRun) randomPlan() versions.Plan {
	p := versions.Plan{AnnounceTimeout: int64(4 * c.Lease), AdoptTimeout: int64(4 * c.Lease), DrainTimeout: int64(6 * c.Lease), TrialTime: int64(100 * time.Millisecond)}
	if c.CanaryTrial > 0 {
		p.CanaryFraction, p.TrialTime = 0.2, int64(c.CanaryTrial)
		return p
	}
	switch c.random.intN(3) {
	case 0:
		p.Exclusive = true
	case 1:
		p.CanaryFraction = 0.2
	}
	return p
}

// runRandomChanges proposes versions until enough are closed. Some are invalid and some are called
// off.
func (c *versionsRun) runRandomChanges(ctx context.Context) error {
	council := membership.NewClient(c.addresses...)
	deadline := time.Now().Add(c.Timeout)
	for n := 1; ; {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		fleet, err := council.FleetState(callCtx)
		if err == nil {
			c.observe(&fleet)
		}
		plan := c.randomPlan()
		switch {
		case c.result.Closed >= c.MinClosed && c.result.Withdrawn >= c.MinWithdrawn:
			cancel()
			return nil
		case ctx.Err() != nil:
			cancel()
			return ctx.Err()
		case time.Now().After(deadline):
			cancel()
			return fmt.Errorf("only %d of %d versions were closed in %v: %s", c.result.Closed, c.MinClosed, c.Timeout, c.newestStatus(&fleet))
		case err == nil && !c.isChanging(&fleet):
			invalid := c.CanaryTrial == 0 && plan.CanaryFraction > 0 && c.random.intN(4) == 0
			err := council.ChangeFleet(callCtx, membership.FleetChange{Propose: &membership.Proposal{Resource: routing.Rulebook, Text: c.rulebookText(n, invalid), Reason: "trial", Plan: plan}})
			n++
			c.result.Proposed++
			if err != nil {
				c.result.Rejected++
			}
		case err == nil && c.CanaryTrial == 0 && c.random.intN(300) == 0:
			council.ChangeFleet(callCtx, membership.FleetChange{RollBack: routing.Rulebook, Reason: "trial"})
		}
		for _, d := range fleet.Drivers {
			if d.State.String() == "shut out" && c.random.intN(40) == 0 {
				council.ChangeFleet(callCtx, membership.FleetChange{Readmit: d.Name, Reason: "trial"})
			}
		}
		cancel()
		time.Sleep(10 * time.Millisecond)
	}
}

// runCutOff proposes versions one after another, each while a driver is partitioned from the
// council for longer than its lease, and waits until each is closed.
func (c *versionsRun) runCutOff(ctx context.Context) error {
	for n := 1; n <= c.MinClosed; n++ {
		isolated := c.Voters + n%(c.Drivers-c.Voters)
		c.busiestDriver.Store(int64(isolated))
		cut := links.Timeline{}
		for v := range c.Voters {
			for _, link := range []links.Link{{From: driverName(isolated), To: driverName(v)}, {From: driverName(v), To: driverName(isolated)}} {
				cut = append(cut, links.Event{Fault: links.Silent, Link: link, Duration: time.Duration(cmp.Or(c.PartitionLeases, 3)) * c.Lease})
			}
		}
		played := make(chan error, 1)
		go func() { played <- c.council.player.Play(ctx, cut) }()
		if !relays.Sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
		if err := c.closeVersion(ctx, n); err != nil {
			return err
		}
		if err := <-played; err != nil {
			return err
		}
		if !relays.Sleep(ctx, c.Lease/2) {
			return ctx.Err()
		}
	}
	return nil
}

// closeVersion proposes the n-th version and waits until it is closed.
func (c *versionsRun) closeVersion(ctx context.Context, n int) (err error) {
	council, deadline := membership.NewClient(c.addresses...), time.Now().Add(c.Timeout)
	plan := versions.Plan{AnnounceTimeout: int64(20 * c.Lease), AdoptTimeout: int64(20 * c.Lease), DrainTimeout: int64(20 * c.Lease)}
	wish := membership.FleetChange{Propose: &membership.Proposal{Resource: routing.Rulebook, Text: c.rulebookText(n, false), Reason: "trial", Plan: plan}}
	for err = council.ChangeFleet(ctx, wish); err != nil && time.Now().Before(deadline) && ctx.Err() == nil; err = council.ChangeFleet(ctx, wish) {
		time.Sleep(20 * time.Millisecond) // there may be no leader at the moment
	}
	if err != nil {
		return err
	}
	c.result.Proposed++
	for ; c.result.Closed < n; time.Sleep(5 * time.Millisecond) {
		fleet, err := council.FleetState(ctx)
		if err == nil {
			c.observe(&fleet)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d was not closed in %v: %s", n, c.Timeout, c.newestStatus(&fleet))
		}
	}
	return nil
}

// runCrash proposes a version that crashes its canaries and waits until it is withdrawn.
func (c *versionsRun) runCrash(ctx context.Context) error {
	council := membership.NewClient(c.addresses...)
	plan := versions.Plan{CanaryFraction: 0.2, TrialTime: int64(time.Minute), AnnounceTimeout: int64(time.Minute), AdoptTimeout: int64(time.Minute), DrainTimeout: int64(time.Minute)}
	wish := membership.FleetChange{Propose: &membership.Proposal{Resource: routing.Rulebook, Text: c.rulebookText(1, false), Reason: "trial", Plan: plan}}
	if err := council.ChangeFleet(ctx, wish); err != nil {
		return err
	}
	var trialStart time.Time
	for start := time.Now(); time.Since(start) < c.Timeout; time.Sleep(5 * time.Millisecond) {
		fleet, err := council.FleetState(ctx)
		known := fleet.Versions[routing.Rulebook]
		if err != nil || len(known) == 0 {
			continue
		}
		switch last := known[len(known)-1]; {
		case last.Stage == versions.StageCanary && trialStart.IsZero():
			trialStart = time.Now()
		case last.Stage >= versions.StageRollingBack:
			c.result.Reasons = append(c.result.Reasons, last.Reason)
			c.result.WithdrawDelay = time.Since(trialStart)
			return nil
		}
	}
	return fmt.Errorf("version that crashes its canaries was not withdrawn in %v", c.Timeout)
}

// newestStatus describes the state of the newest version.
func (c *versionsRun) newestStatus(fleet *membership.FleetState) string {
	known := fleet.Versions[routing.Rulebook]
	if len(known) == 0 {
		return "no version is known"
	}
	last := known[len(known)-1]
	return fmt.Sprintf("version %d is %v, held back by %v", last.Number, last.Stage, fleet.Stalled)
}

// isChanging reports whether a version is being rolled out or withdrawn.
func (c *versionsRun) isChanging(fleet *membership.FleetState) bool {
	known := fleet.Versions[routing.Rulebook]
	if len(known) == 0 {
		return false
	}
	stage := known[len(known)-1].Stage
	return stage != versions.StageCompleted && stage != versions.StageRolledBack
}

// observe counts what has changed since the last call.
func (c *versionsRun) observe(fleet *membership.FleetState) {
	for _, version := range fleet.Versions[routing.Rulebook] {
		previous := c.seen[version.Number]
		if c.firstSeen[version.Number].IsZero() {
			c.firstSeen[version.Number] = time.Now()
		}
		if version.Stage == versions.StageCompleted && previous.Stage != versions.StageCompleted {
			c.result.Closed++
			c.closeTimes = append(c.closeTimes, float64(version.CompletedAt-c.firstSeen[version.Number].UnixNano())/1e9)
			if version.Plan.Exclusive {
				c.result.Exclusive++
			}
			if len(version.Canaries) > 0 {
				c.result.Canaried++
				c.result.Reasons = append(c.result.Reasons, version.TrialResult)
			}
		}
		if version.Stage == versions.StageRolledBack && previous.Stage != versions.StageRolledBack {
			c.result.Withdrawn++
			c.result.Reasons = append(c.result.Reasons, version.Reason)
		}
		c.seen[version.Number] = version
	}
	for _, driver := range fleet.Drivers {
		key := fmt.Sprint(driver.Name, driver.Start, driver.ChangedAt)
		if driver.State.String() == "shut out" && !c.shutOut[key] {
			c.shutOut[key] = true
			c.result.ShutOut++
		}
	}
}

// awaitIdle waits until no version is being rolled out and all drivers act on the newest.
func (c *versionsRun) awaitIdle(ctx context.Context) error {
	council := membership.NewClient(c.addresses...)
	var last membership.FleetState
	for deadline := time.Now().Add(20*c.Lease + 10*time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		fleet, err := council.FleetState(ctx)
		if err != nil {
			continue
		}
		last = fleet
		c.observe(&fleet)
		for _, driver := range fleet.Drivers {
			if driver.State.String() == "shut out" {
				council.ChangeFleet(ctx, membership.FleetChange{Readmit: driver.Name, Reason: "the night is over"})
			}
		}
		closed, _ := fleet.LatestCompleted(routing.Rulebook)
		closed = max(closed, versions.InitialVersion)
		acting := 0
		for _, driver := range fleet.Drivers {
			if driver.MayAct && slices.ContainsFunc(driver.Reports, func(s versions.Report) bool { return s.Resource == routing.Rulebook && s.Active == closed }) {
				acting++
			}
		}
		if !c.isChanging(&fleet) && acting == c.Drivers {
			c.result.Drivers = fleet.Drivers
			c.stop()
			return c.compareAudit(ctx)
		}
	}
	return fmt.Errorf("timed out waiting for versions to settle: %s", c.newestStatus(&last))
}

// summarize checks what members received and computes the result.
func (c *versionsRun) summarize() *VersionsResult {
	r := c.result
	r.CloseP50, r.CloseP99 = p50p99(c.closeTimes)
	for _, t := range c.closeTimes {
		r.CloseMax = max(r.CloseMax, time.Duration(t*float64(time.Second)))
	}
	c.checkFences(c.cluster.Fleet.FencedAttempts())
	c.cluster.Fleet.WithModel(func(_ int64, f *emulator.Fleet) {
		r.Writes = c.cluster.Fleet.CheckAcknowledged(f, func(key string) int64 { return c.tenantGroup(key) })
	})
	r.Violations = append(r.Violations, c.cluster.Fleet.Violations()...)
	r.RPCs, r.Unexplained = c.outcomes, c.unexplained
	r.RejectedShare = float64(c.rejectedWrites) / float64(max(1, c.writes))
	r.WriteP50, r.WriteP99 = p50p99(c.writeLatencies)
	c.addFaultCounts(r.Faults)
	c.council.addFaultCounts(r.Faults)
	return r
}

// tenantGroup returns the group of a key's tenant. No tenant is moved in this trial.
func (c *versionsRun) tenantGroup(key string) int64 {
	return hashedGroup(2, key)
}

// checkFences looks for attempts under a version that was closed before and for concurrent use of a
// version that must be exclusive.
func (c *versionsRun) checkFences(attempts []emulator.FencedAttempt) {
	r := c.result
	r.Attempts, r.MinCloseMargin = len(attempts), time.Hour
	attempts = slices.DeleteFunc(attempts, func(attempt emulator.FencedAttempt) bool { return attempt.Rejected })
	r.RejectedAttempts = r.Attempts - len(attempts)
	slices.SortFunc(attempts, func(a, b emulator.FencedAttempt) int { return int(a.At - b.At) })
	newest := uint64(0)
	for _, attempt := range attempts {
		for _, v := range c.seen {
			if v.Stage == versions.StageCompleted && uint64(v.Number) > attempt.Fence {
				if margin := time.Duration(v.CompletedAt - attempt.At); margin < 0 {
					r.LateAttempts++
					r.MaxLateness = max(r.MaxLateness, -margin)
					r.Violations = append(r.Violations, emulator.Violation{Rule: emulator.RuleClosedVersion, RPC: attempt.RPC,
						Detail: fmt.Sprintf("attempt under version %d arrived %v after version %d was closed", attempt.Fence, -margin, v.Number)})
				} else if uint64(v.Base) == attempt.Fence {
					r.MinCloseMargin = min(r.MinCloseMargin, margin)
				}
			}
		}
		if attempt.Fence < newest && c.seen[versions.Number(newest)].Plan.Exclusive {
			r.Violations = append(r.Violations, emulator.Violation{Rule: emulator.RuleVersionOverlap, RPC: attempt.RPC,
				Detail: fmt.Sprintf("attempt under version %d arrived after one under exclusive version %d", attempt.Fence, newest)})
		}
		newest = max(newest, attempt.Fence)
	}
}

// Table formats the result as a Markdown table.
func (r *VersionsResult) Table() string {
	ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	rows := [][]string{
		{"versions proposed, rejected", fmt.Sprintf("%d, %d", r.Proposed, r.Rejected)},
		{"versions closed, of these exclusive, tried by canaries", fmt.Sprintf("%d, %d, %d", r.Closed, r.Exclusive, r.Canaried)},
		{"versions withdrawn", fmt.Sprint(r.Withdrawn)},
		{"drivers shut out", fmt.Sprint(r.ShutOut)},
		{"attempts with a version that members received", fmt.Sprint(r.Attempts)},
		{"of these, rejected by members as fenced", fmt.Sprint(r.RejectedAttempts)},
		{"accepted by members under a version after a newer one was closed (bound: 0)", fmt.Sprint(r.LateAttempts)},
		{"of these, the longest time after the closing", ms(r.MaxLateness)},
		{"shortest time from the last attempt under a version to the closing of the next", ms(r.MinCloseMargin)},
		{"time from proposal to closing, p50, p99 and maximum", fmt.Sprintf("%s, %s, %s", ms(r.CloseP50), ms(r.CloseP99), ms(r.CloseMax))},
		{"RPCs served, rejected, aborted, timed out, connection lost, connect failed", fmt.Sprintf("%d, %d, %d, %d, %d, %d",
			r.RPCs[sockets.Served], r.RPCs[sockets.Rejected], r.RPCs[sockets.Aborted], r.RPCs[sockets.TimedOut],
			r.RPCs[sockets.ConnectionLost], r.RPCs[sockets.ConnectFailed])},
		{"of those without an answer, at undisturbed drivers", fmt.Sprint(r.Unexplained)},
		{"acknowledged writes", fmt.Sprint(r.Writes)},
		{"latency of served writes, p50 and p99", fmt.Sprintf("%s, %s", ms(r.WriteP50), ms(r.WriteP99))},
		{"share of writes rejected", fmt.Sprintf("%.4f", r.RejectedShare)},
	}
	audit := &r.Audit
	rows = append(rows, [][]string{
		{"audit: entries, faults in trails, unknown spans", fmt.Sprintf("%d, %d, %d", audit.Entries, len(audit.Faults), audit.UnknownSpans)},
		{"audit: acts found under a version after a newer one was closed", fmt.Sprint(audit.LateActivities)},
		{"audit: writes received by members; with the right version, only counted, with another version, in an unknown span, missing",
			fmt.Sprintf("%d; %d, %d, %d, %d, %d", audit.Writes, audit.Matched, audit.Counted, audit.WrongVersion, audit.Unknown, audit.Missing)},
	}...)
	for _, what := range slices.Concat(audit.FirstMissing, audit.FirstLate) {
		rows = append(rows, []string{"audit: example", what})
	}
	rows = append(rows, violationRows(r.Violations)...)
	return markdownTable([]string{"what", "figure"}, append(rows, faultCountRows(r.Faults)...))
}
