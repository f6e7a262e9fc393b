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

// fakeGroup is a fake replicated group: members apply a log, and the role of primary changes hands.
// It records every statement that reached a member and checks the age of the data by this record.
type fakeGroup struct {
	mu           sync.Mutex
	rng          *rand.Rand
	members      []*groupMember
	primary      *groupMember           // nil if there is none
	logStoppedAt time.Time              // end of the log while there is no primary
	violations   []string               // reads with data that was too old
	served       int                    // reads
	arrivals     map[string][]time.Time // of requests, by ID; nil if not recorded
	maxReadAge   time.Duration
	latestReads  bool // a member may get no read after it denied the role of primary
	omitStatus   bool // load reports have no status; only answers to clients are checked
	strict       bool // a former primary is checked before it denies the role, too
	faultKinds   int  // number of fault kinds to inject
}

// groupMember is one member of a fakeGroup.
type groupMember struct {
	*fakeMember    // listener, connections and name
	group          *fakeGroup
	applied        time.Time     // position up to which the log is applied
	lag            time.Duration // replication lag
	claimsPrimary  bool          // in answers; may outlast the role
	reportsPrimary bool          // in load reports, which are cached
	reportPosition time.Time     // in load reports

	reportedAt        time.Time
	reportPausedUntil time.Time                                       // the cached load report is kept until then
	respond           func(conn *pgConn, status string) (isOpen bool) // answers the next statement, if not nil
	hangsUntil        time.Time                                       // delays answers to statements, but not to probes
	failuresLeft      int                                             // number of next answers that fail
	wasPrimary        bool                                            // has ever been primary
	deniedAt          time.Time                                       // first report of not being primary after having been; may be zero
}

// The kinds of answers that a member gives.
const (
	completeAnswer   = iota
	resetAfterStatus // sends the status, then resets the connection
	closeAfterStatus // sends the status, then closes the connection
	pauseAfterStatus // sends the status, then the rest after a pause
	answerKinds
)

const reportInterval = 250 * time.Millisecond // of refreshing load reports, except while the member hangs

func newFakeGroup(t *testing.T, seed int64, members int) *fakeGroup {
	s := &fakeGroup{rng: rand.New(rand.NewSource(seed)), logStoppedAt: time.Now(), maxReadAge: maxReadAge, faultKinds: basicFaultKinds}
	for i := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		r := &groupMember{fakeMember: &fakeMember{name: fmt.Sprintf("s%d", i), listener: listener,
			conns: map[net.Conn]bool{}}, group: s, applied: time.Now(), lag: 5 * time.Millisecond, reportPosition: time.Now()}
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

// depose removes the primary from its role. The former primary still claims the role until announce
// is called.
func (s *fakeGroup) depose() (former *groupMember, announce func()) {
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

// catchUp lets all members apply the log up to now. The lock is held.
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

// statusMessages returns the messages with the member's current status and records the report.
func (r *groupMember) statusMessages() string {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.group.catchUp()
	if !r.claimsPrimary && r.wasPrimary && r.deniedAt.IsZero() {
		r.deniedAt = time.Now()
	}
	return status{map[bool]string{true: "leader", false: "follower"}[r.claimsPrimary], r.applied.UnixMilli()}.messages()
}

// nextAnswerKind returns the kind of the next answer.
func (r *groupMember) nextAnswerKind() int {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.failuresLeft == 0 {
		return completeAnswer
	}
	r.failuresLeft--
	return 1 + r.group.rng.Intn(answerKinds-1)
}

func (r *groupMember) serve(conn *pgConn) {
	defer conn.Close()
	if _, err := conn.readBody(); err != nil {
		return
	}
	io.WriteString(conn, message("R", "\x00\x00\x00\x00")+r.statusMessages()+message("Z", "I"))
	for {
		kind, body, err := conn.read()
		if err != nil || kind != 'Q' {
			return
		}
		if strings.HasPrefix(body, "SHOW server_load") {
			io.WriteString(conn, rowMessages(r.loadReport())+message("Z", "I"))
			continue
		}
		r.checkStatement(time.Now(), body)
		if !r.answer(conn, strings.HasPrefix(body, "INSERT")) {
			return
		}
	}
}

// loadReport returns the load report. A member that hangs repeats its last one.
func (r *groupMember) loadReport() string {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.group.catchUp()
	if r.group.omitStatus {
		return "inflight=1"
	}
	return status{map[bool]string{true: "leader", false: "follower"}[r.reportsPrimary], r.reportPosition.UnixMilli()}.loadReport()
}

// checkStatement records a statement that was just received and checks the age of the data for it.
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
		r.group.violations = append(r.group.violations, fmt.Sprintf(
			"%s got a read with data that was %v too old; was primary: %t, time since it denied that: %v",
			r.name, age-r.group.maxReadAge, r.wasPrimary, receivedAt.Sub(r.deniedAt)))
	}
}

// takeRespond returns the function for the next answer, if any, and clears it.
func (r *groupMember) takeRespond() (respond func(s *pgConn, status string) bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	respond, r.respond = r.respond, nil
	return respond
}

// answer answers a client's statement and reports whether the connection is still open.
func (r *groupMember) answer(conn *pgConn, write bool) bool {
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
		return respond(conn, status)
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
		io.WriteString(conn, status)
		time.Sleep(5 * time.Millisecond) // lets the status arrive before the reset
		conn.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case closeAfterStatus:
		io.WriteString(conn, status)
		return false
	case pauseAfterStatus:
		io.WriteString(conn, status)
		time.Sleep(200 * time.Millisecond)
		_, err := io.WriteString(conn, result+message("Z", "I"))
		return err == nil
	}
	_, err := io.WriteString(conn, result+status+message("Z", "I"))
	return err == nil
}
