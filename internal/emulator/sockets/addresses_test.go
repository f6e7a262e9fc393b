package sockets

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against giving the same address to two drivers of one trial that ask for theirs
// separately.
func TestFreeAddressesNeverRepeats(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		free, err := FreeAddresses(1)
		require.NoError(t, err)
		require.False(t, seen[free[0]], free[0])
		seen[free[0]] = true
	}
}
