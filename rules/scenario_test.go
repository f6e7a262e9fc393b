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

// TestScenarios plays testdata/*.txt on the module alone; testdata/README.md tells the notation.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			p := &player{t: t, now: int64(time.Hour), acts: map[int]string{}, rpcs: map[rules.RPCID]*seen{},
				sent: map[int]int{}, fleet: rules.Fleet{Drivers: 3}, allowed: rules.Policy{MaxAttempts: 6, Cancellation: true, Probing: true}}
			for i, line := range strings.Split(string(text), "\n") {
				p.at = fmt.Sprintf("%s:%d: %s", file, i+1, line)
				for _, step := range strings.Split(line, ";") {
					if words := strings.Fields(step); len(words) > 0 && !strings.HasPrefix(line, "#") {
						p.play(words)
					}
				}
			}
		})
	}
}

// seen is what became of one RPC.
type seen struct {
	to     []int
	next   []func(rules.Result)
	sentAt []int64
	within int64
	answer string
}

type timer struct {
	at int64
	do func()
}

// player is the host of one driver and plays the lines of one scenario.
type player struct {
	t         *testing.T
	at        string
	now       int64
	d         *rules.Driver
	timers    []timer
	acts      map[int]string // what a member does with probes
	rpcs      map[rules.RPCID]*seen
	sent      map[int]int
	probes    int
	watches   int
	closes    int
	forgot    int
	told      []rules.PeerReport
	tells     int
	methods   []rules.Method
	fleet     rules.Fleet
	store     rules.Store
	allowed   rules.Policy
	slowStart rules.SlowStart
	notice    rules.Discovery
}

func (p *player) Now() int64 { return p.now }

func (p *player) After(wait int64, do func()) {
	p.timers = append(p.timers, timer{p.now + max(wait, 0), do})
}

func (p *player) Attempt(id rules.RPCID, to rules.MemberID, within int64, next func(rules.Result)) int {
	r := p.rpcs[id]
	require.Empty(p.t, r.answer, "%s: attempt after the answer", p.at)
	r.to, r.next, r.within = append(r.to, int(to)), append(r.next, next), within
	r.sentAt = append(r.sentAt, p.now)
	p.sent[int(to)]++
	return len(r.to) - 1
}

func (p *player) Cancel(rules.RPCID, int)  {}
func (p *player) CloseIdle(rules.MemberID) { p.closes++ }
func (p *player) Forget(rules.MemberID)    { p.forgot++ }
func (p *player) Watch()                   { p.watches++ }
func (p *player) Log(string)               {}

func (p *player) SendReports(news []rules.PeerReport) {
	p.told = append(p.told, news...)
	p.tells++
}

func (p *player) RejectWithRetryAfter(id rules.RPCID, _ int64) { p.final(id, "pushed-back") }
func (p *player) Abort(id rules.RPCID)                         { p.final(id, "aborted") }

func (p *player) final(id rules.RPCID, answer string) {
	require.Empty(p.t, p.rpcs[id].answer, "%s: a second final answer", p.at)
	p.rpcs[id].answer = answer
}

func (p *player) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	p.probes++
	words := strings.Fields(p.acts[int(to)])
	r, takes := rules.ProbeResult{}, int64(time.Millisecond)
	switch words[0] {
	case "silent":
		takes, r.Cause = int64(250*time.Millisecond), rules.TimedOut
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
	p.After(takes, func() { next(r) })
}

// observation reads a role and how old the position is.
func (p *player) observation(words []string) rules.Observation {
	s := rules.Observation{Role: map[string]rules.Role{"primary": rules.RolePrimary, "replica": rules.RoleReplica}[words[0]]}
	require.NotZero(p.t, s.Role, p.at)
	if len(words) > 1 {
		s.Position = p.now - p.span(words[1])
	}
	if slices.Contains(words, "unbroken") {
		s.ConnectedAt = 1
	}
	return s
}

func (p *player) span(text string) int64 {
	span, err := time.ParseDuration(text)
	require.NoError(p.t, err, p.at)
	return int64(span)
}

func (p *player) number(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(p.t, err, p.at)
	return n
}

// wait lets time pass, running what falls due.
func (p *player) wait(span int64) {
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
		t.do()
	}
}

