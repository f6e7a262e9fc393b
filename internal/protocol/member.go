package protocol

import (
	"context"
	"encoding/binary"
	"strings"
	"time"

	"sedgespread/internal/transport"
)

// Member is a connection to a member. It carries one statement at a time.
type Member struct {
	*transport.Conn
	maxMessageBytes int    // bytes of one message
	onNotPrimary    func() // called as soon as it says that it is no primary, whatever becomes of what it says that in
}

// Answer is what a member made of a statement, and what it told of itself.
type Answer struct {
	Failure        *Failure // nil for a whole row
	IsPrimary      bool
	IsReplica      bool
	PositionMillis int64     // milliseconds, 0 when not told
	messages       []message // the row as it came
}

// startupMessage is the startup message: its length, the version, and who asks for what.
const startupMessage = "\x00\x00\x00\x25\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"

// Connect opens a connection to a member, which may answer with up to most bytes, and waits until it is ready, until
// by ends. Whenever it says that it is no primary denied is called at once, if it is not nil.
func Connect(connCtx, ctx context.Context, descriptors *transport.Descriptors, address string, maxMessageBytes int, onNotPrimary func()) (Member, transport.CloseReason) {
	conn, reason := transport.Dial(connCtx, ctx, descriptors, reservedForDiscovery, address, RingBytes)
	if reason != transport.Open {
		return Member{}, reason
	}
	member := Member{conn, maxMessageBytes, onNotPrimary}
	defer member.closeOnDone(ctx)()
	member.Write(startupMessage)
	if reason = member.Flush(); reason == transport.Open {
		reason = member.awaitReady()
	}
	if reason != transport.Open {
		member.Close(reason)
		return Member{}, reason
	}
	return member, transport.Open
}

// reservedForDiscovery is the descriptor that connections to members leave to the one to discovery: without a list to go by they
// would be of less and less use.
const reservedForDiscovery = 1

// closeOnDone ends the connection when a context ends first; the function it gives calls that off.
func (m Member) closeOnDone(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() { m.Close(transport.CloseReasonOf(ctx)) })
	return func() { stop() }
}

// awaitReady reads what a member says before it is ready.
func (m Member) awaitReady() transport.CloseReason {
	for {
		msg, reason := readMessage(m.Conn, m.maxMessageBytes)
		if reason != transport.Open {
			return reason
		}
		switch msg.kind {
		case kindReady:
			return transport.Open
		case kindError:
			return transport.Rejected
		case kindAuthentication:
			if msg.body != "\x00\x00\x00\x00" {
				return transport.Malformed
			}
		case kindParameter:
			m.checkRole(msg.body)
		case kindNotice, kindBackendKey, kindVersion:
		default:
			return transport.Malformed
		}
	}
}

// checkRole passes on at once that a ParameterStatus says that the member is no primary.
func (m Member) checkRole(body string) {
	name, value, _ := parseParameter(body)
	if m.onNotPrimary != nil && name == roleParameter && value == replicaRole {
		m.onNotPrimary()
	}
}

// Query sends a statement, given in pieces, and waits for its answer until by ends. Sent tells whether its last byte
// was written. The connection is still good when end is Open; an answer may be whole even where it is not.
func (m Member) Query(ctx context.Context, statement ...string) (answer *Answer, sent bool, reason transport.CloseReason) {
	defer m.closeOnDone(ctx)()
	writeMessage(m.Conn, kindQuery, append(statement, "\x00")...)
	if reason = m.Flush(); reason != transport.Open {
		return nil, false, reason
	}
	answer = &Answer{}
	complete := false
	if reason = m.Await(1); reason == transport.Open { // an answer that has begun comes whole or not at all
		m.SetReadTimeout(answerReadTimeout)
		complete, reason = answer.read(m)
		m.SetReadTimeout(0)
	}
	if reason != transport.Open {
		m.Close(reason)
	}
	if !complete {
		answer = nil
	}
	return answer, true, m.CloseReason()
}

