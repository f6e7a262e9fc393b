// Package rules decides where a driver sends each RPC of a replicated store. Build a Driver with New, hand it
// every change of the list, every RPC taken and each whose client left. It acts through its Host (api.go),
// which keeps the closures left behind and hands them their results. What a Driver knows lies in state.go,
// decided is all here. Calls must come one after another. docs/design.md tells what comes from the source.
package rules

import (
	"cmp"
	"math/rand"
	"slices"
)

const (
	ms, sec = int64(1_000_000), int64(1_000_000_000)

	shortestProbe = 100 * ms // a position is old after half of the smallest bound, kept within these
	longestProbe  = 250 * ms
	rarestProbe   = 10 * sec // most time between own probes of a member
	newsApart     = 3 * ms   // a driver hears no more than one message of its fellows in this time
	newsRare      = 8 * ms   // nor need they be rarer than this
	newsFor       = 12.0     // else a driver sends one for so many RPCs that it takes
	lookApart     = ms       // as many new members are looked at at once as follow in a hush so far apart
	newcomers     = 8 * ms   // of many drivers that start one looks at a member for the first time in this time
	hush          = 150 * ms // a probe unanswered for so long makes its member silent
	longHush      = sec      // after so long a silence a member may have restarted
	handover      = 200 * ms // a member that turned a write away is not believed primary again for so long
	window        = 15 * ms  // width of the latency window above the fastest
	wideWindow    = 0.25     // and this share of the fastest on top
	widest        = 1.0      // or this, of many drivers, each of which knows answer times by few
	fullRest      = 40 * ms  // a member that turned work away is left alone so long
	scarceFor     = 2 * sec  // connections are scarce so long after a live member refused one
	forgetAfter   = 60 * sec // members that left and commits of sessions are kept so long
	holdPoll      = 100 * ms // an RPC held looks again this often
	unreached     = 0.45     // share of its client's time for which an RPC that no member got is held
	firstTook     = 100 * ms // answer time to expect before any was seen
	firstGap      = 2 * sec  // time between attempts of a group to expect
	firstRoom     = 9.0      // attempts of all drivers that a member may hold, before its answers teach better
	mostLooks     = 2        // replicas probed for one read
	savedUp       = 2.0      // attempts of a group for which a cold member's share is saved up
	readShare     = 0.6      // of the primary's room that reads may fill
	jammed        = 2.0      // the primary helps out when it would answer so many times sooner
	crowded       = 1.3      // or so many times, of many drivers
	strained      = 0.33     // smoothed share of the soft deadline that answers may take
	quick         = 0.2      // strain below which what is overdue was lost, not slow
	strikesOut    = 3        // attempts lost in a row that set a member aside
	wrongShare    = 0.2      // of an answer in the smoothed share of errors
	wrongFor      = 10 * sec // errors count ever less, and no more after this time
	overtakers    = 2        // answers out of turn that show an attempt lost or heavy, and its member sound
)

// New makes a driver that knows nothing yet; the first List follows at once.
func New(h Host, seed int64, methods []Method, crew Crew, store Store, allowed Allowed, thaw Thaw,
	notice Notice) *Driver {
	d := &Driver{host: h, rng: rand.New(rand.NewSource(seed)), methods: methods, allowed: allowed,
		roster: roster{notice: notice}, observations: observations{store: store, crew: crew},
		health:  health{first: max(1, firstRoom/float64(max(1, crew.Drivers)))},
		thawing: thawing{Thaw: thaw}, spare: 5, success: 0.5, index: map[MemberID]member{},
		groups: map[GroupID]*group{}, calls: map[RPCID]*call{}, tokens: map[string]int64{}}
	half := rarestProbe // of the smallest bound
	for _, m := range methods {
		d.soft += m.SoftDeadline / int64(len(methods))
		if m.Need == NeedBounded {
			half = min(half, d.probeWithin(m))
		}
	}
	half = max(half, shortestProbe/2)
	d.due = min(longestProbe, max(shortestProbe, half))
	d.rarest = min(rarestProbe, d.due*int64(max(1, crew.Drivers/2)))
	if crew.News == 0 { // else the fellow drivers' probes serve as well
		d.rarest = min(d.rarest, half)
	}
	d.interval, d.begun, d.taken, d.gap = d.due/2, h.Now(), h.Now(), float64(firstGap)
	return d
}

