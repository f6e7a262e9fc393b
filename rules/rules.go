// Package rules decides where a driver sends each RPC of a replicated store. Build a Driver with New, hand it
// every change of the list, every RPC taken and each whose client left. It acts through its Host (api.go),
// which keeps the closures left behind and hands them their results. Calls must come one after another.
//
// The way of a request stands in this file, what a Driver knows in state.go, and what it decides by in the others: list.go, probing.go,
// gossip.go, observations.go and store_clock.go for what it learns; choice.go, freshness.go, slow_start.go and health.go for which member
// gets what. docs/design.md tells what comes from the source.
package rules

import (
	"cmp"
	"math/rand"
	"slices"
)

const (
	ms, sec = int64(1_000_000), int64(1_000_000_000)

	forgetAfter = 60 * sec // members that left and commits of sessions are kept so long
	holdPoll    = 100 * ms // an RPC held looks again this often
	unreached   = 0.45     // share of its client's time for which an RPC that no member got is held
	firstTook   = 100 * ms // answer time to expect before any was seen
	firstGap    = 2 * sec  // time between attempts of a group to expect
	firstRoom   = 9.0      // attempts of all drivers that a member may hold, before its answers teach better
	overtakers  = 2        // answers out of turn that show an attempt lost or heavy, and its member sound
)

// New makes a driver that knows nothing yet; the first List follows at once.
func New(h Host, seed int64, methods []Method, fleet Fleet, store Store, allowed Policy, slowStart SlowStart,
	notice Discovery) *Driver {
	d := &Driver{host: h, rng: rand.New(rand.NewSource(seed)), methods: methods, allowed: allowed,
		roster: roster{notice: notice}, observations: observations{store: store, fleet: fleet},
		health:  health{first: max(1, firstRoom/float64(max(1, fleet.Drivers)))},
		warming: warming{SlowStart: slowStart}, spare: 5, success: 0.5, index: map[MemberID]member{},
		groups: map[GroupID]*group{}, calls: map[RPCID]*call{}, tokens: map[string]int64{}}
	half := rarestProbe // of the smallest bound
	for _, m := range methods {
		d.soft += m.SoftDeadline / int64(len(methods))
		if m.Consistency == ConsistencyBounded {
			half = min(half, d.probeWithin(m))
		}
	}
	half = max(half, shortestProbe/2)
	d.due = min(longestProbe, max(shortestProbe, half))
	d.rarest = min(rarestProbe, d.due*int64(max(1, fleet.Drivers/2)))
	if fleet.ReportsPerMessage == 0 { // else the fellow drivers' probes serve as well
		d.rarest = min(d.rarest, half)
	}
	d.interval, d.begun, d.taken, d.gap = d.due/2, h.Now(), h.Now(), float64(firstGap)
	return d
}

// Submit accepts an RPC; it gets exactly one final answer.
func (d *Driver) Submit(rpc RPC) {
	now := d.host.Now()
	d.gap, d.taken = d.gap+0.02*(float64(now-d.taken)-d.gap), now
	method, g := &d.methods[rpc.Method], d.groups[rpc.Group]
	if g == nil { // the list names no member of it
		d.host.RejectWithRetryAfter(rpc.ID, d.allowed.MaxRetryAfter)
		return
	}
	c := &call{RPC: rpc, method: method, group: g, deadline: now + rpc.TimeLeft,
		soft: now + method.SoftDeadline - rpc.Waited, looked: nobody, lot: d.rng.Float64()}
	if method.Consistency == ConsistencySession && !d.store.CarriesSessionToken {
		c.SessionToken = max(d.tokens[rpc.Session], d.older[rpc.Session])
	}
	if rpc.IsRetry { // its client counts from its first try, and has Left of the whole time now
		c.soft -= max(0, method.Deadline-rpc.TimeLeft-rpc.Waited)
	}
	d.calls[rpc.ID] = c
	if c.last() < now+int64(g.took/2) { // no answer could still be of use: guards against storms of repeats
		d.finish(c)
		return
	}
	d.spare = min(10, d.spare+0.02+0.15*d.success)
	d.step(c)
}

// step makes the next attempt of an RPC, or holds it.
func (d *Driver) step(c *call) {
	if m := d.pick(c); m != nobody {
		d.attempt(c, m)
		return
	}
	for _, m := range c.group.members { // nobody told of it yet
		if d.allowed.Probing && d.many() && !d.met(m) {
			d.probe(m)
		}
	}
	c.held = true
	c.group.held = append(c.group.held, c)
	d.recheck(c)
}

// recheck looks at a held RPC now and then, until it goes out or no answer could be of use any more. One that
// no member got yet is given up sooner, with time left to ask again. Guards against clients kept waiting in
// vain while a primary is away; could harm where one that is away comes back within moments.
func (d *Driver) recheck(c *call) {
	now := d.host.Now()
	left := c.last() - int64(c.group.took) - now
	if !c.reached {
		left = min(left, c.deadline-int64((1-unreached)*float64(c.TimeLeft+c.Waited))-now)
	}
	switch {
	case c.ended || !c.held:
	case left <= 0:
		d.finish(c)
	default:
		d.host.After(min(left, holdPoll), func() {
			c.tried = c.tried[:0]
			d.wake(c.group)
			d.recheck(c)
		})
	}
}

