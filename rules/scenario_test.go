package rules_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/rules"
)

// TestScenarios runs the scenarios in testdata, whose notation testdata/README.md describes.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			p := &scenarioRunner{t: t, now: int64(time.Hour), probeBehavior: map[int]string{}, rpcs: map[rules.RPCID]*rpcState{},
				attemptCounts: map[int]int{}, fleet: rules.Fleet{Drivers: 3}, policy: rules.Policy{MaxAttempts: 6, Cancellation: true, Probing: true}}
			for i, line := range strings.Split(string(text), "\n") {
				p.location = fmt.Sprintf("%s:%d: %s", file, i+1, line)
				for _, step := range strings.Split(line, ";") {
					if words := strings.Fields(step); len(words) > 0 && !strings.HasPrefix(line, "#") {
						p.runStep(words)
					}
				}
			}
		})
	}
}

// rpcState is the progress of one RPC.
type rpcState struct {
	targets   []int
	callbacks []func(rules.Result)
	sentAt    []int64
	timeout   int64
	answer    string
}

type timer struct {
	at       int64
	callback func()
}

// scenarioRunner is the host of one driver and runs the steps of a scenario.
type scenarioRunner struct {
	t             *testing.T
	location      string
	now           int64
	driver        *rules.Driver
	timers        []timer
	probeBehavior map[int]string // how members answer probes
	rpcs          map[rules.RPCID]*rpcState
	attemptCounts map[int]int
	probes        int
	watches       int
	idleCloses    int
	forgotten     int
	reports       []rules.PeerReport
	messages      int
	methods       []rules.Method
	fleet         rules.Fleet
	store         rules.Store
	policy        rules.Policy
	slowStart     rules.SlowStart
	discovery     rules.Discovery
}

func (p *scenarioRunner) Now() int64 { return p.now }

func (p *scenarioRunner) After(wait int64, callback func()) {
	p.timers = append(p.timers, timer{p.now + max(wait, 0), callback})
}

func (p *scenarioRunner) Attempt(id rules.RPCID, to rules.MemberID, within int64, next func(rules.Result)) int {
	r := p.rpcs[id]
	require.Empty(p.t, r.answer, "%s: attempt after the answer", p.location)
	r.targets, r.callbacks, r.timeout = append(r.targets, int(to)), append(r.callbacks, next), within
	r.sentAt = append(r.sentAt, p.now)
	p.attemptCounts[int(to)]++
	return len(r.targets) - 1
}

func (p *scenarioRunner) Cancel(rules.RPCID, int)  {}
func (p *scenarioRunner) CloseIdle(rules.MemberID) { p.idleCloses++ }
func (p *scenarioRunner) Forget(rules.MemberID)    { p.forgotten++ }
func (p *scenarioRunner) Watch()                   { p.watches++ }
func (p *scenarioRunner) Log(string)               {}

func (p *scenarioRunner) SendReports(reports []rules.PeerReport) {
	p.reports = append(p.reports, reports...)
	p.messages++
}

func (p *scenarioRunner) RejectWithRetryAfter(id rules.RPCID, _ int64) {
	p.recordAnswer(id, "rejected")
}
func (p *scenarioRunner) Abort(id rules.RPCID) { p.recordAnswer(id, "aborted") }

func (p *scenarioRunner) recordAnswer(id rules.RPCID, answer string) {
	require.Empty(p.t, p.rpcs[id].answer, "%s: a second final answer", p.location)
	p.rpcs[id].answer = answer
}

func (p *scenarioRunner) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	p.probes++
	words := strings.Fields(p.probeBehavior[int(to)])
	r, latency := rules.ProbeResult{}, int64(time.Millisecond)
	switch words[0] {
	case "silent":
		latency, r.Cause = int64(250*time.Millisecond), rules.TimedOut
	case "busy":
		r.Cause = rules.Overloaded
	case "faulty":
		r.Cause = rules.ServerError
	case "down":
		r.Cause = rules.ConnectFailed
	default:
		r.Report = p.observation(words)
		r.ConnectedAt = r.Report.ConnectedAt
	}
	p.After(latency, func() { next(r) })
}

