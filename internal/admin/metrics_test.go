package admin

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/cells"
	"sedgespread/internal/council/chamber"
	"sedgespread/internal/membership"
	"sedgespread/internal/roster"
	"sedgespread/internal/versions"
)

// still is a desk at which nothing changes.
type still struct {
	Backend
	fleet membership.FleetState
	err   error
}

func (s still) Cells() cells.Stats { return cells.Stats{Rejected: map[string]int64{"lease": 3}} }

func (s still) Council(context.Context) (chamber.State, error) {
	return chamber.State{Term: 7, IsActing: true}, s.err
}

func (s still) Fleet(context.Context) (membership.FleetState, error) { return s.fleet, s.err }

func scraped(d Backend) string {
	w := httptest.NewRecorder()
	metrics(d).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// Guards against a version that is held back and nobody can see by whom, and against a page that fails with the council.
func TestMetrics(t *testing.T) {
	f := membership.FleetState{Level: 2, Drivers: []membership.DriverStatus{{Driver: roster.Driver{State: roster.StatePresent}, MayAct: true}, {Driver: roster.Driver{State: roster.StateShutOut}}},
		Versions: map[versions.Resource][]versions.Version{"rulebook": {{Number: 2, Stage: versions.StageCompleted}, {Number: 3, Stage: versions.StageActivating}}},
		Behind:   []versions.StalledVersion{{Resource: "rulebook", Number: 3, Stage: versions.StageActivating, Duration: 1_500_000_000, Instances: []versions.Instance{{Name: "n7"}}}}}
	page := scraped(still{fleet: f})
	for _, line := range []string{`sedgespread_version_held_back_seconds{driver="n7",stage="opening",thing="rulebook",version="3"} 1.5`,
		`sedgespread_version_closed{thing="rulebook"} 2`, `sedgespread_fleet_drivers{state="shut out"} 1`, "sedgespread_council_term 7",
		`sedgespread_cells_turned_away_total{why="lease"} 3`, "sedgespread_fleet_known 1", "sedgespread_fleet_level 2"} {
		require.Contains(t, page, line)
	}
	page = scraped(still{err: errors.New("nobody there")})
	require.Contains(t, page, "sedgespread_fleet_known 0")
	require.NotContains(t, page, "council_term")
	require.Contains(t, page, "turned_away")
}
