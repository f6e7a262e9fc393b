package transport

import (
	"cmp"
	"slices"
	"time"
)

// arrivals tells when bytes came that are held, each told by its number on the connection. It guards against messages that
// are taken for new when their turn comes, after those that stood before them.
type arrivals []arrival

// arrival is when the bytes up to a number came.
type arrival struct {
	endOffset  int64
	receivedAt time.Time
}

// arrivalResolution is within how long what comes is taken for come together, so that a peer that sends byte by byte needs no more
// memory for arrivals than for a few of them: times on the protocols are in milliseconds.
const arrivalResolution = time.Millisecond

// record notes that the bytes up to a number have come.
func (a *arrivals) record(endOffset int64, receivedAt time.Time) {
	if last := len(*a) - 1; last >= 0 && receivedAt.Sub((*a)[last].receivedAt) < arrivalResolution {
		(*a)[last].endOffset = endOffset
		return
	}
	*a = append(*a, arrival{endOffset, receivedAt})
}

// timeOf is when the byte of a number came, which must be held.
func (a arrivals) timeOf(offset int64) time.Time {
	i, _ := slices.BinarySearchFunc(a, offset, func(entry arrival, target int64) int { return cmp.Compare(entry.endOffset, target) })
	return a[i].receivedAt
}

// discard forgets the bytes up to a number.
func (a *arrivals) discard(endOffset int64) {
	for len(*a) > 0 && (*a)[0].endOffset <= endOffset {
		*a = (*a)[1:]
	}
	if len(*a) == 0 {
		*a = nil
	}
}

// truncate forgets the bytes behind a number, which must be one that is held.
func (a *arrivals) truncate(endOffset int64) {
	for len(*a) > 1 && (*a)[len(*a)-2].endOffset >= endOffset {
		*a = (*a)[:len(*a)-1]
	}
	if last := len(*a) - 1; last >= 0 {
		(*a)[last].endOffset = min((*a)[last].endOffset, endOffset)
	}
}
