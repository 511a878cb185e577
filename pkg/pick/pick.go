// Package pick chooses the upstream for an attempt.
//
// The score of a candidate is the work that it has relative to what it can run at a time,
// raised by its recent failures and slowness. Cold upstreams bear a rate of starts; the
// entries divide it among themselves, so that together they stay within it.
//
// The package has no I/O, no clock and no goroutines.
package pick

import (
	"math"
	"time"
)

// Candidate is an upstream that may take an attempt.
type Candidate struct {
	ID string
	// Running is the work in progress there, as far as the entry knows.
	Running int
	// Capacity is the work that runs at a time.
	Capacity int
	// Failures is the recent part of attempts that failed, from 0 to 1.
	Failures float64
	// Slowness is the recent time of an answer relative to the other upstreams; 1 is usual.
	Slowness float64
	// Cold upstreams bear little.
	Cold bool
	// Doubtful upstreams may be gone.
	Doubtful bool
	// Suspended upstreams failed just now and are tried only when no other is there.
	Suspended bool
	// Far is set for an upstream in another availability zone.
	Far bool
}

// Weights of the parts of a score, in units of a full upstream.
const (
	// failureWeight makes an upstream that fails half of its attempts look full.
	failureWeight = 4.0
	// otherZoneWeight breaks ties in favour of the own zone.
	otherZoneWeight = 0.02
	// lastResortPenalty outweighs every load: such upstreams are chosen only alone.
	lastResortPenalty = 1000.0
)

// Best returns the index of the best candidate, or -1 when there is none; u returns
// random numbers in [0, 1) and breaks ties.
func Best(candidates []Candidate, u func() float64) int {
	best, bestScore, ties := -1, math.Inf(1), 0
	for i := range candidates {
		s := score(&candidates[i])
		switch {
		case s < bestScore:
			best, bestScore, ties = i, s, 1
		case s == bestScore:
			ties++
			if u()*float64(ties) < 1 {
				best = i
			}
		}
	}
	return best
}

func score(c *Candidate) float64 {
	s := float64(c.Running+1) / float64(max(c.Capacity, 1)) * max(c.Slowness, 1)
	s += failureWeight * c.Failures * c.Failures
	if c.Far {
		s += otherZoneWeight
	}
	if c.Suspended || c.Doubtful {
		s += lastResortPenalty
	}
	return s
}

// Bucket bounds the starts at a cold upstream. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	filled time.Time
}

// coldStartBurst is the starts that an entry may make at once: the smallest that lets it start
// anything.
const coldStartBurst = 1.0

// Take takes one start at a rate in starts a second and reports whether it was there.
func (b *Bucket) Take(rate float64, now time.Time) bool {
	if b.filled.IsZero() {
		b.tokens = coldStartBurst
	} else {
		b.tokens = min(coldStartBurst, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Ready reports whether Take would succeed.
func (b *Bucket) Ready(rate float64, now time.Time) bool {
	return b.filled.IsZero() || b.tokens+rate*now.Sub(b.filled).Seconds() >= 1
}
