package routing

import (
	"sedgespread/internal/briefing"
	"sedgespread/rules"
)

// host is the Router as the module sees it. The lock is held whenever the module runs.
type host Router

func (h *host) Now() int64 { return (*Router)(h).now() }

func (h *host) Attempt(id rules.RPCID, to rules.MemberID, within int64, next func(rules.Result)) int {
	return h.trips[id].attempt((*Router)(h), to, within, next)
}

func (h *host) Cancel(id rules.RPCID, number int) {
	if t := h.trips[id]; t != nil {
		t.calls[number].cancel()
	}
}

func (h *host) RejectWithRetryAfter(id rules.RPCID, comeBack int64) {
	h.trips[id].finish(Step{Action: ActionReject, RetryAfter: comeBack})
}

func (h *host) Abort(id rules.RPCID) { h.trips[id].finish(Step{Action: ActionAbort}) }

func (h *host) CloseIdle(to rules.MemberID) { h.add(CloseIdleConnections{Member: to}) }

func (h *host) Forget(id rules.MemberID) {
	h.registry.forget(id)
	h.add(ForgetMember{Member: id})
}

func (h *host) Probe(to rules.MemberID, next func(rules.ProbeResult)) {
	h.looks[to] = append(h.looks[to], next)
	h.add(ProbeMember{Member: to, Address: h.registry.address(to)})
}

func (h *host) After(wait int64, next func()) {
	at := h.Now() + max(wait, 0)
	h.timers.add(at, next)
	if h.timers.queue[0].at == at {
		(*Router)(h).stir()
	}
}

func (h *host) Watch() { h.add(WatchDiscovery{}) }

// SendReports passes news on, but for those that can't be told, of positions from long ago. It guards against messages that say nothing.
func (h *host) SendReports(news []rules.PeerReport) {
	if message := briefing.EncodeObservations(news, h.registry.key, 0, h.driver.StoreNow()); len(message) > 0 {
		h.add(SendToPeers{Message: message})
	}
}

func (h *host) Log(line string) { h.log.Info(line) }

func (h *host) add(d Task) {
	h.duties = append(h.duties, d)
	(*Router)(h).stir()
}
