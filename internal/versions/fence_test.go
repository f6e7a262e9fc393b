package versions

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a store that rejects valid versions, or accepts obsolete ones after it learned of
// a newer epoch.
func TestFenceChecker(t *testing.T) {
	checker := &FenceChecker{}
	require.True(t, checker.Accept(Fence{}), "driver without a fleet")
	require.True(t, checker.Accept(Fence{Version: 2, Epoch: 4, Valid: []Number{2, 3}}))
	require.True(t, checker.Accept(Fence{Version: 2, Epoch: 3, Valid: []Number{2}}), "older epoch, version still valid")
	require.True(t, checker.Accept(Fence{Version: 3, Epoch: 6, Valid: []Number{3}}))
	require.False(t, checker.Accept(Fence{Version: 2, Epoch: 4, Valid: []Number{2, 3}}))
	require.False(t, checker.Accept(Fence{Version: 2, Epoch: 9, Valid: []Number{4}}), "not among its own valid versions")
	require.True(t, checker.Accept(Fence{}))
}

// Guards against valid versions that differ from the table at Stage.
func TestValidVersionsAtEachStage(t *testing.T) {
	for stage, want := range map[Stage][2][]Number{
		StageAnnounced: {{4}, {4}}, StageCanary: {{4, 5}, nil}, StageStopping: {nil, {4}}, StageActivating: {{4, 5}, {5}},
		StageDraining: {{4, 5}, {5}}, StageCompleted: {{5}, {5}}, StageRollingBack: {{4, 5}, nil}, StageRolledBack: {{4}, {4}},
	} {
		for i, exclusive := range []bool{false, true} {
			v := Version{Number: 5, Base: 4, Stage: stage, Plan: Plan{Exclusive: exclusive}}
			if want[i] != nil {
				require.Equal(t, want[i], v.valid(), "%v, exclusive %v", stage, exclusive)
			}
		}
	}
}

// Guards against a driver that acts on a version after a store rejected it, or never acts again.
func TestFencedDriverStopsUntilNextGrant(t *testing.T) {
	state := NewDriverState()
	for _, adoption := range state.ApplyGrant(0, Grant{Lease: 100, Assignments: []Assignment{
		{Resource: "x", Epoch: 1, Active: 2, Stored: 2, Valid: []Number{2}, Text: "two"}}}) {
		state.MarkAdopted(adoption)
	}
	n, ok := state.Begin(1, "x")
	require.True(t, ok)
	require.Equal(t, Fence{Version: 2, Epoch: 1, Valid: []Number{2}}, state.Fence("x", n))
	require.False(t, state.MarkFenced(5, "x", 1), "not the active version")
	require.True(t, state.MarkFenced(5, "x", 2))
	require.False(t, state.MarkFenced(6, "x", 2))
	_, ok = state.Begin(6, "x")
	require.False(t, ok)
	require.Empty(t, state.ApplyGrant(4, Grant{Lease: 100}), "requested before the rejection")
	require.Empty(t, state.ApplyGrant(7, Grant{}), "no lease")
	adoptions := state.ApplyGrant(7, Grant{Lease: 100})
	require.Equal(t, []Adoption{{"x", 2, "two"}}, adoptions)
	state.MarkAdopted(adoptions[0])
	_, ok = state.Begin(8, "x")
	require.True(t, ok)
}
