package program_test

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// store is a stand-in for one replicated group: a log that its primary moves, members that apply it, and roles that change hands. It keeps
// its own record of every statement of a client that reached a member, and judges by it alone how old the data was.
type store struct {
	mu        sync.Mutex
	rng       *rand.Rand
	members   []*replica
	primary   *replica               // nil while the group has none
	stoppedAt time.Time              // the end of its log then
	broken    []string               // what broke the rule on the age of data
	served    int                    // reads
	came      map[string][]time.Time // when requests came, by id; nil where nobody asks
	bound     time.Duration
	fresh     bool // reads have to see all writes: no member may get one once it has told that it is not the primary
	mute      bool // load reports say nothing of roles and positions: nobody is judged by what reached a member, but by what clients got
	strict    bool // a former primary is not excused until it has told that it is none
	kinds     int  // of trouble
}

// replica is one member of a store.
type replica struct {
	*member  // its listener, its connections and its name
	store    *store
	applied  time.Time     // up to which it has applied the log
	lag      time.Duration // behind the log, as a replica
	claims   bool          // it says that it is primary; one that hands over, or hangs, may say so for a while
	reports  bool          // and so does its load report, which is made anew now and then
	reportAt time.Time     // the position in it

	reportMade  time.Time
	reportsTill time.Time                                  // none is made anew before
	speaks      func(s *stream, says string) (goesOn bool) // how it answers the next statement; nil for as usual
	hangsTill   time.Time                                  // it takes statements and answers them later; it answers probes all the same
	breaks      int                                        // what it does with the next answers: 0 for whole ones
	hasLed      bool                                       // it has been primary
	toldAt      time.Time                                  // when it first wrote since that it is none; the zero time where it did not
}

// Ways in which an answer, or the start of a connection, goes wrong.
const (
	wholeAnswer = iota
	brokenOff   // what it tells of itself comes first, then the connection is reset
	closedEarly // it closes its connection after what it tells of itself
	pausing     // it pauses between what it tells of itself and the rest
	ways
)

const reportEvery = 250 * time.Millisecond // a load report is made anew, but not while its member hangs

func newStore(t *testing.T, seed int64, members int) *store {
	s := &store{rng: rand.New(rand.NewSource(seed)), stoppedAt: time.Now(), bound: ageBound, kinds: usualTroubles}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &replica{member: &member{name: fmt.Sprintf("s%d", i), listen: l, conns: map[net.Conn]bool{}}, store: s, applied: time.Now(),
			lag: 5 * time.Millisecond, reportAt: time.Now()}
		s.members = append(s.members, r)
		go r.accept()
		t.Cleanup(r.die)
	}
	s.elect(s.members[0])
	return s
}

// elect makes a member the primary.
func (s *store) elect(r *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.primary, r.claims, r.hasLed, r.toldAt = r, true, true, time.Time{}
}

// depose takes the primary its office. It goes on to claim it until it is told by calling the function given.
func (s *store) depose() (former *replica, tell func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former = s.primary
	s.catchUp()
	s.primary, s.stoppedAt = nil, former.applied
	return former, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		former.claims = false
	}
}

// catchUp lets all members apply what they have got by now. The lock is held.
func (s *store) catchUp() {
	now := time.Now()
	end := s.stoppedAt
	if s.primary != nil {
		end = now
	}
	for _, r := range s.members {
		upTo := end
		if r != s.primary && upTo.After(now.Add(-r.lag)) {
			upTo = now.Add(-r.lag)
		}
		if upTo.After(r.applied) {
			r.applied = upTo
		}
		if now.Sub(r.reportMade) >= reportEvery && now.After(r.hangsTill) && now.After(r.reportsTill) {
			r.reportMade, r.reportAt, r.reports = now, r.applied, r.claims
		}
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listen.Accept()
		if err != nil {
			return
		}
		r.member.mu.Lock()
		r.conns[c] = true
		r.member.mu.Unlock()
		go r.serve(newStream(c))
	}
}

