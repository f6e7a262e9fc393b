// Package rig has the stand-ins that the cases of this review share: members and discovery as the
// operators' pages describe them, clients, and the driver as a process of its own.
package rig

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of one run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file named by RECORD.
func NewRecord() *Record {
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the record can't be written:", err)
		os.Exit(NotRun)
	}
	return &Record{file: file, start: time.Now()}
}

// Printf writes one line, with the milliseconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Sayf writes one line to the record and to standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Message returns a message of the protocol.
func Message(kind byte, body string) string {
	return string(kind) + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

// Query returns a simple query.
func Query(text string) string { return Message('Q', text+"\x00") }

// ReadMessage reads one message.
func ReadMessage(r *bufio.Reader) (kind byte, body string, err error) {
	if kind, err = r.ReadByte(); err != nil {
		return 0, "", err
	}
	body, err = readBody(r)
	return kind, body, err
}

func readBody(r *bufio.Reader) (string, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return "", err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 4 || length > 1<<26 {
		return "", fmt.Errorf("a message of length %d", length)
	}
	body := make([]byte, length-4)
	_, err := io.ReadFull(r, body)
	return string(body), err
}

func row(value, tag string) string {
	size := string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))
	return Message('T', "\x00\x01content\x00"+strings.Repeat("\x00", 18)) + Message('D', "\x00\x01"+size+value) + Message('C', tag+"\x00")
}

// Member is a member of a group.
type Member struct {
	Name    string
	Zone    string
	Work    time.Duration // for each statement
	record  *Record
	ln      net.Listener
	mu      sync.Mutex
	primary bool
	sent    map[string][]time.Time // when the statements with an id arrived
	done    map[string]int         // how often each was run
	spoil   func(c net.Conn, id string) bool
}

// SetSpoil sets what may answer in the member's place, after the work: it reports whether it did. The
// member then waits for the connection's end.
func (m *Member) SetSpoil(spoil func(c net.Conn, id string) bool) { m.spoil = spoil }

// NewMember starts a member. Replicas follow the primary at once.
func NewMember(record *Record, name string, primary bool, work time.Duration) (*Member, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Member{Name: name, Zone: "z", Work: work, record: record, ln: ln, primary: primary, sent: map[string][]time.Time{}, done: map[string]int{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m, nil
}

// Address returns where the member listens.
func (m *Member) Address() string { return m.ln.Addr().String() }

func (m *Member) status() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	role := "follower"
	if m.primary {
		role = "leader"
	}
	return Message('S', "node_role\x00"+role+"\x00") + Message('S', fmt.Sprintf("replay_position\x00%d\x00", time.Now().UnixMilli()))
}

func (m *Member) isPrimary() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary
}

func (m *Member) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<16)
	if _, err := readBody(r); err != nil {
		return
	}
	ready := Message('Z', "I")
	io.WriteString(c, Message('R', "\x00\x00\x00\x00")+ready)
	for {
		kind, body, err := ReadMessage(r)
		if err != nil || kind != 'Q' {
			return
		}
		text := strings.TrimSuffix(body, "\x00")
		if text == "SHOW server_load" {
			now, isPrimary := time.Now().UnixMilli(), 0
			if m.isPrimary() {
				isPrimary = 1
			}
			report := fmt.Sprintf("x0=%d.%03d,x1=%d,util=0.10,queue=0", now/1000, now%1000, isPrimary)
			io.WriteString(c, row(report, "SHOW")+m.status()+ready)
			continue
		}
		id := Field(text, "id")
		m.mu.Lock()
		m.sent[id] = append(m.sent[id], time.Now())
		m.mu.Unlock()
		m.record.Printf("member %s got id=%s d=%s %s...", m.Name, id, Field(text, "d"), text[:min(6, len(text))])
		if strings.HasPrefix(text, "INSERT") && !m.isPrimary() {
			io.WriteString(c, Message('E', "SERROR\x00VERROR\x00C25006\x00Mno primary\x00\x00")+m.status()+ready)
			continue
		}
		time.Sleep(m.Work)
		tag := "SELECT 1"
		if strings.HasPrefix(text, "INSERT") {
			tag = "INSERT 0 1"
		}
		m.mu.Lock()
		m.done[id]++
		m.mu.Unlock()
		m.record.Printf("member %s ran id=%s", m.Name, id)
		if m.spoil != nil && m.spoil(c, id) {
			io.Copy(io.Discard, r)
			return
		}
		io.WriteString(c, row("value of "+id, tag)+m.status()+ready)
	}
}

// Arrivals returns when the statements with an id arrived.
func (m *Member) Arrivals(id string) []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Time(nil), m.sent[id]...)
}

