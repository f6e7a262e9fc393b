package council

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
)

// world is a council of voters whose clocks run at rates of their own, whose packets are late, lost, doubled and out of
// order, whose disks are slow or hang, and which crash, stand still and get their disks back. What happens next is drawn.
type world struct {
	rng     *rand.Rand
	planted fault
	now     int64
	pace    Timing
	voters  []*voter
	air     []Packet
	cutOff  map[[2]VoterID]bool
	agreed  map[uint64]string // by index
	told    map[string]uint64 // records whose proposer saw them applied, with their index
	asked   int
	broken  string
	acted   int // steps at which somebody acted
	refused int
	calmly  bool // nothing crashes, and no log is cut by chance
	slow    bool // some disks are slow, and some hang for a while
}

// planted is a fault of ours that the walk has to find.
type fault int

const (
	sound        fault = iota
	longTenure         // a leader acts longer than it may
	youngVoters        // a voter that has just started counts ticks that did not pass
	sendsFirst         // what rests on a write is done before that is on the disk
	oldDisks           // nobody tells a voter that its disk is old
	staleReaders       // a leader acts before it has applied what others recorded
)

type voter struct {
	id      VoterID
	rate    float64
	seat    *Node
	disk    DiskState
	old     *DiskState // an older copy
	writes  []*Write   // given out, not on the disk yet
	slow    bool       // its disk writes now and then
	hung    bool       // its disk writes nothing
	up      bool
	still   bool
	started int64 // its clock is 0 then
	due     int64 // of its next tick, own clock
	applied map[uint64]bool
	last    uint64
	starts  int64
}

var walkPace = Timing{Tick: 10, ElectionTicks: 8, MaxDrift: 0.02}

func newWorld(seed int64, voters int, p fault) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), planted: p, pace: walkPace, cutOff: map[[2]VoterID]bool{},
		agreed: map[uint64]string{}, told: map[string]uint64{}, slow: seed%2 == 1}
	var ids []VoterID
	for i := range voters {
		ids = append(ids, VoterID(i+1))
	}
	for _, id := range ids {
		v := &voter{id: id, rate: 1 + w.pace.MaxDrift*(2*w.rng.Float64()-1), disk: NewDiskState(ids), slow: w.slow && w.rng.Intn(3) == 0}
		w.voters = append(w.voters, v)
		w.start(v)
	}
	return w
}

func (w *world) clock(v *voter) int64 { return int64(float64(w.now-v.started) * v.rate) }

// start starts a voter over its disk.
func (w *world) start(v *voter) {
	v.starts++
	kept := v.disk
	kept.Entries = slices.Clone(v.disk.Entries)
	seat, err := NewNode(v.id, w.pace, kept, w.rng.Int63())
	if err != nil {
		w.broken = err.Error()
		return
	}
	v.writes, v.hung = nil, false
	v.seat, v.up, v.still, v.started, v.due, v.applied = seat, true, false, w.now, w.pace.Tick, map[uint64]bool{}
	v.last = v.disk.Snapshot.GetMetadata().GetIndex()
	if w.planted == youngVoters {
		for range w.pace.ElectionTicks {
			v.seat.ticks++
		}
	}
}

// save puts a write on a disk: all of it or nothing.
func (d *DiskState) save(k *Write) {
	if k.IsEmpty() {
		return
	}
	d.KnownPositions, d.Position = k.KnownPositions, k.Position
	if k.HardState != nil {
		d.HardState = k.HardState
	}
	if k.ReplacesLog {
		d.Entries = nil
	}
	if len(k.Entries) > 0 {
		first := k.Entries[0].GetIndex()
		kept := slices.IndexFunc(d.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		if kept < 0 {
			kept = len(d.Entries)
		}
		d.Entries = append(slices.Clone(d.Entries[:kept]), k.Entries...)
	}
	if k.Snapshot != nil {
		d.Snapshot = k.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool {
			return e.GetIndex() < k.DropBefore || e.GetIndex() <= k.Snapshot.GetMetadata().GetIndex()
		})
	}
}

// work lets a voter do what there is to do; it may crash between any two steps of it.
func (w *world) work(v *voter) {
	for v.up {
		k, any := v.seat.Ready()
		if !any {
			break
		}
		w.send(k.Packets)
		if k.Write != nil {
			v.writes = append(v.writes, k.Write)
			if w.planted == sendsFirst {
				w.written(v, k.Write)
			}
		}
		if w.crashes(v) {
			return
		}
		if !v.slow && !v.hung {
			w.write(v, len(v.writes))
		}
	}
	taken, _ := v.seat.store.Snapshot()
	beyond := v.up && v.seat.IsActive() && v.seat.AppliedIndex() > taken.GetMetadata().GetIndex()
	if beyond && (v.seat.strange || !w.calmly && w.rng.Intn(400) == 0) {
		w.compact(v)
	}
}

