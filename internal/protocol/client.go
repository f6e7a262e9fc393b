package protocol

import (
	"encoding/binary"
	"strings"
	"time"

	"sedgespread/internal/transport"
)

const (
	protocolVersion3  = 3 << 16
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	maxStartupBytes   = 10_000 // bytes of a startup message, as in PostgreSQL itself
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
		code, body, reason := c.readStartup()
		switch {
		case reason == transport.Malformed || reason == transport.TooLong || reason == transport.Stalled:
			return Identity{}, c.sendFatal(StateProtocolViolation, "the startup message can't be followed", reason)
		case reason != transport.Open:
			return Identity{}, reason
		case code == sslRequestCode || code == gssEncRequestCode:
			c.Write("N")
			if reason := c.Flush(); reason != transport.Open {
				return Identity{}, reason
			}
		case code == cancelRequestCode:
			if len(body) == 8 {
				cancel(CancelKey{binary.BigEndian.Uint32([]byte(body)), binary.BigEndian.Uint32([]byte(body[4:]))})
			}
			return Identity{}, transport.ClosedByPeer
		case code>>16 != protocolVersion3>>16:
			return Identity{}, c.sendFatal(StateNotSupported, "only version 3 of the protocol is spoken here", transport.Malformed)
		default:
			return parseIdentity(body), c.finishHandshake(code, key)
		}
	}
}

// parseIdentity reads the names and values of a startup message as far as they can be followed. As in PostgreSQL the
// database is the user's where none is named.
func parseIdentity(text string) (id Identity) {
	for text != "" && text[0] != 0 {
		name, rest, hasName := strings.Cut(text, "\x00")
		value, next, hasValue := strings.Cut(rest, "\x00")
		if !hasName || !hasValue {
			break
		}
		switch text = next; name {
		case "user":
			id.User = value
		case "database":
			id.Database = value
		}
	}
	if id.Database == "" {
		id.Database = id.User
	}
	return id
}

// readStartup reads one message of those that have no kind: its code and what follows that.
func (c Client) readStartup() (code uint32, body string, reason transport.CloseReason) {
	if reason := c.Await(8); reason != transport.Open {
		return 0, "", reason
	}
	var header [8]byte
	c.Peek(header[:])
	length := binary.BigEndian.Uint32(header[:])
	if length < 8 {
		return 0, "", transport.Malformed
	}
	if length > maxStartupBytes {
		return 0, "", transport.TooLong
	}
	if reason := c.Await(int(length)); reason != transport.Open {
		return 0, "", reason
	}
	packet := make([]byte, length)
	c.Read(packet)
	return binary.BigEndian.Uint32(header[4:]), string(packet[8:]), transport.Open
}

// finishHandshake says that the session may begin.
func (c Client) finishHandshake(code uint32, key CancelKey) transport.CloseReason {
	if code > protocolVersion3 { // a later minor version: 3.0 is what is spoken
		writeMessage(c.Conn, kindVersion, "\x00\x03\x00\x00", "\x00\x00\x00\x00")
	}
	writeMessage(c.Conn, kindAuthentication, "\x00\x00\x00\x00")
	for _, parameter := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}} {
		writeMessage(c.Conn, kindParameter, parameter[0], "\x00", parameter[1], "\x00")
	}
	keyBytes := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, key.Process), key.Secret)
	writeMessage(c.Conn, kindBackendKey, string(keyBytes))
	return c.sendReady()
}

// ReadQuery waits for the next query, and tells when its last byte came: it may have stood behind others since. Queries of the
// extended kind are answered with an error each.
func (c Client) ReadQuery() (text string, receivedAt time.Time, reason transport.CloseReason) {
	for {
		msg, reason := readMessage(c.Conn, maxStatementBytes)
		switch {
		case reason == transport.TooLong || reason == transport.Malformed || reason == transport.Stalled:
			return "", receivedAt, c.sendFatal(StateProtocolViolation, "the message can't be followed", reason)
		case reason != transport.Open:
			return "", receivedAt, reason
		case msg.kind == kindQuery:
			if terminator := strings.IndexByte(msg.body, 0); terminator < 0 || terminator != len(msg.body)-1 {
				return "", receivedAt, c.sendFatal(StateProtocolViolation, "the query is not one string", transport.Malformed)
			}
			return msg.body[:len(msg.body)-1], msg.receivedAt, transport.Open
		case msg.kind == kindTerminate:
			return "", receivedAt, transport.ClosedByPeer
		case msg.kind == kindSync || strings.IndexByte(extendedKinds, msg.kind) < 0:
			return "", receivedAt, c.sendFatal(StateProtocolViolation, "a message of this kind can't be followed here", transport.Malformed)
		}
		if reason := c.rejectExtended(msg.kind); reason != transport.Open {
			return "", receivedAt, reason
		}
	}
}

// WatchForClose ends the connection as soon as the client has gone, while its query is worked on, until the function it gives is
// called. A client that says so has gone, as has one that closes, also behind further queries.
func (c Client) WatchForClose(budget *transport.OverflowBudget) (stop func()) {
	return c.Conn.WatchForClose(budget, inspectPipelined)
}

// inspectPipelined looks at what a client sent behind its query: whether a Terminate is among it, and how much of it can be followed.
// Of what can't be, the head is kept, to be answered when its turn comes; what stands behind it is nothing.
func inspectPipelined(peekAt transport.PeekFunc) (peerGone bool, keepBytes int) {
	var header [headerBytes]byte
	for offset := 0; peekAt(offset, header[:]); {
		length := int64(binary.BigEndian.Uint32(header[1:]))
		if length < 4 || length+1 > maxStatementBytes {
			return false, offset + headerBytes
		}
		if header[0] == kindTerminate {
			return true, -1
		}
		offset += int(length) + 1
	}
	return false, -1
}

// rejectExtended answers a query of the extended kind, and passes over what belongs to it.
func (c Client) rejectExtended(kind byte) transport.CloseReason {
	writeFailure(c.Conn, Failure{SQLState: StateNotSupported, Message: "only simple queries are taken"})
	for kind != kindSync && kind != kindFunctionCall {
		msg, reason := readMessage(c.Conn, maxStatementBytes)
		if reason != transport.Open {
			return reason
		}
		kind = msg.kind
	}
	return c.sendReady()
}

// sendReady says that the next query may come.
func (c Client) sendReady() transport.CloseReason {
	writeMessage(c.Conn, kindReady, "I")
	return c.Flush()
}

// sendFatal answers what can't be followed; nothing comes after it.
func (c Client) sendFatal(state, text string, reason transport.CloseReason) transport.CloseReason {
	writeFailure(c.Conn, Failure{Fatal: true, SQLState: state, Message: text})
	c.Flush()
	return reason
}

// SendEmpty answers an empty query.
func (c Client) SendEmpty() transport.CloseReason {
	writeMessage(c.Conn, kindEmptyQuery)
	return c.sendReady()
}

// Forward passes a member's answer on, as it came.
func (c Client) Forward(answer *Answer) transport.CloseReason {
	for _, msg := range answer.messages {
		c.Write(msg.raw)
	}
	return c.sendReady()
}

// SendFailure answers a query with an error.
func (c Client) SendFailure(f Failure) transport.CloseReason {
	writeFailure(c.Conn, f)
	return c.sendReady()
}
