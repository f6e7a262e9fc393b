package relays

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/emulator/links"
)

// echoes is a process that sends back what it gets.
func echoes(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

var there, answers = links.Link{From: "a", To: "b"}, links.Link{From: "b", To: "a"}

func relayed(t *testing.T) (*Network, string) {
	n := New(1)
	t.Cleanup(n.Close)
	at, err := n.RelayTCP(there, echoes(t))
	require.NoError(t, err)
	return n, at
}

func dial(t *testing.T, at string) net.Conn {
	c, err := net.Dial("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// comes reads so many bytes, and tells after how long they were there.
func comes(t *testing.T, c net.Conn, count int) (string, time.Duration) {
	begun := time.Now()
	buffer := make([]byte, count)
	c.SetReadDeadline(begun.Add(5 * time.Second))
	_, err := io.ReadFull(c, buffer)
	require.NoError(t, err)
	return string(buffer), time.Since(begun)
}

func nothingComes(t *testing.T, c net.Conn, in time.Duration) {
	c.SetReadDeadline(time.Now().Add(in))
	_, err := c.Read(make([]byte, 1))
	var late net.Error
	require.True(t, errors.As(err, &late) && late.Timeout(), "%v", err)
}

// Guards against relays that change what they are not told to.
func TestRelayForwardsUnchanged(t *testing.T) {
	n, at := relayed(t)
	c := dial(t, at)
	text := strings.Repeat("0123456789", 100_000)
	go func() { io.WriteString(c, text); c.(*net.TCPConn).CloseWrite() }()
	back, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, bytes.Equal([]byte(text), back))
	require.EqualValues(t, 2*len(text), n.Counts().Bytes)
}

// Each trouble of connections does what it says, in its own direction.
func TestConnectionFaults(t *testing.T) {
	const ms = time.Millisecond
	n, at := relayed(t)
	c := dial(t, at)
	delay := links.Event{Fault: links.Delay, Link: answers, Amount: 0.1}
	n.Begin(delay)
	io.WriteString(c, "x")
	_, took := comes(t, c, 1)
	require.GreaterOrEqual(t, took, 90*ms)
	n.End(delay)

	hush := links.Event{Fault: links.Silent, Link: there}
	n.Begin(hush)
	io.WriteString(c, "held")
	nothingComes(t, c, 50*ms)
	n.End(hush)
	got, _ := comes(t, c, 4)
	require.Equal(t, "held", got, "as what is sent again arrives")
	require.Positive(t, n.Counts().Held)

	slow := links.Event{Fault: links.Throttle, Link: there, Amount: 1000}
	n.Begin(slow)
	io.WriteString(c, strings.Repeat("x", 200))
	_, took = comes(t, c, 200)
	require.GreaterOrEqual(t, took, 120*ms)
	n.End(slow)

	n.Begin(links.Event{Fault: links.Truncate, Link: there, Amount: 5})
	io.WriteString(c, "a whole frame")
	all, err := io.ReadAll(c)
	require.Error(t, err)
	require.LessOrEqual(t, len(all), 5)
	require.Equal(t, 1, n.Counts().Truncated)

	c = dial(t, at)
	io.WriteString(c, "x")
	comes(t, c, 1)
	n.Begin(links.Event{Fault: links.Reset, Link: links.Link{From: "*", To: "a"}})
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)

	cut := links.Event{Fault: links.Cut, Link: there}
	c = dial(t, at)
	n.Begin(cut)
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err, "the old one ends")
	c, err = net.Dial("tcp", at)
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	require.Error(t, err, "there is no new one")
	n.End(cut)
	c = dial(t, at)
	io.WriteString(c, "x")
	comes(t, c, 1)
}

