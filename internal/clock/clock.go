// Package clock provides Unix time that never goes back while the process runs, even if the system clock
// is adjusted.
package clock

import (
	"os"
	"time"
)

// OffsetEnv names the environment variable with which tests shift the clock by a duration such as -2m.
const OffsetEnv = "SEDGESPREAD_CLOCK_OFF"

// Clock adds monotonic elapsed time to the Unix time at its creation.
type Clock struct {
	startNanos int64
	start      time.Time
}

// New returns a clock set to the system time, shifted by OffsetEnv if set.
func New() Clock {
	offset, _ := time.ParseDuration(os.Getenv(OffsetEnv))
	now := time.Now()
	return Clock{startNanos: now.UnixNano() + int64(offset), start: now}
}

// Now returns Unix time in nanoseconds.
func (c Clock) Now() int64 { return c.At(time.Now()) }

// At returns the clock's Unix time in nanoseconds at t.
func (c Clock) At(t time.Time) int64 { return c.startNanos + int64(t.Sub(c.start)) }
