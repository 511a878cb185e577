// Package pick chooses the upstream for an attempt.
//
// The score of a candidate is its work in progress relative to its capacity, raised by its recent
// failures and its slowdown; the candidate with the lowest score is chosen. Where many entries choose by the same
// report, all would choose the same candidate until the next report. They choose at random instead, so that all of them
// together raise the lowest scores to one level. A cold upstream accepts
// a limited rate of starts; the entries divide this rate among themselves, so that they stay
// within it together.
//
// The package has no I/O, no clock and no goroutines.
package pick

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Candidate is an upstream that can be chosen for an attempt.
type Candidate struct {
	ID string
	// Running is the number of requests in progress at the upstream that the entry knows of.
	Running int
	// Capacity is the number of requests that the upstream runs at a time.
	Capacity int
	// Failures is the recent failure rate of attempts, from 0 to 1.
	Failures float64
	// Slowdown is the recent response time relative to the other upstreams; 1 is usual.
	Slowdown float64
	// Cold upstreams accept a limited rate of starts; see TokenBucket. The score does not depend
	// on it.
	Cold bool
	// LastResort is set for an upstream that is tried only when there is no other.
	LastResort bool
	// Superseded is set for an upstream at whose address another one has started since. It is tried only when all
	// others are superseded too.
	Superseded bool
	// OtherZone is set for an upstream in another availability zone.
	OtherZone bool
}

// Weights of the parts of a score; 1 is the score of an upstream at its capacity.
const (
	// failureWeight is the weight of the squared failure rate: failing half of all attempts adds 1,
	// as much as running at capacity.
	failureWeight = 4.0
	// otherZoneWeight breaks ties in favour of the entry's own availability zone.
	otherZoneWeight = 0.02
	// lastResortPenalty exceeds the score of any load, so that an upstream with this penalty is
	// chosen only when all candidates have it.
	lastResortPenalty = 1000.0
	// supersededPenalty exceeds the score of an upstream of last resort.
	supersededPenalty = 10 * lastResortPenalty
)

// Best returns the index of the candidate with the lowest score, or -1 when there is none. Ties
// are broken at random: random returns numbers in [0, 1).
func Best(candidates []Candidate, random func() float64) int {
	best, bestScore, ties := -1, math.Inf(1), 0
	for i := range candidates {
		s := score(&candidates[i])
		switch {
		case s < bestScore:
			best, bestScore, ties = i, s, 1
		case s == bestScore:
			ties++
			if random()*float64(ties) < 1 {
				best = i
			}
		}
	}
	return best
}

// Spread returns the index of a candidate that is chosen at random, or -1 when there is none. If all entries together
// make the expected number of choices with the same candidates, the lowest scores rise to one level: this is the load
// interpretation of M. Dahlin, "Interpreting Stale Load Information", 1999. random returns numbers in [0, 1).
func Spread(candidates []Candidate, expected float64, random func() float64) int {
	if expected <= 1 {
		return Best(candidates, random)
	}
	type share struct {
		index int
		score float64
		// perUnit is the number of requests that raise the score by 1.
		perUnit float64
	}
	shares := make([]share, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		shares[i] = share{i, score(c), float64(max(c.Capacity, 1)) / max(c.Slowdown, 1)}
	}
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.score, b.score) })
	// The level rises from one score to the next until the expected requests are used up.
	level, perUnit, filled, left := 0.0, 0.0, 0, expected
	for _, s := range shares {
		needed := (s.score - level) * perUnit
		if needed >= left {
			break
		}
		left -= needed
		level = s.score
		perUnit += s.perUnit
		filled++
	}
	if filled > 0 {
		level += left / perUnit
	}
	at := random() * expected
	for _, s := range shares[:filled] {
		if at -= (level - s.score) * s.perUnit; at < 0 {
			return s.index
		}
	}
	return Best(candidates, random)
}

// score rates a candidate; lower is better.
func score(c *Candidate) float64 {
	s := float64(c.Running+1) / float64(max(c.Capacity, 1)) * max(c.Slowdown, 1)
	s += failureWeight * c.Failures * c.Failures
	if c.OtherZone {
		s += otherZoneWeight
	}
	if c.LastResort {
		s += lastResortPenalty
	}
	if c.Superseded {
		s += supersededPenalty
	}
	return s
}

// TokenBucket limits the rate of starts. The zero value is full and holds one token, the smallest number that
// allows any start. It is not safe for concurrent use.
type TokenBucket struct {
	tokens float64
	// burst is the number of tokens that it holds, 0 for 1.
	burst  float64
	filled time.Time
}

// NewEmptyTokenBucket returns a bucket without tokens that holds up to burst of them.
func NewEmptyTokenBucket(burst float64, now time.Time) *TokenBucket {
	return &TokenBucket{burst: burst, filled: now}
}

// Take refills the bucket at a rate in starts per second, takes the token for one start and
// reports whether there was one.
func (b *TokenBucket) Take(rate float64, now time.Time) bool {
	b.tokens = b.at(rate, now)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Ready reports whether Take would succeed. It changes nothing.
func (b *TokenBucket) Ready(rate float64, now time.Time) bool { return b.at(rate, now) >= 1 }

// WaitAt returns the time until Take succeeds, at a rate in starts per second.
func (b *TokenBucket) WaitAt(rate float64, now time.Time) time.Duration {
	return time.Duration(max(0, 1-b.at(rate, now)) / rate * float64(time.Second))
}

// Wait returns the time from the last Take until there is a token, at a rate in starts per second.
func (b *TokenBucket) Wait(rate float64) time.Duration {
	return time.Duration(max(0, 1-b.tokens) / rate * float64(time.Second))
}

// at returns the number of tokens at a time.
func (b *TokenBucket) at(rate float64, now time.Time) float64 {
	burst := max(b.burst, 1)
	if b.filled.IsZero() {
		return burst
	}
	return min(burst, b.tokens+rate*now.Sub(b.filled).Seconds())
}
