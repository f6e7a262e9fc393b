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
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// testCouncil is a council of one voter with a fleet's machine.
type testCouncil struct {
	t            *testing.T
	at           string
	disk         string
	terms        FleetConfig
	registration *FleetServer
	stop         func()
}

func newTestCouncil(t *testing.T, most float64) *testCouncil {
	at, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	at.Close()
	c := &testCouncil{t: t, at: at.Addr().String(), disk: filepath.Join(t.TempDir(), "disk"),
		terms: FleetConfig{Lease: 400 * time.Millisecond, ForgetAfter: time.Second, MaxShutOutShare: most}}
	c.start()
	t.Cleanup(func() { c.stop() })
	return c
}

func (c *testCouncil) start() {
	c.registration = NewFleetServer(c.terms, quiet())
	require.NoError(c.t, c.registration.OpenTrails(c.disk+".trails"))
	pace := council.Timing{Tick: int64(5 * time.Millisecond), ElectionTicks: 10, MaxDrift: 0.01}
	k, err := chamber.Open(1, chamber.VoterAddresses{1: c.at}, false, c.disk, pace, map[string]chamber.StateMachine{FleetStateMachineName: c.registration}, quiet())
	require.NoError(c.t, err)
	c.registration.AttachCouncil(k)
	l, err := net.Listen("tcp", c.at)
	require.NoError(c.t, err)
	mux := http.NewServeMux()
	c.registration.Handle(mux)
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(3)
	go func() { defer done.Done(); k.Run(ctx) }()
	go func() { defer done.Done(); c.registration.Run(ctx) }()
	go func() { defer done.Done(); jsonhttp.Serve(ctx, l, mux) }()
	c.stop = func() { stop(); done.Wait() }
}

// fakeDriver is a driver without RPCs but those that a test begins.
type fakeDriver struct {
	mu     sync.Mutex
	holder *versions.DriverState
	trail  *audit.Trail
	stuck  bool // it adopts nothing
	texts  []string
}

func (s *fakeDriver) now() int64 { return time.Now().UnixNano() }

func (s *fakeDriver) Sightings() ([]versions.Report, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Reports(), s.now()
}

func (s *fakeDriver) Granted(asked int64, g versions.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.holder.ApplyGrant(asked, g) {
		if !s.stuck {
			s.holder.MarkAdopted(a)
			s.texts = append(s.texts, a.Text)
		}
	}
}

func (s *fakeDriver) Joined(who versions.Instance, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trail == nil {
		s.trail = audit.NewTrail(s.now(), who, token, 1000, int64(time.Hour))
	}
}

func (s *fakeDriver) Trail(seq uint64, most int) audit.Segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trail == nil {
		return audit.Segment{}
	}
	s.trail.FlushBeforeSend(s.now())
	return s.trail.Since(seq, most)
}

func (s *fakeDriver) LastTrail(seq uint64) audit.Segment {
	s.mu.Lock()
	s.trail.Flush(s.now())
	s.mu.Unlock()
	return s.Trail(seq, 1000)
}

// acts does one RPC, and tells on which version.
func (s *fakeDriver) acts(rpc string) versions.Number {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, may := s.holder.Begin(s.now(), "x")
	if !may {
		return 0
	}
	s.trail.BeginRPC(s.now(), "x", n)
	s.trail.EndRPC(s.now(), "x", n, rpc, audit.NonIdempotent, audit.Served, s.now())
	s.holder.End("x", n)
	return n
}

// joins starts a driver; what it gives ends it in good order.
func (c *testCouncil) joins(name string, level int) (s *fakeDriver, leave func()) {
	s = &fakeDriver{holder: versions.NewDriverState()}
	r := NewFleetAgent([]string{c.at}, roster.Claim{Name: name, Address: "at", Build: "b", Level: level}, c.terms.Lease, s, quiet())
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); r.Run(ctx) }()
	leave = func() { stop(); done.Wait() }
	c.t.Cleanup(leave)
	return s, leave
}

func (c *testCouncil) eventually(what string, ok func(f *FleetState) bool) {
	c.t.Helper()
	var f FleetState
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if f = c.registration.State(); ok(&f) {
			return
		}
	}
	c.t.Fatalf("%s: %+v", what, f)
}

func (f *FleetState) state(name string) roster.State {
	for _, d := range f.Drivers {
		if d.Name == name {
			return d.State
		}
	}
	return roster.StateUnknown
}

