package protocol

import (
	"strconv"
	"strings"

	"sedgespread/internal/transport"
)

// States that this driver tells its clients or is told by members.
const (
	StateTooManyConnections = "53300" // turned away
	StateCannotConnectNow   = "57P03" // turned away for now
	StateReadOnly           = "25006" // a write, and this is no primary
	StateSnapshotTooOld     = "72000" // the data is too far behind
	StateProtocolViolation  = "08P01"
	StateSyntaxError        = "42601"
	StateQueryCanceled      = "57014"
	StateUnknownOutcome     = "08007"
	StateNotSupported       = "0A000"
	StateFenced             = "VF001" // of ours: its version is over
)

// Failure is what an ErrorResponse says.
type Failure struct {
	Fatal    bool
	SQLState string
	Message  string
	Detail   string
}

func putFailure(c *transport.Conn, f Failure) {
	severity := "ERROR"
	if f.Fatal {
		severity = "FATAL"
	}
	pieces := []string{"S", severity, "\x00V", severity, "\x00C", f.SQLState, "\x00M", f.Message, "\x00"}
	if f.Detail != "" {
		pieces = append(pieces, "D", f.Detail, "\x00")
	}
	put(c, kindError, append(pieces, "\x00")...)
}

// parseFailure reads an ErrorResponse; ok is false when it can't be followed or names no state.
func parseFailure(body string) (f Failure, ok bool) {
	for body != "" && body[0] != 0 {
		kind := body[0]
		text, rest, ok := strings.Cut(body[1:], "\x00")
		if !ok {
			return f, false
		}
		switch body = rest; kind {
		case 'S':
			f.Fatal = text == "FATAL" || text == "PANIC"
		case 'C':
			f.SQLState = text
		case 'M':
			f.Message = text
		case 'D':
			f.Detail = text
		}
	}
	return f, body == "\x00" && len(f.SQLState) == 5
}

// Pushback says that trying again is harmless, and when, if that is known.
func Pushback(comeBackMillis int64) Failure {
	f := Failure{SQLState: StateTooManyConnections, Message: "pushed back, trying again is harmless"}
	if comeBackMillis > 0 {
		f.Detail = strconv.FormatInt(comeBackMillis, 10)
	}
	return f
}

// Canceled says that an RPC was given up because its client asked for that, and that its effect is not known.
func Canceled() Failure {
	return Failure{SQLState: StateQueryCanceled, Message: "canceled, it may or may not have run"}
}

// Aborted says that an RPC failed, and that its effect is not known.
func Aborted() Failure {
	return Failure{SQLState: StateUnknownOutcome, Message: "aborted, it may or may not have run"}
}
