package protocol

import (
	"context"
	"encoding/binary"

	"sedgespread/internal/transport"
)

// ParameterStatus is what a member says of itself with an answer.
type ParameterStatus struct{ Name, Value string }

// SendRow answers a query as a member does: with a row of one value and what it tells of itself.
func (c Client) SendRow(value string, parameters ...ParameterStatus) transport.CloseReason {
	writeMessage(c.Conn, kindRowDescription, singleColumn, "content\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	writeMessage(c.Conn, kindDataRow, singleColumn, string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	writeMessage(c.Conn, kindCommandComplete, "SELECT 1\x00")
	return c.sendParameters(parameters)
}

// SendMemberFailure answers a query as a member does that does not follow it.
func (c Client) SendMemberFailure(f Failure, parameters ...ParameterStatus) transport.CloseReason {
	writeFailure(c.Conn, f)
	return c.sendParameters(parameters)
}

func (c Client) sendParameters(parameters []ParameterStatus) transport.CloseReason {
	for _, parameter := range parameters {
		writeMessage(c.Conn, kindParameter, parameter.Name, "\x00", parameter.Value, "\x00")
	}
	return c.sendReady()
}

// Ping asks a driver whether it is ready, as an empty query, and waits for that until by ends.
func (m Member) Ping(ctx context.Context) transport.CloseReason {
	defer m.closeOnDone(ctx)()
	writeMessage(m.Conn, kindQuery, "\x00")
	reason := m.Flush()
	for reason == transport.Open {
		var msg message
		if msg, reason = readMessage(m.Conn, m.maxMessageBytes); reason == transport.Open && msg.kind == kindReady {
			return transport.Open
		}
	}
	return reason
}
