package routing

import (
	"sedgespread/internal/settings"
	"sedgespread/rules"
)

// host implements rules.Host for a Router. The router's lock is held whenever the driver runs.
type host Router

func (h *host) Now() int64 { return (*Router)(h).now() }

func (h *host) Attempt(id rules.RPCID, member rules.MemberID, timeLimit int64, onResult func(rules.Result)) int {
	return h.activeRPCs[id].startAttempt((*Router)(h), member, timeLimit, onResult)
}

func (h *host) Cancel(id rules.RPCID, number int) {
	if active := h.activeRPCs[id]; active != nil {
		active.attempts[number].cancel()
	}
}

func (h *host) RejectWithRetryAfter(id rules.RPCID, retryAfter int64) {
	h.activeRPCs[id].finish(Step{Action: ActionReject, RetryAfter: retryAfter})
}

func (h *host) Abort(id rules.RPCID) { h.activeRPCs[id].finish(Step{Action: ActionAbort}) }

func (h *host) CloseIdle(member rules.MemberID) { h.addTask(CloseIdleConnections{Member: member}) }

func (h *host) Forget(id rules.MemberID) {
	h.registry.forget(id)
	h.addTask(ForgetMember{Member: id})
}

func (h *host) Probe(member rules.MemberID, onResult func(rules.ProbeResult)) {
	h.pendingProbes[member] = append(h.pendingProbes[member], onResult)
	h.addTask(ProbeMember{Member: member, Address: h.registry.address(member)})
}

func (h *host) After(delay int64, callback func()) {
	due := h.Now() + max(delay, 0)
	h.timers.add(due, callback)
	if h.timers.queue[0].due == due {
		(*Router)(h).wake()
	}
}

func (h *host) Watch() { h.addTask(WatchDiscovery{}) }

// SendReports sends observations to the peers. Positions too old to be encoded are left out, and an empty
// message is not sent.
func (h *host) SendReports(observations []rules.PeerReport) {
	if message := settings.EncodeObservations(observations, h.registry.keyOf, 0, h.driver.StoreNow()); len(message) > 0 {
		h.addTask(SendToPeers{Message: message})
	}
}

func (h *host) Log(line string) { h.log.Info(line) }

func (h *host) addTask(task Task) {
	h.tasks = append(h.tasks, task)
	(*Router)(h).wake()
}
