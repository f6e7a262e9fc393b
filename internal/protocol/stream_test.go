package protocol

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/transport"
)

// script is a connection on which a text comes, then its end. What is written is kept.
type script struct {
	net.Conn
	in    *strings.Reader
	heard strings.Builder
}

func (s *script) Read(p []byte) (int, error)  { return s.in.Read(p) }
func (s *script) Write(p []byte) (int, error) { return s.heard.Write(p) }
func (s *script) Close() error                { return nil }

func feed(text string) (*transport.Conn, *script) {
	s := &script{in: strings.NewReader(text)}
	return transport.NewConn(context.Background(), s, RingBytes, func() {}), s
}

// said is a message as it is on the wire.
func said(kind byte, body string) string {
	n := len(body) + 4
	return string([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}) + body
}

const (
	mostValue = 1 << 20

	hello = "\x00\x00\x00\x08\x00\x03\x00\x00"
	about = "T\x00\x00\x00\x1a\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	value = "D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x01x"
	row   = about + value + "C\x00\x00\x00\x0dSELECT 1\x00"
	ready = "Z\x00\x00\x00\x05I"
	told  = "S\x00\x00\x00\x15node_role\x00leader\x00" + "S\x00\x00\x00\x16replay_position\x007\x00"
)

// Guards against clients whose messages can't be followed, and against losing those that can be.
func TestClientStreams(t *testing.T) {
	for _, c := range []struct {
		text, query, answer string
		end                 transport.CloseReason
	}{
		{hello + said('Q', "one\x00"), "one", "", transport.Open},
		{"\x00\x00\x00\x08\x04\xd2\x16\x2f" + hello + said('Q', "one\x00"), "one", "N", transport.Open},
		{hello + said('P', "x") + said('B', "") + said('S', "") + said('Q', "two\x00"), "two", StateNotSupported, transport.Open},
		{hello + said('X', ""), "", "", transport.ClosedByPeer},
		{hello + said('Q', "one"), "", StateProtocolViolation, transport.Malformed},
		{hello + said('Q', "o\x00ne\x00"), "", StateProtocolViolation, transport.Malformed},
		{hello + said('y', ""), "", StateProtocolViolation, transport.Malformed},
		{hello + "Q\x00\x00\x00\x03", "", StateProtocolViolation, transport.Malformed},
		{hello + "Q\x7f\x00\x00\x00", "", StateProtocolViolation, transport.TooLong},
		{hello + "Q\x00\x00\x00\x09one", "", "", transport.Truncated},
		{"\x00\x00\x00\x07", "", "", transport.Truncated},
		{"\x00\x00\x00\x07\x00\x03\x00\x00", "", StateProtocolViolation, transport.Malformed},
		{"\x00\x00\x00\x08\x00\x02\x00\x00", "", StateNotSupported, transport.Malformed},
	} {
		conn, s := feed(c.text)
		client := Client{conn}
		query := ""
		_, end := client.Handshake(CancelKey{}, func(CancelKey) {})
		if end == transport.Open {
			query, _, end = client.ReadQuery()
		}
		require.Equal(t, c.end, end, "%q", c.text)
		require.Equal(t, c.query, query)
		require.Contains(t, s.heard.String(), c.answer)
	}
}

