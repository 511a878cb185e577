package placement

// Balance shares the load of each expert among its replicas so that no rank bears more
// than goal times the mean. Where the placement does not allow that, the ranks that
// cannot be relieved are made as equal as it allows.
func (l *Layer) Balance(goal float64) {
	l.sweep(initialSweeps)
	limit := goal * l.Mean()
	l.pushExcess(limit)
	if l.Max() > limit*(1+2*loadTolerance) {
		l.sweep(maxSweeps)
	}
}

const (
	// initialSweeps is the number of passes before chains are looked for.
	initialSweeps = 2
	// maxSweeps bounds the passes over experts where the goal cannot be reached.
	maxSweeps = 60
	// sweepsPerCheck is the number of passes between two looks at the fullest rank.
	sweepsPerCheck = 4
	// minSweepGain is the change between two looks, relative to the mean, that counts as little.
	minSweepGain = 0.001
)

// sweep gives the load of one expert after another to the emptiest of its ranks (water
// filling). That is a coordinate descent on the sum of the squared rank loads, whose
// minimum also has the smallest maximum. It stops when a few passes change little.
func (l *Layer) sweep(passes int) {
	former := l.Max()
	for pass := range passes {
		for e := range l.ranksOf {
			if len(l.ranksOf[e]) > 1 {
				l.waterFill(e)
			}
		}
		if pass%sweepsPerCheck != sweepsPerCheck-1 {
			continue
		}
		now := l.Max()
		if former-now < minSweepGain*l.Mean() {
			return
		}
		former = now
	}
}

// waterFill shares the load of one expert anew, the other experts being as they are.
func (l *Layer) waterFill(e int) {
	where := l.ranksOf[e]
	flow := l.flow[e]
	want := 0.0
	for i, r := range where {
		want += flow[i]
		l.load[r] -= flow[i]
	}
	level := l.waterLevel(where, want)
	for i, r := range where {
		flow[i] = max(0, level-l.load[r])
		l.load[r] += flow[i]
	}
}

// waterLevel returns the height to which the load fills the ranks.
func (l *Layer) waterLevel(where []int, want float64) float64 {
	order := l.sortBuffer[:0]
	for _, r := range where {
		i := len(order)
		order = append(order, r)
		for i > 0 && l.load[order[i-1]] > l.load[r] {
			order[i] = order[i-1]
			i--
		}
		order[i] = r
	}
	sum := want
	for i, r := range order {
		sum += l.load[r]
		level := sum / float64(i+1)
		if i+1 == len(order) || level <= l.load[order[i+1]] {
			return level
		}
	}
	return 0
}