// Runs returns how often the statement with an id was run.
func (m *Member) Runs(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done[id]
}

// AllArrivals returns when each id's statements arrived.
func (m *Member) AllArrivals() map[string][]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string][]time.Time{}
	for id, at := range m.sent {
		all[id] = append([]time.Time(nil), at...)
	}
	return all
}

// Field returns the value of a name in a statement's comment.
func Field(text, name string) string {
	for _, before := range []string{" " + name + "=", "," + name + "="} {
		if i := strings.LastIndex(text, before); i >= 0 {
			value, _, _ := strings.Cut(text[i+len(before):], ",")
			value, _, _ = strings.Cut(value, " ")
			return value
		}
	}
	return ""
}

// Discovery lists members over HTTP.
type Discovery struct {
	record     *Record
	ln         net.Listener
	mu         sync.Mutex
	generation int
	members    []*Member
	states     map[*Member]string
	changed    chan struct{}
	delay      time.Duration
	calls      int
	told       map[int]time.Time // when the first answer of a generation was written
}

// NewDiscovery starts discovery with all members serving.
func NewDiscovery(record *Record, members ...*Member) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{record: record, ln: ln, generation: 1, members: members, states: map[*Member]string{}, changed: make(chan struct{}), told: map[int]time.Time{}}
	for _, m := range members {
		d.states[m] = "SERVING"
	}
	go http.Serve(ln, http.HandlerFunc(d.serve))
	return d, nil
}

// Address returns where discovery answers.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// List returns the whole list, as discovery gives it.
func (d *Discovery) List() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

func (d *Discovery) list() map[string]any {
	entries := []any{}
	for _, m := range d.members {
		entries = append(entries, map[string]any{"instanceId": m.Name, "hostPort": m.Address(), "zone": m.Zone, "machineType": "std", "cell": 1,
			"lifecycle": d.states[m], "weight": 1.0, "startedAtMs": 0})
	}
	return map[string]any{"generation": d.generation, "reset": true, "instances": entries}
}

// SetState changes a member's state.
func (d *Discovery) SetState(m *Member, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[m] = state
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.Printf("discovery has generation %d: %s is %s", d.generation, m.Name, state)
}

// SetDelay makes each answer take longer by delay.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.record.Printf("discovery answers after %v", delay)
}

// Told returns when an answer of a generation was written for the first time, and whether one was.
func (d *Discovery) Told(generation int) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[generation]
	return at, ok
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	d.mu.Lock()
	d.calls++
	call, changed, current, delay := d.calls, d.changed, d.generation, d.delay
	d.mu.Unlock()
	d.record.Printf("discovery call %d begins: %s", call, r.URL.String())
	if current <= index {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			d.record.Printf("discovery call %d was given up by the driver", call)
			return
		}
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			d.record.Printf("discovery call %d was given up by the driver", call)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := d.list()
	if d.generation <= index {
		answer["reset"], answer["instances"] = false, []any{}
	}
	text, _ := json.Marshal(answer)
	if _, err := w.Write(text); err == nil {
		if d.told[d.generation].IsZero() {
			d.told[d.generation] = time.Now()
		}
		d.record.Printf("discovery call %d answered with generation %d", call, d.generation)
	}
}

// Driver is a driver's process.
type Driver struct {
	Address string
	cmd     *exec.Cmd
	Exited  chan error
	ended   chan struct{} // closed once the process is gone
	log     *os.File
	record  *Record
}

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Settings returns the settings of a small deployment; the classes are read, of any age, and write.
func Settings() map[string]any {
	return map[string]any{
		"classes": []any{
			map[string]any{"name": "read", "effect": "repeatable", "keyScope": "all", "aimUs": 400_000, "giveUpUs": 1_500_000, "lateWorth": 0.2, "worth": 1.0, "windowUs": 5_000_000},
			map[string]any{"name": "write", "effect": "once", "keyScope": "all", "aimUs": 600_000, "giveUpUs": 2_000_000, "lateWorth": 0.7, "worth": 6.0, "windowUs": 5_000_000},
		},
		"extra": map[string]any{"readLevel": []any{"loose", "update"}, "maxAgeUs": []any{0, 0}, "guards": "hold", "holdsForUs": 100_000, "tokens": "client"},
		"limits": map[string]any{"probing": true, "cancelling": true, "mayDuplicate": false, "mostTries": 10, "connectTimeoutUs": 250_000,
			"keepaliveUs": 30_000_000, "retryAfter": false, "maxRetryAfterUs": 500_000, "peerMessages": false},
		"safety": map[string]any{"askEveryUs": 10_000_000, "drainGraceUs": 2_000_000, "startCapacity": 0.15, "warmAfterUs": 17_000_000,
			"fallMultiple": 2.0, "tipAfterUs": 2_000_000},
		"discovery": "subscribe", "fleetSize": 1}
}