// List takes the list or, when whole is false, what changed in it.
func (d *Driver) List(lines []Listing, whole bool) {
	for m := 0; whole && m < len(d.state); m++ {
		d.listed(member(m), Gone) // unless it is listed below
	}
	for _, l := range lines {
		m, known := d.index[l.Member]
		if !known && l.State != Healthy {
			d.host.Forget(l.Member)
			continue
		} else if !known {
			m = d.add(l, float64(firstTook), float64(firstGap), d.first)
		}
		d.listed(m, l.State)
		if l.Size > 0 {
			d.size[m] = l.Size
		}
		d.listing[m] = max(d.listing[m], l.Started)
		if g := d.of[m]; l.Primary && g.primary == nobody && d.known[m].role == RoleUnknown {
			g.primary = m
		}
	}
	d.watch()
	for _, l := range lines {
		d.wake(d.groups[l.Group])
	}
}

// listed notes a member's state. One that drained and then left still drains, where only draining binds.
func (d *Driver) listed(m member, s State) {
	if s != Gone || d.state[m] != Draining {
		d.state[m] = s
	}
	if s == Healthy && !d.kept[m] {
		d.keep(m)
		if d.allowed.Probes {
			d.firstLook(m)
		}
	}
}

// firstLook begins to probe a new member: the first driver to look tells the others. Where drivers tell
// nothing each looks at once, but not at more than it may have connections: who is kept waiting seems silent.
func (d *Driver) firstLook(m member) {
	if d.crew.News > 0 {
		apart := fewOrMany(d, ms, newcomers)
		d.host.After(d.upTo(apart*int64(d.crew.Drivers)), func() { d.probeLoop(m) })
		return
	}
	now := d.host.Now()
	if d.looking = max(now-hush, d.looking+lookApart); d.looking > now {
		d.host.After(d.looking-now, func() { d.probeLoop(m) })
		return
	}
	d.probeLoop(m)
}

// ListFailed hears that asking for the list failed, or that the watch broke off: it is asked for again. An
// agent has no other callers, and what it has when it is back counts at once: it is asked within the grace.
// One pause at a time, lest calls that fail while another is awaited multiply.
func (d *Driver) ListFailed() {
	d.asked = false
	if d.pausing {
		return
	}
	d.pausing = true
	pause := sec/2 + d.upTo(3*sec/2)
	if d.notice.Agent {
		pause = min(pause, d.notice.Grace/4)
	}
	d.host.After(pause, func() {
		d.pausing = false
		d.watch()
	})
}

func (d *Driver) watch() {
	if d.notice.Asked && !d.asked {
		d.asked = true
		d.host.Watch()
	}
}

// probeLoop probes a member for as long as the list has it. An answer, or a fellow driver's news, that
// brought a position since stands in for the probe. In the mean it makes no more probes than it takes RPCs.
func (d *Driver) probeLoop(m member) {
	now := d.host.Now()
	idle := d.out[m] == 0 && d.asking[m] == 0
	if idle && d.state[m] != Healthy && now-max(d.heard[m], d.known[m].learned) > forgetAfter {
		d.drop(m)
		return
	}
	learned := d.known[m].learned
	wait, age := min(d.rarest, max(2*d.due, int64(d.gap*float64(d.keeping)))), now-learned
	enough := wait
	if d.crew.News == 0 || !d.many() {
		enough = min(wait, 2*d.due)
	}
	if d.here(m) && (d.silent[m] || learned == 0 || d.old(m) && age >= enough) {
		d.probe(m)
	} else if age < d.due {
		wait -= age
	}
	wait = max(wait, soonestLook)
	d.host.After(wait+d.upTo(wait/4), func() { d.probeLoop(m) })
}

