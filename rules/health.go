package rules

const (
	fullRest   = 40 * ms  // a member that turned work away is left alone so long
	scarceFor  = 2 * sec  // connections are scarce so long after a live member refused one
	strained   = 0.33     // smoothed share of the soft deadline that answers may take
	quick      = 0.2      // strain below which what is overdue was lost, not slow
	strikesOut = 3        // attempts lost in a row that set a member aside
	wrongShare = 0.2      // of an answer in the smoothed share of errors
	wrongFor   = 10 * sec // errors count ever less, and no more after this time
)

// judge learns from a result how its member fares, but not where its client had little time to wait for it.
func (d *Driver) judge(c *call, m member, sent int64, r Result, long bool) {
	now := d.host.Now()
	switch cause := r.Cause; {
	case cause == ConnectFailed:
		d.noConnection(m, now)
	case cause == TimedOut && now-d.heard[m] >= d.due && (!d.many() || d.strain[m] <= quick || d.lost[m] > 0):
		d.probe(m)
	case cause == NoCause || cause == ServerError || cause == Ineligible || cause == Overloaded:
		d.alive(m, r.ConnectedAt)
	}
	d.observeResult(c, m, r, sent)
	if r.Outcome == OK || r.Cause == ServerError {
		d.fares(m, r.Cause == ServerError)
		d.erred[m] = r.Cause == ServerError
	}
	switch {
	case !long && now-d.timed[m] < hush && (r.Cause == ServerError || r.Cause == Reset): // it finishes others
	case r.Cause == ServerError || r.Cause == Reset || long && (r.Cause == TimedOut || r.Cause == Cancelled):
		d.strike(m, now)
		if long {
			d.teach(m, max(float64(r.Latency), d.took[m]), c.method.ample(), false)
		}
	case r.Outcome == OK:
		d.observeLoad(m)
		d.lost[m], d.refused[m], d.answered[m] = 0, 0, r.Latency
		d.known[m].missed = d.known[m].missed && c.method.Consistency == ConsistencyAny
		c.group.took += 0.03 * (float64(r.Latency) - c.group.took)
		d.teach(m, float64(r.Latency), c.method.ample(), true)
	case r.Cause == Ineligible && c.isRead():
		d.known[m].missed = true
	case r.Cause == Overloaded:
		d.rest(m)
		d.room[m] = max(1, min(d.room[m], float64(d.out[m]+1))*0.8)
	}
}

// observeResult takes in what the end of an attempt tells of its member's role: what it stated, that it turned away what only a primary takes,
// or that its word may have been lost.
func (d *Driver) observeResult(c *call, m member, r Result, sent int64) {
	s := r.Observation
	if r.Cause == Ineligible && !c.isRead() {
		s.Role = RoleReplica
	}
	d.observe(m, s, byAnswer, sent)
	if r.Outcome == MayHaveExecuted && s.Role == RoleUnknown {
		d.known[m].unanswered = d.host.Now()
	}
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
