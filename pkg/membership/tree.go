package membership

import (
	"cmp"
	"slices"
	"strconv"
)

const (
	// Trees is the number of trees of a zone.
	Trees = 2
	// Fanout is the number of children of a process in a tree.
	Fanout = 8
)

// Tree is the arrangement of the processes of a zone for the spread of news.
type Tree struct {
	orders [Trees][]string
	index  [Trees]map[string]int
}

// NewTree arranges the members of a zone. All processes with the same list arrive at the
// same trees; a member that is missing from one list shifts few of the others' places only
// for news, never for safety.
func NewTree(zone string, members []Member) Tree {
	var t Tree
	for k := range Trees {
		key := zone + "/" + strconv.Itoa(k)
		for _, m := range members {
			if m.Zone == zone {
				t.orders[k] = append(t.orders[k], m.ID)
			}
		}
		slices.SortFunc(t.orders[k], func(a, b string) int {
			return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
		})
		t.index[k] = make(map[string]int, len(t.orders[k]))
		for i, id := range t.orders[k] {
			t.index[k][id] = i
		}
	}
	return t
}

// Relay reports whether the process is the root of a tree and watches the platform.
func (t Tree) Relay(id string) bool {
	return slices.Contains(t.Relays(), id)
}

// Relays returns the roots, each once.
func (t Tree) Relays() []string {
	var out []string
	for k := range Trees {
		if len(t.orders[k]) > 0 && !slices.Contains(out, t.orders[k][0]) {
			out = append(out, t.orders[k][0])
		}
	}
	return out
}

// Children returns the processes that id hands news to, in both trees, each once.
func (t Tree) Children(id string) []string {
	var out []string
	for k := range Trees {
		i, ok := t.index[k][id]
		if !ok {
			continue
		}
		first := min(i*Fanout+1, len(t.orders[k]))
		last := min(i*Fanout+Fanout+1, len(t.orders[k]))
		for _, c := range t.orders[k][first:last] {
			if !slices.Contains(out, c) {
				out = append(out, c)
			}
		}
	}
	return out
}

// Parents returns the processes that hand news to id, each once.
func (t Tree) Parents(id string) []string {
	var out []string
	for k := range Trees {
		i, ok := t.index[k][id]
		if !ok || i == 0 {
			continue
		}
		p := t.orders[k][(i-1)/Fanout]
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// Depth returns the largest number of hops from a root.
func (t Tree) Depth() int {
	depth := 0
	for i := len(t.orders[0]) - 1; i > 0; i = (i - 1) / Fanout {
		depth++
	}
	return depth
}
