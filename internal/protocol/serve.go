package protocol

import (
	"context"
	"encoding/binary"

	"sedgespread/internal/transport"
)

// ParameterStatus is a parameter that a member sends with an answer.
type ParameterStatus struct{ Name, Value string }

// SendRow answers a query as a member does, with a single value and parameters.
func (c Client) SendRow(value string, parameters ...ParameterStatus) transport.CloseReason {
	writeMessage(c.Conn, kindRowDescription, singleColumn, "content\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	writeMessage(c.Conn, kindDataRow, singleColumn, string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	writeMessage(c.Conn, kindCommandComplete, "SELECT 1\x00")
	return c.sendParameters(parameters)
}

// SendMemberFailure answers a query as a member does, with an error and parameters.
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

// Ping sends an empty query and waits until the driver answers that it is ready.
func (m Member) Ping(ctx context.Context) transport.CloseReason {
	defer m.closeOnDone(ctx)()
	writeMessage(m.Conn, kindQuery, "\x00")
	memory := answerMemory{budget: m.answers}
	defer memory.resize(0)
	reason := m.Flush()
	for reason == transport.Open {
		var msg message
		if msg, reason = readMessage(m.Conn, &memory); reason == transport.Open && msg.kind == kindReady {
			return transport.Open
		}
	}
	return reason
}
