package chamber

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sedgespread/internal/council"
	"sedgespread/internal/emulator/links"
	"sedgespread/internal/emulator/links/relays"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/store"
)

// register is a machine that holds one value.
type register struct {
	mu    sync.Mutex
	value string
	leads int
}

func (r *register) Apply(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	json.Unmarshal(data, &r.value)
}

func (r *register) Snapshot() ([]byte, error) { return json.Marshal(r.read()) }

func (r *register) Restore(data []byte) error {
	r.Apply(data)
	return nil
}

func (r *register) Lead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leads++
}

func (r *register) read() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// table is a council of chambers in one process, with a relay for each two of them.
type table struct {
	t     *testing.T
	net   *relays.Network
	dir   string
	at    []string
	peers []VoterAddresses
	seats []*seated
	pens  []*slowPen
}

// slowPen is a voter's file that takes a time more for each write, or waits until it is mended.
type slowPen struct {
	keeper
	takes  atomic.Int64 // nanoseconds
	hangs  atomic.Bool
	writes atomic.Int64
}

func (p *slowPen) Save(parts ...store.Update) error {
	time.Sleep(time.Duration(p.takes.Load()))
	for p.hangs.Load() {
		time.Sleep(time.Millisecond)
	}
	p.writes.Add(1)
	return p.keeper.Save(parts...)
}

type seated struct {
	mu   sync.Mutex
	c    *Server
	r    *register
	stop func()
}

var pace = council.Timing{Tick: int64(10 * time.Millisecond), ElectionTicks: 10, MaxDrift: 0.01}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// aside is where voters listen: on an address from which nobody connects, and so takes the port of one that is down.
const aside = "127.0.0.2:0"

func newTable(t *testing.T, voters int) *table {
	b := &table{t: t, net: relays.New(1), dir: t.TempDir()}
	t.Cleanup(b.net.Close)
	for range voters {
		l, err := net.Listen("tcp", aside)
		require.NoError(t, err)
		b.at = append(b.at, l.Addr().String())
		l.Close()
	}
	for i := range voters {
		peers := VoterAddresses{}
		for j := range voters {
			at, err := b.net.RelayTCP(links.Link{From: name(i), To: name(j)}, b.at[j])
			require.NoError(t, err)
			peers[council.VoterID(j+1)] = at
		}
		b.peers, b.seats, b.pens = append(b.peers, peers), append(b.seats, &seated{}), append(b.pens, &slowPen{})
	}
	for i := range voters {
		b.start(i)
	}
	t.Cleanup(func() {
		for i := range b.seats {
			b.end(i)
		}
	})
	return b
}

func name(i int) string { return fmt.Sprint("v", i+1) }

func (b *table) disk(i int) string { return filepath.Join(b.dir, name(i)) }

// start starts a voter over its disk.
func (b *table) start(i int) {
	s := b.seats[i]
	r := &register{}
	c, err := Open(council.VoterID(i+1), b.peers[i], false, b.disk(i), pace, map[string]StateMachine{"register": r}, quiet())
	require.NoError(b.t, err)
	b.pens[i].keeper = c.disk.log
	c.disk.log = b.pens[i]
	l, err := net.Listen("tcp", b.at[i])
	require.NoError(b.t, err)
	mux := http.NewServeMux()
	c.RegisterHandlers(mux)
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); c.Run(ctx) }()
	go func() { defer done.Done(); jsonhttp.Serve(ctx, l, mux) }()
	s.mu.Lock()
	s.c, s.r, s.stop = c, r, func() { stop(); done.Wait() }
	s.mu.Unlock()
}

// end ends a voter, as its process would end.
func (b *table) end(i int) {
	s := b.seats[i]
	s.mu.Lock()
	stop := s.stop
	s.c, s.stop = nil, nil
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (s *seated) now() (*Server, *register) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c, s.r
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begun := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		require.Less(t, time.Since(begun), 15*time.Second, what)
	}
}

// leader is the voter that acts, -1 for none.
func (b *table) leader() int {
	for i, s := range b.seats {
		if c, _ := s.now(); c != nil && c.IsActing() {
			return i
		}
	}
	return -1
}

