package ledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain lets what is drawn be the same every time, unless a seed is given: -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
