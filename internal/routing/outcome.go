package routing

import (
	"time"

	"sedgespread/internal/briefing"
	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// Outcome is how an attempt or a probe ended, as the network saw it.
type Outcome struct {
	Answer      *protocol.Answer      // nil where no whole one came
	WasSent     bool                  // the last byte of the statement was written
	CloseReason transport.CloseReason // how the connection ended, or Open
	OpenedAt    time.Time             // when the connection was opened
}

// states maps what a member answers in place of a row.
var states = map[string]verdict{
	protocol.StateReadOnly:           {rules.NotExecuted, rules.Ineligible},
	protocol.StateSnapshotTooOld:     {rules.NotExecuted, rules.Ineligible},
	protocol.StateTooManyConnections: {rules.NotExecuted, rules.Overloaded},
	protocol.StateCannotConnectNow:   {rules.NotExecuted, rules.Overloaded},
	protocol.StateSyntaxError:        {rules.MayHaveExecuted, rules.NotSent},
	protocol.StateFenced:             {rules.NotExecuted, rules.NotSent},
}

// causes maps how a connection ended to why an attempt on it was not ok.
var causes = map[transport.CloseReason]rules.Cause{
	transport.DialRefused:  rules.ConnectFailed,
	transport.DialTimedOut: rules.ConnectFailed,
	transport.DialFailed:   rules.ConnectFailed,
	transport.NoDescriptor: rules.ConnectFailed,
	transport.Rejected:     rules.ConnectFailed,
	transport.ClosedByPeer: rules.Reset,
	transport.Truncated:    rules.Reset,
	transport.ResetByPeer:  rules.Reset,
	transport.Malformed:    rules.ServerError,
	transport.TooLong:      rules.ServerError,
	transport.WriteStalled: rules.TimedOut,
	transport.TimedOut:     rules.TimedOut,
	transport.Cancelled:    rules.Cancelled,
	transport.Evicted:      rules.Reset,
	transport.Stalled:      rules.ServerError,
	transport.ShutDown:     rules.Cancelled,
	transport.Withheld:     rules.NotSent,
}

type verdict struct {
	proof rules.Outcome
	cause rules.Cause
}

// verdict is the one place where ends and answers become what the module knows.
func (o Outcome) verdict() verdict {
	if a := o.Answer; a != nil && a.Failure == nil {
		return verdict{rules.OK, rules.NoCause}
	} else if a != nil {
		if v, known := states[a.Failure.SQLState]; known {
			return v
		}
		return verdict{rules.MayHaveExecuted, rules.ServerError}
	}
	cause := causes[o.CloseReason]
	if o.WasSent {
		return verdict{rules.MayHaveExecuted, cause}
	}
	if cause == rules.Reset || cause == rules.ServerError {
		cause = rules.ConnectFailed
	}
	return verdict{rules.NotExecuted, cause}
}

// unusable tells that the member could not follow the statement: no other will.
func (o Outcome) unusable() bool { return o.refusedAs(protocol.StateSyntaxError) }

// fenced tells that the store turned the version away under which the attempt was made.
func (o Outcome) fenced() bool { return o.refusedAs(protocol.StateFenced) }

func (o Outcome) refusedAs(state string) bool {
	return o.Answer != nil && o.Answer.Failure != nil && o.Answer.Failure.SQLState == state
}

// found is what a probe found. A member that has no session to spare lives; of one for which this driver has no descriptor
// to spare nothing is known.
func (o Outcome) found() rules.ProbeResult {
	switch o.CloseReason {
	case transport.Rejected:
		return rules.ProbeResult{Cause: rules.Overloaded}
	case transport.NoDescriptor:
		return rules.ProbeResult{Cause: rules.NotSent}
	}
	return rules.ProbeResult{Cause: o.verdict().cause, Report: o.reported(), Observation: o.observation()}
}

// reported is what a probe's load report shows.
func (o Outcome) reported() (s rules.Observation) {
	if o.Answer == nil || o.Answer.Failure != nil {
		return s
	}
	var load briefing.Fields
	load.Parse("report,"+o.Answer.Value(), ",", "=")
	if reported := load.Observation(0); load.Err == nil {
		s = reported
	}
	return s
}

// observation is what an answer shows of its member.
func (o Outcome) observation() (s rules.Observation) {
	if o.Answer == nil {
		return s
	}
	switch {
	case o.Answer.IsPrimary:
		s.Role = rules.RolePrimary
	case o.Answer.IsReplica:
		s.Role = rules.RoleReplica
	}
	if o.refusedAs(protocol.StateReadOnly) { // it took the statement for a write, and is no primary
		s.Role = rules.RoleReplica
	}
	s.Position = o.Answer.PositionMillis * milli
	return s
}
