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

// ring is fellows in one process, each of which may end as a process ends that is killed.
type ring struct {
	t       *testing.T
	at      []string
	rings   []*Gossiper
	ends    []func()
	fellows []string
}

func newRing(t *testing.T, count int) *ring {
	g := &ring{t: t}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.2:0")
		require.NoError(t, err)
		defer l.Close()
		g.at = append(g.at, l.Addr().String())
		g.rings, g.ends = append(g.rings, nil), append(g.ends, nil)
	}
	g.fellows = g.at[:2]
	return g
}

func (g *ring) start(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := Listen(string(rune('a'+i)), g.at[i], g.fellows, 50*time.Millisecond, log)
	require.NoError(g.t, err)
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); r.look(ctx) }()
	g.rings[i], g.ends[i] = r, func() { stop(); done.Wait(); r.list.Shutdown() }
	g.t.Cleanup(g.ends[i])
}

// all waits until each of some says the same of who is not heard.
func (g *ring) all(what string, want []string, of ...int) {
	g.t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		agree := true
		for _, i := range of {
			got := g.rings[i].Unreachable()
			agree = agree && len(got) == len(want) && (len(want) == 0 || got[0] == want[0]) && g.rings[i].list.NumMembers() >= 2
		}
		if agree {
			return
		}
		require.Less(g.t, time.Since(begun), 20*time.Second, what)
	}
}

// Guards against a fellow that is not heard and nobody knows, one that has left and is missed, and one that comes back and is
// still said to be silent.
func TestUnreachablePeers(t *testing.T) {
	g := newRing(t, 4)
	for i := range 4 {
		g.start(i)
	}
	for begun := time.Now(); g.rings[0].list.NumMembers() < 4 || g.rings[3].list.NumMembers() < 4; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(begun), 20*time.Second, "they do not find one another")
	}
	g.ends[3]() // as a process that was killed
	g.all("it is missed", []string{"d"}, 0, 1, 2)
	g.start(3)
	g.all("it is back", nil, 0, 1, 2)
	g.rings[3].leave()
	g.ends[3]()
	for begun := time.Now(); g.rings[0].list.NumMembers() > 3; time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(begun), 20*time.Second, "it has left")
	}
	g.all("one that has left is not missed", nil, 0, 1, 2)
	_, err := Listen("x", "nowhere", nil, time.Second, nil)
	require.Error(t, err)
}
