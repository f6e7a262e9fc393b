package program

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// Guards against using the reserved connection, which shows after a cut link that the member did not
// restart, for members in steady use and after timeouts.
func TestReservedConnection(t *testing.T) {
	const member = rules.MemberID(1)
	pools := &memberPools{unanswered: map[rules.MemberID]bool{}, returns: map[rules.MemberID]*returnTimes{}}
	require.Equal(t, 0, pools.reserved(member), "light use")
	pools.recordResult(member, false, transport.TimedOut)
	require.Equal(t, 1, pools.reserved(member), "the statement timed out")
	pools.recordResult(member, false, transport.Cancelled)
	require.Equal(t, 1, pools.reserved(member), "a cancelled statement changes nothing")
	pools.recordResult(member, true, transport.Open)
	require.Equal(t, 0, pools.reserved(member), "the statement was answered")
	pools.returns[member] = &returnTimes{}
	for range steadyReturns - 1 {
		pools.returns[member].record(time.Now())
		require.Equal(t, 0, pools.reserved(member), "light use: reserved connections of many drivers would exhaust members")
	}
	pools.returns[member].record(time.Now())
	require.Equal(t, 1, pools.reserved(member), "steady use")
	for range steadyReturns {
		pools.returns[member].record(time.Now().Add(-2 * steadyWindow))
	}
	require.Equal(t, 0, pools.reserved(member), "no longer in steady use")
}

// Guards against marking a member unresponsive because no descriptor was free for its probe.
func TestProbeWithoutDescriptor(t *testing.T) {
	const member = rules.MemberID(1)
	descriptors := transport.NewDescriptors(0) // the only descriptor is reserved for discovery
	prober := newProber(newMemberPools(context.Background(), descriptors, &Config{ConnectTimeout: 20 * time.Millisecond, MemoryMB: 32}, nil))
	mayStart := func() bool { return true }
	require.Equal(t, transport.NoDescriptor, prober.probe(context.Background(), member, "127.0.0.1:9", mayStart).CloseReason)
	require.False(t, prober.isUnresponsive(member))
	descriptors.Resize(1000)
	require.Equal(t, transport.DialRefused, prober.probe(context.Background(), member, "127.0.0.1:9", mayStart).CloseReason)
	require.True(t, prober.isUnresponsive(member), "the member refused the connection")
}
