package protocol

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// Statement is what a client asks, with what its comment says.
type Statement struct {
	ID                string
	Method            string
	Key               string
	Write             bool
	TimeoutMillis     int64 // milliseconds that the client waits
	Group             int64
	MinPositionMillis int64 // position that the read must see, in milliseconds, 0 for none
	IsRetry           bool
	before            string // the text up to the value of d
	behind            string // the text after it
	entries           uint   // of the comment's names, those that came
}

var (
	errForm    = errors.New("the statement is neither of the two that are taken")
	errKey     = errors.New("the statement quotes no usable key")
	errContent = errors.New("the statement's content is not a value of at most 64 KiB")
	errComment = errors.New("the statement ends in no usable comment")
	errTwice   = errors.New("the comment has a name twice")
	errID      = errors.New("the comment has no usable id")
	errMethod  = errors.New("the comment has no usable c")
	errLeft    = errors.New("the comment has no usable d")
	errRepeat  = errors.New("the comment has no usable r")
	errGroup   = errors.New("the comment has no usable cluster")
	errAfter   = errors.New("the comment has no usable after")
)

const (
	mostMillis  = math.MaxInt64 / 4_000_000 // so that nanoseconds fit, and sums of them
	mostContent = 64 << 10
	mostName    = 256 // bytes of a key, an id or a method's name

	readHead  = "SELECT content FROM kv WHERE name = "
	writeHead = "INSERT INTO kv (name, content) VALUES ("
	writeTail = ") RETURNING content"
	hexDigits = "0123456789abcdefABCDEF"
)

// The names of the comment that must be there.
const (
	hasID uint = 1 << iota
	hasMethod
	hasLeft
	hasGroup
	hasRepeat
	hasAfter
)

// ParseStatement reads a statement, all of it: members must get none of another form.
func ParseStatement(text string) (s Statement, err error) {
	rest, err := s.command(text)
	if err != nil {
		return s, err
	}
	comment, ok := strings.CutPrefix(rest, " /* ")
	if ok {
		comment, ok = strings.CutSuffix(comment, " */")
	}
	if !ok || strings.ContainsAny(comment, "*/'\\\x00") {
		return s, errComment
	}
	for at, stop := len(text)-len(" */")-len(comment), len(text)-len(" */"); at < stop; {
		pair, _, _ := strings.Cut(text[at:stop], ",")
		if err := s.take(text, at, pair); err != nil {
			return s, err
		}
		at += len(pair) + 1
	}
	for _, need := range []struct {
		entry uint
		err   error
	}{{hasID, errID}, {hasMethod, errMethod}, {hasLeft, errLeft}, {hasGroup, errGroup}} {
		if s.entries&need.entry == 0 {
			return s, need.err
		}
	}
	return s, nil
}

// command reads what comes before the comment, and gives the rest.
func (s *Statement) command(text string) (rest string, err error) {
	if rest, s.Write = strings.CutPrefix(text, writeHead); !s.Write {
		var read bool
		if rest, read = strings.CutPrefix(text, readHead); !read {
			return "", errForm
		}
	}
	var ok bool
	if s.Key, rest, ok = quoted(rest); !ok || s.Key == "" || len(s.Key) > mostName {
		return "", errKey
	}
	if !s.Write {
		return rest, nil
	}
	if rest, ok = strings.CutPrefix(rest, ", '\\x"); !ok {
		return "", errContent
	}
	content, rest, ok := strings.Cut(rest, "'")
	if !ok || len(content)%2 != 0 || len(content) > 2*mostContent || strings.Trim(content, hexDigits) != "" {
		return "", errContent
	}
	if rest, ok = strings.CutPrefix(rest, writeTail); !ok {
		return "", errForm
	}
	return rest, nil
}

