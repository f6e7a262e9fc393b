package protocol

import (
	"context"
	"encoding/binary"
	"strings"
	"time"

	"sedgespread/internal/transport"
)

// Member is a connection to a member. It processes one statement at a time.
type Member struct {
	*transport.Conn
	answers *AnswerBudget
	// onNotPrimary, if not nil, is called when the member reports that it is a replica, also if the
	// answer then fails.
	onNotPrimary func()
}

// Answer is a member's answer to a statement, with the state that the member reported alongside.
type Answer struct {
	Failure        *Failure // nil if the answer is a row
	IsPrimary      bool
	IsReplica      bool
	PositionMillis int64     // 0 if not reported
	messages       []message // the row's messages, unchanged
	memory         answerMemory
}

// Release gives back the memory that the answer holds. It is called once the answer has been sent on, or is
// known not to be.
func (a *Answer) Release() {
	if a != nil {
		a.memory.resize(0)
	}
}

// startupMessage consists of its length, the protocol version, the user and the database.
const startupMessage = "\x00\x00\x00\x25\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"

// Connect opens a connection to a member and waits until it is ready. ctx bounds the handshake, connCtx
// the life of the connection, and answers what the member sends. onNotPrimary, if not nil, is called
// whenever the member reports that it is a replica.
func Connect(connCtx, ctx context.Context, descriptors *transport.Descriptors, address string, answers *AnswerBudget, onNotPrimary func()) (Member, transport.CloseReason) {
	conn, reason := transport.Dial(connCtx, ctx, descriptors, reservedForDiscovery, address, RingBytes)
	if reason != transport.Open {
		return Member{}, reason
	}
	member := Member{conn, answers, onNotPrimary}
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

// reservedForDiscovery is the number of descriptors that connections to members leave free, so that
// discovery can always be reached.
const reservedForDiscovery = 1

// closeOnDone closes the connection when ctx ends, unless the returned function is called first.
func (m Member) closeOnDone(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() { m.Close(transport.CloseReasonOf(ctx)) })
	return func() { stop() }
}

// awaitReady reads the member's startup messages up to ReadyForQuery.
func (m Member) awaitReady() transport.CloseReason {
	memory := answerMemory{budget: m.answers}
	defer memory.resize(0)
	for {
		msg, reason := readMessage(m.Conn, &memory)
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

// checkRole calls onNotPrimary if a ParameterStatus reports that the member is a replica.
func (m Member) checkRole(body string) {
	name, value, _ := parseParameter(body)
	if m.onNotPrimary != nil && name == roleParameter && value == replicaRole {
		m.onNotPrimary()
	}
}

// Query sends a statement, given in pieces, and waits for its answer. sent reports whether all of it
// was written. The connection can be reused if reason is Open; any other may come with a complete
// answer as well. The caller releases the answer.
func (m Member) Query(ctx context.Context, statement ...string) (answer *Answer, sent bool, reason transport.CloseReason) {
	defer m.closeOnDone(ctx)()
	writeMessage(m.Conn, kindQuery, append(statement, "\x00")...)
	if reason = m.Flush(); reason != transport.Open {
		return nil, false, reason
	}
	answer = &Answer{memory: answerMemory{budget: m.answers}}
	complete := false
	if reason = m.Await(1); reason == transport.Open { // from here on the member must not stall
		m.SetReadTimeout(answerReadTimeout)
		complete, reason = answer.read(m)
		m.SetReadTimeout(0)
	}
	if reason != transport.Open {
		m.Close(reason)
	}
	if !complete {
		answer.Release()
		answer = nil
	}
	return answer, true, m.CloseReason()
}

// answerReadTimeout limits a member's pauses within an answer.
const answerReadTimeout = 250 * time.Millisecond

// read reads an answer up to ReadyForQuery and reports whether it is complete. It is complete if the
// connection breaks after the answer's last message, but not if malformed input follows.
func (a *Answer) read(member Member) (complete bool, reason transport.CloseReason) {
	for {
		msg, reason := readMessage(member.Conn, &a.memory)
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
		if a.Failure != nil && a.Failure.IsFatal {
			return true, transport.ClosedByPeer
		}
	}
}

// addMessage adds a message of the answer and reports whether it is the expected one.
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

// rowMessageKinds are the messages of an answer with one row of one column.
const rowMessageKinds = "TDC"

// rowMessageChecks validate the bodies of rowMessageKinds.
var rowMessageChecks = [len(rowMessageKinds)]func(body string) bool{
	func(body string) bool { // one column: its name and 18 bytes of description
		rest, isSingle := strings.CutPrefix(body, singleColumn)
		return isSingle && strings.IndexByte(rest, 0) == len(rest)-1-18
	},
	func(body string) bool { // one value that fills the row
		rest, isSingle := strings.CutPrefix(body, singleColumn)
		return isSingle && len(rest) >= 4 && uint64(binary.BigEndian.Uint32([]byte(rest[:4]))) == uint64(len(rest)-4)
	},
	func(body string) bool { // a tag for one row
		tag, isTerminated := strings.CutSuffix(body, "\x00")
		return isTerminated && (tag == "SELECT 1" || tag == "INSERT 0 1" || tag == "SHOW")
	},
}

// singleColumn is the column count of a message with one column.
const singleColumn = "\x00\x01"

// Parameters in which a member reports its state, and the values of its role.
const (
	roleParameter     = "node_role"
	positionParameter = "replay_position"
	primaryRole       = "leader"
	replicaRole       = "follower"
)

// parseParameter parses a ParameterStatus.
func parseParameter(body string) (name, value string, complete bool) {
	name, rest, _ := strings.Cut(body, "\x00")
	value, rest, complete = strings.Cut(rest, "\x00")
	return name, value, complete && rest == ""
}

// applyParameter records the state in a ParameterStatus. A malformed one is ignored.
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

// Value returns the row's single value.
func (a *Answer) Value() string {
	const headerBytes = 6 // column count and length of the value
	if len(a.messages) != len(rowMessageKinds) {
		return ""
	}
	return a.messages[1].body[headerBytes:]
}

// LoadQuery requests a member's load report.
const LoadQuery = "SHOW server_load"

// Size returns the length of the answer's messages in bytes.
func (a *Answer) Size() (n int) {
	for _, msg := range a.messages {
		n += len(msg.raw)
	}
	return n
}
