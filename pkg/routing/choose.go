package routing

import "time"

const (
	// ReportLife is the age at which a report expires. Until then its load is blended
	// linearly into the mean load of the candidates. A candidate with an expired report is
	// chosen only when no candidate has a fresh one.
	ReportLife = 3 * time.Second
	// LoadBound is the load relative to the mean up to which an upstream is preferred for a
	// prefix.
	LoadBound = 1.25
	// turnSlot is the length of a time slot in which an entry may send to a cold upstream.
	turnSlot = 250 * time.Millisecond
	// blockMillis is the prefill time of one prompt block in milliseconds.
	blockMillis = 8.0
	// zoneMillis is the cost in milliseconds of an upstream in another availability zone of
	// the same region.
	zoneMillis = 3.0
	// regionMillis is the cost in milliseconds of an upstream in another region.
	regionMillis = 50.0
	// serviceSpread limits a service time to this factor below and above the mean, so that
	// an upstream that fails fast does not attract requests.
	serviceSpread = 3.0
	// defaultServiceMillis is the mean service time used while none is known.
	defaultServiceMillis = 100.0
)

// Choose returns the index of the best candidate, or -1 if none may be chosen. Among equal
// candidates it prefers the first one at or after position r.Start, so that entries spread
// their choices. Choose writes to an unexported field of the candidates.
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

// field is the state of a decision that does not depend on the single candidate.
type field struct {
	// reach is the largest distance of a candidate that may be chosen.
	reach Distance
	// old is set when no candidate has a fresh report and those with expired ones are used.
	old bool
	// load and service are the mean load and the mean service time in milliseconds of the
	// candidates within reach.
	load    float64
	service float64
	// perLimit is 1 divided by the mean limit.
	perLimit float64
	// fastest and slowest are the limits of a service time in milliseconds.
	fastest float64
	slowest float64
	// home is the index of the rendezvous owner of the prefix, or -1.
	home int
}

// survey computes the means over the candidates and decides which regions may be used. A
// candidate that was tried before still counts as available in its region, so that retries
// do not shift load to other regions.
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

// total accumulates sums over candidates.
type total struct {
	count    int
	load     float64
	limits   int32
	service  float64
	measured int
	home     int
	homeRank uint64
}

// add sets the load of c, the candidate at index i, and adds c to the sums.
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

// field returns the means of the accumulated candidates.
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
// candidate is full. IsOwner is set for the rendezvous owner of the prefix.
func (f *field) cost(r *Request, c *Candidate, isOwner bool) (float64, bool) {
	load := c.load
	full := load > 1
	if c.Cold && !full {
		// A cold upstream always looks loaded relative to its small limit and would never
		// warm up. Until it is full, its work is compared relative to the mean limit.
		load *= float64(c.Limit) * f.perLimit
		full = !c.turn(r)
	}
	age := float64(r.Now-c.Seen) * (1 / float64(ReportLife))
	if age > 1 {
		age = 1
	}
	expected := load + age*(f.load-load)
	cost := f.boundService(c.ServiceMillis)*expected + distanceMillis[c.Distance]
	cachedBlocks := c.Cached
	if isOwner && cachedBlocks == 0 {
		cachedBlocks = 1
	}
	if load > LoadBound*f.load {
		// Requests with a hot prefix must not pile up on the upstreams that have it cached.
		cachedBlocks = 0
	}
	return cost + blockMillis*float64(max(r.Blocks-cachedBlocks, 0)), full
}

// boundService limits a service time in milliseconds to serviceSpread around the mean. It uses
// comparisons because the built-in min and max are slower on floats: they handle NaN.
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

// distanceMillis is the cost of each distance in milliseconds.
var distanceMillis = [...]float64{SameZone: 0, SameRegion: zoneMillis, OtherRegion: regionMillis}

// Rank returns the score of a member for a key in rendezvous hashing. The member with the
// highest score owns the key.
func Rank(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
