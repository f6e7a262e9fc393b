package simwire

import (
	"sedgespread/internal/briefing"
	"sedgespread/rules"
)

const micro = int64(1000)

var (
	states = map[string]rules.State{"healthy": rules.Healthy, "cordoned": rules.Draining, "deregistered": rules.Gone}
	modes  = map[string]bool{"INCREMENTAL": false, "FULL": true, "SAVED": true}
)

// ending is what an outcome number proves, and why.
type ending struct {
	proof rules.Proof
	cause rules.Cause
}

var endings = map[string]ending{
	"200": {rules.OK, rules.NoCause},
	"404": {rules.NeverRan, rules.Missed},
	"410": {rules.NeverRan, rules.Moot},
	"499": {rules.MayHaveRun, rules.Cancelled},
	"500": {rules.MayHaveRun, rules.Errored},
	"502": {rules.NeverRan, rules.NoConnect},
	"503": {rules.NeverRan, rules.Full},
	"504": {rules.MayHaveRun, rules.TimedOut},
	"598": {rules.MayHaveRun, rules.Reset},
}

func listing(f *briefing.Fields) rules.Listing {
	return rules.Listing{
		Member:  rules.MemberID(f.RequiredID("member")),
		Group:   rules.GroupID(f.IntegerOr("group", 0)),
		Zone:    f.Value("hall"),
		State:   briefing.Lookup(f, "stageState", f.RequiredString("stageState"), states),
		Started: f.MicrosOrZero("bootTimeUs"),
		Primary: f.NumberOr("head", 0) == 1,
		Size:    f.NumberOr("size", 0),
	}
}

func result(f *briefing.Fields, epoch int64) rules.Result {
	end := briefing.Lookup(f, "outcome", f.RequiredString("outcome"), endings)
	r := rules.Result{Proof: end.proof, Cause: end.cause, Took: f.MicrosOrZero("waitTimeUs"), Final: f.BoolOr("final", false)}
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