// Each trouble of datagrams does what it says.
func TestDatagramFaults(t *testing.T) {
	hears, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer hears.Close()
	n := New(1)
	defer n.Close()
	at, err := n.RelayUDP(there, hears.LocalAddr().String())
	require.NoError(t, err)
	says, err := net.Dial("udp", at)
	require.NoError(t, err)
	defer says.Close()
	send := func(count int) (got []byte) {
		for i := range count {
			says.Write([]byte{byte(i)})
			time.Sleep(time.Millisecond / 2)
		}
		buffer := make([]byte, 16)
		for {
			hears.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
			if _, err := hears.Read(buffer); err != nil {
				return got
			}
			got = append(got, buffer[0])
		}
	}
	require.Len(t, send(50), 50)
	during := func(e links.Event, count int) []byte {
		e.Link = there
		n.Begin(e)
		defer n.End(e)
		return send(count)
	}
	require.Empty(t, during(links.Event{Fault: links.Silent}, 20))
	require.Empty(t, during(links.Event{Fault: links.Lose, Share: 1}, 20))
	some := len(during(links.Event{Fault: links.Lose, Share: 0.5}, 100))
	require.True(t, some > 20 && some < 80, "%d", some)
	require.Len(t, during(links.Event{Fault: links.Duplicate, Share: 1}, 20), 40)
	shuffled := during(links.Event{Fault: links.Reorder, Share: 0.3}, 60)
	require.Len(t, shuffled, 60)
	turned := 0
	for i := 1; i < len(shuffled); i++ {
		if shuffled[i] < shuffled[i-1] {
			turned++
		}
	}
	require.Positive(t, turned)
}

// fake is a process that notes what befalls it.
type fake struct {
	mu   sync.Mutex
	said []string
}

func (f *fake) note(what string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.said = append(f.said, what)
	return nil
}

func (f *fake) Pause() error                 { return f.note("pause") }
func (f *fake) Continue() error              { return f.note("continue") }
func (f *fake) Kill() error                  { return f.note("kill") }
func (f *fake) OffsetClock(by time.Duration) { f.note("off by " + by.String()) }
func (f *fake) Start(context.Context) error  { return f.note("start") }
func (f *fake) WipeDisk() error              { return f.note("wipe") }
func (f *fake) CopyDisk() error              { return f.note("copy") }
func (f *fake) RestoreDisk() error           { return f.note("put back") }
func (f *fake) StartTwin(context.Context) (func(), error) {
	f.note("twin")
	return func() { f.note("twin ends") }, nil
}

// Guards against troubles of a process that overlap, and against one that is left as it was when a night ends early.
func TestPlayerRunsTimelines(t *testing.T) {
	n := New(1)
	defer n.Close()
	f := &fake{}
	var out bytes.Buffer
	p := &Player{Network: n, Processes: map[string]Process{"a": f}, Output: &out}
	text := "0.000 copy a\n0.010 pause a for 0.03s\n0.020 old a for 0.01s\n0.030 silent x>y for 0.01s\n0.080 empty a for 0.01s\n0.110 twin a for 0.01s\n0.150 kill a for 0.01s\n0.180 skew a by -60s for 0.01s\n"
	timeline, err := links.Parse(text)
	require.NoError(t, err)
	require.NoError(t, p.Play(context.Background(), timeline))
	require.Equal(t, []string{"copy", "pause", "continue", "kill", "put back", "start", "kill", "wipe", "start", "twin", "twin ends", "kill",
		"start", "kill", "off by -1m0s", "start"}, f.said)
	require.Equal(t, text, out.String(), "what is printed can be played again")
	require.Equal(t, 1, p.FaultCounts()[links.RestoreDisk])
	require.ErrorContains(t, p.Play(context.Background(), links.Timeline{{Fault: links.Pause, Process: "b"}}), `there is no process "b"`)

	f.said = nil
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer stop()
	timeline, _ = links.Parse("0 pause a for 60s\n0 silent a>b for 60s\n50 kill a for 1s")
	require.NoError(t, p.Play(ctx, timeline))
	require.Equal(t, []string{"pause", "continue"}, f.said)
	state, _ := n.of(there)
	require.False(t, state.Silent)
}
