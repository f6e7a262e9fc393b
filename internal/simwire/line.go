package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sedgespread/rules"
)

const micro = int64(1000)

// fields are the name=value parts of one line. The first thing found wrong with them is kept in err.
type fields struct {
	name  string
	parts []part
	err   error
}

type part struct{ name, value string }

// parse reads a line, or a report's parts, into f, which is used again for each line.
func (f *fields) parse(line, between, equals string) {
	f.name, line, _ = strings.Cut(line, between)
	f.parts, f.err = f.parts[:0], nil
	for more := line != ""; more; {
		var text string
		text, line, more = strings.Cut(line, between)
		name, value, ok := strings.Cut(text, equals)
		if !ok || name == "" {
			f.wrong("part %q is not name%svalue", text, equals)
			continue
		}
		f.parts = append(f.parts, part{name, value})
	}
}

// get finds a part; lines are short, so that a look along them beats a map.
func (f *fields) get(name string) (string, bool) {
	for _, p := range f.parts {
		if p.name == name {
			return p.value, true
		}
	}
	return "", false
}

func (f *fields) at(name string) string {
	value, _ := f.get(name)
	return value
}

func (f *fields) wrong(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", f.name, fmt.Sprintf(format, args...))
	}
}

func (f *fields) text(name string) string {
	value, ok := f.get(name)
	if !ok {
		f.wrong("%s is missing", name)
	}
	return value
}

// integer reads a whole number that must be there.
func (f *fields) integer(name string) int64 {
	return f.asInteger(name, f.text(name))
}

func (f *fields) asInteger(name, value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil && f.err == nil {
		f.wrong("%s=%q is not a whole number", name, value)
	}
	return n
}

func (f *fields) id(name string) uint32 {
	n := f.integer(name)
	if n < 0 || n > math.MaxUint32 {
		f.wrong("%s=%d is out of range", name, n)
	}
	return uint32(n)
}

func (f *fields) integerOr(name string, other int64) int64 {
	if value, ok := f.get(name); ok {
		return f.asInteger(name, value)
	}
	return other
}

func (f *fields) numberOr(name string, other float64) float64 {
	value, ok := f.get(name)
	if !ok {
		return other
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.wrong("%s=%q is not a number", name, value)
		return other
	}
	return x
}

func (f *fields) boolOr(name string, other bool) bool {
	switch value, ok := f.get(name); {
	case !ok:
		return other
	case value == "1" || value == "true":
		return true
	case value == "0" || value == "false":
		return false
	default:
		f.wrong("%s=%q is neither true nor false", name, value)
		return other
	}
}

// time reads microseconds as nanoseconds, 0 when absent.
func (f *fields) time(name string) int64 {
	n := f.integerOr(name, 0)
	if n > math.MaxInt64/micro || n < math.MinInt64/micro {
		f.wrong("%s=%d is out of range", name, n)
		return 0
	}
	return n * micro
}

func (f *fields) list(name string) []string {
	if f.at(name) == "" {
		return nil
	}
	return strings.Split(f.at(name), ",")
}

// choice reads one of the words of a table.
func choice[T any](f *fields, name, value string, table map[string]T) T {
	got, ok := table[value]
	if !ok {
		f.wrong("%s=%q is not known", name, value)
	}
	return got
}