// write lets a disk write the oldest of what it was given.
func (w *world) write(v *voter, most int) {
	for n := 0; v.up && n < most && len(v.writes) > 0; n++ {
		k := v.writes[0]
		v.writes = v.writes[1:]
		v.disk.save(k)
		if !w.crashes(v) && w.planted != sendsFirst {
			w.written(v, k)
		}
	}
}

func (w *world) written(v *voter, k *Write) {
	snapshot, commits, err := v.seat.CompleteWrite(k)
	if err != nil {
		w.broken = err.Error()
	}
	if snapshot != nil {
		v.last = snapshot.GetMetadata().GetIndex()
	}
	for _, c := range commits {
		w.apply(v, c)
	}
}

func (w *world) compact(v *voter) {
	k, err := v.seat.Compact([]byte("all"))
	if err != nil {
		w.broken = err.Error()
		return
	}
	v.writes = append(v.writes, k)
	if !v.slow && !v.hung {
		w.write(v, len(v.writes))
	}
}

func (w *world) crashes(v *voter) bool {
	if !w.calmly && w.rng.Intn(300) == 0 {
		v.up = false
	}
	return !v.up
}

// apply checks that all agree on what a record is.
func (w *world) apply(v *voter, c CommittedEntry) {
	what := string(c.Record)
	if c.Change != nil {
		what = "a change"
	}
	if have, known := w.agreed[c.Index]; known && have != what {
		w.broken = fmt.Sprintf("entry %d is %q at voter %d, and was %q", c.Index, what, v.id, have)
	}
	w.agreed[c.Index] = what
	v.last = c.Index
	if len(c.Record) > 0 && v.applied[0] && w.acts(v) {
		w.told[what] = c.Index
	}
}

const mostAir = 300 // packets on their way; more are lost

func (w *world) send(packets []Packet) {
	for _, p := range packets {
		if w.planted == oldDisks {
			p.Positions = nil
		}
		if !w.cutOff[[2]VoterID{p.From, p.To}] && len(w.air) < mostAir {
			w.air = append(w.air, p)
		}
	}
}

// acts tells whether a voter would act for the council now.
func (w *world) acts(v *voter) bool {
	if !v.up || v.still {
		return false
	}
	until := v.seat.LeaseEnd()
	if w.planted == staleReaders && v.seat.IsActive() && v.seat.leads {
		until = w.clock(v) + 1
	}
	if w.planted == longTenure && until > 0 {
		until += 3 * w.pace.Tick
	}
	return w.clock(v) < until
}

// step lets one thing happen.
func (w *world) step() {
	v := w.voters[w.rng.Intn(len(w.voters))]
	switch n := w.rng.Intn(1000); {
	case n < 300:
		w.now += 1 + w.rng.Int63n(w.pace.Tick/2)
		w.ticks()
	case n < 865:
		w.deliver()
	case n < 880:
		if !v.hung {
			w.write(v, 1+w.rng.Intn(3))
			w.work(v)
		}
	case n < 940:
		if w.acts(v) {
			w.propose(v)
		}
	case n < 946:
		v.up = false
	case n < 956:
		if !v.up {
			w.start(v)
		}
	case n < 962:
		v.still = true
	case n < 980:
		v.still = false
	case n < 984:
		other := w.voters[w.rng.Intn(len(w.voters))]
		w.cutOff[[2]VoterID{v.id, other.id}] = true
	case n < 990:
		w.cutOff = map[[2]VoterID]bool{}
	case n < 992:
		copied := v.disk
		copied.Entries = slices.Clone(v.disk.Entries)
		v.old = &copied
	case n < 993:
		w.putBack(v)
	case n < 994:
		v.hung = w.slow
	default:
		v.hung = false
	}
	w.check()
}

// propose lets a voter that acts propose a record.
func (w *world) propose(v *voter) {
	w.asked++
	v.applied[0] = true
	v.seat.Propose(fmt.Appendf(nil, "r%d", w.asked))
	w.work(v)
}

// putBack puts an old copy in place of a voter's disk, if all others are up to tell, and no more than one was ever put back:
// a council bears the loss of few, and one of one voter can't know.
func (w *world) putBack(v *voter) {
	for _, other := range w.voters {
		if !other.up || other != v && other.seat.RefusalReason() != "" {
			return
		}
	}
	if v.old != nil && w.refused == 0 && len(w.voters) > 1 {
		v.disk = *v.old
		w.refused++
		w.start(v)
	}
}