// wish asks again while nobody acts for the council: how long its disk takes is not what is tested.
func (c *testCouncil) wish(w FleetChange) (err error) {
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if err = NewClient(c.at).ChangeFleet(context.Background(), w); !jsonhttp.ShouldTryAnother(err) {
			break
		}
	}
	return err
}

// acts lets a driver do one RPC, once it has a lease.
func (c *testCouncil) acts(s *fakeDriver, rpc string) (n versions.Number) {
	for begun := time.Now(); n == 0 && time.Since(begun) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		n = s.acts(rpc)
	}
	return n
}

func (c *testCouncil) propose(text string) error {
	p := versions.Plan{AnnounceTimeout: int64(300 * time.Millisecond), AdoptTimeout: int64(300 * time.Millisecond), DrainTimeout: int64(time.Second)}
	return c.wish(FleetChange{Propose: &Proposal{Thing: "x", Text: text, Plan: p}})
}

func closes(n versions.Number) func(*FleetState) bool {
	return func(f *FleetState) bool { got, _ := f.LatestClosed("x"); return got == n }
}

// Guards against a fleet that does not come to act on one version, over a restart of the council too, and an audit that does
// not say who did.
func TestFleetConvergesOnOneVersion(t *testing.T) {
	c := newTestCouncil(t, 0.5)
	a, _ := c.joins("a", 1)
	b, leave := c.joins("b", 1)
	c.eventually("they join", func(f *FleetState) bool {
		return f.state("a") == roster.StatePresent && f.state("b") == roster.StatePresent
	})
	require.NoError(t, c.propose("one"))
	require.ErrorContains(t, c.propose("two"), "is under way")
	c.eventually("closed", closes(2))
	require.EqualValues(t, 2, c.acts(a, "r1"))
	require.EqualValues(t, 2, c.acts(b, "r2"))
	c.stop()
	c.start()
	c.eventually("leases again", func(f *FleetState) bool {
		return len(f.Drivers) == 2 && f.Drivers[0].MayAct && len(f.Drivers[0].Sightings) == 1
	})
	require.NoError(t, c.propose("two"))
	c.eventually("closed", closes(3))
	require.EqualValues(t, 3, c.acts(a, "r3"))
	leave()
	c.eventually("it has left, or is gone", func(f *FleetState) bool { return f.state("b") != roster.StatePresent })
	require.NoError(t, c.propose("three"))
	c.eventually("nobody waits for who has left", closes(4))
	require.Equal(t, []string{"one", "two", "three"}, a.texts)
	var f AuditResult
	for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		var err error
		f, err = Audit(context.Background(), []string{c.at, "127.0.0.1:1"}, AuditQuery{Thing: "x"})
		require.NoError(t, err)
		if len(f.Acted) == 3 {
			break
		}
	}
	require.Len(t, f.Acted, 3)
	require.Equal(t, []versions.Number{2, 2, 3}, []versions.Number{f.Acted[0].Version, f.Acted[1].Version, f.Acted[2].Version})
	require.Empty(t, f.Late)
	require.Empty(t, f.Faults)
	require.Empty(t, f.Unknown)
	require.Equal(t, []string{"127.0.0.1:1"}, f.Missing, "a voter that can't be asked is told of")
}

// Guards against what a newer build recorded and an older one drops.
func TestRecordsOfNewerBuild(t *testing.T) {
	m := NewFleetServer(FleetConfig{Lease: time.Second}, quiet())
	m.Apply([]byte(`[{"roster":{"kind":"joins","name":"a","start":1,"claim":{"name":"a","token":"x","colour":"green"},"when":1}}]`))
	m.Apply([]byte(`[{"roster":{"kind":"leaves","name":"a","start":1,"when":2}}]`))
	m.Apply([]byte(`[{"garden":{"kind":"rose"}}]`))
	d, _ := m.roster.Find("a")
	require.Equal(t, roster.StateLeft, d.State, "what is understood counts")
	text, err := m.Snapshot()
	require.NoError(t, err)
	next := NewFleetServer(FleetConfig{Lease: time.Second}, quiet())
	require.NoError(t, next.Restore(text))
	again, err := next.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(text), string(again))
	require.Contains(t, string(again), "green")
	require.Contains(t, string(again), "rose")
	require.Len(t, next.strange, 2)
}