// leads is the voter that acts, once one does.
func (b *table) leads() int {
	lead := -1
	eventually(b.t, "nobody leads", func() bool { lead = b.leader(); return lead >= 0 })
	return lead
}

func (b *table) record(value string) {
	eventually(b.t, "nobody records", func() bool {
		for _, s := range b.seats {
			if c, _ := s.now(); c != nil && c.Record(context.Background(), "register", value) == nil {
				return true
			}
		}
		return false
	})
}

// Guards against a council that does not survive the loss of any one voter, or of all at once, and against one that goes
// on alone.
func TestVoterLosses(t *testing.T) {
	b := newTable(t, 3)
	b.record("one")
	for i := range 3 {
		b.end(i)
		b.record(fmt.Sprint("without ", i))
		b.start(i)
		eventually(t, "it does not catch up", func() bool { _, r := b.seats[i].now(); return r.read() == fmt.Sprint("without ", i) })
	}
	lead := b.leads()
	for i := range 3 {
		if i != lead {
			b.end(i)
		}
	}
	eventually(t, "it acts alone", func() bool { return b.leader() < 0 })
	c, _ := b.seats[lead].now()
	require.ErrorIs(t, c.Record(context.Background(), "register", "alone"), ErrNotLeading)
	b.end(lead)
	for i := range 3 {
		b.start(i)
	}
	b.record("all again")
	for i := range 3 {
		eventually(t, "not told", func() bool { _, r := b.seats[i].now(); return r.read() == "all again" })
	}
}

// Guards against disks on which each write takes longer than a leader's tenure: the council still elects, the leader goes on
// acting without a gap, and what many record at once shares writes.
func TestSlowDisks(t *testing.T) {
	b := newTable(t, 3)
	for _, p := range b.pens {
		p.takes.Store(2 * pace.LeaderLease())
	}
	b.record("first")
	lead := b.leads()
	c, r := b.seats[lead].now()
	require.Greater(t, c.State().WriteMs, float64(pace.LeaderLease())/1e6, "its disk is known to be slow")
	before, gaps, over := b.pens[lead].writes.Load(), 0, make(chan struct{})
	var watch, clients sync.WaitGroup
	watch.Add(1)
	go func() {
		defer watch.Done()
		for ; ; time.Sleep(time.Millisecond) {
			select {
			case <-over:
				return
			default:
			}
			if !c.IsActing() {
				gaps++
			}
		}
	}()
	const records = 60
	for n := range records {
		clients.Add(1)
		go func() {
			defer clients.Done()
			require.NoError(t, c.Record(context.Background(), "register", fmt.Sprint(n)))
		}()
	}
	clients.Wait()
	close(over)
	watch.Wait()
	require.Zero(t, gaps, "moments at which the leader did not act")
	require.Equal(t, 1, r.leads)
	require.Less(t, b.pens[lead].writes.Load()-before, int64(records/2))
}

// Guards against a leader whose disk hangs and whose heartbeats keep the others from going on without it.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	b := newTable(t, 3)
	b.record("one")
	lead := b.leads()
	b.pens[lead].hangs.Store(true)
	defer b.pens[lead].hangs.Store(false)
	c, _ := b.seats[lead].now()
	by, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	require.ErrorIs(t, c.Record(by, "register", "hung"), ErrOutcomeUnknown)
	eventually(t, "nobody follows it", func() bool { i := b.leader(); return i >= 0 && i != lead })
	b.record("without it")
	b.pens[lead].hangs.Store(false)
	eventually(t, "it does not catch up", func() bool { _, r := b.seats[lead].now(); return r.read() == "without it" })
}

