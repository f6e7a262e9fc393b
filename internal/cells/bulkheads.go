package cells

// Resource is something that a driver owns and divides between cells.
type Resource int

const (
	RPCs              Resource = iota // open, those held included
	Attempts                          // out, those whose RPC has ended included
	ResponseBytes                     // bytes of answers held at once
	ClientConnections                 // of clients, by the cell of their last RPC
	kinds
)

// Budget are how much there is of each kind; 0 for no limit.
type Budget [kinds]int64

// Bulkheads divide what a driver owns between cells, by their weights. A cell may always use its share. What is idle of
// the others' it may borrow, up to the part that they lend; from the moment that an owner wants its own, nothing is lent
// that it could use, so that what was borrowed comes back as it ends. What is not lent at all is there at once.
type Bulkheads struct {
	all    Budget
	lend   float64
	shares [kinds][]float64
	used   [kinds][]int64
	sum    [kinds]int64 // of used
	wanted [kinds][]int64
}

// wantedFor is how long a cell that was turned away within its share keeps others from borrowing.
const wantedFor = second / 2

// NewBulkheads divides what there is. A cell's weight says what part is its own.
func NewBulkheads(all Budget, lend float64, weights []float64) *Bulkheads {
	b := &Bulkheads{all: all, lend: lend}
	b.SetWeights(weights)
	return b
}

// SetWeights divides anew. What is in use stays counted; cells keep their places.
func (b *Bulkheads) SetWeights(weights []float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for k := range b.all {
		for len(b.used[k]) < len(weights) {
			b.used[k], b.wanted[k] = append(b.used[k], 0), append(b.wanted[k], 0)
		}
		b.shares[k] = b.shares[k][:0]
		for _, w := range weights {
			b.shares[k] = append(b.shares[k], float64(b.all[k])*w/sum)
		}
	}
}

// Share is a cell's own part.
func (b *Bulkheads) Share(k Resource, c Cell) int64 { return max(1, int64(b.shares[k][c])) }

// Used is what a cell uses.
func (b *Bulkheads) Used(k Resource, c Cell) int64 { return b.used[k][c] }

// Limit is what a cell may use just now: its share, and what others lend it.
func (b *Bulkheads) Limit(k Resource, c Cell, now int64) int64 {
	if b.all[k] == 0 {
		return 1 << 40
	}
	share := b.Share(k, c)
	if share > b.used[k][c]+1 {
		return share
	}
	return share + max(0, b.lent(k, c, now))
}

// lent is what others lend a cell just now: of each the part of its share that it neither uses nor wants nor keeps, less
// what third ones have borrowed already.
func (b *Bulkheads) lent(k Resource, c Cell, now int64) int64 {
	var idle, out float64
	for o := range b.shares[k] {
		used, share := float64(b.used[k][o]), b.shares[k][o]
		switch {
		case Cell(o) == c:
		case used > share:
			out += used - share
		case now-b.wanted[k][o] >= wantedFor:
			idle += min(share*b.lend, share-used)
		}
	}
	return min(int64(idle-out), b.all[k]-b.sum[k]+max(0, b.used[k][c]-b.Share(k, c)))
}

// CanUse tells whether a cell may use so much more. Where it may not though it is within its share, others have borrowed
// what is its own: from here on nothing is lent for a while.
func (b *Bulkheads) CanUse(k Resource, c Cell, more, now int64) bool {
	if b.all[k] == 0 {
		return true
	}
	used := b.used[k][c] + more
	if b.sum[k]+more > b.all[k] {
		if used <= b.Share(k, c) {
			b.wanted[k][c] = now
		}
		return false
	}
	return used <= b.Limit(k, c, now)
}

// Add notes that a cell uses so much more, or less.
func (b *Bulkheads) Add(k Resource, c Cell, more int64) {
	b.used[k][c] += more
	b.sum[k] += more
}

// MostOverShare is the cell that is most over its share of something, as a part of that, or NoCell where none is.
func (b *Bulkheads) MostOverShare(k Resource) Cell {
	over, most := NoCell, 1.0
	if b.all[k] == 0 {
		return over
	}
	for c := range b.shares[k] {
		if by := float64(b.used[k][c]) / float64(b.Share(k, Cell(c))); by > most {
			over, most = Cell(c), by
		}
	}
	return over
}
