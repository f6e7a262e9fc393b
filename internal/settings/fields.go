// Package settings parses the settings that a driver starts with, which come from the simulator or from a
// file, and encodes the observations that drivers exchange.
package settings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const nanosPerMicro = int64(1000)

// Fields are the name=value fields of a line or an object. Err keeps the first error found in them.
type Fields struct {
	Name   string // of the line or object, for error messages
	Err    error
	fields []field
}

type field struct{ name, value string }

// Parse replaces the fields by those of a line, which starts with its name.
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

// Equal reports whether first and second have the same fields in the same order.
func Equal(first, second *Fields) bool { return slices.Equal(first.fields, second.fields) }

// Get returns the value of a field, if present. Lines are short, so a linear search suffices.
func (f *Fields) Get(name string) (string, bool) {
	for _, entry := range f.fields {
		if entry.name == name {
			return entry.value, true
		}
	}
	return "", false
}

// Value returns the value of a field, empty if absent.
func (f *Fields) Value(name string) string {
	value, _ := f.Get(name)
	return value
}

// Fail sets Err unless it is set already.
func (f *Fields) Fail(format string, args ...any) {
	if f.Err == nil {
		f.Err = fmt.Errorf("%s: %s", f.Name, fmt.Sprintf(format, args...))
	}
}

// RequiredString returns the value of a field that must be present.
func (f *Fields) RequiredString(name string) string {
	value, ok := f.Get(name)
	if !ok {
		f.Fail("%s is missing", name)
	}
	return value
}

// RequiredInteger parses a field that must be present.
func (f *Fields) RequiredInteger(name string) int64 {
	return f.ParseInteger(name, f.RequiredString(name))
}

// ParseInteger parses a value that belongs to the named field.
func (f *Fields) ParseInteger(name, value string) int64 {
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil && f.Err == nil {
		f.Fail("%s=%q is not a whole number", name, value)
	}
	return number
}

// RequiredID parses a field that must be present and hold a number of 32 bits.
func (f *Fields) RequiredID(name string) uint32 {
	number := f.RequiredInteger(name)
	if number < 0 || number > math.MaxUint32 {
		f.Fail("%s=%d is out of range", name, number)
	}
	return uint32(number)
}

// IntegerOr parses a field, or returns fallback if it is absent.
func (f *Fields) IntegerOr(name string, fallback int64) int64 {
	if value, ok := f.Get(name); ok {
		return f.ParseInteger(name, value)
	}
	return fallback
}

// NumberOr parses a finite decimal number, or returns fallback if the field is absent or invalid.
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

// BoolOr parses 0, 1, false or true, or returns fallback if the field is absent or invalid.
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

// MicrosOrZero parses microseconds and returns nanoseconds, 0 if the field is absent.
func (f *Fields) MicrosOrZero(name string) int64 {
	micros := f.IntegerOr(name, 0)
	if micros > math.MaxInt64/nanosPerMicro || micros < math.MinInt64/nanosPerMicro {
		f.Fail("%s=%d is out of range", name, micros)
		return 0
	}
	return micros * nanosPerMicro
}

// RequiredSeconds parses decimal seconds and returns nanoseconds, truncated. It avoids float64, which is
// too imprecise for a Unix time, unless the number has another form.
func (f *Fields) RequiredSeconds(name string) int64 {
	const fractionDigits = 9
	value := f.RequiredString(name)
	whole, fraction, _ := strings.Cut(value, ".")
	fraction = fraction[:min(len(fraction), fractionDigits)]
	nanos, err := strconv.ParseInt(whole+fraction+strings.Repeat("0", fractionDigits-len(fraction)), 10, 64)
	if err != nil || strings.ContainsAny(fraction, "+-") {
		return int64(f.NumberOr(name, 0) * 1e9) // an exponent, for example, or an invalid number
	}
	return nanos
}

// List returns the items of a field that is separated by commas.
func (f *Fields) List(name string) []string {
	if f.Value(name) == "" {
		return nil
	}
	return strings.Split(f.Value(name), ",")
}

// Lookup returns the table's entry for the value of the named field. An unknown value is an error.
func Lookup[T any](fields *Fields, name, value string, table map[string]T) T {
	found, ok := table[value]
	if !ok {
		fields.Fail("%s=%q is not known", name, value)
	}
	return found
}
