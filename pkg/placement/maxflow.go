package placement

// pathSearch is the scratch space and the result of a breadth-first search by findPath.
type pathSearch struct {
	// reached marks the ranks, and seenExpert the experts, that the search visited.
	reached    []bool
	seenExpert []bool
	// prevRank is, by reached rank, the rank before it on the path, and viaExpert the expert that
	// has replicas on both.
	prevRank  []int
	viaExpert []int
	// queue lists the reached ranks in the order of the search.
	queue []int
}

func newPathSearch(experts, ranks int) pathSearch {
	return pathSearch{
		reached:    make([]bool, ranks),
		seenExpert: make([]bool, experts),
		prevRank:   make([]int, ranks),
		viaExpert:  make([]int, ranks),
		queue:      make([]int, 0, ranks),
	}
}

// pushExcess moves load off every rank above limit, along paths of experts with several replicas,
// to ranks below it. This is a maximum flow: load that is still above the limit afterwards cannot
// be moved without further replicas.
func (l *Layer) pushExcess(limit float64) {
	slack := limit * loadTolerance
	for r := range l.load {
		for l.load[r] > limit+slack {
			end, found := l.findPath(r, limit-slack)
			if !found {
				break
			}
			l.pushAlongPath(r, end, limit)
		}
	}
}

// loadTolerance is the difference to the limit, relative to it, that is ignored.
const loadTolerance = 1e-6

// findPath looks for a rank with a load below limit that load can be moved to from start. When
// there is none, path.reached marks all ranks that load can be moved to.
func (l *Layer) findPath(start int, limit float64) (int, bool) {
	s := &l.path
	clear(s.reached)
	clear(s.seenExpert)
	s.queue = append(s.queue[:0], start)
	s.reached[start] = true
	for i := 0; i < len(s.queue); i++ {
		r := s.queue[i]
		for _, e := range l.expertsOn[r] {
			if s.seenExpert[e] || len(l.ranksOf[e]) == 1 || l.flowOn(e, r) <= limit*loadTolerance {
				continue
			}
			s.seenExpert[e] = true
			for _, to := range l.ranksOf[e] {
				if s.reached[to] {
					continue
				}
				s.reached[to] = true
				s.prevRank[to] = r
				s.viaExpert[to] = e
				if l.load[to] < limit {
					return to, true
				}
				s.queue = append(s.queue, to)
			}
		}
	}
	return 0, false
}

// pushAlongPath moves load along the path that findPath found: as much as the replicas on the
// path allow, and no more than start has above limit or end below it.
func (l *Layer) pushAlongPath(start, end int, limit float64) {
	amount := min(l.load[start]-limit, limit-l.load[end])
	for r := end; r != start; r = l.path.prevRank[r] {
		amount = min(amount, l.flowOn(l.path.viaExpert[r], l.path.prevRank[r]))
	}
	for r := end; r != start; r = l.path.prevRank[r] {
		e := l.path.viaExpert[r]
		*l.flowRef(e, l.path.prevRank[r]) -= amount
		*l.flowRef(e, r) += amount
	}
	l.load[start] -= amount
	l.load[end] += amount
}
