package versions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testPlan = Plan{AnnounceTimeout: 100, AdoptTimeout: 100, DrainTimeout: 100}

// fleet is a controller with drivers that activate assigned versions at once.
type fleet struct {
	t          *testing.T
	controller *Controller
	states     map[string]*DriverState
	instances  []Instance
	mayAct     map[string]bool
	now        int64
}

func newFleet(t *testing.T, drivers int) *fleet {
	f := &fleet{t: t, controller: NewController(), states: map[string]*DriverState{}, mayAct: map[string]bool{}}
	for i := range drivers {
		instance := Instance{fmt.Sprint("d", i), 1}
		f.instances, f.states[instance.Name], f.mayAct[instance.Name] = append(f.instances, instance), NewDriverState(), true
	}
	return f
}

func (f *fleet) apply(records []Record, err error) {
	require.NoError(f.t, err)
	for _, record := range records {
		require.NoError(f.t, f.controller.Apply(record))
	}
}

func (f *fleet) statuses() (all []DriverStatus) {
	for _, instance := range f.instances {
		all = append(all, DriverStatus{Instance: instance, MayAct: f.mayAct[instance.Name]})
	}
	return all
}

// requestGrant sends a driver's reports and applies the grant.
func (f *fleet) requestGrant(instance Instance) (adoptions []Adoption) {
	f.controller.RecordReports(instance, f.states[instance.Name].Reports())
	return f.states[instance.Name].ApplyGrant(f.now, Grant{Lease: 1000, Assignments: f.controller.Assignments(instance)})
}

// runUntilStable lets all drivers that may act report and activate, and applies transitions, until
// nothing changes.
func (f *fleet) runUntilStable() {
	for range 20 {
		for _, instance := range f.instances {
			if f.mayAct[instance.Name] {
				for _, adoption := range f.requestGrant(instance) {
					f.states[instance.Name].MarkAdopted(adoption)
				}
				f.controller.RecordReports(instance, f.states[instance.Name].Reports())
			}
		}
		f.apply(f.controller.Step(f.now, f.statuses()), nil)
	}
}

func (f *fleet) stage() Stage { return f.controller.histories["x"].latest().Stage }

func (f *fleet) propose(digest string, plan Plan) {
	f.apply(f.controller.Propose(f.now, "x", digest, "text of "+digest, "test", plan))
}

// Guards against a first version that is never activated, or not assigned to drivers that join
// later.
func TestVersionIsRolledOut(t *testing.T) {
	f := newFleet(t, 3)
	f.propose("a", testPlan)
	_, err := f.controller.Propose(0, "x", "b", "t", "", testPlan)
	require.ErrorContains(t, err, "version 2 of x is under way: told")
	f.runUntilStable()
	require.Equal(t, StageCompleted, f.stage())
	require.Len(t, f.controller.Versions("x")[0].Evidence.Confirmed, 3)
	added := Instance{"late", 1}
	f.states["late"] = NewDriverState()
	adoptions := f.requestGrant(added)
	require.Equal(t, []Adoption{{"x", 2, "text of a"}}, adoptions)
	_, ok := f.states["late"].Begin(0, "x")
	require.False(t, ok, "not activated yet")
	f.states["late"].MarkAdopted(adoptions[0])
	n, ok := f.states["late"].Begin(0, "x")
	require.True(t, ok)
	require.EqualValues(t, 2, n)
	require.Empty(t, f.controller.Assignments(added)[0].ActiveText)
}

// Guards against a rollout that waits forever for a disconnected driver, and one that completes
// before its lease expires.
func TestRolloutWaitsForLeaseOfDisconnectedDriver(t *testing.T) {
	f := newFleet(t, 3)
	f.propose("a", testPlan)
	f.runUntilStable()
	f.propose("b", testPlan)
	disconnected, others := f.instances[1], []Instance{f.instances[0], f.instances[2]}
	require.Equal(t, StageAnnounced, f.runOnly(others))
	f.requestGrant(disconnected) // stores the version, then disconnects
	f.controller.RecordReports(disconnected, f.states[disconnected.Name].Reports())
	require.Equal(t, StageActivating, f.runOnly(others))
	require.Equal(t, []Instance{disconnected}, f.controller.StalledVersions(f.now, f.statuses())[0].Instances)
	require.False(t, f.controller.StalledVersions(f.now, f.statuses())[0].IsOverdue)
	require.True(t, f.controller.StalledVersions(f.now+101, f.statuses())[0].IsOverdue)
	f.mayAct[disconnected.Name] = false
	f.runUntilStable()
	require.Equal(t, StageCompleted, f.stage())
	require.Equal(t, []Instance{disconnected}, f.controller.Versions("x")[1].Evidence.Expired)
	n, ok := f.states[disconnected.Name].Begin(f.now, "x")
	require.True(t, ok && n == 2, "its own lease has not expired")
	f.mayAct[disconnected.Name] = true
	f.states[disconnected.Name].leaseExpiry = 0
	adoptions := f.requestGrant(disconnected)
	_, ok = f.states[disconnected.Name].Begin(f.now, "x")
	require.False(t, ok, "must not act on the old version with a new lease")
	require.Equal(t, []Adoption{{"x", 3, "text of b"}}, adoptions)
	require.False(t, f.states[disconnected.Name].MayContinue(f.now, "x", 2), "nor continue earlier requests")
}

// runOnly is like runUntilStable with only some of the drivers connected.
func (f *fleet) runOnly(active []Instance) Stage {
	for range 5 {
		for _, instance := range active {
			for _, adoption := range f.requestGrant(instance) {
				f.states[instance.Name].MarkAdopted(adoption)
			}
			f.controller.RecordReports(instance, f.states[instance.Name].Reports())
		}
		f.apply(f.controller.Step(f.now, f.statuses()), nil)
	}
	return f.stage()
}

