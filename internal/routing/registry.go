package routing

import (
	"hash/fnv"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

// registry knows the members by the names that discovery has for them. A number is never used again, so that
// nothing which is late and names a member that has gone is taken for another's.
type registry struct {
	idByName map[string]rules.MemberID
	members  map[rules.MemberID]*memberEntry
	idByKey  map[uint32]rules.MemberID // 0 where two members have one key: news of them are passed over
	lastID   rules.MemberID
}

// memberEntry is what the list says of a member.
type memberEntry struct {
	name    string
	key     uint32 // the same at every driver
	address string
}

func newRegistry() registry {
	return registry{idByName: map[string]rules.MemberID{}, members: map[rules.MemberID]*memberEntry{},
		idByKey: map[uint32]rules.MemberID{}}
}

// assignID gives a member's number, a new one for a member not known.
func (r *registry) assignID(name string) rules.MemberID {
	id, known := r.idByName[name]
	if !known {
		r.lastID++
		id = r.lastID
		hash := fnv.New32a()
		hash.Write([]byte(name))
		entry := &memberEntry{name: name, key: hash.Sum32()}
		r.idByName[name], r.members[id] = id, entry
		if _, shared := r.idByKey[entry.key]; shared {
			r.idByKey[entry.key] = 0
		} else {
			r.idByKey[entry.key] = id
		}
	}
	return id
}

// keyOf is what all drivers call a member that is known here.
func (r *registry) keyOf(id rules.MemberID) uint32 { return r.members[id].key }

// idOfKey is the member of a key, if it is the only one known here.
func (r *registry) idOfKey(key uint32) (id rules.MemberID, known bool) {
	id = r.idByKey[key]
	return id, id != 0
}

// forget forgets a member.
func (r *registry) forget(id rules.MemberID) {
	if entry := r.members[id]; entry != nil {
		delete(r.idByName, entry.name)
		delete(r.members, id)
		if r.idByKey[entry.key] == id {
			delete(r.idByKey, entry.key)
		}
	}
}

// address is where a member is, empty for one not known.
func (r *registry) address(id rules.MemberID) string {
	if entry := r.members[id]; entry != nil {
		return entry.address
	}
	return ""
}

var stateByLifecycle = map[protocol.Lifecycle]rules.State{protocol.Serving: rules.Healthy, protocol.Draining: rules.Draining,
	protocol.Deleted: rules.Gone}

// update takes in an entry of discovery's list.
func (r *registry) update(target protocol.Target) rules.Listing {
	id := r.assignID(target.ID)
	if target.Address != "" {
		r.members[id].address = target.Address
	}
	return rules.Listing{Member: id, Group: rules.GroupID(target.Group), Zone: target.Zone, State: stateByLifecycle[target.Lifecycle],
		Started: int64(target.StartedAtMillis) * nanosPerMilli, Size: target.Weight}
}
