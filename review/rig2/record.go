// Package rig2 has the stand-ins of the second review: discovery, members and clients that follow the
// protocol page, and the driver as a process of its own. All addresses are loopback addresses.
package rig2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// OpenRecord opens the file that RECORD names.
func OpenRecord() (*Record, error) {
	file, err := os.OpenFile(os.Getenv("RECORD"), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, begun: time.Now()}, nil
}

// Printf writes a line with the time since the case began.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

// At returns a time as the record shows it.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.begun).Seconds()) }

// HasTrouble reports whether the case runs with its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)