// Guards against two exclusive versions being active at the same time.
func TestExclusiveVersionsDoNotOverlap(t *testing.T) {
	f := newFleet(t, 2)
	exclusive := testPlan
	exclusive.Exclusive = true
	f.propose("a", exclusive)
	f.runUntilStable()
	state := f.states["d0"]
	n, _ := state.Begin(0, "x")
	f.propose("b", exclusive)
	f.runUntilStable()
	require.Equal(t, StageStopping, f.stage())
	_, ok := f.states["d1"].Begin(0, "x")
	require.False(t, ok)
	require.False(t, state.MayContinue(0, "x", n))
	state.End("x", n)
	f.runUntilStable()
	require.Equal(t, StageCompleted, f.stage())
	n, _ = state.Begin(0, "x")
	require.EqualValues(t, 3, n)
}

// Guards against a version that is activated everywhere although a canary restarted.
func TestRollbackAfterCanaryRestart(t *testing.T) {
	f := newFleet(t, 10)
	f.propose("a", testPlan)
	f.runUntilStable()
	plan := testPlan
	plan.CanaryFraction, plan.TrialTime = 0.2, 50
	f.propose("b", plan)
	f.runUntilStable()
	require.Equal(t, StageCanary, f.stage())
	canaries := f.controller.Versions("x")[1].Canaries
	require.Len(t, canaries, 2)
	for _, instance := range f.instances {
		n, _ := f.states[instance.Name].Begin(0, "x")
		require.Equal(t, n == 3, instance == canaries[0] || instance == canaries[1])
		f.states[instance.Name].End("x", n)
	}
	for i, instance := range f.instances { // crashed and restarted
		if instance == canaries[0] {
			f.instances[i].Start, f.states[instance.Name] = 2, NewDriverState()
		}
	}
	f.runUntilStable()
	require.Equal(t, StageRolledBack, f.stage())
	for _, instance := range f.instances {
		n, _ := f.states[instance.Name].Begin(0, "x")
		require.EqualValues(t, 2, n, instance.Name)
		f.states[instance.Name].End("x", n)
	}
	f.propose("c", plan)
	f.runUntilStable()
	require.Equal(t, StageCanary, f.stage())
	require.EqualValues(t, 2, f.controller.Versions("x")[2].Base, "a rolled back version is not a base")
	f.now += 60
	f.runUntilStable()
	require.Equal(t, StageCompleted, f.stage())
}

// Guards against ignoring a canary that reports a failure.
func TestRollbackAfterCanaryFailure(t *testing.T) {
	f := newFleet(t, 3)
	f.propose("a", testPlan)
	f.runUntilStable()
	plan := testPlan
	plan.CanaryFraction = 0.1
	f.propose("b", plan)
	for range 4 {
		for _, instance := range f.instances {
			for _, adoption := range f.requestGrant(instance) {
				f.states[instance.Name].MarkFailed(adoption, "no such cell")
			}
			f.controller.RecordReports(instance, f.states[instance.Name].Reports())
		}
		f.apply(f.controller.Step(f.now, f.statuses()), nil)
	}
	require.True(t, strings.Contains(f.controller.Versions("x")[1].Reason, "can't act on it: no such cell"), f.controller.Versions("x")[1].Reason)
	n, ok := f.states["d0"].Begin(0, "x")
	require.True(t, ok && n == 2, "still acts on the base version")
}

// Guards against invalid plans, and records that do not follow from the state.
func TestInvalidProposalsAndRecords(t *testing.T) {
	f := newFleet(t, 1)
	for message, plan := range map[string]Plan{
		"a plan needs a timeout": {},
		"an exclusive rollout can't have canaries": {Exclusive: true, CanaryFraction: 1, AnnounceTimeout: 1, AdoptTimeout: 1,
			DrainTimeout: 1},
		"canary fraction 2 is not in [0, 1]": {CanaryFraction: 2, AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1},
	} {
		_, err := f.controller.Propose(0, "x", "d", "t", "", plan)
		require.ErrorContains(t, err, message)
	}
	_, err := f.controller.Propose(0, "", "d", "t", "", testPlan)
	require.Error(t, err)
	_, err = f.controller.Propose(0, "x", "d", strings.Repeat("x", maxTextBytes+1), "", testPlan)
	require.Error(t, err)
	_, err = f.controller.RollBack(0, "x", "")
	require.ErrorContains(t, err, "no version of x is under way")
	f.propose("a", testPlan)
	first := Record{*f.controller.histories["x"].latest()}
	require.Error(t, f.controller.Apply(first), "applied twice")
	f.runUntilStable()
	_, err = f.controller.RollBack(0, "x", "")
	require.Error(t, err)
	skipped := first
	skipped.Version.Number, skipped.Version.Epoch = 4, 99
	require.ErrorContains(t, f.controller.Apply(skipped), "version 4 of x does not follow 2")
}

// Guards against a new leader that lost state, or relies on reports to the previous one.
func TestNewLeaderContinues(t *testing.T) {
	f := newFleet(t, 2)
	f.propose("a", testPlan)
	f.runUntilStable()
	f.propose("b", testPlan)
	f.runUntilStable()
	snapshot := f.controller.Snapshot()
	f.controller = NewController()
	f.controller.Restore(snapshot)
	require.Equal(t, snapshot, f.controller.Snapshot())
	f.controller.StartLeading()
	f.propose("c", testPlan)
	require.Empty(t, f.controller.Step(f.now, f.statuses()), "no driver has reported to it")
	f.runUntilStable()
	require.Equal(t, StageCompleted, f.stage())
	require.Empty(t, f.controller.Versions("x")[0].Text, "texts that are not needed are removed")
}
