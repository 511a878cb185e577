package routing

import "time"

const (
	// ReportLife is the age at which a report says no more than the mean of the others.
	ReportLife = 3 * time.Second
	// LoadBound is the load relative to the mean up to which a prefix attracts requests.
	LoadBound = 1.25
	// turnSlot is the time for which a turn at a cold upstream holds.
	turnSlot = 250 * time.Millisecond
	// blockMillis is the prefill time of one prompt block in milliseconds.
	blockMillis = 8.0
	// zoneMillis is the cost of another availability zone of the region in milliseconds.
	zoneMillis = 3.0
	// regionMillis is the cost of another region in milliseconds.
	regionMillis = 50.0
	// serviceSpread bounds a service time relative to the mean, so that an upstream
	// that fails fast does not attract requests.
	serviceSpread = 3.0
	// defaultServiceMillis stands in while no service time is known.
	defaultServiceMillis = 100.0
)

// Choose returns the index of the best candidate, or -1 when none is left. Ties go
// to the candidate at or after position r.Start, so that entries spread their choices.
// Choose uses the unexported field of the candidates as scratch space.
func Choose(r Request, candidates []Candidate) int {
	f := survey(&r, candidates)
	best := -1
	bestCost := 0.0
	bestFull := false
	i := 0
	if n := len(candidates); n > 0 {
		i = r.Start % n
	}
	for range candidates {
		c := &candidates[i]
		if f.allows(&r, c) {
			cost, full := f.cost(&r, c, i == f.home)
			if best < 0 || full != bestFull && bestFull || full == bestFull && cost < bestCost {
				best = i
				bestCost = cost
				bestFull = full
			}
		}
		i++
		if i == len(candidates) {
			i = 0
		}
	}
	return best
}

// field holds what all candidates have in common.
type field struct {
	// reach is the largest distance that may be chosen.
	reach Distance
	// old is set when no candidate has a fresh report, so that old ones must do.
	old bool
	// load and service are the means over the candidates within reach.
	load    float64
	service float64
	// perLimit is 1 divided by the mean limit.
	perLimit float64
	// fastest and slowest bound the service times.
	fastest float64
	slowest float64
	// home is the index that rendezvous hashing gives for the prefix, or -1.
	home int
}

// survey looks at all candidates once. A region counts as having an upstream left also
// when the request was tried there, so that load does not spill into other regions.
func survey(r *Request, candidates []Candidate) field {
	var near, far, old total
	near.home, far.home, old.home = -1, -1, -1
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		if r.Now-c.Seen > ReportLife {
			old.add(r, i, c)
			continue
		}
		if c.Distance <= SameRegion {
			near.add(r, i, c)
			continue
		}
		far.add(r, i, c)
	}
	if near.count > 0 {
		return near.field(SameRegion)
	}
	if far.count > 0 {
		return far.field(OtherRegion)
	}
	f := old.field(OtherRegion)
	f.old = true
	return f
}

// allows reports whether the candidate may be chosen.
func (f *field) allows(r *Request, c *Candidate) bool {
	if c.Excluded || c.Tried || c.Distance > f.reach {
		return false
	}
	return f.old || r.Now-c.Seen <= ReportLife
}

// total sums up candidates.
type total struct {
	count    int
	load     float64
	limits   int32
	service  float64
	measured int
	home     int
	homeRank uint64
}

func (t *total) add(r *Request, i int, c *Candidate) {
	t.count++
	c.load = c.work(r.Entries) / float64(max(c.Limit, 1))
	t.load += c.load
	t.limits += c.Limit
	if c.ServiceMillis > 0 {
		t.service += c.ServiceMillis
		t.measured++
	}
	if r.Prefix == 0 {
		return
	}
	if rank := Rank(r.Prefix, c.Key); t.home < 0 || rank > t.homeRank {
		t.home = i
		t.homeRank = rank
	}
}

func (t *total) field(reach Distance) field {
	f := field{reach: reach, home: t.home, service: defaultServiceMillis}
	if t.count > 0 {
		f.load = t.load / float64(t.count)
		f.perLimit = float64(t.count) / float64(max(t.limits, 1))
	}
	if t.measured > 0 {
		f.service = t.service / float64(t.measured)
	}
	f.fastest = f.service / serviceSpread
	f.slowest = f.service * serviceSpread
	return f
}

// cost returns the expected time to the first token in milliseconds, and whether the
// candidate has no room left.
func (f *field) cost(r *Request, c *Candidate, home bool) (float64, bool) {
	load := c.load
	full := load > 1
	if c.Cold && !full {
		// Relative to its small limit a cold upstream always looks loaded and would never
		// warm up; it is compared by its work until it is full.
		load *= float64(c.Limit) * f.perLimit
		full = !c.turn(r)
	}
	stale := float64(r.Now-c.Seen) * (1 / float64(ReportLife))
	if stale > 1 {
		stale = 1
	}
	expected := load + stale*(f.load-load)
	cost := f.boundService(c.ServiceMillis)*expected + distanceMillis[c.Distance]
	known := c.Cached
	if home && known == 0 {
		known = 1
	}
	if load > LoadBound*f.load {
		// A hot prefix must not pile up on the upstreams that hold it.
		known = 0
	}
	return cost + blockMillis*float64(max(r.Blocks-known, 0)), full
}

// boundService keeps a service time near the mean. Comparisons stand in for the
// built-in functions, which are slower on floats because of NaN.
func (f *field) boundService(millis float64) float64 {
	if millis == 0 {
		return f.service
	}
	if millis < f.fastest {
		return f.fastest
	}
	if millis > f.slowest {
		return f.slowest
	}
	return millis
}

// distanceMillis are the costs of the distances in milliseconds.
var distanceMillis = [...]float64{SameZone: 0, SameRegion: zoneMillis, OtherRegion: regionMillis}

// Rank returns the rank of a member for a key in rendezvous hashing.
func Rank(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
