package store

import (
	"errors"
	"sync"
)

// BatchWriter appends records for many at once: those that come while a write is under way go to the disk together with the
// next. Each is told once its own is there.
type BatchWriter struct {
	journal *Journal
	most    int // records in one write

	mu      sync.Mutex
	waiting [][]byte
	told    []chan error
	writing bool
	closed  bool
	writes  int64
	records int64
}

var errClosed = errors.New("the journal is closed")

// NewBatchWriter commits to a journal, at most so many records in one write.
func NewBatchWriter(j *Journal, most int) *BatchWriter {
	return &BatchWriter{journal: j, most: max(1, most)}
}

// Append writes a record and waits until it is on the disk. After an error none of the records of its write are.
func (c *BatchWriter) Append(record []byte) error {
	told := make(chan error, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return errClosed
	}
	c.waiting, c.told = append(c.waiting, record), append(c.told, told)
	if !c.writing {
		c.writing = true
		go c.write()
	}
	c.mu.Unlock()
	return <-told
}

// write writes what waits until nothing does.
func (c *BatchWriter) write() {
	for {
		c.mu.Lock()
		n := min(len(c.waiting), c.most)
		if n == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		records, told := c.waiting[:n:n], c.told[:n:n]
		c.waiting, c.told = c.waiting[n:], c.told[n:]
		c.writes++
		c.records += int64(n)
		c.mu.Unlock()
		err := c.journal.Append(records...)
		for _, t := range told {
			t <- err
		}
	}
}

// Close lets nothing more be written; what waits is still told.
func (c *BatchWriter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// Stats are how many writes there were, and how many records in them.
func (c *BatchWriter) Stats() (writes, records int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes, c.records
}