// observation parses a role and the age of a position.
func (p *scenarioRunner) observation(words []string) rules.Observation {
	s := rules.Observation{Role: map[string]rules.Role{"primary": rules.RolePrimary, "replica": rules.RoleReplica}[words[0]]}
	require.NotZero(p.t, s.Role, p.location)
	if len(words) > 1 {
		s.Position = p.now - p.duration(words[1])
	}
	if slices.Contains(words, "unbroken") {
		s.ConnectedAt = 1
	}
	return s
}

func (p *scenarioRunner) duration(text string) int64 {
	span, err := time.ParseDuration(text)
	require.NoError(p.t, err, p.location)
	return int64(span)
}

func (p *scenarioRunner) number(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(p.t, err, p.location)
	return n
}

// advance moves the clock forward and runs the timers that expire.
func (p *scenarioRunner) advance(span int64) {
	for end := p.now + span; ; {
		due := -1
		for i, t := range p.timers {
			if t.at <= end && (due < 0 || t.at < p.timers[due].at) {
				due = i
			}
		}
		if due < 0 {
			p.now = end
			return
		}
		t := p.timers[due]
		p.timers = slices.Delete(p.timers, due, due+1)
		p.now = max(p.now, t.at)
		t.callback()
	}
}

func (p *scenarioRunner) runStep(w []string) {
	switch w[0] {
	case "method":
		p.method(w[1:])
	case "allow":
		p.allow(w[1:])
	case "list":
		p.list(w[1:])
	case "member":
		p.probeBehavior[p.number(w[1])] = strings.Join(w[2:], " ")
	case "wait":
		p.advance(p.duration(w[1]))
	case "rpc":
		p.rpc(w[1:])
	case "result":
		p.result(w[1:])
	case "flow":
		p.flow(w[1:])
	case "report":
		report := rules.PeerReport{Member: rules.MemberID(p.number(w[1])), Observation: p.observation(w[2:])}
		if _, latency, hasLatency := strings.Cut(w[len(w)-1], "latency="); hasLatency {
			report.Latency = p.duration(latency)
		}
		report.Failed = w[len(w)-1] == "failed"
		if uptime, hasUptime := strings.CutPrefix(w[len(w)-1], "uptime="); hasUptime {
			report.Uptime = p.duration(uptime)
		}
		p.driver.ReceiveReports([]rules.PeerReport{report})
	case "watch-failed":
		p.driver.WatchFailed()
	default:
		p.expect(w)
	}
}

func (p *scenarioRunner) method(w []string) {
	m := rules.Method{Name: w[0], SoftDeadline: int64(500 * time.Millisecond), Utility: 1}
	for _, word := range w[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "any":
		case "max-staleness":
			m.Consistency, m.MaxStaleness = rules.ConsistencyBounded, p.duration(value)
		case "session":
			m.Consistency = rules.ConsistencySession
		case "linearizable":
			m.Consistency = rules.ConsistencyLinearizable
		case "write":
			m.Consistency = rules.ConsistencyWrite
		case "non-idempotent":
			m.Effect = rules.NonIdempotent
		case "idempotent-by-token":
			m.Effect, m.DedupWindow = rules.IdempotentByToken, p.duration(value)
		case "deadline":
			m.Deadline = p.duration(value)
		case "late":
			m.LateUtility = 0.5
		case "utility":
			m.Utility = float64(p.number(value))
		default:
			require.Fail(p.t, p.location)
		}
	}
	p.methods = append(p.methods, m)
}

