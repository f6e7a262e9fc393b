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
	reached chan struct{}

	mu    sync.Mutex
	asked bool
	done  bool
	seen  map[rules.MemberID]bool // probed, of no more use once ready
	await map[rules.MemberID]bool
}

func newReadiness() *readiness {
	return &readiness{reached: make(chan struct{}), seen: map[rules.MemberID]bool{}, await: map[rules.MemberID]bool{}}
}

// looked notes that a probe of a member has ended.
func (r *readiness) looked(m rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done {
		r.seen[m] = true
		delete(r.await, m)
		r.check()
	}
}

// told looks whether fellow drivers told of members that are waited for.
func (r *readiness) told(router *routing.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.settle(router)
}

// settle waits no longer for members that are known of by now, or are to get nothing new: those are not probed any more. The
// lock is held.
func (r *readiness) settle(router *routing.Router) {
	maps.DeleteFunc(r.await, func(m rules.MemberID, _ bool) bool { return router.HasObservation(m) || !router.MayProbe(m) })
	r.check()
}

// listed notes what discovery told; nothing where it could not be asked: what was known before must do.
func (r *readiness) listed(router *routing.Router, t protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	for _, e := range t.Entries {
		m, known := router.MemberID(e.ID)
		if known && router.ProbesMembers() && e.Lifecycle == protocol.Serving && !r.seen[m] && !router.HasObservation(m) {
			r.await[m] = true
		}
	}
	r.asked = true
	r.settle(router)
}

// check tells once that readiness is reached. The lock is held.
func (r *readiness) check() {
	if r.asked && len(r.await) == 0 {
		r.done, r.seen, r.await = true, nil, nil
		close(r.reached)
	}
}
