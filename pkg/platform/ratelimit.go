package platform

import "time"

// Importance determines which calls are delayed first when a process approaches its rate limit.
type Importance int

// Levels of importance, the most important first.
const (
	// Safety calls are needed to keep guarantees: leases, fencing records, claims, accepting an
	// edit. They are never delayed in favour of other calls.
	Safety Importance = iota
	// Control calls follow the configuration and the instance list.
	Control
	// Status calls are informational only.
	Status
)

// String returns the name used in metrics.
func (i Importance) String() string {
	return [...]string{"safety", "control", "status"}[i]
}

// reservedFraction is the fraction of the burst that calls of each importance leave to more
// important calls.
var reservedFraction = [...]float64{Safety: 0, Control: 0.25, Status: 0.5}

// rateLimiter is a token bucket that reserves part of the burst for more important calls. The
// caller passes the current time. It is not safe for concurrent use.
type rateLimiter struct {
	// rate is in calls per second; burst and available are in calls.
	rate  float64
	burst float64
	// available is negative while Safety calls have overdrawn the bucket.
	available float64
	updatedAt time.Time
}

// newRateLimiter returns a full rateLimiter for rate calls per second and bursts of burst calls.
func newRateLimiter(rate, burst float64) *rateLimiter {
	return &rateLimiter{rate: rate, burst: burst, available: burst}
}

// tryAcquire takes one call out of the bucket and returns 0, or returns the time after which to
// try again. Safety calls may overdraw the bucket by one burst.
func (l *rateLimiter) tryAcquire(now time.Time, i Importance) time.Duration {
	if now.After(l.updatedAt) {
		if !l.updatedAt.IsZero() {
			l.available = min(l.burst, l.available+l.rate*now.Sub(l.updatedAt).Seconds())
		}
		l.updatedAt = now
	}
	floor := 1 + l.burst*reservedFraction[i]
	if i == Safety {
		floor = 1 - l.burst
	}
	if l.available < floor {
		missing := floor - l.available
		return time.Duration(missing/l.rate*float64(time.Second)) + 1
	}
	l.available--
	return 0
}
