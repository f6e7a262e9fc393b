package simwire

import (
	"sedgespread/internal/briefing"
	"sedgespread/rules"
)

const micro = int64(1000)

var (
	states = map[string]rules.MemberState{"healthy": rules.Healthy, "cordoned": rules.Draining, "deregistered": rules.Deregistered}
	modes  = map[string]bool{"INCREMENTAL": false, "FULL": true, "SAVED": true}
)

// ending is what an outcome number proves, and why.
type ending struct {
	proof rules.Outcome
	cause rules.Cause
}

var endings = map[string]ending{
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

func listing(f *briefing.Fields) rules.MemberEntry {
	return rules.MemberEntry{
		Member:  rules.MemberID(f.RequiredID("member")),
		Group:   rules.GroupID(f.IntegerOr("group", 0)),
		Zone:    f.Value("hall"),
		State:   briefing.Lookup(f, "stageState", f.RequiredString("stageState"), states),
		Started: f.MicrosOrZero("bootTimeUs"),
		Primary: f.NumberOr("head", 0) == 1,
		Weight:  f.NumberOr("size", 0),
	}
}

func result(f *briefing.Fields, epoch int64) rules.Result {
	end := briefing.Lookup(f, "outcome", f.RequiredString("outcome"), endings)
	r := rules.Result{Outcome: end.proof, Cause: end.cause, Latency: f.MicrosOrZero("waitTimeUs"), Final: f.BoolOr("final", false)}
	note := f.IntegerOr("posRole", 0)
	if note < 0 || note%4 == 3 {
		f.Fail("posRole=%d is not a position and role", note)
	}
	r.Role = rules.Role(note % 4)
	if note >= 4 {
		r.Position = epoch + note/4*int64(1_000_000)
	}
	return r
}

func probeResult(f *briefing.Fields, epoch int64) rules.ProbeResult {
	end := briefing.Lookup(f, "outcome", f.RequiredString("outcome"), endings)
	r := rules.ProbeResult{Cause: end.cause}
	var load briefing.Fields
	load.Parse("report,"+f.Value("report"), ",", ":")
	r.Report = load.Observation(epoch)
	if load.Err != nil && f.Err == nil {
		f.Err = load.Err
	}
	return r
}
