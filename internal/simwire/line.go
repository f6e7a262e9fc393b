package simwire

import (
	"sedgespread/internal/settings"
	"sedgespread/rules"
)

const (
	microsecond    = int64(1000)      // in nanoseconds
	millisecond    = int64(1_000_000) // in nanoseconds
	posRoleDivisor = 4                // posRole is this times the position in milliseconds, plus the role
)

var (
	states = map[string]rules.MemberState{"healthy": rules.Healthy, "cordoned": rules.Draining, "deregistered": rules.Deregistered}
	modes  = map[string]bool{"INCREMENTAL": false, "FULL": true, "SAVED": true}
)

// attemptOutcome is the meaning of an outcome code on the wire.
type attemptOutcome struct {
	outcome rules.Outcome
	cause   rules.Cause
}

var outcomes = map[string]attemptOutcome{
	"200": {rules.OK, rules.NoCause},
	"404": {rules.NotExecuted, rules.Ineligible},
	"410": {rules.NotExecuted, rules.NotSent},
	"499": {rules.MayHaveExecuted, rules.Cancelled},
	"500": {rules.MayHaveExecuted, rules.ServerError},
	"502": {rules.NotExecuted, rules.ConnectFailed},
	"503": {rules.NotExecuted, rules.Overloaded},
	"504": {rules.MayHaveExecuted, rules.TimedOut},
	"598": {rules.MayHaveExecuted, rules.Reset},
}

func parseMember(fields *settings.Fields) rules.MemberEntry {
	return rules.MemberEntry{
		Member:  rules.MemberID(fields.RequiredID("member")),
		Group:   rules.GroupID(fields.IntegerOr("group", 0)),
		Zone:    fields.Value("hall"),
		State:   settings.Lookup(fields, "stageState", fields.RequiredString("stageState"), states),
		Started: fields.MicrosOrZero("bootTimeUs"),
		Primary: fields.NumberOr("head", 0) == 1,
		Weight:  fields.NumberOr("size", 0),
	}
}

func parseResult(fields *settings.Fields, epoch int64) rules.Result {
	outcome := settings.Lookup(fields, "outcome", fields.RequiredString("outcome"), outcomes)
	r := rules.Result{Outcome: outcome.outcome, Cause: outcome.cause, Latency: fields.MicrosOrZero("waitTimeUs"), Final: fields.BoolOr("final", false)}
	positionRole := fields.IntegerOr("posRole", 0)
	if positionRole < 0 || positionRole%posRoleDivisor == 3 {
		fields.Fail("posRole=%d is not a position and role", positionRole)
	}
	r.Role = rules.Role(positionRole % posRoleDivisor)
	if positionRole >= posRoleDivisor {
		r.Position = epoch + positionRole/posRoleDivisor*millisecond
	}
	return r
}

func parseProbeResult(fields *settings.Fields, epoch int64) rules.ProbeResult {
	outcome := settings.Lookup(fields, "outcome", fields.RequiredString("outcome"), outcomes)
	r := rules.ProbeResult{Cause: outcome.cause}
	var report settings.Fields
	report.Parse("report,"+fields.Value("report"), ",", ":")
	r.Report = report.Observation(epoch)
	if report.Err != nil && fields.Err == nil {
		fields.Err = report.Err
	}
	return r
}
