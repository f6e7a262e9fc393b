package program

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	heapLimitFraction = 0.7 // fraction of the memory limit that the Go heap may use

	// The inputs of clients may hold what is left of the heap after these, and half of that again for what
	// the garbage collector has not freed yet.
	baseHeapBytes  = 6 << 20  // of a driver without clients
	bytesPerSocket = 10 << 10 // buffers and stacks of a connection
	// minInputDivisor is for limits that leave less than this share.
	minInputDivisor = 12
)

// inputBytes returns how much memory the inputs of all clients may hold together.
func (c *Config) inputBytes() int {
	heap := int(float64(c.MemoryMB<<20) * heapLimitFraction)
	rest := heap - baseHeapBytes - int(c.Sockets)*bytesPerSocket
	return max(rest*2/3, int(c.MemoryMB<<20)/minInputDivisor)
}

// ApplyLimits sets GOMAXPROCS and the runtime's memory limit from the configured limits.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapLimitFraction))
}
