// Package trailstore stores audit trails in a file, a line of JSON for each segment. Lines that were cut
// off or damaged are skipped.
package trailstore

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

// Store is a file of segments. It is not synced: what a power failure loses shows as a gap in the
// trail.
type Store struct {
	path     string
	file     *os.File
	size     int64
	maxBytes int64
}

const (
	maxLineBytes = 32 << 20
	// MaxBytes is the size beyond which a file should be rewritten with the segments still held.
	MaxBytes = 64 << 20
)

// Open opens or creates a store. It returns the stored segments and the number of unreadable lines.
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

func (s *Store) write(line []byte) error {
	n, err := s.file.Write(line)
	s.size += int64(n)
	return err
}

// Append writes a segment.
func (s *Store) Append(segment audit.Segment) error {
	line, err := json.Marshal(segment)
	if err != nil {
		return err
	}
	return s.write(append(line, '\n'))
}

// IsFull reports whether the file should be rewritten.
func (s *Store) IsFull() bool { return s.size > s.maxBytes }

// Rewrite atomically replaces the contents of the file.
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
		return fmt.Errorf("%s: rewriting trails: %w", s.path, err)
	}
	old.file.Close()
	return nil
}

// Close closes the store.
func (s *Store) Close() error { return s.file.Close() }
