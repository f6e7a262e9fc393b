package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
)

// ObserveVersion notes what this driver acts on of a thing that the fleet does not decide. It does nothing where nothing has versions.
func (r *Router) ObserveVersion(thing versions.Thing, version versions.Number, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeVersion(thing, version, digest)
}

// observeVersion notes it for the fleet and in the trail. The lock is held.
func (r *Router) observeVersion(thing versions.Thing, version versions.Number, digest string) {
	if r.holder == nil {
		return
	}
	r.holder.Observes(thing, version, digest)
	if r.trail != nil {
		r.trail.Has(r.now(), thing, version)
	}
}

// listDigest is what is known of discovery's list, so that two drivers can be compared that heard of it in different parts.
type listDigest struct {
	sumByMember map[string]uint64 // sums by member
	total       uint64            // of all, in whatever order
}

// observeListDigest notes the list as it is after what was told. The lock is held.
func (r *Router) observeListDigest(targets protocol.Targets) {
	if r.listDigest.sumByMember == nil || targets.IsFull {
		r.listDigest = listDigest{sumByMember: map[string]uint64{}}
	}
	digest := &r.listDigest
	for _, entry := range targets.Entries {
		digest.total ^= digest.sumByMember[entry.ID]
		delete(digest.sumByMember, entry.ID)
		if entry.Lifecycle == protocol.Deleted {
			continue
		}
		sum := xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %d %v %v", entry.ID, entry.Address, entry.Zone, entry.Group, entry.Lifecycle, entry.StartedAtMillis, entry.Weight))
		digest.sumByMember[entry.ID] = sum
		digest.total ^= sum
	}
	r.observeVersion(versions.List, versions.Number(targets.Generation), fmt.Sprintf("%016x", digest.total))
}
