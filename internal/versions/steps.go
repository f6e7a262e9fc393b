package versions

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Say takes in what a driver's start says of all things.
func (l *Ledger) Say(who Sign, sightings []Sighting) {
	s := &saying{start: who.Start, sightings: make(map[Thing]Sighting, len(sightings))}
	for _, seen := range sightings {
		s.sightings[seen.Thing] = seen
	}
	l.said[who.Name] = s
}

// heard is what a driver's start said last, nil for nothing.
func (l *Ledger) heard(who Sign) *saying {
	if s := l.said[who.Name]; s != nil && s.start == who.Start {
		return s
	}
	return nil
}

// Orders are what a driver is told, of the things of which it does not follow the newest order; what it said stands in
// Say. A driver that is new is told of all.
func (l *Ledger) Orders(who Sign) (orders []Order) {
	s := l.heard(who)
	for _, t := range l.Things() {
		n := l.lines[t]
		v := n.last()
		seen := Sighting{}
		if s != nil {
			seen = s.sightings[t]
		}
		if seen.Epoch == v.Epoch && seen.Holds >= l.hold(n) {
			continue
		}
		o := Order{Thing: t, Epoch: v.Epoch, Act: l.act(n, who), Keep: v.keep(), Valid: v.valid(), Hold: l.hold(n)}
		if h := n.find(o.Hold); h != nil {
			o.Digest = h.Digest
			if seen.Holds != o.Hold {
				o.Text = h.Text
			}
		}
		if a := n.find(o.Act); a != nil && o.Act != o.Hold && seen.Acts != o.Act {
			o.Before = a.Text
		}
		orders = append(orders, o)
	}
	return orders
}

// keep is the version that a driver may still act on that does not act yet on what it is told to.
func (v *Version) keep() Number {
	switch {
	case v.Plan.Exclusive || v.Stage.over():
		return 0
	case v.Stage == Withdrawing:
		return v.Number
	}
	return v.Base
}

// hold is the version whose text all are to have.
func (l *Ledger) hold(n *line) Number {
	v := n.last()
	if v.Stage == Withdrawing || v.Stage == Withdrawn {
		return v.Base
	}
	return v.Number
}

// act is the version that a driver is to act on.
func (l *Ledger) act(n *line, who Sign) Number {
	switch v := n.last(); v.Stage {
	case Told, Withdrawing, Withdrawn:
		return v.Base
	case Trying:
		if slices.Contains(v.Tried, who) {
			return v.Number
		}
		return v.Base
	case Stopping:
		return 0
	default:
		return v.Number
	}
}

// Step proposes the next step of a version that is ready for one, or nothing. Whoever drives it calls again until nothing
// is proposed.
func (l *Ledger) Step(now int64, drivers []Present) []Record {
	for _, t := range l.Things() {
		v := l.lines[t].last()
		if v.Stage.over() {
			continue
		}
		if next, ready := l.step(now, v, drivers); ready {
			return []Record{next}
		}
	}
	return nil
}

// step is the step that a version is ready for: the table at Stage.
func (l *Ledger) step(now int64, v *Version, drivers []Present) (Record, bool) {
	if l.since[v.Thing].epoch != v.Epoch {
		l.since[v.Thing] = since{epoch: v.Epoch, at: now}
	}
	if v.Stage == Trying {
		return l.try(now, v, drivers)
	}
	basis, all := l.all(v, drivers)
	if !all {
		return Record{}, false
	}
	to := map[Stage]Stage{Told: Opening, Stopping: Opening, Opening: Closing, Closing: Closed, Withdrawing: Withdrawn}[v.Stage]
	tried := canaries(v, drivers)
	switch {
	case v.Stage == Told && v.Plan.Exclusive:
		to = Stopping
	case v.Stage == Told && len(tried) > 0:
		to = Trying
	}
	next := l.next(now, v, to, v.Why, &basis)
	if to == Trying {
		next.Version.Tried = tried
	}
	return next, true
}

// try sees how canaries fare.
func (l *Ledger) try(now int64, v *Version, drivers []Present) (Record, bool) {
	act := 0
	for _, c := range v.Tried {
		at := slices.IndexFunc(drivers, func(p Present) bool { return p.Sign == c })
		if at < 0 || !drivers[at].May {
			return l.next(now, v, Withdrawing, fmt.Sprintf("canary %s, start %d, has failed: its lease ran out or it started anew", c.Name,
				c.Start), nil), true
		}
		if drivers[at].Silent {
			return l.next(now, v, Withdrawing, fmt.Sprintf("canary %s, start %d, has failed: most of its fellows do not hear it", c.Name, c.Start),
				nil), true
		}
		seen, told := l.sighting(v, c)
		switch {
		case told && seen.Ill != "":
			return l.next(now, v, Withdrawing, fmt.Sprintf("canary %s can't act on it: %s", c.Name, seen.Ill), nil), true
		case told && seen.Acts == v.Number:
			act++
		}
	}
	if act < len(v.Tried) {
		return Record{}, false
	}
	s := l.since[v.Thing]
	if s.trial == nil {
		s.trial = &trial{began: now, look: 1, first: map[Sign]Fare{}}
		for _, d := range drivers {
			if seen, told := l.sighting(v, d.Sign); told {
				s.trial.first[d.Sign] = of(seen.Fares, v.Base)
			}
		}
		l.since[v.Thing] = s
	}
	over, against, judgement := l.watch(now, v, s.trial, drivers)
	switch {
	case against != "":
		return l.next(now, v, Withdrawing, against, nil), true
	case !over:
		return Record{}, false
	}
	next := l.next(now, v, Opening, v.Why, nil)
	next.Version.Judged = judgement
	return next, true
}

