package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// collector collects metrics of this instance and its fleet on each scrape.
type collector struct{ backend Backend }

// collectTimeout limits how long a scrape waits for the council.
const collectTimeout = 2 * time.Second

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("sedgespread_"+name, help, labels, nil)
}

var (
	councilTerm            = newDesc("council_term", "Newest term of the council that this voter knows.")
	councilApplied         = newDesc("council_applied", "Entries of the council's log that this voter has applied.")
	councilIsActing        = newDesc("council_acts", "1 if this voter acts for the council.")
	councilIsRefused       = newDesc("council_refused", "1 if this voter is refused, for good.")
	fleetIsKnown           = newDesc("fleet_known", "1 if the council could be asked how the fleet stands.")
	fleetDrivers           = newDesc("fleet_drivers", "Drivers by state in the roster.", "state")
	fleetMayAct            = newDesc("fleet_may_act", "Drivers whose leases may hold.")
	fleetLevel             = newDesc("fleet_level", "Feature level at which all act.")
	versionStage           = newDesc("version_stage", "1 for the stage that a thing's newest version is at.", "thing", "version", "stage")
	versionClosed          = newDesc("version_closed", "Number of the newest version of a thing that was closed.", "thing")
	versionHeldBackSeconds = newDesc("version_held_back_seconds", "How long a version has waited for a driver at its stage.", "thing", "version", "stage", "driver")
	fleetSilentSeconds     = newDesc("fleet_silent_seconds", "How long most fellows have not heard a driver.", "driver")
	observedDrivers        = newDesc("observed_drivers", "Drivers by what they act on of a thing that the council does not decide.", "thing", "version", "digest")
	observedLateSeconds    = newDesc("observed_late_seconds", "How long a driver has not come nearer to the newest of such a thing.", "thing", "driver")
	observedIsForked       = newDesc("observed_forked", "1 if two drivers act on different things of one name and version.", "thing")
	councilWriteSeconds    = newDesc("council_write_seconds", "That a write of this voter's disk takes, in the mean.")
	cellsTurnedAway        = newDesc("cells_turned_away_total", "RPCs that the gate of this instance turned away, by why.", "why")
)

// Describe sends nothing, which makes the collector unchecked: its metrics depend on the configuration.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current metrics.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	for reason, n := range c.backend.Cells().Rejected {
		metrics <- prometheus.MustNewConstMetric(cellsTurnedAway, prometheus.CounterValue, float64(n), reason)
	}
	if state, err := c.backend.Council(ctx); err == nil {
		gauge(councilTerm, float64(state.Term))
		gauge(councilApplied, float64(state.Applied))
		gauge(councilIsActing, boolValue(state.IsActing))
		gauge(councilIsRefused, boolValue(state.RefusalReason != ""))
		gauge(councilWriteSeconds, state.WriteMs/1000)
	}
	fleet, err := c.backend.Fleet(ctx)
	gauge(fleetIsKnown, boolValue(err == nil))
	if err != nil {
		return
	}
	states, mayAct := map[string]int{}, 0
	for _, driver := range fleet.Drivers {
		states[driver.State.String()]++
		if driver.MayAct {
			mayAct++
		}
	}
	for state, n := range states {
		gauge(fleetDrivers, float64(n), state)
	}
	gauge(fleetMayAct, float64(mayAct))
	gauge(fleetLevel, float64(fleet.Level))
	for thing, history := range fleet.Versions {
		newest := history[len(history)-1]
		gauge(versionStage, 1, string(thing), strconv.FormatUint(uint64(newest.Number), 10), newest.Stage.String())
		closed, _ := fleet.LatestCompleted(thing)
		gauge(versionClosed, float64(closed), string(thing))
	}
	for _, doubt := range fleet.Suspicions {
		if doubt.IsUnreachable {
			gauge(fleetSilentSeconds, time.Duration(fleet.Now-doubt.UnreachableSince).Seconds(), doubt.Name)
		}
	}
	for _, spread := range fleet.Observed {
		for _, group := range spread.Holders {
			gauge(observedDrivers, float64(len(group.Instances)), string(spread.Resource), strconv.FormatUint(uint64(group.Number), 10), group.Digest)
		}
		for _, late := range spread.Lagging {
			gauge(observedLateSeconds, time.Duration(late.Duration).Seconds(), string(spread.Resource), late.Name)
		}
		gauge(observedIsForked, boolValue(spread.HasConflict), string(spread.Resource))
	}
	for _, behind := range fleet.Stalled {
		for _, driver := range behind.Instances {
			gauge(versionHeldBackSeconds, time.Duration(behind.Duration).Seconds(), string(behind.Resource), strconv.FormatUint(uint64(behind.Number), 10), behind.Stage.String(), driver.Name)
		}
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// metricsHandler serves the metrics in the Prometheus exposition format.
func metricsHandler(backend Backend) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{backend})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
