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
			runner := &scenarioRunner{t: t, now: int64(time.Hour), probeBehavior: map[int]string{}, rpcs: map[rules.RPCID]*rpcState{},
				attemptCounts: map[int]int{}, fleet: rules.Fleet{Drivers: 3}, policy: rules.Policy{MaxAttempts: 6, Cancellation: true, Probing: true}}
			for i, line := range strings.Split(string(text), "\n") {
				runner.location = fmt.Sprintf("%s:%d: %s", file, i+1, line)
				for _, step := range strings.Split(line, ";") {
					if words := strings.Fields(step); len(words) > 0 && !strings.HasPrefix(line, "#") {
						runner.runStep(words)
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

func (s *scenarioRunner) Now() int64 { return s.now }

func (s *scenarioRunner) After(wait int64, callback func()) {
	s.timers = append(s.timers, timer{s.now + max(wait, 0), callback})
}

func (s *scenarioRunner) Attempt(id rules.RPCID, to rules.MemberID, within int64, next func(rules.Result)) int {
	r := s.rpcs[id]
	require.Empty(s.t, r.answer, "%s: attempt after the answer", s.location)
	r.targets, r.callbacks, r.timeout = append(r.targets, int(to)), append(r.callbacks, next), within
	r.sentAt = append(r.sentAt, s.now)
	s.attemptCounts[int(to)]++
	return len(r.targets) - 1
}

func (s *scenarioRunner) Cancel(rules.RPCID, int)  {}
func (s *scenarioRunner) CloseIdle(rules.MemberID) { s.idleCloses++ }
func (s *scenarioRunner) Forget(rules.MemberID)    { s.forgotten++ }
func (s *scenarioRunner) Watch()                   { s.watches++ }
func (s *scenarioRunner) Log(string)               {}

func (s *scenarioRunner) SendReports(reports []rules.PeerReport) {
	s.reports = append(s.reports, reports...)
	s.messages++
}

func (s *scenarioRunner) RejectWithRetryAfter(id rules.RPCID, _ int64) {
	s.recordAnswer(id, "rejected")
}
func (s *scenarioRunner) Abort(id rules.RPCID) { s.recordAnswer(id, "aborted") }

func (s *scenarioRunner) recordAnswer(id rules.RPCID, answer string) {
	require.Empty(s.t, s.rpcs[id].answer, "%s: a second final answer", s.location)
	s.rpcs[id].answer = answer
}

func (s *scenarioRunner) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	s.probes++
	words := strings.Fields(s.probeBehavior[int(to)])
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
		r.Report = s.observation(words)
		r.ConnectedAt = r.Report.ConnectedAt
	}
	s.After(latency, func() { next(r) })
}

// observation parses a role and the age of a position.
func (s *scenarioRunner) observation(words []string) rules.Observation {
	observed := rules.Observation{Role: map[string]rules.Role{"primary": rules.RolePrimary, "replica": rules.RoleReplica}[words[0]]}
	require.NotZero(s.t, observed.Role, s.location)
	if len(words) > 1 {
		observed.Position = s.now - s.duration(words[1])
	}
	if slices.Contains(words, "unbroken") {
		observed.ConnectedAt = 1
	}
	return observed
}

func (s *scenarioRunner) duration(text string) int64 {
	span, err := time.ParseDuration(text)
	require.NoError(s.t, err, s.location)
	return int64(span)
}

func (s *scenarioRunner) number(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(s.t, err, s.location)
	return n
}

// advance moves the clock forward and runs the timers that expire.
func (s *scenarioRunner) advance(span int64) {
	for end := s.now + span; ; {
		due := -1
		for i, t := range s.timers {
			if t.at <= end && (due < 0 || t.at < s.timers[due].at) {
				due = i
			}
		}
		if due < 0 {
			s.now = end
			return
		}
		t := s.timers[due]
		s.timers = slices.Delete(s.timers, due, due+1)
		s.now = max(s.now, t.at)
		t.callback()
	}
}

func (s *scenarioRunner) runStep(words []string) {
	switch words[0] {
	case "method":
		s.method(words[1:])
	case "allow":
		s.allow(words[1:])
	case "list":
		s.list(words[1:])
	case "member":
		s.probeBehavior[s.number(words[1])] = strings.Join(words[2:], " ")
	case "wait":
		s.advance(s.duration(words[1]))
	case "rpc":
		s.rpc(words[1:])
	case "result":
		s.result(words[1:])
	case "flow":
		s.flow(words[1:])
	case "report":
		report := rules.PeerReport{Member: rules.MemberID(s.number(words[1])), Observation: s.observation(words[2:])}
		if _, latency, hasLatency := strings.Cut(words[len(words)-1], "latency="); hasLatency {
			report.Latency = s.duration(latency)
		}
		report.Failed = words[len(words)-1] == "failed"
		if uptime, hasUptime := strings.CutPrefix(words[len(words)-1], "uptime="); hasUptime {
			report.Uptime = s.duration(uptime)
		}
		s.driver.ReceiveReports([]rules.PeerReport{report})
	case "watch-failed":
		s.driver.WatchFailed()
	default:
		s.expect(words)
	}
}

func (s *scenarioRunner) method(words []string) {
	m := rules.Method{Name: words[0], SoftDeadline: int64(500 * time.Millisecond), Utility: 1}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "any":
		case "max-staleness":
			m.Consistency, m.MaxStaleness = rules.ConsistencyBounded, s.duration(value)
		case "session":
			m.Consistency = rules.ConsistencySession
		case "linearizable":
			m.Consistency = rules.ConsistencyLinearizable
		case "write":
			m.Consistency = rules.ConsistencyWrite
		case "non-idempotent":
			m.Effect = rules.NonIdempotent
		case "idempotent-by-token":
			m.Effect, m.DedupWindow = rules.IdempotentByToken, s.duration(value)
		case "deadline":
			m.Deadline = s.duration(value)
		case "late":
			m.LateUtility = 0.5
		case "utility":
			m.Utility = float64(s.number(value))
		default:
			require.Fail(s.t, s.location)
		}
	}
	s.methods = append(s.methods, m)
}

