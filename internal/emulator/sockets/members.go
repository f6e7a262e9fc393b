// Package sockets serves an emulated fleet on loopback: members that speak the PostgreSQL protocol,
// discovery over HTTP, and clients. Package emulator decides how members respond.
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

// Fleet is an emulated fleet that listens on sockets.
type Fleet struct {
	*emulator.Checker
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc
	listeners []*transport.Listener
	addresses []string
	tasks     errgroup.Group
	inputs    *protocol.Inputs // of the members' clients, the drivers
	onArrival func(id string)  // called with the id of each statement of a client; nil for none
	discovery *httptest.Server
	fillHook  *httptest.Server

	mu         sync.Mutex
	model      *emulator.Fleet
	version    int           // of the discovery list
	changed    chan struct{} // closed when the version changes
	conns      map[emulator.MemberID]map[*transport.Conn]bool
	fillEpochs map[string]uint64 // newest epoch of a fill request by tenant
}

const (
	maxConns      = 1 << 14
	maxInputBytes = 256 << 20 // of all members
)

// Start starts a fleet on loopback.
func Start(config emulator.Config) (*Fleet, error) {
	checker := emulator.NewChecker()
	f := &Fleet{Checker: checker, startedAt: time.Now(), model: emulator.NewFleet(config, checker), fillEpochs: map[string]uint64{},
		inputs: protocol.NewInputs(maxInputBytes), version: 1, changed: make(chan struct{}), conns: map[emulator.MemberID]map[*transport.Conn]bool{}}
	f.ctx, f.cancel = context.WithCancelCause(context.Background())
	descriptors := transport.NewDescriptors(maxConns)
	for i := range f.model.MemberCount() {
		listener, err := transport.Listen("127.0.0.1:0", descriptors, protocol.RingBytes)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.listeners, f.addresses = append(f.listeners, listener), append(f.addresses, listener.Addr())
		f.tasks.Go(func() error { f.accept(listener, emulator.MemberID(i)); return nil })
	}
	f.discovery = httptest.NewServer(http.HandlerFunc(f.serveDiscovery))
	f.fillHook = httptest.NewServer(jsonhttp.ActionHandler(f.applyFill))
	return f, nil
}

// OnArrival lets a function know the id of each client's statement that a member receives. It is called before
// the drivers start.
func (f *Fleet) OnArrival(record func(id string)) { f.onArrival = record }

// Stop closes all listeners and connections and waits for their goroutines.
func (f *Fleet) Stop() {
	for _, listener := range f.listeners {
		listener.Close()
	}
	f.cancel(transport.ShutDown)
	for _, server := range []*httptest.Server{f.discovery, f.fillHook} {
		if server != nil {
			server.CloseClientConnections()
			server.Close()
		}
	}
	f.tasks.Wait()
}

// Now returns the fleet's clock, Unix time in nanoseconds.
func (f *Fleet) Now() int64 { return f.startedAt.UnixNano() + int64(time.Since(f.startedAt)) }

// WithModel calls a function with the current time and exclusive access to the model.
func (f *Fleet) WithModel(use func(now int64, m *emulator.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.Now(), f.model)
}

func (f *Fleet) accept(listener *transport.Listener, id emulator.MemberID) {
	for {
		c, err := listener.Accept(f.ctx, 0, func(bool) {})
		if err != nil {
			return
		}
		f.tasks.Go(func() error { f.serve(protocol.NewClient(c, f.inputs), id); return nil })
	}
}

// trackConn adds or removes an open connection of a member.
func (f *Fleet) trackConn(id emulator.MemberID, c *transport.Conn, isOpen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[id] == nil {
		f.conns[id] = map[*transport.Conn]bool{}
	}
	if isOpen {
		f.conns[id][c] = true
	} else {
		delete(f.conns[id], c)
	}
}

// Restart restarts a member: its connections are closed and it is cold.
func (f *Fleet) Restart(id emulator.MemberID) {
	f.updateDiscovery(func(now int64, model *emulator.Fleet) { model.Restart(now, id) })
	f.mu.Lock()
	var closing []*transport.Conn
	for c := range f.conns[id] {
		closing = append(closing, c)
	}
	f.mu.Unlock()
	for _, c := range closing {
		c.Close(transport.ShutDown)
	}
}

// SetDraining makes a member drain or serve again.
func (f *Fleet) SetDraining(id emulator.MemberID, draining bool) {
	f.updateDiscovery(func(now int64, model *emulator.Fleet) { model.SetDraining(now, id, draining) })
}

