package routing

import (
	"hash/fnv"

	"sedgespread/internal/protocol"
	"sedgespread/rules"
)

// registry knows the members by the names that discovery has for them.
type registry struct {
	numbers   map[string]rules.MemberID
	keys      []uint64 // the same at every driver
	byKey     map[uint64]rules.MemberID
	addresses []string
}

func newRegistry() registry {
	return registry{numbers: map[string]rules.MemberID{}, byKey: map[uint64]rules.MemberID{}}
}

// number gives a member's number, a new one for a member not known.
func (r *registry) number(name string) rules.MemberID {
	id, known := r.numbers[name]
	if !known {
		id = rules.MemberID(len(r.keys))
		hash := fnv.New64a()
		hash.Write([]byte(name))
		key := hash.Sum64() & protocol.MostMember
		r.numbers[name], r.byKey[key] = id, id
		r.keys, r.addresses = append(r.keys, key), append(r.addresses, "")
	}
	return id
}

var lifecycles = map[protocol.Lifecycle]rules.State{protocol.Serving: rules.Healthy, protocol.Draining: rules.Draining,
	protocol.Deleted: rules.Gone}

// listing takes in an entry of discovery's list.
func (r *registry) listing(t protocol.Target) rules.Listing {
	id := r.number(t.ID)
	if t.Address != "" {
		r.addresses[id] = t.Address
	}
	return rules.Listing{Member: id, Group: rules.GroupID(t.Group), Zone: t.Zone, State: lifecycles[t.Lifecycle],
		Started: int64(t.Started) * milli}
}
