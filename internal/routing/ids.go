package routing

import "time"

const (
	idRetention    = 5 * time.Second // an RPC's id is held so long after its end
	maxFinishedIDs = 1 << 13         // ids held of RPCs that have ended, at most
)

// rpcIDs are those of the RPCs that are open or ended a short while ago: no two RPCs have the same.
type rpcIDs struct {
	inUse    map[string]bool
	finished []finishedID // the oldest first
}

type finishedID struct {
	id         string
	finishedAt time.Time
}

// acquire takes an id, and tells whether it was free.
func (r *rpcIDs) acquire(id string, now time.Time) bool {
	for len(r.finished) > 0 && (now.Sub(r.finished[0].finishedAt) >= idRetention || len(r.finished) > maxFinishedIDs) {
		delete(r.inUse, r.finished[0].id)
		r.finished[0] = finishedID{}
		r.finished = r.finished[1:]
	}
	if r.inUse[id] {
		return false
	}
	r.inUse[id] = true
	return true
}

// release notes that an RPC has ended.
func (r *rpcIDs) release(id string, now time.Time) {
	r.finished = append(r.finished, finishedID{id, now})
}
