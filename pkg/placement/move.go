package placement

import (
	"cmp"
	"slices"
)

// Move loads an expert on a rank, in the slot of another expert when Evicts is set.
type Move struct {
	Layer  int
	Expert int
	Rank   int
	// Evicted is the expert whose replica is replaced, when Evicts is set.
	Evicted int
	Evicts  bool
	// Gain is the reduction of the layer's skew. The last move of a group that is carried out
	// together has the gain of all.
	Gain float64
}

const (
	// maxTriedExperts and maxTriedRanks limit the moves that are evaluated at a time.
	maxTriedExperts = 4
	maxTriedRanks   = 10
	// minExcessReduction is the load above the goal that a move must remove, relative to the mean
	// rank load.
	minExcessReduction = 0.005
)

// Improve moves at most limit replicas, until the skew is at most goal or no move reduces it. It
// returns the moves in the order in which they are carried out. The layer stays balanced.
func (l *Layer) Improve(goal float64, limit int) []Move {
	var moves []Move
	scratch := l.Clone()
	best := l.Clone()
	for len(moves) < limit && l.Skew() > goal+skewTolerance {
		before := l.Skew()
		found := l.bestMoves(goal, scratch, best)
		if len(found) == 0 || len(moves)+len(found) > limit {
			break
		}
		l.copyFrom(best)
		found[len(found)-1].Gain = before - l.Skew()
		moves = append(moves, found...)
	}
	return moves
}

// skewTolerance is the skew above the goal that is ignored.
const skewTolerance = 1e-4

// bestMoves looks for moves off the ranks whose load cannot be reduced by new shares. It returns
// the moves and stores the resulting layer in best; scratch is a buffer.
func (l *Layer) bestMoves(goal float64, scratch, best *Layer) []Move {
	limit := goal * l.MeanLoad()
	if _, found := l.findPath(l.MostLoadedRank(), limit*(1-loadTolerance)); found {
		return nil
	}
	targets := l.targets(limit)
	leastExcess := l.excess(goal) - minExcessReduction*l.MeanLoad()
	for _, e := range l.heaviestReached() {
		if moves := l.evaluateTargets(e, targets, goal, leastExcess, scratch, best); len(moves) > 0 {
			return moves
		}
	}
	return nil
}

// evaluateTargets evaluates a replica of expert e on each target. It returns the moves that leave
// the least load above the goal, if that is below leastExcess, and stores the resulting layer in
// best. It stops at the first target that leaves no load above the goal. scratch is a buffer.
func (l *Layer) evaluateTargets(e int, targets []target, goal, leastExcess float64, scratch, best *Layer) []Move {
	var moves []Move
	for _, t := range targets {
		if slices.Contains(l.expertsOn[t.rank], e) || t.relocates && t.relocation.Expert == e {
			continue
		}
		scratch.copyFrom(l)
		candidate := t.moves(e)
		for _, m := range candidate {
			scratch.Apply(m)
		}
		scratch.pushExcess(goal * l.MeanLoad())
		if excess := scratch.excess(goal); excess < leastExcess {
			leastExcess = excess
			moves = candidate
			best.copyFrom(scratch)
		}
		if leastExcess <= 0 {
			break
		}
	}
	return moves
}

// Apply carries out a move. The new replica takes no load until the next Balance.
func (l *Layer) Apply(m Move) {
	if m.Evicts {
		l.RemoveReplica(m.Evicted, m.Rank)
	}
	l.AddReplica(m.Expert, m.Rank)
}

// excess returns the load above goal times the mean, summed over the ranks.
func (l *Layer) excess(goal float64) float64 {
	limit := goal * l.MeanLoad()
	sum := 0.0
	for _, x := range l.load {
		sum += max(0, x-limit)
	}
	return sum
}

// MostLoadedRank returns the index of the most loaded rank.
func (l *Layer) MostLoadedRank() int {
	best := 0
	for r, x := range l.load {
		if x > l.load[best] {
			best = r
		}
	}
	return best
}

// heaviestReached returns the experts with the most load on the ranks that the last findPath
// reached, heaviest first. All replicas of these experts are on reached ranks.
func (l *Layer) heaviestReached() []int {
	load := make([]float64, len(l.ranksOf))
	var out []int
	for r, reached := range l.path.reached {
		if !reached {
			continue
		}
		for _, e := range l.expertsOn[r] {
			if load[e] == 0 {
				out = append(out, e)
			}
			load[e] += l.flowOn(e, r)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(load[b], load[a]) })
	return out[:min(len(out), maxTriedExperts)]
}

// flowOn returns the load of expert e that a rank takes. The rank must have a replica.
func (l *Layer) flowOn(e, rank int) float64 { return *l.flowRef(e, rank) }

// flowRef returns a pointer to the load of expert e that a rank takes.
func (l *Layer) flowRef(e, rank int) *float64 { return &l.flow[e][slices.Index(l.ranksOf[e], rank)] }