// Guards against replies of members taken for whole that are not, and the other way round.
func TestAnswers(t *testing.T) {
	refused := said('E', "SERROR\x00C25006\x00Mno\x00\x00")
	for text, want := range map[string]struct {
		whole bool
		state string
		end   transport.CloseReason
	}{
		row + told + ready:                      {true, "", transport.Open},
		row:                                     {true, "", transport.ClosedByPeer},
		row + row + ready:                       {false, "", transport.Malformed},
		row + "noise" + ready:                   {false, "", transport.TooLong},
		row + said('Z', "?"):                    {false, "", transport.Malformed},
		row[:len(row)-1]:                        {false, "", transport.Truncated},
		about + ready:                           {false, "", transport.Malformed},
		ready:                                   {false, "", transport.Malformed},
		said('N', "x") + refused + told + ready: {true, "25006", transport.Open},
		said('E', "SFATAL\x00C53300\x00\x00"):   {true, "53300", transport.ClosedByPeer},
		said('E', "SERROR\x00"):                 {false, "", transport.Malformed},
		row + said('S', "replay_position\x00-7\x00") + said('S', "no") + ready: {true, "", transport.Open},
		"D\xff\xff\xff\xff":                                       {false, "", transport.TooLong},
		said('T', "\x00\x02") + ready:                             {false, "", transport.Malformed},
		strings.Replace(row, "v\x00", "vv", 1) + ready:            {false, "", transport.Malformed},
		strings.Replace(row, "\x00\x01x", "\x00\x02x", 1) + ready: {false, "", transport.Malformed},
		strings.Replace(row, "\x00\x01x", "\x00\x00x", 1) + ready: {false, "", transport.Malformed},
		about + said('D', "\x00\x01\xff\xff\xff\xff") + ready:     {false, "", transport.Malformed},
		about + said('D', "\x00\x01\x00") + ready:                 {false, "", transport.Malformed},
		strings.Replace(row, "SELECT 1", "SELECT 2", 1) + ready:   {false, "", transport.Malformed},
		about + value + said('C', "SELECT 1") + ready:             {false, "", transport.Malformed},
		"": {false, "", transport.ClosedByPeer},
	} {
		conn, _ := feed(text)
		a := &Answer{}
		whole, end := a.read(Member{Conn: conn, most: mostValue})
		require.Equal(t, want.whole, whole, "%q", text)
		require.Equal(t, want.end, end, "%q", text)
		if want.whole && want.state == "" {
			require.Nil(t, a.Failure)
			require.Equal(t, "x", a.Value())
		} else if want.whole {
			require.Equal(t, want.state, a.Failure.SQLState)
		}
		conn.Close(transport.ShutDown)
	}
}

// Guards against answers that are changed on their way, also those larger than any ring.
func TestAnswersPassUnaltered(t *testing.T) {
	large := about + said('D', "\x00\x01\x00\x08\x00\x00"+strings.Repeat("0123456789abcdef", 1<<15)) + said('C', "SELECT 1\x00")
	from, _ := feed(large + ready)
	whole := &Answer{}
	_, end := whole.read(Member{Conn: from, most: mostValue})
	require.Equal(t, transport.Open, end)
	to, far := feed("")
	require.Equal(t, transport.Open, Client{to}.Forward(whole))
	require.Equal(t, large+ready, far.heard.String())
	from, _ = feed(large + ready)
	_, end = new(Answer).read(Member{Conn: from, most: 1 << 18})
	require.Equal(t, transport.TooLong, end)

	conn, _ := feed(row + told + ready)
	a := &Answer{}
	_, end = a.read(Member{Conn: conn, most: mostValue})
	require.Equal(t, transport.Open, end)
	require.True(t, a.IsPrimary)
	require.EqualValues(t, 7, a.PositionMillis)
	conn, client := feed("")
	require.Equal(t, transport.Open, Client{conn}.Forward(a))
	require.Equal(t, row+ready, client.heard.String())
}

// Guards against discovery's replies in any of HTTP's framings, and against broken ones.
func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, want := range map[string]struct {
		body string
		end  transport.CloseReason
	}{
		ok + "Content-Length: 2\r\n\r\n{}":                                       {"{}", transport.Open},
		ok + "Transfer-Encoding: chunked\r\n\r\n1;x\r\n{\r\n1\r\n}\r\n0\r\n\r\n": {"{}", transport.Open},
		ok + "Connection: close\r\n\r\n{}":                                       {"{}", transport.Open},
		ok + "Content-Length: 3\r\n\r\n{}":                                       {"{}", transport.Truncated},
		ok + "Content-Length: -3\r\n\r\n{}":                                      {"", transport.Malformed},
		ok + "Content-Length: 99999999\r\n\r\n{}":                                {"", transport.TooLong},
		ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                          {"", transport.Malformed},
		ok + "nothing\r\n\r\n":                                                   {"", transport.Malformed},
		"HTTP/1.1 two hundred\r\n\r\n":                                           {"", transport.Malformed},
		"SSH-2.0\r\n":                                                            {"", transport.Malformed},
		strings.Repeat("x", mostHead+1):                                          {"", transport.TooLong},
		"":                                                                       {"", transport.ClosedByPeer},
	} {
		conn, _ := feed(text)
		r, end := readResponse(conn)
		require.Equal(t, want.end, end, "%.80q", text)
		require.Equal(t, want.body, string(r.body), "%.80q", text)
		conn.Close(transport.ShutDown)
	}
}

