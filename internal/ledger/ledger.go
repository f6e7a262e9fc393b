// Package ledger keeps account of RPCs that others send: who was granted what, what came of it, and the one final answer.
// It decides whether a repeat of a known id gets another grant, the former answer or an abort. It does no I/O, reads no
// clock and starts no goroutine. What must outlast a crash is a Record, which whoever drives it writes down before a
// grant is given.
//
// Times are Unix time in nanoseconds.
package ledger

import "sedgespread/rules"

type (
	// ID names an RPC; its repeats have the same.
	ID string
	// Grant numbers a leave to send an RPC once.
	Grant uint64
	// Caller is a caller's place, from Join.
	Caller int32
)

// Outcome is what is known of an RPC's effect.
type Outcome int

const (
	NeverRan   Outcome = iota // every grant of it was reported as never sent, or there was none
	MayHaveRun                // a grant of it ended in the open, or was never reported
	Ran
)

// state of an RPC:
//
//	from      what has come                             to
//	-         asked for, and there is room              granted
//	granted   reported: never ran                       idle
//	granted   reported: ran                             answered
//	granted   reported: may have run; its life is over;
//	          its caller has started anew               doubtful
//	idle      asked for again                           granted
//	doubtful  asked for again, and a repeat is harmless granted
//	any       answered otherwise: aborted, pushed back  answered
//	answered  its time is past                          -
//
// An RPC whose time is past is forgotten in every state: nobody may ask for it any more.
type state uint8

const (
	granted state = iota
	idle
	doubtful
	answered
)

// Request is a caller's request to send an RPC.
type Request struct {
	ID       ID
	Caller   Caller
	Effect   rules.Effect
	Group    rules.GroupID
	Window   int64 // of a tokened one: repeats within it, in its group, are dropped
	Deadline int64 // its client's; nothing is granted past it
	IsRetry  bool  // its caller knows it to be a repeat
}

// Action is what a ledger decides on an Ask.
type Action int

const (
	ActionGrant  Action = iota // a grant
	ActionReplay               // the answer that it had already
	ActionReject               // there is no room, and it never ran
	ActionAbort                // it may have run, and a repeat is not harmless
)

// Decision is what becomes of an Ask.
type Decision struct {
	Action  Action
	Grant   Grant
	Outcome Outcome // of a former answer
	Reason  Reason
}

// Reason is the reason for a decision that is no grant.
type Reason int

const (
	ReasonNone             Reason = iota
	ReasonFull                    // the ledger has no room
	ReasonQuota                   // the caller has used up its part
	ReasonMayHaveRun              // an earlier grant of a non-idempotent RPC may have run
	ReasonOutsideWindow           // a tokened one's window is over, or its group is another
	ReasonGrantOutstanding        // an earlier grant is still out
	ReasonRecordsLost             // this ledger has lost its records, and can't tell
	ReasonDeadlineExceeded        // its deadline is past
	ReasonUnknownCaller           // the caller is not known
	ReasonJournalFailed           // its record could not be written
	whys
)

// entry is one RPC, in a place that is used again once it is forgotten.
type entry struct {
	id       ID
	caller   Caller
	effect   rules.Effect
	group    rules.GroupID
	window   int64
	deadline int64
	risk     int64 // when the first grant was given that may have run, 0 for none
	grant    Grant // the last one
	state    state
	fate     Outcome
	split    bool // grants of it that may have run were for several groups: a report that allowed that was lost in a crash
}

// Ledger is the account. Its methods are to be called one after another.
type Ledger struct {
	entries []entry
	free    []int32
	byID    map[ID]int32
	byGrant map[Grant]int32
	wheel   *TimingWheel
	last    Grant
	most    int
	blind   int64 // it can't tell repeats until then
	// callers, by place
	names  []string
	epochs []uint64
	open   []int
	quota  int
	index  map[string]Caller
	counts Counts
}

// Counts are of what came and what became of it.
type Counts struct {
	Grants         int64
	Rejected       [whys]int64
	Replayed       int64
	UnknownReports int64 // reports of a grant that was reported already, or is not known any more
	ForeignReports int64 // reports by another than the grant's caller, or by an earlier start of it
	ExpiredGrants  int64 // grants whose life ended without a report
}

const (
	tick  = int64(5_000_000)
	grace = int64(50_000_000) // after its deadline an RPC may still be reported
)

// New makes a ledger at a time for so many RPCs, of which one caller may have so many. Its grants are numbered from the
// time on, so that no report of a grant from before a crash is taken for one of another since.
func New(now int64, most, quota int) *Ledger {
	return &Ledger{byID: map[ID]int32{}, byGrant: map[Grant]int32{}, wheel: NewTimingWheel(now, tick), most: most, quota: quota,
		index: map[string]Caller{}, last: Grant(now)}
}

