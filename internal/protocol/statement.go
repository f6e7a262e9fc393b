package protocol

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// Statement is a client's statement with the fields of its trailing comment.
type Statement struct {
	ID                string
	Method            string
	Key               string
	Write             bool
	TimeoutMillis     int64 // how long the client waits
	Group             int64
	MinPositionMillis int64 // position that a read must have reached, 0 for none
	IsRetry           bool
	beforeTimeout     string // text before the value of the timeout
	afterTimeout      string // text after it
	seenNames         uint   // flags of the names found in the comment
}

// Errors of ParseStatement. Their texts are sent to clients.
var (
	errUnsupportedForm = errors.New("the statement is neither of the two that are taken")
	errInvalidKey      = errors.New("the statement quotes no usable key")
	errInvalidContent  = errors.New("the statement's content is not a value of at most 64 KiB")
	errInvalidComment  = errors.New("the statement ends in no usable comment")
	errManyNames       = errors.New("the comment has too many names")
	errDuplicateName   = errors.New("the comment has a name twice")
	errInvalidID       = errors.New("the comment has no usable id")
	errInvalidMethod   = errors.New("the comment has no usable c")
	errInvalidTimeout  = errors.New("the comment has no usable d")
	errInvalidRetry    = errors.New("the comment has no usable r")
	errInvalidGroup    = errors.New("the comment has no usable cluster")
	errInvalidPosition = errors.New("the comment has no usable after")
)

const (
	maxMillis       = math.MaxInt64 / 4_000_000 // so that sums of nanoseconds fit into 64 bits
	maxContentBytes = 64 << 10
	maxNameBytes    = 256 // of a key, an id or a method
	maxNames        = 100 // in a comment

	selectPrefix = "SELECT content FROM kv WHERE name = "
	insertPrefix = "INSERT INTO kv (name, content) VALUES ("
	insertSuffix = ") RETURNING content"
	hexDigits    = "0123456789abcdefABCDEF"
)

// Flags of the names that a comment may contain.
const (
	hasID uint = 1 << iota
	hasMethod
	hasTimeout
	hasGroup
	hasRetry
	hasPosition
)

// ParseStatement parses a complete statement and rejects any that members do not support.
func ParseStatement(text string) (s Statement, err error) {
	rest, err := s.parseCommand(text)
	if err != nil {
		return s, err
	}
	comment, ok := strings.CutPrefix(rest, " /* ")
	if ok {
		comment, ok = strings.CutSuffix(comment, " */")
	}
	if strings.Count(comment, ",") >= maxNames {
		return s, errManyNames
	}
	if !ok || strings.ContainsAny(comment, "*/'\\\x00") {
		return s, errInvalidComment
	}
	for offset, end := len(text)-len(" */")-len(comment), len(text)-len(" */"); offset < end; {
		pair, _, _ := strings.Cut(text[offset:end], ",")
		if err := s.parsePair(text, offset, pair); err != nil {
			return s, err
		}
		offset += len(pair) + 1
	}
	for _, required := range []struct {
		flag uint
		err  error
	}{{hasID, errInvalidID}, {hasMethod, errInvalidMethod}, {hasTimeout, errInvalidTimeout}, {hasGroup, errInvalidGroup}} {
		if s.seenNames&required.flag == 0 {
			return s, required.err
		}
	}
	return s, nil
}

// parseCommand parses the SQL before the comment and returns the rest.
func (s *Statement) parseCommand(text string) (rest string, err error) {
	if rest, s.Write = strings.CutPrefix(text, insertPrefix); !s.Write {
		var isRead bool
		if rest, isRead = strings.CutPrefix(text, selectPrefix); !isRead {
			return "", errUnsupportedForm
		}
	}
	var ok bool
	if s.Key, rest, ok = parseQuoted(rest); !ok || s.Key == "" || len(s.Key) > maxNameBytes {
		return "", errInvalidKey
	}
	if !s.Write {
		return rest, nil
	}
	if rest, ok = strings.CutPrefix(rest, ", '\\x"); !ok {
		return "", errInvalidContent
	}
	content, rest, ok := strings.Cut(rest, "'")
	if !ok || len(content)%2 != 0 || len(content) > 2*maxContentBytes || strings.Trim(content, hexDigits) != "" {
		return "", errInvalidContent
	}
	if rest, ok = strings.CutPrefix(rest, insertSuffix); !ok {
		return "", errUnsupportedForm
	}
	return rest, nil
}

