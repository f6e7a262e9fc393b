package protocol

import "strconv"

// States that this driver tells its clients or is told by members.
const (
	StateTooMany        = "53300" // turned away
	StateNotNow         = "57P03" // turned away for now
	StateReadOnly       = "25006" // a write, and this is no primary
	StateTooOld         = "72000" // the data is too far behind
	StateProtocol       = "08P01"
	StateSyntax         = "42601"
	StateUnknownOutcome = "08007"
	StateNotSupported   = "0A000"
	StateAuthorization  = "28000"
)

// Failure is what an ErrorResponse says.
type Failure struct {
	Fatal   bool
	State   string
	Message string
	Detail  string
}

func appendFailure(to []byte, f Failure) []byte {
	severity := "ERROR"
	if f.Fatal {
		severity = "FATAL"
	}
	fields := "S" + severity + "\x00V" + severity + "\x00C" + f.State + "\x00M" + f.Message + "\x00"
	if f.Detail != "" {
		fields += "D" + f.Detail + "\x00"
	}
	return appendMessage(to, kindError, fields, "\x00")
}

// parseFailure reads an ErrorResponse; ok is false when it is not followed or names no state.
func parseFailure(body []byte) (f Failure, ok bool) {
	for len(body) > 0 && body[0] != 0 {
		var text string
		kind := body[0]
		if text, body, ok = cutString(body[1:]); !ok {
			return f, false
		}
		switch kind {
		case 'S':
			f.Fatal = text == "FATAL" || text == "PANIC"
		case 'C':
			f.State = text
		case 'M':
			f.Message = text
		case 'D':
			f.Detail = text
		}
	}
	return f, len(body) == 1 && len(f.State) == 5
}

// PushBack says that trying again is harmless, and when, if that is known.
func PushBack(comeBackMillis int64) Failure {
	f := Failure{State: StateTooMany, Message: "pushed back, trying again is harmless"}
	if comeBackMillis > 0 {
		f.Detail = strconv.FormatInt(comeBackMillis, 10)
	}
	return f
}

// Abort says that an RPC failed, and that its effect is not known.
func Abort() Failure {
	return Failure{State: StateUnknownOutcome, Message: "aborted, it may or may not have run"}
}
