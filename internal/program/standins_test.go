package program_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sedgespread/internal/program"
)

const soon = 5 * time.Second // within which what is waited for must come

func eventually(t *testing.T, what string, ok func() bool) {
	for begun := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		require.Less(t, time.Since(begun), soon, what)
	}
}

// stream speaks PostgreSQL's messages.
type stream struct {
	net.Conn
	in  *bufio.Reader
	key string // that a driver told it at its start
}

func newStream(c net.Conn) *stream { return &stream{Conn: c, in: bufio.NewReader(c)} }

func (s *stream) read() (kind byte, body string, err error) {
	if kind, err = s.in.ReadByte(); err != nil {
		return 0, "", err
	}
	body, err = s.readBody()
	return kind, body, err
}

func (s *stream) readBody() (string, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.in, head[:]); err != nil {
		return "", err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:])-4)
	_, err := io.ReadFull(s.in, body)
	return string(body), err
}

func said(kind string, body string) string {
	return kind + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func row(value string) string {
	size := string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))
	return said("T", "\x00\x01v\x00"+strings.Repeat("\x00", 18)) + said("D", "\x00\x01"+size+value) + said("C", "SELECT 1\x00")
}

func failure(state string) string { return said("E", "SERROR\x00C"+state+"\x00Mno\x00\x00") }

// member is a stand-in for a member.
type member struct {
	name   string
	listen net.Listener
	mu     sync.Mutex
	role   string
	act    string // what it does with statements: a state, "reset" or "silent"; empty for serving them
	got    []string
	states func() status // what its answers state of itself; nil for its role, and a position that is now
	report func() string // its load report; nil for one that says the same
	sent   []exchange    // what it answered clients' statements, in the order of its answers
	looks  int           // probes that it got
	opened int           // connections, past their startup messages
	conns  map[net.Conn]bool
	link   sync.RWMutex // held for writing while nothing gets through
}

// status is what a member states of itself: "leader" or "follower", and its log position in Unix milliseconds.
type status struct {
	role     string
	position int64
}

// exchange is one statement of a client as a member saw it.
type exchange struct {
	came, answered time.Time // its last byte; just before its answer was written
	status                   // what the answer stated
}

func (m *member) status() status {
	if m.states != nil {
		return m.states()
	}
	return status{m.role, time.Now().UnixMilli()}
}

// text is the status as the messages of an answer.
func (s status) text() string {
	return said("S", "node_role\x00"+s.role+"\x00") + said("S", fmt.Sprintf("replay_position\x00%d\x00", s.position))
}

// reported is the load report that states it.
func (s status) reported() string {
	return fmt.Sprintf("x0=%d.%03d,x1=%d", s.position/1000, s.position%1000, map[string]int{"leader": 1}[s.role])
}

func newMember(t *testing.T, name, role string) *member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &member{name: name, listen: l, role: role, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[c] = true
			m.mu.Unlock()
			go m.serve(newStream(c))
		}
	}()
	t.Cleanup(m.die)
	return m
}

// die resets all connections and refuses new ones.
func (m *member) die() {
	m.listen.Close()
	m.dropAll()
}

func (m *member) dropAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (m *member) does(act string) {
	m.mu.Lock()
	m.act = act
	m.mu.Unlock()
}

// statements are those that it got from clients.
func (m *member) statements() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.got...)
}

// counts are the connections that were opened to it, and the probes that it got.
func (m *member) counts() (opened, looks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opened, m.looks
}

// hold lets nothing through any more, so that new connections are long in coming up, and drops the old ones; the function
// that it gives ends that.
func (m *member) hold() (release func()) {
	m.link.Lock()
	m.dropAll()
	return m.link.Unlock
}

func (m *member) serve(s *stream) {
	defer s.Close()
	if _, err := s.readBody(); err != nil {
		return
	}
	m.mu.Lock()
	m.opened++
	m.mu.Unlock()
	m.link.RLock()
	//lint:ignore SA2001 waits while hold blocks the link
	m.link.RUnlock()
	io.WriteString(s, said("R", "\x00\x00\x00\x00")+said("Z", "I"))
	for {
		kind, body, err := s.read()
		if err != nil || kind != 'Q' {
			return
		}
		came := time.Now()
		m.link.RLock()
		//lint:ignore SA2001 waits while hold blocks the link
		m.link.RUnlock()
		io.WriteString(s, m.answer(s, strings.TrimSuffix(body, "\x00"), came))
	}
}

func (m *member) answer(s *stream, statement string, came time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	is := m.status()
	tail := is.text() + said("Z", "I")
	if statement == "SHOW server_load" {
		m.looks++
		if m.report != nil {
			return row(m.report()) + said("Z", "I")
		}
		return row(is.reported()) + tail
	}
	m.sent = append(m.sent, exchange{came, time.Now(), is})
	m.got = append(m.got, statement)
	switch m.act {
	case "":
		return row("from "+m.name) + tail
	case "reset":
		s.Conn.(*net.TCPConn).SetLinger(0)
		s.Close()
		return ""
	case "silent":
		return ""
	case "twice": // more than is its own, the rest a moment later
		time.AfterFunc(5*time.Millisecond, func() { io.WriteString(s, row("late")+tail) })
		return row("from "+m.name) + tail + row("more") + tail
	}
	if text, ok := strings.CutPrefix(m.act, "raw "); ok {
		return text
	}
	return failure(m.act) + tail
}

