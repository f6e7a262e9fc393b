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

// unheardReport is what a start said last of whom it does not hear.
type unheardReport struct {
	start   StartNumber
	unheard []string
}

// ReportUnheard takes in whom a start does not hear, in place of what it said before. What it says counts while its lease may hold; a
// start that listens to nobody says nothing.
func (r *Roster) ReportUnheard(name string, unheard []string) {
	if d := r.drivers[name]; d != nil {
		r.unheardReports[name] = unheardReport{d.Start, slices.Clone(unheard)}
	}
}

// Suspicions tells who is not heard by whom, by name. It is evidence: a driver that nobody hears may well serve clients, and its
// lease is waited for all the same.
func (r *Roster) Suspicions(now int64) (all []Suspicion) {
	var listeners []string
	for _, name := range slices.Sorted(maps.Keys(r.unheardReports)) {
		if d := r.drivers[name]; d != nil && d.Start == r.unheardReports[name].start && d.State == StatePresent && r.MayAct(now, name) {
			listeners = append(listeners, name)
		}
	}
	silentSince := map[string]int64{}
	for _, d := range r.Drivers() {
		suspicion := Suspicion{Name: d.Name, Start: d.Start}
		for _, listener := range listeners {
			if listener == d.Name {
				continue
			}
			suspicion.Listeners++
			if slices.Contains(r.unheardReports[listener].unheard, d.Name) {
				suspicion.Reporters = append(suspicion.Reporters, listener)
			}
		}
		if d.State != StatePresent || len(suspicion.Reporters) == 0 {
			continue
		}
		if suspicion.IsSilent = len(suspicion.Reporters) >= 2 && 2*len(suspicion.Reporters) > suspicion.Listeners; suspicion.IsSilent {
			if suspicion.SilentSince = r.silentSince[d.Name]; suspicion.SilentSince == 0 {
				suspicion.SilentSince = now
			}
			silentSince[d.Name] = suspicion.SilentSince
		}
		all = append(all, suspicion)
	}
	r.silentSince = silentSince
	return all
}
