package protocol

import (
	"strconv"
	"strings"

	"sedgespread/internal/transport"
)

// SQLSTATE codes that this driver sends to clients or receives from members.
const (
	StateTooManyConnections = "53300" // too many connections or requests
	StateCannotConnectNow   = "57P03" // not accepting sessions yet
	StateReadOnly           = "25006" // a write sent to a member that is not primary
	StateSnapshotTooOld     = "72000" // the replica is too far behind
	StateProtocolViolation  = "08P01"
	StateSyntaxError        = "42601"
	StateQueryCanceled      = "57014"
	StateUnknownOutcome     = "08007"
	StateNotSupported       = "0A000"
	StateFenced             = "VF001" // not a code of PostgreSQL: the version of the attempt is no longer valid
)

// sqlStateLength is the number of characters of an SQLSTATE.
const sqlStateLength = 5

// Failure is the content of an ErrorResponse.
type Failure struct {
	IsFatal  bool
	SQLState string
	Message  string
	Detail   string
}

// writeFailure writes an ErrorResponse.
func writeFailure(c *transport.Conn, f Failure) { c.Write(f.encode()) }

// encode returns an ErrorResponse.
func (f *Failure) encode() string {
	severity := "ERROR"
	if f.IsFatal {
		severity = "FATAL"
	}
	detail := ""
	if f.Detail != "" {
		detail = "D" + f.Detail + "\x00"
	}
	return encodeMessage(kindError, "S"+severity+"\x00V"+severity+"\x00C"+f.SQLState+"\x00M"+f.Message+"\x00"+detail+"\x00")
}

// parseFailure reads an ErrorResponse. ok is false if it is malformed or has no SQLSTATE.
func parseFailure(body string) (f Failure, ok bool) {
	for body != "" && body[0] != 0 {
		kind := body[0]
		text, rest, ok := strings.Cut(body[1:], "\x00")
		if !ok {
			return f, false
		}
		switch body = rest; kind {
		case 'S':
			f.IsFatal = text == "FATAL" || text == "PANIC"
		case 'C':
			f.SQLState = text
		case 'M':
			f.Message = text
		case 'D':
			f.Detail = text
		}
	}
	return f, body == "\x00" && len(f.SQLState) == sqlStateLength
}

// Pushback tells a client that it may safely retry, after retryAfterMillis if that is positive.
func Pushback(retryAfterMillis int64) Failure {
	f := Failure{SQLState: StateTooManyConnections, Message: "pushed back, trying again is harmless"}
	if retryAfterMillis > 0 {
		f.Detail = strconv.FormatInt(retryAfterMillis, 10)
	}
	return f
}

// Canceled reports an RPC that its client cancelled. Its outcome is unknown.
func Canceled() Failure {
	return Failure{SQLState: StateQueryCanceled, Message: "canceled, it may or may not have run"}
}

// Aborted reports an RPC that failed with an unknown outcome.
func Aborted() Failure {
	return Failure{SQLState: StateUnknownOutcome, Message: "aborted, it may or may not have run"}
}
