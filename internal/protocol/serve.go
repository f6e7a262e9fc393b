package protocol

import (
	"context"
	"encoding/binary"

	"sedgespread/internal/transport"
)

// ParameterStatus is what a member says of itself with an answer.
type ParameterStatus struct{ Name, Value string }

// SendRow answers a query as a member does: with a row of one value and what it tells of itself.
func (c Client) SendRow(value string, told ...ParameterStatus) transport.CloseReason {
	put(c.Conn, kindRowDescription, oneColumn, "content\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	put(c.Conn, kindDataRow, oneColumn, string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	put(c.Conn, kindCommandComplete, "SELECT 1\x00")
	return c.tell(told)
}

// SendMemberFailure answers a query as a member does that does not follow it.
func (c Client) SendMemberFailure(f Failure, told ...ParameterStatus) transport.CloseReason {
	putFailure(c.Conn, f)
	return c.tell(told)
}

func (c Client) tell(told []ParameterStatus) transport.CloseReason {
	for _, t := range told {
		put(c.Conn, kindParameter, t.Name, "\x00", t.Value, "\x00")
	}
	return c.ready()
}

// Ping asks a driver whether it is ready, as an empty query, and waits for that until by ends.
func (m Member) Ping(by context.Context) transport.CloseReason {
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
