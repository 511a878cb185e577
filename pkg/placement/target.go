package placement

import (
	"cmp"
	"slices"
)

// target is a rank that can take a replica, with what has to give way for it.
type target struct {
	rank int
	// evicted is the expert whose replica on the rank is replaced, when evicts is set.
	evicted int
	evicts  bool
	// relocation is carried out first, when relocates is set: it loads expert evicted, whose only
	// replica is on the rank, on another rank.
	relocation Move
	relocates  bool
	// cost orders targets, the lowest first: it is the load of the rank plus, without a
	// relocation, the load of the evicted replica.
	cost float64
}

// moves returns the moves that load a replica of expert e on the target.
func (t target) moves(e int) []Move {
	m := Move{Expert: e, Rank: t.rank, Evicted: t.evicted, Evicts: t.evicts}
	if t.relocates {
		return []Move{t.relocation, m}
	}
	return []Move{m}
}

// targets returns the cheapest targets among the ranks that load cannot be moved to yet. limit is
// the rank load that the moves aim at. Ranks with little load on which every replica is the only
// one of its expert are added as targets with a relocation.
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
	byCost := func(a, b target) int { return cmp.Compare(a.cost, b.cost) }
	byEvictedLoad := func(a, b target) int { return cmp.Compare(a.cost-l.load[a.rank], b.cost-l.load[b.rank]) }
	slices.SortFunc(all, byEvictedLoad)
	relocations := l.relocationTargets(all, limit)
	slices.SortFunc(all, byCost)
	all = all[:min(len(all), maxTriedRanks)]
	return append(all, relocations...)
}

// targetOn returns the target for a rank: a free slot, or else the slot of the replica with the
// least load among those whose expert has another replica. It reports false when there is no such
// slot.
func (l *Layer) targetOn(rank int) (target, bool) {
	t := target{rank: rank, cost: l.load[rank]}
	if len(l.expertsOn[rank]) < l.slots {
		return t, true
	}
	t.evicts = true
	minLoad := -1.0
	for _, e := range l.expertsOn[rank] {
		if len(l.ranksOf[e]) == 1 {
			continue
		}
		load := l.flowOn(e, rank)
		if minLoad < 0 || load < minLoad {
			minLoad = load
			t.evicted = e
		}
	}
	t.cost += minLoad
	return t, minLoad >= 0
}

// relocationTargets returns targets on the least loaded full ranks that free a slot by moving the
// only replica of their lightest expert to the first suitable target in destinations.
func (l *Layer) relocationTargets(destinations []target, limit float64) []target {
	var out []target
	for r := range l.expertsOn {
		if l.path.reached[r] || l.load[r] > limit*maxRelocationLoad {
			continue
		}
		e, ok := l.lightestSingleReplica(r)
		if !ok {
			continue
		}
		for _, to := range destinations {
			if to.rank == r || slices.Contains(l.expertsOn[to.rank], e) {
				continue
			}
			out = append(out, target{
				rank: r, evicted: e, evicts: true, relocates: true, cost: l.load[r],
				relocation: Move{Expert: e, Rank: to.rank, Evicted: to.evicted, Evicts: to.evicts},
			})
			break
		}
	}
	slices.SortFunc(out, func(a, b target) int { return cmp.Compare(a.cost, b.cost) })
	return out[:min(len(out), maxTriedRelocations)]
}

const (
	// maxTriedRelocations is the number of targets with a relocation that are evaluated.
	maxTriedRelocations = 3
	// maxRelocationLoad is the load of a rank, relative to the limit, above which no relocation
	// is tried on it.
	maxRelocationLoad = 0.95
)

// lightestSingleReplica returns the expert with the least load on a rank among those that have no
// replica elsewhere. It reports false when there is none or the rank has a free slot.
func (l *Layer) lightestSingleReplica(rank int) (int, bool) {
	best := -1
	for _, e := range l.expertsOn[rank] {
		if len(l.ranksOf[e]) == 1 && (best < 0 || l.flowOn(e, rank) < l.flowOn(best, rank)) {
			best = e
		}
	}
	return best, best >= 0 && len(l.expertsOn[rank]) == l.slots
}
