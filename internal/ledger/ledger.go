// Package ledger tracks RPCs sent by other processes: who was granted permission to send one, the
// reported outcome and the final response. It decides whether a retry of a known id gets another
// grant, the earlier response or an abort.
//
// The package does no I/O, reads no clock and starts no goroutine. A caller must persist a Record
// before it gives out a grant. Times are Unix time in nanoseconds.
package ledger

import "sedgespread/rules"

type (
	// ID identifies an RPC and its retries.
	ID string
	// Grant numbers a permission to send an RPC once.
	Grant uint64
	// Caller is the index of a caller, returned by Join.
	Caller int32
)

// Outcome is what is known about the execution of an RPC.
type Outcome int

const (
	NeverRan   Outcome = iota // every grant was reported as never sent, or there was none
	MayHaveRun                // a grant was reported as uncertain, or never reported
	Ran
)

// state is the state of an RPC.
//
//	from       event                                          to
//	-          requested, and there is capacity               granted
//	granted    reported: never ran                            idle
//	granted    reported: ran                                  answered
//	granted    reported: may have run; or the RPC expired;
//	           or the caller restarted                        uncertain
//	idle       requested again                                granted
//	uncertain  requested again, and a retry is safe           granted
//	any        answered otherwise: aborted or rejected        answered
//
// An RPC is removed in any state once it has expired.
type state uint8

const (
	granted state = iota
	idle
	uncertain
	answered
)

// Request is a caller's request to send an RPC.
type Request struct {
	ID       ID
	Caller   Caller
	Effect   rules.Effect
	Group    rules.GroupID
	Window   int64 // for IdempotentByToken: how long the group drops duplicates
	Deadline int64 // of the client; no grant after it
	IsRetry  bool  // the caller knows that this is a retry
}

// Action is how the ledger responds to a Request.
type Action int

const (
	ActionGrant  Action = iota // send the RPC
	ActionReplay               // return the earlier response
	ActionReject               // no capacity; the RPC never ran
	ActionAbort                // the RPC may have run, and a retry is not safe
)

// Decision is the response to a Request.
type Decision struct {
	Action  Action
	Grant   Grant
	Outcome Outcome // for ActionReplay
	Reason  Reason
}

// Reason is why a request got no grant.
type Reason int

const (
	ReasonNone             Reason = iota
	ReasonFull                    // the ledger is at capacity
	ReasonQuota                   // the caller is at its quota
	ReasonMayHaveRun              // an earlier grant of a non-idempotent RPC may have run
	ReasonOutsideWindow           // an IdempotentByToken RPC is past its window or has another group
	ReasonGrantOutstanding        // an earlier grant has not been reported
	ReasonRecordsLost             // records were lost, so that a retry cannot be recognized
	ReasonDeadlineExceeded
	ReasonUnknownCaller
	ReasonJournalFailed // the record could not be persisted
	reasonCount
)

// entry is one RPC. Its slot is reused after the RPC has expired.
type entry struct {
	id              ID
	caller          Caller
	effect          rules.Effect
	group           rules.GroupID
	window          int64
	deadline        int64
	mayHaveRunSince int64 // when the first grant that may have run was given, 0 for none
	grant           Grant // latest grant
	state           state
	outcome         Outcome
	multipleGroups  bool // grants that may have run were for several groups, after a report was lost in a crash
}

// Ledger tracks RPCs. It is not safe for concurrent use.
type Ledger struct {
	entries          []entry
	free             []int32
	byID             map[ID]int32
	byGrant          map[Grant]int32
	expiry           *TimingWheel
	lastGrant        Grant
	capacity         int
	recordsLostUntil int64 // retries cannot be recognized until then
	// indexed by Caller
	callerNames  []string
	callerEpochs []uint64
	openByCaller []int
	quota        int
	callerIndex  map[string]Caller
	counts       Counts
}

// Counts are the counters of a Ledger.
type Counts struct {
	Grants         int64
	Rejected       [reasonCount]int64
	Replayed       int64
	UnknownReports int64 // reports of a grant that is already reported or unknown
	ForeignReports int64 // reports by another caller or an earlier start of it
	ExpiredGrants  int64 // grants that expired without a report
}

const (
	expiryTick  = int64(5_000_000)
	reportGrace = int64(50_000_000) // an RPC may still be reported this long after its deadline
)

// New returns a ledger for up to capacity RPCs, and up to quota per caller. Grants are numbered
// from now on, so that reports for grants from before a crash match no new grant.
func New(now int64, capacity, quota int) *Ledger {
	return &Ledger{byID: map[ID]int32{}, byGrant: map[Grant]int32{}, expiry: NewTimingWheel(now, expiryTick), capacity: capacity, quota: quota,
		callerIndex: map[string]Caller{}, lastGrant: Grant(now)}
}

