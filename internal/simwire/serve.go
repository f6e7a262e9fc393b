// Package simwire adapts package rules to the simulator's line protocol. It turns each input line
// into a call of a rules.Driver and each action of the driver into an output line, and keeps the
// callbacks that the driver passes to its host.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"sedgespread/internal/settings"
	"sedgespread/rules"
)

const retryFlag = 2 // bit of a request's flags

// connection is the connection to the simulator.
type connection struct {
	in              *bufio.Reader
	out             *bufio.Writer
	lineNumber      int
	settings.Fields        // fields of the last line read
	output          []byte // line being written
	now             int64
	memberLists     map[int64][]rules.MemberEntry
	drivers         map[int64]*driver
}

// driver is one driver instance and the callbacks that it waits for.
type driver struct {
	*rules.Driver
	conn          *connection
	id            int64
	epoch         int64
	methods       map[string]rules.MethodID
	rpcs          map[rules.RPCID]*pendingRPC
	pendingProbes map[rules.MemberID][]func(rules.ProbeResult)
	timers        []func() // by handle
	freeTimers    []int64  // handles of expired timers
}

// pendingRPC holds the attempts of one RPC. It is removed once the RPC has ended and all results
// are in.
type pendingRPC struct {
	inFlight  int
	hasEnded  bool
	callbacks []func(rules.Result) // nil once the result is in
}

// Serve handles batches until the input ends. An error names the line that caused it.
func Serve(in io.Reader, out io.Writer) error {
	conn := &connection{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<16),
		memberLists: map[int64][]rules.MemberEntry{}, drivers: map[int64]*driver{}}
	for {
		err := conn.handleBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", conn.lineNumber, err)
		}
	}
}

// readMessage returns the next line that is not empty.
func (c *connection) readMessage() (*settings.Fields, error) {
	for {
		text, err := c.in.ReadString('\n')
		if err == io.EOF && text != "" {
			c.lineNumber++
			return nil, fmt.Errorf("last line has no newline")
		}
		if err != nil {
			return nil, err
		}
		c.lineNumber++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			c.Parse(text, "\t", "=")
			return &c.Fields, c.Err
		}
	}
}

// readRequired reads a message where the input must not end.
func (c *connection) readRequired(container string) (*settings.Fields, error) {
	fields, err := c.readMessage()
	if errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("unexpected end of input in a %s", container)
	}
	return fields, err
}

func (c *connection) handleBatch() error {
	fields, err := c.readMessage()
	if err != nil {
		return err
	}
	if fields.Name != "BEGIN_BATCH" {
		return fmt.Errorf("expected BEGIN_BATCH, got %q", fields.Name)
	}
	c.now = fields.MicrosOrZero("simTimeUs")
	n := fields.RequiredInteger("n")
	if fields.RequiredString("simTimeUs"); fields.Err != nil {
		return fields.Err
	}
	for {
		fields, err := c.readRequired("batch")
		if err != nil {
			return err
		}
		if fields.Name == "EOB" {
			c.beginMessage("YIELD").intField("n", n).send()
			return c.out.Flush()
		}
		if err := c.handleEvent(fields); err != nil {
			return err
		}
	}
}

func (c *connection) handleEvent(fields *settings.Fields) error {
	switch fields.Name {
	case "PAGE":
		return c.handlePage(fields)
	case "NEW_INSTANCE":
		return c.handleNewInstance(fields)
	}
	d := c.drivers[fields.RequiredInteger("who")]
	if fields.Err != nil {
		return fields.Err
	}
	if d == nil {
		return fmt.Errorf("%s: who=%s is not running", fields.Name, fields.Value("who"))
	}
	switch fields.Name {
	case "STOP":
		delete(c.drivers, d.id)
	case "VIEW":
		d.handleView(fields)
	case "REQUEST":
		d.handleRequest(fields)
	case "FIRST":
		d.handleResult(fields, false, rules.Result{Outcome: rules.Started, Latency: fields.MicrosOrZero("waitTimeUs")})
	case "RESOLVED":
		d.handleResult(fields, true, parseResult(fields, d.epoch))
	case "VANISHED":
		id := rules.RPCID(fields.RequiredID("xid"))
		d.markEnded(id)
		if fields.Err == nil {
			d.ClientLeft(id)
		}
	case "TIMEOUT_FIRED":
		d.handleTimer(fields)
	case "PROBE_DONE":
		d.handleProbe(fields)
	case "WHISPER":
		d.handlePeerMessage(fields)
	default:
		return fmt.Errorf("unknown message %q", fields.Name)
	}
	return fields.Err
}

