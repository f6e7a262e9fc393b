package protocol

import (
	"encoding/binary"
	"strings"
	"time"

	"sedgespread/internal/transport"
)

const (
	versionThree  = 3 << 16
	cancelRequest = 80877102
	tlsRequest    = 80877103
	gssRequest    = 80877104
	mostStartup   = 10_000 // bytes of a startup message, as in PostgreSQL itself
)

// Client is a client's connection, seen from the driver.
type Client struct{ *transport.Conn }

// Identity is who a client said that it is.
type Identity struct{ User, Database string }

// CancelKey is what a client is told at its start, and may name on another connection to cancel what is open on this one.
type CancelKey struct{ Process, Secret uint32 }

// Handshake reads the startup message and answers it. Encryption is declined. The client is told its key, and cancel is
// called with the one that a connection names which only cancels.
func (c Client) Handshake(key CancelKey, cancel func(CancelKey)) (Identity, transport.CloseReason) {
	for {
		code, rest, end := c.startup()
		switch {
		case end == transport.Malformed || end == transport.TooLong || end == transport.Stalled:
			return Identity{}, c.reject(StateProtocolViolation, "the startup message can't be followed", end)
		case end != transport.Open:
			return Identity{}, end
		case code == tlsRequest || code == gssRequest:
			c.Write("N")
			if end := c.Flush(); end != transport.Open {
				return Identity{}, end
			}
		case code == cancelRequest:
			if len(rest) == 8 {
				cancel(CancelKey{binary.BigEndian.Uint32([]byte(rest)), binary.BigEndian.Uint32([]byte(rest[4:]))})
			}
			return Identity{}, transport.ClosedByPeer
		case code>>16 != versionThree>>16:
			return Identity{}, c.reject(StateNotSupported, "only version 3 of the protocol is spoken here", transport.Malformed)
		default:
			return originOf(rest), c.greet(code, key)
		}
	}
}

// originOf reads the names and values of a startup message as far as they can be followed. As in PostgreSQL the
// database is the user's where none is named.
func originOf(text string) (o Identity) {
	for text != "" && text[0] != 0 {
		name, rest, named := strings.Cut(text, "\x00")
		value, next, whole := strings.Cut(rest, "\x00")
		if !named || !whole {
			break
		}
		switch text = next; name {
		case "user":
			o.User = value
		case "database":
			o.Database = value
		}
	}
	if o.Database == "" {
		o.Database = o.User
	}
	return o
}

// startup reads one message of those that have no kind: its code and what follows that.
func (c Client) startup() (code uint32, rest string, end transport.CloseReason) {
	if end := c.Await(8); end != transport.Open {
		return 0, "", end
	}
	var head [8]byte
	c.Peek(head[:])
	length := binary.BigEndian.Uint32(head[:])
	if length < 8 {
		return 0, "", transport.Malformed
	}
	if length > mostStartup {
		return 0, "", transport.TooLong
	}
	if end := c.Await(int(length)); end != transport.Open {
		return 0, "", end
	}
	whole := make([]byte, length)
	c.Read(whole)
	return binary.BigEndian.Uint32(head[4:]), string(whole[8:]), transport.Open
}

// greet says that the session may begin.
func (c Client) greet(code uint32, key CancelKey) transport.CloseReason {
	if code > versionThree { // a later minor version: 3.0 is what is spoken
		put(c.Conn, kindVersion, "\x00\x03\x00\x00", "\x00\x00\x00\x00")
	}
	put(c.Conn, kindAuthentication, "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}} {
		put(c.Conn, kindParameter, p[0], "\x00", p[1], "\x00")
	}
	both := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, key.Process), key.Secret)
	put(c.Conn, kindBackendKey, string(both))
	return c.ready()
}

// ReadQuery waits for the next query, and tells when its last byte came: it may have stood behind others since. Queries of the
// extended kind are answered with an error each.
func (c Client) ReadQuery() (text string, came time.Time, end transport.CloseReason) {
	for {
		m, end := readMessage(c.Conn, mostStatement)
		switch {
		case end == transport.TooLong || end == transport.Malformed || end == transport.Stalled:
			return "", came, c.reject(StateProtocolViolation, "the message can't be followed", end)
		case end != transport.Open:
			return "", came, end
		case m.kind == kindQuery:
			if at := strings.IndexByte(m.body, 0); at < 0 || at != len(m.body)-1 {
				return "", came, c.reject(StateProtocolViolation, "the query is not one string", transport.Malformed)
			}
			return m.body[:len(m.body)-1], m.came, transport.Open
		case m.kind == kindTerminate:
			return "", came, transport.ClosedByPeer
		case m.kind == kindSync || strings.IndexByte(kindsExtended, m.kind) < 0:
			return "", came, c.reject(StateProtocolViolation, "a message of this kind can't be followed here", transport.Malformed)
		}
		if end := c.skipExtended(m.kind); end != transport.Open {
			return "", came, end
		}
	}
}

// WatchForClose ends the connection as soon as the client has gone, while its query is worked on, until the function it gives is
// called. A client that says so has gone, as has one that closes, also behind further queries.
func (c Client) WatchForClose(spare *transport.OverflowBudget) (stop func()) {
	return c.Conn.WatchForClose(spare, behind)
}

// behind looks at what a client sent behind its query: whether a Terminate is among it, and how much of it can be followed.
// Of what can't be, the head is kept, to be answered when its turn comes; what stands behind it is nothing.
func behind(held transport.PeekFunc) (gone bool, keep int) {
	var head [headerBytes]byte
	for at := 0; held(at, head[:]); {
		length := int64(binary.BigEndian.Uint32(head[1:]))
		if length < 4 || length+1 > mostStatement {
			return false, at + headerBytes
		}
		if head[0] == kindTerminate {
			return true, -1
		}
		at += int(length) + 1
	}
	return false, -1
}

// skipExtended answers a query of the extended kind, and passes over what belongs to it.
func (c Client) skipExtended(kind byte) transport.CloseReason {
	putFailure(c.Conn, Failure{SQLState: StateNotSupported, Message: "only simple queries are taken"})
	for kind != kindSync && kind != kindFunction {
		m, end := readMessage(c.Conn, mostStatement)
		if end != transport.Open {
			return end
		}
		kind = m.kind
	}
	return c.ready()
}

// ready says that the next query may come.
func (c Client) ready() transport.CloseReason {
	put(c.Conn, kindReady, "I")
	return c.Flush()
}

// reject answers what can't be followed; nothing comes after it.
func (c Client) reject(state, text string, end transport.CloseReason) transport.CloseReason {
	putFailure(c.Conn, Failure{Fatal: true, SQLState: state, Message: text})
	c.Flush()
	return end
}

// SendEmpty answers an empty query.
func (c Client) SendEmpty() transport.CloseReason {
	put(c.Conn, kindEmptyQuery)
	return c.ready()
}

// Forward passes a member's answer on, as it came.
func (c Client) Forward(a *Answer) transport.CloseReason {
	for _, m := range a.messages {
		c.Write(m.whole)
	}
	return c.ready()
}

// SendFailure answers a query with an error.
func (c Client) SendFailure(f Failure) transport.CloseReason {
	putFailure(c.Conn, f)
	return c.ready()
}