// says is what it tells of itself just now, which is on record from here on.
func (r *replica) says() string {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.catchUp()
	if !r.claims && r.hasLed && r.toldAt.IsZero() {
		r.toldAt = time.Now()
	}
	return status{map[bool]string{true: "leader", false: "follower"}[r.claims], r.applied.UnixMilli()}.text()
}

// next is how its next answer goes.
func (r *replica) next() int {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.breaks == 0 {
		return wholeAnswer
	}
	r.breaks--
	return 1 + r.store.rng.Intn(ways-1)
}

func (r *replica) serve(s *stream) {
	defer s.Close()
	if _, err := s.readBody(); err != nil {
		return
	}
	io.WriteString(s, said("R", "\x00\x00\x00\x00")+r.says()+said("Z", "I"))
	for {
		kind, body, err := s.read()
		if err != nil || kind != 'Q' {
			return
		}
		if strings.HasPrefix(body, "SHOW server_load") {
			io.WriteString(s, row(r.load())+said("Z", "I"))
			continue
		}
		r.record(time.Now(), body)
		if !r.answer(s, strings.HasPrefix(body, "INSERT")) {
			return
		}
	}
}

// load is its load report. One that hangs gives out the last that it made.
func (r *replica) load() string {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.catchUp()
	if r.store.mute {
		return "inflight=1"
	}
	return status{map[bool]string{true: "leader", false: "follower"}[r.reports], r.reportAt.UnixMilli()}.reported()
}

// record judges a statement that came just now.
func (r *replica) record(came time.Time, statement string) {
	read := strings.HasPrefix(statement, "SELECT")
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.store.came != nil {
		id := idOf(statement)
		r.store.came[id] = append(r.store.came[id], came)
	}
	r.store.catchUp()
	age := came.Sub(r.applied)
	told := !r.toldAt.IsZero() && came.Sub(r.toldAt) > knownFrom
	old := age > r.store.bound+2*ageSlack || r.store.fresh && told
	if read && old && !r.store.mute && (!r.hasLed || told || r.store.strict) {
		r.store.broken = append(r.store.broken, fmt.Sprintf("%s got a read for which its data was %v too old; it has been primary: %t, told so before: %v",
			r.name, age-r.store.bound, r.hasLed, came.Sub(r.toldAt)))
	}
}

// lastWord is how it answers the next statement, once.
func (r *replica) lastWord() (speak func(s *stream, says string) bool) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	speak, r.speaks = r.speaks, nil
	return speak
}

// answer answers a client's statement, and tells whether its connection goes on.
func (r *replica) answer(s *stream, write bool) bool {
	r.store.mu.Lock()
	hangs := time.Until(r.hangsTill)
	works := time.Duration(1+r.store.rng.Intn(8)) * time.Millisecond
	r.store.mu.Unlock()
	time.Sleep(max(0, hangs) + works)
	r.store.mu.Lock()
	r.store.catchUp()
	served := r.applied.UnixMilli()
	r.store.mu.Unlock()
	how, says := r.next(), r.says()
	if speak := r.lastWord(); speak != nil {
		return speak(s, says)
	}
	r.store.mu.Lock()
	leads := r.claims && r.store.primary == r
	r.store.mu.Unlock()
	value := "from " + r.name
	if r.store.mute {
		value += fmt.Sprintf(" at %d", served)
	}
	result := row(value)
	if write && !leads {
		result = failure("25006")
	}
	switch how {
	case brokenOff:
		io.WriteString(s, says)
		time.Sleep(5 * time.Millisecond) // so that the reset does not overtake it
		s.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case closedEarly:
		io.WriteString(s, says)
		return false
	case pausing:
		io.WriteString(s, says)
		time.Sleep(200 * time.Millisecond)
		_, err := io.WriteString(s, result+said("Z", "I"))
		return err == nil
	}
	_, err := io.WriteString(s, result+says+said("Z", "I"))
	return err == nil
}
