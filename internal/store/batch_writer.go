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
func (w *BatchWriter) Append(record []byte) error {
	result := make(chan error, 1)
	w.mu.Lock()
	if w.isClosed {
		w.mu.Unlock()
		return errClosed
	}
	w.pending, w.results = append(w.pending, record), append(w.results, result)
	if !w.isWriting {
		w.isWriting = true
		go w.writePending()
	}
	w.mu.Unlock()
	return <-result
}

// writePending writes pending records until there are none.
func (w *BatchWriter) writePending() {
	for {
		w.mu.Lock()
		n := min(len(w.pending), w.maxBatch)
		if n == 0 {
			w.isWriting = false
			w.mu.Unlock()
			return
		}
		records, results := w.pending[:n:n], w.results[:n:n]
		w.pending, w.results = w.pending[n:], w.results[n:]
		w.writes++
		w.records += int64(n)
		w.mu.Unlock()
		err := w.journal.Append(records...)
		for _, result := range results {
			result <- err
		}
	}
}

// Close rejects further records. Pending ones are still written.
func (w *BatchWriter) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isClosed = true
}

// Stats returns the number of writes, and of the records in them.
func (w *BatchWriter) Stats() (writes, records int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes, w.records
}
