package placement

import "slices"

// Layer is the placement of one layer and how the load of its experts is shared among
// their replicas. It is not safe for concurrent use.
type Layer struct {
	// slots is the number of replicas that a rank holds at most.
	slots int
	// held lists the experts on each rank.
	held [][]int
	// where lists the ranks of each expert, and flow the load that each of them takes.
	where [][]int
	flow  [][]float64
	// load is the load of each rank, and total that of all ranks.
	load  []float64
	total float64
	// handicap is the part of an equal load that a rank is not to bear; nil means none.
	// It is counted as load that cannot be moved.
	handicap []float64
	// order holds scratch space of the water filling.
	order []int
	route route
}

// NewLayer returns a layer without replicas.
func NewLayer(experts, ranks, slots int) *Layer {
	return &Layer{
		slots: slots,
		held:  make([][]int, ranks),
		where: make([][]int, experts),
		flow:  make([][]float64, experts),
		load:  make([]float64, ranks),
		order: make([]int, 0, ranks),
		route: newRoute(experts, ranks),
	}
}

// Clone returns a deep copy.
func (l *Layer) Clone() *Layer {
	c := NewLayer(len(l.where), len(l.held), l.slots)
	c.copyFrom(l)
	return c
}

func (l *Layer) copyFrom(o *Layer) {
	for r := range o.held {
		l.held[r] = append(l.held[r][:0], o.held[r]...)
	}
	for e := range o.where {
		l.where[e] = append(l.where[e][:0], o.where[e]...)
		l.flow[e] = append(l.flow[e][:0], o.flow[e]...)
	}
	copy(l.load, o.load)
	l.total = o.total
	l.handicap = o.handicap
}

// Held returns the experts on a rank. The caller must not change it.
func (l *Layer) Held(rank int) []int { return l.held[rank] }

// Share returns the part of an expert's load that a rank takes.
func (l *Layer) Share(expert, rank int) float64 {
	i := slices.Index(l.where[expert], rank)
	sum := 0.0
	for _, f := range l.flow[expert] {
		sum += f
	}
	if i < 0 {
		return 0
	}
	if sum == 0 {
		return 1 / float64(len(l.where[expert]))
	}
	return l.flow[expert][i] / sum
}

// Add puts a replica of an expert on a rank. It takes no load yet.
func (l *Layer) Add(expert, rank int) {
	l.held[rank] = append(l.held[rank], expert)
	l.where[expert] = append(l.where[expert], rank)
	l.flow[expert] = append(l.flow[expert], 0)
}

// Remove takes the replica of an expert off a rank. Its load goes to the other
// replicas in equal parts.
func (l *Layer) Remove(expert, rank int) {
	i := slices.Index(l.where[expert], rank)
	f := l.flow[expert][i]
	l.held[rank] = slices.DeleteFunc(l.held[rank], func(e int) bool { return e == expert })
	l.where[expert] = slices.Delete(l.where[expert], i, i+1)
	l.flow[expert] = slices.Delete(l.flow[expert], i, i+1)
	l.load[rank] -= f
	part := f / float64(len(l.where[expert]))
	for j, r := range l.where[expert] {
		l.flow[expert][j] += part
		l.load[r] += part
	}
}

// SetLoads takes in the load of each expert. The shares of the replicas stay.
func (l *Layer) SetLoads(loads []float64) {
	l.burden(sumOf(loads))
	for e, want := range loads {
		l.total += want
		sum := 0.0
		for _, f := range l.flow[e] {
			sum += f
		}
		for i, r := range l.where[e] {
			if sum > 0 {
				l.flow[e][i] *= want / sum
			} else {
				l.flow[e][i] = want / float64(len(l.where[e]))
			}
			l.load[r] += l.flow[e][i]
		}
	}
}

// SetHandicaps sets, by rank, the part of an equal load, from 0 to below 1, that a rank
// is not to bear because it is slow. It counts from the next SetLoads on.
func (l *Layer) SetHandicaps(parts []float64) { l.handicap = parts }

// burden starts the ranks with the loads that stand for their handicaps: with
// capacities that sum up to c, a rank in balance bears its capacity times total/c.
func (l *Layer) burden(total float64) {
	clear(l.load)
	l.total = 0
	if l.handicap == nil {
		return
	}
	level := total / (float64(len(l.load)) - sumOf(l.handicap))
	for r, h := range l.handicap {
		l.load[r] = h * level
		l.total += h * level
	}
}

// Max returns the load of the fullest rank.
func (l *Layer) Max() float64 { return slices.Max(l.load) }

// Mean returns the mean load of the ranks.
func (l *Layer) Mean() float64 { return l.total / float64(len(l.load)) }

// Skew returns the maximum over the mean of the ranks' loads.
func (l *Layer) Skew() float64 {
	if l.total == 0 {
		return 1
	}
	return l.Max() / l.Mean()
}
