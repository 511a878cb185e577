package directory

import "time"

// TTLTracker tracks until when callers may cache a response. The zero value is ready to use. It is
// not safe for concurrent use.
type TTLTracker struct {
	ttl          time.Duration
	latestExpiry time.Time
}

// SetTTL sets the TTL of responses sent from now on. Responses sent before keep their TTL.
func (l *TTLTracker) SetTTL(now time.Time, ttl time.Duration) {
	l.latestExpiry = l.LatestExpiry(now)
	l.ttl = ttl
}

// LatestExpiry returns the time at which the last of the responses sent up to now expires.
func (l *TTLTracker) LatestExpiry(now time.Time) time.Time {
	if end := now.Add(l.ttl); end.After(l.latestExpiry) {
		return end
	}
	return l.latestExpiry
}
