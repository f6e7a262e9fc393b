package membership

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/audit"
	"sedgespread/internal/council"
	"sedgespread/internal/council/server"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// testCouncil is a council of one voter with a FleetServer.
type testCouncil struct {
	t        *testing.T
	address  string
	diskPath string
	config   FleetConfig
	server   *FleetServer
	stop     func()
}

func newTestCouncil(t *testing.T, maxShutOutShare float64) *testCouncil {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	listener.Close()
	c := &testCouncil{t: t, address: listener.Addr().String(), diskPath: filepath.Join(t.TempDir(), "disk"),
		config: FleetConfig{Lease: 400 * time.Millisecond, ForgetAfter: time.Second, MaxShutOutShare: maxShutOutShare}}
	c.start()
	t.Cleanup(func() { c.stop() })
	return c
}

func (c *testCouncil) start() {
	c.server = NewFleetServer(c.config, newDiscardLogger())
	require.NoError(c.t, c.server.OpenTrails(c.diskPath+".trails"))
	timing := council.Timing{Tick: int64(5 * time.Millisecond), ElectionTicks: 10, MaxDrift: 0.01}
	councilServer, err := server.Open(1, server.VoterAddresses{1: c.address}, false, c.diskPath, timing, map[string]server.StateMachine{FleetStateMachineName: c.server}, newDiscardLogger())
	require.NoError(c.t, err)
	c.server.AttachCouncil(councilServer)
	l, err := net.Listen("tcp", c.address)
	require.NoError(c.t, err)
	mux := http.NewServeMux()
	c.server.Handle(mux)
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(3)
	go func() { defer done.Done(); councilServer.Run(ctx) }()
	go func() { defer done.Done(); c.server.Run(ctx) }()
	go func() { defer done.Done(); jsonhttp.Serve(ctx, l, mux) }()
	c.stop = func() { stop(); done.Wait() }
}

// fakeDriver is a driver that serves only the RPCs that a test begins.
type fakeDriver struct {
	mu           sync.Mutex
	holder       *versions.DriverState
	trail        *audit.Trail
	isStuck      bool // adopts no versions
	adoptedTexts []string
}

func (d *fakeDriver) now() int64 { return time.Now().UnixNano() }

func (d *fakeDriver) VersionReports() ([]versions.Report, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Reports(), d.now()
}

func (d *fakeDriver) ApplyVersionGrant(asked int64, g versions.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.holder.ApplyGrant(asked, g) {
		if !d.isStuck {
			d.holder.MarkAdopted(a)
			d.adoptedTexts = append(d.adoptedTexts, a.Text)
		}
	}
}

func (d *fakeDriver) Joined(who versions.Instance, token string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.trail == nil {
		d.trail = audit.NewTrail(d.now(), who, token, 1000, int64(time.Hour))
	}
}

func (d *fakeDriver) TrailSince(seq uint64, most int) audit.Segment {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.trail == nil {
		return audit.Segment{}
	}
	d.trail.FlushBeforeSend(d.now())
	return d.trail.Since(seq, most)
}

func (d *fakeDriver) FlushTrail(seq uint64) audit.Segment {
	d.mu.Lock()
	d.trail.Flush(d.now())
	d.mu.Unlock()
	return d.TrailSince(seq, 1000)
}

// act serves one RPC and returns the version used, 0 if the driver may not act.
func (d *fakeDriver) act(rpc string) versions.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, mayAct := d.holder.Begin(d.now(), "x")
	if !mayAct {
		return 0
	}
	d.trail.BeginRPC(d.now(), "x", n)
	d.trail.EndRPC(d.now(), "x", n, rpc, audit.NonIdempotent, audit.Served, d.now())
	d.holder.End("x", n)
	return n
}

// join starts a driver. leave stops it gracefully.
func (c *testCouncil) join(name string, level int) (driver *fakeDriver, leave func()) {
	driver = &fakeDriver{holder: versions.NewDriverState()}
	agent := NewFleetAgent([]string{c.address}, roster.Claim{Name: name, Address: "at", Build: "b", Level: level}, c.config.Lease, driver, newDiscardLogger())
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); agent.Run(ctx) }()
	leave = func() { stop(); done.Wait() }
	c.t.Cleanup(leave)
	return driver, leave
}

func (c *testCouncil) requireEventually(message string, condition func(f *FleetState) bool) {
	c.t.Helper()
	var f FleetState
	for startedAt := time.Now(); time.Since(startedAt) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if f = c.server.State(); condition(&f) {
			return
		}
	}
	c.t.Fatalf("%s: %+v", message, f)
}

func (s *FleetState) driverState(name string) roster.State {
	for _, driver := range s.Drivers {
		if driver.Name == name {
			return driver.State
		}
	}
	return roster.StateUnknown
}