// old tells whether a probe could bring a better position: who was far behind needs half of that to catch up.
func (d *Driver) old(m member) bool {
	k := &d.known[m]
	return k.learned == 0 || d.host.Now()-k.learned >= max(d.due, min(k.lag, 4*sec)/2)
}

func (d *Driver) probe(m member) {
	now := d.host.Now()
	if d.asking[m] != 0 || !d.kept[m] || !d.here(m) {
		return // one is on its way, or the member was dropped, or is to get nothing new
	}
	d.asking[m] = now
	d.host.Probe(d.ids[m], func(r ProbeResult) { d.probed(m, r) })
	d.host.After(hush, func() {
		if d.asking[m] == now && d.heard[m] <= now {
			d.hushed(m)
		}
	})
}

func (d *Driver) probed(m member, r ProbeResult) {
	asked := d.asking[m]
	d.asking[m] = 0
	if r.Cause == Moot { // it was never sent
		return
	}
	d.lookedAt[m] = d.host.Now()
	if r.Cause == NoCause || r.Cause == Full || r.Cause == Errored { // whatever it answers it is alive
		d.alive(m, r.Opened)
		d.observe(m, r.Report, byReport, asked)
		d.observe(m, r.Sighting, byAnswer, asked)
	} else if d.host.Now()-d.heard[m] >= hush { // else it lives, and only the probe's connection broke
		d.hushed(m)
		if d.crew.News == 0 { // look again soon: it may have stood still for a moment
			d.host.After(max(d.due, d.host.Now()-d.since[m]), func() { d.probe(m) })
		}
	}
	d.wake(d.of[m])
}

// tell passes on to the fellow drivers what was learned first-hand and they are likely not to know, at once
// or when their number allows.
func (d *Driver) tell(m member) {
	d.untold[m] = d.crew.News > 0
	if d.telling || !d.untold[m] {
		return
	}
	d.telling = true
	crew := int64(d.crew.Drivers)
	apart := min(newsRare*crew, max(newsApart*crew, int64(newsFor*d.gap)))
	d.host.After(d.told+max(d.interval, apart)-d.host.Now(), func() {
		d.telling = false
		var news []News
		for m, untold := range d.untold {
			d.untold[m] = false
			if untold && len(news) < d.crew.News && d.host.Now()-d.known[m].learned < d.due {
				ran := int64(0)
				if d.opened[m] != 0 {
					ran = d.heard[m] - d.opened[m]
				}
				news = append(news, News{d.ids[m], Sighting{Role: d.known[m].role, Position: d.known[m].position}, d.answered[m],
					d.erred[m], ran})
				d.answered[m], d.erred[m] = 0, false
			}
		}
		if len(news) > 0 {
			d.told = d.host.Now()
			d.host.Tell(news)
		}
	})
}

// Told takes in a fellow driver's news. A position once true stays true, whoever saw it.
func (d *Driver) Told(news []News) {
	for _, n := range news {
		if m, known := d.index[n.Member]; known && d.isNew(m, n.Sighting) {
			d.observe(m, n.Sighting, byGossip, 0)
			d.untold[m] = false
			if n.Took > 0 {
				d.learn(m, float64(n.Took), d.soft)
			}
			if n.Took > 0 || n.Failed {
				d.fares(m, n.Failed)
			}
			d.ranOn(m, n.Ran)
			if d.silent[m] { // it has moved on: look for ourselves, not all at once
				d.host.After(d.upTo(hush), func() { d.probe(m) })
			}
			d.wake(d.of[m])
		}
	}
}

// isNew tells whether a peer's word of a member says more than is known: a higher position, or another role at the same one.
func (d *Driver) isNew(m member, s Sighting) bool {
	k := &d.known[m]
	return s.Position > k.position || s.Role != k.role && s.Position+rounding >= k.position
}

// hushed marks a member that does not answer. Guards against crashed, cut off and hung members: nothing is
// lost on it before it answers again. Could harm where only probes get lost.
func (d *Driver) hushed(m member) {
	if !d.silent[m] {
		d.silent[m], d.since[m] = true, d.host.Now()-hush
		d.logf("silent member=%d unheard_ms=%d out=%d", d.ids[m], (d.host.Now()-d.heard[m])/ms, d.out[m])
	}
}

