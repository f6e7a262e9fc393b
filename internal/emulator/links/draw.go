package links

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// FaultSpec describes random faults of one type: how often they occur, where, for how long and how
// strongly.
type FaultSpec struct {
	Fault                    FaultType
	MeanInterval             time.Duration // between the starts of two faults
	From, To                 []string      // candidates for the ends of a link
	Processes                []string      // candidates for faults of processes
	BothDirections           bool          // affect both directions of a link
	MinDuration, MaxDuration time.Duration
	Amount, MaxAmount        float64
	Jitter, Share            float64
}

// Draw generates a timeline of the given length from a seed. Each spec is a Poisson process with
// its own random source, so that adding a spec does not change the events of the others.
func Draw(seed uint64, length time.Duration, specs []FaultSpec) (timeline Timeline) {
	for i, spec := range specs {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		interval := distuv.Exponential{Rate: 1 / spec.MeanInterval.Seconds(), Src: rng}
		for at := seconds(interval.Rand()); at < length; at += seconds(interval.Rand()) {
			timeline = append(timeline, spec.draw(rng, at)...)
		}
	}
	return timeline.sorted()
}

// draw generates one fault: one event, or two if both directions are affected.
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
