package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"sedgespread/internal/protocol"
	"sedgespread/internal/versions"
)

// ObserveVersion records this driver's version of a resource whose versions the fleet only observes. It
// has no effect if nothing is versioned.
func (r *Router) ObserveVersion(resource versions.Resource, version versions.Number, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeVersion(resource, version, digest)
}

// observeVersion records a version to report to the fleet, and in the audit trail. r.mu must be held.
func (r *Router) observeVersion(resource versions.Resource, version versions.Number, digest string) {
	if r.versionState == nil {
		return
	}
	r.versionState.Observe(resource, version, digest)
	if r.trail != nil {
		r.trail.RecordObserved(r.now(), resource, version)
	}
}

// listDigest is a digest of discovery's list that does not depend on the order of updates, so that
// drivers that received the list in different parts can be compared.
type listDigest struct {
	sumByMember map[string]uint64 // checksums by member name
	total       uint64            // XOR of all checksums
}

// observeListDigest updates the digest of the list and records it. r.mu must be held.
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
		sum := xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %d %v %v", entry.ID, entry.Address, entry.Zone, entry.Group,
			entry.Lifecycle, entry.StartedAtMillis, entry.Weight))
		digest.sumByMember[entry.ID] = sum
		digest.total ^= sum
	}
	r.observeVersion(versions.DiscoveryList, versions.Number(targets.Generation), fmt.Sprintf("%016x", digest.total))
}
