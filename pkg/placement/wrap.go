package placement

import (
	"cmp"
	"slices"
)

// WrapAround returns a placement made from the loads alone by a wrap-around rule: the light
// experts are spread over the ranks first, then the heavy experts fill up the ranks one after
// another. An expert that does not fit on a rank continues on the next, so most ranks have parts
// of two heavy experts. E experts on R ranks need E+R-1 slots, whereas replicas with even shares
// need a slot for each mean rank load of an expert.
func WrapAround(loads []float64, ranks, slots int) *Layer {
	l := NewLayer(len(loads), ranks, slots)
	order := make([]int, len(loads))
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	heavy := heavyCount(loads, order, ranks, slots)
	for _, e := range order[heavy:] {
		r := l.leastLoadedBelow(slots - 1)
		l.AddReplica(e, r)
		l.load[r] += loads[e]
	}
	w := wrapAroundFill{layer: l, meanLoad: sumOf(loads) / float64(ranks), spareSlots: ranks*slots - len(loads)}
	for i := heavy - 1; i >= 0; i-- {
		e := order[i]
		w.spread(e, loads[e])
	}
	l.fillSpareSlots(loads)
	l.SetLoads(loads)
	return l
}

// heavyCount returns the number of experts that are split over ranks: those whose load is a large
// part of the mean rank load, and as many more as there are too few slots for light ones. order
// lists the experts in the order of descending load.
func heavyCount(loads []float64, order []int, ranks, slots int) int {
	mean := sumOf(loads) / float64(ranks)
	n := 0
	for n < len(order) && loads[order[n]] > minHeavyLoad*mean {
		n++
	}
	n = max(n, len(order)-ranks*(slots-1), 1)
	return min(n, ranks, len(order))
}

// minHeavyLoad is the load, relative to the mean rank load, above which an expert counts as
// heavy.
const minHeavyLoad = 0.75

// wrapAroundFill fills ranks up to the mean load.
type wrapAroundFill struct {
	layer    *Layer
	meanLoad float64
	// spareSlots is the number of slots left beyond one for each expert.
	spareSlots int
}

// spread puts an expert on one rank after another until all of its load is placed.
func (w *wrapAroundFill) spread(e int, remaining float64) {
	for first := true; first || remaining > w.meanLoad*fillTolerance; first = false {
		r := w.nextRank(e, remaining)
		if r < 0 || !first && w.spareSlots == 0 {
			w.placeRemainder(e, remaining)
			return
		}
		if !first {
			w.spareSlots--
		}
		part := min(remaining, max(0, w.meanLoad-w.layer.load[r]))
		w.addReplica(e, r, part)
		remaining -= part
	}
}

// addReplica adds a replica of expert e that takes the given load.
func (w *wrapAroundFill) addReplica(e, rank int, load float64) {
	w.layer.AddReplica(e, rank)
	w.layer.flow[e][len(w.layer.flow[e])-1] = load
	w.layer.load[rank] += load
}

// fillTolerance is the load, relative to the mean, for which no slot is used.
const fillTolerance = 0.002

// nextRank returns the rank to fill next with expert e, or -1: a partly filled one, else one with
// one free slot that the load fills, else one with more free slots.
func (w *wrapAroundFill) nextRank(e int, remaining float64) int {
	best := -1
	// classify returns the class of a rank, the lowest first, and its order within the class.
	classify := func(r int) (int, float64) {
		room := w.meanLoad - w.layer.load[r]
		free := w.layer.slots - len(w.layer.expertsOn[r])
		partly := slices.ContainsFunc(w.layer.expertsOn[r], func(x int) bool { return len(w.layer.flow[x]) > 0 && w.layer.flow[x][0] > 0 })
		switch {
		case partly && room > w.meanLoad*fillTolerance:
			return 0, -room
		case free == 1 && room <= remaining:
			return 1, -room
		case free > 1 && room >= remaining:
			return 2, -room
		case free > 1:
			return 3, -room
		}
		return 4, -room
	}
	var bestClass int
	var bestKey float64
	for r := range w.layer.expertsOn {
		free := w.layer.slots - len(w.layer.expertsOn[r])
		if free < 1 || w.layer.load[r] >= w.meanLoad*(1-fillTolerance) || slices.Contains(w.layer.expertsOn[r], e) {
			continue
		}
		class, key := classify(r)
		if best < 0 || class < bestClass || class == bestClass && key < bestKey {
			best, bestClass, bestKey = r, class, key
		}
	}
	return best
}

// placeRemainder puts the remaining load of an expert on the rank of its newest replica or, when
// it has none, on the least loaded rank with a free slot.
func (w *wrapAroundFill) placeRemainder(e int, remaining float64) {
	if n := len(w.layer.ranksOf[e]); n > 0 {
		w.layer.flow[e][n-1] += remaining
		w.layer.load[w.layer.ranksOf[e][n-1]] += remaining
		return
	}
	if r := w.layer.leastLoaded(e); r >= 0 {
		w.addReplica(e, r, remaining)
	}
}

// fillSpareSlots uses the free slots for further replicas of the experts with the highest load
// per replica.
func (l *Layer) fillSpareSlots(loads []float64) {
	for r := range l.expertsOn {
		for len(l.expertsOn[r]) < l.slots {
			e := l.heaviestAbsent(loads, r)
			if e < 0 {
				break
			}
			l.AddReplica(e, r)
		}
	}
}

// heaviestAbsent returns the expert with the highest load per replica among those without a
// replica on the rank, or -1.
func (l *Layer) heaviestAbsent(loads []float64, rank int) int {
	best := -1
	for e := range l.ranksOf {
		if slices.Contains(l.expertsOn[rank], e) {
			continue
		}
		if best < 0 || loads[e]/float64(len(l.ranksOf[e])) > loads[best]/float64(len(l.ranksOf[best])) {
			best = e
		}
	}
	return best
}

// leastLoadedBelow returns the least loaded rank with fewer than limit replicas, or -1.
func (l *Layer) leastLoadedBelow(limit int) int {
	best := -1
	for r := range l.expertsOn {
		if len(l.expertsOn[r]) >= limit {
			continue
		}
		if best < 0 || l.load[r] < l.load[best] {
			best = r
		}
	}
	return best
}

func sumOf(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}