// Guards against two of one name that take it from one another again and again.
func TestTwoDriversOfOneName(t *testing.T) {
	c := newTestCouncil(t, 0.5)
	earlier, _ := c.joins("a", 1)
	c.eventually("it joins", func(f *FleetState) bool { return len(f.Drivers) == 1 && f.Drivers[0].MayAct })
	later, _ := c.joins("a", 1)
	c.eventually("the later one has the name", func(f *FleetState) bool { return f.Drivers[0].Start == 2 })
	time.Sleep(2 * c.terms.Lease)
	require.EqualValues(t, 2, c.registration.State().Drivers[0].Start)
	require.Zero(t, earlier.acts("r"))
	require.EqualValues(t, versions.InitialVersion, c.acts(later, "r"))
	err := NewClient(c.at).ask(context.Background(), "fleet/renew", asking{Name: "a", Token: "x"}, nil)
	require.ErrorContains(t, err, "a later start of \"a\", number 2 at at, has taken its name over; end one of the two")
	require.Equal(t, http.StatusForbidden, err.(*jsonhttp.StatusError).Status)
}

// Guards against a driver that holds a version back for ever, and against a version that shuts out everybody.
func TestLaggingDriversAreShutOut(t *testing.T) {
	c := newTestCouncil(t, 0.4)
	var all []*fakeDriver
	for _, name := range []string{"a", "b", "c"} {
		s, _ := c.joins(name, 1)
		all = append(all, s)
	}
	c.eventually("they join", func(f *FleetState) bool { return len(f.Drivers) == 3 })
	all[1].stuck = true
	require.NoError(t, c.propose("one"))
	c.eventually("shut out", func(f *FleetState) bool { return f.state("b") == roster.StateShutOut })
	c.eventually("closed without it", closes(2))
	require.Zero(t, all[1].acts("r"))
	all[1].mu.Lock()
	all[1].stuck = false
	all[1].mu.Unlock()
	require.NoError(t, c.wish(FleetChange{Readmit: "b", Reason: "mended"}))
	c.eventually("it is back", func(f *FleetState) bool {
		return f.state("b") == roster.StatePresent && f.Drivers[1].MayAct && f.Drivers[1].Sightings != nil && f.Drivers[1].Sightings[0].Active == 2
	})
	for _, s := range all {
		s.mu.Lock()
		s.stuck = true
		s.mu.Unlock()
	}
	require.NoError(t, c.propose("two"))
	c.eventually("it waits", func(f *FleetState) bool { return len(f.Behind) == 1 && f.Behind[0].IsOverdue })
	time.Sleep(100 * time.Millisecond)
	f := c.registration.State()
	require.Equal(t, roster.StatePresent, f.state("a"), "too many: nobody is shut out")
	require.EqualValues(t, 2, c.acts(all[0], "r"), "all act on the older")
	require.NoError(t, c.wish(FleetChange{Withdraw: "x", Reason: "wrong"}))
	c.eventually("withdrawn", func(f *FleetState) bool { v := f.Versions["x"]; return v[len(v)-1].Stage == versions.StageRolledBack })
}

// Guards against a build that is too old and acts, and an error that does not say what helps.
func TestFeatureLevelsOfBuilds(t *testing.T) {
	c := newTestCouncil(t, 0.5)
	c.joins("a", 2)
	old, leave := c.joins("b", 1)
	c.eventually("they join", func(f *FleetState) bool { return len(f.Drivers) == 2 })
	require.ErrorContains(t, c.wish(FleetChange{RaiseLevel: 2}), "knows levels up to 1 only")
	leave()
	c.eventually("it has left, or is gone", func(f *FleetState) bool { return f.state("b") != roster.StatePresent })
	require.NoError(t, c.wish(FleetChange{RaiseLevel: 2}))
	old, _ = c.joins("b", 1)
	time.Sleep(c.terms.Lease)
	require.Zero(t, old.acts("r"))
	err := NewClient(c.at).ask(context.Background(), "fleet/join", joining{Claim: roster.Claim{Name: "b", Token: "t", Build: "b0", Level: 1}}, nil)
	require.True(t, err != nil && strings.Contains(err.Error(), "start a newer build"), "%v", err)
	require.ErrorContains(t, c.wish(FleetChange{}), "nothing is asked for")
}

