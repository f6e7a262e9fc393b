package cells

// Resource is something that a driver owns and divides between cells.
type Resource int

const (
	RPCs              Resource = iota // open, those held included
	Attempts                          // out, those whose RPC has ended included
	ResponseBytes                     // bytes of answers held at once
	ClientConnections                 // of clients, by the cell of their last RPC
	resourceCount
)

// Budget are how much there is of each kind; 0 for no limit.
type Budget [resourceCount]int64

// Bulkheads divide what a driver owns between cells, by their weights. A cell may always use its share. What is idle of
// the others' it may borrow, up to the part that they lend; from the moment that an owner wants its own, nothing is lent
// that it could use, so that what was borrowed comes back as it ends. What is not lent at all is there at once.
type Bulkheads struct {
	budget     Budget
	lendRatio  float64
	shares     [resourceCount][]float64
	used       [resourceCount][]int64
	totalUsed  [resourceCount]int64 // of used
	lastDenied [resourceCount][]int64
}

// lendPause is how long a cell that was turned away within its share keeps others from borrowing.
const lendPause = second / 2

// NewBulkheads divides what there is. A cell's weight says what part is its own.
func NewBulkheads(budget Budget, lendRatio float64, weights []float64) *Bulkheads {
	b := &Bulkheads{budget: budget, lendRatio: lendRatio}
	b.SetWeights(weights)
	return b
}

// SetWeights divides anew. What is in use stays counted; cells keep their places.
func (b *Bulkheads) SetWeights(weights []float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for k := range b.budget {
		for len(b.used[k]) < len(weights) {
			b.used[k], b.lastDenied[k] = append(b.used[k], 0), append(b.lastDenied[k], 0)
		}
		b.shares[k] = b.shares[k][:0]
		for _, w := range weights {
			b.shares[k] = append(b.shares[k], float64(b.budget[k])*w/sum)
		}
	}
}

// Share is a cell's own part.
func (b *Bulkheads) Share(k Resource, c Cell) int64 { return max(1, int64(b.shares[k][c])) }

// Used is what a cell uses.
func (b *Bulkheads) Used(k Resource, c Cell) int64 { return b.used[k][c] }

// Limit is what a cell may use just now: its share, and what others lend it.
func (b *Bulkheads) Limit(k Resource, c Cell, now int64) int64 {
	if b.budget[k] == 0 {
		return 1 << 40
	}
	share := b.Share(k, c)
	if share > b.used[k][c]+1 {
		return share
	}
	return share + max(0, b.borrowable(k, c, now))
}

// borrowable is what others lend a cell just now: of each the part of its share that it neither uses nor wants nor keeps, less
// what third ones have borrowed already.
func (b *Bulkheads) borrowable(k Resource, c Cell, now int64) int64 {
	var idle, lent float64
	for other := range b.shares[k] {
		used, share := float64(b.used[k][other]), b.shares[k][other]
		switch {
		case Cell(other) == c:
		case used > share:
			lent += used - share
		case now-b.lastDenied[k][other] >= lendPause:
			idle += min(share*b.lendRatio, share-used)
		}
	}
	return min(int64(idle-lent), b.budget[k]-b.totalUsed[k]+max(0, b.used[k][c]-b.Share(k, c)))
}

// CanUse tells whether a cell may use so much more. Where it may not though it is within its share, others have borrowed
// what is its own: from here on nothing is lent for a while.
func (b *Bulkheads) CanUse(k Resource, c Cell, amount, now int64) bool {
	if b.budget[k] == 0 {
		return true
	}
	used := b.used[k][c] + amount
	if b.totalUsed[k]+amount > b.budget[k] {
		if used <= b.Share(k, c) {
			b.lastDenied[k][c] = now
		}
		return false
	}
	return used <= b.Limit(k, c, now)
}

// Add notes that a cell uses so much more, or less.
func (b *Bulkheads) Add(k Resource, c Cell, amount int64) {
	b.used[k][c] += amount
	b.totalUsed[k] += amount
}

// MostOverShare is the cell that is most over its share of something, as a part of that, or NoCell where none is.
func (b *Bulkheads) MostOverShare(k Resource) Cell {
	over, maxRatio := NoCell, 1.0
	if b.budget[k] == 0 {
		return over
	}
	for c := range b.shares[k] {
		if ratio := float64(b.used[k][c]) / float64(b.Share(k, Cell(c))); ratio > maxRatio {
			over, maxRatio = Cell(c), ratio
		}
	}
	return over
}