const answerReadTimeout = 250 * time.Millisecond // a member may pause within an answer

// read reads an answer up to ReadyForQuery, and tells whether a whole one came. One that breaks off behind its last
// own message is whole; one that goes on with what can't be read is not.
func (a *Answer) read(member Member) (complete bool, reason transport.CloseReason) {
	for {
		msg, reason := readMessage(member.Conn, member.maxMessageBytes)
		if reason != transport.Open {
			return complete && reason != transport.Malformed && reason != transport.TooLong, reason
		}
		switch msg.kind {
		case kindReady:
			if !complete || msg.body != "I" {
				return false, transport.Malformed
			}
			return true, transport.Open
		case kindNotice:
			continue
		case kindParameter:
			a.applyParameter(msg.body)
			member.checkRole(msg.body)
			continue
		}
		if complete || !a.addMessage(msg) {
			return false, transport.Malformed
		}
		complete = msg.kind == kindCommandComplete || msg.kind == kindError
		if a.Failure != nil && a.Failure.Fatal {
			return true, transport.ClosedByPeer
		}
	}
}

// addMessage takes in a message of the answer itself, and tells whether it fits.
func (a *Answer) addMessage(msg message) bool {
	if msg.kind == kindError {
		failure, ok := parseFailure(msg.body)
		a.Failure = &failure
		return ok && len(a.messages) < len(rowMessageKinds)
	}
	a.messages = append(a.messages, msg)
	n := len(a.messages)
	return n <= len(rowMessageKinds) && msg.kind == rowMessageKinds[n-1] && rowMessageChecks[n-1](msg.body)
}

// rowMessageKinds are the messages of an answer with one row of one column, and rowChecks what must be so in each.
const rowMessageKinds = "TDC"

var rowMessageChecks = [len(rowMessageKinds)]func(body string) bool{
	func(body string) bool { // one name, and the 18 bytes that describe the column
		rest, one := strings.CutPrefix(body, singleColumn)
		return one && strings.IndexByte(rest, 0) == len(rest)-1-18
	},
	func(body string) bool { // one value that fills the row
		rest, one := strings.CutPrefix(body, singleColumn)
		return one && len(rest) >= 4 && uint64(binary.BigEndian.Uint32([]byte(rest[:4]))) == uint64(len(rest)-4)
	},
	func(body string) bool { // one row
		tag, whole := strings.CutSuffix(body, "\x00")
		return whole && (tag == "SELECT 1" || tag == "INSERT 0 1" || tag == "SHOW")
	},
}

const singleColumn = "\x00\x01"

// The parameters by which a member tells of itself, and the roles that it may have.
const (
	roleParameter     = "node_role"
	positionParameter = "replay_position"
	primaryRole       = "leader"
	replicaRole       = "follower"
)

// parseParameter reads a ParameterStatus.
func parseParameter(body string) (name, value string, complete bool) {
	name, rest, _ := strings.Cut(body, "\x00")
	value, rest, complete = strings.Cut(rest, "\x00")
	return name, value, complete && rest == ""
}

// applyParameter takes in a ParameterStatus. What it tells that can't be read is not told.
func (a *Answer) applyParameter(body string) {
	name, value, complete := parseParameter(body)
	if !complete {
		return
	}
	switch name {
	case roleParameter:
		a.IsPrimary, a.IsReplica = value == primaryRole, value == replicaRole
	case positionParameter:
		a.PositionMillis, _ = parseMillis(value, nil)
	}
}

// Value is the row's one value.
func (a *Answer) Value() string {
	const headerBytes = 6 // the number of columns and the value's length
	if len(a.messages) != len(rowMessageKinds) {
		return ""
	}
	return a.messages[1].body[headerBytes:]
}

// LoadQuery is the probe that brings a load report.
const LoadQuery = "SHOW server_load"

// Size is how long the answer's messages are.
func (a *Answer) Size() (n int) {
	for _, msg := range a.messages {
		n += len(msg.raw)
	}
	return n
}
