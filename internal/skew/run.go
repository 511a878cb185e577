package skew

import (
	"math/rand/v2"
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
)

// Case is one run.
type Case struct {
	Kind Kind
	// Exponent is that of the Zipf law of the experts' popularity.
	Exponent float64
	// Spare is the number of slots of each rank and layer beyond an equal part of the experts.
	Spare     int
	Layers    int
	Ranks     int
	Experts   int
	Intervals int
	Seed      uint64
}

// Series is what a policy reached.
type Series struct {
	// Skew is the step-time skew of each interval.
	Skew []float64
	// Loads is the number of replicas loaded, and Plans that of plans that loaded some.
	Loads int
	Plans int
}

// Result holds the policies' series of one case.
type Result struct {
	Case    Case
	None    Series
	Full    Series
	Planner Series
}

// Mean returns the mean skew.
func (s Series) Mean() float64 {
	sum := 0.0
	for _, x := range s.Skew {
		sum += x
	}
	return sum / float64(len(s.Skew))
}

// Quantile returns a quantile of the skew, from 0 to 1.
func (s Series) Quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(s.Skew))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// run is a case in progress.
type run struct {
	c       Case
	drifts  []*drift
	seen    [][]float64
	planner *placement.Planner
	pending *placement.Plan
	none    []*placement.Layer
	full    []*placement.Layer
	out     Result
}

// Run runs a case.
func Run(c Case) Result {
	r := &run{c: c, out: Result{Case: c}}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	for range c.Layers {
		d := newDrift(c.Kind, c.Exponent, c.Experts, random)
		r.drifts = append(r.drifts, d)
		r.seen = append(r.seen, slices.Clone(d.now))
		r.none = append(r.none, placement.Greedy(d.now, c.Ranks, r.slots()))
		r.full = append(r.full, nil)
	}
	r.planner = placement.NewPlanner(r.options(), r.seen)
	for i := range c.Intervals {
		r.step(i)
	}
	return r.out
}

func (r *run) slots() int { return r.c.Experts/r.c.Ranks + r.c.Spare }

func (r *run) options() placement.Options {
	o := placement.DefaultOptions()
	o.Ranks = r.c.Ranks
	o.Slots = r.slots()
	return o
}

func (r *run) step(interval int) {
	r.plan()
	r.recompute()
	var none, full, planned, mean float64
	for i, d := range r.drifts {
		loads := d.next(interval, r.planner.Layers()[i])
		none += fullest(r.none[i], loads)
		full += fullest(r.full[i], loads)
		planned += fullest(r.planner.Layers()[i], loads)
		for _, x := range loads {
			mean += x / float64(r.c.Ranks)
		}
		r.seen[i] = loads
	}
	r.out.None.Skew = append(r.out.None.Skew, none/mean)
	r.out.Full.Skew = append(r.out.Full.Skew, full/mean)
	r.out.Planner.Skew = append(r.out.Planner.Skew, planned/mean)
}

func (r *run) plan() {
	if r.pending != nil {
		r.planner.Commit(*r.pending)
		r.pending = nil
	}
	r.planner.Observe(r.seen)
	p := r.planner.Plan()
	if len(p.Moves) == 0 {
		return
	}
	r.pending = &p
	r.out.Planner.Loads += len(p.Moves)
	r.out.Planner.Plans++
}

// recompute places all experts anew, with even shares.
func (r *run) recompute() {
	loads := 0
	for i := range r.full {
		next := placement.Greedy(r.seen[i], r.c.Ranks, r.slots())
		if r.full[i] != nil {
			loads += loaded(r.full[i], next, r.c.Ranks)
		}
		r.full[i] = next
	}
	r.out.Full.Loads += loads
	if loads > 0 {
		r.out.Full.Plans++
	}
}

// loaded counts the replicas of next that former does not have in place.
func loaded(former, next *placement.Layer, ranks int) int {
	n := 0
	for rank := range ranks {
		for _, e := range next.Experts(rank) {
			if !slices.Contains(former.Experts(rank), e) {
				n++
			}
		}
	}
	return n
}

// fullest returns the load of the fullest rank when the placement meets other loads.
func fullest(l *placement.Layer, loads []float64) float64 {
	c := l.Clone()
	c.SetLoads(loads)
	return c.MaxLoad()
}
