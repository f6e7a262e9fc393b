package rules

import "slices"

const (
	clockTolerance  = 10 * ms // positions are whole milliseconds, rounded either way, and answers come at once
	maxClockAhead   = sec     // a driver's clock that is less ahead of the store's than this is taken for right
	maxUpperBounds  = 8       // statements of primaries that the bound is taken from
	offsetWindow    = 30 * sec
	outliersToReset = 3 // positions from the future in a row that put the clock in doubt; fewer are taken for spoilt
)

// storeClock relates the clock that members' positions count by to this driver's own, which never steps but may have been wrong when the
// driver started, and which the members' may step away from. All machines are meant to read one clock: the two are taken for the same until
// a position from the future, or nothing but positions from long ago, show otherwise. Then the offset is bounded by what is certain: no
// position is later than now by the store's clock, and a primary that answers stands at it.
type storeClock struct {
	minAhead       int64 // the store's clock is ahead of the driver's by so much at the least, by the positions of this window and the last
	recentMinAhead int64 // the same by those of this window
	windowStart    int64 // when it began, 0 before any position was heard
	outliers       int   // positions in a row that were later than what was known allows
	upperBounds    []int64
	oldestBound    int   // of bounds, the newest of the upper bounds on the same
	ahead          int64 // by how much the store's clock is ahead of the driver's at the most, as far as can be told
	isUnbounded    bool  // nothing bounds that
}

// observePosition takes in a position that was heard at a time.
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
	case heardAt-c.windowStart > offsetWindow: // what was set back since is forgotten
		c.minAhead, c.recentMinAhead, c.windowStart = max(lead, c.recentMinAhead), lead, heardAt
	default:
		c.minAhead, c.recentMinAhead = max(c.minAhead, lead), max(c.recentMinAhead, lead)
	}
	if c.outliers > 0 { // what was bounded before does not hold any more
		c.upperBounds, c.oldestBound = c.upperBounds[:0], 0
	}
	c.updateOffset()
}

// observePrimary takes in the position of a primary that answered, between the time when it was asked and the time when that was heard. What it
// contradicts was a lie, or from before the members' clock was set back.
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

// isInSync tells whether the driver's clock can be taken for the store's.
func (c *storeClock) isInSync() bool { return c.minAhead <= clockTolerance }

// updateOffset makes the offset of what is known.
func (c *storeClock) updateOffset() {
	c.ahead, c.isUnbounded = 0, false
	switch {
	case len(c.upperBounds) == 0 && !c.isInSync():
		c.ahead, c.isUnbounded = c.minAhead, true
	case len(c.upperBounds) > 0 && !c.isInSync(), len(c.upperBounds) == maxUpperBounds && slices.Max(c.upperBounds) < -maxClockAhead:
		c.ahead = slices.Max(c.upperBounds)
	}
}

// offset is by how much the store's clock is ahead of the driver's at the most, and whether that is known.
func (c *storeClock) offset() (ahead int64, known bool) { return c.ahead, !c.isUnbounded }

// estimate is the time by the store's clock more or less, also where the driver's is ahead and primaries are yet to bear that out. Where no
// position moves it falls behind.
func (c *storeClock) estimate(now int64) int64 {
	if c.ahead != 0 || c.windowStart == 0 || c.minAhead > -maxClockAhead {
		return c.toStore(now)
	}
	return now + c.minAhead
}

// toStore converts a time of the driver's clock to the store's, as late as it may be there.
func (c *storeClock) toStore(now int64) int64 { return now + c.ahead }

// toDriver converts a time of the store's clock to the driver's.
func (c *storeClock) toDriver(position int64) int64 { return position - c.ahead }
