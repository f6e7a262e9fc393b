package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
)

// ObserveVersion notes what this driver acts on of a thing that the fleet does not decide. It does nothing where nothing has versions.
func (r *Router) ObserveVersion(of versions.Resource, n versions.Number, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(of, n, digest)
}

// observe notes it for the fleet and in the trail. The lock is held.
func (r *Router) observe(of versions.Resource, n versions.Number, digest string) {
	if r.holder == nil {
		return
	}
	r.holder.Observe(of, n, digest)
	if r.trail != nil {
		r.trail.RecordObserved(r.now(), of, n)
	}
}

// wholeList is what is known of discovery's list, so that two drivers can be compared that heard of it in different parts.
type wholeList struct {
	entries map[string]uint64 // sums by member
	sum     uint64            // of all, in whatever order
}

// observeList notes the list as it is after what was told. The lock is held.
func (r *Router) observeList(t protocol.Targets) {
	if r.whole.entries == nil || t.IsFull {
		r.whole = wholeList{entries: map[string]uint64{}}
	}
	l := &r.whole
	for _, e := range t.Entries {
		l.sum ^= l.entries[e.ID]
		delete(l.entries, e.ID)
		if e.Lifecycle == protocol.Deleted {
			continue
		}
		sum := xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %d %v %v", e.ID, e.Address, e.Zone, e.Group, e.Lifecycle, e.StartedAtMillis, e.Weight))
		l.entries[e.ID] = sum
		l.sum ^= sum
	}
	r.observe(versions.DiscoveryList, versions.Number(t.Generation), fmt.Sprintf("%016x", l.sum))
}
