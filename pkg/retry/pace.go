package retry

import "time"

const (
	// MinAfter and MaxAfter bound the time after which a caller is told to come back.
	MinAfter = 500 * time.Millisecond
	MaxAfter = 30 * time.Second
	// lastSlot leaves room for the jitter below MaxAfter.
	lastSlot = MaxAfter * 2 / 3
	// paceShare is the part of the drain rate that is given to returning callers; the
	// rest is for new ones.
	paceShare = 0.5
)

// Backlog is the work at the upstreams of a target, as an entry knows it.
type Backlog struct {
	// Requests run or wait, and Limit may run at a time.
	Requests int
	Limit    int
	// Service is the mean service time.
	Service time.Duration
	// Entries is the number of entries that share the upstreams.
	Entries int
}

// Rate returns the requests that end in a second.
func (b Backlog) Rate() float64 {
	if b.Limit <= 0 || b.Service <= 0 {
		return 0
	}
	return float64(b.Limit) / b.Service.Seconds()
}

// Drain returns the time until a request that arrives now would start.
func (b Backlog) Drain() time.Duration {
	waiting := b.Requests - b.Limit + 1
	rate := b.Rate()
	if waiting <= 0 || rate == 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// Pacer spreads the returns of refused callers of one target: it gives each the next
// free slot at a part of the drain rate, so that they do not come back together. It is
// not safe for concurrent use.
type Pacer struct {
	next time.Time
}

// After returns the time after which a caller that is refused now may come back. The
// random number r in [0, 1) adds jitter of up to half of that time.
func (p *Pacer) After(b Backlog, now time.Time, r float64) time.Duration {
	earliest := now.Add(max(b.Drain(), MinAfter))
	if p.next.Before(earliest) {
		p.next = earliest
	}
	after := p.next.Sub(now)
	if after >= lastSlot {
		// All slots are taken; spread over the end of the range.
		return lastSlot + time.Duration(r*float64(MaxAfter-lastSlot))
	}
	if rate := b.Rate() * paceShare / float64(max(b.Entries, 1)); rate > 0 {
		p.next = p.next.Add(time.Duration(float64(time.Second) / rate))
	}
	return after + time.Duration(r*float64(after)/2)
}
