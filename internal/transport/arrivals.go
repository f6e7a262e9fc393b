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
	upTo int64
	at   time.Time
}

// arrivalGrain is within how long what comes is taken for come together, so that a peer that sends byte by byte needs no more
// memory for arrivals than for a few of them: times on the protocols are in milliseconds.
const arrivalGrain = time.Millisecond

// note notes that the bytes up to a number have come.
func (a *arrivals) note(upTo int64, at time.Time) {
	if last := len(*a) - 1; last >= 0 && at.Sub((*a)[last].at) < arrivalGrain {
		(*a)[last].upTo = upTo
		return
	}
	*a = append(*a, arrival{upTo, at})
}

// of is when the byte of a number came, which must be held.
func (a arrivals) of(number int64) time.Time {
	i, _ := slices.BinarySearchFunc(a, number, func(x arrival, n int64) int { return cmp.Compare(x.upTo, n) })
	return a[i].at
}

// forget forgets the bytes up to a number.
func (a *arrivals) forget(upTo int64) {
	for len(*a) > 0 && (*a)[0].upTo <= upTo {
		*a = (*a)[1:]
	}
	if len(*a) == 0 {
		*a = nil
	}
}

// cut forgets the bytes behind a number, which must be one that is held.
func (a *arrivals) cut(upTo int64) {
	for len(*a) > 1 && (*a)[len(*a)-2].upTo >= upTo {
		*a = (*a)[:len(*a)-1]
	}
	if last := len(*a) - 1; last >= 0 {
		(*a)[last].upTo = min((*a)[last].upTo, upTo)
	}
}
