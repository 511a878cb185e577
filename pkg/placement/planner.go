package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// Options configure a Planner.
type Options struct {
	// Ranks is the number of ranks, and Slots the maximum number of replicas of each layer on a
	// rank.
	Ranks int
	Slots int
	// EstimateDecay is the weight of the previous load estimate when loads are observed, from 0
	// to below 1.
	EstimateDecay float64
	// MinTrendChange is the change of an expert's load between two intervals, relative to the
	// load, from which it counts as a trend. Smaller changes count as noise.
	MinTrendChange float64
	// TriggerSkew is the skew of a layer from which moves are planned, and GoalSkew the skew at
	// which planning stops.
	TriggerSkew float64
	GoalSkew    float64
	// MaxMovesPerPlan is the maximum number of replicas that one plan loads.
	MaxMovesPerPlan int
	// Horizon is the time over which the saving of a move counts.
	Horizon time.Duration
	// MoveCost is the time that the group loses by loading one replica.
	MoveCost time.Duration
}

// DefaultOptions returns the options for a group of 64 ranks.
func DefaultOptions() Options {
	return Options{
		Ranks: 64, Slots: 3,
		MinTrendChange: 0.05,
		TriggerSkew:    1.02, GoalSkew: 1.01,
		MaxMovesPerPlan: 256,
		Horizon:         10 * time.Minute,
		MoveCost:        time.Millisecond,
	}
}

// Planner plans the placement of all layers of a group. It is not safe for concurrent use.
type Planner struct {
	options Options
	layers  []*Layer
	// loads are the estimated loads by layer and expert.
	loads [][]float64
	// trends are the changes of the loads per interval, by layer and expert, that are expected to
	// continue.
	trends [][]float64
}

// Plan is a change of the placement.
type Plan struct {
	Moves []Move
	// Saving is the part of the step time that the moves save.
	Saving float64
	// layers are the changed layers by index.
	layers map[int]*Layer
}

// NewPlanner returns a planner with an initial placement for loads, given by layer and expert.
func NewPlanner(o Options, loads [][]float64) *Planner {
	p := &Planner{options: o}
	for _, layer := range loads {
		p.loads = append(p.loads, slices.Clone(layer))
		p.trends = append(p.trends, make([]float64, len(layer)))
		l := WrapAround(layer, o.Ranks, o.Slots)
		l.Balance(1)
		p.layers = append(p.layers, l)
	}
	return p
}

// Layers returns the current placement. The caller must not change it.
func (p *Planner) Layers() []*Layer { return p.layers }

// SetLoadReductions sets, by rank, the part of an equal load, from 0 to below 1, that a slow rank
// is not to take. It takes effect with the next Observe.
func (p *Planner) SetLoadReductions(reductions []float64) {
	for _, l := range p.layers {
		l.SetLoadReductions(reductions)
	}
}

// Observe updates the load estimates with the loads of the last interval, by layer and expert,
// and shares the loads expected in the next interval among the present replicas.
func (p *Planner) Observe(loads [][]float64) {
	for i, layer := range loads {
		p.updateEstimates(i, layer)
		p.rebalance(p.layers[i], i, sharesIntervalsAhead)
	}
}

// updateEstimates updates the load estimates and the trends of a layer. A small change is
// expected to continue. When a large part of the layer's load changes at once, the change is a
// step and no trend is expected.
func (p *Planner) updateEstimates(layer int, loads []float64) {
	total, changed := 0.0, 0.0
	trends := p.trends[layer]
	for e, x := range loads {
		previous := p.loads[layer][e]
		estimate := p.options.EstimateDecay*previous + (1-p.options.EstimateDecay)*x
		p.loads[layer][e] = estimate
		trends[e] = estimate - previous
		if math.Abs(trends[e]) < p.options.MinTrendChange*previous {
			trends[e] = 0
		}
		total += estimate
		changed += math.Abs(trends[e])
	}
	if changed > minStepChange*total {
		clear(trends)
	}
}

// minStepChange is the change of a layer's load, relative to the load, above which it is a step.
const minStepChange = 0.1

// rebalance shares the loads expected a number of intervals ahead among the replicas of l.
func (p *Planner) rebalance(l *Layer, layer int, intervalsAhead float64) {
	loads := make([]float64, len(p.loads[layer]))
	for e, x := range p.loads[layer] {
		loads[e] = max(0, x+intervalsAhead*p.trends[layer][e])
	}
	l.SetLoads(loads)
	l.Balance(sharesGoalSkew)
}

// New shares take effect in the next interval. The replicas of a plan are loaded one interval
// later.
const (
	sharesIntervalsAhead = 1
	movesIntervalsAhead  = 2
)

// sharesGoalSkew is the skew at which balancing the shares stops.
const sharesGoalSkew = 1.003

// Skew returns the skew of the step time: the sum over the layers of the load of the most loaded
// rank, over the sum of the mean loads.
func (p *Planner) Skew() float64 {
	highest, mean := 0.0, 0.0
	for _, l := range p.layers {
		highest += l.MaxLoad()
		mean += l.MeanLoad()
	}
	if mean == 0 {
		return 1
	}
	return highest / mean
}

// Plan plans moves for the layers, in the order of descending skew. The moves are not in force
// until Commit.
func (p *Planner) Plan() Plan { return p.PlanWithin(p.options.MaxMovesPerPlan) }

// PlanWithin is Plan with at most limit replicas to load.
func (p *Planner) PlanWithin(limit int) Plan {
	limit = min(limit, p.options.MaxMovesPerPlan)
	plan := Plan{layers: map[int]*Layer{}}
	for _, i := range p.layersBySkew() {
		remaining := limit - len(plan.Moves)
		if remaining <= 0 {
			break
		}
		l := p.layers[i].Clone()
		p.rebalance(l, i, movesIntervalsAhead)
		before := l.Skew()
		if before < p.options.TriggerSkew {
			continue
		}
		moves := l.Improve(p.options.GoalSkew, remaining)
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

// isWorthwhile reports whether a saving, as part of the step time, over the horizon exceeds the
// cost of the moves.
func (p *Planner) isWorthwhile(saving float64, moves int) bool {
	if moves == 0 {
		return false
	}
	gain := saving * float64(p.options.Horizon)
	return gain > float64(moves)*float64(p.options.MoveCost)
}

// Commit puts a plan into force. Call it once the replicas of the plan are loaded.
func (p *Planner) Commit(plan Plan) {
	for i, l := range plan.layers {
		p.layers[i] = l
		p.rebalance(l, i, sharesIntervalsAhead)
	}
}

// Map returns the expert map of the placement for ranks, which are in ascending order.
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
	for r, experts := range l.expertsOn {
		for _, e := range experts {
			out.Ranks[r] = append(out.Ranks[r], expertmap.Replica{Expert: e, Share: float32(l.Share(e, r))})
		}
	}
	return out
}

// layersBySkew returns the indexes of the layers in the order of descending skew.
func (p *Planner) layersBySkew() []int {
	order := make([]int, len(p.layers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.layers[b].Skew(), p.layers[a].Skew()) })
	return order
}
