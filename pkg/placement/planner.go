package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// Options configure a planner.
type Options struct {
	// Ranks is the number of ranks and Slots the number of replicas of each layer that
	// a rank holds.
	Ranks int
	Slots int
	// Decay is the part of the former estimate that stays when loads are observed,
	// from 0 to below 1.
	Decay float64
	// TrendFloor is the change of an expert's load from one interval to the next,
	// relative to the load, from which it counts as a trend and not as chance.
	TrendFloor float64
	// Trigger is the skew of a layer from which moves are weighed, and Goal the one
	// that they are to reach.
	Trigger float64
	Goal    float64
	// MovesPerPlan bounds the replicas that one plan loads.
	MovesPerPlan int
	// Horizon is the time over which a saving counts.
	Horizon time.Duration
	// MovePrice is the time that the group loses to the load of one replica.
	MovePrice time.Duration
}

// DefaultOptions returns the options for a group of 64 ranks.
func DefaultOptions() Options {
	return Options{
		Ranks: 64, Slots: 3,
		TrendFloor: 0.05,
		Trigger:    1.02, Goal: 1.01,
		MovesPerPlan: 256,
		Horizon:      10 * time.Minute,
		MovePrice:    time.Millisecond,
	}
}

// Planner holds the placement of all layers of a group. It is not safe for concurrent use.
type Planner struct {
	options Options
	layers  []*Layer
	loads   [][]float64
	// trends are the changes of the loads that are expected to go on.
	trends [][]float64
}

// Plan is a change of the placement.
type Plan struct {
	Moves []Move
	// Saving is the part of the step time that the moves save.
	Saving float64
	layers map[int]*Layer
}

// NewPlanner returns a planner with a first placement for the loads of the experts of
// each layer.
func NewPlanner(o Options, loads [][]float64) *Planner {
	p := &Planner{options: o}
	for _, layer := range loads {
		p.loads = append(p.loads, slices.Clone(layer))
		p.trends = append(p.trends, make([]float64, len(layer)))
		l := Wrap(layer, o.Ranks, o.Slots)
		l.Balance(1)
		p.layers = append(p.layers, l)
	}
	return p
}

// Layers returns the placement. The caller must not change it.
func (p *Planner) Layers() []*Layer { return p.layers }

// SetHandicaps sets, by rank, the part of an equal load that a slow rank is not to bear.
// It counts from the next Observe on.
func (p *Planner) SetHandicaps(parts []float64) {
	for _, l := range p.layers {
		l.SetHandicaps(parts)
	}
}

// Observe takes in the loads of the experts of each layer in the newest interval and
// shares those expected in the next one anew among the replicas in place.
func (p *Planner) Observe(loads [][]float64) {
	for i, layer := range loads {
		p.updateEstimates(i, layer)
		p.rebalance(p.layers[i], i, sharesIntervalsAhead)
	}
}

// updateEstimates updates the estimates of a layer's loads and of their changes in an interval.
// Small changes are expected to go on. When much of the layer has changed at once, that
// is a step, and nothing is expected to go on.
func (p *Planner) updateEstimates(layer int, loads []float64) {
	total, moved := 0.0, 0.0
	trends := p.trends[layer]
	for e, x := range loads {
		former := p.loads[layer][e]
		now := p.options.Decay*former + (1-p.options.Decay)*x
		p.loads[layer][e] = now
		trends[e] = now - former
		if math.Abs(trends[e]) < p.options.TrendFloor*former {
			trends[e] = 0
		}
		total += now
		moved += math.Abs(trends[e])
	}
	if moved > minStepChange*total {
		clear(trends)
	}
}

// minStepChange is the part of a layer's load that changes in a step.
const minStepChange = 0.1

// rebalance balances a layer for the loads expected some intervals ahead.
func (p *Planner) rebalance(l *Layer, layer int, ahead float64) {
	loads := make([]float64, len(p.loads[layer]))
	for e, x := range p.loads[layer] {
		loads[e] = max(0, x+ahead*p.trends[layer][e])
	}
	l.SetLoads(loads)
	l.Balance(sharesGoalSkew)
}

// Shares hold for the next interval; the replicas of a plan are in place from the one
// after that.
const (
	sharesIntervalsAhead = 1
	movesIntervalsAhead  = 2
)

// sharesGoalSkew is the skew at which shares are good enough.
const sharesGoalSkew = 1.003

// Skew returns the step-time skew: the fullest ranks over the means, over all layers.
func (p *Planner) Skew() float64 {
	top, mean := 0.0, 0.0
	for _, l := range p.layers {
		top += l.Max()
		mean += l.Mean()
	}
	if mean == 0 {
		return 1
	}
	return top / mean
}

// Plan weighs moves for the layers, the most skewed first.
func (p *Planner) Plan() Plan { return p.PlanWithin(p.options.MovesPerPlan) }

// PlanWithin is Plan with another bound on the replicas to be loaded.
func (p *Planner) PlanWithin(limit int) Plan {
	limit = min(limit, p.options.MovesPerPlan)
	plan := Plan{layers: map[int]*Layer{}}
	for _, i := range p.layersBySkew() {
		left := limit - len(plan.Moves)
		if left <= 0 {
			break
		}
		l := p.layers[i].Clone()
		p.rebalance(l, i, movesIntervalsAhead)
		before := l.Skew()
		if before < p.options.Trigger {
			continue
		}
		moves := l.Improve(p.options.Goal, left)
		saving := (before - l.Skew()) / float64(len(p.layers))
		if !p.isWorthwhile(saving, len(moves)) {
			continue
		}
		for k := range moves {
			moves[k].Layer = i
		}
		plan.Moves = append(plan.Moves, moves...)
		plan.Saving += saving
		plan.layers[i] = l
	}
	return plan
}

// isWorthwhile reports whether a saving over the horizon outweighs the moves.
func (p *Planner) isWorthwhile(saving float64, moves int) bool {
	if moves == 0 {
		return false
	}
	gain := saving * float64(p.options.Horizon)
	return gain > float64(moves)*float64(p.options.MovePrice)
}

// Commit puts a plan into force once its replicas are loaded.
func (p *Planner) Commit(plan Plan) {
	for i, l := range plan.layers {
		p.layers[i] = l
		p.rebalance(l, i, sharesIntervalsAhead)
	}
}

// Map returns the content of the expert map, for the ranks in ascending order.
func (p *Planner) Map(ranks []int) expertmap.Map {
	m := expertmap.Map{Ranks: ranks}
	for _, l := range p.layers {
		m.Layers = append(m.Layers, l.toMapLayer())
	}
	return m
}

// toMapLayer returns the layer as part of an expert map.
func (l *Layer) toMapLayer() expertmap.Layer {
	out := expertmap.Layer{Ranks: make([][]expertmap.Replica, len(l.expertsOn))}
	for r, held := range l.expertsOn {
		for _, e := range held {
			out.Ranks[r] = append(out.Ranks[r], expertmap.Replica{Expert: e, Share: float32(l.Share(e, r))})
		}
	}
	return out
}

func (p *Planner) layersBySkew() []int {
	order := make([]int, len(p.layers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.layers[b].Skew(), p.layers[a].Skew()) })
	return order
}
