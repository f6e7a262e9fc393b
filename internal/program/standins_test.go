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

const waitTimeout = 5 * time.Second // within which what is waited for must come

func eventually(t *testing.T, what string, ok func() bool) {
	for begun := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		require.Less(t, time.Since(begun), waitTimeout, what)
	}
}

// pgConn speaks PostgreSQL's messages.
type pgConn struct {
	net.Conn
	reader    *bufio.Reader
	cancelKey string // that a driver told it at its start
}

func newPGConn(c net.Conn) *pgConn { return &pgConn{Conn: c, reader: bufio.NewReader(c)} }

func (s *pgConn) read() (kind byte, body string, err error) {
	if kind, err = s.reader.ReadByte(); err != nil {
		return 0, "", err
	}
	body, err = s.readBody()
	return kind, body, err
}

func (s *pgConn) readBody() (string, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		return "", err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:])-4)
	_, err := io.ReadFull(s.reader, body)
	return string(body), err
}

func message(kind string, body string) string {
	return kind + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func rowMessages(value string) string {
	size := string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))
	return message("T", "\x00\x01v\x00"+strings.Repeat("\x00", 18)) + message("D", "\x00\x01"+size+value) + message("C", "SELECT 1\x00")
}

func errorMessage(state string) string { return message("E", "SERROR\x00C"+state+"\x00Mno\x00\x00") }

// fakeMember is a stand-in for a member.
type fakeMember struct {
	name       string
	listener   net.Listener
	mu         sync.Mutex
	role       string
	behavior   string // what it does with statements: a state, "reset" or "silent"; empty for serving them
	received   []string
	statusFunc func() status // what its answers state of itself; nil for its role, and a position that is now
	reportFunc func() string // its load report; nil for one that says the same
	exchanges  []exchange    // what it answered clients' statements, in the order of its answers
	probes     int           // probes that it got
	opened     int           // connections, past their startup messages
	conns      map[net.Conn]bool
	linkLock   sync.RWMutex // held for writing while nothing gets through
}

// status is what a member states of itself: "leader" or "follower", and its log position in Unix milliseconds.
type status struct {
	role     string
	position int64
}

// exchange is one statement of a client as a member saw it.
type exchange struct {
	receivedAt, answeredAt time.Time // its last byte; just before its answer was written
	status                           // what the answer stated
}

func (m *fakeMember) status() status {
	if m.statusFunc != nil {
		return m.statusFunc()
	}
	return status{m.role, time.Now().UnixMilli()}
}

// messages is the status as the messages of an answer.
func (s status) messages() string {
	return message("S", "node_role\x00"+s.role+"\x00") + message("S", fmt.Sprintf("replay_position\x00%d\x00", s.position))
}

// loadReport is the load report that states it.
func (s status) loadReport() string {
	return fmt.Sprintf("x0=%d.%03d,x1=%d", s.position/1000, s.position%1000, map[string]int{"leader": 1}[s.role])
}

func newFakeMember(t *testing.T, name, role string) *fakeMember {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &fakeMember{name: name, listener: l, role: role, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[c] = true
			m.mu.Unlock()
			go m.serve(newPGConn(c))
		}
	}()
	t.Cleanup(m.shutDown)
	return m
}

// shutDown resets all connections and refuses new ones.
func (m *fakeMember) shutDown() {
	m.listener.Close()
	m.resetConns()
}

func (m *fakeMember) resetConns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (m *fakeMember) setBehavior(behavior string) {
	m.mu.Lock()
	m.behavior = behavior
	m.mu.Unlock()
}

// statements are those that it got from clients.
func (m *fakeMember) statements() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.received...)
}

// counts are the connections that were opened to it, and the probes that it got.
func (m *fakeMember) counts() (opened, probes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opened, m.probes
}

// holdLink lets nothing through any more, so that new connections are long in coming up, and drops the old ones; the function
// that it gives ends that.
func (m *fakeMember) holdLink() (release func()) {
	m.linkLock.Lock()
	m.resetConns()
	return m.linkLock.Unlock
}

func (m *fakeMember) serve(s *pgConn) {
	defer s.Close()
	if _, err := s.readBody(); err != nil {
		return
	}
	m.mu.Lock()
	m.opened++
	m.mu.Unlock()
	m.linkLock.RLock()
	//lint:ignore SA2001 waits while hold blocks the link
	m.linkLock.RUnlock()
	io.WriteString(s, message("R", "\x00\x00\x00\x00")+message("Z", "I"))
	for {
		kind, body, err := s.read()
		if err != nil || kind != 'Q' {
			return
		}
		receivedAt := time.Now()
		m.linkLock.RLock()
		//lint:ignore SA2001 waits while hold blocks the link
		m.linkLock.RUnlock()
		io.WriteString(s, m.answer(s, strings.TrimSuffix(body, "\x00"), receivedAt))
	}
}