// canaries are the drivers that try a version first: a choice of its own for each version, the same whoever makes it. Those
// that vote come last: a version that ends its canaries must not end the council, which would have to call it off.
func canaries(v *Version, drivers []Present) (chosen []Sign) {
	if v.Plan.Canaries <= 0 {
		return nil
	}
	may := slices.DeleteFunc(slices.Clone(drivers), func(d Present) bool { return !d.May })
	score := func(s Sign) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", v.Thing, v.Number, s.Name)) }
	slices.SortFunc(may, func(a, b Present) int {
		if a.Votes != b.Votes {
			return map[bool]int{true: 1, false: -1}[a.Votes]
		}
		return cmp.Or(cmp.Compare(score(a.Sign), score(b.Sign)), cmp.Compare(a.Name, b.Name))
	})
	for _, d := range may[:int(math.Ceil(v.Plan.Canaries*float64(len(may))))] {
		chosen = append(chosen, d.Sign)
	}
	return chosen
}

// sighting is what a driver's start said of a version's thing since its last step.
func (l *Ledger) sighting(v *Version, who Sign) (Sighting, bool) {
	s := l.heard(who)
	if s == nil {
		return Sighting{}, false
	}
	seen, told := s.sightings[v.Thing]
	return seen, told && seen.Epoch == v.Epoch
}

// passes tells whether a driver has done its part of a version's stage.
func (l *Ledger) passes(v *Version, who Sign) bool {
	seen, told := l.sighting(v, who)
	if !told {
		return false
	}
	only := func(ok func(Number) bool) bool {
		return !slices.ContainsFunc(seen.Flight, func(n Number) bool { return !ok(n) })
	}
	switch v.Stage {
	case Told:
		return seen.Holds >= v.Number
	case Stopping:
		return seen.Acts == 0 && len(seen.Flight) == 0
	case Opening:
		return seen.Acts == v.Number
	case Closing:
		return seen.Acts == v.Number && only(func(n Number) bool { return n == v.Number })
	case Withdrawing:
		return seen.Acts == v.Base && only(func(n Number) bool { return n != v.Number })
	}
	return false
}

// all tells whether each driver that may act has done its part, and on whom that rests. One whose lease has run out acts on
// nothing until it has asked again, and then on what is told by then.
func (l *Ledger) all(v *Version, drivers []Present) (b Basis, all bool) {
	all = true
	for _, d := range drivers {
		switch {
		case !d.May:
			b.Waited = append(b.Waited, d.Sign)
		case l.passes(v, d.Sign):
			b.Said = append(b.Said, d.Sign)
		default:
			all = false
		}
	}
	return b, all
}

// Behind is a version that some hold back.
type Behind struct {
	Thing  Thing  `json:"Thing"`
	Number Number `json:"Number"`
	Stage  Stage  `json:"Stage"`
	For    int64  `json:"For"`  // nanoseconds since the stage began or this ledger took over
	Over   bool   `json:"Over"` // longer than the plan allows
	Who    []Sign `json:"Who"`
}

// Behind tells which drivers hold a version back.
func (l *Ledger) Behind(now int64, drivers []Present) (all []Behind) {
	for _, t := range l.Things() {
		v := l.lines[t].last()
		s := l.since[t]
		if v.Stage.over() || s.epoch != v.Epoch || v.Stage == Trying {
			continue
		}
		b := Behind{Thing: t, Number: v.Number, Stage: v.Stage, For: now - s.at}
		allowed := map[Stage]int64{Told: v.Plan.Tell, Closing: v.Plan.Close}[v.Stage]
		b.Over = b.For > cmp.Or(allowed, v.Plan.Adopt)
		for _, d := range drivers {
			if d.May && !l.passes(v, d.Sign) {
				b.Who = append(b.Who, d.Sign)
			}
		}
		if len(b.Who) > 0 {
			all = append(all, b)
		}
	}
	return all
}

// Said is what a driver's start said last.
func (l *Ledger) Said(who Sign) (all []Sighting) {
	s := l.heard(who)
	if s == nil {
		return nil
	}
	for _, t := range slices.Sorted(maps.Keys(s.sightings)) {
		all = append(all, s.sightings[t])
	}
	return all
}
