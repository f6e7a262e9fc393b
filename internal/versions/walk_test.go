package versions

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// world is a ledger whose holder changes, drivers with clocks of their own, and messages that are late, lost, doubled and
// out of order. It keeps the truth of what drivers act on.
type world struct {
	rng     *rand.Rand
	planted planted
	now     int64
	ledger  *Controller
	records []Record
	until   map[string]int64 // leases as the ledger's holder knows
	drivers []*driver
	asked   []ask
	grants  []grant
	closed  Number // the newest version that was closed, or withdrawn down to
	dead    map[Number]bool
	broken  string
	visits  map[string]bool
}

type planted int

const (
	sound       planted = iota
	longLease           // drivers hold a lease a tenth too long
	noStraggler         // a version is closed though one that may act has not said so
	oldOrders           // drivers take in orders older than what they know
	actsOn              // drivers go on with what has begun under a version that was closed
)

type driver struct {
	Instance
	h      *DriverState
	rate   float64
	flight []flight
	mute   int64 // nothing that it says is heard until then
}

type flight struct {
	number Number
	ends   int64
}

type ask struct {
	who   Instance
	at    int64 // own clock
	seen  []Report
	ready int64
}

type grant struct {
	who   Instance
	at    int64
	g     Grant
	ready int64
}

const (
	lease  = 1000
	margin = 60 // for clocks that differ by 0.02
	thing  = Resource("x")
)

func newWorld(seed int64, p planted) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), planted: p, until: map[string]int64{}, dead: map[Number]bool{},
		visits: map[string]bool{}, ledger: NewController()}
	for i := range 4 {
		d := &driver{Instance: Instance{fmt.Sprint("d", i), 0}, rate: 1 + 0.02*(2*w.rng.Float64()-1)}
		w.drivers = append(w.drivers, d)
		w.begin(d)
	}
	return w
}

func (d *driver) clock(now int64) int64 { return int64(float64(now) * d.rate) }

func (w *world) begin(d *driver) {
	d.Start++
	d.h, d.flight = NewDriverState(), nil
}

func (w *world) present() (all []DriverStatus) {
	for _, d := range w.drivers {
		all = append(all, DriverStatus{Instance: d.Instance, MayAct: w.until[d.Name] >= w.now})
	}
	return all
}

func (w *world) write(records []Record) {
	for _, k := range records {
		if err := w.ledger.Apply(k); err != nil {
			w.broken = err.Error()
			return
		}
		w.records = append(w.records, k)
		v := k.Version
		w.visits[v.Stage.String()] = true
		if v.Stage == StageCompleted {
			w.dead[v.Base] = true
			for n := range v.Number {
				w.dead[n] = true
			}
		}
		if v.Stage == StageRolledBack {
			w.dead[v.Number] = true
		}
	}
}

// step lets one thing happen.
func (w *world) step() {
	d := w.drivers[w.rng.Intn(len(w.drivers))]
	switch n := w.rng.Intn(1000); {
	case n < 250:
		w.now += w.rng.Int63n(60)
	case n < 400:
		w.asked = append(w.asked, ask{d.Instance, d.clock(w.now), d.h.Reports(), w.now + w.rng.Int63n(120)})
	case n < 560:
		w.hear()
	case n < 720:
		w.tell()
	case n < 840:
		w.begins(d)
	case n < 900:
		d.settle(w.now)
	case n < 960:
		present := w.present()
		if w.planted == noStraggler && w.rng.Intn(40) == 0 {
			present[w.rng.Intn(len(present))].MayAct = false
		}
		w.write(w.ledger.Step(w.now, present))
	case n < 968:
		p := Plan{Exclusive: w.rng.Intn(2) == 0, AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1, TrialTime: 50}
		if !p.Exclusive && w.rng.Intn(2) == 0 {
			p.CanaryFraction = 0.3
		}
		if records, err := w.ledger.Propose(w.now, thing, "d", "text", "walk", p); err == nil {
			w.write(records)
		}
	case n < 970:
		if records, err := w.ledger.RollBack(w.now, thing, "walk"); err == nil {
			w.write(records)
		}
	case n < 974:
		w.begin(d)
	case n < 978:
		past := w.ledger.Snapshot()
		w.ledger = NewController()
		w.ledger.Restore(past)
		w.ledger.StartLeading()
		for _, d := range w.drivers {
			w.until[d.Name] = w.now + lease + margin
		}
	case n < 984:
		d.mute = w.now + w.rng.Int63n(3*lease)
	}
	w.check()
}