// ticks lets clocks tick that are due. One that stood still has one tick to make up for.
func (w *world) ticks() {
	for _, v := range w.voters {
		for v.up && !v.still && w.clock(v) >= v.due {
			v.due += w.pace.Tick
			if late := w.clock(v) - v.due; late > 0 {
				v.due += late / w.pace.Tick * w.pace.Tick
			}
			v.seat.Tick(w.clock(v))
			w.work(v)
		}
	}
}

// deliver takes a packet out of the air, and now and then leaves it there as well, or loses it.
func (w *world) deliver() {
	if len(w.air) == 0 {
		return
	}
	at := w.rng.Intn(min(len(w.air), 12))
	p := w.air[at]
	fate := w.rng.Intn(40)
	if fate != 0 || len(w.air) > 200 {
		w.air = slices.Delete(w.air, at, at+1)
	}
	v := w.voters[p.To-1]
	if fate == 1 || !v.up {
		return
	}
	if v.still {
		w.air = append(w.air, p)
		return
	}
	if err := v.seat.Receive(p); err != nil {
		w.broken = err.Error()
	}
	w.work(v)
}

// check looks at what must hold at every moment.
func (w *world) check() {
	var acting []VoterID
	for _, v := range w.voters {
		if !w.acts(v) {
			continue
		}
		acting = append(acting, v.id)
		for what, index := range w.told {
			if index > v.last {
				w.broken = fmt.Sprintf("voter %d acts at entry %d and does not know %q, entry %d", v.id, v.last, what, index)
			}
		}
	}
	if len(acting) > 0 {
		w.acted++
	}
	if len(acting) > 1 {
		w.broken = fmt.Sprintf("voters %v act at once", acting)
	}
}

// settle lets everything work again, and tells whether the council then records something.
func (w *world) settle() bool {
	w.cutOff = map[[2]VoterID]bool{}
	w.planted, w.calmly, w.air = sound, true, nil
	before := len(w.told)
	for range 40_000 {
		for _, v := range w.voters {
			v.still, v.slow, v.hung = false, false, false
			if !v.up {
				w.start(v)
			}
		}
		v := w.voters[w.rng.Intn(len(w.voters))]
		switch n := w.rng.Intn(10); {
		case n < 2:
			w.now += 1 + w.rng.Int63n(w.pace.Tick/2)
			w.ticks()
		case n < 9:
			for range 10 {
				w.deliver()
			}
			w.write(v, len(v.writes))
			w.work(v)
		case w.acts(v):
			w.propose(v)
		}
		w.check()
		if w.broken != "" || len(w.told) > before+2 {
			return w.broken == ""
		}
	}
	return false
}

// guarded runs a walk and makes a breach of a panic of raft's.
func (w *world) walk(steps int) {
	defer func() {
		if r := recover(); r != nil {
			w.broken = fmt.Sprint("panic: ", r)
		}
	}()
	for range steps {
		if w.step(); w.broken != "" {
			return
		}
	}
}

// Guards against two that act for the council at once, against records that are lost, changed or out of order, against a
// leader that does not know what others recorded, and against a council that does not come back by itself.
func TestCouncilsInAnyOrder(t *testing.T) {
	acted, told, refused := 0, 0, 0
	for seed := range int64(120) {
		w := newWorld(seed, []int{3, 5, 3, 7, 1}[seed%5], sound)
		w.walk(6000)
		require.Empty(t, w.broken, "seed %d", seed)
		require.True(t, w.settle(), "seed %d: the council did not come back: %s", seed, w.broken)
		acted, told = acted+w.acted, told+len(w.told)
		for _, v := range w.voters {
			if v.seat.RefusalReason() != "" {
				refused++
			}
		}
	}
	t.Logf("somebody acted at %d steps of %d; %d records; %d voters with old disks refused", acted, 120*6000, told, refused)
	require.Greater(t, acted, 120*6000/20)
	require.Greater(t, refused, 3)
}

// The walk finds what is planted.
func TestCouncilsWithPlantedFaults(t *testing.T) {
	for name, p := range map[string]fault{"a tenure too long": longTenure, "votes just after a start": youngVoters,
		"sent before written": sendsFirst, "old disks accepted": oldDisks,
		"acting before knowing": staleReaders} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(3000) {
				w := newWorld(seed, 3, p)
				if w.walk(6000); w.broken != "" {
					t.Logf("found with seed %d: %s", seed, w.broken)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