func (m *fakeMember) answer(s *pgConn, statement string, receivedAt time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.status()
	tail := status.messages() + message("Z", "I")
	if statement == "SHOW server_load" {
		m.probes++
		if m.reportFunc != nil {
			return rowMessages(m.reportFunc()) + message("Z", "I")
		}
		return rowMessages(status.loadReport()) + tail
	}
	m.exchanges = append(m.exchanges, exchange{receivedAt, time.Now(), status})
	m.received = append(m.received, statement)
	switch m.behavior {
	case "":
		return rowMessages("from "+m.name) + tail
	case "reset":
		s.Conn.(*net.TCPConn).SetLinger(0)
		s.Close()
		return ""
	case "silent":
		return ""
	case "twice": // more than is its own, the rest a moment later
		time.AfterFunc(5*time.Millisecond, func() { io.WriteString(s, rowMessages("late")+tail) })
		return rowMessages("from "+m.name) + tail + rowMessages("more") + tail
	}
	if text, ok := strings.CutPrefix(m.behavior, "raw "); ok {
		return text
	}
	return errorMessage(m.behavior) + tail
}

// fakeDiscovery is a stand-in for discovery.
type fakeDiscovery struct {
	*httptest.Server
	mu         sync.Mutex
	generation int
	lifecycles map[*fakeMember]string
	down       bool
	callCount  int
	changed    chan struct{}
}

func newFakeDiscovery(t *testing.T, members ...*fakeMember) *fakeDiscovery {
	d := &fakeDiscovery{generation: 1, lifecycles: map[*fakeMember]string{}, changed: make(chan struct{})}
	for _, m := range members {
		d.lifecycles[m] = "SERVING"
	}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.Close)
	return d
}

// list is discovery's list as JSON.
func (d *fakeDiscovery) list() map[string]any {
	entries := []any{}
	for m, state := range d.lifecycles {
		entries = append(entries, map[string]any{"instanceId": m.name, "hostPort": m.listener.Addr().String(), "zone": "z",
			"cell": 1, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
	}
	return map[string]any{"generation": d.generation, "reset": true, "instances": entries}
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.callCount++
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

// setLifecycle changes a member's state, or with no member whether discovery is down.
func (d *fakeDiscovery) setLifecycle(m *fakeMember, lifecycle string, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m != nil {
		d.lifecycles[m] = lifecycle
	}
	d.generation++
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount
}

// writeConfig writes what a driver is told into a file, and gives its environment.
func writeConfig(t *testing.T, d *fakeDiscovery, change func(file map[string]any)) map[string]string {
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

// testDriver is a program at work inside the test.
type testDriver struct {
	address string
	stop    func()
	done    chan error
}

// startDriver runs a driver until the test ends, which must leave no goroutine behind.
func startDriver(t *testing.T, d *fakeDiscovery, change func(file map[string]any)) *testDriver {
	return startDriverAt(t, d, strings.TrimPrefix(d.URL, "http://"), change)
}

// startDriverAt runs a driver that asks for the list at an address.
func startDriverAt(t *testing.T, d *fakeDiscovery, address string, change func(file map[string]any)) *testDriver {
	env := writeConfig(t, d, change)
	env["GW_DISCOVERY"] = address
	p, err := program.ReadConfig(func(name string) string { return env[name] })
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	v := &testDriver{address: env["GW_LISTEN"], stop: stop, done: make(chan error, 1)}
	before := runtime.NumGoroutine()
	go func() { v.done <- program.Run(ctx, p, nil, log) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-v.done)
		d.CloseClientConnections()
		for m := range d.lifecycles {
			m.resetConns()
		}
		eventually(t, "goroutines are left behind", func() bool { return runtime.NumGoroutine() <= before })
	})
	v.connect(t).ask(t, "")
	return v
}

// connect is a client's connection, past the startup message.
func (v *testDriver) connect(t *testing.T) *pgConn {
	var c net.Conn
	eventually(t, "the driver listens", func() (ok bool) {
		var err error
		c, err = net.Dial("tcp", v.address)
		return err == nil
	})
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * waitTimeout))
	s := newPGConn(c)
	io.WriteString(s, "\x00\x00\x00\x08\x04\xd2\x16\x2f") // asks for TLS
	declined, err := s.reader.ReadByte()
	require.NoError(t, err)
	require.Equal(t, byte('N'), declined)
	io.WriteString(s, "\x00\x00\x00\x08\x00\x03\x00\x00")
	s.readReply(t)
	return s
}

// ask sends a query and gives what came back: the value, "empty" or the state of an error.
func (s *pgConn) ask(t *testing.T, query string) string {
	s.send(query)
	return s.readReply(t)
}

func (s *pgConn) send(query string) { io.WriteString(s, message("Q", query+"\x00")) }

func (s *pgConn) readReply(t *testing.T) (got string) {
	for {
		kind, body, err := s.read()
		if err != nil {
			return strings.TrimSpace(got + " end")
		}
		switch kind {
		case 'Z':
			return got
		case 'K':
			s.cancelKey = body
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

var nextID atomic.Int64

// statement is a client's statement, which waits for so many milliseconds.
func statement(method string, timeoutMillis int) string {
	id := nextID.Add(1)
	if method == "write" {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('k', '\x9f03') RETURNING content /* id=%d,c=write,d=%d,cluster=1 */`,
			id, timeoutMillis)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%d,c=%s,d=%d,cluster=1 */", id, method, timeoutMillis)
}

// lockedBuffer collects what a process writes while it is read.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *lockedBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *lockedBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