// Join makes a caller known, or tells that it has started anew: what it had out then may have run.
func (l *Ledger) Join(name string, epoch uint64) (c Caller, joined bool) {
	c, known := l.index[name]
	switch {
	case !known:
		c = Caller(len(l.names))
		l.index[name] = c
		l.names, l.epochs, l.open = append(l.names, name), append(l.epochs, epoch), append(l.open, 0)
		return c, true
	case epoch < l.epochs[c]:
		return c, false
	case epoch > l.epochs[c]:
		l.epochs[c] = epoch
		for i := range l.entries {
			if e := &l.entries[i]; e.caller == c && e.state == granted && e.id != "" {
				l.doubt(e)
			}
		}
	}
	return c, true
}

// MarkRecordsLost says that records were lost: until a time this ledger can't tell whether an RPC was granted before.
func (l *Ledger) MarkRecordsLost(until int64) { l.blind = max(l.blind, until) }

// Decide decides on an Ask. A grant is only proposed: Give it with Granted, once its record is written down.
func (l *Ledger) Decide(now int64, a Request) Decision {
	d := l.decide(now, a)
	if d.Action == ActionGrant {
		return d
	}
	if d.Action == ActionReplay {
		l.counts.Replayed++
	}
	l.counts.Rejected[d.Reason]++
	return d
}

func (l *Ledger) decide(now int64, a Request) Decision {
	if a.Caller < 0 || int(a.Caller) >= len(l.names) {
		return Decision{Action: ActionReject, Reason: ReasonUnknownCaller}
	}
	place, known := l.byID[a.ID]
	if !known {
		return l.first(now, a)
	}
	e := &l.entries[place]
	switch {
	case e.state == answered:
		return Decision{Action: ActionReplay, Outcome: e.fate}
	case now >= e.deadline:
		return l.refuse(e, ReasonDeadlineExceeded)
	case e.effect != a.Effect || e.window != a.Window: // not what it was: the stricter account counts
		return l.refuse(e, ReasonMayHaveRun)
	case e.effect == rules.Idempotent:
	case e.effect == rules.IdempotentByToken && e.mayHaveRun() && (e.risk+e.window <= now || e.group != a.Group || e.split):
		return l.refuse(e, ReasonOutsideWindow)
	case e.effect == rules.NonIdempotent && e.state == granted:
		return l.refuse(e, ReasonGrantOutstanding)
	case e.effect == rules.NonIdempotent && e.fate == MayHaveRun:
		return l.refuse(e, ReasonMayHaveRun)
	}
	return Decision{Action: ActionGrant, Grant: l.last + 1}
}

// mayHaveRun tells whether some grant of an RPC may have run, one that is out included.
func (e *entry) mayHaveRun() bool { return e.state == granted || e.fate != NeverRan }

// refuse aborts what may have run, and pushes back what never did.
func (l *Ledger) refuse(e *entry, why Reason) Decision {
	if e.mayHaveRun() {
		return Decision{Action: ActionAbort, Reason: why}
	}
	return Decision{Action: ActionReject, Reason: why}
}

// first decides on an RPC that is not known here.
func (l *Ledger) first(now int64, a Request) Decision {
	switch {
	case now >= a.Deadline:
		return Decision{Action: ActionReject, Reason: ReasonDeadlineExceeded}
	case now < l.blind && a.IsRetry && a.Effect != rules.Idempotent:
		return Decision{Action: ActionAbort, Reason: ReasonRecordsLost}
	case len(l.byID) >= l.most:
		return Decision{Action: ActionReject, Reason: ReasonFull}
	case l.open[a.Caller] >= l.quota:
		return Decision{Action: ActionReject, Reason: ReasonQuota}
	}
	return Decision{Action: ActionGrant, Grant: l.last + 1}
}

// Record is what has to outlast a crash: a grant of an RPC that is not idempotent, or what came of one.
type Record struct {
	Grant    Grant         `json:"grant"`
	ID       ID            `json:"id,omitempty"` // empty where it says what came of a grant
	Caller   string        `json:"caller,omitempty"`
	Epoch    uint64        `json:"epoch,omitempty"`
	Effect   rules.Effect  `json:"effect,omitempty"`
	Group    rules.GroupID `json:"group,omitempty"`
	Window   int64         `json:"window,omitempty"`
	Deadline int64         `json:"deadline,omitempty"`
	At       int64         `json:"at"`
	Outcome  Outcome       `json:"fate,omitempty"`
}