// changeFleet retries while there is no leader, because disk latency is not under test.
func (c *testCouncil) changeFleet(change FleetChange) (err error) {
	for startedAt := time.Now(); time.Since(startedAt) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if err = NewClient(c.address).ChangeFleet(context.Background(), change); !jsonhttp.ShouldTryAnother(err) {
			break
		}
	}
	return err
}

// act lets a driver serve one RPC, once it has a lease.
func (c *testCouncil) act(driver *fakeDriver, rpc string) (n versions.Number) {
	for startedAt := time.Now(); n == 0 && time.Since(startedAt) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		n = driver.act(rpc)
	}
	return n
}

func (c *testCouncil) propose(text string) error {
	plan := versions.Plan{AnnounceTimeout: int64(300 * time.Millisecond), AdoptTimeout: int64(300 * time.Millisecond), DrainTimeout: int64(time.Second)}
	return c.changeFleet(FleetChange{Propose: &Proposal{Resource: "x", Text: text, Plan: plan}})
}

func hasClosed(n versions.Number) func(*FleetState) bool {
	return func(f *FleetState) bool { got, _ := f.LatestCompleted("x"); return got == n }
}

// All drivers must converge on the newest version, also over a restart of the council, and the audit must
// tell who used which version.
func TestFleetConvergesOnOneVersion(t *testing.T) {
	c := newTestCouncil(t, 0.5)
	a, _ := c.join("a", 1)
	b, leave := c.join("b", 1)
	c.requireEventually("drivers join", func(state *FleetState) bool {
		return state.driverState("a") == roster.StatePresent && state.driverState("b") == roster.StatePresent
	})
	require.NoError(t, c.propose("one"))
	require.ErrorContains(t, c.propose("two"), "is under way")
	c.requireEventually("version is closed", hasClosed(2))
	require.EqualValues(t, 2, c.act(a, "r1"))
	require.EqualValues(t, 2, c.act(b, "r2"))
	c.stop()
	c.start()
	c.requireEventually("leases are renewed after restart", func(state *FleetState) bool {
		return len(state.Drivers) == 2 && state.Drivers[0].MayAct && len(state.Drivers[0].Reports) == 1
	})
	require.NoError(t, c.propose("two"))
	c.requireEventually("version is closed", hasClosed(3))
	require.EqualValues(t, 3, c.act(a, "r3"))
	leave()
	c.requireEventually("driver left or expired", func(state *FleetState) bool { return state.driverState("b") != roster.StatePresent })
	require.NoError(t, c.propose("three"))
	c.requireEventually("closed without the driver that left", hasClosed(4))
	require.Equal(t, []string{"one", "two", "three"}, a.adoptedTexts)
	var result AuditResult
	for startedAt := time.Now(); time.Since(startedAt) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		var err error
		result, err = Audit(context.Background(), []string{c.address, "127.0.0.1:1"}, AuditQuery{Resource: "x"})
		require.NoError(t, err)
		if len(result.Activities) == 3 {
			break
		}
	}
	require.Len(t, result.Activities, 3)
	require.Equal(t, []versions.Number{2, 2, 3}, []versions.Number{result.Activities[0].Version, result.Activities[1].Version, result.Activities[2].Version})
	require.Empty(t, result.LateActivities)
	require.Empty(t, result.Faults)
	require.Empty(t, result.Gaps)
	require.Equal(t, []string{"127.0.0.1:1"}, result.MissingVoters, "unreachable voter is reported")
}

// An older build must not drop records or fields of a newer one.
func TestRecordsOfNewerBuild(t *testing.T) {
	fleetServer := NewFleetServer(FleetConfig{Lease: time.Second}, newDiscardLogger())
	fleetServer.Apply([]byte(`[{"roster":{"kind":"joins","name":"a","start":1,"claim":{"name":"a","token":"x","colour":"green"},"when":1}}]`))
	fleetServer.Apply([]byte(`[{"roster":{"kind":"leaves","name":"a","start":1,"when":2}}]`))
	fleetServer.Apply([]byte(`[{"garden":{"kind":"rose"}}]`))
	d, _ := fleetServer.roster.Find("a")
	require.Equal(t, roster.StateLeft, d.State, "known fields are applied")
	text, err := fleetServer.Snapshot()
	require.NoError(t, err)
	next := NewFleetServer(FleetConfig{Lease: time.Second}, newDiscardLogger())
	require.NoError(t, next.Restore(text))
	again, err := next.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(text), string(again))
	require.Contains(t, string(again), "green")
	require.Contains(t, string(again), "rose")
	require.Len(t, next.unknownRecords, 2)
}

