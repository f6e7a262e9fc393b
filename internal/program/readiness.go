package program

import (
	"sync"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"
	"sedgespread/rules"
)

// readiness is reached once discovery has been asked and each member it serves has been probed, if probes are made.
type readiness struct {
	reached chan struct{}

	mu     sync.Mutex
	probes bool
	asked  bool
	seen   map[rules.MemberID]bool
	await  map[rules.MemberID]bool
	done   bool
}

func newReadiness(probes bool) *readiness {
	return &readiness{reached: make(chan struct{}), probes: probes, seen: map[rules.MemberID]bool{},
		await: map[rules.MemberID]bool{}}
}

// looked notes that a probe of a member has ended.
func (r *readiness) looked(m rules.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[m] = true
	delete(r.await, m)
	r.check()
}

// listed notes what discovery told.
func (r *readiness) listed(router *routing.Router, t protocol.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range t.Entries {
		if m := router.Member(e.ID); r.probes && e.Lifecycle == protocol.Serving && !r.seen[m] {
			r.await[m] = true
		}
	}
	r.asked = true
	r.check()
}

// unlisted notes that discovery could not be asked: what was known before must do.
func (r *readiness) unlisted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = true
	r.check()
}

func (r *readiness) check() {
	if r.asked && len(r.await) == 0 && !r.done {
		r.done = true
		close(r.reached)
	}
}