// parseQuoted parses a quoted string, in which a doubled quote stands for one, and returns the rest.
func parseQuoted(text string) (value, rest string, ok bool) {
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

// parsePair parses a name=value pair of the comment at an offset of text. Unknown names are ignored.
func (s *Statement) parsePair(text string, offset int, pair string) (err error) {
	name, value, ok := strings.Cut(pair, "=")
	if !ok || name == "" || strings.ContainsAny(pair, " \t\r\n") {
		return errInvalidComment
	}
	var flag uint
	switch name {
	case "id":
		flag, s.ID, err = hasID, value, checkName(value, errInvalidID)
	case "c":
		flag, s.Method, err = hasMethod, value, checkName(value, errInvalidMethod)
	case "r":
		flag, s.IsRetry = hasRetry, value == "1"
		if value != "0" && value != "1" {
			err = errInvalidRetry
		}
	case "d":
		flag = hasTimeout
		s.TimeoutMillis, err = parseMillis(value, errInvalidTimeout)
		valueOffset := offset + len("d=")
		s.beforeTimeout, s.afterTimeout = text[:valueOffset], text[valueOffset+len(value):]
	case "cluster":
		flag = hasGroup
		s.Group, err = parseMillis(value, errInvalidGroup)
	case "after":
		flag = hasPosition
		s.MinPositionMillis, err = parseMillis(value, errInvalidPosition)
	}
	if err == nil && s.seenNames&flag != 0 {
		err = errDuplicateName
	}
	s.seenNames |= flag
	return err
}

// checkName returns invalid if a name is empty or too long.
func checkName(text string, invalid error) error {
	if text == "" || len(text) > maxNameBytes {
		return invalid
	}
	return nil
}

// parseMillis parses a number without sign, or returns invalid.
func parseMillis(text string, invalid error) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n > maxMillis || strings.Trim(text, "0123456789") != "" {
		return 0, invalid
	}
	return n, nil
}

// WithTimeout returns the statement in pieces, with its timeout replaced and the fence, if any,
// appended to its comment.
func (s *Statement) WithTimeout(millis int64, fence Fence) []string {
	parts := []string{s.beforeTimeout, strconv.FormatInt(millis, 10), s.afterTimeout}
	if fence.Version == 0 {
		return parts
	}
	text, _ := strings.CutSuffix(s.afterTimeout, " */")
	parts[2] = text
	return append(parts, fencePrefix, fence.encode(), " */")
}

// Fence is the version under which a driver made an attempt, and the versions valid at the epoch it
// knows. The zero Fence means none.
type Fence struct {
	Version uint64
	Epoch   uint64
	Valid   []uint64
}

const fencePrefix = ",fence="

// encode returns the fence as in a statement's comment: version@epoch:valid+valid.
func (f Fence) encode() string {
	text := strconv.AppendUint(nil, f.Version, 10)
	text = strconv.AppendUint(append(text, '@'), f.Epoch, 10)
	for i, n := range f.Valid {
		text = strconv.AppendUint(append(text, ":+"[min(i, 1)]), n, 10)
	}
	return string(text)
}

// maxValidVersions limits the number of versions that are valid at once.
const maxValidVersions = 8

// ParseFence parses the last fence of a statement's comment, which is the driver's, as it is appended
// behind any that a client sent. It returns the zero Fence if there is none or it is malformed.
func ParseFence(text string) (f Fence) {
	start := strings.LastIndex(text, fencePrefix)
	if start < 0 {
		return Fence{}
	}
	text, _, _ = strings.Cut(text[start+len(fencePrefix):], " ")
	version, rest, _ := strings.Cut(text, "@")
	epoch, valid, _ := strings.Cut(rest, ":")
	numbers := []string{version, epoch}
	if valid != "" {
		numbers = append(numbers, strings.SplitN(valid, "+", maxValidVersions+1)...)
	}
	for i, digits := range numbers {
		n, err := strconv.ParseUint(digits, 10, 64)
		switch {
		case err != nil || i > maxValidVersions+1:
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
