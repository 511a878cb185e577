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

func (g EvenGroup) pace(rank int) float64 {
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

// evenPower is the power in the potential that the plan lowers: the higher, the more the
// fullest ranks count against all others.
const evenPower = 4 // applied to the square, so that the power is 8

// evenSteps bounds the steps in a layer, and with them the time of a plan.
const evenSteps = 48

// evenLeastGain is the part of a layer's potential that a step must take away.
const evenLeastGain = 0.01

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
		p.Held[i] = l.held
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
	group EvenGroup
	held  [][]int
	// running is the placement in force: what a rank holds there need not be loaded.
	running [][]int
	load    []float64
	weight  []float64
	where   [][]int
	mean    float64
	// left is the loads that each rank has left in the plan, shared by all layers, and
	// fresh the new experts in this layer.
	left  []int
	fresh []int
}

func newEvenLayer(g EvenGroup, held [][]int, loads []float64, left []int) *evenLayer {
	l := &evenLayer{
		group: g, running: held, weight: loads, left: left,
		held: make([][]int, len(held)), load: make([]float64, len(held)),
		where: make([][]int, len(loads)), fresh: make([]int, len(held)),
	}
	total := 0.0
	for _, w := range loads {
		total += w
	}
	l.mean = total / float64(len(held))
	for r := range held {
		l.held[r] = slices.Clone(held[r])
		for _, e := range held[r] {
			l.where[e] = append(l.where[e], r)
		}
	}
	for e, ranks := range l.where {
		for _, r := range ranks {
			l.load[r] += g.pace(r) * loads[e] / float64(len(ranks))
		}
	}
	return l
}

// skew returns the load of the fullest rank over the mean.
func (l *evenLayer) skew() float64 {
	if l.mean == 0 {
		return 1
	}
	return slices.Max(l.load) / l.mean
}

// improve takes the step that lowers the potential most until none is left.
func (l *evenLayer) improve() {
	if l.mean == 0 {
		return
	}
	for range evenSteps {
		full := fullest(l.load)
		if l.load[full] <= l.group.Goal*l.mean {
			return
		}
		best := l.bestStep(full)
		if best.gain <= evenLeastGain*l.height(l.load[full]) {
			return
		}
		l.apply(best)
	}
}

func fullest(load []float64) int {
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
	// add is put on rank to, where drop is taken off.
	add, to, drop int
	// remove is taken off rank from, where back is put.
	remove, from, back int
}

const none = -1

// bestStep returns the step that relieves a rank most.
func (l *evenLayer) bestStep(full int) evenStep {
	best := evenStep{}
	try := func(s evenStep) {
		if s.gain = l.gain(s); s.gain > best.gain {
			best = s
		}
	}
	for _, e := range l.held[full] {
		if len(l.where[e]) > 1 {
			try(evenStep{add: none, drop: none, remove: e, from: full, back: none})
		}
		for to := range l.held {
			if to == full || l.load[to] >= l.load[full] || slices.Contains(l.held[to], e) || !l.canLoad(to, e) {
				continue
			}
			l.stepsTo(full, to, e, try)
		}
	}
	return best
}

// stepsTo tries the steps that put expert e of the full rank on another one.
func (l *evenLayer) stepsTo(full, to, e int, try func(evenStep)) {
	copyTo := evenStep{add: e, to: to, drop: none, remove: none, from: full, back: none}
	moveTo := evenStep{add: e, to: to, drop: none, remove: e, from: full, back: none}
	if len(l.held[to]) < l.group.Slots {
		try(copyTo)
		try(moveTo)
	}
	for _, f := range l.held[to] {
		if len(l.where[f]) > 1 {
			copyTo.drop, moveTo.drop = f, f
			try(copyTo)
			try(moveTo)
		}
		if !slices.Contains(l.held[full], f) && l.canLoad(full, f) {
			try(evenStep{add: e, to: to, drop: f, remove: e, from: full, back: f})
		}
	}
}

