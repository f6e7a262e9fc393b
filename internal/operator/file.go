// Package operator reads the operator's file: protobuf text format by the schema in proto/operator.proto. A file is
// taken whole or not at all, and what is wrong with it is told with its file, line and field.
package operator

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"sedgespread/proto/operatorpb"
)

// FileError is what is wrong with a file.
type FileError struct {
	Path   string
	Line   int    // 0 where it is not known
	Field  string // empty where it is not known
	Reason string
}

func (f *FileError) Error() string {
	where := f.Path
	if f.Line > 0 {
		where += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		where += ": " + f.Field
	}
	return where + ": " + f.Reason
}

// Config is what an operator's file says, checked.
type Config struct {
	*operatorpb.Operator
	path  string
	lines lines
}

const mostFile = 64 << 20

// Read reads and checks a file. The error is a *Fault.
func Read(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > mostFile {
		err = errors.New("the file is too long")
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &FileError{Path: path, Reason: err.Error()}
	}
	return Parse(path, text)
}

// Parse checks the text of a file.
func Parse(path string, text []byte) (*Config, error) {
	o := &Config{Operator: &operatorpb.Operator{}, path: path, lines: findLines(text)}
	if err := prototext.Unmarshal(text, o.Operator); err != nil {
		return nil, o.unreadable(err)
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	return o, nil
}

// position is how prototext says where it stopped.
var position = regexp.MustCompile(`\(line (\d+):(\d+)\): ?`)

// unreadable makes a fault of what prototext found.
func (o *Config) unreadable(err error) *FileError {
	text := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto: ")
	text = strings.Join(strings.Fields(strings.TrimPrefix(text, "syntax error ")), " ")
	f := &FileError{Path: o.path, Reason: text}
	if at := position.FindStringSubmatchIndex(text); at != nil {
		f.Line, _ = strconv.Atoi(text[at[2]:at[3]])
		f.Reason = text[:at[0]] + text[at[1]:]
		column, _ := strconv.Atoi(text[at[4]:at[5]])
		f.Field = o.lines.fieldAt(f.Line, column)
	}
	return f
}

// fault is what is wrong with a field.
func (o *Config) fault(field, format string, args ...any) error {
	return &FileError{Path: o.path, Line: o.lines.of(field), Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ErrorAt makes a fault of what somebody else finds wrong with a file that could be read.
func (o *Config) ErrorAt(field string, err error) error { return o.fault(field, "%v", err) }

// lines are the lines of a file's fields, by path, such as cells.cell[2].group.
type lines struct {
	at    map[string]int
	begun map[int][]begun // by line, the fields that begin there
}

type begun struct {
	column int
	field  string
}

// findLines finds the lines of all fields; none where the text can't be followed.
func findLines(text []byte) lines {
	l := lines{at: map[string]int{}, begun: map[int][]begun{}}
	nodes, err := parser.Parse(text)
	if err == nil {
		l.add("", nodes)
	}
	return l
}

func (l lines) add(above string, nodes []*ast.Node) {
	count, all := map[string]int{}, map[string]int{}
	for _, n := range nodes {
		all[n.Name]++
	}
	for _, n := range nodes {
		if n.Name == "" {
			continue
		}
		path := above + n.Name
		line := int(n.Start.Line) + len(n.PreComments)
		names := []string{fmt.Sprintf("%s[%d]", path, count[n.Name])}
		switch count[n.Name]++; {
		case all[n.Name] == 1: // whether it may stand more than once is not known here
			names = []string{path, names[0]}
		case count[n.Name] == 1:
			names = append(names, path)
		}
		at := begun{int(n.Start.Column), names[0]}
		if !slices.ContainsFunc(l.begun[line], func(b begun) bool { return b.column == at.column }) {
			l.begun[line] = append(l.begun[line], at)
		}
		for _, name := range names {
			l.at[name] = line
			l.add(name+".", n.Children)
		}
	}
}

// of is the line of a field, or of the nearest field above it that the file has.
func (l lines) of(field string) int {
	for {
		if line, known := l.at[field]; known {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
}

// fieldAt is the last field of a line that begins at a column or before it.
func (l lines) fieldAt(line, column int) (field string) {
	for _, b := range l.begun[line] {
		if b.column <= column {
			field = b.field
		}
	}
	return field
}
