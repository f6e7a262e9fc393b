package ledger

import "math/bits"

// TimingWheel schedules expiries of small integer ids chosen by the caller. It is a hierarchical
// timing wheel (Varghese and Lauck 1987) of six levels with 64 slots each, where each slot is a
// linked list, so that operations take constant time. Ids due in the same tick are returned in the
// order in which they were set.
type TimingWheel struct {
	tick     int64
	now      int64 // in ticks
	heads    [levels][slots]int32
	tails    [levels][slots]int32
	occupied [levels]uint64 // bit set of non-empty slots
	dueTick  []int64        // by id
	next     []int32
	prev     []int32
	slotOf   []int16 // by id, notScheduled if none
	due      []int32
	count    int
}

const (
	levels       = 6
	slotBits     = 6
	slots        = 1 << slotBits
	none         = int32(-1)
	notScheduled = int16(-1)
	horizon      = int64(1)<<(levels*slotBits) - 1
	slotsMask    = slots - 1
)

// NewTimingWheel returns a wheel that starts at a time and has the resolution of a tick.
func NewTimingWheel(now, tick int64) *TimingWheel {
	w := &TimingWheel{tick: tick, now: now / tick}
	for l := range levels {
		for s := range slots {
			w.heads[l][s], w.tails[l][s] = none, none
		}
	}
	return w
}

// Count returns the number of scheduled ids.
func (w *TimingWheel) Count() int { return w.count }

// Set schedules an id, replacing an earlier schedule. It expires up to one tick late, never early.
func (w *TimingWheel) Set(id int32, at int64) {
	for int(id) >= len(w.dueTick) {
		w.dueTick, w.next, w.prev = append(w.dueTick, 0), append(w.next, none), append(w.prev, none)
		w.slotOf = append(w.slotOf, notScheduled)
	}
	w.Clear(id)
	ticks := (at + w.tick - 1) / w.tick
	w.dueTick[id] = min(max(ticks, w.now+1), w.now+horizon)
	w.count++
	w.insert(id)
}

// Clear cancels an id if it is scheduled.
func (w *TimingWheel) Clear(id int32) {
	if int(id) >= len(w.slotOf) || w.slotOf[id] == notScheduled {
		return
	}
	w.remove(id)
	w.count--
}

// insert adds an id to the slot of its due tick. The level is that of the highest bits in which it
// differs from now.
func (w *TimingWheel) insert(id int32) {
	level := 0
	if difference := uint64(w.dueTick[id] ^ w.now); difference > 0 {
		level = min((63-bits.LeadingZeros64(difference))/slotBits, levels-1)
	}
	slot := int(w.dueTick[id]>>(level*slotBits)) & slotsMask
	w.slotOf[id] = int16(level*slots + slot)
	w.next[id], w.prev[id] = none, w.tails[level][slot]
	if w.tails[level][slot] == none {
		w.heads[level][slot] = id
	} else {
		w.next[w.tails[level][slot]] = id
	}
	w.tails[level][slot] = id
	w.occupied[level] |= 1 << slot
}

func (w *TimingWheel) remove(id int32) {
	level, slot := int(w.slotOf[id])/slots, int(w.slotOf[id])%slots
	before, after := w.prev[id], w.next[id]
	if before == none {
		w.heads[level][slot] = after
	} else {
		w.next[before] = after
	}
	if after == none {
		w.tails[level][slot] = before
	} else {
		w.prev[after] = before
	}
	if w.heads[level][slot] == none {
		w.occupied[level] &^= 1 << slot
	}
	w.slotOf[id] = notScheduled
}

// Advance moves the time forward and returns the ids that are due. The result is valid until the
// next call.
func (w *TimingWheel) Advance(now int64) []int32 {
	w.due = w.due[:0]
	for to := now / w.tick; w.now < to; {
		w.now = w.nextTick(to)
		for level := levels - 1; level > 0; level-- { // move ids that are now near to a lower level
			if w.now&(1<<(level*slotBits)-1) == 0 {
				w.cascade(level, int(w.now>>(level*slotBits))&slotsMask)
			}
		}
		slot := int(w.now) & slotsMask
		for id := w.heads[0][slot]; id != none; id = w.heads[0][slot] {
			w.remove(id)
			w.count--
			w.due = append(w.due, id)
		}
	}
	return w.due
}

// nextTick returns the next tick that may need work, at most to.
func (w *TimingWheel) nextTick(to int64) int64 {
	if w.count == 0 {
		return to
	}
	if laterSlots := w.occupied[0] >> (uint(w.now) & slotsMask) >> 1; laterSlots != 0 {
		return min(to, w.now+1+int64(bits.TrailingZeros64(laterSlots)))
	}
	return min(to, (w.now|slotsMask)+1)
}

// cascade moves the ids of a slot to lower levels.
func (w *TimingWheel) cascade(level, slot int) {
	id := w.heads[level][slot]
	w.heads[level][slot], w.tails[level][slot] = none, none
	w.occupied[level] &^= 1 << slot
	for id != none {
		next := w.next[id]
		w.insert(id)
		id = next
	}
}
