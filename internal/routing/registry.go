package routing

import (
	"hash/fnv"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

// registry knows the members by the names that discovery has for them. A number is never used again, so that
// nothing which is late and names a member that has gone is taken for another's.
type registry struct {
	numbers map[string]rules.MemberID
	known   map[rules.MemberID]*listed
	byKey   map[uint32]rules.MemberID // 0 where two members have one key: news of them are passed over
	last    rules.MemberID
}

// listed is what the list says of a member.
type listed struct {
	name    string
	key     uint32 // the same at every driver
	address string
}

func newRegistry() registry {
	return registry{numbers: map[string]rules.MemberID{}, known: map[rules.MemberID]*listed{},
		byKey: map[uint32]rules.MemberID{}}
}

// number gives a member's number, a new one for a member not known.
func (r *registry) number(name string) rules.MemberID {
	id, known := r.numbers[name]
	if !known {
		r.last++
		id = r.last
		hash := fnv.New32a()
		hash.Write([]byte(name))
		l := &listed{name: name, key: hash.Sum32()}
		r.numbers[name], r.known[id] = id, l
		if _, shared := r.byKey[l.key]; shared {
			r.byKey[l.key] = 0
		} else {
			r.byKey[l.key] = id
		}
	}
	return id
}

// key is what all drivers call a member that is known here.
func (r *registry) key(id rules.MemberID) uint32 { return r.known[id].key }

// member is the member of a key, if it is the only one known here.
func (r *registry) member(key uint32) (id rules.MemberID, known bool) {
	id = r.byKey[key]
	return id, id != 0
}

// forget forgets a member.
func (r *registry) forget(id rules.MemberID) {
	if l := r.known[id]; l != nil {
		delete(r.numbers, l.name)
		delete(r.known, id)
		if r.byKey[l.key] == id {
			delete(r.byKey, l.key)
		}
	}
}

// address is where a member is, empty for one not known.
func (r *registry) address(id rules.MemberID) string {
	if l := r.known[id]; l != nil {
		return l.address
	}
	return ""
}

var lifecycles = map[protocol.Lifecycle]rules.MemberState{protocol.Serving: rules.Healthy, protocol.Draining: rules.Draining,
	protocol.Deleted: rules.Deregistered}

// listing takes in an entry of discovery's list.
func (r *registry) listing(t protocol.Target) rules.MemberEntry {
	id := r.number(t.ID)
	if t.Address != "" {
		r.known[id].address = t.Address
	}
	return rules.MemberEntry{Member: id, Group: rules.GroupID(t.Group), Zone: t.Zone, State: lifecycles[t.Lifecycle],
		Started: int64(t.StartedAtMillis) * milli, Weight: t.Weight}
}
