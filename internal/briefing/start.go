package briefing

import (
	"fmt"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

var (
	needs = map[string]rules.Consistency{"loose": rules.ConsistencyAny, "recent": rules.ConsistencyBounded, "own_writes": rules.ConsistencySession,
		"latest": rules.ConsistencyLinearizable, "update": rules.ConsistencyWrite}
	effects = map[string]rules.Effect{"repeatable": rules.Idempotent, "by_key": rules.IdempotentByToken, "once": rules.NonIdempotent}
	scopes  = map[string]rules.DedupScope{"": rules.DedupInGroup, "cell": rules.DedupInGroup, "zone": rules.DedupInZone, "all": rules.DedupEverywhere}
	guards  = map[string]bool{"": false, "none": false, "reject": true, "hold": true}
	asks    = map[string]bool{"": false, "automatic": false, "subscribe": true}
)

func (p *Fields) Methods() []rules.Method {
	read := p.List("extra.readLevel")
	bounds := p.List("extra.maxAgeUs")
	count := p.RequiredInteger("classes.count")
	if count < 0 || count > 10_000 {
		p.Fail("classes.count=%d is out of range", count)
		return nil
	}
	methods := make([]rules.Method, count)
	for i := range methods {
		at := fmt.Sprintf("classes.%d.", i)
		m := &methods[i]
		m.Name = p.RequiredString(at + "name")
		m.Effect = Lookup(p, at+"effect", p.RequiredString(at+"effect"), effects)
		m.DedupScope = Lookup(p, at+"keyScope", p.Value(at+"keyScope"), scopes)
		m.DedupWindow = p.MicrosOrZero(at + "windowUs")
		m.SoftDeadline = p.RequiredInteger(at+"aimUs") * micro
		m.Deadline = p.MicrosOrZero(at + "giveUpUs")
		m.Utility = p.NumberOr(at+"worth", 1)
		m.LateUtility = p.NumberOr(at+"lateWorth", 0)
		if i < len(read) {
			m.Consistency = Lookup(p, "extra.readLevel", read[i], needs)
		}
		if i < len(bounds) {
			m.MaxStaleness = p.ParseInteger("extra.maxAgeUs", bounds[i]) * micro
		}
	}
	return methods
}

func (p *Fields) Fleet() rules.Fleet {
	c := rules.Fleet{Drivers: int(p.IntegerOr("fleetSize", 1))}
	if c.Drivers < 1 {
		p.Fail("fleetSize=%d is out of range", c.Drivers)
	}
	if p.BoolOr("limits.peerMessages", false) {
		c.ReportsPerMessage = protocol.ObservationsPerMessage
	}
	return c
}

func (p *Fields) Store() rules.Store {
	return rules.Store{
		RejectsStaleReads:   Lookup(p, "extra.guards", p.Value("extra.guards"), guards),
		CarriesSessionToken: p.Value("extra.tokens") == "client",
	}
}

func (p *Fields) Limits() rules.Policy {
	a := rules.Policy{
		MaxAttempts:  int(p.IntegerOr("limits.mostTries", 1)),
		Hedging:      p.BoolOr("limits.mayDuplicate", false),
		Cancellation: p.BoolOr("limits.cancelling", false),
		Probing:      p.BoolOr("limits.probing", false),
	}
	if p.BoolOr("limits.retryAfter", false) {
		a.MaxRetryAfter = p.MicrosOrZero("limits.maxRetryAfterUs")
	}
	return a
}

func (p *Fields) SlowStart() rules.SlowStart {
	return rules.SlowStart{
		InitialShare:   p.NumberOr("safety.startCapacity", 1),
		WarmUpTime:     p.MicrosOrZero("safety.warmAfterUs"),
		OverloadFactor: p.NumberOr("safety.fallMultiple", 1),
	}
}

func (p *Fields) Discovery() rules.Discovery {
	return rules.Discovery{
		OnRequest:      Lookup(p, "discovery", p.Value("discovery"), asks),
		OnlyDrainBinds: p.BoolOr("safety.softRemoval", false),
		DrainGrace:     p.MicrosOrZero("safety.drainGraceUs"),
	}
}

// Observation reads what a load report shows of its member. Positions count from epoch.
func (p *Fields) Observation(epoch int64) (s rules.Observation) {
	if _, ok := p.Get("x0"); !ok {
		return s
	}
	s.Position = epoch + p.RequiredSeconds("x0")
	s.Role = rules.RoleReplica
	if p.NumberOr("x1", 0) >= 0.5 {
		s.Role = rules.RolePrimary
	}
	return s
}
