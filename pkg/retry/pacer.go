package retry

import "time"

const (
	// MinRetryAfter and MaxRetryAfter are the limits of the retry-after time of a rejected caller.
	MinRetryAfter = 500 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// maxSlotDelay is the latest slot; it leaves room for the jitter below MaxRetryAfter.
	maxSlotDelay = MaxRetryAfter * 2 / 3
	// returnShare is the fraction of the drain rate that is reserved for returning callers;
	// the rest is left to new requests.
	returnShare = 0.5
)

// Backlog is the work at the upstreams of a target, as known to an entry.
type Backlog struct {
	// Requests is the number of requests that run or wait, Limit the number that may run
	// concurrently.
	Requests int
	Limit    int
	// ServiceTime is the mean service time.
	ServiceTime time.Duration
	// Entries is the number of entries that share the upstreams.
	Entries int
}

// CompletionRate returns the number of requests that complete per second at full load, 0 if
// unknown.
func (b Backlog) CompletionRate() float64 {
	if b.Limit <= 0 || b.ServiceTime <= 0 {
		return 0
	}
	return float64(b.Limit) / b.ServiceTime.Seconds()
}

// DrainTime returns the time until a request that arrives now would start, 0 if unknown.
func (b Backlog) DrainTime() time.Duration {
	waiting := b.Requests - b.Limit + 1
	rate := b.CompletionRate()
	if waiting <= 0 || rate == 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// Pacer spreads the retries of rejected callers of one target over time, so that they do not
// all return at once. It assigns each caller the next free slot; the slots follow each other
// at a fraction of the drain rate. It is not safe for concurrent use.
type Pacer struct {
	// nextSlot is the time of the next free slot.
	nextSlot time.Time
}

// RetryAfter returns the time after which a caller that is rejected now may retry, between
// MinRetryAfter and MaxRetryAfter. The random number r in [0, 1) adds jitter of up to half of
// that time.
func (p *Pacer) RetryAfter(b Backlog, now time.Time, r float64) time.Duration {
	earliest := now.Add(max(b.DrainTime(), MinRetryAfter))
	if p.nextSlot.Before(earliest) {
		p.nextSlot = earliest
	}
	delay := p.nextSlot.Sub(now)
	if delay >= maxSlotDelay {
		// All slots are assigned; spread the callers over the end of the range.
		return maxSlotDelay + time.Duration(r*float64(MaxRetryAfter-maxSlotDelay))
	}
	if rate := b.CompletionRate() * returnShare / float64(max(b.Entries, 1)); rate > 0 {
		p.nextSlot = p.nextSlot.Add(time.Duration(float64(time.Second) / rate))
	}
	return delay + time.Duration(r*float64(delay)/2)
}
