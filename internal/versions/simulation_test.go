package versions

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulation is a controller whose leader changes, drivers with their own clocks, and messages that
// are delayed, lost, duplicated and reordered. It checks on which versions drivers act.
type simulation struct {
	rng           *rand.Rand
	fault         fault
	now           int64
	controller    *Controller
	records       []Record
	leaseExpiry   map[string]int64 // by driver name, as the leader knows it
	drivers       []*driver
	requests      []request
	grants        []pendingGrant
	obsolete      map[Number]bool
	violation     string
	visitedStages map[string]bool
}

type fault int

const (
	noFault          fault = iota
	leaseTooLong           // drivers keep their leases 10 % too long
	skipUnconfirmed        // transitions do not wait for some driver that may act
	acceptStale            // drivers apply assignments that are older than they know
	continueObsolete       // drivers continue requests under completed versions
)

type driver struct {
	Instance
	state      *DriverState
	clockRate  float64
	inFlight   []inFlightRequest
	mutedUntil int64 // its requests are lost until then
}

type inFlightRequest struct {
	number Number
	endsAt int64
}

type request struct {
	instance Instance
	sentAt   int64 // by the driver's clock
	reports  []Report
	ready    int64
}

type pendingGrant struct {
	instance    Instance
	requestedAt int64
	grant       Grant
	ready       int64
}

const (
	leaseTime    = 1000
	clockMargin  = 60 // for clock rates that differ by up to 2 %
	testResource = Resource("x")
)

func newSimulation(seed int64, f fault) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(seed)), fault: f,
		leaseExpiry: map[string]int64{}, obsolete: map[Number]bool{},
		visitedStages: map[string]bool{}, controller: NewController()}
	for i := range 4 {
		d := &driver{Instance: Instance{fmt.Sprint("d", i), 0}, clockRate: 1 + 0.02*(2*s.rng.Float64()-1)}
		s.drivers = append(s.drivers, d)
		s.restart(d)
	}
	return s
}

func (d *driver) clock(now int64) int64 { return int64(float64(now) * d.clockRate) }

func (s *simulation) restart(d *driver) {
	d.Start++
	d.state, d.inFlight = NewDriverState(), nil
}

func (s *simulation) statuses() (all []DriverStatus) {
	for _, d := range s.drivers {
		all = append(all, DriverStatus{Instance: d.Instance, MayAct: s.leaseExpiry[d.Name] >= s.now})
	}
	return all
}

func (s *simulation) commit(records []Record) {
	for _, record := range records {
		if err := s.controller.Apply(record); err != nil {
			s.violation = err.Error()
			return
		}
		s.records = append(s.records, record)
		v := record.Version
		s.visitedStages[v.Stage.String()] = true
		if v.Stage == StageCompleted {
			s.obsolete[v.Base] = true
			for n := range v.Number {
				s.obsolete[n] = true
			}
		}
		if v.Stage == StageRolledBack {
			s.obsolete[v.Number] = true
		}
	}
}

// step performs one random action.
func (s *simulation) step() {
	d := s.drivers[s.rng.Intn(len(s.drivers))]
	switch n := s.rng.Intn(1000); {
	case n < 250:
		s.now += s.rng.Int63n(60)
	case n < 400:
		s.requests = append(s.requests, request{d.Instance, d.clock(s.now), d.state.Reports(), s.now + s.rng.Int63n(120)})
	case n < 560:
		s.deliverRequest()
	case n < 720:
		s.deliverGrant()
	case n < 840:
		s.beginRequest(d)
	case n < 900:
		d.endRequests(s.now)
	case n < 960:
		statuses := s.statuses()
		if s.fault == skipUnconfirmed && s.rng.Intn(40) == 0 {
			statuses[s.rng.Intn(len(statuses))].MayAct = false
		}
		s.commit(s.controller.Step(s.now, statuses))
	case n < 968:
		plan := Plan{Exclusive: s.rng.Intn(2) == 0, AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1, TrialTime: 50}
		if !plan.Exclusive && s.rng.Intn(2) == 0 {
			plan.CanaryFraction = 0.3
		}
		if records, err := s.controller.Propose(s.now, testResource, "d", "text", "walk", plan); err == nil {
			s.commit(records)
		}
	case n < 970:
		if records, err := s.controller.RollBack(s.now, testResource, "walk"); err == nil {
			s.commit(records)
		}
	case n < 974:
		s.restart(d)
	case n < 978:
		snapshot := s.controller.Snapshot()
		s.controller = NewController()
		s.controller.Restore(snapshot)
		s.controller.StartLeading()
		for _, d := range s.drivers {
			s.leaseExpiry[d.Name] = s.now + leaseTime + clockMargin
		}
	case n < 984:
		d.mutedUntil = s.now + s.rng.Int63n(3*leaseTime)
	}
	s.check()
}