func (s *scenarioRunner) allow(words []string) {
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "hedging":
			s.policy.Hedging = true
		case "rejects-stale-reads":
			s.store.RejectsStaleReads = true
		case "send-delay":
			s.store.MaxSendDelay = s.duration(value)
		case "on-request":
			s.discovery.OnRequest = true
		case "only-drain-binds":
			s.discovery.OnlyDrainBinds = true
		case "reports":
			s.fleet.ReportsPerMessage = s.number(value)
		case "drivers":
			s.fleet.Drivers = s.number(value)
		case "warm-up":
			s.slowStart = rules.SlowStart{InitialShare: 0.2, WarmUpTime: s.duration(value), OverloadFactor: 2}
		default:
			require.Fail(s.t, s.location)
		}
	}
}

func (s *scenarioRunner) list(words []string) {
	var entries []rules.MemberEntry
	for _, word := range words[1:] {
		parts := strings.Split(word, ":")
		entry := rules.MemberEntry{Member: rules.MemberID(s.number(parts[0])), Group: 1}
		for _, part := range parts[1:] {
			switch part {
			case "draining":
				entry.State = rules.Draining
			case "deregistered":
				entry.State = rules.Deregistered
			case "primary":
				entry.Primary = true
			case "cold":
				entry.Started = s.now
			default:
				weight, hasWeight := strings.CutPrefix(part, "weight=")
				require.True(s.t, hasWeight, s.location)
				entry.Weight = float64(s.number(weight))
			}
		}
		entries = append(entries, entry)
	}
	if s.driver == nil {
		s.driver = rules.New(s, 1, s.methods, s.fleet, s.store, s.policy, s.slowStart, s.discovery)
	}
	s.driver.UpdateMembers(entries, words[0] == "complete")
}

// rpc submits one RPC, or a range of them: "rpc 1-20 read".
func (s *scenarioRunner) rpc(words []string) {
	first, last, isRange := strings.Cut(words[0], "-")
	if !isRange {
		last = first
	}
	r := rules.RPC{Group: 1, TimeLeft: int64(2 * time.Second)}
	r.Method = rules.MethodID(slices.IndexFunc(s.methods, func(m rules.Method) bool { return m.Name == words[1] }))
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "left":
			r.TimeLeft = s.duration(value)
		case "waited":
			r.Waited = s.duration(value)
		case "session":
			r.Session = value
		case "retry":
			r.IsRetry = true
		default:
			require.Fail(s.t, s.location)
		}
	}
	for id := s.number(first); id <= s.number(last); id++ {
		r.ID = rules.RPCID(id)
		s.rpcs[r.ID] = &rpcState{}
		s.driver.Submit(r)
	}
}

