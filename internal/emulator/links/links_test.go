package links

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testSpecs() []FaultSpec {
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

// Guards against timelines that can't be replayed: a seed must give the same timeline, and the text
// form must be complete.
func TestTimelineIsReproducible(t *testing.T) {
	drawn := Draw(7, 20*time.Second, testSpecs())
	require.Equal(t, drawn, Draw(7, 20*time.Second, testSpecs()))
	require.NotEqual(t, drawn, Draw(8, 20*time.Second, testSpecs()))
	require.Greater(t, len(drawn), 100)
	parsed, err := Parse(drawn.String())
	require.NoError(t, err)
	require.Equal(t, drawn, parsed)
	seen := map[FaultType]bool{}
	for _, e := range drawn {
		seen[e.Fault] = true
		require.Less(t, e.At, 20*time.Second)
		require.NotEqual(t, Link{"a", "a"}, e.Link)
	}
	require.Len(t, seen, len(testSpecs()))
	require.Greater(t, drawn.End(), 19*time.Second)
	fewer := Draw(7, 20*time.Second, testSpecs()[:2])
	for _, e := range fewer {
		require.Contains(t, drawn, e, "an additional spec must not change the events of the others")
	}
}

// Guards against malformed timelines being accepted.
func TestParseRejectsMalformedTimelines(t *testing.T) {
	for text, message := range map[string]string{
		"1 delay":                            "line 1: want a time, a fault",
		"# fine\n\nx delay a>b by 1s for 1s": "line 3: \"x\" is not a non-negative number",
		"1 rain a>b for 1s":                  "unknown fault \"rain\"",
		"1 delay a by 1s for 1s":             "\"a\" is not a link",
		"1 pause a>b for 1s":                 "applies to a process",
		"1 delay a>b for 1s":                 "delay needs parameter \"by\"",
		"1 delay a>b by 1s":                  "delay needs parameter \"for\"",
		"1 delay a>b by 1s by 2s for 1s":     "has no value or is repeated",
		"1 delay a>b by -1s for 1s":          "delay is negative",
		"1 delay a>b by 1s for":              "has no value or is repeated",
		"1 silent a>b by 1s for 1s":          "silent has no parameter \"by\"",
		"1 silent a>b spread 1s for 1s":      "has no parameter \"spread\"",
		"1 lossy a>b share 1.5 for 1s":       "is greater than 1",
		"1 slow a>b to 0B/s for 1s":          "use silent instead",
		"1 slow a>b to NaNB/s for 1s":        "is not a non-negative number",
		"1 pause a for 1e9s":                 "is not a non-negative number",
		"-1 pause a for 1s":                  "is not a non-negative number",
		"1 pause a for 1":                    "with unit \"s\"",
	} {
		_, err := Parse(text)
		require.ErrorContains(t, err, message, text)
	}
	got, err := Parse("2 reset a>*\n1 skew a by -60s for 2s # minutes off")
	require.NoError(t, err)
	require.Equal(t, Timeline{{At: time.Second, Fault: SkewClock, Process: "a", Amount: -60, Duration: 2 * time.Second},
		{At: 2 * time.Second, Fault: Reset, Link: Link{"a", "*"}}}, got)
}

// Guards against concurrent faults on a link masking one another.
func TestFaultsCombine(t *testing.T) {
	var faults ActiveFaults
	event := func(fault FaultType, from, to string, amount, share float64) Event {
		return Event{Fault: fault, Link: Link{from, to}, Amount: amount, Share: share}
	}
	all := []Event{event(Delay, "a", "b", 0.1, 0), event(Delay, "*", "b", 0.2, 0), event(Lose, "a", "*", 0, 0.5), event(Lose, "a", "b", 0, 0.5),
		event(Throttle, "a", "b", 100, 0), event(Throttle, "a", "b", 10, 0), event(Silent, "b", "a", 0, 0)}
	for _, active := range all {
		faults.Add(active)
	}
	state := faults.StateOf(Link{"a", "b"})
	require.Equal(t, LinkState{Delay: 300 * time.Millisecond, Lost: 0.75, BytesPerSecond: 10}, state)
	require.Equal(t, LinkState{Silent: true}, faults.StateOf(Link{"b", "a"}), "directions are independent")
	require.Equal(t, LinkState{}, faults.StateOf(Link{"c", "d"}))
	for _, active := range all {
		faults.Remove(active)
	}
	require.Equal(t, LinkState{}, faults.StateOf(Link{"a", "b"}))
}
