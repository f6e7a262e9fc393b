// Package simwire speaks the simulator's wire: it turns each line read into a call on the module and each
// answer of the module into a line, and keeps the closures that the module leaves with its host.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"sedgespread/internal/briefing"
	"sedgespread/rules"
)

const repeatFlag = 2 // of a request's flags

// wire is one process's end of the conversation.
type wire struct {
	in              *bufio.Reader
	out             *bufio.Writer
	line            int
	briefing.Fields        // of the line read last
	text            []byte // of the line being written
	now             int64
	pages           map[int64][]rules.MemberEntry
	drivers         map[int64]*driver
}

// driver is one instance: its module and what that has left pending.
type driver struct {
	*rules.Driver
	w       *wire
	who     int64
	epoch   int64
	methods map[string]rules.MethodID
	rpcs    map[rules.RPCID]*pending
	probes  map[rules.MemberID][]func(rules.ProbeResult)
	timers  []func() // by handle
	free    []int64  // handles that have fired
}

// pending are the attempts of one RPC. It is dropped once the RPC has ended and all its results are in.
type pending struct {
	out   int
	ended bool
	next  []func(rules.Result) // nil once the result is in
}

// Serve answers batches until the input ends. An error says what was wrong, and in which line.
func Serve(in io.Reader, out io.Writer) error {
	w := &wire{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<16),
		pages: map[int64][]rules.MemberEntry{}, drivers: map[int64]*driver{}}
	for {
		err := w.batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", w.line, err)
		}
	}
}

// read gives the next line that is not empty.
func (w *wire) read() (*briefing.Fields, error) {
	for {
		text, err := w.in.ReadString('\n')
		if err == io.EOF && text != "" {
			w.line++
			return nil, fmt.Errorf("the last line is cut short")
		}
		if err != nil {
			return nil, err
		}
		w.line++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			w.Parse(text, "\t", "=")
			return &w.Fields, w.Err
		}
	}
}

// inside reads a line where the input must not end.
func (w *wire) inside(what string) (*briefing.Fields, error) {
	f, err := w.read()
	if errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("the input ends inside a %s", what)
	}
	return f, err
}

func (w *wire) batch() error {
	f, err := w.read()
	if err != nil {
		return err
	}
	if f.Name != "BEGIN_BATCH" {
		return fmt.Errorf("%q where a batch should begin", f.Name)
	}
	w.now = f.MicrosOrZero("simTimeUs")
	n := f.RequiredInteger("n")
	if f.RequiredString("simTimeUs"); f.Err != nil {
		return f.Err
	}
	for {
		f, err := w.inside("batch")
		if err != nil {
			return err
		}
		if f.Name == "EOB" {
			w.begin("YIELD").number("n", n).send()
			return w.out.Flush()
		}
		if err := w.event(f); err != nil {
			return err
		}
	}
}

func (w *wire) event(f *briefing.Fields) error {
	switch f.Name {
	case "PAGE":
		return w.page(f)
	case "NEW_INSTANCE":
		return w.newInstance(f)
	}
	d := w.drivers[f.RequiredInteger("who")]
	if f.Err != nil {
		return f.Err
	}
	if d == nil {
		return fmt.Errorf("%s: who=%s is not running", f.Name, f.Value("who"))
	}
	switch f.Name {
	case "STOP":
		delete(w.drivers, d.who)
	case "VIEW":
		d.view(f)
	case "REQUEST":
		d.request(f)
	case "FIRST":
		d.resolved(f, false, rules.Result{Outcome: rules.Started, Latency: f.MicrosOrZero("waitTimeUs")})
	case "RESOLVED":
		d.resolved(f, true, result(f, d.epoch))
	case "VANISHED":
		id := rules.RPCID(f.RequiredID("xid"))
		d.ended(id)
		if f.Err == nil {
			d.ClientLeft(id)
		}
	case "TIMEOUT_FIRED":
		d.fired(f)
	case "PROBE_DONE":
		d.probed(f)
	case "WHISPER":
		d.whisper(f)
	default:
		return fmt.Errorf("unknown message %q", f.Name)
	}
	return f.Err
}

func (w *wire) page(f *briefing.Fields) error {
	slot, count := f.RequiredInteger("slot"), f.RequiredInteger("elements")
	if f.Err != nil {
		return f.Err
	}
	var lines []rules.MemberEntry
	for range count {
		e, err := w.inside("list")
		if err != nil {
			return err
		}
		if e.Name != "M" {
			return fmt.Errorf("%q where a list's entry should be", e.Name)
		}
		lines = append(lines, listing(e))
		if e.Err != nil {
			return e.Err
		}
	}
	w.pages[slot] = lines
	return nil
}

func (w *wire) newInstance(f *briefing.Fields) error {
	d := &driver{w: w, who: f.RequiredInteger("who"), epoch: f.MicrosOrZero("extra.countedFromUs"), methods: map[string]rules.MethodID{},
		rpcs: map[rules.RPCID]*pending{}, probes: map[rules.MemberID][]func(rules.ProbeResult){}}
	methods := f.Methods()
	for i, m := range methods {
		d.methods[m.Name] = rules.MethodID(i)
	}
	seed := f.RequiredInteger("salt")
	fleet, store, allowed, slowStart, notice := f.Fleet(), f.Store(), f.Limits(), f.SlowStart(), f.Discovery()
	if f.Err != nil {
		return f.Err
	}
	d.Driver = rules.New(d, seed, methods, fleet, store, allowed, slowStart, notice)
	w.drivers[d.who] = d
	return nil
}

