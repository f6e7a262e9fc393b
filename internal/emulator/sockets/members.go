// Package sockets gives an emulated fleet a face on loopback: members that speak the platform's PostgreSQL form,
// discovery over HTTP, and clients. Decisions on what happens are the model's, in package emulator.
package sockets

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sedgespread/internal/emulator"
	"sedgespread/internal/jsonhttp"
	"sedgespread/internal/membership"
	"sedgespread/internal/protocol"
	"sedgespread/internal/transport"
	"sedgespread/internal/versions"
)

// Fleet is an emulated fleet on sockets.
type Fleet struct {
	*emulator.Checker
	begun     time.Time
	life      context.Context
	die       context.CancelCauseFunc
	listeners []*transport.Listener
	addresses []string
	tasks     errgroup.Group
	discovery *httptest.Server
	fillHook  *httptest.Server

	mu      sync.Mutex
	model   *emulator.Fleet
	version int           // of discovery's list
	changed chan struct{} // closed at the next
	conns   map[emulator.MemberID]map[*transport.Conn]bool
	fills   map[string]uint64 // the newest epoch that a tenant's filling was asked for
}

const mostConns = 1 << 14

// Start puts a fleet of a shape on loopback.
func Start(s emulator.Config) (*Fleet, error) {
	sight := emulator.NewChecker()
	f := &Fleet{Checker: sight, begun: time.Now(), model: emulator.NewFleet(s, sight), fills: map[string]uint64{},
		version: 1, changed: make(chan struct{}), conns: map[emulator.MemberID]map[*transport.Conn]bool{}}
	f.life, f.die = context.WithCancelCause(context.Background())
	d := transport.NewDescriptors(mostConns)
	for i := range f.model.MemberCount() {
		l, err := transport.Listen("127.0.0.1:0", d, protocol.RingBytes)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.listeners, f.addresses = append(f.listeners, l), append(f.addresses, l.Addr())
		f.tasks.Go(func() error { f.accept(l, emulator.MemberID(i)); return nil })
	}
	f.discovery = httptest.NewServer(http.HandlerFunc(f.list))
	f.fillHook = httptest.NewServer(jsonhttp.ActionHandler(f.fill))
	return f, nil
}

// Stop ends all of it.
func (f *Fleet) Stop() {
	for _, l := range f.listeners {
		l.Close()
	}
	f.die(transport.ShutDown)
	for _, s := range []*httptest.Server{f.discovery, f.fillHook} {
		if s != nil {
			s.CloseClientConnections()
			s.Close()
		}
	}
	f.tasks.Wait()
}

// Now is the fleet's clock, Unix time in nanoseconds.
func (f *Fleet) Now() int64 { return f.begun.UnixNano() + int64(time.Since(f.begun)) }

// WithModel lets a function at the model, with the time that it is.
func (f *Fleet) WithModel(do func(now int64, m *emulator.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.Now(), f.model)
}

func (f *Fleet) accept(l *transport.Listener, m emulator.MemberID) {
	for {
		c, err := l.Accept(f.life, 0, func(bool) {})
		if err != nil {
			return
		}
		f.tasks.Go(func() error { f.serve(protocol.Client{Conn: c}, m); return nil })
	}
}

// hold keeps a member's connection in mind, or not any more.
func (f *Fleet) hold(m emulator.MemberID, c *transport.Conn, holds bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[m] == nil {
		f.conns[m] = map[*transport.Conn]bool{}
	}
	if holds {
		f.conns[m][c] = true
	} else {
		delete(f.conns[m], c)
	}
}

// Restart starts a member anew: its connections end, and it is cold.
func (f *Fleet) Restart(m emulator.MemberID) {
	f.relist(func(now int64, model *emulator.Fleet) { model.Restart(now, m) })
	f.mu.Lock()
	var ends []*transport.Conn
	for c := range f.conns[m] {
		ends = append(ends, c)
	}
	f.mu.Unlock()
	for _, c := range ends {
		c.Close(transport.ShutDown)
	}
}

// SetDraining lets a member drain, or serve again.
func (f *Fleet) SetDraining(m emulator.MemberID, drains bool) {
	f.relist(func(now int64, model *emulator.Fleet) { model.SetDraining(now, m, drains) })
}

