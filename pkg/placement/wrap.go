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
		r := l.emptiestUpTo(slots - 1)
		l.Add(e, r)
		l.load[r] += loads[e]
	}
	w := wrapper{layer: l, mean: sumOf(loads) / float64(ranks), splits: ranks*slots - len(loads)}
	for i := heavy - 1; i >= 0; i-- {
		e := order[i]
		w.place(e, loads[e])
	}
	l.spare(loads)
	l.SetLoads(loads)
	return l
}

// heavyCount returns the number of experts to be spread: those that bear a large part
// of the mean rank load, and as many more as the slots for light ones lack.
func heavyCount(loads []float64, order []int, ranks, slots int) int {
	mean := sumOf(loads) / float64(ranks)
	n := 0
	for n < len(order) && loads[order[n]] > heavyPart*mean {
		n++
	}
	n = max(n, len(order)-ranks*(slots-1), 1)
	return min(n, ranks, len(order))
}

// heavyPart is the part of the mean rank load from which an expert counts as heavy.
const heavyPart = 0.75

// wrapper fills ranks up to the mean.
type wrapper struct {
	layer *Layer
	mean  float64
	// splits is the number of slots beyond one for each expert.
	splits int
}

// place spreads an expert over ranks until its load is used up.
func (w *wrapper) place(e int, left float64) {
	for first := true; first || left > w.mean*fillSlack; first = false {
		r := w.next(e, left)
		if r < 0 || !first && w.splits == 0 {
			w.rest(e, left)
			return
		}
		if !first {
			w.splits--
		}
		part := min(left, max(0, w.mean-w.layer.load[r]))
		w.put(e, r, part)
		left -= part
	}
}

func (w *wrapper) put(e, rank int, load float64) {
	w.layer.Add(e, rank)
	w.layer.flow[e][len(w.layer.flow[e])-1] = load
	w.layer.load[rank] += load
}

// fillSlack is the load, relative to the mean, that is not worth a slot.
const fillSlack = 0.002

// next returns the rank to fill next: one that was left partly filled, one that the
// load fills and that has one slot left, or else one with more slots.
func (w *wrapper) next(e int, left float64) int {
	best := -1
	rank := func(r int) (int, float64) {
		room := w.mean - w.layer.load[r]
		free := w.layer.slots - len(w.layer.held[r])
		partly := slices.ContainsFunc(w.layer.held[r], func(x int) bool { return len(w.layer.flow[x]) > 0 && w.layer.flow[x][0] > 0 })
		switch {
		case partly && room > w.mean*fillSlack:
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
	for r := range w.layer.held {
		free := w.layer.slots - len(w.layer.held[r])
		if free < 1 || w.layer.load[r] >= w.mean*(1-fillSlack) || slices.Contains(w.layer.held[r], e) {
			continue
		}
		class, key := rank(r)
		if best < 0 || class < bestClass || class == bestClass && key < bestKey {
			best, bestClass, bestKey = r, class, key
		}
	}
	return best
}

// rest puts what is left of an expert on its newest rank, or on the emptiest one with a
// slot when it has none yet.
func (w *wrapper) rest(e int, left float64) {
	if n := len(w.layer.where[e]); n > 0 {
		w.layer.flow[e][n-1] += left
		w.layer.load[w.layer.where[e][n-1]] += left
		return
	}
	if r := w.layer.emptiest(e); r >= 0 {
		w.put(e, r, left)
	}
}

// spare uses the slots that are still free for more replicas of the experts whose
// replicas bear most.
func (l *Layer) spare(loads []float64) {
	for r := range l.held {
		for len(l.held[r]) < l.slots {
			e := l.heaviest(loads, r)
			if e < 0 {
				break
			}
			l.Add(e, r)
		}
	}
}

func (l *Layer) heaviest(loads []float64, rank int) int {
	best := -1
	for e := range l.where {
		if slices.Contains(l.held[rank], e) {
			continue
		}
		if best < 0 || loads[e]/float64(len(l.where[e])) > loads[best]/float64(len(l.where[best])) {
			best = e
		}
	}
	return best
}

// emptiestUpTo returns the emptiest rank that holds fewer than limit replicas.
func (l *Layer) emptiestUpTo(limit int) int {
	best := -1
	for r := range l.held {
		if len(l.held[r]) >= limit {
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