// discovery is a stand-in for discovery.
type discovery struct {
	*httptest.Server
	mu         sync.Mutex
	generation int
	states     map[*member]string
	down       bool
	asked      int
	changed    chan struct{}
}

func newDiscovery(t *testing.T, members ...*member) *discovery {
	d := &discovery{generation: 1, states: map[*member]string{}, changed: make(chan struct{})}
	for _, m := range members {
		d.states[m] = "SERVING"
	}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.Close)
	return d
}

// list is discovery's list as JSON.
func (d *discovery) list() map[string]any {
	entries := []any{}
	for m, state := range d.states {
		entries = append(entries, map[string]any{"instanceId": m.name, "hostPort": m.listen.Addr().String(), "zone": "z",
			"cell": 1, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
	}
	return map[string]any{"generation": d.generation, "reset": true, "instances": entries}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.asked++
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	changed, due := d.changed, !d.down && d.generation <= index
	d.mu.Unlock()
	if due {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(d.list())
}

// set changes a member's state, or with no member whether discovery is down.
func (d *discovery) set(m *member, state string, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m != nil {
		d.states[m] = state
	}
	d.generation++
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

// posting writes what a driver is told into a file, and gives its environment.
func posting(t *testing.T, d *discovery, change func(file map[string]any)) map[string]string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	file := map[string]any{"seed": "8c1f30d27a5be964", "known": d.list(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"classes": []any{
				map[string]any{"name": "read", "effect": "repeatable", "aimUs": 60_000, "giveUpUs": 2_000_000, "lateWorth": 0.5},
				map[string]any{"name": "write", "effect": "once", "aimUs": 200_000, "giveUpUs": 2_000_000, "lateWorth": 0.5},
			},
			"extra": map[string]any{"readLevel": []any{"loose", "update"}, "guards": "reject"},
			"limits": map[string]any{"probing": true, "cancelling": true, "mostTries": 4, "connectTimeoutUs": 250_000,
				"keepaliveUs": 30_000_000, "retryAfter": true, "maxRetryAfterUs": 500_000},
			"safety":    map[string]any{"askEveryUs": 2_000_000},
			"discovery": "subscribe", "fleetSize": 1}}
	if change != nil {
		change(file)
	}
	text, err := json.Marshal(file)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return map[string]string{"GW_NAME": "n0", "GW_LISTEN": l.Addr().String(), "GW_CONFIG": path,
		"GW_DISCOVERY": strings.TrimPrefix(d.URL, "http://")}
}

// driver is a program at work inside the test.
type driver struct {
	address string
	stop    func()
	done    chan error
}

// start runs a driver until the test ends, which must leave no goroutine behind.
func start(t *testing.T, d *discovery, change func(file map[string]any)) *driver {
	return startAt(t, d, strings.TrimPrefix(d.URL, "http://"), change)
}

// startAt runs a driver that asks for the list at an address.
func startAt(t *testing.T, d *discovery, address string, change func(file map[string]any)) *driver {
	env := posting(t, d, change)
	env["GW_DISCOVERY"] = address
	p, err := program.ReadConfig(func(name string) string { return env[name] })
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	v := &driver{address: env["GW_LISTEN"], stop: stop, done: make(chan error, 1)}
	before := runtime.NumGoroutine()
	go func() { v.done <- program.Run(ctx, p, nil, log) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-v.done)
		d.CloseClientConnections()
		for m := range d.states {
			m.dropAll()
		}
		eventually(t, "goroutines are left behind", func() bool { return runtime.NumGoroutine() <= before })
	})
	v.client(t).ask(t, "")
	return v
}

// client is a client's connection, past the startup message.
func (v *driver) client(t *testing.T) *stream {
	var c net.Conn
	eventually(t, "the driver listens", func() (ok bool) {
		var err error
		c, err = net.Dial("tcp", v.address)
		return err == nil
	})
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * soon))
	s := newStream(c)
	io.WriteString(s, "\x00\x00\x00\x08\x04\xd2\x16\x2f") // asks for TLS
	declined, err := s.in.ReadByte()
	require.NoError(t, err)
	require.Equal(t, byte('N'), declined)
	io.WriteString(s, "\x00\x00\x00\x08\x00\x03\x00\x00")
	s.reply(t)
	return s
}

// ask sends a query and gives what came back: the value, "empty" or the state of an error.
func (s *stream) ask(t *testing.T, query string) string {
	s.send(query)
	return s.reply(t)
}

func (s *stream) send(query string) { io.WriteString(s, said("Q", query+"\x00")) }

func (s *stream) reply(t *testing.T) (got string) {
	for {
		kind, body, err := s.read()
		if err != nil {
			return strings.TrimSpace(got + " end")
		}
		switch kind {
		case 'Z':
			return got
		case 'K':
			s.key = body
		case 'D':
			got = body[6:]
		case 'I':
			got = "empty"
		case 'E':
			_, state, _ := strings.Cut(body, "\x00C")
			got = state[:5]
			if strings.HasPrefix(body, "SFATAL") {
				got = "fatal " + got
			}
		}
	}
}

var ids atomic.Int64

// statement is a client's statement, which waits for so many milliseconds.
func statement(method string, left int) string {
	id := ids.Add(1)
	if method == "write" {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('k', '\x9f03') RETURNING content /* id=%d,c=write,d=%d,cluster=1 */`,
			id, left)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%d,c=%s,d=%d,cluster=1 */", id, method, left)
}

// output collects what a process writes while it is read.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
