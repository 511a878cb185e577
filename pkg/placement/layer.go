package placement

import "slices"

// Layer is the placement of one layer and how the load of its experts is shared among
// their replicas. It is not safe for concurrent use.
type Layer struct {
	// slots is the number of replicas that a rank holds at most.
	slots int
	// expertsOn lists the experts on each rank.
	expertsOn [][]int
	// ranksOf lists the ranks of each expert, and flow the load that each of them takes.
	ranksOf [][]int
	flow    [][]float64
	// load is the load of each rank, and total that of all ranks.
	load      []float64
	totalLoad float64
	// loadReduction is the part of an equal load that a rank is not to bear; nil means none.
	// It is counted as load that cannot be moved.
	loadReduction []float64
	// sortBuffer holds scratch space of the water filling.
	sortBuffer []int
	path       pathSearch
}

// NewLayer returns a layer without replicas.
func NewLayer(experts, ranks, slots int) *Layer {
	return &Layer{
		slots:      slots,
		expertsOn:  make([][]int, ranks),
		ranksOf:    make([][]int, experts),
		flow:       make([][]float64, experts),
		load:       make([]float64, ranks),
		sortBuffer: make([]int, 0, ranks),
		path:       newPathSearch(experts, ranks),
	}
}

// Clone returns a deep copy.
func (l *Layer) Clone() *Layer {
	c := NewLayer(len(l.ranksOf), len(l.expertsOn), l.slots)
	c.copyFrom(l)
	return c
}

func (l *Layer) copyFrom(o *Layer) {
	for r := range o.expertsOn {
		l.expertsOn[r] = append(l.expertsOn[r][:0], o.expertsOn[r]...)
	}
	for e := range o.ranksOf {
		l.ranksOf[e] = append(l.ranksOf[e][:0], o.ranksOf[e]...)
		l.flow[e] = append(l.flow[e][:0], o.flow[e]...)
	}
	copy(l.load, o.load)
	l.totalLoad = o.totalLoad
	l.loadReduction = o.loadReduction
}

// Held returns the experts on a rank. The caller must not change it.
func (l *Layer) Held(rank int) []int { return l.expertsOn[rank] }

// Share returns the part of an expert's load that a rank takes.
func (l *Layer) Share(expert, rank int) float64 {
	i := slices.Index(l.ranksOf[expert], rank)
	sum := 0.0
	for _, f := range l.flow[expert] {
		sum += f
	}
	if i < 0 {
		return 0
	}
	if sum == 0 {
		return 1 / float64(len(l.ranksOf[expert]))
	}
	return l.flow[expert][i] / sum
}

// Add puts a replica of an expert on a rank. It takes no load yet.
func (l *Layer) Add(expert, rank int) {
	l.expertsOn[rank] = append(l.expertsOn[rank], expert)
	l.ranksOf[expert] = append(l.ranksOf[expert], rank)
	l.flow[expert] = append(l.flow[expert], 0)
}

// Remove takes the replica of an expert off a rank. Its load goes to the other
// replicas in equal parts.
func (l *Layer) Remove(expert, rank int) {
	i := slices.Index(l.ranksOf[expert], rank)
	f := l.flow[expert][i]
	l.expertsOn[rank] = slices.DeleteFunc(l.expertsOn[rank], func(e int) bool { return e == expert })
	l.ranksOf[expert] = slices.Delete(l.ranksOf[expert], i, i+1)
	l.flow[expert] = slices.Delete(l.flow[expert], i, i+1)
	l.load[rank] -= f
	part := f / float64(len(l.ranksOf[expert]))
	for j, r := range l.ranksOf[expert] {
		l.flow[expert][j] += part
		l.load[r] += part
	}
}

// SetLoads takes in the load of each expert. The shares of the replicas stay.
func (l *Layer) SetLoads(loads []float64) {
	l.resetLoads(sumOf(loads))
	for e, want := range loads {
		l.totalLoad += want
		sum := 0.0
		for _, f := range l.flow[e] {
			sum += f
		}
		for i, r := range l.ranksOf[e] {
			if sum > 0 {
				l.flow[e][i] *= want / sum
			} else {
				l.flow[e][i] = want / float64(len(l.ranksOf[e]))
			}
			l.load[r] += l.flow[e][i]
		}
	}
}

// SetHandicaps sets, by rank, the part of an equal load, from 0 to below 1, that a rank
// is not to bear because it is slow. It counts from the next SetLoads on.
func (l *Layer) SetHandicaps(parts []float64) { l.loadReduction = parts }

// resetLoads starts the ranks with the loads that stand for their handicaps: with
// capacities that sum up to c, a rank in balance bears its capacity times total/c.
func (l *Layer) resetLoads(total float64) {
	clear(l.load)
	l.totalLoad = 0
	if l.loadReduction == nil {
		return
	}
	level := total / (float64(len(l.load)) - sumOf(l.loadReduction))
	for r, h := range l.loadReduction {
		l.load[r] = h * level
		l.totalLoad += h * level
	}
}

// Max returns the load of the fullest rank.
func (l *Layer) Max() float64 { return slices.Max(l.load) }

// Mean returns the mean load of the ranks.
func (l *Layer) Mean() float64 { return l.totalLoad / float64(len(l.load)) }

// Skew returns the maximum over the mean of the ranks' loads.
func (l *Layer) Skew() float64 {
	if l.totalLoad == 0 {
		return 1
	}
	return l.Max() / l.Mean()
}
