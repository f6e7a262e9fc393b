// Package seeded runs property-based tests with a fixed seed.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with rapid's seed set to 1, unless -rapid.seed is given.
func Main(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