// Two drivers with one name must not take it from each other repeatedly.
func TestTwoDriversOfOneName(t *testing.T) {
	c := newTestCouncil(t, 0.5)
	earlier, _ := c.join("a", 1)
	c.requireEventually("first driver joins", func(f *FleetState) bool { return len(f.Drivers) == 1 && f.Drivers[0].MayAct })
	later, _ := c.join("a", 1)
	c.requireEventually("later start owns the name", func(f *FleetState) bool { return f.Drivers[0].Start == 2 })
	time.Sleep(2 * c.config.Lease)
	require.EqualValues(t, 2, c.server.State().Drivers[0].Start)
	require.Zero(t, earlier.act("r"))
	require.EqualValues(t, versions.InitialVersion, c.act(later, "r"))
	err := NewClient(c.address).post(context.Background(), "fleet/renew", leaseRequest{Name: "a", Token: "x"}, nil)
	require.ErrorContains(t, err, "a later start of \"a\", number 2 at at, has taken its name over; end one of the two")
	require.Equal(t, http.StatusForbidden, err.(*jsonhttp.StatusError).Status)
}

// A driver must not hold back a version forever, and a bad version must not shut out all drivers.
func TestLaggingDriversAreShutOut(t *testing.T) {
	c := newTestCouncil(t, 0.4)
	var drivers []*fakeDriver
	for _, name := range []string{"a", "b", "c"} {
		driver, _ := c.join(name, 1)
		drivers = append(drivers, driver)
	}
	c.requireEventually("drivers join", func(f *FleetState) bool { return len(f.Drivers) == 3 })
	drivers[1].isStuck = true
	require.NoError(t, c.propose("one"))
	c.requireEventually("driver is shut out", func(f *FleetState) bool { return f.driverState("b") == roster.StateShutOut })
	c.requireEventually("closed without the shut-out driver", hasClosed(2))
	require.Zero(t, drivers[1].act("r"))
	drivers[1].mu.Lock()
	drivers[1].isStuck = false
	drivers[1].mu.Unlock()
	require.NoError(t, c.changeFleet(FleetChange{Readmit: "b", Reason: "mended"}))
	c.requireEventually("readmitted driver uses the version", func(f *FleetState) bool {
		return f.driverState("b") == roster.StatePresent && f.Drivers[1].MayAct && f.Drivers[1].Reports != nil && f.Drivers[1].Reports[0].Active == 2
	})
	for _, driver := range drivers {
		driver.mu.Lock()
		driver.isStuck = true
		driver.mu.Unlock()
	}
	require.NoError(t, c.propose("two"))
	c.requireEventually("version is overdue", func(f *FleetState) bool { return len(f.Stalled) == 1 && f.Stalled[0].IsOverdue })
	time.Sleep(100 * time.Millisecond)
	f := c.server.State()
	require.Equal(t, roster.StatePresent, f.driverState("a"), "too many drivers to shut out")
	require.EqualValues(t, 2, c.act(drivers[0], "r"), "all use the older version")
	require.NoError(t, c.changeFleet(FleetChange{RollBack: "x", Reason: "wrong"}))
	c.requireEventually("withdrawn", func(f *FleetState) bool { v := f.Versions["x"]; return v[len(v)-1].Stage == versions.StageRolledBack })
}

// A build too old for the feature level must not act, and the error must say how to remedy that.
func TestFeatureLevelsOfBuilds(t *testing.T) {
	c := newTestCouncil(t, 0.5)
	c.join("a", 2)
	_, leave := c.join("b", 1)
	c.requireEventually("drivers join", func(f *FleetState) bool { return len(f.Drivers) == 2 })
	require.ErrorContains(t, c.changeFleet(FleetChange{RaiseLevel: 2}), "knows levels up to 1 only")
	leave()
	c.requireEventually("driver left or expired", func(f *FleetState) bool { return f.driverState("b") != roster.StatePresent })
	require.NoError(t, c.changeFleet(FleetChange{RaiseLevel: 2}))
	oldBuild, _ := c.join("b", 1)
	time.Sleep(c.config.Lease)
	require.Zero(t, oldBuild.act("r"))
	err := NewClient(c.address).post(context.Background(), "fleet/join", joinRequest{Claim: roster.Claim{Name: "b", Token: "t", Build: "b0", Level: 1}}, nil)
	require.True(t, err != nil && strings.Contains(err.Error(), "start a newer build"), "%v", err)
	require.ErrorContains(t, c.changeFleet(FleetChange{}), "nothing is asked for")
}

