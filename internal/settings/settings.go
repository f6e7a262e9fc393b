package settings

import (
	"fmt"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

var (
	consistencyByName = map[string]rules.Consistency{"loose": rules.ConsistencyAny, "recent": rules.ConsistencyBounded, "own_writes": rules.ConsistencySession,
		"latest": rules.ConsistencyLinearizable, "update": rules.ConsistencyWrite}
	effectByName     = map[string]rules.Effect{"repeatable": rules.Idempotent, "by_key": rules.IdempotentByToken, "once": rules.NonIdempotent}
	dedupScopeByName = map[string]rules.DedupScope{"": rules.DedupInGroup, "cell": rules.DedupInGroup, "zone": rules.DedupInZone,
		"all": rules.DedupEverywhere}
	rejectsStaleReadsByName = map[string]bool{"": false, "none": false, "reject": true, "hold": true}
	onRequestByName         = map[string]bool{"": false, "automatic": false, "subscribe": true}
)

// maxMethods limits the number of methods in the settings.
const maxMethods = 10_000

// Methods parses the methods, which the settings call classes.
func (f *Fields) Methods() []rules.Method {
	readLevels := f.List("extra.readLevel")
	maxAges := f.List("extra.maxAgeUs")
	count := f.RequiredInteger("classes.count")
	if count < 0 || count > maxMethods {
		f.Fail("classes.count=%d is out of range", count)
		return nil
	}
	methods := make([]rules.Method, count)
	for i := range methods {
		prefix := fmt.Sprintf("classes.%d.", i)
		method := &methods[i]
		method.Name = f.RequiredString(prefix + "name")
		method.Effect = Lookup(f, prefix+"effect", f.RequiredString(prefix+"effect"), effectByName)
		method.DedupScope = Lookup(f, prefix+"keyScope", f.Value(prefix+"keyScope"), dedupScopeByName)
		method.DedupWindow = f.MicrosOrZero(prefix + "windowUs")
		method.SoftDeadline = f.RequiredInteger(prefix+"aimUs") * nanosPerMicro
		method.Deadline = f.MicrosOrZero(prefix + "giveUpUs")
		method.Utility = f.NumberOr(prefix+"worth", 1)
		method.LateUtility = f.NumberOr(prefix+"lateWorth", 0)
		if i < len(readLevels) {
			method.Consistency = Lookup(f, "extra.readLevel", readLevels[i], consistencyByName)
		}
		if i < len(maxAges) {
			method.MaxStaleness = f.ParseInteger("extra.maxAgeUs", maxAges[i]) * nanosPerMicro
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
		fleet.ReportsPerMessage = protocol.ObservationsPerMessage
	}
	return fleet
}

// Store parses how the store protects session reads.
func (f *Fields) Store() rules.Store {
	return rules.Store{
		RejectsStaleReads:   Lookup(f, "extra.guards", f.Value("extra.guards"), rejectsStaleReadsByName),
		CarriesSessionToken: f.Value("extra.tokens") == "client",
	}
}

// Limits parses what the driver may do for an RPC.
func (f *Fields) Limits() rules.Policy {
	limits := rules.Policy{
		MaxAttempts:  int(f.IntegerOr("limits.mostTries", 1)),
		Hedging:      f.BoolOr("limits.mayDuplicate", false),
		Cancellation: f.BoolOr("limits.cancelling", false),
		Probing:      f.BoolOr("limits.probing", false),
	}
	if f.BoolOr("limits.retryAfter", false) {
		limits.MaxRetryAfter = f.MicrosOrZero("limits.maxRetryAfterUs")
	}
	return limits
}

// SlowStart parses how members that have just started are ramped up.
func (f *Fields) SlowStart() rules.SlowStart {
	return rules.SlowStart{
		InitialShare:   f.NumberOr("safety.startCapacity", 1),
		WarmUpTime:     f.MicrosOrZero("safety.warmAfterUs"),
		OverloadFactor: f.NumberOr("safety.fallMultiple", 1),
	}
}

// Discovery parses how discovery delivers its list and announces members that leave.
func (f *Fields) Discovery() rules.Discovery {
	return rules.Discovery{
		OnRequest:      Lookup(f, "discovery", f.Value("discovery"), onRequestByName),
		OnlyDrainBinds: f.BoolOr("safety.softRemoval", false),
		DrainGrace:     f.MicrosOrZero("safety.drainGraceUs"),
	}
}

// Observation parses the role and position in a member's load report. The position is relative to epoch.
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
