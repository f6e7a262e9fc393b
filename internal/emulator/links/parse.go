package links

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Parse parses a timeline of one event per line, as formatted by String. Comments start with #.
// Errors name the line.
func Parse(text string) (timeline Timeline, err error) {
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		e, err := parseEvent(fields)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		timeline = append(timeline, e)
	}
	return timeline.sorted(), nil
}

func parseEvent(fields []string) (e Event, err error) {
	if len(fields) < 3 {
		return e, errors.New("want a time, a fault and a link or process")
	}
	at, err := parseNumber(fields[0], "")
	if err != nil {
		return e, err
	}
	e.At = seconds(at)
	fault := slices.Index(faultNames[:], fields[1])
	if fault < 0 {
		return e, fmt.Errorf("unknown fault %q", fields[1])
	}
	e.Fault = FaultType(fault)
	from, to, isLink := strings.Cut(fields[2], ">")
	switch {
	case e.Fault.affectsLinks() && (!isLink || from == "" || to == ""):
		return e, fmt.Errorf("%q is not a link (want FROM>TO)", fields[2])
	case e.Fault.affectsLinks():
		e.Link = Link{from, to}
	case isLink:
		return e, fmt.Errorf("%v applies to a process, but %q is a link", e.Fault, fields[2])
	default:
		e.Process = fields[2]
	}
	return e, e.parseParameters(fields[3:])
}

// parseParameters parses pairs of a parameter name and a value.
func (e *Event) parseParameters(fields []string) (err error) {
	given := map[string]bool{}
	for ; len(fields) > 0; fields = fields[2:] {
		if len(fields) == 1 || given[fields[0]] {
			return fmt.Errorf("parameter %q has no value or is repeated", fields[0])
		}
		given[fields[0]] = true
		if err := e.parseParameter(fields[0], fields[1]); err != nil {
			return err
		}
	}
	for _, name := range e.requiredParameters() {
		if !given[name] {
			return fmt.Errorf("%v needs parameter %q with a number", e.Fault, name)
		}
	}
	return nil
}

// requiredParameters returns the names of the parameters that the fault must have.
func (e *Event) requiredParameters() (names []string) {
	switch e.Fault {
	case Delay, SkewClock:
		names = []string{"by"}
	case Throttle:
		names = []string{"to"}
	case Truncate:
		names = []string{"after"}
	case Lose, Duplicate, Reorder:
		names = []string{"share"}
	}
	if e.Fault.hasDuration() {
		names = append(names, "for")
	}
	return names
}

func (e *Event) parseParameter(name, text string) (err error) {
	if name != "spread" && !slices.Contains(e.requiredParameters(), name) || name == "spread" && e.Fault != Delay {
		return fmt.Errorf("%v has no parameter %q", e.Fault, name)
	}
	switch name {
	case "by":
		e.Amount, err = parseSigned(text)
	case "to":
		e.Amount, err = parseNumber(text, "B/s")
	case "after":
		e.Amount, err = parseNumber(text, "B")
	case "spread":
		e.Jitter, err = parseNumber(text, "s")
	case "share":
		if e.Share, err = parseNumber(text, ""); err == nil && e.Share > 1 {
			err = fmt.Errorf("share %v is greater than 1", e.Share)
		}
	case "for":
		var duration float64
		duration, err = parseNumber(text, "s")
		e.Duration = seconds(duration)
	}
	if err == nil && e.Fault == Delay && e.Amount < 0 {
		err = errors.New("delay is negative")
	}
	if err == nil && name == "to" && e.Amount == 0 {
		err = errors.New("rate of 0 bytes per second (use silent instead)")
	}
	return err
}

const maxSeconds = float64(24 * time.Hour / time.Second)

func parseNumber(text, unit string) (float64, error) {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text, unit), 64)
	if err != nil || !strings.HasSuffix(text, unit) || !(n >= 0) || math.IsInf(n, 0) || unit != "B/s" && n > maxSeconds {
		return 0, fmt.Errorf("%q is not a non-negative number with unit %q", text, unit)
	}
	return n, nil
}

func parseSigned(text string) (float64, error) {
	n, err := parseNumber(strings.TrimPrefix(text, "-"), "s")
	if strings.HasPrefix(text, "-") {
		n = -n
	}
	return n, err
}