func (c *connection) handlePage(fields *settings.Fields) error {
	slot, count := fields.RequiredInteger("slot"), fields.RequiredInteger("elements")
	if fields.Err != nil {
		return fields.Err
	}
	var entries []rules.MemberEntry
	for range count {
		element, err := c.readRequired("list")
		if err != nil {
			return err
		}
		if element.Name != "M" {
			return fmt.Errorf("expected list entry M, got %q", element.Name)
		}
		entries = append(entries, parseMember(element))
		if element.Err != nil {
			return element.Err
		}
	}
	c.memberLists[slot] = entries
	return nil
}

func (c *connection) handleNewInstance(fields *settings.Fields) error {
	d := &driver{conn: c, id: fields.RequiredInteger("who"), epoch: fields.MicrosOrZero("extra.countedFromUs"), methods: map[string]rules.MethodID{},
		rpcs: map[rules.RPCID]*pendingRPC{}, pendingProbes: map[rules.MemberID][]func(rules.ProbeResult){}}
	methods := fields.Methods()
	for i, m := range methods {
		d.methods[m.Name] = rules.MethodID(i)
	}
	seed := fields.RequiredInteger("salt")
	fleet, store, policy, slowStart, discovery := fields.Fleet(), fields.Store(), fields.Limits(), fields.SlowStart(), fields.Discovery()
	if fields.Err != nil {
		return fields.Err
	}
	d.Driver = rules.New(d, seed, methods, fleet, store, policy, slowStart, discovery)
	c.drivers[d.id] = d
	return nil
}

func (d *driver) handleView(fields *settings.Fields) {
	mode := fields.RequiredString("mode")
	if mode == "FAILED" {
		d.WatchFailed()
		return
	}
	isComplete := settings.Lookup(fields, "mode", mode, modes)
	entries, ok := d.conn.memberLists[fields.RequiredInteger("slot")]
	if !ok {
		fields.Fail("slot=%s holds no member list", fields.Value("slot"))
	}
	if fields.Err == nil {
		d.UpdateMembers(entries, isComplete)
	}
}

func (d *driver) handleRequest(fields *settings.Fields) {
	method := settings.Lookup(fields, "tierClass", fields.RequiredString("tierClass"), d.methods)
	rpc := rules.RPC{ID: rules.RPCID(fields.RequiredID("xid")), Method: method, Group: rules.GroupID(fields.IntegerOr("cluster", 0)),
		Session: fields.Value("key"), TimeLeft: fields.RequiredInteger("graceUs") * microsecond, IsRetry: fields.IntegerOr("flags", 0)&retryFlag != 0}
	if writeAge := fields.NumberOr("lastWriteMs", 0); writeAge > 0 {
		rpc.SessionToken = d.conn.now - int64(writeAge*1e6)
	}
	if fields.Err == nil {
		d.rpcs[rpc.ID] = &pendingRPC{}
		d.Submit(rpc)
	}
}

func (d *driver) handleResult(fields *settings.Fields, isLast bool, r rules.Result) {
	id, n := rules.RPCID(fields.RequiredID("xid")), int(fields.RequiredInteger("n"))
	if fields.Err != nil {
		return
	}
	rpc := d.rpcs[id]
	if rpc == nil || n < 0 || n >= len(rpc.callbacks) || rpc.callbacks[n] == nil {
		fields.Fail("xid=%d n=%d is not in flight", id, n)
		return
	}
	next := rpc.callbacks[n]
	if isLast {
		rpc.callbacks[n] = nil
		rpc.inFlight--
	}
	if r.Final || r.Outcome == rules.OK {
		d.markEnded(id)
	}
	next(r)
	d.releaseIfDone(id)
}

// markEnded records that an RPC has its final answer.
func (d *driver) markEnded(id rules.RPCID) {
	if rpc := d.rpcs[id]; rpc != nil {
		rpc.hasEnded = true
		d.releaseIfDone(id)
	}
}

