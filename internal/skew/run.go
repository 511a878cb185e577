package skew

import (
	"math/rand/v2"
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
)

// Case holds the parameters of one run.
type Case struct {
	Drift DriftKind
	// Exponent is the exponent of the Zipf distribution of the experts' popularity.
	Exponent float64
	// SpareSlots is the number of slots of each rank and layer beyond Experts/Ranks.
	SpareSlots int
	Layers     int
	Ranks      int
	Experts    int
	Intervals  int
	Seed       uint64
}

// Series holds the results of one policy.
type Series struct {
	// Skew is the step-time skew of each interval: the maximum load of a rank, summed over the
	// layers, relative to the mean load.
	Skew []float64
	// ReplicaLoads is the number of replicas loaded, and Plans the number of plans that loaded any.
	ReplicaLoads int
	Plans        int
}

// Result holds the series of each policy for one case.
type Result struct {
	Case          Case
	NoRebalancing Series
	FullRecompute Series
	Planner       Series
}

// Mean returns the mean skew.
func (s Series) Mean() float64 {
	sum := 0.0
	for _, x := range s.Skew {
		sum += x
	}
	return sum / float64(len(s.Skew))
}

// Quantile returns the quantile q of the skew; q is between 0 and 1.
func (s Series) Quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(s.Skew))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// run is the state of a case in progress. The slices are indexed by layer.
type run struct {
	c                Case
	drifts           []*drift
	observedLoads    [][]float64
	planner          *placement.Planner
	pending          *placement.Plan
	initialLayers    []*placement.Layer
	recomputedLayers []*placement.Layer
	result           Result
}

// Run simulates a case and returns the results of all policies.
func Run(c Case) Result {
	r := &run{c: c, result: Result{Case: c}}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	for range c.Layers {
		d := newDrift(c.Drift, c.Exponent, c.Experts, random)
		r.drifts = append(r.drifts, d)
		r.observedLoads = append(r.observedLoads, slices.Clone(d.popularity))
		r.initialLayers = append(r.initialLayers, placement.Greedy(d.popularity, c.Ranks, r.slots()))
		r.recomputedLayers = append(r.recomputedLayers, nil)
	}
	r.planner = placement.NewPlanner(r.options(), r.observedLoads)
	for i := range c.Intervals {
		r.runInterval(i)
	}
	return r.result
}

func (r *run) slots() int { return r.c.Experts/r.c.Ranks + r.c.SpareSlots }

func (r *run) options() placement.Options {
	o := placement.DefaultOptions()
	o.Ranks = r.c.Ranks
	o.Slots = r.slots()
	return o
}

func (r *run) runInterval(interval int) {
	r.planInterval()
	r.recompute()
	var none, full, planned, mean float64
	for i, d := range r.drifts {
		loads := d.next(interval, r.planner.Layers()[i])
		none += maxRankLoad(r.initialLayers[i], loads)
		full += maxRankLoad(r.recomputedLayers[i], loads)
		planned += maxRankLoad(r.planner.Layers()[i], loads)
		for _, x := range loads {
			mean += x / float64(r.c.Ranks)
		}
		r.observedLoads[i] = loads
	}
	r.result.NoRebalancing.Skew = append(r.result.NoRebalancing.Skew, none/mean)
	r.result.FullRecompute.Skew = append(r.result.FullRecompute.Skew, full/mean)
	r.result.Planner.Skew = append(r.result.Planner.Skew, planned/mean)
}

// planInterval commits the plan of the previous interval and makes the next one.
func (r *run) planInterval() {
	if r.pending != nil {
		r.planner.Commit(*r.pending)
		r.pending = nil
	}
	r.planner.Observe(r.observedLoads)
	p := r.planner.Plan()
	if len(p.Moves) == 0 {
		return
	}
	r.pending = &p
	r.result.Planner.ReplicaLoads += len(p.Moves)
	r.result.Planner.Plans++
}

// recompute places all experts from scratch for the observed loads.
func (r *run) recompute() {
	loads := 0
	for i := range r.recomputedLayers {
		next := placement.Greedy(r.observedLoads[i], r.c.Ranks, r.slots())
		if r.recomputedLayers[i] != nil {
			loads += countLoadedReplicas(r.recomputedLayers[i], next, r.c.Ranks)
		}
		r.recomputedLayers[i] = next
	}
	r.result.FullRecompute.ReplicaLoads += loads
	if loads > 0 {
		r.result.FullRecompute.Plans++
	}
}

// countLoadedReplicas returns the number of replicas in next that previous does not have on the
// same rank.
func countLoadedReplicas(previous, next *placement.Layer, ranks int) int {
	n := 0
	for rank := range ranks {
		for _, e := range next.Experts(rank) {
			if !slices.Contains(previous.Experts(rank), e) {
				n++
			}
		}
	}
	return n
}

// maxRankLoad returns the load of the most loaded rank under the given loads of the experts.
func maxRankLoad(l *placement.Layer, loads []float64) float64 {
	c := l.Clone()
	c.SetLoads(loads)
	return c.MaxLoad()
}
