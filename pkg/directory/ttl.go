package directory

import "time"

// Life tracks until when callers may cache a response. The zero value is ready to use. It is
// not safe for concurrent use.
type Life struct {
	ttl          time.Duration
	latestExpiry time.Time
}

// Set sets the TTL of responses sent from now on. Responses sent before keep their TTL.
func (l *Life) Set(now time.Time, ttl time.Duration) {
	l.latestExpiry = l.Until(now)
	l.ttl = ttl
}

// Until returns the time at which the last of the responses sent up to now expires.
func (l *Life) Until(now time.Time) time.Time {
	if end := now.Add(l.ttl); end.After(l.latestExpiry) {
		return end
	}
	return l.latestExpiry
}