// deliverRequest delivers a random request and answers it.
func (s *simulation) deliverRequest() {
	if len(s.requests) == 0 {
		return
	}
	i := s.rng.Intn(len(s.requests))
	request := s.requests[i]
	if s.rng.Intn(20) != 0 || len(s.requests) > 60 {
		s.requests = slices.Delete(s.requests, i, i+1)
	}
	d := s.drivers[slices.IndexFunc(s.drivers, func(d *driver) bool { return d.Name == request.instance.Name })]
	if request.instance != d.Instance || s.now < d.mutedUntil || s.rng.Intn(12) == 0 {
		return // the roster rejects requests of instances that restarted
	}
	s.leaseExpiry[request.instance.Name] = s.now + leaseTime + clockMargin
	s.controller.RecordReports(request.instance, request.reports)
	s.grants = append(s.grants, pendingGrant{request.instance, request.sentAt,
		Grant{Lease: leaseTime, Assignments: s.controller.Assignments(request.instance)}, s.now})
}

// deliverGrant delivers a random grant.
func (s *simulation) deliverGrant() {
	if len(s.grants) == 0 {
		return
	}
	i := s.rng.Intn(len(s.grants))
	pending := s.grants[i]
	if s.rng.Intn(3) != 0 || len(s.grants) > 60 {
		s.grants = slices.Delete(s.grants, i, i+1)
	}
	d := s.drivers[slices.IndexFunc(s.drivers, func(d *driver) bool { return d.Name == pending.instance.Name })]
	if pending.instance != d.Instance {
		return
	}
	if s.fault == acceptStale {
		for _, resource := range d.state.resources {
			resource.epoch = 0
		}
	}
	if s.fault == leaseTooLong {
		pending.grant.Lease += leaseTime / 10
	}
	for _, adoption := range d.state.ApplyGrant(pending.requestedAt, pending.grant) {
		if s.rng.Intn(10) == 0 {
			d.state.MarkFailed(adoption, "can't")
		} else {
			d.state.MarkAdopted(adoption)
		}
	}
}

func (s *simulation) beginRequest(d *driver) {
	if n, ok := d.state.Begin(d.clock(s.now), testResource); ok {
		d.inFlight = append(d.inFlight, inFlightRequest{n, s.now + s.rng.Int63n(200) + s.rng.Int63n(40)/39*5*leaseTime})
	}
}

// endRequests ends the requests that are due.
func (d *driver) endRequests(now int64) {
	d.inFlight = slices.DeleteFunc(d.inFlight, func(request inFlightRequest) bool {
		if request.endsAt <= now {
			d.state.End(testResource, request.number)
		}
		return request.endsAt <= now
	})
}

// check looks for drivers that could act on obsolete versions, or on two exclusive ones, at this
// moment.
func (s *simulation) check() {
	active := map[Number][]string{}
	for _, d := range s.drivers {
		clock := d.clock(s.now)
		if n, ok := d.state.Begin(clock, testResource); ok {
			active[n] = append(active[n], d.Name)
			d.state.End(testResource, n)
		}
		for _, request := range d.inFlight {
			if d.state.MayContinue(clock, testResource, request.number) || s.fault == continueObsolete && clock < d.state.LeaseExpiry() {
				active[request.number] = append(active[request.number], d.Name)
			}
		}
	}
	for n, names := range active {
		if s.obsolete[n] {
			s.violation = fmt.Sprintf("%v act on version %d, which is obsolete", names, n)
		}
	}
	if v := s.controller.histories[testResource].latest(); v != nil && v.Plan.Exclusive && len(active) > 1 {
		s.violation = fmt.Sprintf("drivers act on exclusive versions at the same time: %v", active)
	}
}

// Guards against acts on a version after its rollout or rollback ended, and on two exclusive
// versions.
func TestNobodyActsOnAnOldVersion(t *testing.T) {
	visitedStages, versions := map[string]bool{}, 0
	for seed := range int64(150) {
		s := newSimulation(seed, noFault)
		for range 8000 {
			if s.step(); s.violation != "" {
				t.Fatalf("seed %d: %s", seed, s.violation)
			}
		}
		for stage := range s.visitedStages {
			visitedStages[stage] = true
		}
		versions += len(s.controller.Versions(testResource))
	}
	t.Logf("%d versions, stages %v", versions, visitedStages)
	require.Len(t, visitedStages, len(stageTexts)-1, "every stage but unknown")
	require.Greater(t, versions, 500)
}

// Guards against a simulation that would not detect faults.
func TestPlantedFaults(t *testing.T) {
	for name, f := range map[string]fault{"leases kept too long": leaseTooLong,
		"unconfirmed driver skipped": skipUnconfirmed, "stale assignments applied": acceptStale,
		"requests continued under obsolete version": continueObsolete} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(2000) {
				s := newSimulation(seed, f)
				for range 8000 {
					if s.step(); s.violation != "" {
						t.Logf("found with seed %d: %s", seed, s.violation)
						return
					}
				}
			}
			t.Fatal("not found")
		})
	}
}
