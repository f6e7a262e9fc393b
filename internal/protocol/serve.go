package protocol

import (
	"context"
	"encoding/binary"

	"sedgespread/internal/transport"
)

// Told is what a member says of itself with an answer.
type Told struct{ Name, Value string }

// Give answers a query as a member does: with a row of one value and what it tells of itself.
func (c Client) Give(value string, told ...Told) transport.End {
	put(c.Conn, kindRowDescription, oneColumn, "content\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	put(c.Conn, kindDataRow, oneColumn, string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	put(c.Conn, kindCommandComplete, "SELECT 1\x00")
	return c.tell(told)
}

// Deny answers a query as a member does that does not follow it.
func (c Client) Deny(f Failure, told ...Told) transport.End {
	putFailure(c.Conn, f)
	return c.tell(told)
}

func (c Client) tell(told []Told) transport.End {
	for _, t := range told {
		put(c.Conn, kindParameter, t.Name, "\x00", t.Value, "\x00")
	}
	return c.ready()
}

// Ready asks a driver whether it is ready, as an empty query, and waits for that until by ends.
func (m Member) Ready(by context.Context) transport.End {
	defer m.endBy(by)()
	put(m.Conn, kindQuery, "\x00")
	end := m.Flush()
	for end == transport.Open {
		var got message
		if got, end = readMessage(m.Conn, m.most); end == transport.Open && got.kind == kindReady {
			return transport.Open
		}
	}
	return end
}