// quoted takes a quoted string off the front of a text; a doubled quote stands for one.
func quoted(text string) (value, rest string, ok bool) {
	rest, ok = strings.CutPrefix(text, "'")
	var parts strings.Builder
	for ok {
		var part string
		part, rest, ok = strings.Cut(rest, "'")
		parts.WriteString(part)
		if !strings.HasPrefix(rest, "'") {
			break
		}
		parts.WriteByte('\'')
		rest = rest[1:]
	}
	return parts.String(), rest, ok && strings.IndexByte(parts.String(), 0) < 0
}

// take takes in one name=value of the comment, which lies at an offset of the text. Unknown names pass.
func (s *Statement) take(text string, at int, pair string) (err error) {
	name, value, ok := strings.Cut(pair, "=")
	if !ok || name == "" || strings.ContainsAny(pair, " \t\r\n") {
		return errComment
	}
	var entry uint
	switch name {
	case "id":
		entry, s.ID, err = hasID, value, named(value, errID)
	case "c":
		entry, s.Method, err = hasMethod, value, named(value, errMethod)
	case "r":
		entry, s.IsRetry = hasRepeat, value == "1"
		if value != "0" && value != "1" {
			err = errRepeat
		}
	case "d":
		entry = hasLeft
		s.TimeoutMillis, err = millis(value, errLeft)
		from := at + len("d=")
		s.before, s.behind = text[:from], text[from+len(value):]
	case "cluster":
		entry = hasGroup
		s.Group, err = millis(value, errGroup)
	case "after":
		entry = hasAfter
		s.MinPositionMillis, err = millis(value, errAfter)
	}
	if err == nil && s.entries&entry != 0 {
		err = errTwice
	}
	s.entries |= entry
	return err
}

// named checks a name.
func named(text string, wrong error) error {
	if text == "" || len(text) > mostName {
		return wrong
	}
	return nil
}

// millis reads a number made of digits alone.
func millis(text string, wrong error) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n > mostMillis || strings.Trim(text, "0123456789") != "" {
		return 0, wrong
	}
	return n, nil
}

// WithTimeout is the statement as it came, in pieces, but for how long its sender waits, and with a fence if there is one.
func (s *Statement) WithTimeout(millis int64, fence Fence) []string {
	parts := []string{s.before, strconv.FormatInt(millis, 10), s.behind}
	if fence.Version == 0 {
		return parts
	}
	text, _ := strings.CutSuffix(s.behind, " */")
	parts[2] = text
	return append(parts, fenceHead, fence.text(), " */")
}

// Fence says under which version a driver made an attempt, and which are valid at the epoch that it knows of. The zero
// Fence is none.
type Fence struct {
	Version uint64
	Epoch   uint64
	Valid   []uint64
}

const fenceHead = ",fence="

// text is a fence in a statement's comment: version@epoch:valid+valid.
func (f Fence) text() string {
	text := strconv.AppendUint(nil, f.Version, 10)
	text = strconv.AppendUint(append(text, '@'), f.Epoch, 10)
	for i, n := range f.Valid {
		text = strconv.AppendUint(append(text, ":+"[min(i, 1)]), n, 10)
	}
	return string(text)
}

// mostValid is how many versions may be valid at once.
const mostValid = 8

// ParseFence reads a statement's fence: the last in its comment, which no client can put behind it. What can't be read is
// none.
func ParseFence(text string) (f Fence) {
	at := strings.LastIndex(text, fenceHead)
	if at < 0 {
		return Fence{}
	}
	text, _, _ = strings.Cut(text[at+len(fenceHead):], " ")
	version, rest, _ := strings.Cut(text, "@")
	epoch, valid, _ := strings.Cut(rest, ":")
	numbers := []string{version, epoch}
	if valid != "" {
		numbers = append(numbers, strings.SplitN(valid, "+", mostValid+1)...)
	}
	for i, digits := range numbers {
		n, err := strconv.ParseUint(digits, 10, 64)
		switch {
		case err != nil || i > mostValid+1:
			return Fence{}
		case i == 0:
			f.Version = n
		case i == 1:
			f.Epoch = n
		default:
			f.Valid = append(f.Valid, n)
		}
	}
	return f
}
