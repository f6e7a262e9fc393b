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

// sized is a fleet of many drivers on a virtual clock, with one that tells them all: requests are served one after another
// and take time by their bytes.
type sized struct {
	rng      *rand.Rand
	ledger   *Controller
	pacer    *Pacer // nil for none
	poll     int64  // drivers ask so often; 0 for at once after an answer, which may wait
	now      int64
	events   events
	seq      int
	free     int64 // when the server is idle again
	drivers  []*askers
	waiting  []*askers // whose answers wait for something new
	acts     []int64   // when drivers began to act on the version
	wanted   Number
	messages int
	bytes    int64
	worst    int64 // longest wait in the server's queue
	lapsed   int   // drivers whose lease ran out
}

type askers struct {
	Instance
	h      *DriverState
	asked  int64
	began  int64
	acting bool
	lapsed bool
	turn   int
}

type event struct {
	at  int64
	seq int
	do  func()
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
	ms         = int64(1_000_000)
	sizedLease = 15_000 * ms
	sizedWait  = sizedLease / 4
	sizedHop   = ms         // one way
	sizedCost  = 100_000    // ns a request, beside
	sizedBytes = 10.0       // ns a byte: 100 MB a second
	sizedText  = 256 << 10  // of a version
	sizedRate  = 32.0 * 1e6 // bytes a second that a pacer lets through
)

func (s *sized) after(wait int64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + wait, s.seq, do})
}

