package roster

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

const second = int64(1_000_000_000)

func claim(name, token string) Claim {
	return Claim{Name: name, Token: token, Address: "at", Build: "b1", Level: 2}
}

func (r *Roster) must(t *testing.T, records []Record, err error) {
	require.NoError(t, err)
	for _, k := range records {
		require.NoError(t, r.Apply(0, k))
	}
}

func (r *Roster) joins(t *testing.T, now int64, c Claim) StartNumber {
	s, err := r.Offer(c)
	require.NoError(t, err)
	records, err := r.Confirm(now, c, s)
	r.must(t, records, err)
	require.NoError(t, r.RenewLease(now, c.Name, c.Token))
	return s
}

func fresh() *Roster { return New(second, second/100, 10*second) }

// Guards against two processes of one name: the later start wins, and the earlier one learns it.
func TestLaterStartTakesOverName(t *testing.T) {
	r := fresh()
	require.EqualValues(t, 1, r.joins(t, 0, claim("a", "x")))
	require.EqualValues(t, 1, r.joins(t, 1, claim("a", "x")), "the same start keeps its number")
	require.EqualValues(t, 2, r.joins(t, 2, claim("a", "y")))
	err := r.RenewLease(3, "a", "x")
	require.ErrorContains(t, err, "a later start of \"a\", number 2 at at, has taken its name over")
	var refusal *RefusedError
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, "end one of the two", refusal.Remedy)
	require.NoError(t, r.RenewLease(3, "a", "y"))
}

// Guards against an earlier start that still holds a lease when its name has passed on, at a successor too.
func TestSupersededStartMayActUntilLeaseEnd(t *testing.T) {
	r := fresh()
	r.joins(t, 0, claim("a", "x"))
	require.Empty(t, r.SupersededStarts(0))
	r.joins(t, 0, claim("a", "y"))
	require.Equal(t, []SupersededStart{{"a", 1}}, r.SupersededStarts(second))
	require.Empty(t, r.SupersededStarts(second+second/50))
	next := fresh()
	next.Restore(5*second, r.Snapshot())
	require.Equal(t, []SupersededStart{{"a", 1}}, next.SupersededStarts(6*second))
	r.must(t, r.Leave(0, "a", "y"), nil)
	r.Step(20 * second)
	r.joins(t, 20*second, claim("a", "z"))
	require.Empty(t, r.SupersededStarts(20*second), "one that has left acts no more")
}

// Guards against a message of a start that is long over: it takes nobody's name away.
func TestStaleJoinIsRejected(t *testing.T) {
	r := fresh()
	old := claim("a", "x")
	offered, err := r.Offer(old)
	require.NoError(t, err)
	r.joins(t, 0, claim("a", "y"))
	_, err = r.Offer(old) // it comes again
	require.NoError(t, err)
	_, err = r.Confirm(1, old, offered)
	require.ErrorContains(t, err, "start 1 of \"a\" was offered, and it is 2 by now")
	require.NoError(t, r.RenewLease(1, "a", "y"))
	require.Error(t, r.Apply(0, Record{Kind: KindJoin, Name: "a", Start: 1, Claim: old}), "nor does a record that was proposed twice")
}

// Each state of the table, with the records that lead there, and those that do not follow.
func TestStateTransitions(t *testing.T) {
	r := fresh()
	r.joins(t, 0, claim("a", "x"))
	require.Empty(t, r.Leave(1, "a", "other"))
	r.must(t, r.Leave(1, "a", "x"), nil)
	require.False(t, r.MayAct(1, "a"), "it gave its lease up")
	d, known := r.Find("a")
	require.True(t, known)
	require.Equal(t, StateLeft, d.State)
	require.ErrorContains(t, r.RenewLease(2, "a", "x"), "has left")
	require.Error(t, r.Apply(0, Record{Kind: KindExpire, Name: "a", Start: 1}))
	require.EqualValues(t, 1, r.joins(t, 2, claim("a", "x")), "the same start may come back")
	require.Empty(t, r.Step(2+second+second/100+10*second))
	later := 2*second + 11*second
	r.must(t, r.Step(later), nil)
	d, _ = r.Find("a")
	require.Equal(t, StateGone, d.State)
	require.EqualValues(t, 2, r.joins(t, later, claim("a", "z")))
	records, err := r.ShutOut(later, []string{"a", "nobody"}, "it kept the old file", 1)
	r.must(t, records, err)
	require.ErrorContains(t, r.RenewLease(later, "a", "z"), "it was shut out: it kept the old file")
	require.True(t, r.MayAct(later, "a"), "its lease is to be waited for")
	_, err = r.Offer(claim("a", "z"))
	require.ErrorContains(t, err, "fleet readmit a")
	_, err = r.Readmit(later, "b", "")
	require.ErrorContains(t, err, "is not shut out")
	records, err = r.Readmit(later, "a", "mended")
	r.must(t, records, err)
	require.NoError(t, r.RenewLease(later, "a", "z"))
	records, err = r.ShutOut(later, []string{"a"}, "again", 1)
	r.must(t, records, err)
	require.EqualValues(t, 3, r.joins(t, later, claim("a", "w")), "a new start is let in")
	require.Error(t, r.Apply(0, Record{Kind: KindJoin, Name: "a", Start: 5}))
	require.Error(t, r.Apply(0, Record{Kind: KindJoin, Name: "new", Start: 2}))
	require.ErrorContains(t, r.RenewLease(later, "new", "x"), "no start of \"new\" is known")
}