// alive hears from a member. After a long silence it may have restarted, unless a connection outlived that.
func (d *Driver) alive(m member, opened int64) {
	now := d.host.Now()
	if d.silent[m] {
		d.silent[m] = false
		d.logf("answers again member=%d after_ms=%d", d.ids[m], (now-d.since[m])/ms)
		if now-d.since[m] > longHush && (opened == 0 || opened >= d.since[m]) {
			d.room[m], d.back[m] = 1, true
			d.restarted[m], d.guessed[m] = now-hush, d.since[m]
		}
	}
	d.heard[m], d.opened[m] = now, opened
}

// ranOn hears from a fellow driver for how long a member has run. Guards against links that were cut: a
// member that only some drivers could not reach is not cold. A restart that the list tells of stays one.
func (d *Driver) ranOn(m member, ran int64) {
	if d.guessed[m] != 0 && !d.silent[m] && d.host.Now()-ran < d.guessed[m] {
		d.logf("ran on member=%d for_ms=%d", d.ids[m], ran/ms)
		d.restarted[m], d.guessed[m] = 0, 0
	}
}

// pick names the member for the next attempt of an RPC, or nobody if it has to wait. Where none passes, one
// of many drivers may choose a replica whose position is old: it is probed first. Guards the primary against
// reads of drivers that see little. Could harm where probes are dear.
func (d *Driver) pick(c *call) member {
	g, p := c.group, c.group.primary
	passers, unknown := d.picking.passers[:0], d.picking.unknown[:0]
	look := d.many() && c.looks < mostLooks && c.isRead() && d.allowed.Probes
	for _, m := range g.members {
		switch {
		case m == p || (!d.store.Guarded || d.many()) && !d.atEase(m, c):
		case !d.fits(m, c, 1) || slices.Contains(c.tried, m):
		case d.basis(m, c) != noBasis:
			passers = append(passers, m)
		case look && d.old(m):
			unknown = append(unknown, m)
		}
	}
	d.picking.passers, d.picking.unknown = passers, unknown
	if len(passers) == 0 {
		passers = unknown
	}
	share, again := 1.0, true
	if c.isRead() {
		share, again = readShare, !slices.Contains(c.tried, p)
	}
	jam := fewOrMany(d, jammed, crowded)
	primary := p != nobody && again && d.known[p].position >= c.Floor && d.atEase(p, c) && d.fits(p, c, share)
	if primary && d.basis(p, c) == noBasis {
		primary = false
		if len(passers) == 0 {
			d.confirm(p, c)
		}
	}
	for primary || len(passers) > 0 {
		m := d.windowed(passers, c.looked)
		if m == nobody || primary && d.cost(p)*jam < d.cost(m) {
			m = p
		} else if d.basis(m, c) == noBasis {
			c.looked, c.looks = m, c.looks+1
			d.probe(m)
			return nobody
		}
		if d.thawed(m) {
			return m
		}
		primary = primary && m != p
		passers = slices.DeleteFunc(passers, func(o member) bool { return o == m })
	}
	return nobody
}

// atEase tells whether a member has time for a read. One of many drivers cannot tell by its room: the more it
// is strained the fewer reads go, by lot, lest all drivers turn at once; strain not seen for long fades.
// Guards the primary, and replicas that answer whatever they hold, which fall behind when they are crowded.
func (d *Driver) atEase(m member, c *call) bool {
	age := float64(d.host.Now()-d.timed[m]) / float64(sec)
	return !d.many() || !c.isRead() || d.strain[m] < (quick+c.lot*(2*strained-quick))*(1+age)
}

// fits tells whether a member may get an attempt of an RPC: it has room, and is expected to answer while that
// is of use. Guards against work in vain for clients of little patience, which would keep a busy member busy.
func (d *Driver) fits(m member, c *call, share float64) bool {
	inTime := d.host.Now()+int64(d.took[m]) <= c.last()
	return inTime && float64(d.out[m]+1) <= max(1, d.room[m]*share) && d.usable(m) && d.mayRepeat(c, m)
}