// updateDiscovery applies a change that affects the discovery list and wakes up watchers.
func (f *Fleet) updateDiscovery(update func(now int64, model *emulator.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(f.Now(), f.model)
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

// serve serves one connection to a member.
func (f *Fleet) serve(c protocol.Client, id emulator.MemberID) {
	f.trackConn(id, c.Conn, true)
	defer f.trackConn(id, c.Conn, false)
	_, reason := c.Handshake(protocol.CancelKey{}, func(protocol.CancelKey) {})
	for reason == transport.Open {
		var text string
		if text, _, reason = c.ReadQuery(); reason == transport.Open {
			reason = f.answerQuery(c, id, text)
		}
	}
	c.Close(reason)
}

func (f *Fleet) answerQuery(c protocol.Client, id emulator.MemberID, text string) transport.CloseReason {
	if text == protocol.LoadQuery {
		return f.answerLoadQuery(c, id)
	}
	parsed, err := protocol.ParseStatement(text)
	if err != nil {
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateProtocolViolation, Message: err.Error()})
	}
	if f.onArrival != nil {
		f.onArrival(parsed.ID)
	}
	statement := emulator.Statement{ID: parsed.ID, Key: parsed.Key, Write: parsed.Write, Timeout: parsed.TimeoutMillis * int64(time.Millisecond), Fence: parseFence(text)}
	var doneAt int64
	var admission emulator.Admission
	var response emulator.Response
	restartsBefore, restartsAfter := 0, 0
	f.WithModel(func(now int64, model *emulator.Fleet) {
		doneAt, admission = model.Admit(now, id, statement)
		response = model.Status(now, id)
		_, restartsBefore = model.Started(id)
	})
	switch admission {
	case emulator.QueueFull:
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateTooManyConnections, Message: "the queue is full"}, statusParameters(response)...)
	case emulator.NotPrimary:
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateReadOnly, Message: "this is no primary"}, statusParameters(response)...)
	case emulator.Fenced:
		return c.SendMemberFailure(protocol.Failure{SQLState: protocol.StateFenced, Message: "its version is over"}, statusParameters(response)...)
	}
	time.Sleep(time.Duration(doneAt - f.Now())) // an admitted statement is executed even if its sender has gone
	f.WithModel(func(now int64, model *emulator.Fleet) {
		if _, restartsAfter = model.Started(id); restartsAfter == restartsBefore {
			response = model.Execute(now, id, statement)
		}
	})
	if restartsAfter != restartsBefore { // the member was restarted meanwhile
		return transport.ShutDown
	}
	if response.IsLost {
		return c.Await(1)
	}
	return c.SendRow(response.Value, statusParameters(response)...)
}

// parseFence returns the fence of a statement.
func parseFence(text string) (fence versions.Fence) {
	parsed := protocol.ParseFence(text)
	fence.Version, fence.Epoch = versions.Number(parsed.Version), versions.Epoch(parsed.Epoch)
	for _, n := range parsed.Valid {
		fence.Valid = append(fence.Valid, versions.Number(n))
	}
	return fence
}

func (f *Fleet) answerLoadQuery(c protocol.Client, id emulator.MemberID) transport.CloseReason {
	var status emulator.Response
	f.WithModel(func(now int64, model *emulator.Fleet) { status = model.Status(now, id) })
	role := 0
	if status.Primary {
		role = 1
	}
	return c.SendRow(fmt.Sprintf("x0=%.3f,x1=%d", float64(status.Position/int64(time.Millisecond))/1000, role), statusParameters(status)...)
}

func statusParameters(response emulator.Response) []protocol.ParameterStatus {
	role := "follower"
	if response.Primary {
		role = "leader"
	}
	return []protocol.ParameterStatus{{Name: "node_role", Value: role},
		{Name: "replay_position", Value: strconv.FormatInt(response.Position/int64(time.Millisecond), 10)}}
}

// DiscoveryAddress returns the address of the discovery service.
func (f *Fleet) DiscoveryAddress() string { return f.discovery.Listener.Addr().String() }

// FillHookURL returns the URL that receives fill requests.
func (f *Fleet) FillHookURL() string { return f.fillHook.URL + "/fill" }

// DiscoveryList returns the discovery list.
func (f *Fleet) DiscoveryList() map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make([]any, 0, len(f.addresses))
	for i, address := range f.addresses {
		id, lifecycle := emulator.MemberID(i), "SERVING"
		if f.model.IsDraining(id) {
			lifecycle = "DRAINING"
		}
		started, _ := f.model.Started(id)
		entries = append(entries, map[string]any{"instanceId": fmt.Sprintf("m%d", i), "hostPort": address, "zone": "a",
			"machineType": "m", "cell": f.model.Group(id), "lifecycle": lifecycle, "weight": 1.0,
			"startedAtMs": started / int64(time.Millisecond)})
	}
	return map[string]any{"generation": f.version, "reset": true, "instances": entries}
}

// serveDiscovery returns the discovery list. A watch request waits until the list is newer than the
// watcher's version or the wait is over.
func (f *Fleet) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	if index, err := strconv.Atoi(r.URL.Query().Get("index")); err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		f.mu.Lock()
		isNewer, changed := f.version > index, f.changed
		f.mu.Unlock()
		if !isNewer {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			case <-f.ctx.Done():
				return
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	jsonhttp.WriteJSON(w, f.DiscoveryList())
}

// applyFill applies a fill request. Requests with an epoch that is not newer than the last are
// ignored.
func (f *Fleet) applyFill(_ context.Context, request membership.FillRequest) error {
	f.WithModel(func(_ int64, model *emulator.Fleet) {
		tenant := string(request.Tenant)
		if uint64(request.Epoch) <= f.fillEpochs[tenant] {
			return
		}
		f.fillEpochs[tenant] = uint64(request.Epoch)
		switch request.Step {
		case "begin":
			model.BeginFill(tenant, groupNumbers(request.From), groupNumbers(request.To))
		case "end":
			model.EndFill(tenant, request.CutoverPosition)
		case "drop":
			model.DiscardFill(tenant)
		}
	})
	return nil
}

func groupNumbers[T ~int64](groups []T) (numbers []int64) {
	for _, g := range groups {
		numbers = append(numbers, int64(g))
	}
	return numbers
}
