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
	// Evicted is the expert whose replica gives up its slot, when Evicts is set.
	Evicted int
	Evicts  bool
	// Gain is the fall of the layer's skew that the move brings.
	Gain float64
}

const (
	// maxTriedExperts and triedRanks bound the moves that are weighed for the fullest rank.
	maxTriedExperts = 4
	maxTriedRanks   = 10
	// minExcessReduction is the load above the goal that a move must take away, relative to
	// the mean rank load.
	minExcessReduction = 0.005
)

// Improve moves replicas, at most limit, until the skew is at most goal or no move
// helps. The layer stays balanced.
func (l *Layer) Improve(goal float64, limit int) []Move {
	var moves []Move
	trial := l.Clone()
	best := l.Clone()
	for len(moves) < limit && l.Skew() > goal+skewTolerance {
		before := l.Skew()
		found := l.bestMoves(goal, trial, best)
		if len(found) == 0 || len(moves)+len(found) > limit {
			break
		}
		l.copyFrom(best)
		found[len(found)-1].Gain = before - l.Skew()
		moves = append(moves, found...)
	}
	return moves
}

// skewTolerance is the skew above the goal that counts as nothing.
const skewTolerance = 1e-4

// bestMoves weighs moves off the ranks that cannot be relieved, and leaves the outcome
// of the best in best.
func (l *Layer) bestMoves(goal float64, trial, best *Layer) []Move {
	limit := goal * l.Mean()
	if _, found := l.findPath(l.Fullest(), limit*(1-loadTolerance)); found {
		return nil
	}
	targets := l.targets(limit)
	least := l.excess(goal) - minExcessReduction*l.Mean()
	for _, e := range l.heaviestReached() {
		if moves := l.evaluateTargets(e, targets, goal, least, trial, best); len(moves) > 0 {
			return moves
		}
	}
	return nil
}

// evaluateTargets weighs a replica of an expert on each target, and returns the moves that
// leave the least load above the goal, when that is below least. It leaves their outcome
// in best, and takes the first that leaves none.
func (l *Layer) evaluateTargets(e int, targets []target, goal, least float64, trial, best *Layer) []Move {
	var moves []Move
	for _, t := range targets {
		if slices.Contains(l.expertsOn[t.rank], e) || t.relocates && t.relocation.Expert == e {
			continue
		}
		trial.copyFrom(l)
		try := t.moves(e)
		for _, m := range try {
			trial.Apply(m)
		}
		trial.pushExcess(goal * l.Mean())
		if x := trial.excess(goal); x < least {
			least = x
			moves = try
			best.copyFrom(trial)
		}
		if least <= 0 {
			break
		}
	}
	return moves
}

// Apply carries out a move. The new replica takes no load until the next Balance.
func (l *Layer) Apply(m Move) {
	if m.Evicts {
		l.Remove(m.Evicted, m.Rank)
	}
	l.Add(m.Expert, m.Rank)
}

// excess returns the load above goal, summed over the ranks.
func (l *Layer) excess(goal float64) float64 {
	limit := goal * l.Mean()
	sum := 0.0
	for _, x := range l.load {
		sum += max(0, x-limit)
	}
	return sum
}

// Fullest returns the rank that bears most.
func (l *Layer) Fullest() int {
	best := 0
	for r, x := range l.load {
		if x > l.load[best] {
			best = r
		}
	}
	return best
}

// heaviestReached returns the experts that load the reached ranks most. All their
// replicas are on reached ranks.
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

func (l *Layer) flowOn(e, rank int) float64 { return *l.flowRef(e, rank) }

func (l *Layer) flowRef(e, rank int) *float64 { return &l.flow[e][slices.Index(l.ranksOf[e], rank)] }
