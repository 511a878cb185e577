package gossip

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rings is the number of rings. With three, a gateway has at most six neighbours.
const Rings = 3

// rings holds the names of the gateways in the order of each ring.
type rings [Rings][]string

// newRings arranges gateways in rings. Gateways that know the same names arrange them alike.
func newRings(names []string) rings {
	type place struct {
		name string
		key  uint64
	}
	var out rings
	places := make([]place, len(names))
	for k := range out {
		prefix := strconv.Itoa(k) + "\x00"
		for i, name := range names {
			places[i] = place{name, xxhash.Sum64String(prefix + name)}
		}
		slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.name, b.name)) })
		out[k] = make([]string, len(names))
		for i, p := range places {
			out[k][i] = p.name
		}
	}
	return out
}

// successors returns the gateways that follow a gateway in the rings, without duplicates.
func (r rings) successors(name string) []string { return r.adjacent(name, 1) }

// predecessors returns the gateways that precede a gateway in the rings, without duplicates.
func (r rings) predecessors(name string) []string { return r.adjacent(name, -1) }

func (r rings) adjacent(name string, step int) []string {
	var out []string
	for _, order := range r {
		i := slices.Index(order, name)
		if i < 0 {
			continue
		}
		other := order[(i+step+len(order))%len(order)]
		if other != name && !slices.Contains(out, other) {
			out = append(out, other)
		}
	}
	return out
}
