package program

import (
	"maps"
	"sync"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/rules"
)

// readiness is reached once discovery has been asked and each member it serves has been probed, or told
// of by a fellow driver, if probes are made.
type readiness struct {
	ready chan struct{}

	mu             sync.Mutex
	discoveryAsked bool
	isReady        bool
	probed         map[rules.MemberID]bool // probed, of no more use once ready
	awaited        map[rules.MemberID]bool
}

func newReadiness() *readiness {
	return &readiness{ready: make(chan struct{}), probed: map[rules.MemberID]bool{}, awaited: map[rules.MemberID]bool{}}
}

// recordProbe notes that a probe of a member has ended.
func (r *readiness) recordProbe(member rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isReady {
		r.probed[member] = true
		delete(r.awaited, member)
		r.check()
	}
}

// recordPeerMessage looks whether fellow drivers told of members that are waited for.
func (r *readiness) recordPeerMessage(router *routing.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReady {
		return
	}
	r.dropKnown(router)
}

// dropKnown waits no longer for members that are known of by now, or are to get nothing new: those are not probed any more. The
// lock is held.
func (r *readiness) dropKnown(router *routing.Router) {
	maps.DeleteFunc(r.awaited, func(m rules.MemberID, _ bool) bool { return router.Met(m) || !router.MayLook(m) })
	r.check()
}

// recordList notes what discovery told; nothing where it could not be asked: what was known before must do.
func (r *readiness) recordList(router *routing.Router, targets protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReady {
		return
	}
	for _, entry := range targets.Entries {
		member, known := router.Member(entry.ID)
		if known && router.Probes() && entry.Lifecycle == protocol.Serving && !r.probed[member] && !router.Met(member) {
			r.awaited[member] = true
		}
	}
	r.discoveryAsked = true
	r.dropKnown(router)
}

// check tells once that readiness is reached. The lock is held.
func (r *readiness) check() {
	if r.discoveryAsked && len(r.awaited) == 0 {
		r.isReady, r.probed, r.awaited = true, nil, nil
		close(r.ready)
	}
}
