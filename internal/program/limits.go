package program

import (
	"math"
	"runtime"
	"runtime/debug"
)

const heapLimitFraction = 0.7 // fraction of the memory limit that the Go heap may use

// ApplyLimits sets GOMAXPROCS and the runtime's memory limit from the configured limits.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapLimitFraction))
}