func (p *scenarioRunner) allow(w []string) {
	for _, word := range w {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "hedging":
			p.policy.Hedging = true
		case "rejects-stale-reads":
			p.store.RejectsStaleReads = true
		case "send-delay":
			p.store.MaxSendDelay = p.duration(value)
		case "on-request":
			p.discovery.OnRequest = true
		case "only-drain-binds":
			p.discovery.OnlyDrainBinds = true
		case "reports":
			p.fleet.ReportsPerMessage = p.number(value)
		case "drivers":
			p.fleet.Drivers = p.number(value)
		case "warm-up":
			p.slowStart = rules.SlowStart{InitialShare: 0.2, WarmUpTime: p.duration(value), OverloadFactor: 2}
		default:
			require.Fail(p.t, p.location)
		}
	}
}

func (p *scenarioRunner) list(w []string) {
	var entries []rules.MemberEntry
	for _, word := range w[1:] {
		parts := strings.Split(word, ":")
		entry := rules.MemberEntry{Member: rules.MemberID(p.number(parts[0])), Group: 1}
		for _, part := range parts[1:] {
			switch part {
			case "draining":
				entry.State = rules.Draining
			case "deregistered":
				entry.State = rules.Deregistered
			case "primary":
				entry.Primary = true
			case "cold":
				entry.Started = p.now
			default:
				weight, hasWeight := strings.CutPrefix(part, "weight=")
				require.True(p.t, hasWeight, p.location)
				entry.Weight = float64(p.number(weight))
			}
		}
		entries = append(entries, entry)
	}
	if p.driver == nil {
		p.driver = rules.New(p, 1, p.methods, p.fleet, p.store, p.policy, p.slowStart, p.discovery)
	}
	p.driver.UpdateMembers(entries, w[0] == "complete")
}

// rpc submits one RPC, or a range of them: "rpc 1-20 read".
func (p *scenarioRunner) rpc(w []string) {
	first, last, isRange := strings.Cut(w[0], "-")
	if !isRange {
		last = first
	}
	r := rules.RPC{Group: 1, TimeLeft: int64(2 * time.Second)}
	r.Method = rules.MethodID(slices.IndexFunc(p.methods, func(m rules.Method) bool { return m.Name == w[1] }))
	for _, word := range w[2:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "left":
			r.TimeLeft = p.duration(value)
		case "waited":
			r.Waited = p.duration(value)
		case "session":
			r.Session = value
		case "retry":
			r.IsRetry = true
		default:
			require.Fail(p.t, p.location)
		}
	}
	for id := p.number(first); id <= p.number(last); id++ {
		r.ID = rules.RPCID(id)
		p.rpcs[r.ID] = &rpcState{}
		p.driver.Submit(r)
	}
}

// flow submits RPCs one by one, "flow 1-99 read 10ms"; attempts succeed before the next RPC.
func (p *scenarioRunner) flow(w []string) {
	first, last, _ := strings.Cut(w[0], "-")
	for id := p.number(first); id <= p.number(last); id++ {
		p.rpc([]string{strconv.Itoa(id), w[1]})
		p.advance(p.duration(w[2]))
		for _, r := range p.rpcs {
			if n := len(r.callbacks) - 1; n >= 0 && r.callbacks[n] != nil && p.now-r.sentAt[n] < int64(100*time.Millisecond) {
				next := r.callbacks[n]
				r.callbacks[n], r.answer = nil, "ok"
				next(rules.Result{Outcome: rules.OK, Final: true, Latency: p.now - r.sentAt[n]})
			}
		}
	}
}

