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
	group := &fakeGroup{rng: rand.New(rand.NewSource(seed)), logStoppedAt: time.Now(), maxReadAge: maxReadAge, faultKinds: basicFaultKinds}
	for i := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		member := &groupMember{fakeMember: &fakeMember{name: fmt.Sprintf("s%d", i), listener: listener,
			conns: map[net.Conn]bool{}}, group: group, applied: time.Now(), lag: 5 * time.Millisecond, reportPosition: time.Now()}
		group.members = append(group.members, member)
		go member.accept()
		t.Cleanup(member.shutDown)
	}
	group.elect(group.members[0])
	return group
}

// elect makes a member the primary.
func (g *fakeGroup) elect(member *groupMember) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primary, member.claimsPrimary, member.wasPrimary, member.deniedAt = member, true, true, time.Time{}
}

// depose removes the primary from its role. The former primary still claims the role until announce
// is called.
func (g *fakeGroup) depose() (former *groupMember, announce func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	former = g.primary
	g.catchUp()
	g.primary, g.logStoppedAt = nil, former.applied
	return former, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		former.claimsPrimary = false
	}
}

// catchUp lets all members apply the log up to now. The lock is held.
func (g *fakeGroup) catchUp() {
	now := time.Now()
	end := g.logStoppedAt
	if g.primary != nil {
		end = now
	}
	for _, member := range g.members {
		upTo := end
		if member != g.primary && upTo.After(now.Add(-member.lag)) {
			upTo = now.Add(-member.lag)
		}
		if upTo.After(member.applied) {
			member.applied = upTo
		}
		if now.Sub(member.reportedAt) >= reportInterval && now.After(member.hangsUntil) && now.After(member.reportPausedUntil) {
			member.reportedAt, member.reportPosition, member.reportsPrimary = now, member.applied, member.claimsPrimary
		}
	}
}

func (m *groupMember) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.fakeMember.mu.Lock()
		m.conns[c] = true
		m.fakeMember.mu.Unlock()
		go m.serve(newPGConn(c))
	}
}

// statusMessages returns the messages with the member's current status and records the report.
func (m *groupMember) statusMessages() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.catchUp()
	if !m.claimsPrimary && m.wasPrimary && m.deniedAt.IsZero() {
		m.deniedAt = time.Now()
	}
	return status{map[bool]string{true: "leader", false: "follower"}[m.claimsPrimary], m.applied.UnixMilli()}.messages()
}

// nextAnswerKind returns the kind of the next answer.
func (m *groupMember) nextAnswerKind() int {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.failuresLeft == 0 {
		return completeAnswer
	}
	m.failuresLeft--
	return 1 + m.group.rng.Intn(answerKinds-1)
}

func (m *groupMember) serve(conn *pgConn) {
	defer conn.Close()
	if _, err := conn.readBody(); err != nil {
		return
	}
	io.WriteString(conn, message("R", "\x00\x00\x00\x00")+m.statusMessages()+message("Z", "I"))
	for {
		kind, body, err := conn.read()
		if err != nil || kind != 'Q' {
			return
		}
		if strings.HasPrefix(body, "SHOW server_load") {
			io.WriteString(conn, rowMessages(m.loadReport())+message("Z", "I"))
			continue
		}
		m.checkStatement(time.Now(), body)
		if !m.answer(conn, strings.HasPrefix(body, "INSERT")) {
			return
		}
	}
}

// loadReport returns the load report. A member that hangs repeats its last one.
func (m *groupMember) loadReport() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.catchUp()
	if m.group.omitStatus {
		return "inflight=1"
	}
	return status{map[bool]string{true: "leader", false: "follower"}[m.reportsPrimary], m.reportPosition.UnixMilli()}.loadReport()
}

// checkStatement records a statement that was just received and checks the age of the data for it.
func (m *groupMember) checkStatement(receivedAt time.Time, statement string) {
	isRead := strings.HasPrefix(statement, "SELECT")
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.group.arrivals != nil {
		id := rpcID(statement)
		m.group.arrivals[id] = append(m.group.arrivals[id], receivedAt)
	}
	m.group.catchUp()
	age := receivedAt.Sub(m.applied)
	hasDenied := !m.deniedAt.IsZero() && receivedAt.Sub(m.deniedAt) > statusGrace
	isTooOld := age > m.group.maxReadAge+2*readAgeSlack || m.group.latestReads && hasDenied
	if isRead && isTooOld && !m.group.omitStatus && (!m.wasPrimary || hasDenied || m.group.strict) {
		m.group.violations = append(m.group.violations, fmt.Sprintf(
			"%s got a read with data that was %v too old; was primary: %t, time since it denied that: %v",
			m.name, age-m.group.maxReadAge, m.wasPrimary, receivedAt.Sub(m.deniedAt)))
	}
}

// takeRespond returns the function for the next answer, if any, and clears it.
func (m *groupMember) takeRespond() (respond func(conn *pgConn, status string) bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	respond, m.respond = m.respond, nil
	return respond
}

// answer answers a client's statement and reports whether the connection is still open.
func (m *groupMember) answer(conn *pgConn, isWrite bool) bool {
	m.group.mu.Lock()
	hangTime := time.Until(m.hangsUntil)
	workTime := time.Duration(1+m.group.rng.Intn(8)) * time.Millisecond
	m.group.mu.Unlock()
	time.Sleep(max(0, hangTime) + workTime)
	m.group.mu.Lock()
	m.group.catchUp()
	position := m.applied.UnixMilli()
	m.group.mu.Unlock()
	kind, status := m.nextAnswerKind(), m.statusMessages()
	if respond := m.takeRespond(); respond != nil {
		return respond(conn, status)
	}
	m.group.mu.Lock()
	isPrimary := m.claimsPrimary && m.group.primary == m
	m.group.mu.Unlock()
	value := "from " + m.name
	if m.group.omitStatus {
		value += fmt.Sprintf(" at %d", position)
	}
	result := rowMessages(value)
	if isWrite && !isPrimary {
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