// windowed picks at random among passers in the latency window, by what each can do; one that was looked at
// is the pick already. Guards small members beside large ones, and whoever looked fastest to all at once.
func (d *Driver) windowed(passers []member, looked member) member {
	if len(passers) == 0 {
		return nobody
	}
	if slices.Contains(passers, looked) {
		return looked
	}
	costs, lots, sum := d.picking.costs[:0], d.picking.lots[:0], 0.0
	for _, m := range passers {
		costs = append(costs, d.cost(m))
	}
	limit := slices.Min(costs)*(1+fewOrMany(d, wideWindow, widest)) + float64(window)
	for i, m := range passers {
		if costs[i] <= limit {
			sum += d.size[m] / (costs[i] * costs[i])
		}
		lots = append(lots, sum)
	}
	d.picking.costs, d.picking.lots = costs, lots
	lot := sum * (1 - d.rng.Float64()) // more than 0, so that none outside the window is drawn
	return passers[slices.IndexFunc(lots, func(upTo float64) bool { return lot <= upTo })]
}

// cost is the time to expect until a member has served: what fails has to be sent again.
func (d *Driver) cost(m member) float64 {
	faded := max(0, 1-float64(d.host.Now()-d.wrong[m])/float64(wrongFor))
	return d.took[m] * (1 + float64(d.out[m])) / (1.01 - d.errors[m]*faded)
}

// fares learns how often a member answers with errors, by its own answers and by what fellows tell. Guards
// against members that fail fast, which look the fastest of all; one that has not failed for a while is tried
// again.
func (d *Driver) fares(m member, failed bool) {
	d.errors[m] *= 1 - wrongShare
	if failed {
		d.errors[m] += wrongShare
		d.wrong[m] = d.host.Now()
	}
}

// usable tells whether a member may get anything at all.
func (d *Driver) usable(m member) bool {
	met := d.met(m) || !d.allowed.Probes // guards against strangers in the list
	return met && d.here(m) && !d.silent[m] && d.host.Now() >= d.aside[m]
}

// thawed keeps a cold member's budget: 0.8 of the stated multiple of what it can do at the least, 0.7 with
// many drivers, as a share of its driver's mean traffic a member. So it holds for all without agreement.
// Lots are drawn, since the floors of many small budgets would add up, and nothing is saved up for long.
func (d *Driver) thawed(m member) bool {
	now := d.host.Now()
	started := d.startOf(m)
	age := now - started
	if started == 0 || age >= d.WarmAfter {
		return true
	}
	g := d.of[m]
	able := d.Share + (1-d.Share)*float64(age)/float64(d.WarmAfter)
	span := min(savedUp*g.gap, float64(now-max(d.fed[m], started))) // since the last lot
	d.fed[m] = now
	bore := float64(d.borne[m]) / float64(max(10*sec, now-d.begun)) // itself, in the mean
	rate := max(bore, 1/(g.gap*max(1, g.bore)))
	return d.rng.Float64() < span*rate*min(2, able*d.Multiple*min(0.8, 0.7*d.first))
}

// startOf is when a member started last, by the list or by a silence that is taken for a restart, on the driver's clock; 0 for long ago.
func (d *Driver) startOf(m member) int64 {
	if d.listing[m] == 0 {
		return d.restarted[m]
	}
	now := d.host.Now()
	return max(d.listing[m]-d.clock.around(now)+now, d.restarted[m])
}

// May tells whether an attempt that was made may still begin: it is asked just before its first byte is
// written. Guards against whatever changed since the decision, while a connection was waited for: the list,
// the primary, positions, the window for repeats, the deadline, a client that left.
func (d *Driver) May(id RPCID, to MemberID) bool {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known || !d.here(m) || d.host.Now() >= c.deadline || !d.mayRepeat(c, m) {
		return false
	}
	return d.basis(m, c) != noBasis
}