func (p *player) play(w []string) {
	switch w[0] {
	case "method":
		p.method(w[1:])
	case "allow":
		p.allow(w[1:])
	case "list":
		p.list(w[1:])
	case "member":
		p.acts[p.number(w[1])] = strings.Join(w[2:], " ")
	case "wait":
		p.wait(p.span(w[1]))
	case "rpc":
		p.rpc(w[1:])
	case "result":
		p.result(w[1:])
	case "flow":
		p.flow(w[1:])
	case "told":
		n := rules.PeerReport{Member: rules.MemberID(p.number(w[1])), Observation: p.observation(w[2:])}
		if _, took, slow := strings.Cut(w[len(w)-1], "took="); slow {
			n.Latency = p.span(took)
		}
		n.Failed = w[len(w)-1] == "failed"
		if ran, known := strings.CutPrefix(w[len(w)-1], "ran="); known {
			n.Uptime = p.span(ran)
		}
		p.d.ReceiveReports([]rules.PeerReport{n})
	case "unlisted":
		p.d.WatchFailed()
	default:
		p.expect(w)
	}
}

func (p *player) method(w []string) {
	m := rules.Method{Name: w[0], SoftDeadline: int64(500 * time.Millisecond), Utility: 1}
	for _, word := range w[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "any":
		case "bounded":
			m.Consistency, m.MaxStaleness = rules.ConsistencyBounded, p.span(value)
		case "session":
			m.Consistency = rules.ConsistencySession
		case "fresh":
			m.Consistency = rules.ConsistencyLinearizable
		case "write":
			m.Consistency = rules.ConsistencyWrite
		case "once":
			m.Effect = rules.NonIdempotent
		case "tokened":
			m.Effect, m.DedupWindow = rules.IdempotentByToken, p.span(value)
		case "deadline":
			m.Deadline = p.span(value)
		case "late":
			m.LateUtility = 0.5
		case "utility":
			m.Utility = float64(p.number(value))
		default:
			require.Fail(p.t, p.at)
		}
	}
	p.methods = append(p.methods, m)
}

func (p *player) allow(w []string) {
	for _, word := range w {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "copies":
			p.allowed.Hedging = true
		case "guarded":
			p.store.RejectsStaleReads = true
		case "send-delay":
			p.store.MaxSendDelay = p.span(value)
		case "asked":
			p.notice.OnRequest = true
		case "drain-only":
			p.notice.OnlyDrainBinds = true
		case "news":
			p.fleet.ReportsPerMessage = p.number(value)
		case "crew":
			p.fleet.Drivers = p.number(value)
		case "cold":
			p.slowStart = rules.SlowStart{InitialShare: 0.2, WarmUpTime: p.span(value), OverloadFactor: 2}
		default:
			require.Fail(p.t, p.at)
		}
	}
}

func (p *player) list(w []string) {
	var lines []rules.MemberEntry
	for _, word := range w[1:] {
		parts := strings.Split(word, ":")
		l := rules.MemberEntry{Member: rules.MemberID(p.number(parts[0])), Group: 1}
		for _, part := range parts[1:] {
			switch part {
			case "draining":
				l.State = rules.Draining
			case "gone":
				l.State = rules.Deregistered
			case "primary":
				l.Primary = true
			case "cold":
				l.Started = p.now
			default:
				size, sized := strings.CutPrefix(part, "size=")
				require.True(p.t, sized, p.at)
				l.Weight = float64(p.number(size))
			}
		}
		lines = append(lines, l)
	}
	if p.d == nil {
		p.d = rules.New(p, 1, p.methods, p.fleet, p.store, p.allowed, p.slowStart, p.notice)
	}
	p.d.UpdateMembers(lines, w[0] == "whole")
}

// rpc takes one RPC, or a run of them: "rpc 1-20 read".
func (p *player) rpc(w []string) {
	first, last, run := strings.Cut(w[0], "-")
	if !run {
		last = first
	}
	r := rules.RPC{Group: 1, TimeLeft: int64(2 * time.Second)}
	r.Method = rules.MethodID(slices.IndexFunc(p.methods, func(m rules.Method) bool { return m.Name == w[1] }))
	for _, word := range w[2:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "left":
			r.TimeLeft = p.span(value)
		case "waited":
			r.Waited = p.span(value)
		case "session":
			r.Session = value
		case "repeat":
			r.IsRetry = true
		default:
			require.Fail(p.t, p.at)
		}
	}
	for id := p.number(first); id <= p.number(last); id++ {
		r.ID = rules.RPCID(id)
		p.rpcs[r.ID] = &seen{}
		p.d.Submit(r)
	}
}

