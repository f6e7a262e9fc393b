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
	most   int    // bytes of one message
	denied func() // called as soon as it says that it is no primary, whatever becomes of what it says that in
}

// Answer is what a member made of a statement, and what it told of itself.
type Answer struct {
	Failure        *Failure // nil for a whole row
	IsPrimary      bool
	IsReplica      bool
	PositionMillis int64     // milliseconds, 0 when not told
	messages       []message // the row as it came
}

// startup is the startup message: its length, the version, and who asks for what.
const startup = "\x00\x00\x00\x25\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"

// Connect opens a connection to a member, which may answer with up to most bytes, and waits until it is ready, until
// by ends. Whenever it says that it is no primary denied is called at once, if it is not nil.
func Connect(life, by context.Context, d *transport.Descriptors, address string, most int, denied func()) (Member, transport.CloseReason) {
	c, end := transport.Dial(life, by, d, keptForDiscovery, address, RingBytes)
	if end != transport.Open {
		return Member{}, end
	}
	m := Member{c, most, denied}
	defer m.endBy(by)()
	m.Write(startup)
	if end = m.Flush(); end == transport.Open {
		end = m.greeted()
	}
	if end != transport.Open {
		m.Close(end)
		return Member{}, end
	}
	return m, transport.Open
}

// keptForDiscovery is the descriptor that connections to members leave to the one to discovery: without a list to go by they
// would be of less and less use.
const keptForDiscovery = 1

// endBy ends the connection when a context ends first; the function it gives calls that off.
func (m Member) endBy(by context.Context) func() {
	stop := context.AfterFunc(by, func() { m.Close(transport.CloseReasonOf(by)) })
	return func() { stop() }
}

// greeted reads what a member says before it is ready.
func (m Member) greeted() transport.CloseReason {
	for {
		msg, end := readMessage(m.Conn, m.most)
		if end != transport.Open {
			return end
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
			m.hear(msg.body)
		case kindNotice, kindBackendKey, kindVersion:
		default:
			return transport.Malformed
		}
	}
}

// hear passes on at once that a ParameterStatus says that the member is no primary.
func (m Member) hear(body string) {
	name, value, _ := parameter(body)
	if m.denied != nil && name == roleParameter && value == replicaRole {
		m.denied()
	}
}

// Query sends a statement, given in pieces, and waits for its answer until by ends. Sent tells whether its last byte
// was written. The connection is still good when end is Open; an answer may be whole even where it is not.
func (m Member) Query(by context.Context, statement ...string) (a *Answer, sent bool, end transport.CloseReason) {
	defer m.endBy(by)()
	put(m.Conn, kindQuery, append(statement, "\x00")...)
	if end = m.Flush(); end != transport.Open {
		return nil, false, end
	}
	a = &Answer{}
	whole := false
	if end = m.Await(1); end == transport.Open { // an answer that has begun comes whole or not at all
		m.SetReadTimeout(restWithin)
		whole, end = a.read(m)
		m.SetReadTimeout(0)
	}
	if end != transport.Open {
		m.Close(end)
	}
	if !whole {
		a = nil
	}
	return a, true, m.CloseReason()
}

const restWithin = 250 * time.Millisecond // a member may pause within an answer

// read reads an answer up to ReadyForQuery, and tells whether a whole one came. One that breaks off behind its last
// own message is whole; one that goes on with what can't be read is not.
func (a *Answer) read(from Member) (whole bool, end transport.CloseReason) {
	for {
		m, end := readMessage(from.Conn, from.most)
		if end != transport.Open {
			return whole && end != transport.Malformed && end != transport.TooLong, end
		}
		switch m.kind {
		case kindReady:
			if !whole || m.body != "I" {
				return false, transport.Malformed
			}
			return true, transport.Open
		case kindNotice:
			continue
		case kindParameter:
			a.parameter(m.body)
			from.hear(m.body)
			continue
		}
		if whole || !a.take(m) {
			return false, transport.Malformed
		}
		whole = m.kind == kindCommandComplete || m.kind == kindError
		if a.Failure != nil && a.Failure.Fatal {
			return true, transport.ClosedByPeer
		}
	}
}

// take takes in a message of the answer itself, and tells whether it fits.
func (a *Answer) take(m message) bool {
	if m.kind == kindError {
		f, ok := parseFailure(m.body)
		a.Failure = &f
		return ok && len(a.messages) < len(rowKinds)
	}
	a.messages = append(a.messages, m)
	n := len(a.messages)
	return n <= len(rowKinds) && m.kind == rowKinds[n-1] && rowChecks[n-1](m.body)
}

// rowKinds are the messages of an answer with one row of one column, and rowChecks what must be so in each.
const rowKinds = "TDC"

var rowChecks = [len(rowKinds)]func(body string) bool{
	func(body string) bool { // one name, and the 18 bytes that describe the column
		rest, one := strings.CutPrefix(body, oneColumn)
		return one && strings.IndexByte(rest, 0) == len(rest)-1-18
	},
	func(body string) bool { // one value that fills the row
		rest, one := strings.CutPrefix(body, oneColumn)
		return one && len(rest) >= 4 && uint64(binary.BigEndian.Uint32([]byte(rest[:4]))) == uint64(len(rest)-4)
	},
	func(body string) bool { // one row
		tag, whole := strings.CutSuffix(body, "\x00")
		return whole && (tag == "SELECT 1" || tag == "INSERT 0 1" || tag == "SHOW")
	},
}

const oneColumn = "\x00\x01"

// The parameters by which a member tells of itself, and the roles that it may have.
const (
	roleParameter     = "node_role"
	positionParameter = "replay_position"
	primaryRole       = "leader"
	replicaRole       = "follower"
)

// parameter reads a ParameterStatus.
func parameter(body string) (name, value string, whole bool) {
	name, rest, _ := strings.Cut(body, "\x00")
	value, rest, whole = strings.Cut(rest, "\x00")
	return name, value, whole && rest == ""
}

// parameter takes in a ParameterStatus. What it tells that can't be read is not told.
func (a *Answer) parameter(body string) {
	name, value, whole := parameter(body)
	if !whole {
		return
	}
	switch name {
	case roleParameter:
		a.IsPrimary, a.IsReplica = value == primaryRole, value == replicaRole
	case positionParameter:
		a.PositionMillis, _ = millis(value, nil)
	}
}

// Value is the row's one value.
func (a *Answer) Value() string {
	const before = 6 // the number of columns and the value's length
	if len(a.messages) != len(rowKinds) {
		return ""
	}
	return a.messages[1].body[before:]
}

// LoadQuery is the probe that brings a load report.
const LoadQuery = "SHOW server_load"

// Size is how long the answer's messages are.
func (a *Answer) Size() (n int) {
	for _, m := range a.messages {
		n += len(m.whole)
	}
	return n
}