// Join registers a caller. If the caller has restarted, its outstanding RPCs may have run. It
// returns false for an earlier start.
func (l *Ledger) Join(name string, epoch uint64) (caller Caller, joined bool) {
	caller, known := l.callerIndex[name]
	switch {
	case !known:
		caller = Caller(len(l.callerNames))
		l.callerIndex[name] = caller
		l.callerNames, l.callerEpochs, l.openByCaller = append(l.callerNames, name), append(l.callerEpochs, epoch), append(l.openByCaller, 0)
		return caller, true
	case epoch < l.callerEpochs[caller]:
		return caller, false
	case epoch > l.callerEpochs[caller]:
		l.callerEpochs[caller] = epoch
		for i := range l.entries {
			if e := &l.entries[i]; e.caller == caller && e.state == granted && e.id != "" {
				l.markUncertain(e)
			}
		}
	}
	return caller, true
}

// MarkRecordsLost records that retries cannot be recognized before a time, since records were
// lost.
func (l *Ledger) MarkRecordsLost(until int64) { l.recordsLostUntil = max(l.recordsLostUntil, until) }

// Decide decides on a request. A proposed grant takes effect with Granted, once its record is
// persisted.
func (l *Ledger) Decide(now int64, request Request) Decision {
	decision := l.decide(now, request)
	if decision.Action == ActionGrant {
		return decision
	}
	if decision.Action == ActionReplay {
		l.counts.Replayed++
	}
	l.counts.Rejected[decision.Reason]++
	return decision
}

func (l *Ledger) decide(now int64, request Request) Decision {
	if request.Caller < 0 || int(request.Caller) >= len(l.callerNames) {
		return Decision{Action: ActionReject, Reason: ReasonUnknownCaller}
	}
	slot, known := l.byID[request.ID]
	if !known {
		return l.decideNew(now, request)
	}
	e := &l.entries[slot]
	switch {
	case e.state == answered:
		return Decision{Action: ActionReplay, Outcome: e.outcome}
	case now >= e.deadline:
		return l.abortOrReject(e, ReasonDeadlineExceeded)
	case e.effect != request.Effect || e.window != request.Window: // changed by the caller; the stricter effect applies
		return l.abortOrReject(e, ReasonMayHaveRun)
	case e.effect == rules.Idempotent:
	case e.effect == rules.IdempotentByToken && e.mayHaveRun() && (e.mayHaveRunSince+e.window <= now || e.group != request.Group || e.multipleGroups):
		return l.abortOrReject(e, ReasonOutsideWindow)
	case e.effect == rules.NonIdempotent && e.state == granted:
		return l.abortOrReject(e, ReasonGrantOutstanding)
	case e.effect == rules.NonIdempotent && e.outcome == MayHaveRun:
		return l.abortOrReject(e, ReasonMayHaveRun)
	}
	return Decision{Action: ActionGrant, Grant: l.lastGrant + 1}
}

// mayHaveRun reports whether any grant of an RPC may have run, including an outstanding one.
func (e *entry) mayHaveRun() bool { return e.state == granted || e.outcome != NeverRan }

// abortOrReject aborts an RPC that may have run, and rejects one that has not.
func (l *Ledger) abortOrReject(e *entry, reason Reason) Decision {
	if e.mayHaveRun() {
		return Decision{Action: ActionAbort, Reason: reason}
	}
	return Decision{Action: ActionReject, Reason: reason}
}

// decideNew decides on an unknown RPC.
func (l *Ledger) decideNew(now int64, request Request) Decision {
	switch {
	case now >= request.Deadline:
		return Decision{Action: ActionReject, Reason: ReasonDeadlineExceeded}
	case now < l.recordsLostUntil && request.IsRetry && request.Effect != rules.Idempotent:
		return Decision{Action: ActionAbort, Reason: ReasonRecordsLost}
	case len(l.byID) >= l.capacity:
		return Decision{Action: ActionReject, Reason: ReasonFull}
	case l.openByCaller[request.Caller] >= l.quota:
		return Decision{Action: ActionReject, Reason: ReasonQuota}
	}
	return Decision{Action: ActionGrant, Grant: l.lastGrant + 1}
}

// Record persists the grant of a non-idempotent RPC, or the outcome of a grant.
type Record struct {
	Grant    Grant         `json:"grant"`
	ID       ID            `json:"id,omitempty"` // empty in the record of an outcome
	Caller   string        `json:"caller,omitempty"`
	Epoch    uint64        `json:"epoch,omitempty"`
	Effect   rules.Effect  `json:"effect,omitempty"`
	Group    rules.GroupID `json:"group,omitempty"`
	Window   int64         `json:"window,omitempty"`
	Deadline int64         `json:"deadline,omitempty"`
	At       int64         `json:"at"`
	Outcome  Outcome       `json:"fate,omitempty"`
}

