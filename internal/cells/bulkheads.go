package cells

// Resource is a limited resource of a driver that is divided between cells.
type Resource int

const (
	RPCs              Resource = iota // open RPCs, including those held
	Attempts                          // attempts in flight, including those of finished RPCs
	ResponseBytes                     // response bytes held in memory
	ClientConnections                 // client connections, by the cell of their last RPC
	resourceCount
)

// Budget is the total of each resource, 0 for no limit.
type Budget [resourceCount]int64

// Bulkheads divides a driver's resources between cells by weight. A cell owns its share,
// and can borrow the part of other cells' idle shares that they lend. After a cell was denied part
// of its own share, it lends nothing for lendPause, so that borrowed resources come back as their
// RPCs finish.
type Bulkheads struct {
	budget     Budget
	lendRatio  float64
	shares     [resourceCount][]float64
	used       [resourceCount][]int64
	totalUsed  [resourceCount]int64 // sum of used
	lastDenied [resourceCount][]int64
}

// lendPause is how long a cell lends nothing after it was denied within its own share.
const lendPause = second / 2

// unlimited is the limit of a resource without a budget.
const unlimited = 1 << 40

// NewBulkheads divides a budget between cells by weight.
func NewBulkheads(budget Budget, lendRatio float64, weights []float64) *Bulkheads {
	b := &Bulkheads{budget: budget, lendRatio: lendRatio}
	b.SetWeights(weights)
	return b
}

// SetWeights recalculates the shares. Current usage and the indexes of cells are kept.
func (b *Bulkheads) SetWeights(weights []float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for resource := range b.budget {
		for len(b.used[resource]) < len(weights) {
			b.used[resource], b.lastDenied[resource] = append(b.used[resource], 0), append(b.lastDenied[resource], 0)
		}
		b.shares[resource] = b.shares[resource][:0]
		for _, w := range weights {
			b.shares[resource] = append(b.shares[resource], float64(b.budget[resource])*w/sum)
		}
	}
}

// Share returns a cell's own share, at least 1.
func (b *Bulkheads) Share(resource Resource, c Cell) int64 {
	return max(1, int64(b.shares[resource][c]))
}

// Used returns what a cell currently uses.
func (b *Bulkheads) Used(resource Resource, c Cell) int64 { return b.used[resource][c] }

// Limit returns what a cell may use now: its own share and what it can borrow.
func (b *Bulkheads) Limit(resource Resource, c Cell, now int64) int64 {
	if b.budget[resource] == 0 {
		return unlimited
	}
	share := b.Share(resource, c)
	if share > b.used[resource][c]+1 {
		return share
	}
	return share + max(0, b.borrowable(resource, c, now))
}

// borrowable returns how much a cell can borrow now: the idle lendable shares of the other cells,
// less what is already lent.
func (b *Bulkheads) borrowable(resource Resource, c Cell, now int64) int64 {
	var idle, lent float64
	for other := range b.shares[resource] {
		used, share := float64(b.used[resource][other]), b.shares[resource][other]
		switch {
		case Cell(other) == c:
		case used > share:
			lent += used - share
		case now-b.lastDenied[resource][other] >= lendPause:
			idle += min(share*b.lendRatio, share-used)
		}
	}
	return min(int64(idle-lent), b.budget[resource]-b.totalUsed[resource]+max(0, b.used[resource][c]-b.Share(resource, c)))
}

// CanUse reports whether a cell may use an additional amount. If a cell is denied within its own
// share because others have borrowed it, it stops lending for lendPause.
func (b *Bulkheads) CanUse(resource Resource, c Cell, amount, now int64) bool {
	if b.budget[resource] == 0 {
		return true
	}
	used := b.used[resource][c] + amount
	if b.totalUsed[resource]+amount > b.budget[resource] {
		if used <= b.Share(resource, c) {
			b.lastDenied[resource][c] = now
		}
		return false
	}
	return used <= b.Limit(resource, c, now)
}

// Add changes a cell's usage by an amount, which may be negative.
func (b *Bulkheads) Add(resource Resource, c Cell, amount int64) {
	b.used[resource][c] += amount
	b.totalUsed[resource] += amount
}

// MostOverShare returns the cell that exceeds its share by the largest ratio, or NoCell.
func (b *Bulkheads) MostOverShare(resource Resource) Cell {
	over, maxRatio := NoCell, 1.0
	if b.budget[resource] == 0 {
		return over
	}
	for c := range b.shares[resource] {
		if ratio := float64(b.used[resource][c]) / float64(b.Share(resource, Cell(c))); ratio > maxRatio {
			over, maxRatio = Cell(c), ratio
		}
	}
	return over
}
