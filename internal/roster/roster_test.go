package roster

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

const second = int64(1_000_000_000)

func newClaim(name, token string) Claim {
	return Claim{Name: name, Token: token, Address: "at", Build: "b1", Level: 2}
}

func (r *Roster) applyAll(t *testing.T, records []Record, err error) {
	require.NoError(t, err)
	for _, record := range records {
		require.NoError(t, r.Apply(0, record))
	}
}

func (r *Roster) mustJoin(t *testing.T, now int64, claim Claim) StartNumber {
	start, err := r.Offer(claim)
	require.NoError(t, err)
	records, err := r.Confirm(now, claim, start)
	r.applyAll(t, records, err)
	require.NoError(t, r.RenewLease(now, claim.Name, claim.Token))
	return start
}

func newTestRoster() *Roster { return New(second, second/100, 10*second) }

// Of two processes with one name the later start wins, and the earlier one is told so.
func TestLaterStartTakesOverName(t *testing.T) {
	r := newTestRoster()
	require.EqualValues(t, 1, r.mustJoin(t, 0, newClaim("a", "x")))
	require.EqualValues(t, 1, r.mustJoin(t, 1, newClaim("a", "x")), "the same start keeps its number")
	require.EqualValues(t, 2, r.mustJoin(t, 2, newClaim("a", "y")))
	err := r.RenewLease(3, "a", "x")
	require.ErrorContains(t, err, "a later start of \"a\", number 2 at at, has taken its name over")
	var refusal *RefusedError
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, "end one of the two", refusal.Remedy)
	require.NoError(t, r.RenewLease(3, "a", "y"))
}

// A superseded start may hold a lease after its name was taken over, also as seen by a new leader.
func TestSupersededStartMayActUntilLeaseEnd(t *testing.T) {
	r := newTestRoster()
	r.mustJoin(t, 0, newClaim("a", "x"))
	require.Empty(t, r.SupersededStarts(0))
	r.mustJoin(t, 0, newClaim("a", "y"))
	require.Equal(t, []SupersededStart{{"a", 1}}, r.SupersededStarts(second))
	require.Empty(t, r.SupersededStarts(second+second/50))
	next := newTestRoster()
	next.Restore(5*second, r.Snapshot())
	require.Equal(t, []SupersededStart{{"a", 1}}, next.SupersededStarts(6*second))
	r.applyAll(t, r.Leave(0, "a", "y"), nil)
	r.Step(20 * second)
	r.mustJoin(t, 20*second, newClaim("a", "z"))
	require.Empty(t, r.SupersededStarts(20*second), "one that has left acts no more")
}

// A delayed message of a start that has ended must not take over the name.
func TestStaleJoinIsRejected(t *testing.T) {
	r := newTestRoster()
	staleClaim := newClaim("a", "x")
	offered, err := r.Offer(staleClaim)
	require.NoError(t, err)
	r.mustJoin(t, 0, newClaim("a", "y"))
	_, err = r.Offer(staleClaim) // duplicate
	require.NoError(t, err)
	_, err = r.Confirm(1, staleClaim, offered)
	require.ErrorContains(t, err, "start 1 of \"a\" was offered, and it is 2 by now")
	require.NoError(t, r.RenewLease(1, "a", "y"))
	require.Error(t, r.Apply(0, Record{Kind: KindJoin, Name: "a", Start: 1, Claim: staleClaim}), "a record proposed twice must not either")
}

// Covers each state, the records that lead to it, and records that are not valid transitions.
func TestStateTransitions(t *testing.T) {
	r := newTestRoster()
	r.mustJoin(t, 0, newClaim("a", "x"))
	require.Empty(t, r.Leave(1, "a", "other"))
	r.applyAll(t, r.Leave(1, "a", "x"), nil)
	require.False(t, r.MayAct(1, "a"), "it released its lease")
	d, isKnown := r.Find("a")
	require.True(t, isKnown)
	require.Equal(t, StateLeft, d.State)
	require.ErrorContains(t, r.RenewLease(2, "a", "x"), "has left")
	require.Error(t, r.Apply(0, Record{Kind: KindExpire, Name: "a", Start: 1}))
	require.EqualValues(t, 1, r.mustJoin(t, 2, newClaim("a", "x")), "the same start may rejoin")
	require.Empty(t, r.Step(2+second+second/100+10*second))
	later := 2*second + 11*second
	r.applyAll(t, r.Step(later), nil)
	d, _ = r.Find("a")
	require.Equal(t, StateGone, d.State)
	require.EqualValues(t, 2, r.mustJoin(t, later, newClaim("a", "z")))
	records, err := r.ShutOut(later, []string{"a", "nobody"}, "it kept the old file", 1)
	r.applyAll(t, records, err)
	require.ErrorContains(t, r.RenewLease(later, "a", "z"), "it was shut out: it kept the old file")
	require.True(t, r.MayAct(later, "a"), "its lease has not ended yet")
	_, err = r.Offer(newClaim("a", "z"))
	require.ErrorContains(t, err, "fleet readmit a")
	_, err = r.Readmit(later, "b", "")
	require.ErrorContains(t, err, "is not shut out")
	records, err = r.Readmit(later, "a", "mended")
	r.applyAll(t, records, err)
	require.NoError(t, r.RenewLease(later, "a", "z"))
	records, err = r.ShutOut(later, []string{"a"}, "again", 1)
	r.applyAll(t, records, err)
	require.EqualValues(t, 3, r.mustJoin(t, later, newClaim("a", "w")), "a new start may join")
	require.Error(t, r.Apply(0, Record{Kind: KindJoin, Name: "a", Start: 5}))
	require.Error(t, r.Apply(0, Record{Kind: KindJoin, Name: "new", Start: 2}))
	require.ErrorContains(t, r.RenewLease(later, "new", "x"), "no start of \"new\" is known")
}