// Guards against a wrong version that shuts out the whole fleet.
func TestShutOutShareIsLimited(t *testing.T) {
	r := fresh()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		r.joins(t, 0, claim(name, name))
	}
	_, err := r.ShutOut(1, []string{"a", "b"}, "", 0.3)
	require.ErrorContains(t, err, "2 of 5 drivers would be shut out, and no more than 30% may be")
	records, err := r.ShutOut(1, []string{"b"}, "", 0.3)
	r.must(t, records, err)
	_, err = r.ShutOut(1, []string{"c"}, "", 0.3)
	require.ErrorContains(t, err, "2 of 5")
	_, err = r.ShutOut(5*second, []string{"c"}, "", 0.3)
	require.Error(t, err, "nor while others are away")
}

// Guards against a successor that does not wait for leases that another gave.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	r := fresh()
	r.joins(t, 0, claim("a", "x"))
	next := fresh()
	next.Restore(0, r.Snapshot())
	require.False(t, next.MayAct(5*second, "a"))
	next.TakeOver(5 * second)
	require.True(t, next.MayAct(6*second, "a"))
	require.False(t, next.MayAct(6*second+second/50, "a"))
}

// Guards against a level that some do not know, one that is lowered, and builds too old for it.
func TestFeatureLevels(t *testing.T) {
	r := fresh()
	r.joins(t, 0, claim("a", "x"))
	old := claim("b", "y")
	old.Level = 1
	r.joins(t, 0, old)
	require.Equal(t, 1, r.HighestCommonLevel(0))
	_, err := r.RaiseLevel(0, 2)
	require.ErrorContains(t, err, `"b", build b1, knows levels up to 1 only`)
	r.must(t, r.Leave(0, "b", "y"), nil)
	require.Equal(t, 2, r.HighestCommonLevel(0))
	records, err := r.RaiseLevel(0, 2)
	r.must(t, records, err)
	_, err = r.RaiseLevel(0, 2)
	require.ErrorContains(t, err, "never lowered")
	require.Error(t, r.Apply(0, Record{Kind: KindRaiseLevel, Level: 1}))
	_, err = r.Offer(old)
	require.ErrorContains(t, err, "build b1 knows levels up to 1, and the fleet is at 2; start a newer build")
}

// Guards against records of a newer build that an older one drops.
func TestUnknownRecordsAreKept(t *testing.T) {
	r := fresh()
	require.NoError(t, r.Apply(0, Record{Kind: "blesses", Name: "a", Reason: "new"}))
	next := fresh()
	next.Restore(0, r.Snapshot())
	require.Equal(t, Kind("blesses"), next.Snapshot().UnknownRecords[0].Kind)
}

// Guards against a lease for an earlier start that a fellow, which has the record of the later one already, counts as over
// sooner than it is.
func TestNoLeaseWhileLaterStartIsPending(t *testing.T) {
	r := fresh()
	r.joins(t, 0, claim("a", "x"))
	s, err := r.Offer(claim("a", "y"))
	require.NoError(t, err)
	records, err := r.Confirm(second, claim("a", "y"), s)
	require.NoError(t, err)
	err = r.RenewLease(second, "a", "x")
	require.ErrorContains(t, err, "number 2, is taking its name over")
	var refusal *RefusedError
	require.True(t, errors.As(err, &refusal))
	require.False(t, refusal.ShouldRejoin, "it must not ask for a number itself")
	require.NoError(t, r.Apply(second, records[0]))
	require.NoError(t, r.RenewLease(second, "a", "y"))
	_, err = r.Confirm(2*second, claim("a", "z"), 3)
	require.NoError(t, err)
	r.TakeOver(3 * second)
	require.NoError(t, r.RenewLease(3*second, "a", "y"), "what was on its way then may never come")
}