var (
	needs = map[string]rules.Need{"loose": rules.NeedAny, "recent": rules.NeedBounded, "own_writes": rules.NeedSession,
		"latest": rules.NeedFresh, "update": rules.NeedPrimary}
	effects = map[string]rules.Effect{"repeatable": rules.Idempotent, "by_key": rules.Tokened, "once": rules.NonIdempotent}
	scopes  = map[string]rules.Scope{"": rules.ScopeGroup, "cell": rules.ScopeGroup, "zone": rules.ScopeZone, "all": rules.ScopeAll}
	states  = map[string]rules.State{"healthy": rules.Healthy, "cordoned": rules.Draining, "deregistered": rules.Gone}
	guards  = map[string]bool{"": false, "none": false, "reject": true, "hold": true}
	modes   = map[string]bool{"INCREMENTAL": false, "FULL": true, "SAVED": true}
	asks    = map[string]bool{"": false, "automatic": false, "subscribe": true}
	roles   = map[int64]rules.Role{0: rules.RoleUnknown, 1: rules.RolePrimary, 2: rules.RoleReplica}
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

func (f *fields) methods() []rules.Method {
	read := f.list("extra.readLevel")
	bounds := f.list("extra.maxAgeUs")
	count := f.integer("classes.count")
	if count < 0 || count > 10_000 {
		f.wrong("classes.count=%d is out of range", count)
		return nil
	}
	methods := make([]rules.Method, count)
	for i := range methods {
		at := fmt.Sprintf("classes.%d.", i)
		m := &methods[i]
		m.Name = f.text(at + "name")
		m.Effect = choice(f, at+"effect", f.text(at+"effect"), effects)
		m.Scope = choice(f, at+"keyScope", f.at(at+"keyScope"), scopes)
		m.Window = f.time(at + "windowUs")
		m.SoftDeadline = f.integer(at+"aimUs") * micro
		m.Deadline = f.time(at + "giveUpUs")
		m.Utility = f.numberOr(at+"worth", 1)
		m.LateUtility = f.numberOr(at+"lateWorth", 0)
		if i < len(read) {
			m.Need = choice(f, "extra.readLevel", read[i], needs)
		}
		if i < len(bounds) {
			m.Bound = f.asInteger("extra.maxAgeUs", bounds[i]) * micro
		}
	}
	return methods
}

func (f *fields) crew() rules.Crew {
	c := rules.Crew{Drivers: int(f.integerOr("fleetSize", 1))}
	if c.Drivers < 1 {
		f.wrong("fleetSize=%d is out of range", c.Drivers)
	}
	if f.boolOr("limits.peerMessages", false) {
		c.News = messageBytes / newsBytes
	}
	return c
}

func (f *fields) store() rules.Store {
	return rules.Store{
		Guarded: choice(f, "extra.guards", f.at("extra.guards"), guards),
		Carried: f.at("extra.tokens") == "client",
	}
}

func (f *fields) allowed() rules.Allowed {
	a := rules.Allowed{
		CallOuts: int(f.integerOr("limits.mostTries", 1)),
		Copies:   f.boolOr("limits.mayDuplicate", false),
		Cancel:   f.boolOr("limits.cancelling", false),
		Probes:   f.boolOr("limits.probing", false),
	}
	if f.boolOr("limits.retryAfter", false) {
		a.ComeBack = f.time("limits.maxRetryAfterUs")
	}
	return a
}

func (f *fields) thaw() rules.Thaw {
	return rules.Thaw{
		Share:     f.numberOr("safety.startCapacity", 1),
		WarmAfter: f.time("safety.warmAfterUs"),
		Multiple:  f.numberOr("safety.fallMultiple", 1),
	}
}

func (f *fields) notice() rules.Notice {
	return rules.Notice{
		Asked:     choice(f, "discovery", f.at("discovery"), asks),
		DrainOnly: f.boolOr("safety.softRemoval", false),
	}
}

func (f *fields) listing() rules.Listing {
	return rules.Listing{
		Member:  rules.MemberID(f.id("member")),
		Group:   rules.GroupID(f.integerOr("group", 0)),
		Zone:    f.at("hall"),
		State:   choice(f, "stageState", f.text("stageState"), states),
		Started: f.time("bootTimeUs"),
		Primary: f.numberOr("head", 0) == 1,
	}
}

func (f *fields) result(epoch int64) rules.Result {
	end := choice(f, "outcome", f.text("outcome"), endings)
	r := rules.Result{Proof: end.proof, Cause: end.cause, Took: f.time("waitTimeUs"), Final: f.boolOr("final", false)}
	note := f.integerOr("posRole", 0)
	if note < 0 || note%4 == 3 {
		f.wrong("posRole=%d is not a position and role", note)
	}
	r.Role = roles[note%4]
	if note >= 4 {
		r.Position = epoch + note/4*int64(1_000_000)
	}
	return r
}

func (f *fields) probeResult(epoch int64) rules.ProbeResult {
	end := choice(f, "outcome", f.text("outcome"), endings)
	r := rules.ProbeResult{Cause: end.cause}
	var load fields
	load.parse("report,"+f.at("report"), ",", ":")
	if _, ok := load.get("x0"); ok {
		r.Position = epoch + int64(load.numberOr("x0", 0)*1e9)
		r.Role = rules.RoleReplica
		if load.numberOr("x1", 0) >= 0.5 {
			r.Role = rules.RolePrimary
		}
	}
	if load.err != nil && f.err == nil {
		f.err = load.err
	}
	return r
}
