package placement

import "slices"

// Layer is the placement of one layer: the experts on each rank, and how the load of each expert
// is shared among its replicas. It is not safe for concurrent use.
type Layer struct {
	// slots is the maximum number of replicas on a rank.
	slots int
	// expertsOn lists the experts by rank.
	expertsOn [][]int
	// ranksOf lists the ranks by expert, and flow the load that each of these ranks takes of the
	// expert, in the same order.
	ranksOf [][]int
	flow    [][]float64
	// load is the load by rank, and totalLoad the sum over all ranks. Both include the load that
	// represents loadReduction.
	load      []float64
	totalLoad float64
	// loadReduction is, by rank, the part of an equal load that the rank is not to take because
	// it is slow; nil means none. It is counted as load that cannot be moved.
	loadReduction []float64
	// sortBuffer is scratch space of waterLevel.
	sortBuffer []int
	// path is scratch space of findPath.
	path pathSearch
}

// NewLayer returns a layer without replicas. slots is the maximum number of replicas on a rank.
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

// Clone returns a deep copy, except for the load reductions, which are shared.
func (l *Layer) Clone() *Layer {
	c := NewLayer(len(l.ranksOf), len(l.expertsOn), l.slots)
	c.copyFrom(l)
	return c
}

// copyFrom makes l a copy of other, which must have the same number of experts and ranks.
func (l *Layer) copyFrom(other *Layer) {
	for r := range other.expertsOn {
		l.expertsOn[r] = append(l.expertsOn[r][:0], other.expertsOn[r]...)
	}
	for e := range other.ranksOf {
		l.ranksOf[e] = append(l.ranksOf[e][:0], other.ranksOf[e]...)
		l.flow[e] = append(l.flow[e][:0], other.flow[e]...)
	}
	copy(l.load, other.load)
	l.totalLoad = other.totalLoad
	l.loadReduction = other.loadReduction
}

// Experts returns the experts on a rank. The caller must not change the slice.
func (l *Layer) Experts(rank int) []int { return l.expertsOn[rank] }

// Share returns the part of an expert's load, from 0 to 1, that a rank takes.
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

// AddReplica puts a replica of an expert on a rank. The replica takes no load until the loads are
// rebalanced.
func (l *Layer) AddReplica(expert, rank int) {
	l.expertsOn[rank] = append(l.expertsOn[rank], expert)
	l.ranksOf[expert] = append(l.ranksOf[expert], rank)
	l.flow[expert] = append(l.flow[expert], 0)
}

// RemoveReplica takes the replica of an expert off a rank and shares its load equally among the
// other replicas.
func (l *Layer) RemoveReplica(expert, rank int) {
	i := slices.Index(l.ranksOf[expert], rank)
	flow := l.flow[expert][i]
	l.expertsOn[rank] = slices.DeleteFunc(l.expertsOn[rank], func(e int) bool { return e == expert })
	l.ranksOf[expert] = slices.Delete(l.ranksOf[expert], i, i+1)
	l.flow[expert] = slices.Delete(l.flow[expert], i, i+1)
	l.load[rank] -= flow
	part := flow / float64(len(l.ranksOf[expert]))
	for j, r := range l.ranksOf[expert] {
		l.flow[expert][j] += part
		l.load[r] += part
	}
}

// SetLoads sets the load of each expert and keeps the shares of the replicas.
func (l *Layer) SetLoads(loads []float64) {
	l.resetLoads(sumOf(loads))
	for e, load := range loads {
		l.totalLoad += load
		sum := 0.0
		for _, f := range l.flow[e] {
			sum += f
		}
		for i, r := range l.ranksOf[e] {
			if sum > 0 {
				l.flow[e][i] *= load / sum
			} else {
				l.flow[e][i] = load / float64(len(l.ranksOf[e]))
			}
			l.load[r] += l.flow[e][i]
		}
	}
}

// SetLoadReductions sets, by rank, the part of an equal load, from 0 to below 1, that a slow rank
// is not to take. It takes effect with the next SetLoads.
func (l *Layer) SetLoadReductions(reductions []float64) { l.loadReduction = reductions }

// resetLoads sets the load of each rank to the load that represents its reduction. The capacity
// of a rank is 1 minus its reduction: with capacities that sum up to c, a balanced rank takes its
// capacity times total/c.
func (l *Layer) resetLoads(total float64) {
	clear(l.load)
	l.totalLoad = 0
	if l.loadReduction == nil {
		return
	}
	level := total / (float64(len(l.load)) - sumOf(l.loadReduction))
	for r, reduction := range l.loadReduction {
		l.load[r] = reduction * level
		l.totalLoad += reduction * level
	}
}

// MaxLoad returns the load of the most loaded rank.
func (l *Layer) MaxLoad() float64 { return slices.Max(l.load) }

// MeanLoad returns the mean load of the ranks.
func (l *Layer) MeanLoad() float64 { return l.totalLoad / float64(len(l.load)) }

// Skew returns the load of the most loaded rank over the mean load of the ranks.
func (l *Layer) Skew() float64 {
	if l.totalLoad == 0 {
		return 1
	}
	return l.MaxLoad() / l.MeanLoad()
}
