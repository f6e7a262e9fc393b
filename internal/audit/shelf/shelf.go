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
	path     string
	file     *os.File
	size     int64
	maxBytes int64
}

const (
	maxLineBytes = 32 << 20
	// MaxBytes is how long a file grows before it is written anew with what is still held.
	MaxBytes = 64 << 20
)

// Open opens a shelf that grows to so many bytes, and gives what stands on it and how many lines can't be read.
func Open(path string, maxBytes int64) (s *Store, segments []audit.Segment, unreadable int, err error) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, 0, err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var segment audit.Segment
		if json.Unmarshal(lines.Bytes(), &segment) != nil {
			unreadable++
			continue
		}
		segments = append(segments, segment)
	}
	s = &Store{path: path, maxBytes: maxBytes, size: int64(len(text))}
	if s.file, err = os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return nil, nil, 0, err
	}
	if len(text) > 0 && text[len(text)-1] != '\n' { // the last line was cut off
		err = s.write([]byte("\n"))
	}
	return s, segments, unreadable, err
}

func (s *Store) write(text []byte) error {
	n, err := s.file.Write(text)
	s.size += int64(n)
	return err
}

// Append writes a part down.
func (s *Store) Append(segment audit.Segment) error {
	text, err := json.Marshal(segment)
	if err != nil {
		return err
	}
	return s.write(append(text, '\n'))
}

// IsFull tells whether the file has grown so long that it is to be written anew.
func (s *Store) IsFull() bool { return s.size > s.maxBytes }

// Rewrite writes the file anew with what is still held, all of it or nothing.
func (s *Store) Rewrite(segments []audit.Segment) error {
	temporary, err := os.CreateTemp(filepath.Dir(s.path), "trails")
	if err != nil {
		return err
	}
	old := *s
	s.file, s.size = temporary, 0
	for _, segment := range segments {
		if err = s.Append(segment); err != nil {
			break
		}
	}
	if err == nil {
		err = os.Rename(temporary.Name(), s.path)
	}
	if err != nil {
		temporary.Close()
		os.Remove(temporary.Name())
		*s = old
		return fmt.Errorf("%s: not written anew: %w", s.path, err)
	}
	old.file.Close()
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return s.file.Close() }
