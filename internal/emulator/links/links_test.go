package links

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func kinds() []FaultSpec {
	return []FaultSpec{
		{Fault: Delay, MeanInterval: time.Second, From: []string{"a", "b"}, To: []string{"a", "b"}, MinDuration: time.Second, MaxDuration: 2 * time.Second, Amount: 0.01, MaxAmount: 0.1, Jitter: 0.02},
		{Fault: Silent, MeanInterval: time.Second, From: []string{"a"}, To: []string{"b"}, BothDirections: true, MinDuration: time.Second, MaxDuration: time.Second},
		{Fault: Lose, MeanInterval: time.Second, From: []string{"a"}, To: []string{"*"}, MinDuration: time.Second, MaxDuration: time.Second, Share: 0.25},
		{Fault: Throttle, MeanInterval: time.Second, From: []string{"a"}, To: []string{"b"}, MinDuration: time.Second, MaxDuration: time.Second, Amount: 10, MaxAmount: 100},
		{Fault: Reset, MeanInterval: time.Second, From: []string{"a"}, To: []string{"b"}},
		{Fault: Truncate, MeanInterval: time.Second, From: []string{"a"}, To: []string{"b"}, Amount: 1, MaxAmount: 100},
		{Fault: SkewClock, MeanInterval: time.Second, Processes: []string{"a"}, MinDuration: time.Second, MaxDuration: time.Second, Amount: -120, MaxAmount: 120},
		{Fault: Pause, MeanInterval: time.Second, Processes: []string{"a", "b"}, MinDuration: 0, MaxDuration: time.Second},
		{Fault: CopyDisk, MeanInterval: time.Second, Processes: []string{"a"}},
	}
}

// Guards against a night that can't be played again: what is drawn is the same for a seed, and what is printed says it all.
func TestTimelineIsReproducible(t *testing.T) {
	drawn := Draw(7, 20*time.Second, kinds())
	require.Equal(t, drawn, Draw(7, 20*time.Second, kinds()))
	require.NotEqual(t, drawn, Draw(8, 20*time.Second, kinds()))
	require.Greater(t, len(drawn), 100)
	read, err := Parse(drawn.String())
	require.NoError(t, err)
	require.Equal(t, drawn, read)
	seen := map[FaultType]bool{}
	for _, e := range drawn {
		seen[e.Fault] = true
		require.Less(t, e.At, 20*time.Second)
		require.NotEqual(t, Link{"a", "a"}, e.Link)
	}
	require.Len(t, seen, len(kinds()))
	require.Greater(t, drawn.End(), 19*time.Second)
	fewer := Draw(7, 20*time.Second, kinds()[:2])
	for _, e := range fewer {
		require.Contains(t, drawn, e, "one kind more leaves the others where they were")
	}
}

// Guards against timelines that say what nobody meant.
func TestParseRejectsMalformedTimelines(t *testing.T) {
	for text, says := range map[string]string{
		"1 delay":                            "line 1: a time, a trouble",
		"# fine\n\nx delay a>b by 1s for 1s": "line 3: \"x\" is not a number",
		"1 rain a>b for 1s":                  "no trouble \"rain\"",
		"1 delay a by 1s for 1s":             "\"a\" is not a way",
		"1 pause a>b for 1s":                 "befalls a process",
		"1 delay a>b for 1s":                 "delay needs \"by\"",
		"1 delay a>b by 1s":                  "delay needs \"for\"",
		"1 delay a>b by 1s by 2s for 1s":     "stands alone or twice",
		"1 delay a>b by -1s for 1s":          "below 0",
		"1 delay a>b by 1s for":              "stands alone",
		"1 silent a>b by 1s for 1s":          "silent takes no \"by\"",
		"1 silent a>b spread 1s for 1s":      "takes no \"spread\"",
		"1 lossy a>b share 1.5 for 1s":       "more than all",
		"1 slow a>b to 0B/s for 1s":          "silence",
		"1 slow a>b to NaNB/s for 1s":        "is not a number",
		"1 pause a for 1e9s":                 "is not a number",
		"-1 pause a for 1s":                  "is not a number",
		"1 pause a for 1":                    "with \"s\"",
	} {
		_, err := Parse(text)
		require.ErrorContains(t, err, says, text)
	}
	got, err := Parse("2 reset a>*\n1 skew a by -60s for 2s # minutes off")
	require.NoError(t, err)
	require.Equal(t, Timeline{{At: time.Second, Fault: SkewClock, Process: "a", Amount: -60, Duration: 2 * time.Second},
		{At: 2 * time.Second, Fault: Reset, Link: Link{"a", "*"}}}, got)
}

// Guards against troubles that hide one another.
func TestFaultsCombine(t *testing.T) {
	var w ActiveFaults
	e := func(what FaultType, from, to string, amount, share float64) Event {
		return Event{Fault: what, Link: Link{from, to}, Amount: amount, Share: share}
	}
	all := []Event{e(Delay, "a", "b", 0.1, 0), e(Delay, "*", "b", 0.2, 0), e(Lose, "a", "*", 0, 0.5), e(Lose, "a", "b", 0, 0.5),
		e(Throttle, "a", "b", 100, 0), e(Throttle, "a", "b", 10, 0), e(Silent, "b", "a", 0, 0)}
	for _, k := range all {
		w.Add(k)
	}
	s := w.StateOf(Link{"a", "b"})
	require.Equal(t, LinkState{Delay: 300 * time.Millisecond, Lost: 0.75, BytesPerSecond: 10}, s)
	require.Equal(t, LinkState{Silent: true}, w.StateOf(Link{"b", "a"}), "each direction apart")
	require.Equal(t, LinkState{}, w.StateOf(Link{"c", "d"}))
	for _, k := range all {
		w.Remove(k)
	}
	require.Equal(t, LinkState{}, w.StateOf(Link{"a", "b"}))
}
