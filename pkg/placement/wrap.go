package placement

import (
	"cmp"
	"slices"
)

// Wrap returns a placement made from the loads alone in which the heavy experts fill up,
// one after another, what the light ones leave free on the ranks. An expert that does
// not end with a rank goes on at the next, so that all ranks but few hold parts of two
// heavy experts. With E experts and R ranks it needs E+R-1 slots where even shares need
// a slot for each mean rank load that an expert bears.
func Wrap(loads []float64, ranks, slots int) *Layer {
	l := NewLayer(len(loads), ranks, slots)
	order := make([]int, len(loads))
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	heavy := heavyCount(loads, order, ranks, slots)
	for _, e := range order[heavy:] {
		r := l.leastLoadedBelow(slots - 1)
		l.Add(e, r)
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

// heavyCount returns the number of experts to be spread: those that bear a large part
// of the mean rank load, and as many more as the slots for light ones lack.
func heavyCount(loads []float64, order []int, ranks, slots int) int {
	mean := sumOf(loads) / float64(ranks)
	n := 0
	for n < len(order) && loads[order[n]] > minHeavyLoad*mean {
		n++
	}
	n = max(n, len(order)-ranks*(slots-1), 1)
	return min(n, ranks, len(order))
}

// minHeavyLoad is the part of the mean rank load from which an expert counts as heavy.
const minHeavyLoad = 0.75

// wrapAroundFill fills ranks up to the mean.
type wrapAroundFill struct {
	layer    *Layer
	meanLoad float64
	// spareSlots is the number of slots beyond one for each expert.
	spareSlots int
}

// spread spreads an expert over ranks until its load is used up.
func (w *wrapAroundFill) spread(e int, left float64) {
	for first := true; first || left > w.meanLoad*fillTolerance; first = false {
		r := w.nextRank(e, left)
		if r < 0 || !first && w.spareSlots == 0 {
			w.placeRemainder(e, left)
			return
		}
		if !first {
			w.spareSlots--
		}
		part := min(left, max(0, w.meanLoad-w.layer.load[r]))
		w.addReplica(e, r, part)
		left -= part
	}
}

func (w *wrapAroundFill) addReplica(e, rank int, load float64) {
	w.layer.Add(e, rank)
	w.layer.flow[e][len(w.layer.flow[e])-1] = load
	w.layer.load[rank] += load
}

// fillTolerance is the load, relative to the mean, that is not worth a slot.
const fillTolerance = 0.002

// nextRank returns the rank to fill nextRank: one that was left partly filled, one that the
// load fills and that has one slot left, or else one with more slots.
func (w *wrapAroundFill) nextRank(e int, left float64) int {
	best := -1
	rank := func(r int) (int, float64) {
		room := w.meanLoad - w.layer.load[r]
		free := w.layer.slots - len(w.layer.expertsOn[r])
		partly := slices.ContainsFunc(w.layer.expertsOn[r], func(x int) bool { return len(w.layer.flow[x]) > 0 && w.layer.flow[x][0] > 0 })
		switch {
		case partly && room > w.meanLoad*fillTolerance:
			return 0, -room
		case free == 1 && room <= left:
			return 1, -room
		case free > 1 && room >= left:
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
		class, key := rank(r)
		if best < 0 || class < bestClass || class == bestClass && key < bestKey {
			best, bestClass, bestKey = r, class, key
		}
	}
	return best
}

// placeRemainder puts what is left of an expert on its newest rank, or on the emptiest one with a
// slot when it has none yet.
func (w *wrapAroundFill) placeRemainder(e int, left float64) {
	if n := len(w.layer.ranksOf[e]); n > 0 {
		w.layer.flow[e][n-1] += left
		w.layer.load[w.layer.ranksOf[e][n-1]] += left
		return
	}
	if r := w.layer.leastLoaded(e); r >= 0 {
		w.addReplica(e, r, left)
	}
}

// fillSpareSlots uses the slots that are still free for more replicas of the experts whose
// replicas bear most.
func (l *Layer) fillSpareSlots(loads []float64) {
	for r := range l.expertsOn {
		for len(l.expertsOn[r]) < l.slots {
			e := l.heaviestAbsent(loads, r)
			if e < 0 {
				break
			}
			l.Add(e, r)
		}
	}
}

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

// leastLoadedBelow returns the emptiest rank that holds fewer than limit replicas.
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