// Guards against a list that is taken in though it can't be right.
func TestTargetsRefused(t *testing.T) {
	for text, want := range map[string]string{
		`{"instances":[{"hostPort":"h:1","lifecycle":"SERVING"}]}`:                                   "instanceId is missing",
		`{"instances":[{"instanceId":"a","lifecycle":"SERVING"}]}`:                                   "hostPort is missing",
		`{"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"GONE"}]}`:                     "GONE",
		`{"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"SERVING","startedAtMs":-1}]}`: "startedAtMs",
		`{"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"SERVING","cell":"two"}]}`:     "cell",
		`{"instances":`: "unexpected end",
	} {
		_, err := ParseTargets([]byte(text))
		require.ErrorContains(t, err, want)
	}
}

func FuzzClient(f *testing.F) {
	f.Add(hello + said('Q', "one\x00") + said('P', "") + said('S', "") + said('X', ""))
	f.Add("\x00\x00\x00\x08\x04\xd2\x16\x2f" + hello + "Q\x00\x00\x00\x03")
	f.Fuzz(func(t *testing.T, text string) {
		conn, _ := feed(text)
		client := Client{conn}
		for _, end := client.Handshake(CancelKey{}, func(CancelKey) {}); end == transport.Open; {
			_, _, end = client.ReadQuery()
		}
	})
}

func FuzzMember(f *testing.F) {
	f.Add(row + told + ready)
	f.Add(said('E', "SFATAL\x00C53300\x00Mno\x00Dx\x00\x00"))
	f.Fuzz(func(t *testing.T, text string) {
		conn, _ := feed(text)
		a := &Answer{}
		if whole, _ := a.read(Member{Conn: conn, most: mostValue}); whole && a.Failure == nil {
			require.Len(t, a.messages, len(rowKinds))
			a.Value()
		}
		Member{Conn: conn, most: mostValue}.greeted()
	})
}

func FuzzDiscovery(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
	f.Add("HTTP/1.0 200 OK\r\n\r\n" + `{"generation":4,"reset":true,"instances":[{"instanceId":"a","hostPort":"b:1","lifecycle":"SERVING"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		conn, _ := feed(text)
		r, _ := readResponse(conn)
		ParseTargets(r.body)
	})
}

// Guards against news that mean something else at the driver that hears them.
func FuzzNews(f *testing.F) {
	const now = 1767225600123
	one := Observation{Member: 1<<32 - 1, Role: 2, PositionMillis: now - 4711, LatencyMillis: 88, MinUptimeSeconds: 17}
	f.Add(string(AppendObservation(nil, one, now)))
	f.Add(string(AppendObservation(AppendObservation(nil, Observation{PositionMillis: now + 20}, now), one, now)))
	f.Add("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")
	told, ok := ParseObservations(AppendObservation(AppendObservation(nil, Observation{PositionMillis: now - MaxPositionAgeMillis - 1}, now), one, now), now+1500)
	require.True(f, ok)
	require.Equal(f, []Observation{one}, told, "what is too old is left out, and what was told means the same a little later")
	f.Fuzz(func(t *testing.T, text string) {
		news, ok := ParseObservations([]byte(text), now)
		if !ok {
			return
		}
		var again []byte
		for _, n := range news {
			before := len(again)
			again = AppendObservation(again, n, now)
			if len(again) == before { // too far from now to be told
				return
			}
			require.LessOrEqual(t, len(again)-before, newsBytes)
		}
		same, ok := ParseObservations(again, now)
		require.True(t, ok || len(again) > MaxMessageBytes)
		if ok {
			require.Equal(t, news, same)
		}
	})
}

// Guards against a message of another version's form that is taken for one of this.
func TestMessagesOfAnotherLength(t *testing.T) {
	for _, length := range []int{1, 7, 9, 257, 264} {
		_, ok := ParseObservations([]byte(strings.Repeat("\x01", length)), 1767225600123)
		require.False(t, ok, length)
	}
}