func (d *driver) releaseIfDone(id rules.RPCID) {
	if rpc := d.rpcs[id]; rpc != nil && rpc.hasEnded && rpc.inFlight == 0 {
		delete(d.rpcs, id)
	}
}

func (d *driver) handleTimer(fields *settings.Fields) {
	handle := fields.RequiredInteger("handle")
	if handle < 0 || handle >= int64(len(d.timers)) || d.timers[handle] == nil {
		fields.Fail("handle=%d is not set", handle)
		return
	}
	next := d.timers[handle]
	d.timers[handle] = nil
	d.freeTimers = append(d.freeTimers, handle)
	next()
}

func (d *driver) handleProbe(fields *settings.Fields) {
	to, r := rules.MemberID(fields.RequiredID("member")), parseProbeResult(fields, d.epoch)
	callbacks := d.pendingProbes[to]
	if len(callbacks) == 0 {
		fields.Fail("member=%d is not being probed", to)
	}
	if fields.Err == nil {
		d.pendingProbes[to] = callbacks[1:]
		callbacks[0](r)
	}
}

// beginMessage starts an output line.
func (c *connection) beginMessage(name string) *connection {
	c.output = append(c.output[:0], name...)
	return c
}

func (c *connection) intField(name string, value int64) *connection {
	c.textField(name, "")
	c.output = strconv.AppendInt(c.output, value, 10)
	return c
}

func (c *connection) textField(name, value string) *connection {
	c.output = append(append(append(c.output, '\t'), name...), '=')
	c.output = append(c.output, value...)
	return c
}

func (c *connection) send() {
	c.out.Write(append(c.output, '\n')) // errors are sticky and returned by Flush
}

// beginMessage starts an output line of this instance.
func (d *driver) beginMessage(name string) *connection {
	return d.conn.beginMessage(name).intField("who", d.id)
}

// toMicroseconds converts a duration to whole microseconds, rounded up.
func toMicroseconds(duration int64) int64 { return (duration + microsecond - 1) / microsecond }

func (d *driver) Now() int64 { return d.conn.now }

func (d *driver) Attempt(id rules.RPCID, to rules.MemberID, within int64, next func(rules.Result)) int {
	rpc := d.rpcs[id]
	n := len(rpc.callbacks)
	rpc.callbacks = append(rpc.callbacks, next)
	rpc.inFlight++
	d.beginMessage("ATTEMPT").intField("xid", int64(id)).intField("member", int64(to)).intField("withinUs", toMicroseconds(within)).send()
	return n
}

func (d *driver) Cancel(id rules.RPCID, number int) {
	d.beginMessage("RETRACT").intField("xid", int64(id)).intField("n", int64(number)).send()
}

func (d *driver) RejectWithRetryAfter(id rules.RPCID, retryAfter int64) {
	d.beginMessage("BUSY").intField("xid", int64(id)).intField("retryAfterUs", toMicroseconds(retryAfter)).send()
	d.markEnded(id)
}

func (d *driver) Abort(id rules.RPCID) {
	d.beginMessage("LOSE").intField("xid", int64(id)).send()
	d.markEnded(id)
}

// Forget does nothing: member ids are those of the simulator.
func (d *driver) Forget(rules.MemberID) {}

func (d *driver) CloseIdle(to rules.MemberID) {
	d.beginMessage("CLOSE_IDLE").intField("member", int64(to)).send()
}

func (d *driver) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	d.pendingProbes[to] = append(d.pendingProbes[to], next)
	d.beginMessage("CHECK").intField("member", int64(to)).send()
}

func (d *driver) After(wait int64, next func()) {
	handle := int64(len(d.timers))
	if last := len(d.freeTimers) - 1; last >= 0 {
		handle, d.freeTimers = d.freeTimers[last], d.freeTimers[:last]
		d.timers[handle] = next
	} else {
		d.timers = append(d.timers, next)
	}
	d.beginMessage("AFTER").intField("afterUs", toMicroseconds(max(wait, 0))).intField("handle", handle).send()
}

func (d *driver) Watch() { d.beginMessage("SUBSCRIBE").intField("on", 1).send() }

func (d *driver) Log(line string) {
	d.beginMessage("NOTE_DOWN").textField("msg", line).send()
}