// An audit must report starts that the roster has forgotten as unknown, because trails may be missing.
func TestForgottenStartsAreUnknown(t *testing.T) {
	newStatus := func(name string, oldest roster.StartNumber) DriverStatus {
		return DriverStatus{Driver: roster.Driver{Claim: roster.Claim{Name: name}, Start: oldest + 1, EarlierStarts: []roster.EndedStart{{Start: oldest, JoinedAt: 50}}}}
	}
	state := FleetState{Lease: 7, Drivers: []DriverStatus{newStatus("a", 1), newStatus("b", 3), {Driver: roster.Driver{Claim: roster.Claim{Name: "c"}, Start: 1}}}}
	periods := state.unknownPeriods("", audit.NewCollection(100))
	require.Len(t, periods, 1)
	require.Equal(t, versions.Instance{Name: "b", Start: 2}, periods[0].Instance)
	require.EqualValues(t, []int64{0, 57}, []int64{periods[0].From, periods[0].To})
	require.Contains(t, periods[0].Reason, "a roster remembers 1")
	require.Empty(t, state.unknownPeriods("a", audit.NewCollection(100)))
}

// For starts that the roster has forgotten, exactly the periods before, between and after their trails are
// unknown.
func TestTrailsOfForgottenStartsBoundGaps(t *testing.T) {
	held := audit.NewCollection(100)
	for _, start := range []uint64{1, 2, 4} {
		trail := audit.NewTrail(int64(10*start), versions.Instance{Name: "b", Start: start}, "x", 100, 1)
		trail.Flush(int64(10*start) + 3)
		trail.RecordObserved(int64(10*start)+3, versions.DiscoveryList, 1)
		held.Add(trail.Since(0, 100))
	}
	state := FleetState{Lease: 7, Drivers: []DriverStatus{{Driver: roster.Driver{Claim: roster.Claim{Name: "b"}, Start: 7, EarlierStarts: []roster.EndedStart{{Start: 6, JoinedAt: 60}}}}}}
	var unknown [][]int64
	for _, u := range state.unknownPeriods("b", held) {
		unknown = append(unknown, []int64{int64(u.Instance.Start), u.From, u.To})
	}
	require.Equal(t, [][]int64{{1, 13, 27}, {3, 23, 47}, {5, 43, 67}}, unknown)
}

// The last part of a trail must be stored even if a new leader lacks earlier entries. Otherwise the audit
// would miss it without noticing, since a driver that left has sent its whole trail.
func TestFinalSegmentIsStoredAfterGap(t *testing.T) {
	fleetServer := NewFleetServer(FleetConfig{Lease: time.Second}, newDiscardLogger())
	who := versions.Instance{Name: "a", Start: 1}
	trail := audit.NewTrail(fleetServer.now(), who, "x", 100, int64(time.Hour))
	for range 5 {
		trail.BeginRPC(fleetServer.now(), "x", 1)
		trail.EndRPC(fleetServer.now(), "x", 1, "w", audit.NonIdempotent, audit.Served, fleetServer.now())
	}
	trail.Flush(fleetServer.now())
	fleetServer.storeTrails([]audit.Segment{trail.Since(0, 1)}, false)
	fleetServer.storeTrails([]audit.Segment{trail.Since(4, 100)}, false)
	require.EqualValues(t, 1, fleetServer.trails.LastSeq(who), "earlier entries are missing")
	fleetServer.storeTrails([]audit.Segment{trail.Since(4, 100)}, true)
	require.Len(t, fleetServer.trails.Segments(), 2)
	require.Contains(t, fleetServer.trails.Gaps([]audit.Lifetime{{Instance: who}})[0].Reason, "entries 2 to 4 are not held")
}

// Trails must be written to disk again after a temporary write failure.
func TestTrailFileIsRewrittenAfterFailure(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trails")
	fleetServer := NewFleetServer(FleetConfig{Lease: time.Second}, newDiscardLogger())
	require.NoError(t, fleetServer.OpenTrails(path))
	trail := audit.NewTrail(fleetServer.now(), versions.Instance{Name: "a", Start: 1}, "x", 100, 1)
	storeEntries := func(count int) {
		for range count {
			trail.Flush(fleetServer.now())
			trail.RecordEpoch(fleetServer.now(), "x", 1, 1)
			fleetServer.storeTrails([]audit.Segment{trail.Since(fleetServer.trails.LastSeq(versions.Instance{Name: "a", Start: 1}), 100)}, false)
		}
	}
	storeEntries(1)
	require.NoError(t, fleetServer.trailStore.Close()) // makes writes fail
	storeEntries(2)
	require.NotZero(t, fleetServer.storeFailedAt)
	fleetServer.storeFailedAt -= storeRetryInterval
	storeEntries(2)
	require.Zero(t, fleetServer.storeFailedAt)
	next := NewFleetServer(FleetConfig{Lease: time.Second}, newDiscardLogger())
	require.NoError(t, next.OpenTrails(path))
	require.Equal(t, fleetServer.trails.Segments(), next.trails.Segments())
}
