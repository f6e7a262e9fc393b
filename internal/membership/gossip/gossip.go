// Package gossip lets drivers hear of one another beside the council, on memberlist (SWIM): each probes a fellow now and then,
// itself and through others, and what it finds spreads from one to the next. What a driver does not hear it tells the council as
// evidence; what follows from it is decided in packages roster and versions. Nothing that must not happen rests on it.
package gossip

import (
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Gossiper is a driver among its fellows.
type Gossiper struct {
	list    *memberlist.Memberlist
	fellows []string
	probe   time.Duration
	log     logrus.FieldLogger

	mu     sync.Mutex
	leaves bool
	lost   map[string]bool // fellows that were heard, and are not any more though they did not say that they leave
}

const (
	leaving     = "leaves" // what one that leaves says of itself
	leaveWithin = 300 * time.Millisecond
	suspicion   = 4 // as memberlist counts: probes, times the logarithm of the fleet's size, until one that is suspected is lost
	gossipShare = 5 // messages go out so often in the time of a probe
	reclaimed   = 2 // a name may be had from another address after so many probes
)

// Listen begins to answer fellows at an address, by TCP and UDP. A probe is sent each time that probe has passed.
func Listen(name, at string, fellows []string, probe time.Duration, log logrus.FieldLogger) (*Gossiper, error) {
	host, digits, err := net.SplitHostPort(at)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(digits)
	if err != nil {
		return nil, err
	}
	r := &Gossiper{fellows: slices.DeleteFunc(slices.Clone(fellows), func(f string) bool { return f == at }), probe: probe, log: log, lost: map[string]bool{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = name, host, port, host, port
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.SuspicionMult = probe, probe/2, probe/gossipShare, suspicion
	c.DeadNodeReclaimTime, c.EnableCompression = reclaimed*probe, false
	c.Events, c.Conflict, c.Delegate, c.LogOutput = r, r, word{r}, io.Discard
	r.list, err = memberlist.Create(c)
	return r, err
}

// Run looks for fellows until the context ends, and then says that this driver leaves.
func (r *Gossiper) Run(ctx context.Context) {
	r.look(ctx)
	r.leave()
	r.list.Shutdown()
}

// leave says that this driver leaves: memberlist alone does not tell fellows who has left from who has died.
func (r *Gossiper) leave() {
	r.mu.Lock()
	r.leaves = true
	r.mu.Unlock()
	r.list.UpdateNode(leaveWithin)
	r.list.Leave(leaveWithin)
}

// look looks for fellows until some was reached, and again whenever there is none.
func (r *Gossiper) look(ctx context.Context) {
	tick := time.NewTicker(r.probe)
	defer tick.Stop()
	for ctx.Err() == nil {
		if len(r.fellows) > 0 && r.list.NumMembers() < 2 {
			r.list.Join(r.fellows) // whoever can't be reached is asked again
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// Unreachable are the fellows that were heard and are not any more, in order.
func (r *Gossiper) Unreachable() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.lost {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NotifyJoin takes in that a fellow is heard.
func (r *Gossiper) NotifyJoin(n *memberlist.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lost, n.Name)
}

// NotifyLeave takes in that a fellow has left, or is not heard any more.
func (r *Gossiper) NotifyLeave(n *memberlist.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if string(n.Meta) == leaving {
		delete(r.lost, n.Name)
		return
	}
	r.lost[n.Name] = true
}

// NotifyUpdate does nothing: nobody tells more than its name.
func (r *Gossiper) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict takes in that two fellows say that they have one name. Which of them has it is the council's to say.
func (r *Gossiper) NotifyConflict(existing, other *memberlist.Node) {
	r.log.WithFields(logrus.Fields{"of": existing.Name, "at": existing.Address(), "other": other.Address()}).Warn("two drivers have one name")
}

// word is what a driver says of itself with its name: nothing, but that it leaves.
type word struct{ r *Gossiper }

// NodeMeta is what fellows are told.
func (w word) NodeMeta(int) []byte {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if w.r.leaves {
		return []byte(leaving)
	}
	return nil
}

// NotifyMsg does nothing: no messages are sent.
func (word) NotifyMsg([]byte) {}

// GetBroadcasts gives nothing.
func (word) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState gives nothing.
func (word) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing.
func (word) MergeRemoteState([]byte, bool) {}
