package versions

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var usual = Plan{AnnounceTimeout: 100, AdoptTimeout: 100, DrainTimeout: 100}

// fleet is drivers that do what they are told at once.
type fleet struct {
	t       *testing.T
	l       *Controller
	holders map[string]*DriverState
	signs   []Instance
	may     map[string]bool
	now     int64
}

func newFleet(t *testing.T, drivers int) *fleet {
	f := &fleet{t: t, l: NewController(), holders: map[string]*DriverState{}, may: map[string]bool{}}
	for i := range drivers {
		s := Instance{fmt.Sprint("d", i), 1}
		f.signs, f.holders[s.Name], f.may[s.Name] = append(f.signs, s), NewDriverState(), true
	}
	return f
}

func (f *fleet) must(records []Record, err error) {
	require.NoError(f.t, err)
	for _, k := range records {
		require.NoError(f.t, f.l.Apply(k))
	}
}

func (f *fleet) present() (all []DriverStatus) {
	for _, s := range f.signs {
		all = append(all, DriverStatus{Instance: s, MayAct: f.may[s.Name]})
	}
	return all
}

// renew lets a driver ask and take in what it is told.
func (f *fleet) renew(s Instance) (due []Adoption) {
	f.l.RecordReports(s, f.holders[s.Name].Reports())
	return f.holders[s.Name].ApplyGrant(f.now, Grant{Lease: 1000, Assignments: f.l.Assignments(s)})
}

// rounds lets all drivers that may act ask, adopt and ask again, and steps be taken, until nothing happens any more.
func (f *fleet) rounds() {
	for range 20 {
		for _, s := range f.signs {
			if f.may[s.Name] {
				for _, a := range f.renew(s) {
					f.holders[s.Name].MarkAdopted(a)
				}
				f.l.RecordReports(s, f.holders[s.Name].Reports())
			}
		}
		f.must(f.l.Step(f.now, f.present()), nil)
	}
}

func (f *fleet) stage() Stage { return f.l.lines["x"].last().Stage }

func (f *fleet) propose(digest string, p Plan) {
	f.must(f.l.Propose(f.now, "x", digest, "text of "+digest, "test", p))
}

// Guards against a first version that nobody ever acts on, and one that is not told to who comes later.
func TestVersionIsRolledOut(t *testing.T) {
	f := newFleet(t, 3)
	f.propose("a", usual)
	_, err := f.l.Propose(0, "x", "b", "t", "", usual)
	require.ErrorContains(t, err, "version 2 of x is under way: told")
	f.rounds()
	require.Equal(t, StageCompleted, f.stage())
	require.Len(t, f.l.Versions("x")[0].Evidence.Confirmed, 3)
	late := Instance{"late", 1}
	f.holders["late"] = NewDriverState()
	due := f.renew(late)
	require.Equal(t, []Adoption{{"x", 2, "text of a"}}, due)
	_, may := f.holders["late"].Begin(0, "x")
	require.False(t, may, "not before it has adopted it")
	f.holders["late"].MarkAdopted(due[0])
	n, may := f.holders["late"].Begin(0, "x")
	require.True(t, may)
	require.EqualValues(t, 2, n)
	require.Empty(t, f.l.Assignments(late)[0].ActiveText)
}

// Guards against a version that waits for ever for a driver that is away, and against one closed before its lease is over.
func TestRolloutWaitsForLeaseOfDisconnectedDriver(t *testing.T) {
	f := newFleet(t, 3)
	f.propose("a", usual)
	f.rounds()
	f.propose("b", usual)
	away, others := f.signs[1], []Instance{f.signs[0], f.signs[2]}
	require.Equal(t, StageAnnounced, f.without(others))
	f.renew(away) // it holds it now, and is not heard of any more
	f.l.RecordReports(away, f.holders[away.Name].Reports())
	require.Equal(t, StageActivating, f.without(others))
	require.Equal(t, []Instance{away}, f.l.StalledVersions(f.now, f.present())[0].Instances)
	require.False(t, f.l.StalledVersions(f.now, f.present())[0].IsOverdue)
	require.True(t, f.l.StalledVersions(f.now+101, f.present())[0].IsOverdue)
	f.may[away.Name] = false
	f.rounds()
	require.Equal(t, StageCompleted, f.stage())
	require.Equal(t, []Instance{away}, f.l.Versions("x")[1].Evidence.Expired)
	n, may := f.holders[away.Name].Begin(f.now, "x")
	require.True(t, may && n == 2, "its lease is not over by its own clock here")
	f.may[away.Name] = true
	f.holders[away.Name].lease = 0
	due := f.renew(away)
	_, may = f.holders[away.Name].Begin(f.now, "x")
	require.False(t, may, "it has missed the change: nothing on the old one, though its lease is new")
	require.Equal(t, []Adoption{{"x", 3, "text of b"}}, due)
	require.False(t, f.holders[away.Name].MayContinue(f.now, "x", 2), "nor what had begun")
}

// without lets some ask and steps be taken, while the others are waited for.
func (f *fleet) without(there []Instance) Stage {
	for range 5 {
		for _, s := range there {
			for _, a := range f.renew(s) {
				f.holders[s.Name].MarkAdopted(a)
			}
			f.l.RecordReports(s, f.holders[s.Name].Reports())
		}
		f.must(f.l.Step(f.now, f.present()), nil)
	}
	return f.stage()
}