// Record is what must be written down before a grant may be given; needed is false for an idempotent RPC.
func (l *Ledger) Record(now int64, a Request, g Grant) (r Record, needed bool) {
	return Record{Grant: g, ID: a.ID, Caller: l.names[a.Caller], Epoch: l.epochs[a.Caller], Effect: a.Effect, Group: a.Group,
		Window: a.Window, Deadline: a.Deadline, At: now}, a.Effect != rules.Idempotent
}

// Granted gives a grant that Decide has proposed just now.
func (l *Ledger) Granted(now int64, a Request, g Grant) {
	place, known := l.byID[a.ID]
	if !known {
		place = l.place()
		l.entries[place] = entry{id: a.ID, caller: a.Caller, effect: a.Effect, group: a.Group, window: a.Window, deadline: a.Deadline}
		l.byID[a.ID] = place
		l.open[a.Caller]++
		l.wheel.Set(place, a.Deadline+grace+max(0, a.Window))
	}
	e := &l.entries[place]
	if e.state == granted && known { // one that is out, of an RPC that may be repeated
		l.doubt(e)
	}
	if e.risk == 0 {
		e.risk, e.group = now, a.Group
	}
	e.split = e.split || e.group != a.Group
	if known && e.caller != a.Caller {
		l.open[e.caller]--
		l.open[a.Caller]++
		e.caller = a.Caller
	}
	l.last = max(l.last, g)
	e.grant, e.state = g, granted
	l.byGrant[g] = place
	l.counts.Grants++
}

// place gives a place for an RPC.
func (l *Ledger) place() int32 {
	if n := len(l.free); n > 0 {
		p := l.free[n-1]
		l.free = l.free[:n-1]
		return p
	}
	l.entries = append(l.entries, entry{})
	return int32(len(l.entries) - 1)
}

// doubt notes that the grant that is out may have run, and will not be heard of.
func (l *Ledger) doubt(e *entry) {
	delete(l.byGrant, e.grant)
	e.state, e.fate = doubtful, MayHaveRun
}

// Report takes what came of a grant, and tells whether it counts: reports of grants that are not out, or are another
// caller's, don't.
func (l *Ledger) Report(c Caller, epoch uint64, g Grant, f Outcome) bool {
	place, out := l.byGrant[g]
	if !out {
		l.counts.UnknownReports++
		return false
	}
	e := &l.entries[place]
	if e.caller != c || l.epochs[c] != epoch {
		l.counts.ForeignReports++
		return false
	}
	delete(l.byGrant, g)
	switch f {
	case NeverRan:
		e.state = idle
		if e.fate == NeverRan {
			e.risk, e.split = 0, false
		}
	case MayHaveRun:
		e.state, e.fate = doubtful, MayHaveRun
	case Ran:
		e.state, e.fate = answered, Ran
	}
	return true
}

// Answer notes the final answer of an RPC whose caller was told to push it back or to abort it.
func (l *Ledger) Answer(id ID) {
	if place, known := l.byID[id]; known {
		if e := &l.entries[place]; e.state != answered {
			if e.state == granted {
				l.doubt(e)
			}
			e.state = answered
		}
	}
}

// Advance goes on to a time: what is past is forgotten. A grant that was never reported has ended in doubt by then.
func (l *Ledger) Advance(now int64) {
	for _, place := range l.wheel.Advance(now) {
		e := &l.entries[place]
		if e.state == granted {
			l.counts.ExpiredGrants++
			l.doubt(e)
		}
		l.open[e.caller]--
		delete(l.byID, e.id)
		*e = entry{}
		l.free = append(l.free, place)
	}
}

// Recover takes in the records of the time before, in their order. What has no outcome may have run.
func (l *Ledger) Recover(now int64, records []Record) {
	for _, r := range records {
		l.last = max(l.last, r.Grant)
		if r.ID == "" {
			if place, out := l.byGrant[r.Grant]; out {
				e := &l.entries[place]
				l.Report(e.caller, l.epochs[e.caller], r.Grant, r.Outcome)
			}
			continue
		}
		if r.Deadline+grace+max(0, r.Window) <= now {
			continue
		}
		c, _ := l.Join(r.Caller, r.Epoch)
		l.Granted(r.At, Request{ID: r.ID, Caller: c, Effect: r.Effect, Group: r.Group, Window: r.Window, Deadline: r.Deadline}, r.Grant)
	}
	for i := range l.entries {
		if e := &l.entries[i]; e.id != "" && e.state == granted {
			l.doubt(e)
		}
	}
	l.counts = Counts{}
}

// Open is how many RPCs are known, and how many of them have a grant out.
func (l *Ledger) Open() (known, out int) { return len(l.byID), len(l.byGrant) }

// Counts are of what came and what became of it.
func (l *Ledger) Counts() Counts { return l.counts }
