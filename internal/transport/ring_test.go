package transport

import (
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lost, duplicated or reordered bytes when the buffer wraps around or grows.
func TestRingBufferKeepsOrder(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	r, model := NewRingBuffer(3000), ""
	for i := range 20_000 {
		if rng.Intn(2) == 0 {
			text := strings.Repeat(string(rune('a'+i%26)), rng.Intn(700))
			n := r.Write(text)
			require.Equal(t, min(len(text), 3000-len(model)), n)
			model += text[:n]
		} else {
			part := make([]byte, rng.Intn(len(model)+1))
			r.peek(part)
			r.discard(len(part))
			require.Equal(t, model[:len(part)], string(part))
			model = model[len(part):]
		}
		require.Equal(t, len(model), r.Len())
		require.True(t, strings.HasPrefix(model, string(r.front())))
	}
}

// Guards against idle connections that keep memory.
func TestRingBufferReleasesMemory(t *testing.T) {
	r := NewRingBuffer(100 << 10)
	require.Zero(t, cap(r.buf))
	r.Write("a")
	require.Len(t, r.buf, initialRingBytes)
	r.Write(strings.Repeat("b", 50<<10))
	require.Less(t, len(r.buf), 100<<10)
	r.discard(r.Len())
	r.reset()
	require.Zero(t, cap(r.buf))
}
