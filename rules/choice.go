package rules

import "slices"

const (
	window     = 15 * ms // width of the latency window above the fastest
	wideWindow = 0.25    // and this share of the fastest on top
	widest     = 1.0     // or this, of many drivers, each of which knows answer times by few
	mostLooks  = 2       // replicas probed for one read
	readShare  = 0.6     // of the primary's room that reads may fill
	jammed     = 2.0     // the primary helps out when it would answer so many times sooner
	crowded    = 1.3     // or so many times, of many drivers
)

// pick names the member for the next attempt of an RPC, or nobody if it has to wait. Where none passes, one
// of many drivers may choose a replica whose position is old: it is probed first. Guards the primary against
// reads of drivers that see little. Could harm where probes are dear.
func (d *Driver) pick(c *call) member {
	g, p := c.group, c.group.primary
	passers, unknown := d.picking.passers[:0], d.picking.unknown[:0]
	look := d.many() && c.looks < mostLooks && c.isRead() && d.allowed.Probing
	for _, m := range g.members {
		switch {
		case m == p || (!d.store.RejectsStaleReads || d.many()) && !d.atEase(m, c):
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
	primary := p != nobody && again && d.known[p].position >= c.MinPosition && d.atEase(p, c) && d.fits(p, c, share)
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
		if d.admittedBySlowStart(m) {
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

// usable tells whether a member may get anything at all.
func (d *Driver) usable(m member) bool {
	met := d.met(m) || !d.allowed.Probing // guards against strangers in the list
	return met && d.here(m) && !d.silent[m] && d.host.Now() >= d.aside[m]
}

// AttemptAllowed tells whether an attempt that was made may still begin: it is asked just before its first byte is
// written. Guards against whatever changed since the decision, while a connection was waited for: the list,
// the primary, positions, the window for repeats, the deadline, a client that left.
func (d *Driver) AttemptAllowed(id RPCID, to MemberID) bool {
	c := d.calls[id]
	m, known := d.index[to]
	if c == nil || !known || !d.here(m) || d.host.Now() >= c.deadline || !d.mayRepeat(c, m) {
		return false
	}
	return d.basis(m, c) != noBasis
}

// mayRepeat keeps the rule on effects for an attempt that would follow others.
func (d *Driver) mayRepeat(c *call, m member) bool {
	inScope := c.method.DedupScope != DedupInZone || d.zone[m] == c.riskZone
	dropped := c.method.Effect == IdempotentByToken && d.host.Now()-c.risk < c.method.DedupWindow && inScope
	return c.risk == 0 || c.method.Effect == Idempotent || dropped
}
