package program_test

import (
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against pipelined queries whose timeout starts with their turn instead of their arrival.
// An expired query is answered in turn, without an attempt, and does not delay the queries behind
// it.
func TestPipelinedQueryDeadlines(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	driver := startDriver(t, newFakeDiscovery(t, primary), nil)
	client := driver.connect(t)
	require.Equal(t, "from p", client.ask(t, statement("write", 1900)))
	primary.setBehavior("silent")
	expired, head, short, after := statement("write", 300), statement("write", 500), statement("write", 700), statement("write", 1900)
	startTime := time.Now()
	io.WriteString(client, message("Q", head+"\x00")+message("Q", expired+"\x00")+message("Q", short+"\x00")[:25])
	time.Sleep(100 * time.Millisecond) // the rest of the third query arrives later
	io.WriteString(client, (message("Q", short+"\x00") + message("Q", after+"\x00"))[25:])
	elapsed := func() time.Duration { return time.Since(startTime).Round(time.Millisecond) }
	between := func(minimum, maximum time.Duration, what string) {
		require.GreaterOrEqual(t, elapsed(), minimum, what)
		require.Less(t, elapsed(), maximum, what)
	}
	client.readReply(t)
	between(480*time.Millisecond, 600*time.Millisecond, "the first query")
	require.Equal(t, "08007", client.readReply(t))
	between(480*time.Millisecond, 600*time.Millisecond, "the expired query")
	time.Sleep(50 * time.Millisecond) // the next attempt is sent
	primary.setBehavior("")
	client.readReply(t)
	between(780*time.Millisecond, 950*time.Millisecond, "the query sent in two pieces")
	require.Equal(t, "from p", client.readReply(t))
	between(780*time.Millisecond, 1500*time.Millisecond, "the last query")
	timeouts := map[string]int{}
	for _, received := range primary.statements()[1:] {
		for name, sent := range map[string]string{"head": head, "expired": expired, "short": short, "after": after} {
			if id := regexp.MustCompile(`id=\d+,`).FindString(sent); strings.Contains(received, id) {
				timeouts[name], _ = strconv.Atoi(regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(received)[1])
			}
		}
	}
	require.Len(t, timeouts, 3, "the expired query is not sent")
	require.LessOrEqual(t, timeouts["short"], 310, "the member gets the remaining time")
	require.LessOrEqual(t, timeouts["after"], 1230)
}
