package placement

import (
	"cmp"
	"slices"
)

// target is a rank that may take a replica.
type target struct {
	rank    int
	evicted int
	evicts  bool
	// relocation makes room first: it takes the only replica of an expert elsewhere.
	relocation Move
	relocates  bool
	// cost is the load that stands in the way.
	cost float64
}

// moves returns the moves that bring a replica of an expert to the target.
func (t target) moves(e int) []Move {
	m := Move{Expert: e, Rank: t.rank, Evicted: t.evicted, Evicts: t.evicts}
	if t.relocates {
		return []Move{t.relocation, m}
	}
	return []Move{m}
}

// targets returns the ranks, of those not reached, on which a replica would find most
// room: those with little load, and a slot that is free or little used. Where all
// replicas on an empty rank are the only ones of their experts, one is taken elsewhere.
func (l *Layer) targets(limit float64) []target {
	all := make([]target, 0, len(l.expertsOn))
	for r := range l.expertsOn {
		if l.path.reached[r] {
			continue
		}
		if t, ok := l.targetOn(r); ok {
			all = append(all, t)
		}
	}
	byPrice := func(a, b target) int { return cmp.Compare(a.cost, b.cost) }
	byEvicted := func(a, b target) int { return cmp.Compare(a.cost-l.load[a.rank], b.cost-l.load[b.rank]) }
	slices.SortFunc(all, byEvicted)
	shifted := l.relocationTargets(all, limit)
	slices.SortFunc(all, byPrice)
	all = all[:min(len(all), maxTriedRanks)]
	return append(all, shifted...)
}

func (l *Layer) targetOn(rank int) (target, bool) {
	t := target{rank: rank, cost: l.load[rank]}
	if len(l.expertsOn[rank]) < l.slots {
		return t, true
	}
	t.evicts = true
	least := -1.0
	for _, x := range l.expertsOn[rank] {
		if len(l.ranksOf[x]) == 1 {
			continue
		}
		f := l.flowOn(x, rank)
		if least < 0 || f < least {
			least = f
			t.evicted = x
		}
	}
	t.cost += least
	return t, least >= 0
}

// relocationTargets returns targets on the emptiest ranks whose replicas are all the only ones of
// their experts. The lightest goes to one of the ranks in by, the best first.
func (l *Layer) relocationTargets(by []target, limit float64) []target {
	var out []target
	for r := range l.expertsOn {
		if l.path.reached[r] || l.load[r] > limit*maxRelocationLoad {
			continue
		}
		x, ok := l.lightestSingleReplica(r)
		if !ok {
			continue
		}
		for _, to := range by {
			if to.rank == r || slices.Contains(l.expertsOn[to.rank], x) {
				continue
			}
			out = append(out, target{
				rank: r, evicted: x, evicts: true, relocates: true, cost: l.load[r],
				relocation: Move{Expert: x, Rank: to.rank, Evicted: to.evicted, Evicts: to.evicts},
			})
			break
		}
	}
	slices.SortFunc(out, func(a, b target) int { return cmp.Compare(a.cost, b.cost) })
	return out[:min(len(out), maxTriedRelocations)]
}

const (
	// maxTriedRelocations bounds the targets with a shift that are weighed.
	maxTriedRelocations = 3
	// maxRelocationLoad is the load, relative to the limit, below which a rank is worth a shift.
	maxRelocationLoad = 0.95
)

// lightestSingleReplica returns the lightest expert of a full rank, when each is the only
// replica or nearly all of them are.
func (l *Layer) lightestSingleReplica(rank int) (int, bool) {
	best := -1
	for _, x := range l.expertsOn[rank] {
		if len(l.ranksOf[x]) == 1 && (best < 0 || l.flowOn(x, rank) < l.flowOn(best, rank)) {
			best = x
		}
	}
	return best, best >= 0 && len(l.expertsOn[rank]) == l.slots
}
