// Package protocol speaks PostgreSQL's version 3 with clients and members, HTTP with discovery, and the drivers'
// own messages. It stands on package transport alone.
package protocol

import (
	"encoding/binary"

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
)

const headerBytes = 5

// message is one message: its kind and what follows the length.
type message struct {
	kind byte
	body []byte
}

// readMessage waits for the next message.
func readMessage(c *transport.Conn) (message, transport.End) {
	if end := c.Await(headerBytes); end != transport.Open {
		return message{}, end
	}
	var head [headerBytes]byte
	c.Peek(0, head[:])
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
	return message{kind: head[0], body: whole[headerBytes:]}, transport.Open
}

// appendMessage adds a message whose body is the pieces one after another.
func appendMessage(to []byte, kind byte, pieces ...string) []byte {
	length := 4
	for _, p := range pieces {
		length += len(p)
	}
	to = binary.BigEndian.AppendUint32(append(to, kind), uint32(length))
	for _, p := range pieces {
		to = append(to, p...)
	}
	return to
}

// cutString takes a string that ends in a zero byte off the front.
func cutString(body []byte) (text string, rest []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", nil, false
}
