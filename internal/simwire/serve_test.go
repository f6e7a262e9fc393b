package simwire

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/rules"
)

const start = "BEGIN_BATCH\tsimTimeUs=1000\tn=1\n" +
	"NEW_INSTANCE\twho=3\tsalt=5\tclasses.count=1\tclasses.0.name=read\tclasses.0.effect=repeatable\t" +
	"classes.0.aimUs=500000\textra.readLevel=loose\textra.countedFromUs=0\tlimits.probing=true\tlimits.mostTries=3\tnew.key=7\n" +
	"PAGE\tslot=0\telements=1\nM\tmember=9\tgroup=4\tstageState=healthy\n" +
	"VIEW\twho=3\tindex=0\tmode=SAVED\tslot=0\n"

func serve(text string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(text), &out)
	return out.String(), err
}

func TestConversation(t *testing.T) {
	text := start + "EOB\n\n" +
		"BEGIN_BATCH\tsimTimeUs=5000\tn=2\n" +
		"PROBE_DONE\twho=3\tmember=9\twaitTimeUs=900\toutcome=200\treport=x0:0.004,x1:0\n" +
		"REQUEST\twho=3\txid=77\ttierClass=read\tgraceUs=200000\tcluster=4\tflags=0\nEOB\n" +
		"BEGIN_BATCH\tsimTimeUs=9000\tn=3\n" +
		"RESOLVED\twho=3\txid=77\tn=0\tmember=9\toutcome=503\twaitTimeUs=400\tposRole=18\nEOB\n"
	out, err := serve(text)
	require.NoError(t, err)
	replies := strings.SplitAfter(out, "YIELD")
	require.Contains(t, replies[0], "CHECK\twho=3\tmember=9\n")
	require.Contains(t, replies[1], "ATTEMPT\twho=3\txid=77\tmember=9\twithinUs=200000\n")
	require.NotContains(t, replies[2], "xid=77")
	again, _ := serve(text)
	require.Equal(t, out, again)
}

// Guards against an adapter that ends on a message with nothing in it, and against sending such: a replica whose position is over
// 30 s old has nothing that can be told.
func TestEmptyPeerMessages(t *testing.T) {
	text := strings.Replace(start, "limits.probing=true", "limits.probing=true\tlimits.peerMessages=true\tfleetSize=2", 1) + "EOB\n"
	for _, content := range []string{"-", "AA=="} {
		_, err := serve(text + "BEGIN_BATCH\tsimTimeUs=5000\tn=2\nWHISPER\twho=3\toriginPeer=1\tcontent=" + content + "\nEOB\n")
		require.NoError(t, err)
	}
	_, err := serve(text + "BEGIN_BATCH\tsimTimeUs=5000\tn=2\nWHISPER\twho=3\toriginPeer=1\tcontent=?\nEOB\n")
	require.ErrorContains(t, err, "content is not base64")
	var out strings.Builder
	d := &driver{w: &wire{out: bufio.NewWriter(&out), now: int64(100 * time.Second)}}
	d.SendReports([]rules.PeerReport{{Member: 9, Observation: rules.Observation{Role: rules.RoleReplica, Position: int64(60 * time.Second)}}})
	require.NoError(t, d.w.out.Flush())
	require.Empty(t, out.String())
	d.SendReports([]rules.PeerReport{{Member: 9, Observation: rules.Observation{Role: rules.RoleReplica, Position: int64(99 * time.Second)}}})
	require.NoError(t, d.w.out.Flush())
	require.Contains(t, out.String(), "SIGNAL")
}

func TestMalformedInput(t *testing.T) {
	for text, want := range map[string]string{
		start:                              "the input ends inside a batch",
		start + "EOB":                      "line 6: the last line is cut short",
		"HELLO\tn=1\n":                     `line 1: "HELLO" where a batch should begin`,
		start + "HELLO\twho=3\n":           `line 6: unknown message "HELLO"`,
		start + "REQUEST\twho=4\n":         "line 6: REQUEST: who=4 is not running",
		start + "REQUEST\twho=3\txid=-1\n": "line 6: REQUEST: tierClass is missing",
		start + "TIMEOUT_FIRED\twho=3\thandle=x\n":                                                   `line 6: TIMEOUT_FIRED: handle="x" is not a whole number`,
		start + "RESOLVED\twho=3\txid=1\tn=0\toutcome=600\n":                                         `line 6: RESOLVED: outcome="600" is not known`,
		start + "VIEW\twho=3\tmode=FULL\tslot=5\n":                                                   "line 6: VIEW: slot=5 holds no list",
		"BEGIN_BATCH\tsimTimeUs=1\tn=1\nNEW_INSTANCE\twho=1\tsalt=1\n":                               "line 2: NEW_INSTANCE: classes.count is missing",
		"BEGIN_BATCH\tsimTimeUs=1\tn=1\nPAGE\tslot=0\telements=2\nM\tmember=1\nEOB\n":                "line 3: M: stageState is missing",
		"BEGIN_BATCH\tsimTimeUs=1\tn=1\nNEW_INSTANCE\twho=1\tsalt=1\tclasses.count=-2\n":             "line 2: NEW_INSTANCE: classes.count=-2 is out of range",
		"BEGIN_BATCH\tsimTimeUs=1\tn=1\nNEW_INSTANCE\twho=1\tsalt=1\tclasses.count=0\tfleetSize=0\n": "line 2: NEW_INSTANCE: fleetSize=0 is out of range",
	} {
		_, err := serve(text)
		require.ErrorContains(t, err, want)
		require.NotContains(t, err.Error(), "\n")
	}
}