// A bad version must not shut out the whole fleet.
func TestShutOutShareIsLimited(t *testing.T) {
	r := newTestRoster()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		r.mustJoin(t, 0, newClaim(name, name))
	}
	_, err := r.ShutOut(1, []string{"a", "b"}, "", 0.3)
	require.ErrorContains(t, err, "2 of 5 drivers would be shut out, and no more than 30% may be")
	records, err := r.ShutOut(1, []string{"b"}, "", 0.3)
	r.applyAll(t, records, err)
	_, err = r.ShutOut(1, []string{"c"}, "", 0.3)
	require.ErrorContains(t, err, "2 of 5")
	_, err = r.ShutOut(5*second, []string{"c"}, "", 0.3)
	require.Error(t, err, "drivers whose leases have ended do not raise the limit")
}

// A new leader must wait for leases that the previous one granted.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	r := newTestRoster()
	r.mustJoin(t, 0, newClaim("a", "x"))
	next := newTestRoster()
	next.Restore(0, r.Snapshot())
	require.False(t, next.MayAct(5*second, "a"))
	next.TakeOver(5 * second)
	require.True(t, next.MayAct(6*second, "a"))
	require.False(t, next.MayAct(6*second+second/50, "a"))
}

// The level must be supported by all drivers and never lowered, and builds too old for it are refused.
func TestFeatureLevels(t *testing.T) {
	r := newTestRoster()
	r.mustJoin(t, 0, newClaim("a", "x"))
	oldBuild := newClaim("b", "y")
	oldBuild.Level = 1
	r.mustJoin(t, 0, oldBuild)
	require.Equal(t, 1, r.HighestCommonLevel(0))
	_, err := r.RaiseLevel(0, 2)
	require.ErrorContains(t, err, `"b", build b1, knows levels up to 1 only`)
	r.applyAll(t, r.Leave(0, "b", "y"), nil)
	require.Equal(t, 2, r.HighestCommonLevel(0))
	records, err := r.RaiseLevel(0, 2)
	r.applyAll(t, records, err)
	_, err = r.RaiseLevel(0, 2)
	require.ErrorContains(t, err, "never lowered")
	require.Error(t, r.Apply(0, Record{Kind: KindRaiseLevel, Level: 1}))
	_, err = r.Offer(oldBuild)
	require.ErrorContains(t, err, "build b1 knows levels up to 1, and the fleet is at 2; start a newer build")
}

// An older build must not drop records of a newer one.
func TestUnknownRecordsAreKept(t *testing.T) {
	r := newTestRoster()
	require.NoError(t, r.Apply(0, Record{Kind: "blesses", Name: "a", Reason: "new"}))
	next := newTestRoster()
	next.Restore(0, r.Snapshot())
	require.Equal(t, Kind("blesses"), next.Snapshot().UnknownRecords[0].Kind)
}

// An earlier start must get no lease once a later one is proposed: voters that have applied the later
// start's record already would count that lease as ended too early.
func TestNoLeaseWhileLaterStartIsPending(t *testing.T) {
	r := newTestRoster()
	r.mustJoin(t, 0, newClaim("a", "x"))
	start, err := r.Offer(newClaim("a", "y"))
	require.NoError(t, err)
	records, err := r.Confirm(second, newClaim("a", "y"), start)
	require.NoError(t, err)
	err = r.RenewLease(second, "a", "x")
	require.ErrorContains(t, err, "number 2, is taking its name over")
	var refusal *RefusedError
	require.True(t, errors.As(err, &refusal))
	require.False(t, refusal.ShouldRejoin, "it must not rejoin")
	require.NoError(t, r.Apply(second, records[0]))
	require.NoError(t, r.RenewLease(second, "a", "y"))
	_, err = r.Confirm(2*second, newClaim("a", "z"), 3)
	require.NoError(t, err)
	r.TakeOver(3 * second)
	require.NoError(t, r.RenewLease(3*second, "a", "y"), "a start pending at the previous leader may never be committed")
}
