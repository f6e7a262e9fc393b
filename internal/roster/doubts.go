package roster

import (
	"maps"
	"slices"
)

// Suspicion is a driver that fellows do not hear, though its lease may hold.
type Suspicion struct {
	Name        string      `json:"name"`
	Start       StartNumber `json:"start"`
	Reporters   []string    `json:"by"`     // fellows that say so
	Listeners   int         `json:"of"`     // that would hear it
	IsSilent    bool        `json:"silent"` // more than half of them, and two at least, say so
	SilentSince int64       `json:"since"`  // that it was found silent, by the own clock; 0 for not
}

// hearing is what a start said last of whom it does not hear.
type hearing struct {
	start   StartNumber
	unheard []string
}

// ReportUnreachable takes in whom a start does not hear, in place of what it said before. What it says counts while its lease may hold; a
// start that listens to nobody says nothing.
func (r *Roster) ReportUnreachable(name string, unheard []string) {
	if d := r.drivers[name]; d != nil {
		r.hearings[name] = hearing{d.Start, slices.Clone(unheard)}
	}
}

// Suspicions tells who is not heard by whom, by name. It is evidence: a driver that nobody hears may well serve clients, and its
// lease is waited for all the same.
func (r *Roster) Suspicions(now int64) (all []Suspicion) {
	var listeners []string
	for _, name := range slices.Sorted(maps.Keys(r.hearings)) {
		if d := r.drivers[name]; d != nil && d.Start == r.hearings[name].start && d.State == StatePresent && r.MayAct(now, name) {
			listeners = append(listeners, name)
		}
	}
	silent := map[string]int64{}
	for _, d := range r.Drivers() {
		doubt := Suspicion{Name: d.Name, Start: d.Start}
		for _, by := range listeners {
			if by == d.Name {
				continue
			}
			doubt.Listeners++
			if slices.Contains(r.hearings[by].unheard, d.Name) {
				doubt.Reporters = append(doubt.Reporters, by)
			}
		}
		if d.State != StatePresent || len(doubt.Reporters) == 0 {
			continue
		}
		if doubt.IsSilent = len(doubt.Reporters) >= 2 && 2*len(doubt.Reporters) > doubt.Listeners; doubt.IsSilent {
			if doubt.SilentSince = r.silent[d.Name]; doubt.SilentSince == 0 {
				doubt.SilentSince = now
			}
			silent[d.Name] = doubt.SilentSince
		}
		all = append(all, doubt)
	}
	r.silent = silent
	return all
}
