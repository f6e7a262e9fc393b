package program

import (
	"maps"
	"sync"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/rules"
)

// readiness tracks whether this driver is ready: discovery has been asked, and each serving member
// has been probed or reported by a peer, if probes are enabled.
type readiness struct {
	ready chan struct{}

	mu             sync.Mutex
	discoveryAsked bool
	isReady        bool
	probed         map[rules.MemberID]bool // members whose probe has ended; nil once ready
	awaited        map[rules.MemberID]bool
}

func newReadiness() *readiness {
	return &readiness{ready: make(chan struct{}), probed: map[rules.MemberID]bool{}, awaited: map[rules.MemberID]bool{}}
}

// recordProbe records that a probe of a member has ended.
func (r *readiness) recordProbe(member rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isReady {
		r.probed[member] = true
		delete(r.awaited, member)
		r.check()
	}
}

// recordPeerMessage stops waiting for members that peers have reported.
func (r *readiness) recordPeerMessage(router *routing.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReady {
		return
	}
	r.dropKnown(router)
}

// dropKnown stops waiting for members that are known by now, or that may not be probed any more.
// The lock is held.
func (r *readiness) dropKnown(router *routing.Router) {
	maps.DeleteFunc(r.awaited, func(m rules.MemberID, _ bool) bool { return router.HasObservation(m) || !router.MayProbe(m) })
	r.check()
}

// recordList records an answer from discovery. The list is empty if discovery could not be reached;
// the previously known targets are used then.
func (r *readiness) recordList(router *routing.Router, targets protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReady {
		return
	}
	for _, entry := range targets.Entries {
		member, known := router.MemberID(entry.ID)
		if known && router.ProbesMembers() && entry.Lifecycle == protocol.Serving && !r.probed[member] && !router.HasObservation(member) {
			r.awaited[member] = true
		}
	}
	r.discoveryAsked = true
	r.dropKnown(router)
}

// check closes the ready channel once the driver is ready. The lock is held.
func (r *readiness) check() {
	if r.discoveryAsked && len(r.awaited) == 0 {
		r.isReady, r.probed, r.awaited = true, nil, nil
		close(r.ready)
	}
}
