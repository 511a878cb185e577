package platform

import "time"

// Priority determines which calls are delayed first when a process approaches its rate limit.
type Priority int

// Priorities of calls, the highest first.
const (
	// PrioritySafety calls are needed to keep guarantees: leases, fencing records, claims, accepting an
	// edit. They are never delayed in favour of other calls.
	PrioritySafety Priority = iota
	// PriorityControl calls follow the configuration and the instance list.
	PriorityControl
	// PriorityStatus calls are informational only.
	PriorityStatus
)

// String returns the name used in metrics.
func (i Priority) String() string {
	return [...]string{"safety", "control", "status"}[i]
}

// reservedFraction is the fraction of the burst that calls of each priority leave to calls of
// higher priorities.
var reservedFraction = [...]float64{PrioritySafety: 0, PriorityControl: 0.25, PriorityStatus: 0.5}

// rateLimiter is a token bucket that reserves part of the burst for calls of higher priorities. The
// caller passes the current time. It is not safe for concurrent use.
type rateLimiter struct {
	// rate is in calls per second; burst and available are in calls.
	rate  float64
	burst float64
	// available is negative while PrioritySafety calls have overdrawn the bucket.
	available float64
	updatedAt time.Time
}

// newRateLimiter returns a full rateLimiter for rate calls per second and bursts of burst calls.
func newRateLimiter(rate, burst float64) *rateLimiter {
	return &rateLimiter{rate: rate, burst: burst, available: burst}
}

// tryAcquire takes one call out of the bucket and returns 0, or returns the time after which to
// try again. PrioritySafety calls may overdraw the bucket by one burst.
func (l *rateLimiter) tryAcquire(now time.Time, i Priority) time.Duration {
	if now.After(l.updatedAt) {
		if !l.updatedAt.IsZero() {
			l.available = min(l.burst, l.available+l.rate*now.Sub(l.updatedAt).Seconds())
		}
		l.updatedAt = now
	}
	floor := 1 + l.burst*reservedFraction[i]
	if i == PrioritySafety {
		floor = 1 - l.burst
	}
	if l.available < floor {
		missing := floor - l.available
		return time.Duration(missing/l.rate*float64(time.Second)) + 1
	}
	l.available--
	return 0
}