// relist does what changes discovery's list, and lets those who watch it know.
func (f *Fleet) relist(do func(now int64, model *emulator.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.Now(), f.model)
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// serve answers one driver's connection as a member does.
func (f *Fleet) serve(c protocol.Client, m emulator.MemberID) {
	f.hold(m, c.Conn, true)
	defer f.hold(m, c.Conn, false)
	_, end := c.Handshake(protocol.CancelKey{}, func(protocol.CancelKey) {})
	for end == transport.Open {
		var text string
		if text, _, end = c.ReadQuery(); end == transport.Open {
			end = f.answer(c, m, text)
		}
	}
	c.Close(end)
}

func (f *Fleet) answer(c protocol.Client, m emulator.MemberID, text string) transport.CloseReason {
	if text == protocol.LoadQuery {
		return f.look(c, m)
	}
	s, err := protocol.ParseStatement(text)
	if err != nil {
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateProtocolViolation, Message: err.Error()})
	}
	order := emulator.Statement{ID: s.ID, Key: s.Key, Write: s.Write, Timeout: s.TimeoutMillis * int64(time.Millisecond), Fence: fenceOf(text)}
	var done int64
	var refused emulator.Admission
	var state emulator.Response
	life, still := 0, 0
	f.WithModel(func(now int64, model *emulator.Fleet) {
		done, refused = model.Admit(now, m, order)
		state = model.Status(now, m)
		_, life = model.Started(m)
	})
	switch refused {
	case emulator.QueueFull:
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateTooManyConnections, Message: "the queue is full"}, told(state)...)
	case emulator.NotPrimary:
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateReadOnly, Message: "this is no primary"}, told(state)...)
	case emulator.Fenced:
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateFenced, Message: "its version is over"}, told(state)...)
	}
	time.Sleep(time.Duration(done - f.Now())) // what a member has begun it finishes, whoever left meanwhile
	f.WithModel(func(now int64, model *emulator.Fleet) {
		if _, still = model.Started(m); still == life {
			state = model.Execute(now, m, order)
		}
	})
	if still != life { // it has been started anew meanwhile
		return transport.ShutDown
	}
	if state.IsLost {
		return c.Await(1)
	}
	return c.SendRow(state.Value, told(state)...)
}

// fenceOf is the fence that a statement came with.
func fenceOf(text string) (f versions.Fence) {
	told := protocol.ParseFence(text)
	f.Version, f.Epoch = versions.Number(told.Version), versions.Epoch(told.Epoch)
	for _, n := range told.Valid {
		f.Valid = append(f.Valid, versions.Number(n))
	}
	return f
}

func (f *Fleet) look(c protocol.Client, m emulator.MemberID) transport.CloseReason {
	var a emulator.Response
	f.WithModel(func(now int64, model *emulator.Fleet) { a = model.Status(now, m) })
	role := 0
	if a.Primary {
		role = 1
	}
	return c.SendRow(fmt.Sprintf("x0=%.3f,x1=%d", float64(a.Position/int64(time.Millisecond))/1000, role), told(a)...)
}

func told(a emulator.Response) []protocol.ParameterStatus {
	role := "follower"
	if a.Primary {
		role = "leader"
	}
	return []protocol.ParameterStatus{{Name: "node_role", Value: role},
		{Name: "replay_position", Value: strconv.FormatInt(a.Position/int64(time.Millisecond), 10)}}
}

// DiscoveryAddress is where discovery answers.
func (f *Fleet) DiscoveryAddress() string { return f.discovery.Listener.Addr().String() }

// FillHookURL is where the store is asked to fill groups.
func (f *Fleet) FillHookURL() string { return f.fillHook.URL + "/fill" }

// DiscoveryList is discovery's list.
func (f *Fleet) DiscoveryList() map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make([]any, 0, len(f.addresses))
	for i, address := range f.addresses {
		m, lifecycle := emulator.MemberID(i), "SERVING"
		if f.model.IsDraining(m) {
			lifecycle = "DRAINING"
		}
		started, _ := f.model.Started(m)
		entries = append(entries, map[string]any{"instanceId": fmt.Sprintf("m%d", i), "hostPort": address, "zone": "a",
			"machineType": "m", "cell": f.model.Group(m), "lifecycle": lifecycle, "weight": 1.0,
			"startedAtMs": started / int64(time.Millisecond)})
	}
	return map[string]any{"generation": f.version, "reset": true, "instances": entries}
}

// list answers as discovery does: at once, or where it is watched once it is newer than what the watcher has.
func (f *Fleet) list(w http.ResponseWriter, r *http.Request) {
	if index, err := strconv.Atoi(r.URL.Query().Get("index")); err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		f.mu.Lock()
		newer, changed := f.version > index, f.changed
		f.mu.Unlock()
		if !newer {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			case <-f.life.Done():
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	jsonhttp.WriteJSON(w, f.DiscoveryList())
}

// fill takes what a coordinator asks of the store. One that is older than what was asked before changes nothing.
func (f *Fleet) fill(_ context.Context, asked membership.FillRequest) error {
	f.WithModel(func(_ int64, model *emulator.Fleet) {
		tenant := string(asked.Tenant)
		if uint64(asked.Epoch) <= f.fills[tenant] {
			return
		}
		f.fills[tenant] = uint64(asked.Epoch)
		switch asked.Step {
		case "begin":
			model.BeginFill(tenant, numbers(asked.From), numbers(asked.To))
		case "end":
			model.EndFill(tenant, asked.CutoverPosition)
		case "drop":
			model.DiscardFill(tenant)
		}
	})
	return nil
}

func numbers[T ~int64](groups []T) (numbers []int64) {
	for _, g := range groups {
		numbers = append(numbers, int64(g))
	}
	return numbers
}
