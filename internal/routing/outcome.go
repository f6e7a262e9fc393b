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

// classificationBySQLState maps what a member answers in place of a row.
var classificationBySQLState = map[string]classification{
	protocol.StateReadOnly:           {rules.NeverRan, rules.Missed},
	protocol.StateSnapshotTooOld:     {rules.NeverRan, rules.Missed},
	protocol.StateTooManyConnections: {rules.NeverRan, rules.Full},
	protocol.StateCannotConnectNow:   {rules.NeverRan, rules.Full},
	protocol.StateSyntaxError:        {rules.MayHaveRun, rules.Moot},
	protocol.StateFenced:             {rules.NeverRan, rules.Moot},
}

// causeByCloseReason maps how a connection ended to why an attempt on it was not ok.
var causeByCloseReason = map[transport.CloseReason]rules.Cause{
	transport.DialRefused:  rules.NoConnect,
	transport.DialTimedOut: rules.NoConnect,
	transport.DialFailed:   rules.NoConnect,
	transport.NoDescriptor: rules.NoConnect,
	transport.Rejected:     rules.NoConnect,
	transport.ClosedByPeer: rules.Reset,
	transport.Truncated:    rules.Reset,
	transport.ResetByPeer:  rules.Reset,
	transport.Malformed:    rules.Errored,
	transport.TooLong:      rules.Errored,
	transport.WriteStalled: rules.TimedOut,
	transport.TimedOut:     rules.TimedOut,
	transport.Cancelled:    rules.Cancelled,
	transport.Evicted:      rules.Reset,
	transport.Stalled:      rules.Errored,
	transport.ShutDown:     rules.Cancelled,
	transport.Withheld:     rules.Moot,
}

type classification struct {
	proof rules.Proof
	cause rules.Cause
}

// classify is the one place where ends and answers become what the module knows.
func (o Outcome) classify() classification {
	if answer := o.Answer; answer != nil && answer.Failure == nil {
		return classification{rules.OK, rules.NoCause}
	} else if answer != nil {
		if class, known := classificationBySQLState[answer.Failure.SQLState]; known {
			return class
		}
		return classification{rules.MayHaveRun, rules.Errored}
	}
	cause := causeByCloseReason[o.CloseReason]
	if o.WasSent {
		return classification{rules.MayHaveRun, cause}
	}
	if cause == rules.Reset || cause == rules.Errored {
		cause = rules.NoConnect
	}
	return classification{rules.NeverRan, cause}
}

// isSyntaxError tells that the member could not follow the statement: no other will.
func (o Outcome) isSyntaxError() bool { return o.failedWith(protocol.StateSyntaxError) }

// isFenced tells that the store turned the version away under which the attempt was made.
func (o Outcome) isFenced() bool { return o.failedWith(protocol.StateFenced) }

func (o Outcome) failedWith(sqlState string) bool {
	return o.Answer != nil && o.Answer.Failure != nil && o.Answer.Failure.SQLState == sqlState
}

// probeResult is what a probe found. A member that has no session to spare lives; of one for which this driver has no descriptor
// to spare nothing is known.
func (o Outcome) probeResult() rules.ProbeResult {
	switch o.CloseReason {
	case transport.Rejected:
		return rules.ProbeResult{Cause: rules.Full}
	case transport.NoDescriptor:
		return rules.ProbeResult{Cause: rules.Moot}
	}
	return rules.ProbeResult{Cause: o.classify().cause, Report: o.reportedObservation(), Observation: o.observation()}
}

// reportedObservation is what a probe's load report shows.
func (o Outcome) reportedObservation() (observation rules.Observation) {
	if o.Answer == nil || o.Answer.Failure != nil {
		return observation
	}
	var load briefing.Fields
	load.Parse("report,"+o.Answer.Value(), ",", "=")
	if reported := load.Observation(0); load.Err == nil {
		observation = reported
	}
	return observation
}

// observation is what an answer shows of its member.
func (o Outcome) observation() (observation rules.Observation) {
	if o.Answer == nil {
		return observation
	}
	switch {
	case o.Answer.IsPrimary:
		observation.Role = rules.RolePrimary
	case o.Answer.IsReplica:
		observation.Role = rules.RoleReplica
	}
	if o.failedWith(protocol.StateReadOnly) { // it took the statement for a write, and is no primary
		observation.Role = rules.RoleReplica
	}
	observation.Position = o.Answer.PositionMillis * nanosPerMilli
	return observation
}
