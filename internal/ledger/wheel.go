package ledger

import "math/bits"

// TimingWheel keeps what falls due at times, by places that its user gives out from 0. It is a hierarchical timing wheel
// (Varghese and Lauck 1987): six levels of 64 slots, each slot a list that runs through arrays by place, so that setting,
// moving and calling off cost the same however many wait. What is due in one tick comes in the order in which it was set.
type TimingWheel struct {
	tick  int64
	now   int64 // in ticks
	heads [levels][slots]int32
	tails [levels][slots]int32
	used  [levels]uint64 // which slots have anything
	at    []int64        // by place, in ticks
	next  []int32
	prev  []int32
	slot  []int16 // where a place hangs, off for nowhere
	due   []int32
	count int
}

const (
	levels    = 6
	slotBits  = 6
	slots     = 1 << slotBits
	none      = int32(-1)
	off       = int16(-1)
	horizon   = int64(1)<<(levels*slotBits) - 1
	slotsMask = slots - 1
)

// NewTimingWheel makes a wheel that starts at a time and tells times apart by a tick.
func NewTimingWheel(now, tick int64) *TimingWheel {
	w := &TimingWheel{tick: tick, now: now / tick}
	for l := range levels {
		for s := range slots {
			w.heads[l][s], w.tails[l][s] = none, none
		}
	}
	return w
}

// Count is how many places wait.
func (w *TimingWheel) Count() int { return w.count }

// Set lets a place fall due at a time, in place of when it was to before. It comes no sooner, and up to a tick later.
func (w *TimingWheel) Set(place int32, at int64) {
	for int(place) >= len(w.at) {
		w.at, w.next, w.prev = append(w.at, 0), append(w.next, none), append(w.prev, none)
		w.slot = append(w.slot, off)
	}
	w.Clear(place)
	ticks := (at + w.tick - 1) / w.tick
	w.at[place] = min(max(ticks, w.now+1), w.now+horizon)
	w.count++
	w.hang(place)
}

// Clear calls off what a place waits for, if it waits.
func (w *TimingWheel) Clear(place int32) {
	if int(place) >= len(w.slot) || w.slot[place] == off {
		return
	}
	w.unhang(place)
	w.count--
}

// hang puts a place into the slot of its time: the level is that of the highest bits in which it differs from now.
func (w *TimingWheel) hang(place int32) {
	level := 0
	if differ := uint64(w.at[place] ^ w.now); differ > 0 {
		level = min((63-bits.LeadingZeros64(differ))/slotBits, levels-1)
	}
	s := int(w.at[place]>>(level*slotBits)) & slotsMask
	w.slot[place] = int16(level*slots + s)
	w.next[place], w.prev[place] = none, w.tails[level][s]
	if w.tails[level][s] == none {
		w.heads[level][s] = place
	} else {
		w.next[w.tails[level][s]] = place
	}
	w.tails[level][s] = place
	w.used[level] |= 1 << s
}

func (w *TimingWheel) unhang(place int32) {
	level, s := int(w.slot[place])/slots, int(w.slot[place])%slots
	before, after := w.prev[place], w.next[place]
	if before == none {
		w.heads[level][s] = after
	} else {
		w.next[before] = after
	}
	if after == none {
		w.tails[level][s] = before
	} else {
		w.prev[after] = before
	}
	if w.heads[level][s] == none {
		w.used[level] &^= 1 << s
	}
	w.slot[place] = off
}

// Advance goes on to a time and gives the places that have fallen due, until the next call.
func (w *TimingWheel) Advance(now int64) []int32 {
	w.due = w.due[:0]
	for to := now / w.tick; w.now < to; {
		w.now = w.skip(to)
		for level := levels - 1; level > 0; level-- { // what has come near moves down
			if w.now&(1<<(level*slotBits)-1) == 0 {
				w.spill(level, int(w.now>>(level*slotBits))&slotsMask)
			}
		}
		s := int(w.now) & slotsMask
		for place := w.heads[0][s]; place != none; place = w.heads[0][s] {
			w.unhang(place)
			w.count--
			w.due = append(w.due, place)
		}
	}
	return w.due
}

// skip is the next tick at which anything may have to be done, or the last one asked for.
func (w *TimingWheel) skip(to int64) int64 {
	if w.count == 0 {
		return to
	}
	if later := w.used[0] >> (uint(w.now) & slotsMask) >> 1; later != 0 {
		return min(to, w.now+1+int64(bits.TrailingZeros64(later)))
	}
	return min(to, (w.now|slotsMask)+1)
}

// spill hangs what a slot has anew, lower down.
func (w *TimingWheel) spill(level, s int) {
	place := w.heads[level][s]
	w.heads[level][s], w.tails[level][s] = none, none
	w.used[level] &^= 1 << s
	for place != none {
		next := w.next[place]
		w.hang(place)
		place = next
	}
}
