package rules

import "slices"

const (
	clockTolerance = 10 * ms // positions are whole milliseconds, rounded either way
	maxClockAhead  = sec     // a driver's clock ahead of the store's by less counts as in sync
	maxUpperBounds = 8       // statements of primaries that bound the offset
	offsetWindow   = 30 * sec
	// Consecutive positions in the future that reset the estimate; fewer are taken to be corrupted.
	outliersToReset = 3
)

// storeClock estimates the offset between the store's clock, which positions refer to, and this
// driver's. They are taken to be in sync until a position in the future, or only positions from
// long ago, show otherwise. The offset is then bounded by two facts: no position is later than the
// store's time, and an answering primary's position equals it.
type storeClock struct {
	// Lower bound on the store's clock minus the driver's, by the positions of this window and the
	// last.
	minAhead       int64
	recentMinAhead int64   // the same by the positions of this window only
	windowStart    int64   // 0 before the first position
	outliers       int     // consecutive positions later than the known offset allows
	upperBounds    []int64 // latest upper bounds on the offset
	oldestBound    int     // index of the oldest upper bound
	ahead          int64   // largest possible offset of the store's clock, as far as is known
	isUnbounded    bool    // no upper bound is known
}

// observePosition records a position received at a time.
func (c *storeClock) observePosition(position, heardAt int64) {
	lead := position - heardAt
	if lead <= c.ahead+clockTolerance {
		c.outliers = 0
	} else if c.outliers++; c.outliers < outliersToReset {
		return
	}
	switch {
	case c.windowStart == 0:
		c.minAhead, c.recentMinAhead, c.windowStart = lead, lead, heardAt
	case heardAt-c.windowStart > offsetWindow: // forgets bounds from before the store's clock was set back
		c.minAhead, c.recentMinAhead, c.windowStart = max(lead, c.recentMinAhead), lead, heardAt
	default:
		c.minAhead, c.recentMinAhead = max(c.minAhead, lead), max(c.recentMinAhead, lead)
	}
	if c.outliers > 0 { // earlier bounds are invalid
		c.upperBounds, c.oldestBound = c.upperBounds[:0], 0
	}
	c.updateOffset()
}

// observePrimary records the position of a primary that answered a request. Lower bounds that it
// contradicts were wrong, or from before the store's clock was set back.
func (c *storeClock) observePrimary(position, askedAt, heardAt int64) {
	bound := position + ms - askedAt
	if c.windowStart != 0 && bound < c.minAhead {
		c.minAhead, c.recentMinAhead = position-heardAt, position-heardAt
	}
	if len(c.upperBounds) < maxUpperBounds {
		c.upperBounds = append(c.upperBounds, bound)
	} else {
		c.upperBounds[c.oldestBound] = bound
		c.oldestBound = (c.oldestBound + 1) % maxUpperBounds
	}
	c.updateOffset()
}

// isInSync reports whether the driver's clock can be used as the store's.
func (c *storeClock) isInSync() bool { return c.minAhead <= clockTolerance }

// updateOffset derives the offset from the bounds.
func (c *storeClock) updateOffset() {
	c.ahead, c.isUnbounded = 0, false
	switch {
	case len(c.upperBounds) == 0 && !c.isInSync():
		c.ahead, c.isUnbounded = c.minAhead, true
	case len(c.upperBounds) > 0 && !c.isInSync(), len(c.upperBounds) == maxUpperBounds && slices.Max(c.upperBounds) < -maxClockAhead:
		c.ahead = slices.Max(c.upperBounds)
	}
}

// offset returns the largest possible lead of the store's clock over the driver's, and whether it
// is known.
func (c *storeClock) offset() (ahead int64, known bool) { return c.ahead, !c.isUnbounded }

// estimate returns the approximate time on the store's clock, also while the driver's is ahead and
// no primary has confirmed that. It falls behind while no position moves.
func (c *storeClock) estimate(now int64) int64 {
	if c.ahead != 0 || c.windowStart == 0 || c.minAhead > -maxClockAhead {
		return c.toStore(now)
	}
	return now + c.minAhead
}

// toStore converts a time of the driver's clock to the latest possible time of the store's.
func (c *storeClock) toStore(now int64) int64 { return now + c.ahead }

// toDriver converts a time of the store's clock to the driver's.
func (c *storeClock) toDriver(position int64) int64 { return position - c.ahead }
