package rules

import "slices"

const (
	clockTolerance = 10 * ms // positions are whole milliseconds, rounded either way, and answers come at once
	clockAhead     = sec     // a driver's clock that is less ahead of the store's than this is taken for right
	boundsKept     = 8       // statements of primaries that the bound is taken from
	windowLength   = 30 * sec
	doubtsNeeded   = 3 // positions from the future in a row that put the clock in doubt; fewer are taken for spoilt
)

// storeClock relates the clock that members' positions count by to this driver's own, which never steps but may have been wrong when the
// driver started, and which the members' may step away from. All machines are meant to read one clock: the two are taken for the same until
// a position from the future, or nothing but positions from long ago, show otherwise. Then the offset is bounded by what is certain: no
// position is later than now by the store's clock, and a primary that answers stands at it.
type storeClock struct {
	least  int64 // the store's clock is ahead of the driver's by so much at the least, by the positions of this window and the last
	recent int64 // the same by those of this window
	window int64 // when it began, 0 before any position was heard
	doubts int   // positions in a row that were later than what was known allows
	bounds []int64
	oldest int   // of bounds, the newest of the upper bounds on the same
	ahead  int64 // by how much the store's clock is ahead of the driver's at the most, as far as can be told
	unsure bool  // nothing bounds that
}

// note takes in a position that was heard at a time.
func (c *storeClock) note(position, heard int64) {
	lead := position - heard
	if lead <= c.ahead+clockTolerance {
		c.doubts = 0
	} else if c.doubts++; c.doubts < doubtsNeeded {
		return
	}
	switch {
	case c.window == 0:
		c.least, c.recent, c.window = lead, lead, heard
	case heard-c.window > windowLength: // what was set back since is forgotten
		c.least, c.recent, c.window = max(lead, c.recent), lead, heard
	default:
		c.least, c.recent = max(c.least, lead), max(c.recent, lead)
	}
	if c.doubts > 0 { // what was bounded before does not hold any more
		c.bounds, c.oldest = c.bounds[:0], 0
	}
	c.settle()
}

// notePrimary takes in the position of a primary that answered, between the time when it was asked and the time when that was heard. What it
// contradicts was a lie, or from before the members' clock was set back.
func (c *storeClock) notePrimary(position, asked, heard int64) {
	bound := position + ms - asked
	if c.window != 0 && bound < c.least {
		c.least, c.recent = position-heard, position-heard
	}
	if len(c.bounds) < boundsKept {
		c.bounds = append(c.bounds, bound)
	} else {
		c.bounds[c.oldest] = bound
		c.oldest = (c.oldest + 1) % boundsKept
	}
	c.settle()
}

// right tells whether the driver's clock can be taken for the store's.
func (c *storeClock) right() bool { return c.least <= clockTolerance }

// settle makes the offset of what is known.
func (c *storeClock) settle() {
	c.ahead, c.unsure = 0, false
	switch {
	case len(c.bounds) == 0 && !c.right():
		c.ahead, c.unsure = c.least, true
	case len(c.bounds) > 0 && !c.right(), len(c.bounds) == boundsKept && slices.Max(c.bounds) < -clockAhead:
		c.ahead = slices.Max(c.bounds)
	}
}

// offset is by how much the store's clock is ahead of the driver's at the most, and whether that is known.
func (c *storeClock) offset() (ahead int64, known bool) { return c.ahead, !c.unsure }

// around is the time by the store's clock more or less, also where the driver's is ahead and primaries are yet to bear that out. Where no
// position moves it falls behind.
func (c *storeClock) around(now int64) int64 {
	if c.ahead != 0 || c.window == 0 || c.least > -clockAhead {
		return c.at(now)
	}
	return now + c.least
}

// at converts a time of the driver's clock to the store's, as late as it may be there.
func (c *storeClock) at(now int64) int64 { return now + c.ahead }

// from converts a time of the store's clock to the driver's.
func (c *storeClock) from(position int64) int64 { return position - c.ahead }