// Guards against a disk that came back old, or is another voter's, or was cut.
func TestUnusableDisks(t *testing.T) {
	b := newTable(t, 3)
	b.record("one")
	i := b.leads()
	b.end(i)
	old, err := os.ReadFile(b.disk(i))
	require.NoError(t, err)
	b.start(i)
	for n := range 5 {
		b.record(fmt.Sprint("more ", n))
	}
	eventually(t, "it does not catch up", func() bool { _, r := b.seats[i].now(); return r.read() == "more 4" })
	eventually(t, "others did not hear from it", func() bool { c, _ := b.seats[(i+1)%3].now(); return c.State().Applied > 5 })
	b.end(i)
	require.NoError(t, os.WriteFile(b.disk(i), old, 0o600))
	b.start(i)
	eventually(t, "not refused", func() bool { c, _ := b.seats[i].now(); return c.State().RefusalReason != "" })
	c, _ := b.seats[i].now()
	require.Contains(t, c.State().RefusalReason, "is older than what it had told")
	b.record("the others go on")
	b.end(i)
	require.NoError(t, os.WriteFile(b.disk(i), old[:len(old)/2], 0o600))
	_, err = Open(council.VoterID(i+1), b.peers[i], false, b.disk(i), pace, nil, quiet())
	require.ErrorContains(t, err, "cut off")
	other := (i + 1) % 3
	b.end(other)
	_, err = Open(council.VoterID(i+1), b.peers[i], false, b.disk(other), pace, nil, quiet())
	require.ErrorContains(t, err, fmt.Sprintf("it is the disk of voter %d, and this is voter %d", other+1, i+1))
	b.start(other)
}

// Guards against a voter lost for good: another takes its place while the council works, and learns what was recorded.
func TestVoterReplacement(t *testing.T) {
	b := newTable(t, 3)
	b.record("before")
	lost := (b.leads() + 1) % 3
	b.end(lost)
	l, err := net.Listen("tcp", aside)
	require.NoError(t, err)
	at := l.Addr().String()
	l.Close()
	b.at, b.peers, b.seats = append(b.at, at), append(b.peers, b.peers[lost]), append(b.seats, &seated{})
	r := &register{}
	c, err := Open(4, b.peers[lost], true, b.disk(3), pace, map[string]StateMachine{"register": r}, quiet())
	require.NoError(t, err)
	l, err = net.Listen("tcp", at)
	require.NoError(t, err)
	mux := http.NewServeMux()
	c.RegisterHandlers(mux)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	go jsonhttp.Serve(ctx, l, mux)
	change := VoterChange{Add: VoterAddresses{4: at}, Remove: []council.VoterID{council.VoterID(lost + 1)}}
	eventually(t, "not proposed", func() bool {
		for _, s := range b.seats[:3] {
			if k, _ := s.now(); k != nil && k.ChangeVoters(context.Background(), change) == nil {
				return true
			}
		}
		return false
	})
	eventually(t, "not taken in", func() bool { return len(c.State().Voters) == 3 && r.read() == "before" })
	require.NotContains(t, c.State().Voters, council.VoterID(lost+1))
	b.record("after")
	eventually(t, "not told", func() bool { return r.read() == "after" })
}

// Guards against requests that reach a voter that does not lead, and against ones that go round in a ring.
func TestForwardToLeader(t *testing.T) {
	b := newTable(t, 3)
	b.record("x")
	hits := 0
	served := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { hits++; io.WriteString(w, "{}") })
	ask := func(i int, hop string) int {
		c, _ := b.seats[i].now()
		r, _ := http.NewRequest(http.MethodPost, "http://x/v1/council/state", http.NoBody)
		r.Header.Set(hopHeader, hop)
		w := &recorder{head: http.Header{}}
		c.ForwardToLeader(served).ServeHTTP(w, r)
		return w.status
	}
	lead := b.leads()
	require.Equal(t, http.StatusOK, ask(lead, ""))
	require.Equal(t, 1, hits)
	other := (lead + 1) % 3
	require.Equal(t, http.StatusServiceUnavailable, ask(other, "1"), "passed on once already")
	require.NotEqual(t, http.StatusServiceUnavailable, ask(other, ""), "passed on to the leader's own handler")
	require.Equal(t, 1, hits)
}

type recorder struct {
	head   http.Header
	status int
}

func (r *recorder) Header() http.Header { return r.head }
func (r *recorder) WriteHeader(s int)   { r.status = s }
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return len(b), nil
}

