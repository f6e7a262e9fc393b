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
func TestLastConnectionIsLeftAlone(t *testing.T) {
	const member = rules.MemberID(1)
	p := &pools{doubt: map[rules.MemberID]bool{}, used: map[rules.MemberID]*uses{}}
	require.Equal(t, 0, p.leave(member), "thin use")
	p.answered(member, false, transport.TimedOut)
	require.Equal(t, 1, p.leave(member), "not answered")
	p.answered(member, false, transport.Cancelled)
	require.Equal(t, 1, p.leave(member), "nor by what was only called off")
	p.answered(member, true, transport.Open)
	require.Equal(t, 0, p.leave(member), "answered")
	p.used[member] = &uses{}
	for range steadyUses - 1 {
		p.used[member].note(time.Now())
		require.Equal(t, 0, p.leave(member), "thin use: with many drivers one left alone at each crowds members")
	}
	p.used[member].note(time.Now())
	require.Equal(t, 1, p.leave(member), "steady use")
	for range steadyUses {
		p.used[member].note(time.Now().Add(-2 * busyFor))
	}
	require.Equal(t, 0, p.leave(member), "no more")
}

// Guards against members that are taken for mute since this driver had no descriptor for a look at them.
func TestNoDescriptorTellsNothing(t *testing.T) {
	const member = rules.MemberID(1)
	d := transport.NewDescriptors(0) // one, which is discovery's
	l := newLooks(newPools(context.Background(), d, &Config{ConnectWithin: 20 * time.Millisecond, MemoryMB: 32}, nil))
	may := func() bool { return true }
	require.Equal(t, transport.NoDescriptor, l.look(context.Background(), member, "127.0.0.1:9", may).End)
	require.False(t, l.isMute(member))
	d.Resize(1000)
	require.Equal(t, transport.DialRefused, l.look(context.Background(), member, "127.0.0.1:9", may).End)
	require.True(t, l.isMute(member), "one that refuses is")
}
