package cells

import (
	"cmp"
	"slices"
)

// HeavyHitters tracks the tenants with the highest load in bounded memory by the space-saving
// algorithm (Metwally, Agrawal, El Abbadi 2005): a new tenant replaces the one with the lowest
// load and inherits its load. A tenant's load is never underestimated, and overestimated by at
// most total/capacity.
type HeavyHitters struct {
	entries  []heavyEntry // min-heap by load
	index    map[Tenant]int
	total    float64
	capacity int
}

type heavyEntry struct {
	tenant       Tenant
	load         float64
	overestimate float64 // part of load that may belong to other tenants
}

// NewHeavyHitters returns a tracker of up to capacity tenants.
func NewHeavyHitters(capacity int) *HeavyHitters {
	return &HeavyHitters{index: make(map[Tenant]int, capacity), capacity: max(1, capacity)}
}

// Add adds to a tenant's load.
func (h *HeavyHitters) Add(t Tenant, load float64) {
	h.total += load
	if i, tracked := h.index[t]; tracked {
		h.entries[i].load += load
		h.siftDown(i)
		return
	}
	if len(h.entries) < h.capacity {
		h.entries = append(h.entries, heavyEntry{tenant: t, load: load})
		h.index[t] = len(h.entries) - 1
		h.siftUp(len(h.entries) - 1)
		return
	}
	lightest := &h.entries[0]
	delete(h.index, lightest.tenant)
	*lightest = heavyEntry{tenant: t, load: lightest.load + load, overestimate: lightest.load}
	h.index[t] = 0
	h.siftDown(0)
}

// Load returns an upper bound of a tenant's load and by how much it may be too high.
func (h *HeavyHitters) Load(t Tenant) (load, overestimate float64) {
	if i, tracked := h.index[t]; tracked {
		return h.entries[i].load, h.entries[i].overestimate
	}
	if len(h.entries) < h.capacity {
		return 0, 0
	}
	return h.entries[0].load, h.entries[0].load
}

// Decay multiplies all loads by a factor, so that older load counts less.
func (h *HeavyHitters) Decay(factor float64) {
	h.total *= factor
	for i := range h.entries {
		h.entries[i].load *= factor
		h.entries[i].overestimate *= factor
	}
}

// TenantLoad is the load of a tenant.
type TenantLoad struct {
	Tenant       Tenant  `json:"tenant"`
	Load         float64 `json:"load"`
	Overestimate float64 `json:"over"` // part of Load that may belong to other tenants
}

// sortHeaviestFirst sorts loads in place in descending order and returns them.
func sortHeaviestFirst(loads []TenantLoad) []TenantLoad {
	slices.SortFunc(loads, func(a, b TenantLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Tenant, b.Tenant))
	})
	return loads
}

// Top returns up to limit tenants with the highest load, in descending order.
func (h *HeavyHitters) Top(limit int) []TenantLoad {
	all := make([]TenantLoad, len(h.entries))
	for i, entry := range h.entries {
		all[i] = TenantLoad{entry.tenant, entry.load, entry.overestimate}
	}
	return sortHeaviestFirst(all)[:min(limit, len(all))]
}

func (h *HeavyHitters) swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.index[h.entries[i].tenant], h.index[h.entries[j].tenant] = i, j
}

func (h *HeavyHitters) siftUp(i int) {
	for parent := (i - 1) / 2; i > 0 && h.entries[i].load < h.entries[parent].load; parent = (i - 1) / 2 {
		h.swap(i, parent)
		i = parent
	}
}

func (h *HeavyHitters) siftDown(i int) {
	for {
		lightest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.entries) && h.entries[child].load < h.entries[lightest].load {
				lightest = child
			}
		}
		if lightest == i {
			return
		}
		h.swap(i, lightest)
		i = lightest
	}
}
