package protocol

import (
	"encoding/binary"

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

// Welcome reads the startup message and answers it. Encryption is declined.
func (c Client) Welcome() transport.End {
	for {
		code, end := c.startup()
		switch {
		case end != transport.Open:
			return end
		case code == tlsRequest || code == gssRequest:
			if end := c.send([]byte{'N'}); end != transport.Open {
				return end
			}
		case code == cancelRequest:
			return transport.ClosedByPeer
		case code>>16 != 3:
			c.Refuse(Failure{Fatal: true, State: StateNotSupported, Message: "only protocol version 3 is spoken here"})
			return transport.Malformed
		default:
			return c.send(welcome(code))
		}
	}
}

// startup reads one message of those that have no kind.
func (c Client) startup() (code uint32, end transport.End) {
	if end := c.Await(8); end != transport.Open {
		return 0, end
	}
	var head [8]byte
	c.Peek(0, head[:])
	length := binary.BigEndian.Uint32(head[:])
	if length < 8 {
		return 0, transport.Malformed
	}
	if length > mostStartup {
		return 0, transport.TooLong
	}
	if end := c.Await(int(length)); end != transport.Open {
		return 0, end
	}
	c.Read(make([]byte, length))
	return binary.BigEndian.Uint32(head[4:]), transport.Open
}

func welcome(code uint32) []byte {
	var b []byte
	if minor := code & 0xffff; minor > 0 { // only 3.0 is spoken
		b = appendMessage(b, 'v', "\x00\x00\x00\x00", "\x00\x00\x00\x00")
	}
	b = appendMessage(b, kindAuthentication, "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}} {
		b = appendMessage(b, kindParameter, p[0], "\x00", p[1], "\x00")
	}
	return appendMessage(b, kindReady, "I")
}

// Query waits for the next query. An unknown message of PostgreSQL's extended kind is answered and ends it.
func (c Client) Query() (text string, end transport.End) {
	m, end := readMessage(c.Conn)
	if end == transport.TooLong || end == transport.Malformed {
		c.Refuse(Failure{Fatal: true, State: StateProtocol, Message: "the message's length can't be followed"})
	}
	if end != transport.Open {
		return "", end
	}
	switch m.kind {
	case kindQuery:
		text, rest, ok := cutString(m.body)
		if !ok || len(rest) > 0 {
			c.Refuse(Failure{Fatal: true, State: StateProtocol, Message: "the query is not one string"})
			return "", transport.Malformed
		}
		return text, transport.Open
	case kindTerminate:
		return "", transport.ClosedByPeer
	}
	c.Refuse(Failure{Fatal: true, State: StateProtocol, Message: "only simple queries are taken"})
	return "", transport.Malformed
}

func (c Client) send(b []byte) transport.End {
	if end := c.Write(b); end != transport.Open {
		return end
	}
	return c.Flush()
}

// Empty answers an empty query.
func (c Client) Empty() transport.End {
	return c.send(appendMessage(appendMessage(nil, kindEmptyQuery), kindReady, "I"))
}

// Pass passes a member's answer on, as it came.
func (c Client) Pass(a *Answer) transport.End {
	return c.send(appendMessage(a.whole, kindReady, "I"))
}

// Refuse answers with an error; after a fatal one nothing follows.
func (c Client) Refuse(f Failure) transport.End {
	b := appendFailure(nil, f)
	if !f.Fatal {
		b = appendMessage(b, kindReady, "I")
	}
	return c.send(b)
}
