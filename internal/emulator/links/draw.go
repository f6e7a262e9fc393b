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
func Draw(seed uint64, span time.Duration, kinds []FaultSpec) (t Timeline) {
	for i, k := range kinds {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		gap := distuv.Exponential{Rate: 1 / k.MeanInterval.Seconds(), Src: rng}
		for at := seconds(gap.Rand()); at < span; at += seconds(gap.Rand()) {
			t = append(t, k.draw(rng, at)...)
		}
	}
	return t.sorted()
}

// draw draws one trouble, which is two events where both directions fail.
func (k *FaultSpec) draw(rng *rand.Rand, at time.Duration) []Event {
	e := Event{At: at.Truncate(time.Millisecond), Fault: k.Fault, Share: k.Share, Jitter: k.Jitter, Amount: k.Amount}
	if k.MaxAmount > k.Amount {
		e.Amount += float64(int(rng.Float64()*(k.MaxAmount-k.Amount)*1000)) / 1000
	}
	if k.Fault.lasts() {
		e.Duration = (k.MinDuration + time.Duration(rng.Float64()*float64(k.MaxDuration-k.MinDuration))).Truncate(time.Millisecond)
	}
	if !k.Fault.onLinks() {
		e.Process = k.Processes[rng.IntN(len(k.Processes))]
		return []Event{e}
	}
	e.Link = Link{k.From[rng.IntN(len(k.From))], k.To[rng.IntN(len(k.To))]}
	if e.Link.From == e.Link.To {
		e.Link.To = "*"
	}
	if !k.BothDirections {
		return []Event{e}
	}
	back := e
	back.Link = e.Link.Reverse()
	return []Event{e, back}
}
