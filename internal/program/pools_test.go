package program

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// Guards against the one connection that could outlive a cut link being spent: by members in steady use, and once
// something was not answered.
func TestReservedConnection(t *testing.T) {
	const member = rules.MemberID(1)
	p := &memberPools{unanswered: map[rules.MemberID]bool{}, returns: map[rules.MemberID]*returnTimes{}}
	require.Equal(t, 0, p.reserved(member), "thin use")
	p.recordResult(member, false, transport.TimedOut)
	require.Equal(t, 1, p.reserved(member), "not answered")
	p.recordResult(member, false, transport.Cancelled)
	require.Equal(t, 1, p.reserved(member), "nor by what was only called off")
	p.recordResult(member, true, transport.Open)
	require.Equal(t, 0, p.reserved(member), "answered")
	p.returns[member] = &returnTimes{}
	for range steadyReturns - 1 {
		p.returns[member].record(time.Now())
		require.Equal(t, 0, p.reserved(member), "thin use: with many drivers one left alone at each crowds members")
	}
	p.returns[member].record(time.Now())
	require.Equal(t, 1, p.reserved(member), "steady use")
	for range steadyReturns {
		p.returns[member].record(time.Now().Add(-2 * steadyWindow))
	}
	require.Equal(t, 0, p.reserved(member), "no more")
}

// Guards against members that are taken for mute since this driver had no descriptor for a look at them.
func TestProbeWithoutDescriptor(t *testing.T) {
	const member = rules.MemberID(1)
	d := transport.NewDescriptors(0) // one, which is discovery's
	l := newProber(newMemberPools(context.Background(), d, &Config{ConnectTimeout: 20 * time.Millisecond, MemoryMB: 32}, nil))
	may := func() bool { return true }
	require.Equal(t, transport.NoDescriptor, l.probe(context.Background(), member, "127.0.0.1:9", may).End)
	require.False(t, l.isUnresponsive(member))
	d.Resize(1000)
	require.Equal(t, transport.DialRefused, l.probe(context.Background(), member, "127.0.0.1:9", may).End)
	require.True(t, l.isUnresponsive(member), "one that refuses is")
}
