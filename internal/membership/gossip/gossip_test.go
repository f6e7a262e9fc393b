package gossip

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// cluster is a set of gossipers in one process, each of which can be killed.
type cluster struct {
	t         *testing.T
	addresses []string
	gossipers []*Gossiper
	killFuncs []func()
	seeds     []string
}

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{t: t}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.2:0")
		require.NoError(t, err)
		defer l.Close()
		c.addresses = append(c.addresses, l.Addr().String())
		c.gossipers, c.killFuncs = append(c.gossipers, nil), append(c.killFuncs, nil)
	}
	c.seeds = c.addresses[:2]
	return c
}

func (c *cluster) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g, err := Listen(string(rune('a'+i)), c.addresses[i], c.seeds, 50*time.Millisecond, log)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); g.keepJoined(ctx) }()
	c.gossipers[i], c.killFuncs[i] = g, func() { cancel(); done.Wait(); g.list.Shutdown() }
	c.t.Cleanup(c.killFuncs[i])
}

// requireUnreachable waits until each of the gossipers reports the same unreachable peers.
func (c *cluster) requireUnreachable(message string, want []string, indexes ...int) {
	c.t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		agree := true
		for _, i := range indexes {
			got := c.gossipers[i].Unreachable()
			agree = agree && len(got) == len(want) && (len(want) == 0 || got[0] == want[0]) && c.gossipers[i].list.NumMembers() >= 2
		}
		if agree {
			return
		}
		require.Less(c.t, time.Since(start), 20*time.Second, message)
	}
}

// A killed peer must be reported as unreachable, and one that has left or has come back must not.
func TestUnreachablePeers(t *testing.T) {
	c := newCluster(t, 4)
	for i := range 4 {
		c.start(i)
	}
	for start := time.Now(); c.gossipers[0].list.NumMembers() < 4 || c.gossipers[3].list.NumMembers() < 4; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(start), 20*time.Second, "peers did not find one another")
	}
	c.killFuncs[3]()
	c.requireUnreachable("killed peer is reported", []string{"d"}, 0, 1, 2)
	c.start(3)
	c.requireUnreachable("returned peer is not reported", nil, 0, 1, 2)
	c.gossipers[3].leave()
	c.killFuncs[3]()
	for start := time.Now(); c.gossipers[0].list.NumMembers() > 3; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(start), 20*time.Second, "peer is still listed after it left")
	}
	c.requireUnreachable("peer that left is not reported", nil, 0, 1, 2)
	_, err := Listen("x", "nowhere", nil, time.Second, nil)
	require.Error(t, err)
}
