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

// Parse reads a timeline: a line an event, as String prints them, with comments after a #. The error names the line.
func Parse(text string) (t Timeline, err error) {
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		e, err := parseEvent(words)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		t = append(t, e)
	}
	return t.sorted(), nil
}

func parseEvent(words []string) (e Event, err error) {
	if len(words) < 3 {
		return e, errors.New("a time, a trouble and whom it befalls are needed")
	}
	at, err := number(words[0], "")
	if err != nil {
		return e, err
	}
	e.At = seconds(at)
	what := slices.Index(names[:], words[1])
	if what < 0 {
		return e, fmt.Errorf("there is no trouble %q", words[1])
	}
	e.Fault = FaultType(what)
	from, to, isWay := strings.Cut(words[2], ">")
	switch {
	case e.Fault.onLinks() && (!isWay || from == "" || to == ""):
		return e, fmt.Errorf("%q is not a way from one process to another", words[2])
	case e.Fault.onLinks():
		e.Link = Link{from, to}
	case isWay:
		return e, fmt.Errorf("%v befalls a process, and %q is a way", e.Fault, words[2])
	default:
		e.Process = words[2]
	}
	return e, e.figures(words[3:])
}

// figures reads what follows in pairs of a word and a number.
func (e *Event) figures(words []string) (err error) {
	given := map[string]bool{}
	for ; len(words) > 0; words = words[2:] {
		if len(words) == 1 || given[words[0]] {
			return fmt.Errorf("%q stands alone or twice", words[0])
		}
		given[words[0]] = true
		if err := e.figure(words[0], words[1]); err != nil {
			return err
		}
	}
	for _, need := range e.needs() {
		if !given[need] {
			return fmt.Errorf("%v needs %q and a number", e.Fault, need)
		}
	}
	return nil
}

// needs are the words that must follow.
func (e *Event) needs() (words []string) {
	switch e.Fault {
	case Delay, SkewClock:
		words = []string{"by"}
	case Throttle:
		words = []string{"to"}
	case Truncate:
		words = []string{"after"}
	case Lose, Duplicate, Reorder:
		words = []string{"share"}
	}
	if e.Fault.lasts() {
		words = append(words, "for")
	}
	return words
}

func (e *Event) figure(word, text string) (err error) {
	if word != "spread" && !slices.Contains(e.needs(), word) || word == "spread" && e.Fault != Delay {
		return fmt.Errorf("%v takes no %q", e.Fault, word)
	}
	switch word {
	case "by":
		e.Amount, err = signed(text)
	case "to":
		e.Amount, err = number(text, "B/s")
	case "after":
		e.Amount, err = number(text, "B")
	case "spread":
		e.Jitter, err = number(text, "s")
	case "share":
		if e.Share, err = number(text, ""); err == nil && e.Share > 1 {
			err = fmt.Errorf("a share of %v is more than all", e.Share)
		}
	case "for":
		var span float64
		span, err = number(text, "s")
		e.Duration = seconds(span)
	}
	if err == nil && e.Fault == Delay && e.Amount < 0 {
		err = errors.New("a delay can't be below 0")
	}
	if err == nil && word == "to" && e.Amount == 0 {
		err = errors.New("no bytes a second is silence")
	}
	return err
}

const longest = float64(24 * time.Hour / time.Second)

func number(text, unit string) (float64, error) {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text, unit), 64)
	if err != nil || !strings.HasSuffix(text, unit) || !(n >= 0) || math.IsInf(n, 0) || unit != "B/s" && n > longest {
		return 0, fmt.Errorf("%q is not a number from 0 on with %q", text, unit)
	}
	return n, nil
}

func signed(text string) (float64, error) {
	n, err := number(strings.TrimPrefix(text, "-"), "s")
	if strings.HasPrefix(text, "-") {
		n = -n
	}
	return n, err
}
