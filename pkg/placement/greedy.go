package placement

import (
	"cmp"
	"slices"
)

// Greedy returns a placement made from the loads alone: every free slot goes to the expert with
// the highest load per replica, and the replicas, heaviest first, go to the least loaded ranks.
// Loads are shared evenly among replicas until Balance is called.
func Greedy(loads []float64, ranks, slots int) *Layer {
	l := NewLayer(len(loads), ranks, slots)
	counts := replicaCounts(loads, ranks, slots)
	type replica struct {
		expert int
		load   float64
	}
	var replicas []replica
	for e, n := range counts {
		for range n {
			replicas = append(replicas, replica{e, loads[e] / float64(n)})
		}
	}
	slices.SortStableFunc(replicas, func(a, b replica) int { return cmp.Compare(b.load, a.load) })
	for _, p := range replicas {
		r := l.leastLoaded(p.expert)
		if r < 0 {
			continue
		}
		l.AddReplica(p.expert, r)
		l.load[r] += p.load
	}
	l.SetLoads(loads)
	return l
}

// replicaCounts returns the number of replicas of each expert, at least one.
func replicaCounts(loads []float64, ranks, slots int) []int {
	counts := make([]int, len(loads))
	for e := range counts {
		counts[e] = 1
	}
	for range ranks*slots - len(loads) {
		best := -1
		for e, n := range counts {
			if n < ranks && (best < 0 || loads[e]/float64(n) > loads[best]/float64(counts[best])) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

// leastLoaded returns the least loaded rank that has a free slot and no replica of the expert, or
// -1.
func (l *Layer) leastLoaded(expert int) int {
	best := -1
	for r := range l.expertsOn {
		if len(l.expertsOn[r]) >= l.slots || slices.Contains(l.expertsOn[r], expert) {
			continue
		}
		if best < 0 || l.load[r] < l.load[best] {
			best = r
		}
	}
	return best
}
