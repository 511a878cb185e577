package placement

// Balance shares the load of each expert among its replicas so that no rank takes more than goal
// times the mean. Where the placement does not allow that, the loads of the ranks above the goal
// are made as equal as it allows.
func (l *Layer) Balance(goal float64) {
	l.sweep(initialSweeps)
	limit := goal * l.MeanLoad()
	l.pushExcess(limit)
	if l.MaxLoad() > limit*(1+2*loadTolerance) {
		l.sweep(maxSweeps)
	}
}

const (
	// initialSweeps is the number of passes over the experts before load is moved along paths.
	initialSweeps = 2
	// maxSweeps is the maximum number of passes over the experts where the goal cannot be
	// reached.
	maxSweeps = 60
	// sweepsPerCheck is the number of passes between two checks for progress.
	sweepsPerCheck = 4
	// minSweepGain is the reduction of the highest rank load between two checks, relative to the
	// mean, below which the passes stop.
	minSweepGain = 0.001
)

// sweep shares the load of one expert after another among its ranks by water filling, in at most
// the given number of passes. This is a coordinate descent on the sum of the squared rank loads,
// whose minimum also has the smallest maximum. It stops early when the highest load no longer
// falls.
func (l *Layer) sweep(passes int) {
	previous := l.MaxLoad()
	for pass := range passes {
		for e := range l.ranksOf {
			if len(l.ranksOf[e]) > 1 {
				l.waterFill(e)
			}
		}
		if pass%sweepsPerCheck != sweepsPerCheck-1 {
			continue
		}
		highest := l.MaxLoad()
		if previous-highest < minSweepGain*l.MeanLoad() {
			return
		}
		previous = highest
	}
}

// waterFill shares the load of expert e among its ranks so that the least loaded ones are filled
// to a common level. The shares of the other experts stay.
func (l *Layer) waterFill(e int) {
	ranks := l.ranksOf[e]
	flow := l.flow[e]
	load := 0.0
	for i, r := range ranks {
		load += flow[i]
		l.load[r] -= flow[i]
	}
	level := l.waterLevel(ranks, load)
	for i, r := range ranks {
		flow[i] = max(0, level-l.load[r])
		l.load[r] += flow[i]
	}
}

// waterLevel returns the level to which load fills the least loaded of ranks.
func (l *Layer) waterLevel(ranks []int, load float64) float64 {
	order := l.sortBuffer[:0]
	for _, r := range ranks {
		i := len(order)
		order = append(order, r)
		for i > 0 && l.load[order[i-1]] > l.load[r] {
			order[i] = order[i-1]
			i--
		}
		order[i] = r
	}
	sum := load
	for i, r := range order {
		sum += l.load[r]
		level := sum / float64(i+1)
		if i+1 == len(order) || level <= l.load[order[i+1]] {
			return level
		}
	}
	return 0
}