// Record returns the record to persist before a grant is given. needed is false for an idempotent
// RPC.
func (l *Ledger) Record(now int64, request Request, grant Grant) (record Record, needed bool) {
	return Record{Grant: grant, ID: request.ID, Caller: l.callerNames[request.Caller], Epoch: l.callerEpochs[request.Caller], Effect: request.Effect, Group: request.Group,
		Window: request.Window, Deadline: request.Deadline, At: now}, request.Effect != rules.Idempotent
}

// Granted applies a grant that Decide has just proposed.
func (l *Ledger) Granted(now int64, request Request, grant Grant) {
	slot, known := l.byID[request.ID]
	if !known {
		slot = l.allocate()
		l.entries[slot] = entry{id: request.ID, caller: request.Caller, effect: request.Effect, group: request.Group, window: request.Window, deadline: request.Deadline}
		l.byID[request.ID] = slot
		l.openByCaller[request.Caller]++
		l.expiry.Set(slot, request.Deadline+reportGrace+max(0, request.Window))
	}
	e := &l.entries[slot]
	if e.state == granted && known { // an outstanding grant of an RPC that may be retried
		l.markUncertain(e)
	}
	if e.mayHaveRunSince == 0 {
		e.mayHaveRunSince, e.group = now, request.Group
	}
	e.multipleGroups = e.multipleGroups || e.group != request.Group
	if known && e.caller != request.Caller {
		l.openByCaller[e.caller]--
		l.openByCaller[request.Caller]++
		e.caller = request.Caller
	}
	l.lastGrant = max(l.lastGrant, grant)
	e.grant, e.state = grant, granted
	l.byGrant[grant] = slot
	l.counts.Grants++
}

// allocate returns a free slot.
func (l *Ledger) allocate() int32 {
	if n := len(l.free); n > 0 {
		slot := l.free[n-1]
		l.free = l.free[:n-1]
		return slot
	}
	l.entries = append(l.entries, entry{})
	return int32(len(l.entries) - 1)
}

// markUncertain records that the outstanding grant may have run and that reports of it are
// ignored.
func (l *Ledger) markUncertain(e *entry) {
	delete(l.byGrant, e.grant)
	e.state, e.outcome = uncertain, MayHaveRun
}

// Report applies the outcome of a grant. It returns false if the grant is not outstanding or
// belongs to another caller.
func (l *Ledger) Report(caller Caller, epoch uint64, grant Grant, outcome Outcome) bool {
	slot, outstanding := l.byGrant[grant]
	if !outstanding {
		l.counts.UnknownReports++
		return false
	}
	e := &l.entries[slot]
	if e.caller != caller || l.callerEpochs[caller] != epoch {
		l.counts.ForeignReports++
		return false
	}
	delete(l.byGrant, grant)
	switch outcome {
	case NeverRan:
		e.state = idle
		if e.outcome == NeverRan {
			e.mayHaveRunSince, e.multipleGroups = 0, false
		}
	case MayHaveRun:
		e.state, e.outcome = uncertain, MayHaveRun
	case Ran:
		e.state, e.outcome = answered, Ran
	}
	return true
}

// Answer records the final response to an RPC that was rejected or aborted.
func (l *Ledger) Answer(id ID) {
	if slot, known := l.byID[id]; known {
		if e := &l.entries[slot]; e.state != answered {
			if e.state == granted {
				l.markUncertain(e)
			}
			e.state = answered
		}
	}
}

// Advance removes the RPCs that have expired. Grants that were not reported by then count as
// uncertain.
func (l *Ledger) Advance(now int64) {
	for _, slot := range l.expiry.Advance(now) {
		e := &l.entries[slot]
		if e.state == granted {
			l.counts.ExpiredGrants++
			l.markUncertain(e)
		}
		l.openByCaller[e.caller]--
		delete(l.byID, e.id)
		*e = entry{}
		l.free = append(l.free, slot)
	}
}

// Recover applies the persisted records in order. RPCs without an outcome may have run.
func (l *Ledger) Recover(now int64, records []Record) {
	for _, r := range records {
		l.lastGrant = max(l.lastGrant, r.Grant)
		if r.ID == "" {
			if slot, outstanding := l.byGrant[r.Grant]; outstanding {
				e := &l.entries[slot]
				l.Report(e.caller, l.callerEpochs[e.caller], r.Grant, r.Outcome)
			}
			continue
		}
		if r.Deadline+reportGrace+max(0, r.Window) <= now {
			continue
		}
		c, _ := l.Join(r.Caller, r.Epoch)
		l.Granted(r.At, Request{ID: r.ID, Caller: c, Effect: r.Effect, Group: r.Group, Window: r.Window, Deadline: r.Deadline}, r.Grant)
	}
	for i := range l.entries {
		if e := &l.entries[i]; e.id != "" && e.state == granted {
			l.markUncertain(e)
		}
	}
	l.counts = Counts{}
}

// Open returns the number of known RPCs and of outstanding grants.
func (l *Ledger) Open() (known, outstanding int) { return len(l.byID), len(l.byGrant) }

// Counts returns the counters.
func (l *Ledger) Counts() Counts { return l.counts }