// hear lets an ask arrive, and be answered.
func (w *world) hear() {
	if len(w.asked) == 0 {
		return
	}
	at := w.rng.Intn(len(w.asked))
	a := w.asked[at]
	if w.rng.Intn(20) != 0 || len(w.asked) > 60 {
		w.asked = slices.Delete(w.asked, at, at+1)
	}
	d := w.drivers[slices.IndexFunc(w.drivers, func(d *driver) bool { return d.Name == a.who.Name })]
	if a.who != d.Instance || w.now < d.mute || w.rng.Intn(12) == 0 {
		return // the roster lets nobody ask who was followed by a later start
	}
	w.until[a.who.Name] = w.now + lease + margin
	w.ledger.RecordReports(a.who, a.seen)
	w.grants = append(w.grants, grant{a.who, a.at, Grant{Lease: lease, Assignments: w.ledger.Assignments(a.who)}, w.now})
}

// tell lets a grant arrive.
func (w *world) tell() {
	if len(w.grants) == 0 {
		return
	}
	at := w.rng.Intn(len(w.grants))
	g := w.grants[at]
	if w.rng.Intn(3) != 0 || len(w.grants) > 60 {
		w.grants = slices.Delete(w.grants, at, at+1)
	}
	d := w.drivers[slices.IndexFunc(w.drivers, func(d *driver) bool { return d.Name == g.who.Name })]
	if g.who != d.Instance {
		return
	}
	if w.planted == oldOrders {
		for _, t := range d.h.things {
			t.epoch = 0
		}
	}
	if w.planted == longLease {
		g.g.Lease += lease / 10
	}
	for _, a := range d.h.ApplyGrant(g.at, g.g) {
		if w.rng.Intn(10) == 0 {
			d.h.MarkFailed(a, "can't")
		} else {
			d.h.MarkAdopted(a)
		}
	}
}

func (w *world) begins(d *driver) {
	if n, may := d.h.Begin(d.clock(w.now), thing); may {
		d.flight = append(d.flight, flight{n, w.now + w.rng.Int63n(200) + w.rng.Int63n(40)/39*5*lease})
	}
}

// settle ends what is over.
func (d *driver) settle(now int64) {
	d.flight = slices.DeleteFunc(d.flight, func(f flight) bool {
		if f.ends <= now {
			d.h.End(thing, f.number)
		}
		return f.ends <= now
	})
}

// check looks at what every driver could do just now.
func (w *world) check() {
	acts := map[Number][]string{}
	for _, d := range w.drivers {
		clock := d.clock(w.now)
		if n, may := d.h.Begin(clock, thing); may {
			acts[n] = append(acts[n], d.Name)
			d.h.End(thing, n)
		}
		for _, f := range d.flight {
			if d.h.MayContinue(clock, thing, f.number) || w.planted == actsOn && clock < d.h.LeaseExpiry() {
				acts[f.number] = append(acts[f.number], d.Name)
			}
		}
	}
	for n, who := range acts {
		if w.dead[n] {
			w.broken = fmt.Sprintf("%v act on version %d, which was over", who, n)
		}
	}
	if v := w.ledger.lines[thing].last(); v != nil && v.Plan.Exclusive && len(acts) > 1 {
		w.broken = fmt.Sprintf("act at once on versions that must not overlap: %v", acts)
	}
}

// Guards against acts on a version after the moment from which there are none, and on two that must not overlap.
func TestNobodyActsOnAnOldVersion(t *testing.T) {
	visits, versions := map[string]bool{}, 0
	for seed := range int64(150) {
		w := newWorld(seed, sound)
		for range 8000 {
			if w.step(); w.broken != "" {
				t.Fatalf("seed %d: %s", seed, w.broken)
			}
		}
		for s := range w.visits {
			visits[s] = true
		}
		versions += len(w.ledger.Versions(thing))
	}
	t.Logf("%d versions, stages %v", versions, visits)
	require.Len(t, visits, len(stageNames)-1, "every stage but that of nothing")
	require.Greater(t, versions, 500)
}

// The walk finds what is planted.
func TestPlantedFaults(t *testing.T) {
	for name, p := range map[string]planted{"a lease held a tenth too long": longLease, "the straggler's check left out": noStraggler,
		"old orders taken in": oldOrders, "what had begun goes on": actsOn} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(2000) {
				w := newWorld(seed, p)
				for range 8000 {
					if w.step(); w.broken != "" {
						t.Logf("found with seed %d: %s", seed, w.broken)
						return
					}
				}
			}
			t.Fatal("not found")
		})
	}
}