// MayLook tells whether a probe that was made may still begin.
func (d *Driver) MayLook(to MemberID) bool {
	m, known := d.index[to]
	return known && d.here(m)
}

// here tells whether the list lets a member have anything new.
func (d *Driver) here(m member) bool {
	return d.state[m] == Healthy || d.state[m] == Gone && d.notice.DrainOnly
}

// mayRepeat keeps the rule on effects for an attempt that would follow others.
func (d *Driver) mayRepeat(c *call, m member) bool {
	inScope := c.method.Scope != ScopeZone || d.zone[m] == c.riskZone
	dropped := c.method.Effect == Tokened && d.host.Now()-c.risk < c.method.Window && inScope
	return c.risk == 0 || c.method.Effect == Idempotent || dropped
}

// Take accepts an RPC; it gets exactly one final answer.
func (d *Driver) Take(rpc RPC) {
	now := d.host.Now()
	d.gap, d.taken = d.gap+0.02*(float64(now-d.taken)-d.gap), now
	method, g := &d.methods[rpc.Method], d.groups[rpc.Group]
	if g == nil { // the list names no member of it
		d.host.PushBack(rpc.ID, d.allowed.ComeBack)
		return
	}
	c := &call{RPC: rpc, method: method, group: g, deadline: now + rpc.Left,
		soft: now + method.SoftDeadline - rpc.Waited, looked: nobody, lot: d.rng.Float64()}
	if method.Need == NeedSession && !d.store.Carried {
		c.Token = max(d.tokens[rpc.Session], d.older[rpc.Session])
	}
	if rpc.Repeat { // its client counts from its first try, and has Left of the whole time now
		c.soft -= max(0, method.Deadline-rpc.Left-rpc.Waited)
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
		if d.allowed.Probes && d.many() && !d.met(m) {
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
		left = min(left, c.deadline-int64((1-unreached)*float64(c.Left+c.Waited))-now)
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
			alike := c.method.Need != NeedSession && c.Floor == 0 && len(c.tried) == 0 && c.risk == 0
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
	apart := min(float64(max(now-g.last, ms/10)), 4*g.gap)
	if !c.held && len(g.held) == 0 || apart < g.gap { // what is held back shows too little of the traffic
		g.gap += 0.05 * (apart - g.gap)
		g.bore = d.bearers(g, now-int64(20*g.gap))
	}
	g.last, c.held = now, false
	number, counted, wait := 0, true, d.tooLong(c, m)
	before := d.borne[m] + int64(d.out[m]) // answers to come first where none overtakes another
	number = d.host.Attempt(c.ID, d.ids[m], d.patience(c, m), func(r Result) {
		if r.Proof != Started && counted {
			d.out[m]--
		}
		d.judge(c, m, now, r, r.Took >= wait && d.borne[m] < before+overtakers)
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

// patience is the time-out of an attempt. Where copies are not allowed an idempotent read leaves a member
// that keeps it waiting too long while there is time for another; else it waits to the deadline.
func (d *Driver) patience(c *call, m member) int64 {
	if wait := d.tooLong(c, m) * 2; !d.allowed.Copies && d.another(c, wait) {
		return wait
	}
	return c.deadline - d.host.Now()
}

func (d *Driver) tooLong(c *call, m member) int64 {
	return max(int64(4*d.took[m]), c.method.SoftDeadline*6/10)
}

// another tells whether a further attempt of an idempotent read may be made after a wait, and be in time.
func (d *Driver) another(c *call, wait int64) bool {
	may := c.method.Effect == Idempotent && c.isRead() && c.tries < d.allowed.Attempts && d.spare >= 1
	return may && d.host.Now()+wait+int64(c.group.took) <= c.deadline
}

// overdue deals with an attempt that has taken too long, and tells whether it still holds room of its member.
// On a member that answers others quickly it is lost, not slow: guards against members and links that lose a
// part of what they are sent. Could harm where a few RPCs take far longer than all others, by crowding.
func (d *Driver) overdue(c *call, m member, number int) (holds bool) {
	if c.started || !slices.Contains(c.out, number) {
		return true
	}
	if !c.ended && d.allowed.Copies && len(c.out) == 1 && d.another(c, 0) {
		if to := d.pick(c); to != nobody { // a second copy
			d.spare--
			d.attempt(c, to)
		}
	}
	return d.strain[m] > quick
}

// settle takes the result of an attempt and decides what follows.
func (d *Driver) settle(c *call, m member, sent int64, number int, r Result) {
	if r.Proof == Started { // the attempt is the client's now; what it ends with ends the RPC
		c.started = true
		d.cancelOut(c, number)
		return
	}
	c.out = slices.DeleteFunc(c.out, func(n int) bool { return n == number })
	c.reached = c.reached || r.Cause != NoConnect && r.Cause != Moot
	if d.host.Now() < d.scarce && d.out[m] == 0 && r.Cause != NoConnect && !d.silent[m] {
		d.host.CloseIdle(d.ids[m])
	}
	if c.tries > 1 && r.Proof != NeverRan {
		d.success += 0.1 * (map[Proof]float64{OK: 1}[r.Proof] - d.success)
	}
	if !c.ended {
		d.next(c, m, sent, r)
	}
	d.wake(c.group)
}

func (d *Driver) next(c *call, m member, sent int64, r Result) {
	if r.Final || r.Proof == OK {
		d.remember(c, r.Position, forgetAfter)
		d.end(c)
		return
	}
	if r.Proof == MayHaveRun && c.risk == 0 {
		c.risk, c.riskZone = sent, d.zone[m]
	}
	over := c.started || c.tries >= d.allowed.Attempts || d.host.Now() >= c.deadline
	switch {
	case len(c.out) > 0:
	case over || !d.mayRepeat(c, m) || r.Proof == MayHaveRun && d.spare < 1:
		d.finish(c)
	default:
		if r.Proof == MayHaveRun {
			d.spare--
		}
		d.step(c)
	}
}

// finish gives up on an RPC: pushed back where a further try of the client does no harm, aborted otherwise.
func (d *Driver) finish(c *call) {
	harmless := c.risk == 0 && len(c.out) == 0 || c.method.Effect == Idempotent ||
		c.method.Effect == Tokened && c.method.Scope == ScopeAll
	if harmless && d.host.Now() < c.deadline {
		d.host.PushBack(c.ID, min(d.allowed.ComeBack, int64(c.group.took)))
	} else {
		d.host.Abort(c.ID)
	}
	d.end(c)
}

// judge learns from a result how its member fares, but not where its client had little time to wait for it.
func (d *Driver) judge(c *call, m member, sent int64, r Result, long bool) {
	now := d.host.Now()
	switch cause := r.Cause; {
	case cause == NoConnect:
		d.noConnection(m, now)
	case cause == TimedOut && now-d.heard[m] >= d.due && (!d.many() || d.strain[m] <= quick || d.lost[m] > 0):
		d.probe(m)
	case cause == NoCause || cause == Errored || cause == Missed || cause == Full:
		d.alive(m, r.Opened)
	}
	d.observeResult(c, m, r, sent)
	if r.Proof == OK || r.Cause == Errored {
		d.fares(m, r.Cause == Errored)
		d.erred[m] = r.Cause == Errored
	}
	switch {
	case !long && now-d.timed[m] < hush && (r.Cause == Errored || r.Cause == Reset): // it finishes others
	case r.Cause == Errored || r.Cause == Reset || long && (r.Cause == TimedOut || r.Cause == Cancelled):
		d.strike(m, now)
		if long {
			d.teach(m, max(float64(r.Took), d.took[m]), c.method.ample(), false)
		}
	case r.Proof == OK:
		d.borne[m]++
		d.lost[m], d.refused[m], d.answered[m] = 0, 0, r.Took
		d.known[m].missed = d.known[m].missed && c.method.Need == NeedAny
		c.group.took += 0.03 * (float64(r.Took) - c.group.took)
		d.teach(m, float64(r.Took), c.method.ample(), true)
	case r.Cause == Missed && c.isRead():
		d.known[m].missed = true
	case r.Cause == Full:
		d.rest(m)
		d.room[m] = max(1, min(d.room[m], float64(d.out[m]+1))*0.8)
	}
}

// observeResult takes in what the end of an attempt tells of its member's role: what it stated, that it turned away what only a primary takes,
// or that its word may have been lost.
func (d *Driver) observeResult(c *call, m member, r Result, sent int64) {
	s := r.Sighting
	if r.Cause == Missed && !c.isRead() {
		s.Role = RoleReplica
	}
	d.observe(m, s, byAnswer, sent)
	if r.Proof == MayHaveRun && s.Role == RoleUnknown {
		d.known[m].unanswered = d.host.Now()
	}
}

// ample is how long an answer may take without losing much: past the soft deadline by what late ones are
// worth.
func (m *Method) ample() int64 {
	return m.SoftDeadline + int64(m.LateUtility*float64(max(0, m.Deadline-m.SoftDeadline)))
}

// teach learns how long a member takes, also from an attempt waited for in vain: guards against members so
// crowded that none of their answers counts. Its room grows while answers come well in time, doubling on a
// trickle, and shrinks while they strain the soft deadline: such work is better held than done in vain.
func (d *Driver) teach(m member, took float64, soft int64, ok bool) {
	d.learn(m, took, soft)
	least := max(1, min(d.room[m], d.first/2)) // so few do not queue: what is slow then is slow by itself
	switch {
	case !ok && d.strain[m] > quick:
		d.room[m] = max(least, d.room[m]*0.85)
	case d.strain[m] > strained:
		d.room[m] = max(least, d.room[m]*0.95)
		d.back[m] = false
	case ok && d.back[m]:
		d.room[m] *= 2
		if d.room[m] >= d.first {
			d.back[m] = false
			d.logf("back member=%d room=%.0f", d.ids[m], d.room[m])
		}
	case ok && float64(d.out[m])+2 >= d.room[m]:
		d.room[m] += 0.5 / d.room[m]
	}
}

// noConnection deals with a connection refused. A member that answers probes has too few for all drivers: it
// is left alone for a moment, and idle connections are given up to the others while that lasts. Guards
// against any shortage of connections; one that is down shows in the probe. Could harm where they are dear.
func (d *Driver) noConnection(m member, now int64) {
	d.probe(m)
	if now >= d.scarce {
		d.logf("connections scarce member=%d unheard_ms=%d", d.ids[m], (now-d.heard[m])/ms)
	}
	d.scarce = now + scarceFor
	d.rest(m)
}

// rest leaves a member alone that refused work, longer each time: many drivers would come back at once.
func (d *Driver) rest(m member) {
	d.refused[m] = min(d.refused[m]+1, 5)
	wait := fullRest/2<<d.refused[m]/2 + d.upTo(fullRest/2<<d.refused[m])
	d.aside[m] = max(d.aside[m], d.host.Now()+wait)
	d.host.After(wait, func() { d.wake(d.of[m]) })
}

// learn smooths a member's answer time and strain; what comes after a long time weighs more.
func (d *Driver) learn(m member, took float64, soft int64) {
	now := d.host.Now()
	weight := min(0.5, max(0.1, float64(now-d.timed[m])/float64(4*sec)))
	d.timed[m] = now
	d.took[m] += min(1, 1.5*weight) * (took - d.took[m])
	d.strain[m] += weight * (took/float64(soft) - d.strain[m])
}

// strike counts attempts lost in a row. Guards against members that answer probes but finish nothing.
func (d *Driver) strike(m member, now int64) {
	d.lost[m]++
	if d.lost[m] >= strikesOut && now >= d.aside[m] {
		wait := min(8*sec, sec/2<<min(4, d.lost[m]-strikesOut))
		d.aside[m] = now + wait
		d.room[m], d.back[m] = 1, true
		d.logf("set aside member=%d lost=%d for_ms=%d", d.ids[m], d.lost[m], wait/ms)
	}
}
