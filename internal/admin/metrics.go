package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// figures are what this instance and its fleet tell of themselves, made anew for each look.
type figures struct{ desk Backend }

// lookWithin is how long the council may take to tell how the fleet stands.
const lookWithin = 2 * time.Second

func described(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("sedgespread_"+name, help, labels, nil)
}

var (
	councilTerm    = described("council_term", "Newest term of the council that this voter knows.")
	councilApplied = described("council_applied", "Entries of the council's log that this voter has applied.")
	councilActs    = described("council_acts", "1 if this voter acts for the council.")
	councilRefused = described("council_refused", "1 if this voter is refused, for good.")
	fleetKnown     = described("fleet_known", "1 if the council could be asked how the fleet stands.")
	fleetDrivers   = described("fleet_drivers", "Drivers by state in the roster.", "state")
	fleetMay       = described("fleet_may_act", "Drivers whose leases may hold.")
	fleetLevel     = described("fleet_level", "Feature level at which all act.")
	versionStage   = described("version_stage", "1 for the stage that a thing's newest version is at.", "thing", "version", "stage")
	versionClosed  = described("version_closed", "Number of the newest version of a thing that was closed.", "thing")
	versionHeld    = described("version_held_back_seconds", "How long a version has waited for a driver at its stage.", "thing", "version", "stage", "driver")
	fleetSilent    = described("fleet_silent_seconds", "How long most fellows have not heard a driver.", "driver")
	observedAt     = described("observed_drivers", "Drivers by what they act on of a thing that the council does not decide.", "thing", "version", "digest")
	observedLate   = described("observed_late_seconds", "How long a driver has not come nearer to the newest of such a thing.", "thing", "driver")
	observedForked = described("observed_forked", "1 if two drivers act on different things of one name and version.", "thing")
	writeSeconds   = described("council_write_seconds", "That a write of this voter's disk takes, in the mean.")
	tenantsAway    = described("cells_turned_away_total", "RPCs that the gate of this instance turned away, by why.", "why")
)

// Describe describes nothing: what there is depends on what is on here.
func (figures) Describe(chan<- *prometheus.Desc) {}

// Collect gives all figures of now.
func (f figures) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	ctx, stop := context.WithTimeout(context.Background(), lookWithin)
	defer stop()
	for why, n := range f.desk.Cells().Rejected {
		out <- prometheus.MustNewConstMetric(tenantsAway, prometheus.CounterValue, float64(n), why)
	}
	if s, err := f.desk.Council(ctx); err == nil {
		gauge(councilTerm, float64(s.Term))
		gauge(councilApplied, float64(s.Applied))
		gauge(councilActs, truth(s.IsActing))
		gauge(councilRefused, truth(s.RefusalReason != ""))
		gauge(writeSeconds, s.WriteMs/1000)
	}
	fleet, err := f.desk.Fleet(ctx)
	gauge(fleetKnown, truth(err == nil))
	if err != nil {
		return
	}
	states, may := map[string]int{}, 0
	for _, d := range fleet.Drivers {
		states[d.State.String()]++
		if d.MayAct {
			may++
		}
	}
	for state, n := range states {
		gauge(fleetDrivers, float64(n), state)
	}
	gauge(fleetMay, float64(may))
	gauge(fleetLevel, float64(fleet.Level))
	for thing, all := range fleet.Versions {
		last := all[len(all)-1]
		gauge(versionStage, 1, string(thing), strconv.FormatUint(uint64(last.Number), 10), last.Stage.String())
		closed, _ := fleet.LatestClosed(thing)
		gauge(versionClosed, float64(closed), string(thing))
	}
	for _, d := range fleet.Suspicions {
		if d.IsSilent {
			gauge(fleetSilent, time.Duration(fleet.Now-d.SilentSince).Seconds(), d.Name)
		}
	}
	for _, s := range fleet.Observed {
		for _, g := range s.Holders {
			gauge(observedAt, float64(len(g.Instances)), string(s.Resource), strconv.FormatUint(uint64(g.Number), 10), g.Digest)
		}
		for _, late := range s.Lagging {
			gauge(observedLate, time.Duration(late.Duration).Seconds(), string(s.Resource), late.Name)
		}
		gauge(observedForked, truth(s.HasConflict), string(s.Resource))
	}
	for _, b := range fleet.Behind {
		for _, who := range b.Instances {
			gauge(versionHeld, time.Duration(b.Duration).Seconds(), string(b.Resource), strconv.FormatUint(uint64(b.Number), 10), b.Stage.String(), who.Name)
		}
	}
}

func truth(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// metrics answers as Prometheus asks.
func metrics(d Backend) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(figures{d})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