// Guards against an order of records that some client could tell from one after another: writers and readers at all voters,
// while links fail and voters end and start again, and a checker over what they saw.
func TestRecordsAreOneAfterAnother(t *testing.T) {
	b := newTable(t, 3)
	b.record("0")
	rng := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var history []porcupine.Operation
	begun := time.Now()
	over, end := context.WithTimeout(context.Background(), time.Minute) // it ends by count, below
	defer end()
	var written, read atomic.Int64
	var clients sync.WaitGroup
	for id := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; over.Err() == nil; n++ {
				value := fmt.Sprintf("%d-%d", id, n)
				op := porcupine.Operation{ClientId: id, Input: value, Call: int64(time.Since(begun))}
				s := b.seats[(id+n)%3]
				c, r := s.now()
				if c == nil {
					continue
				}
				if id%2 == 0 {
					op.Input = ""
					if !c.IsActing() {
						time.Sleep(time.Millisecond)
						continue
					}
					op.Output = r.read()
					if !c.IsActing() {
						continue
					}
				} else {
					by, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
					err := c.Record(by, "register", value)
					stop()
					if errors.Is(err, ErrNotLeading) {
						time.Sleep(time.Millisecond)
						continue
					}
					op.Output = ""
					if err != nil {
						op.Return = int64(time.Hour) // it may count at any later time, or never
					}
				}
				if op.Return == 0 {
					op.Return = int64(time.Since(begun))
				}
				if op.Input == "" {
					read.Add(1)
				} else if op.Return != int64(time.Hour) {
					written.Add(1)
				}
				if time.Since(begun) > 3*time.Second && written.Load() > 100 && read.Load() > 100 {
					end() // by count, since a slow disk records fewer
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(1+id) * time.Millisecond)
			}
		}()
	}
	voters := []string{name(0), name(1), name(2)}
	const ms = time.Millisecond
	p := &relays.Player{Network: b.net}
	clients.Add(2)
	go func() {
		defer clients.Done()
		p.Play(over, links.Draw(3, 5*time.Second, []links.FaultSpec{
			{Fault: links.Silent, MeanInterval: 500 * ms, From: voters, To: []string{"*"}, BothDirections: true, MinDuration: 100 * ms, MaxDuration: 500 * ms},
			{Fault: links.Silent, MeanInterval: 700 * ms, From: voters, To: voters, MinDuration: 100 * ms, MaxDuration: 500 * ms},
			{Fault: links.Delay, MeanInterval: 500 * ms, From: voters, To: voters, MinDuration: 100 * ms, MaxDuration: 500 * ms, Amount: 0.005, MaxAmount: 0.05, Jitter: 0.01},
			{Fault: links.Truncate, MeanInterval: 300 * ms, From: voters, To: voters, Amount: 1, MaxAmount: 300},
		}))
	}()
	go func() {
		defer clients.Done()
		for over.Err() == nil {
			time.Sleep(time.Duration(300+rng.Intn(500)) * ms)
			i := rng.Intn(3)
			if lead := b.leader(); lead >= 0 && rng.Intn(2) == 0 {
				i = lead
			}
			b.end(i)
			time.Sleep(time.Duration(rng.Intn(200)) * ms)
			b.start(i)
		}
	}()
	clients.Wait()
	writes, reads, open := 0, 0, 0
	for _, op := range history {
		switch {
		case op.Input == "":
			reads++
		case op.Return == int64(time.Hour):
			open++
		default:
			writes++
		}
	}
	leads := 0
	for _, s := range b.seats {
		_, r := s.now()
		leads += r.leads
	}
	t.Logf("%d writes, %d reads, %d writes of unknown fate", writes, reads, open)
	require.Greater(t, writes, 100)
	require.Greater(t, reads, 100)
	require.NotEqual(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(model, history, 30*time.Second))
	if writes > 0 { // the checker finds what is wrong
		spoilt := append([]porcupine.Operation(nil), history...)
		for i := len(spoilt) - 1; i >= 0; i-- {
			if spoilt[i].Input == "" {
				spoilt[i].Output = "0"
				break
			}
		}
		require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(model, spoilt, 30*time.Second))
	}
}

// model is a register: a read, without an input, gives what was written last.
var model = porcupine.Model{
	Init: func() any { return "0" },
	Step: func(state, input, output any) (bool, any) {
		if input == "" {
			return state == output, state
		}
		return true, input
	},
	Equal: func(a, b any) bool { return a == b },
}
