package routing

import "time"

const (
	// ReportTTL is the age at which a report expires. As it ages, the expected load shifts
	// linearly from the reported load to the mean load of the candidates. A candidate with an
	// expired report is chosen only when no candidate has a fresh one.
	ReportTTL = 3 * time.Second
	// MaxRelativeLoad is the load relative to the mean up to which an upstream is preferred
	// for a prefix.
	MaxRelativeLoad = 1.25
	// turnLength is the length of a time slot in which an entry may send to a cold upstream.
	turnLength = 250 * time.Millisecond
	// blockPrefillMillis is the prefill time of one prompt block in milliseconds.
	blockPrefillMillis = 8.0
	// otherZoneMillis is the cost in milliseconds of an upstream in another availability zone of
	// the same region.
	otherZoneMillis = 3.0
	// otherRegionMillis is the cost in milliseconds of an upstream in another region.
	otherRegionMillis = 50.0
	// maxServiceFactor limits a service time to this factor below and above the mean, so that
	// an upstream that fails fast does not attract requests.
	maxServiceFactor = 3.0
	// defaultServiceMillis is the mean service time used while none is known.
	defaultServiceMillis = 100.0
)

// Choose returns the index of the best candidate, or -1 if none may be chosen. Among equal
// candidates it prefers the first one at or after index r.TieOffset, so that entries spread
// their choices. Choose writes to an unexported field of the candidates.
func Choose(r Request, candidates []Candidate) int {
	f := newComparison(&r, candidates)
	best := -1
	bestCost := 0.0
	bestFull := false
	i := 0
	if n := len(candidates); n > 0 {
		i = r.TieOffset % n
	}
	for range candidates {
		c := &candidates[i]
		if f.allows(&r, c) {
			cost, full := f.cost(&r, c, i == f.prefixOwner)
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

// comparison holds the values from which the costs of all candidates are computed.
type comparison struct {
	// maxDistance is the largest distance of a candidate that may be chosen.
	maxDistance Distance
	// useExpired is set when no candidate has a fresh report and those with expired ones are used.
	useExpired bool
	// meanLoad and meanServiceMillis are the means over the candidates within maxDistance.
	meanLoad          float64
	meanServiceMillis float64
	// inverseMeanLimit is 1 divided by the mean limit.
	inverseMeanLimit float64
	// minServiceMillis and maxServiceMillis are the limits of a service time.
	minServiceMillis float64
	maxServiceMillis float64
	// prefixOwner is the index of the rendezvous owner of the prefix, or -1.
	prefixOwner int
}

// newComparison computes the means over the candidates and decides which regions may be used. A
// candidate that was tried before still counts as available in its region, so that retries
// do not shift load to other regions.
func newComparison(r *Request, candidates []Candidate) comparison {
	var sameRegion, otherRegion, expired totals
	sameRegion.prefixOwner, otherRegion.prefixOwner, expired.prefixOwner = -1, -1, -1
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		if r.Now-c.ReportedAt > ReportTTL {
			expired.add(r, i, c)
			continue
		}
		if c.Distance <= SameRegion {
			sameRegion.add(r, i, c)
			continue
		}
		otherRegion.add(r, i, c)
	}
	if sameRegion.count > 0 {
		return sameRegion.means(SameRegion)
	}
	if otherRegion.count > 0 {
		return otherRegion.means(OtherRegion)
	}
	f := expired.means(OtherRegion)
	f.useExpired = true
	return f
}

// allows reports whether the candidate may be chosen.
func (f *comparison) allows(r *Request, c *Candidate) bool {
	if c.Excluded || c.Tried || c.Distance > f.maxDistance {
		return false
	}
	return f.useExpired || r.Now-c.ReportedAt <= ReportTTL
}

// totals holds sums over a set of candidates.
type totals struct {
	count int
	load  float64
	// limits is the sum of the limits.
	limits int32
	// serviceMillis is the sum of the known service times, and withService their number.
	serviceMillis float64
	withService   int
	// prefixOwner is the index of the rendezvous owner of the prefix, or -1, and ownerScore
	// its score.
	prefixOwner int
	ownerScore  uint64
}

// add sets the load of c, the candidate at index i, and adds c to the sums.
func (t *totals) add(r *Request, i int, c *Candidate) {
	t.count++
	c.load = c.work(r.Entries) / float64(max(c.Limit, 1))
	t.load += c.load
	t.limits += c.Limit
	if c.ServiceMillis > 0 {
		t.serviceMillis += c.ServiceMillis
		t.withService++
	}
	if r.PrefixHash == 0 {
		return
	}
	if score := Score(r.PrefixHash, c.IDHash); t.prefixOwner < 0 || score > t.ownerScore {
		t.prefixOwner = i
		t.ownerScore = score
	}
}

// means returns the comparison with the means of the candidates that were added.
func (t *totals) means(maxDistance Distance) comparison {
	f := comparison{maxDistance: maxDistance, prefixOwner: t.prefixOwner, meanServiceMillis: defaultServiceMillis}
	if t.count > 0 {
		f.meanLoad = t.load / float64(t.count)
		f.inverseMeanLimit = float64(t.count) / float64(max(t.limits, 1))
	}
	if t.withService > 0 {
		f.meanServiceMillis = t.serviceMillis / float64(t.withService)
	}
	f.minServiceMillis = f.meanServiceMillis / maxServiceFactor
	f.maxServiceMillis = f.meanServiceMillis * maxServiceFactor
	return f
}

// cost returns the expected time to the first token in milliseconds, and whether the
// candidate is full. isOwner is set for the rendezvous owner of the prefix.
func (f *comparison) cost(r *Request, c *Candidate, isOwner bool) (float64, bool) {
	load := c.load
	full := load > 1
	if c.Cold && !full {
		// A cold upstream always looks loaded relative to its small limit and would never
		// warm up. Until it is full, its work is compared relative to the mean limit.
		load *= float64(c.Limit) * f.inverseMeanLimit
		full = !c.hasTurn(r)
	}
	age := float64(r.Now-c.ReportedAt) * (1 / float64(ReportTTL))
	if age > 1 {
		age = 1
	}
	expected := load + age*(f.meanLoad-load)
	cost := f.clampService(c.ServiceMillis)*expected + distanceMillis[c.Distance]
	cachedBlocks := c.CachedBlocks
	if isOwner && cachedBlocks == 0 {
		cachedBlocks = 1
	}
	if load > MaxRelativeLoad*f.meanLoad {
		// Requests with a hot prefix must not pile up on the upstreams that have it cached.
		cachedBlocks = 0
	}
	return cost + blockPrefillMillis*float64(max(r.PromptBlocks-cachedBlocks, 0)), full
}

// clampService limits a service time in milliseconds to the range that maxServiceFactor allows.
// It uses comparisons because the built-in min and max are slower on floats: they handle NaN.
func (f *comparison) clampService(millis float64) float64 {
	if millis == 0 {
		return f.meanServiceMillis
	}
	if millis < f.minServiceMillis {
		return f.minServiceMillis
	}
	if millis > f.maxServiceMillis {
		return f.maxServiceMillis
	}
	return millis
}

// distanceMillis is the cost of each distance in milliseconds.
var distanceMillis = [...]float64{SameZone: 0, SameRegion: otherZoneMillis, OtherRegion: otherRegionMillis}

// Score returns the score of a member for a key in rendezvous hashing. The member with the
// highest score owns the key.
func Score(key, member uint64) uint64 {
	x := key ^ member*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
