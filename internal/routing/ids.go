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
func (i *rpcIDs) acquire(id string, now time.Time) bool {
	for len(i.finished) > 0 && (now.Sub(i.finished[0].finishedAt) >= idRetention || len(i.finished) > maxFinishedIDs) {
		delete(i.inUse, i.finished[0].id)
		i.finished[0] = finishedID{}
		i.finished = i.finished[1:]
	}
	if i.inUse[id] {
		return false
	}
	i.inUse[id] = true
	return true
}

// release notes that an RPC has ended.
func (i *rpcIDs) release(id string, now time.Time) {
	i.finished = append(i.finished, finishedID{id, now})
}
