package placement

// route is the scratch space of a search for room.
type route struct {
	// reached marks ranks, and seen experts.
	reached []bool
	seen    []bool
	// from is the rank before each reached one, and via the expert that both hold.
	from  []int
	via   []int
	queue []int
}

func newRoute(experts, ranks int) route {
	return route{
		reached: make([]bool, ranks),
		seen:    make([]bool, experts),
		from:    make([]int, ranks),
		via:     make([]int, ranks),
		queue:   make([]int, 0, ranks),
	}
}

// relieve moves load off every rank that bears more than limit, along chains of
// experts with several replicas, to ranks that bear less. What is left above the limit
// afterwards cannot be moved without other replicas: it is a maximum flow.
func (l *Layer) relieve(limit float64) {
	slack := limit * relieveSlack
	for r := range l.load {
		for l.load[r] > limit+slack {
			end, found := l.search(r, limit-slack)
			if !found {
				break
			}
			l.push(r, end, limit)
		}
	}
}

// relieveSlack is the part of the limit that counts as nothing.
const relieveSlack = 1e-6

// search looks for a rank that bears less than limit and that load can be moved to from
// start. When there is none, route.reached holds all ranks that load can be moved to.
func (l *Layer) search(start int, limit float64) (int, bool) {
	s := &l.route
	clear(s.reached)
	clear(s.seen)
	s.queue = append(s.queue[:0], start)
	s.reached[start] = true
	for i := 0; i < len(s.queue); i++ {
		r := s.queue[i]
		for _, e := range l.held[r] {
			if s.seen[e] || len(l.where[e]) == 1 || l.flowOn(e, r) <= limit*relieveSlack {
				continue
			}
			s.seen[e] = true
			for _, to := range l.where[e] {
				if s.reached[to] {
					continue
				}
				s.reached[to] = true
				s.from[to] = r
				s.via[to] = e
				if l.load[to] < limit {
					return to, true
				}
				s.queue = append(s.queue, to)
			}
		}
	}
	return 0, false
}

// push moves as much load as the chain found by search allows.
func (l *Layer) push(start, end int, limit float64) {
	amount := min(l.load[start]-limit, limit-l.load[end])
	for r := end; r != start; r = l.route.from[r] {
		amount = min(amount, l.flowOn(l.route.via[r], l.route.from[r]))
	}
	for r := end; r != start; r = l.route.from[r] {
		e := l.route.via[r]
		*l.flowAt(e, l.route.from[r]) -= amount
		*l.flowAt(e, r) += amount
	}
	l.load[start] -= amount
	l.load[end] += amount
}
