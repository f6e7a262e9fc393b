package chamber

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/council"
)

// scribe writes down what a seat asks for, in order and away from Run, so that a disk that takes long holds up no heartbeat
// and no tick. What has gathered during one write goes into the next as one.
type scribe struct {
	c *Server

	mu    sync.Mutex
	queue []*council.Write
	wake  chan struct{}
	over  chan struct{}
}

func newScribe(c *Server) *scribe {
	return &scribe{c: c, wake: make(chan struct{}, 1), over: make(chan struct{})}
}

// add takes a write to be written. It never waits; raft bounds what can gather (maxUncommitted, maxInflight).
func (s *scribe) add(w *council.Write) {
	s.mu.Lock()
	s.queue = append(s.queue, w)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *scribe) take() (writes []*council.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes, s.queue = s.queue, nil
	return writes
}

// run writes until the chamber is over, or the disk takes nothing more.
func (s *scribe) run() {
	defer close(s.over)
	for {
		select {
		case <-s.c.over:
			return
		case <-s.wake:
		}
		writes, begun := s.take(), time.Now()
		if len(writes) == 0 {
			continue
		}
		any, err := s.c.disk.write(writes)
		took := time.Since(begun)
		if !any {
			took = 0
		}
		if s.c.do(context.Background(), func() { s.c.written(writes, took, err) }) != nil || err != nil {
			return
		}
	}
}

// pen is how long the disk takes, and whether that is known to be slow.
type pen struct {
	usual time.Duration // a mean that forgets
	slow  bool
}

// noted takes in how long a write took. A disk is slow once writes take as long as a tenure in the mean, and no longer once
// they take half of it: then each record takes longer than a leader could act without others' word.
func (p *pen) noted(took time.Duration, pace council.Timing, log logrus.FieldLogger) {
	if p.usual == 0 {
		p.usual = took
	}
	p.usual += (took - p.usual) / 8
	tenure := time.Duration(pace.LeaderLease())
	if slow := p.usual > tenure || p.slow && p.usual > tenure/2; slow != p.slow {
		p.slow = slow
		log.WithFields(logrus.Fields{"write_ms": p.usual.Milliseconds(), "tenure_ms": tenure.Milliseconds()}).
			Warn(map[bool]string{true: "the disk is slow", false: "the disk is fast enough again"}[slow])
	}
}