// canLoad reports whether a rank may take an expert.
func (l *evenLayer) canLoad(rank, e int) bool {
	return slices.Contains(l.running[rank], e) || l.left[rank] > 0 && l.fresh[rank] < l.group.Reserve
}

// height is the part of a rank's load in the potential.
func (l *evenLayer) height(load float64) float64 {
	x := load / l.mean
	x *= x
	h := 1.0
	for range evenPower {
		h *= x
	}
	return h
}

// gain returns by how much a step lowers the potential.
func (l *evenLayer) gain(s evenStep) float64 {
	// The changes are applied to the loads, measured, and taken back.
	before, after := 0.0, 0.0
	touched := l.touched(s)
	for _, r := range touched {
		before += l.height(l.load[r])
	}
	l.shift(s, 1)
	for _, r := range touched {
		after += l.height(l.load[r])
	}
	l.shift(s, -1)
	return before - after
}

// touched lists the ranks whose load a step changes.
func (l *evenLayer) touched(s evenStep) []int {
	var buffer [64]int
	ranks := buffer[:0]
	add := func(list ...int) {
		for _, r := range list {
			if !slices.Contains(ranks, r) {
				ranks = append(ranks, r)
			}
		}
	}
	for _, e := range [...]int{s.add, s.drop, s.remove} {
		if e != none {
			add(l.where[e]...)
		}
	}
	add(s.from)
	if s.add != none {
		add(s.to)
	}
	return ranks
}

// shift adds what a step changes in the loads, times sign.
func (l *evenLayer) shift(s evenStep, sign float64) {
	if s.add != none && s.add == s.remove {
		l.exchange(s.add, s.from, s.to, sign)
	} else {
		if s.add != none {
			l.spread(s.add, s.to, 1, sign)
		}
		if s.remove != none {
			l.spread(s.remove, s.from, -1, sign)
		}
	}
	switch {
	case s.drop != none && s.drop == s.back:
		l.exchange(s.drop, s.to, s.from, sign)
	case s.drop != none:
		l.spread(s.drop, s.to, -1, sign)
	}
}

// exchange moves the part of a replica from one rank to another.
func (l *evenLayer) exchange(e, from, to int, sign float64) {
	part := sign * l.weight[e] / float64(len(l.where[e]))
	l.load[from] -= l.group.pace(from) * part
	l.load[to] += l.group.pace(to) * part
}

// spread adds (change 1) or takes (change -1) the replica of an expert on a rank and
// shares its load anew.
func (l *evenLayer) spread(e, rank, change int, sign float64) {
	copies := len(l.where[e])
	old := l.weight[e] / float64(copies)
	part := l.weight[e] / float64(copies+change)
	for _, r := range l.where[e] {
		if r == rank {
			l.load[r] -= sign * l.group.pace(r) * old
			continue
		}
		l.load[r] += sign * l.group.pace(r) * (part - old)
	}
	if change > 0 {
		l.load[rank] += sign * l.group.pace(rank) * part
	}
}

// apply takes a step.
func (l *evenLayer) apply(s evenStep) {
	l.shift(s, 1)
	if s.add != none {
		l.put(s.add, s.to)
	}
	if s.drop != none {
		l.take(s.drop, s.to)
	}
	if s.remove != none {
		l.take(s.remove, s.from)
	}
	if s.back != none {
		l.put(s.back, s.from)
	}
}

func (l *evenLayer) put(e, rank int) {
	l.held[rank] = append(l.held[rank], e)
	l.where[e] = append(l.where[e], rank)
	if !slices.Contains(l.running[rank], e) {
		l.left[rank]--
		l.fresh[rank]++
	}
}

func (l *evenLayer) take(e, rank int) {
	l.held[rank] = slices.DeleteFunc(l.held[rank], func(x int) bool { return x == e })
	l.where[e] = slices.DeleteFunc(l.where[e], func(x int) bool { return x == rank })
	if !slices.Contains(l.running[rank], e) {
		l.left[rank]++
		l.fresh[rank]--
	}
}
