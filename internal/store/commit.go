package store

import (
	"errors"
	"sync"
)

// BatchWriter appends records of concurrent callers to a journal. Records that arrive during a
// write are combined into the next one.
type BatchWriter struct {
	journal  *Journal
	maxBatch int // records per write

	mu        sync.Mutex
	pending   [][]byte
	results   []chan error
	isWriting bool
	isClosed  bool
	writes    int64
	records   int64
}

var errClosed = errors.New("the journal is closed")

// NewBatchWriter returns a writer to a journal that writes at most maxBatch records at once.
func NewBatchWriter(j *Journal, maxBatch int) *BatchWriter {
	return &BatchWriter{journal: j, maxBatch: max(1, maxBatch)}
}

// Append writes a record and waits until it is durable. After an error no record of its batch is.
func (c *BatchWriter) Append(record []byte) error {
	result := make(chan error, 1)
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return errClosed
	}
	c.pending, c.results = append(c.pending, record), append(c.results, result)
	if !c.isWriting {
		c.isWriting = true
		go c.writePending()
	}
	c.mu.Unlock()
	return <-result
}

// writePending writes pending records until there are none.
func (c *BatchWriter) writePending() {
	for {
		c.mu.Lock()
		n := min(len(c.pending), c.maxBatch)
		if n == 0 {
			c.isWriting = false
			c.mu.Unlock()
			return
		}
		records, results := c.pending[:n:n], c.results[:n:n]
		c.pending, c.results = c.pending[n:], c.results[n:]
		c.writes++
		c.records += int64(n)
		c.mu.Unlock()
		err := c.journal.Append(records...)
		for _, result := range results {
			result <- err
		}
	}
}

// Close rejects further records. Pending ones are still written.
func (c *BatchWriter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
}

// Stats returns the number of writes, and of the records in them.
func (c *BatchWriter) Stats() (writes, records int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes, c.records
}
