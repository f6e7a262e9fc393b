package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Member is a stand-in for a member: it answers at once or after its work, whatever it is asked.
type Member struct {
	ID    string
	Addr  string
	Group int64
	Zone  string

	record   *Record
	listener net.Listener
	mu       sync.Mutex
	primary  bool
	work     time.Duration
	hook     func(s Statement, conn net.Conn) (handled bool)
	position func() int64
	received []Receipt
}

// Receipt is a statement that a member got. FirstByte is when it had the first byte.
type Receipt struct {
	Statement
	FirstByte, LastByte time.Time
}

// NewMember starts a member that listens at a free port of 127.0.0.1.
func NewMember(record *Record, id string, group int64, zone string, primary bool, work time.Duration) (*Member, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Member{ID: id, Addr: listener.Addr().String(), Group: group, Zone: zone, record: record, listener: listener, primary: primary,
		work: work}
	go m.accept(listener)
	return m, nil
}

func (m *Member) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go m.serve(conn)
	}
}

// SetHook lets hook see each statement first; it answers itself if it returns true.
func (m *Member) SetHook(hook func(s Statement, conn net.Conn) (handled bool)) {
	m.mu.Lock()
	m.hook = hook
	m.mu.Unlock()
}

// SetPosition lets position say how far the member is, in Unix milliseconds.
func (m *Member) SetPosition(position func() int64) {
	m.mu.Lock()
	m.position = position
	m.mu.Unlock()
}

// Received returns the statements of clients that the member has got.
func (m *Member) Received() []Receipt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Receipt(nil), m.received...)
}

func (m *Member) status() (text string, primary bool, position int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	position = time.Now().UnixMilli()
	role := "leader"
	if !m.primary {
		position -= 20
		role = "follower"
	}
	if m.position != nil {
		position = m.position()
	}
	return parameter("node_role", role) + parameter("replay_position", fmt.Sprint(position)), m.primary, position
}

func (m *Member) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReaderSize(conn, 64<<10)
	if acceptStartup(conn, r) != nil {
		return
	}
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		if _, err := io.WriteString(conn, m.answer(conn, body[:len(body)-1], first)); err != nil {
			return
		}
	}
}

func (m *Member) answer(conn net.Conn, text string, first time.Time) string {
	if text == "SHOW server_load" {
		status, primary, position := m.status()
		x1 := 0
		if primary {
			x1 = 1
		}
		return row(fmt.Sprintf("x0=%d.%03d,x1=%d,util=0.3,queue=0", position/1000, position%1000, x1), "SHOW") + status + ready
	}
	if text == "SELECT 1" {
		status, _, _ := m.status()
		return row("1", "SELECT 1") + status + ready
	}
	s, ok := ParseStatement(text)
	if !ok {
		m.record.Printf("member %s got what no client sent: %.80q", m.ID, text)
		return failure("08P01", "no such form") + ready
	}
	m.mu.Lock()
	m.received = append(m.received, Receipt{s, first, time.Now()})
	work, hook, primary := m.work, m.hook, m.primary
	m.mu.Unlock()
	m.record.Printf("member %s got id=%s c=%s d=%d", m.ID, s.ID, s.Class, s.Wait)
	if hook != nil && hook(s, conn) {
		return ""
	}
	if !s.IsRead && !primary {
		status, _, _ := m.status()
		return status + failure("25006", "no primary") + ready
	}
	time.Sleep(work)
	status, _, _ := m.status()
	tag := "SELECT 1"
	if !s.IsRead {
		tag = "INSERT 0 1"
	}
	return row("value of "+s.Key, tag) + status + ready
}
