package program

import (
	"math"
	"runtime"
	"runtime/debug"
)

const heapLimitFraction = 0.7 // of the memory allowed

// ApplyLimits tells the runtime what this process may use.
func (p *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(float64(p.MemoryMB<<20) * heapLimitFraction))
}
