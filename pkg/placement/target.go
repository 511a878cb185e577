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
	// shift makes room first: it takes the only replica of an expert elsewhere.
	shift  Move
	shifts bool
	// price is the load that stands in the way.
	price float64
}

// moves returns the moves that bring a replica of an expert to the target.
func (t target) moves(e int) []Move {
	m := Move{Expert: e, Rank: t.rank, Evicted: t.evicted, Evicts: t.evicts}
	if t.shifts {
		return []Move{t.shift, m}
	}
	return []Move{m}
}

// targets returns the ranks, of those not reached, on which a replica would find most
// room: those with little load, and a slot that is free or little used. Where all
// replicas on an empty rank are the only ones of their experts, one is taken elsewhere.
func (l *Layer) targets(limit float64) []target {
	all := make([]target, 0, len(l.held))
	for r := range l.held {
		if l.route.reached[r] {
			continue
		}
		if t, ok := l.target(r); ok {
			all = append(all, t)
		}
	}
	byPrice := func(a, b target) int { return cmp.Compare(a.price, b.price) }
	byEvicted := func(a, b target) int { return cmp.Compare(a.price-l.load[a.rank], b.price-l.load[b.rank]) }
	slices.SortFunc(all, byEvicted)
	shifted := l.shifted(all, limit)
	slices.SortFunc(all, byPrice)
	all = all[:min(len(all), triedRanks)]
	return append(all, shifted...)
}

func (l *Layer) target(rank int) (target, bool) {
	t := target{rank: rank, price: l.load[rank]}
	if len(l.held[rank]) < l.slots {
		return t, true
	}
	t.evicts = true
	least := -1.0
	for _, x := range l.held[rank] {
		if len(l.where[x]) == 1 {
			continue
		}
		f := l.flowOn(x, rank)
		if least < 0 || f < least {
			least = f
			t.evicted = x
		}
	}
	t.price += least
	return t, least >= 0
}

// shifted returns targets on the emptiest ranks whose replicas are all the only ones of
// their experts. The lightest goes to one of the ranks in by, the best first.
func (l *Layer) shifted(by []target, limit float64) []target {
	var out []target
	for r := range l.held {
		if l.route.reached[r] || l.load[r] > limit*shiftBelow {
			continue
		}
		x, ok := l.lightestSole(r)
		if !ok {
			continue
		}
		for _, to := range by {
			if to.rank == r || slices.Contains(l.held[to.rank], x) {
				continue
			}
			out = append(out, target{
				rank: r, evicted: x, evicts: true, shifts: true, price: l.load[r],
				shift: Move{Expert: x, Rank: to.rank, Evicted: to.evicted, Evicts: to.evicts},
			})
			break
		}
	}
	slices.SortFunc(out, func(a, b target) int { return cmp.Compare(a.price, b.price) })
	return out[:min(len(out), triedShifts)]
}

const (
	// triedShifts bounds the targets with a shift that are weighed.
	triedShifts = 3
	// shiftBelow is the load, relative to the limit, below which a rank is worth a shift.
	shiftBelow = 0.95
)

// lightestSole returns the lightest expert of a full rank, when each is the only
// replica or nearly all of them are.
func (l *Layer) lightestSole(rank int) (int, bool) {
	best := -1
	for _, x := range l.held[rank] {
		if len(l.where[x]) == 1 && (best < 0 || l.flowOn(x, rank) < l.flowOn(best, rank)) {
			best = x
		}
	}
	return best, best >= 0 && len(l.held[rank]) == l.slots
}