func (d *driver) view(f *briefing.Fields) {
	mode := f.RequiredString("mode")
	if mode == "FAILED" {
		d.WatchFailed()
		return
	}
	whole := briefing.Lookup(f, "mode", mode, modes)
	lines, ok := d.w.pages[f.RequiredInteger("slot")]
	if !ok {
		f.Fail("slot=%s holds no list", f.Value("slot"))
	}
	if f.Err == nil {
		d.UpdateMembers(lines, whole)
	}
}

func (d *driver) request(f *briefing.Fields) {
	method := briefing.Lookup(f, "tierClass", f.RequiredString("tierClass"), d.methods)
	rpc := rules.RPC{ID: rules.RPCID(f.RequiredID("xid")), Method: method, Group: rules.GroupID(f.IntegerOr("cluster", 0)),
		Session: f.Value("key"), TimeLeft: f.RequiredInteger("graceUs") * micro, IsRetry: f.IntegerOr("flags", 0)&repeatFlag != 0}
	if ago := f.NumberOr("lastWriteMs", 0); ago > 0 {
		rpc.SessionToken = d.w.now - int64(ago*1e6)
	}
	if f.Err == nil {
		d.rpcs[rpc.ID] = &pending{}
		d.Submit(rpc)
	}
}

func (d *driver) resolved(f *briefing.Fields, last bool, r rules.Result) {
	id, n := rules.RPCID(f.RequiredID("xid")), int(f.RequiredInteger("n"))
	if f.Err != nil {
		return
	}
	p := d.rpcs[id]
	if p == nil || n < 0 || n >= len(p.next) || p.next[n] == nil {
		f.Fail("xid=%d n=%d is not out", id, n)
		return
	}
	next := p.next[n]
	if last {
		p.next[n] = nil
		p.out--
	}
	if r.Final || r.Outcome == rules.OK {
		d.ended(id)
	}
	next(r)
	d.drop(id)
}

// ended notes that an RPC has its final answer.
func (d *driver) ended(id rules.RPCID) {
	if p := d.rpcs[id]; p != nil {
		p.ended = true
		d.drop(id)
	}
}

func (d *driver) drop(id rules.RPCID) {
	if p := d.rpcs[id]; p != nil && p.ended && p.out == 0 {
		delete(d.rpcs, id)
	}
}

func (d *driver) fired(f *briefing.Fields) {
	handle := f.RequiredInteger("handle")
	if handle < 0 || handle >= int64(len(d.timers)) || d.timers[handle] == nil {
		f.Fail("handle=%d is not set", handle)
		return
	}
	next := d.timers[handle]
	d.timers[handle] = nil
	d.free = append(d.free, handle)
	next()
}

func (d *driver) probed(f *briefing.Fields) {
	to, r := rules.MemberID(f.RequiredID("member")), probeResult(f, d.epoch)
	waiting := d.probes[to]
	if len(waiting) == 0 {
		f.Fail("member=%d is not being probed", to)
	}
	if f.Err == nil {
		d.probes[to] = waiting[1:]
		waiting[0](r)
	}
}

// begin starts a line to be written.
func (w *wire) begin(name string) *wire {
	w.text = append(w.text[:0], name...)
	return w
}

func (w *wire) number(name string, value int64) *wire {
	w.words(name, "")
	w.text = strconv.AppendInt(w.text, value, 10)
	return w
}

func (w *wire) words(name, value string) *wire {
	w.text = append(append(append(w.text, '\t'), name...), '=')
	w.text = append(w.text, value...)
	return w
}

func (w *wire) send() {
	w.out.Write(append(w.text, '\n')) // what goes wrong shows at the flush
}

// begin starts a line of this instance.
func (d *driver) begin(name string) *wire { return d.w.begin(name).number("who", d.who) }

// up turns a span into whole microseconds, rounded up.
func up(span int64) int64 { return (span + micro - 1) / micro }

func (d *driver) Now() int64 { return d.w.now }

func (d *driver) Attempt(id rules.RPCID, to rules.MemberID, within int64, next func(rules.Result)) int {
	p := d.rpcs[id]
	n := len(p.next)
	p.next = append(p.next, next)
	p.out++
	d.begin("ATTEMPT").number("xid", int64(id)).number("member", int64(to)).number("withinUs", up(within)).send()
	return n
}

func (d *driver) Cancel(id rules.RPCID, number int) {
	d.begin("RETRACT").number("xid", int64(id)).number("n", int64(number)).send()
}

func (d *driver) RejectWithRetryAfter(id rules.RPCID, comeBack int64) {
	d.begin("BUSY").number("xid", int64(id)).number("retryAfterUs", up(comeBack)).send()
	d.ended(id)
}

func (d *driver) Abort(id rules.RPCID) {
	d.begin("LOSE").number("xid", int64(id)).send()
	d.ended(id)
}

// Forget has nothing to do: the wire's own numbers are used.
func (d *driver) Forget(rules.MemberID) {}

func (d *driver) CloseIdle(to rules.MemberID) {
	d.begin("CLOSE_IDLE").number("member", int64(to)).send()
}

func (d *driver) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	d.probes[to] = append(d.probes[to], next)
	d.begin("CHECK").number("member", int64(to)).send()
}

func (d *driver) After(wait int64, next func()) {
	handle := int64(len(d.timers))
	if last := len(d.free) - 1; last >= 0 {
		handle, d.free = d.free[last], d.free[:last]
		d.timers[handle] = next
	} else {
		d.timers = append(d.timers, next)
	}
	d.begin("AFTER").number("afterUs", up(max(wait, 0))).number("handle", handle).send()
}

func (d *driver) Watch() { d.begin("SUBSCRIBE").number("on", 1).send() }

func (d *driver) Log(line string) {
	d.begin("NOTE_DOWN").words("msg", line).send()
}
