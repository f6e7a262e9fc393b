package routing

import (
	"hash/fnv"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

// registry maps discovery's names of members to numbers. A number is never reused, so that late
// messages about a removed member are not taken for another's.
type registry struct {
	idByName map[string]rules.MemberID
	members  map[rules.MemberID]*memberEntry
	idByKey  map[uint32]rules.MemberID // 0 if several members share the key; peers' observations of them are ignored
	lastID   rules.MemberID
}

// memberEntry is what the registry keeps for a member.
type memberEntry struct {
	name    string
	key     uint32 // hash of the name, the same on every driver
	address string
}

func newRegistry() registry {
	return registry{idByName: map[string]rules.MemberID{}, members: map[rules.MemberID]*memberEntry{},
		idByKey: map[uint32]rules.MemberID{}}
}

// assignID returns a member's number, a new one if the member is unknown.
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

// keyOf returns the key by which all drivers identify a known member.
func (r *registry) keyOf(id rules.MemberID) uint32 { return r.members[id].key }

// idOfKey returns the member with a key, unless none or several have it.
func (r *registry) idOfKey(key uint32) (id rules.MemberID, known bool) {
	id = r.idByKey[key]
	return id, id != 0
}

// forget removes a member.
func (r *registry) forget(id rules.MemberID) {
	if entry := r.members[id]; entry != nil {
		delete(r.idByName, entry.name)
		delete(r.members, id)
		if r.idByKey[entry.key] == id {
			delete(r.idByKey, entry.key)
		}
	}
}

// address returns a member's address, empty if it is unknown.
func (r *registry) address(id rules.MemberID) string {
	if entry := r.members[id]; entry != nil {
		return entry.address
	}
	return ""
}

var stateByLifecycle = map[protocol.Lifecycle]rules.MemberState{protocol.Serving: rules.Healthy, protocol.Draining: rules.Draining,
	protocol.Deleted: rules.Deregistered}

// update applies an entry of discovery's list and converts it for the rules.
func (r *registry) update(target protocol.Target) rules.MemberEntry {
	id := r.assignID(target.ID)
	if target.Address != "" {
		r.members[id].address = target.Address
	}
	return rules.MemberEntry{Member: id, Group: rules.GroupID(target.Group), Zone: target.Zone, State: stateByLifecycle[target.Lifecycle],
		Started: int64(target.StartedAtMillis) * nanosPerMilli, Weight: target.Weight}
}
