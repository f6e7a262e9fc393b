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

const waitTimeout = 5 * time.Second // of eventually

func eventually(t *testing.T, what string, ok func() bool) {
	for startTime := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		require.Less(t, time.Since(startTime), waitTimeout, what)
	}
}

// pgConn is a connection that speaks the PostgreSQL protocol.
type pgConn struct {
	net.Conn
	reader    *bufio.Reader
	cancelKey string // from the driver
}

func newPGConn(c net.Conn) *pgConn { return &pgConn{Conn: c, reader: bufio.NewReader(c)} }

func (c *pgConn) read() (kind byte, body string, err error) {
	if kind, err = c.reader.ReadByte(); err != nil {
		return 0, "", err
	}
	body, err = c.readBody()
	return kind, body, err
}

func (c *pgConn) readBody() (string, error) {
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return "", err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:])-4)
	_, err := io.ReadFull(c.reader, body)
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

// fakeMember is a fake member of a group.
type fakeMember struct {
	name       string
	listener   net.Listener
	mu         sync.Mutex
	role       string
	behavior   string // "reset", "silent", "twice", "raw ..." or an SQLSTATE; empty to serve statements
	received   []string
	statusFunc func() status // status in answers; nil for role and the current time
	reportFunc func() string // load report; nil for one with the status
	exchanges  []exchange    // clients' statements in the order of their answers
	workTime   time.Duration // of each statement of a client
	probes     int           // received
	opened     int           // connections that sent a startup message
	conns      map[net.Conn]bool
	linkLock   sync.RWMutex // locked for writing while the link is blocked
}

// status is the role ("leader" or "follower") and log position, in Unix milliseconds, that a member
// reports.
type status struct {
	role     string
	position int64
}

// exchange is a client's statement as a member saw it.
type exchange struct {
	receivedAt, answeredAt time.Time // of the last byte; before writing the answer
	status                           // in the answer
}

func (m *fakeMember) status() status {
	if m.statusFunc != nil {
		return m.statusFunc()
	}
	return status{m.role, time.Now().UnixMilli()}
}

// messages returns the protocol messages that carry the status.
func (s status) messages() string {
	return message("S", "node_role\x00"+s.role+"\x00") + message("S", fmt.Sprintf("replay_position\x00%d\x00", s.position))
}

// loadReport returns the load report that carries the status.
func (s status) loadReport() string {
	return fmt.Sprintf("x0=%d.%03d,x1=%d", s.position/1000, s.position%1000, map[string]int{"leader": 1}[s.role])
}

func newFakeMember(t *testing.T, name, role string) *fakeMember {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &fakeMember{name: name, listener: listener, role: role, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
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

// statements returns the statements received from clients.
func (m *fakeMember) statements() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.received...)
}

// counts returns the number of connections opened and of probes received.
func (m *fakeMember) counts() (opened, probes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opened, m.probes
}

// holdLink resets all connections and blocks new ones until release is called.
func (m *fakeMember) holdLink() (release func()) {
	m.linkLock.Lock()
	m.resetConns()
	return m.linkLock.Unlock
}

func (m *fakeMember) serve(conn *pgConn) {
	defer conn.Close()
	if _, err := conn.readBody(); err != nil {
		return
	}
	m.mu.Lock()
	m.opened++
	m.mu.Unlock()
	m.linkLock.RLock()
	//lint:ignore SA2001 waits while holdLink blocks the link
	m.linkLock.RUnlock()
	io.WriteString(conn, message("R", "\x00\x00\x00\x00")+message("Z", "I"))
	for {
		kind, body, err := conn.read()
		if err != nil || kind != 'Q' {
			return
		}
		receivedAt := time.Now()
		m.linkLock.RLock()
		//lint:ignore SA2001 waits while holdLink blocks the link
		m.linkLock.RUnlock()
		statement := strings.TrimSuffix(body, "\x00")
		answer := m.answer(conn, statement, receivedAt)
		if m.workTime > 0 && statement != "SHOW server_load" {
			time.Sleep(m.workTime)
		}
		io.WriteString(conn, answer)
	}
}

func (m *fakeMember) answer(conn *pgConn, statement string, receivedAt time.Time) string {
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
		conn.Conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return ""
	case "silent":
		return ""
	case "twice": // a second answer, and a third a moment later
		time.AfterFunc(5*time.Millisecond, func() { io.WriteString(conn, rowMessages("late")+tail) })
		return rowMessages("from "+m.name) + tail + rowMessages("more") + tail
	}
	if text, ok := strings.CutPrefix(m.behavior, "raw "); ok {
		return text
	}
	return errorMessage(m.behavior) + tail
}

