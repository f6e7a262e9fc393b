package versions

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// loadSimulation is a leader and many drivers on a virtual clock. The leader handles messages one
// at a time, which takes time by their size.
type loadSimulation struct {
	rng           *rand.Rand
	controller    *Controller
	pacer         *Pacer // nil for none
	pollInterval  int64  // 0 for long polling
	now           int64
	events        events
	seq           int
	idleAt        int64 // when the leader has handled all messages
	drivers       []*loadDriver
	waiting       []*loadDriver // drivers in long polls
	activatedAt   []int64       // when each driver activated the target version
	target        Number
	messages      int
	bytes         int64
	maxQueueWait  int64 // in the leader's queue
	expiredLeases int   // number of drivers whose lease expired
}

type loadDriver struct {
	Instance
	state       *DriverState
	requestedAt int64
	isActive    bool
	isExpired   bool
	answers     int
}

type event struct {
	at  int64
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

const (
	ms              = int64(1_000_000)
	loadLease       = 15_000 * ms
	loadAnswerWait  = loadLease / 4
	loadLatency     = ms         // one way
	loadRequestCost = 100_000    // ns for each message
	loadByteCost    = 10.0       // ns for each byte
	loadTextBytes   = 256 << 10  // of a version
	loadPacerRate   = 32.0 * 1e6 // bytes per second
)

func (s *loadSimulation) after(delay int64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + delay, s.seq, do})
}

