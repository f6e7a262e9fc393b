// Package protocol speaks PostgreSQL's version 3 with clients and members, HTTP with discovery, and the drivers'
// own messages. It stands on package transport alone.
package protocol

import (
	"encoding/binary"
	"unsafe"

	"sedgespread/internal/transport"
)

// MostBytes bounds what a connection may hold: a value of 64 KiB written as hexadecimal digits, and its statement.
const MostBytes = 192 << 10

// Kinds of messages, as PostgreSQL names them.
const (
	kindAuthentication  = 'R'
	kindBackendKey      = 'K'
	kindCommandComplete = 'C'
	kindDataRow         = 'D'
	kindEmptyQuery      = 'I'
	kindError           = 'E'
	kindNotice          = 'N'
	kindParameter       = 'S'
	kindQuery           = 'Q'
	kindReady           = 'Z'
	kindRowDescription  = 'T'
	kindTerminate       = 'X'
	kindVersion         = 'v'
	kindSync            = 'S' // of a client
	kindFunction        = 'F'
	kindsExtended       = "PBEDCHF"
)

const headerBytes = 5

// message is one message: its kind, what follows the length, and all of it as it came.
type message struct {
	kind  byte
	body  string
	whole string
}

// readMessage waits for the next message.
func readMessage(c *transport.Conn) (message, transport.End) {
	if end := c.Await(headerBytes); end != transport.Open {
		return message{}, end
	}
	var head [headerBytes]byte
	c.Peek(head[:])
	length := int64(binary.BigEndian.Uint32(head[1:]))
	switch {
	case length < 4:
		return message{}, transport.Malformed
	case length+1 > MostBytes:
		return message{}, transport.TooLong
	}
	if end := c.Await(int(length) + 1); end != transport.Open {
		return message{}, end
	}
	whole := make([]byte, length+1)
	c.Read(whole)
	text := unsafe.String(&whole[0], len(whole)) // nobody writes to it from here on
	return message{kind: head[0], body: text[headerBytes:], whole: text}, transport.Open
}

// put writes a message whose body is the pieces one after another.
func put(c *transport.Conn, kind byte, pieces ...string) {
	length := 4
	for _, p := range pieces {
		length += len(p)
	}
	head := [headerBytes]byte{kind}
	binary.BigEndian.PutUint32(head[1:], uint32(length))
	c.Write(string(head[:]))
	for _, p := range pieces {
		c.Write(p)
	}
}
