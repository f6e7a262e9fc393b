// Package protocol implements PostgreSQL's protocol 3.0 for clients and members, HTTP/1.1 for discovery,
// and the format of the observations that drivers exchange.
package protocol

import (
	"encoding/binary"
	"time"
	"unsafe"

	"sedgespread/internal/transport"
)

const (
	// RingBytes limits a connection's buffers. Longer messages pass through them in pieces.
	RingBytes = 64 << 10
	// ClientRingBytes limits the buffers of a client's connection, of which there are many. It suffices for a
	// startup message.
	ClientRingBytes = 16 << 10
	// maxStatementBytes limits a client's message. A value of 64 KiB takes 128 KiB of hexadecimal digits.
	maxStatementBytes = 192 << 10
	readChunkBytes    = RingBytes / 2
)

// Message types of PostgreSQL.
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
	kindSync            = 'S' // sent by a client
	kindFunctionCall    = 'F'
	extendedKinds       = "PBEDCHF"
)

const headerBytes = 5 // message type and length

// lengthBytes is the size of a message's length, which counts itself but not the type.
const lengthBytes = 4

// message is a protocol message. raw includes the header, body does not.
type message struct {
	kind       byte
	body       string
	raw        string
	receivedAt time.Time // when the last byte arrived; only set for a client's
}

// readMessage reads a message. It allocates as data arrives, so that an announced length alone costs no
// memory. What it allocates counts as held by memory.
func readMessage(c *transport.Conn, memory *answerMemory) (message, transport.CloseReason) {
	if reason := c.Await(headerBytes); reason != transport.Open {
		return message{}, reason
	}
	var header [headerBytes]byte
	c.Peek(header[:])
	length := int64(binary.BigEndian.Uint32(header[1:]))
	switch {
	case length < lengthBytes:
		return message{}, transport.Malformed
	case length+1 > memory.budget.maxMessage():
		return message{}, transport.TooLong
	}
	total := int(length) + 1
	var raw []byte
	for len(raw) < total {
		n := min(total-len(raw), readChunkBytes)
		if reason := c.Await(n); reason != transport.Open {
			return message{}, closedToTruncated(reason)
		}
		if len(raw)+n > cap(raw) {
			capacity := min(total, max(readChunkBytes, 2*cap(raw)))
			if !memory.grow(c, capacity-cap(raw)) {
				return message{}, transport.TooLong
			}
			raw = append(make([]byte, 0, capacity), raw...)
		}
		raw = raw[:len(raw)+n]
		c.Read(raw[len(raw)-n:])
	}
	text := unsafe.String(&raw[0], len(raw)) // raw is not modified after this
	return message{kind: header[0], body: text[headerBytes:], raw: text}, transport.Open
}

// encodeMessage returns a message as it is on the wire.
func encodeMessage(kind byte, body string) string {
	header := [headerBytes]byte{kind}
	binary.BigEndian.PutUint32(header[1:], uint32(lengthBytes+len(body)))
	return string(header[:]) + body
}

// writeMessage writes a message whose body is the concatenated pieces.
func writeMessage(c *transport.Conn, kind byte, pieces ...string) {
	length := lengthBytes
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
