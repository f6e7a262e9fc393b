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

// fakeGroup is a stand-in for one replicated group: a log that its primary moves, members that apply it, and roles that change hands. It keeps
// its own record of every statement of a client that reached a member, and judges by it alone how old the data was.
type fakeGroup struct {
	mu           sync.Mutex
	rng          *rand.Rand
	members      []*groupMember
	primary      *groupMember           // nil while the group has none
	logStoppedAt time.Time              // the end of its log then
	violations   []string               // what broke the rule on the age of data
	served       int                    // reads
	arrivals     map[string][]time.Time // when requests came, by id; nil where nobody asks
	maxReadAge   time.Duration
	latestReads  bool // reads have to see all writes: no member may get one once it has told that it is not the primary
	omitStatus   bool // load reports say nothing of roles and positions: nobody is judged by what reached a member, but by what clients got
	strict       bool // a former primary is not excused until it has told that it is none
	faultKinds   int  // of trouble
}

// groupMember is one member of a store.
type groupMember struct {
	*fakeMember    // its listener, its connections and its name
	group          *fakeGroup
	applied        time.Time     // up to which it has applied the log
	lag            time.Duration // behind the log, as a replica
	claimsPrimary  bool          // it says that it is primary; one that hands over, or hangs, may say so for a while
	reportsPrimary bool          // and so does its load report, which is made anew now and then
	reportPosition time.Time     // the position in it

	reportedAt        time.Time
	reportPausedUntil time.Time                                  // none is made anew before
	respond           func(s *pgConn, says string) (goesOn bool) // how it answers the next statement; nil for as usual
	hangsUntil        time.Time                                  // it takes statements and answers them later; it answers probes all the same
	failuresLeft      int                                        // what it does with the next answers: 0 for whole ones
	wasPrimary        bool                                       // it has been primary
	deniedAt          time.Time                                  // when it first wrote since that it is none; the zero time where it did not
}

// Ways in which an answer, or the start of a connection, goes wrong.
const (
	completeAnswer   = iota
	resetAfterStatus // what it tells of itself comes first, then the connection is reset
	closeAfterStatus // it closes its connection after what it tells of itself
	pauseAfterStatus // it pauses between what it tells of itself and the rest
	answerKinds
)

const reportInterval = 250 * time.Millisecond // a load report is made anew, but not while its member hangs

func newFakeGroup(t *testing.T, seed int64, members int) *fakeGroup {
	s := &fakeGroup{rng: rand.New(rand.NewSource(seed)), logStoppedAt: time.Now(), maxReadAge: maxReadAge, faultKinds: basicFaultKinds}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &groupMember{fakeMember: &fakeMember{name: fmt.Sprintf("s%d", i), listener: l, conns: map[net.Conn]bool{}}, group: s, applied: time.Now(),
			lag: 5 * time.Millisecond, reportPosition: time.Now()}
		s.members = append(s.members, r)
		go r.accept()
		t.Cleanup(r.shutDown)
	}
	s.elect(s.members[0])
	return s
}

// elect makes a member the primary.
func (s *fakeGroup) elect(r *groupMember) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.primary, r.claimsPrimary, r.wasPrimary, r.deniedAt = r, true, true, time.Time{}
}

// depose takes the primary its office. It goes on to claim it until it is told by calling the function given.
func (s *fakeGroup) depose() (former *groupMember, tell func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former = s.primary
	s.catchUp()
	s.primary, s.logStoppedAt = nil, former.applied
	return former, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		former.claimsPrimary = false
	}
}

// catchUp lets all members apply what they have got by now. The lock is held.
func (s *fakeGroup) catchUp() {
	now := time.Now()
	end := s.logStoppedAt
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
		if now.Sub(r.reportedAt) >= reportInterval && now.After(r.hangsUntil) && now.After(r.reportPausedUntil) {
			r.reportedAt, r.reportPosition, r.reportsPrimary = now, r.applied, r.claimsPrimary
		}
	}
}

func (r *groupMember) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.fakeMember.mu.Lock()
		r.conns[c] = true
		r.fakeMember.mu.Unlock()
		go r.serve(newPGConn(c))
	}
}

