package placement

import (
	"cmp"
	"slices"
)

// EvenPlanner plans the placement of a group whose ranks share the load of an expert evenly among
// its replicas, so that only the choice of ranks balances.
type EvenPlanner struct {
	// Slots is the maximum number of experts on a rank in a layer.
	Slots int
	// MaxNewPerLayer is the maximum number of new experts that a rank loads in a layer.
	MaxNewPerLayer int
	// MaxNewPerPlan is the maximum number of new experts that a rank loads in one plan, over all
	// layers. Ranks load one expert after another, and the slowest rank makes all others wait.
	MaxNewPerPlan int
	// GoalSkew is the skew of a layer at which planning stops.
	GoalSkew float64
	// Slowdown is, by rank, how many times as long as usual the rank takes for the same work; nil
	// means that no rank is slow. The load of a rank is its work times this factor.
	Slowdown []float64
}

// slowdown returns the slowdown factor of a rank; 1 is usual.
func (g EvenPlanner) slowdown(rank int) float64 {
	if rank < len(g.Slowdown) && g.Slowdown[rank] > 0 {
		return g.Slowdown[rank]
	}
	return 1
}

// EvenPlan is the result of EvenPlanner.Plan.
type EvenPlan struct {
	// Experts lists the experts by layer and rank.
	Experts [][][]int
	// SkewBefore and SkewAfter are the mean skew of the layers without and with the plan.
	SkewBefore float64
	SkewAfter  float64
	// MaxNewOnRank is the largest number of new experts on one rank, and NewReplicas the number
	// on all ranks.
	MaxNewOnRank int
	NewReplicas  int
}

// Skew returns the mean skew of the layers. expertsOn lists the experts by layer and rank, and
// loads the loads by layer and expert.
func (g EvenPlanner) Skew(expertsOn [][][]int, loads [][]float64) float64 {
	sum := 0.0
	for i := range expertsOn {
		sum += newEvenLayer(g, expertsOn[i], loads[i], nil).skew()
	}
	return sum / float64(max(1, len(expertsOn)))
}

// potentialSquarePower is the power of the squared rank load in the potential that the plan
// minimises; the power of the load itself is twice as high. The higher the power, the more the
// most loaded ranks count.
const potentialSquarePower = 4

// maxStepsPerLayer limits the steps in a layer, and thereby the time that planning takes.
const maxStepsPerLayer = 48

// minStepGain is the reduction of the potential that a step must bring, relative to the potential
// of the most loaded rank.
const minStepGain = 0.01

// Plan improves the placement expertsOn, which lists the experts by layer and rank, for loads by
// layer and expert. It does not change expertsOn.
func (g EvenPlanner) Plan(expertsOn [][][]int, loads [][]float64) EvenPlan {
	ranks := 0
	if len(expertsOn) > 0 {
		ranks = len(expertsOn[0])
	}
	loadsLeft := make([]int, ranks)
	for r := range loadsLeft {
		loadsLeft[r] = g.MaxNewPerPlan
	}
	p := EvenPlan{Experts: make([][][]int, len(expertsOn))}
	layers := make([]*evenLayer, len(expertsOn))
	for i := range expertsOn {
		layers[i] = newEvenLayer(g, expertsOn[i], loads[i], loadsLeft)
		p.SkewBefore += layers[i].skew()
	}
	for _, i := range bySkewDescending(layers) {
		layers[i].improve()
	}
	for i, l := range layers {
		p.SkewAfter += l.skew()
		p.Experts[i] = l.expertsOn
	}
	p.SkewBefore /= float64(max(1, len(expertsOn)))
	p.SkewAfter /= float64(max(1, len(expertsOn)))
	for _, n := range loadsLeft {
		p.MaxNewOnRank = max(p.MaxNewOnRank, g.MaxNewPerPlan-n)
		p.NewReplicas += g.MaxNewPerPlan - n
	}
	return p
}

