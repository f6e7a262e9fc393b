package protocol

import (
	"context"
	"encoding/binary"
	"strconv"
	"strings"

	"sedgespread/internal/transport"
)

// Member is a connection to a member. It carries one statement at a time.
type Member struct{ *transport.Conn }

// Answer is what a member made of a statement, and what it told of itself.
type Answer struct {
	Failure  *Failure // nil for a whole row
	Primary  bool
	Replica  bool
	Position int64  // milliseconds, 0 when not told
	Load     string // the load report
	whole    []byte // the row as it came
	rows     int
}

const startupText = "user\x00backend\x00database\x00store\x00\x00"

// Connect opens a connection to a member and waits until it is ready, until by ends.
func Connect(life, by context.Context, d *transport.Descriptors, address string) (Member, transport.End) {
	c, end := transport.Dial(life, by, d, address, MostBytes)
	if end != transport.Open {
		return Member{}, end
	}
	m := Member{c}
	defer m.endBy(by)()
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(startupText)))
	b = append(binary.BigEndian.AppendUint32(b, versionThree), startupText...)
	m.Write(b)
	if end = m.Flush(); end == transport.Open {
		end = m.greeted()
	}
	if end != transport.Open {
		m.Close(end)
		return Member{}, end
	}
	return m, transport.Open
}

// endBy ends the connection when a context ends first; the function it gives calls that off.
func (m Member) endBy(by context.Context) func() {
	stop := context.AfterFunc(by, func() { m.Close(transport.EndOf(by)) })
	return func() { stop() }
}

// greeted reads what a member says before it is ready.
func (m Member) greeted() transport.End {
	for {
		msg, end := readMessage(m.Conn)
		if end != transport.Open {
			return end
		}
		switch msg.kind {
		case kindReady:
			return transport.Open
		case kindError:
			return transport.TurnedAway
		case kindAuthentication:
			if len(msg.body) != 4 || binary.BigEndian.Uint32(msg.body) != 0 {
				return transport.Malformed
			}
		case kindParameter, kindNotice, kindBackendKey, 'v':
		default:
			return transport.Malformed
		}
	}
}

// Ask sends a statement and waits for its answer until by ends. Sent tells whether its last byte was written.
// The connection is still good when end is Open; an answer may be whole even where it is not.
func (m Member) Ask(by context.Context, statement string) (a *Answer, sent bool, end transport.End) {
	defer m.endBy(by)()
	if m.Buffered() > 0 {
		m.Close(transport.Malformed) // it speaks out of turn
	}
	if end = m.End(); end != transport.Open {
		return nil, false, end
	}
	if end = m.Write(appendMessage(nil, kindQuery, statement, "\x00")); end == transport.Open {
		end = m.Flush()
	}
	if end != transport.Open {
		return nil, false, end
	}
	a = &Answer{}
	whole, end := a.read(m.Conn)
	if end != transport.Open {
		m.Close(end)
	}
	if !whole {
		return nil, true, m.End()
	}
	return a, true, m.End()
}

// read reads an answer up to ReadyForQuery, and tells whether a whole one came.
func (a *Answer) read(c *transport.Conn) (whole bool, end transport.End) {
	for {
		m, end := readMessage(c)
		if end != transport.Open {
			return whole, end
		}
		switch m.kind {
		case kindReady:
			if !whole {
				return false, transport.Malformed
			}
			return true, transport.Open
		case kindNotice:
			continue
		case kindParameter:
			if !a.parameter(m.body) {
				return whole, transport.Malformed
			}
			continue
		}
		if whole || !a.take(m) {
			return whole, transport.Malformed
		}
		whole = m.kind == kindCommandComplete || m.kind == kindError
		if a.Failure != nil && a.Failure.Fatal {
			return true, transport.ClosedByPeer
		}
	}
}

// take takes in a message of the answer itself, and tells whether it fits.
func (a *Answer) take(m message) bool {
	switch m.kind {
	case kindError:
		f, ok := parseFailure(m.body)
		a.Failure = &f
		return ok
	case kindRowDescription:
		if len(a.whole) > 0 || len(m.body) < 2 || binary.BigEndian.Uint16(m.body) != 1 {
			return false
		}
	case kindDataRow:
		if a.rows++; a.rows > 1 || len(a.whole) == 0 || len(m.body) < 2 || binary.BigEndian.Uint16(m.body) != 1 {
			return false
		}
	case kindCommandComplete:
		if a.rows != 1 {
			return false
		}
	default:
		return false
	}
	a.whole = appendMessage(a.whole, m.kind, string(m.body))
	return true
}

// parameter takes in a ParameterStatus.
func (a *Answer) parameter(body []byte) bool {
	name, rest, ok := cutString(body)
	if !ok {
		return false
	}
	value, _, ok := cutString(rest)
	switch name {
	case "node_role":
		a.Primary, a.Replica = value == "leader", value == "follower"
	case "replay_position":
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 || n > mostMillis {
			return false
		}
		a.Position = n
	case "server_load":
		a.Load = value
	}
	return ok
}

// Text is the row's one value, as text.
func (a *Answer) Text() string {
	rest := a.whole
	for len(rest) >= headerBytes {
		length := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if rest[0] == kindDataRow && length > headerBytes+6 {
			return strings.Clone(string(rest[headerBytes+6 : length]))
		}
		rest = rest[length:]
	}
	return ""
}

// LoadQuery is the probe that brings a load report.
const LoadQuery = "SHOW server_load"