func (s *loadSimulation) run(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// serve queues a message at the leader and calls do when it has been handled.
func (s *loadSimulation) serve(bytes int, do func()) {
	startedAt := max(s.now, s.idleAt)
	s.maxQueueWait = max(s.maxQueueWait, startedAt-s.now)
	s.idleAt = startedAt + loadRequestCost + int64(float64(bytes)*loadByteCost)
	s.messages++
	s.bytes += int64(bytes)
	s.after(s.idleAt-s.now, do)
}

func encodedLength(v any) int {
	text, _ := json.Marshal(v)
	return len(text)
}

// request sends a driver's reports.
func (s *loadSimulation) request(d *loadDriver) {
	d.requestedAt = s.now
	if d.state.LeaseExpiry() != 0 && d.state.LeaseExpiry() < s.now && !d.isExpired {
		d.isExpired = true
		s.expiredLeases++
	}
	reports := d.state.Reports()
	s.after(loadLatency, func() {
		s.serve(encodedLength(reports)+200, func() {
			s.controller.RecordReports(d.Instance, reports)
			s.step()
			s.respond(d, true)
		})
	})
}

// respond answers a driver, or lets its long poll wait for new assignments.
func (s *loadSimulation) respond(d *loadDriver, mayWait bool) {
	assignments := s.controller.Assignments(d.Instance)
	if len(assignments) == 0 && mayWait && s.pollInterval == 0 {
		s.waiting = append(s.waiting, d)
		d.answers++
		answer := d.answers
		s.after(loadAnswerWait, func() {
			if d.answers == answer {
				s.waiting = slices.DeleteFunc(s.waiting, func(w *loadDriver) bool { return w == d })
				s.respond(d, false)
			}
		})
		return
	}
	d.answers++
	retryAfter := int64(0)
	for i := range assignments {
		if n := len(assignments[i].Text); n > 0 && s.pacer != nil {
			if retryAfter = s.pacer.Reserve(s.now, d.Instance, n); retryAfter > 0 {
				assignments = nil
				break
			}
		}
	}
	grant := Grant{Lease: loadLease, Assignments: assignments}
	if retryAfter > 0 {
		grant.Lease = 0
	}
	s.serve(encodedLength(grant), func() { s.after(loadLatency, func() { s.applyGrant(d, grant, retryAfter) }) })
}

// applyGrant applies a grant at a driver and schedules its next request.
func (s *loadSimulation) applyGrant(d *loadDriver, grant Grant, retryAfter int64) {
	if retryAfter > 0 {
		s.after(retryAfter, func() { s.request(d) })
		return
	}
	for _, adoption := range d.state.ApplyGrant(d.requestedAt, grant) {
		d.state.MarkAdopted(adoption)
	}
	d.isExpired = false
	if n, ok := d.state.Begin(s.now, testResource); ok {
		d.state.End(testResource, n)
		if n >= s.target && !d.isActive {
			d.isActive = true
			s.activatedAt = append(s.activatedAt, s.now)
		}
	}
	wait := s.pollInterval
	if len(grant.Assignments) > 0 {
		wait = 0
	}
	s.after(wait, func() { s.request(d) })
}

func (s *loadSimulation) step() {
	var statuses []DriverStatus
	for _, d := range s.drivers {
		statuses = append(statuses, DriverStatus{Instance: d.Instance, MayAct: true})
	}
	for _, record := range s.controller.Step(s.now, statuses) {
		s.controller.Apply(record)
		waiting := s.waiting
		s.waiting = nil
		for _, d := range waiting {
			s.respond(d, false)
		}
	}
}

func newLoadSimulation(drivers int, pollInterval int64, isPaced bool) *loadSimulation {
	s := &loadSimulation{rng: rand.New(rand.NewSource(1)), controller: NewController(), pollInterval: pollInterval}
	if isPaced {
		s.pacer = NewPacer(loadPacerRate, 20*ms)
	}
	for i := range drivers {
		d := &loadDriver{Instance: Instance{fmt.Sprint("driver-", i), 1}, state: NewDriverState()}
		s.drivers = append(s.drivers, d)
		s.after(s.rng.Int63n(1000*ms), func() { s.request(d) })
	}
	return s
}

// rollOut proposes a version and runs the simulation for span.
func (s *loadSimulation) rollOut(span int64) {
	records, err := s.controller.Propose(s.now, testResource, "d", strings.Repeat("x", loadTextBytes), "",
		Plan{AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1})
	if err != nil {
		panic(err)
	}
	s.target, s.activatedAt, s.maxQueueWait = records[0].Version.Number, nil, 0
	for _, d := range s.drivers {
		d.isActive = false
	}
	s.controller.Apply(records[0])
	waiting := s.waiting
	s.waiting = nil
	for _, d := range waiting {
		s.respond(d, false)
	}
	s.run(s.now + span)
}

// activationTime returns how long it took until a fraction of the drivers had activated the
// version.
func (s *loadSimulation) activationTime(fraction float64, startedAt int64) string {
	need := int(math.Ceil(fraction * float64(len(s.drivers))))
	if len(s.activatedAt) < need {
		return "not yet"
	}
	slices.Sort(s.activatedAt)
	return fmt.Sprintf("%.2f s", float64(s.activatedAt[need-1]-startedAt)/1e9)
}

// TestMeasureSize compares ways to distribute versions to many drivers, for `make
// results-fleet-size`.
func TestMeasureSize(t *testing.T) {
	path := os.Getenv("SEDGESPREAD_FLEET_TABLE")
	if path == "" {
		t.Skip("set SEDGESPREAD_FLEET_TABLE to a file")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "A virtual clock; one that tells, 0.1 ms and 10 ns a byte for each message, 1 ms a way; lease 15 s, a version of 256 KiB, texts paced to 32 MB/s.\n"+
		"Quiet: 60 s without a change. Change: from the proposal until drivers act on it. Return: all drivers come back at once and know nothing.\n\n")
	b.WriteString("| drivers | way | quiet: messages/s, KB/s at the council; messages/s at a driver | change: 50%, 99%, all act | closed | return: 50%, 99%, all act | longest wait in the council's queue | leases that ran out |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, n := range []int{10, 100, 1000} {
		for _, mode := range []struct {
			name  string
			poll  int64
			paced bool
		}{{"answers wait, paced", 0, true}, {"answers wait, all at once", 0, false}, {"polling every 1 s", 1000 * ms, false}} {
			s := newLoadSimulation(n, mode.poll, mode.paced)
			s.run(20_000 * ms)
			messages, bytes := s.messages, s.bytes
			s.run(s.now + 60_000*ms)
			quiet := fmt.Sprintf("%.1f, %.1f; %.2f", float64(s.messages-messages)/60, float64(s.bytes-bytes)/60e3, float64(s.messages-messages)/60/float64(n))
			startedAt := s.now
			s.rollOut(120_000 * ms)
			change := s.activationTime(0.5, startedAt) + ", " + s.activationTime(0.99, startedAt) + ", " + s.activationTime(1, startedAt)
			completed := "not yet"
			if v := s.controller.histories[testResource].latest(); v.Stage == StageCompleted {
				completed = fmt.Sprintf("%.2f s", float64(v.CompletedAt-startedAt)/1e9)
			}
			rolloutQueueWait := s.maxQueueWait
			s.events, s.waiting, s.activatedAt, s.maxQueueWait, s.expiredLeases = nil, nil, nil, 0, 0
			s.idleAt, startedAt = s.now, s.now
			for _, d := range s.drivers {
				d.state, d.isActive, d.answers = NewDriverState(), false, d.answers+1
				d.Start++
				s.request(d)
			}
			s.run(s.now + 120_000*ms)
			fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s | change %.2f s, return %.2f s | %d |\n", n, mode.name, quiet, change, completed,
				s.activationTime(0.5, startedAt)+", "+s.activationTime(0.99, startedAt)+", "+s.activationTime(1, startedAt), float64(rolloutQueueWait)/1e9, float64(s.maxQueueWait)/1e9, s.expiredLeases)
		}
	}
	require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
}
