package protocol

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// Statement is what a client asks, with what its comment says.
type Statement struct {
	ID      string
	Method  string
	Key     string
	Left    int64 // milliseconds that the client waits
	Group   int64
	After   int64 // position that the read must see, in milliseconds, 0 for none
	Repeat  bool
	before  string // the text up to the value of d
	behind  string // the text after it
	hasLeft bool
}

var (
	errNoComment = errors.New("the statement ends in no comment")
	errNoKey     = errors.New("the statement quotes no key")
	errNoID      = errors.New("the comment has no usable id")
	errNoMethod  = errors.New("the comment has no usable c")
	errNoLeft    = errors.New("the comment has no usable d")
	errNoGroup   = errors.New("the comment has no usable cluster")
	errNoAfter   = errors.New("the comment has no usable after")
)

const mostMillis = math.MaxInt64 / 4_000_000 // so that nanoseconds fit, and sums of them

// ParseStatement reads a statement.
func ParseStatement(text string) (s Statement, err error) {
	end := strings.TrimRight(text, " \t\r\n;")
	open := strings.LastIndex(end, "/*")
	if open < 0 || !strings.HasSuffix(end[open+2:], "*/") {
		return s, errNoComment
	}
	var ok bool
	if s.Key, ok = firstQuoted(text[:open]); !ok {
		return s, errNoKey
	}
	for at, stop := open+2, len(end)-2; at < stop; {
		pair, _, _ := strings.Cut(text[at:stop], ",")
		if err := s.take(text, at, pair); err != nil {
			return s, err
		}
		at += len(pair) + 1
	}
	switch {
	case s.ID == "":
		return s, errNoID
	case s.Method == "":
		return s, errNoMethod
	case !s.hasLeft:
		return s, errNoLeft
	}
	return s, nil
}

// take takes in one name=value of the comment, which lies at an offset of the text. Unknown names pass.
func (s *Statement) take(text string, at int, pair string) error {
	name, value, _ := strings.Cut(pair, "=")
	from := at + len(name) + 1
	from += len(value) - len(strings.TrimLeft(value, " "))
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	var ok bool
	switch name {
	case "id":
		s.ID = value
	case "c":
		s.Method = value
	case "r":
		s.Repeat = value == "1"
	case "d":
		if s.Left, ok = millis(value); !ok || s.hasLeft {
			return errNoLeft
		}
		s.before, s.behind, s.hasLeft = text[:from], text[from+len(value):], true
	case "cluster":
		if s.Group, ok = millis(value); !ok {
			return errNoGroup
		}
	case "after":
		if s.After, ok = millis(value); !ok {
			return errNoAfter
		}
	}
	return nil
}

func millis(text string) (int64, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil && n >= 0 && n <= mostMillis
}

// firstQuoted gives the first quoted string; a doubled quote stands for one.
func firstQuoted(text string) (string, bool) {
	_, rest, ok := strings.Cut(text, "'")
	var key strings.Builder
	for ok {
		var part string
		part, rest, ok = strings.Cut(rest, "'")
		key.WriteString(part)
		if !strings.HasPrefix(rest, "'") {
			break
		}
		key.WriteByte('\'')
		rest = rest[1:]
	}
	return key.String(), ok
}

// Within is the statement as it came, in pieces, but for how long its sender waits.
func (s *Statement) Within(millis int64) []string {
	return []string{s.before, strconv.FormatInt(millis, 10), s.behind}
}
