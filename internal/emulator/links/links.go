// Package links describes faults of the links between processes and of the processes themselves as
// a timeline of events. A timeline is generated from a seed or parsed from text; its text form can
// be parsed and played again. The package does no I/O; package relays applies the faults to
// connections on loopback.
package links

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Link is one direction between two named processes. An asterisk matches any process.
type Link struct{ From, To string }

// String returns the link in the notation of timelines, FROM>TO.
func (l Link) String() string { return l.From + ">" + l.To }

// Reverse returns the other direction.
func (l Link) Reverse() Link { return Link{l.To, l.From} }

// Matches reports whether a link, which may have asterisks, includes another.
func (l Link) Matches(other Link) bool {
	return (l.From == "*" || l.From == other.From) && (l.To == "*" || l.To == other.To)
}

// FaultType is a kind of fault.
type FaultType int

const (
	Delay       FaultType = iota // data is delayed by Amount, plus a random time up to Jitter
	Silent                       // data is held and delivered when the fault ends, as if retransmitted; datagrams are lost
	Cut                          // connections are reset and new ones refused
	Lose                         // a Share of the datagrams is lost
	Duplicate                    // a Share of the datagrams is duplicated
	Reorder                      // a Share of the datagrams is overtaken by later ones
	Throttle                     // throughput is limited to Amount bytes per second
	Reset                        // connections are reset once
	Truncate                     // connections are reset after Amount more bytes, as in the middle of a frame
	Pause                        // a process is paused
	Kill                         // a process is killed and restarted with its disk when the fault ends
	WipeDisk                     // like Kill, with an empty disk
	RestoreDisk                  // like Kill, with the last copy of its disk
	CopyDisk                     // the disk of a process is copied
	Twin                         // a second process of the same name runs
	SkewClock                    // a process is killed and restarted with a wall clock offset of Amount
)

var faultNames = [...]string{"delay", "silent", "cut", "lossy", "doubled", "shuffled", "slow", "reset", "chop", "pause", "kill", "empty",
	"old", "copy", "twin", "skew"}

// String returns the name of the fault in the notation of timelines.
func (f FaultType) String() string { return faultNames[f] }

// affectsLinks reports whether the fault applies to links; the others apply to processes.
func (f FaultType) affectsLinks() bool { return f <= Truncate }

// hasDuration reports whether the fault has an end.
func (f FaultType) hasDuration() bool { return f != Reset && f != Truncate && f != CopyDisk }

// Event is one fault of a timeline.
type Event struct {
	At       time.Duration // since the start of the timeline
	Fault    FaultType
	Link     Link   // for faults of links
	Process  string // for faults of processes
	Duration time.Duration
	Amount   float64 // seconds, bytes, or bytes per second
	Jitter   float64 // seconds
	Share    float64 // from 0 to 1
}

// String formats the event for Parse.
func (e Event) String() string {
	var b strings.Builder
	target := e.Process
	if e.Fault.affectsLinks() {
		target = e.Link.String()
	}
	fmt.Fprintf(&b, "%.3f %s %s", e.At.Seconds(), e.Fault, target)
	switch e.Fault {
	case Delay:
		fmt.Fprintf(&b, " by %gs", e.Amount)
		if e.Jitter > 0 {
			fmt.Fprintf(&b, " spread %gs", e.Jitter)
		}
	case Throttle:
		fmt.Fprintf(&b, " to %gB/s", e.Amount)
	case Truncate:
		fmt.Fprintf(&b, " after %gB", e.Amount)
	case SkewClock:
		fmt.Fprintf(&b, " by %gs", e.Amount)
	case Lose, Duplicate, Reorder:
		fmt.Fprintf(&b, " share %g", e.Share)
	}
	if e.Fault.hasDuration() {
		fmt.Fprintf(&b, " for %gs", e.Duration.Seconds())
	}
	return b.String()
}

// Timeline is a list of events ordered by start.
type Timeline []Event

// String formats the timeline for Parse, one event per line.
func (t Timeline) String() string {
	var b strings.Builder
	for _, e := range t {
		b.WriteString(e.String() + "\n")
	}
	return b.String()
}

// End returns the time at which the last fault ends.
func (t Timeline) End() (end time.Duration) {
	for _, e := range t {
		end = max(end, e.At+e.Duration)
	}
	return end
}

func (t Timeline) sorted() Timeline {
	slices.SortStableFunc(t, func(a, b Event) int { return int(a.At - b.At) })
	return t
}

// ActiveFaults are the faults of links that are in effect.
type ActiveFaults struct{ events []Event }

// Add puts a fault into effect.
func (f *ActiveFaults) Add(e Event) { f.events = append(f.events, e) }

// Remove ends a fault.
func (f *ActiveFaults) Remove(e Event) {
	if i := slices.Index(f.events, e); i >= 0 {
		f.events = slices.Delete(f.events, i, i+1)
	}
}

// LinkState is the combined effect of the active faults on one link.
type LinkState struct {
	Delay, Jitter               time.Duration
	Silent, Cut                 bool
	Lost, Duplicated, Reordered float64
	BytesPerSecond              float64 // 0 for no limit
}

// StateOf returns the combined effect of all active faults on a link.
func (f *ActiveFaults) StateOf(link Link) (state LinkState) {
	for _, e := range f.events {
		if !e.Link.Matches(link) {
			continue
		}
		switch e.Fault {
		case Delay:
			state.Delay += seconds(e.Amount)
			state.Jitter += seconds(e.Jitter)
		case Silent:
			state.Silent = true
		case Cut:
			state.Cut = true
		case Lose:
			state.Lost = combinedProbability(state.Lost, e.Share)
		case Duplicate:
			state.Duplicated = combinedProbability(state.Duplicated, e.Share)
		case Reorder:
			state.Reordered = combinedProbability(state.Reordered, e.Share)
		case Throttle:
			if state.BytesPerSecond == 0 || e.Amount < state.BytesPerSecond {
				state.BytesPerSecond = e.Amount
			}
		}
	}
	return state
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

// combinedProbability returns the probability that at least one of two independent events happens.
func combinedProbability(a, b float64) float64 { return 1 - (1-a)*(1-b) }