// Guards against an audit that looks complete though the roster has forgotten starts of which trails may be missing.
func TestForgottenStartsAreUnknown(t *testing.T) {
	d := func(name string, oldest roster.StartNumber) DriverStatus {
		return DriverStatus{Driver: roster.Driver{Claim: roster.Claim{Name: name}, Start: oldest + 1, EarlierStarts: []roster.EndedStart{{Start: oldest, JoinedAt: 50}}}}
	}
	f := FleetState{Lease: 7, Drivers: []DriverStatus{d("a", 1), d("b", 3), {Driver: roster.Driver{Claim: roster.Claim{Name: "c"}, Start: 1}}}}
	all := f.forgotten("", audit.NewCollection(100))
	require.Len(t, all, 1)
	require.Equal(t, versions.Instance{Name: "b", Start: 2}, all[0].Instance)
	require.EqualValues(t, []int64{0, 57}, []int64{all[0].From, all[0].To})
	require.Contains(t, all[0].Reason, "a roster remembers 1")
	require.Empty(t, f.forgotten("a", audit.NewCollection(100)))
}

// Guards against a time that is called unknown though trails are held of it, and one that is not though none are: of starts that the roster has
// forgotten what lies before, between and after their trails is not known.
func TestTrailsOfForgottenStartsBoundUnknownPeriods(t *testing.T) {
	held := audit.NewCollection(100)
	for _, start := range []uint64{1, 2, 4} {
		trail := audit.NewTrail(int64(10*start), versions.Instance{Name: "b", Start: start}, "x", 100, 1)
		trail.Flush(int64(10*start) + 3)
		trail.RecordObserved(int64(10*start)+3, versions.DiscoveryList, 1)
		held.Add(trail.Since(0, 100))
	}
	f := FleetState{Lease: 7, Drivers: []DriverStatus{{Driver: roster.Driver{Claim: roster.Claim{Name: "b"}, Start: 7, EarlierStarts: []roster.EndedStart{{Start: 6, JoinedAt: 60}}}}}}
	var unknown [][]int64
	for _, u := range f.forgotten("b", held) {
		unknown = append(unknown, []int64{int64(u.Instance.Start), u.From, u.To})
	}
	require.Equal(t, [][]int64{{1, 13, 27}, {3, 23, 47}, {5, 43, 67}}, unknown)
}

// Guards against the last of a trail that is lost as its driver leaves: the voter that decides by then may hold less than the one before, and
// what is left comes behind a hole. The audit said nothing of that time, since who leaves has told all.
func TestLastTrailPartIsStoredAfterGap(t *testing.T) {
	m := NewFleetServer(FleetConfig{Lease: time.Second}, quiet())
	who := versions.Instance{Name: "a", Start: 1}
	trail := audit.NewTrail(m.now(), who, "x", 100, int64(time.Hour))
	for range 5 {
		trail.BeginRPC(m.now(), "x", 1)
		trail.EndRPC(m.now(), "x", 1, "w", audit.NonIdempotent, audit.Served, m.now())
	}
	trail.Flush(m.now())
	m.hear([]audit.Segment{trail.Since(0, 1)}, false)
	m.hear([]audit.Segment{trail.Since(4, 100)}, false)
	require.EqualValues(t, 1, m.trails.LastSeq(who), "what lies before is to be told first")
	m.hear([]audit.Segment{trail.Since(4, 100)}, true)
	require.Len(t, m.trails.Segments(), 2)
	require.Contains(t, m.trails.Gaps([]audit.Lifetime{{Instance: who}})[0].Reason, "entries 2 to 4 are not held")
}

// Guards against trails that are kept in memory alone for good, since the disk refused them for a moment.
func TestTrailFileIsRewrittenAfterFailure(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trails")
	m := NewFleetServer(FleetConfig{Lease: time.Second}, quiet())
	require.NoError(t, m.OpenTrails(path))
	trail := audit.NewTrail(m.now(), versions.Instance{Name: "a", Start: 1}, "x", 100, 1)
	tells := func(count int) {
		for range count {
			trail.Flush(m.now())
			trail.RecordEpoch(m.now(), "x", 1, 1)
			m.hear([]audit.Segment{trail.Since(m.trails.LastSeq(versions.Instance{Name: "a", Start: 1}), 100)}, false)
		}
	}
	tells(1)
	require.NoError(t, m.shelf.Close()) // so that writes fail
	tells(2)
	require.NotZero(t, m.unkept)
	m.unkept -= renewShelfEvery
	tells(2)
	require.Zero(t, m.unkept)
	next := NewFleetServer(FleetConfig{Lease: time.Second}, quiet())
	require.NoError(t, next.OpenTrails(path))
	require.Equal(t, m.trails.Segments(), next.trails.Segments())
}
