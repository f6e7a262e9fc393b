package cells

import (
	"cmp"
	"slices"
)

// HeavyHitters keeps the heaviest of any number of tenants in bounded room, by the space-saving algorithm (Metwally, Agrawal,
// El Abbadi 2005): a tenant that is not kept takes the place and the count of the lightest. What it says of a tenant is
// never too little, and too much by at most the total over its places.
type HeavyHitters struct {
	places []heavyPlace // a heap, the lightest on top
	at     map[Tenant]int
	total  float64
	most   int
}

type heavyPlace struct {
	tenant Tenant
	load   float64
	over   float64 // of load, what may be another's
}

// NewHeavyHitters keeps the loads of at most so many tenants.
func NewHeavyHitters(most int) *HeavyHitters {
	return &HeavyHitters{at: make(map[Tenant]int, most), most: max(1, most)}
}

// Add adds to a tenant's load.
func (h *HeavyHitters) Add(t Tenant, load float64) {
	h.total += load
	if i, kept := h.at[t]; kept {
		h.places[i].load += load
		h.sink(i)
		return
	}
	if len(h.places) < h.most {
		h.places = append(h.places, heavyPlace{tenant: t, load: load})
		h.at[t] = len(h.places) - 1
		h.rise(len(h.places) - 1)
		return
	}
	lightest := &h.places[0]
	delete(h.at, lightest.tenant)
	*lightest = heavyPlace{tenant: t, load: lightest.load + load, over: lightest.load}
	h.at[t] = 0
	h.sink(0)
}

// Load is what a tenant's load is at the most, and how much of that may be another's.
func (h *HeavyHitters) Load(t Tenant) (load, over float64) {
	if i, kept := h.at[t]; kept {
		return h.places[i].load, h.places[i].over
	}
	if len(h.places) < h.most {
		return 0, 0
	}
	return h.places[0].load, h.places[0].load
}

// Decay multiplies all loads, so that what was long ago counts less.
func (h *HeavyHitters) Decay(by float64) {
	h.total *= by
	for i := range h.places {
		h.places[i].load *= by
		h.places[i].over *= by
	}
}

// TenantLoad is a tenant with its load.
type TenantLoad struct {
	Tenant       Tenant  `json:"tenant"`
	Load         float64 `json:"load"`
	Overestimate float64 `json:"over"` // of Load, what may be another's
}

// heaviest orders loads, the heaviest first.
func heaviest(all []TenantLoad) []TenantLoad {
	slices.SortFunc(all, func(a, b TenantLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all
}

// Top are the heaviest tenants, the heaviest first.
func (h *HeavyHitters) Top(most int) []TenantLoad {
	all := make([]TenantLoad, len(h.places))
	for i, p := range h.places {
		all[i] = TenantLoad{p.tenant, p.load, p.over}
	}
	return heaviest(all)[:min(most, len(all))]
}

func (h *HeavyHitters) swap(i, j int) {
	h.places[i], h.places[j] = h.places[j], h.places[i]
	h.at[h.places[i].tenant], h.at[h.places[j].tenant] = i, j
}

func (h *HeavyHitters) rise(i int) {
	for up := (i - 1) / 2; i > 0 && h.places[i].load < h.places[up].load; up = (i - 1) / 2 {
		h.swap(i, up)
		i = up
	}
}

func (h *HeavyHitters) sink(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.places) && h.places[child].load < h.places[least].load {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
