package briefing

import (
	"fmt"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

var (
	needs = map[string]rules.Need{"loose": rules.NeedAny, "recent": rules.NeedBounded, "own_writes": rules.NeedSession,
		"latest": rules.NeedFresh, "update": rules.NeedPrimary}
	effects = map[string]rules.Effect{"repeatable": rules.Idempotent, "by_key": rules.Tokened, "once": rules.NonIdempotent}
	scopes  = map[string]rules.Scope{"": rules.ScopeGroup, "cell": rules.ScopeGroup, "zone": rules.ScopeZone, "all": rules.ScopeAll}
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
		m.Scope = Lookup(p, at+"keyScope", p.Value(at+"keyScope"), scopes)
		m.Window = p.TimeOrZero(at + "windowUs")
		m.SoftDeadline = p.RequiredInteger(at+"aimUs") * micro
		m.Deadline = p.TimeOrZero(at + "giveUpUs")
		m.Utility = p.NumberOr(at+"worth", 1)
		m.LateUtility = p.NumberOr(at+"lateWorth", 0)
		if i < len(read) {
			m.Need = Lookup(p, "extra.readLevel", read[i], needs)
		}
		if i < len(bounds) {
			m.Bound = p.ParseInteger("extra.maxAgeUs", bounds[i]) * micro
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
		c.News = protocol.ObservationsPerMessage
	}
	return c
}

func (p *Fields) Store() rules.Store {
	return rules.Store{
		Guarded: Lookup(p, "extra.guards", p.Value("extra.guards"), guards),
		Carried: p.Value("extra.tokens") == "client",
	}
}

func (p *Fields) Limits() rules.Allowed {
	a := rules.Allowed{
		Attempts: int(p.IntegerOr("limits.mostTries", 1)),
		Copies:   p.BoolOr("limits.mayDuplicate", false),
		Cancel:   p.BoolOr("limits.cancelling", false),
		Probes:   p.BoolOr("limits.probing", false),
	}
	if p.BoolOr("limits.retryAfter", false) {
		a.ComeBack = p.TimeOrZero("limits.maxRetryAfterUs")
	}
	return a
}

func (p *Fields) SlowStart() rules.SlowStart {
	return rules.SlowStart{
		Share:     p.NumberOr("safety.startCapacity", 1),
		WarmAfter: p.TimeOrZero("safety.warmAfterUs"),
		Multiple:  p.NumberOr("safety.fallMultiple", 1),
	}
}

func (p *Fields) Discovery() rules.Notice {
	return rules.Notice{
		Asked:     Lookup(p, "discovery", p.Value("discovery"), asks),
		DrainOnly: p.BoolOr("safety.softRemoval", false),
		Grace:     p.TimeOrZero("safety.drainGraceUs"),
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