// flow takes RPCs one after another, "flow 1-99 read 10ms"; what goes out is ok before the next comes.
func (p *player) flow(w []string) {
	first, last, _ := strings.Cut(w[0], "-")
	for id := p.number(first); id <= p.number(last); id++ {
		p.rpc([]string{strconv.Itoa(id), w[1]})
		p.wait(p.span(w[2]))
		for _, r := range p.rpcs {
			if n := len(r.next) - 1; n >= 0 && r.next[n] != nil && p.now-r.sentAt[n] < int64(100*time.Millisecond) {
				next := r.next[n]
				r.next[n], r.answer = nil, "ok"
				next(rules.Result{Outcome: rules.OK, Final: true, Latency: p.now - r.sentAt[n]})
			}
		}
	}
}

// result ends the last attempt of an RPC that is still out.
func (p *player) result(w []string) {
	rpc := p.rpcs[rules.RPCID(p.number(w[0]))]
	n := len(rpc.next) - 1
	for n >= 0 && rpc.next[n] == nil {
		n--
	}
	require.GreaterOrEqual(p.t, n, 0, "%s: nothing is out", p.at)
	ends := map[string]rules.Result{
		"ok":            {Outcome: rules.OK, Final: true},
		"miss":          {Outcome: rules.NotExecuted, Cause: rules.Ineligible},
		"error":         {Outcome: rules.MayHaveExecuted, Cause: rules.ServerError},
		"full":          {Outcome: rules.NotExecuted, Cause: rules.Overloaded},
		"timeout":       {Outcome: rules.MayHaveExecuted, Cause: rules.TimedOut},
		"no-connection": {Outcome: rules.NotExecuted, Cause: rules.ConnectFailed},
		"reset":         {Outcome: rules.MayHaveExecuted, Cause: rules.Reset},
		"withheld":      {Outcome: rules.NotExecuted, Cause: rules.NotSent},
		"begun":         {Outcome: rules.Started},
	}
	r, known := ends[w[1]]
	require.True(p.t, known, p.at)
	r.Latency = p.now - rpc.sentAt[n]
	if len(w) > 2 {
		r.Observation = p.observation(w[2:])
	}
	next := rpc.next[n]
	if r.Outcome != rules.Started {
		rpc.next[n] = nil
	}
	if r.Outcome == rules.OK && rpc.answer == "" {
		rpc.answer = "ok"
	}
	next(r)
}

func (p *player) expect(w []string) {
	switch w[0] {
	case "out": // the RPC's attempts so far went to these members; | parts those allowed
		rpc := p.rpcs[rules.RPCID(p.number(w[1]))]
		require.Len(p.t, rpc.to, len(w)-2, p.at)
		for i, allowed := range w[2:] {
			require.Contains(p.t, strings.Split(allowed, "|"), strconv.Itoa(rpc.to[i]), p.at)
		}
	case "answer":
		got := p.rpcs[rules.RPCID(p.number(w[1]))].answer
		require.Equal(p.t, strings.TrimPrefix(w[2], "none"), got, p.at)
	case "sent": // so many attempts went to a member so far: "sent 3 0..2"
		low, high, _ := strings.Cut(w[2], "..")
		require.GreaterOrEqual(p.t, p.sent[p.number(w[1])], p.number(low), p.at)
		require.LessOrEqual(p.t, p.sent[p.number(w[1])], p.number(high), p.at)
	case "watches", "probes", "closes", "forgets", "messages": // so many so far
		counts := map[string]int{"watches": p.watches, "probes": p.probes, "closes": p.closes, "forgets": p.forgot,
			"messages": p.tells}
		require.Equal(p.t, p.number(w[1]), counts[w[0]], p.at)
	case "may": // an attempt may begin, or a probe where no RPC is named: "may 3 2 no", "may probe 2 yes"
		may, to := false, rules.MemberID(p.number(w[2]))
		if w[1] == "probe" {
			may = p.d.ProbeAllowed(to)
		} else {
			may = p.d.AttemptAllowed(rules.RPCID(p.number(w[1])), to)
		}
		require.Equal(p.t, w[3] == "yes", may, p.at)
	case "too-old": // whether what an answer to an RPC's last attempt states shows that it is: "too-old 1 replica 2s yes"
		id := rules.RPCID(p.number(w[1]))
		sent := p.rpcs[id].sentAt
		require.Equal(p.t, w[4] == "yes", p.d.IsStale(id, p.observation(w[2:4]), sent[len(sent)-1]), p.at)
	case "denied": // a member says outside a whole answer that it is no primary
		p.d.NotPrimary(rules.MemberID(p.number(w[1])))
	case "leaves":
		p.d.ClientLeft(rules.RPCID(p.number(w[1])))
	case "tells":
		require.True(p.t, slices.ContainsFunc(p.told, func(n rules.PeerReport) bool { return int(n.Member) == p.number(w[1]) && n.Failed == (len(w) > 2) }), p.at)
	default:
		require.Fail(p.t, p.at)
	}
}
