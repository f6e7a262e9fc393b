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

// Fields are the name=value parts of one line. The first thing found wrong with them is kept in Err.
type Fields struct {
	Name  string
	Err   error
	parts []part
}

type part struct{ name, value string }

// Parse reads a line, or a report's parts, into p, which is used again for each line.
func (p *Fields) Parse(line, between, equals string) {
	p.Name, line, _ = strings.Cut(line, between)
	p.parts, p.Err = p.parts[:0], nil
	for more := line != ""; more; {
		var text string
		text, line, more = strings.Cut(line, between)
		name, value, ok := strings.Cut(text, equals)
		if !ok || name == "" {
			p.Fail("part %q is not name%svalue", text, equals)
			continue
		}
		p.parts = append(p.parts, part{name, value})
	}
}

// Equal tells whether two say the same.
func Equal(a, b *Fields) bool { return slices.Equal(a.parts, b.parts) }

// Get finds a part; lines are short, so that a look along them beats a map.
func (p *Fields) Get(name string) (string, bool) {
	for _, part := range p.parts {
		if part.name == name {
			return part.value, true
		}
	}
	return "", false
}

// Value gives a part, or nothing where it is absent.
func (p *Fields) Value(name string) string {
	value, _ := p.Get(name)
	return value
}

// Fail notes what is wrong, unless something was before.
func (p *Fields) Fail(format string, args ...any) {
	if p.Err == nil {
		p.Err = fmt.Errorf("%s: %s", p.Name, fmt.Sprintf(format, args...))
	}
}

// RequiredString gives a part that must be there.
func (p *Fields) RequiredString(name string) string {
	value, ok := p.Get(name)
	if !ok {
		p.Fail("%s is missing", name)
	}
	return value
}

// RequiredInteger reads a whole number that must be there.
func (p *Fields) RequiredInteger(name string) int64 {
	return p.ParseInteger(name, p.RequiredString(name))
}

func (p *Fields) ParseInteger(name, value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil && p.Err == nil {
		p.Fail("%s=%q is not a whole number", name, value)
	}
	return n
}

func (p *Fields) RequiredID(name string) uint32 {
	n := p.RequiredInteger(name)
	if n < 0 || n > math.MaxUint32 {
		p.Fail("%s=%d is out of range", name, n)
	}
	return uint32(n)
}

func (p *Fields) IntegerOr(name string, other int64) int64 {
	if value, ok := p.Get(name); ok {
		return p.ParseInteger(name, value)
	}
	return other
}

func (p *Fields) NumberOr(name string, other float64) float64 {
	value, ok := p.Get(name)
	if !ok {
		return other
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.Fail("%s=%q is not a number", name, value)
		return other
	}
	return x
}

func (p *Fields) BoolOr(name string, other bool) bool {
	switch value, ok := p.Get(name); {
	case !ok:
		return other
	case value == "1" || value == "true":
		return true
	case value == "0" || value == "false":
		return false
	default:
		p.Fail("%s=%q is neither true nor false", name, value)
		return other
	}
}

// MicrosOrZero reads microseconds as nanoseconds, 0 when absent.
func (p *Fields) MicrosOrZero(name string) int64 {
	n := p.IntegerOr(name, 0)
	if n > math.MaxInt64/micro || n < math.MinInt64/micro {
		p.Fail("%s=%d is out of range", name, n)
		return 0
	}
	return n * micro
}

// RequiredSeconds reads a decimal number of seconds as nanoseconds, exactly; what is finer is cut off. A float64 has not the digits for a Unix time.
func (p *Fields) RequiredSeconds(name string) int64 {
	const digits = 9
	text := p.RequiredString(name)
	whole, fraction, _ := strings.Cut(text, ".")
	fraction = fraction[:min(len(fraction), digits)]
	n, err := strconv.ParseInt(whole+fraction+strings.Repeat("0", digits-len(fraction)), 10, 64)
	if err != nil || strings.ContainsAny(fraction, "+-") {
		return int64(p.NumberOr(name, 0) * 1e9) // of another form, or no number
	}
	return n
}

func (p *Fields) List(name string) []string {
	if p.Value(name) == "" {
		return nil
	}
	return strings.Split(p.Value(name), ",")
}

// Lookup reads one of the words of a table.
func Lookup[T any](p *Fields, name, value string, table map[string]T) T {
	got, ok := table[value]
	if !ok {
		p.Fail("%s=%q is not known", name, value)
	}
	return got
}