// StartDriver starts a driver by the line `run` of the deploy file, which RUN holds, from ROOT.
func StartDriver(record *Record, name string, discovery *Discovery, known map[string]any, limits, settings map[string]any, extraEnv ...string) (*Driver, error) {
	return StartDriverAt(record, name, FreeAddress(), discovery, known, limits, settings, extraEnv...)
}

// StartDriverAt is StartDriver with an address to listen at.
func StartDriverAt(record *Record, name, address string, discovery *Discovery, known map[string]any, limits, settings map[string]any, extraEnv ...string) (*Driver, error) {
	dir := os.Getenv("WORK")
	text, err := json.Marshal(map[string]any{"name": name, "listen": address, "discovery": discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": limits, "known": known, "settings": settings})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	cmd.Dir, cmd.Stdout, cmd.Stderr = os.Getenv("ROOT"), log, log
	cmd.Env = append(append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+address, "GW_DISCOVERY="+discovery.Address(), "GW_CONFIG="+path), extraEnv...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d := &Driver{Address: address, cmd: cmd, Exited: make(chan error, 1), ended: make(chan struct{}), log: log, record: record}
	record.Printf("driver %s started", name)
	go func() {
		err := cmd.Wait()
		record.Printf("driver %s ended: %v", name, err)
		d.Exited <- err
		close(d.ended)
	}()
	return d, nil
}

// PID returns the driver's process number.
func (d *Driver) PID() int { return d.cmd.Process.Pid }

// Signal sends the driver a signal.
func (d *Driver) Signal(s syscall.Signal) {
	d.record.Printf("driver gets signal %v", s)
	d.cmd.Process.Signal(s)
}

// End kills the driver, if it still runs, and waits until it is gone.
func (d *Driver) End() {
	d.cmd.Process.Kill()
	<-d.ended
	d.log.Close()
}

// AwaitReady waits until the driver answers an empty query.
func (d *Driver) AwaitReady(within time.Duration) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var c *Client
		if c, err = Connect(d.Address); err != nil {
			continue
		}
		c.SetDeadline(end)
		io.WriteString(c, Query(""))
		var kind byte
		for kind != 'I' && err == nil {
			kind, _, err = ReadMessage(c.R)
		}
		c.Close()
		if err == nil {
			d.record.Printf("driver is ready")
			return nil
		}
	}
	return fmt.Errorf("the driver is not ready: %w", err)
}

// Client is a client's connection.
type Client struct {
	net.Conn
	R *bufio.Reader
}

// startup is a client's startup message: its length, the protocol's version, the user and the database.
const startup = "\x00\x00\x00\x25\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"

// Connect opens a client's connection and waits until the driver has taken its startup message.
func Connect(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	client := &Client{c, bufio.NewReaderSize(c, 1<<16)}
	io.WriteString(c, startup)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	for kind := byte(0); kind != 'Z'; {
		if kind, _, err = ReadMessage(client.R); err != nil {
			c.Close()
			return nil, err
		}
	}
	c.SetReadDeadline(time.Time{})
	return client, nil
}

// Answer is a driver's answer: the value, or an error's code.
type Answer struct {
	Value string
	Code  string
	Hint  string
}

func (a Answer) String() string {
	if a.Code != "" {
		return "error " + a.Code
	}
	return "value " + strconv.Quote(a.Value)
}

// ReadAnswer reads the answer to one query, up to ReadyForQuery.
func (c *Client) ReadAnswer() (a Answer, err error) {
	for {
		kind, body, err := ReadMessage(c.R)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'Z':
			return a, nil
		case 'D':
			a.Value = body[6:]
		case 'E':
			for _, part := range strings.Split(body, "\x00") {
				if strings.HasPrefix(part, "C") {
					a.Code = part[1:]
				}
				if strings.HasPrefix(part, "D") {
					a.Hint = part[1:]
				}
			}
		}
	}
}

// Ask sends a query and reads its answer.
func (c *Client) Ask(text string) (Answer, error) {
	if _, err := io.WriteString(c, Query(text)); err != nil {
		return Answer{}, err
	}
	return c.ReadAnswer()
}

// Read returns a read of any class.
func Read(id, class string, millis int) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = 'k%s' /* id=%s,c=%s,d=%d,cluster=1 */", id, id, class, millis)
}

// Write returns a write with a value of the given size.
func Write(id, class string, millis, bytes int) string {
	return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('k%s', '\x%s') RETURNING content /* id=%s,c=%s,d=%d,cluster=1 */`,
		id, strings.Repeat("9f", bytes), id, class, millis)
}