// result ends the last attempt of an RPC that is in flight.
func (p *scenarioRunner) result(w []string) {
	rpc := p.rpcs[rules.RPCID(p.number(w[0]))]
	n := len(rpc.callbacks) - 1
	for n >= 0 && rpc.callbacks[n] == nil {
		n--
	}
	require.GreaterOrEqual(p.t, n, 0, "%s: no attempt in flight", p.location)
	results := map[string]rules.Result{
		"ok":             {Outcome: rules.OK, Final: true},
		"ineligible":     {Outcome: rules.NotExecuted, Cause: rules.Ineligible},
		"server-error":   {Outcome: rules.MayHaveExecuted, Cause: rules.ServerError},
		"overloaded":     {Outcome: rules.NotExecuted, Cause: rules.Overloaded},
		"timeout":        {Outcome: rules.MayHaveExecuted, Cause: rules.TimedOut},
		"connect-failed": {Outcome: rules.NotExecuted, Cause: rules.ConnectFailed},
		"reset":          {Outcome: rules.MayHaveExecuted, Cause: rules.Reset},
		"not-sent":       {Outcome: rules.NotExecuted, Cause: rules.NotSent},
		"started":        {Outcome: rules.Started},
	}
	r, known := results[w[1]]
	require.True(p.t, known, p.location)
	r.Latency = p.now - rpc.sentAt[n]
	if len(w) > 2 {
		r.Observation = p.observation(w[2:])
	}
	next := rpc.callbacks[n]
	if r.Outcome != rules.Started {
		rpc.callbacks[n] = nil
	}
	if r.Outcome == rules.OK && rpc.answer == "" {
		rpc.answer = "ok"
	}
	next(r)
}

func (p *scenarioRunner) expect(w []string) {
	switch w[0] {
	case "attempts": // members that the attempts of an RPC went to; | separates alternatives
		rpc := p.rpcs[rules.RPCID(p.number(w[1]))]
		require.Len(p.t, rpc.targets, len(w)-2, p.location)
		for i, allowed := range w[2:] {
			require.Contains(p.t, strings.Split(allowed, "|"), strconv.Itoa(rpc.targets[i]), p.location)
		}
	case "answer":
		got := p.rpcs[rules.RPCID(p.number(w[1]))].answer
		require.Equal(p.t, strings.TrimPrefix(w[2], "none"), got, p.location)
	case "sent": // number of attempts sent to a member: "sent 3 0..2"
		low, high, _ := strings.Cut(w[2], "..")
		require.GreaterOrEqual(p.t, p.attemptCounts[p.number(w[1])], p.number(low), p.location)
		require.LessOrEqual(p.t, p.attemptCounts[p.number(w[1])], p.number(high), p.location)
	case "watches", "probes", "idle-closes", "forgotten", "messages": // number so far
		counts := map[string]int{"watches": p.watches, "probes": p.probes, "idle-closes": p.idleCloses, "forgotten": p.forgotten,
			"messages": p.messages}
		require.Equal(p.t, p.number(w[1]), counts[w[0]], p.location)
	case "may": // whether an attempt or a probe may begin: "may 3 2 no", "may probe 2 yes"
		may, to := false, rules.MemberID(p.number(w[2]))
		if w[1] == "probe" {
			may = p.driver.ProbeAllowed(to)
		} else {
			may = p.driver.AttemptAllowed(rules.RPCID(p.number(w[1])), to)
		}
		require.Equal(p.t, w[3] == "yes", may, p.location)
	case "stale": // whether a stated observation proves an RPC's last attempt stale: "stale 1 replica 2s yes"
		id := rules.RPCID(p.number(w[1]))
		sent := p.rpcs[id].sentAt
		require.Equal(p.t, w[4] == "yes", p.driver.IsStale(id, p.observation(w[2:4]), sent[len(sent)-1]), p.location)
	case "not-primary": // a member denies being primary outside a complete answer
		p.driver.NotPrimary(rules.MemberID(p.number(w[1])))
	case "client-left":
		p.driver.ClientLeft(rules.RPCID(p.number(w[1])))
	case "reported":
		require.True(p.t, slices.ContainsFunc(p.reports, func(n rules.PeerReport) bool { return int(n.Member) == p.number(w[1]) && n.Failed == (len(w) > 2) }), p.location)
	default:
		require.Fail(p.t, p.location)
	}
}
