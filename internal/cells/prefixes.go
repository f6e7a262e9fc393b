package cells

import (
	"slices"
	"sort"
	"strings"
)

// PrefixTrie finds the longest prefix of a key. It is a radix trie in one slice, with the children
// of a node adjacent and ordered by their first byte.
type PrefixTrie struct {
	nodes   []prefixNode
	tenants []Tenant
}

type prefixNode struct {
	label      string // appended to the parent's path
	firstChild int32  // index
	childCount int32
	tenant     int32 // index, -1 for none
}

// NewPrefixTrie builds a trie from prefixes.
func NewPrefixTrie(tenants map[string]Tenant) *PrefixTrie {
	sorted := make([]string, 0, len(tenants))
	for prefix := range tenants {
		sorted = append(sorted, prefix)
	}
	slices.Sort(sorted)
	trie := &PrefixTrie{nodes: []prefixNode{{tenant: -1}}}
	indexes := map[Tenant]int32{}
	trie.build(0, sorted, 0, func(prefix string) int32 {
		t := tenants[prefix]
		if _, known := indexes[t]; !known {
			indexes[t] = int32(len(trie.tenants))
			trie.tenants = append(trie.tenants, t)
		}
		return indexes[t]
	})
	trie.nodes = slices.Clip(trie.nodes)
	return trie
}

// build adds the children of a node for the sorted prefixes below it, which share the node's path
// of depth bytes.
func (p *PrefixTrie) build(node int, sorted []string, depth int, tenantIndex func(string) int32) {
	if len(sorted) > 0 && len(sorted[0]) == depth {
		p.nodes[node].tenant = tenantIndex(sorted[0])
		sorted = sorted[1:]
	}
	first := len(p.nodes)
	var parts [][]string
	for len(sorted) > 0 {
		n := sort.Search(len(sorted), func(i int) bool { return sorted[i][depth] > sorted[0][depth] })
		part := sorted[:n]
		p.nodes = append(p.nodes, prefixNode{label: commonPrefix(part[0], part[n-1])[depth:], tenant: -1})
		parts, sorted = append(parts, part), sorted[n:]
	}
	p.nodes[node].firstChild, p.nodes[node].childCount = int32(first), int32(len(parts))
	for i, part := range parts {
		p.build(first+i, part, depth+len(p.nodes[first+i].label), tenantIndex)
	}
}

// commonPrefix returns the longest common prefix of two strings.
func commonPrefix(a, b string) string {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n]
}

// Longest returns the tenant of the longest prefix of a key.
func (p *PrefixTrie) Longest(key string) (t Tenant, found bool) {
	for node := &p.nodes[0]; ; {
		if node.tenant >= 0 {
			t, found = p.tenants[node.tenant], true
		}
		if key == "" || node.childCount == 0 {
			return t, found
		}
		next := p.child(node, key[0])
		if next == nil || !strings.HasPrefix(key, next.label) {
			return t, found
		}
		key, node = key[len(next.label):], next
	}
}

// child returns the child of a node whose label begins with a byte, nil if there is none.
func (p *PrefixTrie) child(node *prefixNode, b byte) *prefixNode {
	children := p.nodes[node.firstChild : node.firstChild+node.childCount]
	low, high := 0, len(children)
	for low < high {
		if middle := (low + high) / 2; children[middle].label[0] < b {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(children) && children[low].label[0] == b {
		return &children[low]
	}
	return nil
}
