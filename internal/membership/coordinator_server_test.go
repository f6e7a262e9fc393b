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

func newDiscardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newTestDirectory() *cells.Directory {
	l := cells.NewLayout(1)
	l.Add("old", cells.Groups{1}, 1, 0, "")
	l.Add("new", cells.Groups{2}, 0, 0, "")
	return cells.NewDirectory(l, nil)
}

// idleDriver is a driver without RPCs.
type idleDriver struct {
	mu        sync.Mutex
	admission *cells.AdmissionController
}

func newIdleDriver() *idleDriver {
	resolver := cells.NewTenantResolver(nil, nil, nil, cells.DefaultNone, "t")
	return &idleDriver{admission: cells.NewAdmissionController(newTestDirectory(), resolver, nil, true, 1)}
}

func (d *idleDriver) CellReport(name string, incarnation uint64) (cells.Report, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now().UnixNano()
	return d.admission.Report(now, name, incarnation, func(rules.GroupID, int64) bool { return true }), now
}

func (d *idleDriver) ApplyCellGrant(asked int64, g cells.Grant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.admission.ApplyGrant(asked, g)
	return err
}

func (d *idleDriver) placement() cells.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admission.Directory().Placement("t")
}

// A coordinator restarted after any record must resume the move, repeat failed fill requests and bring
// the drivers to its own state.
func TestCoordinatorRestartsAfterEachRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	var mu sync.Mutex
	steps := map[string]int{}
	fill := func(_ context.Context, agent FillRequest) error {
		mu.Lock()
		defer mu.Unlock()
		if steps[agent.Step]++; steps[agent.Step] == 1 {
			return errors.New("store unavailable")
		}
		return nil
	}
	start := func() (*CoordinatorServer, func()) {
		journal, err := store.Open(path)
		require.NoError(t, err)
		server, err := NewCoordinatorServer(newTestDirectory(), journal, 300*time.Millisecond, 10*time.Second, fill, newDiscardLogger())
		require.NoError(t, err)
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Add(2)
		go func() { defer done.Done(); server.Run(ctx) }()
		go func() { defer done.Done(); server.Serve(ctx, l) }()
		return server, func() { stop(); done.Wait(); journal.Close() }
	}
	server, stop := start()
	ctx, cancel := context.WithCancel(context.Background())
	var agents sync.WaitGroup
	drivers := []*idleDriver{newIdleDriver(), newIdleDriver()}
	for i, d := range drivers {
		agents.Add(1)
		agent := NewCellAgent([]string{address}, []string{"a", "b"}[i], 1, 300*time.Millisecond, d, newDiscardLogger())
		go func() { defer agents.Done(); agent.Run(ctx) }()
	}
	defer agents.Wait()
	defer cancel()
	requireEventually := func(message string, condition func() bool) {
		for startedAt := time.Now(); !condition(); time.Sleep(time.Millisecond) {
			require.Less(t, time.Since(startedAt), 10*time.Second, message)
		}
	}
	client := NewClient(address)
	defer client.close()
	requireEventually("drivers are not registered", func() bool { return len(server.State().Drivers) == 2 })
	require.NoError(t, client.Move(ctx, []MoveRequest{{Tenant: "t", To: "new", Reason: "test"}}))
	require.ErrorContains(t, client.Move(ctx, []MoveRequest{{Tenant: "t", To: "new"}}), "is being moved")
	epoch, restarts := cells.Epoch(0), 0
	for {
		var entries []cells.Entry
		requireEventually("move does not advance", func() bool {
			entries = server.State().Entries
			return len(entries) == 1 && entries[0].Epoch > epoch
		})
		epoch = entries[0].Epoch
		if entries[0].Stage == cells.StageIdle {
			break
		}
		stop()
		restarts++
		server, stop = start()
		require.GreaterOrEqual(t, server.State().Entries[0].Epoch, epoch, "published entry is lost")
	}
	defer func() { stop() }()
	require.GreaterOrEqual(t, restarts, 4)
	for _, d := range drivers {
		requireEventually("driver does not complete the move", func() bool { return d.placement().Stage == cells.StageIdle })
		require.Equal(t, "new", drivers[0].admission.Layout().Name(d.placement().Cell))
		require.NotZero(t, d.placement().MinPosition)
	}
	mu.Lock()
	defer mu.Unlock()
	require.GreaterOrEqual(t, steps["begin"], 2, "request must be retried after a failure")
	require.GreaterOrEqual(t, steps["end"], 2)
	require.Zero(t, steps["drop"])
}

// Of two drivers with one name the older incarnation must get no lease.
func TestOlderIncarnationGetsNoLease(t *testing.T) {
	journal, err := store.Open(filepath.Join(t.TempDir(), "journal"))
	require.NoError(t, err)
	defer journal.Close()
	server, err := NewCoordinatorServer(newTestDirectory(), journal, time.Second, time.Second, nil, newDiscardLogger())
	require.NoError(t, err)
	renew := func(incarnation uint64, epoch cells.Epoch) int64 {
		g, err := server.Renew(context.Background(), cells.Report{Driver: "a", Incarnation: incarnation, Epoch: epoch}, 0)
		require.NoError(t, err)
		return g.Lease
	}
	require.EqualValues(t, time.Second, renew(5, 0))
	require.Zero(t, renew(4, 0))
	require.EqualValues(t, time.Second, renew(6, 0))
	require.Zero(t, renew(6, 9), "driver is ahead of the coordinator's journal")
	_, err = server.Renew(context.Background(), cells.Report{}, 0)
	require.ErrorContains(t, err, "needs a name")
}
