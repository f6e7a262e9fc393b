// Package briefing reads what a driver is told when it starts, the same from the simulator and from a file.
package briefing

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const micro = int64(1000)

// Parts are the name=value parts of one line. The first thing found wrong with them is kept in Err.
type Parts struct {
	Name  string
	Err   error
	parts []part
}

type part struct{ name, value string }

// Parse reads a line, or a report's parts, into p, which is used again for each line.
func (p *Parts) Parse(line, between, equals string) {
	p.Name, line, _ = strings.Cut(line, between)
	p.parts, p.Err = p.parts[:0], nil
	for more := line != ""; more; {
		var text string
		text, line, more = strings.Cut(line, between)
		name, value, ok := strings.Cut(text, equals)
		if !ok || name == "" {
			p.Wrong("part %q is not name%svalue", text, equals)
			continue
		}
		p.parts = append(p.parts, part{name, value})
	}
}

// Equal tells whether two say the same.
func Equal(a, b *Parts) bool { return slices.Equal(a.parts, b.parts) }

// Get finds a part; lines are short, so that a look along them beats a map.
func (p *Parts) Get(name string) (string, bool) {
	for _, part := range p.parts {
		if part.name == name {
			return part.value, true
		}
	}
	return "", false
}

// At gives a part, or nothing where it is absent.
func (p *Parts) At(name string) string {
	value, _ := p.Get(name)
	return value
}

// Wrong notes what is wrong, unless something was before.
func (p *Parts) Wrong(format string, args ...any) {
	if p.Err == nil {
		p.Err = fmt.Errorf("%s: %s", p.Name, fmt.Sprintf(format, args...))
	}
}

// Text gives a part that must be there.
func (p *Parts) Text(name string) string {
	value, ok := p.Get(name)
	if !ok {
		p.Wrong("%s is missing", name)
	}
	return value
}

// Integer reads a whole number that must be there.
func (p *Parts) Integer(name string) int64 {
	return p.AsInteger(name, p.Text(name))
}

func (p *Parts) AsInteger(name, value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil && p.Err == nil {
		p.Wrong("%s=%q is not a whole number", name, value)
	}
	return n
}

func (p *Parts) ID(name string) uint32 {
	n := p.Integer(name)
	if n < 0 || n > math.MaxUint32 {
		p.Wrong("%s=%d is out of range", name, n)
	}
	return uint32(n)
}

func (p *Parts) IntegerOr(name string, other int64) int64 {
	if value, ok := p.Get(name); ok {
		return p.AsInteger(name, value)
	}
	return other
}

func (p *Parts) NumberOr(name string, other float64) float64 {
	value, ok := p.Get(name)
	if !ok {
		return other
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.Wrong("%s=%q is not a number", name, value)
		return other
	}
	return x
}

func (p *Parts) BoolOr(name string, other bool) bool {
	switch value, ok := p.Get(name); {
	case !ok:
		return other
	case value == "1" || value == "true":
		return true
	case value == "0" || value == "false":
		return false
	default:
		p.Wrong("%s=%q is neither true nor false", name, value)
		return other
	}
}

// Time reads microseconds as nanoseconds, 0 when absent.
func (p *Parts) Time(name string) int64 {
	n := p.IntegerOr(name, 0)
	if n > math.MaxInt64/micro || n < math.MinInt64/micro {
		p.Wrong("%s=%d is out of range", name, n)
		return 0
	}
	return n * micro
}

// Seconds reads a decimal number of seconds as nanoseconds, exactly; what is finer is cut off. A float64 has not the digits for a Unix time.
func (p *Parts) Seconds(name string) int64 {
	const digits = 9
	text := p.Text(name)
	whole, fraction, _ := strings.Cut(text, ".")
	fraction = fraction[:min(len(fraction), digits)]
	n, err := strconv.ParseInt(whole+fraction+strings.Repeat("0", digits-len(fraction)), 10, 64)
	if err != nil || strings.ContainsAny(fraction, "+-") {
		return int64(p.NumberOr(name, 0) * 1e9) // of another form, or no number
	}
	return n
}

func (p *Parts) List(name string) []string {
	if p.At(name) == "" {
		return nil
	}
	return strings.Split(p.At(name), ",")
}

// Choice reads one of the words of a table.
func Choice[T any](p *Parts, name, value string, table map[string]T) T {
	got, ok := table[value]
	if !ok {
		p.Wrong("%s=%q is not known", name, value)
	}
	return got
}