// fakeDiscovery is a fake discovery service.
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

// list returns the target list as JSON values.
func (d *fakeDiscovery) list() map[string]any {
	entries := []any{}
	for m, lifecycle := range d.lifecycles {
		entries = append(entries, map[string]any{"instanceId": m.name, "hostPort": m.listener.Addr().String(), "zone": "z",
			"cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
	}
	return map[string]any{"generation": d.generation, "reset": true, "instances": entries}
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.callCount++
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	changed, shouldWait := d.changed, !d.down && d.generation <= index
	d.mu.Unlock()
	if shouldWait {
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

// setLifecycle changes a member's lifecycle, or with a nil member whether discovery is down.
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

// writeConfig writes a driver's configuration file and returns its environment.
func writeConfig(t *testing.T, discovery *fakeDiscovery, change func(file map[string]any)) map[string]string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	file := map[string]any{"seed": "8c1f30d27a5be964", "known": discovery.list(),
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
	return map[string]string{"GW_NAME": "n0", "GW_LISTEN": listener.Addr().String(), "GW_CONFIG": path,
		"GW_DISCOVERY": strings.TrimPrefix(discovery.URL, "http://")}
}

// testDriver is a driver that runs inside the test process.
type testDriver struct {
	address string
	stop    func()
	done    chan error
}

// startDriver runs a driver until the test ends, and checks that it leaves no goroutine behind.
func startDriver(t *testing.T, discovery *fakeDiscovery, change func(file map[string]any)) *testDriver {
	return startDriverAt(t, discovery, strings.TrimPrefix(discovery.URL, "http://"), change)
}

// startDriverAt runs a driver that uses the given discovery address.
func startDriverAt(t *testing.T, discovery *fakeDiscovery, address string, change func(file map[string]any)) *testDriver {
	env := writeConfig(t, discovery, change)
	env["GW_DISCOVERY"] = address
	config, err := program.ReadConfig(func(name string) string { return env[name] })
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	driver := &testDriver{address: env["GW_LISTEN"], stop: stop, done: make(chan error, 1)}
	before := runtime.NumGoroutine()
	go func() { driver.done <- program.Run(ctx, config, nil, log) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-driver.done)
		discovery.CloseClientConnections()
		for m := range discovery.lifecycles {
			m.resetConns()
		}
		eventually(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before })
	})
	driver.connect(t).ask(t, "")
	return driver
}

// connect returns a client connection on which the start-up is complete.
func (d *testDriver) connect(t *testing.T) *pgConn {
	conn := d.open(t)
	io.WriteString(conn, "\x00\x00\x00\x08\x04\xd2\x16\x2f") // SSLRequest
	declined, err := conn.reader.ReadByte()
	require.NoError(t, err)
	require.Equal(t, byte('N'), declined)
	io.WriteString(conn, "\x00\x00\x00\x08\x00\x03\x00\x00")
	conn.readReply(t)
	return conn
}

// dial returns a client connection on which the start-up is complete, or has ended.
func (d *testDriver) dial(t *testing.T) *pgConn {
	conn := d.open(t)
	io.WriteString(conn, "\x00\x00\x00\x08\x00\x03\x00\x00")
	conn.readReply(t)
	return conn
}

// open returns a client connection on which nothing was sent.
func (d *testDriver) open(t *testing.T) *pgConn {
	var c net.Conn
	eventually(t, "the driver listens", func() (ok bool) {
		var err error
		c, err = net.Dial("tcp", d.address)
		return err == nil
	})
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * waitTimeout))
	return newPGConn(c)
}

// ask sends a query and returns the value in its answer, "empty", or the SQLSTATE of an error.
func (c *pgConn) ask(t *testing.T, query string) string {
	c.send(query)
	return c.readReply(t)
}

func (c *pgConn) send(query string) { io.WriteString(c, message("Q", query+"\x00")) }

func (c *pgConn) readReply(t *testing.T) (got string) {
	for {
		kind, body, err := c.read()
		if err != nil {
			return strings.TrimSpace(got + " end")
		}
		switch kind {
		case 'Z':
			return got
		case 'K':
			c.cancelKey = body
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

// statement returns a client's statement with a timeout.
func statement(method string, timeoutMillis int) string {
	id := nextID.Add(1)
	if method == "write" {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('k', '\x9f03') RETURNING content /* id=%d,c=write,d=%d,cluster=1 */`,
			id, timeoutMillis)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%d,c=%s,d=%d,cluster=1 */", id, method, timeoutMillis)
}

// lockedBuffer collects the output of a running process.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