func (s *sized) run(until int64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// serve lets the server spend time on some bytes, and then do something.
func (s *sized) serve(bytes int, do func()) {
	begun := max(s.now, s.free)
	s.worst = max(s.worst, begun-s.now)
	s.free = begun + sizedCost + int64(float64(bytes)*sizedBytes)
	s.messages++
	s.bytes += int64(bytes)
	s.after(s.free-s.now, do)
}

func length(v any) int {
	text, _ := json.Marshal(v)
	return len(text)
}

// ask lets a driver ask.
func (s *sized) ask(d *askers) {
	d.asked = s.now
	if d.h.LeaseExpiry() != 0 && d.h.LeaseExpiry() < s.now && !d.lapsed {
		d.lapsed = true
		s.lapsed++
	}
	seen := d.h.Reports()
	s.after(sizedHop, func() {
		s.serve(length(seen)+200, func() {
			s.ledger.RecordReports(d.Instance, seen)
			s.step()
			s.answer(d, true)
		})
	})
}

// answer answers a driver, at once or once there is something new.
func (s *sized) answer(d *askers, may bool) {
	orders := s.ledger.Assignments(d.Instance)
	if len(orders) == 0 && may && s.poll == 0 {
		s.waiting = append(s.waiting, d)
		d.turn++
		turn := d.turn
		s.after(sizedWait, func() {
			if d.turn == turn {
				s.waiting = slices.DeleteFunc(s.waiting, func(w *askers) bool { return w == d })
				s.answer(d, false)
			}
		})
		return
	}
	d.turn++
	again := int64(0)
	for i := range orders {
		if n := len(orders[i].Text); n > 0 && s.pacer != nil {
			if again = s.pacer.Reserve(s.now, d.Instance, n); again > 0 {
				orders = nil
				break
			}
		}
	}
	g := Grant{Lease: sizedLease, Assignments: orders}
	if again > 0 {
		g.Lease = 0
	}
	s.serve(length(g), func() { s.after(sizedHop, func() { s.granted(d, g, again) }) })
}

// granted lets a driver take in what it was granted, and ask again.
func (s *sized) granted(d *askers, g Grant, again int64) {
	if again > 0 {
		s.after(again, func() { s.ask(d) })
		return
	}
	for _, a := range d.h.ApplyGrant(d.asked, g) {
		d.h.MarkAdopted(a)
	}
	d.lapsed = false
	if n, may := d.h.Begin(s.now, thing); may {
		d.h.End(thing, n)
		if n >= s.wanted && !d.acting {
			d.acting = true
			s.acts = append(s.acts, s.now)
		}
	}
	wait := s.poll
	if len(g.Assignments) > 0 {
		wait = 0
	}
	s.after(wait, func() { s.ask(d) })
}

func (s *sized) step() {
	var all []DriverStatus
	for _, d := range s.drivers {
		all = append(all, DriverStatus{Instance: d.Instance, MayAct: true})
	}
	for _, k := range s.ledger.Step(s.now, all) {
		s.ledger.Apply(k)
		waiting := s.waiting
		s.waiting = nil
		for _, d := range waiting {
			s.answer(d, false)
		}
	}
}

func newSized(drivers int, poll int64, paced bool) *sized {
	s := &sized{rng: rand.New(rand.NewSource(1)), ledger: NewController(), poll: poll}
	if paced {
		s.pacer = NewPacer(sizedRate, 20*ms)
	}
	for i := range drivers {
		d := &askers{Instance: Instance{fmt.Sprint("driver-", i), 1}, h: NewDriverState()}
		s.drivers = append(s.drivers, d)
		s.after(s.rng.Int63n(1000*ms), func() { s.ask(d) })
	}
	return s
}

// change brings a version in, and lets the fleet run.
func (s *sized) change(span int64) {
	records, err := s.ledger.Propose(s.now, thing, "d", strings.Repeat("x", sizedText), "", Plan{AnnounceTimeout: 1, AdoptTimeout: 1, DrainTimeout: 1})
	if err != nil {
		panic(err)
	}
	s.wanted, s.acts, s.worst = records[0].Version.Number, nil, 0
	for _, d := range s.drivers {
		d.acting = false
	}
	s.ledger.Apply(records[0])
	waiting := s.waiting
	s.waiting = nil
	for _, d := range waiting {
		s.answer(d, false)
	}
	s.run(s.now + span)
}

// at is when a part of the drivers acted on the version, after a time.
func (s *sized) at(part float64, begun int64) string {
	need := int(math.Ceil(part * float64(len(s.drivers))))
	if len(s.acts) < need {
		return "not yet"
	}
	slices.Sort(s.acts)
	return fmt.Sprintf("%.2f s", float64(s.acts[need-1]-begun)/1e9)
}

// TestMeasureSize compares ways of telling many drivers. `make results-fleet-size` keeps the table.
func TestMeasureSize(t *testing.T) {
	path := os.Getenv("SEDGESPREAD_FLEET_TABLE")
	if path == "" {
		t.Skip("no table is wanted")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "A virtual clock; one that tells, 0.1 ms and 10 ns a byte for each message, 1 ms a way; lease 15 s, a version of 256 KiB, texts paced to 32 MB/s.\n"+
		"Quiet: 60 s without a change. Change: from the proposal until drivers act on it. Return: all drivers come back at once and know nothing.\n\n")
	b.WriteString("| drivers | way | quiet: messages/s, KB/s at the council; messages/s at a driver | change: 50%, 99%, all act | closed | return: 50%, 99%, all act | longest wait in the council's queue | leases that ran out |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, n := range []int{10, 100, 1000} {
		for _, way := range []struct {
			name  string
			poll  int64
			paced bool
		}{{"answers wait, paced", 0, true}, {"answers wait, all at once", 0, false}, {"polling every 1 s", 1000 * ms, false}} {
			s := newSized(n, way.poll, way.paced)
			s.run(20_000 * ms)
			messages, bytes := s.messages, s.bytes
			s.run(s.now + 60_000*ms)
			quiet := fmt.Sprintf("%.1f, %.1f; %.2f", float64(s.messages-messages)/60, float64(s.bytes-bytes)/60e3, float64(s.messages-messages)/60/float64(n))
			begun := s.now
			s.change(120_000 * ms)
			change := s.at(0.5, begun) + ", " + s.at(0.99, begun) + ", " + s.at(1, begun)
			closed := "not yet"
			if v := s.ledger.lines[thing].last(); v.Stage == StageCompleted {
				closed = fmt.Sprintf("%.2f s", float64(v.CompletedAt-begun)/1e9)
			}
			changeWorst := s.worst
			s.events, s.waiting, s.acts, s.worst, s.lapsed = nil, nil, nil, 0, 0
			s.free, begun = s.now, s.now
			for _, d := range s.drivers {
				d.h, d.acting, d.turn = NewDriverState(), false, d.turn+1
				d.Start++
				s.ask(d)
			}
			s.run(s.now + 120_000*ms)
			fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s | change %.2f s, return %.2f s | %d |\n", n, way.name, quiet, change, closed,
				s.at(0.5, begun)+", "+s.at(0.99, begun)+", "+s.at(1, begun), float64(changeWorst)/1e9, float64(s.worst)/1e9, s.lapsed)
		}
	}
	require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
}
