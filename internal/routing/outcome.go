package routing

import (
	"time"

	"sedgespread/internal/protocol"
	"sedgespread/internal/settings"
	"sedgespread/internal/transport"
	"sedgespread/rules"
)

// Outcome is how an attempt or a probe ended on the network.
type Outcome struct {
	Answer      *protocol.Answer      // nil if no complete answer arrived
	WasSent     bool                  // the last byte of the statement was written
	CloseReason transport.CloseReason // how the connection ended, or Open
	OpenedAt    time.Time             // when the connection was opened
}

// classificationBySQLState classifies the error answers of members. Others may have executed and
// count as rules.ServerError.
var classificationBySQLState = map[string]classification{
	protocol.StateReadOnly:           {rules.NotExecuted, rules.Ineligible},
	protocol.StateSnapshotTooOld:     {rules.NotExecuted, rules.Ineligible},
	protocol.StateTooManyConnections: {rules.NotExecuted, rules.Overloaded},
	protocol.StateCannotConnectNow:   {rules.NotExecuted, rules.Overloaded},
	protocol.StateSyntaxError:        {rules.MayHaveExecuted, rules.NotSent},
	protocol.StateFenced:             {rules.NotExecuted, rules.NotSent},
}

// causeByCloseReason maps how a connection was closed to why an attempt on it failed.
var causeByCloseReason = map[transport.CloseReason]rules.Cause{
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

// classification says whether an attempt ran, and why it failed.
type classification struct {
	proof rules.Outcome
	cause rules.Cause
}

// classify translates the outcome for the rules.
func (o Outcome) classify() classification {
	if answer := o.Answer; answer != nil && answer.Failure == nil {
		return classification{rules.OK, rules.NoCause}
	} else if answer != nil {
		if class, known := classificationBySQLState[answer.Failure.SQLState]; known {
			return class
		}
		return classification{rules.MayHaveExecuted, rules.ServerError}
	}
	cause := causeByCloseReason[o.CloseReason]
	if o.WasSent {
		return classification{rules.MayHaveExecuted, cause}
	}
	if cause == rules.Reset || cause == rules.ServerError {
		cause = rules.ConnectFailed
	}
	return classification{rules.NotExecuted, cause}
}

// isSyntaxError reports whether the member could not parse the statement, which no other member will.
func (o Outcome) isSyntaxError() bool { return o.failedWith(protocol.StateSyntaxError) }

// isFenced reports whether the store rejected the version under which the attempt was made.
func (o Outcome) isFenced() bool { return o.failedWith(protocol.StateFenced) }

func (o Outcome) failedWith(sqlState string) bool {
	return o.Answer != nil && o.Answer.Failure != nil && o.Answer.Failure.SQLState == sqlState
}

// probeResult returns the result of a probe. A member that rejects the session because it is full is
// alive; if this driver ran out of descriptors, nothing is known of the member.
func (o Outcome) probeResult() rules.ProbeResult {
	switch o.CloseReason {
	case transport.Rejected:
		return rules.ProbeResult{Cause: rules.Overloaded}
	case transport.NoDescriptor:
		return rules.ProbeResult{Cause: rules.NotSent}
	}
	return rules.ProbeResult{Cause: o.classify().cause, Report: o.reportedObservation(), Observation: o.observation()}
}

// reportedObservation returns what a probe's load report shows of the member.
func (o Outcome) reportedObservation() (observation rules.Observation) {
	if o.Answer == nil || o.Answer.Failure != nil {
		return observation
	}
	var load settings.Fields
	load.Parse("report,"+o.Answer.Value(), ",", "=")
	if reported := load.Observation(0); load.Err == nil {
		observation = reported
	}
	return observation
}

// observation returns what the answer itself shows of the member.
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
	if o.failedWith(protocol.StateReadOnly) { // only a replica rejects a write
		observation.Role = rules.RoleReplica
	}
	observation.Position = o.Answer.PositionMillis * nanosPerMilli
	return observation
}
