package membership

import (
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sedgespread/internal/cells"
	"sedgespread/internal/store"
	"sedgespread/rules"
)

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func book() *cells.Directory {
	l := cells.NewLayout(1)
	l.Add("old", cells.Groups{1}, 1, 0, "")
	l.Add("new", cells.Groups{2}, 0, 0, "")
	return cells.NewDirectory(l, nil)
}

// idle is a driver without RPCs.
type idle struct {
	mu   sync.Mutex
	gate *cells.AdmissionController
}

func newIdle() *idle {
	y := cells.NewTenantResolver(nil, nil, nil, cells.DefaultNone, "t")
	return &idle{gate: cells.NewAdmissionController(book(), y, nil, true, 1)}
}

func (d *idle) Report(name string, incarnation uint64) (cells.Report, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now().UnixNano()
	return d.gate.Report(now, name, incarnation, func(rules.GroupID, int64) bool { return true }), now
}

func (d *idle) ReportGrant(asked int64, g cells.Grant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.gate.ApplyGrant(asked, g)
	return err
}

func (d *idle) seat() cells.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Directory().Placement("t")
}

// Guards against a coordinator that dies between any two records: the next one goes on from there, the store is asked for
// each step, and the drivers end up where the coordinator does.
func TestCoordinatorRestartsAfterEachRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	at, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := at.Addr().String()
	at.Close()
	var mu sync.Mutex
	steps := map[string]int{}
	fill := func(_ context.Context, f FillRequest) error {
		mu.Lock()
		defer mu.Unlock()
		if steps[f.Step]++; steps[f.Step] == 1 {
			return errors.New("not now")
		}
		return nil
	}
	start := func() (*CoordinatorServer, func()) {
		j, err := store.Open(path)
		require.NoError(t, err)
		h, err := NewCoordinatorServer(book(), j, 300*time.Millisecond, 10*time.Second, fill, quiet())
		require.NoError(t, err)
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Add(2)
		go func() { defer done.Done(); h.Run(ctx) }()
		go func() { defer done.Done(); h.Serve(ctx, l) }()
		return h, func() { stop(); done.Wait(); j.Close() }
	}
	h, stop := start()
	ctx, end := context.WithCancel(context.Background())
	var followers sync.WaitGroup
	drivers := []*idle{newIdle(), newIdle()}
	for i, d := range drivers {
		followers.Add(1)
		f := NewCellAgent([]string{address}, []string{"a", "b"}[i], 1, 300*time.Millisecond, d, quiet())
		go func() { defer followers.Done(); f.Run(ctx) }()
	}
	defer followers.Wait()
	defer end()
	eventually := func(what string, ok func() bool) {
		for begun := time.Now(); !ok(); time.Sleep(time.Millisecond) {
			require.Less(t, time.Since(begun), 10*time.Second, what)
		}
	}
	c := NewClient(address)
	defer c.close()
	eventually("the drivers are known", func() bool { return len(h.State().Drivers) == 2 })
	require.NoError(t, c.Move(ctx, []MoveRequest{{Tenant: "t", To: "new", Reason: "test"}}))
	require.ErrorContains(t, c.Move(ctx, []MoveRequest{{Tenant: "t", To: "new"}}), "is being moved")
	epoch, deaths := cells.Epoch(0), 0
	for {
		var entries []cells.Entry
		eventually("the move goes on", func() bool {
			entries = h.State().Entries
			return len(entries) == 1 && entries[0].Epoch > epoch
		})
		epoch = entries[0].Epoch
		if entries[0].Stage == cells.StageIdle {
			break
		}
		stop()
		deaths++
		h, stop = start()
		require.GreaterOrEqual(t, h.State().Entries[0].Epoch, epoch, "nothing that was told is forgotten")
	}
	defer func() { stop() }()
	require.GreaterOrEqual(t, deaths, 4)
	for _, d := range drivers {
		eventually("the drivers follow", func() bool { return d.seat().Stage == cells.StageIdle })
		require.Equal(t, "new", drivers[0].gate.Layout().Name(d.seat().Cell))
		require.NotZero(t, d.seat().MinPosition)
	}
	mu.Lock()
	defer mu.Unlock()
	require.GreaterOrEqual(t, steps["begin"], 2, "asked again after it failed")
	require.GreaterOrEqual(t, steps["end"], 2)
	require.Zero(t, steps["drop"])
}

// Guards against two of one name: the older one gets no lease any more.
func TestOlderIncarnationGetsNoLease(t *testing.T) {
	j, err := store.Open(filepath.Join(t.TempDir(), "journal"))
	require.NoError(t, err)
	defer j.Close()
	h, err := NewCoordinatorServer(book(), j, time.Second, time.Second, nil, quiet())
	require.NoError(t, err)
	renew := func(incarnation uint64, epoch cells.Epoch) int64 {
		g, err := h.Renew(context.Background(), cells.Report{Driver: "a", Incarnation: incarnation, Epoch: epoch}, 0)
		require.NoError(t, err)
		return g.Lease
	}
	require.EqualValues(t, time.Second, renew(5, 0))
	require.Zero(t, renew(4, 0))
	require.EqualValues(t, time.Second, renew(6, 0))
	require.Zero(t, renew(6, 9), "one that knows more than the coordinator: this is not its journal")
	_, err = h.Renew(context.Background(), cells.Report{}, 0)
	require.ErrorContains(t, err, "needs a name")
}
