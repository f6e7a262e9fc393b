package server

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/council"
)

// diskWriter performs writes in order in its own goroutine, so that a slow disk delays no
// heartbeats and ticks. Writes that arrive during a disk write are combined into the next one.
type diskWriter struct {
	server *Server

	mu    sync.Mutex
	queue []*council.Write
	wake  chan struct{}
	done  chan struct{}
}

func newDiskWriter(server *Server) *diskWriter {
	return &diskWriter{server: server, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// add queues a write. It never blocks; raft's limits on uncommitted and in-flight entries bound the
// queue.
func (w *diskWriter) add(write *council.Write) {
	w.mu.Lock()
	w.queue = append(w.queue, write)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued writes.
func (w *diskWriter) takeAll() (writes []*council.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writes, w.queue = w.queue, nil
	return writes
}

// run performs queued writes until the server is done or a write fails.
func (w *diskWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.server.done:
			return
		case <-w.wake:
		}
		writes, start := w.takeAll(), time.Now()
		if len(writes) == 0 {
			continue
		}
		written, err := w.server.disk.write(writes)
		took := time.Since(start)
		if !written {
			took = 0
		}
		if w.server.enqueue(context.Background(), func() { w.server.completeWrites(writes, took, err) }) != nil || err != nil {
			return
		}
	}
}

const meanWindowWrites = 8 // inverse weight of the latest write in the moving average

// writeLatency tracks the duration of disk writes and whether the disk is slow.
type writeLatency struct {
	mean   time.Duration // exponentially weighted moving average
	isSlow bool
}

// observe records the duration of a write. A disk becomes slow when the mean exceeds the leader
// lease, and stops being slow when it drops to half of that.
func (l *writeLatency) observe(took time.Duration, timing council.Timing, log logrus.FieldLogger) {
	if l.mean == 0 {
		l.mean = took
	}
	l.mean += (took - l.mean) / meanWindowWrites
	lease := time.Duration(timing.LeaderLease())
	if isSlow := l.mean > lease || l.isSlow && l.mean > lease/2; isSlow != l.isSlow {
		l.isSlow = isSlow
		log.WithFields(logrus.Fields{"write_ms": l.mean.Milliseconds(), "tenure_ms": lease.Milliseconds()}).
			Warn(map[bool]string{true: "disk writes are slower than the leader lease", false: "disk writes are fast enough again"}[isSlow])
	}
}
