package cells

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sedgespread/rules"
)

// Layout is the cells that there are, in parallel arrays by their place. A place is never used again for another cell.
type Layout struct {
	names  []string
	groups []Groups
	weight []float64 // part of the tenants by hash, 0 for none
	hall   []string
	able   []float64 // RPCs a second, 0 for not known
	mark   []uint64  // hash of the name
	gone   []bool
	index  map[string]Cell
	spread int // groups that a tenant uses, at most
}

// MaxGroupsPerTenant is the most groups of a cell that one tenant can use.
const MaxGroupsPerTenant = 16

// NewLayout makes a layout without cells, in which a tenant uses up to spread groups of its cell.
func NewLayout(spread int) *Layout {
	return &Layout{index: map[string]Cell{}, spread: min(max(1, spread), MaxGroupsPerTenant)}
}

// Add adds a cell. Its name must be new and its groups nobody else's.
func (l *Layout) Add(name string, groups Groups, weight, able float64, hall string) Cell {
	c := Cell(len(l.names))
	l.names, l.groups, l.weight = append(l.names, name), append(l.groups, groups), append(l.weight, weight)
	l.hall, l.able, l.gone = append(l.hall, hall), append(l.able, able), append(l.gone, false)
	l.mark = append(l.mark, xxhash.Sum64String(name))
	l.index[name] = c
	return c
}

// Cells is how many places there are, those of cells that have gone included.
func (l *Layout) Cells() int { return len(l.names) }

// Find gives the cell of a name, or NoCell.
func (l *Layout) Find(name string) Cell {
	if c, known := l.index[name]; known && !l.gone[c] {
		return c
	}
	return NoCell
}

// Name is a cell's name, empty for NoCell.
func (l *Layout) Name(c Cell) string {
	if c == NoCell {
		return ""
	}
	return l.names[c]
}

// Groups are a cell's groups.
func (l *Layout) Groups(c Cell) Groups { return l.groups[c] }

// mixed spreads two hashes over 64 bits (the finalizer of splitmix64).
func mixed(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// drawn is the chance in (0,1) that a hash stands for.
func drawn(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// HomeCell is the cell that a tenant's name hashes to, by weighted rendezvous: each cell draws a score from its own name
// and the tenant's, and the highest wins. A cell that comes or goes so moves only the tenants that it wins or had.
func (l *Layout) HomeCell(t Tenant) Cell {
	hash, home, best := xxhash.Sum64String(string(t)), NoCell, math.Inf(-1)
	for c := range l.names {
		if l.weight[c] <= 0 || l.gone[c] {
			continue
		}
		if score := -l.weight[c] / math.Log(drawn(mixed(hash, l.mark[c]))); score > best {
			home, best = Cell(c), score
		}
	}
	return home
}

// TenantGroups is the choice of a cell's groups that a tenant uses, the same at every driver: two tenants rarely have all of
// theirs in common, so that one that harms its own harms few others wholly.
func (l *Layout) TenantGroups(t Tenant, c Cell) Groups {
	var at [MaxGroupsPerTenant]rules.GroupID
	return slices.Clone(l.shard(&at, xxhash.Sum64String(string(t)), c))
}

// shard draws a tenant's groups into room that the caller has, the best first.
func (l *Layout) shard(room *[MaxGroupsPerTenant]rules.GroupID, hash uint64, c Cell) Groups {
	var scores [MaxGroupsPerTenant]uint64
	n := 0
	for _, g := range l.groups[c] {
		score := mixed(hash, uint64(g)+0x517cc1b727220a95)
		at := n
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= l.spread {
			continue
		}
		n = min(n+1, l.spread)
		copy(scores[at+1:n], scores[at:n-1])
		copy(room[at+1:n], room[at:n-1])
		scores[at], room[at] = score, g
	}
	return room[:n]
}

// Group is the group of a cell that holds a tenant's key.
func (l *Layout) Group(t Tenant, key string, c Cell) rules.GroupID {
	var room [MaxGroupsPerTenant]rules.GroupID
	groups := l.shard(&room, xxhash.Sum64String(string(t)), c)
	if len(groups) == 1 {
		return groups[0]
	}
	hash, best := xxhash.Sum64String(key), 0
	for i, g := range groups {
		if mixed(hash, uint64(g)) > mixed(hash, uint64(groups[best])) {
			best = i
		}
	}
	return groups[best]
}

// Update takes over what another layout says, for drivers that run: seats are the tenants that are not where their
// names hash to. It changes nothing and names the cause where a tenant would be elsewhere without having been moved.
func (l *Layout) Update(next *Layout, seats map[Tenant]Cell) error {
	if next.spread != l.spread {
		return fmt.Errorf("groups_a_tenant: %d, was %d: tenants would change their groups without a move", next.spread, l.spread)
	}
	for c, name := range l.names {
		n, kept := next.index[name]
		switch {
		case l.gone[c]:
			if kept {
				return fmt.Errorf("cell %q: a cell of that name was taken away: it needs another name or a restart", name)
			}
		case !kept:
			if err := l.removable(Cell(c), seats); err != nil {
				return err
			}
		case !slices.Equal(next.groups[n], l.groups[c]):
			return fmt.Errorf("cell %q: its groups were %v: tenants would change their groups without a move", name, l.groups[c])
		case next.weight[n] != l.weight[c]:
			return fmt.Errorf("cell %q: its weight was %v: tenants would change their cells without a move", name, l.weight[c])
		}
	}
	for n, name := range next.names {
		if _, known := l.index[name]; !known && next.weight[n] > 0 {
			return fmt.Errorf("cell %q: a cell that is new to a running driver takes no tenants by hash: its weight must be 0", name)
		}
	}
	l.take(next)
	return nil
}

// take does what Become has checked.
func (l *Layout) take(next *Layout) {
	for c, name := range l.names {
		if n, kept := next.index[name]; kept {
			l.hall[c], l.able[c] = next.hall[n], next.able[n]
		} else {
			l.gone[c] = true
		}
	}
	for n, name := range next.names {
		if _, known := l.index[name]; !known {
			l.Add(name, next.groups[n], next.weight[n], next.able[n], next.hall[n])
		}
	}
}

// removable tells whether a cell can go: not while any tenant is in it.
func (l *Layout) removable(c Cell, seats map[Tenant]Cell) error {
	if l.weight[c] > 0 {
		return fmt.Errorf("cell %q can't go: it takes tenants by hash (weight %v)", l.names[c], l.weight[c])
	}
	var left []string
	for t, at := range seats {
		if at == c {
			left = append(left, string(t))
		}
	}
	if len(left) == 0 {
		return nil
	}
	slices.Sort(left)
	const shown = 5
	more := ""
	if len(left) > shown {
		left, more = left[:shown], fmt.Sprintf(" and %d more", len(left)-shown)
	}
	return fmt.Errorf("cell %q can't go: it still has %s%s", l.names[c], strings.Join(left, ", "), more)
}
