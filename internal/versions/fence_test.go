package versions

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a store that turns away what its fleet holds valid, or takes what is over once it can know.
func TestFenceChecker(t *testing.T) {
	w := &FenceChecker{}
	require.True(t, w.Accept(Fence{}), "a driver of no fleet")
	require.True(t, w.Accept(Fence{Version: 2, Epoch: 4, Valid: []Number{2, 3}}))
	require.True(t, w.Accept(Fence{Version: 2, Epoch: 3, Valid: []Number{2}}), "told less, and still valid")
	require.True(t, w.Accept(Fence{Version: 3, Epoch: 6, Valid: []Number{3}}))
	require.False(t, w.Accept(Fence{Version: 2, Epoch: 4, Valid: []Number{2, 3}}))
	require.False(t, w.Accept(Fence{Version: 2, Epoch: 9, Valid: []Number{4}}), "what says itself that it is over")
	require.True(t, w.Accept(Fence{}))
}

// Each stage has its versions: those that its table at Stage lets drivers act on.
func TestValidVersionsAtEachStage(t *testing.T) {
	for stage, want := range map[Stage][2][]Number{
		StageAnnounced: {{4}, {4}}, StageCanary: {{4, 5}, nil}, StageStopping: {nil, {4}}, StageActivating: {{4, 5}, {5}}, StageDraining: {{4, 5}, {5}}, StageCompleted: {{5}, {5}},
		StageRollingBack: {{4, 5}, nil}, StageRolledBack: {{4}, {4}},
	} {
		for i, exclusive := range []bool{false, true} {
			v := Version{Number: 5, Base: 4, Stage: stage, Plan: Plan{Exclusive: exclusive}}
			if want[i] != nil {
				require.Equal(t, want[i], v.valid(), "%v, exclusive %v", stage, exclusive)
			}
		}
	}
}

// Guards against a driver that acts on what a store has turned away, and one that never acts again for that.
func TestFencedDriverStopsUntilNextGrant(t *testing.T) {
	h := NewDriverState()
	for _, a := range h.ApplyGrant(0, Grant{Lease: 100, Assignments: []Assignment{{Resource: "x", Epoch: 1, Active: 2, Stored: 2, Valid: []Number{2}, Text: "two"}}}) {
		h.MarkAdopted(a)
	}
	n, may := h.Begin(1, "x")
	require.True(t, may)
	require.Equal(t, Fence{Version: 2, Epoch: 1, Valid: []Number{2}}, h.Fence("x", n))
	require.False(t, h.MarkFenced(5, "x", 1), "not what it acts on")
	require.True(t, h.MarkFenced(5, "x", 2))
	require.False(t, h.MarkFenced(6, "x", 2))
	_, may = h.Begin(6, "x")
	require.False(t, may)
	require.Empty(t, h.ApplyGrant(4, Grant{Lease: 100}), "asked before")
	require.Empty(t, h.ApplyGrant(7, Grant{}), "no lease")
	due := h.ApplyGrant(7, Grant{Lease: 100})
	require.Equal(t, []Adoption{{"x", 2, "two"}}, due)
	h.MarkAdopted(due[0])
	_, may = h.Begin(8, "x")
	require.True(t, may)
}
