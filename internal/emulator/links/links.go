// Package links lets the links between processes fail on purpose, and the processes themselves: by a timeline that is drawn
// from a seed or read from a file, printed as it is played, and played again from what was printed. What is said about a
// link is decided in this package without I/O; package relays does it to bytes on loopback.
package links

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Link is one direction between two named processes. A star stands for any.
type Link struct{ From, To string }

func (w Link) String() string { return w.From + ">" + w.To }

// Reverse is the other direction.
func (w Link) Reverse() Link { return Link{w.To, w.From} }

// Matches tells whether a way, maybe with stars, is about another.
func (w Link) Matches(other Link) bool {
	return (w.From == "*" || w.From == other.From) && (w.To == "*" || w.To == other.To)
}

// FaultType is a kind of trouble.
type FaultType int

const (
	Delay       FaultType = iota // bytes and datagrams come later, by Amount and up to Spread more
	Silent                       // nothing arrives; what is sent meanwhile arrives afterwards, as it does when it is sent again
	Cut                          // connections end at once, and no new one is to be had
	Lose                         // a part of the datagrams is lost: Share
	Duplicate                    // a part of the datagrams arrives twice: Share
	Reorder                      // a part of the datagrams is overtaken by the next: Share
	Throttle                     // so many bytes a second: Amount
	Reset                        // connections are reset, once
	Truncate                     // Amount more bytes of each connection arrive, and then it is reset: a frame cut in the middle
	Pause                        // a process stands still
	Kill                         // a process is killed, and started again at the end, with its disk
	WipeDisk                     // the same, with an empty disk
	RestoreDisk                  // the same, with the copy of its disk made last
	CopyDisk                     // a copy of a process's disk is made
	Twin                         // a second process of its name runs
	SkewClock                    // a process is killed and started again with a wall clock that is off by Amount
)

var names = [...]string{"delay", "silent", "cut", "lossy", "doubled", "shuffled", "slow", "reset", "chop", "pause", "kill", "empty",
	"old", "copy", "twin", "skew"}

func (w FaultType) String() string { return names[w] }

// onLinks tells whether it happens to links; the others happen to processes.
func (w FaultType) onLinks() bool { return w <= Truncate }

// lasts tells whether it has an end.
func (w FaultType) lasts() bool { return w != Reset && w != Truncate && w != CopyDisk }

// Event is one trouble.
type Event struct {
	At       time.Duration // after the timeline's begin
	Fault    FaultType
	Link     Link   // of links
	Process  string // of a process
	Duration time.Duration
	Amount   float64 // seconds, bytes, or bytes a second
	Jitter   float64 // seconds
	Share    float64 // from 0 to 1
}

// String is the event as Parse reads it.
func (e Event) String() string {
	var b strings.Builder
	where := e.Process
	if e.Fault.onLinks() {
		where = e.Link.String()
	}
	fmt.Fprintf(&b, "%.3f %s %s", e.At.Seconds(), e.Fault, where)
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
	if e.Fault.lasts() {
		fmt.Fprintf(&b, " for %gs", e.Duration.Seconds())
	}
	return b.String()
}

// Timeline is troubles in the order in which they begin.
type Timeline []Event

// String is the timeline as Parse reads it, a line an event.
func (t Timeline) String() string {
	var b strings.Builder
	for _, e := range t {
		b.WriteString(e.String() + "\n")
	}
	return b.String()
}

// End is when the last trouble is over.
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

// ActiveFaults is what troubles links at a moment.
type ActiveFaults struct{ now []Event }

// Add lets a trouble of links begin.
func (w *ActiveFaults) Add(e Event) { w.now = append(w.now, e) }

// Remove ends it.
func (w *ActiveFaults) Remove(e Event) {
	if at := slices.Index(w.now, e); at >= 0 {
		w.now = slices.Delete(w.now, at, at+1)
	}
}

// LinkState is how a way is.
type LinkState struct {
	Delay, Jitter               time.Duration
	Silent, Cut                 bool
	Lost, Duplicated, Reordered float64
	BytesPerSecond              float64 // bytes a second, 0 for no limit
}

// StateOf is how a way is now: all troubles on it together.
func (w *ActiveFaults) StateOf(way Link) (s LinkState) {
	for _, e := range w.now {
		if !e.Link.Matches(way) {
			continue
		}
		switch e.Fault {
		case Delay:
			s.Delay += seconds(e.Amount)
			s.Jitter += seconds(e.Jitter)
		case Silent:
			s.Silent = true
		case Cut:
			s.Cut = true
		case Lose:
			s.Lost = either(s.Lost, e.Share)
		case Duplicate:
			s.Duplicated = either(s.Duplicated, e.Share)
		case Reorder:
			s.Reordered = either(s.Reordered, e.Share)
		case Throttle:
			if s.BytesPerSecond == 0 || e.Amount < s.BytesPerSecond {
				s.BytesPerSecond = e.Amount
			}
		}
	}
	return s
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

// either is the chance of at least one of two.
func either(a, b float64) float64 { return 1 - (1-a)*(1-b) }
