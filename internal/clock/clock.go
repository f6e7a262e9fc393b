// Package clock is a process's clock: Unix time that never goes back while the process runs, whatever is done to the
// machine's.
package clock

import (
	"os"
	"time"
)

// OffsetEnv names the variable by which trials let a process's clock be off, as a duration such as -2m.
const OffsetEnv = "SEDGESPREAD_CLOCK_OFF"

// Clock counts from when it was made.
type Clock struct {
	wall  int64
	begun time.Time
}

// New makes a clock that is right now, or off as trials want it.
func New() Clock {
	off, _ := time.ParseDuration(os.Getenv(OffsetEnv))
	now := time.Now()
	return Clock{wall: now.UnixNano() + int64(off), begun: now}
}

// Now is Unix time in nanoseconds.
func (c Clock) Now() int64 { return c.At(time.Now()) }

// At is what the clock showed at a moment of this process.
func (c Clock) At(t time.Time) int64 { return c.wall + int64(t.Sub(c.begun)) }
