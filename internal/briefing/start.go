package briefing

import (
	"fmt"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

var (
	needByName = map[string]rules.Need{"loose": rules.NeedAny, "recent": rules.NeedBounded, "own_writes": rules.NeedSession,
		"latest": rules.NeedFresh, "update": rules.NeedPrimary}
	effectByName = map[string]rules.Effect{"repeatable": rules.Idempotent, "by_key": rules.Tokened, "once": rules.NonIdempotent}
	scopeByName  = map[string]rules.Scope{"": rules.ScopeGroup, "cell": rules.ScopeGroup, "zone": rules.ScopeZone,
		"all": rules.ScopeAll}
	isGuardedByName    = map[string]bool{"": false, "none": false, "reject": true, "hold": true}
	isSubscribedByName = map[string]bool{"": false, "automatic": false, "subscribe": true}
)

// Methods parses the methods (classes) of the settings.
func (f *Fields) Methods() []rules.Method {
	readLevels := f.List("extra.readLevel")
	maxAges := f.List("extra.maxAgeUs")
	count := f.RequiredInteger("classes.count")
	if count < 0 || count > 10_000 {
		f.Fail("classes.count=%d is out of range", count)
		return nil
	}
	methods := make([]rules.Method, count)
	for i := range methods {
		prefix := fmt.Sprintf("classes.%d.", i)
		method := &methods[i]
		method.Name = f.RequiredString(prefix + "name")
		method.Effect = Lookup(f, prefix+"effect", f.RequiredString(prefix+"effect"), effectByName)
		method.Scope = Lookup(f, prefix+"keyScope", f.Value(prefix+"keyScope"), scopeByName)
		method.Window = f.MicrosOrZero(prefix + "windowUs")
		method.SoftDeadline = f.RequiredInteger(prefix+"aimUs") * nanosPerMicro
		method.Deadline = f.MicrosOrZero(prefix + "giveUpUs")
		method.Utility = f.NumberOr(prefix+"worth", 1)
		method.LateUtility = f.NumberOr(prefix+"lateWorth", 0)
		if i < len(readLevels) {
			method.Need = Lookup(f, "extra.readLevel", readLevels[i], needByName)
		}
		if i < len(maxAges) {
			method.Bound = f.ParseInteger("extra.maxAgeUs", maxAges[i]) * nanosPerMicro
		}
	}
	return methods
}

// Fleet parses the number of drivers and whether they exchange observations.
func (f *Fields) Fleet() rules.Fleet {
	fleet := rules.Fleet{Drivers: int(f.IntegerOr("fleetSize", 1))}
	if fleet.Drivers < 1 {
		f.Fail("fleetSize=%d is out of range", fleet.Drivers)
	}
	if f.BoolOr("limits.peerMessages", false) {
		fleet.News = protocol.ObservationsPerMessage
	}
	return fleet
}

// Store parses how the store protects session reads.
func (f *Fields) Store() rules.Store {
	return rules.Store{
		Guarded: Lookup(f, "extra.guards", f.Value("extra.guards"), isGuardedByName),
		Carried: f.Value("extra.tokens") == "client",
	}
}

// Limits parses what the driver may do for an RPC.
func (f *Fields) Limits() rules.Allowed {
	limits := rules.Allowed{
		Attempts: int(f.IntegerOr("limits.mostTries", 1)),
		Copies:   f.BoolOr("limits.mayDuplicate", false),
		Cancel:   f.BoolOr("limits.cancelling", false),
		Probes:   f.BoolOr("limits.probing", false),
	}
	if f.BoolOr("limits.retryAfter", false) {
		limits.ComeBack = f.MicrosOrZero("limits.maxRetryAfterUs")
	}
	return limits
}

// SlowStart parses how members that have just started are ramped up.
func (f *Fields) SlowStart() rules.SlowStart {
	return rules.SlowStart{
		Share:     f.NumberOr("safety.startCapacity", 1),
		WarmAfter: f.MicrosOrZero("safety.warmAfterUs"),
		Multiple:  f.NumberOr("safety.fallMultiple", 1),
	}
}

// Discovery parses how discovery delivers its list and announces members that leave.
func (f *Fields) Discovery() rules.Notice {
	return rules.Notice{
		Asked:     Lookup(f, "discovery", f.Value("discovery"), isSubscribedByName),
		DrainOnly: f.BoolOr("safety.softRemoval", false),
		Grace:     f.MicrosOrZero("safety.drainGraceUs"),
	}
}

// Observation parses what a load report shows of its member. Its position is relative to epoch.
func (f *Fields) Observation(epoch int64) (observation rules.Observation) {
	if _, ok := f.Get("x0"); !ok {
		return observation
	}
	observation.Position = epoch + f.RequiredSeconds("x0")
	observation.Role = rules.RoleReplica
	if f.NumberOr("x1", 0) >= 0.5 {
		observation.Role = rules.RolePrimary
	}
	return observation
}
