// Package shelf keeps trails on a disk: parts as they came, a line each. A line that was cut off or changed is no part, and
// what comes after it still is.
package shelf

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"sedgespread/internal/audit"
)

// Store is a file of parts. What a process has written outlasts it; what the machine lost with its power is missed by the
// chain.
type Store struct {
	path  string
	file  *os.File
	bytes int64
	most  int64
}

const (
	mostLine = 32 << 20
	// MaxBytes is how long a file grows before it is written anew with what is still held.
	MaxBytes = 64 << 20
)

// Open opens a shelf that grows to so many bytes, and gives what stands on it and how many lines can't be read.
func Open(path string, most int64) (s *Store, parts []audit.Segment, spoilt int, err error) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, 0, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		var p audit.Segment
		if json.Unmarshal(lines.Bytes(), &p) != nil {
			spoilt++
			continue
		}
		parts = append(parts, p)
	}
	s = &Store{path: path, most: most, bytes: int64(len(text))}
	if s.file, err = os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return nil, nil, 0, err
	}
	if len(text) > 0 && text[len(text)-1] != '\n' { // the last line was cut off
		err = s.write([]byte("\n"))
	}
	return s, parts, spoilt, err
}

func (s *Store) write(text []byte) error {
	n, err := s.file.Write(text)
	s.bytes += int64(n)
	return err
}

// Append writes a part down.
func (s *Store) Append(p audit.Segment) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return s.write(append(text, '\n'))
}

// IsFull tells whether the file has grown so long that it is to be written anew.
func (s *Store) IsFull() bool { return s.bytes > s.most }

// Rewrite writes the file anew with what is still held, all of it or nothing.
func (s *Store) Rewrite(parts []audit.Segment) error {
	next, err := os.CreateTemp(filepath.Dir(s.path), "trails")
	if err != nil {
		return err
	}
	old := *s
	s.file, s.bytes = next, 0
	for _, p := range parts {
		if err = s.Append(p); err != nil {
			break
		}
	}
	if err == nil {
		err = os.Rename(next.Name(), s.path)
	}
	if err != nil {
		next.Close()
		os.Remove(next.Name())
		*s = old
		return fmt.Errorf("%s: not written anew: %w", s.path, err)
	}
	old.file.Close()
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return s.file.Close() }
