package cells

import (
	"slices"
	"sort"
	"strings"
)

// PrefixTrie finds the longest of many prefixes that a key begins with. It is a radix trie laid out in one array, the
// children of a node side by side and ordered by their first byte.
type PrefixTrie struct {
	nodes []prefixNode
	names []Tenant
}

type prefixNode struct {
	label    string // what it adds to its parent's path
	first    int32  // of its children
	children int32
	names    int32 // place of its tenant, -1 for none
}

// NewPrefixTrie lays out a trie. A prefix that stands twice has the tenant of either.
func NewPrefixTrie(tenants map[string]Tenant) *PrefixTrie {
	sorted := make([]string, 0, len(tenants))
	for prefix := range tenants {
		sorted = append(sorted, prefix)
	}
	slices.Sort(sorted)
	p := &PrefixTrie{nodes: []prefixNode{{names: -1}}}
	numbers := map[Tenant]int32{}
	p.fill(0, sorted, 0, func(prefix string) int32 {
		t := tenants[prefix]
		if _, known := numbers[t]; !known {
			numbers[t] = int32(len(p.names))
			p.names = append(p.names, t)
		}
		return numbers[t]
	})
	p.nodes = slices.Clip(p.nodes)
	return p
}

// fill makes the children of a node from the prefixes below it, whose first depth bytes are the node's path.
func (p *PrefixTrie) fill(node int, sorted []string, depth int, number func(string) int32) {
	if len(sorted) > 0 && len(sorted[0]) == depth {
		p.nodes[node].names = number(sorted[0])
		sorted = sorted[1:]
	}
	first := len(p.nodes)
	var parts [][]string
	for len(sorted) > 0 {
		n := sort.Search(len(sorted), func(i int) bool { return sorted[i][depth] > sorted[0][depth] })
		part := sorted[:n]
		p.nodes = append(p.nodes, prefixNode{label: common(part[0], part[n-1])[depth:], names: -1})
		parts, sorted = append(parts, part), sorted[n:]
	}
	p.nodes[node].first, p.nodes[node].children = int32(first), int32(len(parts))
	for i, part := range parts {
		p.fill(first+i, part, depth+len(p.nodes[first+i].label), number)
	}
}

// common is what two texts begin with alike.
func common(a, b string) string {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n]
}

// Longest gives the tenant of the longest prefix that a key begins with.
func (p *PrefixTrie) Longest(key string) (t Tenant, found bool) {
	for node := &p.nodes[0]; ; {
		if node.names >= 0 {
			t, found = p.names[node.names], true
		}
		if key == "" || node.children == 0 {
			return t, found
		}
		next := p.child(node, key[0])
		if next == nil || !strings.HasPrefix(key, next.label) {
			return t, found
		}
		key, node = key[len(next.label):], next
	}
}

// child is the child of a node whose label begins with a byte, nil where none does.
func (p *PrefixTrie) child(node *prefixNode, b byte) *prefixNode {
	children := p.nodes[node.first : node.first+node.children]
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
