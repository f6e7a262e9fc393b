package transport

import (
	"cmp"
	"slices"
	"time"
)

// arrivals records when buffered bytes were received, by their offset in the connection's stream, so
// that a message queued behind others is timed from its arrival and not from when it is read.
type arrivals []arrival

// arrival is the time at which the bytes before endOffset, since the previous arrival, were received.
type arrival struct {
	endOffset  int64 // exclusive
	receivedAt time.Time
}

// arrivalResolution is the period within which reads are merged into one arrival, which bounds the
// memory used for a peer that sends byte by byte.
const arrivalResolution = time.Millisecond

// record adds the bytes before endOffset.
func (a *arrivals) record(endOffset int64, receivedAt time.Time) {
	if last := len(*a) - 1; last >= 0 && receivedAt.Sub((*a)[last].receivedAt) < arrivalResolution {
		(*a)[last].endOffset = endOffset
		return
	}
	*a = append(*a, arrival{endOffset, receivedAt})
}

// timeOf returns when the buffered data up to offset was received. Offset must lie within that data.
func (a arrivals) timeOf(offset int64) time.Time {
	i, _ := slices.BinarySearchFunc(a, offset, func(entry arrival, target int64) int { return cmp.Compare(entry.endOffset, target) })
	return a[i].receivedAt
}

// discard removes the bytes before endOffset.
func (a *arrivals) discard(endOffset int64) {
	for len(*a) > 0 && (*a)[0].endOffset <= endOffset {
		*a = (*a)[1:]
	}
	if len(*a) == 0 {
		*a = nil
	}
}
