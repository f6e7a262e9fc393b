package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The list of known failing tests must name existing tests exactly, each once and with an issue, so that
// CI skips no others.
func TestKnownRed(t *testing.T) {
	for text, want := range map[string]string{
		"": "",
		"TestKnownRed: it is only an example (issue 33)\n":                "^(TestKnownRed)$",
		"TestKnownRed: one (issue 33)\nTestScenarios: another (issue 34)": "^(TestKnownRed|TestScenarios)$",
		"TestThatIsNot: there is no such test (issue 33)\n":               "fails: there is no test TestThatIsNot",
		"TestKnown: a part of a name is not the name (issue 33)\n":        "fails: there is no test TestKnown",
		"Test.*: a pattern (issue 33)\n":                                  "fails: is not",
		"TestKnownRed: no issue\n":                                        "fails: is not",
		"\n":                                                              "fails: is not",
		strings.Repeat("TestKnownRed: named again (issue 33)\n", 2):       "fails: named twice: TestKnownRed",
		"TestKnownRed: " + strings.Repeat("long ", 50) + "(issue 33)\n":   "fails: too long",
		"TestKnownRed: why; make soak, seed 3 (issue 33)\n":               "^(TestKnownRed)$",
	} {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		cmd := exec.Command("bash", "../../.ci/known-red", file)
		var stderr strings.Builder
		cmd.Stderr = &stderr
		out, err := cmd.Output()
		if reason, fails := strings.CutPrefix(want, "fails: "); fails {
			require.Error(t, err, text)
			require.Contains(t, stderr.String(), reason, text)
			require.Empty(t, out)
			continue
		}
		require.NoError(t, err, stderr.String())
		require.Equal(t, want, strings.TrimSpace(string(out)))
		require.Contains(t, stderr.String(), strings.TrimSpace(text), "skipped tests are printed")
	}
}
