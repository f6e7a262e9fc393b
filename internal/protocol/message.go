// Package protocol speaks PostgreSQL's version 3 with clients and members, HTTP with discovery, and the drivers'
// own messages. It stands on package transport alone.
package protocol

import (
	"encoding/binary"
	"slices"
	"time"
	"unsafe"

	"sedgespread/internal/transport"
)

const (
	// RingBytes bounds a connection's ring, through which longer messages come and go in pieces.
	RingBytes = 64 << 10
	// mostStatement bounds what a client sends: a value of 64 KiB written as hexadecimal digits, and its statement.
	mostStatement = 192 << 10
	piece         = RingBytes / 2
)

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
	came  time.Time // its last byte
}

// readMessage waits for the next message, of most bytes at the most. Memory is taken as it comes, not as announced.
func readMessage(c *transport.Conn, most int) (message, transport.CloseReason) {
	if end := c.Await(headerBytes); end != transport.Open {
		return message{}, end
	}
	var head [headerBytes]byte
	c.Peek(head[:])
	length := int64(binary.BigEndian.Uint32(head[1:]))
	switch {
	case length < 4:
		return message{}, transport.Malformed
	case length+1 > int64(most):
		return message{}, transport.TooLong
	}
	total := int(length) + 1
	var came time.Time
	whole := make([]byte, 0, min(total, piece))
	for len(whole) < total {
		n := min(total-len(whole), piece)
		if end := c.Await(n); end != transport.Open {
			return message{}, cutShort(end)
		}
		whole = slices.Grow(whole, n)[:len(whole)+n]
		came = c.Read(whole[len(whole)-n:])
	}
	text := unsafe.String(&whole[0], len(whole)) // nobody writes to it from here on
	return message{kind: head[0], body: text[headerBytes:], whole: text, came: came}, transport.Open
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