// wake looks again at the RPCs held for a group, those of most utility first.
func (d *Driver) wake(g *group) {
	if g == nil || len(g.held) == 0 {
		return
	}
	queue, now := slices.DeleteFunc(g.held, func(c *call) bool { return c.ended }), d.host.Now()
	g.held = nil
	slices.SortStableFunc(queue, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.worth(now), a.worth(now)), cmp.Compare(b.soft, a.soft))
	})
	stuck := make([]bool, len(d.methods))
	for _, c := range queue {
		if looks := c.looks; !stuck[c.Method] {
			if m := d.pick(c); m != nobody {
				d.attempt(c, m)
				continue
			}
			alike := c.method.Consistency != ConsistencySession && c.MinPosition == 0 && len(c.tried) == 0 && c.risk == 0
			stuck[c.Method] = alike && c.looks == looks
		}
		g.held = append(g.held, c)
	}
}

func (d *Driver) attempt(c *call, m member) {
	now := d.host.Now()
	c.tries++
	c.tried = append(c.tried, m)
	d.out[m]++
	g := c.group
	if c.tries == 1 {
		g.observeRequest(now, !c.held && len(g.held) == 0)
	}
	c.held = false
	number, counted, wait := 0, true, d.tooLong(c, m)
	before := d.served[m] + int64(d.out[m]) // answers to come first where none overtakes another
	number = d.host.Attempt(c.ID, d.ids[m], d.patience(c, m), func(r Result) {
		if r.Outcome != Started && counted {
			d.out[m]--
		}
		d.judge(c, m, now, r, r.Latency >= wait && d.served[m] < before+overtakers)
		d.settle(c, m, now, number, r)
	})
	c.out = append(c.out, number)
	d.host.After(wait, func() {
		if counted = d.overdue(c, m, number); !counted {
			d.out[m]--
			d.wake(g)
		}
	})
}

// observeRequest notes that a request has gone out for the first time. Those that come while others are held back show too little of the traffic,
// unless they come sooner than is known.
func (g *group) observeRequest(now int64, flows bool) {
	apart := min(float64(max(now-g.last, ms/10)), 4*g.gap)
	if flows || apart < g.gap {
		g.gap += 0.05 * (apart - g.gap)
	}
	g.last = now
}

// patience is the time-out of an attempt. Where copies are not allowed an idempotent read leaves a member
// that keeps it waiting too long while there is time for another; else it waits to the deadline.
func (d *Driver) patience(c *call, m member) int64 {
	if wait := d.tooLong(c, m) * 2; !d.allowed.Hedging && d.another(c, wait) {
		return wait
	}
	return c.deadline - d.host.Now()
}

func (d *Driver) tooLong(c *call, m member) int64 {
	return max(int64(4*d.took[m]), c.method.SoftDeadline*6/10)
}

// another tells whether a further attempt of an idempotent read may be made after a wait, and be in time.
func (d *Driver) another(c *call, wait int64) bool {
	may := c.method.Effect == Idempotent && c.isRead() && c.tries < d.allowed.MaxAttempts && d.spare >= 1
	return may && d.host.Now()+wait+int64(c.group.took) <= c.deadline
}

// overdue deals with an attempt that has taken too long, and tells whether it still holds room of its member.
// On a member that answers others quickly it is lost, not slow: guards against members and links that lose a
// part of what they are sent. Could harm where a few RPCs take far longer than all others, by crowding.
func (d *Driver) overdue(c *call, m member, number int) (holds bool) {
	if c.started || !slices.Contains(c.out, number) {
		return true
	}
	if !c.ended && d.allowed.Hedging && len(c.out) == 1 && d.another(c, 0) {
		if to := d.pick(c); to != nobody { // a second copy
			d.spare--
			d.attempt(c, to)
		}
	}
	return d.strain[m] > quick
}

// settle takes the result of an attempt and decides what follows.
func (d *Driver) settle(c *call, m member, sent int64, number int, r Result) {
	if r.Outcome == Started { // the attempt is the client's now; what it ends with ends the RPC
		c.started = true
		d.cancelOut(c, number)
		return
	}
	c.out = slices.DeleteFunc(c.out, func(n int) bool { return n == number })
	c.reached = c.reached || r.Cause != ConnectFailed && r.Cause != NotSent
	if d.host.Now() < d.scarce && d.out[m] == 0 && r.Cause != ConnectFailed && !d.silent[m] {
		d.host.CloseIdle(d.ids[m])
	}
	if c.tries > 1 && r.Outcome != NotExecuted {
		d.success += 0.1 * (map[Outcome]float64{OK: 1}[r.Outcome] - d.success)
	}
	if !c.ended {
		d.next(c, m, sent, r)
	}
	d.wake(c.group)
}

func (d *Driver) next(c *call, m member, sent int64, r Result) {
	if r.Final || r.Outcome == OK {
		d.remember(c, r.Position, forgetAfter)
		d.end(c)
		return
	}
	if r.Outcome == MayHaveExecuted && c.risk == 0 {
		c.risk, c.riskZone = sent, d.zone[m]
	}
	over := c.started || c.tries >= d.allowed.MaxAttempts || d.host.Now() >= c.deadline
	switch {
	case len(c.out) > 0:
	case over || !d.mayRepeat(c, m) || r.Outcome == MayHaveExecuted && d.spare < 1:
		d.finish(c)
	default:
		if r.Outcome == MayHaveExecuted {
			d.spare--
		}
		d.step(c)
	}
}

// finish gives up on an RPC: pushed back where a further try of the client does no harm, aborted otherwise.
func (d *Driver) finish(c *call) {
	harmless := c.risk == 0 && len(c.out) == 0 || c.method.Effect == Idempotent ||
		c.method.Effect == IdempotentByToken && c.method.DedupScope == DedupEverywhere
	if harmless && d.host.Now() < c.deadline {
		d.host.RejectWithRetryAfter(c.ID, min(d.allowed.MaxRetryAfter, int64(c.group.took)))
	} else {
		d.host.Abort(c.ID)
	}
	d.end(c)
}