// bySkewDescending returns the indexes of the layers in the order of descending skew.
func bySkewDescending(layers []*evenLayer) []int {
	order := make([]int, len(layers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := layers[a].skew(), layers[b].skew(); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return order
}

// evenLayer is the placement of one layer during planning.
type evenLayer struct {
	group EvenPlanner
	// expertsOn lists the experts by rank.
	expertsOn [][]int
	// inForce lists the experts by rank in the present placement, which need not be loaded.
	inForce [][]int
	// load is the load by rank, times its slowdown factor.
	load []float64
	// expertLoad is the load by expert.
	expertLoad []float64
	// ranksOf lists the ranks by expert.
	ranksOf [][]int
	// meanLoad is the mean load of the ranks, without slowdown factors.
	meanLoad float64
	// loadsLeft is, by rank, the number of experts that the rank may still load in this plan; all
	// layers share it. newCount is, by rank, the number of new experts in this layer.
	loadsLeft []int
	newCount  []int
	// changed is the result of the newest call of changedRanks.
	changed []int
}

// newEvenLayer returns the layer with the placement expertsOn, by rank, for loads by expert.
func newEvenLayer(g EvenPlanner, expertsOn [][]int, loads []float64, loadsLeft []int) *evenLayer {
	l := &evenLayer{
		group: g, inForce: expertsOn, expertLoad: loads, loadsLeft: loadsLeft,
		expertsOn: make([][]int, len(expertsOn)), load: make([]float64, len(expertsOn)),
		ranksOf: make([][]int, len(loads)), newCount: make([]int, len(expertsOn)),
	}
	total := 0.0
	for _, load := range loads {
		total += load
	}
	l.meanLoad = total / float64(len(expertsOn))
	for r := range expertsOn {
		l.expertsOn[r] = slices.Clone(expertsOn[r])
		for _, e := range expertsOn[r] {
			l.ranksOf[e] = append(l.ranksOf[e], r)
		}
	}
	for e, ranks := range l.ranksOf {
		for _, r := range ranks {
			l.load[r] += g.slowdown(r) * loads[e] / float64(len(ranks))
		}
	}
	return l
}

// skew returns the load of the most loaded rank over the mean.
func (l *evenLayer) skew() float64 {
	if l.meanLoad == 0 {
		return 1
	}
	return slices.Max(l.load) / l.meanLoad
}

// improve repeats the step that reduces the potential most, until the goal is reached or no step
// reduces it enough.
func (l *evenLayer) improve() {
	if l.meanLoad == 0 {
		return
	}
	for range maxStepsPerLayer {
		full := mostLoaded(l.load)
		if l.load[full] <= l.group.GoalSkew*l.meanLoad {
			return
		}
		best := l.bestStep(full)
		if best.gain <= minStepGain*l.potential(l.load[full]) {
			return
		}
		l.apply(best)
	}
}

// mostLoaded returns the index of the most loaded rank.
func mostLoaded(load []float64) int {
	best := 0
	for r, x := range load {
		if x > load[best] {
			best = r
		}
	}
	return best
}

// evenStep changes the experts on two ranks. An expert may be noExpert.
type evenStep struct {
	// gain is the reduction of the potential.
	gain float64
	// add is put on rank to, where it replaces evict.
	add, to, evict int
	// remove is taken off rank from, where swapIn replaces it.
	remove, from, swapIn int
}

// noExpert stands for no change in a field of evenStep.
const noExpert = -1

// bestStep returns the step that takes load off rank full and reduces the potential most. Its gain
// is 0 when no step reduces the potential.
func (l *evenLayer) bestStep(full int) evenStep {
	best := evenStep{}
	try := func(s evenStep) {
		if s.gain = l.gain(s); s.gain > best.gain {
			best = s
		}
	}
	targets := l.ranksByLoad()
	for _, e := range l.expertsOn[full] {
		if len(l.ranksOf[e]) > 1 {
			try(evenStep{add: noExpert, evict: noExpert, remove: e, from: full, swapIn: noExpert})
		}
		tried := 0
		for _, to := range targets {
			if tried == maxTargets || l.load[to] >= l.load[full] {
				break
			}
			if to == full || slices.Contains(l.expertsOn[to], e) || !l.canLoad(to, e) {
				continue
			}
			tried++
			l.tryStepsTo(full, to, e, try)
		}
	}
	return best
}

// maxTargets is the number of ranks to which an expert may go that are weighed for one step, the least loaded ones
// first. With all ranks, the time of a plan would grow with the square of their number.
const maxTargets = 16

// ranksByLoad returns the ranks in the order of ascending load.
func (l *evenLayer) ranksByLoad() []int {
	order := make([]int, len(l.load))
	for r := range order {
		order[r] = r
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(l.load[a], l.load[b]) })
	return order
}

// tryStepsTo tries the steps that copy or move expert e from rank full to rank to.
func (l *evenLayer) tryStepsTo(full, to, e int, try func(evenStep)) {
	copyTo := evenStep{add: e, to: to, evict: noExpert, remove: noExpert, from: full, swapIn: noExpert}
	moveTo := evenStep{add: e, to: to, evict: noExpert, remove: e, from: full, swapIn: noExpert}
	if len(l.expertsOn[to]) < l.group.Slots {
		try(copyTo)
		try(moveTo)
	}
	for _, other := range l.expertsOn[to] {
		if len(l.ranksOf[other]) > 1 {
			copyTo.evict, moveTo.evict = other, other
			try(copyTo)
			try(moveTo)
		}
		if !slices.Contains(l.expertsOn[full], other) && l.canLoad(full, other) {
			try(evenStep{add: e, to: to, evict: other, remove: e, from: full, swapIn: other})
		}
	}
}

// canLoad reports whether the limits of the plan allow a rank to have expert e.
func (l *evenLayer) canLoad(rank, e int) bool {
	return slices.Contains(l.inForce[rank], e) || l.loadsLeft[rank] > 0 && l.newCount[rank] < l.group.MaxNewPerLayer
}

// potential returns the term of a rank with the given load in the potential.
func (l *evenLayer) potential(load float64) float64 {
	x := load / l.meanLoad
	x *= x
	h := 1.0
	for range potentialSquarePower {
		h *= x
	}
	return h
}

// gain returns by how much a step reduces the potential.
func (l *evenLayer) gain(s evenStep) float64 {
	// The step is applied to the loads, evaluated and reverted.
	before, after := 0.0, 0.0
	ranks := l.changedRanks(s)
	for _, r := range ranks {
		before += l.potential(l.load[r])
	}
	l.addLoadChange(s, 1)
	for _, r := range ranks {
		after += l.potential(l.load[r])
	}
	l.addLoadChange(s, -1)
	return before - after
}

// changedRanks lists the ranks whose load a step changes, until the next call.
func (l *evenLayer) changedRanks(s evenStep) []int {
	l.changed = l.changed[:0]
	for _, e := range [...]int{s.add, s.evict, s.remove} {
		if e == noExpert {
			continue
		}
		for _, r := range l.ranksOf[e] {
			l.addChanged(r)
		}
	}
	l.addChanged(s.from)
	if s.add != noExpert {
		l.addChanged(s.to)
	}
	return l.changed
}

func (l *evenLayer) addChanged(rank int) {
	if !slices.Contains(l.changed, rank) {
		l.changed = append(l.changed, rank)
	}
}

// addLoadChange adds the load changes of a step, times sign, to the rank loads.
func (l *evenLayer) addLoadChange(s evenStep, sign float64) {
	if s.add != noExpert && s.add == s.remove {
		l.moveReplicaLoad(s.add, s.from, s.to, sign)
	} else {
		if s.add != noExpert {
			l.changeReplicaCount(s.add, s.to, 1, sign)
		}
		if s.remove != noExpert {
			l.changeReplicaCount(s.remove, s.from, -1, sign)
		}
	}
	switch {
	case s.evict != noExpert && s.evict == s.swapIn:
		l.moveReplicaLoad(s.evict, s.to, s.from, sign)
	case s.evict != noExpert:
		l.changeReplicaCount(s.evict, s.to, -1, sign)
	}
}

// moveReplicaLoad moves the load of one replica of expert e between ranks, times sign.
func (l *evenLayer) moveReplicaLoad(e, from, to int, sign float64) {
	part := sign * l.expertLoad[e] / float64(len(l.ranksOf[e]))
	l.load[from] -= l.group.slowdown(from) * part
	l.load[to] += l.group.slowdown(to) * part
}

// changeReplicaCount updates the rank loads, times sign, for a replica of expert e that is added
// on a rank (change 1) or removed from it (change -1).
func (l *evenLayer) changeReplicaCount(e, rank, change int, sign float64) {
	replicas := len(l.ranksOf[e])
	old := l.expertLoad[e] / float64(replicas)
	part := l.expertLoad[e] / float64(replicas+change)
	for _, r := range l.ranksOf[e] {
		if r == rank {
			l.load[r] -= sign * l.group.slowdown(r) * old
			continue
		}
		l.load[r] += sign * l.group.slowdown(r) * (part - old)
	}
	if change > 0 {
		l.load[rank] += sign * l.group.slowdown(rank) * part
	}
}

// apply carries out a step.
func (l *evenLayer) apply(s evenStep) {
	l.addLoadChange(s, 1)
	if s.add != noExpert {
		l.addReplica(s.add, s.to)
	}
	if s.evict != noExpert {
		l.removeReplica(s.evict, s.to)
	}
	if s.remove != noExpert {
		l.removeReplica(s.remove, s.from)
	}
	if s.swapIn != noExpert {
		l.addReplica(s.swapIn, s.from)
	}
}

// addReplica puts expert e on a rank.
func (l *evenLayer) addReplica(e, rank int) {
	l.expertsOn[rank] = append(l.expertsOn[rank], e)
	l.ranksOf[e] = append(l.ranksOf[e], rank)
	if !slices.Contains(l.inForce[rank], e) {
		l.loadsLeft[rank]--
		l.newCount[rank]++
	}
}

// removeReplica takes expert e off a rank.
func (l *evenLayer) removeReplica(e, rank int) {
	l.expertsOn[rank] = slices.DeleteFunc(l.expertsOn[rank], func(x int) bool { return x == e })
	l.ranksOf[e] = slices.DeleteFunc(l.ranksOf[e], func(x int) bool { return x == rank })
	if !slices.Contains(l.inForce[rank], e) {
		l.loadsLeft[rank]++
		l.newCount[rank]--
	}
}
