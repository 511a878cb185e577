package platform

import "time"

// Importance orders calls when the budget of a process runs short.
type Importance int

// Kinds of importance, the most important first.
const (
	// Safety calls keep a promise: leases, fences, claims, accepting an edit. They are
	// never held back for others.
	Safety Importance = iota
	// Control calls follow the configuration and the instance list.
	Control
	// Status calls only inform.
	Status
)

// String returns the name used in metrics.
func (i Importance) String() string {
	return [...]string{"safety", "control", "status"}[i]
}

// reserve is the part of the burst that calls of an importance leave to more important ones.
var reserve = [...]float64{Safety: 0, Control: 0.25, Status: 0.5}

// budget is a token bucket from which less important calls may take only while enough is
// left for the others. Its time comes in as an argument; it is not safe for concurrent use.
type budget struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// newBudget returns a full budget of rate calls a second.
func newBudget(rate, burst float64) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst}
}

// take takes one call out of the budget and returns 0, or returns the time after which to
// ask again. Safety calls may overdraw the budget by one burst.
func (b *budget) take(now time.Time, i Importance) time.Duration {
	if now.After(b.last) {
		if !b.last.IsZero() {
			b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
		}
		b.last = now
	}
	floor := 1 + b.burst*reserve[i]
	if i == Safety {
		floor = 1 - b.burst
	}
	if b.tokens < floor {
		missing := floor - b.tokens
		return time.Duration(missing/b.rate*float64(time.Second)) + 1
	}
	b.tokens--
	return 0
}
