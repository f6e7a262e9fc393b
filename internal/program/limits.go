package program

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	heapLimitFraction = 0.7 // fraction of the memory limit that the Go heap may use

	// What clients and members have sent may take what is left of the heap after these.
	baseHeapBytes  = 6 << 20  // of a driver without clients
	bytesPerSocket = 10 << 10 // buffers and stacks of a connection

	inputsFraction  = 1. / 2 // of that, for the inputs of clients
	answersFraction = 1. / 4 // of that, for the answers of members
	minDivisor      = 12     // each gets this share of the memory limit at the least

	maxAnswerDivisor = 16 // one message of an answer may use this share of the memory limit
)

// sharedBytes returns how much memory may be used for something that gets the given fraction of what the
// connections of clients and members may hold together.
func (c *Config) sharedBytes(fraction float64) int {
	heap := int(float64(c.MemoryMB<<20) * heapLimitFraction)
	rest := heap - baseHeapBytes - int(c.Sockets)*bytesPerSocket
	return max(int(float64(rest)*fraction), int(c.MemoryMB<<20)/minDivisor)
}

// inputBytes returns how much memory the inputs of all clients may hold together.
func (c *Config) inputBytes() int { return c.sharedBytes(inputsFraction) }

// answerBytes returns how much memory one message of a member's answer may take, and how much the answers
// of all members together.
func (c *Config) answerBytes() (message, total int) {
	return int(c.MemoryMB << 20 / maxAnswerDivisor), c.sharedBytes(answersFraction)
}

// ApplyLimits sets GOMAXPROCS and the runtime's memory limit from the configured limits.
func (c *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapLimitFraction))
}
