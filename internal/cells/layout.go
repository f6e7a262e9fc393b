package cells

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sedgespread/rules"
)

// Layout describes the cells in parallel slices indexed by Cell. The index of a removed cell is
// not reused.
type Layout struct {
	names           []string
	groups          []Groups
	weight          []float64 // for the assignment of tenants by hash, 0 for none
	hall            []string
	capacity        []float64 // RPCs per second, 0 if unknown
	nameHash        []uint64
	removed         []bool
	index           map[string]Cell
	groupsPerTenant int // maximum number of groups of a cell that a tenant uses
}

// MaxGroupsPerTenant limits the groups of a cell that a tenant can use.
const MaxGroupsPerTenant = 16

// NewLayout returns a layout without cells, in which a tenant uses up to groupsPerTenant groups.
func NewLayout(groupsPerTenant int) *Layout {
	return &Layout{index: map[string]Cell{}, groupsPerTenant: min(max(1, groupsPerTenant), MaxGroupsPerTenant)}
}

// Add adds a cell. Its name must be new and its groups must not belong to another cell.
func (l *Layout) Add(name string, groups Groups, weight, capacity float64, hall string) Cell {
	c := Cell(len(l.names))
	l.names, l.groups, l.weight = append(l.names, name), append(l.groups, groups), append(l.weight, weight)
	l.hall, l.capacity, l.removed = append(l.hall, hall), append(l.capacity, capacity), append(l.removed, false)
	l.nameHash = append(l.nameHash, xxhash.Sum64String(name))
	l.index[name] = c
	return c
}

// Cells returns the number of cells, including removed ones.
func (l *Layout) Cells() int { return len(l.names) }

// Find returns the cell with a name, or NoCell.
func (l *Layout) Find(name string) Cell {
	if c, known := l.index[name]; known && !l.removed[c] {
		return c
	}
	return NoCell
}

// Name returns a cell's name, empty for NoCell.
func (l *Layout) Name(c Cell) string {
	if c == NoCell {
		return ""
	}
	return l.names[c]
}

// Groups returns a cell's groups.
func (l *Layout) Groups(c Cell) Groups { return l.groups[c] }

// mixHashes combines two hashes with the finalizer of splitmix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashToUnitInterval maps a hash to the interval (0,1).
func hashToUnitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// HomeCell returns the cell that a tenant's name hashes to by weighted rendezvous hashing. Adding
// or removing a cell moves only the tenants of that cell.
func (l *Layout) HomeCell(t Tenant) Cell {
	hash, home, best := xxhash.Sum64String(string(t)), NoCell, math.Inf(-1)
	for c := range l.names {
		if l.weight[c] <= 0 || l.removed[c] {
			continue
		}
		if score := -l.weight[c] / math.Log(hashToUnitInterval(mixHashes(hash, l.nameHash[c]))); score > best {
			home, best = Cell(c), score
		}
	}
	return home
}

// TenantGroups returns the groups of a cell that a tenant uses, the same on every driver. Shuffle
// sharding limits how many tenants share all groups with a misbehaving one.
func (l *Layout) TenantGroups(t Tenant, c Cell) Groups {
	var buffer [MaxGroupsPerTenant]rules.GroupID
	return slices.Clone(l.selectGroups(&buffer, xxhash.Sum64String(string(t)), c))
}

// selectGroups writes a tenant's groups to buffer, highest score first.
func (l *Layout) selectGroups(buffer *[MaxGroupsPerTenant]rules.GroupID, hash uint64, c Cell) Groups {
	var scores [MaxGroupsPerTenant]uint64
	n := 0
	for _, group := range l.groups[c] {
		score := mixHashes(hash, uint64(group)+0x517cc1b727220a95)
		index := n
		for index > 0 && scores[index-1] < score {
			index--
		}
		if index >= l.groupsPerTenant {
			continue
		}
		n = min(n+1, l.groupsPerTenant)
		copy(scores[index+1:n], scores[index:n-1])
		copy(buffer[index+1:n], buffer[index:n-1])
		scores[index], buffer[index] = score, group
	}
	return buffer[:n]
}

// Group returns the group of a cell that stores a tenant's key.
func (l *Layout) Group(t Tenant, key string, c Cell) rules.GroupID {
	var buffer [MaxGroupsPerTenant]rules.GroupID
	groups := l.selectGroups(&buffer, xxhash.Sum64String(string(t)), c)
	if len(groups) == 1 {
		return groups[0]
	}
	hash, best := xxhash.Sum64String(key), 0
	for i, g := range groups {
		if mixHashes(hash, uint64(g)) > mixHashes(hash, uint64(groups[best])) {
			best = i
		}
	}
	return groups[best]
}

// Update applies a new layout to a running driver. overrides holds the tenants outside their home
// cells. It changes nothing and returns an error if a tenant would change its cell without a move.
func (l *Layout) Update(next *Layout, overrides map[Tenant]Cell) error {
	if next.groupsPerTenant != l.groupsPerTenant {
		return fmt.Errorf("groups_a_tenant: %d, was %d: tenants would change their groups without a move", next.groupsPerTenant, l.groupsPerTenant)
	}
	for c, name := range l.names {
		n, kept := next.index[name]
		switch {
		case l.removed[c]:
			if kept {
				return fmt.Errorf("cell %q: the name of a removed cell cannot be reused without a restart", name)
			}
		case !kept:
			if err := l.checkRemovable(Cell(c), overrides); err != nil {
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
			return fmt.Errorf("cell %q: a cell added to a running driver cannot take tenants by hash: its weight must be 0", name)
		}
	}
	l.merge(next)
	return nil
}

// merge applies a layout that Update has validated.
func (l *Layout) merge(next *Layout) {
	for c, name := range l.names {
		if n, kept := next.index[name]; kept {
			l.hall[c], l.capacity[c] = next.hall[n], next.capacity[n]
		} else {
			l.removed[c] = true
		}
	}
	for n, name := range next.names {
		if _, known := l.index[name]; !known {
			l.Add(name, next.groups[n], next.weight[n], next.capacity[n], next.hall[n])
		}
	}
}

// checkRemovable returns an error if tenants are still assigned to a cell.
func (l *Layout) checkRemovable(c Cell, overrides map[Tenant]Cell) error {
	if l.weight[c] > 0 {
		return fmt.Errorf("cell %q cannot be removed: it takes tenants by hash (weight %v)", l.names[c], l.weight[c])
	}
	var remaining []string
	for t, at := range overrides {
		if at == c {
			remaining = append(remaining, string(t))
		}
	}
	if len(remaining) == 0 {
		return nil
	}
	slices.Sort(remaining)
	const shown = 5
	suffix := ""
	if len(remaining) > shown {
		remaining, suffix = remaining[:shown], fmt.Sprintf(" and %d more", len(remaining)-shown)
	}
	return fmt.Errorf("cell %q cannot be removed: it still has %s%s", l.names[c], strings.Join(remaining, ", "), suffix)
}
