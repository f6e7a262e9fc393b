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

// startEchoServer starts a server that sends back what it receives.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return listener.Addr().String()
}

var forwardLink, reverseLink = links.Link{From: "a", To: "b"}, links.Link{From: "b", To: "a"}

func newEchoRelay(t *testing.T) (*Network, string) {
	network := New(1)
	t.Cleanup(network.Close)
	address, err := network.RelayTCP(forwardLink, startEchoServer(t))
	require.NoError(t, err)
	return network, address
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// readBytes reads the given number of bytes and returns them with the time it took.
func readBytes(t *testing.T, c net.Conn, count int) (string, time.Duration) {
	start := time.Now()
	buffer := make([]byte, count)
	c.SetReadDeadline(start.Add(5 * time.Second))
	_, err := io.ReadFull(c, buffer)
	require.NoError(t, err)
	return string(buffer), time.Since(start)
}

func requireNoData(t *testing.T, c net.Conn, wait time.Duration) {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	var netErr net.Error
	require.True(t, errors.As(err, &netErr) && netErr.Timeout(), "%v", err)
}

// Guards against relays that alter data while no fault is active.
func TestRelayForwardsUnchanged(t *testing.T) {
	network, address := newEchoRelay(t)
	c := dial(t, address)
	text := strings.Repeat("0123456789", 100_000)
	go func() { io.WriteString(c, text); c.(*net.TCPConn).CloseWrite() }()
	received, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, bytes.Equal([]byte(text), received))
	require.EqualValues(t, 2*len(text), network.Counts().Bytes)
}

// Each connection fault must take effect, and only in its own direction.
func TestConnectionFaults(t *testing.T) {
	const ms = time.Millisecond
	network, address := newEchoRelay(t)
	c := dial(t, address)
	delay := links.Event{Fault: links.Delay, Link: reverseLink, Amount: 0.1}
	network.Begin(delay)
	io.WriteString(c, "x")
	_, elapsed := readBytes(t, c, 1)
	require.GreaterOrEqual(t, elapsed, 90*ms)
	network.End(delay)

	silence := links.Event{Fault: links.Silent, Link: forwardLink}
	network.Begin(silence)
	io.WriteString(c, "held")
	requireNoData(t, c, 50*ms)
	network.End(silence)
	got, _ := readBytes(t, c, 4)
	require.Equal(t, "held", got, "data held by a silent link must be delivered afterwards")
	require.Positive(t, network.Counts().Held)

	throttle := links.Event{Fault: links.Throttle, Link: forwardLink, Amount: 1000}
	network.Begin(throttle)
	io.WriteString(c, strings.Repeat("x", 200))
	_, elapsed = readBytes(t, c, 200)
	require.GreaterOrEqual(t, elapsed, 120*ms)
	network.End(throttle)

	network.Begin(links.Event{Fault: links.Truncate, Link: forwardLink, Amount: 5})
	io.WriteString(c, "a whole frame")
	all, err := io.ReadAll(c)
	require.Error(t, err)
	require.LessOrEqual(t, len(all), 5)
	require.Equal(t, 1, network.Counts().Truncated)

	c = dial(t, address)
	io.WriteString(c, "x")
	readBytes(t, c, 1)
	network.Begin(links.Event{Fault: links.Reset, Link: links.Link{From: "*", To: "a"}})
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)

	cut := links.Event{Fault: links.Cut, Link: forwardLink}
	c = dial(t, address)
	network.Begin(cut)
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err, "existing connections must end")
	c, err = net.Dial("tcp", address)
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	require.Error(t, err, "new connections must fail")
	network.End(cut)
	c = dial(t, address)
	io.WriteString(c, "x")
	readBytes(t, c, 1)
}

