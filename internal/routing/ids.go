package routing

import "time"

const (
	idKept  = 5 * time.Second // an RPC's id is held so long after its end
	mostIDs = 1 << 13         // ids held of RPCs that have ended, at most
)

// ids are those of the RPCs that are open or ended a short while ago: no two RPCs have the same.
type ids struct {
	held  map[string]bool
	ended []endedID // the oldest first
}

type endedID struct {
	id string
	at time.Time
}

// open takes an id, and tells whether it was free.
func (i *ids) open(id string, now time.Time) bool {
	for len(i.ended) > 0 && (now.Sub(i.ended[0].at) >= idKept || len(i.ended) > mostIDs) {
		delete(i.held, i.ended[0].id)
		i.ended[0] = endedID{}
		i.ended = i.ended[1:]
	}
	if i.held[id] {
		return false
	}
	i.held[id] = true
	return true
}

// end notes that an RPC has ended.
func (i *ids) end(id string, now time.Time) { i.ended = append(i.ended, endedID{id, now}) }
