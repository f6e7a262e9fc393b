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
	// maxStatementBytes bounds what a client sends: a value of 64 KiB written as hexadecimal digits, and its statement.
	maxStatementBytes = 192 << 10
	readChunkBytes    = RingBytes / 2
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
	kindFunctionCall    = 'F'
	extendedKinds       = "PBEDCHF"
)

const headerBytes = 5

// message is one message: its kind, what follows the length, and all of it as it came.
type message struct {
	kind       byte
	body       string
	raw        string
	receivedAt time.Time // its last byte
}

// readMessage waits for the next message, of most bytes at the most. Memory is taken as it comes, not as announced.
func readMessage(c *transport.Conn, maxBytes int) (message, transport.CloseReason) {
	if reason := c.Await(headerBytes); reason != transport.Open {
		return message{}, reason
	}
	var header [headerBytes]byte
	c.Peek(header[:])
	length := int64(binary.BigEndian.Uint32(header[1:]))
	switch {
	case length < 4:
		return message{}, transport.Malformed
	case length+1 > int64(maxBytes):
		return message{}, transport.TooLong
	}
	total := int(length) + 1
	var receivedAt time.Time
	raw := make([]byte, 0, min(total, readChunkBytes))
	for len(raw) < total {
		n := min(total-len(raw), readChunkBytes)
		if reason := c.Await(n); reason != transport.Open {
			return message{}, closedToTruncated(reason)
		}
		raw = slices.Grow(raw, n)[:len(raw)+n]
		receivedAt = c.Read(raw[len(raw)-n:])
	}
	text := unsafe.String(&raw[0], len(raw)) // nobody writes to it from here on
	return message{kind: header[0], body: text[headerBytes:], raw: text, receivedAt: receivedAt}, transport.Open
}

// writeMessage writes a message whose body is the pieces one after another.
func writeMessage(c *transport.Conn, kind byte, pieces ...string) {
	length := 4
	for _, p := range pieces {
		length += len(p)
	}
	header := [headerBytes]byte{kind}
	binary.BigEndian.PutUint32(header[1:], uint32(length))
	c.Write(string(header[:]))
	for _, p := range pieces {
		c.Write(p)
	}
}