// Each datagram fault must take effect.
func TestDatagramFaults(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer receiver.Close()
	network := New(1)
	defer network.Close()
	address, err := network.RelayUDP(forwardLink, receiver.LocalAddr().String())
	require.NoError(t, err)
	sender, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer sender.Close()
	send := func(count int) (got []byte) {
		for i := range count {
			sender.Write([]byte{byte(i)})
			time.Sleep(time.Millisecond / 2)
		}
		buffer := make([]byte, 16)
		for {
			receiver.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
			if _, err := receiver.Read(buffer); err != nil {
				return got
			}
			got = append(got, buffer[0])
		}
	}
	require.Len(t, send(50), 50)
	sendDuring := func(e links.Event, count int) []byte {
		e.Link = forwardLink
		network.Begin(e)
		defer network.End(e)
		return send(count)
	}
	require.Empty(t, sendDuring(links.Event{Fault: links.Silent}, 20))
	require.Empty(t, sendDuring(links.Event{Fault: links.Lose, Share: 1}, 20))
	received := len(sendDuring(links.Event{Fault: links.Lose, Share: 0.5}, 100))
	require.True(t, received > 20 && received < 80, "%d", received)
	require.Len(t, sendDuring(links.Event{Fault: links.Duplicate, Share: 1}, 20), 40)
	reordered := sendDuring(links.Event{Fault: links.Reorder, Share: 0.3}, 60)
	require.Len(t, reordered, 60)
	inversions := 0
	for i := 1; i < len(reordered); i++ {
		if reordered[i] < reordered[i-1] {
			inversions++
		}
	}
	require.Positive(t, inversions)
}

// fakeProcess records the calls that it receives.
type fakeProcess struct {
	mu    sync.Mutex
	calls []string
}

func (f *fakeProcess) record(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return nil
}

func (f *fakeProcess) Pause() error                 { return f.record("pause") }
func (f *fakeProcess) Continue() error              { return f.record("continue") }
func (f *fakeProcess) Kill() error                  { return f.record("kill") }
func (f *fakeProcess) OffsetClock(by time.Duration) { f.record("offset " + by.String()) }
func (f *fakeProcess) Start(context.Context) error  { return f.record("start") }
func (f *fakeProcess) WipeDisk() error              { return f.record("wipe") }
func (f *fakeProcess) CopyDisk() error              { return f.record("copy") }
func (f *fakeProcess) RestoreDisk() error           { return f.record("restore") }
func (f *fakeProcess) StartTwin(context.Context) (func(), error) {
	f.record("twin")
	return func() { f.record("twin ends") }, nil
}

// Guards against overlapping faults of one process, and against faults left in effect when the
// context ends early.
func TestPlayerRunsTimelines(t *testing.T) {
	network := New(1)
	defer network.Close()
	process := &fakeProcess{}
	var out bytes.Buffer
	player := &Player{Network: network, Processes: map[string]Process{"a": process}, Output: &out}
	text := "0.000 copy a\n0.010 pause a for 0.03s\n0.020 old a for 0.01s\n0.030 silent x>y for 0.01s\n0.080 empty a for 0.01s\n0.110 twin a for 0.01s\n0.150 kill a for 0.01s\n0.180 skew a by -60s for 0.01s\n"
	timeline, err := links.Parse(text)
	require.NoError(t, err)
	require.NoError(t, player.Play(context.Background(), timeline))
	require.Equal(t, []string{"copy", "pause", "continue", "kill", "restore", "start", "kill", "wipe", "start", "twin", "twin ends", "kill",
		"start", "kill", "offset -1m0s", "start"}, process.calls)
	require.Equal(t, text, out.String(), "the output must be a timeline that can be parsed")
	require.Equal(t, 1, player.FaultCounts()[links.RestoreDisk])
	require.ErrorContains(t, player.Play(context.Background(), links.Timeline{{Fault: links.Pause, Process: "b"}}), `unknown process "b"`)

	process.calls = nil
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer stop()
	timeline, _ = links.Parse("0 pause a for 60s\n0 silent a>b for 60s\n50 kill a for 1s")
	require.NoError(t, player.Play(ctx, timeline))
	require.Equal(t, []string{"pause", "continue"}, process.calls)
	state, _ := network.linkState(forwardLink)
	require.False(t, state.Silent)
}
