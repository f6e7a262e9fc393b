// Package briefing reads what a driver is told when it starts, the same from the simulator and from a file.
package briefing

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const nanosPerMicro = int64(1000)

// Fields are the name=value parts of one line. The first thing found wrong with them is kept in Err.
type Fields struct {
	Name   string
	Err    error
	fields []field
}

type field struct{ name, value string }

// Parse reads a line, or a report's parts, into p, which is used again for each line.
func (f *Fields) Parse(line, separator, assign string) {
	f.Name, line, _ = strings.Cut(line, separator)
	f.fields, f.Err = f.fields[:0], nil
	for hasMore := line != ""; hasMore; {
		var part string
		part, line, hasMore = strings.Cut(line, separator)
		name, value, ok := strings.Cut(part, assign)
		if !ok || name == "" {
			f.Fail("part %q is not name%svalue", part, assign)
			continue
		}
		f.fields = append(f.fields, field{name, value})
	}
}

// Equal tells whether two say the same.
func Equal(first, second *Fields) bool { return slices.Equal(first.fields, second.fields) }

// Get finds a part; lines are short, so that a look along them beats a map.
func (f *Fields) Get(name string) (string, bool) {
	for _, entry := range f.fields {
		if entry.name == name {
			return entry.value, true
		}
	}
	return "", false
}

// Value gives a part, or nothing where it is absent.
func (f *Fields) Value(name string) string {
	value, _ := f.Get(name)
	return value
}

// Fail notes what is wrong, unless something was before.
func (f *Fields) Fail(format string, args ...any) {
	if f.Err == nil {
		f.Err = fmt.Errorf("%s: %s", f.Name, fmt.Sprintf(format, args...))
	}
}

// RequiredString gives a part that must be there.
func (f *Fields) RequiredString(name string) string {
	value, ok := f.Get(name)
	if !ok {
		f.Fail("%s is missing", name)
	}
	return value
}

// RequiredInteger reads a whole number that must be there.
func (f *Fields) RequiredInteger(name string) int64 {
	return f.ParseInteger(name, f.RequiredString(name))
}

func (f *Fields) ParseInteger(name, value string) int64 {
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil && f.Err == nil {
		f.Fail("%s=%q is not a whole number", name, value)
	}
	return number
}

func (f *Fields) RequiredID(name string) uint32 {
	number := f.RequiredInteger(name)
	if number < 0 || number > math.MaxUint32 {
		f.Fail("%s=%d is out of range", name, number)
	}
	return uint32(number)
}

func (f *Fields) IntegerOr(name string, fallback int64) int64 {
	if value, ok := f.Get(name); ok {
		return f.ParseInteger(name, value)
	}
	return fallback
}

func (f *Fields) NumberOr(name string, fallback float64) float64 {
	value, ok := f.Get(name)
	if !ok {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.Fail("%s=%q is not a number", name, value)
		return fallback
	}
	return number
}

func (f *Fields) BoolOr(name string, fallback bool) bool {
	switch value, ok := f.Get(name); {
	case !ok:
		return fallback
	case value == "1" || value == "true":
		return true
	case value == "0" || value == "false":
		return false
	default:
		f.Fail("%s=%q is neither true nor false", name, value)
		return fallback
	}
}

// MicrosOrZero reads microseconds as nanoseconds, 0 when absent.
func (f *Fields) MicrosOrZero(name string) int64 {
	micros := f.IntegerOr(name, 0)
	if micros > math.MaxInt64/nanosPerMicro || micros < math.MinInt64/nanosPerMicro {
		f.Fail("%s=%d is out of range", name, micros)
		return 0
	}
	return micros * nanosPerMicro
}

// RequiredSeconds reads a decimal number of seconds as nanoseconds, exactly; what is finer is cut off. A float64 has not the digits for a Unix time.
func (f *Fields) RequiredSeconds(name string) int64 {
	const fractionDigits = 9
	text := f.RequiredString(name)
	whole, fraction, _ := strings.Cut(text, ".")
	fraction = fraction[:min(len(fraction), fractionDigits)]
	nanos, err := strconv.ParseInt(whole+fraction+strings.Repeat("0", fractionDigits-len(fraction)), 10, 64)
	if err != nil || strings.ContainsAny(fraction, "+-") {
		return int64(f.NumberOr(name, 0) * 1e9) // of another form, or no number
	}
	return nanos
}

func (f *Fields) List(name string) []string {
	if f.Value(name) == "" {
		return nil
	}
	return strings.Split(f.Value(name), ",")
}

// Lookup reads one of the words of a table.
func Lookup[T any](fields *Fields, name, value string, table map[string]T) T {
	found, ok := table[value]
	if !ok {
		fields.Fail("%s=%q is not known", name, value)
	}
	return found
}
