package placement

import "slices"

// EvenGroup plans maps for a group whose ranks share the load of an expert evenly among
// its replicas, so that only the choice of the ranks balances.
type EvenGroup struct {
	// Slots is the number of experts that a rank holds in a layer.
	Slots int
	// Reserve is the number of new experts that a rank can load in a layer.
	Reserve int
	// Loads is the number of new experts that a rank may load in one plan over all
	// layers: ranks load one after the other, and the slowest rank makes all wait.
	Loads int
	// Goal is the skew of a layer at which it is good enough.
	Goal float64
	// Pace is how much longer than usual each rank takes for the same work; nil means that
	// none is slow. The load of a rank is its work times its pace.
	Pace []float64
}

func (g EvenGroup) slowdown(rank int) float64 {
	if rank < len(g.Pace) && g.Pace[rank] > 0 {
		return g.Pace[rank]
	}
	return 1
}

// EvenPlan is the result of EvenGroup.Plan.
type EvenPlan struct {
	// Held lists the experts by layer and rank.
	Held [][][]int
	// Before and After are the sums over the layers of the fullest rank's load relative to
	// the mean, divided by the number of layers.
	Before float64
	After  float64
	// Loaded is the largest number of new experts on one rank, and Copies that on all ranks.
	Loaded int
	Copies int
}

// Skew returns the mean over the layers of the fullest rank's load relative to the mean.
func (g EvenGroup) Skew(held [][][]int, loads [][]float64) float64 {
	sum := 0.0
	for i := range held {
		sum += newEvenLayer(g, held[i], loads[i], nil).skew()
	}
	return sum / float64(max(1, len(held)))
}

// potentialSquarePower is the power in the potential that the plan lowers: the higher, the more the
// fullest ranks count against all others.
const potentialSquarePower = 4 // applied to the square, so that the power is 8

// maxStepsPerLayer bounds the steps in a layer, and with them the time of a plan.
const maxStepsPerLayer = 48

// minStepGain is the part of a layer's potential that a step must take away.
const minStepGain = 0.01

// Plan improves the placement held for the loads of the experts of each layer.
func (g EvenGroup) Plan(held [][][]int, loads [][]float64) EvenPlan {
	ranks := 0
	if len(held) > 0 {
		ranks = len(held[0])
	}
	left := make([]int, ranks)
	for r := range left {
		left[r] = g.Loads
	}
	p := EvenPlan{Held: make([][][]int, len(held))}
	layers := make([]*evenLayer, len(held))
	for i := range held {
		layers[i] = newEvenLayer(g, held[i], loads[i], left)
		p.Before += layers[i].skew()
	}
	for _, i := range bySkewDescending(layers) {
		layers[i].improve()
	}
	for i, l := range layers {
		p.After += l.skew()
		p.Held[i] = l.expertsOn
	}
	p.Before /= float64(max(1, len(held)))
	p.After /= float64(max(1, len(held)))
	for _, n := range left {
		p.Loaded = max(p.Loaded, g.Loads-n)
		p.Copies += g.Loads - n
	}
	return p
}

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

// evenLayer is the placement of a layer while it is planned.
type evenLayer struct {
	group     EvenGroup
	expertsOn [][]int
	// inForce is the placement in force: what a rank holds there need not be loaded.
	inForce    [][]int
	load       []float64
	expertLoad []float64
	ranksOf    [][]int
	meanLoad   float64
	// loadsLeft is the loads that each rank has loadsLeft in the plan, shared by all layers, and
	// fresh the new experts in this layer.
	loadsLeft []int
	newCount  []int
}