// Guards against two versions at once of what must not overlap.
func TestExclusiveVersionsDoNotOverlap(t *testing.T) {
	f := newFleet(t, 2)
	exclusive := usual
	exclusive.Exclusive = true
	f.propose("a", exclusive)
	f.rounds()
	h := f.holders["d0"]
	n, _ := h.Begin(0, "x")
	f.propose("b", exclusive)
	f.rounds()
	require.Equal(t, StageStopping, f.stage())
	_, may := f.holders["d1"].Begin(0, "x")
	require.False(t, may)
	require.False(t, h.MayContinue(0, "x", n))
	h.End("x", n)
	f.rounds()
	require.Equal(t, StageCompleted, f.stage())
	n, _ = h.Begin(0, "x")
	require.EqualValues(t, 3, n)
}

// Guards against a version that harms all: canaries try it, and it is withdrawn when one fails.
func TestRollbackAfterCanaryRestart(t *testing.T) {
	f := newFleet(t, 10)
	f.propose("a", usual)
	f.rounds()
	try := usual
	try.CanaryFraction, try.TrialTime = 0.2, 50
	f.propose("b", try)
	f.rounds()
	require.Equal(t, StageCanary, f.stage())
	tried := f.l.Versions("x")[1].Canaries
	require.Len(t, tried, 2)
	for _, s := range f.signs {
		n, _ := f.holders[s.Name].Begin(0, "x")
		require.Equal(t, n == 3, s == tried[0] || s == tried[1])
		f.holders[s.Name].End("x", n)
	}
	for i, s := range f.signs { // it crashed, and its next start was heard
		if s == tried[0] {
			f.signs[i].Start, f.holders[s.Name] = 2, NewDriverState()
		}
	}
	f.rounds()
	require.Equal(t, StageRolledBack, f.stage())
	for _, s := range f.signs {
		n, _ := f.holders[s.Name].Begin(0, "x")
		require.EqualValues(t, 2, n, s.Name)
		f.holders[s.Name].End("x", n)
	}
	f.propose("c", try)
	f.rounds()
	require.Equal(t, StageCanary, f.stage())
	require.EqualValues(t, 2, f.l.Versions("x")[2].Base, "what was withdrawn is nobody's base")
	f.now += 60
	f.rounds()
	require.Equal(t, StageCompleted, f.stage())
}

// Guards against a canary that says that it can't, and is not listened to.
func TestRollbackAfterCanaryFailure(t *testing.T) {
	f := newFleet(t, 3)
	f.propose("a", usual)
	f.rounds()
	try := usual
	try.CanaryFraction = 0.1
	f.propose("b", try)
	for range 4 {
		for _, s := range f.signs {
			for _, a := range f.renew(s) {
				f.holders[s.Name].MarkFailed(a, "no such cell")
			}
			f.l.RecordReports(s, f.holders[s.Name].Reports())
		}
		f.must(f.l.Step(f.now, f.present()), nil)
	}
	require.True(t, strings.Contains(f.l.Versions("x")[1].Reason, "can't act on it: no such cell"), f.l.Versions("x")[1].Reason)
	n, may := f.holders["d0"].Begin(0, "x")
	require.True(t, may && n == 2, "all the while it acts on the older")
}

// Guards against plans that can't be, and records that do not follow.
func TestInvalidProposalsAndRecords(t *testing.T) {
	f := newFleet(t, 1)
	for says, p := range map[string]Plan{"a plan needs a time": {}, "can't be tried by some first": {Exclusive: true, CanaryFraction: 1, AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1},
		"a part of 2 can't try it": {CanaryFraction: 2, AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1}} {
		_, err := f.l.Propose(0, "x", "d", "t", "", p)
		require.ErrorContains(t, err, says)
	}
	_, err := f.l.Propose(0, "", "d", "t", "", usual)
	require.Error(t, err)
	_, err = f.l.Propose(0, "x", "d", strings.Repeat("x", mostText+1), "", usual)
	require.Error(t, err)
	_, err = f.l.RollBack(0, "x", "")
	require.ErrorContains(t, err, "no version of x is under way")
	f.propose("a", usual)
	first := Record{*f.l.lines["x"].last()}
	require.Error(t, f.l.Apply(first), "twice")
	f.rounds()
	_, err = f.l.RollBack(0, "x", "")
	require.Error(t, err)
	skipped := first
	skipped.Version.Number, skipped.Version.Epoch = 4, 99
	require.ErrorContains(t, f.l.Apply(skipped), "version 4 of x does not follow 2")
}

// Guards against a successor that knows less, or that counts on what drivers told another.
func TestNewLeaderContinues(t *testing.T) {
	f := newFleet(t, 2)
	f.propose("a", usual)
	f.rounds()
	f.propose("b", usual)
	f.rounds()
	past := f.l.Snapshot()
	f.l = NewController()
	f.l.Restore(past)
	require.Equal(t, past, f.l.Snapshot())
	f.l.StartLeading()
	f.propose("c", usual)
	require.Empty(t, f.l.Step(f.now, f.present()), "nobody has told it anything")
	f.rounds()
	require.Equal(t, StageCompleted, f.stage())
	require.Empty(t, f.l.Versions("x")[0].Text, "what nobody can need is not kept")
}
