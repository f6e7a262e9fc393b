package routing

import (
	"hash/maphash"
	"time"
)

const (
	idRetention = 5 * time.Second // how long an id stays in use after its RPC has finished
	// maxRepeatableIDs limits the ids of finished RPCs that have not run or may run twice; beyond it the oldest expire early.
	maxRepeatableIDs = 1 << 13
)

// rpcIDs are the client-chosen ids of active and recently finished RPCs, which must be unique. The id of an RPC that
// may have run, and may not run twice, stays in use for idRetention, however many others come meanwhile: its client
// may have left, and come again.
type rpcIDs struct {
	active     map[string]bool
	seed       maphash.Seed
	repeatable finishedIDs // of RPCs that have not run or may run twice
	others     finishedIDs
}

func newRPCIDs() rpcIDs {
	return rpcIDs{active: map[string]bool{}, seed: maphash.MakeSeed(), repeatable: newFinishedIDs(), others: newFinishedIDs()}
}

// acquire marks an id as in use and reports whether it was free.
func (r *rpcIDs) acquire(id string, now time.Time) bool {
	hash := maphash.String(r.seed, id)
	r.repeatable.expire(now, maxRepeatableIDs)
	r.others.expire(now, len(r.others.queue))
	if r.active[id] || r.repeatable.inUse[hash] || r.others.inUse[hash] {
		return false
	}
	r.active[id] = true
	return true
}

// release lets the id of a finished RPC expire.
func (r *rpcIDs) release(id string, now time.Time, isRepeatable bool) {
	delete(r.active, id)
	finished := &r.others
	if isRepeatable {
		finished = &r.repeatable
	}
	finished.add(maphash.String(r.seed, id), now)
}

// finishedIDs are ids by their hashes, the oldest first, so that their length costs no memory.
type finishedIDs struct {
	inUse map[uint64]bool
	queue []finishedID
}

type finishedID struct {
	hash       uint64
	finishedAt time.Time
}

func newFinishedIDs() finishedIDs { return finishedIDs{inUse: map[uint64]bool{}} }

func (f *finishedIDs) add(hash uint64, now time.Time) {
	f.inUse[hash] = true
	f.queue = append(f.queue, finishedID{hash, now})
}

// expire frees the ids that are older than idRetention, and the oldest beyond limit.
func (f *finishedIDs) expire(now time.Time, limit int) {
	for len(f.queue) > 0 && (now.Sub(f.queue[0].finishedAt) >= idRetention || len(f.queue) > limit) {
		delete(f.inUse, f.queue[0].hash)
		f.queue = f.queue[1:]
	}
}