func newEvenLayer(g EvenGroup, held [][]int, loads []float64, left []int) *evenLayer {
	l := &evenLayer{
		group: g, inForce: held, expertLoad: loads, loadsLeft: left,
		expertsOn: make([][]int, len(held)), load: make([]float64, len(held)),
		ranksOf: make([][]int, len(loads)), newCount: make([]int, len(held)),
	}
	total := 0.0
	for _, w := range loads {
		total += w
	}
	l.meanLoad = total / float64(len(held))
	for r := range held {
		l.expertsOn[r] = slices.Clone(held[r])
		for _, e := range held[r] {
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

// skew returns the load of the fullest rank over the mean.
func (l *evenLayer) skew() float64 {
	if l.meanLoad == 0 {
		return 1
	}
	return slices.Max(l.load) / l.meanLoad
}

// improve takes the step that lowers the potential most until none is left.
func (l *evenLayer) improve() {
	if l.meanLoad == 0 {
		return
	}
	for range maxStepsPerLayer {
		full := mostLoaded(l.load)
		if l.load[full] <= l.group.Goal*l.meanLoad {
			return
		}
		best := l.bestStep(full)
		if best.gain <= minStepGain*l.potential(l.load[full]) {
			return
		}
		l.apply(best)
	}
}

func mostLoaded(load []float64) int {
	best := 0
	for r, x := range load {
		if x > load[best] {
			best = r
		}
	}
	return best
}

// evenStep changes what two ranks hold. Negative experts stand for none.
type evenStep struct {
	gain float64
	// add is put on rank to, where evict is taken off.
	add, to, evict int
	// remove is taken off rank from, where swapIn is put.
	remove, from, swapIn int
}

const noExpert = -1

// bestStep returns the step that relieves a rank most.
func (l *evenLayer) bestStep(full int) evenStep {
	best := evenStep{}
	try := func(s evenStep) {
		if s.gain = l.gain(s); s.gain > best.gain {
			best = s
		}
	}
	for _, e := range l.expertsOn[full] {
		if len(l.ranksOf[e]) > 1 {
			try(evenStep{add: noExpert, evict: noExpert, remove: e, from: full, swapIn: noExpert})
		}
		for to := range l.expertsOn {
			if to == full || l.load[to] >= l.load[full] || slices.Contains(l.expertsOn[to], e) || !l.canLoad(to, e) {
				continue
			}
			l.tryStepsTo(full, to, e, try)
		}
	}
	return best
}

// tryStepsTo tries the steps that put expert e of the full rank on another one.
func (l *evenLayer) tryStepsTo(full, to, e int, try func(evenStep)) {
	copyTo := evenStep{add: e, to: to, evict: noExpert, remove: noExpert, from: full, swapIn: noExpert}
	moveTo := evenStep{add: e, to: to, evict: noExpert, remove: e, from: full, swapIn: noExpert}
	if len(l.expertsOn[to]) < l.group.Slots {
		try(copyTo)
		try(moveTo)
	}
	for _, f := range l.expertsOn[to] {
		if len(l.ranksOf[f]) > 1 {
			copyTo.evict, moveTo.evict = f, f
			try(copyTo)
			try(moveTo)
		}
		if !slices.Contains(l.expertsOn[full], f) && l.canLoad(full, f) {
			try(evenStep{add: e, to: to, evict: f, remove: e, from: full, swapIn: f})
		}
	}
}

// canLoad reports whether a rank may take an expert.
func (l *evenLayer) canLoad(rank, e int) bool {
	return slices.Contains(l.inForce[rank], e) || l.loadsLeft[rank] > 0 && l.newCount[rank] < l.group.Reserve
}

// potential is the part of a rank's load in the potential.
func (l *evenLayer) potential(load float64) float64 {
	x := load / l.meanLoad
	x *= x
	h := 1.0
	for range potentialSquarePower {
		h *= x
	}
	return h
}

// gain returns by how much a step lowers the potential.
func (l *evenLayer) gain(s evenStep) float64 {
	// The changes are applied to the loads, measured, and taken back.
	before, after := 0.0, 0.0
	touched := l.changedRanks(s)
	for _, r := range touched {
		before += l.potential(l.load[r])
	}
	l.addLoadChange(s, 1)
	for _, r := range touched {
		after += l.potential(l.load[r])
	}
	l.addLoadChange(s, -1)
	return before - after
}

// changedRanks lists the ranks whose load a step changes.
func (l *evenLayer) changedRanks(s evenStep) []int {
	var buffer [64]int
	ranks := buffer[:0]
	add := func(list ...int) {
		for _, r := range list {
			if !slices.Contains(ranks, r) {
				ranks = append(ranks, r)
			}
		}
	}
	for _, e := range [...]int{s.add, s.evict, s.remove} {
		if e != noExpert {
			add(l.ranksOf[e]...)
		}
	}
	add(s.from)
	if s.add != noExpert {
		add(s.to)
	}
	return ranks
}

// addLoadChange adds what a step changes in the loads, times sign.
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

// moveReplicaLoad moves the part of a replica from one rank to another.
func (l *evenLayer) moveReplicaLoad(e, from, to int, sign float64) {
	part := sign * l.expertLoad[e] / float64(len(l.ranksOf[e]))
	l.load[from] -= l.group.slowdown(from) * part
	l.load[to] += l.group.slowdown(to) * part
}

// changeReplicaCount adds (change 1) or takes (change -1) the replica of an expert on a rank and
// shares its load anew.
func (l *evenLayer) changeReplicaCount(e, rank, change int, sign float64) {
	copies := len(l.ranksOf[e])
	old := l.expertLoad[e] / float64(copies)
	part := l.expertLoad[e] / float64(copies+change)
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

// apply takes a step.
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

func (l *evenLayer) addReplica(e, rank int) {
	l.expertsOn[rank] = append(l.expertsOn[rank], e)
	l.ranksOf[e] = append(l.ranksOf[e], rank)
	if !slices.Contains(l.inForce[rank], e) {
		l.loadsLeft[rank]--
		l.newCount[rank]++
	}
}

func (l *evenLayer) removeReplica(e, rank int) {
	l.expertsOn[rank] = slices.DeleteFunc(l.expertsOn[rank], func(x int) bool { return x == e })
	l.ranksOf[e] = slices.DeleteFunc(l.ranksOf[e], func(x int) bool { return x == rank })
	if !slices.Contains(l.inForce[rank], e) {
		l.loadsLeft[rank]++
		l.newCount[rank]--
	}
}
