package links

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// FaultSpec is a trouble to be drawn: whom it may befall, how often in the mean, and how long and how much.
type FaultSpec struct {
	Fault                    FaultType
	MeanInterval             time.Duration // between two of it, in the mean
	From, To                 []string      // of links
	Processes                []string      // of processes
	BothDirections           bool          // a link fails in both directions
	MinDuration, MaxDuration time.Duration // it lasts
	Amount, MaxAmount        float64
	Jitter, Share            float64
}

// Draw draws a timeline of so long from a seed: each kind's troubles as a Poisson process of its own, so that one more kind
// leaves the others' where they were.
func Draw(seed uint64, span time.Duration, specs []FaultSpec) (timeline Timeline) {
	for i, spec := range specs {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		interval := distuv.Exponential{Rate: 1 / spec.MeanInterval.Seconds(), Src: rng}
		for at := seconds(interval.Rand()); at < span; at += seconds(interval.Rand()) {
			timeline = append(timeline, spec.draw(rng, at)...)
		}
	}
	return timeline.sorted()
}

// draw draws one trouble, which is two events where both directions fail.
func (s *FaultSpec) draw(rng *rand.Rand, at time.Duration) []Event {
	e := Event{At: at.Truncate(time.Millisecond), Fault: s.Fault, Share: s.Share, Jitter: s.Jitter, Amount: s.Amount}
	if s.MaxAmount > s.Amount {
		e.Amount += float64(int(rng.Float64()*(s.MaxAmount-s.Amount)*1000)) / 1000
	}
	if s.Fault.hasDuration() {
		e.Duration = (s.MinDuration + time.Duration(rng.Float64()*float64(s.MaxDuration-s.MinDuration))).Truncate(time.Millisecond)
	}
	if !s.Fault.affectsLinks() {
		e.Process = s.Processes[rng.IntN(len(s.Processes))]
		return []Event{e}
	}
	e.Link = Link{s.From[rng.IntN(len(s.From))], s.To[rng.IntN(len(s.To))]}
	if e.Link.From == e.Link.To {
		e.Link.To = "*"
	}
	if !s.BothDirections {
		return []Event{e}
	}
	reverse := e
	reverse.Link = e.Link.Reverse()
	return []Event{e, reverse}
}
