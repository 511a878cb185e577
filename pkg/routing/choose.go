package routing

// Candidate is the state of one upstream as known to an entry.
type Candidate struct {
	ID      string
	Zone    string
	Limit   int
	Running int
	Queued  int
	// Sent is the number of attempts that this entry sent since the report and that have not ended.
	Sent int
	// Excluded is set when the upstream must not be chosen.
	Excluded bool
}

// load returns the work at c relative to its limit.
func (c *Candidate) load() float64 {
	return float64(c.Running+c.Queued+c.Sent+1) / float64(max(c.Limit, 1))
}

// Choose returns the index of the best candidate, or -1 when none is left. Ties go
// to the candidate at or after position start, so that entries spread their choices.
func Choose(zone string, start int, candidates []Candidate) int {
	best := -1
	for n := range candidates {
		i := (start + n) % len(candidates)
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		if best < 0 || better(zone, c, &candidates[best]) {
			best = i
		}
	}
	return best
}

func better(zone string, a, b *Candidate) bool {
	if a.load() != b.load() {
		return a.load() < b.load()
	}
	return a.Zone == zone && b.Zone != zone
}
