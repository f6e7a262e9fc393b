package admin

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/cells"
	"sedgespread/internal/council/server"
	"sedgespread/internal/membership"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// fakeBackend is a Backend with fixed state.
type fakeBackend struct {
	Backend
	fleet membership.FleetState
	err   error
}

func (b fakeBackend) Cells() cells.Stats { return cells.Stats{Rejected: map[string]int64{"lease": 3}} }

func (b fakeBackend) Council(context.Context) (server.State, error) {
	return server.State{Term: 7, IsActing: true}, b.err
}

func (b fakeBackend) Fleet(context.Context) (membership.FleetState, error) { return b.fleet, b.err }

func scrape(backend Backend) string {
	recorder := httptest.NewRecorder()
	metricsHandler(backend).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// The metrics name the driver that delays a version, and are served even if the council can't be reached.
func TestMetrics(t *testing.T) {
	fleet := membership.FleetState{Level: 2, Drivers: []membership.DriverStatus{{Driver: roster.Driver{State: roster.StatePresent}, MayAct: true}, {Driver: roster.Driver{State: roster.StateShutOut}}},
		Versions: map[versions.Resource][]versions.Version{"rulebook": {{Number: 2, Stage: versions.StageCompleted}, {Number: 3, Stage: versions.StageActivating}}},
		Stalled:  []versions.StalledVersion{{Resource: "rulebook", Number: 3, Stage: versions.StageActivating, Duration: 1_500_000_000, Instances: []versions.Instance{{Name: "n7"}}}}}
	page := scrape(fakeBackend{fleet: fleet})
	for _, line := range []string{`sedgespread_version_held_back_seconds{driver="n7",stage="opening",thing="rulebook",version="3"} 1.5`,
		`sedgespread_version_closed{thing="rulebook"} 2`, `sedgespread_fleet_drivers{state="shut out"} 1`, "sedgespread_council_term 7",
		`sedgespread_cells_turned_away_total{why="lease"} 3`, "sedgespread_fleet_known 1", "sedgespread_fleet_level 2"} {
		require.Contains(t, page, line)
	}
	page = scrape(fakeBackend{err: errors.New("unavailable")})
	require.Contains(t, page, "sedgespread_fleet_known 0")
	require.NotContains(t, page, "council_term")
	require.Contains(t, page, "turned_away")
}