// flow submits RPCs one by one, "flow 1-99 read 10ms"; attempts succeed before the next RPC.
func (s *scenarioRunner) flow(words []string) {
	first, last, _ := strings.Cut(words[0], "-")
	for id := s.number(first); id <= s.number(last); id++ {
		s.rpc([]string{strconv.Itoa(id), words[1]})
		s.advance(s.duration(words[2]))
		for _, r := range s.rpcs {
			if n := len(r.callbacks) - 1; n >= 0 && r.callbacks[n] != nil && s.now-r.sentAt[n] < int64(100*time.Millisecond) {
				next := r.callbacks[n]
				r.callbacks[n], r.answer = nil, "ok"
				next(rules.Result{Outcome: rules.OK, Final: true, Latency: s.now - r.sentAt[n]})
			}
		}
	}
}

// result ends the last attempt of an RPC that is in flight.
func (s *scenarioRunner) result(words []string) {
	rpc := s.rpcs[rules.RPCID(s.number(words[0]))]
	n := len(rpc.callbacks) - 1
	for n >= 0 && rpc.callbacks[n] == nil {
		n--
	}
	require.GreaterOrEqual(s.t, n, 0, "%s: no attempt in flight", s.location)
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
	r, known := results[words[1]]
	require.True(s.t, known, s.location)
	r.Latency = s.now - rpc.sentAt[n]
	if len(words) > 2 {
		r.Observation = s.observation(words[2:])
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

func (s *scenarioRunner) expect(words []string) {
	switch words[0] {
	case "attempts": // members that the attempts of an RPC went to; | separates alternatives
		rpc := s.rpcs[rules.RPCID(s.number(words[1]))]
		require.Len(s.t, rpc.targets, len(words)-2, s.location)
		for i, allowed := range words[2:] {
			require.Contains(s.t, strings.Split(allowed, "|"), strconv.Itoa(rpc.targets[i]), s.location)
		}
	case "answer":
		got := s.rpcs[rules.RPCID(s.number(words[1]))].answer
		require.Equal(s.t, strings.TrimPrefix(words[2], "none"), got, s.location)
	case "sent": // number of attempts sent to a member: "sent 3 0..2"
		low, high, _ := strings.Cut(words[2], "..")
		require.GreaterOrEqual(s.t, s.attemptCounts[s.number(words[1])], s.number(low), s.location)
		require.LessOrEqual(s.t, s.attemptCounts[s.number(words[1])], s.number(high), s.location)
	case "watches", "probes", "idle-closes", "forgotten", "messages": // number so far
		counts := map[string]int{"watches": s.watches, "probes": s.probes, "idle-closes": s.idleCloses, "forgotten": s.forgotten,
			"messages": s.messages}
		require.Equal(s.t, s.number(words[1]), counts[words[0]], s.location)
	case "may": // whether an attempt or a probe may begin: "may 3 2 no", "may probe 2 yes"
		may, to := false, rules.MemberID(s.number(words[2]))
		if words[1] == "probe" {
			may = s.driver.ProbeAllowed(to)
		} else {
			may = s.driver.AttemptAllowed(rules.RPCID(s.number(words[1])), to)
		}
		require.Equal(s.t, words[3] == "yes", may, s.location)
	case "stale": // whether a stated observation proves an RPC's last attempt stale: "stale 1 replica 2s yes"
		id := rules.RPCID(s.number(words[1]))
		sent := s.rpcs[id].sentAt
		require.Equal(s.t, words[4] == "yes", s.driver.IsStale(id, s.observation(words[2:4]), sent[len(sent)-1]), s.location)
	case "not-primary": // a member denies being primary outside a complete answer
		s.driver.NotPrimary(rules.MemberID(s.number(words[1])))
	case "client-left":
		s.driver.ClientLeft(rules.RPCID(s.number(words[1])))
	case "reported":
		require.True(s.t, slices.ContainsFunc(s.reports, func(n rules.PeerReport) bool {
			return int(n.Member) == s.number(words[1]) && n.Failed == (len(words) > 2)
		}), s.location)
	default:
		require.Fail(s.t, s.location)
	}
}
