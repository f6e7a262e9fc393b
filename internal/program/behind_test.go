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

// Guards against queries whose time begins with their turn: each counts from when its last byte came, whatever stood before it on
// its connection. One whose time is over then gets its answer in its turn, at once and with no attempt, and those behind it
// are not held up by it.
func TestPipelinedQueryDeadlines(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	v := startDriver(t, newFakeDiscovery(t, primary), nil)
	c := v.connect(t)
	require.Equal(t, "from p", c.ask(t, statement("write", 1900)))
	primary.setBehavior("silent")
	expired, head, short, after := statement("write", 300), statement("write", 500), statement("write", 700), statement("write", 1900)
	begun := time.Now()
	io.WriteString(c, message("Q", head+"\x00")+message("Q", expired+"\x00")+message("Q", short+"\x00")[:25])
	time.Sleep(100 * time.Millisecond) // its last byte comes later
	io.WriteString(c, (message("Q", short+"\x00") + message("Q", after+"\x00"))[25:])
	at := func() time.Duration { return time.Since(begun).Round(time.Millisecond) }
	between := func(least, most time.Duration, what string) {
		require.GreaterOrEqual(t, at(), least, what)
		require.Less(t, at(), most, what)
	}
	c.readReply(t)
	between(480*time.Millisecond, 600*time.Millisecond, "the head")
	require.Equal(t, "08007", c.readReply(t))
	between(480*time.Millisecond, 600*time.Millisecond, "the one whose time is over")
	time.Sleep(50 * time.Millisecond) // the next is out
	primary.setBehavior("")
	c.readReply(t)
	between(780*time.Millisecond, 950*time.Millisecond, "the one that is told in pieces")
	require.Equal(t, "from p", c.readReply(t))
	between(780*time.Millisecond, 1500*time.Millisecond, "the last")
	tells := map[string]int{}
	for _, s := range primary.statements()[1:] {
		for name, sent := range map[string]string{"head": head, "over": expired, "short": short, "after": after} {
			if id := regexp.MustCompile(`id=\d+,`).FindString(sent); strings.Contains(s, id) {
				tells[name], _ = strconv.Atoi(regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(s)[1])
			}
		}
	}
	require.Len(t, tells, 3, "nothing is sent of the one whose time is over")
	require.LessOrEqual(t, tells["short"], 310, "the member is told what is left")
	require.LessOrEqual(t, tells["after"], 1230)
}
