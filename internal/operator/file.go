// Package operator reads and validates the operator's configuration file, in protobuf text format with
// the schema of proto/operator.proto. Errors name the file, line and field.
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

// FileError is a syntax or validation error in an operator's file.
type FileError struct {
	Path   string
	Line   int    // 0 if unknown
	Field  string // empty if unknown
	Reason string
}

func (f *FileError) Error() string {
	prefix := f.Path
	if f.Line > 0 {
		prefix += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		prefix += ": " + f.Field
	}
	return prefix + ": " + f.Reason
}

// Config is a validated operator's file.
type Config struct {
	*operatorpb.Operator
	path  string
	lines lineIndex
}

const maxFileBytes = 64 << 20

// Read reads and validates the file at path. The error is a *FileError.
func Read(path string) (*Config, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = errors.New("file is larger than 64 MiB")
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

// Parse parses and validates the text of a file. The path only appears in errors.
func Parse(path string, text []byte) (*Config, error) {
	cfg := &Config{Operator: &operatorpb.Operator{}, path: path, lines: indexLines(text)}
	if err := prototext.Unmarshal(text, cfg.Operator); err != nil {
		return nil, cfg.parseError(err)
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// positionPattern matches the position in error messages of prototext.
var positionPattern = regexp.MustCompile(`\(line (\d+):(\d+)\): ?`)

// parseError converts an error of prototext into a FileError.
func (cfg *Config) parseError(err error) *FileError {
	text := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto: ")
	text = strings.Join(strings.Fields(strings.TrimPrefix(text, "syntax error ")), " ")
	fileError := &FileError{Path: cfg.path, Reason: text}
	if match := positionPattern.FindStringSubmatchIndex(text); match != nil {
		fileError.Line, _ = strconv.Atoi(text[match[2]:match[3]])
		fileError.Reason = text[:match[0]] + text[match[1]:]
		column, _ := strconv.Atoi(text[match[4]:match[5]])
		fileError.Field = cfg.lines.fieldAt(fileError.Line, column)
	}
	return fileError
}

// errorf returns a FileError for a field.
func (cfg *Config) errorf(field, format string, args ...any) error {
	return &FileError{Path: cfg.path, Line: cfg.lines.line(field), Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ErrorAt returns a FileError for a field of a file that was parsed but can't be used because of err.
func (cfg *Config) ErrorAt(field string, err error) error { return cfg.errorf(field, "%v", err) }

// lineIndex maps field paths, such as cells.cell[2].group, to lines of a file.
type lineIndex struct {
	lines        map[string]int
	fieldsByLine map[int][]fieldStart // fields that start on a line
}

type fieldStart struct {
	column int
	field  string
}

// indexLines returns the lines of all fields. The index is empty if text has a syntax error.
func indexLines(text []byte) lineIndex {
	l := lineIndex{lines: map[string]int{}, fieldsByLine: map[int][]fieldStart{}}
	nodes, err := parser.Parse(text)
	if err == nil {
		l.addNodes("", nodes)
	}
	return l
}

func (l lineIndex) addNodes(parent string, nodes []*ast.Node) {
	seen, total := map[string]int{}, map[string]int{}
	for _, node := range nodes {
		total[node.Name]++
	}
	for _, node := range nodes {
		if node.Name == "" {
			continue
		}
		path := parent + node.Name
		line := int(node.Start.Line) + len(node.PreComments)
		names := []string{fmt.Sprintf("%s[%d]", path, seen[node.Name])}
		switch seen[node.Name]++; {
		case total[node.Name] == 1: // the field may be repeated or not, so index both paths
			names = []string{path, names[0]}
		case seen[node.Name] == 1:
			names = append(names, path)
		}
		start := fieldStart{int(node.Start.Column), names[0]}
		if !slices.ContainsFunc(l.fieldsByLine[line], func(b fieldStart) bool { return b.column == start.column }) {
			l.fieldsByLine[line] = append(l.fieldsByLine[line], start)
		}
		for _, name := range names {
			l.lines[name] = line
			l.addNodes(name+".", node.Children)
		}
	}
}

// line returns the line of a field or of its closest ancestor in the file, or 0 if there is none.
func (l lineIndex) line(field string) int {
	for {
		if line, ok := l.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
}

// fieldAt returns the last field on a line that starts at or before a column.
func (l lineIndex) fieldAt(line, column int) (field string) {
	for _, start := range l.fieldsByLine[line] {
		if start.column <= column {
			field = start.field
		}
	}
	return field
}
