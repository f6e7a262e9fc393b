package sockets

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two drivers of one trial that are told the same address, drawn for each by a call of its own.
func TestFreeAddressesNeverRepeats(t *testing.T) {
	given := map[string]bool{}
	for range 1000 {
		free, err := FreeAddresses(1)
		require.NoError(t, err)
		require.False(t, given[free[0]], free[0])
		given[free[0]] = true
	}
}