// statusMessages is what it tells of itself just now, which is on record from here on.
func (r *groupMember) statusMessages() string {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.group.catchUp()
	if !r.claimsPrimary && r.wasPrimary && r.deniedAt.IsZero() {
		r.deniedAt = time.Now()
	}
	return status{map[bool]string{true: "leader", false: "follower"}[r.claimsPrimary], r.applied.UnixMilli()}.messages()
}

// nextAnswerKind is how its next answer goes.
func (r *groupMember) nextAnswerKind() int {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.failuresLeft == 0 {
		return completeAnswer
	}
	r.failuresLeft--
	return 1 + r.group.rng.Intn(answerKinds-1)
}

func (r *groupMember) serve(s *pgConn) {
	defer s.Close()
	if _, err := s.readBody(); err != nil {
		return
	}
	io.WriteString(s, message("R", "\x00\x00\x00\x00")+r.statusMessages()+message("Z", "I"))
	for {
		kind, body, err := s.read()
		if err != nil || kind != 'Q' {
			return
		}
		if strings.HasPrefix(body, "SHOW server_load") {
			io.WriteString(s, rowMessages(r.loadReport())+message("Z", "I"))
			continue
		}
		r.checkStatement(time.Now(), body)
		if !r.answer(s, strings.HasPrefix(body, "INSERT")) {
			return
		}
	}
}

// loadReport is its load report. One that hangs gives out the last that it made.
func (r *groupMember) loadReport() string {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.group.catchUp()
	if r.group.omitStatus {
		return "inflight=1"
	}
	return status{map[bool]string{true: "leader", false: "follower"}[r.reportsPrimary], r.reportPosition.UnixMilli()}.loadReport()
}

// checkStatement judges a statement that came just now.
func (r *groupMember) checkStatement(receivedAt time.Time, statement string) {
	read := strings.HasPrefix(statement, "SELECT")
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.group.arrivals != nil {
		id := rpcID(statement)
		r.group.arrivals[id] = append(r.group.arrivals[id], receivedAt)
	}
	r.group.catchUp()
	age := receivedAt.Sub(r.applied)
	hasDenied := !r.deniedAt.IsZero() && receivedAt.Sub(r.deniedAt) > statusGrace
	isTooOld := age > r.group.maxReadAge+2*readAgeSlack || r.group.latestReads && hasDenied
	if read && isTooOld && !r.group.omitStatus && (!r.wasPrimary || hasDenied || r.group.strict) {
		r.group.violations = append(r.group.violations, fmt.Sprintf("%s got a read for which its data was %v too old; it has been primary: %t, told so before: %v",
			r.name, age-r.group.maxReadAge, r.wasPrimary, receivedAt.Sub(r.deniedAt)))
	}
}

// takeRespond is how it answers the next statement, once.
func (r *groupMember) takeRespond() (respond func(s *pgConn, says string) bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	respond, r.respond = r.respond, nil
	return respond
}

// answer answers a client's statement, and tells whether its connection goes on.
func (r *groupMember) answer(s *pgConn, write bool) bool {
	r.group.mu.Lock()
	hangTime := time.Until(r.hangsUntil)
	workTime := time.Duration(1+r.group.rng.Intn(8)) * time.Millisecond
	r.group.mu.Unlock()
	time.Sleep(max(0, hangTime) + workTime)
	r.group.mu.Lock()
	r.group.catchUp()
	position := r.applied.UnixMilli()
	r.group.mu.Unlock()
	kind, status := r.nextAnswerKind(), r.statusMessages()
	if respond := r.takeRespond(); respond != nil {
		return respond(s, status)
	}
	r.group.mu.Lock()
	isPrimary := r.claimsPrimary && r.group.primary == r
	r.group.mu.Unlock()
	value := "from " + r.name
	if r.group.omitStatus {
		value += fmt.Sprintf(" at %d", position)
	}
	result := rowMessages(value)
	if write && !isPrimary {
		result = errorMessage("25006")
	}
	switch kind {
	case resetAfterStatus:
		io.WriteString(s, status)
		time.Sleep(5 * time.Millisecond) // so that the reset does not overtake it
		s.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case closeAfterStatus:
		io.WriteString(s, status)
		return false
	case pauseAfterStatus:
		io.WriteString(s, status)
		time.Sleep(200 * time.Millisecond)
		_, err := io.WriteString(s, result+message("Z", "I"))
		return err == nil
	}
	_, err := io.WriteString(s, result+status+message("Z", "I"))
	return err == nil
}
