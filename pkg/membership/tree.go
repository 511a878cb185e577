package membership

import (
	"cmp"
	"slices"
	"strconv"
)

const (
	// TreesPerZone is the number of distribution trees of a zone.
	TreesPerZone = 2
	// Fanout is the maximum number of children of a process in a tree.
	Fanout = 8
)

// DistributionTrees holds the trees along which the processes of a zone distribute updates.
type DistributionTrees struct {
	// orders holds the IDs of each tree level by level, the root first.
	orders [TreesPerZone][]string
	// positions maps each ID to its index in the order of a tree.
	positions [TreesPerZone]map[string]int
}

// NewDistributionTrees builds the trees from those members that are in the zone. Processes with the
// same list build the same trees. If a list lacks a member, some positions differ; this affects
// only the distribution of updates, never safety.
func NewDistributionTrees(zone string, members []Member) DistributionTrees {
	var t DistributionTrees
	for k := range TreesPerZone {
		key := zone + "/" + strconv.Itoa(k)
		for _, m := range members {
			if m.Zone == zone {
				t.orders[k] = append(t.orders[k], m.ID)
			}
		}
		slices.SortFunc(t.orders[k], func(a, b string) int {
			return cmp.Or(cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a)), cmp.Compare(a, b))
		})
		t.positions[k] = make(map[string]int, len(t.orders[k]))
		for i, id := range t.orders[k] {
			t.positions[k][id] = i
		}
	}
	return t
}

// IsRelay reports whether the process is the root of a tree and so watches the platform.
func (t DistributionTrees) IsRelay(id string) bool {
	return slices.Contains(t.Relays(), id)
}

// Relays returns the roots of the trees without duplicates.
func (t DistributionTrees) Relays() []string {
	var out []string
	for k := range TreesPerZone {
		if len(t.orders[k]) > 0 && !slices.Contains(out, t.orders[k][0]) {
			out = append(out, t.orders[k][0])
		}
	}
	return out
}

// Children returns the processes to which id forwards updates in both trees, without duplicates.
func (t DistributionTrees) Children(id string) []string {
	var out []string
	for k := range TreesPerZone {
		i, ok := t.positions[k][id]
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

// Parents returns the processes from which id receives updates, without duplicates.
func (t DistributionTrees) Parents(id string) []string {
	var out []string
	for k := range TreesPerZone {
		i, ok := t.positions[k][id]
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

// Depth returns the maximum number of hops from a root to a process.
func (t DistributionTrees) Depth() int {
	depth := 0
	for i := len(t.orders[0]) - 1; i > 0; i = (i - 1) / Fanout {
		depth++
	}
	return depth
}
