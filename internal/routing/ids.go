package routing

import "time"

const (
	idRetention    = 5 * time.Second // how long an id stays in use after its RPC has finished
	maxFinishedIDs = 1 << 13         // beyond this the oldest ids of finished RPCs expire early
)

// rpcIDs are the client-chosen ids of active and recently finished RPCs, which must be unique.
type rpcIDs struct {
	inUse    map[string]bool
	finished []finishedID // oldest first
}

type finishedID struct {
	id         string
	finishedAt time.Time
}

// acquire marks an id as in use and reports whether it was free.
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

// release lets the id of a finished RPC expire after idRetention.
func (r *rpcIDs) release(id string, now time.Time) {
	r.finished = append(r.finished, finishedID{id, now})
}
